"""What came of a run: the clients' counts, the engines' own log, and the audit logs, held against each
other."""

from __future__ import annotations

import math
import time
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import Any, NamedTuple

from ...fleet.asking import Entry, check, merge_logs, read_log
from ...fleet.audit import Kind
from ..rig import GRACE, Rig
from ..rig_process import Process
from ..spread import spread
from .faults import Faults
from .run import Run
from .shut_out import shut_out
from .tampering import planted_breaks

DECIDED = (Kind.SENT, Kind.SHED, Kind.BROKEN_OFF, Kind.WITHDRAWN, Kind.CALLED_OFF, Kind.MODE)
MAX_MISSING, MAX_FINDINGS = 10, 5  # told in words
DRAIN_GRACE = 1.0  # seconds after which nothing may reach an engine that drains or has gone
CLOCK_MARGIN = 50.0  # ms by which times of several processes may lie apart
FAULT_TAIL = 1.0  # seconds after a fault that still count to it


class CatchUp(NamedTuple):
    """Of each list that a peer handed over: ms until it was in force, and until it was known to be
    missing."""

    in_force_ms: list[float]
    known_ms: list[float]


def run_figures(run: Run) -> dict[str, Any]:
    """All figures of a run, ready for JSON."""
    rig = run.rig
    counts = run.crowd.counts(rig.in_outage)
    runs = Counter(ident for _, _, _, ident in rig.engines.run_log)
    found: dict[str, Any] = {
        "processes": rig.count,
        "faults": len(run.injected),
        "seed": rig.seed,
        **counts,
        "irreversible_run_twice": sum(
            runs[asked.ident.encode()] > 1 for asked in run.crowd.requests if asked.non_idempotent
        ),
        "cold_budget_used_max": round(rig.engines.max_budget_used(), 3),
        "sent_to_drained": sent_to_drained(rig),
        "delivered_part": round(counts["delivered"] / counts["submissions"], 4),
        "missing": missing(run)[:MAX_MISSING],
        "idle_cpu": round(sum(run.idle_cpu.values()) / max(1, len(run.idle_cpu)), 4),
    }
    return found | fleet_figures(run) if rig.fleet_on else found


def missing(run: Run) -> list[str]:
    """Each answer that is owed and did not come: to whom it was sent, and during which fault."""
    return [
        f"{asked.ident} at {place[0]} during {fault_at(run, asked.began / 1000)}; answers {asked.answers}"
        for asked in run.crowd.requests
        for place in asked.unanswered
        if not run.rig.in_outage(place, asked)
    ]


def fault_at(run: Run, at: float) -> str:
    """The fault that was on at a moment (Unix s), in words."""
    for kind, began, ended, targets in run.injected:
        if began <= at <= ended + FAULT_TAIL:
            return f"{kind} of {' '.join(targets)}, {at - began:.2f} s in"
    return "no fault"


def sent_to_drained(rig: Rig) -> int:
    """By the engines' own log: what reached one that drains or has gone, a second after that or later."""
    since = {ident: at for at, _, ident in reversed(rig.released)}
    return sum(at > since.get(engine, math.inf) + DRAIN_GRACE for at, _, engine, _ in rig.engines.run_log)


def fleet_figures(run: Run) -> dict[str, Any]:
    """Figures of a run with the subsystem on."""
    rig, faults = run.rig, run.faults
    folders = log_folders(rig, faults)
    logs = [read_log(folder, strict=False) for folder in folders]
    entries = merge_logs(logs)
    findings = check(logs, GRACE)
    kinds = Counter(finding.kind for finding in findings)
    numbers = {entry.record.fields["list"] for entry in entries if entry.record.kind is Kind.VERSIONS}
    sends = [entry for entry in entries if entry.record.kind is Kind.SENT]
    lost = sum(log.lost for log in logs)
    caught_up = caught_up_with_peers(rig, faults, entries)
    others = [finding.text for finding in findings if finding.kind not in ("newer_version", "clash")]
    return {
        "versions": len(numbers),
        "decisions": sum(entry.record.kind in DECIDED for entry in entries),
        "records": len(entries),
        "records_lost_told": lost,
        "decisions_unaccounted": unaccounted(rig, sends, lost),
        "sent_against_own_version": kinds["own_version"],
        "sent_against_newer_version": kinds["newer_version"],
        "sent_after_lease": sent_after_lease(rig, sends),
        "stops_relied_on": sum(len(rig.lines(name, "fleet_stopped")) for name in rig.processes),
        "stragglers": len(caught_up.in_force_ms),
        "found_ms": spread(caught_up.known_ms),
        "brought_up_ms": spread(caught_up.in_force_ms),
        **shut_out(rig, faults.may_shut_out),
        "clash_planted": faults.clashes,
        "clash_found": min(faults.clashes, clashes_logged(rig)),
        "clash_in_logs": kinds["clash"],
        "log_problems": kinds["chain"] + kinds["witness"],
        "says": others[:MAX_FINDINGS],
        **planted_breaks(rig, folders, faults.chance),
        "names_yielded": sum(name_yielded(rig, twin) for twin in faults.twins),
        "twins": len(faults.twins),
        "bytes_per_s_real": bytes_per_second(run),
    }


def log_folders(rig: Rig, faults: Faults) -> list[Path]:
    """All audit logs, also of second processes of a name, and those that were taken away."""
    return [
        path
        for process in [*rig.processes.values(), *faults.twins]
        for path in (process.disk, *process.replaced_disks)
        if path.exists()
    ]


def name_yielded(rig: Rig, twin: Process) -> bool:
    """Whether one of the two under a name gave way. Where both are new starts, it may be either."""
    both = twin, rig.processes[twin.name]
    return any(log_lines(process, "fleet_name_yielded") for process in both)


def bytes_per_second(run: Run) -> int:
    """Bytes of datagrams that a dispatcher sends a second, by the cables and the mean size."""
    fetched = [each for each in run.counters.values() if each.get("fleet_sent")]
    sizes = sum(each["fleet_sent_bytes"] / each["fleet_sent"] for each in fetched)
    passed = time.time() - run.injected[0].began if run.injected else 1.0
    rate = run.rig.cables.seen / passed / run.rig.count
    return round(rate * sizes / max(1, len(fetched)))


def log_lines(process: Process, event: str) -> list[str]:
    """A process's log lines of an event, as they stand."""
    text = process.log.read_text(errors="replace") if process.log.exists() else ""
    return [line for line in text.splitlines() if f"event={event} " in line]


def clashes_logged(rig: Rig) -> int:
    """How many versions of the list somebody has told a clash of."""
    return len(
        {
            line.partition("says=")[2].split(" is ")[0]
            for process in rig.processes.values()
            for line in log_lines(process, "fleet_clash")
            if '"list ' in line
        }
    )


def unaccounted(rig: Rig, sends: Sequence[Entry], lost: int) -> int:
    """Runs that an engine has logged and no dispatcher has; those that a log tells it lost are told."""
    known = Counter((entry.record.engine, entry.record.ident) for entry in sends)
    ran = Counter((engine, ident.decode()) for _, _, engine, ident in rig.engines.run_log)
    return max(0, sum((ran - known).values()) - lost)


def caught_up_with_peers(rig: Rig, faults: Faults, entries: Sequence[Entry]) -> CatchUp:
    """How long it took, from when the newer list could first be known: another had it, and a cut was over."""
    first: dict[str, int] = {}
    started: dict[tuple[str, str], int] = {}
    for entry in entries:
        if entry.record.kind is Kind.VERSIONS:
            first.setdefault(entry.record.fields["list"], entry.record.stamp.ms)
        started.setdefault((entry.name, entry.boot), entry.record.stamp.ms)
    seen = newer_seen(rig)
    caught_up = CatchUp([], [])
    for entry in entries:
        told = entry.record.fields
        if entry.record.kind is not Kind.VERSIONS or told.get("by") != "peer" or told.get("again"):
            continue
        at = float(entry.record.stamp.ms)
        could = float(max(first[told["list"]], started[entry.name, entry.boot]))
        since = after_isolation(faults, entry.name, at, could)
        caught_up.in_force_ms.append(max(0.0, at - since))
        moments = seen.get((entry.name, told["list"]), ())
        known = [each for each in moments if since - CLOCK_MARGIN <= each <= at]
        caught_up.known_ms.append(max(0.0, min([at, *known]) - since))
    return caught_up


def newer_seen(rig: Rig) -> dict[tuple[str, str], list[float]]:
    """When (Unix ms) each dispatcher has told that a newer list exists, by dispatcher and list."""
    seen: dict[tuple[str, str], list[float]] = {}
    for name in rig.processes:
        for when, pairs in rig.lines(name, "fleet_newer_seen"):
            seen.setdefault((name, pairs["list"]), []).append(when * 1000)
    return seen


def after_isolation(faults: Faults, name: str, at: float, since: float) -> float:
    """The later of `since` and the end of the last isolation before `at`; Unix ms."""
    for whose, _, ended in faults.isolated:
        if whose == name and ended * 1000 <= at + CLOCK_MARGIN:
            since = max(since, ended * 1000)
    return since


def sent_after_lease(rig: Rig, sends: Sequence[Entry]) -> int:
    """Irreversible or cold sends, by the engines' log, while another relied on the sender's stop."""
    doubtful: dict[tuple[str, str], set[tuple[str, str]]] = {}
    for entry in sends:
        if entry.record.flags:
            key = entry.record.engine, entry.record.ident
            doubtful.setdefault(key, set()).add((entry.name, entry.boot))
    spans = relied_on_stops(rig)
    return sum(
        any(
            began < at < ended
            for whose in doubtful.get((engine, ident.decode()), ())
            for began, ended in spans.get(whose, ())
        )
        for at, _, engine, ident in rig.engines.run_log
    )


def relied_on_stops(rig: Rig) -> dict[tuple[str, str], list[tuple[float, float]]]:
    """From when to when (Unix s) somebody relied on the stop of a start; by name and start."""
    spans: dict[tuple[str, str], list[tuple[float, float]]] = {}
    for name in rig.processes:
        ends = rig.lines(name, "fleet_stopped_over")
        for at, pairs in rig.lines(name, "fleet_stopped"):
            whose = pairs["name"], pairs["boot"]
            over = [when for when, told in ends if (told["name"], told["boot"]) == whose and when >= at]
            spans.setdefault(whose, []).append((at, min(over, default=math.inf)))
    return spans
