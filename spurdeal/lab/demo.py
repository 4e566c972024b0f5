"""The demo: a dispatcher process under load; an engine is killed, one is drained, and a cold one joins."""

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
LOAD_SHARE = 0.6  # offered load over the engines' capacity at the start
BURST_FACTOR = 3.0  # factor of the load during the burst
# Times of the events, as shares of the run.
KILL, DRAIN, JOIN, BURST_START, BURST_END = 0.3, 0.6, 0.75, 0.85, 0.95
KILLED, DRAINED = "engine-2", "engine-5"
START_TIMEOUT = 8.0  # s for the dispatcher to start
POLL_INTERVAL = 0.05  # s between checks of a condition that is waited for
SETTLE_TIME = 0.1  # s after the last answer until the counters are read
TIMER_CHECK_INTERVAL = 0.01  # s between checks of the timers' delay


class DemoError(Exception):
    """The demo could not run; the message gives the cause."""


class DemoInterruptedError(Exception):
    """A signal stopped the demo before it was finished."""


class Demo:
    """One run: its processes, its timeline and its measurements."""

    def __init__(self, reactor: Reactor, seconds: float, seed: int, say: Callable[[str], None]) -> None:
        self.reactor, self.seconds, self.seed, self.say = reactor, seconds, seed, say
        self.load_started_at = time.time()
        self.cluster = Cluster(reactor, self.now)
        self.dispatcher = DispatcherProcess(self.cluster, CLASSES, seed)
        mean_work = sum(each.share * each.work for each in CLASSES)
        self.capacity = float(ENGINES * CORES)
        rate = LOAD_SHARE * self.capacity * 1000 / mean_work
        self.load = LoadGenerator(
            reactor, self.now, self.dispatcher.address, LoadProfile(CLASSES, rate, seed)
        )
        self.events: dict[str, str] = {}  # by engine
        self.killed_at = 0.0
        self.drain_version = 0
        self.max_timer_delay = 0.0
        self.counters: dict[str, int] = {}

    def now(self) -> float:
        """Returns the seconds since the load started, by the wall clock, as in the engines' records."""
        return time.time() - self.load_started_at

    # The timeline is a generator that yields the seconds to wait.

    def timeline(self) -> Iterator[float]:
        """Runs from the dispatcher's start to the last answer."""
        self.dispatcher.start()
        yield from self.wait_until_ready()
        self.load_started_at = time.time()
        self.load.start()
        for run_share, action in (
            (KILL, self.kill),
            (DRAIN, self.drain),
            (JOIN, self.join),
            (BURST_START, self.start_burst),
            (BURST_END, self.end_burst),
            (1.0, self.load.stop),
        ):
            yield max(0.0, run_share * self.seconds - self.now())
            action()
        while self.load.open:  # bounded: each request times out after its deadline
            yield POLL_INTERVAL
        yield SETTLE_TIME
        self.counters = self.dispatcher.counters()

    def wait_until_ready(self) -> Iterator[float]:
        """Waits until the dispatcher accepts requests."""
        give_up_at = time.monotonic() + START_TIMEOUT
        while not self.dispatcher.is_ready():
            if time.monotonic() > give_up_at:
                raise DemoError(f"the dispatcher was not ready within {START_TIMEOUT:.0f} s")
            yield POLL_INTERVAL
        host, port = self.dispatcher.address
        self.say(f"dispatcher process {self.dispatcher.pid} listens on {host}:{port}")

    def kill(self) -> None:
        """Kills one engine without a graceful shutdown."""
        self.cluster.kill(KILLED)
        self.killed_at = self.now()
        self.record_event(KILLED, "killed")

    def drain(self) -> None:
        """Drains one engine, which must get no new attempts after the grace period."""
        self.drain_version = self.cluster.drain(DRAINED)
        self.record_event(DRAINED, "drained")

    def join(self) -> None:
        """Adds a cold engine."""
        self.record_event(self.cluster.join(), "joined cold")

    def start_burst(self) -> None:
        """Raises the load above the engines' capacity."""
        self.load.rate *= BURST_FACTOR
        self.say(f"{self.now():5.1f} s: burst of {BURST_FACTOR:g} times the load")

    def end_burst(self) -> None:
        """Restores the normal load."""
        self.load.rate /= BURST_FACTOR

    def record_event(self, engine: str, event: str) -> None:
        """Records and prints an event of an engine."""
        self.events[engine] = f"{event} at {self.now():.1f} s"
        self.say(f"{self.now():5.1f} s: {engine} {event}")

    def check_timers(self, due: float) -> None:
        """Measures the delay of the demo's own timers, which limits the accuracy of its latencies."""
        now = time.monotonic()
        self.max_timer_delay = max(self.max_timer_delay, (now - due) * 1000)
        self.reactor.callLater(TIMER_CHECK_INTERVAL, self.check_timers, now + TIMER_CHECK_INTERVAL)

    # Measurements.

    def quiet_from(self, engine: str) -> float | None:
        """Returns from when on an engine must receive nothing; None without such a time."""
        if engine == KILLED:
            return self.killed_at
        if engine == DRAINED:
            announced_at = self.cluster.names.first_served.get(self.drain_version)
            return None if announced_at is None else announced_at + DRAIN_GRACE / 1000
        return None

    def engine_records(self) -> list[EngineRecord]:
        """Returns for each engine when it received attempts, and its event."""
        engines = self.cluster.fleet.engines
        received: dict[str, list[float]] = {engine.ident: [] for engine in engines}
        for moment, _, ident, _ in self.cluster.fleet.run_log:
            received[ident].append(moment - self.load_started_at)
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
        """Returns the parts of the run between its events."""
        named = (
            ("steady", 0.0),
            ("one killed", KILL),
            ("one drained", DRAIN),
            ("one joined", JOIN),
            ("burst", BURST_START),
            ("after it", BURST_END),
        )
        starts = [run_share * self.seconds for _, run_share in named]
        ends = [*starts[1:], float("inf")]
        return [Phase(name, *times) for (name, _), *times in zip(named, starts, ends, strict=True)]

    def results(self, exit_code: int | None) -> Run:
        """Returns all measurements, once the dispatcher has exited."""
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
            max_timer_delay=self.max_timer_delay,
        )


def run_demo(seconds: float, seed: int, say: Callable[[str], None]) -> Run:
    """Runs the demo in this process, whose reactor cannot be used again.

    The dispatcher process is stopped in any case, also after an error or a signal.
    """
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
        except Exception as error:
            finished.append(error)
        else:
            loop.callLater(delay, step)
            return
        loop.stop()

    try:
        loop.callWhenRunning(step)
        loop.callWhenRunning(demo.check_timers, time.monotonic())
        signal.signal(signal.SIGHUP, lambda *_: loop.callFromThread(loop.stop))
        loop.run()  # SIGINT and SIGTERM stop it
    finally:
        exit_code = demo.dispatcher.stop(graceful=finished == [None])
    if not finished:
        raise DemoInterruptedError
    if finished[0] is not None:
        raise finished[0]
    return demo.results(exit_code)
