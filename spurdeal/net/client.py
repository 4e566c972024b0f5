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

from . import immediate_io
from .arrival_times import ArrivalTimes
from .fields import IDEMPOTENCY_KEY, IDENT, key_hash, last_segment, number_field, result_rows
from .http import BadRequest, RequestParser, response
from .link import Answer, Delivered, Failed, Shed
from .socket_inspection import may_have_input
from .tolerant_socket import wrap_socket

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
MAX_EARLY_DELETES = 16  # DELETEs executed before the response of the request in front of them
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
        self.pending_answer: Deferred[Answer] | None = None
        self.phase = Phase.OPEN
        self.write_blocked = False  # the client does not read responses, so nothing is read from it either
        self.has_sent_request = False  # one with a statement that was accepted, at least once
        self.close_after_response = False  # it is closed after its next response
        self.state_since = self.last_read = clients.clock()
        self.dropped_bytes = 0  # while lingering
        self.arrivals = ArrivalTimes(clients.adapter.loop, clients.record_accept())
        # Of each DELETE executed early: the status of its response, and whether to keep the connection.
        self.early_deletes = deque[tuple[int, bool]]()
        self.scheduled_processing: Any = None  # the delayed call
        # Guards `process_buffer` against recursion by a request that is answered at once.
        self.is_processing = False

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
            if self.pending_answer is not None or not self.has_partial_request():
                return
            if not (more := immediate_io.receive(self.transport)):
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
        elif self.pending_answer is None and not self.is_processing_scheduled():
            self.arrivals.clear()  # a partial request: its wait counts from its last byte
        self.parser.feed(data)
        self.arrivals.add(len(data))
        if self.pending_answer is not None and self.parser.remaining() > self.clients.max_read_ahead:
            self.clients.counters.add("client_ran_ahead")
            self.withdraw()
            self.transport.abortConnection()
            return
        self.process_buffer()

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
        if self.is_processing_scheduled():
            self.scheduled_processing.cancel()
        self.clients.connection_closed(self)

    def withdraw(self) -> None:
        """Cancels the open request: its client has left, and needs no response."""
        self.stop_requests()
        answer, self.pending_answer = self.pending_answer, None
        if answer is not None:
            answer.cancel()

    def stop_requests(self) -> None:
        """Reads no more requests from this connection."""
        if self.phase is Phase.OPEN:
            self.phase = Phase.CLOSING

    def is_connected(self) -> bool:
        """Whether the client has not closed the connection, as far as the socket shows.

        Reads all pipelined input up to the read-ahead limit, since an end of stream may follow it.
        """
        while not self.closing:
            data = immediate_io.receive(self.transport)
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
        self.process_buffer()

    def stopProducing(self) -> None:
        """Reads no more requests, as the transport cannot write any more."""
        self.stop_requests()

    # Requests and responses.

    def process_buffer(self) -> None:
        """Handles all whole requests in the buffer, unless a caller up the stack does so already."""
        if not self.is_processing:
            self.is_processing = True
            try:
                self.handle_requests()
            finally:
                self.is_processing = False
            self.execute_early_deletes()

    def handle_requests(self) -> None:
        """Handles buffered requests up to MAX_REQUESTS_PER_ROUND; the others wait for the next round."""
        while self.early_deletes and self.is_free():
            status, keep_alive = self.early_deletes.popleft()
            self.respond(status, {}, keep_alive)
        handled = 0
        while self.is_free():
            if handled >= MAX_REQUESTS_PER_ROUND:
                if not self.is_processing_scheduled():
                    self.scheduled_processing = self.clients.adapter.reactor.callLater(0, self.process_buffer)
                return
            handled += 1
            try:
                request = self.parser.take()
                self.arrivals.forget_consumed(self.parser.remaining())
                if request is None:
                    return
                self.state_since = self.clients.clock()
                self.handle(*request)
            except BadRequest as error:
                self.clients.counters.add("client_bad_messages")
                self.respond(error.status, {"fault": str(error)}, False)

    def is_free(self) -> bool:
        """Whether the next request may be handled."""
        return self.pending_answer is None and not self.closing and not self.write_blocked

    def is_processing_scheduled(self) -> bool:
        """Whether buffered requests wait for the loop's next round."""
        return self.scheduled_processing is not None and self.scheduled_processing.active()

    def execute_early_deletes(self) -> None:
        """Executes DELETEs that are pipelined behind an open request, as they may cancel that very request.

        Their responses are written in order, after that of the open request; if that one was cancelled, none
        is written.
        """
        while (
            self.pending_answer is not None
            and len(self.early_deletes) < MAX_EARLY_DELETES
            and self.parser.next_is(b"DELETE")
        ):
            try:
                request = self.parser.take()
            except BadRequest:
                return  # reported when it is handled in order
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
        """Submits a statement to the adapter; the request stays open until the adapter answers it.

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
        answer = self.clients.adapter.accept_request(
            ident,
            self.clients.workload_names[workload],
            workload,
            wait - self.arrivals.waited(self.clients.clock()),
            cost,
            memory,
            self.clients.groups.group_of(statement),
            statement,
            client_connected=self.is_connected,
            tenant=self.clients.tenants.get(owner),
            key=key_hash(fields.get(b"req-key", b"")),
            idempotency_key=idempotency_key,
        )
        if answer is None:
            raise BadRequest(400, "a submission with this id is open")
        self.pending_answer, self.has_sent_request = answer, True
        answer.addCallbacks(self.answer_received, self.request_cancelled, (keep_alive,))

    def close_after_open_request(self) -> None:
        """Closes the connection after its open request, as another dispatcher holds its address now."""
        self.close_after_response = True
        self.close_if_idle()

    def answer_received(self, answer: Answer, keep_alive: bool) -> None:
        """Writes the response to the open request, then handles pipelined requests."""
        if not self.clients.counters.check_invariant(
            self.pending_answer is not None and not self.closing, "answer_to_a_call"
        ):
            return
        self.pending_answer = None
        match answer:
            case Delivered(pages):
                self.respond(200, {"result": result_rows(pages)}, keep_alive)
            case Shed(retry_after):
                wait = (("Srv-Wait-Ms", f"{retry_after:.0f}"),) if retry_after > 0 else ()
                self.respond(503, {"fault": "TryLater"}, keep_alive, wait)
            case Failed():
                self.respond(500, {"fault": "Aborted"}, keep_alive)
        if self.parser.remaining() or self.early_deletes:
            self.process_buffer()
        self.clients.request_ended()

    def request_cancelled(self, failure: Failure) -> None:
        """Closes the connection: its open request was cancelled by some client, and gets no response."""
        if not isinstance(failure.value, CancelledError):
            failure.raiseException()
        self.pending_answer = None
        if not self.closing:
            self.close()

    def respond(
        self, status: int, value: object, keep_alive: bool, extra: tuple[tuple[str, str], ...] = ()
    ) -> None:
        """Writes one response; closes the connection after it unless keep-alive is allowed."""
        self.clients.counters.add(f"answers_{status}")
        self.state_since, keep_alive = (
            self.clients.clock(),
            keep_alive and not self.close_after_response and not self.clients.ending,
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
        """Whether the timeout of its present state has passed. No timeout applies while a request is open."""
        if self.pending_answer is not None:
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
