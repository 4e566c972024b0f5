"""HTTP/1.1: parses requests with a Content-Length body, and formats responses."""

import re

from .read_buffer import ReadBuffer

MAX_HEAD_SIZE = 8192
MAX_BODY_SIZE = 65536
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


class RequestParser(ReadBuffer):
    """Parses pipelined requests. Bodies and field values are slices of the read buffer, without a copy."""

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
        self.skip_empty_lines()
        end = self.buffer.find(b"\r\n\r\n", self.position, self.position + MAX_HEAD_SIZE)
        if end < 0:
            if self.remaining() >= MAX_HEAD_SIZE:
                raise BadRequest(431, "the head is too long")
            return None
        request_line = REQUEST_LINE.match(self.buffer, self.position, end + 2)
        if request_line is None:
            raise BadRequest(400, "the request line cannot be read")
        view = memoryview(self.buffer)
        fields = self.fields(view, request_line.end(), end + 2)
        if b"transfer-encoding" in fields:
            raise BadRequest(400, "bodies come by length here")
        length = fields.get(b"content-length", b"0")
        if not DIGITS.fullmatch(length):
            raise BadRequest(400, "the length is not a number")
        if len(length) > 9 or int(bytes(length)) > MAX_BODY_SIZE:
            raise BadRequest(413, "the body is too long")
        start, stop = end + 4, end + 4 + int(bytes(length))
        if len(self.buffer) < stop:
            return None
        self.consume(stop)
        keep_alive = request_line[3] == b"1" and bytes(fields.get(b"connection", b"")).lower() != b"close"
        return request_line[1], request_line[2], fields, view[start:stop], keep_alive

    def fields(self, view: memoryview, at: int, end: int) -> dict[bytes, memoryview]:
        """Parses the header fields between two positions of the buffer."""
        found: dict[bytes, memoryview] = {}
        while at < end:
            field = FIELD.match(self.buffer, at, end)
            if field is None:
                raise BadRequest(400, "a field cannot be read")
            name, value = field[1].lower(), view[slice(*field.span(2))]
            # Repeated fields form a list (RFC 9110, 5.3), so a repeated Content-Length is no valid number.
            found[name] = memoryview(b", ".join((found[name], value))) if name in found else value
            at = field.end()
        return found


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
