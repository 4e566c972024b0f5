"""A name server on a real socket that answers according to a script."""

import struct
import threading
import time
from collections import deque
from contextlib import suppress
from enum import Enum
from typing import NamedTuple

from spurdeal.lab import name_server
from tests.stepped_clock import NameService

SERVER_FAILURE = 0x8182  # flags of a response: SERVFAIL
WRONG_ID_BITS = 0x55  # flipped in the low byte of a query id
TRUNCATED_SIZE = 48  # bytes of a truncated response


class Delivery(Enum):
    """What happens to a response."""

    SENT = "it arrives"
    LOST = "it is sent and does not arrive"
    SERVER_FAILURE = "it reports a server failure and holds no list"
    TRUNCATED = "it is sent, and arrives truncated"
    WRONG_ID = "it is sent with the id of another query"
    OLD = "it holds the list before the newest"
    FIRST = "it holds the first list"
    SILENT = "none is sent"
    OPEN_ID = "it arrives, with the wrong id of an older unanswered query as soon as there is one"
    DRAIN = "no response: the drain of the first server starts here"


ANNOUNCING = {Delivery.SENT, Delivery.LOST, Delivery.TRUNCATED, Delivery.WRONG_ID, Delivery.OPEN_ID}


class Step(NamedTuple):
    """A step of the script: a number of responses, or all responses of a period.

    Attributes:
        delivery: What happens to each response.
        times: Number of responses, if `seconds` is 0.
        seconds: Duration of the step from its first query on.
        delay: Network delay of each response, in seconds.
    """

    delivery: Delivery
    times: int = 1
    seconds: float = 0.0
    delay: float = 0.0


class HandledQuery(NamedTuple):
    """A query, when it arrived, and what happened to its response."""

    at: float
    ident: int
    delivery: Delivery


class ScriptedNameService(NameService):
    """Answers according to the steps of a script, and afterwards each query at once.

    Attributes:
        drain_announced_at: When the first response with the drain was sent, whether or not it arrived.
        draining_from: Serial number of the list with the drain.
        handled_queries: All queries so far.
        unanswered: Ids of the queries that the dispatcher still has open.
    """

    def __init__(self, host: str, port: int, endpoints: list[name_server.Endpoint]) -> None:
        self.steps, self.step_since, self.step_used = deque[Step](), 0.0, 0
        self.script_lock = threading.Lock()
        self.drain_announced_at: float | None = None
        self.draining_from: int | None = None
        self.lists = {1: list(endpoints)}
        self.handled_queries = list[HandledQuery]()
        self.unanswered = set[int]()
        super().__init__(host, port, endpoints)

    def play(self, *steps: Step) -> None:
        """Starts a script with the next query."""
        with self.script_lock:
            self.steps, self.step_since, self.step_used = deque(steps), 0.0, 0

    def begin_drain(self) -> None:
        """Starts the drain of the first server, in a new list."""
        self.drain("s-0")
        self.lists[self.serial] = list(self.endpoints)
        self.draining_from = self.serial

    def next_step(self, now: float, ident: int) -> Step:
        """Returns the step that applies to the query just received."""
        while self.steps:
            step = self.steps[0]
            if step.delivery is Delivery.DRAIN:
                self.begin_drain()
                self.end_step()
                continue
            if step.delivery is Delivery.OPEN_ID and ident ^ WRONG_ID_BITS not in self.unanswered:
                return Step(Delivery.SENT)
            self.step_since = self.step_since or now
            over = now >= self.step_since + step.seconds if step.seconds else self.step_used >= step.times
            if not over:
                self.step_used += 1
                return step
            self.end_step()
        return Step(Delivery.SENT)

    def end_step(self) -> None:
        """Continues with the next step."""
        self.steps.popleft()
        self.step_since, self.step_used = 0.0, 0

    def serve(self) -> None:
        """Answers queries until the server is closed."""
        while not self.closed:
            with suppress(TimeoutError):
                query, client_address = self.socket.recvfrom(512)
                now, ident = time.monotonic(), int.from_bytes(query[:2], "big")
                self.query_times.append(now)
                with self.script_lock:
                    step = self.next_step(now, ident)
                self.handled_queries.append(HandledQuery(now, ident, step.delivery))
                self.respond(step, query, client_address)
        self.socket.close()

    def respond(self, step: Step, query: bytes, client_address: tuple[str, int]) -> None:
        """Handles the response to one query as the step says."""
        if step.delivery in (Delivery.SILENT, Delivery.LOST):
            self.unanswered.add(int.from_bytes(query[:2], "big"))
        if step.delivery is Delivery.SILENT:
            return
        serial = {Delivery.OLD: max(1, self.serial - 1), Delivery.FIRST: 1}.get(step.delivery, self.serial)
        self.note_announcement(step.delivery, serial)
        response = self.message(step.delivery, query, serial)
        if step.delivery is Delivery.LOST:
            return
        if step.delay:
            threading.Timer(step.delay, self.deliver, (response, client_address)).start()
        else:
            self.socket.sendto(response, client_address)

    def note_announcement(self, delivery: Delivery, serial: int) -> None:
        """Records when the first response with the drain was sent."""
        holds = self.draining_from is not None and serial >= self.draining_from
        if self.drain_announced_at is None and holds and delivery in ANNOUNCING:
            self.drain_announced_at = time.monotonic()

    def message(self, delivery: Delivery, query: bytes, serial: int) -> bytes:
        """Encodes a response."""
        if delivery is Delivery.SERVER_FAILURE:
            return query[:2] + struct.pack("!5H", SERVER_FAILURE, 1, 0, 0, 0) + query[12:]
        response = name_server.answer(query, serial, *(endpoint.record() for endpoint in self.lists[serial]))
        if delivery in (Delivery.WRONG_ID, Delivery.OPEN_ID):
            return response[:1] + bytes([response[1] ^ WRONG_ID_BITS]) + response[2:]
        return response[:TRUNCATED_SIZE] if delivery is Delivery.TRUNCATED else response

    def deliver(self, response: bytes, client_address: tuple[str, int]) -> None:
        """Sends a delayed response."""
        with suppress(OSError):  # the test is over
            self.socket.sendto(response, client_address)
