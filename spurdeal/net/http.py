"""HTTP/1.1: parses requests with a Content-Length body, and formats responses."""

import re
from collections.abc import Mapping
from typing import NamedTuple

from .read_buffer import ReadBuffer

MAX_HEAD_SIZE = 8192
MAX_BODY_SIZE = 65536
MAX_LENGTH_DIGITS = 9
REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
}
TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
# Clients put a workload's name into the target unescaped, with spaces and non-ASCII letters. This is not
# ambiguous: what follows the last space of the line is the version.
REQUEST_LINE = re.compile(rb"(%b) (/[^\x00-\x1f\x7f]*) HTTP/1\.([01])\r\n" % TOKEN)
FIELD = re.compile(rb"(%b):[ \t]*((?:[^\x00-\x08\x0a-\x1f\x7f \t]|[ \t]++(?!\r))*+)[ \t]*\r\n" % TOKEN)
DIGITS = re.compile(rb"[0-9]+")


class BadRequest(Exception):
    """An invalid request: it is answered with this status, and its connection is closed."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class RequestHead(NamedTuple):
    """The parsed head of a request.

    Attributes:
        method: The method, as GET.
        target: The request target.
        fields: The field values by lower-case name.
        keep_alive: Whether the client wants to keep the connection.
        size: Its length in bytes, with the empty line.
        body_size: The length of the body in bytes.
    """

    method: bytes
    target: bytes
    fields: dict[bytes, memoryview]
    keep_alive: bool
    size: int
    body_size: int


class RequestParser(ReadBuffer):
    """Parses pipelined requests. Bodies are slices of the read buffer, without a copy."""

    def __init__(self) -> None:
        super().__init__()
        self.head: RequestHead | None = None  # of the next request, while its body is not complete

    def next_is(self, method: bytes) -> bool:
        """Whether the next request has begun and uses this method."""
        self.skip_empty_lines()
        return self.buffer.startswith(method + b" ", self.position)

    def skip_empty_lines(self) -> None:
        """Skips empty lines before a request: some clients send one after a body."""
        while self.buffer.startswith(b"\r\n", self.position):
            self.position += 2

    def take(self) -> tuple[bytes, bytes, dict[bytes, memoryview], memoryview, bool] | None:
        """Removes the next whole request from the buffer; None if it is not complete yet.

        Returns:
            Method, target, fields by lower-case name, body, and whether the connection is kept alive.

        Raises:
            BadRequest: it is malformed or too large.
        """
        head = self.head or self.take_head()
        if head is None:
            return None
        start = self.position + head.size
        stop = start + head.body_size
        self.head = head if len(self.buffer) < stop else None
        if self.head is not None:
            return None
        body = memoryview(self.buffer)[start:stop]
        self.consume(stop)
        return head.method, head.target, head.fields, body, head.keep_alive

    def take_head(self) -> RequestHead | None:
        """Parses the head of the next request, which stays in the buffer; None if it is not complete yet.

        Raises:
            BadRequest: it is malformed or too large, or announces a body that is.
        """
        self.skip_empty_lines()
        end = self.buffer.find(b"\r\n\r\n", self.position, self.position + MAX_HEAD_SIZE)
        if end < 0:
            if self.remaining() >= MAX_HEAD_SIZE:
                raise BadRequest(431, "the head is too long")
            return None
        # A copy, as the head may be kept for longer than the buffer, which can hold much of the body.
        text = self.buffer[self.position : end + 2]
        request_line = REQUEST_LINE.match(text)
        if request_line is None:
            raise BadRequest(400, "the request line cannot be read")
        fields = read_fields(text, request_line.end())
        keep_alive = request_line[3] == b"1" and bytes(fields.get(b"connection", b"")).lower() != b"close"
        size = end + 4 - self.position
        return RequestHead(request_line[1], request_line[2], fields, keep_alive, size, body_size(fields))


def read_fields(head: bytes, at: int) -> dict[bytes, memoryview]:
    """Parses the header fields from a position of the head on; values are slices of it.

    Raises:
        BadRequest: a field is malformed.
    """
    view = memoryview(head)
    found: dict[bytes, memoryview] = {}
    while at < len(head):
        field = FIELD.match(head, at)
        if field is None:
            raise BadRequest(400, "a field cannot be read")
        name, value = field[1].lower(), view[slice(*field.span(2))]
        # Repeated fields form a list (RFC 9110, 5.3), so a repeated Content-Length is no valid number.
        found[name] = memoryview(b", ".join((found[name], value))) if name in found else value
        at = field.end()
    return found


def body_size(fields: Mapping[bytes, memoryview]) -> int:
    """The length of the body that the fields announce.

    Raises:
        BadRequest: it is no number or too large, or the body has another framing.
    """
    if b"transfer-encoding" in fields:
        raise BadRequest(400, "bodies come by length here")
    length = bytes(fields.get(b"content-length", b"0"))
    if not DIGITS.fullmatch(length):
        raise BadRequest(400, "the length is not a number")
    if len(length) > MAX_LENGTH_DIGITS or int(length) > MAX_BODY_SIZE:
        raise BadRequest(413, "the body is too long")
    return int(length)


def response(status: int, body: bytes, keep_alive: bool, extra: tuple[tuple[str, str], ...] = ()) -> bytes:
    """Formats a response with a JSON body and extra fields; with `Connection: close` unless `keep_alive`."""
    lines = [
        f"HTTP/1.1 {status} {REASONS[status]}",
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
        *(f"{name}: {value}" for name, value in extra),
    ]
    if not keep_alive:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
