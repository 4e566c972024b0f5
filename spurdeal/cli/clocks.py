"""A Unix clock that tests can shift."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from ..clocks import monotonic_ms, unix_ms

CLOCK_FILE_INTERVAL = 50.0  # ms between two reads of the file that shifts the clock


def shifted_unix_ms(path: str) -> Callable[[], float]:
    """For tests: return a Unix clock in ms, shifted by the ms in a file that is read every 50 ms.

    The shift is 0 while the file cannot be read or holds no number.
    """
    last_read, shift = float("-inf"), 0.0

    def unix() -> float:
        nonlocal last_read, shift
        if monotonic_ms() - last_read >= CLOCK_FILE_INTERVAL:
            last_read = monotonic_ms()
            try:
                shift = float(Path(path).read_text("ascii"))
            except (OSError, ValueError):
                shift = 0.0
        return unix_ms() + shift

    return unix
