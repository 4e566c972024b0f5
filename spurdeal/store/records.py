"""Records of the ledger as bytes, free of I/O: a torn or damaged tail is told from what stands before it.

A record is its length (2 bytes), CRC-32 of what follows (4 bytes), kind (1), end in Unix ms (8, unsigned),
the length of the id (1) and the id. Lengths and numbers are big-endian. A file begins with MAGIC.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator
from enum import IntEnum
from typing import NamedTuple

MAGIC = b"SPL1\n"
FRAME = struct.Struct("!HI")
BODY = struct.Struct("!BQB")
LONGEST_ID = 64
LARGEST = BODY.size + LONGEST_ID


class Kind(IntEnum):
    """What a record says of its id."""

    MAY_RUN = 1  # it is about to be sent: from here on it may have run
    NEVER_RAN = 2  # each attempt is known not to have run: it may go again


class Record(NamedTuple):
    """One entry of the log."""

    kind: Kind
    ident: bytes
    until: float  # Unix ms


def write(record: Record) -> bytes:
    """The bytes of a record.

    Raises:
        ValueError: The id is empty, or longer than LONGEST_ID.
    """
    if not 1 <= len(record.ident) <= LONGEST_ID:
        raise ValueError(f"an id of {len(record.ident)} bytes")
    body = BODY.pack(record.kind, max(0, int(record.until)), len(record.ident)) + record.ident
    return FRAME.pack(len(body), zlib.crc32(body)) + body


def read(data: bytes) -> Iterator[tuple[Record, int]]:
    """Records, each with the offset behind it, up to the first that is torn or damaged."""
    if data[: len(MAGIC)] != MAGIC:
        return
    at = len(MAGIC)
    while at + FRAME.size <= len(data):
        size, told = FRAME.unpack_from(data, at)
        body = data[at + FRAME.size : at + FRAME.size + size]
        if not BODY.size < size <= LARGEST or len(body) < size or zlib.crc32(body) != told:
            return
        kind, until, length = BODY.unpack_from(body)
        if length != size - BODY.size or kind not in Kind.__members__.values():
            return
        at += FRAME.size + size
        yield Record(Kind(kind), body[BODY.size :], float(until)), at
