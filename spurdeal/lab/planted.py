"""Dispatchers that each break one rule, so that the observer is known to see it."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from ..interface import Adapter, Deployment, Effect, Ending, Life, ListedEngine, Reach, Workload
from ..rules import Dispatcher, Engine, Request
from .model_engine import Kind
from .virtual import Failure, Load, OpenRequest, VirtualAdapter, World


def site(dispatchers: int) -> Deployment:
    """Five workloads that bring all seven rules to bear."""
    return Deployment(
        index=0,
        dispatchers=dispatchers,
        zone=0,
        workloads=(
            Workload(800, 0, 3000, 1.0, 0.5),
            Workload(2000, 0, 6000, 2.0, 0.5, effect=Effect.NON_IDEMPOTENT),
            Workload(
                1500,
                0,
                5000,
                1.0,
                0.5,
                effect=Effect.IDEMPOTENT_BY_KEY,
                reach=Reach.CELL,
                key_retention=3000.0,
            ),
            Workload(1500, 0, 5000, 1.0, 0.5, in_order=True),
            Workload(1500, 0, 5000, 1.0, 0.5, zones=(0,)),
        ),
        quotas=(),
        over_quota_value=1.0,
        cores=(8,),
        memory_mb=(),
        load_field=None,
        list_pushed=True,
        may_cancel=True,
        may_probe=False,
        may_tell=False,
        second_copies=True,
        max_attempts=4,
        max_retry_after=500.0,
        grants=False,
        swaps=False,
        priorities=False,
        largest_grant=1.0,
        progress_interval=0.0,
        drain_grace=250.0,
        cold_for=15_000.0,
        cold_share=0.3,
        cold_multiple=1.2,
        cold_window=1500.0,
        order_pause=500.0,
        retry_floor=3.0,
        retry_ratio=0.01,
        retry_window=10_000.0,
    )


KIND = Kind(multiple=1.2)
SHARES, WORK = (0.5, 0.1, 0.15, 0.15, 0.1), (40.0, 160.0, 60.0, 50.0, 60.0)
ROUGH = (
    Failure(1500, "crash", 0),
    Failure(2500, "replace", 1),
    Failure(3000, "drain", 2),
    Failure(3500, "hang", 3),
    Failure(5000, "restart", 0),
    Failure(5500, "slow", 4, 0.25),
    Failure(6500, "replace", 5),
)


def load(engines: int, of_capacity: float) -> Load:
    mean = sum(share * work for share, work in zip(SHARES, WORK, strict=True))
    return Load(of_capacity * engines * KIND.cores * 1000 / mean, SHARES, WORK, groups=30)


def world(
    dispatchers: int,
    engines: int,
    of_capacity: float,
    seed: int,
    make: Callable[[Deployment, int, Any, float], Any] = Dispatcher,
    failures: Sequence[Failure] = ROUGH,
) -> World:
    return World(site(dispatchers), KIND, engines, load(engines, of_capacity), failures, seed, make)


class AnswersTwice(VirtualAdapter):
    """Rule 1: a refusal is written twice."""

    def write(self, request: OpenRequest, what: str) -> None:
        super().write(request, what)
        if what == "shed":
            super().write(request, what)


class RunsTwice(Dispatcher):
    """Rule 2: every workload counts as idempotent, whatever may have run."""

    def __init__(self, told: Deployment, seed: int, adapter: Adapter, now: float) -> None:
        super().__init__(told, seed, adapter, now)
        from dataclasses import replace

        self.workloads = tuple(replace(w, effect=Effect.IDEMPOTENT) for w in self.workloads)


class ForgetsDrains(Dispatcher):
    """Rule 3: what drains stays in use."""

    def list_changed(self, now: float, lines: Sequence[ListedEngine], whole: bool) -> None:
        super().list_changed(now, [line._replace(life=Life.READY) for line in lines], False)


class ForgetsCold(Dispatcher):
    """Rule 4: a cold engine is sent its full part."""

    def fits_slow_start(self, engine: Engine, work: float) -> bool:
        return True


class ForgetsOrder(Dispatcher):
    """Rule 5: keys wait for nobody."""

    def is_next_for_key(self, request: Request) -> bool:
        return True


class ForgetsPlaces(Dispatcher):
    """Rule 6: any engine will do."""

    def __init__(self, told: Deployment, seed: int, adapter: Adapter, now: float) -> None:
        super().__init__(told, seed, adapter, now)
        from dataclasses import replace

        self.workloads = tuple(replace(w, zones=None) for w in self.workloads)


class ForgetsBudget(Dispatcher):
    """Rule 7: further attempts as it likes, and each error is one."""

    def may_retry(self) -> bool:
        return True

    def attempt_ended(
        self,
        now: float,
        number: int,
        attempt: int,
        engine: int,
        ending: Ending,
        took: float,
        final: bool,
        work: float,
        memory: float,
        report: Sequence[float],
    ) -> None:
        self.retry_budget = 30.0
        super().attempt_ended(now, number, attempt, engine, ending, took, final, work, memory, report)


PLANTED: dict[int, type[Dispatcher]] = {
    2: RunsTwice,
    3: ForgetsDrains,
    4: ForgetsCold,
    5: ForgetsOrder,
    6: ForgetsPlaces,
    7: ForgetsBudget,
}


def find(rule: int, seconds: float) -> tuple[int, int]:
    """How often the planted rule was seen broken, and how often any other; rule 0 plants nothing."""
    made: World
    if rule == 1:
        made = World(site(3), KIND, 6, load(6, 1.3), ROUGH, 5, adapters=AnswersTwice)
    else:
        made = world(3, 6, 0.9, 5, PLANTED.get(rule, Dispatcher))
    made.run(seconds)
    return made.observer.broken[rule], sum(made.observer.broken.values()) - made.observer.broken[rule]
