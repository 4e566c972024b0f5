"""One run of the rig in this process, with its evaluation."""

from __future__ import annotations

import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

from ..rig import Rig
from ..scripted import ScriptRunner
from .judging import run_figures
from .run import SIZES, Run

BASELINE_SUBNET_OFFSET = 10  # from the subnet of the run with the fleet to that of the baseline


def one_run(fleet: bool, size: str, seed: int, say: Callable[[str], None]) -> dict[str, Any]:
    """Carry out and evaluate a run in this process.

    Args:
        fleet: Whether the fleet is enabled.
        size: One of SIZES.
        seed: Seed of the faults.
        say: Called with a line for each fault.

    Returns:
        The figures, or only "fault" if the script raised an exception.
    """
    from twisted.internet import reactor

    loop: Any = reactor
    folder = Path(tempfile.mkdtemp(prefix="spurdeal-lab-"))
    subnet, count, engines, kinds = SIZES[size]
    rig = Rig(
        loop,
        subnet if fleet else subnet + BASELINE_SUBNET_OFFSET,
        folder,
        count,
        seed,
        fleet,
        engines=engines,
    )
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
