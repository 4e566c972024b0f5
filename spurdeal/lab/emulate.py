"""Checks the emulator: closed-form queueing results, planted faults, and reproducible large runs."""

from __future__ import annotations

import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from typing import Any

from .closed_forms import forms
from .planted import build_world, count_violations

LARGE = (100, 40)  # dispatchers, engines
SECONDS = 8.0  # of virtual time for a planted fault: covers all of planted.FAILURES


def large(seed: int, dispatchers: int, engines: int, seconds: float) -> tuple[str, float, int, int]:
    """Run one world; its trace digest, wall-clock seconds, requests and violations."""
    began = time.monotonic()
    made = build_world(dispatchers, engines, 0.8, seed)
    made.run(seconds)
    return (
        made.trace.hexdigest(),
        time.monotonic() - began,
        made.counts["submissions"],
        sum(made.observer.violations.values()),
    )


def figures(quick: bool, say: Callable[[str], None] = lambda _: None) -> dict[str, Any]:
    """The figures of `spurdeal lab emulate --json`; the worlds run in a pool of processes."""
    checked = forms(quick)
    for form in checked:
        say(
            f"{form.name}: expected {form.expected:.2f}, measured {form.measured:.2f} ms, "
            f"Little {form.little:.4f}"
        )
    seconds, seeds = (2.0, 4) if quick else (20.0, 8)
    with ProcessPoolExecutor() as pool:
        planted = [pool.submit(count_violations, rule, SECONDS) for rule in range(8)]
        clean, *found = [each.result() for each in planted]
        began = time.monotonic()
        worlds = [pool.submit(large, seed, *LARGE, seconds) for seed in [0, *range(seeds)]]
        twice, *runs = [each.result() for each in worlds]
        wall = time.monotonic() - began
    return {
        "closed_forms": {
            "checked": len(checked),
            "worst_error": round(max(form.error for form in checked), 4),
        },
        "rules": {
            "planted": len(found),
            "planted_found": sum(seen > 0 for seen, _ in found),
            "broken_unplanted": sum(clean) + sum(broken for *_, broken in runs),
        },
        "virtual": {
            "dispatchers": LARGE[0],
            "engines": LARGE[1],
            "simulated_s": seconds * (seeds + 1),
            "wall_s": round(wall, 1),
            "wall_s_of_one": round(max(each[1] for each in runs), 1),
            "submissions": sum(each[2] for each in runs),
            "same_bytes_twice": twice[0] == runs[0][0],
        },
    }
