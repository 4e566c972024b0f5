"""All clients' connections: accepted within a bound on their number, swept, and let go at the end."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from typing import Any
from urllib.parse import unquote_to_bytes

from twisted.internet.protocol import ServerFactory

from .client import Client
from .counters import Counters
from .link import SocketLink
from .watch import AcceptWatch, Unpolled

LEAST_AHEAD, MOST_AHEAD = 16_384, 131_072  # bytes that a client may send ahead of its answer
MEMORY_PART = 0.25  # of the memory, for what clients send ahead
MOST_WAITING = 4096  # connections taken in at the end, at most: four times what may wait at the door


class Clients(ServerFactory):
    """All clients' connections, within a bound on their number."""

    noisy = False

    def __init__(
        self,
        link: SocketLink,
        workloads: Mapping[bytes, int],
        customers: Mapping[bytes, int],
        clock: Callable[[], float],
        counters: Counters,
        log: logging.Logger,
    ) -> None:
        self.link, self.workloads, self.most, self.ahead = link, workloads, 0, MOST_AHEAD
        self.names = {kind: name for name, kind in workloads.items()}
        self.customers, self.slashes = customers, max(name.count(b"/") for name in workloads)
        self.clock, self.counters, self.log = clock, counters, log
        self.connections: dict[Client, None] = {}
        self.port: Any = None
        self.fleet: Callable[[], object] | None = None  # what is known of the fleet, where there is one
        self.ready = self.paused = self.ending = self.accept_ended = False
        self.accepting = AcceptWatch(link.loop)

    def bound(self, most: int, memory_mb: float) -> None:
        self.most = max(8, most)
        ahead = MEMORY_PART * memory_mb * 1_048_576 / self.most
        self.ahead = int(min(MOST_AHEAD, max(LEAST_AHEAD, ahead)))

    def workload_of(self, path: bytes) -> int | None:
        """The last part of a path names it, as it is or escaped; a name with slashes is several parts,
        and the longest that is known counts."""
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

    def accepted(self) -> Unpolled:
        return self.accepting.accepted(getattr(self.port, "numberAccepts", 0))

    def came(self, client: Client) -> None:
        self.connections[client] = None
        self.counters.add("client_connections")
        self.counters.most("most_client_connections", len(self.connections))
        if (
            len(self.connections) >= self.most
            and not self.evict_idle(client)
            and not self.paused
            and not self.accept_ended
        ):
            self.paused = True  # further ones wait at the machine's door
            self.counters.add("accept_paused")
            self.log.warning("accept_paused", extra={"figures": {"connections": len(self.connections)}})
            self.port.stopReading()

    def evict_idle(self, newest: Client | None = None) -> bool:
        """Lets go of one that lingers, else closes the one idle for longest, the newest excepted; first one
        that has brought nothing."""
        waiting = [
            client
            for client in self.connections
            if client is not newest and (client.written or client.is_idle())
        ]
        for client in sorted(waiting, key=lambda client: (not client.written, client.brought, client.since)):
            if client.written:
                client.expire()
                return True
            if client.close_if_idle():
                return True
        return False

    def went(self, client: Client) -> None:
        self.connections.pop(client, None)
        if self.paused and len(self.connections) < self.most and not self.accept_ended:
            self.paused = False
            self.accepting.resumed()
            self.port.startReading()

    def drain(self, host: str) -> None:
        """Lets those go who came to an address that was left; what they have open is answered first."""
        for client in list(self.connections):
            if client.transport.getHost().host == host:
                client.leave()

    def close_idle(self) -> bool:
        """Closes what no call is open on; True while there are connections."""
        for client in list(self.connections):
            client.close_if_idle()
        return bool(self.connections)

    def stop_accepting(self) -> bool:
        """The end: whoever the machine has let in by then is taken in, and nobody after; True at the first.

        Closed over connections that wait there, it would reset them, and whole calls with them."""
        first, self.accept_ended = not self.accept_ended, True
        if first:
            self.drain_backlog()
            self.link.reactor.callLater(0, self.drain_backlog)  # just before the port's own end
            self.port.stopListening()
        return first

    def drain_backlog(self) -> None:
        came = self.counters.sums["client_connections"]
        for _ in range(MOST_WAITING if self.port.connected else 0):
            self.port.doRead()
            if came == (came := self.counters.sums["client_connections"]):
                break

    def sweep(self) -> None:
        now = self.clock()
        for client in list(self.connections):
            if client.timed_out(now):
                self.counters.add("client_timed_out")
                client.expire()
        if self.paused:
            self.evict_idle()
