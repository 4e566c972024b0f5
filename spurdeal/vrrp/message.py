"""The body of a handover datagram, read whole before anything of it counts. Free of I/O and clocks."""

from __future__ import annotations

from collections.abc import Mapping
from math import isfinite
from typing import Any, NamedTuple

from .sealed import RefusedError

PAGE, MOST_TOLD, MOST_ENGINES = 64, 48, 64  # entries in one datagram: all of them fit in sealed.LARGEST
MOST_PAGES = 4096
LONGEST_ID = 64  # characters
MOST_GROUPS = 255
LONGEST_LEFT = 3_600_000.0  # ms; nothing told lasts longer
LARGEST_TURN = LATEST_START = 1e15
LARGEST_LIST = MOST_WORK = 1e12


class PeerState(NamedTuple):
    """What was last heard of a peer."""

    at: float
    list_number: int
    held: tuple[int, ...]
    cold: tuple[tuple[str, float, float], ...]
    aside: tuple[tuple[str, float], ...]


class AnnouncedRequest(NamedTuple):
    """A non-idempotent request that the peer is about to send. left: ms that its mark lasts."""

    ident: bytes
    left: float
    announcement: float


class Loan(NamedTuple):
    """What the peer lends of its part of cold budgets, and in how many ms it may be used."""

    part: float
    wait: float


class Page(NamedTuple):
    """Which page of the peer's marks this is, and of how many."""

    at: int
    of: int


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

    told: list[AnnouncedRequest]
    replies: list[tuple[float, bool]]
    clears: list[tuple[bytes, float]]
    records: list[tuple[bytes, float]]
    known: PeerState | None
    lend: Loan | None
    left: float | None
    need: int | None
    page: Page | None


def number(value: object, most: float = LONGEST_LEFT) -> float:
    """A number from 0 to `most`."""
    if (
        not isinstance(value, (int, float))
        or isinstance(value, bool)
        or not isfinite(value)
        or not 0 <= value <= most
    ):
        raise RefusedError("body")
    return float(value)


def ident_of(value: object) -> bytes:
    """An id, or an engine's name."""
    if not isinstance(value, str) or not 1 <= len(value) <= LONGEST_ID or not value.isascii():
        raise RefusedError("body")
    return value.encode()


def rows(body: Mapping[str, Any], name: str, width: int, most: int) -> list[list[Any]]:
    """A list of rows of that width; empty where there is none."""
    found = body.get(name, [])
    if (
        not isinstance(found, list)
        or len(found) > most
        or not all(isinstance(row, list) and len(row) == width for row in found)
    ):
        raise RefusedError("body")
    return found


def read_message(now: float, body: Mapping[str, Any]) -> Message:
    """Read a body.

    Raises:
        RefusedError: Something in it has not its form.
    """
    told = [
        AnnouncedRequest(ident_of(ident), number(left), number(announcement, LARGEST_TURN))
        for ident, left, announcement in rows(body, "tell", 3, MOST_TOLD)
    ]
    return Message(
        told,
        [
            (number(announcement, LARGEST_TURN), ok is True)
            for announcement, ok in rows(body, "reply", 2, MOST_TOLD)
        ],
        [
            (ident_of(ident), number(announcement, LARGEST_TURN))
            for ident, announcement in rows(body, "clear", 2, MOST_TOLD)
        ],
        [(ident_of(ident), number(left)) for ident, left in rows(body, "marks", 2, PAGE)],
        read_known(now, body),
        read_loan(body),
        number(body["left"]) if "left" in body else None,
        int(number(body["need"], MOST_PAGES)) if "need" in body else None,
        read_page(body),
    )


def read_known(now: float, body: Mapping[str, Any]) -> PeerState | None:
    """What the peer tells of itself, if it does."""
    if "list" not in body:
        return None
    cold = tuple(
        (ident_of(ident).decode(), number(started, LATEST_START), number(sent, MOST_WORK))
        for ident, started, sent in rows(body, "cold", 3, MOST_ENGINES)
    )
    aside = tuple(
        (ident_of(ident).decode(), number(left)) for ident, left in rows(body, "aside", 2, MOST_ENGINES)
    )
    held = body.get("held", [])
    if not isinstance(held, list) or len(held) > MOST_GROUPS:
        raise RefusedError("body")
    groups = tuple(int(number(group, MOST_GROUPS)) for group in held)
    return PeerState(now, int(number(body["list"], LARGEST_LIST)), groups, cold, aside)


def read_loan(body: Mapping[str, Any]) -> Loan | None:
    """What is lent, if anything is told of it."""
    if "lend" not in body:
        return None
    ((part, wait),) = rows({"lend": [body["lend"]]}, "lend", 2, 1)
    return Loan(number(part, 1.0), number(wait))


def read_page(body: Mapping[str, Any]) -> Page | None:
    """Which page of marks there is, if any."""
    if "page" not in body:
        return None
    ((at, of),) = rows({"page": [body["page"]]}, "page", 2, 1)
    return Page(int(number(at, MOST_PAGES)), int(number(of, MOST_PAGES)))
