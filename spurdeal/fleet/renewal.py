"""Renewal of our lease at its grantors, and detection of a lease that this start cannot regain."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from .lease import MAX_GRANTORS, Lease
from .members import Life, rendezvous
from .messenger import RequestKind

if TYPE_CHECKING:
    from .fleet import Fleet

RENEWALS = 3  # renewals per lease time
REPLACED_AFTER = 20  # lease times for which a gone member stays a grantor
LOST_AFTER = 6  # lease times without a lease, while the fleet is heard, after which a new start begins


class LeaseRenewal:
    """Renews the lease of one start before it expires. Times are ms."""

    def __init__(self, fleet: Fleet, lease: Lease, now: float) -> None:
        self.fleet, self.lease = fleet, lease
        self.next_renewal, self.held_at = now, now

    def tick(self, now: float, unix: float, paused: bool) -> None:
        """Renew the lease if due. paused: the process was paused."""
        if now < self.next_renewal and not paused:
            return
        fleet = self.fleet
        self.next_renewal = now + fleet.shared.lease / RENEWALS
        if fleet.name_yielded:
            return
        # A member that leaves renews its lease, as it still has accepted requests to answer. A new start
        # waits until it knows the members: the seeds alone would give other grantors than the full view.
        if not fleet.leaving and (fleet.synced or self.lease.term.grantors):
            self.lease.propose(rendezvous(fleet.name, self.candidates(now), MAX_GRANTORS))
        for name in self.lease.grantors_to_ask():
            fleet.messenger.ping(now, unix, name, RequestKind.RENEW)

    def candidates(self, now: float) -> list[str]:
        """Members that may grant our lease."""
        fleet = self.fleet
        known = fleet.members.known() or list(fleet.seeds)
        return [name for name in known if name != fleet.name and not self.long_gone(now, name)]

    def long_gone(self, now: float, name: str) -> bool:
        """Whether it has been gone so long that another member replaces it as grantor."""
        members = self.fleet.members
        record = members.others.get(name)
        if record is None or record.life is not Life.GONE:
            return False
        return now - members.since[name] > REPLACED_AFTER * self.fleet.shared.lease

    def held(self, now: float) -> bool:
        """Whether the lease is held; if so, records the time."""
        held = self.lease.holds(now)
        if held:
            self.held_at = now
        return held

    def should_rejoin(self, now: float) -> bool:
        """Whether a new start is due: no lease for long, although enough members are heard to grant one."""
        fleet = self.fleet
        if now - self.held_at <= LOST_AFTER * fleet.shared.lease or fleet.name_yielded or fleet.leaving:
            return False
        near = sum(now - heard.at < fleet.shared.lease for heard in fleet.peer_reports.values())
        return near >= math.ceil(fleet.shared.part * min(MAX_GRANTORS, fleet.members.size() - 1))
