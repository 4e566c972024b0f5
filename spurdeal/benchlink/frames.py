"""Reads and writes the bench's frames: little-endian, no padding."""

import math
import struct
from typing import Any, BinaryIO

HEADER = struct.Struct("<IdI")  # bytes of the frame with its header, time in ms, number of records
MAX_FRAME_SIZE = 1 << 28  # bytes of a frame, with its header


class BadInputError(Exception):
    """Invalid input; the message says what is wrong and where."""


class Reader:
    """Decodes one frame from its start on; errors name the byte offset in the frame."""

    __slots__ = ("at", "body")

    def __init__(self, body: bytes) -> None:
        self.body = body
        self.at = 0

    def take(self, layout: struct.Struct) -> tuple[Any, ...]:
        """Read the next fields, in that layout.

        Raises:
            BadInputError: The frame ends before they do.
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
        """Read that many bytes.

        Raises:
            BadInputError: The frame ends before they do.
        """
        if self.at + count > len(self.body):
            raise BadInputError(
                f"frame cut short at byte {self.at + HEADER.size}: {count} more expected, "
                f"{len(self.body) - self.at} there"
            )
        self.at += count
        return self.body[self.at - count : self.at]


def read_frame(stream: BinaryIO) -> tuple[float, int, Reader] | None:
    """Read one frame, of at most LARGEST bytes.

    Returns:
        The time in ms, the number of records, and a reader of them; None at the end of input.

    Raises:
        BadInputError: The header is invalid, or the input ends within the frame.
    """
    head = stream.read(HEADER.size)
    if not head:
        return None
    if len(head) < HEADER.size:
        raise BadInputError(f"header cut short: {len(head)} bytes of {HEADER.size}")
    size, clock, count = HEADER.unpack(head)
    if not HEADER.size <= size <= MAX_FRAME_SIZE:
        raise BadInputError(f"frame length {size} is out of range")
    if not math.isfinite(clock):
        raise BadInputError("the clock in the header is not a number")
    body = stream.read(size - HEADER.size)
    if len(body) < size - HEADER.size:
        raise BadInputError(f"frame cut short: {len(body) + HEADER.size} bytes of {size}")
    return clock, count, Reader(body)


def write_frame(stream: BinaryIO, records: list[bytes]) -> None:
    """Write and flush one reply: number of records, length in bytes with this header, records."""
    body = b"".join(records)
    stream.write(struct.pack("<II", len(records), len(body) + 8) + body)
    stream.flush()
