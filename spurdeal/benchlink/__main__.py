"""Serves the bench on standard input and output until input ends."""

import sys

from .frames import BadInput
from .host import Host


def main() -> int:
    try:
        Host().serve(sys.stdin.buffer, sys.stdout.buffer)
    except BadInput as fault:
        print(f"spurdeal: {fault}", file=sys.stderr)
        return 2
    except (BrokenPipeError, KeyboardInterrupt):
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
