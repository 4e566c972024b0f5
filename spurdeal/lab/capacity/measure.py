"""CPU time and memory of code and processes, and checks of the machine's resources."""

from __future__ import annotations

import os
import resource
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from statistics import median

from .records import Sample

REPETITIONS = 3
MAX_MEMORY_SHARE = 0.5  # of the available memory
MAX_PROCESSES = 300
SPARE_DESCRIPTORS = 64
KB_PER_PAGE = os.sysconf("SC_PAGE_SIZE") / 1024


class MeasurementRefused(Exception):
    """Raised for a measurement that cannot be started; the message gives the reason in one line."""


def sample(values: Sequence[float]) -> Sample:
    """Return the median of repeated measurements, and their range relative to the median."""
    center = median(values)
    return Sample(center, (max(values) - min(values)) / center if center else 0.0)


def cpu_us(call: Callable[[], None]) -> float:
    """Return the CPU time of one call in this process, in microseconds."""
    started_at = time.process_time_ns()
    call()
    return (time.process_time_ns() - started_at) / 1000


def process_cpu_us(pid: int) -> float:
    """Return the CPU time that a process has used, in microseconds, to the scheduler's nanosecond."""
    on_cpu_ns = Path(f"/proc/{pid}/schedstat").read_text().split()[0]
    return int(on_cpu_ns) / 1000


def resident_kb(pid: int | str = "self") -> float:
    """Return the resident memory of a process, in KB."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * KB_PER_PAGE


def available_kb() -> float:
    """Return the memory that the machine can provide without swapping, in KB."""
    for line in Path("/proc/meminfo").read_text().splitlines():
        if line.startswith("MemAvailable:"):
            return float(line.split()[1])
    raise MeasurementRefused("/proc/meminfo does not report the available memory")


def require_memory(needed_kb: float, purpose: str) -> None:
    """Raise MeasurementRefused if more than MAX_MEMORY_SHARE of the available memory is needed."""
    limit_kb = MAX_MEMORY_SHARE * available_kb()
    if needed_kb > limit_kb:
        raise MeasurementRefused(
            f"{purpose}: {needed_kb / 1024:.0f} MB are needed, at most {limit_kb / 1024:.0f} MB may be used"
        )


def require_processes(count: int, purpose: str) -> None:
    """Raise MeasurementRefused for more processes than MAX_PROCESSES."""
    if count > MAX_PROCESSES:
        raise MeasurementRefused(
            f"{purpose}: {count} processes are needed, at most {MAX_PROCESSES} are allowed"
        )


def require_descriptors(count: int, purpose: str) -> None:
    """Raise the soft limit on descriptors as needed; MeasurementRefused if the hard limit is lower."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    needed = count + SPARE_DESCRIPTORS
    if hard != resource.RLIM_INFINITY and needed > hard:
        raise MeasurementRefused(f"{purpose}: {needed} descriptors are needed, the machine allows {hard}")
    if needed > soft:
        resource.setrlimit(resource.RLIMIT_NOFILE, (needed, hard))
