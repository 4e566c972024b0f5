"""The request path inside one dispatcher: a choice, the periodic tick and a whole list, by engines.

The decision module and the link run as they are, on a clock that is turned by hand."""

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
from .measure import TRIES, cpu_us, require_memory, sample
from .records import Measure, Quantity, Role, Sample, quantity

SIZES = (36, 150, 500, 1_000, 2_000, 3_000, 4_300)
QUICK_SIZES = (36, 60, 100, 150, 250)
CORES, CELLS = 4, 4
COST_MS, DEADLINE_MS = 12.0, 2_500.0
CHOICES_PER_TRY = 12
IN_FLIGHT = 40
TICKS_PER_S = int(1000 / TICK_MS)
KB_PER_ENGINE = 16.0  # a generous bound on what one engine costs, for the refusal

SETTINGS = {
    "balancers": design.DISPATCHERS,
    "zones": ["east"],
    "models": ["std"],
    "grades": [{"name": "lookup", "aim": 800, "deadline": DEADLINE_MS, "late_worth": 0.5}],
    "extra": {"cpu_of_kind": [CORES]},
    "limits": {"cancelling": True, "dial_timeout": 250, "send_cap": 3, "streams_per_conn": 4},
}


class RecordingAdapter:
    """A link that keeps only which request went to which engine."""

    def __init__(self) -> None:
        self.sent: list[tuple[int, int]] = []

    def send(self, number: int, engine: int, time_limit: float) -> None:
        self.sent.append((number, engine))

    def set_terms(self, number: int, memory: float, priority: int) -> None: ...
    def shed(self, number: int, retry_after: float, reason: EndReason) -> None: ...
    def fail_request(self, number: int, reason: EndReason) -> None: ...
    def cancel_attempt(self, number: int, attempt: int) -> None: ...
    def set_timer(self, delay: float, token: int) -> None: ...
    def request_list(self) -> None: ...
    def log(self, line: str) -> None: ...


def site() -> Deployment:
    """One dispatcher of as many as the design has."""
    return parse_deployment(SETTINGS)


class Bench:
    """One decision module before so many warm engines."""

    def __init__(self, engines: int) -> None:
        self.adapter, self.now, self.number = RecordingAdapter(), 0.0, 0
        self.rules = Dispatcher(site(), 1, self.adapter, self.now)
        lines = [
            ListedEngine(number, 0, 0, number % CELLS, Life.READY, 1.0, 0.0) for number in range(engines)
        ]
        self.rules.list_changed(self.now, lines, True)

    def submit(self) -> None:
        """One request; it is sent, or held where the module finds no engine."""
        self.number += 1
        self.rules.request_received(self.now, self.number, 0, 0, 0, self.now + DEADLINE_MS, COST_MS, 0.0, 0)

    def submit_many(self, count: int) -> None:
        """As `submit`, so many times."""
        for _ in range(count):
            self.submit()

    def deliver_all(self) -> None:
        """All that is out comes back; what is held is withdrawn."""
        sent, self.adapter.sent = self.adapter.sent, []
        for number, engine in sent:
            self.rules.attempt_ended(
                self.now, number, 0, engine, Ending.DELIVERED, COST_MS, True, COST_MS, 0.0, ()
            )
        for number in list(self.rules.open_requests):
            self.rules.request_withdrawn(self.now, number)
        self.rules.end_batch(self.now)

    def tick(self) -> None:
        """One periodic wake-up and its turn."""
        self.now += TICK_MS
        self.rules.timer_fired(self.now, TICK_TIMER)
        self.rules.end_batch(self.now)


def choice_us(engines: int) -> Sample:
    """Processor time of taking one request in and choosing its engine."""
    bench = Bench(engines)
    tries = []
    for _ in range(TRIES):
        tries.append(cpu_us(lambda: bench.submit_many(CHOICES_PER_TRY)) / CHOICES_PER_TRY)
        bench.deliver_all()
    return sample(tries)


def tick_us_per_s(engines: int) -> Sample:
    """Processor time a second of the periodic tick, the closing of intervals with it."""
    bench = Bench(engines)
    tries = []
    for _ in range(TRIES):
        spent = 0.0
        seconds = 5
        for _ in range(seconds):
            bench.submit_many(IN_FLIGHT)
            for _ in range(TICKS_PER_S):
                spent += cpu_us(bench.tick)
            bench.deliver_all()
        tries.append(spent / seconds)
    return sample(tries)


def endpoints(count: int, changed: int = -1) -> dict[str, Endpoint]:
    """A list of engines; one of them may be draining."""
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


class Silent(StringIO):
    """A log's stream that keeps nothing."""

    def write(self, text: str) -> int:
        return len(text)


def empty_adapter() -> tuple[SocketAdapter, Clock]:
    """A dispatcher's link before no engines, on a clock turned by hand."""
    clock = Clock()
    now: Callable[[], float] = lambda: clock.seconds() * 1000  # noqa: E731
    counters, log = Counters(), logger("capacity", Silent())
    engines = Engines(clock, now, (), counters, log)
    engines.set_limits(250.0, 30_000.0, 4, 409, 0.0)
    return SocketAdapter(site(), 1, ["east"], ["std"], engines, clock, now, counters, log), clock


def apply_list(adapter: SocketAdapter, clock: Clock, listed: dict[str, Endpoint]) -> None:
    """A whole list through the link, the connections' table and the decision module."""
    adapter.apply_list(listed)
    clock.advance(0)


def list_us(engines: int) -> Sample:
    """Processor time of applying a whole list in which one engine has changed."""
    adapter, clock = empty_adapter()
    apply_list(adapter, clock, endpoints(engines))
    tries = []
    for changed in range(TRIES):
        told = endpoints(engines, changed)
        gc.collect()
        tries.append(cpu_us(partial(apply_list, adapter, clock, told)))
    return sample(tries)


def first_list_us(engines: int) -> Sample:
    """Processor time of the first list, in which all engines are new."""
    told, tries = endpoints(engines), []
    for _ in range(TRIES):
        adapter, clock = empty_adapter()
        gc.collect()
        tries.append(cpu_us(partial(apply_list, adapter, clock, told)))
    return sample(tries)


def list_kb(engines: int) -> Sample:
    """What a list keeps allocated in the link, the connections' table and the decision module."""
    gc.collect()
    tracemalloc.start()
    adapter, clock = empty_adapter()
    before = tracemalloc.get_traced_memory()[0]
    apply_list(adapter, clock, endpoints(engines))
    gc.collect()
    kept = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return Sample(kept / 1024)


def over(sizes: Sequence[int], measured: Callable[[int], Sample]) -> list[Sample]:
    """One measurement at each size."""
    return [measured(size) for size in sizes]


def roles(sizes: Sequence[int], say: Callable[[str], None]) -> list[Role]:
    """A choice, the tick and a whole list."""
    require_memory(max(sizes) * KB_PER_ENGINE, f"a list of {max(sizes)} engines")
    say(f"request path: a choice, before {sizes} engines")
    choices = over(sizes, choice_us)
    say("request path: the periodic tick")
    ticks = over(sizes, tick_us_per_s)
    say("request path: a whole list")
    lists, kept = over(sizes, list_us), over(sizes, list_kb)
    first = over(sizes, first_list_us)
    return [
        choice_role(sizes, choices),
        tick_role(sizes, ticks),
        list_role(sizes, lists, kept),
        first_list_role(sizes, first),
    ]


def by_engines(
    measure: Measure, unit: str, sizes: Sequence[int], samples: Sequence[Sample], budget: float | None
) -> Quantity:
    """A few passes over all engines, each a cache miss from some hundred on: the form is what fits best."""
    return quantity(measure, unit, None, sizes, samples, design.ENGINES, budget)


def choice_role(sizes: Sequence[int], samples: Sequence[Sample]) -> Role:
    """A choice among all engines."""
    return Role(
        "choice of an engine",
        "engines",
        "Dispatcher.choose, spurdeal/rules.py",
        "one Engine object for each engine listed",
        "none",
        (by_engines(Measure.CPU, "us a statement", sizes, samples, design.STATEMENT_CPU_US),),
    )


def tick_role(sizes: Sequence[int], samples: Sequence[Sample]) -> Role:
    """The periodic tick."""
    return Role(
        "periodic tick",
        "engines",
        "Dispatcher.timer_fired every 50 ms, spurdeal/rules.py",
        "none of its own",
        "none",
        (by_engines(Measure.CPU, "us a second", sizes, samples, design.CONTROL_CPU_US_PER_S),),
        notes=(f"{IN_FLIGHT} submissions in flight",),
    )


def list_role(sizes: Sequence[int], samples: Sequence[Sample], kept: Sequence[Sample]) -> Role:
    """A whole list, applied as often as the design changes configuration."""
    budget = design.CONTROL_CPU_US_PER_S / design.CHANGES_PER_S
    return Role(
        "whole list applied",
        "engines",
        "SocketAdapter.apply_list, spurdeal/net/link.py; Dispatcher.list_changed, spurdeal/rules.py",
        "seat, place and Engine of each engine",
        "one list a change",
        (
            by_engines(Measure.CPU, "us a change", sizes, samples, budget),
            by_engines(Measure.MEMORY, "KB kept", sizes, kept, design.CONTROL_MEMORY_KB),
        ),
        notes=("the budget is 1.3% of a core at 9,900 changes a day, each a whole list",),
    )


def first_list_role(sizes: Sequence[int], samples: Sequence[Sample]) -> Role:
    """The list at a start, or one in which all engines were replaced."""
    return Role(
        "first list applied",
        "engines",
        "SocketAdapter.apply_list, spurdeal/net/link.py; Dispatcher.list_changed, spurdeal/rules.py",
        "as above",
        "one list a start",
        (by_engines(Measure.CPU, "us a start", sizes, samples, None),),
        notes=("nothing else is read or answered meanwhile",),
    )
