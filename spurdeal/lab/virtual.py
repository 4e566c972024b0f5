"""Discrete-event simulation of many dispatchers and engines in virtual time, in one process.

The dispatchers run the production rules behind an adapter of their own. One event queue and one seed make
each run reproducible to the byte. Events of one moment are handed to a dispatcher as one batch. Times are
ms.
"""

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
from .model_engine import Engine, EngineModel, Job
from .observer import Observer

MIN_DELAY, JITTER = 0.4, 0.6  # ms of one-way network delay: the minimum, and the uniform addition
LIST_DELAY = 300.0, 1200.0  # ms, at least and at most, until a dispatcher gets a changed list
DIAL_TIMEOUT = 250.0  # ms until a connection attempt without an answer fails


class Load(NamedTuple):
    """The clients' requests to all dispatchers together.

    Attributes:
        per_second: Mean rate of arrivals.
        shares: Each workload's share of all requests.
        work: Each workload's mean work, in ms on one core.
        table_groups: Number of groups of tables among which requests choose.
    """

    per_second: float
    shares: tuple[float, ...]
    work: tuple[float, ...]
    table_groups: int = 40


class Failure(NamedTuple):
    """A fault to inject.

    Attributes:
        at: Time from the start of the run.
        fault: crash, hang, slow, drain or replace, of an engine; restart, of a dispatcher.
        target: Number of the engine or dispatcher.
        factor: Speed of an engine that becomes slow, as a share of its normal speed.
    """

    at: float
    fault: str
    target: int = 0
    factor: float = 0.2


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request that is unanswered or has attempts in flight.

    Attributes:
        number: Its number at the dispatcher.
        kind: Index of its workload.
        deadline: Time at which it expires.
        work: Its work, in ms on one core.
        group: Its group of tables.
        answered: Whether the client has its response.
        attempts_made: Number of attempts so far; the next attempt's number.
        in_flight: By attempt: its engine, when it was sent, and its job.
    """

    number: int
    kind: int
    deadline: float
    work: float
    group: int
    answered: bool = False
    attempts_made: int = 0
    in_flight: dict[int, tuple[int, float, int]] = field(default_factory=dict)


class VirtualAdapter:
    """Connects one dispatcher's rules to the simulation.

    Attributes:
        make_rules: Builds the rules, or a faulty variant of them.
        incarnation: Identifies this start of the dispatcher; events of earlier ones are dropped.
        next_number: Number of the next request.
        batch_scheduled: Whether the end of the batch of this moment is scheduled.
    """

    def __init__(
        self, world: World, index: int, make_rules: Callable[[Deployment, int, Any, float], Any]
    ) -> None:
        self.world, self.index, self.make_rules = world, index, make_rules
        self.start()

    def start(self) -> None:
        """Starts the dispatcher, or restarts it without any state."""
        self.open_requests: dict[int, OpenRequest] = {}
        self.incarnation = self.world.next_id()
        self.next_number = 0
        self.batch_scheduled = False
        world = self.world
        self.rules = self.make_rules(world.deployment, world.chance.getrandbits(32), self, world.now)
        self.apply_list()

    def deliver(self, incarnation: int, call: Callable[..., None], *args: Any) -> None:
        """Handles an event of this incarnation; the batch ends after all events of this moment."""
        if incarnation != self.incarnation:
            return
        call(*args)
        if not self.batch_scheduled:
            self.batch_scheduled = True
            self.world.schedule(self.world.now, self.run_batch, incarnation)

    def run_batch(self, incarnation: int) -> None:
        """Ends the batch of events of this moment."""
        if incarnation == self.incarnation:
            self.batch_scheduled = False
            self.rules.end_batch(self.world.now)

    def call_later(self, delay: float, call: Callable[..., None], *args: Any) -> None:
        """Schedules an event of this incarnation."""
        self.world.schedule(self.world.now + delay, self.deliver, self.incarnation, call, *args)

    # Events.

    def apply_list(self) -> None:
        """Hands the current list to the rules."""
        listed_engines = list(self.world.listed_engines.values())
        self.world.observer.listed(self.world.now, self.index, listed_engines)
        self.rules.list_changed(self.world.now, listed_engines, True)

    def receive_request(self, kind: int, work: float, group: int) -> None:
        """Handles a request that arrives from a client."""
        world, w = self.world, self.world.deployment.workloads[kind]
        number, deadline = self.next_number, world.now + w.deadline
        self.next_number += 1
        request = self.open_requests[number] = OpenRequest(number, kind, deadline, work, group)
        key = group + 1 if w.in_order else 0
        world.counts["submissions"] += 1
        world.observer.taken(world.now, self.index, number, kind, key, deadline)
        self.call_later(w.deadline, self.expire, number)
        self.rules.request_received(
            world.now, number, kind, 0, key, deadline, self.estimated_work(work), 0.0, group
        )
        world.record_trace("in", self.index, number, request.kind)

    def estimated_work(self, work: float) -> float:
        """Returns the estimate of a request's work, which is off by up to a factor of two."""
        return work * self.world.chance.choice((0.5, 0.8, 1.0, 1.25, 2.0))

    def expire(self, number: int) -> None:
        """Times out a request's attempts at its deadline."""
        request = self.open_requests.get(number)
        if request is None:
            return
        for attempt in list(request.in_flight):
            self.end_attempt(request, attempt, Ending.TIME_OUT)
        if not request.answered:
            self.world.schedule(self.world.now, self.expire_unanswered, self.incarnation, number)

    def expire_unanswered(self, incarnation: int, number: int) -> None:
        """Fails a request that the rules left unanswered at its deadline, and counts it."""
        if (
            incarnation == self.incarnation
            and (request := self.open_requests.get(number)) is not None
            and not request.answered
        ):
            self.world.counts["not_answered_in_time"] += 1
            self.answer(request, "broken_off")

    def end_attempt(self, request: OpenRequest, attempt: int, ending: Ending) -> None:
        """Reports the end of an attempt to the rules; a late second report is ignored."""
        found = request.in_flight.pop(attempt, None)
        if found is None:
            return
        world, (engine, sent, job) = self.world, found
        if ending in (Ending.TIME_OUT, Ending.CALLED_OFF):
            world.schedule(world.now + world.network_delay(), world.cancel, engine, job)
        world.observer.ended(world.now, self.index, request.number, attempt, ending)
        delivered = ending == Ending.DELIVERED and not request.answered
        if delivered:
            self.answer(request, "delivered")
            latency = world.now - (request.deadline - world.deployment.workloads[request.kind].deadline)
            world.latencies[request.kind].append(latency)
            world.counts["in_time"] += latency <= world.deployment.workloads[request.kind].objective
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
        self.forget(request)

    def response_received(self, number: int, attempt: int, ending: Ending) -> None:
        """Handles an engine's response."""
        if (request := self.open_requests.get(number)) is not None:
            self.end_attempt(request, attempt, ending)

    # Calls of the rules.

    def send(self, number: int, engine: int, time_limit: float) -> None:
        """Sends a request's next attempt to an engine."""
        world, request = self.world, self.open_requests[number]
        attempt, request.attempts_made = request.attempts_made, request.attempts_made + 1
        job = world.next_id()
        request.in_flight[attempt] = (engine, world.now, job)
        world.observer.sent(world.now, self.index, number, attempt, engine)
        world.record_trace("send", self.index, number, attempt, engine)
        world.schedule(
            world.now + world.network_delay(),
            world.attempt_arrived,
            self,
            self.incarnation,
            request,
            attempt,
            engine,
            job,
        )

    def set_terms(self, number: int, memory: float, priority: int) -> None:
        """Ignored: the simulation has no memory grants and priorities."""

    def shed(self, number: int, retry_after: float, reason: EndReason) -> None:
        """Answers a request with a rejection."""
        self.answer(self.open_requests[number], "shed")

    def fail_request(self, number: int, reason: EndReason) -> None:
        """Answers a request with an error."""
        self.answer(self.open_requests[number], "broken_off")

    def answer(self, request: OpenRequest, outcome: str) -> None:
        """Answers a request unless it has been answered."""
        if not request.answered:
            request.answered = True
            self.world.counts[outcome] += 1
            self.write_response(request, outcome)
            self.forget(request)

    def write_response(self, request: OpenRequest, outcome: str) -> None:
        """Sends the response to the client."""
        self.world.observer.answered(self.world.now, self.index, request.number, outcome == "shed")
        self.world.record_trace(outcome, self.index, request.number)

    def forget(self, request: OpenRequest) -> None:
        """Drops a request that is answered and has no attempts in flight."""
        if request.answered and not request.in_flight:
            self.open_requests.pop(request.number, None)

    def cancel_attempt(self, number: int, attempt: int) -> None:
        """Cancels an attempt; its end is reported in a later batch."""
        if (request := self.open_requests.get(number)) is not None and attempt in request.in_flight:
            self.call_later(0.0, self.response_received, number, attempt, Ending.CALLED_OFF)

    def set_timer(self, delay: float, token: int) -> None:
        """Schedules a timer of the rules."""
        self.call_later(delay, self.timer_due, token)

    def timer_due(self, token: int) -> None:
        """Handles a timer of the rules."""
        self.rules.timer_fired(self.world.now, token)

    def request_list(self) -> None:
        """Does nothing: changes of the list are pushed."""

    def log(self, line: str) -> None:
        """Adds a log line of the rules to the trace."""
        self.world.record_trace("log", self.index, line)


class World:
    """One simulation: its engines, dispatchers, clients and faults, and the observer that checks the rules.

    Attributes:
        chance: Source of all randomness.
        now: Virtual time.
        start_time: Virtual time at which the run started.
        event_queue: Heap of events: time, number that breaks ties, function and arguments.
        last_id: Last number given out by next_id.
        counts: Events by kind; its keys are part of the reports.
        latencies: Latencies of delivered requests, by workload.
        trace: Digest of all that happened, by which runs are compared.
        listed_engines: The current list.
        running_jobs: By job: its adapter, the incarnation that sent it, its request and attempt.
        completion_versions: By engine, the version of its scheduled completion; earlier ones are void.
    """

    def __init__(
        self,
        deployment: Deployment,
        kind: EngineModel,
        engines: int,
        load: Load,
        failures: Sequence[Failure],
        seed: int,
        make_rules: Callable[[Deployment, int, Any, float], Any] = Dispatcher,
        adapters: type[VirtualAdapter] = VirtualAdapter,
    ) -> None:
        self.deployment, self.kind, self.load = deployment, kind, load
        self.chance, self.now = (
            random.Random(seed),
            1e6,
        )  # as a float, a Unix time in ms is too coarse for completion times
        self.start_time = self.now
        self.event_queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.last_id = 0
        self.counts: Counter[str] = Counter()
        self.latencies: list[list[float]] = [[] for _ in deployment.workloads]
        self.trace = hashlib.sha256()
        self.observer = Observer(
            deployment, kind.cold_multiple * kind.cores * kind.cold_share * kind.cold_window
        )
        self.engines: dict[int, Engine] = {}
        self.listed_engines: dict[int, ListedEngine] = {}
        self.running_jobs: dict[int, tuple[VirtualAdapter, int, OpenRequest, int]] = {}
        self.completion_versions: dict[int, int] = {}
        for number in range(engines):
            self.add_engine(number, cold=False)
        self.dispatchers = [adapters(self, index, make_rules) for index in range(deployment.dispatchers)]
        for failure in failures:
            self.schedule(self.start_time + failure.at, self.inject, failure)
        self.schedule_arrival()

    # Time.

    def schedule(self, when: float, call: Callable[..., None], *args: Any) -> None:
        """Schedules a call at a virtual time; calls of one time run in the order of scheduling."""
        heapq.heappush(self.event_queue, (when, self.next_id(), call, args))

    def next_id(self) -> int:
        """Returns a new number, for ties, jobs, incarnations and versions."""
        self.last_id += 1
        return self.last_id

    def network_delay(self) -> float:
        """Draws a one-way network delay."""
        return MIN_DELAY + JITTER * self.chance.random()

    def record_trace(self, *args: object) -> None:
        """Adds an event to the trace."""
        self.trace.update(f"{self.now:.6f} {args}\n".encode())

    def run(self, seconds: float) -> None:
        """Runs the simulation until so many virtual seconds after its start."""
        until = self.start_time + seconds * 1000
        while self.event_queue and self.event_queue[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self.event_queue)
            self.counts["events"] += 1
            call(*args)
        self.now = until
        self.observer.overdue(until)

    # Clients.

    def schedule_arrival(self) -> None:
        """Schedules the next request, after an exponential interval."""
        self.schedule(self.now + self.chance.expovariate(self.load.per_second / 1000), self.client_arrival)

    def client_arrival(self) -> None:
        """Sends a request of a random workload to a random dispatcher."""
        self.schedule_arrival()
        kind = self.chance.choices(range(len(self.load.shares)), self.load.shares)[0]
        adapter = self.dispatchers[self.chance.randrange(len(self.dispatchers))]
        work = self.chance.expovariate(1 / self.load.work[kind])
        adapter.deliver(
            adapter.incarnation,
            adapter.receive_request,
            kind,
            work,
            self.chance.randrange(self.load.table_groups),
        )

    # Engines.

    def add_engine(self, number: int, cold: bool) -> None:
        """Starts an engine and lists it; the dispatchers get the list by announce_list."""
        self.engines[number] = Engine(self.kind, self.now if cold else None, self.now)
        places = max(1, len({0, *self.deployment.cores}))
        self.listed_engines[number] = ListedEngine(
            number, number % 2, number % places, number % 4, Life.READY, 1.0, self.now if cold else 0.0
        )
        if cold:
            self.observer.started(number, self.now + self.kind.cold_for)

    def attempt_arrived(
        self,
        adapter: VirtualAdapter,
        incarnation: int,
        request: OpenRequest,
        attempt: int,
        number: int,
        job: int,
    ) -> None:
        """Handles an attempt that reaches its engine."""
        engine = self.engines[number]
        if engine.down:
            self.schedule(
                self.now + self.network_delay(),
                adapter.deliver,
                incarnation,
                adapter.response_received,
                request.number,
                attempt,
                Ending.UNREACHED,
            )
            return
        if engine.hung:
            return  # no response: the attempt will time out
        self.advance_engine(number)
        self.observer.reached(self.now, number, request.work)
        w = self.deployment.workloads[request.kind]
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
            self.schedule(
                self.now + self.network_delay(),
                adapter.deliver,
                incarnation,
                adapter.response_received,
                request.number,
                attempt,
                Ending.FULL,
            )
        else:
            self.running_jobs[job] = (adapter, incarnation, request, attempt)
            self.counts["runs"] += 1
            if w.effect == Effect.NON_IDEMPOTENT:
                self.counts["irreversible_runs"] += 1
        self.schedule_completion(number)

    def advance_engine(self, number: int) -> None:
        """Advances an engine to now and sends the responses of its completed jobs."""
        for job in self.engines[number].advance(self.now):
            self.reply(job.ident, Ending.DELIVERED)

    def reply(self, job: int, ending: Ending) -> None:
        """Sends a job's response to its dispatcher, unless the job was cancelled."""
        found = self.running_jobs.pop(job, None)
        if found is not None:
            adapter, incarnation, request, attempt = found
            self.schedule(
                self.now + self.network_delay(),
                adapter.deliver,
                incarnation,
                adapter.response_received,
                request.number,
                attempt,
                ending,
            )

    def schedule_completion(self, number: int) -> None:
        """Schedules the completion of an engine's next job, which replaces the one scheduled before."""
        self.completion_versions[number] = version = self.next_id()
        due_at = self.engines[number].next_completion_at()
        if due_at != float("inf"):
            self.schedule(max(self.now, due_at), self.completion_due, number, version)

    def completion_due(self, number: int, version: int) -> None:
        """Handles a scheduled completion unless it has been replaced."""
        if self.completion_versions[number] == version:
            self.advance_engine(number)
            self.schedule_completion(number)

    def cancel(self, number: int, job: int) -> None:
        """Cancels a job at its engine."""
        self.running_jobs.pop(job, None)
        if not self.engines[number].down:
            self.advance_engine(number)
            self.engines[number].cancel(self.now, job)
            self.schedule_completion(number)

    # Faults.

    def inject(self, failure: Failure) -> None:
        """Injects a fault."""
        self.record_trace("fails", failure.fault, failure.target)
        engine = self.engines.get(failure.target)
        if failure.fault == "restart":
            adapter = self.dispatchers[failure.target % len(self.dispatchers)]
            self.observer.restarted(adapter.index)
            self.counts["held_by_killed"] += sum(
                not request.answered for request in adapter.open_requests.values()
            )
            adapter.start()
        elif engine is not None and failure.fault in ("crash", "replace"):
            self.advance_engine(failure.target)
            for job in engine.crash(self.now):
                self.reply(job.ident, Ending.RESET)
            self.schedule_completion(failure.target)
            self.set_life(failure.target, Life.GONE)
            if failure.fault == "replace":
                number = max(self.engines) + 1
                self.add_engine(number, cold=True)
                self.announce_list()
        elif engine is not None and failure.fault == "drain":
            self.set_life(failure.target, Life.DRAINING)
        elif engine is not None:
            self.advance_engine(failure.target)
            engine.hung, engine.speed = (
                failure.fault == "hang",
                failure.factor if failure.fault == "slow" else engine.speed,
            )
            engine.allocate_cores(self.now)
            self.schedule_completion(failure.target)

    def set_life(self, number: int, life: Life) -> None:
        """Changes an engine's state in the list, or removes it, and announces the list."""
        if life == Life.GONE:
            self.listed_engines.pop(number, None)
        else:
            self.listed_engines[number] = self.listed_engines[number]._replace(life=life)
        self.announce_list()

    def announce_list(self) -> None:
        """Schedules the delivery of the current list, with a delay of its own for each dispatcher."""
        for adapter in self.dispatchers:
            self.schedule(
                self.now + self.chance.uniform(*LIST_DELAY),
                adapter.deliver,
                adapter.incarnation,
                adapter.apply_list,
            )
