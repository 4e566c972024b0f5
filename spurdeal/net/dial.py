"""Dials an engine for one connection, and maps a failed dial to the outcome of its attempts."""

from __future__ import annotations

from typing import Any

from twisted.internet.error import ConnectionRefusedError
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from ..interface import Ending
from .connection import Connection
from .transient_errors import LOCAL_RESOURCE_ERRORS


class Dial(ClientFactory):
    """Client factory of one connection."""

    noisy = False

    def __init__(self, connection: Connection) -> None:
        self.connection = connection

    def buildProtocol(self, addr: Any) -> Connection:
        """Return the connection that was dialled for."""
        return self.connection

    def clientConnectionLost(self, connector: Any, reason: Failure) -> None:
        """Break the reference cycle of connector and transport, so that no garbage collection is needed."""
        connector.transport = None

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        """Handle a refused or timed-out dial: no byte of an attempt has been sent."""
        if isinstance(reason.value, ConnectionRefusedError):
            counter, ending = "dials_refused", Ending.UNREACHED
        elif getattr(reason.value, "osError", None) in LOCAL_RESOURCE_ERRORS:
            counter, ending = "dials_failed_here", Ending.MOOT
        else:
            counter, ending = "dials_not_up", Ending.CONNECT_TIMEOUT
        self.connection.engines.counters.add(counter)
        self.connection.remove_and_end_attempts(ending)
