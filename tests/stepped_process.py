"""Runs the dispatcher with the system's wall clock plus an offset that a test sets in a shared file.

A separate program, as time.time must be replaced before any other module imports it. The monotonic clock is
unchanged.
"""

import mmap
import os
import struct
import sys
import time

OFFSET_FILE = "STEPPED_CLOCK_FILE"


def step_the_wall_clock(path: str) -> None:
    """Replaces each function with which Python reads the wall clock."""
    number = struct.Struct("d")  # seconds
    with open(path, "r+b") as file:
        shared = mmap.mmap(file.fileno(), number.size)
    real_time, real_gettime = time.time, time.clock_gettime

    def offset() -> float:
        seconds: float = number.unpack_from(shared)[0]
        return seconds

    def gettime(clock: int) -> float:
        return real_gettime(clock) + (offset() if clock == time.CLOCK_REALTIME else 0.0)

    time.time = lambda: real_time() + offset()
    time.time_ns = lambda: int((real_time() + offset()) * 1e9)
    time.clock_gettime = gettime


if __name__ == "__main__":
    step_the_wall_clock(os.environ[OFFSET_FILE])
    sys.argv = sys.argv[:1]
    from spurdeal.__main__ import main

    sys.exit(main())
