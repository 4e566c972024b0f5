"""Connects a `Fleet` with one dispatcher: datagrams, timers, log, audit log, and a Guard of its adapter.

It decides nothing; `Fleet` does. The audit log has what was decided in a batch before any of it leaves: the
frame is written at the batch's end, and what the batch sends leaves in the reactor's next iteration.
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
from ..interface import Life as EngineLife
from ..net.datagram_reading import TolerantReading
from ..net.engine_list import Endpoint, NumberedList
from ..net.link import Answer, Delivered, Failed, Granted, Guard, OpenRequest, Shed, at_most_once
from ..net.service import Service
from ..vrrp.sealed import Keys
from .audit import COLD, DOUBTFUL, Kind
from .fleet import READY, TICK, Fleet, FleetEvent, FleetSettings
from .journal import Journal, JournalSettings
from .local_versions import configuration_version, keys_version, program_version, shared_settings
from .versions import Artifact, Row, Version, list_digest, rows_of

if TYPE_CHECKING:
    from ..settings.installation import FleetSection, Installation

MAX_UDP_DATAGRAM = 65_535
KINDS = {"standing": Kind.STANDING, "member": Kind.MEMBER, "page": Kind.WITNESS, "clash": Kind.CLASH}
ANSWERS = {Shed: Kind.SHED, Failed: Kind.BROKEN_OFF, Granted: Kind.GRANTED}
COUNT_EVERY = 500.0  # ms
UNLOGGED_EVENTS = ("page",)  # too frequent for the log


@dataclass(frozen=True)
class Clocks:
    """The clocks of a dispatcher, each in ms.

    Attributes:
        monotonic: Keeps running while the process is suspended.
        unix: Unix time without steps.
        raw: The system's Unix time.
    """

    monotonic: Callable[[], float]
    unix: Callable[[], float]
    raw: Callable[[], float]


@dataclass(frozen=True)
class StationSettings:
    """Contents of the operator's files: the plan, the fleet's keys, and the configuration's bytes."""

    plan: Installation
    keys: Keys
    configuration: bytes


class Datagrams(DatagramProtocol):
    """Receives the datagrams of other members."""

    transport: Any

    def __init__(self, station: FleetStation) -> None:
        self.station = station

    def datagramReceived(self, datagram: bytes, address: tuple[Any, ...]) -> None:
        """See DatagramProtocol."""
        self.station.datagram_received(datagram, (str(address[0]), int(address[1])))


class FleetStation:
    """The I/O of one dispatcher's `Fleet`: datagrams, timers, logs; also a Guard of its adapter."""

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
        section, site = plan.fleet, service.configuration.site
        self.guarded = at_most_once(site)  # by workload: whether its requests must run at most once
        self.retry_after, self.equal_share = site.max_retry_after, 1.0 / site.dispatchers
        self.inner: Guard | None = None
        self.fleet = self.make_fleet(plan.name, section, keys)
        self.datagrams = Datagrams(self)
        self.journal = self.make_journal(plan.name, section)
        self.next_seal, self.source_heard_at = self.monotonic(), float("-inf")
        self.next_count = self.monotonic()
        self.has_cold_share = True
        self.engine_ids: dict[int, str] = {}  # engine ids by place, as the audit log names them
        self.fleet.put_in_force(Artifact.CONFIGURATION, configuration_version(settings.configuration, plan))
        self.fleet.put_in_force(Artifact.PROGRAM, program_version())
        self.fleet.put_in_force(Artifact.KEYS, keys_version(keys))

    def make_fleet(self, name: str, section: FleetSection, keys: Keys) -> Fleet:
        """Create the member that the operator's file describes."""
        at = section.advertise or section.listen
        seeds = {seed.name: (str(seed.at[0]), seed.at[1]) for seed in section.seeds if seed.name != name}
        chance = random.Random(secrets.randbits(64))
        now, unix = self.monotonic(), self.unix()
        settings = FleetSettings(name, (str(at[0]), at[1]), seeds, shared_settings(section), keys)
        return Fleet(settings, chance, self.apply_peer_list, now, unix)

    def make_journal(self, name: str, section: FleetSection) -> Journal | None:
        """Open the audit log; None if the operator's file configures none."""
        if section.audit is None:
            return None
        return Journal(
            JournalSettings(Path(section.audit.path), name, self.fleet.boot, section.audit.bytes),
            lambda: self.fleet.hybrid.stamp(self.unix()),
            self.monotonic,
        )

    # Start and stop.

    def start(self) -> None:
        """Call before the service accepts requests, so that every list passes through here from the first."""
        assert self.plan.fleet is not None
        self.inner, self.adapter.guard = self.adapter.guard, self
        self.service.names.on_list = self.list_received
        self.service.names.on_unchanged = self.list_unchanged
        self.service.names.peers_share_lists = True
        self.service.clients.fleet = lambda: self.fleet.status(self.monotonic())
        self.put_list_in_force(self.service.names.number, self.service.endpoints, "start")
        host, port = self.plan.fleet.listen
        opened = self.reactor.listenUDP(
            port, self.datagrams, interface=str(host), maxPacketSize=MAX_UDP_DATAGRAM
        )
        TolerantReading(opened, self.reactor, self.counters, self.log, max_errors=None)
        if not self.fleet.allowed(self.monotonic()).at_most_once_or_cold:
            self.set_cold_share(False)
        self.tick()

    def stop(self) -> None:
        """Graceful shutdown: tell the other members."""
        self.fleet.leave(self.monotonic(), self.unix())
        self.send()

    def close(self) -> None:
        """Close the audit log."""
        if self.journal is not None:
            self.journal.close()

    def reload(self, configuration: bytes, plan: Installation, keys: Keys) -> None:
        """SIGHUP: use the new keys at once, and report the configuration in force to the others."""
        self.fleet.keys = keys
        for session in self.fleet.sessions.values():
            session.keys = keys
        self.fleet.put_in_force(Artifact.KEYS, keys_version(keys))
        self.fleet.put_in_force(Artifact.CONFIGURATION, configuration_version(configuration, plan))
        self.audit_versions("reload")

    def lowers_vrrp_priority(self) -> bool:
        """Whether the standing lowers our VRRP priority: all but CURRENT and BEHIND do."""
        return self.fleet.tracker.allowed.lowers_vrrp_priority

    # Versions.

    def list_received(self, endpoints: dict[str, Endpoint]) -> None:
        """The name service gave a newer list."""
        self.put_list_in_force(self.service.names.number, endpoints, "names")
        self.adapter.apply_list(endpoints)

    def list_unchanged(self, endpoints: dict[str, Endpoint]) -> None:
        """The name service gave a list with the number in force."""
        rows = rows_of(endpoints.values())
        if rows != self.fleet.rows:
            self.fleet.note_source_content(Version(0, self.service.names.number, list_digest(rows)))

    def put_list_in_force(self, number: int, endpoints: Mapping[str, Endpoint], by: str) -> None:
        """Put a list of the name service in force, and record it in the audit log."""
        rows = rows_of(endpoints.values())
        self.fleet.put_in_force(Artifact.LIST, Version(0, number, list_digest(rows)), rows)
        self.audit_versions(by)

    def apply_peer_list(self, version: Version, rows: Mapping[str, Row]) -> None:
        """Put a newer list in force that was fetched from a peer and checked."""
        endpoints = {
            ident: Endpoint(
                ident,
                str(row[1]),
                int(row[2]),
                str(row[3]),
                str(row[4]),
                int(row[5]),
                EngineLife(row[6]),
                float(row[7]),
                float(row[8]),
            )
            for ident, row in rows.items()
        }
        names = self.service.names
        names.adopt_list(NumberedList(max(names.number, version.number), endpoints))
        names.is_from_peer = True
        self.counters.add("lists_from_peers")
        self.audit_versions("peer")
        self.adapter.apply_list(endpoints)

    def audit_versions(self, by: str) -> None:
        """Record in the audit log which versions are in force, and from which source."""
        if self.journal is not None:
            versions_in_force = {
                artifact.name.lower(): str(version)
                for artifact, version in self.fleet.registry.in_force.items()
            }
            engines = {ident: row[6] for ident, row in self.fleet.rows.items()}
            self.journal.set_versions(versions_in_force | {"by": by, "engines": engines})

    # Timers and datagrams.

    def tick(self) -> None:
        """Do all that is due; repeats every TICK ms."""
        self.reactor.callLater(TICK / 1000, self.tick)
        now = self.monotonic()
        if self.service.names.answered_at != self.source_heard_at:
            self.source_heard_at = self.service.names.answered_at
            self.fleet.source_answered(now)
        self.fleet.system_time_offset = self.raw() - self.unix()
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
        self.process_output()

    def datagram_received(self, datagram: bytes, source: tuple[str, int]) -> None:
        """Handle a datagram."""
        self.fleet.receive(self.monotonic(), self.unix(), source, datagram)
        self.process_output()

    def process_output(self) -> None:
        """Send the fleet's datagrams, record its events, and follow a change of standing."""
        self.send()
        events, self.fleet.events = self.fleet.events, []
        for event in events:
            self.record_event(event)
        at_most_once_or_cold = self.fleet.tracker.allowed.at_most_once_or_cold
        if at_most_once_or_cold != self.has_cold_share:
            self.set_cold_share(at_most_once_or_cold)

    def send(self) -> None:
        """Send the datagrams that the fleet has queued."""
        out, self.fleet.out = self.fleet.out, []
        for address, datagram in out:
            try:
                self.datagrams.transport.write(datagram, address)
            except OSError:
                self.counters.add("fleet_not_sent")

    def record_event(self, event: FleetEvent) -> None:
        """Write an event to the log and the audit log."""
        if event.what not in UNLOGGED_EVENTS:
            self.log.info("fleet_" + event.what, extra={"figures": event.fields})
        if self.journal is not None:
            kind = KINDS.get(event.what, Kind.OTHER)
            fields = event.fields if kind is not Kind.OTHER else {"event": event.what} | event.fields
            self.journal.pages.add_json(kind, fields)
            if not self.adapter.in_batch:
                self.journal.write_pending()

    def set_cold_share(self, usable: bool) -> None:
        """Set our share of cold budgets: none without a lease, so that the rules choose no cold engine.

        Where VRRP's tenure sets the shares, it keeps doing so, and `allow_send` withholds the sends.
        """
        self.has_cold_share = usable
        if self.inner is None or self.plan.vrrp is None:
            self.adapter.enqueue(
                self.adapter.rules.capacity_shares_changed,
                self.equal_share if usable else 0.0,
                self.equal_share,
            )

    # The adapter's Guard.

    def batch_started(self, now: float) -> None:
        """See Guard."""
        if self.inner is not None:
            self.inner.batch_started(now)

    def immediate_answer(self, kind: int, ident: bytes) -> Answer | None:
        """Shed requests that must not be accepted in our standing."""
        allowed = self.fleet.allowed(self.monotonic())
        if not allowed.idempotent or (self.guarded[kind] and not allowed.at_most_once_or_cold):
            self.counters.add("fleet_shed")
            self.audit_request(Kind.SHED, ident)
            return Shed(self.retry_after)
        return self.inner.immediate_answer(kind, ident) if self.inner is not None else None

    def before_send(self, request: OpenRequest, attempt: int, go: Callable[[bool | None], None]) -> bool:
        """See Guard."""
        return self.inner.before_send(request, attempt, go) if self.inner is not None else True

    def attempt_abandoned(self, number: int, attempt: int) -> None:
        """See Guard."""
        if self.inner is not None:
            self.inner.attempt_abandoned(number, attempt)

    def answered(self, request: OpenRequest, answer: Answer | None) -> None:
        """Record the answer in the audit log, unless an attempt delivered it."""
        if not isinstance(answer, Delivered):
            self.audit_request(ANSWERS[type(answer)] if answer is not None else Kind.WITHDRAWN, request.ident)
        if self.inner is not None:
            self.inner.answered(request, answer)

    def never_ran(self, request: OpenRequest) -> None:
        """See Guard."""
        if self.inner is not None:
            self.inner.never_ran(request)

    def allow_send(self, request: OpenRequest, attempt: int, engine: int) -> bool:
        """Check at send time: the lease may have expired since the rules chose, for instance in a pause."""
        known_engine = self.adapter.rules.engines.get(engine)
        cold = known_engine is not None and known_engine.slow_start_until > self.adapter.clock()
        at_most_once_or_cold = cold or self.guarded[request.kind]
        allowed = self.fleet.allowed(self.monotonic())
        if not allowed.idempotent or (at_most_once_or_cold and not allowed.at_most_once_or_cold):
            self.counters.add("fleet_withheld")
            return False
        ident = self.engine_id(engine)
        row = self.fleet.rows.get(ident)
        if row is None or row[6] != READY:  # a newer list arrived in this batch, after the choice
            self.counters.add("fleet_overtaken")
            return False
        if self.inner is not None and not self.inner.allow_send(
            request, attempt, engine
        ):  # checked last: it counts the engine's budget as used
            return False
        if self.journal is not None:
            flags = COLD * cold | DOUBTFUL * self.guarded[request.kind]
            self.journal.pages.add_attempt(request.ident, attempt, ident, flags)
            if not self.adapter.in_batch:
                self.journal.write_pending()
        return True

    def engine_id(self, engine: int) -> str:
        """The id of the engine at that place."""
        if engine not in self.engine_ids:
            self.engine_ids = {place: ident for ident, place in self.adapter.index.indices.items()}
        return self.engine_ids.get(engine, str(engine))

    def attempt_cancelled(self, request: OpenRequest, attempt: int) -> None:
        """Record the cancellation in the audit log."""
        self.audit_request(Kind.CALLED_OFF, request.ident, attempt)
        if self.inner is not None:
            self.inner.attempt_cancelled(request, attempt)

    def rules_logged(self, line: str) -> None:
        """Record a line of the rules in the audit log."""
        if self.journal is not None:
            self.journal.pages.add_json(Kind.MODE, {"says": line})
        if self.inner is not None:
            self.inner.rules_logged(line)

    def batch_ended(self) -> None:
        """Write the batch's frame before anything of the batch leaves."""
        if self.journal is not None:
            self.journal.write_pending()
        if self.inner is not None:
            self.inner.batch_ended()

    def endpoint(self, endpoint: Endpoint) -> Endpoint:
        """See Guard."""
        return self.inner.endpoint(endpoint) if self.inner is not None else endpoint

    def audit_request(self, kind: Kind, ident: bytes, attempt: int = 0) -> None:
        """Record in the audit log what happened to a request; at once if no batch is running."""
        if self.journal is not None:
            self.journal.pages.add_event(kind, ident, attempt)
            if not self.adapter.in_batch:
                self.journal.write_pending()
