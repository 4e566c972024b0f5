"""Many dispatchers before many engines in virtual time, in one process: the rules as they run, by a link of
its own.

Everything comes from one heap of moments and one seed, so that a run is the same to the byte each time. What
is ready at one moment is handed to a dispatcher in one turn. Times are ms."""

from __future__ import annotations

import hashlib
import heapq
import random
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from ..interface import Deployment, Effect, Ending, EndReason, Life, ListedEngine
from ..rules import Dispatcher
from .model_engine import Engine, Job, Kind
from .observer import Observer

LATENCY, JITTER = 0.4, 0.6  # ms each way, and up to so much more (choice)
NOTICE = 300.0, 1200.0  # ms until a change of the list is told (choice)
DIAL = 250.0  # ms until a connection to nobody is given up


class Load(NamedTuple):
    """What clients send: each workload's share and mean work, over all dispatchers."""

    per_second: float
    shares: tuple[float, ...]
    work: tuple[float, ...]  # ms on one core
    groups: int = 40


class Failure(NamedTuple):
    """What happens to whom, and when."""

    at: float
    what: str  # crash, hang, slow, drain, replace, restart, cut_list
    whom: int = 0
    factor: float = 0.2


@dataclass(slots=True, eq=False)
class OpenRequest:
    number: int
    kind: int
    deadline: float
    work: float
    group: int
    answered: bool = False
    made: int = 0
    out: dict[int, tuple[int, float, int]] = field(default_factory=dict)  # attempt: engine, sent, job


class VirtualAdapter:
    """One dispatcher's link. `make` builds the rules, or what stands in for them."""

    def __init__(self, world: World, index: int, make: Callable[[Deployment, int, Any, float], Any]) -> None:
        self.world, self.index, self.make = world, index, make
        self.start()

    def start(self) -> None:
        """Also a new start: nothing is known of the last."""
        self.open_requests: dict[int, OpenRequest] = {}
        self.life = self.world.next()
        self.numbers = 0
        self.batch_scheduled = False
        world = self.world
        self.rules = self.make(world.site, world.chance.getrandbits(32), self, world.now)
        self.apply_list()

    def event(self, life: int, call: Callable[..., None], *words: Any) -> None:
        """Something for this start of it; a turn follows when all of the moment is gathered."""
        if life != self.life:
            return
        call(*words)
        if not self.batch_scheduled:
            self.batch_scheduled = True
            self.world.at(self.world.now, self.run_batch, life)

    def run_batch(self, life: int) -> None:
        if life == self.life:
            self.batch_scheduled = False
            self.rules.end_batch(self.world.now)

    def later(self, delay: float, call: Callable[..., None], *words: Any) -> None:
        self.world.at(self.world.now + delay, self.event, self.life, call, *words)

    # What comes in.

    def apply_list(self) -> None:
        lines = list(self.world.lines.values())
        self.world.observer.listed(self.world.now, self.index, lines)
        self.rules.list_changed(self.world.now, lines, True)

    def submit(self, kind: int, work: float, group: int) -> None:
        world, w = self.world, self.world.site.workloads[kind]
        number, deadline = self.numbers, world.now + w.deadline
        self.numbers += 1
        request = self.open_requests[number] = OpenRequest(number, kind, deadline, work, group)
        key = group + 1 if w.in_order else 0
        world.counts["submissions"] += 1
        world.observer.taken(world.now, self.index, number, kind, key, deadline)
        self.later(w.deadline, self.expire, number)
        self.rules.request_received(
            world.now, number, kind, 0, key, deadline, self.estimate(work), 0.0, group
        )
        world.note("in", self.index, number, request.kind)

    def estimate(self, work: float) -> float:
        """Estimates are wrong (the brief)."""
        return work * self.world.chance.choice((0.5, 0.8, 1.0, 1.25, 2.0))

    def expire(self, number: int) -> None:
        request = self.open_requests.get(number)
        if request is None:
            return
        for attempt in list(request.out):
            self.finish(request, attempt, Ending.TIME_OUT)
        if not request.answered:
            self.world.at(self.world.now, self.overdue, self.life, number)

    def overdue(self, life: int, number: int) -> None:
        if (
            life == self.life
            and (request := self.open_requests.get(number)) is not None
            and not request.answered
        ):
            self.world.counts["not_answered_in_time"] += 1
            self.answer(request, "broken_off")

    def finish(self, request: OpenRequest, attempt: int, ending: Ending) -> None:
        found = request.out.pop(attempt, None)
        if found is None:
            return
        world, (engine, sent, job) = self.world, found
        if ending in (Ending.TIME_OUT, Ending.CALLED_OFF):
            world.at(world.now + world.way(), world.cancel, engine, job)
        world.observer.ended(world.now, self.index, request.number, attempt, ending)
        delivered = ending == Ending.DELIVERED and not request.answered
        if delivered:
            self.answer(request, "delivered")
            took = world.now - (request.deadline - world.site.workloads[request.kind].deadline)
            world.took[request.kind].append(took)
            world.counts["in_time"] += took <= world.site.workloads[request.kind].objective
        self.rules.attempt_ended(
            world.now,
            request.number,
            attempt,
            engine,
            ending,
            world.now - sent,
            delivered or request.answered,
            0.0,
            0.0,
            (),
        )
        self.drop(request)

    def came_back(self, number: int, attempt: int, ending: Ending) -> None:
        if (request := self.open_requests.get(number)) is not None:
            self.finish(request, attempt, ending)

    # What the rules ask for.

    def send(self, number: int, engine: int, time_limit: float) -> None:
        world, request = self.world, self.open_requests[number]
        attempt, request.made = request.made, request.made + 1
        job = world.next()
        request.out[attempt] = (engine, world.now, job)
        world.observer.sent(world.now, self.index, number, attempt, engine)
        world.note("send", self.index, number, attempt, engine)
        world.at(world.now + world.way(), world.arrive, self, self.life, request, attempt, engine, job)

    def set_terms(self, number: int, memory: float, priority: int) -> None:
        """Weights are not carried here."""

    def shed(self, number: int, retry_after: float, reason: EndReason) -> None:
        self.answer(self.open_requests[number], "shed")

    def fail_request(self, number: int, reason: EndReason) -> None:
        self.answer(self.open_requests[number], "broken_off")

    def answer(self, request: OpenRequest, what: str) -> None:
        if not request.answered:
            request.answered = True
            self.world.counts[what] += 1
            self.write(request, what)
            self.drop(request)

    def write(self, request: OpenRequest, what: str) -> None:
        """The answer leaves for the client."""
        self.world.observer.answered(self.world.now, self.index, request.number, what == "shed")
        self.world.note(what, self.index, request.number)

    def drop(self, request: OpenRequest) -> None:
        if request.answered and not request.out:
            self.open_requests.pop(request.number, None)

    def cancel_attempt(self, number: int, attempt: int) -> None:
        if (request := self.open_requests.get(number)) is not None and attempt in request.out:
            self.later(0.0, self.came_back, number, attempt, Ending.CALLED_OFF)

    def set_timer(self, delay: float, token: int) -> None:
        self.later(delay, self.woken, token)

    def woken(self, token: int) -> None:
        self.rules.timer_fired(self.world.now, token)

    def request_list(self) -> None:
        """The list comes unasked."""

    def log(self, line: str) -> None:
        self.world.note("log", self.index, line)


class World:
    """Engines, dispatchers, clients, failures, and the observer that sees it all."""

    def __init__(
        self,
        site: Deployment,
        kind: Kind,
        engines: int,
        load: Load,
        failures: Sequence[Failure],
        seed: int,
        make: Callable[[Deployment, int, Any, float], Any] = Dispatcher,
        adapters: type[VirtualAdapter] = VirtualAdapter,
    ) -> None:
        self.site, self.kind, self.load = site, kind, load
        self.chance, self.now = random.Random(seed), 1e6  # Unix times are too coarse for ends of jobs
        self.began = self.now
        self.heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.counter = 0
        self.counts: Counter[str] = Counter()
        self.took: list[list[float]] = [[] for _ in site.workloads]
        self.trace = hashlib.sha256()
        self.observer = Observer(site, kind.multiple * kind.cores * kind.cold_share * kind.window)
        self.engines: dict[int, Engine] = {}
        self.lines: dict[int, ListedEngine] = {}
        self.running: dict[int, tuple[VirtualAdapter, int, OpenRequest, int]] = {}
        self.versions: dict[int, int] = {}
        for number in range(engines):
            self.add_engine(number, cold=False)
        self.dispatchers = [adapters(self, index, make) for index in range(site.dispatchers)]
        for failure in failures:
            self.at(self.began + failure.at, self.fails, failure)
        self.arrive_next()

    # Time.

    def at(self, when: float, call: Callable[..., None], *words: Any) -> None:
        heapq.heappush(self.heap, (when, self.next(), call, words))

    def next(self) -> int:
        self.counter += 1
        return self.counter

    def way(self) -> float:
        return LATENCY + JITTER * self.chance.random()

    def note(self, *words: object) -> None:
        self.trace.update(f"{self.now:.6f} {words}\n".encode())

    def run(self, seconds: float) -> None:
        until = self.began + seconds * 1000
        while self.heap and self.heap[0][0] <= until:
            self.now, _, call, words = heapq.heappop(self.heap)
            self.counts["events"] += 1
            call(*words)
        self.now = until
        self.observer.overdue(until)

    # Clients.

    def arrive_next(self) -> None:
        self.at(self.now + self.chance.expovariate(self.load.per_second / 1000), self.client)

    def client(self) -> None:
        self.arrive_next()
        kind = self.chance.choices(range(len(self.load.shares)), self.load.shares)[0]
        adapter = self.dispatchers[self.chance.randrange(len(self.dispatchers))]
        work = self.chance.expovariate(1 / self.load.work[kind])
        adapter.event(adapter.life, adapter.submit, kind, work, self.chance.randrange(self.load.groups))

    # Engines.

    def add_engine(self, number: int, cold: bool) -> None:
        self.engines[number] = Engine(self.kind, self.now if cold else None, self.now)
        places = max(1, len({0, *self.site.cores}))
        self.lines[number] = ListedEngine(
            number, number % 2, number % places, number % 4, Life.READY, 1.0, self.now if cold else 0.0
        )
        if cold:
            self.observer.started(number, self.now + self.kind.cold_for)

    def arrive(
        self, adapter: VirtualAdapter, life: int, request: OpenRequest, attempt: int, number: int, job: int
    ) -> None:
        """An attempt reaches its engine."""
        engine = self.engines[number]
        if engine.down:
            self.at(
                self.now + self.way(),
                adapter.event,
                life,
                adapter.came_back,
                request.number,
                attempt,
                Ending.UNREACHED,
            )
            return
        if engine.hung:
            return  # it says nothing; the attempt's time will be up
        self.progress(number)
        self.observer.reached(self.now, number, request.work)
        w = self.site.workloads[request.kind]
        made = Job(
            job,
            max(0.01, request.work),
            w.threads,
            1.0,
            0.0,
            request.group if w.holds_tables or w.waits_for_loads else -1,
            w.holds_tables,
        )
        if not engine.start(self.now, made):
            self.at(
                self.now + self.way(),
                adapter.event,
                life,
                adapter.came_back,
                request.number,
                attempt,
                Ending.FULL,
            )
        else:
            self.running[job] = (adapter, life, request, attempt)
            self.counts["runs"] += 1
            if w.effect == Effect.NON_IDEMPOTENT:
                self.counts["irreversible_runs"] += 1
        self.plan(number)

    def progress(self, number: int) -> None:
        for job in self.engines[number].advance(self.now):
            self.reply(job.ident, Ending.DELIVERED)

    def reply(self, job: int, ending: Ending) -> None:
        found = self.running.pop(job, None)
        if found is not None:
            adapter, life, request, attempt = found
            self.at(
                self.now + self.way(), adapter.event, life, adapter.came_back, request.number, attempt, ending
            )

    def plan(self, number: int) -> None:
        """When its next job ends; what was planned before counts no more."""
        self.versions[number] = version = self.next()
        due = self.engines[number].next_at()
        if due != float("inf"):
            self.at(max(self.now, due), self.due, number, version)

    def due(self, number: int, version: int) -> None:
        if self.versions[number] == version:
            self.progress(number)
            self.plan(number)

    def cancel(self, number: int, job: int) -> None:
        self.running.pop(job, None)
        if not self.engines[number].down:
            self.progress(number)
            self.engines[number].cancel(self.now, job)
            self.plan(number)

    # Failures.

    def fails(self, failure: Failure) -> None:
        self.note("fails", failure.what, failure.whom)
        engine = self.engines.get(failure.whom)
        if failure.what == "restart":
            adapter = self.dispatchers[failure.whom % len(self.dispatchers)]
            self.observer.restarted(adapter.index)
            self.counts["held_by_killed"] += sum(
                not request.answered for request in adapter.open_requests.values()
            )
            adapter.start()
        elif engine is not None and failure.what in ("crash", "replace"):
            self.progress(failure.whom)
            for job in engine.crash(self.now):
                self.reply(job.ident, Ending.RESET)
            self.plan(failure.whom)
            self.change(failure.whom, Life.GONE)
            if failure.what == "replace":
                number = max(self.engines) + 1
                self.add_engine(number, cold=True)
                self.tell()
        elif engine is not None and failure.what == "drain":
            self.change(failure.whom, Life.DRAINING)
        elif engine is not None:
            self.progress(failure.whom)
            engine.hung, engine.speed = (
                failure.what == "hang",
                failure.factor if failure.what == "slow" else engine.speed,
            )
            engine.share(self.now)
            self.plan(failure.whom)

    def change(self, number: int, life: Life) -> None:
        if life == Life.GONE:
            self.lines.pop(number, None)
        else:
            self.lines[number] = self.lines[number]._replace(life=life)
        self.tell()

    def tell(self) -> None:
        """Each dispatcher learns of it a little later, by itself."""
        for adapter in self.dispatchers:
            self.at(self.now + self.chance.uniform(*NOTICE), adapter.event, adapter.life, adapter.apply_list)
