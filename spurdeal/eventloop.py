"""Types for the parts of Twisted's reactor that adapters use; Twisted has none that mypy reads."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.protocol import DatagramProtocol


class Timer(Protocol):
    """A call that is scheduled for later."""

    def active(self) -> bool:
        """Whether the call is still to come."""

    def cancel(self) -> None:
        """Unschedule the call; it must still be active."""


class Scheduler(Protocol):
    """An event loop that runs calls later."""

    def callLater(self, seconds: float, call: Callable[..., Any], /, *arguments: Any) -> Timer:  # noqa: ANN401
        """Schedule a call."""


class DatagramLoop(Scheduler, Protocol):
    """An event loop that also has UDP sockets."""

    def listenUDP(
        self, port: int, protocol: DatagramProtocol, interface: str = "", maxPacketSize: int = 8192
    ) -> object:
        """Bind a UDP port and hand what arrives to the protocol."""
