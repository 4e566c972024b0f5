"""Encodes and decodes the protobuf messages of the external processing service."""

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


def parse_request(data: bytes) -> tuple[str, Any]:
    """Decode a ProcessingRequest; return its phase and that phase's message. Unknown fields are ignored.

    Raises:
        BadCallError: The bytes cannot be decoded, or hold no phase from PHASES.
    """
    try:
        request = pb.ProcessingRequest.FromString(data)
    except DecodeError:
        raise BadCallError(400, "a message cannot be read") from None
    for phase in PHASES:
        if request.HasField(phase):
            return phase, getattr(request, phase)
    raise BadCallError(400, "a message has no phase that is known")


def header_pairs(message: pb.HttpHeaders) -> Iterable[tuple[str, str, bytes]]:
    """Yield each header as key, value and raw_value; a caller fills one of the last two."""
    return ((header.key, header.value, header.raw_value) for header in message.headers.headers)


def grant_response(headers: Iterable[tuple[str, bytes]]) -> bytes:
    """Encode a request_headers response that sets these headers: the destination and the grant's terms."""
    response = pb.ProcessingResponse()
    common = response.request_headers.response
    common.clear_route_cache = True  # the headers set below change the destination
    for key, value in headers:
        option = common.header_mutation.set_headers.add()
        option.header.key, option.header.raw_value, option.append_action = key, value, OVERWRITE
    return bytes(response.SerializeToString())


def immediate_response(status: int, body: bytes, headers: Iterable[tuple[str, bytes]], details: str) -> bytes:
    """Encode an ImmediateResponse, which the caller sends to its client instead of forwarding the request."""
    response = pb.ProcessingResponse()
    answer = response.immediate_response
    answer.status.code, answer.body, answer.details = status, body, details
    for key, value in headers:
        option = answer.headers.set_headers.add()
        option.header.key, option.header.raw_value, option.append_action = key, value, OVERWRITE
    return bytes(response.SerializeToString())


def request_more_time(ms: float) -> bytes:
    """Encode override_message_timeout: extends the caller's timeout for the current message to `ms`."""
    response = pb.ProcessingResponse()
    response.override_message_timeout.seconds = int(ms // 1000)
    response.override_message_timeout.nanos = int(ms % 1000 * 1_000_000)
    return bytes(response.SerializeToString())


def continue_response(phase: str) -> bytes:
    """Encode an empty response to `phase`: the caller continues without a change."""
    response = pb.ProcessingResponse()
    getattr(response, phase).SetInParent()
    return bytes(response.SerializeToString())


CONTINUE_RESPONSES = {phase: continue_response(phase) for phase in PHASES}
