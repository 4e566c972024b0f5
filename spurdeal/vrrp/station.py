"""VRRP, handover and tenure beside one dispatcher: datagrams and timers in, addresses and the rules' calls
out.

It decides nothing: `groups`, `handover` and `tenure` do. It is the link's Guard."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping, Sequence
from ipaddress import ip_address
from pathlib import Path
from typing import TYPE_CHECKING, Any

from twisted.internet.protocol import DatagramProtocol

from ..net.link import Answer, BrokenOff, Shed, Taken, at_most_once
from ..net.names import Seat
from ..net.service import Service
from . import advert
from .address import Announcer, Commands, Listener
from .advert import Address, Dropped
from .groups import Done, Groups, Tracked
from .handover import Facts, Handover, Verdict
from .machine import Act, Terms
from .marks import Door, Marks
from .sealed import Keys, Refused
from .tenure import Tenure

if TYPE_CHECKING:
    from ..settings.installation import FleetPart, HandoverPart, Installation

LARGEST_ADVERT = 8 + 16 * advert.MOST_ADDRESSES
GREETINGS = 20  # a second at most: an unproven datagram draws one answer, and a flood must not draw a flood


def keys_of(part: HandoverPart | FleetPart) -> Keys:
    """The keys, read; ValueError or OSError for a file that holds none."""
    return Keys(
        {
            key.id: bytes.fromhex(
                key.hex if key.hex is not None else Path(key.file or "").read_text("ascii").strip()
            )
            for key in part.keys
        }
    )


class Adverts(DatagramProtocol):
    """Advertisements of the peers, checked (RFC 9568, section 7.1) and counted by what they fail."""

    transport: Any

    def __init__(self, station: Station) -> None:
        self.station = station

    def datagramReceived(self, datagram: bytes, address: tuple[Any, ...]) -> None:
        self.station.advert_came(datagram, str(address[0]))


class Telling(DatagramProtocol):
    """Handover datagrams of the peers."""

    transport: Any

    def __init__(self, station: Station) -> None:
        self.station = station

    def datagramReceived(self, datagram: bytes, address: tuple[Any, ...]) -> None:
        self.station.handover_came(datagram, (str(address[0]), int(address[1])))


class Station:
    """One dispatcher among its peers. monotonic gives ms that run on while the process stands still."""

    def __init__(
        self,
        service: Service,
        plan: Installation,
        reactor: Any,
        monotonic: Callable[[], float],
        boot: int,
        log: logging.Logger,
    ) -> None:
        self.service, self.plan, self.reactor, self.monotonic = service, plan, reactor, monotonic
        self.link, self.counters, self.log = service.link, service.counters, log
        assert plan.vrrp is not None
        self.vrrp = plan.vrrp
        self.own: Address = self.vrrp.listen[0]
        now, site = monotonic(), service.configuration.site
        self.by_sender = {peer.adverts[0]: peer.name for peer in plan.peers}
        self.by_address = {(str(peer.handover[0]), peer.handover[1]): peer.name for peer in plan.peers}
        terms = [
            Terms(each.group, each.priority, each.interval, self.own, each.preempt, each.preempt_delay)
            for each in self.vrrp.groups
        ]
        self.groups = Groups(
            terms,
            {
                each.group: [Tracked(track.condition, track.lowers) for track in each.tracks]
                for each in self.vrrp.groups
            },
            self.vrrp.bundles,
        )
        self.addresses = {each.group: tuple(each.addresses) for each in self.vrrp.groups}
        self.accepting = {each.group: each.accept for each in self.vrrp.groups}
        self.tenure = Tenure(site.dispatchers, site.cold_window, plan.tenure.lease, now)
        self.parts = (1.0 / site.dispatchers, 1.0 / site.dispatchers)
        self.handover: Handover | None = None
        if plan.handover is not None:
            part = plan.handover
            self.handover = Handover(
                plan.name,
                [peer.name for peer in plan.peers],
                boot,
                keys_of(part),
                self.tenure,
                Marks(part.marks, part.keep),
                now,
                part.ahead,
                part.ahead_wait,
                part.alone_after if part.alone == "send" else None,
                self.vrrp.bar,
            )
        self.guarded = at_most_once(site)
        self.come_back = site.most_come_back
        self.holder = self.make_holder()
        self.adverts, self.telling = Adverts(self), Telling(self)
        self.going: dict[object, Callable[[bool | None], None]] = {}
        self.sent_cold: dict[int, list[tuple[float, float]]] = {}
        self.began, self.fresh, self.barred, self.stopping = now, False, True, False
        self.ticking: Any = None
        self.flushing = False
        self.shut_out: Callable[[], bool] = lambda: False  # by the fleet, where there is one
        self.greeted, self.greeted_since = 0, now
        self.ports: list[Any] = []

    def make_holder(self) -> Announcer | Listener | Commands:
        told = self.vrrp.holder
        if told.kind == "announce":
            return Announcer(
                self.reactor,
                (str(told.switch[0]), told.switch[1]),
                (self.service.configuration.host, self.service.configuration.port),
                self.counters,
            )
        if told.kind == "listen":
            return Listener(
                self.reactor,
                self.service.clients,
                told.port,
                self.service.clients.drain,
                self.counters,
                self.log,
            )
        return Commands(self.reactor, told.take, told.leave, told.within, self.counters, self.log)

    # Start and stop.

    def start(self) -> None:
        """Before the service takes anything: its list is seen through this from the first."""
        self.link.guard = self
        host, port = self.vrrp.listen
        self.ports.append(
            self.reactor.listenUDP(port, self.adverts, interface=str(host), maxPacketSize=LARGEST_ADVERT + 1)
        )
        sock = getattr(self.adverts.transport, "socket", None)
        if sock is not None and host.version == 4:
            import socket

            sock.setsockopt(socket.IPPROTO_IP, socket.IP_TTL, advert.TTL)
        if self.plan.handover is not None:
            host, port = self.plan.handover.listen
            self.ports.append(
                self.reactor.listenUDP(port, self.telling, interface=str(host), maxPacketSize=65535)
            )
        if isinstance(self.holder, Announcer):
            self.ports.append(self.reactor.listenUDP(0, self.holder, interface=str(self.own)))
        self.do(self.groups.start(self.monotonic(), barred=True))
        self.every()
        self.rearm()

    def stop(self) -> None:
        """A planned stop: resigns, leaves the addresses, and tells the peers what they need, until exit."""
        if not self.stopping:
            self.stopping = True
            self.do(self.groups.stop(self.monotonic()))
            self.tell_all()

    def read_again(self, plan: Installation) -> None:
        """SIGHUP: keys are in force at once, the rest at a start."""
        if self.handover is not None and plan.handover is not None:
            try:
                keys = keys_of(plan.handover)
            except (OSError, ValueError) as fault:
                self.kept(str(fault))
                return
            for session in self.handover.sessions.values():
                session.keys = keys
        later = plan.model_dump(exclude={"handover": {"keys"}}) != self.plan.model_dump(
            exclude={"handover": {"keys"}}
        )
        self.log.info("installation_read", extra={"figures": {"rest_at_a_start": later}})

    def kept(self, why: str) -> None:
        """A file that cannot be used leaves the old in force."""
        self.counters.add("installations_unusable")
        self.log.error("installation_kept", extra={"figures": {"why": why}})

    def recall(self, ends: Mapping[bytes, float]) -> None:
        """The ledger's ids with their ends in Unix ms: peers that have lost theirs get them from us."""
        if self.handover is not None:
            apart = self.monotonic() - self.link.clock()
            for ident, until in ends.items():
                self.handover.marks.recall(ident, until + apart)

    # Time.

    def every(self) -> None:
        """At each handover interval: conditions, the bar, and what the peers are told."""
        now = self.monotonic()
        self.reactor.callLater((self.plan.handover.every if self.plan.handover else 100.0) / 1000, self.every)
        self.look_at_list(now)
        if self.barred and self.may_lift(now):
            self.barred = False
            self.groups.lift()
            self.log.info(
                "bar_lifted", extra={"figures": {"after_ms": now - self.began, "fresh": self.fresh}}
            )
        if not self.stopping:
            self.do(self.groups.conditions(now, self.holding(now)))
        self.tell_all()
        self.rearm()

    def may_lift(self, now: float) -> bool:
        waited = now - self.began >= self.vrrp.bar
        return waited or (self.fresh and (self.handover is None or self.handover.complete(now)))

    def look_at_list(self, now: float) -> None:
        """The first answer of the name service since the start: engines' starts are known now."""
        if not self.fresh and self.service.names.answered_at > float("-inf"):
            self.fresh = True
            self.link.listed(self.link.seats)

    def holding(self, now: float) -> list[str]:
        unix = self.link.clock()
        stale = (self.reactor.seconds() - self.service.names.answered_at) * 1000 > self.vrrp.stale_after
        conditions = ["list_stale"] if stale and now - self.began > self.vrrp.stale_after else []
        if not any(engine.aside_until <= unix for engine in self.link.rules.ready):
            conditions.append("no_engine")
        if self.shut_out():
            conditions.append("shut_out")
        return conditions

    def rearm(self) -> None:
        if self.ticking is not None and self.ticking.active():
            self.ticking.cancel()
        due = self.groups.due
        if due != float("inf"):
            self.ticking = self.reactor.callLater(max(0.0, due - self.monotonic()) / 1000, self.tick)

    def tick(self) -> None:
        self.do(self.groups.tick(self.monotonic()))
        self.rearm()

    # Advertisements.

    def advert_came(self, datagram: bytes, sender: str) -> None:
        try:
            source = ip_address(sender)
            if source not in self.by_sender:
                raise Dropped("sender")
            group, priority, interval, addresses = advert.read(datagram, source, self.own)
            if group not in self.groups.machines:
                raise Dropped("group")
            if self.groups.machines[group].terms.priority == advert.OWNER and not self.barred:
                raise Dropped("owner")  # section 7.1: who owns the addresses listens to nobody
        except Dropped as fault:
            self.counters.add("vrrp_drop_" + fault.reason)
            return
        self.counters.add("vrrp_adverts")
        if set(addresses) != set(self.addresses[group]):
            self.counters.add("vrrp_addresses_differ")
        self.do(self.groups.heard(self.monotonic(), group, priority, interval, source))
        self.rearm()

    def do(self, done: Done) -> None:
        for group, act in done:
            machine = self.groups.machines[group]
            if act is Act.ADVERTISE:
                self.advertise(group, machine.priority)
            elif act is Act.RESIGN:
                self.advertise(group, advert.STOPPING)
            elif act is Act.HOLD:
                self.take(group, machine.why)
            else:
                self.holder.leave(group, self.addresses[group])
                self.counters.add("addresses_left")
                self.log.info("address_left", extra={"figures": {"group": group, "why": machine.why}})

    def advertise(self, group: int, priority: int) -> None:
        interval = self.groups.machines[group].terms.interval
        for peer in self.plan.peers:
            host, port = peer.adverts
            text = advert.write(group, priority, interval, self.addresses[group], self.own, host)
            try:
                self.adverts.transport.write(text, (str(host), port))
                self.counters.add("vrrp_sent")
            except OSError:
                self.counters.add("vrrp_not_sent")

    def take(self, group: int, why: str) -> None:
        if self.accepting[group]:
            self.holder.take(group, self.addresses[group])
        self.counters.add("addresses_taken")
        self.log.info(
            "address_taken",
            extra={
                "figures": {"group": group, "why": why, "part": f"{self.tenure.part(self.monotonic()):.2f}"}
            },
        )
        if self.handover is not None:
            for known in self.handover.known.values():
                for ident, left in known.aside:
                    if ident in self.link.places:
                        self.link.gather(self.link.rules.warned, self.link.place_of(ident), left)

    # Handover.

    def facts(self, now: float) -> Facts:
        unix, rules = self.link.clock(), self.link.rules
        cold, aside = [], []
        for ident, place in self.link.places.items():
            engine = rules.engines.get(place)
            if engine is None:
                continue
            if engine.warm_at > unix and ident in self.link.seats:
                sent = [row for row in self.sent_cold.get(place, ()) if row[0] > now - self.tenure.window]
                cold.append((ident, self.link.seats[ident].started, sum(work for _, work in sent)))
            if engine.aside_until > unix:
                aside.append((ident, engine.aside_until - unix))
        return Facts(self.service.names.number, self.groups.held(), cold, aside)

    def tell_all(self) -> None:
        if self.handover is None:
            return
        now = self.monotonic()
        idle = self.plan.tenure.on and (self.stopping or not self.groups.held())
        facts = self.facts(now)
        for peer in self.plan.peers:
            self.send(peer.name, self.handover.compose(now, peer.name, facts, idle))
        self.verdicts(self.handover.tick(now))

    def flush(self) -> None:
        """What waits for the peers' word goes out at once, all of one turn together."""
        self.flushing = False
        if self.handover is not None:
            now = self.monotonic()
            for peer in self.plan.peers:
                datagram = self.handover.compose_told(now, peer.name)
                if datagram is not None:
                    self.send(peer.name, datagram)
            self.verdicts(self.handover.tick(now))
            if self.handover.waiting:  # told again while it waits: the datagram or its answer may be lost
                self.flush_soon(self.handover.ahead_wait / 4)

    def flush_soon(self, delay: float = 0.0) -> None:
        if not self.flushing:
            self.flushing = True
            self.reactor.callLater(delay / 1000, self.flush)

    def send(self, peer: str, datagram: bytes) -> None:
        host, port = next(each.handover for each in self.plan.peers if each.name == peer)
        try:
            self.telling.transport.write(datagram, (str(host), port))
            self.counters.add("handover_sent")
        except OSError:
            self.counters.add("handover_not_sent")

    def handover_came(self, datagram: bytes, address: tuple[str, int]) -> None:
        peer = self.by_address.get(address)
        if peer is None or self.handover is None:
            self.counters.add("handover_drop_sender")
            return
        now = self.monotonic()
        try:
            verdicts = self.handover.take(now, peer, datagram)
        except Refused as fault:
            self.counters.add("handover_drop_" + fault.reason)
            if fault.reason == "unproven":
                self.greet(now, peer, datagram)
            return
        self.counters.add("handover_taken")
        self.verdicts(verdicts)
        if self.handover.replies[peer]:
            self.flush_soon()

    def greet(self, now: float, peer: str, datagram: bytes) -> None:
        assert self.handover is not None
        if now - self.greeted_since >= 1000.0:
            self.greeted, self.greeted_since = 0, now
        if self.greeted < GREETINGS:
            self.greeted += 1
            self.send(peer, self.handover.sessions[peer].greet(now, datagram))

    def verdicts(self, verdicts: Sequence[Verdict]) -> None:
        for token, go in verdicts:
            call = self.going.pop(token, None)
            if call is not None:
                ending = "sent" if go else "not_sent" if go is False else "ran_elsewhere"
                self.counters.add("ahead_" + ending)
                call(go)

    # The link's Guard.

    def turning(self, now: float) -> None:
        if self.plan.tenure.on and self.handover is not None:
            mono = self.monotonic()
            parts = self.tenure.part(mono), self.tenure.start(mono)
            if parts != self.parts:
                self.parts = parts
                self.link.rules.tenured(now, *parts)
                self.counters.add("tenure_changes")

    def door(self, kind: int, ident: bytes) -> Answer | None:
        if self.handover is None or not self.guarded[kind]:
            return None
        found = self.handover.door(self.monotonic(), ident.lower())
        if found is Door.OPEN:
            return None
        self.counters.add("door_" + found.value)
        return BrokenOff() if found is Door.RAN else Shed(self.come_back)

    def before(self, taken: Taken, trip: int, go: Callable[[bool | None], None]) -> bool:
        if self.handover is None or not self.guarded[taken.kind]:
            return True
        now, token = self.monotonic(), (taken.number, trip)
        expiry = now + max(0.0, taken.expiry - self.link.clock())
        verdict = self.handover.before(now, taken.ident.lower(), expiry, token)
        if verdict is not None and verdict.go:
            return True
        self.going[token] = go
        if verdict is None:
            self.flush_soon()
        else:
            self.reactor.callLater(0, self.verdicts, [verdict])
        return False

    def given_up(self, number: int, trip: int) -> None:
        self.going.pop((number, trip), None)
        if self.handover is not None:
            self.handover.give_up((number, trip))

    def answered(self, taken: Taken, answer: Answer | None) -> None:
        if self.handover is not None and self.guarded[taken.kind]:
            self.handover.over(taken.ident.lower(), isinstance(answer, Shed))

    def never_ran(self, taken: Taken) -> None:
        if self.handover is not None and self.guarded[taken.kind]:
            self.handover.over(taken.ident.lower(), never_ran=True)

    def called_off(self, taken: Taken, trip: int) -> None:
        """Nothing follows of it here."""

    def said(self, line: str) -> None:
        """Nothing follows of it here."""

    def turned(self) -> None:
        """Nothing follows of it here."""

    def departs(self, taken: Taken, trip: int, engine: int) -> bool:
        """May something go there now? A cold engine's budget may have been lent since the rules chose."""
        found = self.link.rules.engines.get(engine)
        if (
            found is None
            or found.warm_at <= self.link.clock()
            or not self.plan.tenure.on
            or self.handover is None
        ):
            return True
        now = self.monotonic()
        if self.tenure.part(now) <= 0.0:
            self.counters.add("cold_withheld")
            return False
        self.tenure.used(now)
        sent = self.sent_cold.setdefault(engine, [])
        sent[:] = [row for row in sent if row[0] > now - self.tenure.window]
        sent.append((now, 1.0))
        return True

    def seat(self, seat: Seat) -> Seat:
        """Until the list is known to be fresh, each engine may have been started anew, and counts as cold."""
        if not self.fresh and self.plan.tenure.on and self.monotonic() < self.began + self.vrrp.bar:
            return seat._replace(started=self.link.clock())
        told = [
            started
            for known in (self.handover.known.values() if self.handover else ())
            for ident, started, _ in known.cold
            if ident == seat.ident
        ]
        return seat._replace(started=max(seat.started, *told)) if told else seat
