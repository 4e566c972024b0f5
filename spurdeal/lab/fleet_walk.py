"""Whole fleets in virtual time, walked by seeded schedules of failures; each state is looked at."""

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
    """What may go wrong. The order is that of the draws: seeds give other walks where it changes."""

    PAUSE = "pause"
    KILL = "kill"
    CUT = "cut"
    DEAF = "deaf"  # hears nobody
    MUTE = "mute"  # is heard by nobody
    SPLIT = "split"  # two halves
    NOISE = "noise"  # loss, repeats and delay everywhere
    BLIND = "blind"  # its name service does not answer
    OLD = "old"  # its name service goes on with the list of now
    RELEASE = "release"  # nothing but a newer list
    LIAR = "liar"  # claims a version that nobody released


PARTITIONS = (Failure.CUT, Failure.DEAF, Failure.MUTE, Failure.SPLIT)
WITH_RELEASE = (Failure.RELEASE, Failure.BLIND, Failure.OLD)


class Walk:
    """One world through failures by chance; `broken` counts what was seen that must not be."""

    def __init__(self, seed: int, count: int, made: Callable[..., Fleet] = Fleet) -> None:
        self.chance = random.Random(seed)
        self.world = World(count, seed, made=made, engine_count=8)
        self.broken: Counter[str] = Counter()
        self.states = 0

    def look(self) -> None:
        world = self.world
        self.states += 1
        live = {name: node.fleet for name, node in world.nodes.items() if node.life}
        for name, fleet in live.items():
            if not fleet.allowed(world.now).at_most_once_or_cold:
                continue
            for other in live.values():
                found = other.stops.inquiries.get(name)
                if found is not None and found.boot == fleet.boot and other.stopped(world.now, name):
                    self.broken["acts while another relies on its stop"] += 1
        for fleet in live.values():
            own = fleet.registry.in_force[Artifact.LIST]
            if own.number < world.newest.number - 1_000_000 or own.number > world.newest.number + 1:
                self.broken["acts on a version that nobody released"] += 1
            if fleet.rows and len(fleet.rows) < world.engines // 2:
                self.broken["acts on a list without its engines"] += 1

    def run(self, ms: float) -> None:
        until = self.world.now + ms
        while self.world.now < until:
            self.world.run(20.0)
            self.look()

    def walk(self, failures: int) -> Counter[str]:
        world = self.world
        if world.run_until(lambda: world.standings()["CURRENT"] == len(world.nodes), 8000.0) is None:
            self.broken["not current after a start"] += 1
            return self.broken
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
            self.broken["not all current again once all is well"] += 1
        if not world.all_have(world.newest):
            self.broken["not all on the newest list"] += 1
        return self.broken

    def fail(self) -> None:
        """One failure by chance; a newer list comes with some of them."""
        names = list(self.world.nodes)
        target = self.chance.choice(names)
        failure = self.chance.choice(tuple(Failure))
        if failure in PARTITIONS:
            self.partition(failure, target, names)
        else:
            self.disturb(failure, target)
        if failure in WITH_RELEASE:
            self.world.release(self.chance.randrange(8))

    def partition(self, failure: Failure, target: str, names: list[str]) -> None:
        """Cut links of one, or between two halves."""
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

    def disturb(self, failure: Failure, target: str) -> None:
        """Whatever else goes wrong."""
        world = self.world
        if failure is Failure.PAUSE:
            world.pause(target, self.chance.choice((500.0, 2000.0, 4000.0)))
        elif failure is Failure.KILL:
            world.kill(target)
        elif failure is Failure.NOISE:
            world.loss, world.repeat, world.delay = 0.2, 0.2, 60.0
        elif failure is Failure.BLIND:
            world.nodes[target].source = False
        elif failure is Failure.OLD:
            world.nodes[target].source_old = world.newest
        elif failure is Failure.LIAR:
            self.lie(world.nodes[target].fleet)

    def lie(self, fleet: Fleet) -> None:
        """One claims, in the right form, a list with hardly an engine, one number on."""
        number = self.world.newest.number + 1
        before, rows = fleet.registry.in_force[Artifact.LIST], dict[str, Row]()
        claimed = Version(0, number, list_digest(rows))
        fleet.list_store.keep(claimed, rows)
        fleet.registry.in_force[Artifact.LIST] = claimed
        self.run(700.0)
        fleet.registry.in_force[Artifact.LIST] = before

    def heal(self) -> None:
        world = self.world
        world.cuts.clear()
        world.loss, world.repeat, world.delay = 0.0, 0.0, 1.0
        for node in world.nodes.values():
            node.source, node.source_old = True, None
            if not node.life:
                world.restart(node.name)


# Planted in whole fleets: each must be found.


class NeverLooksAgain(Fleet):
    """What may be sent is what the last timer found: one that stood still acts on it."""

    def allowed(self, now: float) -> Allowed:
        return self.tracker.allowed


class TakesAnyList(Fleet):
    """One witness may take all engines away."""

    def begin(self, now: float) -> None:
        super().begin(now)
        self.list_sync.max_single_drop = 2.0


class NeverJoinsAgain(Fleet):
    """Whoever has lapsed stays so."""

    def update_standing(self, now: float) -> None:
        before = self.tracker.standing
        super().update_standing(now)
        if before in (Standing.LAPSED, Standing.SHUT):
            self.tracker.standing = before


class IdleListSync(ListSync):
    def tick(self, now: float, unix: float) -> None:
        return


class AsksNobody(Fleet):
    """Nobody is brought up by a peer, and its name service may never answer: found where it stays away."""

    def begin(self, now: float) -> None:
        super().begin(now)
        self.list_sync = IdleListSync(self, now)


class Deaf(Members):
    def merge(self, now: float, record: Record, by: str) -> None:
        known = self.others.get(record.name)
        if known is None or known.life < Life.GONE:
            super().merge(now, record, by)


class DeafToRefutation(Fleet):
    """One that was held for gone stays gone for this one."""

    def begin(self, now: float) -> None:
        super().begin(now)
        self.members = Deaf(self.members.own, self.shared.period, self.shared.forget, self.chance, now)


IN_FLEETS = (NeverLooksAgain, TakesAnyList, NeverJoinsAgain, DeafToRefutation)


def walks(made: Callable[..., Fleet], seeds: range, count: int, failures: int) -> tuple[int, Counter[str]]:
    states, broken = 0, Counter[str]()
    for seed in seeds:
        walk = Walk(seed, count, made)
        broken += walk.walk(failures)
        states += walk.states
        if broken and made is not Fleet:
            break
    return states, broken
