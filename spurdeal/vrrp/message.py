"""The body of a handover datagram, read whole before anything of it counts. Free of I/O and clocks."""

from __future__ import annotations

from collections.abc import Mapping
from math import isfinite
from typing import Any, NamedTuple

from .sealed import RefusedError

PAGE_SIZE, MAX_ANNOUNCED, MAX_ENGINES = (
    64,
    48,
    64,
)  # entries in one datagram: all of them fit in sealed.LARGEST
MAX_PAGES = 4096
MAX_ID_LENGTH = 64  # characters
MAX_GROUPS = 255
MAX_REMAINING = 3_600_000.0  # ms; nothing told lasts longer
MAX_ANNOUNCEMENT = MAX_START = 1e15
MAX_LIST_NUMBER = MAX_WORK = 1e12


class PeerState(NamedTuple):
    """What was last heard of a peer."""

    heard_at: float
    list_number: int
    held: tuple[int, ...]
    cold: tuple[tuple[str, float, float], ...]
    ejected: tuple[tuple[str, float], ...]


class AnnouncedRequest(NamedTuple):
    """A non-idempotent request that the peer is about to send. left: ms that its mark lasts."""

    ident: bytes
    left: float
    announcement: float


class LoanOffer(NamedTuple):
    """What the peer lends of its part of cold budgets, and in how many ms it may be used."""

    part: float
    wait: float


class Page(NamedTuple):
    """Which page of the peer's marks this is, and of how many."""

    position: int
    total: int


class Message(NamedTuple):
    """All that a datagram tells.

    Attributes:
        replies: By the turn of what we told, whether it may go.
        clears: Marks taken back, by id and turn.
        marks: By id, for how many ms each lasts.
        known: None where the datagram tells only of requests.
        left: ms until what the peer lent counts no more with it.
        need: The page of our marks that it needs next.
    """

    announced: list[AnnouncedRequest]
    replies: list[tuple[float, bool]]
    clears: list[tuple[bytes, float]]
    records: list[tuple[bytes, float]]
    known: PeerState | None
    lend: LoanOffer | None
    left: float | None
    need: int | None
    page: Page | None


def parse_number(value: object, maximum: float = MAX_REMAINING) -> float:
    """A number from 0 to `most`."""
    if (
        not isinstance(value, (int, float))
        or isinstance(value, bool)
        or not isfinite(value)
        or not 0 <= value <= maximum
    ):
        raise RefusedError("body")
    return float(value)


def parse_id(value: object) -> bytes:
    """An id, or an engine's name."""
    if not isinstance(value, str) or not 1 <= len(value) <= MAX_ID_LENGTH or not value.isascii():
        raise RefusedError("body")
    return value.encode()


def parse_rows(body: Mapping[str, Any], name: str, width: int, maximum: int) -> list[list[Any]]:
    """A list of rows of that width; empty where there is none."""
    found = body.get(name, [])
    if (
        not isinstance(found, list)
        or len(found) > maximum
        or not all(isinstance(row, list) and len(row) == width for row in found)
    ):
        raise RefusedError("body")
    return found


def read_message(now: float, body: Mapping[str, Any]) -> Message:
    """Read a body.

    Raises:
        RefusedError: Something in it has not its form.
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
    """What the peer tells of itself, if it does."""
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
    """What is lent, if anything is told of it."""
    if "lend" not in body:
        return None
    ((part, wait),) = parse_rows({"lend": [body["lend"]]}, "lend", 2, 1)
    return LoanOffer(parse_number(part, 1.0), parse_number(wait))


def read_page(body: Mapping[str, Any]) -> Page | None:
    """Which page of marks there is, if any."""
    if "page" not in body:
        return None
    ((position, total),) = parse_rows({"page": [body["page"]]}, "page", 2, 1)
    return Page(int(parse_number(position, MAX_PAGES)), int(parse_number(total, MAX_PAGES)))
