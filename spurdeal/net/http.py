"""HTTP/1.1 as clients speak it: requests read with a body by length, answers written."""

import re

LARGEST_HEAD = 8192
LARGEST_BODY = 65536
REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout",
           413: "Content Too Large", 431: "Request Header Fields Too Large", 500: "Internal Server Error",
           503: "Service Unavailable"}
TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
TARGET = re.compile(rb"/[\x21-\x7e]*")
DIGITS = re.compile(rb"[0-9]+")


class BadMessage(Exception):
    """A request that cannot be used; it gets this status, and its connection ends."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class RequestParser:
    """Takes requests off a connection's bytes. Bodies and fields are slices of what was read."""

    def __init__(self) -> None:
        self.buffer = b""

    def feed(self, data: bytes) -> None:
        self.buffer = self.buffer + data if self.buffer else data

    def take(self) -> tuple[bytes, bytes, dict[bytes, memoryview], memoryview, bool] | None:
        """Method, target, fields by lower-case name, body, and whether the connection is kept."""
        skipped = 0
        while self.buffer.startswith(b"\r\n", skipped):
            skipped += 2
        if skipped:
            self.buffer = self.buffer[skipped:]
        end = self.buffer.find(b"\r\n\r\n", 0, LARGEST_HEAD)
        if end < 0:
            if len(self.buffer) >= LARGEST_HEAD:
                raise BadMessage(431, "the head is too long")
            return None
        whole = memoryview(self.buffer)
        line_end = self.buffer.find(b"\r\n", 0, end + 2)
        words = self.buffer[:line_end].split(b" ")
        if len(words) != 3 or not TOKEN.fullmatch(words[0]) or not TARGET.fullmatch(words[1]):
            raise BadMessage(400, "the request line cannot be read")
        if words[2] not in (b"HTTP/1.1", b"HTTP/1.0"):
            raise BadMessage(400, "the version is not HTTP/1.1")
        fields = self.fields(whole, line_end + 2, end + 2)
        if b"transfer-encoding" in fields:
            raise BadMessage(400, "bodies come by length here")
        length = bytes(fields.get(b"content-length", b"0"))
        if not DIGITS.fullmatch(length):
            raise BadMessage(400, "the length is not a number")
        if len(length) > 9 or int(length) > LARGEST_BODY:
            raise BadMessage(413, "the body is too long")
        start, stop = end + 4, end + 4 + int(length)
        if len(self.buffer) < stop:
            return None
        self.buffer = self.buffer[stop:]
        keep = words[2] == b"HTTP/1.1" and bytes(fields.get(b"connection", b"")).lower() != b"close"
        return words[0], words[1], fields, whole[start:stop], keep

    def fields(self, whole: memoryview, at: int, end: int) -> dict[bytes, memoryview]:
        found: dict[bytes, memoryview] = {}
        while at < end:
            stop = self.buffer.find(b"\r\n", at, end)
            colon = self.buffer.find(b":", at, stop)
            name = self.buffer[at:max(at, colon)].lower()
            if not TOKEN.fullmatch(name):
                raise BadMessage(400, "a field cannot be read")
            first, last = colon + 1, stop
            while first < last and whole[first] in b" \t":
                first += 1
            while last > first and whole[last - 1] in b" \t":
                last -= 1
            value = whole[first:last]
            if b"\n" in bytes(value) or b"\r" in bytes(value) or b"\0" in bytes(value):
                raise BadMessage(400, "a field holds a control character")
            # Repeated fields are a list by the standard: one number twice is then no number.
            found[name] = memoryview(bytes(found[name]) + b", " + value) if name in found else value
            at = stop + 2
        return found


def response(status: int, body: bytes, keep: bool, extra: tuple[tuple[str, str], ...] = ()) -> bytes:
    lines = [f"HTTP/1.1 {status} {REASONS[status]}", "Content-Type: application/json",
             f"Content-Length: {len(body)}", *(f"{name}: {value}" for name, value in extra)]
    if not keep:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
