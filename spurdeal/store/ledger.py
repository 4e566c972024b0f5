"""The durable ledger: an append-only log with snapshots, and what is promised when.

Options weighed: SQLite (a journal, locks and 0.1 ms and more for each commit without a flush), LMDB (a map of
fixed size, flushes whole pages), a log of our own (one write for all of a turn, 30 bytes a record). What is
needed is a set of ids with ends, read once at a start; so a log. Its decisions are few: when to rewrite the
log, and what a failure means.

flush: `always` (each write is on the disk before a request is sent: outlives the machine), `turn` (left to
a timer of 50 ms: outlives the process, and the machine but for the last 50 ms), `never` (outlives the
process).
"""

from __future__ import annotations

import errno
import os
from collections.abc import Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Literal

from .files import FileCalls
from .records import MAGIC, Kind, Record, read, write

Flush = Literal["always", "turn", "never"]
FLUSHES: tuple[Flush, ...] = ("always", "turn", "never")
TURN = 0.05  # seconds between two flushes with `turn`
GROWN = 2.0  # a log so many times its snapshot's size is written anew
LEAST = 65_536  # bytes below which it is not
MOST_STEP = 2 * 3_600_000.0  # ms by which the wall clock may have been stepped between two processes
TRY_EVERY = 1000.0  # ms between two tries to write anew after a failure


class LedgerFullError(Exception):
    """Nothing more can be written; what was written stands."""


@dataclass(frozen=True)
class LedgerSettings:
    """When a ledger is flushed, and its bounds.

    Attributes:
        flush: How much an appended record outlives; see the module.
        max_ids: Most ids that are kept at once.
        max_bytes: Most bytes of the log on disk.
        longest: For how long an id usually counts from its record on, in ms. What an earlier process wrote
            counts for so long at least from the start on, as the clock may have been stepped meanwhile; None:
            as long as it tells.
    """

    flush: Flush = "turn"
    max_ids: int = 1_000_000
    max_bytes: int = 256 * 1_048_576
    longest: float | None = None


class Ledger:
    """Ids that may have run, with their ends.

    path is a directory of the ledger's own. clock gives ms that run on evenly while the process lives, from
    an origin close to Unix time, since ends must outlive a restart of the machine.
    """

    def __init__(
        self,
        path: Path,
        clock: Callable[[], float],
        settings: LedgerSettings = LedgerSettings(),
        system: FileCalls = os,
    ) -> None:
        assert settings.flush in FLUSHES
        self.path, self.clock, self.settings, self.system = path, clock, settings, system
        self.ends: dict[bytes, float] = {}
        self.appended = self.torn = self.recovered = self.failures = self.rewritten = 0
        self.bytes = self.bytes_most = self.base = 0
        self.dirty = self.full = False
        self.file = -1
        self.next_try = 0.0
        self.name = path / "ledger.log"
        self.recover()

    # Start.

    def recover(self) -> None:
        """Read the log, cut a torn tail, and write a snapshot without the ids that have ended.

        Raises:
            OSError: The directory or the log cannot be read or written.
        """
        self.path.mkdir(parents=True, exist_ok=True)
        (self.path / "ledger.new").unlink(missing_ok=True)  # a rewrite that was killed: the old one holds
        data = self.name.read_bytes() if self.name.exists() else b""
        end = len(MAGIC) if data else 0
        for record, end in read(data):  # noqa: B007
            self.apply(record)
        if data and end < len(data):
            self.torn += 1
        self.ends = recovered(self.ends, self.clock(), self.settings)
        self.recovered = len(self.ends)
        self.rewrite()

    def apply(self, record: Record) -> None:
        """Change the ids as a record says."""
        if record.kind is Kind.MAY_RUN:
            self.ends[record.ident] = max(record.until, self.ends.get(record.ident, 0.0))
        else:
            self.ends.pop(record.ident, None)

    # What is asked of it.

    def may_have_run(self, ident: bytes) -> bool:
        """Whether that id has a record that has not ended."""
        return self.ends.get(ident, 0.0) > self.clock()

    def append(self, records: list[Record]) -> None:
        """Write all of the records or none; they outlive the process from then on, and more once flushed.

        Raises:
            LedgerFullError: They were not written.
        """
        if not records or (self.full and not self.try_again()):
            if records:
                raise LedgerFullError("nothing can be written")
            return
        data = b"".join(write(record) for record in records)
        if len(self.ends) + len(records) > self.settings.max_ids:
            self.forget()
            if len(self.ends) + len(records) > self.settings.max_ids:
                raise LedgerFullError("no room for another id")
        if self.bytes + len(data) > max(LEAST, GROWN * self.base):
            self.rewrite_if_it_pays()
        if self.bytes + len(data) > self.settings.max_bytes:
            raise LedgerFullError("no room on the disk that it may use")
        try:
            self.write(data)
            self.dirty = True
        except OSError as fault:
            self.failures += 1
            self.full = True
            self.cut()
            raise LedgerFullError(os.strerror(fault.errno or errno.EIO)) from None
        for record in records:
            self.apply(record)
        self.bytes += len(data)
        self.bytes_most = max(self.bytes_most, self.bytes)
        self.appended += len(records)

    def try_again(self) -> bool:
        """Rewrite the log after a failure, as only a new file is trusted; at most once in TRY_EVERY.

        Returns:
            Whether the ledger can be written again.
        """
        now = self.clock()
        if now < self.next_try:
            return False
        self.next_try = now + TRY_EVERY
        self.forget()
        try:
            self.rewrite()
        except OSError:
            self.failures += 1
            return False
        self.full = False
        return True

    def sync(self) -> None:
        """Flush all that was written before this call.

        Raises:
            OSError: The disk did not take it.
        """
        self.syncer()()

    def syncer(self) -> Callable[[], None]:
        """What `sync` does, to be called in a thread.

        It has a descriptor of its own, as the log may be rewritten meanwhile.
        """
        file, self.dirty = os.dup(self.file), False

        def sync() -> None:
            try:
                self.system.fdatasync(file)  # the size with it, not the times
            except OSError:
                self.failures += 1
                self.full = True
                raise
            finally:
                os.close(file)

        return sync

    def write(self, data: bytes) -> None:
        """Write all of the data at the end of the log.

        Raises:
            OSError: Some of it could not be written.
        """
        view = memoryview(data)
        while view:
            view = view[self.system.write(self.file, view) :]

    def cut(self) -> None:
        """Cut off a partly written record, so that the next one does not follow a torn one."""
        try:
            self.system.ftruncate(self.file, self.bytes)
            self.system.lseek(self.file, self.bytes, os.SEEK_SET)
        except OSError:
            self.failures += 1

    def close(self) -> None:
        """Flush, as far as the disk takes it, and close the log."""
        if self.file >= 0:
            with suppress(OSError):
                self.sync()
            self.system.close(self.file)
            self.file = -1

    # Writing anew.

    def forget(self) -> None:
        """Drop the ids that have ended."""
        now = self.clock()
        self.ends = {ident: until for ident, until in self.ends.items() if until > now}

    def rewrite_if_it_pays(self) -> None:
        """Rewrite a log that has grown; if that fails, the old one is used further."""
        self.forget()
        try:
            self.rewrite()
        except OSError:
            self.failures += 1  # the old one goes on

    def rewrite(self) -> None:
        """Write a snapshot beside the log, flush it and rename it: a kill leaves one or the other.

        Raises:
            OSError: The old log stands.
        """
        fresh = self.path / "ledger.new"
        data = MAGIC + b"".join(write(Record(Kind.MAY_RUN, *each)) for each in self.ends.items())
        file = self.system.open(fresh, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            view = memoryview(data)
            while view:
                view = view[self.system.write(file, view) :]
            self.system.fsync(file)
            self.system.rename(fresh, self.name)
        except OSError:
            self.system.close(file)
            raise
        folder = os.open(self.path, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
        if self.file >= 0:
            self.system.close(self.file)
        self.file, self.bytes, self.base = file, len(data), len(data)
        self.bytes_most = max(self.bytes_most, self.bytes)
        self.rewritten += 1
        self.dirty = False


def recovered(ends: Mapping[bytes, float], now: float, settings: LedgerSettings) -> dict[bytes, float]:
    """The ids of an earlier process that still count, with their ends on the clock of this one.

    The ends were written by a wall clock that may have been stepped since, either way, by MOST_STEP at most.
    So an end that lies in the past by less proves nothing: the id counts for its usual time from now on.
    Where there are more than may be kept, those with the latest ends are.
    """
    if settings.longest is None:
        return {ident: until for ident, until in ends.items() if until > now}
    may_count = [(until, ident) for ident, until in ends.items() if until > now - MOST_STEP]
    may_count.sort(reverse=True)
    least, most = now + settings.longest, now + settings.longest + MOST_STEP
    return {ident: min(max(until, least), most) for until, ident in may_count[: settings.max_ids]}
