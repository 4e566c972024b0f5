"""All clients' connections: accepted within a bound on their number, swept, and closed at the end."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from typing import Any
from urllib.parse import unquote_to_bytes

from twisted.internet.protocol import ServerFactory

from .client import Client
from .counters import Counters
from .eviction import LEAST_AGE, evict
from .link import SocketAdapter
from .patient_socket import ACCEPT_AGAIN, PatientListener
from .pending import count_waiting_connections, has_waiting_connections
from .watch import AcceptWatch, Unpolled

# Connections that may wait to be accepted. Past it the system drops a first packet, sent again after 1 s.
BACKLOG = 4096
LEAST_AHEAD, MOST_AHEAD = 16_384, 131_072  # bytes that a client may send ahead of its answer
MEMORY_PART = 0.25  # of the memory, for what clients send ahead
MOST_WAITING = BACKLOG  # rounds of accepting at the end, at most: as many as the backlog holds connections
LEAST_BETWEEN_LINES = 1000.0  # ms between two log lines of a paused accept


class Clients(ServerFactory):
    """All clients' connections, within a bound on their number.

    Attributes:
        connections: Those open, in the order in which they came.
        most: How many there may be.
        accepts: How many are accepted in one round of the event loop, and how many eviction keeps free.
        ahead: How many bytes a client may send ahead of its answer.
        names: The workloads' names by index.
        port: The listening port, once there is one.
        held_elsewhere: How many descriptors the process holds that are not clients'.
        fleet: What is known of the fleet, where there is one.
        ready: Whether the list of the start is in force.
        paused: Whether accepting is paused; later connections wait in the backlog.
        ending: Whether the process was told to end: each answer closes its connection.
        accept_ended: Whether the port was closed for good.
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
        self.most, self.accepts, self.ahead = 0, 1, MOST_AHEAD
        self.names = {kind: name for name, kind in workloads.items()}
        self.tenants, self.slashes = tenants, max(name.count(b"/") for name in workloads)
        self.clock, self.counters, self.log = clock, counters, log
        self.connections: dict[Client, None] = {}
        self.port: Any = None
        self.settling: Any = None  # the delayed call
        self.held_elsewhere: Callable[[], int] = lambda: 0
        self.fleet: Callable[[], object] | None = None
        self.pause_logged_at = float("-inf")
        self.ready = self.paused = self.ending = self.accept_ended = False
        self.accepting = AcceptWatch(
            adapter.loop, BACKLOG + 1, self.count_waiting
        )  # Linux lets one more wait

    def set_limits(self, most: int, accepts: int, memory_mb: float) -> None:
        """Sets how many connections there may be, how many are accepted a round, and the memory for all."""
        self.most, self.accepts = most, accepts
        ahead = MEMORY_PART * memory_mb * 1_048_576 / self.most
        self.ahead = int(min(MOST_AHEAD, max(LEAST_AHEAD, ahead)))
        if self.port is not None:
            self.settle_soon()

    def take_port(self, port: Any) -> None:
        """The listening port, whose accepts may fail for a moment."""
        self.port = port
        real = getattr(port, "socket", None)  # none on a transport in memory
        if real is not None:
            port.socket = PatientListener(real, self.counters, self.pause_after_error)

    def pause_after_error(self) -> None:
        """An accept has failed; what waits in the backlog stays there."""
        self.accepting.failed()
        self.port.stopReading()
        self.adapter.reactor.callLater(ACCEPT_AGAIN, self.resume_after_error)

    def resume_after_error(self) -> None:
        """Unless accepting is paused for another reason, or over."""
        if not self.paused and not self.accept_ended and self.port.connected:
            self.accepting.resumed()
            self.port.startReading()

    def workload_of(self, path: bytes) -> int | None:
        """The index of the workload that a path names, or None.

        Its last part is the name, as it is or escaped; a name with slashes is several parts, and the longest
        known counts."""
        if (kind := self.workloads.get(path.rpartition(b"/")[2])) is not None and not self.slashes:
            return kind
        parts = path.rsplit(b"/", self.slashes + 1)[1:]
        for first in range(len(parts)):
            name = b"/".join(parts[first:])
            for each in (name, unquote_to_bytes(name)):
                if each in self.workloads:
                    return self.workloads[each]
        return None

    def buildProtocol(self, addr: Any) -> Client:
        return Client(self)

    def count_waiting(self) -> int | None:
        """How many connections wait in the backlog, where the system tells."""
        return count_waiting_connections(getattr(self.port, "socket", None))

    def accepted(self) -> Unpolled:
        return self.accepting.accepted(getattr(self.port, "numberAccepts", 0))

    def came(self, client: Client) -> None:
        self.connections[client] = None
        self.counters.add("client_connections")
        self.counters.record_max("most_client_connections", len(self.connections))
        self.settle_soon()

    def went(self, client: Client) -> None:
        self.connections.pop(client, None)
        if self.paused:
            self.settle_soon()

    def call_ended(self) -> None:
        """Its connection may be idle now, and another may be waiting for a descriptor."""
        if self.paused:
            self.settle_soon()

    def settle_soon(self) -> None:
        """Once a round: connections have come or gone, so what the next round may accept has changed."""
        self.settle_within(0.0)

    def settle_within(self, seconds: float) -> None:
        """Lets `settle` run by then; it may be due earlier already."""
        reactor = self.adapter.reactor
        if self.settling is None:
            self.settling = reactor.callLater(seconds, self.settle)
        elif self.settling.getTime() > reactor.seconds() + seconds:
            self.settling.reset(seconds)

    def settle(self) -> None:
        """Keeps room for the next round's connections by eviction; accepts no more than there is room for.

        Left alone, Twisted accepts ever more a round; past the limit it closes all that wait in the backlog,
        unread, and whole calls with them."""
        self.settling = None
        self.note_descriptors()
        excess = len(self.connections) + self.accepts - self.most
        if excess > 0 and self.evict_idle(excess) < excess:
            self.settle_within(LEAST_AGE / 1000)  # what is too new to be given up will not be then
        self.admit()

    def evict_idle(self, count: int = 1) -> int:
        evicted = evict(self.connections, count, self.clock())
        self.counters.add("clients_evicted", evicted)
        return evicted

    def note_descriptors(self) -> None:
        self.counters.record_max("most_descriptors", len(self.connections) + self.held_elsewhere())

    def admit(self) -> None:
        """Sets how many connections the next round accepts; with no room, others wait in the backlog."""
        room = self.most - len(self.connections)
        if self.accept_ended or self.port is None:
            return
        if room > 0:
            self.port.numberAccepts = min(room, self.accepts)
            if self.paused:
                self.paused = False
                self.accepting.resumed()
                self.port.startReading()
        elif not self.paused:
            self.pause_accepting()

    def pause_accepting(self) -> None:
        self.paused = True
        self.port.stopReading()
        self.counters.add("accept_paused")
        now = self.clock()
        if now - self.pause_logged_at >= LEAST_BETWEEN_LINES:
            self.pause_logged_at = now
            self.log.warning("accept_paused", extra={"figures": {"connections": len(self.connections)}})

    def drain(self, host: str) -> None:
        """Closes the connections to an address that was given up, once their open calls are answered."""
        for client in list(self.connections):
            if client.transport.getHost().host == host:
                client.leave()

    def close_idle(self) -> bool:
        """Closes the connections without an open call.

        Returns:
            Whether there are connections still.
        """
        for client in list(self.connections):
            client.close_if_idle()
        return bool(self.connections)

    def stop_accepting(self) -> bool:
        """Accepts what waits in the backlog, and closes the port.

        Closing a port resets the connections that wait in its backlog, and whole calls with them. So it stays
        open while the system does not hand them over.

        Returns:
            Whether there may be connections that were not looked at yet.
        """
        if self.accept_ended:
            return False
        self.drain_backlog()
        if has_waiting_connections(self.port):
            self.counters.add("accept_failed_at_exit")
            return True
        self.accept_ended = True
        self.adapter.reactor.callLater(0, self.drain_backlog)  # just before the port's own end
        self.port.stopListening()
        return True

    def drain_backlog(self) -> None:
        """Accepts until the backlog is empty, or there is no room for more."""
        came = self.counters.sums["client_connections"]
        for _ in range(MOST_WAITING if self.port.connected else 0):
            if (room := self.most - len(self.connections)) <= 0:
                break
            self.port.numberAccepts = room
            self.port.doRead()
            if came == (came := self.counters.sums["client_connections"]):
                break
        self.admit()  # Twisted would accept 20 more than these in the same round

    def sweep(self) -> None:
        """Closes the connections that have held a descriptor for nothing for too long."""
        self.note_descriptors()
        now = self.clock()
        for client in list(self.connections):
            if client.timed_out(now):
                self.counters.add("client_timed_out")
                client.expire()
        if self.paused:
            self.settle_soon()
