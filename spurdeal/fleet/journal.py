"""The audit log on disk, written by class Journal: files in one directory, retention, and write failures.

A write failure never delays a request: records that cannot be written are counted, and their number is
recorded once the disk accepts writes again. A batch's frame is written before anything decided in it is sent,
so after a crash of the process the log holds every attempt that reached an engine. Frames are not flushed to
disk as they are written: a crash of the machine may lose the latest ones.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ..store.files import FileCalls
from .audit import (
    INITIAL_DIGEST,
    MAGIC,
    BrokenLogError,
    Kind,
    LogEnd,
    PageBuilder,
    ParsedFile,
    SealedPage,
    read,
)
from .hybrid import Stamp

MAX_FILES = 8  # max_bytes is divided by this into files; the oldest is deleted first
MIN_FILE_SIZE = 16_384  # bytes; a smaller file is not rotated
RETRY_INTERVAL = 500.0  # ms between two attempts to start a new file after a failure


@dataclass(frozen=True)
class JournalSettings:
    """Location, owner and size of a dispatcher's log.

    Attributes:
        path: A directory that holds only this log. It is created if it is missing.
        name: The dispatcher's name.
        boot: The number that identifies this start of the dispatcher.
        max_bytes: Most bytes of all files in the directory.
    """

    path: Path
    name: str
    boot: int
    max_bytes: int


class Journal:
    """One dispatcher's audit log. Opening it recovers the existing files; see `recover` for its errors.

    Attributes:
        torn: Files with a torn tail or a torn head, found at the start.
        failures: Opens and writes that failed.
        lost: Records that could not be written.
        dropped: Files deleted to make room.
        broken: Files found broken at the start and renamed.
        written: Bytes of frames written, without seals and MAGIC.
        file_size: Bytes of the current file.

    Args:
        settings: Location, owner and size.
        stamp: Returns the hybrid clock's next timestamp.
        now: Returns monotonic ms, for the pauses between retries.
        calls: The system calls for writing; tests inject failures.
    """

    def __init__(
        self,
        settings: JournalSettings,
        stamp: Callable[[], Stamp],
        now: Callable[[], float],
        calls: FileCalls = os,
    ) -> None:
        self.path, self.name, self.boot = settings.path, settings.name, settings.boot
        self.max_bytes, self.stamp, self.now, self.calls = settings.max_bytes, stamp, now, calls
        self.descriptor, self.file_size, self.file_number = -1, 0, 0
        self.torn = self.failures = self.lost = self.dropped = self.broken = self.written = 0
        self.lost_unreported, self.next_retry = 0, 0.0
        self.versions_index = 0
        self.versions: dict[str, Any] = {}
        self.file_sizes: dict[int, int] = {}
        self.pages = PageBuilder(*self.recover())
        self.start_file()

    def path_of(self, file_number: int) -> Path:
        """The path of a file by its number."""
        return self.path / f"audit-{file_number:08d}.log"

    # Recovery and rotation.

    def recover(self) -> LogEnd:
        """Find where the log continues: truncate a torn tail, and rename broken files to *.broken.

        Raises:
            OSError: The directory cannot be created, read or written.
        """
        self.path.mkdir(parents=True, exist_ok=True)
        parsed: ParsedFile | None = None
        for file in sorted(self.path.glob("audit-*.log")):
            self.file_number = max(self.file_number, int(file.stem[6:]))
            self.file_sizes[int(file.stem[6:])] = file.stat().st_size
        while self.file_sizes and parsed is None:
            newest = max(self.file_sizes)
            file = self.path_of(newest)
            data = file.read_bytes()
            try:
                parsed = read(data)
            except BrokenLogError:
                self.broken += 1
                file.rename(file.with_suffix(".broken"))
                del self.file_sizes[newest]
                continue
            if not parsed.head:  # the process was killed, or the disk was full, while the file was started
                self.torn += 1
                file.unlink()
                del self.file_sizes[newest]
                parsed = None
            elif parsed.end < len(data):
                self.torn += 1
                os.truncate(file, parsed.end)
                self.file_sizes[newest] = parsed.end
        return (
            LogEnd(parsed.next_page, parsed.record_count, parsed.digest)
            if parsed is not None
            else LogEnd(0, 0, INITIAL_DIGEST)
        )

    def start_file(self) -> bool:
        """Start a new file whose HEAD record continues the chain; return whether that succeeded."""
        self.file_number += 1
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND | os.O_CLOEXEC
        try:
            descriptor = self.calls.open(self.path_of(self.file_number), flags, 0o600)
        except OSError:
            self.failures += 1
            return False
        if self.descriptor >= 0:
            self.calls.close(self.descriptor)
        self.descriptor, self.file_size, self.file_sizes[self.file_number] = descriptor, 0, 0
        pending, self.pages.records = self.pages.records, []
        self.pages.end_page()
        self.pages.engines.clear()
        self.pages.add_json(
            Kind.HEAD,
            {
                "name": self.name,
                "boot": f"{self.boot:016x}",
                "file": self.file_number,
                "page": self.pages.page,
                "records": self.pages.record_count,
                "before": self.pages.digest.hex(),
            },
        )
        if self.versions:
            self.pages.add_json(Kind.VERSIONS, self.versions | {"again": True})
        started = self.write_frame(self.pages.frame(self.stamp(), self.versions_index), MAGIC)
        self.pages.records += pending
        if not started:  # the disk is full
            with suppress(OSError):
                self.path_of(self.file_number).unlink()
            del self.file_sizes[self.file_number]
        self.drop_oldest_files()
        return started

    # Writing.

    def set_versions(self, versions: dict[str, Any]) -> None:
        """Record the versions in force from here on; every later frame holds their index."""
        self.write_pending()
        self.versions_index += 1
        self.versions = versions | {"index": self.versions_index}
        self.pages.add_json(Kind.VERSIONS, self.versions)
        self.write_pending()

    def write_pending(self) -> None:
        """Write the records added since the last frame as one frame. A failure is counted, not raised."""
        if not self.pages.records:
            return
        if self.descriptor < 0 or self.lost_unreported:
            self.reopen()
        self.write_frame(self.pages.frame(self.stamp(), self.versions_index))

    def reopen(self) -> None:
        """Start a new file after a failure and record how many records were lost; once per RETRY_INTERVAL."""
        if self.now() < self.next_retry:
            return
        self.next_retry = self.now() + RETRY_INTERVAL
        lost = self.lost_unreported
        if self.start_file():
            self.lost_unreported = 0
            self.pages.add_json(Kind.LOST, {"records": lost})

    def write_frame(self, data: bytes, prefix: bytes = b"") -> bool:
        """Write one frame, after the bytes in `prefix`, and return whether it was written.

        While losses are unreported, only the first frame of a new file, which has a prefix, is written: no
        frame may follow lost records in the same file.
        A torn write is truncated; if that fails, the file is abandoned and a later call starts a new one.
        """
        written = False
        if self.descriptor >= 0 and (not self.lost_unreported or prefix):
            try:
                view = memoryview(prefix + data)
                while view:
                    view = view[self.calls.write(self.descriptor, view) :]
                written = True
            except OSError:
                self.failures += 1
                self.truncate_torn_write()
        lost = self.pages.on_written(data, written)
        self.lost += lost
        self.lost_unreported += lost
        if written:
            self.file_size += len(prefix) + len(data)
            self.written += len(data)
            self.file_sizes[self.file_number] = self.file_size
        return written

    def truncate_torn_write(self) -> None:
        """Truncate a torn write; abandon the file if that fails."""
        try:
            self.calls.ftruncate(self.descriptor, self.file_size)
        except OSError:
            with suppress(OSError):
                self.calls.close(self.descriptor)
            self.descriptor = -1

    def seal(self) -> SealedPage | None:
        """Seal the page and return it for the other members; rotate a full file.

        None if the page has no records, or if the seal could not be written.
        """
        self.write_pending()
        data = self.pages.seal(self.stamp(), self.versions_index)
        if not data or self.descriptor < 0 or self.lost_unreported:
            return None
        try:
            if self.calls.write(self.descriptor, data) != len(data):
                self.truncate_torn_write()
                return None
        except OSError:
            self.failures += 1
            self.truncate_torn_write()
            return None
        self.file_size += len(data)
        self.file_sizes[self.file_number] = self.file_size
        page = self.pages.on_sealed()
        if self.file_size > max(MIN_FILE_SIZE, self.max_bytes // MAX_FILES):
            self.start_file()
        return page

    def drop_oldest_files(self) -> None:
        """Delete the oldest files until the rest leaves room for one more within max_bytes."""
        while (
            len(self.file_sizes) > 1
            and sum(self.file_sizes.values()) > self.max_bytes - self.max_bytes // MAX_FILES
        ):
            oldest = min(self.file_sizes)
            with suppress(OSError):
                self.path_of(oldest).unlink()
            del self.file_sizes[oldest]
            self.dropped += 1

    def close(self) -> None:
        """Record the graceful shutdown, seal the page, flush the file to disk and close it.

        Failures to write or flush are ignored.
        """
        self.pages.add_json(Kind.STOPPED, {})
        self.seal()
        if self.descriptor >= 0:
            with suppress(OSError):
                self.calls.fsync(self.descriptor)
            self.calls.close(self.descriptor)
            self.descriptor = -1
