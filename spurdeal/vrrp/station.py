"""VRRP, handover and budget shares of one dispatcher: start, stop, tracked conditions, initial sync.

The decisions are made in `groups`, `handover` and `budget_shares`.
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
from .budget_shares import BudgetShares
from .exchange import Exchange
from .guard import HandoverGuard
from .handover import Handover
from .setup import Runtime, keys_of, make_groups, make_handover, make_holder

if TYPE_CHECKING:
    from ..settings.installation import Installation

__all__ = ["Runtime", "Station", "keys_of"]

MAX_ADVERT_SIZE = 8 + 16 * advert.MAX_ADDRESSES  # bytes: header and IPv6 addresses
MAX_DATAGRAM_SIZE = 65_535  # bytes
CHECK_INTERVAL = 100.0  # ms between checks of the conditions without a handover


class Station:
    """The I/O side of one dispatcher's VRRP groups, handover and budget shares.

    After a start it awaits sync: until the list is fresh and the peers' records are here, or for `vrrp.bar`
    ms at most, it takes no address back by preemption.

    Args:
        service: The dispatcher's service.
        installation: The settings file; its `vrrp` section must be present.
        boot: Random number that distinguishes this start from earlier ones.
        runtime: Event loop, clock, counters and log.

    Raises:
        OSError: A key file of the handover cannot be read.
        ValueError: A key of the handover is invalid.
    """

    def __init__(
        self,
        service: Service,
        installation: Installation,
        boot: int,
        runtime: Runtime,
    ) -> None:
        assert installation.vrrp is not None
        self.service, self.installation, self.adapter, self.vrrp = (
            service,
            installation,
            service.adapter,
            installation.vrrp,
        )
        self.reactor, self.monotonic = runtime.reactor, runtime.monotonic
        self.counters, self.log = runtime.counters, runtime.log
        now, site = self.monotonic(), service.configuration.site
        self.started_at, self.list_fresh, self.awaiting_sync, self.stopping = now, False, True, False
        self.fleet_lowers_priority: Callable[[], bool] = lambda: (
            False
        )  # replaced if there is a fleet: any standing but CURRENT or BEHIND
        self.groups = make_groups(self.vrrp)
        self.budget_shares = BudgetShares(site.dispatchers, site.cold_window, installation.tenure.lease, now)
        self.handover: Handover | None = make_handover(installation, boot, self.budget_shares, now)
        self.holder = make_holder(self.vrrp, service, self.reactor, self.log)
        self.exchange = Exchange(installation, self.handover, runtime)
        self.guard = HandoverGuard(
            service, self.exchange, self.budget_shares, installation.tenure.on, self.assumed_cold
        )
        self.advertising = Advertising(
            installation,
            self.groups,
            self.holder,
            runtime,
            Callbacks(self.addresses_taken, lambda: self.awaiting_sync),
        )
        self.ports: list[object] = []

    @property
    def pending_callbacks(self) -> dict[object, Callable[[bool | None], None]]:
        """Sends that wait for the peers' verdict, by token."""
        return self.exchange.pending_callbacks

    def on_advert(self, datagram: bytes, sender: str) -> None:
        """Process an advertisement of a peer."""
        self.advertising.on_datagram(datagram, sender)

    def on_handover_datagram(self, datagram: bytes, address: tuple[str, int]) -> None:
        """Process a handover datagram of a peer."""
        self.exchange.on_datagram(datagram, address)

    # Start and stop.

    def start(self) -> None:
        """Start listening and the groups; to be called before the service accepts requests or a list."""
        self.adapter.guard = self.guard
        self.listen()
        self.advertising.perform(self.groups.start(self.monotonic(), awaiting_sync=True))
        self.run_periodic()
        self.advertising.rearm()

    def listen(self) -> None:
        """Open the sockets for the peers' datagrams."""
        host, port = self.vrrp.listen
        advert_protocol = self.advertising.protocol
        self.ports.append(
            self.reactor.listenUDP(
                port, advert_protocol, interface=str(host), maxPacketSize=MAX_ADVERT_SIZE + 1
            )
        )
        sock = getattr(advert_protocol.transport, "socket", None)
        if sock is not None and isinstance(host, IPv4Address):
            sock.setsockopt(socket.IPPROTO_IP, socket.IP_TTL, advert.TTL)
        if self.installation.handover is not None:
            host, port = self.installation.handover.listen
            handover_protocol = self.exchange.protocol
            self.ports.append(
                self.reactor.listenUDP(
                    port, handover_protocol, interface=str(host), maxPacketSize=MAX_DATAGRAM_SIZE
                )
            )
        if isinstance(self.holder, Announcer):
            own = str(self.vrrp.listen[0])
            self.ports.append(self.reactor.listenUDP(0, self.holder, interface=own))
        for opened in self.ports:
            TolerantReading(opened, self.reactor, self.counters, self.log, max_errors=None)

    def stop(self) -> None:
        """Begin a graceful shutdown: resign, release the addresses, inform the peers until exit."""
        if not self.stopping:
            self.stopping = True
            self.advertising.perform(self.groups.stop(self.monotonic()))
            self.send_state()

    def reload(self, installation: Installation) -> None:
        """Apply a settings file reread on SIGHUP: keys take effect at once, all else at the next start."""
        if self.handover is not None and installation.handover is not None:
            try:
                keys = keys_of(installation.handover)
            except (OSError, ValueError) as fault:
                self.reject_installation(str(fault))
                return
            for session in self.handover.sessions.values():
                session.keys = keys
        before, after = (
            each.model_dump(exclude={"handover": {"keys"}}) for each in (self.installation, installation)
        )
        self.log.info("installation_read", extra={"figures": {"rest_at_a_start": before != after}})

    def reject_installation(self, why: str) -> None:
        """Count and log a file that cannot be used; the old one stays in effect."""
        self.counters.add("installations_unusable")
        self.log.error("installation_kept", extra={"figures": {"why": why}})

    def restore_records(self, expirations: Mapping[bytes, float]) -> None:
        """Restore idempotency records from the ledger; peers without them get them from us.

        Args:
            expirations: When each record expires, in Unix ms, by request id.
        """
        if self.handover is not None:
            monotonic_minus_unix = self.monotonic() - self.adapter.clock()
            for ident, expires_at in expirations.items():
                self.handover.records.restore(ident, expires_at + monotonic_minus_unix)

    # Periodic work.

    def run_periodic(self) -> None:
        """Check the list, the initial sync and conditions, and inform the peers, at each interval."""
        now = self.monotonic()
        interval = self.installation.handover.every if self.installation.handover else CHECK_INTERVAL
        self.reactor.callLater(interval / 1000, self.run_periodic)
        self.check_list()
        if self.awaiting_sync and self.sync_wait_over(now):
            self.end_sync_wait(now)
        if not self.stopping:
            self.advertising.perform(self.groups.set_conditions(now, self.conditions_met(now)))
        self.send_state()
        self.advertising.rearm()

    def sync_wait_over(self, now: float) -> bool:
        """Return whether addresses may be taken back.

        That is once the list is fresh and the peers' records are here, or the wait has timed out.
        """
        waited = now - self.started_at >= self.vrrp.bar
        return waited or (self.list_fresh and (self.handover is None or self.handover.is_synchronized(now)))

    def end_sync_wait(self, now: float) -> None:
        """Allow addresses to be taken back."""
        self.awaiting_sync = False
        self.groups.end_sync_wait()
        self.log.info(
            "bar_lifted", extra={"figures": {"after_ms": now - self.started_at, "fresh": self.list_fresh}}
        )

    def check_list(self) -> None:
        """Note the first answer of the name service: from then on the engines' starts are known."""
        if not self.list_fresh and self.service.names.answered_at > float("-inf"):
            self.list_fresh = True
            self.adapter.apply_list(self.adapter.endpoints)

    def assumed_cold(self) -> bool:
        """Return whether each engine may have restarted without our knowledge."""
        unsure = not self.list_fresh and self.installation.tenure.on
        return unsure and self.monotonic() < self.started_at + self.vrrp.bar

    def conditions_met(self, now: float) -> list[str]:
        """Return the tracked conditions that hold now.

        "stopping" is never among them, although a group may track it: `stop` resigns all groups instead.
        """
        unix = self.adapter.clock()
        stale = (self.reactor.seconds() - self.service.names.answered_at) * 1000 > self.vrrp.stale_after
        conditions = ["list_stale"] if stale and now - self.started_at > self.vrrp.stale_after else []
        if not any(engine.ejected_until <= unix for engine in self.adapter.rules.ready):
            conditions.append("no_engine")
        if self.fleet_lowers_priority():
            conditions.append("shut_out")
        return conditions

    # Peers.

    def addresses_taken(self, group: int, why: str) -> None:
        """Log a takeover; engines that a peer had ejected count as suspect here too."""
        share = f"{self.budget_shares.share(self.monotonic()):.2f}"
        self.log.info("address_taken", extra={"figures": {"group": group, "why": why, "part": share}})
        if self.handover is None:
            return
        for known in self.handover.peer_states.values():
            for ident, left in known.ejected:
                if ident in self.adapter.index.indices:
                    self.adapter.enqueue(
                        self.adapter.rules.engine_suspected, self.adapter.index.index_of(ident), left
                    )

    def send_state(self) -> None:
        """Send our state to the peers; our budget share may be lent while we hold no address."""
        if self.handover is None:
            return
        held = self.groups.held()
        lendable = self.installation.tenure.on and (self.stopping or not held)
        dispatcher_state = self.guard.dispatcher_state(self.monotonic(), self.service.names.number, held)
        self.exchange.send_state(dispatcher_state, lendable)
