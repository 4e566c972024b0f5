"""Summary of a run of the demo, from the records of clients and engines, and its rendering as text."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass
from math import ceil
from typing import Any, NamedTuple

from .demo_load import Request, RequestClass, Status

IMMEDIATE_LIMIT = 25.0  # ms; an answer within this time did not wait in the queue
DEADLINE_MARGIN = 100.0  # ms; an answer this close to its deadline had waited as long as allowed
MAX_CAUSES = 6  # lines of the table; the others are summed up
OUTCOMES = {  # by counter of the dispatcher: the attempt's outcome
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
    """A part of the run; times are seconds since the load started."""

    name: str
    start: float
    end: float

    def contains(self, moment: float) -> bool:
        """Tells whether a time is in this phase."""
        return self.start <= moment < self.end


@dataclass(frozen=True)
class EngineRecord:
    """What one engine received.

    Attributes:
        name: Its name.
        event: What happened to it; empty if nothing did.
        received_at: When it received attempts, in seconds since the load started.
        quiet_from: From when on it must receive nothing; None without such a time.
        budget_used: Greatest share of its slow-start budget used in any window; None for a warm engine.
    """

    name: str
    event: str
    received_at: Sequence[float]
    quiet_from: float | None = None
    budget_used: float | None = None


@dataclass(frozen=True)
class Run:
    """All measurements of a run."""

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
    max_timer_delay: float  # ms; greatest delay of the demo's own timers


@dataclass(frozen=True)
class Latency:
    """Latency percentiles of the successful requests in ms; None without any."""

    p50: float | None
    p90: float | None
    p99: float | None
    max: float | None


@dataclass(frozen=True)
class Row:
    """Counts and latencies of a group of requests."""

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
    """Requests that failed alike: by class, answer, wait for the answer, and phase in which it came."""

    request_class: str
    answer: str
    waited: str
    phase: str
    count: int


@dataclass(frozen=True)
class EngineRow:
    """Attempts that an engine received, by phase; after_quiet: those after its quiet_from."""

    name: str
    event: str
    by_phase: list[int]
    total: int
    quiet_from: float | None
    after_quiet: int
    budget_used: float | None


@dataclass(frozen=True)
class Summary:
    """Summary of a run."""

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
        """Returns the summary as a JSON object, with the counts of all requests at its top level."""
        counts = {status.value: getattr(self.total, status.value) for status in Status}
        return {"sent": self.total.sent} | counts | asdict(self)


def percentile(ordered: Sequence[float], percent: float) -> float:
    """Returns a percentile of sorted values by the nearest-rank method."""
    return ordered[max(0, ceil(len(ordered) * percent / 100) - 1)]


def latency_percentiles(requests: Iterable[Request]) -> Latency:
    """Returns the latency percentiles of the successful requests."""
    found = (request.latency() for request in requests if request.status is Status.SUCCEEDED)
    ordered = sorted(latency for latency in found if latency is not None)
    if not ordered:
        return Latency(None, None, None, None)
    p50, p90, p99 = (round(percentile(ordered, each), 1) for each in PERCENTILES)
    return Latency(p50, p90, p99, round(ordered[-1], 1))


def make_row(name: str, requests: Sequence[Request], seconds: float) -> Row:
    """Summarises requests that were sent within so many seconds."""
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
        latency_ms=latency_percentiles(requests),
    )


def describe_wait(request: Request) -> str:
    """Describes how long a client waited for its answer."""
    latency = request.latency()
    if latency is None:
        return "never"
    if latency <= IMMEDIATE_LIMIT:
        return "at once"
    if latency >= request.request_class.deadline - DEADLINE_MARGIN:
        return "at its deadline"
    return "after waiting"


def phase_of_answer(request: Request, phases: Sequence[Phase]) -> str:
    """Returns the phase in which the answer came, or in which the request was sent if none came."""
    moment = request.sent_at if request.answered_at is None else request.answered_at
    return next(phase.name for phase in phases if phase.contains(moment))


def count_causes(requests: Iterable[Request], phases: Sequence[Phase]) -> list[Cause]:
    """Counts the causes of requests that did not succeed, most frequent first."""
    counts = Counter(
        (request.request_class.name, request.answer, describe_wait(request), phase_of_answer(request, phases))
        for request in requests
        if request.status is not Status.SUCCEEDED
    )
    return [Cause(*key, count) for key, count in counts.most_common()]


def make_engine_row(record: EngineRecord, phases: Sequence[Phase]) -> EngineRow:
    """Summarises what an engine received, by phase."""
    late = 0
    if record.quiet_from is not None:
        late = sum(moment >= record.quiet_from for moment in record.received_at)
    return EngineRow(
        name=record.name,
        event=record.event,
        by_phase=[sum(phase.contains(moment) for moment in record.received_at) for phase in phases],
        total=len(record.received_at),
        quiet_from=None if record.quiet_from is None else round(record.quiet_from, 2),
        after_quiet=late,
        budget_used=None if record.budget_used is None else round(record.budget_used, 2),
    )


def summarise(run: Run) -> Summary:
    """Summarises a run."""
    first = run.phases[0]
    first_phase_requests = [request for request in run.requests if first.contains(request.sent_at)]
    work_per_ms = sum(request.work for request in first_phase_requests) / ((first.end - first.start) * 1000)
    outcomes = {OUTCOMES[name]: count for name, count in run.counters.items() if name in OUTCOMES}
    return Summary(
        seconds=run.seconds,
        seed=run.seed,
        offered_share=round(work_per_ms / run.capacity, 2),
        phase_starts=[phase.start for phase in run.phases],
        total=make_row("all", run.requests, run.seconds),
        phases=[
            make_row(
                phase.name,
                [request for request in run.requests if phase.contains(request.sent_at)],
                min(phase.end, run.seconds) - phase.start,
            )
            for phase in run.phases
        ],
        classes=[
            make_row(
                each.name, [request for request in run.requests if request.request_class is each], run.seconds
            )
            for each in run.classes
        ],
        causes=count_causes(run.requests, run.phases),
        engines=[make_engine_row(record, run.phases) for record in run.engines],
        late_answers=sum(request.late() for request in run.requests),
        skipped=run.skipped,
        attempts=sum(outcomes.values()),
        attempts_by_outcome=outcomes,
        dispatcher_faults=sum(
            count for name, count in run.counters.items() if name == "faults" or name.startswith("must_")
        ),
        dispatcher_exit_code=run.exit_code,
        latest_timer_ms=round(run.max_timer_delay, 1),
    )


# Rendering.

ROW_HEADERS = (
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


def format_value(value: float | None) -> str:
    """Formats a value as a cell; a dash for None."""
    return "-" if value is None else f"{value:.0f}"


def row_cells(row: Row) -> list[str]:
    """Formats a row's cells in the order of ROW_HEADERS."""
    counts = (row.sent, row.sent_per_s, row.succeeded, row.rejected, row.failed, row.unanswered)
    latency = row.latency_ms
    return [format_value(value) for value in (*counts, latency.p50, latency.p90, latency.p99, latency.max)]


def table_line(name: str, cells: Iterable[str], headers: Sequence[str]) -> str:
    """Formats one line of a table, with the cells right-aligned under their headers."""
    padded = [cell.rjust(len(head)) for cell, head in zip(cells, headers, strict=True)]
    return GAP.join((name.ljust(NAME_WIDTH), *padded)).rstrip()


def rows_table(title: str, rows: Iterable[Row]) -> list[str]:
    """Formats a table of requests."""
    return [
        table_line(title, ROW_HEADERS, ROW_HEADERS),
        *(table_line(row.name, row_cells(row), ROW_HEADERS) for row in rows),
    ]


def causes_table(causes: Sequence[Cause]) -> list[str]:
    """Formats the causes of requests that did not succeed."""
    lines = ["not succeeded, by the answer that the client got"]
    lines += [
        f"  {each.count:5}  {each.request_class:10}{each.answer}, {each.waited} (phase: {each.phase})"
        for each in causes[:MAX_CAUSES]
    ]
    if rest := sum(each.count for each in causes[MAX_CAUSES:]):
        lines.append(f"  {rest:5}  others")
    return lines if causes else ["all succeeded"]


def engines_table(engines: Sequence[EngineRow], phases: Sequence[Row]) -> list[str]:
    """Formats what each engine received."""
    headers = [phase.name for phase in phases]
    lines = [table_line("engine received", headers, headers)]
    for engine in engines:
        text = table_line(engine.name, map(str, engine.by_phase), headers)
        if engine.event:
            text += f"{GAP}{engine.event}"
        if engine.quiet_from is not None:
            text += f"; {engine.after_quiet} from {engine.quiet_from:.2f} s on"
        if engine.budget_used is not None:
            text += f"; at most {engine.budget_used:.0%} of its slow-start budget"
        lines.append(text)
    return lines


def render(summary: Summary) -> str:
    """Formats the summary as at most 40 lines of text."""
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
