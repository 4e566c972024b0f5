"""Fault injection: dispatchers that each violate one rule, to prove that the observer detects it."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from ..interface import Adapter, Deployment, Effect, Ending, Life, ListedEngine, Reach, Workload
from ..rules import Dispatcher, Engine, Request
from .model_engine import EngineModel
from .virtual import Failure, Load, OpenRequest, VirtualAdapter, World


def sample_deployment(dispatchers: int) -> Deployment:
    """Five workloads that exercise all seven rules."""
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


KIND = EngineModel(cold_multiple=1.2)
SHARES, WORK = (0.5, 0.1, 0.15, 0.15, 0.1), (40.0, 160.0, 60.0, 50.0, 60.0)
FAILURES = (
    Failure(1500, "crash", 0),
    Failure(2500, "replace", 1),
    Failure(3000, "drain", 2),
    Failure(3500, "hang", 3),
    Failure(5000, "restart", 0),
    Failure(5500, "slow", 4, 0.25),
    Failure(6500, "replace", 5),
)


def load(engines: int, of_capacity: float) -> Load:
    """A mix of the five workloads that asks for this share of the engines' capacity."""
    mean = sum(share * work for share, work in zip(SHARES, WORK, strict=True))
    return Load(of_capacity * engines * KIND.cores * 1000 / mean, SHARES, WORK, table_groups=30)


def build_world(
    dispatchers: int,
    engines: int,
    of_capacity: float,
    seed: int,
    make: Callable[[Deployment, int, Any, float], Any] = Dispatcher,
    failures: Sequence[Failure] = FAILURES,
) -> World:
    """A world in virtual time with this load; `make` builds its dispatchers."""
    return World(
        sample_deployment(dispatchers), KIND, engines, load(engines, of_capacity), failures, seed, make
    )


class AnswersTwice(VirtualAdapter):
    """Violates rule 1: a rejection is written twice."""

    def write_response(self, request: OpenRequest, outcome: str) -> None:
        """Write the answer, a rejection twice."""
        super().write_response(request, outcome)
        if outcome == "shed":
            super().write_response(request, outcome)


class RunsTwice(Dispatcher):
    """Violates rule 2: every workload counts as idempotent, even if an attempt may have run."""

    def __init__(self, site: Deployment, seed: int, adapter: Adapter, now: float) -> None:
        super().__init__(site, seed, adapter, now)
        from dataclasses import replace

        self.workloads = tuple(replace(w, effect=Effect.IDEMPOTENT) for w in self.workloads)


class ForgetsDrains(Dispatcher):
    """Violates rule 3: draining engines stay in use."""

    def list_changed(self, now: float, lines: Sequence[ListedEngine], whole: bool) -> None:
        """Treat each listed engine as ready."""
        super().list_changed(now, [line._replace(life=Life.READY) for line in lines], False)


class ForgetsCold(Dispatcher):
    """Violates rule 4: a cold engine gets a full share of the load."""

    def fits_slow_start(self, engine: Engine, work: float) -> bool:
        """Always true."""
        return True


class ForgetsOrder(Dispatcher):
    """Violates rule 5: a request does not wait for an earlier one with its key."""

    def is_next_for_key(self, request: Request) -> bool:
        """Always true."""
        return True


class ForgetsZones(Dispatcher):
    """Violates rule 6: any engine is allowed for every workload."""

    def __init__(self, site: Deployment, seed: int, adapter: Adapter, now: float) -> None:
        super().__init__(site, seed, adapter, now)
        from dataclasses import replace

        self.workloads = tuple(replace(w, zones=None) for w in self.workloads)


class ForgetsBudget(Dispatcher):
    """Violates rule 7: retries are not limited by the budget."""

    def may_retry(self) -> bool:
        """Always true."""
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
        """Refill the retry budget, then handle the end of the attempt as usual."""
        self.retry_budget = 30.0
        super().attempt_ended(now, number, attempt, engine, ending, took, final, work, memory, report)


FAULTY_DISPATCHERS: dict[int, type[Dispatcher]] = {
    2: RunsTwice,
    3: ForgetsDrains,
    4: ForgetsCold,
    5: ForgetsOrder,
    6: ForgetsZones,
    7: ForgetsBudget,
}


def count_violations(rule: int, seconds: float) -> tuple[int, int]:
    """Plant a fault in this rule, none for 0; the violations of this rule, and of all others."""
    made: World
    if rule == 1:
        made = World(sample_deployment(3), KIND, 6, load(6, 1.3), FAILURES, 5, adapters=AnswersTwice)
    else:
        made = build_world(3, 6, 0.9, 5, FAULTY_DISPATCHERS.get(rule, Dispatcher))
    made.run(seconds)
    return made.observer.violations[rule], sum(made.observer.violations.values()) - made.observer.violations[
        rule
    ]
