"""`python -m burlmast.node`: one gateway, as the platform's variables and configuration tell it."""

import sys

from burlmast.node.program import main

if __name__ == "__main__":
    sys.exit(main())
