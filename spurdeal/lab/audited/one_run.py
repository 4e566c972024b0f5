"""One run of the rig in this process, carried out and judged."""

from __future__ import annotations

import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

from ..rig import Rig
from ..scripted import ScriptRunner
from .judging import run_figures
from .run import SIZES, Run

BARE_SUBNET = 10  # the run without the fleet has its subnet so far on


def one_run(fleet: bool, size: str, seed: int, say: Callable[[str], None]) -> dict[str, Any]:
    """Carry out a run in this process, and judge it.

    Args:
        fleet: Whether the subsystem is on.
        size: One of SIZES.
        seed: Of the faults that are drawn.
        say: Called with a line for each fault.

    Returns:
        The figures; only "fault" where the script raised.
    """
    from twisted.internet import reactor

    loop: Any = reactor
    folder = Path(tempfile.mkdtemp(prefix="spurdeal-lab-"))
    subnet, count, engines, kinds = SIZES[size]
    rig = Rig(loop, subnet if fleet else subnet + BARE_SUBNET, folder, count, seed, fleet, engines=engines)
    run = Run(rig, say)
    runner = ScriptRunner(loop, run.script(kinds))
    try:
        runner.run()
    finally:
        rig.end()
        run.faults.end()
    if runner.fault is not None:
        return {"fault": repr(runner.fault)}
    return run_figures(run) | {"logs": str(folder), "lab_latest_ms": round(runner.lag.max_ms, 1)}
