"""The system calls that append-only logs make; the module `os` is the usual implementation."""

from __future__ import annotations

from pathlib import Path
from typing import Protocol


class FileCalls(Protocol):
    """The subset of `os` that an append-only log uses.

    Each call raises OSError as its namesake in `os` does; tests pass an implementation that fails.
    """

    def open(self, path: Path, flags: int, mode: int, /) -> int:
        """Open a file with the flags O_* and the permission bits of `mode`, and return its descriptor."""

    def write(self, descriptor: int, data: memoryview | bytes, /) -> int:
        """Write a prefix of the data and return its length in bytes; a short write is no error."""

    def ftruncate(self, descriptor: int, length: int, /) -> None:
        """Truncate the file to a length in bytes."""

    def lseek(self, descriptor: int, position: int, how: int, /) -> int:
        """Set the file offset, in bytes relative to `how` (SEEK_*), and return the new offset."""

    def fdatasync(self, descriptor: int, /) -> None:
        """Flush the contents and the file size to the disk, but not the timestamps."""

    def fsync(self, descriptor: int, /) -> None:
        """Flush the contents and all metadata to the disk."""

    def rename(self, source: Path, destination: Path, /) -> None:
        """Atomically rename the source, replacing the destination if it exists."""

    def close(self, descriptor: int, /) -> None:
        """Close a file descriptor."""
