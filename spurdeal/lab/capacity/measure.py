"""Processor time and memory of code and processes, and what the machine can hold."""

from __future__ import annotations

import os
import resource
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from statistics import median

from .records import Sample

TRIES = 3
MEMORY_PART = 0.5  # of what the machine has available
MOST_PROCESSES = 300
SPARE_DESCRIPTORS = 64
KB_PER_PAGE = os.sysconf("SC_PAGE_SIZE") / 1024


class MeasurementRefused(Exception):
    """A run that cannot be started; the text says why in one line."""


def sample(values: Sequence[float]) -> Sample:
    """The median of several tries, and their range over it."""
    middle = median(values)
    return Sample(middle, (max(values) - min(values)) / middle if middle else 0.0)


def cpu_us(call: Callable[[], None]) -> float:
    """Microseconds of processor time of one call in this process."""
    began = time.process_time_ns()
    call()
    return (time.process_time_ns() - began) / 1000


def process_cpu_us(pid: int) -> float:
    """Microseconds of processor time that a process has used, to the scheduler's nanosecond."""
    ran_ns = Path(f"/proc/{pid}/schedstat").read_text().split()[0]
    return int(ran_ns) / 1000


def resident_kb(pid: int | str = "self") -> float:
    """The resident memory of a process."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * KB_PER_PAGE


def available_kb() -> float:
    """The memory that the machine can still give without swapping."""
    for line in Path("/proc/meminfo").read_text().splitlines():
        if line.startswith("MemAvailable:"):
            return float(line.split()[1])
    raise MeasurementRefused("the machine does not tell how much memory it has")


def require_memory(needed_kb: float, what: str) -> None:
    """Refuses what would take more than MEMORY_PART of the memory."""
    holds = MEMORY_PART * available_kb()
    if needed_kb > holds:
        raise MeasurementRefused(
            f"{what}: {needed_kb / 1024:.0f} MB are needed, the machine holds {holds / 1024:.0f} MB"
        )


def require_processes(count: int, what: str) -> None:
    """Refuses more processes than MOST_PROCESSES."""
    if count > MOST_PROCESSES:
        raise MeasurementRefused(
            f"{what}: {count} processes are needed, at most {MOST_PROCESSES} are started"
        )


def require_descriptors(count: int, what: str) -> None:
    """Raises the soft limit on descriptors to what is needed, or refuses."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    needed = count + SPARE_DESCRIPTORS
    if hard != resource.RLIM_INFINITY and needed > hard:
        raise MeasurementRefused(f"{what}: {needed} descriptors are needed, the machine allows {hard}")
    if needed > soft:
        resource.setrlimit(resource.RLIMIT_NOFILE, (needed, hard))
