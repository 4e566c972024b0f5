"""The wire format: JSON bodies in the authenticated datagrams that handover uses as well. No I/O, no clocks.

Every message has the keys

| key | value |
| --- | --- |
| k | kind of the message, see below |
| h | hybrid timestamp: [Unix ms, tally] |
| u | the sender's system time, Unix ms |
| v | its versions in force, in the order of Artifact: [generation, number, digest] or null |
| s | its standing, a value of Standing |

and may have

| key | value |
| --- | --- |
| n | member records, of gossip or of a table's page; see `record_row` |
| e | checksum of the sender's member table; with gossip only |
| d | newest sealed page of its audit log: [number, digest, records]; in pings that ask for the lease |

| kind | message | further keys |
| --- | --- | --- |
| p | ping | q; l: [term, proposed term or null] if it asks for the lease |
| a | answer to a ping | q; g: [highest known term, 1 if granted, else 0] if the lease was asked for |
| r | request for an indirect probe | q; on: [name, host, port] of the member to ping |
| n | the helper has received such a request | q |
| y | the helper has received the member's answer | q |
| j | request for a page of the member table | q; i: offset |
| J | page of the member table | q; i: offset; of: records of the table; n |
| w | question whether a member has stopped | q; who: its name; boot: its start |
| W | report on that | q; who; boot; r: 1 if refused; left: ms; t: term; f: proposed term or null |
| f | request for a piece of an engine list | q; have: version; want: version; i: index of the piece |
| F | piece of an engine list | q; want; i; of: number of pieces, 0 if the holder is busy; b: base64 |

q is the number of the request, and an answer repeats it. A term is [number, [grantor, ...]]. An empty body
({}) is a greeting: it only echoes the start of a peer that we do not know yet, see `Session.greet`.

A body is parsed completely, and rejected as a whole, before any of it takes effect. A datagram fits into one
packet: MAX_DATAGRAM_SIZE leaves room for headers within the minimum MTU (RFC 8200, section 5: 1,280 bytes).
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from ipaddress import ip_address
from math import isfinite
from typing import Any

from ..vrrp.sealed import HEAD, TAG_SIZE, RefusedError
from .audit import SealedPage
from .hybrid import Stamp
from .lease import MAX_GRANTORS, Term
from .members import MAX_INCARNATION, Life, Record
from .standing import Standing
from .versions import Artifact, Version

MAX_DATAGRAM_SIZE = 1200  # bytes of a datagram
MAX_NAME_LENGTH = 32
MAX_RECORDS = 12
MAX_REMAINING = 3_600_000.0  # ms


def name_of(datagram: bytes) -> str:
    """The sender's name in the header. The authentication tag has not been verified yet."""
    if len(datagram) < HEAD.size + TAG_SIZE:
        raise RefusedError("short")
    if len(datagram) > MAX_DATAGRAM_SIZE:
        raise RefusedError("long")
    size = datagram[5]
    text = datagram[HEAD.size : HEAD.size + size]
    if not 1 <= size <= MAX_NAME_LENGTH or len(text) != size or not text.isascii():
        raise RefusedError("name")
    return text.decode("ascii")


def room(name: str, body: Mapping[str, Any]) -> int:
    """Bytes left in a datagram that carries this body."""
    return MAX_DATAGRAM_SIZE - HEAD.size - TAG_SIZE - len(name) - len(json.dumps(body, separators=(",", ":")))


# Parsing: each function raises RefusedError("body") for a malformed value.


def integer(value: object, most: float = 1 << 63) -> int:
    """An integer from 0 to `most`."""
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value <= most:
        raise RefusedError("body")
    return value


def finite_number(value: object, most: float = MAX_REMAINING) -> float:
    """A finite number from 0 to `most`."""
    if (
        not isinstance(value, (int, float))
        or isinstance(value, bool)
        or not isfinite(value)
        or not 0 <= value <= most
    ):
        raise RefusedError("body")
    return float(value)


def text(value: object, most: int = MAX_NAME_LENGTH) -> str:
    """Printable ASCII of 1 to `most` characters."""
    if (
        not isinstance(value, str)
        or not 1 <= len(value) <= most
        or not value.isascii()
        or not value.isprintable()
    ):
        raise RefusedError("body")
    return value


def array(value: object, least: int, most: int) -> list[Any]:
    """A list of `least` to `most` items."""
    if not isinstance(value, list) or not least <= len(value) <= most:
        raise RefusedError("body")
    return value


def host(value: object) -> str:
    """An IP address in its canonical form."""
    try:
        return str(ip_address(text(value, 45)))
    except ValueError:
        raise RefusedError("body") from None


def record(value: object) -> Record:
    """A member's record, as written by `record_row`."""
    row = array(value, 7, 7)
    try:
        life = Life(integer(row[5], 3))
    except ValueError:
        raise RefusedError("body") from None
    by = text(row[6]) if row[6] != "" else ""
    return Record(
        text(row[0]),
        host(row[1]),
        integer(row[2], 65535),
        integer(row[3]),
        integer(row[4], MAX_INCARNATION),
        life,
        by,
    )


def record_row(member: Record) -> list[Any]:
    """A member's record as a row for JSON."""
    return [
        member.name,
        member.host,
        member.port,
        member.boot,
        member.incarnation,
        int(member.life),
        member.by,
    ]


def records(body: Mapping[str, Any], key: str = "n") -> list[Record]:
    """The member records of a body, at most MAX_RECORDS."""
    return [record(row) for row in array(body.get(key, []), 0, MAX_RECORDS)]


def version(value: object) -> Version:
    """A version: generation, number and digest."""
    row = array(value, 3, 3)
    return Version(integer(row[0], 1 << 48), integer(row[1], 1 << 48), text(row[2], 16))


def versions(body: Mapping[str, Any]) -> dict[Artifact, Version]:
    """The sender's versions in force."""
    rows = array(body.get("v", []), 0, len(Artifact))
    return {Artifact(index): version(row) for index, row in enumerate(rows) if row is not None}


def versions_row(versions_in_force: Mapping[Artifact, Version]) -> list[Any]:
    """Versions in force as a row for JSON, in the order of Artifact."""
    return [
        list(versions_in_force[artifact]) if artifact in versions_in_force else None for artifact in Artifact
    ]


def stamp(body: Mapping[str, Any]) -> Stamp:
    """The sender's hybrid timestamp."""
    row = array(body.get("h"), 2, 2)
    return Stamp(integer(row[0], 1 << 48), integer(row[1], 0xFFFF))


def term(value: object) -> Term:
    """A lease term: its number and grantors."""
    row = array(value, 2, 2)
    return Term(
        integer(row[0], 1 << 48), tuple(sorted(text(name) for name in array(row[1], 0, MAX_GRANTORS)))
    )


def term_row(lease_term: Term) -> list[Any]:
    """A lease term as a row for JSON."""
    return [lease_term.number, list(lease_term.grantors)]


def standing(body: Mapping[str, Any]) -> Standing:
    """The sender's standing."""
    return Standing(integer(body.get("s"), len(Standing) - 1))


def page(body: Mapping[str, Any]) -> SealedPage | None:
    """The newest sealed page of the sender's audit log."""
    if "d" not in body:
        return None
    row = array(body["d"], 3, 3)
    return SealedPage(integer(row[0], 1 << 48), text(row[1], 32), integer(row[2], 1 << 48))
