"""Emulated links between each two dispatchers, which lose, delay, repeat or cut datagrams per direction."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from twisted.internet.protocol import DatagramProtocol

from .emulated_links import HostPort

FLEET_PORT, RELAY_PORT = 7114, 7214  # ports of the dispatchers, and of their relay ports
MAX_DATAGRAM = 65_535


@dataclass(slots=True)
class Link:
    """One direction between two dispatchers: probabilities of loss and repetition, maximum delay in ms."""

    loss: float = 0.0
    repeat: float = 0.0
    delay: float = 0.0
    cut: bool = False


class RelayPort(DatagramProtocol):
    """The port to which all others send their datagrams for one dispatcher.

    They are forwarded from the relay port of the sender, so that a sender keeps one address.
    """

    transport: Any

    def __init__(self, mesh: LinkMesh, name: str) -> None:
        self.mesh, self.name = mesh, name

    def datagramReceived(self, datagram: bytes, address: Any) -> None:
        """Relay a datagram to this port's dispatcher."""
        self.mesh.relay(address[0], self.name, datagram)


class LinkMesh:
    """The links between all dispatchers, each of which advertises the address of its relay port."""

    def __init__(self, reactor: Any, chance: random.Random) -> None:
        self.reactor, self.chance = reactor, chance
        self.relays: dict[str, RelayPort] = {}
        self.hosts: dict[str, str] = {}
        self.links: dict[tuple[str, str], Link] = {}
        self.default_link = Link()
        self.seen = self.lost = self.bytes = 0

    def add(self, name: str, host: str) -> None:
        """Add a dispatcher: open its relay port on that host."""
        self.hosts[host] = name
        self.relays[name] = RelayPort(self, name)
        self.reactor.listenUDP(RELAY_PORT, self.relays[name], interface=host, maxPacketSize=MAX_DATAGRAM)

    def relay(self, host: str, to: str, datagram: bytes) -> None:
        """Deliver, delay, repeat or drop a datagram from `host` to a dispatcher."""
        sender = self.hosts.get(host)
        if sender is None:
            return
        self.seen += 1
        self.bytes += len(datagram)
        link = self.links.get((sender, to), self.default_link)
        if link.cut or self.chance.random() < link.loss:
            self.lost += 1
            return
        destination = next(each for each, name in self.hosts.items() if name == to), FLEET_PORT
        for _ in range(2 if self.chance.random() < link.repeat else 1):
            if link.delay:
                delay = link.delay * self.chance.random() / 1000
                self.reactor.callLater(delay, self.deliver, sender, datagram, destination)
            else:
                self.deliver(sender, datagram, destination)

    def deliver(self, sender: str, datagram: bytes, destination: HostPort) -> None:
        """Send a datagram on from its sender's relay port."""
        self.relays[sender].transport.write(datagram, destination)

    def cut(self, senders: Sequence[str], receivers: Sequence[str]) -> None:
        """Cut the links from senders to receivers, in this direction only."""
        for sender in senders:
            for receiver in receivers:
                if sender != receiver:
                    self.links[sender, receiver] = Link(cut=True)

    def heal(self) -> None:
        """Restore all links."""
        self.links.clear()
        self.default_link = Link()
