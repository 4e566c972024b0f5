"""Stream sockets that report transient errors of system calls as EWOULDBLOCK, so that Twisted retries them.

Twisted closes a connection, with its open requests, at the first error of recv or send; when it runs out of
descriptors, it accepts connections only to close them. But a shortage of local resources says nothing about
the peer. The call is retried, as the level-triggered poller reports the socket while input waits. Input that
waited meanwhile counts as arrived by the first error, see `watch.LoopWatch`; for connections, the accept
queue gives a bound, see `watch.AcceptWatch`.
"""

from __future__ import annotations

import errno
from collections.abc import Callable
from typing import Any

from .counters import Counters
from .poll_watch import LoopWatch
from .transient_errors import TRANSIENT

ACCEPT_RETRY_DELAY = 0.01  # seconds after a failed accept


class TolerantSocket:
    """Wraps a connected, non-blocking socket; delegates all but recv, send and close."""

    def __init__(self, real: Any, watch: LoopWatch) -> None:
        self.real, self.watch = real, watch
        self.failing = False  # whether the last read failed with a transient error

    def __getattr__(self, name: str) -> Any:
        """Delegates to the wrapped socket."""
        return getattr(self.real, name)

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Reads; see socket.recv.

        Raises:
            BlockingIOError: There is no input, or a transient error.
            OSError: The connection has failed.
        """
        try:
            received: bytes = self.real.recv(size, flags)
        except OSError as error:
            if error.errno in TRANSIENT and error.errno != errno.EAGAIN:
                self.failing = True
                self.watch.counters.add(f"recv_failed_errno_{error.errno}")
                self.watch.read_failed(self)
            elif self.failing:
                self.end_of_failure()
            raise to_blocking_error(error) from None
        if self.failing:
            self.end_of_failure()
        return received

    def end_of_failure(self) -> None:
        """Records that reading works again."""
        self.failing = False
        self.watch.read_recovered(self)

    def send(self, data: bytes, flags: int = 0) -> int:
        """Writes; see socket.send. Raises as `recv` does."""
        try:
            sent: int = self.real.send(data, flags)
        except OSError as error:
            if error.errno in TRANSIENT and error.errno != errno.EAGAIN:
                self.watch.counters.add(f"send_failed_errno_{error.errno}")
            raise to_blocking_error(error) from None
        return sent

    def close(self) -> None:
        """Closes the socket, and ends the backdating for its failing reads."""
        self.watch.read_recovered(self)
        self.real.close()


class TolerantListener:
    """Wraps a listening, non-blocking socket; delegates all but accept.

    failed: Called after an error; it pauses accepting, so that a lasting error does not make the loop spin.
    """

    def __init__(self, real: Any, counters: Counters, failed: Callable[[], None]) -> None:
        self.real, self.counters, self.failed = real, counters, failed

    def __getattr__(self, name: str) -> Any:
        """Delegates to the wrapped socket."""
        return getattr(self.real, name)

    def accept(self) -> Any:
        """Accepts a connection; see socket.accept.

        Raises:
            BlockingIOError: None is waiting, or accept has failed.
        """
        try:
            return self.real.accept()
        except BlockingIOError:
            raise
        except OSError as error:
            self.counters.add(f"accept_failed_errno_{error.errno}")
            self.failed()
            raise BlockingIOError(errno.EWOULDBLOCK, str(error)) from None


def to_blocking_error(error: OSError) -> OSError:
    """The error as Twisted sees it: a transient one becomes EWOULDBLOCK."""
    if error.errno in TRANSIENT and not isinstance(error, BlockingIOError):
        return BlockingIOError(errno.EWOULDBLOCK, str(error))
    return error


def wrap_socket(transport: Any, watch: LoopWatch) -> None:
    """Wraps a transport's socket to survive transient errors; in-memory transports are left as they are."""
    real = getattr(transport, "socket", None)
    if real is not None:
        transport.socket = TolerantSocket(real, watch)
