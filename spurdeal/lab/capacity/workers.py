"""Measurements in fresh processes: a process's memory tells of one measurement only where it ran no other."""

from __future__ import annotations

import multiprocessing
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from typing import TypeVar

T = TypeVar("T")
WORKERS = 2


def each_in_its_own(call: Callable[..., T], arguments: Iterable[tuple[object, ...]]) -> list[T]:
    """The results in order; WORKERS run at a time, each process one call."""
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(WORKERS, mp_context=context, max_tasks_per_child=1) as pool:
        running = [pool.submit(call, *each) for each in arguments]
        return [each.result() for each in running]
