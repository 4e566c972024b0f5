"""Open-loop load generator: Poisson arrivals of several request classes; each answer is recorded."""

from __future__ import annotations

import json
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, NamedTuple

from twisted.internet.interfaces import IAddress, IConnector
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure

from .demo_reactor import Reactor, Timer

MAX_OPEN = 300  # open requests above which arrivals are counted and not sent
CONNECT_TIMEOUT = 1.0  # s
ANSWER_TIMEOUT_MARGIN = 1.0  # s after its deadline until a request without an answer counts as unanswered
MAX_ANSWER_BYTES = 65_536


class RequestClass(NamedTuple):
    """One class of requests: its share of all arrivals, mean work in core-ms, and times in ms."""

    name: str
    share: float
    work: float
    objective: float
    deadline: float
    at_most_once: bool = False


class Status(StrEnum):
    """Outcome of a request as its client sees it."""

    SUCCEEDED = "succeeded"
    REJECTED = "rejected"
    FAILED = "failed"
    UNANSWERED = "unanswered"


OK = 200
STATUS_OF_CODE = {OK: Status.SUCCEEDED, 503: Status.REJECTED}  # all others: FAILED


@dataclass(slots=True)
class Request:
    """One request and its answer; times are seconds since the load started."""

    request_class: RequestClass
    ident: str
    work: float
    sent_at: float
    answered_at: float | None = None
    status: Status = Status.UNANSWERED
    answer: str = "no answer"

    def latency(self) -> float | None:
        """Returns the time from the arrival to the complete answer, in ms; None without an answer."""
        return None if self.answered_at is None else (self.answered_at - self.sent_at) * 1000

    def late(self) -> bool:
        """Tells whether the answer came after the deadline."""
        latency = self.latency()
        return latency is not None and latency > self.request_class.deadline


class LoadProfile(NamedTuple):
    """The load to generate: classes, requests per second, and the random seed."""

    classes: Sequence[RequestClass]
    rate: float
    seed: int


class LoadGenerator:
    """Sends requests at `rate` per second until stopped; arrivals and requests are drawn from the seed."""

    def __init__(
        self,
        reactor: Reactor,
        clock: Callable[[], float],
        address: tuple[str, int],
        profile: LoadProfile,
    ) -> None:
        self.reactor, self.clock, self.address = reactor, clock, address
        self.classes, self.rate, self.chance = profile.classes, profile.rate, random.Random(profile.seed)
        self.requests: list[Request] = []
        self.open = self.skipped = 0
        self.next_at = 0.0
        self.running = False

    def start(self) -> None:
        """Starts; the first arrival comes after one interval."""
        self.running = True
        self.next_at = self.clock()
        self.schedule_arrival()

    def stop(self) -> None:
        """Stops the arrivals; open requests still get their answers."""
        self.running = False

    def schedule_arrival(self) -> None:
        """Schedules the next arrival, an exponential interval after the last."""
        self.next_at += self.chance.expovariate(self.rate)
        self.reactor.callLater(max(0.0, self.next_at - self.clock()), self.arrive)

    def arrive(self) -> None:
        """Sends a request on a new connection, and schedules the next arrival."""
        if not self.running:
            return
        self.schedule_arrival()
        request = self.draw()
        if self.open >= MAX_OPEN:
            self.skipped += 1
            return
        self.requests.append(request)
        self.open += 1
        self.reactor.connectTCP(*self.address, ConnectionFactory(self, request), timeout=CONNECT_TIMEOUT)

    def draw(self) -> Request:
        """Draws a request; its work is within 50% of the mean of its class."""
        (request_class,) = self.chance.choices(self.classes, [each.share for each in self.classes])
        work = request_class.work * self.chance.uniform(0.5, 1.5)
        return Request(request_class, f"{self.chance.getrandbits(64):016x}", work, self.clock())

    def closed(self, request: Request, answer: Answer | None) -> None:
        """Records the end of a request's connection, with an answer or without."""
        self.open -= 1
        if answer is not None:
            request.answered_at = answer.received_at
            request.status = STATUS_OF_CODE.get(answer.code, Status.FAILED)
            request.answer = answer.text


class Answer(NamedTuple):
    """One HTTP answer: its status code, a description, and when it was complete."""

    code: int
    text: str
    received_at: float


def read_answer(data: bytes, now: float) -> Answer | None:
    """Parses an HTTP answer; returns None while it is incomplete."""
    head, separator, body = data.partition(b"\r\n\r\n")
    if not separator:
        return None
    status_line, *lines = head.decode("latin-1").split("\r\n")
    fields = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    if len(body) < int(fields["content-length"]):
        return None
    code = int(status_line.split()[1])
    fault = "" if code == OK else str(json.loads(body).get("fault", ""))
    return Answer(code, f"{code} {fault}".strip(), now)


class ConnectionFactory(ClientFactory):
    """Makes the connection of one request."""

    noisy = False

    def __init__(self, load: LoadGenerator, request: Request) -> None:
        self.load, self.request = load, request

    def buildProtocol(self, addr: IAddress | None) -> ClientConnection:
        """Returns the protocol of the new connection."""
        return ClientConnection(self.load, self.request)

    def clientConnectionFailed(self, connector: IConnector, reason: Failure) -> None:
        """Records that the request was not sent and has no answer."""
        self.request.answer = f"no connection: {reason.getErrorMessage()}"
        self.load.closed(self.request, None)


class ClientConnection(Protocol):
    """The connection of one request."""

    transport: Any

    def __init__(self, load: LoadGenerator, request: Request) -> None:
        self.load, self.request = load, request
        self.received = b""
        self.answer: Answer | None = None
        self.timeout: Timer | None = None

    def connectionMade(self) -> None:
        """Sends the request with its remaining time."""
        request, request_class = self.request, self.request.request_class
        left = request_class.deadline / 1000 - (self.load.clock() - request.sent_at)
        body = f"SELECT a FROM sales.orders /* cost={request.work:.2f} */"
        head = (
            f"POST /demo/{request_class.name} HTTP/1.1",
            "Host: demo",
            f"Req-Id: {request.ident}",
            f"Req-Wait-Ms: {max(1.0, left * 1000):.0f}",
            f"Req-Cost: {request.work:.2f}",
            f"Content-Length: {len(body)}",
            "Connection: close",
        )
        self.transport.setTcpNoDelay(True)
        self.transport.write("\r\n".join((*head, "", body)).encode())
        self.timeout = self.load.reactor.callLater(max(0.0, left) + ANSWER_TIMEOUT_MARGIN, self.give_up)

    def dataReceived(self, data: bytes) -> None:
        """Collects the answer, and closes the connection once it is complete."""
        self.received += data
        if self.answer is None:
            self.answer = read_answer(self.received, self.load.clock())
        if self.answer is not None:
            self.transport.loseConnection()
        elif len(self.received) > MAX_ANSWER_BYTES:
            self.give_up()

    def give_up(self) -> None:
        """Aborts the connection without an answer."""
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Reports the answer, if any."""
        if self.timeout is not None and self.timeout.active():
            self.timeout.cancel()
        self.load.closed(self.request, self.answer)
