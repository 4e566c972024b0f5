"""Types for the parts of Twisted's reactor that adapters use; Twisted has none that mypy reads."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.protocol import DatagramProtocol, ProcessProtocol, ServerFactory


class Timer(Protocol):
    """A call that is scheduled for later."""

    def active(self) -> bool:
        """Whether the call is still to come."""

    def cancel(self) -> None:
        """Unschedule the call; it must still be active."""


class Scheduler(Protocol):
    """An event loop that runs calls later."""

    def callLater(self, seconds: float, call: Callable[..., Any], /, *arguments: object) -> Timer:
        """Schedule a call."""


class Port(Protocol):
    """A TCP port that listens."""

    def stopListening(self) -> object:
        """Accept no more connections."""


class DatagramLoop(Scheduler, Protocol):
    """An event loop that also has UDP sockets."""

    def listenUDP(
        self, port: int, protocol: DatagramProtocol, interface: str, maxPacketSize: int = 8192
    ) -> object:
        """Bind a UDP port and hand what arrives to the protocol."""


class StreamLoop(Scheduler, Protocol):
    """An event loop that also has TCP sockets."""

    def listenTCP(self, port: int, factory: ServerFactory, /, *, interface: str) -> Port:
        """Accept connections on a port. Raises CannotListenError."""


class ProcessLoop(Scheduler, Protocol):
    """An event loop that also runs processes."""

    def spawnProcess(
        self, process: ProcessProtocol, executable: str, words: list[str], /, env: None
    ) -> object:
        """Start a program with these words. Raises OSError."""


class Reactor(DatagramLoop, StreamLoop, ProcessLoop, Protocol):
    """All of the event loop that the parts beside the link use."""

    def seconds(self) -> float:
        """The time that timers go by."""
