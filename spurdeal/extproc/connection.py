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

from .bounds import ConnectionUsage
from .framing import RESPONSE_HEADERS, Status, status_headers
from .grants import GrantEvent
from .stream import Call

if TYPE_CHECKING:
    from .server import Server

METHOD = b"/envoy.service.ext_proc.v3.ExternalProcessor/Process"
CONTENT_TYPE = b"application/grpc"
MAX_HEADER_LIST = 16_384  # bytes
ABORT_AFTER = 1.0  # seconds that a closing connection has to read the last bytes before it is aborted


@implementer(IPushProducer)
class ProcessorConnection(Protocol):
    """One caller's HTTP/2 connection: its streams, flow control and limits.

    Attributes:
        calls: Open calls by stream id.
        last_activity: When data last arrived or the write buffer became full, in ms of the adapter's clock.
        admitted: Whether the connection is within the limit and counted.
        closing: Whether nothing more is read or written.
        write_blocked: Whether reading is paused because the write buffer is full.
        producing: Whether this is registered as the transport's producer.
        highest_stream_id: The highest id of a stream that the caller has opened; sent with GOAWAY.
    """

    transport: Any

    def __init__(self, server: Server) -> None:
        self.server, self.usage = server, ConnectionUsage(server.bounds)
        # Inbound headers are validated in `calls`; outbound headers are constants in the right form.
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
        self.last_activity = self.now()
        self.admitted = self.closing = self.write_blocked = self.producing = False
        self.highest_stream_id = 0

    def now(self) -> float:
        """Return the adapter's clock, in ms."""
        return self.server.clock()

    # Callbacks of Twisted.

    def connectionMade(self) -> None:
        """Send the HTTP/2 settings, or abort if there are too many connections."""
        self.admitted = self.server.connection_opened(self)
        if not self.admitted:
            self.transport.abortConnection()
            return
        self.transport.setTcpNoDelay(True)
        self.h2.local_settings = type(self.h2.local_settings)(
            client=False,
            initial_values={
                SettingCodes.MAX_CONCURRENT_STREAMS: self.server.bounds.max_calls_each,
                SettingCodes.MAX_HEADER_LIST_SIZE: MAX_HEADER_LIST,
            },
        )
        self.h2.initiate_connection()
        self.write_pending()

    def dataReceived(self, data: bytes) -> None:
        """Process received bytes; a protocol error closes the connection."""
        if self.closing:
            return
        self.last_activity = self.now()
        if not self.producing:
            # Not earlier: with TLS the settings wait for the handshake, and pausing reads would block it.
            self.producing = True
            self.transport.registerProducer(self, True)
        try:
            found = self.h2.receive_data(data)
        except (ProtocolError, ValueError, KeyError) as error:
            self.disconnect(str(error))
            return
        for event in found:
            self.handle_event(event)
            if self.closing:
                return
        self.write_pending()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """End every open call with GrantEvent.CUT."""
        self.closing = True
        for call in list(self.calls.values()):
            call.stream_closed(GrantEvent.CUT)
        self.calls.clear()
        if self.admitted:
            self.server.connection_closed(self)

    def pauseProducing(self) -> None:
        """The write buffer is full: stop reading until the caller reads its responses."""
        self.write_blocked, self.last_activity = True, self.now()
        self.transport.pauseProducing()

    def resumeProducing(self) -> None:
        """The write buffer has drained: read again."""
        self.write_blocked = False
        self.transport.resumeProducing()

    def stopProducing(self) -> None:
        """Twisted has given up the connection: write nothing more."""
        self.closing = True

    # HTTP/2.

    def handle_event(self, event: events.Event) -> None:
        """Dispatch an h2 event; events without a case need no action."""
        call = self.calls.get(getattr(event, "stream_id", 0) or 0)
        match event:
            case events.RequestReceived():
                self.open_stream(event.stream_id, event.headers)
            case events.DataReceived():
                self.data_received(event, call)
            case events.StreamEnded():
                self.stream_ended(call)
            case events.StreamReset():
                self.stream_reset(call)
            case events.WindowUpdated():
                self.window_updated(call)
            case events.RemoteSettingsChanged() | events.PingReceived() | events.PriorityUpdated():
                if self.usage.count_control(self.now()):
                    self.disconnect("too many control frames")

    def data_received(self, event: events.DataReceived, call: Call | None) -> None:
        """Pass data to its call, and acknowledge it for flow control even if the call is over."""
        if event.flow_controlled_length:
            self.h2.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
        if call is not None:
            call.feed(event.data)

    def stream_ended(self, call: Call | None) -> None:
        """The caller half-closed a stream: end its call."""
        if call is None:
            return
        call.remote_closed = True
        truncated = bool(call.reader.buffer) and not call.finished
        call.stream_closed(GrantEvent.CANCELLED)
        if truncated:
            self.end_with_status(call, Status.INVALID_ARGUMENT, "a message is cut short")
        else:
            self.end_with_status(call, Status.OK, "")

    def stream_reset(self, call: Call | None) -> None:
        """The caller reset a stream: end its call as cancelled."""
        if call is not None:
            call.stream_closed(GrantEvent.CANCELLED)
            self.release(call)
        if self.usage.count_reset(self.now()):
            self.disconnect("too many resets")

    def window_updated(self, call: Call | None) -> None:
        """The flow control window of one stream, or of the connection, has grown: send queued data."""
        for each in [call] if call is not None else list(self.calls.values()):
            if each.unsent:
                self.flush(each)

    def open_stream(self, stream_id: int, headers: Iterable[tuple[bytes, bytes]]) -> None:
        """Open a call on a new stream, or refuse it with a trailers-only response."""
        self.highest_stream_id = max(self.highest_stream_id, stream_id)
        request_headers: Mapping[bytes, bytes] = dict(headers)
        call = Call(self, stream_id, request_headers.get(b"grpc-timeout"))
        if self.server.stopping:
            self.reset(stream_id, ErrorCodes.REFUSED_STREAM)  # RFC 9113: nothing was processed, safe to retry
        elif request_headers.get(b":path") != METHOD or not request_headers.get(
            b"content-type", b""
        ).startswith(b"application/grpc"):
            self.send_headers_only(stream_id, Status.UNIMPLEMENTED, "no such method")
        elif not self.server.admission.admit_call(self.usage):
            self.server.counters.add("extproc_refused")
            pushback = (b"grpc-retry-pushback-ms", b"%d" % round(self.server.retry_after))
            self.send_headers_only(stream_id, Status.RESOURCE_EXHAUSTED, "too many calls", (pushback,))
        else:
            self.calls[stream_id] = call
            self.server.counters.add("extproc_calls")

    def send_headers_only(
        self, stream_id: int, status: Status, why: str, more: tuple[tuple[bytes, bytes], ...] = ()
    ) -> None:
        """Send a trailers-only response, which ends the stream."""
        fields = (*RESPONSE_HEADERS, *status_headers(status, why), *more)
        self.h2.send_headers(stream_id, fields, end_stream=True)

    def end_with_status(self, call: Call, status: Status, why: str) -> None:
        """End a call with trailers; data that waits for flow control window is discarded."""
        if call.stream_id not in self.calls:
            return
        if call.unsent:
            call.unsent = b""  # the flow control window for it may never come
        fields = status_headers(status, why)
        if not call.headers_sent:
            fields = [*RESPONSE_HEADERS, *fields]
        self.ignore_closed_stream(lambda: self.h2.send_headers(call.stream_id, fields, end_stream=True))
        self.release(call)
        if not call.remote_closed:
            self.reset(call.stream_id, ErrorCodes.NO_ERROR)
        self.write_pending()

    def finish(self, call: Call) -> None:
        """Send the last message and the trailers in one write.

        If the flow control window is too small, the message is queued until it grows.
        """
        try:
            if not call.remote_closed and len(call.unsent) <= self.h2.local_flow_control_window(
                call.stream_id
            ):
                self.h2.send_data(call.stream_id, call.unsent)
                call.unsent = b""
                self.h2.send_headers(call.stream_id, status_headers(Status.OK), end_stream=True)
                self.release(call)
                return
        except H2Error:
            call.unsent = b""
            self.server.counters.add("extproc_said_too_late")
        self.flush(call)

    def reset(self, stream_id: int, code: ErrorCodes) -> None:
        """Reset a stream, unless it is closed already."""
        self.ignore_closed_stream(lambda: self.h2.reset_stream(stream_id, code))

    def ignore_closed_stream(self, send: Callable[[], None]) -> None:
        """Call `send`; count and ignore the error if the stream is closed by now."""
        try:
            send()
        except H2Error:
            self.server.counters.add("extproc_said_too_late")

    def flush(self, call: Call) -> None:
        """Send as much as the flow control window allows; the rest stays queued."""
        if self.closing or call.stream_id not in self.calls:
            return
        try:
            if not call.headers_sent:
                call.headers_sent = True
                self.h2.send_headers(call.stream_id, RESPONSE_HEADERS)
            window = min(self.h2.local_flow_control_window(call.stream_id), self.h2.max_outbound_frame_size)
            while call.unsent and window > 0:
                part, call.unsent = call.unsent[:window], call.unsent[window:]
                self.h2.send_data(call.stream_id, part)
                window = min(
                    self.h2.local_flow_control_window(call.stream_id), self.h2.max_outbound_frame_size
                )
        except H2Error:
            call.unsent = b""
            self.server.counters.add("extproc_said_too_late")
        if len(call.unsent) > self.server.bounds.max_message:
            self.disconnect("answers go unread")
            return
        self.write_pending()

    def write_pending(self) -> None:
        """Write the bytes that h2 has queued to the transport."""
        data = self.h2.data_to_send()
        if data and not self.closing:
            self.transport.write(data)

    def release(self, call: Call) -> None:
        """Forget a call whose stream is closed, and release its slot."""
        if self.calls.pop(call.stream_id, None) is not None:
            self.server.admission.call_ended(self.usage)

    # Closing.

    def disconnect(self, why: str) -> None:
        """Close a connection that violates the protocol or its limits; written data may still be sent."""
        self.server.counters.add("extproc_cut")
        self.server.log.warning("extproc_cut", extra={"figures": {"why": why, "calls": len(self.calls)}})
        self.write_pending()
        self.closing = True
        self.transport.loseConnection()
        self.server.reactor.callLater(ABORT_AFTER, self.transport.abortConnection)

    def send_goaway(self) -> None:
        """Send GOAWAY: open calls are finished; h2's own close_connection would end them."""
        frame = GoAwayFrame(0)
        frame.last_stream_id = self.highest_stream_id
        self.transport.write(frame.serialize())

    def enforce_timeouts(self, now: float) -> None:
        """End calls and connections that exceed a timeout of Bounds. now: ms."""
        bounds = self.server.bounds
        if self.write_blocked:
            if now - self.last_activity > bounds.unread_after:
                self.server.counters.add("extproc_unread")
                self.transport.abortConnection()
            return
        for call in list(self.calls.values()):
            if not call.request_received and now - call.opened_at > bounds.silent_after:
                call.fail(Status.DEADLINE_EXCEEDED, "nothing was said")
        if not self.calls and now - self.last_activity > bounds.idle_after:
            self.transport.loseConnection()
