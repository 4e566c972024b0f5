"""The external processing service: all callers' connections, beside the other fronts in one process."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from typing import Any

from twisted.internet.protocol import ServerFactory

from ..net.counters import Counters
from ..net.engines import Engines
from ..net.link import SocketLink
from .bounds import Bounds, Door
from .calls import Terms
from .connection import METHOD, Processor
from .granter import Granter
from .stream import Call

__all__ = ["METHOD", "Server"]

LOOK = 0.005  # seconds between two looks at what is held


class Server(ServerFactory):
    """All callers' connections, within their bounds."""

    noisy = False

    def __init__(
        self,
        link: SocketLink,
        engines: Engines,
        workloads: Mapping[bytes, int],
        terms: Terms,
        bounds: Bounds,
        longest: float,
        come_back: float,
        reactor: Any,
        clock: Callable[[], float],
        counters: Counters,
        log: logging.Logger,
    ) -> None:
        self.link, self.workloads, self.terms, self.bounds = link, workloads, terms, bounds
        self.longest, self.come_back = longest, come_back
        self.reactor, self.clock, self.counters, self.log = reactor, clock, counters, log
        self.granter = Granter(engines, clock, terms, bounds.calls, counters)
        self.door = Door(bounds)
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

    def buildProtocol(self, addr: Any) -> Processor:
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
