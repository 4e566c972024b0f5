"""Serves the bench on standard input and output until input ends."""

import sys

from .frames import BadInputError
from .host import Host


def main() -> int:
    """Serve until input ends.

    Returns:
        The exit code: 0 at the end of input, 1 if the bench closed its end or on SIGINT, 2 for invalid input.
    """
    try:
        Host().serve(sys.stdin.buffer, sys.stdout.buffer)
    except BadInputError as fault:
        print(f"spurdeal: {fault}", file=sys.stderr)
        return 2
    except (BrokenPipeError, KeyboardInterrupt):
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
