"""Dials an engine for one connection, and tells how a dial that failed counts for its attempts."""

from __future__ import annotations

from typing import Any

from twisted.internet.error import ConnectionRefusedError
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from ..interface import Ending
from .connection import Connection
from .transient_errors import LOCAL_RESOURCE_ERRORS


class Dial(ClientFactory):
    """Makes a connection once its engine has accepted it."""

    noisy = False

    def __init__(self, connection: Connection) -> None:
        self.connection = connection

    def buildProtocol(self, addr: Any) -> Connection:
        return self.connection

    def clientConnectionLost(self, connector: Any, reason: Failure) -> None:
        """Twisted's connector and transport hold each other; parted, they need no collector."""
        connector.transport = None

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        """Refused or never up: either way not a byte of an attempt has left."""
        if isinstance(reason.value, ConnectionRefusedError):
            counter, ending = "dials_refused", Ending.UNREACHED
        elif getattr(reason.value, "osError", None) in LOCAL_RESOURCE_ERRORS:
            counter, ending = "dials_failed_here", Ending.MOOT
        else:
            counter, ending = "dials_not_up", Ending.CONNECT_TIMEOUT
        self.connection.engines.counters.add(counter)
        self.connection.lost(ending)
