"""Measurements in fresh processes, so that the memory of one does not contain what another left behind."""

from __future__ import annotations

import multiprocessing
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from typing import TypeVar

T = TypeVar("T")
WORKERS = 2


def run_in_fresh_processes(function: Callable[..., T], arguments: Iterable[tuple[object, ...]]) -> list[T]:
    """Call the function with each tuple of arguments, each in a new process, WORKERS at a time.

    Returns the results in the order of the arguments.
    """
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(WORKERS, mp_context=context, max_tasks_per_child=1) as pool:
        running = [pool.submit(function, *each) for each in arguments]
        return [each.result() for each in running]
