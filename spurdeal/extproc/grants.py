"""Grants as leases, free of I/O and clocks: what is known of an attempt that somebody else carries.

A grant is HELD from the call on, SAID once its answer has left for the caller, and over with exactly one
ending. What each end proves stands in `ENDS`, and in docs/extproc.md as a table. Times are ms.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from ..interface import Ending


class Stage(Enum):
    """How far a grant has come."""

    HELD = "held"
    SAID = "said"
    OVER = "over"


class Seen(Enum):
    """What can happen to a grant from the caller's side, or from ours."""

    CANCELLED = "the stream was cancelled, or ended, with no outcome"
    CUT = "the connection was lost"
    SILENT = "its time is over and no outcome came"
    UNUSED = "the caller says that it did not use it"
    CALLED_OFF = "the rules call it off"
    GONE = "its engine drains or has left"


ENDS: dict[tuple[Stage, Seen], Ending] = {
    # Before the answer has left, nobody was told where to send it: nothing ran, whatever happens.
    **{(Stage.HELD, seen): Ending.MOOT for seen in Seen},
    (Stage.SAID, Seen.CANCELLED): Ending.RESET,
    (Stage.SAID, Seen.CUT): Ending.RESET,
    (Stage.SAID, Seen.SILENT): Ending.TIME_OUT,
    (Stage.SAID, Seen.UNUSED): Ending.MOOT,
    (Stage.SAID, Seen.CALLED_OFF): Ending.CALLED_OFF,
    (Stage.SAID, Seen.GONE): Ending.RESET,
}


class Grant(NamedTuple):
    """One attempt in a caller's hands."""

    number: int
    ident: bytes
    engine: int
    said_at: float
    until: float
    stage: Stage


class Grants:
    """All grants by number, at most so many. None outlives its end, its caller or its engine's leaving."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.open: dict[int, Grant] = {}
        self.late = self.crossed = 0

    def room(self) -> bool:
        """Whether another grant can be held."""
        return len(self.open) < self.most

    def hold(self, number: int, ident: bytes) -> None:
        """A call is taken; there is room(), or it was refused."""
        assert self.room() and number not in self.open
        self.open[number] = Grant(number, ident, -1, 0.0, 0.0, Stage.HELD)

    def say(self, now: float, number: int, engine: int, until: float) -> bool:
        """Its answer is written now. False where the caller left first: then it counts as never sent."""
        grant = self.open.get(number)
        if grant is None or grant.stage is not Stage.HELD:
            return False
        self.open[number] = grant._replace(engine=engine, said_at=now, until=until, stage=Stage.SAID)
        return True

    def heard(self, number: int, ending: Ending) -> Ending | None:
        """An outcome; None where it comes late, twice, or for what was never said."""
        grant = self.open.get(number)
        if grant is None:
            self.late += 1
            return None
        if grant.stage is Stage.HELD:
            self.crossed += 1  # a response to a request that nobody was told where to send
            return None
        del self.open[number]
        return ending

    def happens(self, number: int, seen: Seen) -> Ending | None:
        """How the grant ends by this; None where it is over already."""
        grant = self.open.pop(number, None)
        return None if grant is None else ENDS[grant.stage, seen]
