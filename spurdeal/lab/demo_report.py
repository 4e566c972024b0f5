"""Figures of a run of the demo, from the clients' and the engines' records, and a table of them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass
from math import ceil
from typing import Any, NamedTuple

from .demo_load import Request, RequestClass, Status

AT_ONCE = 25.0  # ms; an answer within that did not wait in the queue
AT_DEADLINE = 100.0  # ms; an answer within that of its deadline had waited as long as it may
MOST_CAUSES = 6  # lines of the table; the rest is summed up
OUTCOMES = {  # the dispatcher's counters of how attempts ended
    "trips_delivered": "succeeded",
    "trips_error": "engine error",
    "trips_full": "engine full",
    "trips_time_out": "timed out",
    "trips_unreached": "connection refused",
    "trips_reset": "connection lost",
    "trips_called_off": "cancelled",
    "trips_moot": "not sent",
}
PERCENTILES = (50, 90, 99)


class Phase(NamedTuple):
    """A part of the run; times are seconds since the load began."""

    name: str
    start: float
    end: float

    def holds(self, moment: float) -> bool:
        """Whether this moment lies in it."""
        return self.start <= moment < self.end


@dataclass(frozen=True)
class EngineRecord:
    """What one engine received. Nothing should come after `quiet_from`, where that is set.

    A cold engine bears only so much work in a time, its budget: the greatest share of it that came.
    """

    name: str
    event: str
    received_at: Sequence[float]
    quiet_from: float | None = None
    budget_used: float | None = None


@dataclass(frozen=True)
class Run:
    """All that was measured."""

    seconds: float
    seed: int
    capacity: float  # core-ms of work per ms of all engines at the start
    classes: Sequence[RequestClass]
    phases: Sequence[Phase]
    requests: Sequence[Request]
    skipped: int
    engines: Sequence[EngineRecord]
    counters: dict[str, int]
    exit_code: int | None
    latest_timer: float  # ms; how late the demo's own timers were at most


@dataclass(frozen=True)
class Latency:
    """Percentiles of the successful requests in ms; None without any."""

    p50: float | None
    p90: float | None
    p99: float | None
    max: float | None


@dataclass(frozen=True)
class Row:
    """Some of the requests: by their clients' answers."""

    name: str
    sent: int
    succeeded: int
    rejected: int
    failed: int
    unanswered: int
    sent_per_s: float
    succeeded_per_s: float
    latency_ms: Latency


@dataclass(frozen=True)
class Cause:
    """Why requests did not succeed: the answer, how long they had waited for it, and when it came."""

    request_class: str
    answer: str
    waited: str
    phase: str
    count: int


@dataclass(frozen=True)
class EngineRow:
    """Requests that an engine received, by phase; after_quiet is what came although nothing should."""

    name: str
    event: str
    by_phase: list[int]
    total: int
    quiet_from: float | None
    after_quiet: int
    budget_used: float | None


@dataclass(frozen=True)
class Summary:
    """All figures of a run."""

    seconds: float
    seed: int
    offered_share: float
    phase_starts: list[float]
    total: Row
    phases: list[Row]
    classes: list[Row]
    causes: list[Cause]
    engines: list[EngineRow]
    late_answers: int
    skipped: int
    attempts: int
    attempts_by_outcome: dict[str, int]
    dispatcher_faults: int
    dispatcher_exit_code: int | None
    latest_timer_ms: float

    def as_json(self) -> dict[str, Any]:
        """The summary as one JSON object; the counts of all requests lie at its top."""
        counts = {status.value: getattr(self.total, status.value) for status in Status}
        return {"sent": self.total.sent} | counts | asdict(self)


def percentile(ordered: Sequence[float], percent: float) -> float:
    """Nearest rank, of values in order."""
    return ordered[max(0, ceil(len(ordered) * percent / 100) - 1)]


def latency_of(requests: Iterable[Request]) -> Latency:
    """Of those that succeeded."""
    found = (request.latency() for request in requests if request.status is Status.SUCCEEDED)
    ordered = sorted(latency for latency in found if latency is not None)
    if not ordered:
        return Latency(None, None, None, None)
    p50, p90, p99 = (round(percentile(ordered, each), 1) for each in PERCENTILES)
    return Latency(p50, p90, p99, round(ordered[-1], 1))


def row_of(name: str, requests: Sequence[Request], seconds: float) -> Row:
    """These requests, sent within so many seconds."""
    counts = Counter(request.status for request in requests)
    return Row(
        name=name,
        sent=len(requests),
        succeeded=counts[Status.SUCCEEDED],
        rejected=counts[Status.REJECTED],
        failed=counts[Status.FAILED],
        unanswered=counts[Status.UNANSWERED],
        sent_per_s=round(len(requests) / seconds, 1),
        succeeded_per_s=round(counts[Status.SUCCEEDED] / seconds, 1),
        latency_ms=latency_of(requests),
    )


def waited(request: Request) -> str:
    """How long a client had waited for its answer, in words."""
    latency = request.latency()
    if latency is None:
        return "never"
    if latency <= AT_ONCE:
        return "at once"
    if latency >= request.request_class.deadline - AT_DEADLINE:
        return "at its deadline"
    return "after waiting"


def phase_of_answer(request: Request, phases: Sequence[Phase]) -> str:
    """In which phase its answer came; that of its sending where none came."""
    moment = request.sent_at if request.answered_at is None else request.answered_at
    return next(phase.name for phase in phases if phase.holds(moment))


def causes_of(requests: Iterable[Request], phases: Sequence[Phase]) -> list[Cause]:
    """Of those that did not succeed, the most frequent first."""
    counts = Counter(
        (request.request_class.name, request.answer, waited(request), phase_of_answer(request, phases))
        for request in requests
        if request.status is not Status.SUCCEEDED
    )
    return [Cause(*key, count) for key, count in counts.most_common()]


def engine_row(record: EngineRecord, phases: Sequence[Phase]) -> EngineRow:
    """What an engine received, by phase."""
    late = 0
    if record.quiet_from is not None:
        late = sum(moment >= record.quiet_from for moment in record.received_at)
    return EngineRow(
        name=record.name,
        event=record.event,
        by_phase=[sum(phase.holds(moment) for moment in record.received_at) for phase in phases],
        total=len(record.received_at),
        quiet_from=None if record.quiet_from is None else round(record.quiet_from, 2),
        after_quiet=late,
        budget_used=None if record.budget_used is None else round(record.budget_used, 2),
    )


def summarise(run: Run) -> Summary:
    """The figures of a run."""
    first = run.phases[0]
    calm = [request for request in run.requests if first.holds(request.sent_at)]
    work_per_ms = sum(request.work for request in calm) / ((first.end - first.start) * 1000)
    outcomes = {OUTCOMES[name]: count for name, count in run.counters.items() if name in OUTCOMES}
    return Summary(
        seconds=run.seconds,
        seed=run.seed,
        offered_share=round(work_per_ms / run.capacity, 2),
        phase_starts=[phase.start for phase in run.phases],
        total=row_of("all", run.requests, run.seconds),
        phases=[
            row_of(
                phase.name,
                [request for request in run.requests if phase.holds(request.sent_at)],
                min(phase.end, run.seconds) - phase.start,
            )
            for phase in run.phases
        ],
        classes=[
            row_of(
                each.name, [request for request in run.requests if request.request_class is each], run.seconds
            )
            for each in run.classes
        ],
        causes=causes_of(run.requests, run.phases),
        engines=[engine_row(record, run.phases) for record in run.engines],
        late_answers=sum(request.late() for request in run.requests),
        skipped=run.skipped,
        attempts=sum(outcomes.values()),
        attempts_by_outcome=outcomes,
        dispatcher_faults=sum(
            count for name, count in run.counters.items() if name == "faults" or name.startswith("must_")
        ),
        dispatcher_exit_code=run.exit_code,
        latest_timer_ms=round(run.latest_timer, 1),
    )


# The table.

ROW_HEADS = (
    "sent",
    "per s",
    "succeeded",
    "rejected",
    "failed",
    "unanswered",
    "p50 ms",
    "p90 ms",
    "p99 ms",
    "max ms",
)
NAME_WIDTH, GAP = 16, "  "


def figure(value: float | None) -> str:
    """A figure as a cell; a dash for none."""
    return "-" if value is None else f"{value:.0f}"


def row_cells(row: Row) -> list[str]:
    """In the order of ROW_HEADS."""
    counts = (row.sent, row.sent_per_s, row.succeeded, row.rejected, row.failed, row.unanswered)
    latency = row.latency_ms
    return [figure(value) for value in (*counts, latency.p50, latency.p90, latency.p99, latency.max)]


def line(name: str, cells: Iterable[str], heads: Sequence[str]) -> str:
    """One line of a table, its cells right under their heads."""
    padded = [cell.rjust(len(head)) for cell, head in zip(cells, heads, strict=True)]
    return GAP.join((name.ljust(NAME_WIDTH), *padded)).rstrip()


def rows_table(title: str, rows: Iterable[Row]) -> list[str]:
    """A table of requests."""
    return [line(title, ROW_HEADS, ROW_HEADS), *(line(row.name, row_cells(row), ROW_HEADS) for row in rows)]


def causes_table(causes: Sequence[Cause]) -> list[str]:
    """What did not succeed, and why."""
    lines = ["not succeeded, by the answer that the client got"]
    lines += [
        f"  {each.count:5}  {each.request_class:10}{each.answer}, {each.waited} (phase: {each.phase})"
        for each in causes[:MOST_CAUSES]
    ]
    if rest := sum(each.count for each in causes[MOST_CAUSES:]):
        lines.append(f"  {rest:5}  others")
    return lines if causes else ["all succeeded"]


def engines_table(engines: Sequence[EngineRow], phases: Sequence[Row]) -> list[str]:
    """What each engine received."""
    heads = [phase.name for phase in phases]
    lines = [line("engine received", heads, heads)]
    for engine in engines:
        text = line(engine.name, map(str, engine.by_phase), heads)
        if engine.event:
            text += f"{GAP}{engine.event}"
        if engine.quiet_from is not None:
            text += f"; {engine.after_quiet} from {engine.quiet_from:.2f} s on"
        if engine.budget_used is not None:
            text += f"; at most {engine.budget_used:.0%} of its slow-start budget"
        lines.append(text)
    return lines


def render(summary: Summary) -> str:
    """At most 40 lines for people."""
    outcomes = ", ".join(f"{count} {name}" for name, count in summary.attempts_by_outcome.items())
    exit_code, lateness = summary.dispatcher_exit_code, summary.latest_timer_ms
    return "\n".join(
        (
            f"One dispatcher process under load for {summary.seconds:g} s, seed {summary.seed}.",
            "Engines and name service are stand-ins on this machine; the engines' work is simulated.",
            f"Load before the kill: {summary.offered_share:.0%} of the engines' capacity.",
            "",
            *rows_table("phase", (*summary.phases, summary.total)),
            "",
            *rows_table("request class", summary.classes),
            "",
            *causes_table(summary.causes),
            "",
            *engines_table(summary.engines, summary.phases),
            "",
            f"{summary.attempts} attempts for {summary.total.sent} requests: {outcomes}",
            f"dispatcher: {summary.dispatcher_faults} internal faults, exit code {exit_code}",
            f"clients: {summary.late_answers} answers after their deadline, "
            f"{summary.skipped} requests held back, timers late by up to {lateness:.0f} ms",
        )
    )
