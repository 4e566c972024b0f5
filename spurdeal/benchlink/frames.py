"""Reading and writing the bench's frames: little-endian, no padding."""

import struct
from typing import Any, BinaryIO

HEADER = struct.Struct("<IdI")
LARGEST = 1 << 28


class BadInput(Exception):
    """Input that cannot be used; the text says what is wrong and where."""


class Reader:
    """Takes fields off one frame, naming the place of what is cut short."""

    __slots__ = ("at", "body")

    def __init__(self, body: bytes) -> None:
        self.body = body
        self.at = 0

    def take(self, layout: struct.Struct) -> tuple[Any, ...]:
        try:
            fields = layout.unpack_from(self.body, self.at)
        except struct.error:
            raise BadInput(
                f"frame cut short at byte {self.at + HEADER.size}: {layout.size} more expected, "
                f"{len(self.body) - self.at} there"
            ) from None
        self.at += layout.size
        return fields

    def take_bytes(self, count: int) -> bytes:
        if self.at + count > len(self.body):
            raise BadInput(
                f"frame cut short at byte {self.at + HEADER.size}: {count} more expected, "
                f"{len(self.body) - self.at} there"
            )
        self.at += count
        return self.body[self.at - count : self.at]


def read_frame(stream: BinaryIO) -> tuple[float, int, Reader] | None:
    """The clock, the number of records and their bytes; None at the end of input."""
    head = stream.read(HEADER.size)
    if not head:
        return None
    if len(head) < HEADER.size:
        raise BadInput(f"header cut short: {len(head)} bytes of {HEADER.size}")
    size, clock, count = HEADER.unpack(head)
    if not HEADER.size <= size <= LARGEST:
        raise BadInput(f"frame length {size} is out of range")
    if clock != clock or abs(clock) == float("inf"):
        raise BadInput("the clock in the header is not a number")
    body = stream.read(size - HEADER.size)
    if len(body) < size - HEADER.size:
        raise BadInput(f"frame cut short: {len(body) + HEADER.size} bytes of {size}")
    return clock, count, Reader(body)


def write_frame(stream: BinaryIO, records: list[bytes]) -> None:
    body = b"".join(records)
    stream.write(struct.pack("<II", len(records), len(body) + 8) + body)
    stream.flush()
