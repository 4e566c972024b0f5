"""Unix time that tests can shift."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from ..clocks import monotonic_ms, unix_ms

CLOCK_FILE_EVERY = 50.0  # ms between two looks at a file that shifts the clock


def shifted_unix_ms(path: str) -> Callable[[], float]:
    """For tests: Unix time with the ms added that a file holds; it is looked at every 50 ms."""
    looked, shift = float("-inf"), 0.0

    def unix() -> float:
        nonlocal looked, shift
        if monotonic_ms() - looked >= CLOCK_FILE_EVERY:
            looked = monotonic_ms()
            try:
                shift = float(Path(path).read_text("ascii"))
            except (OSError, ValueError):
                shift = 0.0
        return unix_ms() + shift

    return unix
