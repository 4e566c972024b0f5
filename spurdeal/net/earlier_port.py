"""A source port from which the name service is not asked any more, and at which answers may still come."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import DatagramProtocol

KEPT = 7.0  # seconds: an answer that takes longer tells nothing that does not count as told already


class EarlierPort(DatagramProtocol):
    """Takes the place of the name service's protocol at such a port, and passes on what comes there.

    Attributes:
        port: The port, once it has one.
        since: When it was asked from last, in the reactor's seconds.
        on_ended: Called when it has ended by a failure of the system's.
    """

    noisy = False
    transport: Any

    def __init__(self, names: DatagramProtocol) -> None:
        self.names = names
        self.port: Any = None
        self.since = 0.0
        self.on_ended: Callable[[EarlierPort], None] = lambda _earlier: None

    def exchange(self, current: Any, opened: Any, now: float) -> None:
        """The name service's protocol moves to the port just opened, and this one to the port before."""
        names: Any = self.names
        names.transport, self.transport = self.transport, names.transport
        current.protocol, opened.protocol = self, names
        self.port, self.since = current, now

    def datagramReceived(self, datagram: bytes, address: tuple[str, int]) -> None:
        self.names.datagramReceived(datagram, address)

    def stopProtocol(self) -> None:
        self.on_ended(self)

    def close(self) -> None:
        """Read it no more."""
        self.on_ended = lambda _earlier: None
        self.port.stopListening()
