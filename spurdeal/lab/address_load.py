"""An open-loop load generator for an address that moves between dispatchers; it counts the answers."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure

from .emulated_links import HostPort, Switch

RETRY_DELAY = 20.0  # ms until a request without a connection is tried again
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
    """One request of a client; times in ms.

    Attributes:
        sent_to: The dispatchers that were sent the whole request, in order.
        answers: The statuses it got; 0 for bytes beyond an answer.
        unanswered: The dispatchers whose connection ended, or did not answer in time.
        finished: Whether it is not sent again.
    """

    ident: str
    non_idempotent: bool
    cost: float
    began: float
    deadline: float
    sent_to: list[HostPort] = field(default_factory=list)
    answers: list[int] = field(default_factory=list)
    unanswered: list[HostPort] = field(default_factory=list)
    finished: bool = False


class OpenLoopLoad:
    """Sends requests at a rate; one whose connection failed is sent again with the same id.

    Attributes:
        non_idempotent: The share of non-idempotent requests, which cost four times as much.
        cost: Of an idempotent request on average, in ms of work.
    """

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
        """Start sending."""
        self.running = True
        self.send_next()

    def send_next(self) -> None:
        """Send a new request and schedule the one after it, with exponential gaps."""
        if self.running:
            self.reactor.callLater(self.chance.expovariate(self.rate), self.send_next)
            non_idempotent = self.chance.random() < self.non_idempotent
            cost = self.cost * (4.0 if non_idempotent else 1.0) * self.chance.uniform(0.5, 1.5)
            now = self.clock()
            request = ClientRequest(
                f"{self.chance.getrandbits(64):016x}", non_idempotent, cost, now, now + self.wait
            )
            self.requests.append(request)
            self.send(request)

    def send(self, request: ClientRequest) -> None:
        """Send to the holder of the address, or try later if there is none."""
        now = self.clock()
        if request.finished:
            return
        if now >= request.deadline - 1 or len(request.sent_to) >= MAX_SENDS:
            request.finished = True
            return
        place = self.switch.table.get(self.address)
        if place is None:
            self.reactor.callLater(RETRY_DELAY / 1000, self.send, request)
            return
        self.reactor.connectTCP(*place, ConnectionFactory(self, request, place), timeout=0.2)

    def on_connection_lost(self, request: ClientRequest, place: HostPort, sent: bool) -> None:
        """A connection failed, before or after the request was `sent`: try again after a delay."""
        if sent:
            request.unanswered.append(place)
        self.reactor.callLater(RETRY_DELAY / 1000, self.send, request)

    def counts(self, in_outage: Callable[[HostPort, ClientRequest], bool]) -> dict[str, int]:
        """The counts of all requests.

        Args:
            in_outage: Whether the dispatcher was killed or paused while the request was open; its answer
                is then not counted as missing.
        """
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
    """Connects to a dispatcher for one attempt of a request."""

    noisy = False

    def __init__(self, load: OpenLoopLoad, request: ClientRequest, place: HostPort) -> None:
        self.load, self.request, self.place = load, request, place

    def buildProtocol(self, addr: Any) -> ClientConnection:
        """The connection that sends the request."""
        return ClientConnection(self.load, self.request, self.place)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        """Report that nothing was sent."""
        self.load.on_connection_lost(self.request, self.place, sent=False)


class ClientConnection(Protocol):
    """One attempt of a request, on a connection of its own."""

    transport: Any

    def __init__(self, load: OpenLoopLoad, request: ClientRequest, place: HostPort) -> None:
        self.load, self.request, self.place = load, request, place
        self.received, self.done = b"", False
        self.timer: Any = None

    def connectionMade(self) -> None:
        """Send the request and start its timeout."""
        load, request = self.load, self.request
        left = request.deadline - load.clock()
        workload = "load" if request.non_idempotent else "lookup"
        body = f"SELECT a FROM s_1.t /* cost={request.cost:.2f} */"
        self.transport.setTcpNoDelay(True)
        self.transport.write(
            f"POST /ops/{workload} HTTP/1.1\r\nHost: front\r\nReq-Id: {request.ident}\r\n"
            f"Req-Wait-Ms: {max(1.0, left):.0f}\r\nReq-Cost: {request.cost:.2f}\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n{body}".encode()
        )
        request.sent_to.append(self.place)
        load.connections.add(self)
        self.timer = load.reactor.callLater(max(0.0, left + 50) / 1000, self.on_timeout)

    def on_timeout(self) -> None:
        """Give up a request that has no answer 50 ms after its deadline."""
        if not self.done:
            self.done = self.request.finished = True
            self.request.unanswered.append(self.place)
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        """Record the answer once it is complete."""
        self.received += data
        head, separator, body = self.received.partition(b"\r\n\r\n")
        if not separator:
            return
        size = next(int(line.split(b":")[1]) for line in head.split(b"\r\n") if line.startswith(b"Content-L"))
        if len(body) >= size and not self.done:
            self.done = self.request.finished = True
            self.request.answers.append(int(head.split()[1]))
            if len(body) > size:
                self.request.answers.append(0)  # bytes beyond one answer

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Report a connection that ended without a complete answer."""
        self.load.connections.discard(self)
        if self.timer.active():
            self.timer.cancel()
        if not self.done:
            self.done = True
            self.load.on_connection_lost(self.request, self.place, sent=True)
