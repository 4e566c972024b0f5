"""The calls of the operating system that logs on disk make; the module `os` is the usual implementation."""

from __future__ import annotations

from pathlib import Path
from typing import Protocol


class FileCalls(Protocol):
    """What an append-only log needs of `os`. Each call raises OSError as there; tests inject failures."""

    def open(self, path: Path, flags: int, mode: int, /) -> int:
        """Open a file and return its descriptor."""

    def write(self, descriptor: int, data: memoryview | bytes, /) -> int:
        """Write some of the data and return how many bytes."""

    def ftruncate(self, descriptor: int, length: int, /) -> None:
        """Cut the file to a length in bytes."""

    def lseek(self, descriptor: int, position: int, how: int, /) -> int:
        """Move the file position and return it."""

    def fdatasync(self, descriptor: int, /) -> None:
        """Flush contents and size to the disk."""

    def fsync(self, descriptor: int, /) -> None:
        """Flush contents and metadata to the disk."""

    def rename(self, source: Path, destination: Path, /) -> None:
        """Replace the destination by the source, atomically."""

    def close(self, descriptor: int, /) -> None:
        """Close a descriptor."""
