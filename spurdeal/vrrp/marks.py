"""Which requests that must not run twice may have run, here or at a peer. Free of I/O and clocks.

A mark is made before such a request is sent, and taken away only when each attempt of it is known not to have
run, or when its time is over. Times are ms of one monotonic clock; between dispatchers only what is left is
told.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from enum import Enum
from typing import NamedTuple


class Admission(Enum):
    """What a request that must not run twice meets on its way in."""

    ALLOWED = "open"
    MAY_HAVE_RUN = "ran"  # it may have run: broken off, never shed and never sent again
    PEER_UNREACHABLE = "away"  # no peer can be told ahead: shed, nothing ran
    TABLE_FULL = "full"  # no room for another mark: shed, nothing ran


class IdempotencyRecord(NamedTuple):
    """What is known of one request that may have run."""

    until: float
    peer: str  # who told; "" for our own
    sent: bool  # it has left, or may have
    announcement: float  # the telling that it is from; what is said of an earlier one changes nothing


class IdempotencyTable:
    """All marks, at most so many. None is dropped before its time: a full table sheds instead."""

    def __init__(self, capacity: int, retention: float) -> None:
        self.capacity, self.retention = capacity, retention
        self.known: dict[bytes, IdempotencyRecord] = {}
        self.next_expiry = float("inf")
        self.refused = self.duplicates = 0

    def check(self, now: float, ident: bytes) -> Admission:
        """A new request: its id may be known from an earlier way in."""
        self.expire(now)
        if ident in self.known:
            self.duplicates += 1
            return Admission.MAY_HAVE_RUN
        if len(self.known) >= self.capacity:
            self.refused += 1
            return Admission.TABLE_FULL
        return Admission.ALLOWED

    def add(self, now: float, ident: bytes, deadline: float, announcement: int) -> bool:
        """Ours is about to be told and sent; kept for a time after its deadline. False: there is no room."""
        found = self.known.get(ident)
        if found is not None and found.peer:
            return False  # a peer was first, since the door
        if found is None and len(self.known) >= self.capacity:
            return False
        self.store(
            ident,
            IdempotencyRecord(deadline + self.retention, "", found.sent if found else False, announcement),
        )
        return True

    def mark_sent(self, ident: bytes) -> None:
        """It has left, or may have."""
        if ident in self.known:
            self.known[ident] = self.known[ident]._replace(sent=True)

    def remove_own(self, ident: bytes) -> float | None:
        """Each attempt is known not to have run, so it may go again.

        Returns:
            Its last telling; None if it was not ours.
        """
        found = self.known.get(ident)
        if found is None or found.peer:
            return None
        del self.known[ident]
        return found.announcement

    def recall(self, ident: bytes, until: float) -> None:
        """An earlier start of ours may have sent it, as its ledger tells; new peers are told."""
        if ident not in self.known and len(self.known) < self.capacity:
            self.store(ident, IdempotencyRecord(until, "", True, 0))

    # What peers tell.

    def add_from_peer(self, now: float, peer: str, ident: bytes, left: float, announcement: float) -> bool:
        """A peer will send it.

        Returns:
            False where it is ours, or another's, or there is no room: it must not send.
        """
        self.expire(now)
        found = self.known.get(ident)
        if (found is not None and found.peer != peer) or (found is None and len(self.known) >= self.capacity):
            return False
        until = max(now + left, found.until if found else 0.0)
        self.store(
            ident,
            IdempotencyRecord(
                until, peer, True, max(announcement, found.announcement if found else announcement)
            ),
        )
        return True

    def remove_from_peer(self, peer: str, ident: bytes, announcement: float) -> None:
        """A peer takes its mark back.

        It is said several times, and overtaken by a newer telling it must not take that one's mark away.
        """
        found = self.known.get(ident)
        if found is not None and found.peer == peer and found.announcement <= announcement:
            del self.known[ident]

    def add_page(self, now: float, peer: str, marks: Iterable[tuple[bytes, float]]) -> None:
        """A page of what a peer knows. Ours and nearer ones stay; what has no room is counted."""
        for ident, left in marks:
            if ident not in self.known and not self.add_from_peer(now, peer, ident, left, float("inf")):
                self.refused += 1

    def pages(self, now: float, size: int) -> Iterator[list[tuple[bytes, float]]]:
        """All that we know, for a peer that has started anew, with ms left."""
        self.expire(now)
        page: list[tuple[bytes, float]] = []
        for ident, mark in list(self.known.items()):
            page.append((ident, mark.until - now))
            if len(page) == size:
                yield page
                page = []
        if page:
            yield page

    # Time.

    def store(self, ident: bytes, mark: IdempotencyRecord) -> None:
        """Set a mark, and see that it ends in time."""
        self.known[ident] = mark
        self.next_expiry = min(self.next_expiry, mark.until)

    def expire(self, now: float) -> None:
        """Drop the marks whose time is over."""
        if now < self.next_expiry:
            return
        self.known = {ident: mark for ident, mark in self.known.items() if mark.until > now}
        self.next_expiry = min((mark.until for mark in self.known.values()), default=float("inf"))
