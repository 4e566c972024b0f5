"""A former source port of queries to the name server, on which responses may still arrive."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import DatagramProtocol

# Seconds; well above list_freshness.PROPAGATION_LIMIT, after which changes count as announced: a later
# response could hold no other ones.
RETENTION = 7.0


class EarlierPort(DatagramProtocol):
    """Replaces the protocol `NameService` on such a port, and forwards datagrams to it.

    Attributes:
        port: The Twisted port, once there is one.
        since: When queries moved to another port, in the reactor's seconds.
        on_ended: Called when the port was closed by an error.
    """

    noisy = False
    transport: Any

    def __init__(self, names: DatagramProtocol) -> None:
        self.names = names
        self.port: Any = None
        self.since = 0.0
        self.on_ended: Callable[[EarlierPort], None] = lambda _earlier: None

    def exchange(self, current: Any, opened: Any, now: float) -> None:
        """Moves `NameService` to the port just opened, and this protocol to its previous port."""
        names: Any = self.names
        names.transport, self.transport = self.transport, names.transport
        current.protocol, opened.protocol = self, names
        self.port, self.since = current, now

    def datagramReceived(self, datagram: bytes, address: tuple[str, int]) -> None:
        """See DatagramProtocol; forwards the datagram."""
        self.names.datagramReceived(datagram, address)

    def stopProtocol(self) -> None:
        """See DatagramProtocol; reports the close of the port."""
        self.on_ended(self)

    def close(self) -> None:
        """Closes the port without a report."""
        self.on_ended = lambda _earlier: None
        self.port.stopListening()
