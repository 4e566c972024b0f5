"""Two dispatchers with VRRP on in-memory transports and one clock; a test can drop their datagrams."""

import io
import json
import unittest
from collections.abc import Callable
from typing import Any, cast

from spurdeal.lab.names import Endpoint, NameServer
from spurdeal.net.link import Answer
from spurdeal.net.logs import logger
from spurdeal.net.start import Service, read_configuration
from spurdeal.settings.reading import read_text
from spurdeal.vrrp.station import Runtime, Station
from tests.helpers import BASE, DatagramPort, Peer, Reactor, configuration

PLAN = """
name: {name}
peers: [{{name: {other}, adverts: "{far}:7112", handover: "{far}:7113"}}]
vrrp:
  listen: {host}:7112
  groups: [{{group: 1, priority: {priority}, interval: {interval}, addresses: [127.0.7.1],
             tracks: [{{condition: list_stale, lowers: 150}}, {{condition: no_engine, lowers: 150}}]}}]
  holder: {{kind: announce, switch: "127.0.8.9:5400"}}
  bar: 3s
handover: {{listen: "{host}:7113", keys: [{{id: 1, hex: {key}}}], every: 50ms, ahead: true, ahead_wait: 40ms,
           alone: refuse}}
tenure: {{lease: 500ms}}
"""
KEY = "5f" * 16
HOSTS = {"n1": "127.0.8.1", "n2": "127.0.8.2"}


class Ether(Reactor):
    """Delivers datagrams between protocols in the reactor's next iteration, unless a test drops them."""

    def __init__(self) -> None:
        super().__init__(None)
        self.bound: dict[tuple[str, int], Any] = {}
        self.drops: Callable[[tuple[str, int], tuple[str, int]], bool] = lambda source, target: False
        self.announced: list[dict[str, Any]] = []
        self.carried: list[tuple[tuple[str, int], tuple[str, int], bytes]] = []

    def listenUDP(self, port: int, protocol: Any, interface: str, maxPacketSize: int = 8192) -> Any:
        place = (interface, port or 40_000 + len(self.bound))
        self.bound[place] = protocol
        protocol.makeConnection(Wire(self, place, protocol))
        return DatagramPort()

    def carry(self, source: tuple[str, int], target: tuple[str, int], datagram: bytes) -> None:
        if target == ("127.0.8.9", 5400):
            self.announced.append(json.loads(datagram))
        elif target in self.bound and not self.drops(source, target):
            self.carried.append((source, target, datagram))
            self.callLater(
                0, lambda: target in self.bound and self.bound[target].datagramReceived(datagram, source)
            )


class Wire:
    def __init__(self, ether: Ether, place: tuple[str, int], owner: object) -> None:
        self.ether, self.place, self.owner = ether, place, owner

    def getHandle(self) -> "Wire":
        return self

    def write(self, datagram: bytes, address: tuple[str, int]) -> None:
        if self.ether.bound.get(self.place) is self.owner:  # otherwise its process was killed
            self.ether.carry(self.place, address, datagram)

    sendto = write  # the socket's method; the wire is its own handle


class Side:
    """One start of one dispatcher."""

    def __init__(self, pair: "Pair", name: str, boot: int) -> None:
        self.pair, self.name, self.log = pair, name, io.StringIO()
        other = "n2" if name == "n1" else "n1"
        told = read_configuration(
            json.dumps(
                configuration(
                    0,
                    name=name,
                    listen=f"{HOSTS[name]}:7001",
                    known=pair.known,
                    nameserver="127.0.8.9:5300",
                    settings=pair.settings,
                )
            )
        )
        text = pair.plan.format(
            name=name,
            other=other,
            host=HOSTS[name],
            far=HOSTS[other],
            key=KEY,
            priority=pair.priorities[name],
            interval=pair.intervals[name],
        )
        self.plan = read_text("plan", text.encode())
        self.service = Service(told, pair.ether, pair.unix, logger(name, self.log), lambda: None)
        runtime = Runtime(cast(Any, pair.ether), pair.mono, self.service.counters, self.service.log)
        self.station = Station(self.service, self.plan, boot, runtime)
        self.station.start()
        self.service.start()

    def holds(self) -> bool:
        return bool(self.station.groups.held())

    def kill(self) -> None:
        """Remove its sockets; its timers run on, but what they write is lost."""
        for place in [place for place in self.pair.ether.bound if place[0] == HOSTS[self.name]]:
            del self.pair.ether.bound[place]
        self.pair.dead.add(HOSTS[self.name])

    def submit(self, ident: bytes, kind: int = 1) -> list[Answer]:
        answers: list[Answer] = []
        call = self.service.adapter.accept_request(
            ident, b"load" if kind else b"lookup", kind, 5000, 20.0, 0.0, -1, b"x"
        )
        assert call is not None
        call.addCallbacks(answers.append, lambda _: None)
        return answers

    def count(self, name: str) -> int:
        return self.service.counters.sums[name]


class Pair:
    def __init__(self, case: unittest.TestCase, cold: bool = False, **more: Any) -> None:
        self.ether, self.settings = Ether(), configuration()["settings"] | {"balancers": 2}
        self.priorities = {"n1": 200, "n2": 100} | more.get("priorities", {})
        self.intervals = {"n1": "100ms", "n2": "100ms"} | more.get("intervals", {})
        self.plan = more.get("plan", PLAN)
        self.names = NameServer([Endpoint(f"s-{number}", f"127.0.9.{number}", 7001) for number in range(3)])
        self.known, self.dead, self.boots = self.names.known(), set[str](), 0
        self.ether.listenUDP(5300, self.names, "127.0.8.9")
        self.ether.drops = lambda source, target: source[0] in self.dead
        self.sides = {name: self.side(name) for name in HOSTS}
        case.addCleanup(self.check, case)

    def side(self, name: str) -> Side:
        self.boots += 1
        self.dead.discard(HOSTS[name])
        return Side(self, name, self.boots)

    def again(self, name: str) -> Side:
        """A new start, with the first start's list."""
        self.sides[name] = self.side(name)
        return self.sides[name]

    def unix(self) -> float:
        return BASE + self.mono()

    def mono(self) -> float:
        return float(self.ether.seconds()) * 1000

    def go(self, ms: float = 0.0) -> None:
        self.ether.pump([0.0, 0.0] + [0.005] * round(ms / 5) + [0.0] * 4)

    def peers(self) -> list[Peer]:
        """The engine ends of all connections dialled so far."""
        world: Any = self
        return [Peer(world, place) for place in range(len(self.reactor.tcpClients))]

    @property
    def reactor(self) -> Ether:
        return self.ether

    def check(self, case: unittest.TestCase) -> None:
        for side in self.sides.values():
            faults = {
                name: count
                for name, count in side.service.counters.sums.items()
                if name in ("faults", "unhandled") or name.startswith("must_")
            }
            case.assertEqual(faults, {}, side.log.getvalue())
