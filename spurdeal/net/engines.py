"""The way to the engines: their endpoints, the connections to each, and which one carries an attempt."""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence
from math import isfinite
from typing import Any

from ..interface import Ending, Life
from ..slow_start import leads_to_predecessor
from .attempts import Attempt, Outcome, SendTerms
from .connection import Connection
from .counters import Counters
from .dial import Dial
from .engine_list import Endpoint
from .resp import BadAnswer
from .watch import LoopWatch

__all__ = ["Attempt", "Connection", "Engine", "Engines", "Outcome", "SendTerms"]

IDLE_PART = 0.5  # of the time after which engines close: ours closes first, or an attempt would cross it
RELAX = 1.001  # a sweep: an early close of idle connections that was seen once is forgotten within minutes


class Engine:
    """One engine's endpoint and the connections to it."""

    def __init__(self, engines: Engines, number: int, endpoint: Endpoint) -> None:
        self.engines, self.number, self.endpoint = engines, number, endpoint
        self.connections: list[Connection] = []
        self.heard = 0.0

    def say(self, event: str, **figures: object) -> None:
        self.engines.log.warning(event, extra={"figures": {"engine": self.endpoint.ident} | figures})

    def update_endpoint(self, endpoint: Endpoint) -> None:
        before, self.endpoint = self.endpoint, endpoint
        for connection in list(self.connections):
            if (
                endpoint.started != before.started
                and connection.up
                and leads_to_predecessor(connection.opened, endpoint.started, self.engines.clock())
            ):
                connection.transport.abortConnection()  # the process that it led to is no more
                connection.lost()
            elif endpoint.life == Life.GONE or endpoint[1:3] != before[1:3]:
                connection.retire()
            if (
                endpoint.life != Life.READY
                or endpoint[1:3] != before[1:3]
                or endpoint.started != before.started
            ):
                connection.withhold()
                if not connection.up:
                    connection.lost(Ending.MOOT)  # dialled for, at what it no longer is

    def connection_for(self, attempt: Attempt, at_most_once: bool) -> Connection | None:
        """An open one, or a new one. What came on the chosen one and was not read is seen on its socket."""
        while (found := self.emptiest(attempt, at_most_once)) is not None and found.look():
            pass  # the next best
        if found is not None or self.engines.full():
            return found
        connection = Connection(self)
        self.connections.append(connection)
        self.engines.connections += 1
        self.engines.dial(self.endpoint.host, self.endpoint.port, Dial(connection))
        return connection

    def emptiest(self, attempt: Attempt, at_most_once: bool) -> Connection | None:
        """The open one with fewest attempts; None where a new one is better: a failing one takes its attempts
        along.

        While another can be had, one that rests with half an answer is not taken, nor, at_most_once, one long
        unused: where engines were seen to close idle ones early, an attempt that crosses that is in doubt."""
        engines = self.engines
        usable = [connection for connection in self.connections if connection.takes(attempt)]
        since = engines.clock() - IDLE_PART * engines.closes_after
        fresh = [
            connection
            for connection in usable
            if connection.attempts
            or (
                not connection.unread and (not at_most_once or max(connection.used, connection.heard) > since)
            )
        ]
        full = engines.full()
        if fresh or not full:
            usable = fresh
        found = min(usable, key=lambda connection: len(connection.attempts), default=None)
        if (
            found is not None
            and len(found.attempts) < engines.attempts_per_connection
            and (not found.attempts or full or len(self.connections) >= engines.share())
        ):
            return found
        return None

    def sweep(self, idle_since: float) -> None:
        for connection in list(self.connections):
            if connection.up and not connection.attempts and connection.used < idle_since:
                connection.silent |= connection.sending  # it has not read for so long what it was sent last
                connection.retire()


class Engines:
    """All engines by index. An attempt is sent, and its Deferred tells how it ended."""

    def __init__(
        self,
        reactor: Any,
        clock: Callable[[], float],
        report_fields: Sequence[str],
        counters: Counters,
        log: logging.Logger,
    ) -> None:
        self.reactor, self.clock, self.counters, self.log = reactor, clock, counters, log
        self.report_fields, self.connections = tuple(report_fields), 0
        self.engines: dict[int, Engine] = {}
        self.watch = LoopWatch(clock, counters, log)  # the link's, once there is one
        self.held: list[Connection] = []

    def set_limits(
        self,
        connect_within: float,
        idle_after: float,
        attempts_per_connection: int,
        max_connections: int,
        drain_grace: float,
    ) -> None:
        self.connect_within, self.idle_after, self.drain_grace = connect_within, idle_after, drain_grace
        self.attempts_per_connection, self.max_connections = (
            max(1, attempts_per_connection),
            max_connections,
        )
        self.closes_after = idle_after  # as seen, where engines close idle ones earlier

    def closed_idle(self, idle: float) -> None:
        """An engine has closed one of ours that rested for so long."""
        self.counters.add("closed_while_idle")
        self.closes_after = min(self.closes_after, idle)

    def dial(self, host: str, port: int, factory: Dial) -> None:
        self.reactor.connectTCP(host, port, factory, timeout=self.connect_within / 1000)

    def report(self, text: str) -> tuple[float, ...]:
        """The figures that the settings name, in their order; none if one is missing."""
        told = dict(pair.partition(":")[::2] for pair in text.split(";"))
        if not all(name in told for name in self.report_fields):
            return ()
        figures = tuple(float(told[name]) for name in self.report_fields)
        if not all(isfinite(figure) for figure in figures):
            raise BadAnswer("a report holds no number")
        return figures

    def update_engine(self, engine: int, endpoint: Endpoint) -> None:
        if (known := self.engines.get(engine)) is not None:
            known.update_endpoint(endpoint)
            self.forget(known)
        elif endpoint.life != Life.GONE:
            self.engines[engine] = Engine(self, engine, endpoint)

    def forget(self, engine: Engine) -> None:
        """Nothing is kept of an engine that is gone once its last connection has ended."""
        if engine.endpoint.life == Life.GONE and not engine.connections:
            self.engines.pop(engine.number, None)

    def full(self) -> bool:
        """No further connection may be opened."""
        return self.connections >= self.max_connections

    def share(self) -> int:
        """How many connections one engine may have, so that there are some for each."""
        return max(1, self.max_connections // max(1, len(self.engines)))

    def name_of(self, engine: int) -> str:
        """The engine's id, for the log; that of one which is gone may not be known any more."""
        return self.engines[engine].endpoint.ident if engine in self.engines else f"engine-{engine}"

    def ready(self, engine: int) -> bool:
        return engine in self.engines and self.engines[engine].endpoint.life == Life.READY

    def send(
        self,
        engine: int,
        ident: bytes,
        workload: bytes,
        statement: bytes,
        deadline: float,
        at_most_once: bool,
        at_send: Callable[[], SendTerms | None],
    ) -> Attempt:
        attempt = Attempt(ident, workload, statement, deadline, at_send)
        found = self.engines.get(engine)
        connection = found.connection_for(attempt, at_most_once) if found is not None else None
        if connection is None:
            self.counters.add("trips_not_sent")  # gone, or no descriptor left: no fault of the engine's
            attempt.done.callback(Outcome(Ending.MOOT))
        else:
            connection.carry(attempt)
        return attempt

    def write_held(self) -> None:
        """Hands over the attempts whose terms did not let them leave at once."""
        held, self.held = self.held, []
        waiting = iter(held)
        try:
            for connection in waiting:
                connection.write_held()
        finally:  # also after a fault at one of them
            self.held += waiting

    def weigh(self, attempt: Attempt, rank: int) -> None:
        if attempt.connection is not None and attempt.written and not attempt.parts:
            attempt.connection.write(b"weigh", attempt.ident, b"%d" % rank)

    def give_up(self, attempt: Attempt, ending: Ending) -> None:
        if attempt.connection is not None:
            attempt.connection.give_up(attempt, ending)

    def sweep(self) -> None:
        self.closes_after = min(self.idle_after, self.closes_after * RELAX)
        for engine in list(self.engines.values()):
            engine.sweep(self.clock() - IDLE_PART * self.idle_after)

    def close(self) -> None:
        for engine in list(self.engines.values()):
            for connection in list(engine.connections):
                if connection.up:
                    connection.transport.loseConnection()
