"""Queries over the audit logs of several dispatchers, and the check of the logs against the versions.

The only I/O is reading the files.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

from .audit import COLD, DOUBTFUL, BrokenLogError, Kind, ParsedFile, Record, read, read_head
from .errors import FleetError
from .hybrid import Stamp
from .versions import MIN_CLAIMANTS, Artifact

READY = 2  # a ready engine's state in the "engines" of a VERSIONS record; see engine_life
ARTIFACTS = tuple(artifact.name.lower() for artifact in Artifact)


class UnreadableLogError(FleetError):
    """A log that cannot be used; the text names the file, the offset in bytes and the reason."""


class Entry(NamedTuple):
    """One record in its context.

    Attributes:
        name: The dispatcher that wrote it.
        boot: That dispatcher's start, in hex.
        record: The record.
        versions: The fields of the VERSIONS record in force; empty if the log does not hold it.
    """

    name: str
    boot: str
    record: Record
    versions: Mapping[str, Any]

    @property
    def sort_key(self) -> tuple[Stamp, str]:
        """A key that sorts entries causally; the name breaks ties between equal timestamps."""
        return self.record.stamp, self.name

    def to_json(self) -> dict[str, Any]:
        """The entry as a dict that can be encoded as JSON.

        The keys keep former names: "submission" is the request's id, "trip" the attempt's number.
        """
        record = self.record
        encoded: dict[str, Any] = {
            "at": str(record.stamp),
            "dispatcher": self.name,
            "boot": self.boot,
            "what": record.kind.name.lower(),
        }
        if record.ident:
            encoded["submission"] = record.ident
        if record.engine:
            encoded |= {
                "engine": record.engine,
                "trip": record.attempt,
                "cold": bool(record.flags & COLD),
                "doubtful": bool(record.flags & DOUBTFUL),
            }
        if record.kind is Kind.CALLED_OFF:
            encoded["trip"] = record.attempt
        encoded |= {key: value for key, value in record.fields.items() if key != "engines"}
        return encoded | {
            "versions": {
                artifact: self.versions[artifact] for artifact in ARTIFACTS if artifact in self.versions
            }
        }

    def to_text(self) -> str:
        """The entry as one line of text."""
        encoded = self.to_json()
        versions = encoded.pop("versions")
        text = " ".join(f"{key}={value}" for key, value in encoded.items() if key not in ("at", "boot"))
        return f"{encoded['at']} {text} list={versions.get('list', '?')}"


@dataclass
class DispatcherLog:
    """The contents of one dispatcher's directory, over all its starts.

    Attributes:
        folder: The directory.
        name: The dispatcher.
        entries: All records, in the order of the files.
        seals: Digests in hex, by start and page.
        last_page: By start: the number of the last page that the log must hold; -1 or less for none.
        problems: Damage that was found, for people.
        torn: Files with a torn tail or a torn head.
        lost: Records that the dispatcher could not write.
    """

    folder: str
    name: str = ""
    entries: list[Entry] = field(default_factory=list)
    seals: dict[tuple[str, int], str] = field(default_factory=dict)
    last_page: dict[str, int] = field(default_factory=dict)
    problems: list[str] = field(default_factory=list)
    torn: int = 0
    lost: int = 0


def read_log(folder: Path, strict: bool = True) -> DispatcherLog:
    """Read all files of a directory, in order.

    Args:
        folder: The directory of one dispatcher's audit log.
        strict: Whether a broken file raises; otherwise it is added to the problems and the rest is read.

    Raises:
        UnreadableLogError: There is no log, a file is another dispatcher's, or one is broken and `strict`.
        OSError: A file cannot be read.
    """
    log = DispatcherLog(str(folder))
    files = sorted(folder.glob("audit-*.log"))
    if not files:
        raise UnreadableLogError(f"{folder}: no audit log there")
    before: str | None = None
    for file in files:
        data = file.read_bytes()
        try:
            parsed = read(data)
        except BrokenLogError as fault:
            if strict:
                raise UnreadableLogError(f"{file}: at byte {fault.offset}: {fault.why}") from None
            log.problems.append(f"{file.name}: at byte {fault.offset}: {fault.why}")
            log.name = log.name or str(read_head(data).get("name", folder.name))
            before = None
            continue
        log.torn += parsed.end < len(data) or not parsed.head
        if parsed.head:
            add_file(log, file, parsed, before)
            before = parsed.digest.hex()
    return log


def add_file(log: DispatcherLog, file: Path, parsed: ParsedFile, before: str | None) -> None:
    """Add a file's contents to its log, and check that it continues the chain.

    Args:
        log: The contents of the earlier files.
        file: The file's path.
        parsed: The file's contents.
        before: The digest in hex at the end of the previous file; None if it is not known.

    Raises:
        UnreadableLogError: The file is another dispatcher's.
    """
    head = parsed.head
    if log.name and head["name"] != log.name:
        raise UnreadableLogError(
            f"{file}: at byte 0: it is {head['name']}'s, the files before are {log.name}'s"
        )
    log.name = str(head["name"])
    if before is not None and head["before"] != before:
        log.problems.append(f"{file.name}: a page before it was altered or cut")
    boot = str(head["boot"])
    add_records(log, boot, parsed.records)
    for page, seal in parsed.seals.items():
        log.seals[boot, page] = seal.digest
        log.last_page[boot] = max(page, log.last_page.get(boot, -1))
    if parsed.unsealed_records:  # the next start continues after this page, which has no seal
        log.last_page.setdefault(boot, parsed.next_page - 2)


def add_records(log: DispatcherLog, boot: str, records: Iterable[Record]) -> None:
    """Add one file's records, each with the versions that were in force."""
    versions: dict[int, Mapping[str, Any]] = {}
    for record in records:
        if record.kind is Kind.VERSIONS:
            versions[int(record.fields["index"])] = record.fields
        if record.kind is Kind.LOST:
            log.lost += int(record.fields["records"])
        log.entries.append(Entry(log.name, boot, record, versions.get(record.versions_index, {})))


def merge_logs(logs: Iterable[DispatcherLog]) -> list[Entry]:
    """All entries in causal order, by their hybrid timestamps."""
    return sorted((entry for log in logs for entry in log.entries), key=lambda entry: entry.sort_key)


class AuditQuery(NamedTuple):
    """Conditions that all must hold for an entry; an empty text is no condition.

    Attributes:
        request: The request's id, in either case.
        engine: The engine of an attempt, or a part of the text of a MODE record.
        dispatcher: The dispatcher that wrote the entry, or that its fields name.
        version: A prefix of the version of any artifact in force.
        since: The earliest time, in Unix ms.
        until: The latest time, in Unix ms.
    """

    request: str = ""
    engine: str = ""
    dispatcher: str = ""
    version: str = ""
    since: float = 0.0
    until: float = float("inf")


def select_entries(entries: Iterable[Entry], query: AuditQuery) -> Iterator[Entry]:
    """The entries that match a query, in their order; heads, seals and tables of engines never match."""
    for entry in entries:
        record = entry.record
        if record.kind in (Kind.HEAD, Kind.ENGINE, Kind.SEAL):
            continue
        if not query.since <= record.stamp.ms <= query.until:
            continue
        if query.request and record.ident.lower() != query.request.lower():
            continue
        if (
            query.engine
            and query.engine != record.engine
            and query.engine not in record.fields.get("says", "")
        ):
            continue
        if query.dispatcher and query.dispatcher not in (entry.name, record.fields.get("name")):
            continue
        versions_in_force = [str(entry.versions.get(artifact, "")) for artifact in ARTIFACTS]
        if query.version and not any(each.startswith(query.version) for each in versions_in_force):
            continue
        yield entry


class Finding(NamedTuple):
    """A decision that contradicts the versions, or a log that is damaged or incomplete.

    Attributes:
        kind: own_version, newer_version, clash, chain, lost or witness.
        text: The description, for people.
        entry: The entry that shows it, if there is one.
    """

    kind: str
    text: str
    entry: Entry | None = None


def check(logs: Sequence[DispatcherLog], grace: float) -> list[Finding]:
    """Check logs for decisions that contradict the versions, and for missing or altered records.

    Args:
        logs: One per dispatcher, or several that are parts of one dispatcher's log.
        grace: How long after a list is first acted on, in ms, attempts may still go to engines that it has
            draining or gone.
    """
    entries = merge_logs(logs)
    findings = [*check_own_list(entries), *check_newer_lists(entries, grace), *check_clashes(entries)]
    for log in logs:
        findings += [Finding("chain", f"{log.name}: {problem}") for problem in log.problems]
        if log.lost:
            findings.append(Finding("lost", f"{log.name}: {log.lost} records could not be written"))
    return findings + list(check_witnesses(logs, entries))


def engine_life(versions: Mapping[str, Any], engine: str) -> int | None:
    """An engine's state in a list: 2 ready, 1 draining, 0 gone; None if the log does not hold the list."""
    engines = versions.get("engines")
    return None if engines is None else int(engines.get(engine, 0))


def check_own_list(entries: Iterable[Entry]) -> Iterator[Finding]:
    """Find attempts to engines that are draining or gone in the sender's own list."""
    for entry in entries:
        if entry.record.kind is Kind.SENT:
            life = engine_life(entry.versions, entry.record.engine)
            if life is not None and life != READY:
                yield Finding(
                    "own_version",
                    f"{entry.name} sent {entry.record.ident} to "
                    f"{entry.record.engine}, which its own list {entry.versions['list']} has "
                    f"{'draining' if life else 'gone'}",
                    entry,
                )


class ListInForce(NamedTuple):
    """A list's number, when a dispatcher first acted on it (Unix ms), and the versions recorded then."""

    number: int
    at: int
    versions: Mapping[str, Any]


def check_newer_lists(entries: Sequence[Entry], grace: float) -> Iterator[Finding]:
    """Find attempts to engines that are draining or gone in a list newer than the sender's.

    The newer list must have been acted on first more than `grace` before the attempt.

    Args:
        entries: In the order of their timestamps.
        grace: How long before the attempt the newer list must have been acted on, in ms.
    """
    corroborated = corroborated_lists(entries)
    first: list[ListInForce] = []  # in increasing order of their numbers
    for entry in entries:
        record = entry.record
        if record.kind is Kind.VERSIONS and record.fields.get("list") in corroborated:
            number = list_number(record.fields["list"])
            if not first or number > first[-1].number:
                first.append(ListInForce(number, record.stamp.ms, record.fields))
        if record.kind is Kind.SENT and "list" in entry.versions:
            newer = newest_list_before(first, list_number(entry.versions["list"]), record.stamp.ms - grace)
            if newer is not None:
                yield from newer_list_finding(entry, newer)


def corroborated_lists(entries: Sequence[Entry]) -> set[str]:
    """The versions of lists that at least WITNESSES dispatchers have acted on, or all but one of fewer.

    A list that only one of several dispatchers acted on may have been made up by that one.
    """
    names = {entry.name for entry in entries}
    acted: dict[str, set[str]] = {}
    for entry in entries:
        if entry.record.kind is Kind.VERSIONS and "list" in entry.record.fields:
            acted.setdefault(entry.record.fields["list"], set()).add(entry.name)
    return {version for version, by in acted.items() if len(by) >= min(MIN_CLAIMANTS, len(names) - 1)}


def newest_list_before(first: list[ListInForce], beyond: int, before: float) -> ListInForce | None:
    """The newest list with a number above `beyond` that was acted on before a time (Unix ms), if any."""
    for acted in first[::-1]:
        if acted.number <= beyond:
            return None
        if acted.at < before:
            return acted
    return None


def newer_list_finding(entry: Entry, newer: ListInForce) -> Iterator[Finding]:
    """Yield a finding if the newer list has the attempt's engine draining or gone."""
    record = entry.record
    life = engine_life(newer.versions, record.engine)
    if life is not None and life != READY:
        text = (
            f"{entry.name} sent {record.ident} to {record.engine} on list {entry.versions['list']}; list "
            f"{newer.versions['list']}, acted on {record.stamp.ms - newer.at} ms before, "
            f"has it {'draining' if life else 'gone'}"
        )
        yield Finding("newer_version", text, entry)


def list_number(version: str) -> int:
    """The number in a version, which logs hold as generation.number/digest."""
    return int(version.partition("/")[0].partition(".")[2])


def check_clashes(entries: Iterable[Entry]) -> Iterator[Finding]:
    """Find versions that dispatchers acted on with different contents.

    The program is left out: it has no version numbers, so different contents are no clash.
    """
    seen: dict[tuple[str, str], dict[str, str]] = {}
    for entry in entries:
        if entry.record.kind is Kind.VERSIONS:
            for artifact in ARTIFACTS:
                if artifact in entry.record.fields and artifact != "program":
                    number, _, digest = str(entry.record.fields[artifact]).partition("/")
                    seen.setdefault((artifact, number), {}).setdefault(digest, entry.name)
    for (artifact, number), names in sorted(seen.items()):
        if len(names) > 1:
            contents = " and ".join(f"{digest} at {name}" for digest, name in sorted(names.items()))
            yield Finding("clash", f"{artifact} {number} had {len(names)} contents: {contents}")


def check_witnesses(logs: Sequence[DispatcherLog], entries: Iterable[Entry]) -> Iterator[Finding]:
    """Compare the seals that other members recorded with the logs.

    Finds a page whose digest differs, and a log that ends before such a page; one finding per start.
    """
    by_name: dict[str, list[DispatcherLog]] = {}  # several directories may hold parts of one dispatcher's log
    for log in logs:
        by_name.setdefault(log.name, []).append(log)
    reported: set[tuple[str, str]] = set()
    for entry in entries:
        if entry.record.kind is not Kind.WITNESS:
            continue
        claim = entry.record.fields
        name, boot, page = str(claim["name"]), str(claim["boot"]), int(claim["page"])
        parts = by_name.get(name)
        if parts is None or (name, boot) in reported:
            continue
        digest = next((log.seals[boot, page] for log in parts if (boot, page) in log.seals), None)
        last = max(log.last_page.get(boot, -1) for log in parts)
        broken = any(log.problems for log in parts)
        if digest is not None and digest != claim["digest"]:
            reported.add((name, boot))
            yield Finding(
                "witness",
                f"{name}: page {page} of start {boot} is not the one that {entry.name} "
                f"was told of: the log was rewritten",
                entry,
            )
        elif digest is None and page > last and not broken:
            reported.add((name, boot))
            yield Finding(
                "witness",
                f"{name}: {entry.name} was told of page {page} of start {boot}, and the "
                f"log ends before it: its tail was cut, or its disk put back",
                entry,
            )
