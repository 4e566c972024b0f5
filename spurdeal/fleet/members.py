"""Membership: who is alive, suspected, gone or left. Free of I/O and clocks.

SWIM (Das, Gupta and Motivala, 2002): in each period one member is probed, round a shuffled ring. A member
that does not answer is probed indirectly through others, then suspected; a suspicion that its subject does
not refute in time declares it gone. Gossip is piggybacked on the probes; each update is sent a number of
times proportional to the logarithm of the fleet's size. From Lifeguard (Dadgar, Phillips and Currey, 2018):
a member that is slow itself probes slower and waits longer (local health), a suspicion ends sooner the more
members confirm it, and a suspected member is told of it with the next probe.

Records are ordered by `incarnation`, which only their subject raises: at a new start, at a refutation, and
after a partition. At equal incarnation the graver state wins. Two starts with one incarnation are two
processes with one name, or a new start that does not know the old one yet: see `other_start_of_our_name`.
Times are ms of one monotonic clock.
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

from .probes import Probe, ProbeActions, Suspicion

Address = tuple[str, int]
MAX_MEMBERS = 1024
GOSSIP_FACTOR = 3  # times log2 of the fleet's size: how often each update is sent
INDIRECT_PROBES = 3  # members asked to probe a silent one
MAX_HEALTH_SCORE = 8  # local health: largest number of extra periods between probes
# The shortest suspicion in periods, times log10 of the fleet; the longest, as a multiple of the shortest.
MIN_SUSPICION_PERIODS, MAX_SUSPICION_FACTOR = 4.0, 6.0
CONFIRMATIONS = 3  # with so many confirmations the shortest time applies
# With no more live others, the suspect among them, a suspicion waits for no confirmation: it lasts the
# shortest time.
MIN_OTHERS_TO_CONFIRM = 2
GONE_PROBE_PROBABILITY = 0.3  # with which a gone member is probed when the ring reaches it
MAX_INCARNATION = 1 << 40


class Life(IntEnum):
    """A member's state; the graver one is the greater."""

    ALIVE = 0
    SUSPECT = 1
    GONE = 2
    LEFT = 3


class Record(NamedTuple):
    """What is known of one member. boot identifies its start."""

    name: str
    host: str
    port: int
    boot: int
    incarnation: int
    life: Life
    by: str = ""  # of a suspicion: the member that reports it

    @property
    def address(self) -> Address:
        """Host and port."""
        return self.host, self.port


class Change(NamedTuple):
    """A member's state has changed in our view. why: the reason, for people."""

    name: str
    life: Life
    boot: int
    why: str


class Members:
    """One dispatcher's view of the fleet. `own` is its own record."""

    def __init__(self, own: Record, period: float, forget: float, chance: random.Random, now: float) -> None:
        self.own, self.period, self.forget_after, self.chance = own, period, forget, chance
        self.others: dict[str, Record] = {}
        self.live_names: set[str] = set()  # of the others, those that are live: ALIVE or SUSPECT
        self.live_checksum = self.left = 0
        self.since: dict[str, float] = {}
        self.suspicions: dict[str, Suspicion] = {}
        self.ring: list[str] = []
        self.probe: Probe | None = None
        self.next_probe, self.ticked, self.next_forget = now, now, now
        self.health = 0  # Lifeguard's local health score: 0 is healthy, MAX_HEALTH_SCORE the worst
        self.gossip: dict[str, int] = {own.name: 0}  # how often each update was sent
        self.changes: list[Change] = []
        self.other_start_of_our_name: Record | None = None  # until NameConflict.settle
        self.highest_incarnation = own.incarnation

    # The member table.

    def live(self) -> list[str]:
        """Names of other members that are live: ALIVE or SUSPECT."""
        return sorted(self.live_names)

    def known(self) -> list[str]:
        """Other members that have not left. One hidden by a partition still belongs to the fleet."""
        return [name for name, record in self.others.items() if record.life != Life.LEFT]

    def size(self) -> int:
        """How many members have not left, gone ones and ourselves included."""
        return len(self.others) - self.left + 1

    def scale(self) -> float:
        """Factor on suspicion times in a large fleet: log10 of its size, at least 1."""
        return max(1.0, math.log10(max(2, len(self.live_names) + 1)))

    def table(self) -> list[Record]:
        """All records, our own first."""
        return [self.own, *self.others.values()]

    def checksum(self) -> int:
        """Checksum over the live members; equal for equal tables, whatever their order."""
        return self.live_checksum ^ zlib.crc32(self.checksum_input(self.own))

    @staticmethod
    def checksum_input(record: Record) -> bytes:
        """The part of a record that enters the table's checksum."""
        return f"{record.name} {record.boot} {record.incarnation} {record.life:d}".encode()

    def store(self, name: str, record: Record | None) -> None:
        """Replace or remove a record, and update the live set and the checksum with it."""
        before = self.others.get(name)
        self.left += (record is not None and record.life is Life.LEFT) - (
            before is not None and before.life is Life.LEFT
        )
        if before is not None and before.life <= Life.SUSPECT:
            self.live_checksum ^= zlib.crc32(self.checksum_input(before))
            self.live_names.discard(name)
        if record is None:
            self.others.pop(name, None)
            return
        self.others[name] = record
        if record.life <= Life.SUSPECT:
            self.live_checksum ^= zlib.crc32(self.checksum_input(record))
            self.live_names.add(name)

    # Incoming gossip.

    def merge(self, now: float, record: Record, by: str) -> None:
        """Merge a record received from `by`; one older than what we know changes nothing."""
        if record.name == self.own.name:
            self.merge_own_record(record)
            return
        known = self.others.get(record.name)
        if known is None and (len(self.others) >= MAX_MEMBERS or record.life >= Life.GONE):
            return  # an unknown member is not added as gone or left
        if known is not None:
            if record.life is Life.SUSPECT and record[3:6] == known[3:6]:
                self.confirm(now, record.name, record.by)
            if (record.incarnation, record.life, record.boot) <= (known.incarnation, known.life, known.boot):
                return
        self.set_record(now, record, by)

    def set_record(self, now: float, record: Record, by: str) -> None:
        """Put a record into the table, and update gossip, suspicions and changes."""
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
                    f"a new start, reported by {by}" if new else f"reported by {by}",
                )
            )

    def suspicion(self, now: float, by: str) -> Suspicion:
        """A new suspicion, first reported by that member."""
        least = MIN_SUSPICION_PERIODS * self.scale() * self.period
        others = len(self.live_names)
        most = least * (MAX_SUSPICION_FACTOR if others > MIN_OTHERS_TO_CONFIRM else 1.0)
        return Suspicion(now, now + most, least, most, frozenset((by,)))

    def confirm(self, now: float, name: str, by: str) -> None:
        """Add a confirmation: the time falls with the logarithm of their number (Lifeguard, section IV B)."""
        suspicion = self.suspicions.get(name)
        if suspicion is None or by in suspicion.by or len(suspicion.by) > CONFIRMATIONS:
            return
        names = suspicion.by | {by}
        fraction = math.log(len(names)) / math.log(CONFIRMATIONS + 1)
        left = max(suspicion.least, suspicion.most - (suspicion.most - suspicion.least) * fraction)
        self.suspicions[name] = suspicion._replace(by=names, end=suspicion.since + left)
        self.gossip[name] = 0

    def merge_own_record(self, record: Record) -> None:
        """Merge a record about ourselves: a wrong one is refuted with a higher incarnation.

        Another start with our name is kept as `other_start_of_our_name`, for the caller to decide on.
        """
        self.highest_incarnation = max(self.highest_incarnation, record.incarnation)
        if record.boot != self.own.boot:
            if record.incarnation >= self.own.incarnation and record.life is not Life.LEFT:
                self.other_start_of_our_name = record
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
        """Refute all that was gossiped about us up to that incarnation."""
        self.own = self.own._replace(incarnation=min(MAX_INCARNATION, max(beyond, self.own.incarnation) + 1))
        self.gossip[self.own.name] = 0

    def leave(self) -> None:
        """Graceful shutdown: mark ourselves as left, so that nobody suspects us."""
        self.own = self.own._replace(life=Life.LEFT, incarnation=self.own.incarnation + 1)
        self.gossip[self.own.name] = 0

    # Outgoing gossip.

    def select_gossip(self, most: int, to: str = "", boot: int = 0) -> list[Record]:
        """Up to `most` records to send, least sent first.

        If the receiver `to` is known as anything else than alive with its start `boot`, that record goes
        first.
        """
        limit = math.ceil(GOSSIP_FACTOR * math.log2(len(self.live_names) + 2))
        ranked = heapq.nsmallest(
            most, self.gossip, key=lambda name: (self.gossip[name], name != self.own.name, name)
        )
        named = self.others.get(to)
        first = [to] if named is not None and (named.life is not Life.ALIVE or named.boot != boot) else []
        chosen = (first + [name for name in ranked if name != to])[:most]
        for name in chosen:
            if name in self.gossip:
                self.gossip[name] += 1
                if self.gossip[name] >= limit:
                    del self.gossip[name]
        return [
            self.own if name == self.own.name else self.as_gossip(self.others[name])
            for name in chosen
            if name == self.own.name or name in self.others
        ]

    def as_gossip(self, record: Record) -> Record:
        """The record as it is sent on.

        A suspicion names one of the members that report it, as only different reporters confirm it.
        """
        suspicion = self.suspicions.get(record.name)
        return (
            record._replace(by=self.chance.choice(sorted(suspicion.by))) if suspicion is not None else record
        )

    # Probes.

    def tick(self, now: float) -> ProbeActions:
        """The probes that are due. Call it often; it keeps its own periods."""
        pause = now - self.ticked
        if pause > 2 * self.period:
            # This process was paused: missing answers prove nothing about the others.
            self.probe, self.health = None, MAX_HEALTH_SCORE
            self.suspicions = {
                name: each._replace(end=each.end + pause, since=each.since + pause)
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
        helpers = self.check_probe(now)
        if self.probe is None and now >= self.next_probe:
            return ProbeActions(self.next_target(now), helpers)
        return ProbeActions(None, helpers)

    def check_probe(self, now: float) -> list[str]:
        """Helpers to ask once the pending probe's answer is late; at its end the probe has failed."""
        probe = self.probe
        if probe is None:
            return []
        if now >= probe.end:
            self.probe = None
            for _ in range(1 + (1 if probe.pending_nacks else 0)):  # missing nacks: the fault may be ours
                self.degrade_health()
            self.probe_failed(now, probe.name)
        elif now >= probe.due:
            others = [name for name in self.live() if name != probe.name]
            helpers = self.chance.sample(others, min(INDIRECT_PROBES, len(others)))
            self.probe = probe._replace(due=math.inf, pending_nacks=len(helpers))
            return helpers
        return []

    def probe_failed(self, now: float, name: str) -> None:
        """A probe of that member had no answer: suspect it, or confirm the suspicion."""
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
            # Gone members are probed now and then, so that a healed partition is noticed.
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
        """Begin a probe of that member; helpers are asked after 0.4 of its time."""
        scale = 1 + self.health
        self.probe = Probe(name, now + 0.4 * self.period * scale, now + self.period * scale, 0)
        return name

    def on_answer(self, now: float, name: str) -> None:
        """A message from that member itself, in answer to any request."""
        if self.probe is not None and self.probe.name == name:
            self.probe = None
            self.health = max(0, self.health - 1)

    def on_nack(self) -> None:
        """A helper answered that it hears us: the fault is not on our side."""
        if self.probe is not None:
            self.probe = self.probe._replace(pending_nacks=max(0, self.probe.pending_nacks - 1))

    def degrade_health(self) -> None:
        """Raise our local health score by one, which is worse: we probe slower."""
        self.health = min(MAX_HEALTH_SCORE, self.health + 1)

    def forget(self, now: float) -> None:
        """Remove members that have been gone or left for long."""
        for name in [
            name
            for name, record in self.others.items()
            if record.life >= Life.GONE and now - self.since[name] > self.forget_after
        ]:
            self.drop(name)

    def drop(self, name: str) -> None:
        """Remove a member."""
        self.store(name, None)
        del self.since[name]
        self.gossip.pop(name, None)
        self.suspicions.pop(name, None)


def rendezvous(name: str, others: Iterable[str], count: int) -> list[str]:
    """Rendezvous hashing: the `count` others of highest weight for a name (Thaler and Ravishankar, 1998).

    Equal views give the same result, and a member that joins or leaves changes only its own share.
    """

    def weight(other: str) -> bytes:
        return hashlib.blake2b(f"{name}\0{other}".encode(), digest_size=8).digest()

    return sorted(others, key=weight, reverse=True)[:count]
