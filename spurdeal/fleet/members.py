"""Who is in the fleet: alive, suspected, gone or left. Free of I/O and clocks.

SWIM (Das, Gupta and Motivala, 2002): each period one member is probed, round a shuffled ring; one that does
not answer is probed through others, then suspected; a suspicion that its subject does not refute ends it.
News rides on the probes, each piece so many times as the logarithm of the fleet asks. Of Lifeguard (Dadgar,
Phillips and Currey, 2018): who is slow itself probes slower and trusts itself less (local health), a
suspicion runs shorter the more confirm it, and a suspected one is told so at the next probe.

A record is ordered by its `incarnation`, which only its subject raises: by a new start, by a refutation,
after a split. At one incarnation the graver word wins. Two starts with one incarnation are two processes
under one name, or a new one that does not know the old one yet: see `contested`. Times are ms of one
monotonic clock.
"""

from __future__ import annotations

import hashlib
import heapq
import math
import random
import zlib
from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple

from .probes import Probe, Probes, Suspicion

Address = tuple[str, int]
MAX_MEMBERS = 1024
GOSSIP_FACTOR = 3  # times log2 of the fleet: how often each piece of news is told
INDIRECT_PROBES = 3  # members asked to probe for us
MAX_HEALTH_SCORE = 8  # local health: probes are at most so many times slower
# The shortest suspicion in periods, times log10 of the fleet; the longest, as a multiple of the shortest.
MIN_SUSPICION_PERIODS, MAX_SUSPICION_FACTOR = 4.0, 6.0
CONFIRMATIONS = 3  # so many confirm it: the least time holds
MIN_WITNESSED = 2  # with no more others nobody can confirm a suspicion
GONE_PROBE_PROBABILITY = 0.3  # the part of its turns at which one that is gone is probed
MAX_INCARNATION = 1 << 40


class Life(IntEnum):
    """The graver word is the greater."""

    ALIVE = 0
    SUSPECT = 1
    GONE = 2
    LEFT = 3


class Record(NamedTuple):
    """What is known of one member. boot tells its starts apart."""

    name: str
    host: str
    port: int
    boot: int
    incarnation: int
    life: Life
    by: str = ""  # of a suspicion: who says so

    @property
    def address(self) -> Address:
        """Where it is reached."""
        return self.host, self.port


class Change(NamedTuple):
    """A member's life has changed in our view; why, in words for people."""

    name: str
    life: Life
    boot: int
    why: str


class Members:
    """One dispatcher's view of the fleet. `own` is its own record."""

    def __init__(self, own: Record, period: float, forget: float, chance: random.Random, now: float) -> None:
        self.own, self.period, self.forget_after, self.chance = own, period, forget, chance
        self.others: dict[str, Record] = {}
        self.living: set[str] = set()  # of the others, those who are not over
        self.live_checksum = self.left = 0
        self.since: dict[str, float] = {}
        self.suspicions: dict[str, Suspicion] = {}
        self.ring: list[str] = []
        self.probe: Probe | None = None
        self.next_probe, self.ticked, self.next_forget = now, now, now
        self.health = 0
        self.gossip: dict[str, int] = {own.name: 0}  # how often told
        self.changes: list[Change] = []
        self.contested: Record | None = None  # another start under our name, until it is settled
        self.highest_incarnation = own.incarnation

    # What is known.

    def alive(self) -> list[str]:
        """Others that are not known to be gone, suspected ones among them."""
        return sorted(self.living)

    def known(self) -> list[str]:
        """Others that did not leave by themselves: whom a cut hides is still of the fleet."""
        return [name for name, record in self.others.items() if record.life != Life.LEFT]

    def size(self) -> int:
        """Of the fleet, ourselves with it."""
        return len(self.others) - self.left + 1

    def scale(self) -> float:
        """How much longer suspicions last in a large fleet: log10 of its size, 1 at least."""
        return max(1.0, math.log10(max(2, len(self.living) + 1)))

    def table(self) -> list[Record]:
        """All records, our own first."""
        return [self.own, *self.others.values()]

    def checksum(self) -> int:
        """A sum over those who are not over, that two equal tables share, whatever their order."""
        return self.live_checksum ^ zlib.crc32(self.checksum_input(self.own))

    @staticmethod
    def checksum_input(record: Record) -> bytes:
        """What the table's checksum takes of a record."""
        return f"{record.name} {record.boot} {record.incarnation} {record.life:d}".encode()

    def store(self, name: str, record: Record | None) -> None:
        """The table, who is living, and the sum go together."""
        before = self.others.get(name)
        self.left += (record is not None and record.life is Life.LEFT) - (
            before is not None and before.life is Life.LEFT
        )
        if before is not None and before.life <= Life.SUSPECT:
            self.live_checksum ^= zlib.crc32(self.checksum_input(before))
            self.living.discard(name)
        if record is None:
            self.others.pop(name, None)
            return
        self.others[name] = record
        if record.life <= Life.SUSPECT:
            self.live_checksum ^= zlib.crc32(self.checksum_input(record))
            self.living.add(name)

    # News in.

    def merge(self, now: float, record: Record, by: str) -> None:
        """A piece of news, from whoever `by` is; older than what we know, it changes nothing."""
        if record.name == self.own.name:
            self.merge_own_record(record)
            return
        known = self.others.get(record.name)
        if known is None and (len(self.others) >= MAX_MEMBERS or record.life >= Life.GONE):
            return  # nobody is kept who is only known to be over
        if known is not None:
            if record.life is Life.SUSPECT and record[3:6] == known[3:6]:
                self.confirm(now, record.name, record.by)
            if (record.incarnation, record.life, record.boot) <= (known.incarnation, known.life, known.boot):
                return
        self.set_record(now, record, by)

    def set_record(self, now: float, record: Record, by: str) -> None:
        """Take a record into the table, with all that follows from its change."""
        known = self.others.get(record.name)
        self.store(record.name, record)
        self.gossip[record.name] = 0
        if known is None:
            self.ring.insert(self.chance.randrange(len(self.ring) + 1), record.name)
        if record.life is not Life.SUSPECT:
            self.suspicions.pop(record.name, None)
        elif record.name not in self.suspicions or (known is not None and known[3:5] != record[3:5]):
            self.suspicions[record.name] = self.suspicion(now, record.by)
        if known is None or (known.life, known.boot) != (record.life, record.boot):
            self.since[record.name] = now
            new = known is not None and known.boot != record.boot
            self.changes.append(
                Change(
                    record.name,
                    record.life,
                    record.boot,
                    f"a new start, told by {by}" if new else f"told by {by}",
                )
            )

    def suspicion(self, now: float, by: str) -> Suspicion:
        """A new suspicion, first said by that member."""
        least = MIN_SUSPICION_PERIODS * self.scale() * self.period
        others = len(self.living)
        most = least * (MAX_SUSPICION_FACTOR if others > MIN_WITNESSED else 1.0)
        return Suspicion(now, now + most, least, most, frozenset((by,)))

    def confirm(self, now: float, name: str, by: str) -> None:
        """Another says so: the time falls with the logarithm of how many (Lifeguard, section IV B)."""
        found = self.suspicions.get(name)
        if found is None or by in found.by or len(found.by) > CONFIRMATIONS:
            return
        names = found.by | {by}
        part = math.log(len(names)) / math.log(CONFIRMATIONS + 1)
        left = max(found.least, found.most - (found.most - found.least) * part)
        self.suspicions[name] = found._replace(by=names, end=found.since + left)
        self.gossip[name] = 0

    def merge_own_record(self, record: Record) -> None:
        """News of ourselves: what is not so is refuted by a later incarnation.

        Another start under our name is kept as `contested`, for the caller to decide on.
        """
        self.highest_incarnation = max(self.highest_incarnation, record.incarnation)
        if record.boot != self.own.boot:
            if record.incarnation >= self.own.incarnation and record.life is not Life.LEFT:
                self.contested = record
            if record.life < Life.GONE:
                return
        if (
            record.life is not Life.ALIVE
            and record.incarnation >= self.own.incarnation
            and self.own.life is not Life.LEFT
        ):
            self.degrade_health()
            self.raise_incarnation(record.incarnation)

    def raise_incarnation(self, beyond: int) -> None:
        """We are here, whatever was told up to that incarnation."""
        self.own = self.own._replace(incarnation=min(MAX_INCARNATION, max(beyond, self.own.incarnation) + 1))
        self.gossip[self.own.name] = 0

    def leave(self) -> None:
        """A planned end: nobody needs to suspect us."""
        self.own = self.own._replace(life=Life.LEFT, incarnation=self.own.incarnation + 1)
        self.gossip[self.own.name] = 0

    # News out.

    def select_gossip(self, most: int, to: str = "", boot: int = 0) -> list[Record]:
        """Up to so many records, least told first.

        If of the receiver `to` something else is known than that its start `boot` is alive, it hears that
        first.
        """
        limit = math.ceil(GOSSIP_FACTOR * math.log2(len(self.living) + 2))
        ranked = heapq.nsmallest(
            most, self.gossip, key=lambda name: (self.gossip[name], name != self.own.name, name)
        )
        named = self.others.get(to)
        first = [to] if named is not None and (named.life is not Life.ALIVE or named.boot != boot) else []
        told = (first + [name for name in ranked if name != to])[:most]
        for name in told:
            if name in self.gossip:
                self.gossip[name] += 1
                if self.gossip[name] >= limit:
                    del self.gossip[name]
        return [
            self.own if name == self.own.name else self.as_gossip(self.others[name])
            for name in told
            if name == self.own.name or name in self.others
        ]

    def as_gossip(self, record: Record) -> Record:
        """The record as it is passed on.

        A suspicion is told in the name of one who says so: only different ones confirm one another.
        """
        found = self.suspicions.get(record.name)
        return record._replace(by=self.chance.choice(sorted(found.by))) if found is not None else record

    # Probes.

    def tick(self, now: float) -> Probes:
        """What is due by now. Call it often; it keeps its own periods."""
        still = now - self.ticked
        if still > 2 * self.period:
            # We stood still, not they: what was due meanwhile proves nothing.
            self.probe, self.health = None, MAX_HEALTH_SCORE
            self.suspicions = {
                name: each._replace(end=each.end + still, since=each.since + still)
                for name, each in self.suspicions.items()
            }
            self.next_probe = now
        self.ticked = now
        for name in [name for name, each in self.suspicions.items() if now >= each.end]:
            by = len(self.suspicions.pop(name).by)
            record = self.others[name]._replace(life=Life.GONE, by="")
            self.set_record(now, record, self.own.name)
            self.changes[-1] = Change(name, Life.GONE, record.boot, f"did not refute {by} who suspected it")
        if now >= self.next_forget:
            self.next_forget = now + self.period * 5
            self.forget(now)
        asked = self.check_probe(now)
        if self.probe is None and now >= self.next_probe:
            return Probes(self.next_target(now), asked)
        return Probes(None, asked)

    def check_probe(self, now: float) -> list[str]:
        """See to the probe under way: helpers to ask, once its answer is late; at its end, it has failed."""
        probe = self.probe
        if probe is None:
            return []
        if now >= probe.end:
            self.probe = None
            for _ in range(1 + (1 if probe.pending_nacks else 0)):  # missing nacks: the fault may be ours
                self.degrade_health()
            self.probe_failed(now, probe.name)
        elif now >= probe.due:
            others = [name for name in self.alive() if name != probe.name]
            asked = self.chance.sample(others, min(INDIRECT_PROBES, len(others)))
            self.probe = probe._replace(due=math.inf, pending_nacks=len(asked))
            return asked
        return []

    def probe_failed(self, now: float, name: str) -> None:
        """A probe of that member had no answer: it is suspected, or its suspicion confirmed."""
        record = self.others.get(name)
        if record is None or record.life >= Life.GONE:
            return
        if record.life is Life.SUSPECT:
            self.confirm(now, name, self.own.name)
        else:
            self.set_record(now, record._replace(life=Life.SUSPECT, by=self.own.name), self.own.name)

    def next_target(self, now: float) -> str | None:
        """The next member on the ring to probe, if there is any."""
        self.next_probe = now + self.period * (1 + self.health)
        while self.ring:
            name = self.ring.pop()
            record = self.others.get(name)
            # One that is gone is looked for now and then: a cut that has healed is found so.
            if record is None:
                continue
            if record.life <= Life.SUSPECT or (
                record.life is Life.GONE and self.chance.random() < GONE_PROBE_PROBABILITY
            ):
                return self.start_probe(now, name)
        self.ring = [name for name, record in self.others.items() if record.life is not Life.LEFT]
        self.chance.shuffle(self.ring)
        return None if not self.ring else self.start_probe(now, self.ring.pop())

    def start_probe(self, now: float, name: str) -> str:
        """Note that a probe of that member begins."""
        scale = 1 + self.health
        self.probe = Probe(name, now + 0.4 * self.period * scale, now + self.period * scale, 0)
        return name

    def answered(self, now: float, name: str) -> None:
        """A word from that member itself, at whatever question."""
        if self.probe is not None and self.probe.name == name:
            self.probe = None
            self.health = max(0, self.health - 1)

    def nacked(self) -> None:
        """One that was asked says that it got no answer either: it is not us who hears nothing."""
        if self.probe is not None:
            self.probe = self.probe._replace(pending_nacks=max(0, self.probe.pending_nacks - 1))

    def degrade_health(self) -> None:
        """Our own health is worse by one: we probe slower."""
        self.health = min(MAX_HEALTH_SCORE, self.health + 1)

    def forget(self, now: float) -> None:
        """Who is over for long is no more of the fleet."""
        for name in [
            name
            for name, record in self.others.items()
            if record.life >= Life.GONE and now - self.since[name] > self.forget_after
        ]:
            self.drop(name)

    def drop(self, name: str) -> None:
        """Forget a member wholly."""
        self.store(name, None)
        del self.since[name]
        self.gossip.pop(name, None)
        self.suspicions.pop(name, None)


def rendezvous(name: str, others: Iterable[str], count: int) -> list[str]:
    """The `count` of others with the highest weight for a name (Thaler and Ravishankar, 1998).

    It is the same for all who know the same, and one that comes or goes moves only its own part.
    """

    def weight(other: str) -> bytes:
        return hashlib.blake2b(f"{name}\0{other}".encode(), digest_size=8).digest()

    return sorted(others, key=weight, reverse=True)[:count]
