"""A stream socket on which a call that fails for a moment reads as one that would block.

Twisted ends a connection at the first error of recv or send, and with it the requests that are open there. An
error that tells of a shortage on our own machine says nothing of the far side: the call is made again as the
poller tells of the socket, which it does for as long as something is to be read or can be written.
"""

from __future__ import annotations

import errno
from typing import Any

from .transient_errors import TRANSIENT


class PatientSocket:
    """Takes the place of a connected, non-blocking socket; all but recv and send are the socket's own."""

    def __init__(self, real: Any) -> None:
        self.real = real

    def __getattr__(self, name: str) -> Any:
        return getattr(self.real, name)

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Read; see socket.recv.

        Raises:
            BlockingIOError: There is nothing to read, or not just now.
            OSError: The connection has ended.
        """
        try:
            received: bytes = self.real.recv(size, flags)
        except OSError as fault:
            raise as_blocking(fault) from None
        return received

    def send(self, data: bytes, flags: int = 0) -> int:
        """Write; see socket.send. Raises as `recv` does."""
        try:
            sent: int = self.real.send(data, flags)
        except OSError as fault:
            raise as_blocking(fault) from None
        return sent


def as_blocking(fault: OSError) -> OSError:
    """The error as Twisted is to see it."""
    if fault.errno in TRANSIENT and not isinstance(fault, BlockingIOError):
        return BlockingIOError(errno.EWOULDBLOCK, str(fault))
    return fault


def make_patient(transport: Any) -> None:
    """Let a transport's connection outlive calls that fail for a moment; those without a socket are left."""
    real = getattr(transport, "socket", None)
    if real is not None:
        transport.socket = PatientSocket(real)
