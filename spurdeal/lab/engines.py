"""Stand-in engines speaking RESP, with cold starts, a fall when pushed, and a log of every run."""

from __future__ import annotations

import re
import time
from collections import Counter, deque
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from ..net.resp import ArrayParser, BadAnswer, command

COST = re.compile(rb"cost=([0-9.]+)")
ROW = b"a\t1\tx\n"


class EngineFleet:
    """What all engines share: the figures of the rules, and what ran where, by id."""

    def __init__(
        self, reactor: Any, cores: int, cold_for: float, cold_share: float, multiple: float, window: float
    ) -> None:
        self.reactor, self.cores, self.cold_for, self.cold_share = reactor, cores, cold_for, cold_share
        self.multiple, self.window = multiple, window
        self.runs: Counter[bytes] = Counter()
        self.sent_by: Counter[tuple[str, str]] = Counter()
        self.run_log: list[tuple[float, str, str, bytes]] = []  # Unix s, whose, on which engine, id
        self.engines: list[Engine] = []

    def now(self) -> float:
        return float(self.reactor.seconds()) * 1000

    def start(self, ident: str, host: str, port: int, cold: bool) -> Engine:
        engine = Engine(self, ident, host, port, cold)
        self.engines.append(engine)
        return engine

    def max_budget_used(self) -> float:
        """1 is the rule's limit, over all dispatchers together and over all engines that ever were cold."""
        return max((engine.max_budget_used for engine in self.engines), default=0.0)

    def fallen(self) -> int:
        return sum(engine.down for engine in self.engines if engine.fell)


class Engine:
    """One engine: it runs all that it is sent at once, slower the more there is."""

    def __init__(self, fleet: EngineFleet, ident: str, host: str, port: int, cold: bool) -> None:
        self.fleet, self.ident, self.host, self.port = fleet, ident, host, port
        self.began = fleet.now()
        self.warm_at = self.began + fleet.cold_for if cold else 0.0
        self.running, self.max_budget_used, self.down, self.fell = 0, 0.0, False, False
        self.pressure: deque[tuple[float, float]] = deque()
        self.connections: set[Talk] = set()
        self.hang = False
        factory = Factory.forProtocol(Talk)
        factory.engine = self  # type: ignore[attr-defined]
        factory.noisy = False
        self.listening: Any = fleet.reactor.listenTCP(port, factory, backlog=512, interface=host)

    def capacity(self) -> float:
        """Cores' worth of work that it does now."""
        cold = self.fleet.now() < self.warm_at
        return self.fleet.cores * (self.fleet.cold_share if cold else 1.0)

    def arrives(self, cost: float) -> None:
        """Rule 4: what reaches a cold engine in any window, against what it bears."""
        now = self.fleet.now()
        if now >= self.warm_at:
            return
        self.pressure.append((now, cost))
        while self.pressure[0][0] <= now - self.fleet.window:
            self.pressure.popleft()
        most = self.fleet.multiple * self.capacity() * self.fleet.window
        used = sum(each for _, each in self.pressure) / most
        self.max_budget_used = max(self.max_budget_used, used)
        if used > 1.0:
            self.fell = True
            self.stop()

    def stop(self) -> None:
        """The process is no more: connections are reset, new ones refused."""
        if not self.down:
            self.down = True
            self.listening.stopListening()
            for talk in list(self.connections):
                talk.transport.abortConnection()

    def run(self, cost: float, done: Callable[[], None]) -> Any:
        self.running += 1
        took = cost * max(1.0, self.running / self.capacity())

        def over() -> None:
            self.running -= 1
            done()

        return self.fleet.reactor.callLater(took / 1000, over)


class Talk(Protocol):
    """One dispatcher's connection."""

    transport: Any
    factory: Any

    def connectionMade(self) -> None:
        self.engine: Engine = self.factory.engine
        self.parser = ArrayParser()
        self.open: dict[bytes, Any] = {}
        self.engine.connections.add(self)
        self.transport.setTcpNoDelay(True)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """What runs runs on, and is answered to nobody."""
        self.engine.connections.discard(self)

    def dataReceived(self, data: bytes) -> None:
        self.parser.feed(data)
        try:
            while (parts := self.parser.take()) is not None:
                self.said([bytes(part) for part in parts])
        except BadAnswer:
            self.transport.abortConnection()

    def said(self, parts: list[bytes]) -> None:
        if parts[0] == b"serve" and len(parts) == 4:
            self.serve(*parts[1:])
        elif parts[0] == b"cancel":
            self.open.pop(parts[1], None)  # a stand-in does not stop what runs

    def serve(self, ident: bytes, fields: bytes, body: bytes) -> None:
        found = COST.search(body)
        cost = float(found[1]) if found else 10.0
        # Before the fall: what makes an engine fall has reached it, and has run.
        self.engine.fleet.runs[ident] += 1
        host = self.transport.getPeer().host
        self.engine.fleet.sent_by[host, self.engine.ident] += 1
        self.engine.fleet.run_log.append((time.time(), host, self.engine.ident, ident))
        self.engine.arrives(cost)
        if self.engine.down:
            return
        self.open[ident] = None

        def done() -> None:
            if (
                ident in self.open
                and self.engine.connections
                and self in self.engine.connections
                and not self.engine.hang
            ):
                del self.open[ident]
                self.transport.write(command(ident, b"200", b"parts=1", ROW))

        self.engine.run(cost, done)
