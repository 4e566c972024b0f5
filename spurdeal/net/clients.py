"""Clients: HTTP/1.1 calls taken, and answers written."""

from __future__ import annotations

import json
import logging
import re
from collections.abc import Callable, Mapping
from typing import Any

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Protocol, ServerFactory, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from .counters import Counters
from .http import BadMessage, RequestParser, response
from .link import Answer, BrokenOff, Delivered, Shed, SocketLink
from .statement import group_of

IDENT = re.compile(rb"[0-9a-fA-F]{16}")
NUMBER = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,12})?")
LEAST_AHEAD, MOST_AHEAD = 16_384, 131_072  # bytes that a client may send ahead of its answer
MEMORY_PART = 0.25  # of the memory, for what clients send ahead
LONGEST_SILENT, LONGEST_UNFINISHED = 2000.0, 2000.0  # ms; one who never says all is owed an end within 3 s
LONGEST_IDLE, LONGEST_UNREAD = 5000.0, 10_000.0  # ms; clients close after 4 s, but some keep theirs for good


def number(fields: Mapping[bytes, memoryview], name: bytes, default: float | None = None) -> float:
    if name not in fields and default is not None:
        return default
    text = fields.get(name, b"")
    if not NUMBER.fullmatch(text):
        raise BadMessage(400, f"{name.decode()} is missing or no number")
    return float(text)


def rows_of(pages: tuple[bytes, ...]) -> list[list[str]]:
    text = b"".join(pages).decode("utf-8")
    return [row.split("\t") for row in text.split("\n")[:-1]]


@implementer(IPushProducer)
class Client(Protocol):
    """One client's connection: one call at a time, each with one answer."""

    transport: Any

    def __init__(self, clients: Clients) -> None:
        self.clients, self.parser = clients, RequestParser()
        self.call: Deferred[Answer] | None = None
        self.closing = self.clogged = self.brought = self.leaving = False
        self.since = clients.clock()

    # Twisted's calls.

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.clients.came(self)

    def dataReceived(self, data: bytes) -> None:
        if self.closing:
            return
        if not self.parser.left():
            self.since = self.clients.clock()
        self.parser.feed(data)
        if self.call is not None and self.parser.left() > self.clients.ahead:
            self.clients.counters.add("client_ran_ahead")
            self.transport.abortConnection()
            return
        self.advance()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.closing = True
        call, self.call = self.call, None
        if call is not None:
            call.cancel()
        self.clients.went(self)

    def pauseProducing(self) -> None:
        """Its answers go unread: nothing more is taken from it until they are."""
        self.clogged, self.since = True, self.clients.clock()
        self.transport.pauseProducing()

    def resumeProducing(self) -> None:
        self.clogged = False
        self.transport.resumeProducing()
        self.advance()

    def stopProducing(self) -> None:
        self.closing = True

    # Calls and answers.

    def advance(self) -> None:
        while self.call is None and not self.closing and not self.clogged:
            try:
                taken = self.parser.take()
                if taken is None:
                    return
                self.since = self.clients.clock()
                self.handle(*taken)
            except BadMessage as fault:
                self.clients.counters.add("client_bad_messages")
                self.answer(fault.status, {"fault": str(fault)}, False)

    def handle(self, method: bytes, target: bytes, fields: dict[bytes, memoryview], body: memoryview,
               keep: bool) -> None:
        last = target.partition(b"?")[0].rpartition(b"/")[2]
        if method == b"POST":
            self.submit(last, fields, body, keep)
        elif method == b"DELETE":
            found = self.clients.link.withdraw(last)
            self.answer(200 if found else 404, {}, keep)
        elif method == b"GET" and last == b"alive":
            self.answer(200 if self.clients.ready else 503, {}, keep)
        elif method == b"GET" and last == b"counters":
            self.answer(200, self.clients.counters.figures(), keep)
        elif method == b"GET" and last == b"fleet" and self.clients.fleet is not None:
            self.answer(200, self.clients.fleet(), keep)
        else:
            self.answer(404 if method == b"GET" else 405, {"fault": "NotKnown"}, keep)

    def submit(self, workload: bytes, fields: dict[bytes, memoryview], body: memoryview, keep: bool) -> None:
        kind = self.clients.workloads.get(workload)
        if kind is None:
            raise BadMessage(404, "the workload is not known")
        ident, wait = bytes(fields.get(b"req-id", b"")), number(fields, b"req-wait-ms")
        cost, memory = number(fields, b"req-cost", 0.0), number(fields, b"x-est-mb", 0.0)
        if not IDENT.fullmatch(ident) or wait <= 0:
            raise BadMessage(400, "req-id or req-wait-ms cannot be used")
        statement = bytes(body)  # outlives the buffer: further trips may need it
        call = self.clients.link.take(ident, workload, kind, wait, cost, memory, group_of(statement),
                                      statement)
        if call is None:
            raise BadMessage(400, "a submission with this id is open")
        self.call, self.brought = call, True
        call.addCallbacks(self.concluded, self.withdrawn, (keep,))

    def leave(self) -> None:
        """Its address is held elsewhere now: what is open is answered, and nothing more is taken."""
        self.leaving = True
        if self.is_idle():
            self.close()

    def concluded(self, answer: Answer, keep: bool) -> None:
        if not self.clients.counters.must(self.call is not None and not self.closing, "answer_to_a_call"):
            return
        self.call, keep = None, keep and not self.leaving
        match answer:
            case Delivered(pages):
                self.answer(200, {"result": rows_of(pages)}, keep)
            case Shed(come_back):
                wait = (("Srv-Wait-Ms", f"{come_back:.0f}"),) if come_back > 0 else ()
                self.answer(503, {"fault": "TryLater"}, keep, wait)
            case BrokenOff():
                self.answer(500, {"fault": "Aborted"}, keep)
        self.advance()

    def withdrawn(self, failure: Failure) -> None:
        if not isinstance(failure.value, CancelledError):
            failure.raiseException()
        self.call = None
        if not self.closing:
            self.close()

    def answer(self, status: int, value: object, keep: bool, extra: tuple[tuple[str, str], ...] = ()) -> None:
        self.clients.counters.add(f"answers_{status}")
        self.since = self.clients.clock()
        body = json.dumps(value, ensure_ascii=False, separators=(",", ":")).encode()
        self.transport.write(response(status, body, keep, extra))
        if not keep:
            self.close()

    def close(self) -> None:
        self.closing = True
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def overstays(self, now: float) -> bool:
        """Unread answers, unfinished messages, silence and idleness each hold a descriptor for nothing."""
        if self.call is not None:
            return False
        longest = LONGEST_UNREAD if self.clogged or self.closing else \
            LONGEST_UNFINISHED if self.parser.left() else LONGEST_IDLE if self.brought else LONGEST_SILENT
        return now - self.since > longest

    def let_go(self) -> None:
        """What waits for nothing is closed; what does not read is cut."""
        if self.clogged or self.closing:
            self.transport.abortConnection()
        elif self.parser.left():
            self.answer(408, {"fault": "Unfinished"}, False)
        else:
            self.close()

    def is_idle(self) -> bool:
        return self.call is None and not self.closing and not self.clogged and not self.parser.left()


class Clients(ServerFactory):
    """All clients' connections, within a bound on their number."""

    noisy = False

    def __init__(self, link: SocketLink, workloads: Mapping[bytes, int], clock: Callable[[], float],
                 counters: Counters, log: logging.Logger) -> None:
        self.link, self.workloads, self.most, self.ahead = link, workloads, 0, MOST_AHEAD
        self.clock, self.counters, self.log = clock, counters, log
        self.connections: dict[Client, None] = {}
        self.port: Any = None
        self.fleet: Callable[[], object] | None = None  # what is known of the fleet, where there is one
        self.ready = self.full = False

    def bound(self, most: int, memory_mb: float) -> None:
        self.most = max(8, most)
        ahead = MEMORY_PART * memory_mb * 1_048_576 / self.most
        self.ahead = int(min(MOST_AHEAD, max(LEAST_AHEAD, ahead)))

    def buildProtocol(self, addr: Any) -> Client:
        return Client(self)

    def came(self, client: Client) -> None:
        self.connections[client] = None
        self.counters.add("client_connections")
        self.counters.most("most_client_connections", len(self.connections))
        if len(self.connections) >= self.most and not self.make_room(client) and not self.full:
            self.full = True  # further ones wait at the machine's door
            self.counters.add("door_closed")
            self.log.warning("door_closed", extra={"figures": {"connections": len(self.connections)}})
            self.port.stopReading()

    def make_room(self, newest: Client | None = None) -> bool:
        """Closes the one idle for longest, the newest excepted; first one that has brought nothing."""
        idle = [client for client in self.connections if client.is_idle() and client is not newest]
        if idle:
            min(idle, key=lambda client: (client.brought, client.since)).close()
        return bool(idle)

    def went(self, client: Client) -> None:
        self.connections.pop(client, None)
        if self.full and len(self.connections) < self.most:
            self.full = False
            self.port.startReading()

    def drain(self, host: str) -> None:
        """Lets those go who came to an address that was left; what they have open is answered first."""
        for client in list(self.connections):
            if client.transport.getHost().host == host:
                client.leave()

    def close_idle(self) -> bool:
        """Closes what no call is open on; True while there are connections."""
        for client in list(self.connections):
            if client.is_idle():
                client.close()
        return bool(self.connections)

    def sweep(self) -> None:
        now = self.clock()
        for client in list(self.connections):
            if client.overstays(now):
                self.counters.add("client_overstayed")
                client.let_go()
        if self.full:
            self.make_room()
