"""One dispatcher's side of the fleet: membership, versions, lease, standing and list synchronization.

Free of I/O. The caller calls `tick` every TICK ms and `receive` for each datagram, sends what is in `out` and
logs what is in `events`. Both clocks are passed with each call: ms of a monotonic clock that keeps running
while the process is suspended, and Unix ms. Nothing that comes from outside raises; what cannot be used is
counted by its reason and changes nothing.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from statistics import median
from typing import Any

from ..vrrp.sealed import Keys, Session
from . import wire
from .audit import SealedPage
from .hybrid import HybridClock
from .lease import MAX_GRANTORS, Grantor, Lease
from .list_sync import READY, ListSync
from .list_transfer import ListStore, Rows
from .members import Address, Change, Life, Members, Record
from .messenger import Messenger
from .name_conflict import NameConflict
from .receiver import PeerReport, Receiver
from .renewal import LeaseRenewal
from .shared_settings import TICK, FleetEvent, SharedSettings
from .standing import Allowed, Limits, Observations, Standing, StandingTracker
from .status import fleet_status
from .stop_inquiries import StopInquiries
from .table_sync import TableSync
from .versions import Artifact, Clash, Version, VersionRegistry

__all__ = ["READY", "TICK", "Fleet", "FleetEvent", "FleetSettings", "SharedSettings"]

MIN_CLOCKS = 3  # other members whose clocks must be known before ours can be judged
OFFSET_UPDATE_INTERVAL = 250.0  # ms
CLOCK_AGE = 10_000.0  # ms for which a member's reported clock is valid
MAX_REPORTED_ONCE = 1024  # lasting conditions reported; further ones are not reported
MAX_STRANGERS = 256  # names with a valid key that are not members yet


@dataclass(frozen=True)
class FleetSettings:
    """The identity of a member, and the settings of its fleet.

    Attributes:
        name: Its name, unique in the fleet.
        address: The address at which the others reach it.
        seeds: Members to contact at a start, by name; a member without seeds acts alone.
        shared: Settings that all members share.
        keys: Keys of the authenticated datagrams.
    """

    name: str
    address: Address
    seeds: Mapping[str, Address]
    shared: SharedSettings
    keys: Keys


class Fleet:
    """A member of the fleet.

    Args:
        settings: Its identity, and the settings that all members share.
        chance: Source of its random choices.
        apply_list: Called with a list that was fetched from a peer and checked, to put it in force.
        now: Monotonic ms.
        unix: Unix ms.
    """

    def __init__(
        self,
        settings: FleetSettings,
        chance: random.Random,
        apply_list: Callable[[Version, Rows], None],
        now: float,
        unix: float,
    ) -> None:
        self.name, self.address, self.seeds = settings.name, settings.address, dict(settings.seeds)
        self.shared, self.keys = settings.shared, settings.keys
        self.chance, self.apply_list = chance, apply_list
        self.out: list[tuple[Address, bytes]] = []
        self.events: list[FleetEvent] = []
        self.reported_once: set[str] = set()
        self.counts: Counter[str] = Counter()
        self.hybrid, self.registry = HybridClock(unix), VersionRegistry(self.name)
        shared = self.shared
        limits = Limits(shared.behind_for, shared.shut_after, shared.most_shut, shared.clock_off)
        self.tracker = StandingTracker(self.name, limits, now)
        self.rows: Rows = {}
        self.page: SealedPage | None = None  # the newest sealed page of our own audit log
        self.offset_from_peers, self.next_offset_update = 0.0, now  # ms; see compute_offset_from_peers
        # ms by which the system's Unix time is ahead of the non-stepping Unix time passed to us
        self.system_time_offset = 0.0
        self.leaving = False
        self.list_sync, self.receiver = ListSync(self, now), Receiver(self)
        self.name_conflict = NameConflict(self)
        self.begin(now)

    def begin(self, now: float) -> None:
        """Begin a start, without knowledge of the others."""
        self.boot = self.chance.getrandbits(62) | 1
        self.name_conflict.begin(self.boot)
        own = Record(self.name, *self.address, self.boot, 1, Life.ALIVE)
        self.members = Members(own, self.shared.period, self.shared.forget, self.chance, now)
        self.lease = Lease(self.shared.lease, self.shared.part)
        self.lease.sole_member = not self.seeds
        self.grantor = Grantor(self.shared.lease, now)
        self.peer_reports: dict[str, PeerReport] = {}
        self.messenger, self.renewal = Messenger(self, now), LeaseRenewal(self, self.lease, now)
        self.table_sync, self.stops = TableSync(self, now), StopInquiries(self)
        self.ticked = now

    # Accessors of its components.

    @property
    def sessions(self) -> dict[str, Session]:
        """Authenticated sessions by member."""
        return self.messenger.sessions

    @property
    def list_store(self) -> ListStore:
        """Lists that are kept for members that are behind."""
        return self.list_sync.list_store

    @property
    def name_yielded(self) -> bool:
        """Whether another process has our name and we have yielded it; the standing is then TWIN."""
        return self.name_conflict.yielded

    @property
    def synced(self) -> bool:
        """Whether a whole member table was pulled since the start, or since our return."""
        return self.table_sync.synced

    @synced.setter
    def synced(self, synced: bool) -> None:
        self.table_sync.synced = synced

    # Queries and notifications of the dispatcher.

    def allowed(self, now: float) -> Allowed:
        """What may be sent now.

        The lease is checked again, as the process may have been paused since the last tick.
        """
        allowed = self.tracker.allowed
        return allowed if self.lease.holds(now) else allowed._replace(at_most_once_or_cold=False)

    def put_in_force(
        self, artifact: Artifact, version: Version, rows: Rows | None = None, from_own_source: bool = True
    ) -> bool:
        """Record the version that this dispatcher acts on from now on.

        Args:
            artifact: What is versioned: engine list, configuration, program or keys.
            version: The version now in force.
            rows: The engine list itself, if `artifact` is LIST.
            from_own_source: Whether it comes from this dispatcher's own source (its name service, its files)
                rather than from a peer.

        Returns:
            Whether it is newer than what was in force.
        """
        taken = self.registry.put_in_force(artifact, version, from_own_source)
        if taken and rows is not None:
            self.rows = rows
            self.list_store.keep(version, rows)
        for clash in self.registry.clashes.values():
            self.report_clash(clash)
        return taken

    def note_source_content(self, version: Version) -> None:
        """Compare our source's content for the version in force with ours: a difference is a clash."""
        own = self.registry.in_force.get(Artifact.LIST)
        if own is not None and own.order == version.order and own.digest != version.digest:
            for clash in self.registry.clash(Artifact.LIST, version, f"{self.name}'s source"):
                self.report_clash(clash)

    def source_answered(self, now: float) -> None:
        """The name service has answered, with a new list or not."""
        self.list_sync.source_answered_at = now

    def stopped(self, now: float, name: str) -> bool:
        """Whether that member, gone in our view, is known to send no non-idempotent request any more."""
        return self.stops.stopped(now, name)

    def leave(self, now: float, unix: float) -> None:
        """Announce a graceful shutdown to some members at once; gossip spreads it."""
        self.leaving = True
        self.members.leave()
        for name in self.members.live()[: 2 * MAX_GRANTORS]:
            self.messenger.ping(now, unix, name)

    def status(self, now: float) -> dict[str, Any]:
        """This member's view of the fleet, ready for JSON."""
        return fleet_status(self, now)

    # Timers.

    def tick(self, now: float, unix: float) -> None:
        """Do everything that is due."""
        paused = self.note_pause(now)
        probe, helpers = self.members.tick(now)
        if probe is not None:
            self.messenger.ping(now, unix, probe)
        for helper in helpers:
            self.messenger.ping_indirectly(now, unix, helper)
        self.renewal.tick(now, unix, paused)
        self.table_sync.tick(now, unix)
        self.table_sync.contact_seeds(now, unix)
        self.list_sync.tick(now, unix)
        self.stops.tick(now, unix)
        self.take_changes()
        self.name_conflict.settle(now)
        self.update_standing(now)

    def note_pause(self, now: float) -> bool:
        """Whether the process was paused; if so, shift the timers, as silence proves nothing then.

        `Members.tick` detects the same pause for its own timers.
        """
        gap = now - self.ticked
        self.ticked = now
        if gap <= 2 * self.shared.period:
            return False
        self.list_sync.source_answered_at += gap
        self.tracker.discount_pause(gap)
        return True

    def update_standing(self, now: float) -> None:
        """Update our standing, and begin a new start if the lease cannot be regained by this one."""
        held = self.renewal.held(now)
        if now >= self.next_offset_update:
            self.next_offset_update, self.offset_from_peers = (
                now + OFFSET_UPDATE_INTERVAL,
                self.compute_offset_from_peers(now),
            )
        if self.tracker.step(now, self.observe(now, held)):
            self.report_standing()
            if self.tracker.standing is Standing.JOINING:
                self.table_sync.restart(now)
        if self.renewal.should_rejoin(now):
            self.rejoin(now)

    def observe(self, now: float, held: bool) -> Observations:
        """The inputs of the standing."""
        return Observations(
            held,
            self.registry.behind(),
            now - self.list_sync.source_answered_at,
            self.others_behind,
            self.members.size(),
            self.synced,
            self.offset_from_peers,
            self.name_yielded,
        )

    def rejoin(self, now: float) -> None:
        """Continue as a new start, with all that a new start must do first.

        Called when there was no lease for long, as its grantors are lost or refuse the present start.
        """
        incarnation, others = self.members.highest_incarnation, dict(self.members.others)
        before = self.boot
        self.begin(now)
        for record in others.values():
            if record.life <= Life.SUSPECT:
                self.members.set_record(now, record, self.name)
        self.members.raise_incarnation(incarnation)
        self.lease.sole_member = self.lease.sole_member and not self.members.others
        self.tracker.returns += 1
        self.events.append(FleetEvent("rejoined", {"before": f"{before:016x}", "boot": f"{self.boot:016x}"}))

    def others_behind(self) -> list[str]:
        """Members with a list older than the newest, or shut out, by their last message."""
        newest = self.registry.newest(Artifact.LIST)
        if newest is None:
            return []
        return [
            name
            for name, claims in self.registry.claims.items()
            if (Artifact.LIST in claims and claims[Artifact.LIST].order < newest.order)
            or (name in self.peer_reports and self.peer_reports[name].standing is Standing.SHUT)
        ]

    def compute_offset_from_peers(self, now: float) -> float:
        """How far our Unix time is ahead of the median of the others', in ms.

        0 while too few have reported theirs.
        """
        clocks = [heard.clock_offset for heard in self.peer_reports.values() if now - heard.at <= CLOCK_AGE]
        return -median(clocks) if len(clocks) >= MIN_CLOCKS else 0.0

    # Changes of the members.

    def take_changes(self) -> None:
        """Report changes of members, and act on those that are gone or have left."""
        changes, self.members.changes = self.members.changes, []
        for change in changes:
            self.report_change(change)
            if change.life is Life.GONE:
                self.grantor.refuse(change.name, change.boot)
                self.stops.begin(change.name, change.boot)
            if change.life >= Life.GONE:
                self.registry.forget(change.name)
                self.peer_reports.pop(change.name, None)
        self.bound_tables()

    def bound_tables(self) -> None:
        """Drop non-members from the tables, which a holder of a key could fill with invented names."""
        most = len(self.members.others) + len(self.seeds) + MAX_STRANGERS
        tables: tuple[dict[str, Any], ...] = (
            self.sessions,
            self.grantor.grants,
            self.peer_reports,
            self.registry.claims,
        )
        for table in tables:
            if len(table) > most:
                for name in table.keys() - self.members.others.keys() - self.seeds.keys():
                    table.pop(name)

    # Events.

    def report_change(self, change: Change) -> None:
        """Report a member's change of state."""
        fields = {
            "name": change.name,
            "life": change.life.name.lower(),
            "boot": f"{change.boot:016x}",
            "why": change.why,
        }
        self.events.append(FleetEvent("member", fields))

    def report_standing(self) -> None:
        """Report our standing."""
        fields = {
            "standing": self.tracker.standing.name.lower(),
            "why": self.tracker.why,
            "list": str(self.registry.in_force.get(Artifact.LIST, "")),
        }
        self.events.append(FleetEvent("standing", fields))

    def report_clash(self, clash: Clash) -> None:
        """Report a clash, once."""
        self.report_once(f"clash {clash}", "clash", {"says": str(clash)})

    def report_once(self, key: str, what: str, fields: dict[str, Any]) -> None:
        """Report a lasting condition once; `key` identifies it."""
        if key not in self.reported_once and len(self.reported_once) < MAX_REPORTED_ONCE:
            self.reported_once.add(key)
            self.events.append(FleetEvent(what, fields))

    # Datagrams.

    def receive(self, now: float, unix: float, source: Address, datagram: bytes) -> None:
        """Handle a datagram. Raises nothing."""
        self.receiver.receive(now, unix, source, datagram)
        self.take_changes()
        self.name_conflict.settle(now)

    def body(self, unix: float, fields: Mapping[str, Any]) -> dict[str, Any]:
        """A message's body: the fields that every message has, and these."""
        return {
            "h": list(self.hybrid.stamp(unix)),
            "u": int(unix + self.system_time_offset),
            "v": wire.versions_row(self.registry.in_force),
            "s": int(self.tracker.standing),
        } | dict(fields)
