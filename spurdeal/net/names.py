"""Service discovery: queries the name server for the list of engines and passes on newer lists."""

from __future__ import annotations

import logging
import secrets
from collections.abc import Callable
from typing import Any, NamedTuple

from twisted.internet.protocol import DatagramProtocol

from ..interface import Verdict
from ..list_agreement import ListState, assess
from . import dns
from .counters import Counters
from .engine_list import Address, Endpoint, NumberedList, endpoints_from_dns
from .transient_errors import errno_name

SERVICE = "_api._tcp.svc.local"
QUERY_INTERVAL = 0.2  # seconds; a lost response is thus made up for well before changes count as announced
MIN_DELAY_AFTER_RESPONSE = 0.1  # seconds between a response and the next query, at least
RETRY_DELAY = 0.04  # seconds until the next query after one that was not sent or that settled nothing
QUERY_ID_SIZE = 2  # bytes; RFC 1035, section 4.1.1
QUERY_IDS = 1 << 8 * QUERY_ID_SIZE
MAX_OPEN_QUERIES = 64  # queries whose response is still accepted
SILENT_AFTER = 2.0  # seconds without a response until that is logged
MIN_MISSED_TO_LOG = 2  # consecutive unanswered queries; fewer are only counted


class SentQuery(NamedTuple):
    """A sent query as the rules recorded it.

    Attributes:
        sent_ms: When it was sent, in ms of the rules' clock.
        retransmit_after: ms until it is retransmitted if no response arrives.
    """

    sent_ms: float
    retransmit_after: float


class OpenQuery(NamedTuple):
    """A query whose response is still accepted.

    Attributes:
        sent: The query as the rules recorded it.
        sent_s: When it was sent, in seconds of the reactor's clock.
        address: The name server that it was sent to.
    """

    sent: SentQuery
    sent_s: float
    address: Address


class ParsedResponse(NamedTuple):
    """A parsed response: its bytes after the query id, and its list."""

    body: bytes
    listed: NumberedList


class NameService(DatagramProtocol):
    """Queries the whole list periodically and passes on each newer one.

    Attributes:
        address: The address of the name server.
        agreement: The list in force and the responses for and against it.
        peers_share_lists: Whether newer lists also come from peers.
        is_from_peer: Whether the list in force came from a peer.
        on_list: Called with each newer list.
        on_confirmed: Called for each response with the list in force.
        on_unchanged: Called with the endpoints of each response that has the number in force; None if unused.
        on_closed: Called when the socket was closed by an error.
        before_query: Called before each query; may replace the transport.
        on_query_sent: Called after each query with the seconds since then; returns what the rules recorded.
        on_response: Called once the list of a response is in force, with the time at which its query was sent
            and the verdict; returns whether to send the next query early.
        answered_at: When the latest response with a list arrived, in the reactor's seconds; -inf if none has.
        silent_since: The same, but the time of this object's creation if none has.
        missed: Queries sent since the one that was answered last.
        unsent: Consecutive queries that could not be sent.
    """

    transport: Any

    def __init__(
        self,
        reactor: Any,
        address: Address,
        known: NumberedList,
        on_list: Callable[[dict[str, Endpoint]], None],
        counters: Counters,
        log: logging.Logger,
    ) -> None:
        self.reactor, self.address, self.on_list = reactor, address, on_list
        self.list_state = ListState.of(known.number, known.endpoints)
        self.peers_share_lists = self.is_from_peer = False
        self.last_parsed: ParsedResponse | None = None
        self.counters, self.log = counters, log
        # Random, so that a response to a predecessor on the same port is not taken for ours.
        self.query_id = secrets.randbelow(QUERY_IDS)
        self.open_queries = dict[int, OpenQuery]()
        self.missed = 0
        self.next_query: Any = None  # the delayed call
        self.on_confirmed: Callable[[], None] = lambda: None
        self.on_unchanged: Callable[[dict[str, Endpoint]], None] | None = None
        self.on_closed: Callable[[], None] = lambda: None
        self.before_query: Callable[[], None] = lambda: None
        self.on_query_sent: Callable[[float], SentQuery] = lambda _: SentQuery(0.0, 0.0)
        self.on_response: Callable[[float, Verdict], bool] = lambda _at, _verdict: False
        self.answered_at = float("-inf")
        self.silent_since = reactor.seconds()
        self.silent = False
        self.unsent = 0

    def startProtocol(self) -> None:
        """See DatagramProtocol; sends the first query."""
        self.send_query()

    def stopProtocol(self) -> None:
        """See DatagramProtocol; stops the queries, as an error on reading has closed the socket."""
        self.cancel_query()
        self.on_closed()

    def cancel_query(self) -> None:
        """Cancels the next query."""
        if self.next_query is not None and self.next_query.active():
            self.next_query.cancel()
        self.next_query = None

    def switch_server(self, address: Address) -> None:
        """Switches to another name server; the serial numbers continue."""
        self.address = address
        self.cancel_query()
        if self.transport is not None:
            self.send_query()

    def send_query(self) -> None:
        """Sends the next query and schedules the one after it."""
        self.query_id = (self.query_id + 1) % QUERY_IDS
        self.next_query = self.reactor.callLater(QUERY_INTERVAL, self.send_query)
        self.check_silence()
        self.before_query()
        try:
            # Not with the transport's write, which ignores some errors.
            message = dns.encode_query(self.query_id, SERVICE, dns.SRV)
            sent_s = self.reactor.seconds()
            self.transport.getHandle().sendto(message, self.address)
        except OSError as fault:
            self.next_query.reset(RETRY_DELAY)
            self.note_not_sent(fault)
            return
        self.counters.add("names_asked")
        self.unsent = 0
        self.missed += 1
        sent = self.on_query_sent(self.reactor.seconds() - sent_s)
        self.await_response(self.query_id, OpenQuery(sent, sent_s, self.address))

    def await_response(self, ident: int, query: OpenQuery) -> None:
        """Keeps a sent query until its response arrives, and schedules its retransmission."""
        self.open_queries[ident] = query
        if len(self.open_queries) > MAX_OPEN_QUERIES:
            del self.open_queries[next(iter(self.open_queries))]
        if query.sent.retransmit_after > 0.0:  # 0 if no callback decides on it
            self.next_query.reset(query.sent.retransmit_after / 1000)

    def schedule_after_response(self, query: OpenQuery) -> None:
        """Schedules the next query at the usual interval after the latest one, which was answered."""
        if self.next_query is not None and self.next_query.active():
            passed = self.reactor.seconds() - query.sent_s
            self.next_query.reset(max(MIN_DELAY_AFTER_RESPONSE, QUERY_INTERVAL - passed))

    def ensure_querying(self) -> None:
        """Sends a query unless the next one is scheduled."""
        if self.next_query is None or not self.next_query.active():
            self.counters.add("names_asked_on")
            self.send_query()

    def silent_for(self) -> float:
        """Seconds without a response."""
        silence: float = self.reactor.seconds() - self.silent_since
        return silence

    def note_not_sent(self, fault: OSError) -> None:
        """Counts a query that could not be sent, and logs the first of several in a row."""
        self.counters.add("names_not_sent")
        self.counters.add(f"names_not_sent_errno_{fault.errno}")
        self.unsent += 1
        if self.unsent == 1:
            self.log.warning("discovery_not_asked", extra={"figures": {"error": errno_name(fault)}})

    def check_silence(self) -> None:
        """Logs, once per silence, that the list in force may be stale."""
        silence = self.silent_for()
        if silence > SILENT_AFTER:
            self.counters.record_max("names_longest_silence_ms", silence * 1000)
        if silence > SILENT_AFTER and not self.silent:
            self.silent = True
            self.log_silence("discovery_silent", silence)

    def note_response(self, query: OpenQuery) -> None:
        """Records a response with a list."""
        now = self.reactor.seconds()
        self.counters.record_max("names_longest_answer_ms", (now - query.sent_s) * 1000)
        self.note_missed(now)
        silence, self.answered_at = now - self.silent_since, now
        self.silent_since = now
        if self.silent:
            self.silent = False
            self.log_silence("discovery_answers_again", silence)

    def note_missed(self, now: float) -> None:
        """Counts and logs the queries that stayed unanswered until this response."""
        open_now = len(self.open_queries)  # the answered query is already removed
        missed, self.missed = self.missed - 1, 0
        if missed > 0:
            self.counters.add("names_unanswered", missed)
        if missed >= MIN_MISSED_TO_LOG:
            figures = {"questions": missed, "for_ms": (now - self.silent_since) * 1000, "open": open_now}
            self.log.warning("discovery_answers_missed", extra={"figures": figures})

    def log_silence(self, event: str, silence: float) -> None:
        """Logs the begin or the end of a silence of so many seconds."""
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
        """The serial number of the list in force."""
        return self.list_state.number

    def apply(self, agreement: ListState[Endpoint], query: OpenQuery) -> None:
        """Passes a list on; if that fails, the list before stays in force and this one is queried again."""
        before, self.list_state = self.list_state, agreement
        figures = {
            "number": agreement.number,
            "before": before.number,
            "asked_ms_ago": (self.reactor.seconds() - query.sent_s) * 1000,
            "withheld": len(agreement.withheld),
        }
        self.log.info("list_answered", extra={"figures": figures})
        try:
            self.on_list(dict(agreement.in_force))
        except Exception:
            self.list_state = before
            raise

    def adopt_list(self, known: NumberedList) -> None:
        """Replaces the list in force by one from a reloaded configuration or from a peer."""
        self.list_state = ListState.of(known.number, known.endpoints)

    def note_contradiction(self, serial: int, query: OpenQuery) -> None:
        """Logs a response with an older list than the one in force."""
        figures = {
            "number": serial,
            "in_force": self.number,
            "asked_ms_ago": (self.reactor.seconds() - query.sent_s) * 1000,
        }
        self.log.warning("list_contradicted", extra={"figures": figures})

    def datagramReceived(self, datagram: bytes, address: tuple[str, int]) -> None:
        """See DatagramProtocol; drops what is no response to an open query."""
        query = self.open_queries.get(int.from_bytes(datagram[:QUERY_ID_SIZE], "big"))
        if query is None or address[:2] != query.address:
            self.counters.add("names_foreign")
            self.counters.add("names_foreign_address", query is not None)
            return
        try:
            self.handle_response(datagram, query)
        except dns.BadDatagram as fault:
            self.counters.add("names_bad")
            self.log.warning("bad_datagram", extra={"figures": {"why": str(fault)}})

    def handle_response(self, datagram: bytes, query: OpenQuery) -> None:
        """Handles the response to an open query.

        Raises:
            dns.BadDatagram: It cannot be parsed, or does not contain the whole list.
        """
        ident = int.from_bytes(datagram[:QUERY_ID_SIZE], "big")
        received = self.parse_and_close(datagram, ident)
        if received is None:
            self.counters.add("names_foreign")
            return
        self.counters.add("names_answered")
        self.note_response(query)
        if ident == self.query_id:
            self.schedule_after_response(query)
        if self.peers_share_lists:
            self.apply_if_newer(received, query)
        else:
            self.apply_assessed(received, query)

    def parse_and_close(self, datagram: bytes, ident: int) -> NumberedList | None:
        """Parses a response and removes its query from the open ones; None if it answers another query.

        A response that equals the last one byte for byte is not parsed again. The query stays open if
        `dns.decode_response` rejects the message.

        Raises:
            dns.BadDatagram: It cannot be parsed, or does not contain the whole list.
        """
        body = datagram[QUERY_ID_SIZE:]
        if self.last_parsed is None or body != self.last_parsed.body:
            parsed = dns.decode_response(datagram, ident, SERVICE, dns.SRV)
            if parsed is None:
                return None
            del self.open_queries[ident]
            serial, services, addresses, texts = parsed
            if serial is None:
                raise dns.BadDatagram("no serial")
            self.last_parsed = ParsedResponse(
                body, NumberedList(serial, endpoints_from_dns(services, addresses, texts))
            )
        else:
            del self.open_queries[ident]
        return self.last_parsed.listed

    def apply_if_newer(self, received: NumberedList, query: OpenQuery) -> None:
        """Puts a list in force if its number is higher; for peers that share lists and compare equal numbers.

        A number lower than that of a list from a peer may come from a lagging name server, and still counts
        as a confirmation. A number lower than one from the name server itself confirms nothing.
        """
        verdict = Verdict.CONFIRMED
        if received.number > self.number:
            verdict = Verdict.NEWER
            self.apply(ListState.of(received.number, received.endpoints), query)
            self.is_from_peer = False
        elif received.number == self.number:
            self.on_confirmed()
            if self.on_unchanged is not None:
                self.on_unchanged(received.endpoints)
        elif not self.is_from_peer:
            self.note_contradiction(received.number, query)
            return
        self.advance_next_query(self.on_response(query.sent.sent_ms, verdict))

    def apply_assessed(self, received: NumberedList, query: OpenQuery) -> None:
        """Assesses a list against the one in force, and puts the result in force."""
        now = query.sent.sent_ms + (self.reactor.seconds() - query.sent_s) * 1000
        assessment = assess(self.list_state, received.number, received.endpoints, query.sent.sent_ms, now)
        self.counters.add(f"lists_{assessment.verdict.name.lower()}")
        if assessment.verdict is Verdict.OLDER:
            self.note_contradiction(received.number, query)
        if assessment.list_state.in_force is not self.list_state.in_force:
            self.apply(assessment.list_state, query)
        self.list_state = assessment.list_state
        if assessment.verdict is Verdict.CONFIRMED:
            self.on_confirmed()
        rules_want_query = assessment.covers_serving and self.on_response(
            query.sent.sent_ms, assessment.verdict
        )
        self.advance_next_query(rules_want_query or assessment.query_soon)

    def advance_next_query(self, wanted: bool) -> None:
        """Sends the next query early if one more response can settle something."""
        if wanted and self.next_query is not None and self.next_query.active():
            self.next_query.reset(RETRY_DELAY)
