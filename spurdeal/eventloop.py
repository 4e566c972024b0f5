"""Protocols for the parts of Twisted's reactor in use; mypy can't read Twisted's zope interfaces."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.protocol import DatagramProtocol, ProcessProtocol, ServerFactory


class Timer(Protocol):
    """A scheduled call."""

    def active(self) -> bool:
        """Whether the call is pending: neither made nor cancelled."""

    def cancel(self) -> None:
        """Cancel the call; it must be active."""


class Scheduler(Protocol):
    """An event loop with timers."""

    def callLater(self, seconds: float, call: Callable[..., Any], /, *arguments: object) -> Timer:
        """Call after so many seconds."""


class Port(Protocol):
    """A listening TCP port."""

    def stopListening(self) -> object:
        """Close the port."""


class DatagramLoop(Scheduler, Protocol):
    """An event loop that also has UDP sockets."""

    def listenUDP(
        self, port: int, protocol: DatagramProtocol, interface: str, maxPacketSize: int = 8192
    ) -> object:
        """Bind a UDP port and pass datagrams to the protocol. Raises CannotListenError."""


class StreamLoop(Scheduler, Protocol):
    """An event loop that also has TCP sockets."""

    def listenTCP(self, port: int, factory: ServerFactory, /, *, interface: str) -> Port:
        """Accept connections on a port. Raises CannotListenError."""


class ProcessLoop(Scheduler, Protocol):
    """An event loop that also runs processes."""

    def spawnProcess(
        self, process: ProcessProtocol, executable: str, words: list[str], /, env: None
    ) -> object:
        """Start a program with these arguments, the first one its name. Raises OSError."""


class Reactor(DatagramLoop, StreamLoop, ProcessLoop, Protocol):
    """The event loop with all of these, and with the timers' clock; used by vrrp.setup."""

    def seconds(self) -> float:
        """The timers' clock, in seconds."""
