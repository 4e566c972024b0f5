"""The external processing service on HTTP/2: gRPC by `h2` on Twisted, beside the other fronts in one
process."""

from __future__ import annotations

import logging
import struct
from collections.abc import Callable, Mapping
from typing import Any

import h2.events as events
from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.errors import ErrorCodes
from h2.exceptions import H2Error, ProtocolError
from h2.settings import SettingCodes
from hyperframe.frame import GoAwayFrame
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Protocol, ServerFactory, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from ..interface import Ending
from ..net.counters import Counters
from ..net.engines import Engines, Outcome, SendTerms
from ..net.link import Answer, BrokenOff, Granted, Shed, SocketLink
from . import answers
from .bounds import Bounds, Door, Meter
from .calls import BadCall, Terms, header_map, outcome, read_ask, times
from .grants import Grants, Seen

METHOD = b"/envoy.service.ext_proc.v3.ExternalProcessor/Process"
OK, BAD_ARGUMENT, TOO_LATE, TOO_MUCH, OUT_OF_ORDER, UNKNOWN_METHOD = 0, 3, 4, 8, 9, 12  # gRPC status
PREFIX = struct.Struct("!BI")
FRAMED = {phase: PREFIX.pack(0, len(message)) + message for phase, message in answers.GO_ON.items()}
END = ((b"grpc-status", b"0"),)
BEGIN = ((b":status", b"200"), (b"content-type", b"application/grpc"))
LOOK = 0.005  # seconds between two looks at what is held
ASK_AFTER = 0.5  # of the caller's message timeout: then it is asked for more


class Lease:
    """One trip in a caller's hands: as engines.Trip is to the link."""

    __slots__ = ("call", "done", "number")

    def __init__(self, call: Call | None) -> None:
        self.call, self.number = call, call.number if call is not None else -1
        self.done: Deferred[Outcome] = Deferred()


class Granter:
    """The link's carrier for calls: a send grants a place to the caller."""

    def __init__(
        self, engines: Engines, clock: Callable[[], float], terms: Terms, most: int, counters: Counters
    ) -> None:
        self.engines, self.clock, self.terms, self.counters = engines, clock, terms, counters
        self.grants = Grants(most)
        self.calls: dict[bytes, Call] = {}
        self.leases: dict[int, Lease] = {}

    def ready(self, engine: int) -> bool:
        return self.engines.ready(engine)

    def send(
        self,
        engine: int,
        ident: bytes,
        workload: bytes,
        statement: bytes,
        expiry: float,
        at_most_once: bool,
        at_send: Callable[[], SendTerms | None],
    ) -> Lease:
        call = self.calls.get(ident.lower())
        lease = Lease(call)
        seat = self.engines.engines[engine].seat if engine in self.engines.engines else None
        now, told = self.clock(), at_send() if call is not None and seat is not None else None
        if (
            call is None
            or seat is None
            or told is None
            or not self.grants.say(now, call.number, engine, now + told.wait)
        ):
            self.counters.add("grants_not_said")  # its caller left, or its engine did: nothing ran
            lease.done.callback(Outcome(Ending.MOOT))
            return lease
        self.leases[lease.number] = lease
        self.counters.add("grants")
        call.say(seat.host, seat.port, told.wait, told.rank)
        return lease

    def weigh(self, trip: Any, rank: int) -> None:
        """A caller is told a rank once, with its grant."""

    def give_up(self, trip: Any, ending: Ending) -> None:
        seen = Seen.SILENT if ending == Ending.TIME_OUT else Seen.CALLED_OFF
        trip.call.forget()
        self.end(trip.number, self.grants.happens(trip.number, seen))

    def end(self, number: int, ending: Ending | None) -> None:
        lease = self.leases.pop(number, None)
        if lease is not None and ending is not None:
            lease.done.callback(Outcome(ending))


class Call:
    """One stream: one call, from its request headers to its outcome."""

    def __init__(self, processor: Processor, stream: int, patience: bytes | None) -> None:
        self.processor, self.stream, self.since = processor, stream, processor.now()
        self.server = processor.server
        self.number = self.server.next_number()
        self.patience = patience
        self.unread, self.unsent = b"", b""
        self.asked = self.said = self.told = self.over = self.ended = self.begun = False
        self.ident = b""
        self.answer: Deferred[Answer] | None = None
        self.answer_by, self.ask_at, self.ask_ms = 0.0, float("inf"), 0.0

    # What the caller says.

    def feed(self, data: bytes) -> None:
        self.unread += data
        while not self.over and len(self.unread) >= PREFIX.size:
            packed, size = PREFIX.unpack_from(self.unread)
            if packed:
                self.fail(UNKNOWN_METHOD, "messages are not compressed here")
            elif size > self.server.bounds.message:
                self.fail(TOO_MUCH, "a message is too large")
            elif len(self.unread) < PREFIX.size + size:
                return
            else:
                message = self.unread[PREFIX.size : PREFIX.size + size]
                self.unread = self.unread[PREFIX.size + size :]
                self.message(message)

    def message(self, data: bytes) -> None:
        try:
            phase, message = answers.read(data)
            if phase == "request_headers":
                if self.asked:
                    raise BadCall(400, "request_headers come once")
                self.begin(message)
            elif not self.asked:
                self.fail(OUT_OF_ORDER, f"{phase} before request_headers")
            else:
                if phase == "response_headers":
                    self.outcome(message)
                if phase == "response_headers" and self.told and not self.over:
                    # Nothing more is wanted of this call: its end goes out with the answer.
                    self.unsent += FRAMED[phase]
                    self.over = True
                    self.processor.finish(self)
                elif not self.over:
                    self.write(answers.GO_ON[phase])
        except BadCall as fault:
            self.server.counters.add("extproc_bad_calls")
            if self.asked:
                self.fail(BAD_ARGUMENT, str(fault))
            else:
                self.asked = True
                self.immediate(fault.status, str(fault), 0.0)

    def begin(self, message: Any) -> None:
        self.asked = True
        try:
            self.ask(message)
        except BadCall as fault:
            self.server.counters.add("extproc_bad_calls")
            self.immediate(fault.status, str(fault), 0.0)

    def ask(self, message: Any) -> None:
        server, terms = self.server, self.server.terms
        headers = header_map(answers.pairs(message))
        if self.patience is not None:
            headers.setdefault(b"grpc-timeout", self.patience)
        ask = read_ask(headers, terms, server.longest)
        kind = server.workloads.get(ask.workload)
        if kind is None:
            raise BadCall(404, "the workload is not known")
        self.ident = ask.ident.lower()
        if server.stopping or not server.granter.grants.room():
            server.counters.add("extproc_refused")
            self.immediate(503, "TryLater", server.come_back)
            return
        open_now = server.granter.calls.get(self.ident)
        if open_now is not None and not open_now.said:  # a granted one is for the door to judge
            raise BadCall(409, "a submission with this id is open")
        server.granter.calls[self.ident] = self
        server.granter.grants.hold(self.number, self.ident)
        answer = server.link.take(
            ask.ident, ask.workload, kind, ask.wait, ask.cost, ask.memory, ask.group, b"", server.granter
        )
        if answer is None:
            self.let_go(Seen.CANCELLED)
            raise BadCall(409, "a submission with this id is open")
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
        self.server.held.pop(self, None)
        match answer:
            case Granted():
                return  # written by say()
            case Shed(come_back):
                self.let_go(Seen.CANCELLED)
                self.immediate(503, "TryLater", come_back)
            case BrokenOff():
                self.let_go(Seen.CANCELLED)
                self.immediate(500, "Aborted", 0.0)

    def withdrawn(self, failure: Failure) -> None:
        if not isinstance(failure.value, CancelledError):
            failure.raiseException()

    def say(self, host: str, port: int, wait: float, rank: int | None) -> None:
        """The grant leaves: from here on the submission may run."""
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
        self.over = True
        headers = [("content-type", b"application/json")]
        if status == 503 and come_back > 0:
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

    def outcome(self, message: Any) -> None:
        if not self.said:
            if self.answer is not None and not self.over:
                self.fail(OUT_OF_ORDER, "a response to what was not granted")
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
        granter = self.server.granter
        self.forget()
        ending = granter.grants.happens(self.number, seen)
        if ending is not None and self.said:
            self.server.counters.add("extproc_ended_" + ending.name.lower())
        granter.end(self.number, ending)

    def forget(self) -> None:
        if self.server.granter.calls.get(self.ident) is self:
            del self.server.granter.calls[self.ident]

    def fail(self, status: int, why: str) -> None:
        self.server.counters.add("extproc_failed_calls")
        self.gone(Seen.CANCELLED)
        self.processor.trailers(self, status, why)

    def write(self, message: bytes) -> None:
        self.unsent += PREFIX.pack(0, len(message)) + message
        self.processor.flush(self)


@implementer(IPushProducer)
class Processor(Protocol):
    """One caller's connection."""

    transport: Any

    def __init__(self, server: Server) -> None:
        self.server, self.meter = server, Meter(server.bounds)
        # Headers come in as they are and are checked by `calls`; ours are written as they should be.
        self.h2 = H2Connection(
            H2Configuration(
                client_side=False,
                header_encoding=None,
                validate_inbound_headers=False,
                validate_outbound_headers=False,
                normalize_outbound_headers=False,
            )
        )
        self.calls: dict[int, Call] = {}
        self.since = self.now()
        self.admitted = self.closing = self.clogged = self.producing = False
        self.highest = 0

    def now(self) -> float:
        return self.server.clock()

    # Twisted's calls.

    def connectionMade(self) -> None:
        self.admitted = self.server.came(self)
        if not self.admitted:
            self.transport.abortConnection()
            return
        self.transport.setTcpNoDelay(True)
        self.h2.local_settings = type(self.h2.local_settings)(
            client=False,
            initial_values={
                SettingCodes.MAX_CONCURRENT_STREAMS: self.server.bounds.calls_each,
                SettingCodes.MAX_HEADER_LIST_SIZE: 16_384,
            },
        )
        self.h2.initiate_connection()
        self.push()

    def dataReceived(self, data: bytes) -> None:
        if self.closing:
            return
        self.since = self.now()
        if not self.producing:
            # Not before: with TLS what we have said waits for the handshake, and pausing would stop that.
            self.producing = True
            self.transport.registerProducer(self, True)
        try:
            found = self.h2.receive_data(data)
        except (ProtocolError, ValueError, KeyError) as fault:
            self.cut(str(fault))
            return
        for event in found:
            self.happened(event)
            if self.closing:
                return
        self.push()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.closing = True
        for call in list(self.calls.values()):
            call.gone(Seen.CUT)
        self.calls.clear()
        if self.admitted:
            self.server.went(self)

    def pauseProducing(self) -> None:
        """Our answers go unread: nothing more is taken from it until they are."""
        self.clogged, self.since = True, self.now()
        self.transport.pauseProducing()

    def resumeProducing(self) -> None:
        self.clogged = False
        self.transport.resumeProducing()

    def stopProducing(self) -> None:
        self.closing = True

    # HTTP/2.

    def happened(self, event: Any) -> None:
        call = self.calls.get(getattr(event, "stream_id", 0) or 0)
        if isinstance(event, events.RequestReceived):
            self.request(event.stream_id, event.headers)
        elif isinstance(event, events.DataReceived):
            if event.flow_controlled_length:
                self.h2.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
            if call is not None:
                call.feed(event.data)
        elif isinstance(event, events.StreamEnded) and call is not None:
            call.ended = True
            torn = bool(call.unread) and not call.over
            call.gone(Seen.CANCELLED)
            self.trailers(call, BAD_ARGUMENT if torn else OK, "a message is cut short" if torn else "")
        elif isinstance(event, events.StreamReset):
            if call is not None:
                call.gone(Seen.CANCELLED)
                self.drop(call)
            if self.meter.reset(self.now()):
                self.cut("too many resets")
        elif isinstance(event, events.WindowUpdated):
            for each in [call] if call is not None else list(self.calls.values()):
                if each.unsent:
                    self.flush(each)
        if isinstance(
            event, (events.RemoteSettingsChanged, events.PingReceived, events.PriorityUpdated)
        ) and self.meter.control(self.now()):
            self.cut("too many control frames")

    def request(self, stream: int, headers: Any) -> None:
        self.highest = max(self.highest, stream)
        told: Mapping[bytes, bytes] = dict(headers)
        call = Call(self, stream, told.get(b"grpc-timeout"))
        if self.server.stopping:
            self.reset(stream, ErrorCodes.REFUSED_STREAM)  # by the standard: nothing of it was looked at
        elif told.get(b":path") != METHOD or not told.get(b"content-type", b"").startswith(
            b"application/grpc"
        ):
            self.whole(stream, UNKNOWN_METHOD, "no such method")
        elif not self.server.door.call(self.meter):
            self.server.counters.add("extproc_refused")
            self.whole(
                stream,
                TOO_MUCH,
                "too many calls",
                ((b"grpc-retry-pushback-ms", b"%d" % round(self.server.come_back)),),
            )
        else:
            self.calls[stream] = call
            self.server.counters.add("extproc_calls")

    def whole(self, stream: int, status: int, why: str, more: tuple[tuple[bytes, bytes], ...] = ()) -> None:
        """An answer of headers alone."""
        self.h2.send_headers(
            stream,
            (*BEGIN, (b"grpc-status", b"%d" % status), (b"grpc-message", why.encode()), *more),
            end_stream=True,
        )

    def trailers(self, call: Call, status: int, why: str) -> None:
        if call.stream not in self.calls:
            return
        if call.unsent:
            call.unsent = b""  # what the caller had no window for is not waited for any more
        fields = [(b"grpc-status", b"%d" % status)] + ([(b"grpc-message", why.encode())] if why else [])
        if not call.begun:
            fields = [*BEGIN, *fields]
        self.guarded(lambda: self.h2.send_headers(call.stream, fields, end_stream=True))
        self.drop(call)
        if not call.ended:
            self.reset(call.stream, ErrorCodes.NO_ERROR)
        self.push()

    def finish(self, call: Call) -> None:
        """The last message and the end of the stream in one write, where the caller's window lets it
        through."""
        try:
            if not call.ended and len(call.unsent) <= self.h2.local_flow_control_window(call.stream):
                self.h2.send_data(call.stream, call.unsent)
                call.unsent = b""
                self.h2.send_headers(call.stream, END, end_stream=True)
                self.drop(call)
                return
        except H2Error:
            call.unsent = b""
            self.server.counters.add("extproc_said_too_late")
        self.flush(call)

    def reset(self, stream: int, code: ErrorCodes) -> None:
        self.guarded(lambda: self.h2.reset_stream(stream, code))

    def guarded(self, act: Callable[[], None]) -> None:
        """The stream may be over by now: what is said on it then is nobody's loss."""
        try:
            act()
        except H2Error:
            self.server.counters.add("extproc_said_too_late")

    def flush(self, call: Call) -> None:
        """As much as the caller's window lets through; the rest waits for it."""
        if self.closing or call.stream not in self.calls:
            return
        try:
            if not call.begun:
                call.begun = True
                self.h2.send_headers(call.stream, BEGIN)
            window = min(self.h2.local_flow_control_window(call.stream), self.h2.max_outbound_frame_size)
            while call.unsent and window > 0:
                part, call.unsent = call.unsent[:window], call.unsent[window:]
                self.h2.send_data(call.stream, part)
                window = min(self.h2.local_flow_control_window(call.stream), self.h2.max_outbound_frame_size)
        except H2Error:
            call.unsent = b""
            self.server.counters.add("extproc_said_too_late")
        if len(call.unsent) > self.server.bounds.message:
            self.cut("answers go unread")
            return
        self.push()

    def push(self) -> None:
        data = self.h2.data_to_send()
        if data and not self.closing:
            self.transport.write(data)

    def drop(self, call: Call) -> None:
        if self.calls.pop(call.stream, None) is not None:
            self.server.door.ended(self.meter)

    # Ends.

    def cut(self, why: str) -> None:
        self.server.counters.add("extproc_cut")
        self.server.log.warning("extproc_cut", extra={"figures": {"why": why, "calls": len(self.calls)}})
        self.push()
        self.closing = True
        self.transport.loseConnection()
        self.server.reactor.callLater(1.0, self.transport.abortConnection)

    def go_away(self) -> None:
        """No further calls; those in hand are answered. h2 itself would end them with its own frame."""
        frame = GoAwayFrame(0)
        frame.last_stream_id = self.highest
        self.transport.write(frame.serialize())

    def overstays(self, now: float) -> None:
        bounds = self.server.bounds
        if self.clogged:
            if now - self.since > bounds.unread:
                self.server.counters.add("extproc_unread")
                self.transport.abortConnection()
            return
        for call in list(self.calls.values()):
            if not call.asked and now - call.since > bounds.silent:
                call.fail(TOO_LATE, "nothing was said")
        if not self.calls and now - self.since > bounds.idle:
            self.transport.loseConnection()


class Server(ServerFactory):
    """All callers' connections, within their bounds."""

    noisy = False

    def __init__(
        self,
        link: SocketLink,
        engines: Engines,
        workloads: Mapping[bytes, int],
        terms: Terms,
        bounds: Bounds,
        longest: float,
        come_back: float,
        reactor: Any,
        clock: Callable[[], float],
        counters: Counters,
        log: logging.Logger,
    ) -> None:
        self.link, self.workloads, self.terms, self.bounds = link, workloads, terms, bounds
        self.longest, self.come_back = longest, come_back
        self.reactor, self.clock, self.counters, self.log = reactor, clock, counters, log
        self.granter = Granter(engines, clock, terms, bounds.calls, counters)
        self.door = Door(bounds)
        self.connections: dict[Processor, None] = {}
        self.held: dict[Call, None] = {}
        self.numbers = 0
        self.stopping = self.looking = False

    def next_number(self) -> int:
        self.numbers += 1
        return self.numbers

    def holds(self, call: Call) -> None:
        """One timer for all that are held, and none while none is."""
        self.held[call] = None
        if not self.looking:
            self.looking = True
            self.reactor.callLater(LOOK, self.look)

    def look(self) -> None:
        self.looking = False
        now = self.clock()
        for call in list(self.held):
            call.waits(now)
        if self.held:
            self.looking = True
            self.reactor.callLater(LOOK, self.look)

    def buildProtocol(self, addr: Any) -> Processor:
        return Processor(self)

    def came(self, processor: Processor) -> bool:
        if not self.door.connect():
            self.counters.add("extproc_connections_refused")
            return False
        self.connections[processor] = None
        self.counters.add("extproc_connections")
        return True

    def went(self, processor: Processor) -> None:
        self.connections.pop(processor, None)
        self.door.left(processor.meter)

    def stop(self) -> None:
        """A planned stop: callers are told to go elsewhere, and what is in hand is answered."""
        self.stopping = True
        for processor in list(self.connections):
            processor.go_away()

    def sweep(self) -> None:
        now = self.clock()
        for processor in list(self.connections):
            processor.overstays(now)
            processor.push()
