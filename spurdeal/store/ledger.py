"""The durable ledger: a write-ahead log of the requests that must run at most once, with compaction.

The state is a set of ids with expiration times that is read once, at a start. An append-only log of our own
holds it with one write per batch and 30 bytes per record. Alternatives considered: SQLite (a journal, locks,
and at least 0.1 ms per commit even without a flush) and LMDB (a map of fixed size that flushes whole pages).

Flush policies: `always` (a record is on the disk before its request is sent; survives a crash of the
machine), `turn` (flushed by a timer every 50 ms; survives a crash of the process, and one of the machine
except for the last 50 ms; the name is historic, it is no turn of the event loop), `never` (not flushed;
survives a crash of the process only).
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
from .records import MAGIC, Kind, Record, decode_records, encode_record

Flush = Literal["always", "turn", "never"]
FLUSHES: tuple[Flush, ...] = ("always", "turn", "never")
FLUSH_INTERVAL = 0.05  # seconds between two flushes with the policy `turn`
COMPACTION_FACTOR = 2.0  # the log is compacted when it exceeds its last snapshot by this factor
MIN_COMPACTION_SIZE = 65_536  # bytes; a smaller log is not compacted
MAX_CLOCK_STEP = 2 * 3_600_000.0  # ms; largest step of the wall clock, either way, between two processes
RETRY_INTERVAL = 1000.0  # ms between two attempts to replace the log after a failure


class LedgerFullError(Exception):
    """The records were not appended: a bound is reached or the disk failed. Earlier records stay valid."""


@dataclass(frozen=True)
class LedgerSettings:
    """Flush policy and bounds of a ledger.

    Attributes:
        flush: The flush policy, one of FLUSHES; see the module.
        max_ids: Most ids that are kept at once.
        max_bytes: Most bytes of the log file.
        retention: How long an id is usually kept after its record was written, in ms. Ids that an earlier
            process wrote are kept at least this long after the start, since the wall clock may have been
            stepped in between. None: the stored expiration times are taken as they are.
    """

    flush: Flush = "turn"
    max_ids: int = 1_000_000
    max_bytes: int = 256 * 1_048_576
    retention: float | None = None


class Ledger:
    """The ids of requests that may have run, with their expiration times.

    Opening a ledger recovers the log; see `recover` for its errors.

    Args:
        path: A directory that holds only this ledger. It is created if it is missing.
        clock: Returns ms that are not stepped while the process lives, from an origin close to Unix time,
            since expiration times must stay valid after a restart of the machine.
        settings: Flush policy and bounds.
        calls: The system calls for writing; tests inject failures.

    Attributes:
        appended: Records appended.
        torn: Torn tails found at the start, 0 or 1.
        recovered: Ids kept from an earlier process.
        failures: System calls that failed in writing, flushing, truncating or compacting.
        rewritten: Compactions, the one at the start included.
        bytes: Bytes of the log file.
        bytes_most: Most bytes that the log file has had.
    """

    def __init__(
        self,
        path: Path,
        clock: Callable[[], float],
        settings: LedgerSettings = LedgerSettings(),
        calls: FileCalls = os,
    ) -> None:
        assert settings.flush in FLUSHES
        self.path, self.clock, self.settings, self.calls = path, clock, settings, calls
        self.expirations: dict[bytes, float] = {}
        self.appended = self.torn = self.recovered = self.failures = self.rewritten = 0
        self.bytes = self.bytes_most = self.snapshot_size = 0
        self.dirty = self.write_failed = False
        self.descriptor = -1
        self.next_retry = 0.0
        self.log_path = path / "ledger.log"
        self.recover()

    # Recovery.

    def recover(self) -> None:
        """Read the log up to a torn tail and replace it by a snapshot of the ids that are still valid.

        Raises:
            OSError: The directory or the log cannot be read or written.
        """
        self.path.mkdir(parents=True, exist_ok=True)
        (self.path / "ledger.new").unlink(missing_ok=True)  # an interrupted compaction: the old log is valid
        data = self.log_path.read_bytes() if self.log_path.exists() else b""
        end = len(MAGIC) if data else 0
        for record, end in decode_records(data):  # noqa: B007
            self.apply(record)
        if data and end < len(data):
            self.torn += 1
        self.expirations = recovered_ids(self.expirations, self.clock(), self.settings)
        self.recovered = len(self.expirations)
        self.compact()

    def apply(self, record: Record) -> None:
        """Apply a record to the ids in memory."""
        if record.kind is Kind.MAY_RUN:
            self.expirations[record.ident] = max(record.expires_at, self.expirations.get(record.ident, 0.0))
        else:
            self.expirations.pop(record.ident, None)

    # Reading and appending.

    def may_have_run(self, ident: bytes) -> bool:
        """Whether the id has a record that has not expired."""
        return self.expirations.get(ident, 0.0) > self.clock()

    def append(self, records: list[Record]) -> None:
        """Append all of the records or none.

        They survive a crash of the process from then on, and one of the machine once they are flushed.

        Raises:
            LedgerFullError: No record was written.
            ValueError: An id is empty or too long; no record was written.
        """
        if not records or (self.write_failed and not self.recover_from_failure()):
            if records:
                raise LedgerFullError("an earlier write failed, and the log could not be replaced since")
            return
        data = b"".join(encode_record(record) for record in records)
        if len(self.expirations) + len(records) > self.settings.max_ids:
            self.drop_expired()
            if len(self.expirations) + len(records) > self.settings.max_ids:
                raise LedgerFullError("no room for another id")
        if self.bytes + len(data) > max(MIN_COMPACTION_SIZE, COMPACTION_FACTOR * self.snapshot_size):
            self.try_compact()
        if self.bytes + len(data) > self.settings.max_bytes:
            raise LedgerFullError("the log has reached its bound in bytes")
        try:
            self.write_all(data)
            self.dirty = True
        except OSError as fault:
            self.failures += 1
            self.write_failed = True
            self.truncate_torn_write()
            raise LedgerFullError(os.strerror(fault.errno or errno.EIO)) from None
        for record in records:
            self.apply(record)
        self.bytes += len(data)
        self.bytes_most = max(self.bytes_most, self.bytes)
        self.appended += len(records)

    def recover_from_failure(self) -> bool:
        """Replace the log after a failed write or flush, at most once per RETRY_INTERVAL.

        Only a new file is trusted: after a failed flush nothing is known of the old file's pages on disk.

        Returns:
            Whether the ledger accepts records again.
        """
        now = self.clock()
        if now < self.next_retry:
            return False
        self.next_retry = now + RETRY_INTERVAL
        self.drop_expired()
        try:
            self.compact()
        except OSError:
            self.failures += 1
            return False
        self.write_failed = False
        return True

    def sync(self) -> None:
        """Flush everything that was written before this call; blocks.

        Raises:
            OSError: The flush failed; the ledger then counts as failed until the log is replaced.
        """
        self.prepare_sync()()

    def prepare_sync(self) -> Callable[[], None]:
        """Return a function that does what `sync` does and may be called in a worker thread.

        It flushes a duplicate of the descriptor, since the log may be compacted in the meantime.
        """
        descriptor, self.dirty = os.dup(self.descriptor), False

        def sync() -> None:
            try:
                self.calls.fdatasync(descriptor)  # flushes the size too, but not the timestamps
            except OSError:
                self.failures += 1
                self.write_failed = True
                raise
            finally:
                os.close(descriptor)

        return sync

    def write_all(self, data: bytes) -> None:
        """Write all of the data at the end of the log, in as many calls as needed.

        Raises:
            OSError: Some of the data could not be written; the file may end in a torn write.
        """
        view = memoryview(data)
        while view:
            view = view[self.calls.write(self.descriptor, view) :]

    def truncate_torn_write(self) -> None:
        """Truncate a torn write, since recovery would ignore every record that follows it."""
        try:
            self.calls.ftruncate(self.descriptor, self.bytes)
            self.calls.lseek(self.descriptor, self.bytes, os.SEEK_SET)
        except OSError:
            self.failures += 1

    def close(self) -> None:
        """Flush and close the log; a failed flush is ignored. Closing it again does nothing."""
        if self.descriptor >= 0:
            with suppress(OSError):
                self.sync()
            self.calls.close(self.descriptor)
            self.descriptor = -1

    # Compaction.

    def drop_expired(self) -> None:
        """Drop the ids that have expired from memory."""
        now = self.clock()
        self.expirations = {
            ident: expires_at for ident, expires_at in self.expirations.items() if expires_at > now
        }

    def try_compact(self) -> None:
        """Compact a log that has grown; if that fails, the old log stays in use."""
        self.drop_expired()
        try:
            self.compact()
        except OSError:
            self.failures += 1  # the old log stays in use

    def compact(self) -> None:
        """Write a snapshot to a new file, flush it and rename it over the log.

        A crash at any point leaves either the old log or the complete snapshot.

        Raises:
            OSError: The snapshot could not be written; unless the flush of the directory failed, the old log
                stays in use.
        """
        fresh = self.path / "ledger.new"
        data = MAGIC + b"".join(
            encode_record(Record(Kind.MAY_RUN, *each)) for each in self.expirations.items()
        )
        descriptor = self.calls.open(fresh, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            view = memoryview(data)
            while view:
                view = view[self.calls.write(descriptor, view) :]
            self.calls.fsync(descriptor)
            self.calls.rename(fresh, self.log_path)
        except OSError:
            self.calls.close(descriptor)
            raise
        directory = os.open(self.path, os.O_RDONLY)
        try:
            os.fsync(directory)
        finally:
            os.close(directory)
        if self.descriptor >= 0:
            self.calls.close(self.descriptor)
        self.descriptor, self.bytes, self.snapshot_size = descriptor, len(data), len(data)
        self.bytes_most = max(self.bytes_most, self.bytes)
        self.rewritten += 1
        self.dirty = False


def recovered_ids(
    expirations: Mapping[bytes, float], now: float, settings: LedgerSettings
) -> dict[bytes, float]:
    """The ids of an earlier process that are still valid, with expiration times on this process's clock.

    The stored times come from a wall clock that may have been stepped since by up to MAX_CLOCK_STEP either
    way. An id whose time has passed by less than that is therefore kept for the full retention from now on;
    no id is kept longer than the retention plus MAX_CLOCK_STEP. If more than max_ids remain, those with the
    latest expiration times are kept. Without a retention the stored times are taken as they are.

    Args:
        expirations: Expiration times in Unix ms by id, as recovered from the log.
        now: The current time in Unix ms.
        settings: The ledger's bounds.
    """
    if settings.retention is None:
        return {ident: expires_at for ident, expires_at in expirations.items() if expires_at > now}
    possibly_valid = [
        (expires_at, ident) for ident, expires_at in expirations.items() if expires_at > now - MAX_CLOCK_STEP
    ]
    possibly_valid.sort(reverse=True)
    earliest_end, latest_end = now + settings.retention, now + settings.retention + MAX_CLOCK_STEP
    return {
        ident: min(max(expires_at, earliest_end), latest_end)
        for expires_at, ident in possibly_valid[: settings.max_ids]
    }
