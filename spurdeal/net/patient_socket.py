"""Stream sockets on which a call that fails for a moment reads as one that would block.

Twisted ends a connection at the first error of recv or send, and with it the requests that are open there;
for want of descriptors it accepts connections only to close them. An error that tells of a shortage on our
own machine says nothing of the far side: the call is made again, as the poller tells of the socket for as
long as something waits there. What waited meanwhile counts from when the errors began, see `watch.LoopWatch`,
and connections from what is known of the accept queue, see `watch.AcceptWatch`.
"""

from __future__ import annotations

import errno
from collections.abc import Callable
from typing import Any

from .counters import Counters
from .transient_errors import TRANSIENT
from .watch import LoopWatch

ACCEPT_RETRY_DELAY = 0.01  # seconds after an error until connections are accepted again


class RetryingSocket:
    """Takes the place of a connected, non-blocking socket; all but recv and send are the socket's own."""

    def __init__(self, real: Any, watch: LoopWatch) -> None:
        self.real, self.watch = real, watch
        self.failing = False  # the last read

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
            if fault.errno in TRANSIENT and fault.errno != errno.EAGAIN:
                self.failing = True
                self.watch.counters.add(f"recv_failed_errno_{fault.errno}")
                self.watch.read_failed(self)
            elif self.failing:
                self.end_of_failure()
            raise to_blocking_error(fault) from None
        if self.failing:
            self.end_of_failure()
        return received

    def end_of_failure(self) -> None:
        """Reading works again."""
        self.failing = False
        self.watch.read_recovered(self)

    def send(self, data: bytes, flags: int = 0) -> int:
        """Write; see socket.send. Raises as `recv` does."""
        try:
            sent: int = self.real.send(data, flags)
        except OSError as fault:
            if fault.errno in TRANSIENT and fault.errno != errno.EAGAIN:
                self.watch.counters.add(f"send_failed_errno_{fault.errno}")
            raise to_blocking_error(fault) from None
        return sent

    def close(self) -> None:
        """See socket.close."""
        self.watch.read_recovered(self)
        self.real.close()


class RetryingListener:
    """Takes the place of a listening, non-blocking socket; all but accept are the socket's own.

    failed: called after an error; it pauses accepting, so that a lasting one does not keep the loop busy.
    """

    def __init__(self, real: Any, counters: Counters, failed: Callable[[], None]) -> None:
        self.real, self.counters, self.failed = real, counters, failed

    def __getattr__(self, name: str) -> Any:
        return getattr(self.real, name)

    def accept(self) -> Any:
        """The next connection; see socket.accept.

        Raises:
            BlockingIOError: None waits, or it cannot be had just now.
        """
        try:
            return self.real.accept()
        except BlockingIOError:
            raise
        except OSError as fault:
            self.counters.add(f"accept_failed_errno_{fault.errno}")
            self.failed()
            raise BlockingIOError(errno.EWOULDBLOCK, str(fault)) from None


def to_blocking_error(fault: OSError) -> OSError:
    """The error as Twisted is to see it."""
    if fault.errno in TRANSIENT and not isinstance(fault, BlockingIOError):
        return BlockingIOError(errno.EWOULDBLOCK, str(fault))
    return fault


def wrap_socket(transport: Any, watch: LoopWatch) -> None:
    """Let a transport's connection outlive calls that fail for a moment; those without a socket are left."""
    real = getattr(transport, "socket", None)
    if real is not None:
        transport.socket = RetryingSocket(real, watch)
