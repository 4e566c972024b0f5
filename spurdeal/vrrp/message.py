"""Parsing of handover bodies: a body is validated whole before any of it takes effect. No I/O, no clocks."""

from __future__ import annotations

from collections.abc import Mapping
from math import isfinite
from typing import Any, NamedTuple

from .sealed import RefusedError

# Entries per datagram of records, announcements and engines; together they fit sealed.MAX_DATAGRAM.
PAGE_SIZE, MAX_ANNOUNCED, MAX_ENGINES = 64, 48, 64
MAX_PAGES = 4096  # of records
MAX_ID_LENGTH = 64  # characters
MAX_GROUPS = 255  # groups held, and the largest group number
MAX_REMAINING = 3_600_000.0  # ms: of any remaining time
MAX_ANNOUNCEMENT = MAX_START = 1e15  # number of an announcement; start of an engine in Unix ms
MAX_LIST_NUMBER = MAX_WORK = 1e12


class PeerState(NamedTuple):
    """Last state received from a peer.

    Attributes:
        heard_at: When it was last heard, in ms of our monotonic clock.
        list_number: Number of its list.
        held: Groups whose addresses it holds.
        cold: Its cold engines: name, start in Unix ms, work sent within the cold window.
        ejected: Engines that it has ejected, with the remaining ms.
    """

    heard_at: float
    list_number: int
    held: tuple[int, ...]
    cold: tuple[tuple[str, float, float], ...]
    ejected: tuple[tuple[str, float], ...]


class AnnouncedRequest(NamedTuple):
    """A non-idempotent request that the peer is about to send. `left`: ms until its record expires."""

    ident: bytes
    left: float
    announcement: float


class LoanOffer(NamedTuple):
    """The share of cold budgets that the peer lends, 0 to 1, and the ms until it may be used."""

    share: float
    wait: float


class Page(NamedTuple):
    """Position of a page of the peer's records, from 0, and the number of pages."""

    position: int
    total: int


class Message(NamedTuple):
    """Contents of a handover datagram.

    Attributes:
        announced: Requests that the peer is about to send.
        replies: By the number of our announcement, whether the request may be sent.
        clears: Withdrawn records, by request id and number of the announcement.
        records: A page of the peer's records: request id and remaining ms.
        peer_state: The peer's state; None if the datagram carries announcements and replies only.
        lend: The share that the peer lends; None if the datagram does not say.
        left: ms for which the peer may still use what we lent; None if the datagram does not say.
        need: The page of our records that the peer needs next; None if it has all.
        page: Position of `records`; None without a page.
    """

    announced: list[AnnouncedRequest]
    replies: list[tuple[float, bool]]
    clears: list[tuple[bytes, float]]
    records: list[tuple[bytes, float]]
    peer_state: PeerState | None
    lend: LoanOffer | None
    left: float | None
    need: int | None
    page: Page | None


def parse_number(value: object, maximum: float = MAX_REMAINING) -> float:
    """Return a number from 0 to `maximum`.

    Raises:
        RefusedError: It is not one.
    """
    if (
        not isinstance(value, (int, float))
        or isinstance(value, bool)
        or not isfinite(value)
        or not 0 <= value <= maximum
    ):
        raise RefusedError("body")
    return float(value)


def parse_id(value: object) -> bytes:
    """Return a request id or an engine's name: 1 to MAX_ID_LENGTH ASCII characters.

    Raises:
        RefusedError: It is not one.
    """
    if not isinstance(value, str) or not 1 <= len(value) <= MAX_ID_LENGTH or not value.isascii():
        raise RefusedError("body")
    return value.encode()


def parse_rows(body: Mapping[str, Any], name: str, width: int, maximum: int) -> list[list[Any]]:
    """Return a list of at most `maximum` rows of that width; empty if the key is missing.

    Raises:
        RefusedError: The value is not such a list.
    """
    found = body.get(name, [])
    if (
        not isinstance(found, list)
        or len(found) > maximum
        or not all(isinstance(row, list) and len(row) == width for row in found)
    ):
        raise RefusedError("body")
    return found


def read_message(now: float, body: Mapping[str, Any]) -> Message:
    """Parse a body received at `now` (ms).

    Raises:
        RefusedError: A value has the wrong form or is out of range.
    """
    announced = [
        AnnouncedRequest(parse_id(ident), parse_number(left), parse_number(announcement, MAX_ANNOUNCEMENT))
        for ident, left, announcement in parse_rows(body, "tell", 3, MAX_ANNOUNCED)
    ]
    return Message(
        announced,
        [
            (parse_number(announcement, MAX_ANNOUNCEMENT), ok is True)
            for announcement, ok in parse_rows(body, "reply", 2, MAX_ANNOUNCED)
        ],
        [
            (parse_id(ident), parse_number(announcement, MAX_ANNOUNCEMENT))
            for ident, announcement in parse_rows(body, "clear", 2, MAX_ANNOUNCED)
        ],
        [(parse_id(ident), parse_number(left)) for ident, left in parse_rows(body, "marks", 2, PAGE_SIZE)],
        read_peer_state(now, body),
        read_loan_offer(body),
        parse_number(body["left"]) if "left" in body else None,
        int(parse_number(body["need"], MAX_PAGES)) if "need" in body else None,
        read_page(body),
    )


def read_peer_state(now: float, body: Mapping[str, Any]) -> PeerState | None:
    """Return the state of the peer; None if the body carries none.

    Raises:
        RefusedError: A value has the wrong form or is out of range.
    """
    if "list" not in body:
        return None
    cold = tuple(
        (parse_id(ident).decode(), parse_number(started, MAX_START), parse_number(sent, MAX_WORK))
        for ident, started, sent in parse_rows(body, "cold", 3, MAX_ENGINES)
    )
    ejected = tuple(
        (parse_id(ident).decode(), parse_number(left))
        for ident, left in parse_rows(body, "aside", 2, MAX_ENGINES)
    )
    held = body.get("held", [])
    if not isinstance(held, list) or len(held) > MAX_GROUPS:
        raise RefusedError("body")
    groups = tuple(int(parse_number(group, MAX_GROUPS)) for group in held)
    return PeerState(now, int(parse_number(body["list"], MAX_LIST_NUMBER)), groups, cold, ejected)


def read_loan_offer(body: Mapping[str, Any]) -> LoanOffer | None:
    """Return the loan offer; None if the body carries none.

    Raises:
        RefusedError: A value has the wrong form or is out of range.
    """
    if "lend" not in body:
        return None
    ((share, wait),) = parse_rows({"lend": [body["lend"]]}, "lend", 2, 1)
    return LoanOffer(parse_number(share, 1.0), parse_number(wait))


def read_page(body: Mapping[str, Any]) -> Page | None:
    """Return the position of the page of records; None if the body carries none.

    Raises:
        RefusedError: A value has the wrong form or is out of range.
    """
    if "page" not in body:
        return None
    ((position, total),) = parse_rows({"page": [body["page"]]}, "page", 2, 1)
    return Page(int(parse_number(position, MAX_PAGES)), int(parse_number(total, MAX_PAGES)))
