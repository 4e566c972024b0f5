"""One connection to an engine: sends attempts, receives answers and the pages of results.

Messages wait in the connection's own write queue and go to the transport one attempt at a time, as the engine
reads. A message in the queue has not begun to leave, so it can still be withdrawn when the engine hangs with
its receive window full, drains, or the client leaves.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Any

from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IPullProducer
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from ..interface import Ending
from . import engine_answers, immediate_io
from .attempts import Outcome, OutgoingAttempt, SendTerms
from .engine_answers import EngineAnswer
from .partial_result import PartialResult
from .resp import ArrayParser, BadAnswer, command
from .socket_inspection import peek
from .tolerant_socket import wrap_socket

if TYPE_CHECKING:
    from .engines import EnginePool

MAX_FINISHED_IDS = 16  # finished attempts remembered per connection: more than answers can cross
# Limits on the time between an answer's first and last byte: a multiple of the connect timeout, at least so
# many ms, and at most this share of the time that its attempt still has.
ANSWER_TIME_CONNECTS, MIN_ANSWER_TIME, ANSWER_TIME_SHARE = 2.0, 200.0, 0.5
RESEND_DELAY = 0.005  # seconds after which a message of which the system accepted no byte is written again
MAX_ABANDONED_WRITE = 50.0  # ms in which the system must accept the rest of an abandoned attempt
DRAIN_WRITE_SHARE = 0.5  # share of the drain grace after which bytes not accepted by the system are cut off


@implementer(IPullProducer)
class Connection(Protocol):
    """One connection to an engine; answers arrive in any order."""

    transport: Any

    def __init__(self, engine: EnginePool) -> None:
        self.engine, self.engines, self.parser = engine, engine.engines, ArrayParser()
        self.attempts: dict[bytes | memoryview, OutgoingAttempt] = {}
        self.finished_ids: dict[bytes, bool] = {}  # ids sent here before, and whether they were given up
        self.write_queue = deque[bytes | OutgoingAttempt]()
        self.answer_timer: Any = None
        self.being_written: OutgoingAttempt | None = None  # its bytes may still be in the transport
        self.bytes_ahead = b""  # messages before it in the same write
        self.write_terms: SendTerms | None = None
        self.deferred = b""  # messages to be written by `Engines.write_deferred`
        # up: connected. closing: takes no further attempts. unresponsive: suspected dead, so it is aborted
        # instead of closed. sending: registered as producer, until the transport's buffer is empty.
        # peer_closed: the end of the stream has arrived.
        self.up = self.closing = self.unresponsive = self.sending = self.peer_closed = False
        self.has_unread_bytes = False  # part of an answer was received, or there are unread bytes
        self.opened = self.last_used = self.last_received = self.answer_began = self.engines.clock()

    # Callbacks of Twisted.

    def connectionMade(self) -> None:
        """Send what has been queued during the dial."""
        self.up, self.opened = True, self.engines.clock()
        self.last_used = self.opened
        wrap_socket(self.transport, self.engines.watch)
        self.transport.setTcpNoDelay(True)
        self.engines.counters.add("engine_connections")
        self.flush()
        self.close_if_done()

    def dataReceived(self, data: bytes) -> None:
        """Parse and handle answers; a malformed one fails the connection."""
        self.last_received = self.engine.last_received = self.engines.clock()
        if not self.parser.remaining():
            self.answer_began = self.last_received
        self.parser.feed(data)
        try:
            while (parts := self.parser.take()) is not None:
                self.answer_began = self.last_received
                self.handle_answer(parts)
        except (BadAnswer, ValueError) as fault:
            self.fail_connection(str(fault))
        self.has_unread_bytes = bool(self.parser.remaining())
        if self.up and self.parser.remaining():
            self.start_answer_timer()

    def fail_connection(self, why: str) -> None:
        """Fail the connection after a bad answer: attempts may have run, but no answer can be read."""
        self.engines.counters.add("engine_bad_answers")
        self.engine.log_warning("bad_answer", why=why, trips=len(self.attempts))
        self.transport.abortConnection()
        self.remove_and_end_attempts()

    def answer_time_left(self) -> float:
        """How many ms the answer that is being received may still take.

        The limit counts from the answer's first byte. It is also bounded by half of the time that its own
        attempt had left, as otherwise there would be no time for a retry elsewhere. Other attempts' time
        doesn't count, since closing the connection ends all of them. Until the answer's id has been received,
        the attempt with the most time left is assumed.
        """
        ident = self.parser.first_part()
        own = self.attempts.get(ident) if ident is not None else None
        attempts = (own,) if own is not None else self.attempts.values()
        deadline = max((attempt.deadline for attempt in attempts), default=float("inf"))
        longest = max(MIN_ANSWER_TIME, ANSWER_TIME_CONNECTS * self.engines.connect_timeout)
        longest = min(longest, ANSWER_TIME_SHARE * (deadline - self.answer_began))
        return max(0.0, self.answer_began + longest - self.engines.clock())

    def start_answer_timer(self) -> None:
        """Start the timer of an answer that has begun, or shorten it once the answer's id is known."""
        seconds = self.answer_time_left() / 1000
        if self.answer_timer is None:
            self.answer_timer = self.engines.reactor.callLater(seconds, self.answer_timed_out)
        elif self.answer_timer.getTime() > self.engines.reactor.seconds() + seconds:
            self.answer_timer.reset(seconds)

    def answer_timed_out(self) -> None:
        """Fail the connection if an answer is incomplete: lost, trickling in, or sent with a wrong length."""
        self.answer_timer = None
        if (
            self.up and self.parser.remaining() and self.answer_time_left() > 0.0
        ):  # a later answer has begun since
            self.answer_timer = self.engines.reactor.callLater(
                self.answer_time_left() / 1000, self.answer_timed_out
            )
        elif self.up and self.parser.remaining():
            self.fail_connection("an answer was not completed in time")

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Note whether the engine closed it while idle, and end its attempts."""
        if self.up and not self.closing and not self.attempts and isinstance(reason.value, ConnectionDone):
            self.engines.closed_while_idle(self.engines.clock() - max(self.last_used, self.last_received))
        self.remove_and_end_attempts()
        self.transport = None

    # Writing.

    def write(self, *parts: bytes | memoryview) -> None:
        """Queue a command, if the connection is up."""
        if self.up:
            self.write_queue.append(command(*parts))
            self.flush()

    def enqueue_attempt(self, attempt: OutgoingAttempt) -> None:
        """Queue an attempt."""
        self.attempts[attempt.ident], attempt.connection = attempt, self
        self.write_queue.append(attempt)
        self.flush()

    def flush(self) -> None:
        """Start writing the queue, if it isn't being written."""
        if self.up and self.write_queue and not self.sending:
            self.sending = True
            self.transport.registerProducer(self, False)  # calls resumeProducing at once

    def resumeProducing(self) -> None:
        """The transport's buffer is empty: write the next messages, up to and including one attempt."""
        self.write_finished()
        while self.write_queue:
            message_bytes = self.next_messages()
            if self.write_terms is not None and not self.write_terms.at_once:
                self.deferred = message_bytes
                self.engines.deferred.append(self)
                return
            if not self.fully_written(message_bytes):
                return
            self.being_written = self.write_terms = None  # all bytes were accepted: none to requeue
        self.sending = False
        self.transport.unregisterProducer()
        self.close_if_done()

    def fully_written(self, message_bytes: bytes) -> bool:
        """Write to the socket; the transport writes the rest later, then asks for more.

        An attempt is written immediately: if the transport wrote it in its own iteration of the event loop,
        its client might have left since the check at send time.

        Returns:
            Whether the system has accepted all of it.
        """
        if self.being_written is not None:
            sent = immediate_io.send(self.transport, message_bytes)
            if sent <= len(self.bytes_ahead):
                self.requeue(self.being_written, self.bytes_ahead[sent:])
                return False
            message_bytes = message_bytes[sent:]
        if message_bytes:
            self.transport.write(message_bytes)
        return not message_bytes

    def requeue(self, attempt: OutgoingAttempt, ahead: bytes) -> None:
        """Put back an attempt of which no byte was accepted; its message is rebuilt when it is sent."""
        self.engines.counters.add("trips_put_back")
        self.engines.counters.add("trips_written", -1)
        attempt.written = False
        self.write_queue.appendleft(attempt)
        self.being_written = self.write_terms = None
        if ahead:
            self.transport.write(ahead)
        else:
            self.engines.reactor.callLater(RESEND_DELAY, self.wait_until_writable)

    def wait_until_writable(self) -> None:
        """Let the transport ask for more as soon as the socket is writable."""
        if self.up and self.sending:
            self.transport.startWriting()

    def write_deferred(self) -> None:
        """Write the messages that were deferred to the end of the batch."""
        message_bytes, self.deferred = self.deferred, b""
        if self.up and message_bytes and self.fully_written(message_bytes):
            self.resumeProducing()

    def write_finished(self) -> None:
        """Handle that the system has accepted everything written so far."""
        terms, self.being_written, self.write_terms = self.write_terms, None, None
        if terms is not None:
            terms.on_written()

    def next_messages(self) -> bytes:
        """Take messages off the queue, up to and including one attempt; invalid attempts end as MOOT."""
        messages = list[bytes]()
        while self.write_queue and self.being_written is None:
            message = self.write_queue.popleft()
            if not isinstance(message, OutgoingAttempt):
                messages.append(message)
            elif (terms := message.at_send()) is None:
                self.finish(message, Outcome(Ending.MOOT))
            else:
                self.bytes_ahead = b"".join(messages)
                messages.append(self.serve_command(message, terms))
                self.being_written, self.write_terms = message, terms
        if messages:
            self.last_used = self.engines.clock()
        return b"".join(messages)

    def stopProducing(self) -> None:
        """Stop writing: the transport is closing."""
        self.sending = False

    def serve_command(self, attempt: OutgoingAttempt, terms: SendTerms) -> bytes:
        """Build the command that sends an attempt, and mark the attempt as written."""
        self.engines.counters.add("trips_written")
        attempt.sent, attempt.written = self.engines.clock(), True
        fields = b"class=%b,wait=%d" % (attempt.workload, max(1, int(terms.wait)))
        if terms.rank is not None:
            fields += b",rank=%d" % terms.rank
        if terms.idempotency_key:
            fields += b",once=%b" % terms.idempotency_key
        return command(b"serve", attempt.ident, fields, attempt.statement)

    def give_up(self, attempt: OutgoingAttempt, ending: Ending) -> None:
        """Give up an attempt: cancel it while it may run, or release its pages once it has run."""
        if not attempt.written:
            self.withdraw(attempt)
            return
        self.write(b"release" if attempt.result is not None else b"cancel", attempt.ident)
        connect_timeout_passed = self.engines.clock() - attempt.sent > self.engines.connect_timeout
        if (
            self.up
            and connect_timeout_passed
            and self.last_received <= attempt.sent
            and not self.unresponsive
        ):
            # An unreachable machine leaves its connections open, and whether an attempt sent on one runs is
            # unknown, while a new connection that never comes up proves that nothing ran. So this connection
            # gets no further attempts. Hangs and long packet loss look the same.
            self.engines.counters.add("silent_connections")
            if self.engine.last_received <= attempt.sent:
                self.engine.log_warning("silent_engine", trips=len(self.attempts))
            self.closing = self.unresponsive = True
        if attempt is self.being_written:
            self.engines.reactor.callLater(MAX_ABANDONED_WRITE / 1000, self.abort_abandoned_write, attempt)
        self.finish(attempt, Outcome(ending), given_up=True)

    def withdraw(self, attempt: OutgoingAttempt) -> None:
        """Remove an attempt that has not been written: nothing of it has run or will run."""
        if attempt in self.write_queue:
            self.write_queue.remove(attempt)
        self.finish(attempt, Outcome(Ending.MOOT))

    def withdraw_unsent(self) -> None:
        """Withdraw what is not written, when the engine drains, is gone, has moved or was restarted.

        Bytes that the system has not accepted by the time set by DRAIN_WRITE_SHARE would arrive too late and
        are cut off.
        """
        for attempt in [attempt for attempt in self.attempts.values() if not attempt.written]:
            self.withdraw(attempt)
        if self.being_written is not None and self.up:
            self.engines.reactor.callLater(
                DRAIN_WRITE_SHARE * self.engines.drain_grace / 1000, self.abort_write, self.being_written
            )

    def abort_write(self, attempt: OutgoingAttempt) -> None:
        """Close the connection if an attempt is still being written.

        This covers an engine that hangs with its receive window full. Bytes that the system holds for a
        broken network link are not seen here.
        """
        if self.up and self.being_written is attempt:
            self.engines.counters.add("unsent_cut_off")
            self.transport.abortConnection()
            self.remove_and_end_attempts()

    def abort_abandoned_write(self, attempt: OutgoingAttempt) -> None:
        """Cut off an abandoned attempt, whose rest would arrive late, unless other attempts run here."""
        if not any(other.written for other in self.attempts.values()):
            self.abort_write(attempt)

    def accepts(self, attempt: OutgoingAttempt) -> bool:
        """Whether this connection can take an attempt, as far as is known."""
        return (
            not self.closing
            and not self.peer_closed
            and attempt.ident not in self.attempts
            and attempt.ident not in self.finished_ids
        )

    def check_socket(self) -> bool:
        """Peek at the socket of an idle connection.

        Returns:
            Whether the engine has closed it, or has sent bytes for which no attempt waits. Such bytes may
            never become an answer, and would corrupt what follows.
        """
        waiting = peek(self.transport) if self.up and not self.attempts else None
        peer_closed, unread = waiting == b"", bool(waiting)
        newly_unfit = (peer_closed and not self.peer_closed) or (unread and not self.has_unread_bytes)
        self.peer_closed |= peer_closed  # the next read will return the end of the stream
        self.has_unread_bytes |= unread
        return newly_unfit

    def finish(self, attempt: OutgoingAttempt, outcome: Outcome, given_up: bool = False) -> None:
        """End an attempt with an outcome."""
        if not self.engines.counters.check_invariant(
            self.attempts.pop(attempt.ident, None) is attempt, "trip_ends_once"
        ):
            return
        if attempt.written:
            self.finished_ids[attempt.ident] = given_up  # a late answer may come: the id isn't reused here
        if len(self.finished_ids) > MAX_FINISHED_IDS:
            del self.finished_ids[next(iter(self.finished_ids))]
        attempt.connection = None
        self.close_if_done()
        attempt.done.callback(outcome)

    def retire(self) -> None:
        """Accept no further attempts; close after those that are out."""
        self.closing = True
        self.close_if_done()

    def close_if_done(self) -> None:
        """Close a connection that is retired and has no attempts.

        An unresponsive one is aborted, otherwise the system would send its buffered bytes when the network
        recovers.
        """
        if self.closing and not self.attempts and self.up and self.unresponsive:
            self.transport.abortConnection()
        elif self.closing and not self.attempts and self.up and not self.sending:
            self.transport.loseConnection()

    def remove_and_end_attempts(self, ending: Ending = Ending.RESET) -> None:
        """Remove the connection and end its attempts; after a reset, unwritten ones as MOOT."""
        self.up, self.closing = False, True
        self.write_queue.clear()
        if self.answer_timer is not None:
            self.answer_timer.cancel()
            self.answer_timer = None
        if self in self.engine.connections:
            self.engine.connections.remove(self)
            self.engines.connections -= 1
            self.engines.drop_if_gone(self.engine)
        for attempt in list(self.attempts.values()):
            self.finish(
                attempt, Outcome(Ending.MOOT if ending == Ending.RESET and not attempt.written else ending)
            )

    # Reading.

    def handle_answer(self, parts: list[memoryview]) -> None:
        """Handle one answer of the engine."""
        answer = engine_answers.read(parts)
        attempt = self.attempts.get(answer.ident)
        if attempt is None:
            # It was given up in the meantime, and its further pages are released; or the engine has sent an
            # unsolicited answer. Valid, but superfluous.
            self.engines.counters.add("answers_crossed")
            if self.finished_ids.get(bytes(answer.ident)) and answer.has_further_pages():
                self.write(b"release", answer.ident)
        elif answer.status in engine_answers.ENDINGS:
            self.handle_end(attempt, answer)
        elif attempt.result is not None:
            if attempt.result.add(answer):
                self.finish_if_whole(attempt, attempt.result)
            else:
                self.engines.counters.add("answers_crossed")
        elif answer.status == b"chunk":
            raise BadAnswer("a page of a result that has not begun")
        else:
            self.begin_result(attempt, answer)

    def handle_end(self, attempt: OutgoingAttempt, answer: EngineAnswer) -> None:
        """End an attempt without a result; after a 200, that means that the remaining pages are lost."""
        ending = engine_answers.ENDINGS[answer.status]
        if attempt.result is not None:
            ending = Ending.ERROR
            self.engines.counters.add("pages_lost")
            self.write(b"release", answer.ident)
        self.finish(attempt, Outcome(ending, (), self.engines.report(answer.report)))

    def begin_result(self, attempt: OutgoingAttempt, answer: EngineAnswer) -> None:
        """Keep the first page of a result, and ask for the others."""
        attempt.result = PartialResult(answer, self.engines.report(answer.report))
        for page in range(1, attempt.result.page_count):
            self.write(b"read", answer.ident, b"%d" % page)
        self.finish_if_whole(attempt, attempt.result)

    def finish_if_whole(self, attempt: OutgoingAttempt, result: PartialResult) -> None:
        """Deliver a result once it is complete."""
        pages = result.whole()
        if pages is None:
            return
        if result.page_count > 1:
            self.write(b"release", attempt.ident)
        self.finish(attempt, Outcome(Ending.DELIVERED, pages, result.report))
