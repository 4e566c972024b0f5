"""Types of the parts of Twisted's reactor that the demo uses; the reactor itself is untyped."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from twisted.internet.address import IPv4Address
from twisted.internet.protocol import ClientFactory, DatagramProtocol


class Timer(Protocol):
    """A delayed call."""

    def active(self) -> bool:
        """Tells whether the call is still pending."""

    def cancel(self) -> None:
        """Cancels the call."""


class ListeningPort(Protocol):
    """A listening socket."""

    def getHost(self) -> IPv4Address:
        """Returns its address."""


class Reactor(Protocol):
    """The event loop."""

    def callLater(self, delay: float, call: Callable[..., object], *args: object) -> Timer:
        """Schedules a call after so many seconds."""

    def callWhenRunning(self, call: Callable[..., object], *args: object) -> object:
        """Schedules a call for when the loop runs."""

    def callFromThread(self, call: Callable[..., object], *args: object) -> object:
        """Schedules a call from another thread or a signal handler."""

    def connectTCP(self, host: str, port: int, factory: ClientFactory, timeout: float) -> object:
        """Connects a client."""

    def listenUDP(
        self, port: int, protocol: DatagramProtocol, interface: str, maxPacketSize: int
    ) -> ListeningPort:
        """Listens for datagrams."""

    def run(self) -> None:
        """Runs until it is stopped."""

    def stop(self) -> None:
        """Stops the loop."""
