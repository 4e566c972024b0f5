"""Parser and encoder for the subset of RESP that engines use: arrays of bulk strings."""

from .read_buffer import ReadBuffer

MAX_PARTS = 16
MAX_PART_BYTES = 65536
MAX_LENGTH_LINE = 12


class BadAnswer(Exception):
    """Bytes from an engine that are not a valid answer."""


class ArrayParser(ReadBuffer):
    """Parses arrays incrementally; their parts are views of the receive buffer."""

    def take(self) -> list[memoryview] | None:
        """Return the next complete array, or None if more bytes are needed.

        Raises:
            BadAnswer: The bytes are not an array of bulk strings, or a size is over its limit.
        """
        head = self.length(self.position, b"*", MAX_PARTS)
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
                raise BadAnswer("a bulk string does not end where its length says")
            parts.append(whole[at : at + size])
            at += size + 2
        self.consume(at)
        return parts

    def first_part(self) -> bytes | None:
        """The first part of an incomplete array, if that part is complete."""
        head = self.length(self.position, b"*", MAX_PARTS)
        sized = self.length(head[1], b"$", MAX_PART_BYTES) if head is not None else None
        if sized is None:
            return None
        size, at = sized
        part = self.buffer[at : at + size]
        return part if len(part) == size else None

    def length(self, at: int, prefix: bytes, maximum: int) -> tuple[int, int] | None:
        """Parse a line of a prefix and a number; returns the number and where the next line begins."""
        if at >= len(self.buffer):
            return None
        if self.buffer[at : at + 1] != prefix:
            raise BadAnswer(f"expected {prefix.decode()}")
        end = self.buffer.find(b"\r\n", at, at + MAX_LENGTH_LINE)
        if end < 0:
            if len(self.buffer) - at >= MAX_LENGTH_LINE:
                raise BadAnswer("a length has too many digits or no line end")
            return None
        digits = self.buffer[at + 1 : end]
        if not digits.isdigit() or int(digits) > maximum:
            raise BadAnswer("a length is not a number or is too large")
        return int(digits), end + 2


def command(*parts: bytes | memoryview) -> bytes:
    """Encode a command as an array of bulk strings."""
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), bytes(part)) for part in parts)
