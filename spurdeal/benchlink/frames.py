"""Reading and writing the bench's frames: little-endian, no padding."""

import math
import struct
from typing import Any, BinaryIO

HEADER = struct.Struct("<IdI")
LARGEST = 1 << 28


class BadInputError(Exception):
    """Input that cannot be used; the text says what is wrong and where."""


class Reader:
    """Takes fields off one frame, naming the place of what is cut short."""

    __slots__ = ("at", "body")

    def __init__(self, body: bytes) -> None:
        self.body = body
        self.at = 0

    def take(self, layout: struct.Struct) -> tuple[Any, ...]:
        """The next fields, in that layout.

        Raises:
            BadInputError: The frame is too short for them.
        """
        try:
            fields = layout.unpack_from(self.body, self.at)
        except struct.error:
            raise BadInputError(
                f"frame cut short at byte {self.at + HEADER.size}: {layout.size} more expected, "
                f"{len(self.body) - self.at} there"
            ) from None
        self.at += layout.size
        return fields

    def take_bytes(self, count: int) -> bytes:
        """The next so many bytes.

        Raises:
            BadInputError: The frame is too short for them.
        """
        if self.at + count > len(self.body):
            raise BadInputError(
                f"frame cut short at byte {self.at + HEADER.size}: {count} more expected, "
                f"{len(self.body) - self.at} there"
            )
        self.at += count
        return self.body[self.at - count : self.at]


def read_frame(stream: BinaryIO) -> tuple[float, int, Reader] | None:
    """The clock in ms, the number of records and their bytes; None at the end of input.

    Raises:
        BadInputError: The header cannot be used, or the frame is cut short.
    """
    head = stream.read(HEADER.size)
    if not head:
        return None
    if len(head) < HEADER.size:
        raise BadInputError(f"header cut short: {len(head)} bytes of {HEADER.size}")
    size, clock, count = HEADER.unpack(head)
    if not HEADER.size <= size <= LARGEST:
        raise BadInputError(f"frame length {size} is out of range")
    if not math.isfinite(clock):
        raise BadInputError("the clock in the header is not a number")
    body = stream.read(size - HEADER.size)
    if len(body) < size - HEADER.size:
        raise BadInputError(f"frame cut short: {len(body) + HEADER.size} bytes of {size}")
    return clock, count, Reader(body)


def write_frame(stream: BinaryIO, records: list[bytes]) -> None:
    """Write one reply: the number of records, their bytes and those of the header, and the records."""
    body = b"".join(records)
    stream.write(struct.pack("<II", len(records), len(body) + 8) + body)
    stream.flush()
