"""The connection pools of the engines: endpoints, connections, and the choice of one for each attempt."""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence
from math import isfinite
from typing import Any

from ..interface import Ending, Life
from ..slow_start import connected_before_restart
from .attempts import Outcome, OutgoingAttempt, SendTerms
from .connection import Connection
from .counters import Counters
from .dial import Dial
from .engine_list import Endpoint
from .poll_watch import LoopWatch
from .resp import BadAnswer

__all__ = ["Connection", "EnginePool", "Engines", "Outcome", "OutgoingAttempt", "SendTerms"]

# Share of the engines' idle timeout after which we close idle connections. If the engine closed first, an
# attempt could be on its way to it at that moment.
IDLE_CLOSE_SHARE = 0.5
IDLE_TIMEOUT_GROWTH = 1.001  # per sweep: a shorter idle timeout observed once is forgotten within minutes


class EnginePool:
    """One engine's endpoint and the connections to it."""

    def __init__(self, engines: Engines, number: int, endpoint: Endpoint) -> None:
        self.engines, self.number, self.endpoint = engines, number, endpoint
        self.connections: list[Connection] = []
        self.last_received = 0.0

    def log_warning(self, event: str, **figures: object) -> None:
        """Log a warning about this engine."""
        self.engines.log.warning(event, extra={"figures": {"engine": self.endpoint.ident} | figures})

    def update_endpoint(self, endpoint: Endpoint) -> None:
        """Apply a new state of the endpoint to its connections."""
        previous, self.endpoint = self.endpoint, endpoint
        for connection in list(self.connections):
            if (
                endpoint.started != previous.started
                and connection.up
                and connected_before_restart(connection.opened, endpoint.started, self.engines.clock())
            ):
                connection.transport.abortConnection()  # it leads to a process that has ended
                connection.remove_and_end_attempts()
            elif endpoint.life == Life.GONE or endpoint[1:3] != previous[1:3]:  # host and port
                connection.retire()
            if (
                endpoint.life != Life.READY
                or endpoint[1:3] != previous[1:3]  # host and port
                or endpoint.started != previous.started
            ):
                connection.withdraw_unsent()
                if not connection.up:
                    # It still dials an outdated state of the endpoint.
                    connection.remove_and_end_attempts(Ending.MOOT)

    def connection_for(self, attempt: OutgoingAttempt, at_most_once: bool) -> Connection | None:
        """Return a connection for an attempt, new or open; None if neither is possible.

        The socket of an open one is checked first: it may have been closed, or hold unread bytes.
        """
        while (found := self.least_loaded(attempt, at_most_once)) is not None and found.check_socket():
            pass  # the next best
        if found is not None or self.engines.at_connection_limit():
            return found
        connection = Connection(self)
        self.connections.append(connection)
        self.engines.connections += 1
        self.engines.dial(self.endpoint.host, self.endpoint.port, Dial(connection))
        return connection

    def least_loaded(self, attempt: OutgoingAttempt, at_most_once: bool) -> Connection | None:
        """The open connection with the fewest attempts; None if a new connection is better.

        A new one is better than a shared one because a failing connection fails all its attempts. While a new
        one can be opened, an idle connection with half an answer is not used, nor, for an at-most-once
        attempt, one that has been idle for long: an engine may close idle connections early, and an attempt
        sent at that moment has an unknown outcome.
        """
        engines = self.engines
        usable = [connection for connection in self.connections if connection.accepts(attempt)]
        since = engines.clock() - IDLE_CLOSE_SHARE * engines.observed_idle_timeout
        fresh = [
            connection
            for connection in usable
            if connection.attempts
            or (
                not connection.has_unread_bytes
                and (not at_most_once or max(connection.last_used, connection.last_received) > since)
            )
        ]
        at_connection_limit = engines.at_connection_limit()
        if fresh or not at_connection_limit:
            usable = fresh
        found = min(usable, key=lambda connection: len(connection.attempts), default=None)
        if (
            found is not None
            and len(found.attempts) < engines.attempts_per_connection
            and (
                not found.attempts
                or at_connection_limit
                or len(self.connections) >= engines.connections_per_engine()
            )
        ):
            return found
        return None

    def sweep(self, idle_since: float) -> None:
        """Close connections that have been idle since then."""
        for connection in list(self.connections):
            if connection.up and not connection.attempts and connection.last_used < idle_since:
                # What was last written has not been read for so long.
                connection.unresponsive |= connection.sending
                connection.retire()


class Engines:
    """All engines by index; the sender of attempts over our own connections."""

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
        self.engines: dict[int, EnginePool] = {}
        self.watch = LoopWatch(clock, counters, log)  # replaced by the adapter's
        self.deferred: list[Connection] = []

    def set_limits(
        self,
        connect_timeout: float,
        idle_timeout: float,
        attempts_per_connection: int,
        max_connections: int,
        drain_grace: float,
    ) -> None:
        """Set the timeouts (ms) and connection limits."""
        self.connect_timeout, self.idle_timeout, self.drain_grace = connect_timeout, idle_timeout, drain_grace
        self.attempts_per_connection, self.max_connections = (
            max(1, attempts_per_connection),
            max_connections,
        )
        self.observed_idle_timeout = idle_timeout  # shorter if engines were seen to close earlier

    def closed_while_idle(self, idle: float) -> None:
        """An engine has closed a connection that had been idle for `idle` ms."""
        self.counters.add("closed_while_idle")
        self.observed_idle_timeout = min(self.observed_idle_timeout, idle)

    def dial(self, host: str, port: int, factory: Dial) -> None:
        """Start connecting, with the connect timeout."""
        self.reactor.connectTCP(host, port, factory, timeout=self.connect_timeout / 1000)

    def report(self, text: str) -> tuple[float, ...]:
        """Parse a load report: the fields that the settings name, in that order; empty if one is missing."""
        fields = dict(pair.partition(":")[::2] for pair in text.split(";"))
        if not all(name in fields for name in self.report_fields):
            return ()
        figures = tuple(float(fields[name]) for name in self.report_fields)
        if not all(isfinite(figure) for figure in figures):
            raise BadAnswer("a load report has a value that is not a finite number")
        return figures

    def update_engine(self, engine: int, endpoint: Endpoint) -> None:
        """Add or update an engine from a list."""
        if (existing := self.engines.get(engine)) is not None:
            existing.update_endpoint(endpoint)
            self.drop_if_gone(existing)
        elif endpoint.life != Life.GONE:
            self.engines[engine] = EnginePool(self, engine, endpoint)

    def drop_if_gone(self, engine: EnginePool) -> None:
        """Remove an engine that is gone, once its last connection has ended."""
        if engine.endpoint.life == Life.GONE and not engine.connections:
            self.engines.pop(engine.number, None)

    def at_connection_limit(self) -> bool:
        """Whether no further connection may be opened."""
        return self.connections >= self.max_connections

    def connections_per_engine(self) -> int:
        """How many connections one engine may have, so that each gets a share of the limit."""
        return max(1, self.max_connections // max(1, len(self.engines)))

    def name_of(self, engine: int) -> str:
        """The engine's id for the log, or a substitute if the engine is gone."""
        return self.engines[engine].endpoint.ident if engine in self.engines else f"engine-{engine}"

    def ready(self, engine: int) -> bool:
        """Whether the engine may get attempts."""
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
    ) -> OutgoingAttempt:
        """Queue an attempt on a connection; it ends as MOOT if there is none."""
        attempt = OutgoingAttempt(ident, workload, statement, deadline, at_send)
        found = self.engines.get(engine)
        connection = found.connection_for(attempt, at_most_once) if found is not None else None
        if connection is None:
            self.counters.add("trips_not_sent")  # gone, or at the connection limit: not the engine's fault
            attempt.done.callback(Outcome(Ending.MOOT))
        else:
            connection.enqueue_attempt(attempt)
        return attempt

    def write_deferred(self) -> None:
        """Write the attempts whose terms deferred them to the end of the batch."""
        deferred, self.deferred = self.deferred, []
        waiting = iter(deferred)
        try:
            for connection in waiting:
                connection.write_deferred()
        finally:  # also after an exception at one of them
            self.deferred += waiting

    def set_priority(self, attempt: OutgoingAttempt, rank: int) -> None:
        """Tell the engine the new priority of an attempt that it has not answered."""
        if attempt.connection is not None and attempt.written and attempt.result is None:
            attempt.connection.write(b"weigh", attempt.ident, b"%d" % rank)

    def give_up(self, attempt: OutgoingAttempt, ending: Ending) -> None:
        """Cancel an attempt if it is still out."""
        if attempt.connection is not None:
            attempt.connection.give_up(attempt, ending)

    def sweep(self) -> None:
        """Close idle connections, and let the observed idle timeout recover."""
        self.observed_idle_timeout = min(self.idle_timeout, self.observed_idle_timeout * IDLE_TIMEOUT_GROWTH)
        for engine in list(self.engines.values()):
            engine.sweep(self.clock() - IDLE_CLOSE_SHARE * self.idle_timeout)

    def close(self) -> None:
        """Close all connections."""
        for engine in list(self.engines.values()):
            for connection in list(engine.connections):
                if connection.up:
                    connection.transport.loseConnection()
