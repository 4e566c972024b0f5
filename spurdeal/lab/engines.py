"""Stand-in engines that speak RESP, start cold, crash when overloaded while cold, and log every run."""

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
    """All engines of a run, with their common settings and the log of what ran where. Times in ms.

    Attributes:
        cold_for: How long an engine is cold after its start.
        cold_share: The share of its capacity that a cold engine has.
        multiple: How many times its capacity a cold engine may get in one window, from all dispatchers.
        runs: The number of runs by request id.
        sent_by: The number of requests by dispatcher's host and engine.
        run_log: For each run its Unix time in s, the dispatcher's host, the engine and the request id.
    """

    def __init__(
        self, reactor: Any, cores: int, cold_for: float, cold_share: float, multiple: float, window: float
    ) -> None:
        self.reactor, self.cores, self.cold_for, self.cold_share = reactor, cores, cold_for, cold_share
        self.multiple, self.window = multiple, window
        self.runs: Counter[bytes] = Counter()
        self.sent_by: Counter[tuple[str, str]] = Counter()
        self.run_log: list[tuple[float, str, str, bytes]] = []
        self.engines: list[Engine] = []

    def now(self) -> float:
        """The reactor's time in ms."""
        return float(self.reactor.seconds()) * 1000

    def start(self, ident: str, host: str, port: int, cold: bool) -> Engine:
        """Start an engine that listens on this address."""
        engine = Engine(self, ident, host, port, cold)
        self.engines.append(engine)
        return engine

    def max_budget_used(self) -> float:
        """The largest share of a cold engine's budget that all dispatchers together used; the limit is 1."""
        return max((engine.max_budget_used for engine in self.engines), default=0.0)

    def collapsed_count(self) -> int:
        """How many engines have crashed because they were overloaded while cold."""
        return sum(engine.down for engine in self.engines if engine.collapsed)


class Engine:
    """One engine: it runs all requests at the same time, each the slower the more there are.

    Attributes:
        warm_at: When it ceases to be cold; 0 for one that was warm at its start.
        running: The number of requests that run.
        down: Whether it has stopped.
        collapsed: Whether it stopped because it was overloaded while cold.
        recent_arrivals: The time and cost of what arrived in the current window, while it is cold.
        hang: Whether it runs requests without answering them.
    """

    def __init__(self, fleet: EngineFleet, ident: str, host: str, port: int, cold: bool) -> None:
        self.fleet, self.ident, self.host, self.port = fleet, ident, host, port
        self.began = fleet.now()
        self.warm_at = self.began + fleet.cold_for if cold else 0.0
        self.running, self.max_budget_used, self.down, self.collapsed = 0, 0.0, False, False
        self.recent_arrivals: deque[tuple[float, float]] = deque()
        self.connections: set[EngineConnection] = set()
        self.hang = False
        factory = Factory.forProtocol(EngineConnection)
        factory.engine = self  # type: ignore[attr-defined]
        factory.noisy = False
        self.listening: Any = fleet.reactor.listenTCP(port, factory, backlog=512, interface=host)

    def capacity(self) -> float:
        """Its capacity now, in cores."""
        cold = self.fleet.now() < self.warm_at
        return self.fleet.cores * (self.fleet.cold_share if cold else 1.0)

    def record_arrival(self, cost: float) -> None:
        """Count what a cold engine gets in this window; it crashes if that exceeds its budget (rule 4)."""
        now = self.fleet.now()
        if now >= self.warm_at:
            return
        self.recent_arrivals.append((now, cost))
        while self.recent_arrivals[0][0] <= now - self.fleet.window:
            self.recent_arrivals.popleft()
        limit = self.fleet.multiple * self.capacity() * self.fleet.window
        used = sum(each for _, each in self.recent_arrivals) / limit
        self.max_budget_used = max(self.max_budget_used, used)
        if used > 1.0:
            self.collapsed = True
            self.stop()

    def stop(self) -> None:
        """Stop as a process does that has ended: connections are reset, new ones refused."""
        if not self.down:
            self.down = True
            self.listening.stopListening()
            for connection in list(self.connections):
                connection.transport.abortConnection()

    def run(self, cost: float, done: Callable[[], None]) -> Any:
        """Run a request of this cost in ms and call `done` at its end."""
        self.running += 1
        took = cost * max(1.0, self.running / self.capacity())

        def finished() -> None:
            self.running -= 1
            done()

        return self.fleet.reactor.callLater(took / 1000, finished)


class EngineConnection(Protocol):
    """A connection from a dispatcher."""

    transport: Any
    factory: Any

    def connectionMade(self) -> None:
        """Register the connection with its engine."""
        self.engine: Engine = self.factory.engine
        self.parser = ArrayParser()
        self.open: dict[bytes, Any] = {}
        self.engine.connections.add(self)
        self.transport.setTcpNoDelay(True)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Requests of this connection run on; their results are discarded."""
        self.engine.connections.discard(self)

    def dataReceived(self, data: bytes) -> None:
        """Handle the complete commands; abort on malformed data."""
        self.parser.feed(data)
        try:
            while (parts := self.parser.take()) is not None:
                self.handle_command([bytes(part) for part in parts])
        except BadAnswer:
            self.transport.abortConnection()

    def handle_command(self, parts: list[bytes]) -> None:
        """Handle one command; unknown ones are ignored."""
        if parts[0] == b"serve" and len(parts) == 4:
            self.serve(*parts[1:])
        elif parts[0] == b"cancel":
            self.open.pop(parts[1], None)  # the request runs on unanswered

    def serve(self, ident: bytes, fields: bytes, body: bytes) -> None:
        """Run a request and answer it, unless it is cancelled or the connection ends meanwhile."""
        found = COST.search(body)
        cost = float(found[1]) if found else 10.0
        # Counted before the overload check: the request that crashes the engine counts as run.
        self.engine.fleet.runs[ident] += 1
        host = self.transport.getPeer().host
        self.engine.fleet.sent_by[host, self.engine.ident] += 1
        self.engine.fleet.run_log.append((time.time(), host, self.engine.ident, ident))
        self.engine.record_arrival(cost)
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
