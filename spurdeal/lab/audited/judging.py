"""Evaluation of a run: compares the clients' counts, the engines' own log and the audit logs."""

from __future__ import annotations

import math
import time
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import Any, NamedTuple

from ...fleet.audit import Kind
from ...fleet.audit_query import Entry, check, merge_logs, read_log
from ..percentiles import spread
from ..rig import GRACE, Rig
from ..rig_process import Process
from .faults import Faults
from .run import Run
from .shut_out import shut_out_figures
from .tampering import tampering_figures

DECIDED = (Kind.SENT, Kind.SHED, Kind.BROKEN_OFF, Kind.WITHDRAWN, Kind.CALLED_OFF, Kind.MODE)
MAX_MISSING, MAX_FINDINGS = 10, 5  # greatest number listed in the figures
DRAIN_GRACE = 1.0  # s after a drain or removal until nothing more may reach the engine
CLOCK_MARGIN = 50.0  # ms by which timestamps of different processes may disagree
FAULT_TAIL = 1.0  # s after a fault that are still attributed to it


class CatchUp(NamedTuple):
    """How fast dispatchers got newer lists from peers.

    Attributes:
        in_force_ms: By list received, ms until it was in force.
        known_ms: By list received, ms until the dispatcher knew that a newer list existed.
    """

    in_force_ms: list[float]
    known_ms: list[float]


def run_figures(run: Run) -> dict[str, Any]:
    """Return all figures of a run, as a JSON object."""
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
        "missing": missing_answers(run)[:MAX_MISSING],
        "idle_cpu": round(sum(run.idle_cpu.values()) / max(1, len(run.idle_cpu)), 4),
    }
    return found | fleet_figures(run) if rig.fleet_on else found


def missing_answers(run: Run) -> list[str]:
    """Describe each missing answer: the dispatcher that owed it, and the fault at that time."""
    return [
        f"{asked.ident} at {place[0]} during {fault_at(run, asked.began / 1000)}; answers {asked.answers}"
        for asked in run.crowd.requests
        for place in asked.unanswered
        if not run.rig.in_outage(place, asked)
    ]


def fault_at(run: Run, at: float) -> str:
    """Describe the fault in effect at a time (Unix s)."""
    for kind, started_at, ended_at, targets in run.injected:
        if started_at <= at <= ended_at + FAULT_TAIL:
            return f"{kind} of {' '.join(targets)}, {at - started_at:.2f} s in"
    return "no fault"


def sent_to_drained(rig: Rig) -> int:
    """Count runs, by the engines' log, on engines drained or removed for longer than the grace period."""
    since = {ident: at for at, _, ident in reversed(rig.released)}
    return sum(at > since.get(engine, math.inf) + DRAIN_GRACE for at, _, engine, _ in rig.engines.run_log)


def fleet_figures(run: Run) -> dict[str, Any]:
    """Return the figures of a run with the fleet enabled."""
    rig, faults = run.rig, run.faults
    folders = log_folders(rig, faults)
    logs = [read_log(folder, strict=False) for folder in folders]
    entries = merge_logs(logs)
    findings = check(logs, GRACE)
    kinds = Counter(finding.kind for finding in findings)
    numbers = {entry.record.fields["list"] for entry in entries if entry.record.kind is Kind.VERSIONS}
    sends = [entry for entry in entries if entry.record.kind is Kind.SENT]
    lost = sum(log.lost for log in logs)
    catch_up = catch_up_times(rig, faults, entries)
    others = [finding.text for finding in findings if finding.kind not in ("newer_version", "clash")]
    return {
        "versions": len(numbers),
        "decisions": sum(entry.record.kind in DECIDED for entry in entries),
        "records": len(entries),
        "records_lost_told": lost,
        "decisions_unaccounted": unlogged_runs(rig, sends, lost),
        "sent_against_own_version": kinds["own_version"],
        "sent_against_newer_version": kinds["newer_version"],
        "sent_after_lease": sends_after_lease(rig, sends),
        "stops_relied_on": sum(len(rig.lines(name, "fleet_stopped")) for name in rig.processes),
        "stragglers": len(catch_up.in_force_ms),
        "found_ms": spread(catch_up.known_ms),
        "brought_up_ms": spread(catch_up.in_force_ms),
        **shut_out_figures(rig, faults.may_shut_out),
        "clash_planted": faults.conflicts,
        "clash_found": min(faults.conflicts, logged_conflicts(rig)),
        "clash_in_logs": kinds["clash"],
        "log_problems": kinds["chain"] + kinds["witness"],
        "says": others[:MAX_FINDINGS],
        **tampering_figures(rig, folders, faults.chance),
        "names_yielded": sum(has_yielded_name(rig, twin) for twin in faults.twins),
        "twins": len(faults.twins),
        "bytes_per_s_real": bytes_per_second(run),
    }


def log_folders(rig: Rig, faults: Faults) -> list[Path]:
    """Return the directories of all audit logs, with those of duplicate processes and replaced disks."""
    return [
        path
        for process in [*rig.processes.values(), *faults.twins]
        for path in (process.disk, *process.replaced_disks)
        if path.exists()
    ]


def has_yielded_name(rig: Rig, twin: Process) -> bool:
    """Tell whether one of two processes of a name yielded it; it may be either if both have just started."""
    both = twin, rig.processes[twin.name]
    return any(log_lines(process, "fleet_name_yielded") for process in both)


def bytes_per_second(run: Run) -> int:
    """Estimate the bytes per second sent by a dispatcher, from all datagrams and their mean size."""
    fleet_counters = [each for each in run.counters.values() if each.get("fleet_sent")]
    sizes = sum(each["fleet_sent_bytes"] / each["fleet_sent"] for each in fleet_counters)
    elapsed = time.time() - run.injected[0].started_at if run.injected else 1.0
    rate = run.rig.cables.seen / elapsed / run.rig.count
    return round(rate * sizes / max(1, len(fleet_counters)))


def log_lines(process: Process, event: str) -> list[str]:
    """Return a process's log lines of an event."""
    text = process.log.read_text(errors="replace") if process.log.exists() else ""
    return [line for line in text.splitlines() if f"event={event} " in line]


def logged_conflicts(rig: Rig) -> int:
    """Count the versions of the list for which a dispatcher logged a conflict."""
    return len(
        {
            line.partition("says=")[2].split(" is ")[0]
            for process in rig.processes.values()
            for line in log_lines(process, "fleet_clash")
            if '"list ' in line
        }
    )


def unlogged_runs(rig: Rig, sends: Sequence[Entry], lost: int) -> int:
    """Count runs in the engines' log without an audit record, less the records reported as lost."""
    known = Counter((entry.record.engine, entry.record.ident) for entry in sends)
    ran = Counter((engine, ident.decode()) for _, _, engine, ident in rig.engines.run_log)
    return max(0, sum((ran - known).values()) - lost)


def catch_up_times(rig: Rig, faults: Faults, entries: Sequence[Entry]) -> CatchUp:
    """Measure how fast dispatchers got newer lists from peers.

    Time counts from when a list was available to the dispatcher: a peer had it, the dispatcher had started,
    and its last isolation was over.
    """
    first_in_force: dict[str, int] = {}
    started: dict[tuple[str, str], int] = {}
    for entry in entries:
        if entry.record.kind is Kind.VERSIONS:
            first_in_force.setdefault(entry.record.fields["list"], entry.record.stamp.ms)
        started.setdefault((entry.name, entry.boot), entry.record.stamp.ms)
    seen = newer_list_reports(rig)
    catch_up = CatchUp([], [])
    for entry in entries:
        fields = entry.record.fields
        if entry.record.kind is not Kind.VERSIONS or fields.get("by") != "peer" or fields.get("again"):
            continue
        at = float(entry.record.stamp.ms)
        available_at = float(max(first_in_force[fields["list"]], started[entry.name, entry.boot]))
        since = later_of_isolation_end(faults, entry.name, at, available_at)
        catch_up.in_force_ms.append(max(0.0, at - since))
        moments = seen.get((entry.name, fields["list"]), ())
        known = [each for each in moments if since - CLOCK_MARGIN <= each <= at]
        catch_up.known_ms.append(max(0.0, min([at, *known]) - since))
    return catch_up


def newer_list_reports(rig: Rig) -> dict[tuple[str, str], list[float]]:
    """Return when (Unix ms) each dispatcher logged that a newer list exists, by dispatcher and list."""
    seen: dict[tuple[str, str], list[float]] = {}
    for name in rig.processes:
        for when, pairs in rig.lines(name, "fleet_newer_seen"):
            seen.setdefault((name, pairs["list"]), []).append(when * 1000)
    return seen


def later_of_isolation_end(faults: Faults, name: str, at: float, since: float) -> float:
    """Return the later of `since` and the end of the last isolation before `at`, in Unix ms."""
    for dispatcher, _, ended_at in faults.isolated:
        if dispatcher == name and ended_at * 1000 <= at + CLOCK_MARGIN:
            since = max(since, ended_at * 1000)
    return since


def sends_after_lease(rig: Rig, sends: Sequence[Entry]) -> int:
    """Count sends that need a lease, by the engines' log, while a peer relied on the sender's stop.

    Sends of non-idempotent requests and to cold engines need a lease.
    """
    lease_bound_sends: dict[tuple[str, str], set[tuple[str, str]]] = {}
    for entry in sends:
        if entry.record.flags:
            key = entry.record.engine, entry.record.ident
            lease_bound_sends.setdefault(key, set()).add((entry.name, entry.boot))
    relied_on = relied_on_stops(rig)
    return sum(
        any(
            started_at < at < ended_at
            for dispatcher in lease_bound_sends.get((engine, ident.decode()), ())
            for started_at, ended_at in relied_on.get(dispatcher, ())
        )
        for at, _, engine, ident in rig.engines.run_log
    )


def relied_on_stops(rig: Rig) -> dict[tuple[str, str], list[tuple[float, float]]]:
    """Return the spans (Unix s) in which a peer relied on the stop of a dispatcher, by name and boot."""
    relied_on: dict[tuple[str, str], list[tuple[float, float]]] = {}
    for name in rig.processes:
        ends = rig.lines(name, "fleet_stopped_over")
        for at, pairs in rig.lines(name, "fleet_stopped"):
            dispatcher = pairs["name"], pairs["boot"]
            over = [
                when for when, fields in ends if (fields["name"], fields["boot"]) == dispatcher and when >= at
            ]
            relied_on.setdefault(dispatcher, []).append((at, min(over, default=math.inf)))
    return relied_on
