"""The socket to the name service: opened, opened again, and watched over.

Each step of discovery is brought on by the one before: a question by a timer, a read by the poller, a socket
by the end of the last. Whatever ends such a chain, and however, `look` finds it and brings it on again.
"""

from __future__ import annotations

import logging
from typing import Any, cast

from twisted.internet.error import CannotListenError

from .counters import Counters
from .datagram_reading import TolerantReading
from .names import NameService

REOPEN_AFTER = 0.02  # seconds until a socket is opened again
LARGEST_DATAGRAM = 65_535  # bytes of an answer of the name service
UNHEARD = 0.5  # seconds without an answer after which the socket is read without being told that it is ready


class DiscoverySocket:
    """Keeps a socket to the name service open, read and asked on.

    Attributes:
        port: The open one; None while there is none.
    """

    def __init__(
        self, names: NameService, reactor: Any, interface: str, counters: Counters, log: logging.Logger
    ) -> None:
        self.names, self.reactor, self.interface = names, reactor, interface
        self.counters, self.log = counters, log
        self.port: Any = None
        self.reopening: Any = None  # the delayed call
        self.closed = False
        names.on_closed = self.ended

    def open(self) -> None:
        """Open the socket; where the system cannot, it is tried again soon."""
        self.reopening = None
        try:
            self.port = self.reactor.listenUDP(
                0, self.names, interface=self.interface, maxPacketSize=LARGEST_DATAGRAM
            )
        except (CannotListenError, OSError) as fault:
            self.not_opened(fault)
            return
        TolerantReading(self.port, self.reactor, self.counters, self.log)
        self.counters.add("names_sockets_opened")

    def not_opened(self, fault: Exception) -> None:
        """Neither its descriptor nor a half of it is kept."""
        self.counters.add("names_socket_not_opened")
        why = fault.socketError if isinstance(fault, CannotListenError) else fault
        self.log.warning("names_socket_not_opened", extra={"figures": {"why": str(why)}})
        if self.names.transport is not None:  # it failed behind the protocol's start
            cast(Any, self.names).doStop()
        self.open_later()

    def ended(self) -> None:
        """The socket has ended, and with it answers that were on their way."""
        self.port = None
        if self.closed:
            return
        self.counters.add("names_socket_ended")
        figures = {"unheard_ms": self.names.unheard() * 1000}
        self.log.warning("discovery_socket_ended", extra={"figures": figures})
        self.open_later()

    def close(self) -> None:
        """A planned end: no question follows, and nothing is opened again."""
        self.closed = True
        self.names.cancel_question()
        if self.reopening is not None and self.reopening.active():
            self.reopening.cancel()

    def open_later(self) -> None:
        """Without a socket no drain would be learned."""
        if self.reopening is None or not self.reopening.active():
            self.reopening = self.reactor.callLater(REOPEN_AFTER, self.open)

    def look(self) -> None:
        """To be called often: brings on again what has stopped."""
        if self.port is None:
            if self.reopening is None or not self.reopening.active():
                self.counters.add("discovery_reopened_by_look")
                self.open()
            return
        self.names.ask_on()
        if self.names.unheard() > UNHEARD:
            self.read_unasked()

    def read_unasked(self) -> None:
        """Read what waits, although the poller told nothing of it: it may have lost the socket."""
        answered = self.counters.sums["names_answered"]
        try:
            self.port.doRead()
        except OSError:  # too many in a row
            self.port.connectionLost()
            return
        if self.counters.sums["names_answered"] > answered and self.port is not None:
            self.counters.add("discovery_read_by_look")
            self.port.stopReading()
            self.port.startReading()
