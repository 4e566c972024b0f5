"""Simulated proof of rule 4: the work that all dispatchers together send to an engine in slow start.

Many dispatchers run the production rules in virtual time while an engine joins or restarts cold. A meter at
the cold engine sums the work of all attempts that reach it in a sliding window and compares it with the bound
of N + 2 sqrt(N) + 2 requests of mean work. The first excess overloads the engine. It is a violation of the
rule if over two thirds of the work in the window came from dispatchers that knew of the start. Times and work
are ms.
"""

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
from .planted import sample_deployment
from .virtual import Failure, Load, OpenRequest, VirtualAdapter, World

RulesFactory = Callable[[Deployment, int, Adapter, float], Rules]

PROCESSES = 2
WILSON_Z = 1.96  # two-sided 95%
INFORMED_SHARE = 2 / 3  # of the work in an overloaded window; above it, the overload violates the rule
MIN_SPEED = 0.68  # work per core and time of the slowest healthy engine, which also waits for I/O
NO_ENGINE = -1
MIN_ENGINES, DISPATCHERS_PER_ENGINE = 4, 25  # warm engines, whichever is more
JOIN_AT = 4_000.0  # after the start; the dispatchers have estimates of the mean work by then
RESTART_AT = JOIN_AT + 1_000.0  # within one window of the join
THIRD_RESTARTS_AT = JOIN_AT + 2_000.0
STALE_LIST_TIME = 6_000.0  # how long half of the dispatchers keep a list without the restart
IDLE_TIME, IDLE_LOAD = 10_000.0, 0.02  # ms of light load before a burst; its share of the capacity
COLD_FOR, COLD_WINDOW, COLD_SHARE, COLD_MULTIPLE = 15_000.0, 1_500.0, 0.31, 2.0
CORES = 16
UNLIMITED_MULTIPLE = 1e9  # keeps the engine model from crashing: its own bound lacks the meter's margin
TAIL_SHARE, TAIL_FACTOR = 0.02, 15.0  # share of the heavy requests, and the factor of their work


class Phase(NamedTuple):
    """Offered load, as a share of the warm engines' capacity, until a time of the run."""

    until: float
    load: float


class Mix(NamedTuple):
    """The workloads: by workload, its share of all requests, mean work and threads."""

    shares: tuple[float, ...]
    work: tuple[float, ...]
    threads: tuple[int, ...]

    def mean_work(self) -> float:
        """Returns the mean work over all workloads."""
        return sum(share * work for share, work in zip(self.shares, self.work, strict=True))


MIXED = Mix((0.8, 0.2), (200.0, 2_400.0), (1, 4))
LIGHT_ONLY = Mix((1.0,), (200.0,), (1,))


@dataclass(frozen=True, slots=True)
class Scenario:
    """Load and events around the start of one engine.

    Attributes:
        name: Its name in the report.
        phases: Offered load over time.
        mix: The workloads.
        declared_ratio: Dispatchers according to the settings, over those that run.
        third_restarts: Whether every third dispatcher restarts within one window.
        fleet_restarts: Whether all dispatchers restart at the moment the engine joins.
        engine_restarts: Whether the engine restarts with attempts still in its window.
        half_informed: Whether engine 0 restarts at its address and half of the dispatchers get the list late.
        heavy_tail: Whether a small share of the requests has far more work.
        estimates: Whether requests come with an estimate of their work.
    """

    name: str
    phases: tuple[Phase, ...]
    mix: Mix = MIXED
    declared_ratio: float = 1.0
    third_restarts: bool = False
    fleet_restarts: bool = False
    engine_restarts: bool = False
    half_informed: bool = False
    heavy_tail: bool = False
    estimates: bool = True

    def seconds(self) -> float:
        """Returns the length of a run in seconds."""
        return self.phases[-1].until / 1000

    def mean_work(self) -> float:
        """Returns the mean work of a request, heavy requests included."""
        tail = TAIL_SHARE * (TAIL_FACTOR - 1.0) if self.heavy_tail else 0.0
        return self.mix.mean_work() * (1.0 + tail)


STEADY = (Phase(JOIN_AT + 4_000.0, 0.7),)
BUSY = (Phase(JOIN_AT, 0.9), Phase(JOIN_AT + 4_000.0, 1.3))
OVERLOADED = (Phase(JOIN_AT, 1.8), Phase(JOIN_AT + 4_000.0, 0.9))
IDLE_THEN_BURST = (
    Phase(JOIN_AT, 0.7),
    Phase(JOIN_AT + IDLE_TIME, IDLE_LOAD),
    Phase(JOIN_AT + IDLE_TIME + 2_000.0, 2.0),
)

SCENARIOS = (
    Scenario("steady", STEADY),
    Scenario("busy", BUSY),
    Scenario("light_only", BUSY, LIGHT_ONLY),
    Scenario("too_few_declared", BUSY, LIGHT_ONLY, declared_ratio=0.5),
    Scenario("too_many_declared", BUSY, LIGHT_ONLY, declared_ratio=1.5),
    Scenario("third_restarts", BUSY, LIGHT_ONLY, third_restarts=True),
    Scenario("fleet_restarts", BUSY, LIGHT_ONLY, fleet_restarts=True),
    Scenario("released_queue", OVERLOADED),
    Scenario("idle_then_burst", IDLE_THEN_BURST, LIGHT_ONLY),
    Scenario("cold_again", BUSY, LIGHT_ONLY, engine_restarts=True),
    Scenario("half_is_told", BUSY, LIGHT_ONLY, half_informed=True),
    Scenario("heavy_tail", BUSY, LIGHT_ONLY, heavy_tail=True),
    Scenario("no_estimates", BUSY, estimates=False),
)


def deployment(scenario: Scenario, dispatchers: int) -> Deployment:
    """Returns the deployment of a scenario, with the true number of dispatchers."""
    return replace(
        sample_deployment(dispatchers),
        workloads=tuple(
            Workload(1_200.0, 1.5, 6_000.0, 1.0, 0.3, threads=threads) for threads in scenario.mix.threads
        ),
        cores=(CORES,),
        second_copies=False,
        cold_for=COLD_FOR,
        cold_share=COLD_SHARE,
        cold_multiple=COLD_MULTIPLE,
        cold_window=COLD_WINDOW,
        retry_window=None,
    )


class Attempt(NamedTuple):
    """One attempt in a cold engine's window; informed: its dispatcher knew of the engine's start."""

    at: float
    work: float
    informed: bool


class Meter:
    """Sums the work that reaches one cold engine in a sliding window, up to the first overload.

    Attributes:
        bound: Work in a window above which the engine is overloaded.
        in_window: Work in the window.
        informed_in_window: Part of it from dispatchers that knew of the engine's start.
        total: All work so far.
        worst_ratio: Greatest work in any window, over the bound.
        overloaded: Whether the bound was exceeded.
        violation: Whether most of the work in the overloaded window came from informed dispatchers.
    """

    def __init__(self, allowed: float, mean_work: float, window: float) -> None:
        self.allowed, self.window = allowed, window
        requests = allowed / mean_work
        self.bound = (requests + 2 * math.sqrt(requests) + 2) * mean_work
        self.attempts = deque[Attempt]()
        self.in_window = self.informed_in_window = self.total = self.worst_ratio = 0.0
        self.overloaded = self.violation = False

    def add(self, attempt: Attempt) -> None:
        """Adds an attempt that reached the engine."""
        if self.overloaded:
            return
        self.attempts.append(attempt)
        self.count(attempt, 1.0)
        self.total += attempt.work
        while self.attempts[0].at <= attempt.at - self.window:
            self.count(self.attempts.popleft(), -1.0)
        self.worst_ratio = max(self.worst_ratio, self.in_window / self.bound)
        if self.in_window > self.bound:
            self.overloaded = True
            self.violation = self.informed_in_window > INFORMED_SHARE * self.in_window

    def count(self, attempt: Attempt, sign: float) -> None:
        """Adds an attempt to the window (sign 1) or removes it (sign -1)."""
        self.in_window += sign * attempt.work
        self.informed_in_window += sign * attempt.work if attempt.informed else 0.0


class StartAwareAdapter(VirtualAdapter):
    """Adapter that records of which engine starts its dispatcher knows.

    Attributes:
        known_starts: By engine, its start time in the last list delivered.
    """

    def start(self) -> None:
        """Starts the dispatcher, or restarts it without any state."""
        self.known_starts = dict[int, float]()
        super().start()

    def apply_list(self) -> None:
        """Hands the list that this dispatcher can know to the rules."""
        assert isinstance(self.world, ColdWorld)
        listed_engines = self.world.list_for(self.index)
        self.known_starts = {line.engine: line.started for line in listed_engines}
        self.world.observer.listed(self.world.now, self.index, listed_engines)
        self.rules.list_changed(self.world.now, listed_engines, True)

    def receive_request(self, kind: int, work: float, group: int) -> None:
        """Handles a request, which is heavy by chance if the scenario says so."""
        assert isinstance(self.world, ColdWorld)
        heavy = self.world.scenario.heavy_tail and self.world.chance.random() < TAIL_SHARE
        super().receive_request(kind, work * TAIL_FACTOR if heavy else work, group)

    def estimated_work(self, work: float) -> float:
        """Returns the estimate of a request's work; 0 in a scenario without estimates."""
        assert isinstance(self.world, ColdWorld)
        return super().estimated_work(work) if self.world.scenario.estimates else 0.0


class ColdWorld(World):
    """One run of a scenario.

    Attributes:
        meter: Measures the work that reaches the cold engine.
        metered_engine: Number of that engine.
        engine_started_at: Time of its last start.
        uninformed_until: Until when half of the dispatchers get the previous list.
        previous_list: The list before the last restart of an engine.
        warm_engines: Number of engines that run from the start.
    """

    def __init__(
        self, scenario: Scenario, dispatchers: int, seed: int, make: RulesFactory = Dispatcher
    ) -> None:
        self.scenario, self.uninformed_until = scenario, 0.0
        self.meter = Meter(
            COLD_MULTIPLE * COLD_SHARE * MIN_SPEED * CORES * COLD_WINDOW,
            scenario.mean_work(),
            COLD_WINDOW,
        )
        self.metered_engine, self.engine_started_at = NO_ENGINE, 0.0
        self.warm_engines = max(MIN_ENGINES, dispatchers // DISPATCHERS_PER_ENGINE)
        self.previous_list: list[ListedEngine] = []
        declared = max(1, round(scenario.declared_ratio * dispatchers))
        super().__init__(
            deployment(scenario, dispatchers),
            EngineModel(
                cores=CORES, cold_multiple=UNLIMITED_MULTIPLE, cold_for=COLD_FOR, cold_share=COLD_SHARE
            ),
            self.warm_engines,
            Load(self.peak_rate(), scenario.mix.shares, scenario.mix.work),
            (),
            seed,
            lambda true_deployment, chance, adapter, now: make(
                replace(true_deployment, dispatchers=declared), chance, adapter, now
            ),
            StartAwareAdapter,
        )
        self.plan_events(dispatchers)

    def plan_events(self, dispatchers: int) -> None:
        """Schedules the scenario's events."""
        scenario = self.scenario
        if scenario.half_informed:
            self.schedule(self.start_time + JOIN_AT, self.restart_engine, 0)
        else:
            self.schedule(self.start_time + JOIN_AT, self.join)
        if scenario.engine_restarts:
            self.schedule(self.start_time + RESTART_AT, self.restart_engine, self.warm_engines)
        restarts = list[Failure]()
        if scenario.third_restarts:
            spread = [self.chance.uniform(0.0, COLD_WINDOW) for _ in range(0, dispatchers, 3)]
            restarts = [
                Failure(THIRD_RESTARTS_AT + at, "restart", 3 * place) for place, at in enumerate(spread)
            ]
        elif scenario.fleet_restarts:
            restarts = [Failure(JOIN_AT, "restart", index) for index in range(dispatchers)]
        for failure in restarts:
            self.schedule(self.start_time + failure.at, self.inject, failure)

    # Load.

    def peak_rate(self) -> float:
        """Returns the requests per second of the phase with the greatest load."""
        capacity = self.warm_engines * CORES * 1000 / self.scenario.mean_work()
        return capacity * max(phase.load for phase in self.scenario.phases)

    def load_now(self) -> float:
        """Returns the current phase's load over the greatest one."""
        phases = self.scenario.phases
        now = self.now - self.start_time
        load = next((phase.load for phase in phases if now < phase.until), phases[-1].load)
        return load / max(phase.load for phase in phases)

    def client_arrival(self) -> None:
        """Thins the arrivals from the peak rate to the current load."""
        if self.chance.random() < self.load_now():
            super().client_arrival()
        else:
            self.schedule_arrival()

    # Engines.

    def join(self) -> None:
        """Adds the cold engine."""
        self.add_engine(self.warm_engines, cold=True)
        self.meter_engine(self.warm_engines)
        self.announce_list()

    def restart_engine(self, number: int) -> None:
        """Restarts an engine, which is cold at once; work in its window still counts."""
        self.previous_list = list(self.listed_engines.values())
        self.advance_engine(number)
        for job in self.engines[number].crash(self.now):
            self.reply(job.ident, Ending.RESET)
        self.engines[number] = Engine(self.kind, self.now, self.now)
        self.listed_engines[number] = self.listed_engines[number]._replace(started=self.now)
        self.schedule_completion(number)
        self.meter_engine(number)
        if self.scenario.half_informed:
            self.uninformed_until = self.now + STALE_LIST_TIME
        self.announce_list()

    def meter_engine(self, number: int) -> None:
        """Measures this engine from now on."""
        self.metered_engine, self.engine_started_at = number, self.now

    def list_for(self, index: int) -> list[ListedEngine]:
        """Returns the list that a dispatcher can know now."""
        late = index % 2 == 1 and self.now < self.uninformed_until
        return self.previous_list if late else list(self.listed_engines.values())

    def attempt_arrived(
        self,
        adapter: VirtualAdapter,
        incarnation: int,
        request: OpenRequest,
        attempt: int,
        number: int,
        job: int,
    ) -> None:
        """Measures an attempt that reaches the cold engine."""
        if number == self.metered_engine:
            assert isinstance(adapter, StartAwareAdapter)
            informed = adapter.known_starts.get(number) == self.engine_started_at
            self.meter.add(Attempt(self.now, request.work, informed))
        super().attempt_arrived(adapter, incarnation, request, attempt, number, job)

    def mean_budget_use(self) -> float:
        """Returns the mean work per window sent to the cold engine since it joined, as a share of N."""
        windows = (self.now - self.start_time - JOIN_AT) / COLD_WINDOW
        return self.meter.total / (windows * self.meter.allowed)


class RunResult(NamedTuple):
    """Result of one run.

    Attributes:
        violation: Whether the rule was violated.
        overloaded: Whether the cold engine was overloaded.
        worst_ratio: Greatest work in any window, over the bound.
        use: Mean use of the slow-start budget.
    """

    violation: bool
    overloaded: bool
    worst_ratio: float
    use: float


def run_scenario(
    scenario: Scenario, dispatchers: int, seed: int, make: RulesFactory = Dispatcher
) -> RunResult:
    """Runs a scenario once."""
    world = ColdWorld(scenario, dispatchers, seed, make)
    world.run(scenario.seconds())
    return RunResult(
        world.meter.violation, world.meter.overloaded, world.meter.worst_ratio, world.mean_budget_use()
    )


def wilson(hits: int, trials: int, z: float = WILSON_Z) -> tuple[float, float]:
    """Returns the Wilson score interval of a proportion."""
    share, square = hits / trials, z * z
    middle = (share + square / (2 * trials)) / (1 + square / trials)
    spread = math.sqrt(share * (1 - share) / trials + square / (4 * trials * trials))
    half = z * spread / (1 + square / trials)
    return max(0.0, middle - half), min(1.0, middle + half)


def summary(scenario: Scenario, dispatchers: int, results: Sequence[RunResult]) -> dict[str, Any]:
    """Returns the row of the report for one scenario and number of dispatchers."""
    breaks = sum(result.violation for result in results)
    low, high = wilson(breaks, len(results))
    return {
        "scenario": scenario.name,
        "dispatchers": dispatchers,
        "seeds": len(results),
        "breaks": breaks,
        "share": round(breaks / len(results), 4),
        "low": round(low, 4),
        "high": round(high, 4),
        "falls": sum(result.overloaded for result in results),
        "worst_ratio": round(max(result.worst_ratio for result in results), 3),
        "mean_use": round(sum(result.use for result in results) / len(results), 3),
    }


SIZES = (2, 20, 30, 200)
QUICK_SIZES = (2, 200)
SEEDS, LARGE_SEEDS, QUICK_SEEDS = 200, 60, 2
LARGE = 200  # dispatchers from which on fewer seeds are run, as a run takes seconds


def seeds_for(quick: bool, dispatchers: int) -> int:
    """Returns the number of seeds for a number of dispatchers."""
    if quick:
        return QUICK_SEEDS
    return LARGE_SEEDS if dispatchers >= LARGE else SEEDS


def figures(quick: bool, say: Callable[[str], None] = lambda _: None, seed: int = 0) -> dict[str, Any]:
    """Returns all that `spurdeal lab cold --json` prints; seeds count up from the one given."""
    rows = list[dict[str, Any]]()
    with ProcessPoolExecutor(PROCESSES) as pool:
        for dispatchers in QUICK_SIZES if quick else SIZES:
            for scenario in SCENARIOS:
                count = seeds_for(quick, dispatchers)
                seeds = range(seed, seed + count)
                results = list(pool.map(run_scenario, [scenario] * count, [dispatchers] * count, seeds))
                rows.append(summary(scenario, dispatchers, results))
                say(str(rows[-1]))
    return {"seed": seed, "breaks": sum(row["breaks"] for row in rows), "scenarios": rows}
