"""VRRP beside one dispatcher: advertisements and timers in, advertisements and addresses out.

It decides nothing: `groups` does.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from ipaddress import ip_address
from typing import TYPE_CHECKING, Any

from twisted.internet.protocol import DatagramProtocol

from ..eventloop import Timer
from . import advert
from .advert import Address, Advert, DroppedError
from .groups import Actions, Groups
from .machine import Action
from .setup import Holder, Runtime

if TYPE_CHECKING:
    from ..settings.installation import Installation


class AdvertProtocol(DatagramProtocol):
    """Datagrams of the peers' advertisements."""

    transport: Any

    def __init__(self, advertising: Advertising) -> None:
        self.advertising = advertising

    def datagramReceived(self, datagram: bytes, address: tuple[Any, ...]) -> None:
        """See DatagramProtocol."""
        self.advertising.on_datagram(datagram, str(address[0]))


@dataclass(frozen=True)
class Callbacks:
    """What the groups tell the dispatcher, and ask of it.

    Attributes:
        taken: Called with a group and why its addresses were taken, once they are.
        barred: Whether the dispatcher may not take addresses back yet.
    """

    taken: Callable[[int, str], None]
    awaiting_sync: Callable[[], bool]


class Advertising:
    """The dispatcher's VRRP groups on the network."""

    def __init__(
        self,
        plan: Installation,
        groups: Groups,
        holder: Holder,
        runtime: Runtime,
        callbacks: Callbacks,
    ) -> None:
        assert plan.vrrp is not None
        vrrp = plan.vrrp
        self.peers, self.groups, self.holder = plan.peers, groups, holder
        self.reactor, self.monotonic = runtime.reactor, runtime.monotonic
        self.counters, self.log = runtime.counters, runtime.log
        self.taken, self.awaiting_sync = callbacks.taken, callbacks.awaiting_sync
        self.own_address: Address = vrrp.listen[0]
        self.by_sender = {peer.adverts[0]: peer.name for peer in plan.peers}
        self.addresses = {each.group: tuple(each.addresses) for each in vrrp.groups}
        self.accepting = {each.group: each.accept for each in vrrp.groups}
        self.protocol = AdvertProtocol(self)
        self.timer: Timer | None = None

    def on_datagram(self, datagram: bytes, sender: str) -> None:
        """An advertisement, checked (RFC 9568, section 7.1) and counted by what it fails."""
        try:
            source = ip_address(sender)
            if source not in self.by_sender:
                raise DroppedError("sender")
            group, priority, interval, addresses = advert.read(datagram, source, self.own_address)
            if group not in self.groups.machines:
                raise DroppedError("group")
            if self.groups.machines[group].terms.priority == advert.OWNER and not self.awaiting_sync():
                raise DroppedError("owner")  # section 7.1: who owns the addresses listens to nobody
        except DroppedError as fault:
            self.counters.add("vrrp_drop_" + fault.reason)
            return
        self.counters.add("vrrp_adverts")
        if set(addresses) != set(self.addresses[group]):
            self.counters.add("vrrp_addresses_differ")
        self.perform(self.groups.advert_received(self.monotonic(), group, priority, interval, source))
        self.rearm()

    def rearm(self) -> None:
        """Set the timer to when the groups are due next."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        due = self.groups.due
        if due != float("inf"):
            self.timer = self.reactor.callLater(max(0.0, due - self.monotonic()) / 1000, self.tick)

    def tick(self) -> None:
        """The groups are due."""
        try:
            self.perform(self.groups.tick(self.monotonic()))
        finally:  # also after a fault: without a timer nobody would take over, nor advertise
            self.rearm()

    def perform(self, actions: Actions) -> None:
        """Carry out what the groups have decided."""
        for group, action in actions:
            machine = self.groups.machines[group]
            if action is Action.ADVERTISE:
                self.advertise(group, machine.priority)
            elif action is Action.RESIGN:
                self.advertise(group, advert.STOPPING)
            elif action is Action.TAKE:
                self.take(group, machine.why)
            else:
                self.leave(group, machine.why)

    def advertise(self, group: int, priority: int) -> None:
        """To each peer."""
        interval = self.groups.machines[group].terms.interval
        for peer in self.peers:
            host, port = peer.adverts
            message = Advert(group, priority, interval, self.addresses[group])
            text = advert.write(message, self.own_address, host)
            try:
                self.protocol.transport.write(text, (str(host), port))
                self.counters.add("vrrp_sent")
            except OSError:
                self.counters.add("vrrp_not_sent")

    def take(self, group: int, why: str) -> None:
        """Take the addresses of a group."""
        if self.accepting[group]:
            self.holder.take(group, self.addresses[group])
        self.counters.add("addresses_taken")
        self.taken(group, why)

    def leave(self, group: int, why: str) -> None:
        """Leave the addresses of a group."""
        self.holder.leave(group, self.addresses[group])
        self.counters.add("addresses_left")
        self.log.info("address_left", extra={"figures": {"group": group, "why": why}})
