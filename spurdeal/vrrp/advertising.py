"""Network side of VRRP: receives and sends advertisements, runs timers, takes and releases addresses.

The protocol decisions are made in `groups` and `machine`.
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
    """Receives the peers' advertisements."""

    transport: Any

    def __init__(self, advertising: Advertising) -> None:
        self.advertising = advertising

    def datagramReceived(self, datagram: bytes, address: tuple[Any, ...]) -> None:
        """See DatagramProtocol."""
        self.advertising.on_datagram(datagram, str(address[0]))


@dataclass(frozen=True)
class Callbacks:
    """Calls from the VRRP groups into the dispatcher.

    Attributes:
        taken: Called with a group and the reason once its addresses are taken.
        awaiting_sync: Whether the dispatcher still waits for its list and the peers' state after a start.
    """

    taken: Callable[[int, str], None]
    awaiting_sync: Callable[[], bool]


class Advertising:
    """Connects the dispatcher's VRRP groups to the network."""

    def __init__(
        self,
        installation: Installation,
        groups: Groups,
        holder: Holder,
        runtime: Runtime,
        callbacks: Callbacks,
    ) -> None:
        assert installation.vrrp is not None
        vrrp = installation.vrrp
        self.peers, self.groups, self.holder = installation.peers, groups, holder
        self.reactor, self.monotonic = runtime.reactor, runtime.monotonic
        self.counters, self.log = runtime.counters, runtime.log
        self.taken, self.awaiting_sync = callbacks.taken, callbacks.awaiting_sync
        self.own_address: Address = vrrp.listen[0]
        self.by_sender = {peer.adverts[0]: peer.name for peer in installation.peers}
        self.addresses = {each.group: tuple(each.addresses) for each in vrrp.groups}
        self.accepting = {each.group: each.accept for each in vrrp.groups}
        self.protocol = AdvertProtocol(self)
        self.timer: Timer | None = None

    def on_datagram(self, datagram: bytes, sender: str) -> None:
        """Process an advertisement; one that fails a check (RFC 9568, section 7.1) is counted and dropped."""
        try:
            source = ip_address(sender)
            if source not in self.by_sender:
                raise DroppedError("sender")
            group, priority, interval, addresses = advert.read(datagram, source, self.own_address)
            if group not in self.groups.machines:
                raise DroppedError("group")
            if self.groups.machines[group].settings.priority == advert.OWNER and not self.awaiting_sync():
                raise DroppedError("owner")  # section 7.1: the address owner drops advertisements
        except DroppedError as fault:
            self.counters.add("vrrp_drop_" + fault.reason)
            return
        self.counters.add("vrrp_adverts")
        if set(addresses) != set(self.addresses[group]):
            self.counters.add("vrrp_addresses_differ")
        self.perform(self.groups.advert_received(self.monotonic(), group, priority, interval, source))
        self.rearm()

    def rearm(self) -> None:
        """Set the timer to the next due time of the groups."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        due = self.groups.due
        if due != float("inf"):
            self.timer = self.reactor.callLater(max(0.0, due - self.monotonic()) / 1000, self.tick)

    def tick(self) -> None:
        """Run the timers of the groups that are due."""
        try:
            self.perform(self.groups.tick(self.monotonic()))
        finally:  # also after an exception: without a timer no takeover and no advertisement would follow
            self.rearm()

    def perform(self, actions: Actions) -> None:
        """Carry out the actions of the state machines, in order."""
        for group, action in actions:
            machine = self.groups.machines[group]
            if action is Action.ADVERTISE:
                self.advertise(group, machine.priority)
            elif action is Action.RESIGN:
                self.advertise(group, advert.STOPPING)
            elif action is Action.TAKE:
                self.take(group, machine.why)
            else:
                self.release(group, machine.why)

    def advertise(self, group: int, priority: int) -> None:
        """Send an advertisement of a group to each peer; send errors are counted."""
        interval = self.groups.machines[group].settings.interval
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
        """Take the addresses of a group and notify the dispatcher.

        Without `accept` the addresses are not passed to the holder.
        """
        if self.accepting[group]:
            self.holder.take(group, self.addresses[group])
        self.counters.add("addresses_taken")
        self.taken(group, why)

    def release(self, group: int, why: str) -> None:
        """Release the addresses of a group."""
        self.holder.release(group, self.addresses[group])
        self.counters.add("addresses_left")
        self.log.info("address_left", extra={"figures": {"group": group, "why": why}})
