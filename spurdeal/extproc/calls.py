"""What a caller's messages mean: a call read from headers, its times, and its outcome.

Free of I/O and clocks. Times are ms. Header names are lower case, as HTTP/2 has them.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from ..interface import Ending

IDENT = re.compile(rb"[0-9a-fA-F]{16}")
NUMBER = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,12})?")
GRPC_TIMEOUT = re.compile(rb"([0-9]{1,8})([HMSmun])")  # the gRPC protocol over HTTP/2, "Timeout"
UNITS = {b"H": 3_600_000.0, b"M": 60_000.0, b"S": 1000.0, b"m": 1.0, b"u": 0.001, b"n": 0.000001}
STATUS = re.compile(rb"[1-5][0-9][0-9]")
MOST_HEADERS, LARGEST_HEADERS = 128, 16_384


class BadCallError(Exception):
    """A call that cannot be used; it is answered with this status, and nothing of it is sent."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class Terms(NamedTuple):
    """What the operator tells of the callers."""

    message_timeout: float = 200.0  # a caller waits so long for each answer
    most_timeout: float = 0.0  # it may be asked to wait so long, by override_message_timeout; 0: it may not
    margin: float = 20.0  # an answer is given so long before the caller's time is up
    use_within: float = 150.0  # a grant that is not used within is void: less than the drain rule's grace
    id_header: bytes = b"req-id"
    proof_header: bytes = b"x-never-ran"  # on a response: whoever wrote it knows that nothing ran


class Ask(NamedTuple):
    """One call as the decisions need it."""

    ident: bytes
    workload: bytes
    wait: float  # how long the client waits
    cost: float
    memory: float
    group: int
    patience: float | None  # how long the caller itself waits for this answer, where it says so


def header_map(pairs: Iterable[tuple[str, str, bytes]]) -> dict[bytes, bytes]:
    """Headers by lower-case name, as text.

    A pseudo-header that comes again overwrites; others are joined by commas, so that two different numbers
    are no number.

    Raises:
        BadCallError: They are more than MOST_HEADERS, or longer than LARGEST_HEADERS bytes.
    """
    found: dict[bytes, bytes] = {}
    size = 0
    for count, (key, value, raw) in enumerate(pairs, 1):
        text = raw or value.encode()
        size += len(key) + len(text)
        if count > MOST_HEADERS or size > LARGEST_HEADERS:
            raise BadCallError(431, "the headers are too many or too long")
        name = key.lower().encode()
        if name in found and found[name] != text and not name.startswith(b":"):
            text = b", ".join((found[name], text))  # one number twice is then no number
        found[name] = text
    return found


def number(headers: Mapping[bytes, bytes], name: bytes, default: float | None = None) -> float:
    """The number in a header.

    Raises:
        BadCallError: It is missing, and has no default, or it is no number.
    """
    text = headers.get(name)
    if text is None and default is not None:
        return default
    if text is None or not NUMBER.fullmatch(text):
        raise BadCallError(400, f"{name.decode()} is missing or no number")
    return float(text)


def read_ask(headers: Mapping[bytes, bytes], terms: Terms, longest: float) -> Ask:
    """The call that request headers bring.

    A group of tables comes by a header, as there is no body.

    Args:
        headers: As `header_map` gives them.
        terms: Names of headers.
        longest: Most that a client may say that it waits, in ms.

    Raises:
        BadCallError: They cannot be used.
    """
    path = headers.get(b":path", b"")
    if headers.get(b":method", b"") != b"POST" or not path.startswith(b"/"):
        raise BadCallError(405, "calls are POSTs to a path")
    ident = headers.get(terms.id_header, b"")
    if not IDENT.fullmatch(ident):
        raise BadCallError(400, f"{terms.id_header.decode()} is missing or no id")
    wait = number(headers, b"req-wait-ms")
    if wait <= 0:
        raise BadCallError(400, "req-wait-ms cannot be used")
    return Ask(
        ident,
        path.partition(b"?")[0].rpartition(b"/")[2],
        min(wait, longest),
        number(headers, b"req-cost", 0.0),
        number(headers, b"x-est-mb", 0.0),
        int(number(headers, b"x-tables-group", -1.0)) if b"x-tables-group" in headers else -1,
        patience(headers),
    )


def patience(headers: Mapping[bytes, bytes]) -> float | None:
    """The shortest of what the caller's own headers say; None where they say nothing that can be read."""
    found = []
    timeout = GRPC_TIMEOUT.fullmatch(headers.get(b"grpc-timeout", b""))
    if timeout:
        found.append(int(timeout[1]) * UNITS[timeout[2]])
    expected = headers.get(b"x-envoy-expected-rq-timeout-ms", b"")
    if NUMBER.fullmatch(expected) and float(expected) > 0:
        found.append(float(expected))
    return min(found, default=None)


class Times(NamedTuple):
    """When, from the call's first message on, an answer must have left, and what the caller is asked for."""

    answer_by: float
    ask_for: float  # 0: the caller is not asked to wait longer


def times(terms: Terms, wait: float, told: float | None) -> Times:
    """When an answer must have left.

    Args:
        terms: How long the caller waits for a message.
        wait: How long the client waits.
        told: The stream's own timeout, which bounds all; None where it has none. Within it the caller's
            message timeout holds, or what it grants more.
    """
    bound = wait if told is None else min(wait, told)
    plain = min(bound, terms.message_timeout)
    most = min(bound, terms.most_timeout)
    if most > plain:
        return Times(max(1.0, most - terms.margin), most)
    return Times(max(1.0, plain - terms.margin), 0.0)


def outcome(headers: Mapping[bytes, bytes], terms: Terms) -> Ending:
    """What response headers tell of a granted attempt.

    Proxies word refusals of their own with 503 and 504, also after a connection was lost half way: only with
    the proof header do these prove that nothing ran. Anything that cannot be read may have run.
    """
    status = headers.get(b":status", b"")
    if not STATUS.fullmatch(status):
        return Ending.RESET
    if status.startswith(b"2"):
        return Ending.DELIVERED
    if terms.proof_header in headers:
        return {b"503": Ending.FULL, b"504": Ending.MOOT}.get(status, Ending.UNREACHED)
    return Ending.TIME_OUT if status == b"504" else Ending.ERROR
