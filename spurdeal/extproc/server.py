"""The external processing service: all callers' connections, next to the HTTP server for clients.

Terms in this package:

* client: sends a request to a caller.
* caller: a proxy between clients and engines (Envoy's ext_proc filter, for instance), a gRPC client of this
  service. It sends the request to the engine itself.
* call: a caller's question about one request, on one gRPC stream.
* grant: the answer to a call that names the engine; the caller then carries out the attempt.
* outcome: how the attempt ended, as the caller shows by the headers of the engine's response.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from twisted.internet.protocol import ServerFactory

from ..eventloop import Scheduler
from ..net.counters import Counters
from ..net.engines import Engines
from ..net.link import SocketAdapter
from .bounds import Bounds, ConnectionLimits
from .calls import CallerSettings
from .connection import METHOD, ProcessorConnection
from .granter import Granter
from .stream import Call

__all__ = ["METHOD", "Runtime", "Server", "ServerSettings"]

QUEUE_CHECK_INTERVAL = 0.005  # seconds between two checks of queued calls' timeouts


@dataclass(frozen=True)
class ServerSettings:
    """Settings of the service. Times are ms.

    Attributes:
        workloads: The index of each workload, by name.
        caller_settings: The callers' timeouts and header names.
        bounds: Limits on connections, calls and frame rates.
        longest: Upper limit of a client's timeout.
        retry_after: After how long a refused call may be retried.
    """

    workloads: Mapping[bytes, int]
    caller_settings: CallerSettings
    bounds: Bounds
    longest: float
    retry_after: float


@dataclass(frozen=True)
class Runtime:
    """The parts of the process that the service uses. `clock` returns the adapter's time in ms."""

    reactor: Scheduler
    clock: Callable[[], float]
    counters: Counters
    log: logging.Logger


class Server(ServerFactory):
    """Accepts callers' connections and checks the timeouts of queued calls.

    Attributes:
        connections: All admitted connections.
        queued: Calls that wait for the adapter's answer.
        stopping: Whether the graceful shutdown has begun.
    """

    noisy = False

    def __init__(
        self,
        adapter: SocketAdapter,
        engines: Engines,
        settings: ServerSettings,
        runtime: Runtime,
    ) -> None:
        self.adapter, self.workloads, self.caller_settings = (
            adapter,
            settings.workloads,
            settings.caller_settings,
        )
        self.bounds, self.longest, self.retry_after = settings.bounds, settings.longest, settings.retry_after
        self.reactor, self.clock = runtime.reactor, runtime.clock
        self.counters, self.log = runtime.counters, runtime.log
        self.granter = Granter(
            engines, self.clock, self.caller_settings, self.bounds.max_calls, self.counters
        )
        self.admission = ConnectionLimits(self.bounds)
        self.connections: dict[ProcessorConnection, None] = {}
        self.queued: dict[Call, None] = {}
        self.last_number = 0
        self.stopping = self.check_scheduled = False

    def next_number(self) -> int:
        """Return a number for a new call, unique in this process."""
        self.last_number += 1
        return self.last_number

    def add_queued(self, call: Call) -> None:
        """Queue a call; a single timer checks all queued calls and runs only while there are any."""
        self.queued[call] = None
        if not self.check_scheduled:
            self.check_scheduled = True
            self.reactor.callLater(QUEUE_CHECK_INTERVAL, self.check_queued)

    def check_queued(self) -> None:
        """Check the timeouts of all queued calls."""
        self.check_scheduled = False
        now = self.clock()
        for call in list(self.queued):
            call.check_timeouts(now)
        if self.queued:
            self.check_scheduled = True
            self.reactor.callLater(QUEUE_CHECK_INTERVAL, self.check_queued)

    def buildProtocol(self, addr: object) -> ProcessorConnection:
        """Create the protocol of a connection; called by Twisted."""
        return ProcessorConnection(self)

    def connection_opened(self, connection: ProcessorConnection) -> bool:
        """Register a connection; False if there are too many and it must be aborted."""
        if not self.admission.admit_connection():
            self.counters.add("extproc_connections_refused")
            return False
        self.connections[connection] = None
        self.counters.add("extproc_connections")
        return True

    def connection_closed(self, connection: ProcessorConnection) -> None:
        """Unregister a closed connection."""
        self.connections.pop(connection, None)
        self.admission.connection_closed(connection.usage)

    def stop(self) -> None:
        """Begin the graceful shutdown: send GOAWAY on all connections and finish open calls."""
        self.stopping = True
        for connection in list(self.connections):
            connection.send_goaway()

    def sweep(self) -> None:
        """End idle calls and connections; to be called periodically."""
        now = self.clock()
        for connection in list(self.connections):
            connection.enforce_timeouts(now)
            connection.write_pending()
