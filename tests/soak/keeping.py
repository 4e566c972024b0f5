"""Saves a soak run that violates a rule: the violations, all records in the order of time, and the logs."""

from __future__ import annotations

import json
from dataclasses import asdict
from pathlib import Path

from tests.soak.soak import Soak


def save_records(folder: Path, soak: Soak, violations: list[str]) -> None:
    """Write logs, violations, requests and attempts of a run."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "breaks.txt").write_text("\n".join(violations) + "\n")
    for each in soak.dispatchers:
        (folder / f"n{each.number}.log").write_bytes((each.folder / "log").read_bytes())
    lines = [
        f"{request.sent_at:.3f} {request.ident} n{request.dispatcher} once={request.once} "
        f"wait={request.wait} {request.end.name} {request.ended_at - request.sent_at:.3f}"
        for request in soak.records.requests.values()
    ]
    lines += [
        f"{attempt.at:.3f} {attempt.ident} attempt {attempt.engine} wait={attempt.wait} ran={attempt.ran}"
        for attempt in soak.records.attempts
    ]
    lines += [
        f"{change.at:.3f} drained {change.engine} told={change.informed}" for change in soak.records.changes
    ]
    lines += [
        f"{at:.3f} killed n{number} planned={planned}"
        for number, all_of in soak.records.kills.items()
        for at, planned in all_of
    ]
    lines += [f"{at:.3f} {text}" for at, text in soak.records.notes]
    lines += [str(datagram) for datagram in soak.records.datagrams]
    (folder / "records.txt").write_text("\n".join(sorted(lines)) + "\n")
    datagrams = [json.dumps(asdict(datagram)) for datagram in soak.records.datagrams]
    (folder / "datagrams.jsonl").write_text("\n".join(datagrams) + "\n")
