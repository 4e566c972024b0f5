"""The demo: a real dispatcher under load on stand-in engines; one is killed, one drains, a cold one joins."""

from __future__ import annotations

import signal
import time
from collections.abc import Callable, Iterator
from typing import cast

from .demo_cluster import CORES, DRAIN_GRACE, ENGINES, Cluster, DispatcherProcess
from .demo_load import LoadGenerator, LoadProfile, RequestClass
from .demo_reactor import Reactor
from .demo_report import EngineRecord, Phase, Run

CLASSES = (
    RequestClass("lookup", share=0.70, work=24.0, objective=300.0, deadline=1000.0),
    RequestClass("report", share=0.15, work=300.0, objective=2000.0, deadline=3000.0),
    RequestClass("load", share=0.15, work=90.0, objective=1000.0, deadline=2000.0, at_most_once=True),
)
LOAD = 0.6  # of the engines' capacity at the start
BURST = 3.0  # times that
# Moments, as shares of the run.
KILL, DRAIN, JOIN, BURST_START, BURST_END = 0.3, 0.6, 0.75, 0.85, 0.95
KILLED, DRAINED = "engine-2", "engine-5"
START_TIMEOUT = 8.0  # s for the dispatcher to start
LOOK_EVERY = 0.05  # s
SETTLE = 0.1  # s after the last answer
TIMER_CHECK = 0.01  # s


class DemoError(Exception):
    """The demo could not run; the text says why."""


class DemoInterruptedError(Exception):
    """A signal ended the demo before its end."""


class Demo:
    """One run: its processes, its timeline and what was measured."""

    def __init__(self, reactor: Reactor, seconds: float, seed: int, say: Callable[[str], None]) -> None:
        self.reactor, self.seconds, self.seed, self.say = reactor, seconds, seed, say
        self.began = time.time()
        self.cluster = Cluster(reactor, self.now)
        self.dispatcher = DispatcherProcess(self.cluster, CLASSES, seed)
        mean_work = sum(each.share * each.work for each in CLASSES)
        self.capacity = float(ENGINES * CORES)
        rate = LOAD * self.capacity * 1000 / mean_work
        self.load = LoadGenerator(
            reactor, self.now, self.dispatcher.address, LoadProfile(CLASSES, rate, seed)
        )
        self.events: dict[str, str] = {}  # by engine
        self.killed_at = 0.0
        self.drain_version = 0
        self.latest_timer = 0.0
        self.counters: dict[str, int] = {}

    def now(self) -> float:
        """Seconds since the load began. Wall clock, as in the engines' records."""
        return time.time() - self.began

    # The timeline is a generator: each yield is how many seconds to wait.

    def timeline(self) -> Iterator[float]:
        """From the dispatcher's start to the last answer."""
        self.dispatcher.start()
        yield from self.wait_until_ready()
        self.began = time.time()
        self.load.start()
        for share, act in (
            (KILL, self.kill),
            (DRAIN, self.drain),
            (JOIN, self.join),
            (BURST_START, self.start_burst),
            (BURST_END, self.end_burst),
            (1.0, self.load.stop),
        ):
            yield max(0.0, share * self.seconds - self.now())
            act()
        while self.load.open:  # bounded: each request gives up after its deadline
            yield LOOK_EVERY
        yield SETTLE
        self.counters = self.dispatcher.counters()

    def wait_until_ready(self) -> Iterator[float]:
        """Until the dispatcher accepts requests."""
        patience = time.monotonic() + START_TIMEOUT
        while not self.dispatcher.is_ready():
            if time.monotonic() > patience:
                raise DemoError(f"the dispatcher was not ready within {START_TIMEOUT:.0f} s")
            yield LOOK_EVERY
        host, port = self.dispatcher.address
        self.say(f"dispatcher process {self.dispatcher.pid} listens on {host}:{port}")

    def kill(self) -> None:
        """One engine ends without a word."""
        self.cluster.kill(KILLED)
        self.killed_at = self.now()
        self.note(KILLED, "killed")

    def drain(self) -> None:
        """One engine is to get nothing new."""
        self.drain_version = self.cluster.drain(DRAINED)
        self.note(DRAINED, "drained")

    def join(self) -> None:
        """A cold engine comes."""
        self.note(self.cluster.join(), "joined cold")

    def start_burst(self) -> None:
        """More than the engines can do."""
        self.load.rate *= BURST
        self.say(f"{self.now():5.1f} s: burst of {BURST:g} times the load")

    def end_burst(self) -> None:
        """The load is as before."""
        self.load.rate /= BURST

    def note(self, engine: str, event: str) -> None:
        """What happened to an engine, now."""
        self.events[engine] = f"{event} at {self.now():.1f} s"
        self.say(f"{self.now():5.1f} s: {engine} {event}")

    def watch_timers(self, due: float) -> None:
        """How late the demo's own timers are: its latencies are no better than that."""
        now = time.monotonic()
        self.latest_timer = max(self.latest_timer, (now - due) * 1000)
        self.reactor.callLater(TIMER_CHECK, self.watch_timers, now + TIMER_CHECK)

    # What was measured.

    def quiet_from(self, engine: str) -> float | None:
        """From when on an engine should get nothing."""
        if engine == KILLED:
            return self.killed_at
        if engine == DRAINED:
            told_at = self.cluster.names.first_told.get(self.drain_version)
            return None if told_at is None else told_at + DRAIN_GRACE / 1000
        return None

    def engine_records(self) -> list[EngineRecord]:
        """What each engine received, and when."""
        engines = self.cluster.fleet.engines
        received: dict[str, list[float]] = {engine.ident: [] for engine in engines}
        for moment, _, ident, _ in self.cluster.fleet.run_log:
            received[ident].append(moment - self.began)
        return [
            EngineRecord(
                engine.ident,
                self.events.get(engine.ident, ""),
                received[engine.ident],
                self.quiet_from(engine.ident),
                engine.max_budget_used if engine.warm_at else None,
            )
            for engine in engines
        ]

    def phases(self) -> list[Phase]:
        """The parts of the run between its events."""
        named = (
            ("steady", 0.0),
            ("one killed", KILL),
            ("one drained", DRAIN),
            ("one joined", JOIN),
            ("burst", BURST_START),
            ("after it", BURST_END),
        )
        starts = [share * self.seconds for _, share in named]
        ends = [*starts[1:], float("inf")]
        return [Phase(name, *times) for (name, _), *times in zip(named, starts, ends, strict=True)]

    def measured(self, exit_code: int | None) -> Run:
        """All of it, once the dispatcher has ended."""
        return Run(
            seconds=self.seconds,
            seed=self.seed,
            capacity=self.capacity,
            classes=CLASSES,
            phases=self.phases(),
            requests=self.load.requests,
            skipped=self.load.skipped,
            engines=self.engine_records(),
            counters=self.counters,
            exit_code=exit_code,
            latest_timer=self.latest_timer,
        )


def run_demo(seconds: float, seed: int, say: Callable[[str], None]) -> Run:
    """Runs once in this process, whose reactor it uses up. The dispatcher is ended whatever happens."""
    from twisted.internet import reactor

    loop = cast(Reactor, reactor)
    demo = Demo(loop, seconds, seed, say)
    finished: list[BaseException | None] = []
    timeline = demo.timeline()

    def step() -> None:
        try:
            delay = next(timeline)
        except StopIteration:
            finished.append(None)
        except Exception as fault:
            finished.append(fault)
        else:
            loop.callLater(delay, step)
            return
        loop.stop()

    try:
        loop.callWhenRunning(step)
        loop.callWhenRunning(demo.watch_timers, time.monotonic())
        signal.signal(signal.SIGHUP, lambda *_: loop.callFromThread(loop.stop))
        loop.run()  # SIGINT and SIGTERM stop it
    finally:
        exit_code = demo.dispatcher.stop(graceful=finished == [None])
    if not finished:
        raise DemoInterruptedError
    if finished[0] is not None:
        raise finished[0]
    return demo.measured(exit_code)
