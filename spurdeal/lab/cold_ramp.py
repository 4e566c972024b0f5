"""Simulated proof of rule 4: what all dispatchers together send to an engine that has just started.

Many dispatchers run the live rules in virtual time while engines join or restart cold. A meter at each cold
engine sums the work of all attempts that reach it in a sliding window and compares it with the bound of the
standing test, N + 2 sqrt(N) + 2 requests of mean work. The engine falls at the first excess; that is a break
if over two thirds of the work in the window came from dispatchers that had been told of the start. Times and
work are milliseconds."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from typing import Any, NamedTuple

from ..interface import Adapter, Deployment, Ending, ListedEngine, Rules, Workload
from ..rules import Dispatcher
from .model_engine import Engine, EngineModel
from .planted import site
from .virtual import Failure, Load, OpenRequest, VirtualAdapter, World

RulesFactory = Callable[[Deployment, int, Adapter, float], Rules]

PROCESSES = 2
WILSON_Z = 1.96  # two-sided 95%
TOLD_SHARE = 2 / 3  # of the work in the window of a fall: beyond it, the fall breaks the rule
LEAST_SPEED = 0.68  # choice: work a core of the slowest sound engine does in a unit of time, I/O included
NO_ENGINE = -1
FEWEST_ENGINES, DISPATCHERS_AN_ENGINE = 4, 25  # warm ones; more where there are many dispatchers
JOIN_AT = 4_000.0  # from the start of the run; by then the dispatchers have seen some work
RESTART_AT = JOIN_AT + 1_000.0  # within one window of the join
THIRD_RESTARTS_AT = JOIN_AT + 2_000.0
LATE_LIST = 6_000.0  # the half that is not told of a start learns of it so much later
IDLE, QUIET_LOAD = 10_000.0, 0.02  # ms with nearly no load ahead of a burst; of the capacity
COLD_FOR, COLD_WINDOW, COLD_SHARE, FALL_MULTIPLE = 15_000.0, 1_500.0, 0.31, 2.0
CORES = 16
NEVER_FALLS = 1e9  # the model's engine must not fall by itself: it knows no slack
TAIL_SHARE, TAIL_FACTOR = 0.02, 15.0  # of the requests with heavy-tailed work, so many times as heavy


class Phase(NamedTuple):
    """Offered load, as a share of the warm engines' capacity, up to a moment of the run."""

    until: float
    load: float


class Mix(NamedTuple):
    """The workloads: their shares of all requests, mean work and threads."""

    shares: tuple[float, ...]
    work: tuple[float, ...]
    threads: tuple[int, ...]

    def mean_work(self) -> float:
        return sum(share * work for share, work in zip(self.shares, self.work, strict=True))


MIXED = Mix((0.8, 0.2), (200.0, 2_400.0), (1, 4))
LIGHT_ONLY = Mix((1.0,), (200.0,), (1,))


@dataclass(frozen=True, slots=True)
class Scenario:
    """What happens around the start of one engine."""

    name: str
    phases: tuple[Phase, ...]
    mix: Mix = MIXED
    declared: float = 1.0  # dispatchers named in the settings, over those that run
    third_restarts: bool = False
    fleet_restarts: bool = False  # every dispatcher, in the moment in which the engine joins
    engine_restarts: bool = False  # the joined engine starts anew while sends are in its window
    half_is_told: bool = False  # engine 0 restarts in place, and half of the dispatchers do not learn of it
    heavy_tail: bool = False
    estimates: bool = True

    def seconds(self) -> float:
        return self.phases[-1].until / 1000

    def mean_work(self) -> float:
        tail = TAIL_SHARE * (TAIL_FACTOR - 1.0) if self.heavy_tail else 0.0
        return self.mix.mean_work() * (1.0 + tail)


STEADY = (Phase(JOIN_AT + 4_000.0, 0.7),)
BUSY = (Phase(JOIN_AT, 0.9), Phase(JOIN_AT + 4_000.0, 1.3))
OVERLOADED = (Phase(JOIN_AT, 1.8), Phase(JOIN_AT + 4_000.0, 0.9))
IDLE_THEN_BURST = (
    Phase(JOIN_AT, 0.7),
    Phase(JOIN_AT + IDLE, QUIET_LOAD),
    Phase(JOIN_AT + IDLE + 2_000.0, 2.0),
)

SCENARIOS = (
    Scenario("steady", STEADY),
    Scenario("busy", BUSY),
    Scenario("light_only", BUSY, LIGHT_ONLY),
    Scenario("too_few_declared", BUSY, LIGHT_ONLY, declared=0.5),
    Scenario("too_many_declared", BUSY, LIGHT_ONLY, declared=1.5),
    Scenario("third_restarts", BUSY, LIGHT_ONLY, third_restarts=True),
    Scenario("fleet_restarts", BUSY, LIGHT_ONLY, fleet_restarts=True),
    Scenario("released_queue", OVERLOADED),
    Scenario("idle_then_burst", IDLE_THEN_BURST, LIGHT_ONLY),
    Scenario("cold_again", BUSY, LIGHT_ONLY, engine_restarts=True),
    Scenario("half_is_told", BUSY, LIGHT_ONLY, half_is_told=True),
    Scenario("heavy_tail", BUSY, LIGHT_ONLY, heavy_tail=True),
    Scenario("no_estimates", BUSY, estimates=False),
)


def deployment(scenario: Scenario, dispatchers: int) -> Deployment:
    """The settings of the bench's site, with the true number of dispatchers."""
    return replace(
        site(dispatchers),
        workloads=tuple(
            Workload(1_200.0, 1.5, 6_000.0, 1.0, 0.3, threads=threads) for threads in scenario.mix.threads
        ),
        cores=(CORES,),
        second_copies=False,
        cold_for=COLD_FOR,
        cold_share=COLD_SHARE,
        cold_multiple=FALL_MULTIPLE,
        cold_window=COLD_WINDOW,
        retry_window=None,
    )


class Attempt(NamedTuple):
    """One attempt in a cold engine's window."""

    at: float
    work: float
    told: bool  # its dispatcher had been told of this start


class Meter:
    """Sums what reaches one cold engine in any window, up to its first fall."""

    def __init__(self, allowed: float, mean_work: float, window: float) -> None:
        self.allowed, self.window = allowed, window
        requests = allowed / mean_work
        self.bound = (requests + 2 * math.sqrt(requests) + 2) * mean_work
        self.attempts = deque[Attempt]()
        self.in_window = self.told_in_window = self.total = self.worst_ratio = 0.0
        self.fell = self.broken = False

    def reached(self, attempt: Attempt) -> None:
        if self.fell:
            return
        self.attempts.append(attempt)
        self.count(attempt, 1.0)
        self.total += attempt.work
        while self.attempts[0].at <= attempt.at - self.window:
            self.count(self.attempts.popleft(), -1.0)
        self.worst_ratio = max(self.worst_ratio, self.in_window / self.bound)
        if self.in_window > self.bound:
            self.fell = True
            self.broken = self.told_in_window > TOLD_SHARE * self.in_window

    def count(self, attempt: Attempt, sign: float) -> None:
        self.in_window += sign * attempt.work
        self.told_in_window += sign * attempt.work if attempt.told else 0.0


class ToldAdapter(VirtualAdapter):
    """A dispatcher's link that keeps which starts of engines it has been told of."""

    def start(self) -> None:
        self.told = dict[int, float]()
        super().start()

    def apply_list(self) -> None:
        assert isinstance(self.world, ColdWorld)
        lines = self.world.list_for(self.index)
        self.told = {line.engine: line.started for line in lines}
        self.world.observer.listed(self.world.now, self.index, lines)
        self.rules.list_changed(self.world.now, lines, True)

    def submit(self, kind: int, work: float, group: int) -> None:
        assert isinstance(self.world, ColdWorld)
        heavy = self.world.scenario.heavy_tail and self.world.chance.random() < TAIL_SHARE
        super().submit(kind, work * TAIL_FACTOR if heavy else work, group)

    def estimate(self, work: float) -> float:
        assert isinstance(self.world, ColdWorld)
        return super().estimate(work) if self.world.scenario.estimates else 0.0


class ColdWorld(World):
    """One run of a scenario."""

    def __init__(
        self, scenario: Scenario, dispatchers: int, seed: int, make: RulesFactory = Dispatcher
    ) -> None:
        self.scenario, self.untold_until = scenario, 0.0
        self.meter = Meter(
            FALL_MULTIPLE * COLD_SHARE * LEAST_SPEED * CORES * COLD_WINDOW,
            scenario.mean_work(),
            COLD_WINDOW,
        )
        self.metered, self.started_at = NO_ENGINE, 0.0
        self.warm_engines = max(FEWEST_ENGINES, dispatchers // DISPATCHERS_AN_ENGINE)
        self.old_lines: list[ListedEngine] = []
        declared = max(1, round(scenario.declared * dispatchers))
        super().__init__(
            deployment(scenario, dispatchers),
            EngineModel(cores=CORES, cold_multiple=NEVER_FALLS, cold_for=COLD_FOR, cold_share=COLD_SHARE),
            self.warm_engines,
            Load(self.peak_rate(), scenario.mix.shares, scenario.mix.work),
            (),
            seed,
            lambda site, chance, adapter, now: make(
                replace(site, dispatchers=declared), chance, adapter, now
            ),
            ToldAdapter,
        )
        self.plan_events(dispatchers)

    def plan_events(self, dispatchers: int) -> None:
        scenario = self.scenario
        if scenario.half_is_told:
            self.at(self.start_time + JOIN_AT, self.restart_engine, 0)
        else:
            self.at(self.start_time + JOIN_AT, self.join)
        if scenario.engine_restarts:
            self.at(self.start_time + RESTART_AT, self.restart_engine, self.warm_engines)
        restarts = list[Failure]()
        if scenario.third_restarts:
            spread = [self.chance.uniform(0.0, COLD_WINDOW) for _ in range(0, dispatchers, 3)]
            restarts = [
                Failure(THIRD_RESTARTS_AT + at, "restart", 3 * place) for place, at in enumerate(spread)
            ]
        elif scenario.fleet_restarts:
            restarts = [Failure(JOIN_AT, "restart", index) for index in range(dispatchers)]
        for failure in restarts:
            self.at(self.start_time + failure.at, self.fails, failure)

    # Load.

    def peak_rate(self) -> float:
        """Requests a second at the heaviest phase."""
        capacity = self.warm_engines * CORES * 1000 / self.scenario.mean_work()
        return capacity * max(phase.load for phase in self.scenario.phases)

    def load_now(self) -> float:
        """The present phase's load over the heaviest one's."""
        phases = self.scenario.phases
        now = self.now - self.start_time
        load = next((phase.load for phase in phases if now < phase.until), phases[-1].load)
        return load / max(phase.load for phase in phases)

    def client(self) -> None:
        if self.chance.random() < self.load_now():
            super().client()
        else:
            self.arrive_next()

    # Engines.

    def join(self) -> None:
        self.add_engine(self.warm_engines, cold=True)
        self.meter_engine(self.warm_engines)
        self.tell()

    def restart_engine(self, number: int) -> None:
        """The process ends and is back at once, cold; what is in its window still counts."""
        self.old_lines = list(self.lines.values())
        self.progress(number)
        for job in self.engines[number].crash(self.now):
            self.reply(job.ident, Ending.RESET)
        self.engines[number] = Engine(self.kind, self.now, self.now)
        self.lines[number] = self.lines[number]._replace(started=self.now)
        self.plan(number)
        self.meter_engine(number)
        if self.scenario.half_is_told:
            self.untold_until = self.now + LATE_LIST
        self.tell()

    def meter_engine(self, number: int) -> None:
        self.metered, self.started_at = number, self.now

    def list_for(self, index: int) -> list[ListedEngine]:
        """The list as this dispatcher can know it now."""
        late = index % 2 == 1 and self.now < self.untold_until
        return self.old_lines if late else list(self.lines.values())

    def arrive(
        self, adapter: VirtualAdapter, life: int, request: OpenRequest, attempt: int, number: int, job: int
    ) -> None:
        if number == self.metered:
            assert isinstance(adapter, ToldAdapter)
            told = adapter.told.get(number) == self.started_at
            self.meter.reached(Attempt(self.now, request.work, told))
        super().arrive(adapter, life, request, attempt, number, job)

    def mean_use(self) -> float:
        """Work sent to the cold engine since its start, as a share of N in each window."""
        windows = (self.now - self.start_time - JOIN_AT) / COLD_WINDOW
        return self.meter.total / (windows * self.meter.allowed)


class Verdict(NamedTuple):
    """What one run showed."""

    broken: bool
    fell: bool
    worst_ratio: float
    use: float


def play(scenario: Scenario, dispatchers: int, seed: int, make: RulesFactory = Dispatcher) -> Verdict:
    world = ColdWorld(scenario, dispatchers, seed, make)
    world.run(scenario.seconds())
    return Verdict(world.meter.broken, world.meter.fell, world.meter.worst_ratio, world.mean_use())


def wilson(hits: int, trials: int, z: float = WILSON_Z) -> tuple[float, float]:
    """Wilson's score interval of a proportion."""
    share, square = hits / trials, z * z
    middle = (share + square / (2 * trials)) / (1 + square / trials)
    spread = math.sqrt(share * (1 - share) / trials + square / (4 * trials * trials))
    half = z * spread / (1 + square / trials)
    return max(0.0, middle - half), min(1.0, middle + half)


def summary(scenario: Scenario, dispatchers: int, verdicts: Sequence[Verdict]) -> dict[str, Any]:
    """One row of the table."""
    breaks = sum(verdict.broken for verdict in verdicts)
    low, high = wilson(breaks, len(verdicts))
    return {
        "scenario": scenario.name,
        "dispatchers": dispatchers,
        "seeds": len(verdicts),
        "breaks": breaks,
        "share": round(breaks / len(verdicts), 4),
        "low": round(low, 4),
        "high": round(high, 4),
        "falls": sum(verdict.fell for verdict in verdicts),
        "worst_ratio": round(max(verdict.worst_ratio for verdict in verdicts), 3),
        "mean_use": round(sum(verdict.use for verdict in verdicts) / len(verdicts), 3),
    }


SIZES = (2, 20, 30, 200)
QUICK_SIZES = (2, 200)
SEEDS, LARGE_SEEDS, QUICK_SEEDS = 200, 60, 2
LARGE = 200  # dispatchers: from here on a run takes seconds


def seeds_for(quick: bool, dispatchers: int) -> int:
    if quick:
        return QUICK_SEEDS
    return LARGE_SEEDS if dispatchers >= LARGE else SEEDS


def figures(quick: bool, say: Callable[[str], None] = lambda _: None, seed: int = 0) -> dict[str, Any]:
    """All that `spurdeal lab cold --json` prints. Seeds run on from the one given."""
    rows = list[dict[str, Any]]()
    with ProcessPoolExecutor(PROCESSES) as pool:
        for dispatchers in QUICK_SIZES if quick else SIZES:
            for scenario in SCENARIOS:
                count = seeds_for(quick, dispatchers)
                seeds = range(seed, seed + count)
                verdicts = list(pool.map(play, [scenario] * count, [dispatchers] * count, seeds))
                rows.append(summary(scenario, dispatchers, verdicts))
                say(str(rows[-1]))
    return {"seed": seed, "breaks": sum(row["breaks"] for row in rows), "scenarios": rows}
