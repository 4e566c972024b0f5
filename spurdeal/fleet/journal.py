"""The audit on disk: files in a folder of its own, a bound on their bytes, and what a failure costs.

It never holds up a request: what cannot be written is counted, told in the log once the disk takes it
again, and the decisions go on. A turn's frame is written, in one call, before anything that was decided in it
leaves; so what an engine has got is in the log also after a kill. The system's calls are passed in.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ..store.files import FileCalls
from .audit import MAGIC, NO_DIGEST, BrokenLogError, Kind, LogEnd, PageBuilder, Read, SealedPage, read
from .hybrid import Stamp

FILES = 8  # of which the oldest goes when the bytes are used up
LEAST_FILE = 16_384  # bytes
TRY_EVERY = 500.0  # ms between two tries after a failure


@dataclass(frozen=True)
class JournalSettings:
    """Where a dispatcher's log is, and whose.

    Attributes:
        path: A directory of the log's own.
        name: The dispatcher.
        boot: The number of this start of it.
        max_bytes: Most bytes of all files in the directory.
    """

    path: Path
    name: str
    boot: int
    max_bytes: int


class Journal:
    """One dispatcher's log. now gives ms for the pauses between tries."""

    def __init__(
        self,
        settings: JournalSettings,
        stamp: Callable[[], Stamp],
        now: Callable[[], float],
        system: FileCalls = os,
    ) -> None:
        self.path, self.name, self.boot = settings.path, settings.name, settings.boot
        self.max_bytes, self.stamp, self.now, self.system = settings.max_bytes, stamp, now, system
        self.file, self.bytes, self.number = -1, 0, 0
        self.torn = self.failures = self.lost = self.dropped = self.broken = self.written = 0
        self.lost_untold, self.next_try = 0, 0.0
        self.index = 0
        self.versions: dict[str, Any] = {}
        self.sizes: dict[int, int] = {}
        self.pages = PageBuilder(*self.recover())
        self.begin()

    def name_of(self, number: int) -> Path:
        """The path of the file with that number."""
        return self.path / f"audit-{number:08d}.log"

    # Start.

    def recover(self) -> LogEnd:
        """Where to go on. A torn tail is cut; what cannot be read is put aside, not deleted.

        Raises:
            OSError: The folder cannot be used.
        """
        self.path.mkdir(parents=True, exist_ok=True)
        found: Read | None = None
        for file in sorted(self.path.glob("audit-*.log")):
            self.number = max(self.number, int(file.stem[6:]))
            self.sizes[int(file.stem[6:])] = file.stat().st_size
        while self.sizes and found is None:
            newest = max(self.sizes)
            file = self.name_of(newest)
            data = file.read_bytes()
            try:
                found = read(data)
            except BrokenLogError:
                self.broken += 1
                file.rename(file.with_suffix(".broken"))
                del self.sizes[newest]
                continue
            if not found.head:  # killed, or out of room, as it was begun
                self.torn += 1
                file.unlink()
                del self.sizes[newest]
                found = None
            elif found.end < len(data):
                self.torn += 1
                os.truncate(file, found.end)
                self.sizes[newest] = found.end
        return LogEnd(found.page, found.total, found.digest) if found is not None else LogEnd(0, 0, NO_DIGEST)

    def begin(self) -> bool:
        """A new file, whose head says what came before it."""
        self.number += 1
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND | os.O_CLOEXEC
        try:
            file = self.system.open(self.name_of(self.number), flags, 0o600)
        except OSError:
            self.failures += 1
            return False
        if self.file >= 0:
            self.system.close(self.file)
        self.file, self.bytes, self.sizes[self.number] = file, 0, 0
        kept, self.pages.records = self.pages.records, []
        self.pages.close()
        self.pages.engines.clear()
        self.pages.add_json(
            Kind.HEAD,
            {
                "name": self.name,
                "boot": f"{self.boot:016x}",
                "file": self.number,
                "page": self.pages.page,
                "records": self.pages.count,
                "before": self.pages.digest.hex(),
            },
        )
        if self.versions:
            self.pages.add_json(Kind.VERSIONS, self.versions | {"again": True})
        begun = self.put(self.pages.frame(self.stamp(), self.index), MAGIC)
        self.pages.records += kept
        if not begun:  # no room even for a head
            with suppress(OSError):
                self.name_of(self.number).unlink()
            del self.sizes[self.number]
        self.shrink()
        return begun

    # What is asked of it.

    def set_versions(self, told: dict[str, Any]) -> None:
        """These versions are in force from here on; their index is in every frame."""
        self.flush()
        self.index += 1
        self.versions = told | {"index": self.index}
        self.pages.add_json(Kind.VERSIONS, self.versions)
        self.flush()

    def flush(self) -> None:
        """All that was told since the last goes to the file, as one moment."""
        if not self.pages.records:
            return
        if self.file < 0 or self.lost_untold:
            self.again()
        self.put(self.pages.frame(self.stamp(), self.index))

    def again(self) -> None:
        """After a failure: a new file, and in it how many were lost."""
        if self.now() < self.next_try:
            return
        self.next_try = self.now() + TRY_EVERY
        lost = self.lost_untold
        if self.begin():
            self.lost_untold = 0
            self.pages.add_json(Kind.LOST, {"records": lost})

    def put(self, data: bytes, before: bytes = b"") -> bool:
        """Write one frame.

        A partly written frame is cut off again; where that fails, the file is left and a new one begun.
        """
        written = False
        if self.file >= 0 and (not self.lost_untold or before):
            try:
                view = memoryview(before + data)
                while view:
                    view = view[self.system.write(self.file, view) :]
                written = True
            except OSError:
                self.failures += 1
                self.cut()
        lost = self.pages.on_written(data, written)
        self.lost += lost
        self.lost_untold += lost
        if written:
            self.bytes += len(before) + len(data)
            self.written += len(data)
            self.sizes[self.number] = self.bytes
        return written

    def cut(self) -> None:
        """Cut off a partly written frame; the file is given up where that fails."""
        try:
            self.system.ftruncate(self.file, self.bytes)
        except OSError:
            with suppress(OSError):
                self.system.close(self.file)
            self.file = -1

    def seal(self) -> SealedPage | None:
        """Ends the page, for others to be told; None where nothing was written, or it cannot be."""
        self.flush()
        data = self.pages.seal(self.stamp(), self.index)
        if not data or self.file < 0 or self.lost_untold:
            return None
        try:
            if self.system.write(self.file, data) != len(data):
                self.cut()
                return None
        except OSError:
            self.failures += 1
            self.cut()
            return None
        self.bytes += len(data)
        self.sizes[self.number] = self.bytes
        told = self.pages.on_sealed()
        if self.bytes > max(LEAST_FILE, self.max_bytes // FILES):
            self.begin()
        return told

    def shrink(self) -> None:
        """The oldest files go where all together are more than may be."""
        while len(self.sizes) > 1 and sum(self.sizes.values()) > self.max_bytes - self.max_bytes // FILES:
            oldest = min(self.sizes)
            with suppress(OSError):
                self.name_of(oldest).unlink()
            del self.sizes[oldest]
            self.dropped += 1

    def close(self) -> None:
        """Note the planned end, seal the page and close the file."""
        self.pages.add_json(Kind.STOPPED, {})
        self.seal()
        if self.file >= 0:
            with suppress(OSError):
                self.system.fsync(self.file)
            self.system.close(self.file)
            self.file = -1
