"""One connection to an engine: attempts go out on it, answers and pages of their results come back.

What is to be written waits in a connection's own line and goes to its transport a message at a time, as the
engine reads: what still waits there has not begun to leave, which a hang with its window full, a drain or a
client's leaving may still stop."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Any

from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IPullProducer
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from ..interface import Ending
from . import engine_answers, immediate
from .attempts import Attempt, Outcome, SendTerms
from .patient_socket import make_patient
from .pending import pending
from .resp import ArrayParser, BadAnswer, command

if TYPE_CHECKING:
    from .engines import Engine

LARGEST_RESULT = 96_000  # bytes
MOST_PAST = 16  # attempts remembered on a connection: more than can cross
STALL, STALL_LEAST, STALL_PART = 2.0, 200.0, 0.5  # for one answer: times the time to connect, ms, and of what
# its attempt still has
SEND_AGAIN = 0.005  # seconds until a message of which the system took nothing is offered again
MAX_ABANDONED_WRITE = 50.0  # ms in which the system must take the rest of an attempt that nobody waits for
DRAIN_PART = 0.5  # of the drain's grace: bytes that the system has not taken by then are cut off


@implementer(IPullProducer)
class Connection(Protocol):
    """One connection to an engine: attempts go out on it, answers come back in any order."""

    transport: Any

    def __init__(self, engine: Engine) -> None:
        self.engine, self.engines, self.parser = engine, engine.engines, ArrayParser()
        self.attempts: dict[bytes | memoryview, Attempt] = {}
        self.past: dict[bytes, bool] = {}  # ids that were out here, and whether they were given up
        self.write_queue = deque[bytes | Attempt]()
        self.bounding: Any = None
        self.leaving: Attempt | None = None  # whose bytes the transport may still hold
        self.ahead_of_leaving = b""  # messages that go before it in the same write
        self.leaving_terms: SendTerms | None = None
        self.held = b""  # messages that leave with `Engines.write_held`
        self.up = self.closing = self.silent = self.sending = self.ended = False
        self.unread = False  # part of an answer has come, or bytes that were not read
        self.opened = self.used = self.heard = self.begun = self.engines.clock()

    # Twisted's calls.

    def connectionMade(self) -> None:
        self.up, self.opened = True, self.engines.clock()
        self.used = self.opened
        make_patient(self.transport, self.engines.watch)
        self.transport.setTcpNoDelay(True)
        self.engines.counters.add("engine_connections")
        self.flush()
        self.close_if_done()

    def dataReceived(self, data: bytes) -> None:
        self.heard = self.engine.heard = self.engines.clock()
        if not self.parser.left():
            self.begun = self.heard
        self.parser.feed(data)
        try:
            while (parts := self.parser.take()) is not None:
                self.begun = self.heard
                self.answered(parts)
        except (BadAnswer, ValueError) as fault:
            self.cut(str(fault))
        self.unread = bool(self.parser.left())
        if self.up and self.parser.left():
            self.bound_answer()

    def cut(self, why: str) -> None:
        """Spoilt: what is out here has run or runs, and nothing more can be read of it."""
        self.engines.counters.add("engine_bad_answers")
        self.engine.say("bad_answer", why=why, trips=len(self.attempts))
        self.transport.abortConnection()
        self.lost()

    def patience(self) -> float:
        """ms that the answer which has begun may still take, counted from its first byte.

        Half of what its own attempt still had bounds it too, or that could not be retried elsewhere. Others'
        time does not: a cut ends them all. Until its id has come it may be the one with most time."""
        begun = self.parser.first_part()
        own = self.attempts.get(begun) if begun is not None else None
        attempts = (own,) if own is not None else self.attempts.values()
        deadline = max((attempt.deadline for attempt in attempts), default=float("inf"))
        longest = max(STALL_LEAST, STALL * self.engines.connect_within)
        longest = min(longest, STALL_PART * (deadline - self.begun))
        return max(0.0, self.begun + longest - self.engines.clock())

    def bound_answer(self) -> None:
        """An answer has begun; the timer that ends it follows when its id comes."""
        patience = self.patience() / 1000
        if self.bounding is None:
            self.bounding = self.engines.reactor.callLater(patience, self.stall)
        elif self.bounding.getTime() > self.engines.reactor.seconds() + patience:
            self.bounding.reset(patience)

    def stall(self) -> None:
        """An answer has begun and does not end: the rest is lost or trickles, or its length was wrong."""
        self.bounding = None
        if self.up and self.parser.left() and self.patience() > 0.0:  # another one by now
            self.bounding = self.engines.reactor.callLater(self.patience() / 1000, self.stall)
        elif self.up and self.parser.left():
            self.cut("an answer stopped short")

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if self.up and not self.closing and not self.attempts and isinstance(reason.value, ConnectionDone):
            self.engines.closed_idle(self.engines.clock() - max(self.used, self.heard))
        self.lost()
        self.transport = None

    # What is written.

    def write(self, *parts: bytes | memoryview) -> None:
        if self.up:
            self.write_queue.append(command(*parts))
            self.flush()

    def carry(self, attempt: Attempt) -> None:
        self.attempts[attempt.ident], attempt.connection = attempt, self
        self.write_queue.append(attempt)
        self.flush()

    def flush(self) -> None:
        if self.up and self.write_queue and not self.sending:
            self.sending = True
            self.transport.registerProducer(self, False)  # which asks at once

    def resumeProducing(self) -> None:
        """Nothing of ours is left in the transport: the next messages leave, up to and with one attempt."""
        self.message_taken()
        while self.write_queue:
            ready = self.next_messages()
            if self.leaving_terms is not None and not self.leaving_terms.at_once:
                self.held = ready
                self.engines.held.append(self)
                return
            if not self.handed_over(ready):
                return
            self.leaving = self.leaving_terms = None  # within one step: nothing came between
        self.sending = False
        self.transport.unregisterProducer()
        self.close_if_done()

    def handed_over(self, ready: bytes) -> bool:
        """Whether the system has taken all of it; the transport writes the rest, then asks for more.

        An attempt goes at once: by the transport's own turn in the loop its client might have left unseen."""
        if self.leaving is not None:
            sent = immediate.send(self.transport, ready)
            if sent <= len(self.ahead_of_leaving):
                self.put_back(self.leaving, self.ahead_of_leaving[sent:])
                return False
            ready = ready[sent:]
        if ready:
            self.transport.write(ready)
        return not ready

    def put_back(self, attempt: Attempt, ahead: bytes) -> None:
        """No byte of an attempt has left: its message is rebuilt by what holds once the system takes some."""
        self.engines.counters.add("trips_put_back")
        self.engines.counters.add("trips_written", -1)
        attempt.written = False
        self.write_queue.appendleft(attempt)
        self.leaving = self.leaving_terms = None
        if ahead:
            self.transport.write(ahead)
        else:
            self.engines.reactor.callLater(SEND_AGAIN, self.await_room)

    def await_room(self) -> None:
        """Let the transport ask for more as soon as the system tells of room."""
        if self.up and self.sending:
            self.transport.startWriting()

    def write_held(self) -> None:
        ready, self.held = self.held, b""
        if self.up and ready and self.handed_over(ready):
            self.resumeProducing()

    def message_taken(self) -> None:
        """The system has taken all that was written."""
        terms, self.leaving, self.leaving_terms = self.leaving_terms, None, None
        if terms is not None:
            terms.taken()

    def next_messages(self) -> bytes:
        """What is next in the queue, up to and with one attempt; those that are not to leave end as MOOT."""
        ready = list[bytes]()
        while self.write_queue and self.leaving is None:
            message = self.write_queue.popleft()
            if not isinstance(message, Attempt):
                ready.append(message)
            elif (terms := message.at_send()) is None:
                self.finish(message, Outcome(Ending.MOOT))
            else:
                self.ahead_of_leaving = b"".join(ready)
                ready.append(self.serve(message, terms))
                self.leaving, self.leaving_terms = message, terms
        if ready:
            self.used = self.engines.clock()
        return b"".join(ready)

    def stopProducing(self) -> None:
        self.sending = False

    def serve(self, attempt: Attempt, terms: SendTerms) -> bytes:
        self.engines.counters.add("trips_written")
        attempt.sent, attempt.written = self.engines.clock(), True
        fields = b"class=%b,wait=%d" % (attempt.workload, max(1, int(terms.wait)))
        if terms.rank is not None:
            fields += b",rank=%d" % terms.rank
        if terms.idempotency_key:
            fields += b",once=%b" % terms.idempotency_key
        return command(b"serve", attempt.ident, fields, attempt.statement)

    def give_up(self, attempt: Attempt, ending: Ending) -> None:
        """Nothing more is wanted of it: it is cancelled while it may run, and its pages let go after that."""
        if not attempt.written:
            self.withdraw(attempt)
            return
        self.write(b"release" if attempt.parts else b"cancel", attempt.ident)
        quiet = self.engines.clock() - attempt.sent > self.engines.connect_within
        if self.up and quiet and self.heard <= attempt.sent and not self.silent:
            # A machine cut off leaves its connections open, and nobody knows if what goes out on one runs. A
            # new connection that never comes up proves that nothing ran. Also: a hang, packets lost for long.
            self.engines.counters.add("silent_connections")
            if self.engine.heard <= attempt.sent:
                self.engine.say("silent_engine", trips=len(self.attempts))
            self.closing = self.silent = True
        if attempt is self.leaving:
            self.engines.reactor.callLater(MAX_ABANDONED_WRITE / 1000, self.cut_abandoned, attempt)
        self.finish(attempt, Outcome(ending), given_up=True)

    def withdraw(self, attempt: Attempt) -> None:
        """It has not begun to leave: nothing of it has run, nor will."""
        if attempt in self.write_queue:
            self.write_queue.remove(attempt)
        self.finish(attempt, Outcome(Ending.MOOT))

    def withhold(self) -> None:
        """Its engine drains or is gone, is elsewhere or was started anew: what has not left stays here. What
        the system has not taken by the time of DRAIN_PART would come too late, and is cut off."""
        for attempt in [attempt for attempt in self.attempts.values() if not attempt.written]:
            self.withdraw(attempt)
        if self.leaving is not None and self.up:
            self.engines.reactor.callLater(
                DRAIN_PART * self.engines.drain_grace / 1000, self.cut_off, self.leaving
            )

    def cut_off(self, attempt: Attempt) -> None:
        """Covers a hang with its window full. A cut link whose bytes the system holds is not seen here."""
        if self.up and self.leaving is attempt:
            self.engines.counters.add("unsent_cut_off")
            self.transport.abortConnection()
            self.lost()

    def cut_abandoned(self, attempt: Attempt) -> None:
        """The rest of an abandoned attempt would come late. What else runs here is not cut for that."""
        if not any(other.written for other in self.attempts.values()):
            self.cut_off(attempt)

    def takes(self, attempt: Attempt) -> bool:
        """Whether this one may carry it, as far as is known."""
        return (
            not self.closing
            and not self.ended
            and attempt.ident not in self.attempts
            and attempt.ident not in self.past
        )

    def look(self) -> bool:
        """At the socket of one that rests; True where that shows it as no good choice.

        Its far side's end has come, or bytes that no attempt waits for: these may never become an answer, and
        spoil what follows."""
        waiting = pending(self.transport) if self.up and not self.attempts else None
        ended, unread = waiting == b"", bool(waiting)
        news = (ended and not self.ended) or (unread and not self.unread)
        self.ended |= ended  # that is to be read next
        self.unread |= unread
        return news

    def finish(self, attempt: Attempt, outcome: Outcome, given_up: bool = False) -> None:
        if not self.engines.counters.check_invariant(
            self.attempts.pop(attempt.ident, None) is attempt, "trip_ends_once"
        ):
            return
        if attempt.written:
            self.past[attempt.ident] = (
                given_up  # an answer may cross or come twice: the id comes here no more
            )
        if len(self.past) > MOST_PAST:
            del self.past[next(iter(self.past))]
        attempt.connection = None
        self.close_if_done()
        attempt.done.callback(outcome)

    def retire(self) -> None:
        """No further attempts: it ends with those that are out."""
        self.closing = True
        self.close_if_done()

    def close_if_done(self) -> None:
        """A silent one is cut: the system would go on sending what it holds once a cut link heals."""
        if self.closing and not self.attempts and self.up and self.silent:
            self.transport.abortConnection()
        elif self.closing and not self.attempts and self.up and not self.sending:
            self.transport.loseConnection()

    def lost(self, ending: Ending = Ending.RESET) -> None:
        self.up, self.closing = False, True
        self.write_queue.clear()
        if self.bounding is not None:
            self.bounding.cancel()
            self.bounding = None
        if self in self.engine.connections:
            self.engine.connections.remove(self)
            self.engines.connections -= 1
            self.engines.forget(self.engine)
        for attempt in list(self.attempts.values()):
            self.finish(
                attempt, Outcome(Ending.MOOT if ending == Ending.RESET and not attempt.written else ending)
            )

    # What is read.

    def answered(self, parts: list[memoryview]) -> None:
        ident, word, fields, body = engine_answers.read(parts)
        pages = engine_answers.number_of_pages(fields) if word == b"200" else 1
        attempt = self.attempts.get(ident)
        if attempt is None or (word == b"200" and attempt.parts):
            # It answers what was given up meanwhile, whose further pages are let go; or says 200 twice, or
            # more than was asked: good but too much.
            self.engines.counters.add("answers_crossed")
            if attempt is None and pages > 1 and self.past.get(bytes(ident)):
                self.write(b"release", ident)
        elif word == b"200":
            attempt.parts, attempt.report = pages, self.engines.report(fields.get("stats", ""))
            for page in range(1, pages):
                self.write(b"read", ident, b"%d" % page)
            self.page(attempt, 0, body)
        elif word == b"chunk":
            number = int(fields.get("part_no", "-1"))
            if not 0 < number < attempt.parts:
                raise BadAnswer("a page that was not asked for")
            if number in attempt.pages:  # a second copy: good but too much
                self.engines.counters.add("answers_crossed")
            else:
                self.page(attempt, number, body)
        else:
            # Once it was delivered, whatever else is said of it only tells that its pages are lost.
            ending = Ending.ERROR if attempt.parts else engine_answers.ENDINGS[word]
            if attempt.parts:
                self.engines.counters.add("pages_lost")
                self.write(b"release", ident)
            self.finish(attempt, Outcome(ending, (), self.engines.report(fields.get("stats", ""))))

    def page(self, attempt: Attempt, number: int, text: memoryview) -> None:
        attempt.size += len(text)
        if attempt.size > LARGEST_RESULT:
            raise BadAnswer("a result is too large")
        page = engine_answers.page_of(text)
        attempt.pages[number] = page
        if len(attempt.pages) == attempt.parts:
            if attempt.parts > 1:
                self.write(b"release", attempt.ident)
            pages = tuple(attempt.pages[place] for place in range(attempt.parts))
            self.finish(attempt, Outcome(Ending.DELIVERED, pages, attempt.report))
