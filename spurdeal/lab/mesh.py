"""Cables between each two of many dispatchers, which can lose, delay, repeat or be cut, one way or both."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from twisted.internet.protocol import DatagramProtocol

from .cables import HostPort

FLEET_PORT, RELAY_PORT = 7114, 7214  # ports of the dispatchers, and of their plugs
LARGEST_DATAGRAM = 65_535


@dataclass(slots=True)
class Link:
    """One direction between two dispatchers. Shares, and ms at the most."""

    loss: float = 0.0
    repeat: float = 0.0
    delay: float = 0.0
    cut: bool = False


class Plug(DatagramProtocol):
    """Where all others send what is for one dispatcher; it goes on under the sender's own plug's address."""

    transport: Any

    def __init__(self, cables: LinkMesh, name: str) -> None:
        self.cables, self.name = cables, name

    def datagramReceived(self, datagram: bytes, address: Any) -> None:
        self.cables.carry(address[0], self.name, datagram)


class LinkMesh:
    """Between each two. A dispatcher advertises its plug's address, so that others send there."""

    def __init__(self, reactor: Any, chance: random.Random) -> None:
        self.reactor, self.chance = reactor, chance
        self.plugs: dict[str, Plug] = {}
        self.hosts: dict[str, str] = {}
        self.links: dict[tuple[str, str], Link] = {}
        self.default_link = Link()
        self.seen = self.lost = self.bytes = 0

    def add(self, name: str, host: str) -> None:
        """Another dispatcher: its plug on that host."""
        self.hosts[host] = name
        self.plugs[name] = Plug(self, name)
        self.reactor.listenUDP(RELAY_PORT, self.plugs[name], interface=host, maxPacketSize=LARGEST_DATAGRAM)

    def carry(self, host: str, to: str, datagram: bytes) -> None:
        """A datagram of `host` for that dispatcher: it arrives, late, twice, or not."""
        sender = self.hosts.get(host)
        if sender is None:
            return
        self.seen += 1
        self.bytes += len(datagram)
        link = self.links.get((sender, to), self.default_link)
        if link.cut or self.chance.random() < link.loss:
            self.lost += 1
            return
        place = next(each for each, name in self.hosts.items() if name == to), FLEET_PORT
        for _ in range(2 if self.chance.random() < link.repeat else 1):
            if link.delay:
                later = link.delay * self.chance.random() / 1000
                self.reactor.callLater(later, self.deliver, sender, datagram, place)
            else:
                self.deliver(sender, datagram, place)

    def deliver(self, sender: str, datagram: bytes, place: HostPort) -> None:
        """It arrives from its sender's plug."""
        self.plugs[sender].transport.write(datagram, place)

    def cut(self, senders: Sequence[str], receivers: Sequence[str]) -> None:
        """One way; call it twice for both."""
        for sender in senders:
            for receiver in receivers:
                if sender != receiver:
                    self.links[sender, receiver] = Link(cut=True)

    def heal(self) -> None:
        """All cables are whole."""
        self.links.clear()
        self.default_link = Link()
