"""VRRP, handover and tenure beside one dispatcher, put together: start and stop, conditions, and the bar.

It decides nothing: `groups`, `handover` and `tenure` do.
"""

from __future__ import annotations

import socket
from collections.abc import Callable, Mapping
from ipaddress import IPv4Address
from typing import TYPE_CHECKING

from ..net.datagram_reading import TolerantReading
from ..net.service import Service
from . import advert
from .address import Announcer
from .advertising import Advertising, Callbacks
from .exchange import Exchange
from .guard import HandoverGuard
from .handover import Handover
from .setup import Runtime, keys_of, make_groups, make_handover, make_holder
from .tenure import Tenure

if TYPE_CHECKING:
    from ..settings.installation import Installation

__all__ = ["Runtime", "Station", "keys_of"]

LARGEST_ADVERT = 8 + 16 * advert.MOST_ADDRESSES
LARGEST_DATAGRAM = 65_535
LOOK_EVERY = 100.0  # ms between two looks at the conditions where there is no handover


class Station:
    """One dispatcher among its peers.

    Args:
        boot: Tells this start from earlier ones.

    Raises:
        OSError, ValueError: The handover's keys cannot be read.
    """

    def __init__(
        self,
        service: Service,
        plan: Installation,
        boot: int,
        runtime: Runtime,
    ) -> None:
        assert plan.vrrp is not None
        self.service, self.plan, self.adapter, self.vrrp = service, plan, service.adapter, plan.vrrp
        self.reactor, self.monotonic = runtime.reactor, runtime.monotonic
        self.counters, self.log = runtime.counters, runtime.log
        now, site = self.monotonic(), service.configuration.site
        self.began, self.fresh, self.barred, self.stopping = now, False, True, False
        self.shut_out: Callable[[], bool] = lambda: False  # by the fleet, where there is one
        self.groups = make_groups(self.vrrp)
        self.tenure = Tenure(site.dispatchers, site.cold_window, plan.tenure.lease, now)
        self.handover: Handover | None = make_handover(plan, boot, self.tenure, now)
        self.holder = make_holder(self.vrrp, service, self.reactor, self.log)
        self.exchange = Exchange(plan, self.handover, runtime)
        self.guard = HandoverGuard(service, self.exchange, self.tenure, plan.tenure.on, self.assumed_cold)
        self.advertising = Advertising(
            plan, self.groups, self.holder, runtime, Callbacks(self.taken, lambda: self.barred)
        )
        self.ports: list[object] = []

    @property
    def going(self) -> dict[object, Callable[[bool | None], None]]:
        """What waits for the peers' verdict."""
        return self.exchange.going

    def advert_came(self, datagram: bytes, sender: str) -> None:
        """An advertisement of a peer."""
        self.advertising.came(datagram, sender)

    def handover_came(self, datagram: bytes, address: tuple[str, int]) -> None:
        """A handover datagram of a peer."""
        self.exchange.came(datagram, address)

    # Start and stop.

    def start(self) -> None:
        """Before the service takes anything: its list is seen through this from the first."""
        self.adapter.guard = self.guard
        self.listen()
        self.advertising.do(self.groups.start(self.monotonic(), barred=True))
        self.every()
        self.advertising.rearm()

    def listen(self) -> None:
        """Take datagrams of the peers from here on."""
        host, port = self.vrrp.listen
        adverts = self.advertising.adverts
        self.ports.append(
            self.reactor.listenUDP(port, adverts, interface=str(host), maxPacketSize=LARGEST_ADVERT + 1)
        )
        sock = getattr(adverts.transport, "socket", None)
        if sock is not None and isinstance(host, IPv4Address):
            sock.setsockopt(socket.IPPROTO_IP, socket.IP_TTL, advert.TTL)
        if self.plan.handover is not None:
            host, port = self.plan.handover.listen
            telling = self.exchange.telling
            self.ports.append(
                self.reactor.listenUDP(port, telling, interface=str(host), maxPacketSize=LARGEST_DATAGRAM)
            )
        if isinstance(self.holder, Announcer):
            own = str(self.vrrp.listen[0])
            self.ports.append(self.reactor.listenUDP(0, self.holder, interface=own))
        for opened in self.ports:
            TolerantReading(opened, self.reactor, self.counters, self.log, max_errors=None)

    def stop(self) -> None:
        """A planned stop: resigns, leaves the addresses, and tells the peers what they need, until exit."""
        if not self.stopping:
            self.stopping = True
            self.advertising.do(self.groups.stop(self.monotonic()))
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
        before, after = (each.model_dump(exclude={"handover": {"keys"}}) for each in (self.plan, plan))
        self.log.info("installation_read", extra={"figures": {"rest_at_a_start": before != after}})

    def kept(self, why: str) -> None:
        """A file that cannot be used leaves the old in force."""
        self.counters.add("installations_unusable")
        self.log.error("installation_kept", extra={"figures": {"why": why}})

    def recall(self, ends: Mapping[bytes, float]) -> None:
        """Peers that have lost theirs get the ledger's ids from us.

        Args:
            ends: By id, until when it counts, in Unix ms.
        """
        if self.handover is not None:
            apart = self.monotonic() - self.adapter.clock()
            for ident, until in ends.items():
                self.handover.marks.recall(ident, until + apart)

    # Time.

    def every(self) -> None:
        """At each handover interval: conditions, the bar, and what the peers are told."""
        now = self.monotonic()
        interval = self.plan.handover.every if self.plan.handover else LOOK_EVERY
        self.reactor.callLater(interval / 1000, self.every)
        self.look_at_list()
        if self.barred and self.may_lift(now):
            self.lift(now)
        if not self.stopping:
            self.advertising.do(self.groups.conditions(now, self.holding(now)))
        self.tell_all()
        self.advertising.rearm()

    def may_lift(self, now: float) -> bool:
        """Whether the addresses may be taken back.

        The list and the peers' marks are known by then, or waited for long enough.
        """
        waited = now - self.began >= self.vrrp.bar
        return waited or (self.fresh and (self.handover is None or self.handover.complete(now)))

    def lift(self, now: float) -> None:
        """The addresses may be taken back from here on."""
        self.barred = False
        self.groups.lift()
        self.log.info("bar_lifted", extra={"figures": {"after_ms": now - self.began, "fresh": self.fresh}})

    def look_at_list(self) -> None:
        """The first answer of the name service since the start: engines' starts are known now."""
        if not self.fresh and self.service.names.answered_at > float("-inf"):
            self.fresh = True
            self.adapter.apply_list(self.adapter.endpoints)

    def assumed_cold(self) -> bool:
        """Whether each engine may have been started anew without our knowing."""
        unsure = not self.fresh and self.plan.tenure.on
        return unsure and self.monotonic() < self.began + self.vrrp.bar

    def holding(self, now: float) -> list[str]:
        """The conditions that hold now and lower priorities."""
        unix = self.adapter.clock()
        stale = (self.reactor.seconds() - self.service.names.answered_at) * 1000 > self.vrrp.stale_after
        conditions = ["list_stale"] if stale and now - self.began > self.vrrp.stale_after else []
        if not any(engine.aside_until <= unix for engine in self.adapter.rules.ready):
            conditions.append("no_engine")
        if self.shut_out():
            conditions.append("shut_out")
        return conditions

    # Peers.

    def taken(self, group: int, why: str) -> None:
        """We hold a group's addresses: engines that its last holder had set aside are suspect here too."""
        part = f"{self.tenure.part(self.monotonic()):.2f}"
        self.log.info("address_taken", extra={"figures": {"group": group, "why": why, "part": part}})
        if self.handover is None:
            return
        for known in self.handover.known.values():
            for ident, left in known.aside:
                if ident in self.adapter.index.places:
                    self.adapter.gather(
                        self.adapter.rules.engine_suspected, self.adapter.index.place_of(ident), left
                    )

    def tell_all(self) -> None:
        """Tell the peers how we are; our part of cold budgets may be lent while we hold nothing."""
        if self.handover is None:
            return
        held = self.groups.held()
        idle = self.plan.tenure.on and (self.stopping or not held)
        facts = self.guard.facts(self.monotonic(), self.service.names.number, held)
        self.exchange.tell_all(facts, idle)
