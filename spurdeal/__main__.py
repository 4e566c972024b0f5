"""One dispatcher on sockets, as its configuration says; with words behind it, a sub-command."""

import os
import sys

from .early import SIGNALS

SERVING: tuple[list[str], ...] = ([], ["run"], ["extproc"])  # what serves until a signal ends it


def main() -> int:
    """Without a sub-command nothing but the dispatcher is imported."""
    if sys.argv[1:2] in SERVING:
        SIGNALS.catch()  # before the long imports
    if len(sys.argv) > 1:
        from .cli.main import spurdeal

        spurdeal(prog_name="spurdeal")  # ends the process itself
    from .net.start import main as dispatcher

    return dispatcher(os.environ)


if __name__ == "__main__":
    sys.exit(main())
