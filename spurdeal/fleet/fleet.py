"""One dispatcher's side of the fleet: membership, versions, lease, standing and bring-up together. Free of
I/O.

A link calls `tick` every TICK ms and `take` for each datagram, sends what is in `out`, and tells what is in
`told`. Both clocks come with each call: ms of a monotonic clock that runs on while the process stands still,
and Unix ms. Nothing that comes from outside raises; what cannot be used is counted by its reason and changes
nothing."""

from __future__ import annotations

import base64
import math
import random
from collections import Counter, OrderedDict
from collections.abc import Callable, Mapping
from statistics import median
from typing import Any, NamedTuple

from ..interface import Life as EngineLife
from ..vrrp.sealed import Keys, Refused, Session
from . import wire
from .bringing import ONE_WITNESS_DROPS, Ask, Fetch, Rows, Shelf, Spoilt, applied, drops, unpack
from .hybrid import Hybrid
from .lease import NO_TERM, WARDENS, Inquiry, Lease, Term, Wards
from .members import MOST_MEMBERS, Address, Life, Members, Record, rendezvous
from .standing import Allowed, Ladder, Limits, Seen, Standing
from .versions import ROW, WITNESSES, Book, Line, Version, list_digest

READY = int(EngineLife.READY)
TICK = 20.0  # ms between two calls of tick
RENEWALS = 3  # within a lease
PULL_EVERY = 10  # periods between two comparisons of tables
PULL_AGAIN = 300.0  # ms
MOST_OPEN = 512  # questions whose answer may still come
WARDENS_FOR = 20  # leases that one stays a warden though it is gone
REJOINS_AFTER = 6  # leases without one, though the fleet is heard: it comes back as a new start
GREETINGS = 2000  # a second at most: an unproven datagram draws one answer, and a flood must not draw a flood
CLOCKS = 3  # so many others must tell theirs, before ours can be found off
SOURCE_FIRST = 450.0  # ms that our own name service has, where it answers, before a peer is asked
OFFERS_EVERY = 60.0  # ms between two looks at who has a newer list
SHIFT_EVERY = 250.0  # ms
CLOCK_AGE = 10_000.0  # ms that one's word on its clock counts
ASK_STOPPED = 500.0  # ms between two questions to the wardens of one that is gone
MOST_INQUIRIES = 64
MOST_ONCE = 1024
STRANGERS = 256  # names that have shown a key and not yet their start
RAISES = 3  # turns raised against another start of our name, before it counts as alive


class Terms(NamedTuple):
    """Figures of a fleet, the same for all in it. Times in ms, parts from 0 to 1."""

    period: float = 200.0  # between two probes
    lease: float = 1500.0
    part: float = 0.34  # of the wardens: so many must answer
    forget: float = 600_000.0
    behind_for: float = 2000.0
    shut_after: float = 4000.0
    most_shut: float = 0.34
    clock_off: float = 2000.0


class Open(NamedTuple):
    """One question of ours. kind: ping, renew, pull, word, fetch; `on` names who it is for, when relayed."""

    to: str
    sent: float
    kind: str
    on: tuple[str, Address, int] | None = None


class Told(NamedTuple):
    """Something for the log, and for the audit."""

    what: str
    figures: dict[str, Any]


class Heard(NamedTuple):
    """A member's last word about itself."""

    at: float
    standing: Standing
    page: tuple[int, str, int] | None
    clock: float  # its Unix time less ours


class Came(NamedTuple):
    """A datagram whose seal and number are right."""

    now: float
    unix: float
    source: Address
    name: str
    body: Mapping[str, Any]


Act = Callable[[], None]


class Fleet:
    """`bring` is called with a list that was fetched and checked, and puts it in force."""

    def __init__(
        self,
        name: str,
        address: Address,
        seeds: Mapping[str, Address],
        terms: Terms,
        keys: Keys,
        chance: random.Random,
        bring: Callable[[Version, Rows], None],
        now: float,
        unix: float,
    ) -> None:
        self.name, self.address, self.seeds, self.terms, self.keys = name, address, dict(seeds), terms, keys
        self.chance, self.bring = chance, bring
        self.out: list[tuple[Address, bytes]] = []
        self.told: list[Told] = []
        self.counts: Counter[str] = Counter()
        self.hybrid, self.book = Hybrid(unix), Book(name)
        self.shelf, self.fetch = Shelf(terms.period, now), Fetch(chance)
        limits = Limits(terms.behind_for, terms.shut_after, terms.most_shut, terms.clock_off)
        self.ladder = Ladder(name, limits, now)
        self.rows: Rows = {}
        self.page: tuple[int, str, int] | None = None
        self.source_at, self.clock_shift, self.next_shift = now, 0.0, now
        self.skew = 0.0  # of the system's Unix time before that which we are given, which does not step
        self.leaving, self.next_offers = False, now
        self.one_drops = ONE_WITNESS_DROPS
        self.offered: dict[Version, float] = {}  # since when a version beyond ours is claimed
        self.own_boots: set[int] = set()
        self.once: set[str] = set()
        self.begin(now)

    def begin(self, now: float) -> None:
        """A start: nothing is known of the others."""
        self.boot = self.chance.getrandbits(62) | 1
        self.own_boots.add(self.boot)
        own = Record(self.name, *self.address, self.boot, 1, Life.ALIVE)
        self.members = Members(own, self.terms.period, self.terms.forget, self.chance, now)
        self.lease = Lease(self.terms.lease, self.terms.part)
        self.lease.alone = not self.seeds
        self.wards = Wards(self.terms.lease, now)
        self.sessions: dict[str, Session] = {}
        self.open: OrderedDict[int, Open] = OrderedDict()
        self.heard: dict[str, Heard] = {}
        self.inquiries: dict[str, Inquiry] = {}
        self.asked_words: dict[str, float] = {}
        self.relied: set[tuple[str, int]] = set()
        self.seq, self.next_renewal, self.next_pull, self.next_seeds = 0, now, now, now
        self.pulled_from, self.pull_place, self.pull_due = "", 0, 0.0
        self.synced = not self.seeds
        self.raised_against: Counter[int] = Counter()
        self.twin = False
        self.leased_at, self.ticked = now, now
        self.greeted, self.greeted_since = 0, now

    # What is asked of it.

    def allowed(self, now: float) -> Allowed:
        """What may be sent at this moment: the lease is looked at anew, as the process may have stood
        still."""
        allowed = self.ladder.allowed
        return allowed if self.lease.holds(now) else allowed._replace(doubtful=False)

    def in_force(
        self, line: Line, version: Version, rows: Rows | None = None, by_source: bool = True
    ) -> bool:
        """What this dispatcher acts on from now on."""
        taken = self.book.take(line, version, by_source)
        if taken and rows is not None:
            self.rows = rows
            self.shelf.keep(version, rows)
        for clash in self.book.clashes.values():
            self.tell_once(f"clash {clash}", "clash", {"says": str(clash)})
        return taken

    def source_says(self, version: Version) -> None:
        """What our source says that the version in force holds: other content than ours is a clash."""
        own = self.book.force.get(Line.LIST)
        if own is not None and own.order == version.order and own.digest != version.digest:
            for clash in self.book.clash(Line.LIST, version, f"{self.name}'s source"):
                self.tell_once(f"clash {clash}", "clash", {"says": str(clash)})

    def source_answered(self, now: float) -> None:
        """The name service has answered, whether or not with news."""
        self.source_at = now

    def stopped(self, now: float, name: str) -> bool:
        """That member, gone as we see it, sends nothing doubtful any more: it is known by our clock alone."""
        found = self.inquiries.get(name)
        return found is not None and found.stopped(now)

    def leave(self, now: float, unix: float) -> None:
        """A planned end is told to some at once; news carries it on."""
        self.leaving = True
        self.members.leave()
        for name in self.members.alive()[: 2 * WARDENS]:
            self.ping(now, unix, name)

    def status(self, now: float) -> dict[str, Any]:
        """All that is known here of the fleet, for people and programs."""
        newest = self.book.newest(Line.LIST)
        versions = {line.name.lower(): str(each) for line, each in sorted(self.book.force.items())}
        own = {
            "name": self.name,
            "boot": f"{self.boot:016x}",
            "why": self.ladder.why,
            "standing": self.ladder.standing.name.lower(),
            "for_ms": round(now - self.ladder.since),
            "lease": self.lease.holds(now),
            "term": self.lease.term.number,
            "wardens": list(self.lease.term.wardens),
            "versions": versions,
            "newest_list": str(newest) if newest is not None else None,
            "behind": self.book.behind(),
            "clock_shift_ms": round(self.clock_shift),
            "size": self.members.size(),
            "health": self.members.health,
        }
        return own | {
            "members": [self.status_of(now, name) for name in sorted(self.members.others)],
            "clashes": [str(clash) for clash in self.book.clashes.values()],
            "implausible": dict(self.book.implausible),
            "counts": dict(sorted(self.counts.items())),
        }

    def status_of(self, now: float, name: str) -> dict[str, Any]:
        record, heard = self.members.others[name], self.heard.get(name)
        claims = self.book.claims.get(name, {})
        newest = self.book.newest(Line.LIST)
        found: dict[str, Any] = {
            "name": name,
            "life": record.life.name.lower(),
            "boot": f"{record.boot:016x}",
            "for_ms": round(now - self.members.since[name]),
            "at": f"{record.host}:{record.port}",
            "stopped": self.stopped(now, name),
        }
        if heard is not None:
            found |= {
                "standing": heard.standing.name.lower(),
                "heard_ms_ago": round(now - heard.at),
                "page": heard.page[0] if heard.page is not None else None,
            }
        if Line.LIST in claims and newest is not None:
            told = claims[Line.LIST]
            found |= {"list": str(told), "behind": max(0, newest.number - told.number)}
        return found

    # Time.

    def tick(self, now: float, unix: float) -> None:
        still = now - self.ticked > 2 * self.terms.period
        if still:
            self.source_at += now - self.ticked
            self.ladder.stood_still(now - self.ticked)
        self.ticked = now
        probe, through = self.members.tick(now)
        if probe is not None:
            self.ping(now, unix, probe)
        for helper in through:
            self.ask_through(now, unix, helper)
        self.renew(now, unix, still)
        self.pull(now, unix)
        self.look_for_seeds(now, unix)
        self.bring_up(now, unix)
        self.watch_gone(now, unix)
        if self.inquiries or self.relied:
            self.tell_stopped(now)
        self.changes()
        self.settle_names(now)
        self.stand(now, unix)

    def stand(self, now: float, unix: float) -> None:
        held = self.lease.holds(now)
        if held:
            self.leased_at = now
        if now >= self.next_shift:
            self.next_shift, self.clock_shift = now + SHIFT_EVERY, self.shift(now)
        if self.ladder.step(
            now,
            Seen(
                held,
                self.book.behind(),
                now - self.source_at,
                self.others_behind,
                self.members.size(),
                self.synced,
                self.clock_shift,
                self.twin,
            ),
        ):
            self.told.append(
                Told(
                    "standing",
                    {
                        "standing": self.ladder.standing.name.lower(),
                        "why": self.ladder.why,
                        "list": str(self.book.force.get(Line.LIST, "")),
                    },
                )
            )
            if self.ladder.standing is Standing.JOINING:
                self.synced = not self.members.alive()  # what was missed is got from one before it acts again
                self.pulled_from, self.next_pull = "", now
        lost = now - self.leased_at > REJOINS_AFTER * self.terms.lease
        if lost and not self.twin and self.hears_part(now) and not self.leaving:
            self.rejoin(now)

    def hears_part(self, now: float) -> bool:
        near = sum(now - heard.at < self.terms.lease for heard in self.heard.values())
        return near >= math.ceil(self.terms.part * min(WARDENS, self.members.size() - 1))

    def rejoin(self, now: float) -> None:
        """Its wardens are lost for good, or refuse it: it goes on as a new start, with all that a new one
        owes."""
        turn, others = self.members.turns_seen, dict(self.members.others)
        before = self.boot
        self.begin(now)
        for record in others.values():
            if record.life <= Life.SUSPECT:
                self.members.put(now, record, self.name)
        self.members.raise_turn(turn)
        self.lease.alone = self.lease.alone and not self.members.others
        self.ladder.returned += 1
        self.told.append(Told("rejoined", {"before": f"{before:016x}", "boot": f"{self.boot:016x}"}))

    def others_behind(self) -> list[str]:
        newest = self.book.newest(Line.LIST)
        if newest is None:
            return []
        return [
            name
            for name, claims in self.book.claims.items()
            if (Line.LIST in claims and claims[Line.LIST].order < newest.order)
            or (name in self.heard and self.heard[name].standing is Standing.SHUT)
        ]

    def shift(self, now: float) -> float:
        """How far our Unix time lies before the middle of the others'; 0 while too few have told theirs."""
        told = [heard.clock for heard in self.heard.values() if now - heard.at <= CLOCK_AGE]
        return -median(told) if len(told) >= CLOCKS else 0.0

    def renew(self, now: float, unix: float, at_once: bool) -> None:
        if now < self.next_renewal and not at_once:
            return
        self.next_renewal = now + self.terms.lease / RENEWALS
        if self.twin:
            return
        known = self.members.known() or list(self.seeds)
        # One that leaves keeps its lease, as what it has taken is still to be answered. A new start asks
        # nobody before it knows the members: the seeds alone would be other wardens than those of its name.
        if not self.leaving and (self.synced or self.lease.term.wardens):
            able = [name for name in known if name != self.name and not self.long_gone(now, name)]
            self.lease.propose(rendezvous(self.name, able, WARDENS))
        for name in self.lease.whom():
            self.ping(now, unix, name, "renew")

    def long_gone(self, now: float, name: str) -> bool:
        """It will answer nobody soon: others take its place as wardens."""
        record = self.members.others.get(name)
        return (
            record is not None
            and record.life is Life.GONE
            and now - self.members.since[name] > WARDENS_FOR * self.terms.lease
        )

    def pull(self, now: float, unix: float) -> None:
        """The whole table of one member, in pages: at a start, at a return, and where two tables differ."""
        if self.pulled_from and now >= self.pull_due:
            self.pulled_from, self.next_pull = "", now
        if self.pulled_from or self.synced or now < self.next_pull:
            return
        # Seeds first: those who came to us may know nobody but us, and two halves would each be whole to
        # itself.
        seeds = [name for name in self.seeds if name not in self.members.others]
        others = seeds if self.lease.term is NO_TERM and seeds else self.members.alive() or seeds
        if not others:
            self.synced = True
            return
        self.start_pull(now, unix, self.chance.choice(sorted(others)))

    def look_for_seeds(self, now: float, unix: float) -> None:
        """A seed that we know nothing of may be of another part of the fleet: both are one from its answer
        on."""
        if now >= self.next_seeds:
            self.next_seeds = now + PULL_EVERY * self.terms.period
            for name in self.seeds:
                if name not in self.members.others:
                    self.ping(now, unix, name)

    def start_pull(self, now: float, unix: float, name: str) -> None:
        self.pulled_from, self.pull_place = name, 0
        self.pull_due = self.next_pull = now + PULL_AGAIN
        self.ask(now, unix, name, "pull", {"k": "j", "i": 0})

    def bring_up(self, now: float, unix: float) -> None:
        have = self.book.force.get(Line.LIST)
        if have is None or (self.fetch.want is None and now < self.next_offers):
            return
        self.next_offers = now + OFFERS_EVERY
        offers = self.book.offers() if self.fetch.want is None else []
        for version, holders in offers:
            if version not in self.offered:
                self.told.append(Told("newer_seen", {"list": str(version), "at": " ".join(holders[:3])}))
        self.offered = {version: self.offered.get(version, now) for version, _ in offers}
        # Our own source comes first, where it answers: one that is told what others are not must not lead
        # them all.
        patience = SOURCE_FIRST if now - self.source_at < SOURCE_FIRST else 0.0
        ask = self.fetch.tick(
            now,
            have,
            [
                (version, [name for name in holders if name in self.heard])
                for version, holders in offers
                if now - self.offered[version] >= patience
            ],
        )
        if ask is not None:
            self.send_fetch(now, unix, ask)

    def send_fetch(self, now: float, unix: float, ask: Ask) -> None:
        self.ask(
            now,
            unix,
            ask.to,
            "fetch",
            {"k": "f", "have": list(ask.have), "want": list(ask.want), "i": ask.place},
        )

    def tell_stopped(self, now: float) -> None:
        """Whom we rely on as stopped, and from when we do so no more."""
        stopped = {(name, each.boot) for name, each in self.inquiries.items() if each.stopped(now)}
        for what, names in (("stopped", stopped - self.relied), ("stopped_over", self.relied - stopped)):
            for name, boot in sorted(names):
                self.told.append(Told(what, {"name": name, "boot": f"{boot:016x}"}))
        self.relied = stopped

    def watch_gone(self, now: float, unix: float) -> None:
        """Whoever is gone is asked after, at its wardens, until it is known to have stopped; and on, so that
        the wardens' words go on to count."""
        for name, inquiry in list(self.inquiries.items()):
            record = self.members.others.get(name)
            if record is None or record.life is not Life.GONE or record.boot != inquiry.boot:
                del self.inquiries[name]
                self.asked_words.pop(name, None)
        for name, inquiry in self.inquiries.items():
            if now - self.asked_words.get(name, -math.inf) < ASK_STOPPED:
                continue
            self.asked_words[name] = now
            word = self.wards.word(now, name, inquiry.boot)
            if word is not None:
                inquiry.word(now, now, self.name, *word)
            known = (other for other in self.members.known() if other != name)
            for warden in inquiry.whom() or rendezvous(name, known, WARDENS):
                if warden != self.name:
                    self.ask(now, unix, warden, "word", {"k": "w", "who": name, "boot": inquiry.boot})

    def changes(self) -> None:
        found, self.members.changes = self.members.changes, []
        for change in found:
            self.told.append(
                Told(
                    "member",
                    {
                        "name": change.name,
                        "life": change.life.name.lower(),
                        "boot": f"{change.boot:016x}",
                        "why": change.why,
                    },
                )
            )
            if change.life is Life.GONE:
                self.wards.refuse(change.name, change.boot)
                if len(self.inquiries) < MOST_INQUIRIES:
                    self.inquiries[change.name] = Inquiry(
                        change.name, change.boot, self.terms.part, self.terms.lease
                    )
            if change.life >= Life.GONE:
                self.book.forget(change.name)
                self.heard.pop(change.name, None)
        most = len(self.members.others) + len(self.seeds) + STRANGERS
        for table in (self.sessions, self.wards.wards, self.heard, self.book.claims):
            if len(table) > most:
                for name in table.keys() - self.members.others.keys() - self.seeds.keys():
                    table.pop(name)

    def settle_names(self, now: float) -> None:
        """Another start has our name. Who holds a lease stays; one that lapsed meanwhile, or is answered
        again and again, gives way. One that is not there any more answers nothing: a new start gets past its
        last turn."""
        other, self.members.contested = self.members.contested, None
        if other is None or self.twin:
            return
        standing, times = self.ladder.standing, self.raised_against[other.boot]
        if other.boot in self.own_boots:
            self.members.raise_turn(other.turn)
        elif standing in (Standing.CURRENT, Standing.BEHIND) and self.lease.holds(now):
            self.members.raise_turn(other.turn)
            self.tell_once(f"name {other.boot}", "name_kept", {"other": f"{other.boot:016x}"})
        elif standing in (Standing.LAPSED, Standing.SHUT) or times >= RAISES:
            self.twin = True
            self.told.append(Told("name_yielded", {"other": f"{other.boot:016x}"}))
        else:
            self.raised_against[other.boot] += 1
            self.members.raise_turn(other.turn)

    def tell_once(self, key: str, what: str, figures: dict[str, Any]) -> None:
        """A thing that lasts is told once."""
        if key not in self.once and len(self.once) < MOST_ONCE:
            self.once.add(key)
            self.told.append(Told(what, figures))

    # Datagrams out.

    def body(self, unix: float, more: Mapping[str, Any]) -> dict[str, Any]:
        return {
            "h": list(self.hybrid.stamp(unix)),
            "u": int(unix + self.skew),
            "v": wire.versions_written(self.book.force),
            "s": int(self.ladder.standing),
        } | dict(more)

    def send(
        self,
        now: float,
        unix: float,
        name: str,
        more: Mapping[str, Any],
        address: Address | None = None,
        news: bool = True,
    ) -> None:
        """To a member, with as much news as fits."""
        record = self.members.others.get(name)
        address = address or (record.address if record is not None else self.seeds.get(name))
        if address is None:
            return
        body = self.body(unix, more)
        if news:
            body["e"] = self.members.print()
            left, rows = wire.room(self.name, body) - 8, list[list[Any]]()
            boot = self.sessions[name].peer_boot if name in self.sessions else 0
            for record in self.members.tell(min(wire.MOST_RECORDS, max(1, left // 100)), name, boot):
                row = wire.written(record)
                left -= len(str(row)) + 1
                if left < 0:
                    break
                rows.append(row)
            body["n"] = rows
        self.out.append((address, self.session(name).write(now, body)))
        self.counts["sent"] += 1
        self.counts["sent_bytes"] += len(self.out[-1][1])

    def session(self, name: str) -> Session:
        if name not in self.sessions:
            self.sessions[name] = Session(self.name, name, self.boot, self.keys)
        return self.sessions[name]

    def ask(
        self,
        now: float,
        unix: float,
        name: str,
        kind: str,
        more: Mapping[str, Any],
        on: tuple[str, Address, int] | None = None,
        news: bool = False,
    ) -> None:
        self.seq += 1
        self.open[self.seq] = Open(name, now, kind, on)
        while len(self.open) > MOST_OPEN:
            self.open.popitem(last=False)
        self.send(now, unix, name, {"q": self.seq} | dict(more), on[1] if on is not None else None, news)

    def ping(
        self,
        now: float,
        unix: float,
        name: str,
        kind: str = "ping",
        on: tuple[str, Address, int] | None = None,
    ) -> None:
        more: dict[str, Any] = {"k": "p"}
        if kind == "renew":
            more["l"] = [
                wire.term_written(self.lease.term),
                wire.term_written(self.lease.next) if self.lease.next is not None else None,
            ]
            if self.page is not None:
                more["d"] = list(self.page)
        self.ask(now, unix, name, kind, more, on, news=True)

    def ask_through(self, now: float, unix: float, helper: str) -> None:
        probe = self.members.probe
        record = self.members.others.get(probe.name) if probe is not None else None
        if record is not None:
            self.ask(now, unix, helper, "through", {"k": "r", "on": [record.name, record.host, record.port]})

    # Datagrams in.

    def take(self, now: float, unix: float, source: Address, datagram: bytes) -> None:
        self.counts["came"] += 1
        try:
            name = wire.name_of(datagram)
            if name == self.name and name not in self.sessions:
                raise Refused("own_name")
            self.read(now, unix, source, name, datagram)
        except Refused as fault:
            self.counts["drop_" + fault.reason] += 1
        self.changes()
        self.settle_names(now)

    def read(self, now: float, unix: float, source: Address, name: str, datagram: bytes) -> None:
        known = name in self.sessions
        if not known and name not in self.members.others and len(self.members.others) >= MOST_MEMBERS:
            raise Refused("full")
        session = self.sessions[name] if known else Session(self.name, name, self.boot, self.keys)
        try:
            if not known:
                session.open(datagram)  # nothing is kept for a name that nobody with a key has said
                self.sessions[name] = session
            body, asked = session.read(now, datagram)
        except Refused as fault:
            if fault.reason == "unproven":
                self.greet(now, source, session, datagram)
            raise
        if not body:
            self.greeting(now, unix, name, asked)
            return
        # All is read before anything counts.
        stamp, claims, standing = wire.stamp(body), wire.versions(body), wire.standing(body)
        news, page, kind = wire.records(body), wire.page(body), wire.text(body.get("k"), 2)
        apart = wire.whole(body.get("u"), 1 << 48) - unix - self.skew
        handler = self.HANDLERS.get(kind)
        if handler is None:
            raise Refused("kind")
        came = Came(now, unix, source, name, body)
        act = handler(self, came)
        if not self.hybrid.seen(unix, stamp):
            self.counts["stamp_ahead"] += 1
        if page is not None and (name not in self.heard or self.heard[name].page != page):
            self.told.append(
                Told(
                    "page",
                    {
                        "name": name,
                        "boot": f"{session.peer_boot:016x}",
                        "page": page[0],
                        "digest": page[1],
                        "records": page[2],
                    },
                )
            )
        before = self.heard[name].page if name in self.heard else None
        self.heard[name] = Heard(now, standing, page or before, apart)
        for clash in self.book.claim(name, claims):
            self.tell_once(f"clash {clash}", "clash", {"says": str(clash)})
        self.members.answered(now, name)
        for record in news:
            self.members.hear(now, record, name)
        self.wonder(came, session.peer_boot)
        act()

    def wonder(self, came: Came, boot: int) -> None:
        """The sender itself, where no news of it has come yet; and its table, where it is not like ours."""
        now, unix, source, name, body = came
        record = self.members.others.get(name)
        if record is None:
            self.members.hear(now, Record(name, *source, boot, 0, Life.ALIVE), name)
        prints = body.get("e")
        if (
            isinstance(prints, int)
            and prints != self.members.print()
            and not self.pulled_from
            and now >= self.next_pull
            and self.synced
            and not self.members.news
        ):
            self.next_pull = now + PULL_EVERY * self.terms.period
            self.start_pull(now, unix, name)

    def greet(self, now: float, source: Address, session: Session, datagram: bytes) -> None:
        if now - self.greeted_since >= 1000.0:
            self.greeted, self.greeted_since = 0, now
        if self.greeted < GREETINGS:
            self.greeted += 1
            self.out.append((source, session.greet(now, datagram)))

    def greeting(self, now: float, unix: float, name: str, asked: float | None) -> None:
        """It did not know our start, and does now: what it could not read is said again."""
        if asked is None:
            return
        again = [(seq, each) for seq, each in self.open.items() if each.to == name and each.sent >= asked]
        for seq, each in again[:4]:
            del self.open[seq]
            if each.kind in ("ping", "renew"):
                self.ping(now, unix, name, each.kind, each.on)
            elif each.kind == "pull" and self.pulled_from == name:
                self.ask(now, unix, name, "pull", {"k": "j", "i": self.pull_place})

    def answer_to(self, body: Mapping[str, Any], name: str, *kinds: str) -> Open | None:
        """Our question that this answers; None where it is not open any more."""
        seq = wire.whole(body.get("q"))
        found = self.open.get(seq)
        if found is None or found.to != name or found.kind not in kinds:
            return None
        del self.open[seq]
        return found

    # Each handler reads what its kind holds, and gives what is to be done once all has been read.

    def on_ping(self, came: Came) -> Act:
        now, unix, source, name, body = came
        seq = wire.whole(body.get("q"))
        terms: tuple[Term, Term | None] | None = None
        if "l" in body:
            row = wire.items(body["l"], 2, 2)
            terms = wire.term(row[0]), wire.term(row[1]) if row[1] is not None else None

        def act() -> None:
            more: dict[str, Any] = {"k": "a", "q": seq}
            boot = self.sessions[name].peer_boot
            if terms is not None:
                record = self.members.others.get(name)
                if record is not None and record.boot == boot and record.life is Life.GONE:
                    self.wards.refuse(name, boot)
                out = self.leaving or self.twin
                heard_of, granted = (0, False) if out else self.wards.ask(now, name, boot, *terms)
                more["g"] = [heard_of, int(granted)]
            self.send(now, unix, name, more, source)

        return act

    def on_ack(self, came: Came) -> Act:
        now, unix, source, name, body = came
        row = wire.items(body["g"], 2, 2) if "g" in body else None
        granted = (wire.whole(row[0]), wire.whole(row[1], 1) == 1) if row is not None else None
        found = self.answer_to(body, name, "ping", "renew", "relay")

        def act() -> None:
            if found is None:
                return
            if found.kind == "renew" and granted is not None:
                self.lease.answered(now, name, found.sent, *granted)
            if found.on is not None:
                to, address, seq = found.on
                self.send(now, unix, to, {"k": "y", "q": seq}, address)

        return act

    def on_through(self, came: Came) -> Act:
        now, unix, source, name, body = came
        seq, row = wire.whole(body.get("q")), wire.items(body.get("on"), 3, 3)
        whom, place = wire.text(row[0]), (wire.host(row[1]), wire.whole(row[2], 65535))

        def act() -> None:
            if whom not in (self.name, name):
                self.seq += 1
                self.open[self.seq] = Open(whom, now, "relay", (name, source, seq))
                self.send(now, unix, whom, {"k": "p", "q": self.seq}, place)
            self.send(now, unix, name, {"k": "n", "q": seq}, source, news=False)

        return act

    def on_nack(self, came: Came) -> Act:
        """The helper hears us: if no more comes, it is not we who are deaf."""
        now, unix, source, name, body = came
        seq = wire.whole(body.get("q"))
        found = self.open.get(seq)

        def act() -> None:
            if found is not None and found.to == name and found.kind == "through":
                self.members.nacked()

        return act

    def on_yes(self, came: Came) -> Act:
        """A helper has had an answer from the one that we could not reach."""
        now, unix, source, name, body = came
        found = self.answer_to(body, name, "through")

        def act() -> None:
            probe = self.members.probe
            if found is not None and probe is not None:
                self.members.answered(now, probe.name)

        return act

    def on_join(self, came: Came) -> Act:
        now, unix, source, name, body = came
        seq, place = wire.whole(body.get("q")), wire.whole(body.get("i"), 4096)

        def act() -> None:
            table = sorted(self.members.table())
            rows, more = list[list[Any]](), {"k": "J", "q": seq, "i": place, "of": len(table)}
            left = wire.room(self.name, self.body(unix, more)) - 16
            for record in table[place : place + wire.MOST_RECORDS]:
                row = wire.written(self.members.as_told(record))
                left -= len(str(row)) + 1
                if left < 0:
                    break
                rows.append(row)
            self.send(now, unix, name, more | {"n": rows}, source, news=False)

        return act

    def on_table(self, came: Came) -> Act:
        now, unix, source, name, body = came
        place, of = wire.whole(body.get("i"), 4096), wire.whole(body.get("of"), 4096)
        count = len(wire.items(body.get("n"), 0, wire.MOST_RECORDS))
        found = self.answer_to(body, name, "pull")

        def act() -> None:
            if found is None or name != self.pulled_from or place != self.pull_place:
                return
            self.pull_place += count
            if self.pull_place >= of or not count:
                self.pulled_from, self.synced = "", True
                return
            self.pull_due = now + PULL_AGAIN
            self.ask(now, unix, name, "pull", {"k": "j", "i": self.pull_place})

        return act

    def on_word(self, came: Came) -> Act:
        now, unix, source, name, body = came
        seq, who, boot = wire.whole(body.get("q")), wire.text(body.get("who")), wire.whole(body.get("boot"))

        def act() -> None:
            word = self.wards.word(now, who, boot)
            if word is not None:
                term, following, refused, left = word
                proposed = wire.term_written(following) if following is not None else None
                more = {
                    "k": "W",
                    "q": seq,
                    "who": who,
                    "boot": boot,
                    "r": int(refused),
                    "left": left,
                    "t": wire.term_written(term),
                    "f": proposed,
                }
                self.send(now, unix, name, more, source, news=False)

        return act

    def on_worded(self, came: Came) -> Act:
        now, unix, source, name, body = came
        who, boot = wire.text(body.get("who")), wire.whole(body.get("boot"))
        refused, left = wire.whole(body.get("r"), 1), wire.figure(body.get("left"))
        term = wire.term(body.get("t"))
        following = wire.term(body["f"]) if body.get("f") is not None else None
        found = self.answer_to(body, name, "word")

        def act() -> None:
            inquiry = self.inquiries.get(who)
            if found is None or inquiry is None or inquiry.boot != boot:
                return
            inquiry.word(now, found.sent, name, term, following, bool(refused), left)

        return act

    def on_fetch(self, came: Came) -> Act:
        now, unix, source, name, body = came
        seq, place = wire.whole(body.get("q")), wire.whole(body.get("i"), 4096)
        have, want = wire.version(body.get("have")), wire.version(body.get("want"))

        def act() -> None:
            piece = self.shelf.piece(now, have, want, place)
            if piece is not None:
                self.counts["pieces_served"] += 1
                more = {
                    "k": "F",
                    "q": seq,
                    "want": list(want),
                    "i": place,
                    "of": piece[0],
                    "b": base64.b64encode(piece[1]).decode(),
                }
                self.send(now, unix, name, more, source, news=False)

        return act

    def on_fetched(self, came: Came) -> Act:
        now, unix, source, name, body = came
        want, place = wire.version(body.get("want")), wire.whole(body.get("i"), 4096)
        of = wire.whole(body.get("of"), 4096)
        data = wire.text(body["b"], 1000) if body.get("b") else ""
        found = self.answer_to(body, name, "fetch")

        def act() -> None:
            step = self.fetch.came(now, name, want, place, of, data) if found is not None else None
            if isinstance(step, Ask):
                self.send_fetch(now, unix, step)
            elif step is not None:
                self.put_in_force(now, name, want, step)

        return act

    def put_in_force(self, now: float, name: str, want: Version, pieces: list[bytes]) -> None:
        """A whole list has come: it counts if it is what was claimed, and may be acted on."""
        try:
            rows = applied(self.rows, unpack(pieces))
            if any(len(row) != ROW for row in rows.values()) or list_digest(rows) != want.digest:
                raise Spoilt("not what was claimed")
        except (Spoilt, TypeError) as fault:
            self.fetch.fail(now, True)
            self.told.append(Told("bring_up_failed", {"from": name, "why": str(fault)}))
            return
        dropped = drops(self.rows, rows, READY)
        if dropped > self.one_drops and len(self.book.holders(Line.LIST, want)) < WITNESSES:
            self.fetch.refuse(now)
            self.told.append(
                Told("list_refused", {"from": name, "drops": round(dropped, 2), "list": str(want)})
            )
            return
        self.fetch.end(now, 0.0)
        if self.in_force(Line.LIST, want, rows, by_source=False):
            self.told.append(Told("brought_up", {"from": name, "list": str(want)}))
            self.bring(want, rows)

    HANDLERS: Mapping[str, Callable[[Fleet, Came], Act]] = {
        "p": on_ping,
        "a": on_ack,
        "r": on_through,
        "n": on_nack,
        "y": on_yes,
        "j": on_join,
        "J": on_table,
        "w": on_word,
        "W": on_worded,
        "f": on_fetch,
        "F": on_fetched,
    }
