"""The socket for queries to the name server: opens it, reopens it and supervises it.

Each step of discovery is triggered by the one before: a query by a timer, a read by the poller, a new socket
by the close of the last one. If such a chain breaks, for whatever reason, `check_and_repair` detects that and
restarts it.

If responses stay away, queries are sent from another socket with another source port. The earlier sockets are
read for as long as responses to them may still matter.
"""

from __future__ import annotations

import logging
from typing import Any, cast

from twisted.internet.error import CannotListenError
from twisted.internet.protocol import DatagramProtocol

from .counters import Counters
from .datagram_reading import TolerantReading
from .descriptors import OPENED_FOR_NAMES
from .earlier_port import RETENTION, EarlierPort
from .names import NameService
from .port_renewal import PortRenewal

REOPEN_AFTER = 0.02  # seconds until opening a socket is tried again
LARGEST_DATAGRAM = 65_535  # bytes of a response
# seconds without a response after which the socket is read although the poller reports nothing
UNPROMPTED_READ_AFTER = 0.5
MAX_PORTS = 1 + OPENED_FOR_NAMES  # open at a time


class DiscoverySocket:
    """Keeps a socket to the name server open and read, and queries going.

    Attributes:
        port: The Twisted port from which queries are sent; None while there is none.
        earlier: The ports used before that are still read, oldest first.
        reopening: The delayed call that opens the next socket, if any.
    """

    def __init__(
        self, names: NameService, reactor: Any, interface: str, counters: Counters, log: logging.Logger
    ) -> None:
        self.names, self.reactor, self.interface = names, reactor, interface
        self.counters, self.log = counters, log
        self.port: Any = None
        self.earlier = list[EarlierPort]()
        self.renewal = PortRenewal(names)
        self.reopening: Any = None
        self.closed = False
        names.on_closed = self.on_port_closed
        names.before_query = self.renew_if_due

    def open(self) -> None:
        """Opens the socket; if that fails, tries again after REOPEN_AFTER."""
        self.reopening = None
        try:
            self.port = self.open_port(self.names)
        except (CannotListenError, OSError) as fault:
            self.retry_opening(fault)

    def open_port(self, protocol: DatagramProtocol) -> Any:
        """Opens a Twisted port on an ephemeral source port.

        Raises:
            CannotListenError: The system cannot open or bind the socket.
            OSError: It fails in another way.
        """
        port = self.reactor.listenUDP(0, protocol, interface=self.interface, maxPacketSize=LARGEST_DATAGRAM)
        TolerantReading(port, self.reactor, self.counters, self.log)
        self.counters.add("names_sockets_opened")
        return port

    def note_not_opened(self, fault: Exception, protocol: DatagramProtocol) -> None:
        """Counts and logs that no socket could be opened, and stops a protocol that was half started."""
        self.counters.add("names_socket_not_opened")
        why = fault.socketError if isinstance(fault, CannotListenError) else fault
        self.log.warning("names_socket_not_opened", extra={"figures": {"why": str(why)}})
        if protocol.transport is not None:  # it failed after the protocol was started
            cast(Any, protocol).doStop()

    def retry_opening(self, fault: Exception) -> None:
        """Handles that the socket could not be opened."""
        self.note_not_opened(fault, self.names)
        self.open_later()

    def on_port_closed(self) -> None:
        """Handles the close of the current socket, which loses the responses under way."""
        self.port = None
        if self.closed:
            return
        self.note_closed()
        self.open_later()

    def note_closed(self) -> None:
        """Counts and logs a socket that was closed by an error."""
        self.counters.add("names_socket_ended")
        figures = {"unheard_ms": self.names.silent_for() * 1000}
        self.log.warning("discovery_socket_ended", extra={"figures": figures})

    def renew_if_due(self) -> None:
        """Called before each query; switches to another source port if responses stay away."""
        if self.port is None or self.closed or not self.renewal.is_due():
            return
        if self.has_room():
            self.renew()

    def has_room(self) -> bool:
        """Whether one more port may be opened; closes the oldest if later queries were answered."""
        if len(self.earlier) + 1 < MAX_PORTS:
            return True
        if self.names.answered_at <= self.earlier[0].since:
            return False
        self.earlier.pop(0).close()
        return True

    def renew(self) -> None:
        """Sends queries from another source port; if none can be opened, keeps the current one."""
        self.renewal.renewed()
        earlier = EarlierPort(self.names)
        try:
            opened = self.open_port(earlier)
        except (CannotListenError, OSError) as fault:
            self.note_not_opened(fault, earlier)
            return
        earlier.exchange(self.port, opened, self.reactor.seconds())
        earlier.on_ended = self.on_earlier_closed
        self.earlier.append(earlier)
        self.port = opened
        self.counters.add("names_ports_renewed")
        figures = {"unheard_ms": self.names.silent_for() * 1000, "open": len(self.earlier) + 1}
        self.log.warning("discovery_port_renewed", extra={"figures": figures})

    def on_earlier_closed(self, earlier: EarlierPort) -> None:
        """Handles the close of an earlier port by an error."""
        self.earlier.remove(earlier)
        if not self.closed:
            self.note_closed()

    def read_earlier(self) -> None:
        """Reads the earlier ports, and closes those that were not used for RETENTION seconds."""
        now = self.reactor.seconds()
        for earlier in list(self.earlier):
            self.read_unprompted(earlier.port)
            if earlier in self.earlier and now - earlier.since > RETENTION:
                self.earlier.remove(earlier)
                earlier.close()

    def close(self) -> None:
        """Graceful shutdown: stops the queries and opens no socket again."""
        self.closed = True
        self.names.cancel_query()
        if self.reopening is not None and self.reopening.active():
            self.reopening.cancel()

    def open_later(self) -> None:
        """Schedules opening a socket again, without which no drain would be noticed."""
        if self.reopening is None or not self.reopening.active():
            self.reopening = self.reactor.callLater(REOPEN_AFTER, self.open)

    def check_and_repair(self) -> None:
        """Restarts queries, reads or sockets that have stopped; to be called often."""
        self.read_earlier()
        if self.port is None:
            if self.reopening is None or not self.reopening.active():
                self.counters.add("discovery_reopened_by_look")
                self.open()
            return
        self.names.ensure_querying()
        if self.names.silent_for() > UNPROMPTED_READ_AFTER:
            self.read_unprompted(self.port)

    def read_unprompted(self, port: Any) -> None:
        """Reads waiting datagrams without a report of the poller, which may have lost the socket."""
        answered = self.counters.sums["names_answered"]
        try:
            port.doRead()
        except OSError:  # too many consecutive errors
            port.connectionLost()
            return
        if self.counters.sums["names_answered"] > answered and port.connected:
            self.counters.add("discovery_read_by_look")
            port.stopReading()
            port.startReading()
