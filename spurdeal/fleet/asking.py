"""What the logs of many dispatchers say: who did what under which version, and what contradicts it.

Free of I/O but for reading the files.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

from .audit import COLD, DOUBTFUL, BrokenLogError, Kind, Read, Record, head_of, read
from .errors import FleetError
from .hybrid import Stamp
from .versions import WITNESSES, Line

READY = 2
LINES = tuple(line.name.lower() for line in Line)


class UnreadableLogError(FleetError):
    """A log that cannot be used: file, offset and reason."""


class Entry(NamedTuple):
    """One record with whose it is, and the versions it was made under."""

    name: str
    boot: str
    record: Record
    versions: Mapping[str, Any]

    @property
    def order(self) -> tuple[Stamp, str]:
        """Sorts entries by cause; the name decides between equal stamps."""
        return self.record.stamp, self.name

    def to_json(self) -> dict[str, Any]:
        """The entry, ready for JSON."""
        record = self.record
        found: dict[str, Any] = {
            "at": str(record.stamp),
            "dispatcher": self.name,
            "boot": self.boot,
            "what": record.kind.name.lower(),
        }
        if record.ident:
            found["submission"] = record.ident
        if record.engine:
            found |= {
                "engine": record.engine,
                "trip": record.attempt,
                "cold": bool(record.flags & COLD),
                "doubtful": bool(record.flags & DOUBTFUL),
            }
        if record.kind is Kind.CALLED_OFF:
            found["trip"] = record.attempt
        found |= {key: value for key, value in record.fields.items() if key != "engines"}
        return found | {"versions": {line: self.versions[line] for line in LINES if line in self.versions}}

    def to_text(self) -> str:
        """The entry in one line, for people."""
        found = self.to_json()
        versions = found.pop("versions")
        text = " ".join(f"{key}={value}" for key, value in found.items() if key not in ("at", "boot"))
        return f"{found['at']} {text} list={versions.get('list', '?')}"


@dataclass
class DispatcherLog:
    """One dispatcher's folder, all its starts."""

    folder: str
    name: str = ""
    entries: list[Entry] = field(default_factory=list)
    seals: dict[tuple[str, int], str] = field(default_factory=dict)  # by start and page
    last_page: dict[str, int] = field(default_factory=dict)
    problems: list[str] = field(default_factory=list)
    torn: int = 0
    lost: int = 0


def read_log(folder: Path, strict: bool = True) -> DispatcherLog:
    """All files of a folder, in order.

    Args:
        folder: Where one dispatcher keeps its audit.
        strict: Whether a file that is broken ends the reading; else it is a problem, and the rest is read.

    Raises:
        UnreadableLogError: There is no log, a file is of another dispatcher, or it is broken and `strict`.
    """
    log = DispatcherLog(str(folder))
    files = sorted(folder.glob("audit-*.log"))
    if not files:
        raise UnreadableLogError(f"{folder}: no audit log there")
    before: str | None = None
    for file in files:
        data = file.read_bytes()
        try:
            found = read(data)
        except BrokenLogError as fault:
            if strict:
                raise UnreadableLogError(f"{file}: at byte {fault.offset}: {fault.why}") from None
            log.problems.append(f"{file.name}: at byte {fault.offset}: {fault.why}")
            log.name = log.name or str(head_of(data).get("name", folder.name))
            before = None
            continue
        log.torn += found.end < len(data) or not found.head
        if found.head:
            add_file(log, file, found, before)
            before = found.digest.hex()
    return log


def add_file(log: DispatcherLog, file: Path, found: Read, before: str | None) -> None:
    """Add the contents of a file to its log.

    Args:
        log: What has been read of the folder so far.
        file: Where it is.
        found: What it holds.
        before: The digest at the end of the file before; None where that is not known.

    Raises:
        UnreadableLogError: The file is of another dispatcher.
    """
    told = found.head
    if log.name and told["name"] != log.name:
        raise UnreadableLogError(
            f"{file}: at byte 0: it is {told['name']}'s, the files before are {log.name}'s"
        )
    log.name = str(told["name"])
    if before is not None and told["before"] != before:
        log.problems.append(f"{file.name}: a page before it was altered or cut")
    boot = str(told["boot"])
    add_records(log, boot, found.records)
    for page, seal in found.seals.items():
        log.seals[boot, page] = seal.digest
        log.last_page[boot] = max(page, log.last_page.get(boot, -1))
    if found.unsealed:  # the next start goes on behind this page, which nobody sealed
        log.last_page.setdefault(boot, found.page - 2)


def add_records(log: DispatcherLog, boot: str, records: Iterable[Record]) -> None:
    """Add one file's records, each with the versions that it was made under."""
    versions: dict[int, Mapping[str, Any]] = {}
    for record in records:
        if record.kind is Kind.VERSIONS:
            versions[int(record.fields["index"])] = record.fields
        if record.kind is Kind.LOST:
            log.lost += int(record.fields["records"])
        log.entries.append(Entry(log.name, boot, record, versions.get(record.under, {})))


def merge_logs(logs: Iterable[DispatcherLog]) -> list[Entry]:
    """All entries in an order that is true to cause: the hybrid stamps'."""
    return sorted((entry for log in logs for entry in log.entries), key=lambda entry: entry.order)


class AuditQuery(NamedTuple):
    """What entries to give; what is None or empty asks for nothing."""

    request: str = ""
    engine: str = ""
    dispatcher: str = ""
    version: str = ""
    since: float = 0.0  # Unix ms
    until: float = float("inf")


def select_entries(entries: Iterable[Entry], asked: AuditQuery) -> Iterator[Entry]:
    """The entries that were asked for, in their order."""
    for entry in entries:
        record = entry.record
        if record.kind in (Kind.HEAD, Kind.ENGINE, Kind.SEAL):
            continue
        if not asked.since <= record.stamp.ms <= asked.until:
            continue
        if asked.request and record.ident.lower() != asked.request.lower():
            continue
        if (
            asked.engine
            and asked.engine != record.engine
            and asked.engine not in record.fields.get("says", "")
        ):
            continue
        if asked.dispatcher and asked.dispatcher not in (entry.name, record.fields.get("name")):
            continue
        under = [str(entry.versions.get(line, "")) for line in LINES]
        if asked.version and not any(each.startswith(asked.version) for each in under):
            continue
        yield entry


class Finding(NamedTuple):
    """Something that went against the versions, or a log that is not whole."""

    kind: str  # own_version, newer_version, clash, chain, lost, witness
    text: str
    entry: Entry | None = None


def check(logs: Sequence[DispatcherLog], grace: float) -> list[Finding]:
    """All that contradicts the versions, or is missing.

    Args:
        logs: One for each dispatcher, or part of one.
        grace: After a version is told, how long a dispatcher has, in ms, until nothing may go to what it has
            draining.
    """
    entries = merge_logs(logs)
    findings = [*against_own(entries), *against_newer(entries, grace), *clashes(entries)]
    for log in logs:
        findings += [Finding("chain", f"{log.name}: {problem}") for problem in log.problems]
        if log.lost:
            findings.append(Finding("lost", f"{log.name}: {log.lost} records could not be written"))
    return findings + list(witnessed(logs, entries))


def life_of(versions: Mapping[str, Any], engine: str) -> int | None:
    """Of an engine in a list: 2 ready, 1 draining, 0 gone; None where the log does not hold the list."""
    engines = versions.get("engines")
    return None if engines is None else int(engines.get(engine, 0))


def against_own(entries: Iterable[Entry]) -> Iterator[Finding]:
    """Sends to engines that the sender's own list has draining or gone."""
    for entry in entries:
        if entry.record.kind is Kind.SENT:
            life = life_of(entry.versions, entry.record.engine)
            if life is not None and life != READY:
                yield Finding(
                    "own_version",
                    f"{entry.name} sent {entry.record.ident} to "
                    f"{entry.record.engine}, which its own list {entry.versions['list']} has "
                    f"{'draining' if life else 'gone'}",
                    entry,
                )


class Acted(NamedTuple):
    """A list that somebody has acted on: its number, since when (Unix ms), and the versions with it."""

    number: int
    at: int
    versions: Mapping[str, Any]


def against_newer(entries: Sequence[Entry], grace: float) -> Iterator[Finding]:
    """Sends that a newer list forbade, which someone had acted on more than the grace ago.

    Args:
        entries: In order of their stamps.
        grace: In ms.
    """
    believed = believed_lists(entries)
    first: list[Acted] = []  # numbers grow
    for entry in entries:
        record = entry.record
        if record.kind is Kind.VERSIONS and record.fields.get("list") in believed:
            number = number_of(record.fields["list"])
            if not first or number > first[-1].number:
                first.append(Acted(number, record.stamp.ms, record.fields))
        if record.kind is Kind.SENT and "list" in entry.versions:
            newer = newest_in_force(first, number_of(entry.versions["list"]), record.stamp.ms - grace)
            if newer is not None:
                yield from forbidden(entry, newer)


def believed_lists(entries: Sequence[Entry]) -> set[str]:
    """Lists that enough dispatchers have acted on.

    One that only one of several did is one witness's word, who may have made it up.
    """
    names = {entry.name for entry in entries}
    acted: dict[str, set[str]] = {}
    for entry in entries:
        if entry.record.kind is Kind.VERSIONS and "list" in entry.record.fields:
            acted.setdefault(entry.record.fields["list"], set()).add(entry.name)
    return {told for told, by in acted.items() if len(by) >= min(WITNESSES, len(names) - 1)}


def newest_in_force(first: list[Acted], beyond: int, before: float) -> Acted | None:
    """The newest list of a number beyond that, which was acted on before that moment (Unix ms)."""
    for acted in first[::-1]:
        if acted.number <= beyond:
            return None
        if acted.at < before:
            return acted
    return None


def forbidden(entry: Entry, newer: Acted) -> Iterator[Finding]:
    """A finding, where the newer list has the engine draining or gone."""
    record = entry.record
    life = life_of(newer.versions, record.engine)
    if life is not None and life != READY:
        words = (
            f"{entry.name} sent {record.ident} to {record.engine} on list {entry.versions['list']}; list "
            f"{newer.versions['list']}, acted on {record.stamp.ms - newer.at} ms before, "
            f"has it {'draining' if life else 'gone'}"
        )
        yield Finding("newer_version", words, entry)


def number_of(version: str) -> int:
    """The number in a version as logs tell it, which is generation.number/digest."""
    return int(version.partition("/")[0].partition(".")[2])


def clashes(entries: Iterable[Entry]) -> Iterator[Finding]:
    """Versions that two dispatchers acted on with different contents.

    The program has no numbers: other contents of it are no clash.
    """
    seen: dict[tuple[str, str], dict[str, str]] = {}
    for entry in entries:
        if entry.record.kind is Kind.VERSIONS:
            for line in LINES:
                if line in entry.record.fields and line != "program":
                    number, _, digest = str(entry.record.fields[line]).partition("/")
                    seen.setdefault((line, number), {}).setdefault(digest, entry.name)
    for (line, number), names in sorted(seen.items()):
        if len(names) > 1:
            told = " and ".join(f"{digest} at {name}" for digest, name in sorted(names.items()))
            yield Finding("clash", f"{line} {number} had {len(names)} contents: {told}")


def witnessed(logs: Sequence[DispatcherLog], entries: Iterable[Entry]) -> Iterator[Finding]:
    """Pages as others were told of them, against the logs: one that differs, and a log that ends before."""
    by_name: dict[str, list[DispatcherLog]] = {}  # several folders may hold parts of one dispatcher's
    for log in logs:
        by_name.setdefault(log.name, []).append(log)
    told_of: set[tuple[str, str]] = set()
    for entry in entries:
        if entry.record.kind is not Kind.WITNESS:
            continue
        told = entry.record.fields
        name, boot, page = str(told["name"]), str(told["boot"]), int(told["page"])
        parts = by_name.get(name)
        if parts is None or (name, boot) in told_of:
            continue
        digest = next((log.seals[boot, page] for log in parts if (boot, page) in log.seals), None)
        last = max(log.last_page.get(boot, -1) for log in parts)
        broken = any(log.problems for log in parts)
        if digest is not None and digest != told["digest"]:
            told_of.add((name, boot))
            yield Finding(
                "witness",
                f"{name}: page {page} of start {boot} is not the one that {entry.name} "
                f"was told of: the log was rewritten",
                entry,
            )
        elif digest is None and page > last and not broken:
            told_of.add((name, boot))
            yield Finding(
                "witness",
                f"{name}: {entry.name} was told of page {page} of start {boot}, and the "
                f"log ends before it: its tail was cut, or its disk put back",
                entry,
            )
