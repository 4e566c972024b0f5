"""Conflicts between two processes with one name."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from .members import Record
from .shared_settings import FleetEvent
from .standing import Standing

if TYPE_CHECKING:
    from .fleet import Fleet

MAX_RAISES = 3  # refutations of another start of our name; if its record still contradicts ours, it is alive


class NameConflict:
    """Decides who keeps our name when another start of it is heard of.

    The holder of a lease keeps the name. A start that has lapsed, or is refuted again and again, yields it.
    An earlier start that has ended refutes nothing: one incarnation above its last record overrides that.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.own_boots: set[int] = set()
        self.yielded = False
        self.raised_against: Counter[int] = Counter()

    def begin(self, boot: int) -> None:
        """Note a new start of ours."""
        self.own_boots.add(boot)
        self.yielded = False
        self.raised_against.clear()

    def settle(self, now: float) -> None:
        """Decide on the other start that was heard of, if there is one."""
        members = self.fleet.members
        other, members.other_start_of_our_name = members.other_start_of_our_name, None
        if other is None or self.yielded:
            return
        standing = self.fleet.tracker.standing
        lapsed = standing in (Standing.LAPSED, Standing.SHUT)
        if other.boot in self.own_boots:
            members.raise_incarnation(other.incarnation)
        elif standing in (Standing.CURRENT, Standing.BEHIND) and self.fleet.lease.holds(now):
            self.keep(other)
        elif lapsed or self.raised_against[other.boot] >= MAX_RAISES:
            self.yielded = True
            self.fleet.events.append(FleetEvent("name_yielded", {"other": f"{other.boot:016x}"}))
        else:
            self.raised_against[other.boot] += 1
            members.raise_incarnation(other.incarnation)

    def keep(self, other: Record) -> None:
        """Keep the name: refute the other start."""
        self.fleet.members.raise_incarnation(other.incarnation)
        self.fleet.report_once(f"name {other.boot}", "name_kept", {"other": f"{other.boot:016x}"})
