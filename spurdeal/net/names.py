"""The list of engines: what is known at the start, then what the name service answers."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping, Sequence
from ipaddress import IPv4Address
from typing import Any, NamedTuple

from twisted.internet.protocol import DatagramProtocol

from ..interface import Life
from . import dns
from .counters import Counters

SERVICE = "_api._tcp.svc.local"
ASK_EVERY = 0.2  # seconds; an answer lost is then made good well before changes count as told
MOST_OPEN = 32  # questions whose answer may still come
LIVES = {"SERVING": Life.READY, "DRAINING": Life.DRAINING, "DELETED": Life.GONE}
WEIGHT_SCALE = 10


class Seat(NamedTuple):
    """An engine as the list names it; started is 0 for long ago."""

    ident: str
    host: str
    port: int
    location: str
    kind: str
    cell: int
    life: Life
    weight: float
    started: float


def read_address(text: object) -> tuple[str, int]:
    host, colon, port = str(text).rpartition(":")
    if not colon or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is no address with a port")
    return str(IPv4Address(host)), int(port)


def known_seats(known: Mapping[str, Any]) -> tuple[int, dict[str, Seat]]:
    """The list that the numbered events of the start add up to, and the number of the last."""
    seats: dict[str, Seat] = {}
    last = int(known.get("no", 0))
    for item in sorted(known.get("items", []), key=lambda item: int(item["no"])):
        roster = item["roster"]
        if roster.get("reset"):
            seats.clear()
        for entry in roster["instances"]:
            host, port = read_address(entry["hostPort"])
            seat = Seat(
                str(entry["instanceId"]),
                host,
                port,
                str(entry["zone"]),
                str(entry["machineType"]),
                int(entry.get("cell", 0)),
                LIVES[entry["lifecycle"]],
                float(entry.get("weight", 1.0)),
                float(entry.get("startedAtMs", 0.0)),
            )
            seats[seat.ident] = seat
        last = max(last, int(item["no"]))
    return last, {ident: seat for ident, seat in seats.items() if seat.life != Life.GONE}


def answered_seats(
    services: Sequence[tuple[int, int, int, str]],
    addresses: Mapping[str, str],
    texts: Mapping[str, Sequence[str]],
) -> dict[str, Seat]:
    seats = {}
    for priority, weight, port, target in services:
        labels = dns.labels_of(target)
        owner = target.lower()
        if len(labels) < 2 or owner not in addresses:
            raise dns.BadDatagram(f"no address for {target}")
        told = dict(text.partition("=")[::2] for text in texts.get(owner, ()))
        try:
            seats[labels[0]] = Seat(
                labels[0],
                addresses[owner],
                port,
                labels[1],
                told["kind"],
                int(told.get("cell", 0)),
                Life.DRAINING if priority else Life.READY,
                weight / WEIGHT_SCALE,
                float(told.get("started", 0.0)),
            )
        except (KeyError, ValueError):
            raise dns.BadDatagram(f"no usable text for {target}") from None
    return seats


class NameService(DatagramProtocol):
    """Asks for the whole list again and again, and passes on each newer one."""

    transport: Any

    def __init__(
        self,
        reactor: Any,
        address: tuple[str, int],
        number: int,
        listed: Callable[[dict[str, Seat]], None],
        counters: Counters,
        log: logging.Logger,
    ) -> None:
        self.reactor, self.address, self.number, self.listed = reactor, address, number, listed
        self.counters, self.log = counters, log
        self.ident, self.open, self.asking = 0, dict[int, None](), None
        self.same: Callable[[dict[str, Seat]], None] | None = None  # who compares an answer without news
        self.heard_at = float("-inf")  # the reactor's seconds: when an answer last told of the list

    def startProtocol(self) -> None:
        self.ask()

    def stopProtocol(self) -> None:
        if self.asking is not None and self.asking.active():
            self.asking.cancel()
        self.asking = None

    def move(self, address: tuple[str, int]) -> None:
        """The name service is elsewhere now; the numbers of its events go on."""
        self.address = address
        self.stopProtocol()
        self.ask()

    def ask(self) -> None:
        self.ident = (self.ident + 1) & 0xFFFF
        self.open[self.ident] = None
        if len(self.open) > MOST_OPEN:
            del self.open[next(iter(self.open))]
        self.asking = self.reactor.callLater(ASK_EVERY, self.ask)
        try:
            self.transport.write(dns.question(self.ident, SERVICE, dns.SRV), self.address)
            self.counters.add("names_asked")
        except OSError:
            self.counters.add("names_not_sent")

    def datagramReceived(self, datagram: bytes, address: tuple[str, int]) -> None:
        if address[:2] != self.address or len(datagram) < 2:
            self.counters.add("names_foreign")
            return
        ident = int.from_bytes(datagram[:2], "big")
        try:
            answer = dns.read_answer(datagram, ident, SERVICE, dns.SRV) if ident in self.open else None
            if answer is None:
                self.counters.add("names_foreign")
                return
            self.open.pop(ident)
            serial, services, addresses, texts = answer
            if serial is None:
                raise dns.BadDatagram("no serial")
            self.counters.add("names_answered")
            self.heard_at = self.reactor.seconds()
            if serial < self.number or (serial == self.number and self.same is None):
                return  # no news, or an answer that others have overtaken
            seats = answered_seats(services, addresses, texts)
        except dns.BadDatagram as fault:
            self.counters.add("names_bad")
            self.log.warning("bad_datagram", extra={"figures": {"why": str(fault)}})
            return
        if serial == self.number:
            assert self.same is not None
            self.same(seats)
            return
        self.number = serial
        self.listed(seats)
