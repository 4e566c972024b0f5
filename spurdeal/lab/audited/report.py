"""All figures of the proof: the run with the fleet, the one without, virtual time and the model."""

from __future__ import annotations

import multiprocessing
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor
from typing import Any

from ..fleet_model import figures as model_figures
from ..processes import run_module
from .virtual import in_virtual_time, malformed, same_twice, stamping

RUN_TIMEOUT = 900.0  # seconds
QUICK_SIZES, FULL_SIZES = (12, 48), (12, 200, 500)  # dispatchers in virtual time
QUICK_MALFORMED, FULL_MALFORMED = 10_000, 100_000
WORKERS = 5


def silent(line: str) -> None:
    """Drop a line of the run without the fleet."""


def run_apart(fleet: bool, quick: bool, seed: int, say: Callable[[str], None]) -> dict[str, Any]:
    """One run in a process of its own; `say` gets the lines of the run with the fleet."""
    arguments = ["fleet" if fleet else "bare", "quick" if quick else "full", str(seed)]
    return run_module("spurdeal.lab.audited", arguments, RUN_TIMEOUT, say if fleet else silent)


def figures(quick: bool, say: Callable[[str], None], seed: int = 11) -> dict[str, Any]:
    """All that `spurdeal lab audit --json` prints."""
    sizes = QUICK_SIZES if quick else FULL_SIZES
    say(f"seed {seed}")
    spawned = multiprocessing.get_context("spawn")  # a fork would take the threads' locks along
    with ProcessPoolExecutor(WORKERS, spawned) as pool, ThreadPoolExecutor(2) as threads:
        runs = [threads.submit(run_apart, fleet, quick, seed, say) for fleet in (True, False)]
        worlds = [pool.submit(in_virtual_time, size, quick) for size in sizes]
        twice = pool.submit(same_twice)
        bad = pool.submit(malformed, QUICK_MALFORMED if quick else FULL_MALFORMED)
        model = pool.submit(model_figures, quick)
        found, bare = (run.result() for run in runs)
        virtual = [world.result() for world in worlds]
        same, spoilt, checked = twice.result(), bad.result(), model.result()

    def by_size(key: str) -> dict[str, Any]:
        return {str(each["dispatchers"]): each[key] for each in virtual}

    return (
        found
        | spoilt
        | {
            "stamp_us": stamping(),
            "cpu_share": {"real": round(found["idle_cpu"] - bare["idle_cpu"], 4)} | by_size("cpu_share"),
            "bytes_per_s": {"real": found["bytes_per_s_real"]} | by_size("bytes_per_s"),
            "spread_ms": by_size("spread_ms"),
            "virtual": {"dispatchers": list(sizes), "same_bytes_twice": same, "worlds": virtual},
            "model": checked,
            "baseline": bare,
        }
    )
