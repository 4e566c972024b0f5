"""One stream of the external processing service: one call, from its request headers to its outcome."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure

from ..net.link import Answer, Failed, Granted, Shed
from . import answers
from . import processor_pb2 as pb
from .calls import Ask, BadCallError, header_map, outcome, read_ask, times
from .framing import BadFrameError, MessageReader, Status, framed
from .grants import Seen

if TYPE_CHECKING:
    from .connection import Processor

FRAMED = {phase: framed(message) for phase, message in answers.GO_ON.items()}
ASK_AFTER = 0.5  # of the caller's message timeout: then it is asked for more


class Call:
    """One stream: one call, from its request headers to its outcome."""

    def __init__(self, processor: Processor, stream: int, patience: bytes | None) -> None:
        self.processor, self.stream, self.since = processor, stream, processor.now()
        self.server = processor.server
        self.number = self.server.next_number()
        self.patience = patience
        self.reader, self.unsent = MessageReader(self.server.bounds.message), b""
        self.asked = self.said = self.told = self.over = self.ended = self.begun = False
        self.ident = b""
        self.answer: Deferred[Answer] | None = None
        self.answer_by, self.ask_at, self.ask_ms = 0.0, float("inf"), 0.0

    # What the caller says.

    def feed(self, data: bytes) -> None:
        """Bytes of the stream have come."""
        self.reader.feed(data)
        try:
            while not self.over and (message := self.reader.take()) is not None:
                self.message(message)
        except BadFrameError as fault:
            self.fail(fault.status, str(fault))

    def message(self, data: bytes) -> None:
        """One message; where it cannot be used, it is answered or the call ends."""
        try:
            self.phase(*answers.read(data))
        except BadCallError as fault:
            self.server.counters.add("extproc_bad_calls")
            if self.asked:
                self.fail(Status.INVALID_ARGUMENT, str(fault))
            else:
                self.asked = True
                self.immediate(fault.status, str(fault), 0.0)

    def phase(self, phase: str, message: pb.HttpHeaders) -> None:
        """A message of a phase.

        Raises:
            BadCallError: It cannot be used.
        """
        if phase == "request_headers":
            if self.asked:
                raise BadCallError(400, "request_headers come once")
            self.begin(message)
            return
        if not self.asked:
            self.fail(Status.FAILED_PRECONDITION, f"{phase} before request_headers")
            return
        if phase == "response_headers":
            self.outcome(message)
        if self.over:
            return
        if phase == "response_headers" and self.told:
            # Nothing more is wanted of this call: its end goes out with the answer.
            self.unsent += FRAMED[phase]
            self.over = True
            self.processor.finish(self)
        else:
            self.write(answers.GO_ON[phase])

    def begin(self, message: pb.HttpHeaders) -> None:
        """The call itself; one that cannot be used is answered at once."""
        self.asked = True
        try:
            self.ask(message)
        except BadCallError as fault:
            self.server.counters.add("extproc_bad_calls")
            self.immediate(fault.status, str(fault), 0.0)

    def ask(self, message: pb.HttpHeaders) -> None:
        """Read the call and take it, or refuse it. Raises BadCallError for one that cannot be used."""
        server, terms = self.server, self.server.terms
        headers = header_map(answers.pairs(message))
        if self.patience is not None:
            headers.setdefault(b"grpc-timeout", self.patience)
        ask = read_ask(headers, terms, server.longest)
        kind = server.workloads.get(ask.workload)
        if kind is None:
            raise BadCallError(404, "the workload is not known")
        self.ident = ask.ident.lower()
        if server.stopping or not server.granter.grants.room():
            server.counters.add("extproc_refused")
            self.immediate(503, "TryLater", server.come_back)
            return
        open_now = server.granter.calls.get(self.ident)
        if open_now is not None and not open_now.said:  # a granted one is for the door to judge
            raise BadCallError(409, "a submission with this id is open")
        server.granter.calls[self.ident] = self
        server.granter.grants.hold(self.number, self.ident)
        self.take(ask, kind)

    def take(self, ask: Ask, kind: int) -> None:
        """Hand the request to the link, and await what becomes of it.

        Raises:
            BadCallError: One with its id is open.
        """
        server, terms = self.server, self.server.terms
        answer = server.adapter.accept_request(
            ask.ident, ask.workload, kind, ask.wait, ask.cost, ask.memory, ask.group, b"", server.granter
        )
        if answer is None:
            self.let_go(Seen.CANCELLED)
            raise BadCallError(409, "a submission with this id is open")
        self.answer = answer
        until = times(terms, ask.wait, ask.patience)
        now = server.clock()
        self.answer_by = now + until.answer_by
        if until.ask_for:
            self.ask_at, self.ask_ms = now + ASK_AFTER * terms.message_timeout, until.ask_for
        server.holds(self)
        answer.addCallbacks(self.concluded, self.withdrawn)

    # Answers.

    def concluded(self, answer: Answer) -> None:
        """The link's last word; a grant was written when it was given."""
        self.server.held.pop(self, None)
        match answer:
            case Granted():
                return  # written by say()
            case Shed(come_back):
                self.let_go(Seen.CANCELLED)
                self.immediate(503, "TryLater", come_back)
            case Failed():
                self.let_go(Seen.CANCELLED)
                self.immediate(500, "Aborted", 0.0)

    def withdrawn(self, failure: Failure) -> None:
        """The link's answer was cancelled by us; anything else is a fault."""
        if not isinstance(failure.value, CancelledError):
            failure.raiseException()

    def say(self, host: str, port: int, wait: float, rank: int | None) -> None:
        """The grant leaves: from here on the request may run."""
        terms, place = self.server.terms, f"{host}:{port}".encode()
        self.said = True
        self.server.held.pop(self, None)
        self.write(
            answers.granted(
                (
                    ("x-envoy-original-dst-host", place),
                    ("x-spurdeal-to", place),
                    ("x-spurdeal-id", self.ident),
                    ("x-spurdeal-rank", b"%d" % (1 if rank is None else rank)),
                    ("x-spurdeal-wait-ms", b"%d" % max(1, int(wait))),
                    ("x-spurdeal-use-within-ms", b"%d" % int(terms.use_within)),
                )
            )
        )

    def immediate(self, status: int, why: str, come_back: float) -> None:
        """Answer the client at once with this status. come_back: ms, told with 503."""
        self.over = True
        headers = [("content-type", b"application/json")]
        if status == HTTPStatus.SERVICE_UNAVAILABLE and come_back > 0:
            headers.append(("srv-wait-ms", b"%d" % round(come_back)))
        self.server.counters.add(f"extproc_answers_{status}")
        self.write(
            answers.immediate(
                status, b'{"fault":"%b"}' % why.encode().replace(b'"', b"'"), headers, why.replace(" ", "_")
            )
        )

    def waits(self, now: float) -> None:
        """It is held: the caller is asked for more time, or refused while that can still be heard."""
        if now >= self.answer_by:
            self.too_late()
        elif now >= self.ask_at:
            self.ask_at = float("inf")
            self.server.counters.add("extproc_asked_for_time")
            self.write(answers.wait_longer(self.ask_ms))

    def too_late(self) -> None:
        """The caller's own time is nearly up while it is held: refused while that can still be heard."""
        if self.answer is not None and not self.said and not self.over:
            self.server.counters.add("extproc_caller_out_of_time")
            self.over = True
            self.server.held.pop(self, None)
            self.let_go(Seen.CANCELLED)
            self.answer.cancel()
            self.immediate(503, "TryLater", self.server.come_back)

    # Ends.

    def outcome(self, message: pb.HttpHeaders) -> None:
        """What the caller tells of a granted attempt; one that comes late changes nothing."""
        if not self.said:
            if self.answer is not None and not self.over:
                self.fail(Status.FAILED_PRECONDITION, "a response to what was not granted")
            return
        self.told = True
        ending = outcome(header_map(answers.pairs(message)), self.server.terms)
        granter = self.server.granter
        heard = granter.grants.heard(self.number, ending)
        if heard is None:
            self.server.counters.add("extproc_outcomes_late")
            return
        self.server.counters.add("extproc_outcomes_" + heard.name.lower())
        self.forget()
        granter.end(self.number, heard)

    def gone(self, seen: Seen) -> None:
        """The stream is over, from either side."""
        self.over = True
        self.server.held.pop(self, None)
        held = self.answer is not None and not self.said
        self.let_go(seen)
        if held and self.answer is not None:
            self.answer.cancel()

    def let_go(self, seen: Seen) -> None:
        """The grant ends by this, and the link is told how."""
        granter = self.server.granter
        self.forget()
        ending = granter.grants.happens(self.number, seen)
        if ending is not None and self.said:
            self.server.counters.add("extproc_ended_" + ending.name.lower())
        granter.end(self.number, ending)

    def forget(self) -> None:
        """Its id is free for another call."""
        if self.server.granter.calls.get(self.ident) is self:
            del self.server.granter.calls[self.ident]

    def fail(self, status: Status, why: str) -> None:
        """End the call with a gRPC status."""
        self.server.counters.add("extproc_failed_calls")
        self.gone(Seen.CANCELLED)
        self.processor.trailers(self, status, why)

    def write(self, message: bytes) -> None:
        """Queue a message; it leaves as the caller's window allows."""
        self.unsent += framed(message)
        self.processor.flush(self)
