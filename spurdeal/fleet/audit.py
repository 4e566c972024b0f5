"""Encoding of the audit log: decisions and the versions they rest on, in a hash chain of pages. No I/O.

A file begins with MAGIC, followed by frames: length of the body (4 bytes), CRC-32 of the body (4), body. A
body is a hybrid timestamp (6 bytes of Unix ms, 2 of the tally), the index of the versions in force (4), and
the records of one batch, which the rules decided at one moment. A record is its kind and its fields; texts
are prefixed with their length. Numbers are big-endian.

A page ends with a frame that holds its seal: the page's number, the number of records up to its end, and a
digest over the previous page's digest and this page's bytes. An altered byte or a removed page therefore
changes every later digest; a truncated tail is detected by the digests that other members have recorded.
Alternatives considered: SQLite (locks, a flush per commit), a CRC per record (three times the work per
batch), and a Merkle tree (proofs of single records, which nothing needs).
"""

from __future__ import annotations

import hashlib
import json
import struct
import zlib
from collections.abc import Iterator, Mapping
from enum import IntEnum
from types import MappingProxyType
from typing import Any, NamedTuple

from .errors import FleetError
from .hybrid import Stamp

MAGIC = b"SPA1\n"
FRAME = struct.Struct("!II")  # length and CRC-32 of the body
FRAME_STAMP = struct.Struct("!HIHI")  # ms in 2 and 4 bytes, tally, index of versions
# Kind, attempt, flags, length of the id; then the id and, for SENT, the engine's index (4 bytes).
REQUEST_RECORD = struct.Struct("!BBBB")
JSON_RECORD = struct.Struct("!BH")  # kind, length; then that many bytes of zlib-compressed JSON
SEAL_RECORD = struct.Struct("!BQQ")  # kind, page, records up to its end; then the digest
DIGEST_SIZE = 16  # bytes
MAX_FRAME_SIZE = 1 << 24  # bytes of a frame's body
MAX_ID_LENGTH = 64  # bytes
INITIAL_DIGEST = b"\0" * DIGEST_SIZE


class Kind(IntEnum):
    """The kind of a record. The values are stored on disk; the names in lower case go into JSON and text."""

    HEAD = 0  # first record of a file: dispatcher, start, and the state of the chain before the file
    VERSIONS = 1  # the versions that an index denotes from here on, with the engines of the list
    SENT = 2  # an attempt was sent to an engine
    SHED = 3  # a request was shed
    BROKEN_OFF = 4  # a request failed
    WITHDRAWN = 5  # the client withdrew the request
    GRANTED = 6  # the caller was granted an engine to which it sends the request itself
    CALLED_OFF = 7  # an attempt was cancelled
    MODE = 8  # a line of the rules on a change of their state, such as an ejected engine
    STANDING = 9  # a change of this dispatcher's standing in the fleet
    MEMBER = 10  # a change of a member's state
    WITNESS = 11  # the seal of another member's page, as that member announced it
    CLASH = 12  # two contents of one version
    LOST = 13  # the number of records that could not be written
    STOPPED = 14  # a graceful shutdown
    OTHER = 15  # another event of the fleet, named in the fields
    SEAL = 16
    ENGINE = 17  # assigns an engine to an index in this file's table of engines


REQUEST_EVENTS = (Kind.SHED, Kind.BROKEN_OFF, Kind.WITHDRAWN, Kind.GRANTED, Kind.CALLED_OFF)
# Flags of a SENT record: COLD, the engine was cold; DOUBTFUL, the request must run at most once (it is
# non-idempotent). DOUBTFUL does not include COLD, unlike Allowed.at_most_once_or_cold in standing.py.
COLD, DOUBTFUL = 1, 2


NO_FIELDS: Mapping[str, Any] = MappingProxyType({})


class Record(NamedTuple):
    """One decoded decision or fact.

    Attributes:
        stamp: When it was written, by the hybrid clock.
        versions_index: The index of the versions in force.
        kind: What happened.
        ident: The request's id in hex; "" for records that are not about a request.
        engine: The engine's name, for SENT.
        attempt: The attempt's number, at most 255.
        flags: COLD and DOUBTFUL, for SENT.
        fields: The fields of records that are stored as JSON, and of seals.
    """

    stamp: Stamp
    versions_index: int
    kind: Kind
    ident: str = ""
    engine: str = ""
    attempt: int = 0
    flags: int = 0
    fields: Mapping[str, Any] = NO_FIELDS


class SealedPage(NamedTuple):
    """A sealed page: its number, its digest in hex, and the number of the log's records up to its end."""

    number: int
    digest: str
    records: int


class PageSeal(NamedTuple):
    """A seal as read: the digest in hex, the number of records up to it, and when it was written."""

    digest: str
    records: int
    stamp: Stamp


class LogEnd(NamedTuple):
    """Where a log continues: the next page's number, the records so far, and the digest before the page."""

    next_page: int
    record_count: int
    digest: bytes


class BrokenLogError(FleetError):
    """A log that cannot be used from some byte on.

    Attributes:
        offset: That byte's offset in the file.
        why: The reason, for people.
    """

    def __init__(self, offset: int, why: str) -> None:
        super().__init__(why)
        self.offset, self.why = offset, why


def digest_after(before: bytes, data: bytes) -> bytes:
    """The digest of a page: over the previous page's digest and the page's bytes; DIGEST_SIZE bytes."""
    return hashlib.blake2b(before + data, digest_size=DIGEST_SIZE).digest()


class PageBuilder:
    """Collects records and encodes frames and seals, in the order in which they are written.

    `frame` and `seal` only return bytes. After writing them, the caller reports the result with `on_written`
    or `on_sealed`, and the chain advances.

    Args:
        page: The number of the first page.
        record_count: The records of the log so far.
        digest: The digest of the previous page.
    """

    def __init__(self, page: int = 0, record_count: int = 0, digest: bytes = INITIAL_DIGEST) -> None:
        self.page, self.record_count, self.digest = page, record_count, digest
        self.records: list[bytes] = []
        self.page_hash = hashlib.blake2b(digest, digest_size=DIGEST_SIZE)
        self.in_page = 0
        self.engines: dict[str, int] = {}

    # Adding records; they are kept until the next frame.

    def add_attempt(self, ident: bytes, attempt: int, engine: str, flags: int) -> None:
        """Add a SENT record: an attempt was sent to an engine; flags are COLD and DOUBTFUL.

        An attempt above 255 is recorded as 255. ident is at most 255 bytes of ASCII.
        """
        engine_index = self.engines.get(engine)
        if engine_index is None:
            engine_index = self.engines[engine] = len(self.engines)
            self.add_json(Kind.ENGINE, {"place": engine_index, "engine": engine})
        self.records.append(
            REQUEST_RECORD.pack(Kind.SENT, min(attempt, 255), flags, len(ident))
            + ident
            + engine_index.to_bytes(4, "big")
        )

    def add_event(self, kind: Kind, ident: bytes, attempt: int = 0) -> None:
        """Add a request's event, one of REQUEST_EVENTS; the bounds are those of `add_attempt`."""
        self.records.append(REQUEST_RECORD.pack(kind, min(attempt, 255), 0, len(ident)) + ident)

    def add_json(self, kind: Kind, fields: dict[str, Any]) -> None:
        """Add a record with fields, as compressed JSON; one of 64 KiB or more compressed is dropped."""
        text = zlib.compress(json.dumps(fields, separators=(",", ":")).encode(), 6)
        if len(text) < 1 << 16:
            self.records.append(JSON_RECORD.pack(kind, len(text)) + text)

    # Encoding.

    def frame(self, stamp: Stamp, index: int) -> bytes:
        """Encode all records since the last frame with one timestamp; b"" if there are none."""
        if not self.records:
            return b""
        body = FRAME_STAMP.pack(stamp.ms >> 32, stamp.ms & 0xFFFFFFFF, stamp.tally, index) + b"".join(
            self.records
        )
        return FRAME.pack(len(body), zlib.crc32(body)) + body

    def on_written(self, data: bytes, written: bool) -> int:
        """Report whether a frame's bytes were written; return how many records were lost if not, else 0."""
        count, self.records = len(self.records), []
        if not written:
            self.engines.clear()  # the lost records may have included ENGINE records
            return count
        self.record_count += count
        self.in_page += count
        self.page_hash.update(data)
        return 0

    def seal(self, stamp: Stamp, index: int) -> bytes:
        """Encode the frame of the page's seal; b"" if the page has no records."""
        if not self.in_page:
            return b""
        digest = self.page_hash.digest()
        body = (
            FRAME_STAMP.pack(stamp.ms >> 32, stamp.ms & 0xFFFFFFFF, stamp.tally, index)
            + SEAL_RECORD.pack(Kind.SEAL, self.page, self.record_count)
            + digest
        )
        return FRAME.pack(len(body), zlib.crc32(body)) + body

    def on_sealed(self) -> SealedPage:
        """Report that the seal was written, start the next page and return the sealed one."""
        page = SealedPage(self.page, self.page_hash.hexdigest(), self.record_count)
        self.end_page()
        return page

    def end_page(self) -> None:
        """End the page and advance the chain; an empty page does not end.

        A page that ends without a seal, since a new file begins, still uses up its number.
        """
        if self.in_page:
            self.digest = self.page_hash.digest()
            self.page, self.in_page = self.page + 1, 0
            self.page_hash = hashlib.blake2b(self.digest, digest_size=DIGEST_SIZE)


class ParsedFile(NamedTuple):
    """The contents of one file and the state of the chain at its end.

    Attributes:
        records: All records but seals.
        seals: By number of the page.
        next_page: The number of the page after the file's last one.
        record_count: Records of the log up to the file's end.
        digest: The chain's digest after the file's last record, sealed or not.
        end: Length in bytes of the intact part; anything behind it is a torn tail.
        head: The fields of the file's HEAD record; empty if that record is torn.
        unsealed_records: Records after the last seal.
    """

    records: list[Record]
    seals: dict[int, PageSeal]
    next_page: int
    record_count: int
    digest: bytes
    end: int
    head: Mapping[str, Any]
    unsealed_records: int


def read(data: bytes) -> ParsedFile:
    """Decode a file and verify its checksums and its hash chain, starting from the digest in its head.

    A torn tail is no error: `end` is the offset where it begins.

    Raises:
        BrokenLogError: The file is not an audit log, is damaged, or contradicts a seal.
    """
    if MAGIC.startswith(data):  # torn within MAGIC, or empty
        return ParsedFile([], {}, 0, 0, INITIAL_DIGEST, 0, {}, 0)
    if data[: len(MAGIC)] != MAGIC:
        raise BrokenLogError(0, "no audit log: it does not begin as one")
    at, records, seals = len(MAGIC), list[Record](), dict[int, PageSeal]()
    head: Mapping[str, Any] = {}
    page, count, digest, pending = 0, 0, INITIAL_DIGEST, b""
    in_page = 0
    engines: dict[int, str] = {}
    while True:
        frame = frame_at(data, at)
        if frame is None:
            break
        body, after = frame
        frame_records = list(decode_records(body, at, engines))
        if frame_records and frame_records[0].kind is Kind.HEAD and not head:
            head = frame_records[0].fields
            page, count, digest = int(head["page"]), int(head["records"]), bytes.fromhex(head["before"])
        elif not head:
            raise BrokenLogError(at, "no head")
        if frame_records and frame_records[0].kind is Kind.SEAL:
            seal = frame_records[0].fields
            digest = digest_after(digest, pending)
            if seal["page"] != page or seal["digest"] != digest.hex() or seal["records"] != count + in_page:
                raise BrokenLogError(
                    at, f"page {page} is not what its seal says: altered, or a part is cut out"
                )
            count, in_page, pending = count + in_page, 0, b""
            seals[page] = PageSeal(digest.hex(), count, frame_records[0].stamp)
            page += 1
        else:
            in_page += len(frame_records)
            pending += data[at:after]
            records += frame_records
        at = after
    if at < len(data) and is_followed_by_frame(data, at):
        raise BrokenLogError(at, "a frame is spoilt, and whole ones follow it")
    final_digest = digest_after(digest, pending) if pending else digest
    return ParsedFile(records, seals, page + bool(pending), count + in_page, final_digest, at, head, in_page)


def read_head(data: bytes) -> Mapping[str, Any]:
    """The fields of a file's HEAD record, even if the rest is broken; {} if it has none."""
    frame = frame_at(data, len(MAGIC))
    try:
        frame_records = list(decode_records(frame[0], len(MAGIC), {})) if frame is not None else []
    except BrokenLogError:
        return {}
    return frame_records[0].fields if frame_records and frame_records[0].kind is Kind.HEAD else {}


def frame_at(data: bytes, at: int) -> tuple[bytes, int] | None:
    """The body and the end offset of the frame at an offset; None if no intact frame begins there."""
    if at + FRAME.size > len(data):
        return None
    size, checksum = FRAME.unpack_from(data, at)
    body = data[at + FRAME.size : at + FRAME.size + size]
    if not FRAME_STAMP.size < size <= MAX_FRAME_SIZE or len(body) < size or zlib.crc32(body) != checksum:
        return None
    return body, at + FRAME.size + size


def is_followed_by_frame(data: bytes, at: int) -> bool:
    """Whether an intact frame follows, so that the frame at the offset is damaged and not a torn tail.

    Every later offset within 64 KiB is tried, since the damaged frame's length may be wrong.
    """
    return any(frame_at(data, offset) is not None for offset in range(at + 1, min(len(data), at + 65_536)))


def decode_records(body: bytes, offset: int, engines: dict[int, str]) -> Iterator[Record]:
    """Decode the records in a frame's body.

    Args:
        body: The frame's body.
        offset: The frame's offset in its file, for errors.
        engines: The file's table of engines so far; ENGINE records extend it.

    Raises:
        BrokenLogError: A record is malformed.
    """
    high, low, tally, index = FRAME_STAMP.unpack_from(body)
    stamp, at = Stamp(high << 32 | low, tally), FRAME_STAMP.size
    try:
        while at < len(body):
            kind = Kind(body[at])
            if kind is Kind.SENT or kind in REQUEST_EVENTS:
                _, attempt, flags, size = REQUEST_RECORD.unpack_from(body, at)
                at += REQUEST_RECORD.size
                ident = body[at : at + size].decode("ascii")
                at += size
                engine = ""
                if kind is Kind.SENT:
                    engine = engines[int.from_bytes(body[at : at + 4], "big")]
                    at += 4
                yield Record(stamp, index, kind, ident, engine, attempt, flags)
            elif kind is Kind.SEAL:
                _, page, count = SEAL_RECORD.unpack_from(body, at)
                at += SEAL_RECORD.size
                digest = body[at : at + DIGEST_SIZE].hex()
                at += DIGEST_SIZE
                yield Record(stamp, index, kind, fields={"page": page, "records": count, "digest": digest})
            else:
                _, size = JSON_RECORD.unpack_from(body, at)
                at += JSON_RECORD.size
                fields = json.loads(zlib.decompress(body[at : at + size]))
                at += size
                if kind is Kind.ENGINE:
                    engines[int(fields["place"])] = str(fields["engine"])
                yield Record(stamp, index, kind, fields=fields)
    except (ValueError, KeyError, IndexError, struct.error, zlib.error) as fault:
        raise BrokenLogError(offset, f"a record cannot be read: {fault!r}") from None
