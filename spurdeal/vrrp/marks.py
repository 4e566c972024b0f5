"""Which requests that must not run twice may have run, here or at a peer. Free of I/O and clocks.

A mark is made before such a request is sent, and taken away only when each attempt of it is known not to have
run, or when its time is over. Times are ms of one monotonic clock; between dispatchers only what is left is
told.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from enum import Enum
from typing import NamedTuple


class Door(Enum):
    """What a request that must not run twice meets on its way in."""

    OPEN = "open"
    RAN = "ran"  # it may have run: broken off, never shed and never sent again
    AWAY = "away"  # no peer can be told ahead: shed, nothing ran
    FULL = "full"  # no room for another mark: shed, nothing ran


class Mark(NamedTuple):
    """What is known of one request that may have run."""

    until: float
    peer: str  # who told; "" for our own
    sent: bool  # it has left, or may have
    turn: float  # the telling that it is from; what is said of an earlier one changes nothing


class Marks:
    """All marks, at most so many. None is dropped before its time: a full table sheds instead."""

    def __init__(self, most: int, keep: float) -> None:
        self.most, self.keep = most, keep
        self.known: dict[bytes, Mark] = {}
        self.soonest = float("inf")
        self.refused = self.double = 0

    def door(self, now: float, ident: bytes) -> Door:
        """A new request: its id may be known from an earlier way in."""
        self.forget(now)
        if ident in self.known:
            self.double += 1
            return Door.RAN
        if len(self.known) >= self.most:
            self.refused += 1
            return Door.FULL
        return Door.OPEN

    def mark(self, now: float, ident: bytes, deadline: float, turn: int) -> bool:
        """Ours is about to be told and sent; kept for a time after its deadline. False: there is no room."""
        found = self.known.get(ident)
        if found is not None and found.peer:
            return False  # a peer was first, since the door
        if found is None and len(self.known) >= self.most:
            return False
        self.keep_mark(ident, Mark(deadline + self.keep, "", found.sent if found else False, turn))
        return True

    def sent(self, ident: bytes) -> None:
        """It has left, or may have."""
        if ident in self.known:
            self.known[ident] = self.known[ident]._replace(sent=True)

    def never_ran(self, ident: bytes) -> float | None:
        """Each attempt is known not to have run, so it may go again.

        Returns:
            Its last telling; None if it was not ours.
        """
        found = self.known.get(ident)
        if found is None or found.peer:
            return None
        del self.known[ident]
        return found.turn

    def recall(self, ident: bytes, until: float) -> None:
        """An earlier start of ours may have sent it, as its ledger tells; new peers are told."""
        if ident not in self.known and len(self.known) < self.most:
            self.keep_mark(ident, Mark(until, "", True, 0))

    # What peers tell.

    def peer_marks(self, now: float, peer: str, ident: bytes, left: float, turn: float) -> bool:
        """A peer will send it.

        Returns:
            False where it is ours, or another's, or there is no room: it must not send.
        """
        self.forget(now)
        found = self.known.get(ident)
        if (found is not None and found.peer != peer) or (found is None and len(self.known) >= self.most):
            return False
        until = max(now + left, found.until if found else 0.0)
        self.keep_mark(ident, Mark(until, peer, True, max(turn, found.turn if found else turn)))
        return True

    def peer_clears(self, peer: str, ident: bytes, turn: float) -> None:
        """A peer takes its mark back.

        It is said several times, and overtaken by a newer telling it must not take that one's mark away.
        """
        found = self.known.get(ident)
        if found is not None and found.peer == peer and found.turn <= turn:
            del self.known[ident]

    def learn(self, now: float, peer: str, marks: Iterable[tuple[bytes, float]]) -> None:
        """A page of what a peer knows. Ours and nearer ones stay; what has no room is counted."""
        for ident, left in marks:
            if ident not in self.known and not self.peer_marks(now, peer, ident, left, float("inf")):
                self.refused += 1

    def pages(self, now: float, size: int) -> Iterator[list[tuple[bytes, float]]]:
        """All that we know, for a peer that has started anew, with ms left."""
        self.forget(now)
        page: list[tuple[bytes, float]] = []
        for ident, mark in list(self.known.items()):
            page.append((ident, mark.until - now))
            if len(page) == size:
                yield page
                page = []
        if page:
            yield page

    # Time.

    def keep_mark(self, ident: bytes, mark: Mark) -> None:
        """Set a mark, and see that it ends in time."""
        self.known[ident] = mark
        self.soonest = min(self.soonest, mark.until)

    def forget(self, now: float) -> None:
        """Drop the marks whose time is over."""
        if now < self.soonest:
            return
        self.known = {ident: mark for ident, mark in self.known.items() if mark.until > now}
        self.soonest = min((mark.until for mark in self.known.values()), default=float("inf"))
