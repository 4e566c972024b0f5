"""The list of engines: what is known at the start, then what the name service answers."""

from __future__ import annotations

import logging
import secrets
from collections.abc import Callable
from typing import Any, NamedTuple

from twisted.internet.protocol import DatagramProtocol

from ..interface import Verdict
from ..list_agreement import Agreement, assess
from . import dns
from .counters import Counters
from .engine_list import Address, Endpoint, KnownList, answered_endpoints
from .transient_errors import name_of

SERVICE = "_api._tcp.svc.local"
QUERY_INTERVAL = 0.2  # seconds; an answer lost is then made good well before changes count as told
REST = 0.1  # seconds between an answer and the next question, at least
ASK_AGAIN = 0.04  # seconds until a question that was not sent, or whose answer settled nothing, is repeated
IDENT_SIZE = 2  # bytes, RFC 1035, section 4.1.1
IDENTS = 1 << 8 * IDENT_SIZE
MAX_OPEN_QUERIES = 64  # questions whose answer may still come
SILENT_AFTER = 2.0  # seconds without an answer: told in the log
MISSED_LOGGED = 2  # questions in a row without an answer from which on the next answer tells of them


class SentQuery(NamedTuple):
    """What is decided on a question that has left.

    Attributes:
        at: When it left, by the clock of the decisions.
        repeat_after: In how many ms it is repeated, if it has no answer.
    """

    at: float
    retransmit_after: float


class Question(NamedTuple):
    """A question whose answer may still come.

    Attributes:
        asked: What was decided on it.
        left_at: When it left, in the reactor's seconds.
        address: Whom it was sent to.
    """

    asked: SentQuery
    left_at: float
    address: Address


class ReadAnswer(NamedTuple):
    """An answer that was read: its bytes behind the question's id, and the list that it tells."""

    body: bytes
    told: KnownList


class NameService(DatagramProtocol):
    """Asks for the whole list again and again, and passes on each newer one.

    Attributes:
        address: Where the name service is.
        agreement: The list in force, as far as the answers tell it.
        numbers_shared: Whether peers tell newer lists too.
        is_brought: Whether the list in force is that of a peer.
        on_list: Takes each newer list.
        on_confirmed: Called with each answer that tells the list in force.
        on_unchanged: Takes each answer without news, where somebody compares them.
        on_closed: Called when its socket has ended, by a failure of the system's.
        before_asking: Called before each question; may give it another transport to leave by.
        on_asked: Called with each question that has left, so many seconds ago; decides when it is repeated.
        on_answered: Called once the list of an answer is in force, with the time at which its question left,
            and what it told; tells whether the next question is to leave soon.
        answered_at: When an answer last told of the list, in the reactor's seconds.
    """

    transport: Any

    def __init__(
        self,
        reactor: Any,
        address: Address,
        known: KnownList,
        on_list: Callable[[dict[str, Endpoint]], None],
        counters: Counters,
        log: logging.Logger,
    ) -> None:
        self.reactor, self.address, self.on_list = reactor, address, on_list
        self.agreement = Agreement.of(known.number, known.endpoints)
        self.peers_share_lists = self.is_from_peer = False
        self.last_read: ReadAnswer | None = None
        self.counters, self.log = counters, log
        # Not from 0 at each start: an answer to a predecessor at the same port would count as ours.
        self.query_id = secrets.randbelow(IDENTS)
        self.open_queries = dict[int, Question]()
        self.missed = 0  # questions that have left since the one that was answered last
        self.next_question: Any = None  # the delayed call
        self.on_confirmed: Callable[[], None] = lambda: None
        self.on_unchanged: Callable[[dict[str, Endpoint]], None] | None = None
        self.on_closed: Callable[[], None] = lambda: None
        self.before_query: Callable[[], None] = lambda: None
        self.on_query_sent: Callable[[float], SentQuery] = lambda _: SentQuery(0.0, 0.0)
        self.on_response: Callable[[float, Verdict], bool] = lambda _at, _verdict: False
        self.answered_at = float("-inf")
        self.silent_since = reactor.seconds()  # since when silence counts
        self.silent = False
        self.unsent = 0  # questions in a row

    def startProtocol(self) -> None:
        self.send_query()

    def stopProtocol(self) -> None:
        """Its socket has ended: an error on reading ends it for good."""
        self.cancel_query()
        self.on_closed()

    def cancel_query(self) -> None:
        """Asks no more, until it is told to."""
        if self.next_question is not None and self.next_question.active():
            self.next_question.cancel()
        self.next_question = None

    def move(self, address: Address) -> None:
        """The name service is elsewhere now; the numbers of its events go on."""
        self.address = address
        self.cancel_query()
        if self.transport is not None:
            self.send_query()

    def send_query(self) -> None:
        """Sends the next question. It is repeated soon where no answer comes."""
        self.query_id = (self.query_id + 1) % IDENTS
        self.next_question = self.reactor.callLater(QUERY_INTERVAL, self.send_query)
        self.watch_silence()
        self.before_query()
        try:
            # Not by the transport's own write, which passes over some errors in silence.
            question = dns.question(self.query_id, SERVICE, dns.SRV)
            left_at = self.reactor.seconds()
            self.transport.getHandle().sendto(question, self.address)
        except OSError as fault:
            self.next_question.reset(ASK_AGAIN)
            self.not_sent(fault)
            return
        self.counters.add("names_asked")
        self.unsent = 0
        self.missed += 1
        asked = self.on_query_sent(self.reactor.seconds() - left_at)
        self.await_answer(self.query_id, Question(asked, left_at, self.address))

    def await_answer(self, ident: int, question: Question) -> None:
        """A question has left: its answer is taken, or it is repeated."""
        self.open_queries[ident] = question
        if len(self.open_queries) > MAX_OPEN_QUERIES:
            del self.open_queries[next(iter(self.open_queries))]
        if question.asked.retransmit_after > 0.0:  # else nobody decides on it
            self.next_question.reset(question.asked.retransmit_after / 1000)

    def ask_in_time(self, answered: Question) -> None:
        """The question that left last is answered: the next is due as far behind it as usual."""
        if self.next_question is not None and self.next_question.active():
            passed = self.reactor.seconds() - answered.left_at
            self.next_question.reset(max(REST, QUERY_INTERVAL - passed))

    def ensure_querying(self) -> None:
        """Ask, unless the next question is due at some time anyway."""
        if self.next_question is None or not self.next_question.active():
            self.counters.add("names_asked_on")
            self.send_query()

    def silent_for(self) -> float:
        """For how many seconds no answer has come."""
        silence: float = self.reactor.seconds() - self.silent_since
        return silence

    def not_sent(self, fault: OSError) -> None:
        """A question has not left; the first of several in a row is told in the log."""
        self.counters.add("names_not_sent")
        self.counters.add(f"names_not_sent_errno_{fault.errno}")
        self.unsent += 1
        if self.unsent == 1:
            self.log.warning("discovery_not_asked", extra={"figures": {"error": name_of(fault)}})

    def watch_silence(self) -> None:
        """Tells, once, that the list in force may be out of date."""
        silence = self.silent_for()
        if silence > SILENT_AFTER:
            self.counters.most("names_longest_silence_ms", silence * 1000)
        if silence > SILENT_AFTER and not self.silent:
            self.silent = True
            self.tell("discovery_silent", silence)

    def heard(self, question: Question) -> None:
        """The name service has answered a question with a list."""
        now = self.reactor.seconds()
        self.counters.most("names_longest_answer_ms", (now - question.left_at) * 1000)
        self.note_missed(now)
        silence, self.answered_at = now - self.silent_since, now
        self.silent_since = now
        if self.silent:
            self.silent = False
            self.tell("discovery_answers_again", silence)

    def note_missed(self, now: float) -> None:
        """Tells of questions that nobody answered before this answer came."""
        open_now = len(self.open_queries)  # this one is out already
        missed, self.missed = self.missed - 1, 0
        if missed > 0:
            self.counters.add("names_unanswered", missed)
        if missed >= MISSED_LOGGED:
            figures = {"questions": missed, "for_ms": (now - self.silent_since) * 1000, "open": open_now}
            self.log.warning("discovery_answers_missed", extra={"figures": figures})

    def tell(self, event: str, silence: float) -> None:
        figures = {
            "after_ms": silence * 1000,
            "address": f"{self.address.host}:{self.address.port}",
            "list_number": self.number,
            "asked": self.counters.sums["names_asked"],
            "answered": self.counters.sums["names_answered"],
        }
        self.log.warning(event, extra={"figures": figures})

    @property
    def number(self) -> int:
        """The number of the last event that is in force."""
        return self.agreement.number

    def put_in_force(self, agreement: Agreement[Endpoint], question: Question) -> None:
        """Passes a list on; one that could not be taken is asked for again."""
        before, self.agreement = self.agreement, agreement
        figures = {
            "number": agreement.number,
            "before": before.number,
            "asked_ms_ago": (self.reactor.seconds() - question.left_at) * 1000,
            "withheld": len(agreement.withheld),
        }
        self.log.info("list_answered", extra={"figures": figures})
        try:
            self.on_list(dict(agreement.in_force))
        except Exception:
            self.agreement = before
            raise

    def take_known(self, known: KnownList) -> None:
        """A list from elsewhere is in force: from a configuration that was read again, or from a peer."""
        self.agreement = Agreement.of(known.number, known.endpoints)

    def note_contradiction(self, serial: int, question: Question) -> None:
        """Tells of an answer with an older list than the one in force."""
        figures = {
            "number": serial,
            "in_force": self.number,
            "asked_ms_ago": (self.reactor.seconds() - question.left_at) * 1000,
        }
        self.log.warning("list_contradicted", extra={"figures": figures})

    def datagramReceived(self, datagram: bytes, address: tuple[str, int]) -> None:
        question = self.open_queries.get(int.from_bytes(datagram[:IDENT_SIZE], "big"))
        if question is None or address[:2] != question.address:
            self.counters.add("names_foreign")
            self.counters.add("names_foreign_address", question is not None)
            return
        try:
            self.take_answer(datagram, question)
        except dns.BadDatagram as fault:
            self.counters.add("names_bad")
            self.log.warning("bad_datagram", extra={"figures": {"why": str(fault)}})

    def take_answer(self, datagram: bytes, question: Question) -> None:
        """Puts an answer's list in force if it is newer.

        Raises:
            dns.BadDatagram: It cannot be read, or does not tell the whole list.
        """
        ident = int.from_bytes(datagram[:IDENT_SIZE], "big")
        answer = self.read(datagram, ident)
        if answer is None:
            self.counters.add("names_foreign")
            return
        self.counters.add("names_answered")
        self.heard(question)
        if ident == self.query_id:
            self.ask_in_time(question)
        if self.peers_share_lists:
            self.take_shared(answer, question)
        else:
            self.take_list(answer, question)

    def read(self, datagram: bytes, ident: int) -> KnownList | None:
        """The list of an answer; None where it is that of another question.

        What is the same as the last one, byte for byte, is not read again.

        Raises:
            dns.BadDatagram: It cannot be read, or does not tell the whole list.
        """
        body = datagram[IDENT_SIZE:]
        if self.last_read is None or body != self.last_read.body:
            answer = dns.read_answer(datagram, ident, SERVICE, dns.SRV)
            if answer is None:
                return None
            del self.open_queries[ident]
            serial, services, addresses, texts = answer
            if serial is None:
                raise dns.BadDatagram("no serial")
            self.last_read = ReadAnswer(
                body, KnownList(serial, answered_endpoints(services, addresses, texts))
            )
        else:
            del self.open_queries[ident]
        return self.last_read.told

    def take_shared(self, told: KnownList, question: Question) -> None:
        """Puts a list in force if it is newer. Peers tell lists too, and compare those of one number.

        A lower number than one that a peer has brought may be that of a name service which lags. Lower than
        one that the name service itself has told, it confirms nothing.
        """
        verdict = Verdict.CONFIRMED
        if told.number > self.number:
            verdict = Verdict.NEWER
            self.put_in_force(Agreement.of(told.number, told.endpoints), question)
            self.is_from_peer = False
        elif told.number == self.number:
            self.on_confirmed()
            if self.on_unchanged is not None:
                self.on_unchanged(told.endpoints)
        elif not self.is_from_peer:
            self.note_contradiction(told.number, question)
            return
        self.ask_soon(self.on_response(question.asked.at, verdict))

    def take_list(self, told: KnownList, question: Question) -> None:
        """Puts a list in force, or counts the answer for or against the one that is."""
        now = question.asked.at + (self.reactor.seconds() - question.left_at) * 1000
        found = assess(self.agreement, told.number, told.endpoints, question.asked.at, now)
        self.counters.add(f"lists_{found.verdict.name.lower()}")
        if found.verdict is Verdict.OLDER:
            self.note_contradiction(told.number, question)
        if found.agreement.in_force is not self.agreement.in_force:
            self.put_in_force(found.agreement, question)
        self.agreement = found.agreement
        if found.verdict is Verdict.CONFIRMED:
            self.on_confirmed()
        is_missed = found.covers_serving and self.on_response(question.asked.at, found.verdict)
        self.ask_soon(is_missed or found.query_soon)

    def ask_soon(self, wanted: bool) -> None:
        """One more answer settles something: the next question does not wait for its usual time."""
        if wanted and self.next_question is not None and self.next_question.active():
            self.next_question.reset(ASK_AGAIN)
