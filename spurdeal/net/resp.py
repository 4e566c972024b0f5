"""RESP as engines speak it: arrays of bulk strings, read and written."""

from .unread import Unread

MAX_PARTS = 16
MAX_PART_BYTES = 65536
LONGEST_LENGTH = 12


class BadAnswer(Exception):
    """Bytes from an engine that are no array of bulk strings."""


class ArrayParser(Unread):
    """Takes arrays off a connection's bytes; their parts are slices of what was read."""

    def take(self) -> list[memoryview] | None:
        head = self.length(self.at, b"*", MAX_PARTS)
        if head is None:
            return None
        count, at = head
        whole, parts = memoryview(self.buffer), []
        for _ in range(count):
            sized = self.length(at, b"$", MAX_PART_BYTES)
            if sized is None:
                return None
            size, at = sized
            if len(self.buffer) < at + size + 2:
                return None
            if self.buffer[at + size : at + size + 2] != b"\r\n":
                raise BadAnswer("a string does not end where it said")
            parts.append(whole[at : at + size])
            at += size + 2
        self.took(at)
        return parts

    def first_part(self) -> bytes | None:
        """The first part of an array that has begun, once that part is whole."""
        head = self.length(self.at, b"*", MAX_PARTS)
        sized = self.length(head[1], b"$", MAX_PART_BYTES) if head is not None else None
        if sized is None:
            return None
        size, at = sized
        part = self.buffer[at : at + size]
        return part if len(part) == size else None

    def length(self, at: int, mark: bytes, most: int) -> tuple[int, int] | None:
        """The number of a line that starts with this mark, and where the next begins."""
        if at >= len(self.buffer):
            return None
        if self.buffer[at : at + 1] != mark:
            raise BadAnswer(f"{mark.decode()} was expected")
        end = self.buffer.find(b"\r\n", at, at + LONGEST_LENGTH)
        if end < 0:
            if len(self.buffer) - at >= LONGEST_LENGTH:
                raise BadAnswer("a length does not end")
            return None
        digits = self.buffer[at + 1 : end]
        if not digits.isdigit() or int(digits) > most:
            raise BadAnswer("a length is no number or too large")
        return int(digits), end + 2


def command(*parts: bytes | memoryview) -> bytes:
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), bytes(part)) for part in parts)
