"""Reads of a datagram socket that fail for a moment: the socket, and what waits on it, is kept.

Each failure is told. Twisted's own `doRead` passes over ECONNREFUSED without a word, and answers stay unread.
"""

from __future__ import annotations

import errno
import logging
from typing import Any

from .counters import Counters
from .transient_errors import name_of

READ_AGAIN = 0.02  # seconds after an error
MAX_ERRORS = 25  # in a row, where another socket can be opened: this one is given up then


class TellingSocket:
    """Takes the place of a datagram socket; all but recvfrom is the socket's own."""

    def __init__(self, real: Any) -> None:
        self.real = real

    def __getattr__(self, name: str) -> Any:
        return getattr(self.real, name)

    def recvfrom(self, size: int) -> Any:
        """See socket.recvfrom; ECONNREFUSED is raised as an error that Twisted tells of."""
        try:
            return self.real.recvfrom(size)
        except ConnectionRefusedError as fault:
            raise OSError(errno.EIO, str(fault)) from None


class TolerantReading:
    """Takes the place of a Twisted UDP port's `doRead`, which ends the port at an error.

    most_errors: so many errors in a row end the port; None: none do.
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
        if (real := getattr(port, "socket", None)) is not None:  # none in memory
            port.socket = TellingSocket(real)

    def read_or_wait(self) -> None:
        """Read what waits; after an error, read again a little later.

        Raises:
            OSError: Too many reads in a row have failed.
        """
        try:
            self.read()
            self.errors = 0
        except OSError as fault:
            self.errors += 1
            self.counters.add("datagram_read_errors")
            self.counters.add(f"datagram_read_errno_{fault.errno}")
            if self.errors == 1:
                self.tell("datagram_read_failed", fault)
            if self.max_errors is not None and self.errors > self.max_errors:
                self.tell("datagram_socket_given_up", fault)
                raise
            self.port.stopReading()
            self.reactor.callLater(READ_AGAIN, self.resume)

    def tell(self, event: str, fault: OSError) -> None:
        """Log an error on reading, by the name of its number."""
        figures = {"error": name_of(fault), "in_a_row": self.errors}
        self.log.warning(event, extra={"figures": figures})

    def resume(self) -> None:
        """Look for datagrams again, unless the port has ended meanwhile."""
        if self.port.connected:
            self.port.startReading()
