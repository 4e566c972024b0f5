"""The audit log as bytes: what each dispatcher decided, under which versions, in chained pages. Free of I/O.

A file begins with MAGIC. Then frames: length (4 bytes), CRC-32 of the body (4), body. A body is a stamp (6
bytes of Unix ms, 2 of the tally), the index of the versions in force (4), and the records of one turn, which
are one moment to the rules. A record is its kind and its fields; texts are led by their length. Numbers are
big-endian.

A page ends with a frame that holds its seal: its number, how many records there are up to it, and a digest
over the digest before and the page's bytes. So a byte that is altered, or a page that is cut out, shows in
every later digest; and a tail that is cut off shows in the digests that others were told. Weighed: SQLite
(locks, a flush each commit), one CRC a record (three times the work a turn), a Merkle tree (proofs of single
records, which nobody asks for).
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
FRAME = struct.Struct("!II")
FRAME_STAMP = struct.Struct("!HIHI")  # ms in 2 and 4 bytes, tally, index of versions
SENT = struct.Struct("!BBBB")  # kind, attempt, flags, length of the id; then the id, and the engine's place
TEXT = struct.Struct("!BH")
SEAL_RECORD = struct.Struct("!BQQ")
DIGEST = 16
LARGEST = 1 << 24  # bytes of a frame
LONGEST_ID = 64
NO_DIGEST = b"\0" * DIGEST


class Kind(IntEnum):
    """What a record is."""

    HEAD = 0  # of a file: whose, which start, what came before
    VERSIONS = 1  # an index from here on means these; with the list's engines
    SENT = 2
    SHED = 3
    BROKEN_OFF = 4
    WITHDRAWN = 5
    GRANTED = 6
    CALLED_OFF = 7
    MODE = 8  # a line of the rules: an engine set aside, and others
    STANDING = 9
    MEMBER = 10
    WITNESS = 11  # another's page, as it told
    CLASH = 12
    LOST = 13  # so many records could not be written
    STOPPED = 14
    OTHER = 15
    SEAL = 16
    ENGINE = 17  # a place in this file's table of engines means this one


SHORT = (Kind.SHED, Kind.BROKEN_OFF, Kind.WITHDRAWN, Kind.GRANTED, Kind.CALLED_OFF)
COLD, DOUBTFUL = 1, 2  # flags of one that was sent


NO_FIELDS: Mapping[str, Any] = MappingProxyType({})


class Record(NamedTuple):
    """One decision or fact, as read."""

    stamp: Stamp
    under: int  # the index of the versions in force
    kind: Kind
    ident: str = ""
    engine: str = ""
    attempt: int = 0
    flags: int = 0
    fields: Mapping[str, Any] = NO_FIELDS


class SealedPage(NamedTuple):
    """A page of an audit log that its seal has closed. records: how many the log has up to it."""

    number: int
    digest: str
    records: int


class PageSeal(NamedTuple):
    """The seal of a page, as it stands in a log: its digest, records up to it, and when it was written."""

    digest: str
    records: int
    stamp: Stamp


class LogEnd(NamedTuple):
    """Where a log goes on: the page, records so far, and the digest before it."""

    page: int
    records: int
    digest: bytes


class BrokenLogError(FleetError):
    """A log that cannot be used from some place on; the text says why."""

    def __init__(self, offset: int, why: str) -> None:
        super().__init__(why)
        self.offset, self.why = offset, why


def digest_after(before: bytes, data: bytes) -> bytes:
    """The digest over the digest before and a page's bytes."""
    return hashlib.blake2b(before + data, digest_size=DIGEST).digest()


class PageBuilder:
    """What is to be written, in order. `frame` gives the bytes of a turn, `seal` those that end a page."""

    def __init__(self, page: int = 0, count: int = 0, digest: bytes = NO_DIGEST) -> None:
        self.page, self.count, self.digest = page, count, digest
        self.records: list[bytes] = []
        self.unsealed = hashlib.blake2b(digest, digest_size=DIGEST)
        self.in_page = 0
        self.engines: dict[str, int] = {}

    # Records, kept until the turn's frame is asked for.

    def add_attempt(self, ident: bytes, attempt: int, engine: str, flags: int) -> None:
        """An attempt was sent to an engine; flags are COLD and DOUBTFUL."""
        place = self.engines.get(engine)
        if place is None:
            place = self.engines[engine] = len(self.engines)
            self.add_json(Kind.ENGINE, {"place": place, "engine": engine})
        self.records.append(
            SENT.pack(Kind.SENT, min(attempt, 255), flags, len(ident)) + ident + place.to_bytes(4, "big")
        )

    def add_event(self, kind: Kind, ident: bytes, attempt: int = 0) -> None:
        """Something happened to a request; the kind is one of SHORT."""
        self.records.append(SENT.pack(kind, min(attempt, 255), 0, len(ident)) + ident)

    def add_json(self, kind: Kind, told: dict[str, Any]) -> None:
        """A record with figures, as JSON; one that is larger than 64 KiB packed is dropped."""
        text = zlib.compress(json.dumps(told, separators=(",", ":")).encode(), 6)
        if len(text) < 1 << 16:
            self.records.append(TEXT.pack(kind, len(text)) + text)

    # Bytes.

    def frame(self, stamp: Stamp, index: int) -> bytes:
        """All that was told since the last, as one moment; b"" without any."""
        if not self.records:
            return b""
        body = FRAME_STAMP.pack(stamp.ms >> 32, stamp.ms & 0xFFFFFFFF, stamp.tally, index) + b"".join(
            self.records
        )
        return FRAME.pack(len(body), zlib.crc32(body)) + body

    def on_written(self, data: bytes, written: bool) -> int:
        """The frame's bytes are in the file, or not: then its records are lost, and how many is given."""
        count, self.records = len(self.records), []
        if not written:
            self.engines.clear()  # what told their places may be among them
            return count
        self.count += count
        self.in_page += count
        self.unsealed.update(data)
        return 0

    def seal(self, stamp: Stamp, index: int) -> bytes:
        """Ends the page: its seal's frame. Nothing where nothing was written since the last."""
        if not self.in_page:
            return b""
        digest = self.unsealed.digest()
        body = (
            FRAME_STAMP.pack(stamp.ms >> 32, stamp.ms & 0xFFFFFFFF, stamp.tally, index)
            + SEAL_RECORD.pack(Kind.SEAL, self.page, self.count)
            + digest
        )
        return FRAME.pack(len(body), zlib.crc32(body)) + body

    def on_sealed(self) -> SealedPage:
        """The seal is written: the page, as others are told of it."""
        told = SealedPage(self.page, self.unsealed.hexdigest(), self.count)
        self.close()
        return told

    def close(self) -> None:
        """The page ends, also where its file ends before a seal."""
        if self.in_page:
            self.digest = self.unsealed.digest()
            self.page, self.in_page = self.page + 1, 0
            self.unsealed = hashlib.blake2b(self.digest, digest_size=DIGEST)


class Read(NamedTuple):
    """One file's contents: records, seals by page, and the state at its end."""

    records: list[Record]
    seals: dict[int, PageSeal]
    page: int
    total: int
    digest: bytes  # after all that stands in the file, sealed or not
    end: int  # bytes that are whole
    head: Mapping[str, Any]
    unsealed: int  # records behind the last seal


def read(data: bytes) -> Read:
    """Read a file, checked from its head on.

    A torn tail is no fault: `end` lies before it.

    Raises:
        BrokenLogError: From its offset on, the file cannot be used.
    """
    if MAGIC.startswith(data):  # its very beginning was torn off
        return Read([], {}, 0, 0, NO_DIGEST, 0, {}, 0)
    if data[: len(MAGIC)] != MAGIC:
        raise BrokenLogError(0, "no audit log: it does not begin as one")
    at, records, seals = len(MAGIC), list[Record](), dict[int, PageSeal]()
    head: Mapping[str, Any] = {}
    page, count, digest, pending = 0, 0, NO_DIGEST, b""
    in_page = 0
    engines: dict[int, str] = {}
    while True:
        whole = frame_at(data, at)
        if whole is None:
            break
        body, after = whole
        found = list(records_of(body, at, engines))
        if found and found[0].kind is Kind.HEAD and not head:
            head = found[0].fields
            page, count, digest = int(head["page"]), int(head["records"]), bytes.fromhex(head["before"])
        elif not head:
            raise BrokenLogError(at, "no head")
        if found and found[0].kind is Kind.SEAL:
            told = found[0].fields
            digest = digest_after(digest, pending)
            if told["page"] != page or told["digest"] != digest.hex() or told["records"] != count + in_page:
                raise BrokenLogError(
                    at, f"page {page} is not what its seal says: altered, or a part is cut out"
                )
            count, in_page, pending = count + in_page, 0, b""
            seals[page] = PageSeal(digest.hex(), count, found[0].stamp)
            page += 1
        else:
            in_page += len(found)
            pending += data[at:after]
            records += found
        at = after
    if at < len(data) and later_frame(data, at):
        raise BrokenLogError(at, "a frame is spoilt, and whole ones follow it")
    closing = digest_after(digest, pending) if pending else digest
    return Read(records, seals, page + bool(pending), count + in_page, closing, at, head, in_page)


def head_of(data: bytes) -> Mapping[str, Any]:
    """A file's head, also where the rest is broken; {} where it has none."""
    whole = frame_at(data, len(MAGIC))
    try:
        found = list(records_of(whole[0], len(MAGIC), {})) if whole is not None else []
    except BrokenLogError:
        return {}
    return found[0].fields if found and found[0].kind is Kind.HEAD else {}


def frame_at(data: bytes, at: int) -> tuple[bytes, int] | None:
    """The body of the frame that begins there, and where it ends; None where no whole one does."""
    if at + FRAME.size > len(data):
        return None
    size, told = FRAME.unpack_from(data, at)
    body = data[at + FRAME.size : at + FRAME.size + size]
    if not FRAME_STAMP.size < size <= LARGEST or len(body) < size or zlib.crc32(body) != told:
        return None
    return body, at + FRAME.size + size


def later_frame(data: bytes, at: int) -> bool:
    """Whether whole frames follow, so that the frame there is damaged and not a torn tail.

    A damaged length is skipped, as each later byte is tried, up to 64 KiB on.
    """
    return any(frame_at(data, place) is not None for place in range(at + 1, min(len(data), at + 65_536)))


def records_of(body: bytes, offset: int, engines: dict[int, str]) -> Iterator[Record]:
    """The records in a frame's body.

    Args:
        body: Of the frame.
        offset: Of the frame in its file, for errors.
        engines: The file's table of engines so far; it is added to.

    Raises:
        BrokenLogError: A record has not its form.
    """
    high, low, tally, index = FRAME_STAMP.unpack_from(body)
    stamp, at = Stamp(high << 32 | low, tally), FRAME_STAMP.size
    try:
        while at < len(body):
            kind = Kind(body[at])
            if kind is Kind.SENT or kind in SHORT:
                _, attempt, flags, size = SENT.unpack_from(body, at)
                at += SENT.size
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
                digest = body[at : at + DIGEST].hex()
                at += DIGEST
                yield Record(stamp, index, kind, fields={"page": page, "records": count, "digest": digest})
            else:
                _, size = TEXT.unpack_from(body, at)
                at += TEXT.size
                told = json.loads(zlib.decompress(body[at : at + size]))
                at += size
                if kind is Kind.ENGINE:
                    engines[int(told["place"])] = str(told["engine"])
                yield Record(stamp, index, kind, fields=told)
    except (ValueError, KeyError, IndexError, struct.error, zlib.error) as fault:
        raise BrokenLogError(offset, f"a record cannot be read: {fault!r}") from None
