"""The durable ledger: an append-only log with snapshots, and what is promised when.

Options weighed: SQLite (a journal, locks and 0.1 ms and more for each commit without a flush), LMDB (a map of
fixed size, flushes whole pages), a log of our own (one write for all of a turn, 30 bytes a record). What is
needed is a set of ids with ends, read once at a start; so a log. Its decisions are few: when to write anew,
and what a failure means.

flush: `always` (each write is on the disk before a submission is sent: outlives the machine), `turn` (left to
a timer of 50 ms: outlives the process, and the machine but for the last 50 ms), `never` (outlives the
process)."""

from __future__ import annotations

import errno
import os
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

from .records import MAGIC, Kind, Record, read, write

FLUSHES = ("always", "turn", "never")
TURN = 0.05  # seconds between two flushes with `turn`
GROWN = 2.0  # a log so many times its snapshot's size is written anew
LEAST = 65_536  # bytes below which it is not
TRY_EVERY = 1000.0  # ms between two tries to write anew after a failure


class Full(Exception):
    """Nothing more can be written; what was written stands."""


class Ledger:
    """Ids that may have run, with their ends. `path` is a folder of the ledger's own.

    clock is Unix ms, since ends must outlive the machine's start. most is a bound on ids, most_bytes on the
    disk.
    """

    def __init__(
        self,
        path: Path,
        clock: Callable[[], float],
        flush: str = "turn",
        most: int = 1_000_000,
        most_bytes: int = 256 * 1_048_576,
        system: Any = os,
    ) -> None:
        assert flush in FLUSHES
        self.path, self.clock, self.flush_when, self.most = path, clock, flush, most
        self.most_bytes, self.system = most_bytes, system
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
        """Reads what stands, cuts a torn tail, and writes a snapshot without what is over. OSError as it
        comes."""
        self.path.mkdir(parents=True, exist_ok=True)
        (self.path / "ledger.new").unlink(missing_ok=True)  # a rewrite that was killed: the old one holds
        data = self.name.read_bytes() if self.name.exists() else b""
        end = len(MAGIC) if data else 0
        for record, end in read(data):  # noqa: B007
            self.apply(record)
        if data and end < len(data):
            self.torn += 1
        now = self.clock()
        self.ends = {ident: until for ident, until in self.ends.items() if until > now}
        self.recovered = len(self.ends)
        self.rewrite()

    def apply(self, record: Record) -> None:
        if record.kind is Kind.MAY_RUN:
            self.ends[record.ident] = max(record.until, self.ends.get(record.ident, 0.0))
        else:
            self.ends.pop(record.ident, None)

    # What is asked of it.

    def may_have_run(self, ident: bytes) -> bool:
        return self.ends.get(ident, 0.0) > self.clock()

    def append(self, records: list[Record]) -> None:
        """All or none: they outlive the process now; `sync` or `flush` make them outlive more. Full
        otherwise."""
        if not records or (self.full and not self.try_again()):
            if records:
                raise Full("nothing can be written")
            return
        data = b"".join(write(record) for record in records)
        if len(self.ends) + len(records) > self.most:
            self.forget()
            if len(self.ends) + len(records) > self.most:
                raise Full("no room for another id")
        if self.bytes + len(data) > max(LEAST, GROWN * self.base):
            self.rewrite_if_it_pays()
        if self.bytes + len(data) > self.most_bytes:
            raise Full("no room on the disk that it may use")
        try:
            self.write(data)
            self.dirty = True
        except OSError as fault:
            self.failures += 1
            self.full = True
            self.cut()
            raise Full(os.strerror(fault.errno or errno.EIO)) from None
        for record in records:
            self.apply(record)
        self.bytes += len(data)
        self.bytes_most = max(self.bytes_most, self.bytes)
        self.appended += len(records)

    def try_again(self) -> bool:
        """After a failure only a whole new file is trusted; at most so often."""
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
        """The disk has all that was written when this was called; OSError where it has not."""
        self.syncer()()

    def syncer(self) -> Callable[[], None]:
        """What `sync` does, for a thread: with a file of its own, as the log may be written anew
        meanwhile."""
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
        view = memoryview(data)
        while view:
            view = view[self.system.write(self.file, view) :]

    def cut(self) -> None:
        """What was half written goes, so that the next record does not stand behind a torn one."""
        try:
            self.system.ftruncate(self.file, self.bytes)
            self.system.lseek(self.file, self.bytes, os.SEEK_SET)
        except OSError:
            self.failures += 1

    def close(self) -> None:
        if self.file >= 0:
            with suppress(OSError):
                self.sync()
            self.system.close(self.file)
            self.file = -1

    # Writing anew.

    def forget(self) -> None:
        now = self.clock()
        self.ends = {ident: until for ident, until in self.ends.items() if until > now}

    def rewrite_if_it_pays(self) -> None:
        self.forget()
        try:
            self.rewrite()
        except OSError:
            self.failures += 1  # the old one goes on

    def rewrite(self) -> None:
        """A snapshot beside the log, flushed, then put in its place at once: a kill leaves one or the
        other."""
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
