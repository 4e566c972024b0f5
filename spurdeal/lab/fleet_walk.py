"""Whole fleets in virtual time under seeded random failures, with invariants checked in each state."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from enum import StrEnum

from ..fleet.fleet import Fleet
from ..fleet.list_sync import ListSync
from ..fleet.members import Life, Members, Record
from ..fleet.standing import Allowed, Standing
from ..fleet.versions import Artifact, Row, Version, list_digest
from .fleet_world import World


class Failure(StrEnum):
    """Failures to inject. Their order matters: a seed gives another schedule when it changes."""

    PAUSE = "pause"
    KILL = "kill"
    CUT = "cut"
    DEAF = "deaf"  # receives nothing
    MUTE = "mute"  # nothing that it sends arrives
    SPLIT = "split"  # partition into two halves
    NOISE = "noise"  # loss, repetition and delay on all links
    BLIND = "blind"  # its name service does not answer
    OLD = "old"  # its name service keeps returning the present list
    RELEASE = "release"  # no failure, only a newer list
    LIAR = "liar"  # advertises a list version that nobody released


PARTITIONS = (Failure.CUT, Failure.DEAF, Failure.MUTE, Failure.SPLIT)
WITH_RELEASE = (Failure.RELEASE, Failure.BLIND, Failure.OLD)


class Walk:
    """Runs one simulated fleet through random failures; `violations` counts broken invariants by name."""

    def __init__(self, seed: int, count: int, fleet_factory: Callable[..., Fleet] = Fleet) -> None:
        self.chance = random.Random(seed)
        self.world = World(count, seed, fleet_factory=fleet_factory, engine_count=8)
        self.violations: Counter[str] = Counter()
        self.states = 0

    def check_invariants(self) -> None:
        """Count the invariants that the present state violates."""
        world = self.world
        self.states += 1
        live = {name: node.fleet for name, node in world.nodes.items() if node.life}
        for name, fleet in live.items():
            if not fleet.allowed(world.now).at_most_once_or_cold:
                continue
            for other in live.values():
                found = other.stops.inquiries.get(name)
                if found is not None and found.boot == fleet.boot and other.stopped(world.now, name):
                    self.violations["acts while another relies on its stop"] += 1
        for fleet in live.values():
            own = fleet.registry.in_force[Artifact.LIST]
            if own.number < world.newest.number - 1_000_000 or own.number > world.newest.number + 1:
                self.violations["acts on a version that nobody released"] += 1
            if fleet.rows and len(fleet.rows) < world.engines // 2:
                self.violations["acts on a list without its engines"] += 1

    def run(self, ms: float) -> None:
        """Advance the virtual time, and check the invariants every 20 ms."""
        until = self.world.now + ms
        while self.world.now < until:
            self.world.run(20.0)
            self.check_invariants()

    def walk(self, failures: int) -> Counter[str]:
        """Inject a number of failures, heal, and require that the fleet recovers."""
        world = self.world
        if world.run_until(lambda: world.standings()["CURRENT"] == len(world.nodes), 8000.0) is None:
            self.violations["not current after a start"] += 1
            return self.violations
        for _ in range(failures):
            self.fail()
            self.run(self.chance.choice((300.0, 900.0, 2500.0)))
            if self.chance.random() < 0.5:
                self.heal()
                self.run(300.0)
        self.heal()
        self.run(4200.0)  # until the longest pause is over
        world.release(self.chance.randrange(8))
        self.run(1500.0)
        if world.run_until(lambda: world.standings() == {"CURRENT": len(world.nodes)}, 25_000.0) is None:
            self.violations["not all current again once all is well"] += 1
        if not world.all_have(world.newest):
            self.violations["not all on the newest list"] += 1
        return self.violations

    def fail(self) -> None:
        """Inject one random failure; some of them come with a newer list."""
        names = list(self.world.nodes)
        target = self.chance.choice(names)
        failure = self.chance.choice(tuple(Failure))
        if failure in PARTITIONS:
            self.partition(failure, target, names)
        else:
            self.inject(failure, target)
        if failure in WITH_RELEASE:
            self.world.release(self.chance.randrange(8))

    def partition(self, failure: Failure, target: str, names: list[str]) -> None:
        """Cut the links of one member, or those between two halves of the fleet."""
        world, rest = self.world, set(names) - {target}
        if failure is Failure.CUT:
            world.cut({target}, rest)
        elif failure is Failure.DEAF:
            world.cuts |= {(other, target) for other in rest}
        elif failure is Failure.MUTE:
            world.cuts |= {(target, other) for other in rest}
        else:
            half = set(self.chance.sample(names, len(names) // 2))
            world.cut(half, set(names) - half)

    def inject(self, failure: Failure, target: str) -> None:
        """Inject a failure that is not a partition."""
        world = self.world
        if failure is Failure.PAUSE:
            world.pause(target, self.chance.choice((500.0, 2000.0, 4000.0)))
        elif failure is Failure.KILL:
            world.kill(target)
        elif failure is Failure.NOISE:
            world.loss, world.repeat, world.delay = 0.2, 0.2, 60.0
        elif failure is Failure.BLIND:
            world.nodes[target].source_answers = False
        elif failure is Failure.OLD:
            world.nodes[target].stale_source = world.newest
        elif failure is Failure.LIAR:
            self.publish_false_list(world.nodes[target].fleet)

    def publish_false_list(self, fleet: Fleet) -> None:
        """Let a member advertise a well-formed, empty list as the next version."""
        number = self.world.newest.number + 1
        before, rows = fleet.registry.in_force[Artifact.LIST], dict[str, Row]()
        claimed = Version(0, number, list_digest(rows))
        fleet.list_store.keep(claimed, rows)
        fleet.registry.in_force[Artifact.LIST] = claimed
        self.run(700.0)
        fleet.registry.in_force[Artifact.LIST] = before

    def heal(self) -> None:
        """End all failures, and restart the members that were killed."""
        world = self.world
        world.cuts.clear()
        world.loss, world.repeat, world.delay = 0.0, 0.0, 1.0
        for node in world.nodes.values():
            node.source_answers, node.stale_source = True, None
            if not node.life:
                world.restart(node.name)


# Planted faults of whole fleets: the checks must find each of those in IN_FLEETS.


class NeverLooksAgain(Fleet):
    """What may be sent is decided only by the last timer: a member acts on it after a pause."""

    def allowed(self, now: float) -> Allowed:
        """See the base class."""
        return self.tracker.allowed


class TakesAnyList(Fleet):
    """One witness may remove all engines from the list."""

    def begin(self, now: float) -> None:
        """See the base class."""
        super().begin(now)
        self.list_sync.max_single_drop = 2.0


class NeverJoinsAgain(Fleet):
    """A member whose standing has lapsed never recovers."""

    def update_standing(self, now: float) -> None:
        """See the base class."""
        before = self.tracker.standing
        super().update_standing(now)
        if before in (Standing.LAPSED, Standing.SHUT):
            self.tracker.standing = before


class NoListSync(ListSync):
    """A list synchronization that does nothing."""

    def tick(self, now: float, unix: float) -> None:
        """See the base class."""
        return


class AsksNobody(Fleet):
    """No member gets the list from a peer: found only where its name service never answers."""

    def begin(self, now: float) -> None:
        """See the base class."""
        super().begin(now)
        self.list_sync = NoListSync(self, now)


class IgnoresGoneMembers(Members):
    """Ignores all further records of a member that is considered gone."""

    def merge(self, now: float, record: Record, by: str) -> None:
        """See the base class."""
        known = self.others.get(record.name)
        if known is None or known.life < Life.GONE:
            super().merge(now, record, by)


class DeafToRefutation(Fleet):
    """A member that was once considered gone stays gone."""

    def begin(self, now: float) -> None:
        """See the base class."""
        super().begin(now)
        self.members = IgnoresGoneMembers(
            self.members.own, self.shared.period, self.shared.forget, self.chance, now
        )


IN_FLEETS = (NeverLooksAgain, TakesAnyList, NeverJoinsAgain, DeafToRefutation)


def walks(
    fleet_factory: Callable[..., Fleet], seeds: range, count: int, failures: int
) -> tuple[int, Counter[str]]:
    """Run one schedule per seed: the states checked, and the violations by name.

    Stops at the first violation, unless the production class is checked.
    """
    states, violations = 0, Counter[str]()
    for seed in seeds:
        walk = Walk(seed, count, fleet_factory)
        violations += walk.walk(failures)
        states += walk.states
        if violations and fleet_factory is not Fleet:
            break
    return states, violations
