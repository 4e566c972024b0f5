"""The system's clocks, in ms."""

from __future__ import annotations

import time


def unix_ms() -> float:
    """The wall clock: Unix time, which may be stepped either way at any moment."""
    return time.time() * 1000


def monotonic_ms() -> float:
    """Time that runs on evenly, from an arbitrary origin."""
    return time.monotonic() * 1000
