"""One client's connection: HTTP/1.1 requests taken off it, and answers written."""

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
from .fields import IDEMPOTENCY_KEY, IDENT, key_of, last_part, number_field, rows_of
from .http import BadMessage, RequestParser, response
from .link import Answer, Delivered, Failed, Shed
from .patient_socket import make_patient
from .pending import may_have_come
from .statement import group_of

if TYPE_CHECKING:
    from .clients import Clients

LONGEST_SILENT = 2000.0  # ms; one who never says a word is owed an end within 3 s
LONGEST_PAUSE, LONGEST_UNFINISHED = 2000.0, 10_000.0  # ms between two pieces of one call; from first to last
LONGEST_IDLE, LONGEST_UNREAD = 5000.0, 10_000.0  # ms; clients close after 4 s, but some keep theirs for good
LONGEST_LINGER, MOST_DROPPED = 1000.0, 262_144  # ms and bytes that are read and dropped after our last answer
MOST_SHORT_READS = 512  # behind one another, for one request
MOST_CANCELLED_AHEAD = 16  # DELETEs behind an open call that are carried out before their turn
MOST_IN_A_ROW = 16  # calls that one connection may have handled before others have their turn


class Phase(Enum):
    """How far the end of a connection has come."""

    OPEN = "requests are taken"
    CLOSING = "none is taken any more; what is written last is on its way"
    LINGERING = "the write side is shut; what still comes is dropped"


@implementer(IPushProducer, IHalfCloseableProtocol)
class Client(Protocol):
    """One client's connection: one call at a time, each with one answer.

    Ours to end, it lingers: closed over unread bytes, the system would reset it, and the last answer with it.
    So its write side is shut behind that answer, and what still comes is dropped until the client ends it."""

    transport: Any

    def __init__(self, clients: Clients) -> None:
        self.clients, self.parser = clients, RequestParser()
        self.call: Deferred[Answer] | None = None
        self.phase = Phase.OPEN
        self.clogged = False  # its answers go unread, and nothing is read from it
        self.brought = False  # it has sent a request
        self.draining = False  # its next answer is its last
        self.since = self.last_read = clients.clock()
        self.dropped = 0  # bytes
        self.arrivals = ArrivalTimes(clients.adapter.loop, clients.accepted())
        self.cancelled_ahead = deque[tuple[int, bool]]()  # status and whether the connection is kept
        self.advancing: Any = None
        self.taking = False  # requests, within `advance`: one that is answered at once does not nest

    @property
    def closing(self) -> bool:
        """Whether nothing more is taken from it."""
        return self.phase is not Phase.OPEN

    @property
    def written(self) -> bool:
        """Whether all that is owed to it has left."""
        return self.phase is Phase.LINGERING

    # Twisted's calls.

    def connectionMade(self) -> None:
        make_patient(self.transport, self.clients.adapter.loop)
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.clients.came(self)

    def dataReceived(self, data: bytes) -> None:
        """Takes what was read, and the rest of an unfinished request that waits behind it.

        A read may be short of what has come: the rest would count from when it is read."""
        self.take_data(data)
        for _ in range(MOST_SHORT_READS):
            if self.call is not None or not self.is_unfinished():
                return
            if not (more := immediate.receive(self.transport)):
                return  # nothing, or an end, which the transport finds as well
            self.take_data(more)

    def take_data(self, data: bytes) -> None:
        """Takes what was read."""
        if self.closing:
            self.dropped += len(data)
            if self.dropped > MOST_DROPPED:
                self.transport.abortConnection()
            return
        self.last_read = self.clients.clock()
        if not self.parser.left():
            self.since = self.last_read
        elif self.call is None and not self.is_advancing():
            self.arrivals.clear()  # one unfinished call: its time counts from its last byte
        self.parser.feed(data)
        self.arrivals.add(len(data))
        if self.call is not None and self.parser.left() > self.clients.ahead:
            self.clients.counters.add("client_ran_ahead")
            self.withdraw()
            self.transport.abortConnection()
            return
        self.advance()

    def readConnectionLost(self) -> None:
        """Its end, or that of its sending: it has left, also where an answer is still on its way."""
        self.withdraw()
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def writeConnectionLost(self) -> None:
        self.phase, self.since = Phase.LINGERING, self.clients.clock()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.withdraw()
        if self.is_advancing():
            self.advancing.cancel()
        self.clients.went(self)

    def withdraw(self) -> None:
        """It has gone: no answer is owed any more, and its open call ends."""
        self.stop_taking()
        call, self.call = self.call, None
        if call is not None:
            call.cancel()

    def stop_taking(self) -> None:
        if self.phase is Phase.OPEN:
            self.phase = Phase.CLOSING

    def is_here(self) -> bool:
        """Whether it has not ended the connection, as far as has arrived.

        All that it has sent ahead is read for this, up to the bound on that: an end may stand behind it."""
        while not self.closing:
            data = immediate.receive(self.transport)
            if data is None:
                return True
            if data:
                self.dataReceived(data)
            else:
                self.withdraw()  # the transport finds the end as well, and closes
        return False

    def pauseProducing(self) -> None:
        """Its answers go unread: nothing more is taken from it until they are."""
        self.clogged, self.since = True, self.clients.clock()
        self.transport.pauseProducing()

    def resumeProducing(self) -> None:
        self.clogged, self.last_read = False, self.clients.clock()
        self.arrivals.resume(self.since)
        self.transport.resumeProducing()
        self.advance()

    def stopProducing(self) -> None:
        self.stop_taking()

    # Calls and answers.

    def advance(self) -> None:
        """Takes what has come whole, unless that is being done."""
        if not self.taking:
            self.taking = True
            try:
                self.take_requests()
            finally:
                self.taking = False
            self.cancel_ahead()

    def take_requests(self) -> None:
        """One that sends many at once waits for the loop's next round between."""
        while self.cancelled_ahead and self.is_free():
            status, keep = self.cancelled_ahead.popleft()
            self.answer(status, {}, keep)
        handled = 0
        while self.is_free():
            if handled >= MOST_IN_A_ROW:
                if not self.is_advancing():
                    self.advancing = self.clients.adapter.reactor.callLater(0, self.advance)
                return
            handled += 1
            try:
                taken = self.parser.take()
                self.arrivals.forget_before(self.parser.left())
                if taken is None:
                    return
                self.since = self.clients.clock()
                self.handle(*taken)
            except BadMessage as fault:
                self.clients.counters.add("client_bad_messages")
                self.answer(fault.status, {"fault": str(fault)}, False)

    def is_free(self) -> bool:
        """Whether the next request may be taken."""
        return self.call is None and not self.closing and not self.clogged

    def is_advancing(self) -> bool:
        """Whether whole calls wait for the loop's next round."""
        return self.advancing is not None and self.advancing.active()

    def cancel_ahead(self) -> None:
        """Carries out the DELETEs that stand behind an open call: that call may be the one they cancel.

        Their answers wait for their turn; where the open call was cancelled, nothing more is answered."""
        while (
            self.call is not None
            and len(self.cancelled_ahead) < MOST_CANCELLED_AHEAD
            and self.parser.next_is(b"DELETE")
        ):
            try:
                taken = self.parser.take()
            except BadMessage:
                return  # told in its turn
            if taken is None:
                return
            _, target, _, _, keep = taken
            self.cancelled_ahead.append((self.cancel(target), keep))

    def cancel(self, target: bytes) -> int:
        """Withdraws the request whose id a path ends with; the status of the answer."""
        return 200 if self.clients.adapter.withdraw(last_part(target)) else 404

    def handle(
        self, method: bytes, target: bytes, fields: dict[bytes, memoryview], body: memoryview, keep: bool
    ) -> None:
        """Carries one whole request out, or opens a call with it."""
        path, last = target.partition(b"?")[0], last_part(target)
        if method == b"POST":
            self.submit(path, fields, body, keep)
        elif method == b"DELETE":
            self.answer(self.cancel(target), {}, keep)
        elif method == b"GET" and last == b"alive":
            self.answer(200 if self.clients.ready else 503, {}, keep)
        elif method == b"GET" and last == b"counters":
            self.answer(200, self.clients.counters.figures(), keep)
        elif method == b"GET" and last == b"fleet" and self.clients.fleet is not None:
            self.answer(200, self.clients.fleet(), keep)
        else:
            self.answer(404 if method == b"GET" else 405, {"fault": "NotKnown"}, keep)

    def submit(self, path: bytes, fields: dict[bytes, memoryview], body: memoryview, keep: bool) -> None:
        """Hands a request to the link, and keeps the call open until that has its answer.

        Raises:
            BadMessage: its workload, id or figures cannot be used, or its id is open.
        """
        kind = self.clients.workload_of(path)
        if kind is None:
            raise BadMessage(404, "the workload is not known")
        ident, wait = bytes(fields.get(b"req-id", b"")), number_field(fields, b"req-wait-ms")
        cost, memory = number_field(fields, b"req-cost", 0.0), number_field(fields, b"x-est-mb", 0.0)
        if not IDENT.fullmatch(ident) or wait <= 0:
            raise BadMessage(400, "req-id or req-wait-ms cannot be used")
        statement = bytes(body)  # outlives the buffer: further attempts may need it
        owner, idempotency_key = bytes(fields.get(b"req-owner", b"")), bytes(fields.get(b"req-token", b""))
        if idempotency_key and not IDEMPOTENCY_KEY.fullmatch(idempotency_key):
            raise BadMessage(400, "req-token cannot be used")
        call = self.clients.adapter.accept_request(
            ident,
            self.clients.names[kind],
            kind,
            wait - self.arrivals.waited(self.clients.clock()),
            cost,
            memory,
            group_of(statement),
            statement,
            client_connected=self.is_here,
            tenant=self.clients.tenants.get(owner),
            key=key_of(fields.get(b"req-key", b"")),
            idempotency_key=idempotency_key,
        )
        if call is None:
            raise BadMessage(400, "a submission with this id is open")
        self.call, self.brought = call, True
        call.addCallbacks(self.concluded, self.withdrawn, (keep,))

    def leave(self) -> None:
        """Its address is held elsewhere now: what is open is answered, and nothing more is taken."""
        self.draining = True
        self.close_if_idle()

    def concluded(self, answer: Answer, keep: bool) -> None:
        """Writes the answer to the open call, then takes what has come behind it."""
        if not self.clients.counters.check_invariant(
            self.call is not None and not self.closing, "answer_to_a_call"
        ):
            return
        self.call = None
        match answer:
            case Delivered(pages):
                self.answer(200, {"result": rows_of(pages)}, keep)
            case Shed(come_back):
                wait = (("Srv-Wait-Ms", f"{come_back:.0f}"),) if come_back > 0 else ()
                self.answer(503, {"fault": "TryLater"}, keep, wait)
            case Failed():
                self.answer(500, {"fault": "Aborted"}, keep)
        if self.parser.left() or self.cancelled_ahead:
            self.advance()
        self.clients.call_ended()

    def withdrawn(self, failure: Failure) -> None:
        """Its open call was cancelled, by itself or on another connection: there is nothing to answer."""
        if not isinstance(failure.value, CancelledError):
            failure.raiseException()
        self.call = None
        if not self.closing:
            self.close()

    def answer(self, status: int, value: object, keep: bool, extra: tuple[tuple[str, str], ...] = ()) -> None:
        """Writes one answer; the connection ends with it unless it may be kept."""
        self.clients.counters.add(f"answers_{status}")
        self.since, keep = self.clients.clock(), keep and not self.draining and not self.clients.ending
        body = json.dumps(value, ensure_ascii=False, separators=(",", ":")).encode()
        self.transport.write(response(status, body, keep, extra))
        if not keep:
            self.close()

    def close(self) -> None:
        """Lingers: see above; what it has not read yet leaves first."""
        self.stop_taking()
        self.since = self.clients.clock()
        self.arrivals.clear()
        self.transport.unregisterProducer()
        self.transport.resumeProducing()
        self.transport.loseWriteConnection()

    def close_if_idle(self) -> bool:
        """A call whose bytes have come and were not read yet is not closed over."""
        idle = self.is_idle() and not may_have_come(self.transport)
        if idle:
            self.close()
        return idle

    def timed_out(self, now: float) -> bool:
        """Unread answers, unfinished messages, silence and idleness each hold a descriptor for nothing."""
        if self.call is not None:
            return False
        paused = self.is_unfinished() and now - max(self.last_read, self.since) > LONGEST_PAUSE
        return paused or now - self.since > self.longest()

    def longest(self) -> float:
        """ms for which it may stay as it is, counted from `since`."""
        if self.written:
            return LONGEST_LINGER
        if self.clogged or self.closing:
            return LONGEST_UNREAD
        if self.is_unfinished():
            return LONGEST_UNFINISHED
        return LONGEST_IDLE if self.brought else LONGEST_SILENT

    def is_unfinished(self) -> bool:
        """Whether part of a request has come, and the rest is to be read."""
        return not self.clogged and not self.closing and self.parser.left() > 0

    def expire(self) -> None:
        """What waits for nothing is closed; what does not read is cut.

        Bytes that came and were not read yet, as after a pause of the process, are read first."""
        if self.is_unfinished() and may_have_come(self.transport):
            return
        self.clients.counters.add(f"client_closed_{self.state_at_close()}")
        if self.written:
            self.transport.loseConnection()
        elif self.clogged or self.closing:
            self.transport.abortConnection()
        elif self.parser.left():
            self.answer(408, {"fault": "Unfinished"}, False)
        else:
            self.close_if_idle()

    def state_at_close(self) -> str:
        """In what state it is closed by us, as the counters name it."""
        if self.written:
            return "lingering"
        if self.clogged or self.closing:
            return "unread"
        return "unfinished" if self.parser.left() else "idle"

    def refuse_unfinished(self) -> None:
        """Its descriptor is needed: what has come of a call is dropped, and it may come again."""
        self.clients.counters.add("unfinished_refused")
        self.answer(503, {"fault": "TryLater"}, False)

    def is_idle(self) -> bool:
        """Whether it rests between two requests."""
        return self.is_free() and not self.parser.left()
