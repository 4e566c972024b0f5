"""Runs a dispatcher from its configuration; with arguments, a sub-command."""

import os
import sys

from .early_signals import SIGNALS

SERVING: tuple[list[str], ...] = (
    [],
    ["run"],
    ["extproc"],
)  # arguments with which the process serves until a signal ends it


def main() -> int:
    """Run, and return the exit code. Without a sub-command only the dispatcher is imported."""
    if sys.argv[1:2] in SERVING:
        SIGNALS.catch()  # before the imports below, which take long
    if len(sys.argv) > 1:
        from .cli.main import spurdeal

        spurdeal(prog_name="spurdeal")  # exits the process
    from .net.start import main as dispatcher

    return dispatcher(os.environ)


if __name__ == "__main__":
    sys.exit(main())
