"""The request path inside one dispatcher, by number of engines: a choice, the periodic tick and a whole list.

The decision module and its adapter run unchanged, on a simulated clock.
"""

from __future__ import annotations

import gc
import tracemalloc
from collections.abc import Callable, Sequence
from functools import partial
from io import StringIO

from twisted.internet.task import Clock

from ...deployment import parse_deployment
from ...interface import Deployment, Ending, EndReason, Life, ListedEngine
from ...net.counters import Counters
from ...net.engine_list import Endpoint
from ...net.engines import Engines
from ...net.link import SocketAdapter
from ...net.logs import logger
from ...rules import TICK_MS, TICK_TIMER, Dispatcher
from . import design
from .measure import REPETITIONS, cpu_us, require_memory, sample
from .records import Measure, Quantity, Role, Sample, quantity

SIZES = (36, 150, 500, 1_000, 2_000, 3_000, 4_300)
QUICK_SIZES = (36, 60, 100, 150, 250)
CORES, CELLS = 4, 4
COST_MS, DEADLINE_MS = 12.0, 2_500.0
CHOICES_PER_REPETITION = 12
IN_FLIGHT = 40
TICKS_PER_S = int(1000 / TICK_MS)
KB_PER_ENGINE = 16.0  # an upper bound, for the check of the memory

SETTINGS = {
    "balancers": design.DISPATCHERS,
    "zones": ["east"],
    "models": ["std"],
    "grades": [{"name": "lookup", "aim": 800, "deadline": DEADLINE_MS, "late_worth": 0.5}],
    "extra": {"cpu_of_kind": [CORES]},
    "limits": {"cancelling": True, "dial_timeout": 250, "send_cap": 3, "streams_per_conn": 4},
}


class RecordingAdapter:
    """An adapter that records which request was sent to which engine, and ignores all else."""

    def __init__(self) -> None:
        self.sent: list[tuple[int, int]] = []

    def send(self, number: int, engine: int, time_limit: float) -> None:
        """Record the request and its engine."""
        self.sent.append((number, engine))

    def set_terms(self, number: int, memory: float, priority: int) -> None:
        """Ignore the memory and the priority of a request."""

    def shed(self, number: int, retry_after: float, reason: EndReason) -> None:
        """Ignore a shed request."""

    def fail_request(self, number: int, reason: EndReason) -> None:
        """Ignore a failed request."""

    def cancel_attempt(self, number: int, attempt: int) -> None:
        """Ignore the cancellation of an attempt."""

    def set_timer(self, delay: float, token: int) -> None:
        """Ignore a timer; the benchmark fires the tick itself."""

    def request_list(self) -> None:
        """Ignore the request to watch the list."""

    def log(self, line: str) -> None:
        """Ignore a log line."""


def design_deployment() -> Deployment:
    """Return the deployment of the design, as one of its dispatchers sees it."""
    return parse_deployment(SETTINGS)


class RulesBenchmark:
    """A decision module with a number of warm engines."""

    def __init__(self, engines: int) -> None:
        self.adapter, self.now, self.number = RecordingAdapter(), 0.0, 0
        self.rules = Dispatcher(design_deployment(), 1, self.adapter, self.now)
        entries = [
            ListedEngine(number, 0, 0, number % CELLS, Life.READY, 1.0, 0.0) for number in range(engines)
        ]
        self.rules.list_changed(self.now, entries, True)

    def submit(self) -> None:
        """Submit a request; it is sent, or queued if the module finds no engine."""
        self.number += 1
        self.rules.request_received(self.now, self.number, 0, 0, 0, self.now + DEADLINE_MS, COST_MS, 0.0, 0)

    def submit_many(self, count: int) -> None:
        """Submit a number of requests."""
        for _ in range(count):
            self.submit()

    def deliver_all(self) -> None:
        """Deliver the responses to all sent requests; withdraw the queued ones."""
        sent, self.adapter.sent = self.adapter.sent, []
        for number, engine in sent:
            self.rules.attempt_ended(
                self.now, number, 0, engine, Ending.DELIVERED, COST_MS, True, COST_MS, 0.0, ()
            )
        for number in list(self.rules.open_requests):
            self.rules.request_withdrawn(self.now, number)
        self.rules.end_batch(self.now)

    def tick(self) -> None:
        """Advance the clock to the next periodic tick and run it as a batch."""
        self.now += TICK_MS
        self.rules.timer_fired(self.now, TICK_TIMER)
        self.rules.end_batch(self.now)


def choice_us(engines: int) -> Sample:
    """Measure the CPU time of accepting a request and choosing its engine."""
    benchmark = RulesBenchmark(engines)
    values = []
    for _ in range(REPETITIONS):
        values.append(cpu_us(lambda: benchmark.submit_many(CHOICES_PER_REPETITION)) / CHOICES_PER_REPETITION)
        benchmark.deliver_all()
    return sample(values)


def tick_us_per_s(engines: int) -> Sample:
    """Measure the CPU time per second of the periodic tick, with the work at the end of each interval."""
    benchmark = RulesBenchmark(engines)
    values = []
    for _ in range(REPETITIONS):
        cpu_used = 0.0
        seconds = 5
        for _ in range(seconds):
            benchmark.submit_many(IN_FLIGHT)
            for _ in range(TICKS_PER_S):
                cpu_used += cpu_us(benchmark.tick)
            benchmark.deliver_all()
        values.append(cpu_used / seconds)
    return sample(values)


def endpoints(count: int, changed: int = -1) -> dict[str, Endpoint]:
    """Return a list of engines, in which the engine with the number `changed` drains."""
    return {
        f"s-{number}": Endpoint(
            f"s-{number}",
            f"127.9.{number // 250}.{number % 250 + 1}",
            7001,
            "east",
            "std",
            number % CELLS,
            Life.DRAINING if number == changed else Life.READY,
            1.0,
            0.0,
        )
        for number in range(count)
    }


class DiscardingStream(StringIO):
    """A log stream that discards everything."""

    def write(self, text: str) -> int:
        """Discard the text."""
        return len(text)


def empty_adapter() -> tuple[SocketAdapter, Clock]:
    """Return a dispatcher's adapter without engines, and its simulated clock."""
    clock = Clock()
    now: Callable[[], float] = lambda: clock.seconds() * 1000  # noqa: E731
    counters, log = Counters(), logger("capacity", DiscardingStream())
    engines = Engines(clock, now, (), counters, log)
    engines.set_limits(250.0, 30_000.0, 4, 409, 0.0)
    return SocketAdapter(design_deployment(), 1, ["east"], ["std"], engines, clock, now, counters, log), clock


def apply_list(adapter: SocketAdapter, clock: Clock, listed: dict[str, Endpoint]) -> None:
    """Apply a whole list to the adapter, the connection table and the decision module."""
    adapter.apply_list(listed)
    clock.advance(0)


def list_us(engines: int) -> Sample:
    """Measure the CPU time of applying a whole list in which one engine has changed."""
    adapter, clock = empty_adapter()
    apply_list(adapter, clock, endpoints(engines))
    values = []
    for changed in range(REPETITIONS):
        listed = endpoints(engines, changed)
        gc.collect()
        values.append(cpu_us(partial(apply_list, adapter, clock, listed)))
    return sample(values)


def first_list_us(engines: int) -> Sample:
    """Measure the CPU time of applying the first list, in which all engines are new."""
    listed, values = endpoints(engines), []
    for _ in range(REPETITIONS):
        adapter, clock = empty_adapter()
        gc.collect()
        values.append(cpu_us(partial(apply_list, adapter, clock, listed)))
    return sample(values)


def list_kb(engines: int) -> Sample:
    """Measure the memory that a list occupies in adapter, connection table and decision module."""
    gc.collect()
    tracemalloc.start()
    adapter, clock = empty_adapter()
    before = tracemalloc.get_traced_memory()[0]
    apply_list(adapter, clock, endpoints(engines))
    gc.collect()
    kept = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return Sample(kept / 1024)


def measure_at_sizes(sizes: Sequence[int], measure: Callable[[int], Sample]) -> list[Sample]:
    """Measure at each size."""
    return [measure(size) for size in sizes]


def roles(sizes: Sequence[int], report_progress: Callable[[str], None]) -> list[Role]:
    """Measure a choice, the tick and a whole list."""
    require_memory(max(sizes) * KB_PER_ENGINE, f"a list of {max(sizes)} engines")
    report_progress(f"request path: choice of an engine, {sizes} engines")
    choices = measure_at_sizes(sizes, choice_us)
    report_progress("request path: the periodic tick")
    ticks = measure_at_sizes(sizes, tick_us_per_s)
    report_progress("request path: application of a whole list")
    lists, kept = measure_at_sizes(sizes, list_us), measure_at_sizes(sizes, list_kb)
    first = measure_at_sizes(sizes, first_list_us)
    return [
        choice_role(sizes, choices),
        tick_role(sizes, ticks),
        list_role(sizes, lists, kept),
        first_list_role(sizes, first),
    ]


def per_engine_quantity(
    measure: Measure, unit: str, sizes: Sequence[int], samples: Sequence[Sample], budget: float | None
) -> Quantity:
    """Return a quantity by number of engines, with the form that fits best.

    The work is a few passes over all engines; from some hundred engines on each one is a cache miss, so no
    form is known beforehand.
    """
    return quantity(measure, unit, None, sizes, samples, design.ENGINES, budget)


def choice_role(sizes: Sequence[int], samples: Sequence[Sample]) -> Role:
    """Return the role of choosing among all engines."""
    return Role(
        "choice of an engine",
        "engines",
        "Dispatcher.choose, spurdeal/rules.py",
        "one Engine object for each engine listed",
        "none",
        (per_engine_quantity(Measure.CPU, "us a statement", sizes, samples, design.STATEMENT_CPU_US),),
    )


def tick_role(sizes: Sequence[int], samples: Sequence[Sample]) -> Role:
    """Return the role of the periodic tick."""
    return Role(
        "periodic tick",
        "engines",
        "Dispatcher.timer_fired every 50 ms, spurdeal/rules.py",
        "none of its own",
        "none",
        (per_engine_quantity(Measure.CPU, "us a second", sizes, samples, design.CONTROL_CPU_US_PER_S),),
        notes=(f"{IN_FLIGHT} submissions in flight",),
    )


def list_role(sizes: Sequence[int], samples: Sequence[Sample], kept: Sequence[Sample]) -> Role:
    """Return the role of applying a whole list, as often as the design changes its configuration."""
    budget = design.CONTROL_CPU_US_PER_S / design.CHANGES_PER_S
    return Role(
        "whole list applied",
        "engines",
        "SocketAdapter.apply_list, spurdeal/net/link.py; Dispatcher.list_changed, spurdeal/rules.py",
        "seat, place and Engine of each engine",
        "one list a change",
        (
            per_engine_quantity(Measure.CPU, "us a change", sizes, samples, budget),
            per_engine_quantity(Measure.MEMORY, "KB kept", sizes, kept, design.CONTROL_MEMORY_KB),
        ),
        notes=("the budget is 1.3% of a core at 9,900 changes a day, each a whole list",),
    )


def first_list_role(sizes: Sequence[int], samples: Sequence[Sample]) -> Role:
    """Return the role of applying a first list: at a start, or after all engines were replaced."""
    return Role(
        "first list applied",
        "engines",
        "SocketAdapter.apply_list, spurdeal/net/link.py; Dispatcher.list_changed, spurdeal/rules.py",
        "as above",
        "one list a start",
        (per_engine_quantity(Measure.CPU, "us a start", sizes, samples, None),),
        notes=("nothing else is read or answered meanwhile",),
    )
