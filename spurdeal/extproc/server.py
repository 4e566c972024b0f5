"""The external processing service: all callers' connections, beside the other fronts in one process."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from twisted.internet.protocol import ServerFactory

from ..eventloop import Scheduler
from ..net.counters import Counters
from ..net.engines import Engines
from ..net.link import SocketAdapter
from .bounds import Bounds, Door
from .calls import Terms
from .connection import METHOD, Processor
from .granter import Granter
from .stream import Call

__all__ = ["METHOD", "Runtime", "Server", "ServerSettings"]

LOOK = 0.005  # seconds between two looks at what is held


@dataclass(frozen=True)
class ServerSettings:
    """What callers may ask for, and within which bounds. Times in ms.

    Attributes:
        workloads: The number of each workload, by name.
        terms: What the operator tells of the callers.
        bounds: How much they may hold and send.
        longest: Most that a client may say that it waits.
        come_back: When a call that is refused may come back.
    """

    workloads: Mapping[bytes, int]
    terms: Terms
    bounds: Bounds
    longest: float
    retry_after: float


@dataclass(frozen=True)
class Runtime:
    """The parts of the process that the service uses. clock gives the link's ms."""

    reactor: Scheduler
    clock: Callable[[], float]
    counters: Counters
    log: logging.Logger


class Server(ServerFactory):
    """All callers' connections, within their bounds."""

    noisy = False

    def __init__(
        self,
        adapter: SocketAdapter,
        engines: Engines,
        settings: ServerSettings,
        runtime: Runtime,
    ) -> None:
        self.adapter, self.workloads, self.terms = adapter, settings.workloads, settings.terms
        self.bounds, self.longest, self.retry_after = settings.bounds, settings.longest, settings.retry_after
        self.reactor, self.clock = runtime.reactor, runtime.clock
        self.counters, self.log = runtime.counters, runtime.log
        self.granter = Granter(engines, self.clock, self.terms, self.bounds.calls, self.counters)
        self.door = Door(self.bounds)
        self.connections: dict[Processor, None] = {}
        self.held: dict[Call, None] = {}
        self.numbers = 0
        self.stopping = self.looking = False

    def next_number(self) -> int:
        """The number of a new call."""
        self.numbers += 1
        return self.numbers

    def holds(self, call: Call) -> None:
        """One timer for all that are held, and none while none is."""
        self.held[call] = None
        if not self.looking:
            self.looking = True
            self.reactor.callLater(LOOK, self.look)

    def look(self) -> None:
        """Look at all calls that are held."""
        self.looking = False
        now = self.clock()
        for call in list(self.held):
            call.waits(now)
        if self.held:
            self.looking = True
            self.reactor.callLater(LOOK, self.look)

    def buildProtocol(self, addr: object) -> Processor:
        """A caller's connection, for Twisted."""
        return Processor(self)

    def came(self, processor: Processor) -> bool:
        """Whether another connection may stay."""
        if not self.door.connect():
            self.counters.add("extproc_connections_refused")
            return False
        self.connections[processor] = None
        self.counters.add("extproc_connections")
        return True

    def went(self, processor: Processor) -> None:
        """A connection is over."""
        self.connections.pop(processor, None)
        self.door.left(processor.meter)

    def stop(self) -> None:
        """A planned stop: callers are told to go elsewhere, and what is in hand is answered."""
        self.stopping = True
        for processor in list(self.connections):
            processor.go_away()

    def sweep(self) -> None:
        """End what has been quiet for too long; to be called from time to time."""
        now = self.clock()
        for processor in list(self.connections):
            processor.overstays(now)
            processor.push()
