"""Keeps a datagram socket open when reads fail temporarily.

Each failure is logged and counted. Twisted's own `doRead` silently ignores ECONNREFUSED, and leaves datagrams
unread.
"""

from __future__ import annotations

import errno
import logging
from typing import Any

from .counters import Counters
from .transient_errors import errno_name

READ_AGAIN = 0.02  # seconds until the next read after an error
MAX_ERRORS = 25  # consecutive errors after which a socket is given up, if another one can be opened


class ReportingSocket:
    """Wraps a datagram socket, so that ECONNREFUSED on reading reaches the error handling."""

    def __init__(self, real: Any) -> None:
        self.real = real

    def __getattr__(self, name: str) -> Any:
        """Passes all other attributes through to the socket."""
        return getattr(self.real, name)

    def recvfrom(self, size: int) -> Any:
        """See socket.recvfrom; ECONNREFUSED is raised as EIO, which Twisted does not ignore."""
        try:
            return self.real.recvfrom(size)
        except ConnectionRefusedError as fault:
            raise OSError(errno.EIO, str(fault)) from None


class TolerantReading:
    """Replaces the `doRead` of a Twisted UDP port, which closes the port at the first error.

    Attributes:
        max_errors: Consecutive errors after which the port is closed; None if errors never close it.
        errors: Consecutive errors so far.
    """

    def __init__(
        self,
        port: Any,
        reactor: Any,
        counters: Counters,
        log: logging.Logger,
        max_errors: int | None = MAX_ERRORS,
    ) -> None:
        self.port, self.reactor, self.counters, self.log = port, reactor, counters, log
        self.max_errors = max_errors
        self.read = port.doRead
        self.errors = 0
        port.doRead = self.read_or_wait
        if (real := getattr(port, "socket", None)) is not None:  # an in-memory port has none
            port.socket = ReportingSocket(real)

    def read_or_wait(self) -> None:
        """Reads the waiting datagrams; after an error, pauses reading for READ_AGAIN.

        Raises:
            OSError: More than `max_errors` consecutive reads have failed.
        """
        try:
            self.read()
            self.errors = 0
        except OSError as fault:
            self.errors += 1
            self.counters.add("datagram_read_errors")
            self.counters.add(f"datagram_read_errno_{fault.errno}")
            if self.errors == 1:
                self.log_error("datagram_read_failed", fault)
            if self.max_errors is not None and self.errors > self.max_errors:
                self.log_error("datagram_socket_given_up", fault)
                raise
            self.port.stopReading()
            self.reactor.callLater(READ_AGAIN, self.resume)

    def log_error(self, event: str, fault: OSError) -> None:
        """Logs a read error by the name of its errno."""
        figures = {"error": errno_name(fault), "in_a_row": self.errors}
        self.log.warning(event, extra={"figures": figures})

    def resume(self) -> None:
        """Resumes reading unless the port was closed meanwhile."""
        if self.port.connected:
            self.port.startReading()
