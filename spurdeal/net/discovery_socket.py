"""The socket to the name service: opened, opened again, and watched over.

Each step of discovery is brought on by the one before: a question by a timer, a read by the poller, a socket
by the end of the last. Whatever ends such a chain, and however, `look` finds it and brings it on again.

Where answers stay away, another socket with another source port is opened and asked from. Those before it
are read on for as long as their answers may tell something.
"""

from __future__ import annotations

import logging
from typing import Any, cast

from twisted.internet.error import CannotListenError
from twisted.internet.protocol import DatagramProtocol

from .counters import Counters
from .datagram_reading import TolerantReading
from .descriptors import OPENED_FOR_NAMES
from .earlier_port import KEPT, EarlierPort
from .names import NameService
from .port_renewal import PortRenewal

REOPEN_AFTER = 0.02  # seconds until a socket is opened again
LARGEST_DATAGRAM = 65_535  # bytes of an answer of the name service
UNHEARD = 0.5  # seconds without an answer after which the socket is read without being told that it is ready
MOST_PORTS = 1 + OPENED_FOR_NAMES  # open at a time


class DiscoverySocket:
    """Keeps a socket to the name service open, read and asked on.

    Attributes:
        port: The one that is asked from; None while there is none.
        earlier: Those that were asked from before and are still read; the oldest first.
    """

    def __init__(
        self, names: NameService, reactor: Any, interface: str, counters: Counters, log: logging.Logger
    ) -> None:
        self.names, self.reactor, self.interface = names, reactor, interface
        self.counters, self.log = counters, log
        self.port: Any = None
        self.earlier = list[EarlierPort]()
        self.renewal = PortRenewal(names)
        self.reopening: Any = None  # the delayed call
        self.closed = False
        names.on_closed = self.ended
        names.before_query = self.renew_in_time

    def open(self) -> None:
        """Open the socket; where the system cannot, it is tried again soon."""
        self.reopening = None
        try:
            self.port = self.opened(self.names)
        except (CannotListenError, OSError) as fault:
            self.not_opened(fault)

    def opened(self, protocol: DatagramProtocol) -> Any:
        """Another port, with a source port of its own.

        Raises:
            CannotListenError: The system cannot open or bind it.
            OSError: It fails in another way.
        """
        port = self.reactor.listenUDP(0, protocol, interface=self.interface, maxPacketSize=LARGEST_DATAGRAM)
        TolerantReading(port, self.reactor, self.counters, self.log)
        self.counters.add("names_sockets_opened")
        return port

    def note_not_opened(self, fault: Exception, protocol: DatagramProtocol) -> None:
        """Count and log it; neither its descriptor nor a half of it is kept."""
        self.counters.add("names_socket_not_opened")
        why = fault.socketError if isinstance(fault, CannotListenError) else fault
        self.log.warning("names_socket_not_opened", extra={"figures": {"why": str(why)}})
        if protocol.transport is not None:  # it failed behind the protocol's start
            cast(Any, protocol).doStop()

    def not_opened(self, fault: Exception) -> None:
        """It is tried again soon."""
        self.note_not_opened(fault, self.names)
        self.open_later()

    def ended(self) -> None:
        """The socket has ended, and with it answers that were on their way."""
        self.port = None
        if self.closed:
            return
        self.note_ended()
        self.open_later()

    def note_ended(self) -> None:
        """Count and log it."""
        self.counters.add("names_socket_ended")
        figures = {"unheard_ms": self.names.silent_for() * 1000}
        self.log.warning("discovery_socket_ended", extra={"figures": figures})

    def renew_in_time(self) -> None:
        """Before a question: where answers stay away, it is to leave from another source port."""
        if self.port is None or self.closed or not self.renewal.is_due():
            return
        if self.has_room():
            self.renew()

    def has_room(self) -> bool:
        """Whether one more port may be opened; the oldest makes room where later questions were answered."""
        if len(self.earlier) + 1 < MOST_PORTS:
            return True
        if self.names.answered_at <= self.earlier[0].since:
            return False
        self.earlier.pop(0).close()
        return True

    def renew(self) -> None:
        """Ask from another port from now on; where none can be opened, from the same."""
        self.renewal.renewed()
        earlier = EarlierPort(self.names)
        try:
            opened = self.opened(earlier)
        except (CannotListenError, OSError) as fault:
            self.note_not_opened(fault, earlier)
            return
        earlier.exchange(self.port, opened, self.reactor.seconds())
        earlier.on_ended = self.earlier_ended
        self.earlier.append(earlier)
        self.port = opened
        self.counters.add("names_ports_renewed")
        figures = {"unheard_ms": self.names.silent_for() * 1000, "open": len(self.earlier) + 1}
        self.log.warning("discovery_port_renewed", extra={"figures": figures})

    def earlier_ended(self, earlier: EarlierPort) -> None:
        """The socket of an earlier port has ended."""
        self.earlier.remove(earlier)
        if not self.closed:
            self.note_ended()

    def look_at_earlier(self) -> None:
        """Read the earlier ports, and close those whose answers tell nothing any more."""
        now = self.reactor.seconds()
        for earlier in list(self.earlier):
            self.read_unasked(earlier.port)
            if earlier in self.earlier and now - earlier.since > KEPT:
                self.earlier.remove(earlier)
                earlier.close()

    def close(self) -> None:
        """A planned end: no question follows, and nothing is opened again."""
        self.closed = True
        self.names.cancel_query()
        if self.reopening is not None and self.reopening.active():
            self.reopening.cancel()

    def open_later(self) -> None:
        """Without a socket no drain would be learned."""
        if self.reopening is None or not self.reopening.active():
            self.reopening = self.reactor.callLater(REOPEN_AFTER, self.open)

    def look(self) -> None:
        """To be called often: brings on again what has stopped."""
        self.look_at_earlier()
        if self.port is None:
            if self.reopening is None or not self.reopening.active():
                self.counters.add("discovery_reopened_by_look")
                self.open()
            return
        self.names.ensure_querying()
        if self.names.silent_for() > UNHEARD:
            self.read_unasked(self.port)

    def read_unasked(self, port: Any) -> None:
        """Read what waits, although the poller told nothing of it: it may have lost the socket."""
        answered = self.counters.sums["names_answered"]
        try:
            port.doRead()
        except OSError:  # too many in a row
            port.connectionLost()
            return
        if self.counters.sums["names_answered"] > answered and port.connected:
            self.counters.add("discovery_read_by_look")
            port.stopReading()
            port.startReading()
