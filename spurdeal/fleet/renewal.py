"""Renewing our lease at its grantors, and noticing that it is lost for good."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from .lease import GRANTORS, Lease
from .members import Life, rendezvous
from .messenger import RequestKind

if TYPE_CHECKING:
    from .fleet import Fleet

RENEWALS = 3  # within a lease
REPLACED_AFTER = 20  # leases that a member stays a grantor though it is gone
LOST_AFTER = 6  # leases without one, though the fleet is heard: it comes back as a new start


class LeaseRenewal:
    """Asks the grantors of one start's lease in time. Times are ms."""

    def __init__(self, fleet: Fleet, lease: Lease, now: float) -> None:
        self.fleet, self.lease = fleet, lease
        self.next_renewal, self.held_at = now, now

    def tick(self, now: float, unix: float, at_once: bool) -> None:
        """Renew where it is time. at_once: the process has stood still."""
        if now < self.next_renewal and not at_once:
            return
        fleet = self.fleet
        self.next_renewal = now + fleet.terms.lease / RENEWALS
        if fleet.twin:
            return
        # One that leaves keeps its lease, as what it has taken is still to be answered. A new start asks
        # nobody before it knows the members: the seeds alone would be other grantors than those of its name.
        if not fleet.leaving and (fleet.synced or self.lease.term.grantors):
            self.lease.propose(rendezvous(fleet.name, self.candidates(now), GRANTORS))
        for name in self.lease.grantors_to_ask():
            fleet.messenger.ping(now, unix, name, RequestKind.RENEW)

    def candidates(self, now: float) -> list[str]:
        """Members that may grant our lease."""
        fleet = self.fleet
        known = fleet.members.known() or list(fleet.seeds)
        return [name for name in known if name != fleet.name and not self.long_gone(now, name)]

    def long_gone(self, now: float, name: str) -> bool:
        """It will answer nobody soon: others take its place as grantors."""
        members = self.fleet.members
        record = members.others.get(name)
        if record is None or record.life is not Life.GONE:
            return False
        return now - members.since[name] > REPLACED_AFTER * self.fleet.terms.lease

    def held(self, now: float) -> bool:
        """Whether the lease is held; the moment is remembered."""
        held = self.lease.holds(now)
        if held:
            self.held_at = now
        return held

    def lost_for_good(self, now: float) -> bool:
        """No lease for long, although enough of the fleet is heard to grant one."""
        fleet = self.fleet
        if now - self.held_at <= LOST_AFTER * fleet.terms.lease or fleet.twin or fleet.leaving:
            return False
        near = sum(now - heard.at < fleet.terms.lease for heard in fleet.heard.values())
        return near >= math.ceil(fleet.terms.part * min(GRANTORS, fleet.members.size() - 1))
