"""The engine's model against closed forms: M/M/1 and M/D/1 with processor sharing, M/M/c, and Little's
law."""

from __future__ import annotations

import random
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from math import factorial
from typing import NamedTuple

from .model_engine import Engine, EngineModel, Job


class Form(NamedTuple):
    """What is checked, what the form says and what the model did; mean times in ms."""

    name: str
    told: float
    seen: float
    little: float  # of jobs in the engine over rate times mean time; 1 by Little's law

    @property
    def error(self) -> float:
        return max(abs(self.seen / self.told - 1), abs(self.little - 1))


def run(
    cores: float, load: float, mean: float, draw: Callable[[random.Random], float], jobs: int, seed: int
) -> tuple[float, float]:
    """Mean time in the engine, and Little's ratio, of one engine fed by Poisson arrivals of one-threaded
    jobs."""
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
    seen = total / (ended - warm)
    return seen, (engine.job_time - area_at) / (now - time_at) / ((ended - warm) / (now - time_at) * seen)


def erlang_c(servers: int, load: float) -> float:
    """The share of arrivals that wait in an M/M/c queue at this load of each server."""
    offered = servers * load
    last = offered**servers / factorial(servers) / (1 - load)
    return last / (sum(offered**each / factorial(each) for each in range(servers)) + last)


def exponential(chance: random.Random) -> float:
    return chance.expovariate(1 / 10.0)


def constant(chance: random.Random) -> float:
    return 10.0


def check(name: str, cores: int, load: float, even: bool, told: float, jobs: int, seed: int) -> Form:
    return Form(name, told, *run(cores, load, 10.0, constant if even else exponential, jobs, seed))


def forms(quick: bool) -> list[Form]:
    """Each with its own seed, spread over the cores."""
    jobs = 120_000 if quick else 600_000
    wanted = [
        (f"M/{'D' if even else 'M'}/1 processor sharing at {load}", 1, load, even, 10 / (1 - load))
        for load in (0.3, 0.5, 0.7)
        for even in (False, True)
    ]
    wanted += [
        (f"M/M/{cores} at {load}", cores, load, False, 10 + erlang_c(cores, load) * 10 / (cores * (1 - load)))
        for cores, load in ((2, 0.6), (4, 0.7), (8, 0.8))
    ]
    with ProcessPoolExecutor() as pool:
        found = [pool.submit(check, *each, jobs, seed) for seed, each in enumerate(wanted, 40)]
        return [each.result() for each in found]
