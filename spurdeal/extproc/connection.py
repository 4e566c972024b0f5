"""One caller's HTTP/2 connection to the external processing service, by `h2` on Twisted."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import TYPE_CHECKING, Any

from h2 import events
from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.errors import ErrorCodes
from h2.exceptions import H2Error, ProtocolError
from h2.settings import SettingCodes
from hyperframe.frame import GoAwayFrame
from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from .bounds import Meter
from .framing import RESPONSE_HEADERS, Status, status_headers
from .grants import Seen
from .stream import Call

if TYPE_CHECKING:
    from .server import Server

METHOD = b"/envoy.service.ext_proc.v3.ExternalProcessor/Process"
CONTENT_TYPE = b"application/grpc"
MAX_HEADER_LIST = 16_384  # bytes
ABORT_AFTER = 1.0  # seconds that a connection which is cut has to take our last bytes


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
        """Tell the link's clock, in ms."""
        return self.server.clock()

    # Twisted's calls.

    def connectionMade(self) -> None:
        """Say our settings, unless there are too many connections."""
        self.admitted = self.server.came(self)
        if not self.admitted:
            self.transport.abortConnection()
            return
        self.transport.setTcpNoDelay(True)
        self.h2.local_settings = type(self.h2.local_settings)(
            client=False,
            initial_values={
                SettingCodes.MAX_CONCURRENT_STREAMS: self.server.bounds.calls_each,
                SettingCodes.MAX_HEADER_LIST_SIZE: MAX_HEADER_LIST,
            },
        )
        self.h2.initiate_connection()
        self.push()

    def dataReceived(self, data: bytes) -> None:
        """Bytes of HTTP/2; a caller that breaks the protocol is cut."""
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
        """Every call in hand ends as cut."""
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
        """Our answers are read again."""
        self.clogged = False
        self.transport.resumeProducing()

    def stopProducing(self) -> None:
        """Twisted gives the connection up."""
        self.closing = True

    # HTTP/2.

    def happened(self, event: events.Event) -> None:
        """One event of HTTP/2; those that need nothing of us are passed over."""
        call = self.calls.get(getattr(event, "stream_id", 0) or 0)
        match event:
            case events.RequestReceived():
                self.request(event.stream_id, event.headers)
            case events.DataReceived():
                self.data_received(event, call)
            case events.StreamEnded():
                self.stream_ended(call)
            case events.StreamReset():
                self.stream_reset(call)
            case events.WindowUpdated():
                self.window_updated(call)
            case events.RemoteSettingsChanged() | events.PingReceived() | events.PriorityUpdated():
                if self.meter.control(self.now()):
                    self.cut("too many control frames")

    def data_received(self, event: events.DataReceived, call: Call | None) -> None:
        """Bytes of a stream; the window is opened again also where nobody wants them."""
        if event.flow_controlled_length:
            self.h2.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
        if call is not None:
            call.feed(event.data)

    def stream_ended(self, call: Call | None) -> None:
        """The caller says no more on a stream."""
        if call is None:
            return
        call.ended = True
        torn = bool(call.reader.unread) and not call.over
        call.gone(Seen.CANCELLED)
        if torn:
            self.trailers(call, Status.INVALID_ARGUMENT, "a message is cut short")
        else:
            self.trailers(call, Status.OK, "")

    def stream_reset(self, call: Call | None) -> None:
        """The caller has cancelled a stream."""
        if call is not None:
            call.gone(Seen.CANCELLED)
            self.drop(call)
        if self.meter.reset(self.now()):
            self.cut("too many resets")

    def window_updated(self, call: Call | None) -> None:
        """The caller takes more, on one stream or on all."""
        for each in [call] if call is not None else list(self.calls.values()):
            if each.unsent:
                self.flush(each)

    def request(self, stream: int, headers: Iterable[tuple[bytes, bytes]]) -> None:
        """A new stream: a call, or an answer of headers alone that says why not."""
        self.highest = max(self.highest, stream)
        told: Mapping[bytes, bytes] = dict(headers)
        call = Call(self, stream, told.get(b"grpc-timeout"))
        if self.server.stopping:
            self.reset(stream, ErrorCodes.REFUSED_STREAM)  # by the standard: nothing of it was looked at
        elif told.get(b":path") != METHOD or not told.get(b"content-type", b"").startswith(
            b"application/grpc"
        ):
            self.whole(stream, Status.UNIMPLEMENTED, "no such method")
        elif not self.server.door.call(self.meter):
            self.server.counters.add("extproc_refused")
            pushback = (b"grpc-retry-pushback-ms", b"%d" % round(self.server.retry_after))
            self.whole(stream, Status.RESOURCE_EXHAUSTED, "too many calls", (pushback,))
        else:
            self.calls[stream] = call
            self.server.counters.add("extproc_calls")

    def whole(
        self, stream: int, status: Status, why: str, more: tuple[tuple[bytes, bytes], ...] = ()
    ) -> None:
        """An answer of headers alone."""
        fields = (*RESPONSE_HEADERS, *status_headers(status, why), *more)
        self.h2.send_headers(stream, fields, end_stream=True)

    def trailers(self, call: Call, status: Status, why: str) -> None:
        """End a call with a status."""
        if call.stream not in self.calls:
            return
        if call.unsent:
            call.unsent = b""  # what the caller had no window for is not waited for any more
        fields = status_headers(status, why)
        if not call.begun:
            fields = [*RESPONSE_HEADERS, *fields]
        self.guarded(lambda: self.h2.send_headers(call.stream, fields, end_stream=True))
        self.drop(call)
        if not call.ended:
            self.reset(call.stream, ErrorCodes.NO_ERROR)
        self.push()

    def finish(self, call: Call) -> None:
        """The last message and the end of the stream in one write.

        Where the caller's window does not let it through, the message waits for that.
        """
        try:
            if not call.ended and len(call.unsent) <= self.h2.local_flow_control_window(call.stream):
                self.h2.send_data(call.stream, call.unsent)
                call.unsent = b""
                self.h2.send_headers(call.stream, status_headers(Status.OK), end_stream=True)
                self.drop(call)
                return
        except H2Error:
            call.unsent = b""
            self.server.counters.add("extproc_said_too_late")
        self.flush(call)

    def reset(self, stream: int, code: ErrorCodes) -> None:
        """Reset a stream, where it is not over yet."""
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
                self.h2.send_headers(call.stream, RESPONSE_HEADERS)
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
        """Write what h2 has to send."""
        data = self.h2.data_to_send()
        if data and not self.closing:
            self.transport.write(data)

    def drop(self, call: Call) -> None:
        """The stream needs nothing more of us."""
        if self.calls.pop(call.stream, None) is not None:
            self.server.door.ended(self.meter)

    # Ends.

    def cut(self, why: str) -> None:
        """End the connection, as its caller costs others too much; what is written may still leave."""
        self.server.counters.add("extproc_cut")
        self.server.log.warning("extproc_cut", extra={"figures": {"why": why, "calls": len(self.calls)}})
        self.push()
        self.closing = True
        self.transport.loseConnection()
        self.server.reactor.callLater(ABORT_AFTER, self.transport.abortConnection)

    def go_away(self) -> None:
        """No further calls; those in hand are answered. h2 itself would end them with its own frame."""
        frame = GoAwayFrame(0)
        frame.last_stream_id = self.highest
        self.transport.write(frame.serialize())

    def overstays(self, now: float) -> None:
        """End calls and connections that have been quiet, or unread, for too long. now: ms."""
        bounds = self.server.bounds
        if self.clogged:
            if now - self.since > bounds.unread:
                self.server.counters.add("extproc_unread")
                self.transport.abortConnection()
            return
        for call in list(self.calls.values()):
            if not call.asked and now - call.since > bounds.silent:
                call.fail(Status.DEADLINE_EXCEEDED, "nothing was said")
        if not self.calls and now - self.since > bounds.idle:
            self.transport.loseConnection()
