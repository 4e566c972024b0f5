"""Checks the engine model against closed forms: M/M/1 and M/D/1 processor sharing, M/M/c, Little's law."""

from __future__ import annotations

import random
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from math import factorial
from typing import NamedTuple

from .model_engine import Engine, EngineModel, Job


class Form(NamedTuple):
    """A queueing system, and its mean time in ms by the closed form and as measured in the model."""

    name: str
    expected: float
    measured: float
    little: float  # mean number of jobs / (arrival rate * mean time); 1 by Little's law

    @property
    def error(self) -> float:
        """The larger of the relative errors of the mean time and of Little's ratio."""
        return max(abs(self.measured / self.expected - 1), abs(self.little - 1))


def run(
    cores: float, load: float, mean: float, draw: Callable[[random.Random], float], jobs: int, seed: int
) -> tuple[float, float]:
    """Simulate an engine with Poisson arrivals of one-threaded jobs: mean time in it, and Little's ratio."""
    chance = random.Random(seed)
    engine = Engine(EngineModel(cores=cores, knee=1e9, max_sessions=1 << 30))
    rate, now, total, ended, arrived, warm = load * cores / mean, 0.0, 0.0, 0, 0, jobs // 20
    arrival = chance.expovariate(rate)
    area_at = time_at = 0.0
    while ended < jobs:
        end = engine.next_completion_at()
        now = min(end, arrival)
        for job in engine.advance(now):
            ended += 1
            if ended == warm:
                area_at, time_at, total = engine.job_time, now, 0.0
            total += now - job.start_time
        if arrival <= now:
            engine.start(now, Job(arrived, draw(chance)))
            arrived += 1
            arrival = now + chance.expovariate(rate)
    measured = total / (ended - warm)
    return measured, (engine.job_time - area_at) / (now - time_at) / (
        (ended - warm) / (now - time_at) * measured
    )


def erlang_c(servers: int, load: float) -> float:
    """The probability that an arrival waits in an M/M/c queue, at this load of each server."""
    offered = servers * load
    last = offered**servers / factorial(servers) / (1 - load)
    return last / (sum(offered**each / factorial(each) for each in range(servers)) + last)


def exponential(chance: random.Random) -> float:
    """Exponential work of mean 10."""
    return chance.expovariate(1 / 10.0)


def constant(chance: random.Random) -> float:
    """Constant work of 10."""
    return 10.0


def check(
    name: str, cores: int, load: float, constant_size: bool, expected: float, jobs: int, seed: int
) -> Form:
    """Compare one simulated queueing system with the expected mean time."""
    return Form(
        name, expected, *run(cores, load, 10.0, constant if constant_size else exponential, jobs, seed)
    )


def forms(quick: bool) -> list[Form]:
    """Run all checks, each with its own seed, spread over the cores."""
    jobs = 120_000 if quick else 600_000
    cases = [
        (
            f"M/{'D' if constant_size else 'M'}/1 processor sharing at {load}",
            1,
            load,
            constant_size,
            10 / (1 - load),
        )
        for load in (0.3, 0.5, 0.7)
        for constant_size in (False, True)
    ]
    cases += [
        (f"M/M/{cores} at {load}", cores, load, False, 10 + erlang_c(cores, load) * 10 / (cores * (1 - load)))
        for cores, load in ((2, 0.6), (4, 0.7), (8, 0.8))
    ]
    with ProcessPoolExecutor() as pool:
        found = [pool.submit(check, *each, jobs, seed) for seed, each in enumerate(cases, 40)]
        return [each.result() for each in found]
