"""What a dispatcher may do, by how current it is. Free of I/O and clocks.

| standing | idempotent to warm engines | non-idempotent, or to cold engines | new requests |
| --- | --- | --- | --- |
| JOINING: a new start, or a return | yes | no | accepted, non-idempotent ones shed |
| CURRENT | yes | yes | accepted |
| BEHIND: a newer list exists and is being fetched | yes | yes | accepted |
| LAPSED: no lease, behind for too long, or its clock is off | yes | no | accepted, non-idempotent ones shed |
| SHUT: shut out | no | no | shed with a retry time |
| TWIN: another process has its name | no | no | shed until it is restarted |

The protection must not do more harm than the fault. A dispatcher that hears no peer but still hears its name
service becomes LAPSED and nothing worse. Dispatchers that are behind are shut out only up to a configured
share of the fleet, and which ones is the same in every member's view. Times are ms of one monotonic clock.
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
    """What may be sent, also for requests that were accepted earlier."""

    idempotent: bool
    doubtful: bool  # non-idempotent, or to a cold engine
    lowers: bool  # the VRRP priority is lowered


ALLOWED = {
    Standing.JOINING: Allowed(True, False, True),
    Standing.CURRENT: Allowed(True, True, False),
    Standing.BEHIND: Allowed(True, True, False),
    Standing.LAPSED: Allowed(True, False, True),
    Standing.SHUT: Allowed(False, False, True),
    Standing.TWIN: Allowed(False, False, True),
}


class Limits(NamedTuple):
    """Limits of the standings: times in ms, and a share of the fleet."""

    behind_for: float  # behind for longer: lapsed
    shut_after: float  # lapsed for longer without a way to catch up: shut out
    most_shut: float  # largest share of the fleet that is shut out for being behind
    clock_off: float  # largest distance of our Unix time from the median of the others'


class Observations(NamedTuple):
    """The inputs of one step."""

    lease: bool
    behind: int
    source: float  # ms since the name service last answered
    others_behind: Callable[[], Sequence[str]]  # members behind, by their last message, or shut out
    size: int  # of the fleet, ourselves included
    synced: bool  # a member table was pulled since the start, or since the return
    clock: float  # our Unix time less the median of the others'
    twin: bool


class StandingTracker:
    """One dispatcher's standing, since when it has it, and why."""

    def __init__(self, own: str, limits: Limits, now: float) -> None:
        self.own, self.limits = own, limits
        self.standing, self.since, self.why = Standing.JOINING, now, "a new start"
        self.behind_since: float | None = None
        self.lapsed_since = now
        self.returned = 0  # how often it went back to JOINING; a return needs a newly pulled table

    @property
    def allowed(self) -> Allowed:
        """What may be sent in the present standing."""
        return ALLOWED[self.standing]

    def discount_pause(self, gap: float) -> None:
        """Shift the timers by a pause of the process: silence during it proves nothing."""
        self.since += gap
        self.lapsed_since += gap
        self.behind_since = self.behind_since + gap if self.behind_since is not None else None

    def step(self, now: float, observed: Observations) -> bool:
        """Update the standing; True if it has changed."""
        if not observed.behind:
            self.behind_since = None
        elif self.behind_since is None:
            self.behind_since = now
        standing, why = self.evaluate(now, observed)
        if standing is self.standing:
            return False
        if standing is Standing.LAPSED and self.standing not in (Standing.SHUT, Standing.JOINING):
            self.lapsed_since = now
        if standing is Standing.JOINING:
            self.returned += 1
        self.standing, self.since, self.why = standing, now, why
        return True

    def evaluate(self, now: float, observed: Observations) -> tuple[Standing, str]:
        """The standing that follows from the observations, and the reason for people."""
        if observed.twin or self.standing is Standing.TWIN:
            return Standing.TWIN, "another process has our name"
        behind_too_long = self.behind_since is not None and now - self.behind_since > self.limits.behind_for
        clock_is_off = abs(observed.clock) > self.limits.clock_off
        reason = (
            "no lease: too few grantors have answered"
            if not observed.lease
            else f"behind by {observed.behind} for too long"
            if behind_too_long
            else f"our clock is {observed.clock:.0f} ms off the others'"
            if clock_is_off
            else ""
        )
        if reason:
            return self.degraded(now, observed, reason)
        if self.standing in (Standing.LAPSED, Standing.SHUT):
            return Standing.JOINING, "returns: it has a lease, and the newest list"
        if self.standing is Standing.JOINING and (not observed.synced or observed.behind):
            return Standing.JOINING, self.why
        if observed.behind:
            return Standing.BEHIND, f"behind by {observed.behind}"
        return Standing.CURRENT, "lease held, newest list"

    def degraded(self, now: float, observed: Observations, reason: str) -> tuple[Standing, str]:
        """LAPSED, or SHUT if that has lasted too long."""
        if self.standing is Standing.JOINING and not self.returned:
            lapsed_too_long = now - self.since > self.limits.shut_after
        else:
            lapsed_too_long = (
                self.standing in (Standing.LAPSED, Standing.SHUT, Standing.JOINING)
                and now - self.lapsed_since > self.limits.shut_after
            )
        source_silent = observed.source > self.limits.shut_after
        if lapsed_too_long and not observed.lease and source_silent:
            return (
                Standing.SHUT,
                f"{reason}, and no answer from the name service for {observed.source:.0f} ms",
            )
        if lapsed_too_long and observed.lease and observed.behind and self.may_be_shut_out(observed):
            return Standing.SHUT, reason
        if self.standing is Standing.JOINING and not self.returned and not observed.lease:
            return Standing.JOINING, self.why
        return Standing.LAPSED, reason

    def may_be_shut_out(self, observed: Observations) -> bool:
        """Whether we are among those that may be shut out for being behind.

        They are the members with the highest rendezvous weight, up to `most_shut` of the fleet. Members with
        the same view choose the same ones.
        """
        most = int(self.limits.most_shut * observed.size)
        behind = {*observed.others_behind(), self.own}
        return self.own in rendezvous("shut", behind, most)
