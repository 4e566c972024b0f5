"""System call faults of a process: a table in a shared file that the test writes and the process reads."""

import errno
import mmap
import struct
from pathlib import Path

FAULTS_FILE = "FAULTS_FILE"  # the environment variable that names the table's file
FOREVER = -1
CALLS = (
    "udp.socket",
    "udp.bind",
    "udp.getsockname",
    "udp.recvfrom",
    "udp.sendto",
    "udp.epoll_add",
    "udp.epoll_mod",
    "udp.epoll_del",
    "tcp.socket",
    "tcp.connect",
    "tcp.accept",
    "tcp.recv",
    "tcp.send",
    "tcp.short_recv",  # its error is the maximum number of bytes per call
    "tcp.short_send",
    "tcp.getsockname",
    "tcp.getpeername",
    "tcp.setsockopt",
    "tcp.epoll_add",
    "tcp.epoll_mod",
    "tcp.epoll_del",
    "epoll_wait",
    "open",
)
# Written by the test: error, count (or FOREVER), number of this change of the entry.
REQUESTED = struct.Struct("iii")
# Written by the process: number of the change that it applies, faults injected for it, and in all.
INJECTED = struct.Struct("iii")
ENTRY = REQUESTED.size + INJECTED.size


class FaultTable:
    """The faults of one process, in a file; the test and the process each write their own part."""

    def __init__(self, path: Path, *, create: bool = False) -> None:
        if create:
            path.write_bytes(bytes(ENTRY * len(CALLS)))
        with path.open("r+b") as file:
            self.shared = mmap.mmap(file.fileno(), ENTRY * len(CALLS))

    def fail(self, call: str, error: int, times: int = FOREVER) -> None:
        """Make a call fail with an error from now on, so many times."""
        offset = CALLS.index(call) * ENTRY
        number = REQUESTED.unpack_from(self.shared, offset)[2]
        REQUESTED.pack_into(self.shared, offset, error, times, number + 1)

    def clear(self, *calls: str) -> None:
        """Make these calls succeed again; all, if none is named."""
        for call in calls or CALLS:
            self.fail(call, 0, 0)

    def failure_count(self, call: str) -> int:
        """How often a fault was injected into a call."""
        count: int = INJECTED.unpack_from(self.shared, CALLS.index(call) * ENTRY + REQUESTED.size)[2]
        return count

    def next_error(self, call: str) -> int:
        """Called by the process before the real call; returns the error to inject, or 0."""
        offset = CALLS.index(call) * ENTRY
        error, times, number = REQUESTED.unpack_from(self.shared, offset)
        if times == 0:
            return 0
        known, injected, in_all = INJECTED.unpack_from(self.shared, offset + REQUESTED.size)
        injected = injected if known == number else 0
        if 0 < times <= injected:
            return 0
        INJECTED.pack_into(self.shared, offset + REQUESTED.size, number, injected + 1, in_all + 1)
        return int(error)

    def check(self, call: str) -> None:
        """Called by the process before the real call.

        Raises:
            OSError: The fault to inject.
        """
        if error := self.next_error(call):
            raise OSError(error, f"{errno.errorcode[error]} by the test")
