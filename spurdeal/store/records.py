"""Encoding of the ledger's records; no I/O. Checksums separate the intact records from a torn tail.

A record is the length of its body (2 bytes), the CRC-32 of the body (4) and the body: kind (1), expiration
time in Unix ms (8, unsigned), length of the id (1) and the id. All numbers are big-endian. A file begins
with MAGIC.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator
from enum import IntEnum
from typing import NamedTuple

MAGIC = b"SPL1\n"
RECORD_HEADER = struct.Struct("!HI")  # length and CRC-32 of the body
RECORD_BODY = struct.Struct("!BQB")  # kind, expiration time, length of the id; then the id
MAX_ID_LENGTH = 64  # bytes
MAX_BODY_SIZE = RECORD_BODY.size + MAX_ID_LENGTH  # bytes


class Kind(IntEnum):
    """What a record states about its request id. The values are stored on disk."""

    MAY_RUN = 1  # written before an attempt is sent: from then on the request may have run
    NEVER_RAN = 2  # no attempt has run: the request may be sent again


class Record(NamedTuple):
    """One entry of the log.

    Attributes:
        kind: What the entry states.
        ident: The request id, 1 to MAX_ID_LENGTH bytes.
        expires_at: When the entry may be dropped, in Unix ms; 0 for NEVER_RAN.
    """

    kind: Kind
    ident: bytes
    expires_at: float


def encode_record(record: Record) -> bytes:
    """Encode a record. Its expiration time is truncated to whole ms, and is 0 if negative.

    Raises:
        ValueError: The id is empty or longer than MAX_ID_LENGTH.
    """
    if not 1 <= len(record.ident) <= MAX_ID_LENGTH:
        raise ValueError(f"id of {len(record.ident)} bytes, expected 1 to {MAX_ID_LENGTH}")
    body = RECORD_BODY.pack(record.kind, max(0, int(record.expires_at)), len(record.ident)) + record.ident
    return RECORD_HEADER.pack(len(body), zlib.crc32(body)) + body


def decode_records(data: bytes) -> Iterator[tuple[Record, int]]:
    """Decode the records up to the first torn or damaged one, each with the offset of the byte after it.

    Yields nothing if the data does not begin with MAGIC.
    """
    if data[: len(MAGIC)] != MAGIC:
        return
    at = len(MAGIC)
    while at + RECORD_HEADER.size <= len(data):
        size, checksum = RECORD_HEADER.unpack_from(data, at)
        body = data[at + RECORD_HEADER.size : at + RECORD_HEADER.size + size]
        if not RECORD_BODY.size < size <= MAX_BODY_SIZE or len(body) < size or zlib.crc32(body) != checksum:
            return
        kind, expires_at, length = RECORD_BODY.unpack_from(body)
        if length != size - RECORD_BODY.size or kind not in Kind.__members__.values():
            return
        at += RECORD_HEADER.size + size
        yield Record(Kind(kind), body[RECORD_BODY.size :], float(expires_at)), at
