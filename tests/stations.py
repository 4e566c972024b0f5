"""Two dispatchers with VRRP on in-memory transports and one clock; a test can drop their datagrams."""

import io
import json
import unittest
from collections.abc import Callable
from typing import Any, cast

from spurdeal.lab.name_server import Endpoint, NameServer
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


class MemoryNetwork(Reactor):
    """Delivers datagrams between protocols in the reactor's next iteration, unless a test drops them."""

    def __init__(self) -> None:
        super().__init__(None)
        self.bound: dict[tuple[str, int], Any] = {}
        self.drops: Callable[[tuple[str, int], tuple[str, int]], bool] = lambda source, target: False
        self.announced: list[dict[str, Any]] = []
        self.delivered: list[tuple[tuple[str, int], tuple[str, int], bytes]] = []

    def listenUDP(self, port: int, protocol: Any, interface: str, maxPacketSize: int = 8192) -> Any:
        address = (interface, port or 40_000 + len(self.bound))
        self.bound[address] = protocol
        protocol.makeConnection(DatagramTransport(self, address, protocol))
        return DatagramPort()

    def deliver(self, source: tuple[str, int], target: tuple[str, int], datagram: bytes) -> None:
        if target == ("127.0.8.9", 5400):
            self.announced.append(json.loads(datagram))
        elif target in self.bound and not self.drops(source, target):
            self.delivered.append((source, target, datagram))
            self.callLater(
                0, lambda: target in self.bound and self.bound[target].datagramReceived(datagram, source)
            )


class DatagramTransport:
    """The transport of one datagram port, and its socket."""

    def __init__(self, network: MemoryNetwork, address: tuple[str, int], owner: object) -> None:
        self.network, self.address, self.owner = network, address, owner

    def getHandle(self) -> "DatagramTransport":
        return self

    def write(self, datagram: bytes, address: tuple[str, int]) -> None:
        if self.network.bound.get(self.address) is self.owner:  # otherwise its process was killed
            self.network.deliver(self.address, address, datagram)

    sendto = write  # the socket's method; the transport is its own handle


class Node:
    """One dispatcher process of the pair; a restart makes another."""

    def __init__(self, pair: "Pair", name: str, boot: int) -> None:
        self.pair, self.name, self.log = pair, name, io.StringIO()
        other = "n2" if name == "n1" else "n1"
        loaded = read_configuration(
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
        self.service = Service(loaded, pair.network, pair.unix, logger(name, self.log), lambda: None)
        runtime = Runtime(cast(Any, pair.network), pair.mono, self.service.counters, self.service.log)
        self.station = Station(self.service, self.plan, boot, runtime)
        self.station.start()
        self.service.start()

    def holds(self) -> bool:
        return bool(self.station.groups.held())

    def kill(self) -> None:
        """Remove its sockets; its timers still run, but what they send is lost."""
        for address in [address for address in self.pair.network.bound if address[0] == HOSTS[self.name]]:
            del self.pair.network.bound[address]
        self.pair.killed_hosts.add(HOSTS[self.name])

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
    """Both dispatchers, their name service and their clock."""

    def __init__(self, case: unittest.TestCase, cold: bool = False, **more: Any) -> None:
        self.network, self.settings = MemoryNetwork(), configuration()["settings"] | {"balancers": 2}
        self.priorities = {"n1": 200, "n2": 100} | more.get("priorities", {})
        self.intervals = {"n1": "100ms", "n2": "100ms"} | more.get("intervals", {})
        self.plan = more.get("plan", PLAN)
        self.names = NameServer([Endpoint(f"s-{number}", f"127.0.9.{number}", 7001) for number in range(3)])
        self.known, self.killed_hosts, self.boots = self.names.known(), set[str](), 0
        self.network.listenUDP(5300, self.names, "127.0.8.9")
        self.network.drops = lambda source, target: source[0] in self.killed_hosts
        self.nodes = {name: self.node(name) for name in HOSTS}
        case.addCleanup(self.check, case)

    def node(self, name: str) -> Node:
        self.boots += 1
        self.killed_hosts.discard(HOSTS[name])
        return Node(self, name, self.boots)

    def restart(self, name: str) -> Node:
        """Start it again, with the initial list of engines."""
        self.nodes[name] = self.node(name)
        return self.nodes[name]

    def unix(self) -> float:
        return BASE + self.mono()

    def mono(self) -> float:
        return float(self.network.seconds()) * 1000

    def go(self, ms: float = 0.0) -> None:
        self.network.pump([0.0, 0.0] + [0.005] * round(ms / 5) + [0.0] * 4)

    def peers(self) -> list[Peer]:
        """The engine sides of all connections dialled so far."""
        world: Any = self
        return [Peer(world, number) for number in range(len(self.reactor.tcpClients))]

    @property
    def reactor(self) -> MemoryNetwork:
        return self.network

    def check(self, case: unittest.TestCase) -> None:
        for node in self.nodes.values():
            faults = {
                name: count
                for name, count in node.service.counters.sums.items()
                if name in ("faults", "unhandled") or name.startswith("must_")
            }
            case.assertEqual(faults, {}, node.log.getvalue())
