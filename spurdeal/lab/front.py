"""A stand-in front: open-loop load on an address that moves, each request's answers counted."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure

from .cables import Place, Switch

AGAIN = 20.0  # ms until a front that found nobody looks again
MAX_SENDS = 400
COUNTS = (
    "submissions",
    "answers_missing",
    "answers_double",
    "held_by_killed",
    "delivered",
    "shed",
    "broken_off",
    "irreversible_sent",
    "never_answered",
)


@dataclass(slots=True)
class ClientRequest:
    """One request, from its first byte to the end of its time."""

    ident: str
    non_idempotent: bool
    cost: float
    began: float
    deadline: float
    sent_to: list[Place] = field(default_factory=list)  # who had it whole, in order
    answers: list[int] = field(default_factory=list)
    unanswered: list[Place] = field(default_factory=list)  # whose connection ended, or time ran out, first
    over: bool = False


class OpenLoopLoad:
    """Sends at a rate, and the same request with the same id again where its connection was lost."""

    def __init__(
        self,
        reactor: Any,
        clock: Callable[[], float],
        switch: Switch,
        address: str,
        seed: int,
        rate: float,
        wait: float,
        non_idempotent: float,
        cost: float,
    ) -> None:
        self.reactor, self.clock, self.switch, self.address = reactor, clock, switch, address
        self.chance, self.rate, self.wait = random.Random(seed), rate, wait
        self.non_idempotent, self.cost, self.running = non_idempotent, cost, False
        self.requests: list[ClientRequest] = []
        self.connections: set[ClientConnection] = set()

    def start(self) -> None:
        self.running = True
        self.next()

    def next(self) -> None:
        if self.running:
            self.reactor.callLater(self.chance.expovariate(self.rate), self.next)
            heavy = self.chance.random() < self.non_idempotent
            cost = self.cost * (4.0 if heavy else 1.0) * self.chance.uniform(0.5, 1.5)
            now = self.clock()
            request = ClientRequest(f"{self.chance.getrandbits(64):016x}", heavy, cost, now, now + self.wait)
            self.requests.append(request)
            self.send(request)

    def send(self, request: ClientRequest) -> None:
        now = self.clock()
        if request.over:
            return
        if now >= request.deadline - 1 or len(request.sent_to) >= MAX_SENDS:
            request.over = True
            return
        place = self.switch.table.get(self.address)
        if place is None:
            self.reactor.callLater(AGAIN / 1000, self.send, request)
            return
        self.reactor.connectTCP(*place, ConnectionFactory(self, request, place), timeout=0.2)

    def lost(self, request: ClientRequest, place: Place, sent: bool) -> None:
        if sent:
            request.unanswered.append(place)
        self.reactor.callLater(AGAIN / 1000, self.send, request)

    def counts(self, in_outage: Callable[[Place, ClientRequest], bool]) -> dict[str, int]:
        """excused: whoever had it was killed or stood still meanwhile, and its client may ask again."""
        counts: Counter[str] = Counter(dict.fromkeys(COUNTS, 0) | {"submissions": len(self.requests)})
        for request in self.requests:
            statuses = request.answers
            counts["answers_double"] += max(0, len(statuses) - 1)
            for place in request.unanswered:
                counts["held_by_killed" if in_outage(place, request) else "answers_missing"] += 1
            counts["delivered"] += 200 in statuses
            counts["shed"] += 503 in statuses
            counts["broken_off"] += 500 in statuses
            counts["irreversible_sent"] += request.non_idempotent
            counts["never_answered"] += not statuses
        return dict(counts)


class ConnectionFactory(ClientFactory):
    noisy = False

    def __init__(self, front: OpenLoopLoad, request: ClientRequest, place: Place) -> None:
        self.front, self.request, self.place = front, request, place

    def buildProtocol(self, addr: Any) -> ClientConnection:
        return ClientConnection(self.front, self.request, self.place)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self.front.lost(self.request, self.place, sent=False)


class ClientConnection(Protocol):
    """One call on one connection."""

    transport: Any

    def __init__(self, front: OpenLoopLoad, request: ClientRequest, place: Place) -> None:
        self.front, self.request, self.place = front, request, place
        self.text, self.done = b"", False
        self.timer: Any = None

    def connectionMade(self) -> None:
        front, request = self.front, self.request
        left = request.deadline - front.clock()
        workload = "load" if request.non_idempotent else "lookup"
        body = f"SELECT a FROM s_1.t /* cost={request.cost:.2f} */"
        self.transport.setTcpNoDelay(True)
        self.transport.write(
            f"POST /ops/{workload} HTTP/1.1\r\nHost: front\r\nReq-Id: {request.ident}\r\n"
            f"Req-Wait-Ms: {max(1.0, left):.0f}\r\nReq-Cost: {request.cost:.2f}\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n{body}".encode()
        )
        request.sent_to.append(self.place)
        front.connections.add(self)
        self.timer = front.reactor.callLater(max(0.0, left + 50) / 1000, self.out_of_time)

    def out_of_time(self) -> None:
        if not self.done:
            self.done = self.request.over = True
            self.request.unanswered.append(self.place)
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        self.text += data
        head, mark, body = self.text.partition(b"\r\n\r\n")
        if not mark:
            return
        size = next(int(line.split(b":")[1]) for line in head.split(b"\r\n") if line.startswith(b"Content-L"))
        if len(body) >= size and not self.done:
            self.done = self.request.over = True
            self.request.answers.append(int(head.split()[1]))
            if len(body) > size:
                self.request.answers.append(0)  # bytes beyond one answer

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.front.connections.discard(self)
        if self.timer.active():
            self.timer.cancel()
        if not self.done:
            self.done = True
            self.front.lost(self.request, self.place, sent=True)
