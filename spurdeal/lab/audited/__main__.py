"""One run in a process of its own: `fleet` or `bare`, one of SIZES, and a seed."""

import json
import sys

from .one_run import one_run


def say(line: str) -> None:
    """Print a progress line."""
    print(line, flush=True)


if __name__ == "__main__":
    variant, size, seed = sys.argv[1:4]
    print(json.dumps(one_run(variant == "fleet", size, int(seed), say)))
