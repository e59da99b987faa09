"""`python -m burlmast.wirehost`: serve the wire on standard input and output."""

import sys

from burlmast.wirehost.codec import Malformed
from burlmast.wirehost.host import serve

if __name__ == "__main__":
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except Malformed as why:
        print(f"wirehost: {why}", file=sys.stderr)
        sys.exit(1)
    except BrokenPipeError:
        sys.exit(1)
