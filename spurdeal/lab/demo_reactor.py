"""What the demo uses of Twisted's reactor, which has no types of its own."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from twisted.internet.address import IPv4Address
from twisted.internet.protocol import ClientFactory, DatagramProtocol


class Timer(Protocol):
    """A call that is due later."""

    def active(self) -> bool:
        """Whether it is still to come."""

    def cancel(self) -> None:
        """It is not to come."""


class ListeningPort(Protocol):
    """A socket that listens."""

    def getHost(self) -> IPv4Address:
        """Where it listens."""


class Reactor(Protocol):
    """The event loop."""

    def callLater(self, delay: float, call: Callable[..., object], *words: object) -> Timer:
        """Calls after so many seconds."""

    def callWhenRunning(self, call: Callable[..., object], *words: object) -> object:
        """Calls once the loop runs."""

    def callFromThread(self, call: Callable[..., object], *words: object) -> object:
        """Calls in the loop's own time; also from a signal handler."""

    def connectTCP(self, host: str, port: int, factory: ClientFactory, timeout: float) -> object:
        """Connects a client."""

    def listenUDP(
        self, port: int, protocol: DatagramProtocol, interface: str, maxPacketSize: int
    ) -> ListeningPort:
        """Listens for datagrams."""

    def run(self) -> None:
        """Runs until it is stopped."""

    def stop(self) -> None:
        """Ends the loop."""
