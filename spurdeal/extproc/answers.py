"""Messages of the external processing service, written and read: bytes in, plain values out."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from google.protobuf.message import DecodeError

from . import processor_pb2 as pb
from .calls import BadCallError

PHASES = (
    "request_headers",
    "response_headers",
    "request_body",
    "response_body",
    "request_trailers",
    "response_trailers",
)
OVERWRITE = 2  # HeaderValueOption.HeaderAppendAction.OVERWRITE_IF_EXISTS_OR_ADD


def read(data: bytes) -> tuple[str, Any]:
    """The phase and its message; unknown fields are passed over.

    Raises:
        BadCallError: The bytes are no message, or one of no phase that is known.
    """
    try:
        request = pb.ProcessingRequest.FromString(data)
    except DecodeError:
        raise BadCallError(400, "a message cannot be read") from None
    for phase in PHASES:
        if request.HasField(phase):
            return phase, getattr(request, phase)
    raise BadCallError(400, "a message has no phase that is known")


def pairs(message: pb.HttpHeaders) -> Iterable[tuple[str, str, bytes]]:
    """The headers of a message: name, text, and bytes where the caller sent those instead."""
    return ((header.key, header.value, header.raw_value) for header in message.headers.headers)


def granted(headers: Iterable[tuple[str, bytes]]) -> bytes:
    """Request headers are mutated: where to send it, and on which terms."""
    response = pb.ProcessingResponse()
    common = response.request_headers.response
    common.clear_route_cache = True  # the destination has changed
    for key, value in headers:
        option = common.header_mutation.set_headers.add()
        option.header.key, option.header.raw_value, option.append_action = key, value, OVERWRITE
    return bytes(response.SerializeToString())


def immediate(status: int, body: bytes, headers: Iterable[tuple[str, bytes]], details: str) -> bytes:
    """The caller answers its client at once, with this."""
    response = pb.ProcessingResponse()
    answer = response.immediate_response
    answer.status.code, answer.body, answer.details = status, body, details
    for key, value in headers:
        option = answer.headers.set_headers.add()
        option.header.key, option.header.raw_value, option.append_action = key, value, OVERWRITE
    return bytes(response.SerializeToString())


def wait_longer(ms: float) -> bytes:
    """Asks the caller for more time for this one message."""
    response = pb.ProcessingResponse()
    response.override_message_timeout.seconds = int(ms // 1000)
    response.override_message_timeout.nanos = int(ms % 1000 * 1_000_000)
    return bytes(response.SerializeToString())


def go_on(phase: str) -> bytes:
    """Nothing is changed: the caller goes on with this phase."""
    response = pb.ProcessingResponse()
    getattr(response, phase).SetInParent()
    return bytes(response.SerializeToString())


GO_ON = {phase: go_on(phase) for phase in PHASES}
