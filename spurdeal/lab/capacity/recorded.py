"""What a dispatcher records: the audit log of its decisions, its log lines and its counters."""

from __future__ import annotations

import json
from collections.abc import Callable, Sequence

from ...fleet.audit import PageBuilder
from ...fleet.hybrid import Stamp
from ...net.counters import Counters
from . import design
from .fit import Form
from .measure import REPETITIONS, cpu_us, sample
from .records import Measure, Role, Sample, quantity

SIZES = (225, 450, 900, 1_800, 3_600)
QUICK_SIZES = SIZES
SENDS_PER_BATCH = 4
COUNTERS = 40  # approximate number of counters of a dispatcher
SCRAPES_PER_S = 0.1


def audit_bytes(sends: int) -> int:
    """Return the bytes of the audit frames of one second with this many sends."""
    pages, written = PageBuilder(), 0
    for first in range(0, sends, SENDS_PER_BATCH):
        for number in range(first, min(first + SENDS_PER_BATCH, sends)):
            pages.add_attempt(b"%016x" % number, 0, f"s-{number % 36}", 0)
        frame = pages.frame(Stamp(1_790_000_000_000 + first, 0), 1)
        pages.on_written(frame, True)
        written += len(frame)
    return written


def audit_us(sends: int) -> float:
    """Return the CPU time of encoding the audit frames of one second, in microseconds."""

    def write() -> None:
        audit_bytes(sends)

    return cpu_us(write)


def roles(sizes: Sequence[int], report_progress: Callable[[str], None]) -> list[Role]:
    """Measure the audit log, and the size of a scrape of the counters."""
    report_progress(f"audit: {sizes} sends a second")
    cpu = [sample([audit_us(size) for _ in range(REPETITIONS)]) for size in sizes]
    sent = [Sample(audit_bytes(size)) for size in sizes]
    counters = Counters()
    for number in range(COUNTERS):
        counters.add(f"counter_of_some_name_{number}", 10_000_000)
    scrape = len(json.dumps(counters.figures()))
    return [
        Role(
            "audit",
            "sends a second",
            "PageBuilder, spurdeal/fleet/audit.py; Journal, fleet/journal.py",
            "files up to a bound on their bytes",
            f"one frame a turn of {SENDS_PER_BATCH} sends",
            (
                quantity(
                    Measure.CPU, "us a second", Form.LINEAR, sizes, cpu, design.STATEMENTS_PER_DISPATCHER
                ),
                quantity(
                    Measure.BYTES,
                    "bytes a second on disk",
                    Form.LINEAR,
                    sizes,
                    sent,
                    design.STATEMENTS_PER_DISPATCHER,
                ),
            ),
            notes=(
                f"{sent[-1].value / sizes[-1]:.1f} bytes a decision",
                "cpu_us without the write to the file",
            ),
        ),
        Role(
            "metrics and logs",
            "",
            "Counters, spurdeal/net/counters.py; GET /counters; KeyValueFormatter, net/logs.py",
            "one number for each counter",
            f"{scrape} bytes a scrape of {COUNTERS} counters, {scrape * SCRAPES_PER_S:.0f} bytes a second at "
            "one in ten seconds",
            notes=("a line each interval of 5 s and at changes, none for a request",),
        ),
    ]
