"""What a dispatcher may do, by how current it is. Free of I/O and clocks.

| standing | idempotent to warm engines | non-idempotent, or to cold engines | new requests |
| --- | --- | --- | --- |
| JOINING: a new start, or a return | yes | no | accepted, non-idempotent ones shed |
| CURRENT | yes | yes | accepted |
| BEHIND: a newer list exists and is being fetched | yes | yes | accepted |
| LAPSED: no lease, behind for too long, or its clock is off | yes | no | accepted, non-idempotent ones shed |
| SHUT: lapsed for too long, and cut off or behind | no | no | shed with a retry time |
| TWIN: a second process has its name, and keeps it | no | no | shed until it is restarted |

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
    """What a dispatcher may do; see the table above.

    The names in lower case go into logs and JSON, the values onto the wire. "Shut out" means SHUT. A twin is
    one of two processes with one name: the one that has yielded the name gets the standing TWIN.
    """

    JOINING = 0
    CURRENT = 1
    BEHIND = 2
    LAPSED = 3
    SHUT = 4
    TWIN = 5


class Allowed(NamedTuple):
    """What may be sent, also for requests that were accepted earlier."""

    idempotent: bool
    at_most_once_or_cold: bool  # non-idempotent attempts, and any attempt to a cold engine
    lowers_vrrp_priority: bool


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

    lease_held: bool
    versions_behind: int  # by how many numbers our list is behind the newest
    source_silent_for: float  # ms since the name service last answered
    others_behind: Callable[[], Sequence[str]]  # members behind, by their last message, or shut out
    size: int  # of the fleet, ourselves included
    synced: bool  # a member table was pulled since the start, or since the return
    clock_offset: float  # ms: our Unix time less the median of the others'
    name_yielded: bool  # another process has our name, and we have left it to that process


class StandingTracker:
    """One dispatcher's standing, since when it has it, and why."""

    def __init__(self, own: str, limits: Limits, now: float) -> None:
        self.own, self.limits = own, limits
        self.standing, self.since, self.why = Standing.JOINING, now, "a new start"
        self.behind_since: float | None = None
        # When CURRENT or BEHIND was last left for LAPSED; at first the process's begin. A return to JOINING
        # leaves it unchanged, so that it is then the time of the lapse before the return.
        self.not_current_since = now
        # How often it went back to JOINING, or `Fleet.rejoin` began a new start; 0 until the first of these.
        self.returns = 0

    @property
    def allowed(self) -> Allowed:
        """What may be sent in the present standing."""
        return ALLOWED[self.standing]

    def discount_pause(self, gap: float) -> None:
        """Shift the timers by a pause of the process: silence during it proves nothing."""
        self.since += gap
        self.not_current_since += gap
        self.behind_since = self.behind_since + gap if self.behind_since is not None else None

    def step(self, now: float, observed: Observations) -> bool:
        """Update the standing; True if it has changed."""
        if not observed.versions_behind:
            self.behind_since = None
        elif self.behind_since is None:
            self.behind_since = now
        standing, why = self.evaluate(now, observed)
        if standing is self.standing:
            return False
        if standing is Standing.LAPSED and self.standing not in (Standing.SHUT, Standing.JOINING):
            self.not_current_since = now
        if standing is Standing.JOINING:
            self.returns += 1
        self.standing, self.since, self.why = standing, now, why
        return True

    def evaluate(self, now: float, observed: Observations) -> tuple[Standing, str]:
        """The standing that follows from the observations, and the reason for people."""
        if observed.name_yielded or self.standing is Standing.TWIN:
            return Standing.TWIN, "another process has our name"
        behind_too_long = self.behind_since is not None and now - self.behind_since > self.limits.behind_for
        clock_is_off = abs(observed.clock_offset) > self.limits.clock_off
        reason = (
            "no lease: too few grantors have answered"
            if not observed.lease_held
            else f"behind by {observed.versions_behind} for too long"
            if behind_too_long
            else f"our clock is {observed.clock_offset:.0f} ms off the others'"
            if clock_is_off
            else ""
        )
        if reason:
            return self.degraded(now, observed, reason)
        if self.standing in (Standing.LAPSED, Standing.SHUT):
            return Standing.JOINING, "returns: it has a lease"
        if self.standing is Standing.JOINING and (not observed.synced or observed.versions_behind):
            return Standing.JOINING, self.why
        if observed.versions_behind:
            return Standing.BEHIND, f"behind by {observed.versions_behind}"
        return Standing.CURRENT, "lease held, newest list"

    def degraded(self, now: float, observed: Observations, reason: str) -> tuple[Standing, str]:
        """LAPSED, or SHUT if that has lasted too long; the first start stays JOINING while it has no lease.

        "Too long" counts from the begin of the first start, and in a return from the lapse before it.
        """
        if self.standing is Standing.JOINING and not self.returns:
            lapsed_too_long = now - self.since > self.limits.shut_after
        else:
            lapsed_too_long = (
                self.standing in (Standing.LAPSED, Standing.SHUT, Standing.JOINING)
                and now - self.not_current_since > self.limits.shut_after
            )
        source_silent = observed.source_silent_for > self.limits.shut_after
        if lapsed_too_long and not observed.lease_held and source_silent:
            return (
                Standing.SHUT,
                f"{reason}, and no answer from the name service for {observed.source_silent_for:.0f} ms",
            )
        if (
            lapsed_too_long
            and observed.lease_held
            and observed.versions_behind
            and self.may_be_shut_out(observed)
        ):
            return Standing.SHUT, reason
        if self.standing is Standing.JOINING and not self.returns and not observed.lease_held:
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
