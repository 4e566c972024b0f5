"""Grants: the state of attempts that callers carry out. No I/O and no clock; times are ms.

A grant is QUEUED when its call arrives, SENT once the response is written to the caller, and over with
exactly one ending. `ENDINGS` says what each event proves; docs/extproc.md has it as a table.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from ..interface import Ending


class GrantStage(Enum):
    """The state of a grant."""

    QUEUED = "held"
    SENT = "said"
    OVER = "over"


class GrantEvent(Enum):
    """An event that ends a grant without an outcome.

    Nothing raises UNUSED or GONE: a caller reports an unused grant as an outcome, and a grant whose engine
    leaves stays open until its outcome, its timeout or a cancellation.
    """

    CANCELLED = "the stream was cancelled, or ended, with no outcome"
    CUT = "the connection was lost"
    SILENT = "the deadline passed without an outcome"
    UNUSED = "the caller reports that it did not use the grant"
    CALLED_OFF = "the rules cancelled the attempt"
    GONE = "the engine drains or has left the list"


ENDINGS: dict[tuple[GrantStage, GrantEvent], Ending] = {
    # Before the response is sent, no caller knows the engine: nothing ran, whatever happens.
    **{(GrantStage.QUEUED, event): Ending.MOOT for event in GrantEvent},
    (GrantStage.SENT, GrantEvent.CANCELLED): Ending.RESET,
    (GrantStage.SENT, GrantEvent.CUT): Ending.RESET,
    (GrantStage.SENT, GrantEvent.SILENT): Ending.TIME_OUT,
    (GrantStage.SENT, GrantEvent.UNUSED): Ending.MOOT,
    (GrantStage.SENT, GrantEvent.CALLED_OFF): Ending.CALLED_OFF,
    (GrantStage.SENT, GrantEvent.GONE): Ending.RESET,
}


class Grant(NamedTuple):
    """One grant. Times are ms; engine is -1 until the grant is sent.

    `sent_at` and `expires_at` (`sent_at` plus the ms for which the engine may work on the attempt) are kept,
    but nothing reads them: the adapter's timers end a grant without an outcome.
    """

    number: int
    ident: bytes
    engine: int
    sent_at: float
    expires_at: float
    stage: GrantStage


class Grants:
    """All open grants by number, at most `max_grants`.

    A grant is removed when its outcome or an event ends it.

    Attributes:
        late: Outcomes for grants that were over already.
        premature: Outcomes for grants that were not sent yet.
    """

    def __init__(self, max_grants: int) -> None:
        self.max_grants = max_grants
        self.open: dict[int, Grant] = {}
        self.late = self.premature = 0

    def has_room(self) -> bool:
        """Return whether another grant can be added."""
        return len(self.open) < self.max_grants

    def add(self, number: int, ident: bytes) -> None:
        """Add a queued grant for a new call. The caller checks has_room() first."""
        assert self.has_room() and number not in self.open
        self.open[number] = Grant(number, ident, -1, 0.0, 0.0, GrantStage.QUEUED)

    def mark_sent(self, now: float, number: int, engine: int, expires_at: float) -> bool:
        """Mark a grant as sent; False if its caller left first, so that the attempt was never sent."""
        grant = self.open.get(number)
        if grant is None or grant.stage is not GrantStage.QUEUED:
            return False
        self.open[number] = grant._replace(
            engine=engine, sent_at=now, expires_at=expires_at, stage=GrantStage.SENT
        )
        return True

    def record_outcome(self, number: int, ending: Ending) -> Ending | None:
        """End a grant with its outcome; None if that is late, repeated, or the grant was never sent."""
        grant = self.open.get(number)
        if grant is None:
            self.late += 1
            return None
        if grant.stage is GrantStage.QUEUED:
            self.premature += 1  # a response to a request whose engine the caller does not know yet
            return None
        del self.open[number]
        return ending

    def record_event(self, number: int, event: GrantEvent) -> Ending | None:
        """End a grant by an event and return its ending; None if it was over already."""
        grant = self.open.pop(number, None)
        return None if grant is None else ENDINGS[grant.stage, event]
