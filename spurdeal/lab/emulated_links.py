"""Emulated links that lose, delay, repeat or cut datagrams by direction, and a switch that learns."""

from __future__ import annotations

import json
import random
from typing import Any

from twisted.internet.protocol import DatagramProtocol

HostPort = tuple[str, int]


class LinkEnd(DatagramProtocol):
    """One end of a link: datagrams received here are sent from the opposite end, under a stable address."""

    transport: Any

    def __init__(self, link: LossyLink, destination: HostPort) -> None:
        self.link, self.destination = link, destination  # where what arrives here is sent on to
        self.opposite: LinkEnd
        self.cut = False

    def datagramReceived(self, datagram: bytes, address: Any) -> None:
        """Forward, delay, repeat or drop a datagram."""
        link = self.link
        link.seen += 1
        link.last = datagram
        if self.cut or link.chance.random() < link.loss:
            link.lost += 1
            return
        for _ in range(2 if link.chance.random() < link.repeat else 1):
            delay = link.delay * link.chance.random()
            link.reactor.callLater(delay / 1000, self.opposite.transport.write, datagram, self.destination)


class LossyLink:
    """A link between two addresses.

    Each side sends to the other's end of the link, on the other's host, its port shifted by `shift`.
    """

    def __init__(self, reactor: Any, one: HostPort, two: HostPort, shift: int, seed: int) -> None:
        self.reactor, self.chance = reactor, random.Random(seed)
        self.loss, self.repeat, self.delay = 0.0, 0.0, 0.0  # probabilities, and maximum in ms
        self.seen = self.lost = 0
        self.last = b""
        self.one, self.two = LinkEnd(self, one), LinkEnd(self, two)
        self.one.opposite, self.two.opposite = self.two, self.one
        reactor.listenUDP(one[1] + shift, self.one, interface=one[0], maxPacketSize=65535)
        reactor.listenUDP(two[1] + shift, self.two, interface=two[0], maxPacketSize=65535)

    def inject(self, datagram: bytes) -> None:
        """Send a datagram to the second side as if it came from the first."""
        self.one.transport.write(datagram, self.two.destination)

    def cut(self, towards_one: bool, towards_two: bool) -> None:
        """Cut or restore each direction."""
        self.one.cut, self.two.cut = towards_one, towards_two


class Switch(DatagramProtocol):
    """Learns the location of each address from announcements, as a switch does from gratuitous ARP."""

    def __init__(self, clock: Any) -> None:
        self.clock = clock
        self.table: dict[str, HostPort] = {}
        self.moves: list[tuple[float, str, HostPort]] = []
        self.unreadable = 0

    def datagramReceived(self, datagram: bytes, address: Any) -> None:
        """Update the table from an announcement; count those that cannot be read."""
        try:
            announcement = json.loads(datagram)
            location = (str(announcement["at"][0]), int(announcement["at"][1]))
            name = str(announcement["address"])
        except (ValueError, KeyError, TypeError, IndexError):
            self.unreadable += 1
            return
        if self.table.get(name) != location:
            self.table[name] = location
            self.moves.append((self.clock(), name, location))
