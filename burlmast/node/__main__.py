"""`python -m burlmast.node`: one gateway, as the platform's variables and configuration tell it."""

import signal
import sys

if __name__ == "__main__":
    # Until its handler stands, SIGHUP would end the process; the file is read again by then.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from burlmast.node.program import main

    sys.exit(main())
