"""The listener for clients: accepts connections within a limit, times them out, and closes them at exit."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from typing import Any
from urllib.parse import unquote_to_bytes

from twisted.internet.protocol import ServerFactory

from .client import Client
from .counters import Counters
from .eviction import MIN_AGE, evict
from .group_lookup import GroupLookup
from .link import SocketAdapter
from .poll_watch import AcceptWatch, Unpolled
from .socket_inspection import count_waiting_connections, has_waiting_connections
from .tolerant_socket import ACCEPT_RETRY_DELAY, TolerantListener

# Length of the accept queue. Beyond it the system drops SYNs, which clients send again only after 1 s.
BACKLOG = 4096
MIN_READ_AHEAD, MAX_READ_AHEAD = 16_384, 131_072  # bytes buffered for one client with an open request
READ_AHEAD_MEMORY_SHARE = 0.25  # of the memory, for the read-ahead of all clients
MAX_ACCEPT_ROUNDS = BACKLOG  # at exit: at worst, each round accepts one connection of the backlog
LOG_INTERVAL = 1000.0  # ms between two "accept_paused" log lines, at least


class Clients(ServerFactory):
    """Accepts clients' connections and keeps their number within a limit.

    Attributes:
        connections: Open connections, in the order in which they were accepted.
        max_connections: Limit on their number.
        accepts: Connections accepted per round of the event loop, and free slots that eviction maintains.
        max_read_ahead: Bytes that a client may pipeline behind its open request.
        workload_names: The workloads' names by index.
        groups: Finds the groups of tables of statements.
        port: The listening port; None until it is opened.
        other_descriptors: Returns how many descriptors the process holds for other uses.
        fleet: Returns the state of the fleet for GET /fleet; None without a fleet.
        ready: Whether the initial engine list is in force; GET /alive reports it.
        paused: Whether accepting is paused for want of slots; new connections wait in the backlog.
        ending: Whether shutdown has begun: each response closes its connection.
        accept_ended: Whether the port was closed for the exit.
    """

    noisy = False

    def __init__(
        self,
        adapter: SocketAdapter,
        workloads: Mapping[bytes, int],
        tenants: Mapping[bytes, int],
        clock: Callable[[], float],
        counters: Counters,
        log: logging.Logger,
    ) -> None:
        self.adapter, self.workloads = adapter, workloads
        self.max_connections, self.accepts, self.max_read_ahead = 0, 1, MAX_READ_AHEAD
        self.workload_names = {workload: name for name, workload in workloads.items()}
        self.tenants, self.max_slashes = tenants, max(name.count(b"/") for name in workloads)
        self.clock, self.counters, self.log = clock, counters, log
        self.connections: dict[Client, None] = {}
        self.groups = GroupLookup(clock, counters)
        self.port: Any = None
        self.accept_limit_call: Any = None  # the delayed call
        self.other_descriptors: Callable[[], int] = lambda: 0
        self.fleet: Callable[[], object] | None = None
        self.pause_logged_at = float("-inf")
        self.ready = self.paused = self.ending = self.accept_ended = False
        # Linux queues one connection more than the backlog.
        self.accepting = AcceptWatch(adapter.loop, BACKLOG + 1, self.count_waiting)

    def set_limits(self, max_connections: int, accepts: int, memory_mb: float) -> None:
        """Sets the limits on connections and on accepts per round, and derives the read-ahead from memory."""
        self.max_connections, self.accepts = max_connections, accepts
        ahead = READ_AHEAD_MEMORY_SHARE * memory_mb * 1_048_576 / self.max_connections
        self.max_read_ahead = int(min(MAX_READ_AHEAD, max(MIN_READ_AHEAD, ahead)))
        if self.port is not None:
            self.schedule_accept_limit()

    def set_port(self, port: Any) -> None:
        """Sets the listening port, and makes its socket survive transient errors of accept."""
        self.port = port
        real = getattr(port, "socket", None)  # None on an in-memory transport
        if real is not None:
            port.socket = TolerantListener(real, self.counters, self.pause_after_error)

    def pause_after_error(self) -> None:
        """Pauses accepting after an error; waiting connections stay in the backlog."""
        self.accepting.record_failure()
        self.port.stopReading()
        self.adapter.reactor.callLater(ACCEPT_RETRY_DELAY, self.resume_after_error)

    def resume_after_error(self) -> None:
        """Resumes accepting, unless it is paused for another reason or has ended."""
        if not self.paused and not self.accept_ended and self.port.connected:
            self.accepting.record_resumption()
            self.port.startReading()

    def workload_of(self, path: bytes) -> int | None:
        """The index of the workload that a path names, or None.

        The name is the last segment of the path, as it is or percent-encoded. A name with slashes spans
        several segments; the longest known name wins.
        """
        if (workload := self.workloads.get(path.rpartition(b"/")[2])) is not None and not self.max_slashes:
            return workload
        parts = path.rsplit(b"/", self.max_slashes + 1)[1:]
        for first in range(len(parts)):
            name = b"/".join(parts[first:])
            for each in (name, unquote_to_bytes(name)):
                if each in self.workloads:
                    return self.workloads[each]
        return None

    def buildProtocol(self, addr: Any) -> Client:
        """The protocol of a connection that was accepted."""
        return Client(self)

    def count_waiting(self) -> int | None:
        """How many connections wait in the accept queue; None if the system does not report it."""
        return count_waiting_connections(getattr(self.port, "socket", None))

    def record_accept(self) -> Unpolled:
        """Records an accept; returns since when the connection may have been waiting."""
        return self.accepting.record_accept(getattr(self.port, "numberAccepts", 0))

    def connection_opened(self, client: Client) -> None:
        """Registers a new connection."""
        self.connections[client] = None
        self.counters.add("client_connections")
        self.counters.record_max("most_client_connections", len(self.connections))
        self.schedule_accept_limit()

    def connection_closed(self, client: Client) -> None:
        """Removes a connection; its descriptor may be used by one that waits."""
        self.connections.pop(client, None)
        if self.paused:
            self.schedule_accept_limit()

    def request_ended(self) -> None:
        """A connection may have become idle; if others wait for a descriptor, it may be evicted."""
        if self.paused:
            self.schedule_accept_limit()

    def schedule_accept_limit(self) -> None:
        """Schedules `update_accept_limit` for the next round of the loop, once for all changes in this."""
        self.schedule_accept_limit_within(0.0)

    def schedule_accept_limit_within(self, seconds: float) -> None:
        """Schedules `update_accept_limit` within this time, unless it is due earlier already."""
        reactor = self.adapter.reactor
        if self.accept_limit_call is None:
            self.accept_limit_call = reactor.callLater(seconds, self.update_accept_limit)
        elif self.accept_limit_call.getTime() > reactor.seconds() + seconds:
            self.accept_limit_call.reset(seconds)

    def update_accept_limit(self) -> None:
        """Evicts connections to keep slots free for the next round, and limits accepts to the free slots.

        Otherwise Twisted accepts more and more per round; once descriptors run out, it accepts and closes all
        connections of the backlog unread, with whole requests among them.
        """
        self.accept_limit_call = None
        self.record_descriptors()
        excess = len(self.connections) + self.accepts - self.max_connections
        if excess > 0 and self.evict_idle(excess) < excess:
            # Connections too new to be evicted now can be evicted by then.
            self.schedule_accept_limit_within(MIN_AGE / 1000)
        self.apply_accept_limit()

    def evict_idle(self, count: int = 1) -> int:
        """Evicts at most `count` connections; returns how many were closed."""
        evicted = evict(self.connections, count, self.clock())
        self.counters.add("clients_evicted", evicted)
        return evicted

    def record_descriptors(self) -> None:
        """Updates the high-water mark of open descriptors."""
        self.counters.record_max("most_descriptors", len(self.connections) + self.other_descriptors())

    def apply_accept_limit(self) -> None:
        """Sets how many connections the next round accepts; pauses accepting if no slot is free."""
        free_slots = self.max_connections - len(self.connections)
        if self.accept_ended or self.port is None:
            return
        if free_slots > 0:
            self.port.numberAccepts = min(free_slots, self.accepts)
            if self.paused:
                self.paused = False
                self.accepting.record_resumption()
                self.port.startReading()
        elif not self.paused:
            self.pause_accepting()

    def pause_accepting(self) -> None:
        """Stops reading the listener, so that new connections wait in the backlog."""
        self.paused = True
        self.port.stopReading()
        self.counters.add("accept_paused")
        now = self.clock()
        if now - self.pause_logged_at >= LOG_INTERVAL:
            self.pause_logged_at = now
            self.log.warning("accept_paused", extra={"figures": {"connections": len(self.connections)}})

    def drain(self, host: str) -> None:
        """Closes the connections to an address that is no longer held here, after their open requests."""
        for client in list(self.connections):
            if client.transport.getHost().host == host:
                client.close_after_open_request()

    def close_idle(self) -> bool:
        """Closes connections without an open request.

        Returns:
            Whether connections remain.
        """
        for client in list(self.connections):
            client.close_if_idle()
        return bool(self.connections)

    def stop_accepting(self) -> bool:
        """Accepts the connections in the backlog, then closes the port.

        Closing a port resets the connections in its backlog, with whole requests among them. So it stays open
        while accept fails.

        Returns:
            Whether there may be connections that were not handled yet.
        """
        if self.accept_ended:
            return False
        self.drain_backlog()
        if has_waiting_connections(self.port):
            self.counters.add("accept_failed_at_exit")
            return True
        self.accept_ended = True
        self.adapter.reactor.callLater(0, self.drain_backlog)  # runs just before the port is closed
        self.port.stopListening()
        return True

    def drain_backlog(self) -> None:
        """Accepts until the backlog is empty or no slot is free."""
        accepted_before = self.counters.sums["client_connections"]
        for _ in range(MAX_ACCEPT_ROUNDS if self.port.connected else 0):
            if (free_slots := self.max_connections - len(self.connections)) <= 0:
                break
            self.port.numberAccepts = free_slots
            self.port.doRead()
            if accepted_before == (accepted_before := self.counters.sums["client_connections"]):
                break
        self.apply_accept_limit()  # else Twisted accepts up to 20 more in the same round

    def sweep(self) -> None:
        """Closes the connections whose timeout has passed."""
        self.record_descriptors()
        now = self.clock()
        for client in list(self.connections):
            if client.timed_out(now):
                self.counters.add("client_timed_out")
                client.expire()
        if self.paused:
            self.schedule_accept_limit()
