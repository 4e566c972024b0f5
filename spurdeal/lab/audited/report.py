"""Report of the experiment: the run with the fleet, the baseline, virtual time and the model."""

from __future__ import annotations

import multiprocessing
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor
from typing import Any

from ..fleet_model import figures as model_figures
from ..processes import run_module
from .virtual import is_reproducible, simulate_spread, stamp_cost, try_malformed

RUN_TIMEOUT = 900.0  # seconds
QUICK_SIZES, FULL_SIZES = (12, 48), (12, 200, 500)  # dispatchers in virtual time
QUICK_MALFORMED, FULL_MALFORMED = 10_000, 100_000
WORKERS = 5


def discard(line: str) -> None:
    """Drop a progress line of the baseline run."""


def run_in_process(fleet: bool, quick: bool, seed: int, say: Callable[[str], None]) -> dict[str, Any]:
    """Carry out a run in a new process; `say` gets the progress lines of the run with the fleet."""
    arguments = ["fleet" if fleet else "bare", "quick" if quick else "full", str(seed)]
    return run_module("spurdeal.lab.audited", arguments, RUN_TIMEOUT, say if fleet else discard)


def figures(quick: bool, say: Callable[[str], None], seed: int = 11) -> dict[str, Any]:
    """Return all that `spurdeal lab audit --json` prints."""
    sizes = QUICK_SIZES if quick else FULL_SIZES
    say(f"seed {seed}")
    spawned = multiprocessing.get_context("spawn")  # a forked child would inherit locks held by threads
    with ProcessPoolExecutor(WORKERS, spawned) as pool, ThreadPoolExecutor(2) as threads:
        runs = [threads.submit(run_in_process, fleet, quick, seed, say) for fleet in (True, False)]
        worlds = [pool.submit(simulate_spread, size, quick) for size in sizes]
        twice = pool.submit(is_reproducible)
        malformed_run = pool.submit(try_malformed, QUICK_MALFORMED if quick else FULL_MALFORMED)
        model = pool.submit(model_figures, quick)
        found, baseline = (run.result() for run in runs)
        virtual = [world.result() for world in worlds]
        reproducible, malformed_figures, model_result = twice.result(), malformed_run.result(), model.result()

    def by_size(key: str) -> dict[str, Any]:
        return {str(each["dispatchers"]): each[key] for each in virtual}

    return (
        found
        | malformed_figures
        | {
            "stamp_us": stamp_cost(),
            "cpu_share": {"real": round(found["idle_cpu"] - baseline["idle_cpu"], 4)} | by_size("cpu_share"),
            "bytes_per_s": {"real": found["bytes_per_s_real"]} | by_size("bytes_per_s"),
            "spread_ms": by_size("spread_ms"),
            "virtual": {"dispatchers": list(sizes), "same_bytes_twice": reproducible, "worlds": virtual},
            "model": model_result,
            "baseline": baseline,
        }
    )
