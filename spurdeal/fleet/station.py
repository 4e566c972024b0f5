"""The fleet beside one dispatcher: datagrams and timers in, and the link's Guard.

It decides nothing: `fleet` does. What was decided in a turn is in the audit before it leaves: the frame is
written at the turn's end, and what the turn has sent leaves with the reactor's next round.
"""

from __future__ import annotations

import logging
import random
import secrets
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

from twisted.internet.protocol import DatagramProtocol

from ..eventloop import DatagramLoop
from ..interface import Life
from ..net.datagram_reading import TolerantReading
from ..net.engine_list import Endpoint, KnownList
from ..net.link import Answer, Delivered, Failed, Granted, Guard, OpenRequest, Shed, at_most_once
from ..net.service import Service
from ..vrrp.sealed import Keys
from .audit import COLD, DOUBTFUL, Kind
from .fleet import READY, TICK, Fleet, FleetSettings, Told
from .journal import Journal, JournalSettings
from .local_versions import configured, keyed, program, terms_of
from .versions import Line, Row, Version, list_digest, rows_of

if TYPE_CHECKING:
    from ..settings.installation import FleetSection, Installation

LARGEST = 65_535
KINDS = {"standing": Kind.STANDING, "member": Kind.MEMBER, "page": Kind.WITNESS, "clash": Kind.CLASH}
ANSWERS = {Shed: Kind.SHED, Failed: Kind.BROKEN_OFF, Granted: Kind.GRANTED}
COUNT_EVERY = 500.0  # ms
QUIET = ("page",)  # told too often for the log lines


@dataclass(frozen=True)
class Clocks:
    """The clocks of a dispatcher, each in ms.

    Attributes:
        monotonic: It runs on while the process stands still.
        unix: Unix time that does not step.
        raw: The system's Unix time.
    """

    monotonic: Callable[[], float]
    unix: Callable[[], float]
    raw: Callable[[], float]


@dataclass(frozen=True)
class StationSettings:
    """What the operator's files say: the plan, the fleet's keys, and the configuration's bytes."""

    plan: Installation
    keys: Keys
    configuration: bytes


class Datagrams(DatagramProtocol):
    """What the others send."""

    transport: Any

    def __init__(self, station: FleetStation) -> None:
        self.station = station

    def datagramReceived(self, datagram: bytes, address: tuple[Any, ...]) -> None:
        """See DatagramProtocol."""
        self.station.came(datagram, (str(address[0]), int(address[1])))


class FleetStation:
    """One dispatcher among its fleet, and a Guard of its link."""

    def __init__(
        self,
        service: Service,
        settings: StationSettings,
        reactor: DatagramLoop,
        clocks: Clocks,
        log: logging.Logger,
    ) -> None:
        plan, keys = settings.plan, settings.keys
        assert plan.fleet is not None
        self.service, self.plan, self.reactor = service, plan, reactor
        self.monotonic, self.unix, self.raw, self.log = clocks.monotonic, clocks.unix, clocks.raw, log
        self.adapter, self.counters = service.adapter, service.counters
        part, site = plan.fleet, service.configuration.site
        self.guarded = at_most_once(site)
        self.retry_after, self.share = site.max_retry_after, 1.0 / site.dispatchers
        self.inner: Guard | None = None
        self.fleet = self.make_fleet(plan.name, part, keys)
        self.datagrams = Datagrams(self)
        self.journal = self.make_journal(plan.name, part)
        self.next_seal, self.heard_at = self.monotonic(), float("-inf")
        self.next_count = self.monotonic()
        self.parts = True
        self.idents: dict[int, str] = {}  # engines by place, as the audit names them
        self.fleet.in_force(Line.CONFIGURATION, configured(settings.configuration, plan))
        self.fleet.in_force(Line.PROGRAM, program())
        self.fleet.in_force(Line.KEYS, keyed(keys))

    def make_fleet(self, name: str, part: FleetSection, keys: Keys) -> Fleet:
        """The member that the operator's file describes."""
        at = part.advertise or part.listen
        seeds = {seed.name: (str(seed.at[0]), seed.at[1]) for seed in part.seeds if seed.name != name}
        chance = random.Random(secrets.randbits(64))
        now, unix = self.monotonic(), self.unix()
        settings = FleetSettings(name, (str(at[0]), at[1]), seeds, terms_of(part), keys)
        return Fleet(settings, chance, self.bring, now, unix)

    def make_journal(self, name: str, part: FleetSection) -> Journal | None:
        """The audit log; None where the file has none."""
        if part.audit is None:
            return None
        return Journal(
            JournalSettings(Path(part.audit.path), name, self.fleet.boot, part.audit.bytes),
            lambda: self.fleet.hybrid.stamp(self.unix()),
            self.monotonic,
        )

    # Start and stop.

    def start(self) -> None:
        """Before the service takes anything: its list is seen through this from the first."""
        assert self.plan.fleet is not None
        self.inner, self.adapter.guard = self.adapter.guard, self
        self.service.names.on_list = self.listed
        self.service.names.on_unchanged = self.same
        self.service.names.numbers_shared = True
        self.service.clients.fleet = lambda: self.fleet.status(self.monotonic())
        self.act_on(self.service.names.number, self.service.endpoints, "start")
        host, port = self.plan.fleet.listen
        opened = self.reactor.listenUDP(port, self.datagrams, interface=str(host), maxPacketSize=LARGEST)
        TolerantReading(opened, self.reactor, self.counters, self.log, most_errors=None)
        if not self.fleet.allowed(self.monotonic()).doubtful:
            self.tell_parts(False)
        self.tick()

    def stop(self) -> None:
        """A planned end: the others are told."""
        self.fleet.leave(self.monotonic(), self.unix())
        self.send()

    def close(self) -> None:
        """Close the audit log."""
        if self.journal is not None:
            self.journal.close()

    def read_again(self, configuration: bytes, plan: Installation, keys: Keys) -> None:
        """SIGHUP: keys are in force at once; which configuration is, the others are told."""
        self.fleet.keys = keys
        for session in self.fleet.sessions.values():
            session.keys = keys
        self.fleet.in_force(Line.KEYS, keyed(keys))
        self.fleet.in_force(Line.CONFIGURATION, configured(configuration, plan))
        self.acted_on("reload")

    def lowers(self) -> bool:
        """Of VRRP: the priority is lowered while the lease is not held."""
        return self.fleet.ladder.allowed.lowers

    # Versions.

    def listed(self, endpoints: dict[str, Endpoint]) -> None:
        """The name service has told a newer list."""
        self.act_on(self.service.names.number, endpoints, "names")
        self.adapter.apply_list(endpoints)

    def same(self, endpoints: dict[str, Endpoint]) -> None:
        """The name service has told the number that is in force."""
        rows = rows_of(endpoints.values())
        if rows != self.fleet.rows:
            self.fleet.source_says(Version(0, self.service.names.number, list_digest(rows)))

    def act_on(self, number: int, endpoints: Mapping[str, Endpoint], by: str) -> None:
        """Put a list of the name service in force, and note it in the audit."""
        rows = rows_of(endpoints.values())
        self.fleet.in_force(Line.LIST, Version(0, number, list_digest(rows)), rows)
        self.acted_on(by)

    def bring(self, version: Version, rows: Mapping[str, Row]) -> None:
        """A peer has handed over a newer list; it was checked."""
        endpoints = {
            ident: Endpoint(
                ident,
                str(row[1]),
                int(row[2]),
                str(row[3]),
                str(row[4]),
                int(row[5]),
                Life(row[6]),
                float(row[7]),
                float(row[8]),
            )
            for ident, row in rows.items()
        }
        names = self.service.names
        names.take_known(KnownList(max(names.number, version.number), endpoints))
        names.is_brought = True
        self.counters.add("lists_from_peers")
        self.acted_on("peer")
        self.adapter.apply_list(endpoints)

    def acted_on(self, by: str) -> None:
        """Note in the audit which versions are in force, and by whose word."""
        if self.journal is not None:
            force = {line.name.lower(): str(version) for line, version in self.fleet.book.force.items()}
            engines = {ident: row[6] for ident, row in self.fleet.rows.items()}
            self.journal.act_on(force | {"by": by, "engines": engines})

    # Time and datagrams.

    def tick(self) -> None:
        """All that is due by now; repeats every TICK ms."""
        self.reactor.callLater(TICK / 1000, self.tick)
        now = self.monotonic()
        if self.service.names.answered_at != self.heard_at:
            self.heard_at = self.service.names.answered_at
            self.fleet.source_answered(now)
        self.fleet.skew = self.raw() - self.unix()
        self.fleet.tick(now, self.unix())
        if now >= self.next_count:
            self.next_count = now + COUNT_EVERY
            for name, count in self.fleet.counts.items():
                self.counters.sums["fleet_" + name] = count
        if (
            self.journal is not None
            and self.plan.fleet is not None
            and self.plan.fleet.audit is not None
            and now >= self.next_seal
        ):
            self.next_seal = now + self.plan.fleet.audit.page
            self.fleet.page = self.journal.seal() or self.fleet.page
            for name in ("torn", "lost", "failures", "dropped", "broken", "written"):
                self.counters.sums["audit_" + name] = getattr(self.journal, name)
        self.after()

    def came(self, datagram: bytes, source: tuple[str, int]) -> None:
        """A datagram has come."""
        self.fleet.take(self.monotonic(), self.unix(), source, datagram)
        self.after()

    def after(self) -> None:
        """What the fleet has to send and to tell."""
        self.send()
        told, self.fleet.told = self.fleet.told, []
        for each in told:
            self.tell(each)
        doubtful = self.fleet.ladder.allowed.doubtful
        if doubtful != self.parts:
            self.tell_parts(doubtful)

    def send(self) -> None:
        """Send the datagrams that the fleet has queued."""
        out, self.fleet.out = self.fleet.out, []
        for address, datagram in out:
            try:
                self.datagrams.transport.write(datagram, address)
            except OSError:
                self.counters.add("fleet_not_sent")

    def tell(self, told: Told) -> None:
        """Write an event to the log and the audit."""
        if told.what not in QUIET:
            self.log.info("fleet_" + told.what, extra={"figures": told.figures})
        if self.journal is not None:
            kind = KINDS.get(told.what, Kind.OTHER)
            figures = told.figures if kind is not Kind.OTHER else {"event": told.what} | told.figures
            self.journal.pages.tell(kind, figures)
            if not self.adapter.in_batch:
                self.journal.flush()

    def tell_parts(self, doubtful: bool) -> None:
        """Set our part of cold budgets: nothing without a lease, so that the rules choose no cold engine.

        Where VRRP's tenure says the parts, it goes on to, and `departs` withholds.
        """
        self.parts = doubtful
        if self.inner is None or self.plan.vrrp is None:
            self.adapter.gather(
                self.adapter.rules.capacity_shares_changed, self.share if doubtful else 0.0, self.share
            )

    # The link's Guard.

    def batch_started(self, now: float) -> None:
        """See Guard."""
        if self.inner is not None:
            self.inner.batch_started(now)

    def door(self, kind: int, ident: bytes) -> Answer | None:
        """Shed what may not be taken in our standing."""
        allowed = self.fleet.allowed(self.monotonic())
        if not allowed.idempotent or (self.guarded[kind] and not allowed.doubtful):
            self.counters.add("fleet_shed")
            self.short(Kind.SHED, ident)
            return Shed(self.retry_after)
        return self.inner.door(kind, ident) if self.inner is not None else None

    def before(self, request: OpenRequest, attempt: int, go: Callable[[bool | None], None]) -> bool:
        """See Guard."""
        return self.inner.before(request, attempt, go) if self.inner is not None else True

    def given_up(self, number: int, attempt: int) -> None:
        """See Guard."""
        if self.inner is not None:
            self.inner.given_up(number, attempt)

    def answered(self, request: OpenRequest, answer: Answer | None) -> None:
        """Note the answer in the audit, unless an attempt brought it."""
        if not isinstance(answer, Delivered):
            self.short(ANSWERS[type(answer)] if answer is not None else Kind.WITHDRAWN, request.ident)
        if self.inner is not None:
            self.inner.answered(request, answer)

    def never_ran(self, request: OpenRequest) -> None:
        """See Guard."""
        if self.inner is not None:
            self.inner.never_ran(request)

    def departs(self, request: OpenRequest, attempt: int, engine: int) -> bool:
        """The last look before a send: the lease may have run out since the rules chose, also in a pause."""
        found = self.adapter.rules.engines.get(engine)
        cold = found is not None and found.warm_at > self.adapter.clock()
        doubtful = cold or self.guarded[request.kind]
        allowed = self.fleet.allowed(self.monotonic())
        if not allowed.idempotent or (doubtful and not allowed.doubtful):
            self.counters.add("fleet_withheld")
            return False
        ident = self.ident_of(engine)
        row = self.fleet.rows.get(ident)
        if row is None or row[6] != READY:  # a newer list came between the choice and this, in one turn
            self.counters.add("fleet_overtaken")
            return False
        if self.inner is not None and not self.inner.departs(
            request, attempt, engine
        ):  # last: it counts as used
            return False
        if self.journal is not None:
            flags = COLD * cold | DOUBTFUL * self.guarded[request.kind]
            self.journal.pages.sent(request.ident, attempt, ident, flags)
            if not self.adapter.in_batch:
                self.journal.flush()
        return True

    def ident_of(self, engine: int) -> str:
        """The id of the engine at that place."""
        if engine not in self.idents:
            self.idents = {place: ident for ident, place in self.adapter.index.places.items()}
        return self.idents.get(engine, str(engine))

    def attempt_cancelled(self, request: OpenRequest, attempt: int) -> None:
        """Note it in the audit."""
        self.short(Kind.CALLED_OFF, request.ident, attempt)
        if self.inner is not None:
            self.inner.attempt_cancelled(request, attempt)

    def said(self, line: str) -> None:
        """Note it in the audit."""
        if self.journal is not None:
            self.journal.pages.tell(Kind.MODE, {"says": line})
        if self.inner is not None:
            self.inner.said(line)

    def batch_ended(self) -> None:
        """Write the turn's frame before anything of it leaves."""
        if self.journal is not None:
            self.journal.flush()
        if self.inner is not None:
            self.inner.batch_ended()

    def endpoint(self, endpoint: Endpoint) -> Endpoint:
        """See Guard."""
        return self.inner.endpoint(endpoint) if self.inner is not None else endpoint

    def short(self, kind: Kind, ident: bytes, attempt: int = 0) -> None:
        """Note in the audit what happened to a request, at once when no turn is under way."""
        if self.journal is not None:
            self.journal.pages.short(kind, ident, attempt)
            if not self.adapter.in_batch:
                self.journal.flush()
