"""One client's HTTP/1.1 connection: reads pipelined requests and writes their responses in order."""

from __future__ import annotations

import json
from collections import deque
from enum import Enum
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.interfaces import IHalfCloseableProtocol, IPushProducer
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from . import immediate
from .arrival_times import ArrivalTimes
from .fields import IDEMPOTENCY_KEY, IDENT, key_hash, last_segment, number_field, result_rows
from .http import BadRequest, RequestParser, response
from .link import Answer, Delivered, Failed, Shed
from .patient_socket import wrap_socket
from .pending import may_have_input
from .statement import table_group

if TYPE_CHECKING:
    from .clients import Clients

FIRST_REQUEST_TIMEOUT = 2000.0  # ms; a connection without any request must be closed within 3 s
# Of a partial request: ms between two reads of it, and from its first byte to its last.
READ_TIMEOUT, REQUEST_TIMEOUT = 2000.0, 10_000.0
# ms for keep-alive (clients close idle connections after 4 s, but some never do), and for reading responses.
IDLE_TIMEOUT, WRITE_TIMEOUT = 5000.0, 10_000.0
# Of a lingering close: ms that it takes, and bytes that are read and discarded in it.
LINGER_TIMEOUT, MAX_LINGER_BYTES = 1000.0, 262_144
MAX_READS_PER_REQUEST = 512  # consecutive reads of one call of dataReceived
MAX_EARLY_DELETES = 16  # pipelined DELETEs that are carried out while the call before them is open
MAX_REQUESTS_PER_ROUND = 16  # of one connection in one round of the event loop, for fairness


class Phase(Enum):
    """The phase of a connection's life."""

    OPEN = "requests are read"
    CLOSING = "no more requests are read; the last response is being sent"
    LINGERING = "the write side is shut down; further input is discarded"


@implementer(IPushProducer, IHalfCloseableProtocol)
class Client(Protocol):
    """A client's connection: handles one request at a time and writes one response for each.

    When the dispatcher closes it, it uses a lingering close: closing a socket with unread bytes makes the
    system send a reset, which can destroy the last response. So only the write side is shut down after that
    response, and further input is discarded until the client closes the connection.
    """

    transport: Any

    def __init__(self, clients: Clients) -> None:
        self.clients, self.parser = clients, RequestParser()
        self.call: Deferred[Answer] | None = None
        self.phase = Phase.OPEN
        self.write_blocked = False  # the client does not read responses, so nothing is read from it either
        self.has_sent_request = False  # a query that was accepted, at least once
        self.draining = False  # it is closed after its next response
        self.state_since = self.last_read = clients.clock()
        self.dropped_bytes = 0  # while lingering
        self.arrivals = ArrivalTimes(clients.adapter.loop, clients.record_accept())
        # Of each DELETE carried out ahead: the status of its response, and whether to keep the connection.
        self.early_deletes = deque[tuple[int, bool]]()
        self.next_advance: Any = None  # the delayed call
        self.in_advance = False  # guards `advance` against recursion by a request that is answered at once

    @property
    def closing(self) -> bool:
        """Whether no more requests are read from it."""
        return self.phase is not Phase.OPEN

    @property
    def lingering(self) -> bool:
        """Whether its last response was sent and its write side is shut down."""
        return self.phase is Phase.LINGERING

    # Called by Twisted.

    def connectionMade(self) -> None:
        """Registers the connection and its flow control."""
        wrap_socket(self.transport, self.clients.adapter.loop)
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.clients.connection_opened(self)

    def dataReceived(self, data: bytes) -> None:
        """Processes what was read, then reads the rest of a partial request from the socket.

        A read may return less than the socket holds. Without the further reads, the wait of the request would
        be counted only from the round of the event loop that reads the rest.
        """
        self.take_data(data)
        for _ in range(MAX_READS_PER_REQUEST):
            if self.call is not None or not self.has_partial_request():
                return
            if not (more := immediate.receive(self.transport)):
                return  # no input, or end of stream, which the transport detects itself
            self.take_data(more)

    def take_data(self, data: bytes) -> None:
        """Processes the bytes of one read."""
        if self.closing:
            self.dropped_bytes += len(data)
            if self.dropped_bytes > MAX_LINGER_BYTES:
                self.transport.abortConnection()
            return
        self.last_read = self.clients.clock()
        if not self.parser.remaining():
            self.state_since = self.last_read
        elif self.call is None and not self.is_advance_scheduled():
            self.arrivals.clear()  # a partial request: its wait counts from its last byte
        self.parser.feed(data)
        self.arrivals.add(len(data))
        if self.call is not None and self.parser.remaining() > self.clients.max_read_ahead:
            self.clients.counters.add("client_ran_ahead")
            self.withdraw()
            self.transport.abortConnection()
            return
        self.advance()

    def readConnectionLost(self) -> None:
        """Treats a half-closed connection as closed: the client has left, even if a response is pending."""
        self.withdraw()
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def writeConnectionLost(self) -> None:
        """Starts to linger: the last response was sent and the write side is shut down."""
        self.phase, self.state_since = Phase.LINGERING, self.clients.clock()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Cancels the open request and removes the connection."""
        self.withdraw()
        if self.is_advance_scheduled():
            self.next_advance.cancel()
        self.clients.connection_closed(self)

    def withdraw(self) -> None:
        """Cancels the open request: its client has left, and needs no response."""
        self.stop_requests()
        call, self.call = self.call, None
        if call is not None:
            call.cancel()

    def stop_requests(self) -> None:
        """Reads no more requests from this connection."""
        if self.phase is Phase.OPEN:
            self.phase = Phase.CLOSING

    def is_connected(self) -> bool:
        """Whether the client has not closed the connection, as far as the socket shows.

        Reads all pipelined input up to the read-ahead limit, since an end of stream may follow it.
        """
        while not self.closing:
            data = immediate.receive(self.transport)
            if data is None:
                return True
            if data:
                self.dataReceived(data)
            else:
                self.withdraw()  # the transport detects the end itself, and closes
        return False

    def pauseProducing(self) -> None:
        """Stops reading, as the client does not read its responses (write buffer full)."""
        self.write_blocked, self.state_since = True, self.clients.clock()
        self.transport.pauseProducing()

    def resumeProducing(self) -> None:
        """Reads again, as the write buffer has drained."""
        self.write_blocked, self.last_read = False, self.clients.clock()
        self.arrivals.resume(self.state_since)
        self.transport.resumeProducing()
        self.advance()

    def stopProducing(self) -> None:
        """Reads no more requests, as the transport cannot write any more."""
        self.stop_requests()

    # Requests and responses.

    def advance(self) -> None:
        """Handles all whole requests in the buffer, unless a caller up the stack does so already."""
        if not self.in_advance:
            self.in_advance = True
            try:
                self.handle_requests()
            finally:
                self.in_advance = False
            self.execute_early_deletes()

    def handle_requests(self) -> None:
        """Handles buffered requests up to MAX_REQUESTS_PER_ROUND; the others wait for the next round."""
        while self.early_deletes and self.is_free():
            status, keep_alive = self.early_deletes.popleft()
            self.respond(status, {}, keep_alive)
        handled = 0
        while self.is_free():
            if handled >= MAX_REQUESTS_PER_ROUND:
                if not self.is_advance_scheduled():
                    self.next_advance = self.clients.adapter.reactor.callLater(0, self.advance)
                return
            handled += 1
            try:
                request = self.parser.take()
                self.arrivals.forget_before(self.parser.remaining())
                if request is None:
                    return
                self.state_since = self.clients.clock()
                self.handle(*request)
            except BadRequest as error:
                self.clients.counters.add("client_bad_messages")
                self.respond(error.status, {"fault": str(error)}, False)

    def is_free(self) -> bool:
        """Whether the next request may be handled."""
        return self.call is None and not self.closing and not self.write_blocked

    def is_advance_scheduled(self) -> bool:
        """Whether buffered requests wait for the loop's next round."""
        return self.next_advance is not None and self.next_advance.active()

    def execute_early_deletes(self) -> None:
        """Carries out DELETEs that are pipelined behind an open call, as they may cancel that very call.

        Their responses are written in order, after that of the open call; if that call was cancelled, none
        is written.
        """
        while (
            self.call is not None
            and len(self.early_deletes) < MAX_EARLY_DELETES
            and self.parser.next_is(b"DELETE")
        ):
            try:
                request = self.parser.take()
            except BadRequest:
                return  # reported when its turn comes
            if request is None:
                return
            _, target, _, _, keep_alive = request
            self.early_deletes.append((self.cancel(target), keep_alive))

    def cancel(self, target: bytes) -> int:
        """Withdraws the request whose id ends the path; returns the status of the response."""
        return 200 if self.clients.adapter.withdraw(last_segment(target)) else 404

    def handle(
        self,
        method: bytes,
        target: bytes,
        fields: dict[bytes, memoryview],
        body: memoryview,
        keep_alive: bool,
    ) -> None:
        """Dispatches one whole request by method and path."""
        path, last = target.partition(b"?")[0], last_segment(target)
        if method == b"POST":
            self.open_request(path, fields, body, keep_alive)
        elif method == b"DELETE":
            self.respond(self.cancel(target), {}, keep_alive)
        elif method == b"GET" and last == b"alive":
            self.respond(200 if self.clients.ready else 503, {}, keep_alive)
        elif method == b"GET" and last == b"counters":
            self.respond(200, self.clients.counters.figures(), keep_alive)
        elif method == b"GET" and last == b"fleet" and self.clients.fleet is not None:
            self.respond(200, self.clients.fleet(), keep_alive)
        else:
            self.respond(404 if method == b"GET" else 405, {"fault": "NotKnown"}, keep_alive)

    def open_request(
        self, path: bytes, fields: dict[bytes, memoryview], body: memoryview, keep_alive: bool
    ) -> None:
        """Submits a query to the adapter; the call stays open until the adapter answers it.

        Raises:
            BadRequest: its workload, id or numbers are invalid, or a request with this id is open.
        """
        workload = self.clients.workload_of(path)
        if workload is None:
            raise BadRequest(404, "the workload is not known")
        ident, wait = bytes(fields.get(b"req-id", b"")), number_field(fields, b"req-wait-ms")
        cost, memory = number_field(fields, b"req-cost", 0.0), number_field(fields, b"x-est-mb", 0.0)
        if not IDENT.fullmatch(ident) or wait <= 0:
            raise BadRequest(400, "req-id or req-wait-ms cannot be used")
        statement = bytes(body)  # a copy that outlives the read buffer, for retries
        owner, idempotency_key = bytes(fields.get(b"req-owner", b"")), bytes(fields.get(b"req-token", b""))
        if idempotency_key and not IDEMPOTENCY_KEY.fullmatch(idempotency_key):
            raise BadRequest(400, "req-token cannot be used")
        call = self.clients.adapter.accept_request(
            ident,
            self.clients.names[workload],
            workload,
            wait - self.arrivals.waited(self.clients.clock()),
            cost,
            memory,
            table_group(statement),
            statement,
            client_connected=self.is_connected,
            tenant=self.clients.tenants.get(owner),
            key=key_hash(fields.get(b"req-key", b"")),
            idempotency_key=idempotency_key,
        )
        if call is None:
            raise BadRequest(400, "a submission with this id is open")
        self.call, self.has_sent_request = call, True
        call.addCallbacks(self.answer_received, self.request_cancelled, (keep_alive,))

    def start_draining(self) -> None:
        """Closes the connection after its open call, as another dispatcher holds its address now."""
        self.draining = True
        self.close_if_idle()

    def answer_received(self, answer: Answer, keep_alive: bool) -> None:
        """Writes the response to the open call, then handles pipelined requests."""
        if not self.clients.counters.check_invariant(
            self.call is not None and not self.closing, "answer_to_a_call"
        ):
            return
        self.call = None
        match answer:
            case Delivered(pages):
                self.respond(200, {"result": result_rows(pages)}, keep_alive)
            case Shed(retry_after):
                wait = (("Srv-Wait-Ms", f"{retry_after:.0f}"),) if retry_after > 0 else ()
                self.respond(503, {"fault": "TryLater"}, keep_alive, wait)
            case Failed():
                self.respond(500, {"fault": "Aborted"}, keep_alive)
        if self.parser.remaining() or self.early_deletes:
            self.advance()
        self.clients.call_ended()

    def request_cancelled(self, failure: Failure) -> None:
        """Closes the connection: its open call was cancelled, on this or another one, so has no response."""
        if not isinstance(failure.value, CancelledError):
            failure.raiseException()
        self.call = None
        if not self.closing:
            self.close()

    def respond(
        self, status: int, value: object, keep_alive: bool, extra: tuple[tuple[str, str], ...] = ()
    ) -> None:
        """Writes one response; closes the connection after it unless keep-alive is allowed."""
        self.clients.counters.add(f"answers_{status}")
        self.state_since, keep_alive = (
            self.clients.clock(),
            keep_alive and not self.draining and not self.clients.ending,
        )
        body = json.dumps(value, ensure_ascii=False, separators=(",", ":")).encode()
        self.transport.write(response(status, body, keep_alive, extra))
        if not keep_alive:
            self.close()

    def close(self) -> None:
        """Starts a lingering close, see the class; unsent responses are sent first."""
        self.stop_requests()
        self.state_since = self.clients.clock()
        self.arrivals.clear()
        self.transport.unregisterProducer()
        self.transport.resumeProducing()
        self.transport.loseWriteConnection()

    def close_if_idle(self) -> bool:
        """Closes the connection if it is idle and its socket holds no input; returns whether it did."""
        idle = self.is_idle() and not may_have_input(self.transport)
        if idle:
            self.close()
        return idle

    def timed_out(self, now: float) -> bool:
        """Whether the timeout of its present state has passed. No timeout applies while a call is open."""
        if self.call is not None:
            return False
        paused = self.has_partial_request() and now - max(self.last_read, self.state_since) > READ_TIMEOUT
        return paused or now - self.state_since > self.state_timeout()

    def state_timeout(self) -> float:
        """The timeout of its present state, in ms from `state_since`."""
        if self.lingering:
            return LINGER_TIMEOUT
        if self.write_blocked or self.closing:
            return WRITE_TIMEOUT
        if self.has_partial_request():
            return REQUEST_TIMEOUT
        return IDLE_TIMEOUT if self.has_sent_request else FIRST_REQUEST_TIMEOUT

    def has_partial_request(self) -> bool:
        """Whether part of a request was read and the rest is awaited."""
        return not self.write_blocked and not self.closing and self.parser.remaining() > 0

    def expire(self) -> None:
        """Closes a connection whose timeout has passed; aborts it if the client does not read.

        A partial request is left alone while its socket holds input that was not read yet, as after a pause
        of the process.
        """
        if self.has_partial_request() and may_have_input(self.transport):
            return
        self.clients.counters.add(f"client_closed_{self.state_at_close()}")
        if self.lingering:
            self.transport.loseConnection()
        elif self.write_blocked or self.closing:
            self.transport.abortConnection()
        elif self.parser.remaining():
            self.respond(408, {"fault": "Unfinished"}, False)
        else:
            self.close_if_idle()

    def state_at_close(self) -> str:
        """The state in which the dispatcher closes it, as the counters name it."""
        if self.lingering:
            return "lingering"
        if self.write_blocked or self.closing:
            return "unread"
        return "unfinished" if self.parser.remaining() else "idle"

    def reject_partial_request(self) -> None:
        """Rejects a partial request to free its descriptor; the client may try again."""
        self.clients.counters.add("unfinished_refused")
        self.respond(503, {"fault": "TryLater"}, False)

    def is_idle(self) -> bool:
        """Whether it waits for the next request, with nothing buffered."""
        return self.is_free() and not self.parser.remaining()
