"""What a dispatcher may do, by how current it is. Free of I/O and clocks.

| standing | idempotent to warm engines | irreversible, or to cold engines | what is new at the door |
| --- | --- | --- | --- |
| JOINING: a new start, or one that returns | yes | no | taken, non-idempotent ones shed |
| CURRENT | yes | yes | taken |
| BEHIND: a newer list exists, and it is being brought up | yes | yes | taken |
| LAPSED: no lease, or behind for too long, or its clock is off | yes | no | taken, non-idempotent ones shed |
| SHUT: out | no | no | shed with a time to come back |
| TWIN: another process has its name | no | no | shed, until it is started anew |

The cure must not be worse than the illness: who hears no peer but its name service is LAPSED and no more; who
is behind is shut out only while under a stated part of the fleet is, and who goes first is the same for all.
Times are ms of one monotonic clock.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from enum import IntEnum
from typing import NamedTuple

from .members import rendezvous


class Standing(IntEnum):
    """What a dispatcher may do; see the table above."""

    JOINING = 0
    CURRENT = 1
    BEHIND = 2
    LAPSED = 3
    SHUT = 4
    TWIN = 5


class Allowed(NamedTuple):
    """What may be sent; out is what is sent for something taken before."""

    idempotent: bool
    doubtful: bool  # irreversible, or to a cold engine
    lowers: bool  # of VRRP: the priority is lowered


ALLOWED = {
    Standing.JOINING: Allowed(True, False, True),
    Standing.CURRENT: Allowed(True, True, False),
    Standing.BEHIND: Allowed(True, True, False),
    Standing.LAPSED: Allowed(True, False, True),
    Standing.SHUT: Allowed(False, False, True),
    Standing.TWIN: Allowed(False, False, True),
}


class Limits(NamedTuple):
    """Times in ms, and a part of the fleet."""

    behind_for: float  # so long behind, and it counts as lapsed
    shut_after: float  # lapsed for so long without a way to be brought up: shut out
    most_shut: float  # of the fleet: no more are shut out for being behind
    clock_off: float  # Unix time so far from the middle of the others'


class Observations(NamedTuple):
    """What one step is decided on."""

    lease: bool
    behind: int
    source: float  # since the name service last answered
    others_behind: Callable[[], Sequence[str]]  # by their last word, or shut out
    size: int  # of the fleet
    synced: bool  # the members' table was got from one since the start, or since it returned
    clock: float  # our Unix time less the middle of the others'
    twin: bool


class StandingTracker:
    """One dispatcher's standing, with since when and why."""

    def __init__(self, own: str, limits: Limits, now: float) -> None:
        self.own, self.limits = own, limits
        self.standing, self.since, self.why = Standing.JOINING, now, "a new start"
        self.behind_since: float | None = None
        self.lapsed_since = now
        self.returned = 0  # how often it came back, and what it owes before: a table newer than that

    @property
    def allowed(self) -> Allowed:
        """What may be sent in the present standing."""
        return ALLOWED[self.standing]

    def discount_pause(self, gap: float) -> None:
        """The process stood still for so long: what did not come meanwhile proves nothing."""
        self.since += gap
        self.lapsed_since += gap
        self.behind_since = self.behind_since + gap if self.behind_since is not None else None

    def step(self, now: float, seen: Observations) -> bool:
        """True where the standing has changed."""
        if not seen.behind:
            self.behind_since = None
        elif self.behind_since is None:
            self.behind_since = now
        standing, why = self.evaluate(now, seen)
        if standing is self.standing:
            return False
        if standing is Standing.LAPSED and self.standing not in (Standing.SHUT, Standing.JOINING):
            self.lapsed_since = now
        if standing is Standing.JOINING:
            self.returned += 1
        self.standing, self.since, self.why = standing, now, why
        return True

    def evaluate(self, now: float, seen: Observations) -> tuple[Standing, str]:
        """The standing that follows from what is seen, and why, in words for people."""
        if seen.twin or self.standing is Standing.TWIN:
            return Standing.TWIN, "another process has our name"
        late = self.behind_since is not None and now - self.behind_since > self.limits.behind_for
        off = abs(seen.clock) > self.limits.clock_off
        reason = (
            "no lease: too few grantors have answered"
            if not seen.lease
            else f"behind by {seen.behind} for too long"
            if late
            else f"our clock is {seen.clock:.0f} ms off the others'"
            if off
            else ""
        )
        if reason:
            return self.degraded(now, seen, reason)
        if self.standing in (Standing.LAPSED, Standing.SHUT):
            return Standing.JOINING, "returns: it has a lease, and the newest list"
        if self.standing is Standing.JOINING and (not seen.synced or seen.behind):
            return Standing.JOINING, self.why
        if seen.behind:
            return Standing.BEHIND, f"behind by {seen.behind}"
        return Standing.CURRENT, "lease held, newest list"

    def degraded(self, now: float, seen: Observations, reason: str) -> tuple[Standing, str]:
        """Lapsed, or out."""
        if self.standing is Standing.JOINING and not self.returned:
            long = now - self.since > self.limits.shut_after
        else:
            long = (
                self.standing in (Standing.LAPSED, Standing.SHUT, Standing.JOINING)
                and now - self.lapsed_since > self.limits.shut_after
            )
        blind = seen.source > self.limits.shut_after
        if long and not seen.lease and blind:
            return Standing.SHUT, f"{reason}, and no word of the name service for {seen.source:.0f} ms"
        if long and seen.lease and seen.behind and self.may_be_shut_out(seen):
            return Standing.SHUT, reason
        if self.standing is Standing.JOINING and not self.returned and not seen.lease:
            return Standing.JOINING, self.why
        return Standing.LAPSED, reason

    def may_be_shut_out(self, seen: Observations) -> bool:
        """Whether we are among those who may be shut out for being behind.

        They are under the stated part of the fleet, those with the highest weight, the same for all who see
        the same.
        """
        most = int(self.limits.most_shut * seen.size)
        behind = {*seen.others_behind(), self.own}
        return self.own in rendezvous("shut", behind, most)
