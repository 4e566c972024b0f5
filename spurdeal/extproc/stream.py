"""A gRPC stream of the external processing service, which carries one call."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure

from ..net.link import Answer, Failed, Granted, Shed
from . import answers
from . import processor_pb2 as pb
from .calls import BadCallError, CallRequest, answer_times, header_map, parse_call, parse_outcome
from .framing import BadFrameError, MessageReader, Status, frame_message
from .grants import GrantEvent

if TYPE_CHECKING:
    from .connection import ProcessorConnection

FRAMED_CONTINUE_RESPONSES = {
    phase: frame_message(message) for phase, message in answers.CONTINUE_RESPONSES.items()
}
EXTEND_AFTER = 0.5  # fraction of the caller's message timeout after which an extension is requested


class Call:
    """One call on one gRPC stream, from its request headers to its outcome.

    Attributes:
        number: The call's number, unique in this process; that of its grant.
        opened_at: When the stream was opened, in ms of the adapter's clock.
        caller_timeout: The stream's grpc-timeout header; None if it has none.
        unsent: Framed messages that wait for flow control window.
        request_received: Whether request_headers, or an invalid first message, has been received.
        granted: Whether the grant has been sent, so that the request may run.
        outcome_received: Whether response_headers have been received for the grant.
        finished: Whether further messages from the caller are ignored.
        remote_closed: Whether the caller has half-closed the stream.
        headers_sent: Whether the response's HTTP/2 headers have been sent.
        answer: The adapter's answer; None until the call has been passed to it.
        answer_by: When a queued call is rejected, in ms of the adapter's clock.
        extend_at: When more time is requested, in ms of the adapter's clock; inf: never, or done.
        extended_timeout: The message timeout to request then, in ms.
    """

    def __init__(self, connection: ProcessorConnection, stream_id: int, caller_timeout: bytes | None) -> None:
        self.connection, self.stream_id, self.opened_at = connection, stream_id, connection.now()
        self.server = connection.server
        self.number = self.server.next_number()
        self.caller_timeout = caller_timeout
        self.reader, self.unsent = MessageReader(self.server.bounds.max_message), b""
        self.request_received = self.granted = self.outcome_received = self.finished = self.remote_closed = (
            self.headers_sent
        ) = False
        self.ident = b""
        self.answer: Deferred[Answer] | None = None
        self.answer_by, self.extend_at, self.extended_timeout = 0.0, float("inf"), 0.0

    # Messages from the caller.

    def feed(self, data: bytes) -> None:
        """Process received bytes of the stream."""
        self.reader.feed(data)
        try:
            while not self.finished and (message := self.reader.take()) is not None:
                self.handle_message(message)
        except BadFrameError as error:
            self.fail(error.status, str(error))

    def handle_message(self, data: bytes) -> None:
        """Process one message; an invalid one is rejected or ends the call."""
        try:
            self.handle_phase(*answers.parse_request(data))
        except BadCallError as error:
            self.server.counters.add("extproc_bad_calls")
            if self.request_received:
                self.fail(Status.INVALID_ARGUMENT, str(error))
            else:
                self.request_received = True
                self.reject(error.status, str(error), 0.0)

    def handle_phase(self, phase: str, message: pb.HttpHeaders) -> None:
        """Process a message of this phase.

        Raises:
            BadCallError: The message is invalid.
        """
        if phase == "request_headers":
            if self.request_received:
                raise BadCallError(400, "request_headers come once")
            self.begin(message)
            return
        if not self.request_received:
            self.fail(Status.FAILED_PRECONDITION, f"{phase} before request_headers")
            return
        if phase == "response_headers":
            self.handle_outcome(message)
        if self.finished:
            return
        if phase == "response_headers" and self.outcome_received:
            # The call needs nothing more: the response and the trailers are sent together.
            self.unsent += FRAMED_CONTINUE_RESPONSES[phase]
            self.finished = True
            self.connection.finish(self)
        else:
            self.write(answers.CONTINUE_RESPONSES[phase])

    def begin(self, message: pb.HttpHeaders) -> None:
        """Process request_headers; an invalid call is rejected at once."""
        self.request_received = True
        try:
            self.admit(message)
        except BadCallError as error:
            self.server.counters.add("extproc_bad_calls")
            self.reject(error.status, str(error), 0.0)

    def admit(self, message: pb.HttpHeaders) -> None:
        """Parse the call and pass it on, or reject it with 503.

        Raises:
            BadCallError: The call is invalid, or a call with its id is queued.
        """
        server, caller_settings = self.server, self.server.caller_settings
        headers = header_map(answers.header_pairs(message))
        if self.caller_timeout is not None:
            headers.setdefault(b"grpc-timeout", self.caller_timeout)
        request = parse_call(headers, caller_settings, server.longest)
        workload = server.workloads.get(request.workload)
        if workload is None:
            raise BadCallError(404, "the workload is not known")
        self.ident = request.ident.lower()
        if server.stopping or not server.granter.grants.has_room():
            server.counters.add("extproc_refused")
            self.reject(503, "TryLater", server.retry_after)
            return
        open_call = server.granter.calls.get(self.ident)
        if (
            open_call is not None and not open_call.granted
        ):  # one that repeats a granted call goes to the adapter, whose Guard decides whether it may run
            raise BadCallError(409, "a submission with this id is open")
        server.granter.calls[self.ident] = self
        server.granter.grants.add(self.number, self.ident)
        self.dispatch(request, workload)

    def dispatch(self, request: CallRequest, workload: int) -> None:
        """Pass the request to the adapter and queue the call until it is answered.

        Raises:
            BadCallError: A request with this id is open.
        """
        server, caller_settings = self.server, self.server.caller_settings
        answer = server.adapter.accept_request(
            request.ident,
            request.workload,
            workload,
            request.client_timeout,
            request.cost,
            request.memory,
            request.group,
            b"",
            server.granter,
        )
        if answer is None:
            self.end_grant(GrantEvent.CANCELLED)
            raise BadCallError(409, "a submission with this id is open")
        self.answer = answer
        limits = answer_times(caller_settings, request.client_timeout, request.caller_timeout)
        now = server.clock()
        self.answer_by = now + limits.answer_within
        if limits.extended_timeout:
            self.extend_at, self.extended_timeout = (
                now + EXTEND_AFTER * caller_settings.message_timeout,
                limits.extended_timeout,
            )
        server.add_queued(self)
        answer.addCallbacks(self.adapter_answered, self.adapter_cancelled)

    # Responses to the caller.

    def adapter_answered(self, answer: Answer) -> None:
        """The adapter's final answer: end and reject the call, unless it was granted."""
        self.server.queued.pop(self, None)
        match answer:
            case Granted():
                return  # sent by send_grant()
            case Shed(retry_after):
                self.end_grant(GrantEvent.CANCELLED)
                self.reject(503, "TryLater", retry_after)
            case Failed():
                self.end_grant(GrantEvent.CANCELLED)
                self.reject(500, "Aborted", 0.0)

    def adapter_cancelled(self, failure: Failure) -> None:
        """Ignore the cancellation of the adapter's answer; raise any other failure."""
        if not isinstance(failure.value, CancelledError):
            failure.raiseException()

    def send_grant(self, host: str, port: int, wait: float, rank: int | None) -> None:
        """Send the grant: from now on the request may run. wait: ms for which the engine may work on it."""
        caller_settings, address = self.server.caller_settings, f"{host}:{port}".encode()
        self.granted = True
        self.server.queued.pop(self, None)
        self.write(
            answers.grant_response(
                (
                    ("x-envoy-original-dst-host", address),
                    ("x-spurdeal-to", address),
                    ("x-spurdeal-id", self.ident),
                    ("x-spurdeal-rank", b"%d" % (1 if rank is None else rank)),
                    ("x-spurdeal-wait-ms", b"%d" % max(1, int(wait))),
                    ("x-spurdeal-use-within-ms", b"%d" % int(caller_settings.use_within)),
                )
            )
        )

    def reject(self, status: int, why: str, retry_after: float) -> None:
        """Send an immediate response with this HTTP status. retry_after: ms, sent with 503 only."""
        self.finished = True
        headers = [("content-type", b"application/json")]
        if status == HTTPStatus.SERVICE_UNAVAILABLE and retry_after > 0:
            headers.append(("srv-wait-ms", b"%d" % round(retry_after)))
        self.server.counters.add(f"extproc_answers_{status}")
        self.write(
            answers.immediate_response(
                status, b'{"fault":"%b"}' % why.encode().replace(b'"', b"'"), headers, why.replace(" ", "_")
            )
        )

    def check_timeouts(self, now: float) -> None:
        """Request more time for a queued call, or reject it before the caller's timeout. now: ms."""
        if now >= self.answer_by:
            self.reject_late()
        elif now >= self.extend_at:
            self.extend_at = float("inf")
            self.server.counters.add("extproc_asked_for_time")
            self.write(answers.request_more_time(self.extended_timeout))

    def reject_late(self) -> None:
        """Reject a queued call just before the caller's timeout, so that the response still arrives."""
        if self.answer is not None and not self.granted and not self.finished:
            self.server.counters.add("extproc_caller_out_of_time")
            self.finished = True
            self.server.queued.pop(self, None)
            self.end_grant(GrantEvent.CANCELLED)
            self.answer.cancel()
            self.reject(503, "TryLater", self.server.retry_after)

    # End of the call.

    def handle_outcome(self, message: pb.HttpHeaders) -> None:
        """Record the outcome of a granted attempt; a late one is only counted."""
        if not self.granted:
            if self.answer is not None and not self.finished:
                self.fail(Status.FAILED_PRECONDITION, "a response to what was not granted")
            return
        self.outcome_received = True
        ending = parse_outcome(header_map(answers.header_pairs(message)), self.server.caller_settings)
        granter = self.server.granter
        recorded = granter.grants.record_outcome(self.number, ending)
        if recorded is None:
            self.server.counters.add("extproc_outcomes_late")
            return
        self.server.counters.add("extproc_outcomes_" + recorded.name.lower())
        self.release_id()
        granter.finish(self.number, recorded)

    def stream_closed(self, event: GrantEvent) -> None:
        """End the call, whichever side closed the stream."""
        self.finished = True
        self.server.queued.pop(self, None)
        queued = self.answer is not None and not self.granted
        self.end_grant(event)
        if queued and self.answer is not None:
            self.answer.cancel()

    def end_grant(self, event: GrantEvent) -> None:
        """End the grant by this event and report its ending to the adapter."""
        granter = self.server.granter
        self.release_id()
        ending = granter.grants.record_event(self.number, event)
        if ending is not None and self.granted:
            self.server.counters.add("extproc_ended_" + ending.name.lower())
        granter.finish(self.number, ending)

    def release_id(self) -> None:
        """Free the call's id for another call."""
        if self.server.granter.calls.get(self.ident) is self:
            del self.server.granter.calls[self.ident]

    def fail(self, status: Status, why: str) -> None:
        """End the call with a gRPC status."""
        self.server.counters.add("extproc_failed_calls")
        self.stream_closed(GrantEvent.CANCELLED)
        self.connection.end_with_status(self, status, why)

    def write(self, message: bytes) -> None:
        """Queue a message; it is sent as the flow control window allows."""
        self.unsent += frame_message(message)
        self.connection.flush(self)
