"""Cables that lose, delay, repeat and cut datagrams one way, and a switch that learns where an address is."""

from __future__ import annotations

import json
import random
from typing import Any

from twisted.internet.protocol import DatagramProtocol

HostPort = tuple[str, int]


class End(DatagramProtocol):
    """One end of a cable: what arrives here leaves by the other, so that senders keep their addresses."""

    transport: Any

    def __init__(self, cable: LossyLink, beyond: HostPort) -> None:
        self.cable, self.beyond = cable, beyond  # beyond: who listens behind this end
        self.other: End
        self.cut = False

    def datagramReceived(self, datagram: bytes, address: Any) -> None:
        """From the far side, for who is behind this end."""
        cable = self.cable
        cable.seen += 1
        cable.last = datagram
        if self.cut or cable.chance.random() < cable.loss:
            cable.lost += 1
            return
        for _ in range(2 if cable.chance.random() < cable.repeat else 1):
            delay = cable.delay * cable.chance.random()
            cable.reactor.callLater(delay / 1000, self.other.transport.write, datagram, self.beyond)


class LossyLink:
    """Between two places. Each side sends to the other's end, which has the other's host and a port of
    ours."""

    def __init__(self, reactor: Any, one: HostPort, two: HostPort, shift: int, seed: int) -> None:
        self.reactor, self.chance = reactor, random.Random(seed)
        self.loss, self.repeat, self.delay = 0.0, 0.0, 0.0  # shares, and ms at the most
        self.seen = self.lost = 0
        self.last = b""
        self.one, self.two = End(self, one), End(self, two)
        self.one.other, self.two.other = self.two, self.one
        reactor.listenUDP(one[1] + shift, self.one, interface=one[0], maxPacketSize=65535)
        reactor.listenUDP(two[1] + shift, self.two, interface=two[0], maxPacketSize=65535)

    def inject(self, datagram: bytes) -> None:
        """To the second place, as if the first had said it."""
        self.one.transport.write(datagram, self.two.beyond)

    def cut(self, towards_one: bool, towards_two: bool) -> None:
        self.one.cut, self.two.cut = towards_one, towards_two


class Switch(DatagramProtocol):
    """Where each address is, by the last announcement, as a switch learns from gratuitous ARPs."""

    def __init__(self, clock: Any) -> None:
        self.clock = clock
        self.table: dict[str, HostPort] = {}
        self.moves: list[tuple[float, str, HostPort]] = []
        self.unreadable = 0

    def datagramReceived(self, datagram: bytes, address: Any) -> None:
        try:
            told = json.loads(datagram)
            place = (str(told["at"][0]), int(told["at"][1]))
            name = str(told["address"])
        except (ValueError, KeyError, TypeError, IndexError):
            self.unreadable += 1
            return
        if self.table.get(name) != place:
            self.table[name] = place
            self.moves.append((self.clock(), name, place))
