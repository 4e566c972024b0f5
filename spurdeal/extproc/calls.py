"""Interprets headers from callers: the call's parameters, its timeouts and its outcome.

No I/O and no clock. Times are ms. Header names are lower case, as in HTTP/2.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from ..interface import Ending

IDENT = re.compile(rb"[0-9a-fA-F]{16}")
NUMBER = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,12})?")
GRPC_TIMEOUT = re.compile(rb"([0-9]{1,8})([HMSmun])")  # "Timeout" of the gRPC over HTTP/2 specification
UNITS = {b"H": 3_600_000.0, b"M": 60_000.0, b"S": 1000.0, b"m": 1.0, b"u": 0.001, b"n": 0.000001}
STATUS = re.compile(rb"[1-5][0-9][0-9]")
MAX_HEADERS, MAX_HEADER_BYTES = 128, 16_384


class BadCallError(Exception):
    """An invalid call: it is rejected with this HTTP status and never reaches an engine."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class CallerSettings(NamedTuple):
    """How callers are configured, as the operator's settings say. Times are ms."""

    message_timeout: float = 200.0  # the callers' timeout for each message
    most_timeout: float = 0.0  # their max_message_timeout, the limit of override_message_timeout; 0: none
    margin: float = 20.0  # a response is sent this long before the caller's timeout
    # The caller must not use a grant later than this. It is sent along and not enforced here; must be below
    # the drain rule's grace period.
    use_within: float = 150.0
    id_header: bytes = b"req-id"
    proof_header: bytes = b"x-never-ran"  # on a response: its sender asserts that nothing ran


class CallRequest(NamedTuple):
    """The parameters of a call. Times are ms, memory is MB."""

    ident: bytes
    workload: bytes
    client_timeout: float  # the client's timeout
    cost: float  # estimated; 0: not given
    memory: float  # estimated; 0: not given
    group: int  # of tables; -1: none
    caller_timeout: float | None  # the caller's own timeout for this call; None: not given


def header_map(pairs: Iterable[tuple[str, str, bytes]]) -> dict[bytes, bytes]:
    """Collect headers by lower-case name.

    A repeated pseudo-header overwrites the first. Other repeated headers are joined by commas if their values
    differ, so that two conflicting numbers fail to parse as one.

    Raises:
        BadCallError: There are more than MAX_HEADERS headers, or more than MAX_HEADER_BYTES bytes.
    """
    found: dict[bytes, bytes] = {}
    size = 0
    for count, (key, value, raw) in enumerate(pairs, 1):
        text = raw or value.encode()
        size += len(key) + len(text)
        if count > MAX_HEADERS or size > MAX_HEADER_BYTES:
            raise BadCallError(431, "the headers are too many or too long")
        name = key.lower().encode()
        if name in found and found[name] != text and not name.startswith(b":"):
            text = b", ".join((found[name], text))  # conflicting numbers then fail to parse
        found[name] = text
    return found


def number_header(headers: Mapping[bytes, bytes], name: bytes, default: float | None = None) -> float:
    """Parse a header as a non-negative decimal number.

    Raises:
        BadCallError: It is missing without a default, or not a number.
    """
    text = headers.get(name)
    if text is None and default is not None:
        return default
    if text is None or not NUMBER.fullmatch(text):
        raise BadCallError(400, f"{name.decode()} is missing or no number")
    return float(text)


def parse_call(
    headers: Mapping[bytes, bytes], caller_settings: CallerSettings, longest: float
) -> CallRequest:
    """Parse a call from its request headers.

    The group of tables is a header too, since the body is not read.

    Args:
        headers: As returned by `header_map`.
        caller_settings: Names the header that holds the id.
        longest: Upper limit of the client's timeout, in ms; a longer one is clamped.

    Raises:
        BadCallError: The method, the path, the id or a number is invalid.
    """
    path = headers.get(b":path", b"")
    if headers.get(b":method", b"") != b"POST" or not path.startswith(b"/"):
        raise BadCallError(405, "calls are POSTs to a path")
    ident = headers.get(caller_settings.id_header, b"")
    if not IDENT.fullmatch(ident):
        raise BadCallError(400, f"{caller_settings.id_header.decode()} is missing or no id")
    client_timeout = number_header(headers, b"req-wait-ms")
    if client_timeout <= 0:
        raise BadCallError(400, "req-wait-ms cannot be used")
    return CallRequest(
        ident,
        path.partition(b"?")[0].rpartition(b"/")[2],
        min(client_timeout, longest),
        number_header(headers, b"req-cost", 0.0),
        number_header(headers, b"x-est-mb", 0.0),
        int(number_header(headers, b"x-tables-group", -1.0)) if b"x-tables-group" in headers else -1,
        caller_timeout(headers),
    )


def caller_timeout(headers: Mapping[bytes, bytes]) -> float | None:
    """Return the shortest timeout in the caller's headers, in ms; None if no valid one is given."""
    timeouts = []
    timeout = GRPC_TIMEOUT.fullmatch(headers.get(b"grpc-timeout", b""))
    if timeout:
        timeouts.append(int(timeout[1]) * UNITS[timeout[2]])
    expected = headers.get(b"x-envoy-expected-rq-timeout-ms", b"")
    if NUMBER.fullmatch(expected) and float(expected) > 0:
        timeouts.append(float(expected))
    return min(timeouts, default=None)


class AnswerTimes(NamedTuple):
    """Limits for the response, in ms from the call's first message."""

    answer_within: float  # the response must have been sent by the end of this time
    extended_timeout: float  # requested by override_message_timeout; 0: not requested


def answer_times(
    caller_settings: CallerSettings, client_timeout: float, stream_timeout: float | None
) -> AnswerTimes:
    """Compute when the response must have been sent. Times are ms.

    Args:
        caller_settings: The caller's message timeout, its maximum and the margin.
        client_timeout: The client's timeout.
        stream_timeout: The stream's own timeout, an upper limit for the message timeout and its
            extension; None if it has none.
    """
    bound = client_timeout if stream_timeout is None else min(client_timeout, stream_timeout)
    usual = min(bound, caller_settings.message_timeout)
    extended = min(bound, caller_settings.most_timeout)
    if extended > usual:
        return AnswerTimes(max(1.0, extended - caller_settings.margin), extended)
    return AnswerTimes(max(1.0, usual - caller_settings.margin), 0.0)


def parse_outcome(headers: Mapping[bytes, bytes], caller_settings: CallerSettings) -> Ending:
    """Derive a granted attempt's ending from its response headers.

    Proxies generate 503 and 504 themselves, also after a connection was lost in mid-request. Only with the
    proof header do these statuses prove that nothing ran. With an invalid status the request may have run.
    """
    status = headers.get(b":status", b"")
    if not STATUS.fullmatch(status):
        return Ending.RESET
    if status.startswith(b"2"):
        return Ending.DELIVERED
    if caller_settings.proof_header in headers:
        return {b"503": Ending.FULL, b"504": Ending.MOOT}.get(status, Ending.UNREACHED)
    return Ending.TIME_OUT if status == b"504" else Ending.ERROR
