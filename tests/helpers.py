"""A dispatcher on in-memory transports and a clock that the test moves, with its clients and engines."""

import io
import json
import socket
import subprocess
import sys
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any

from twisted.internet.error import ConnectionDone, ConnectionRefusedError
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from spurdeal.interface import Life
from spurdeal.lab import name_server
from spurdeal.net.logs import logger
from spurdeal.net.names import NameService
from spurdeal.net.resp import ArrayParser, command
from spurdeal.net.start import Service, read_configuration

BASE = 1_790_000_000_000.0
LIST_CONFIRMED_MS = 60.0  # ms until the name service has sent a list a second time
REINSTATED_MS = 1700.0  # ms until an engine that had drained gets requests again
LIST_SETTLED_MS = 600.0  # ms until a list was sent so often that unanswered queries no longer matter
QUIET = socket.socket(type=socket.SOCK_DGRAM)  # never has anything to read
SETTINGS: dict[str, Any] = {
    "grades": [
        {"name": "lookup", "aim": 1000, "aim_stretch": 2, "deadline": 5000, "late_worth": 0.5},
        {"name": "load", "aim": 3000, "aim_stretch": 2, "deadline": 20000, "effect": "once"},
    ],
    "zones": ["east"],
    "models": ["std"],
    "extra": {"cpu_of_kind": [8], "priorities": True},
    "limits": {
        "cancelling": True,
        "conn_idle": 30000,
        "dial_timeout": 250,
        "streams_per_conn": 2,
        "send_cap": 3,
        "retry_after": True,
        "max_retry_after": 500,
    },
    "rules": {"drain_grace": 250, "cold": 15000, "cold_share": 0.3, "fall_multiple": 2, "tip_after": 1500},
}


def started_process(path: Path) -> subprocess.Popen[str]:
    """Start a dispatcher with the configuration at this path; its log is on `stderr`."""
    return subprocess.Popen(
        [sys.executable, "-m", "spurdeal"],
        stderr=subprocess.PIPE,
        text=True,
        env={"ROUTER_CONFIG": str(path)},
    )


def instance(number: int, **more: Any) -> dict[str, Any]:
    return {
        "instanceId": f"s-{number}",
        "hostPort": f"127.0.9.{number}:7001",
        "zone": "east",
        "machineType": "std",
        "cell": 0,
        "lifecycle": "SERVING",
        "weight": 1,
        "startedAtMs": 0,
    } | more


def configuration(engines: int = 1, **more: Any) -> dict[str, Any]:
    roster = {"generation": 1, "reset": True, "instances": [instance(number) for number in range(engines)]}
    return {
        "name": "n1",
        "listen": "127.0.8.1:7001",
        "seed": "00ff",
        "nameserver": "127.0.8.9:5300",
        "limits": {"sockets": 64},
        "known": {"no": 1, "items": [{"no": 1, "roster": roster}]},
        "settings": SETTINGS,
    } | more


class Pipe(StringTransport):
    """An in-memory transport: what was written, and whether it was closed or aborted."""

    aborted = full = ended = no_delay = False  # full: the peer does not read
    writable_bytes = 0  # bytes that the system still accepts while the peer does not read
    unread = b""  # bytes that have arrived and were not read
    owner: Any = None

    def loseWriteConnection(self) -> None:
        self.disconnecting = True
        self.owner.writeConnectionLost()

    def registerProducer(self, producer: Any, streaming: bool) -> None:
        super().registerProducer(producer, streaming)
        self.owner = producer
        if not streaming:
            self.drained(first=True)

    def drained(self, first: bool = False) -> None:
        """All written bytes were sent: ask a pull producer for more, until it has none."""
        while self.producer is not None and not self.streaming and (first or not self.full):
            first = False
            self.producer.resumeProducing()

    def getHandle(self) -> "Pipe":
        return self

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Read what has arrived, or peek with MSG_PEEK: nothing yet, bytes, or the end of the stream."""
        if not self.ended and not self.unread:
            raise BlockingIOError
        data = self.unread[:size]
        if not flags & socket.MSG_PEEK:
            self.unread = self.unread[size:]
        return data

    def send(self, data: bytes) -> int:
        if self.full and not self.writable_bytes:
            raise BlockingIOError
        if self.full:
            data, self.writable_bytes = data[: self.writable_bytes], max(0, self.writable_bytes - len(data))
        self.write(data)
        return len(data)

    def startWriting(self) -> None:
        """See FileDescriptor: a pull producer is resumed once the system accepts bytes."""
        self.drained()

    def setTcpNoDelay(self, on: bool) -> None:
        self.no_delay = on

    def abortConnection(self) -> None:
        self.aborted = self.disconnecting = True

    def taken(self) -> bytes:
        written: bytes = self.value()
        self.clear()
        return written


class Reactor(MemoryReactorClock):
    """Adds datagrams, which Twisted's reactor for tests lacks; they go to `sink`."""

    def __init__(self, sink: object) -> None:
        super().__init__()
        self.sink = sink

    def listenUDP(self, port: int, protocol: Any, interface: str, maxPacketSize: int) -> "DatagramPort":
        protocol.makeConnection(self.sink)
        return DatagramPort()


class DatagramPort:
    """A datagram port that never has anything to read."""

    connected = True

    def doRead(self) -> None:
        pass

    def stopListening(self) -> None:
        self.connected = False


class Port:
    """A listening port; each call in `waiting` makes one connection that waits in its backlog."""

    def __init__(self) -> None:
        self.open = self.connected = True
        self.waiting: list[Callable[[], object]] = []

    def doRead(self) -> None:
        if self.waiting:
            self.waiting.pop(0)()

    def fileno(self) -> int:
        """The descriptor of a socket that has nothing to read."""
        return QUIET.fileno()

    def stopListening(self) -> None:
        self.connected = False

    def startReading(self) -> None:
        self.open = True

    def stopReading(self) -> None:
        self.open = False


class ConnectionEnd:
    """The dispatcher's peer on one connection."""

    world: "World"
    protocol: Any

    def raw(self, data: bytes) -> None:
        self.protocol.dataReceived(data)
        self.world.go()

    def lose(self) -> None:
        self.protocol.connectionLost(Failure(ConnectionDone()))
        self.world.go()


class Caller(ConnectionEnd):
    """A client on one connection."""

    say, leave = ConnectionEnd.raw, ConnectionEnd.lose

    def __init__(self, world: "World") -> None:
        self.world, self.pipe = world, Pipe()
        self.protocol = world.service.clients.buildProtocol(None)
        self.protocol.makeConnection(self.pipe)

    def post(
        self,
        ident: int,
        workload: str = "lookup",
        wait: object = 5000,
        body: bytes = b"SELECT 1",
        **more: object,
    ) -> None:
        fields = {"Req-Id": f"{ident:016x}", "Req-Wait-Ms": wait, "Content-Length": len(body)} | more
        head = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in fields.items())
        self.say(f"POST /ops/{workload} HTTP/1.1\r\nHost: origin.svc\r\n{head}\r\n".encode() + body)

    def answers(self) -> list[tuple[int, dict[str, str], Any]]:
        """Status, header fields and value of each answer so far."""
        text, found = self.pipe.taken(), []
        while text:
            head, _, rest = text.partition(b"\r\n\r\n")
            first, *lines = head.decode().split("\r\n")
            fields = dict(line.split(": ", 1) for line in lines)
            size = int(fields["Content-Length"])
            found.append((int(first.split()[1]), fields, json.loads(rest[:size])))
            text = rest[size:]
        return found


class Peer(ConnectionEnd):
    """An engine's side of one connection."""

    def __init__(self, world: "World", place: int) -> None:
        self.world, self.pipe = world, Pipe()
        host, port, factory, timeout, _ = world.reactor.tcpClients[place]
        self.host, self.port, self.factory, self.timeout = host, port, factory, timeout
        self.parser = ArrayParser()

    def up(self) -> "Peer":
        """Let the dial succeed."""
        self.protocol = self.factory.buildProtocol(None)
        self.protocol.makeConnection(self.pipe)
        self.world.go()
        return self

    def refuse(self, error: type[Exception] = ConnectionRefusedError) -> None:
        """Fail the dial with this error."""
        self.factory.clientConnectionFailed(None, Failure(error()))
        self.world.go()

    def received(self) -> list[list[str]]:
        self.parser.feed(self.pipe.taken())
        found = []
        while (parts := self.parser.take()) is not None:
            found.append([bytes(part).decode() for part in parts])
        return found

    def say(self, ident: int, word: str, fields: str = "-", body: bytes = b"") -> None:
        self.raw(command(f"{ident:016x}".encode(), word.encode(), fields.encode(), body))


def listed_records(service: NameService) -> list[tuple[str, str, int, str]]:
    """The records of the list that the name service sent last."""
    return [
        (
            ".".join(label.replace(".", "\\.") for label in (endpoint.ident, endpoint.zone, "hosts")),
            f"{endpoint.host}:{endpoint.port}",
            int(endpoint.life == Life.DRAINING),
            f"kind={endpoint.kind} cell={endpoint.cell} started={endpoint.started}",
        )
        for endpoint in service.list_state.reported.values()
    ]


class World:
    """A dispatcher, and the name service that it queries; `Caller` and `Peer` add clients and engines."""

    def __init__(
        self,
        case: unittest.TestCase,
        engines: int = 1,
        before: Callable[[Service, "World"], None] | None = None,
        **more: Any,
    ) -> None:
        self.case, self.done = case, list[float]()
        self.reactor: Any = Reactor(self)
        self.names, self.query_targets = list[bytes](), list[object]()
        self.names_silent = False
        self.log = io.StringIO()
        loaded = read_configuration(json.dumps(configuration(engines, **more)))
        self.service = Service(
            loaded, self.reactor, self.now, logger("n1", self.log), lambda: self.done.append(self.now())
        )
        if before is not None:
            before(self.service, self)
        self.service.start()
        self.service.clients.port = self.listener = Port()
        case.addCleanup(self.check)
        self.go()

    def now(self) -> float:
        return BASE + float(self.reactor.seconds()) * 1000

    def check(self) -> None:
        faults = {
            name: count
            for name, count in self.service.counters.sums.items()
            if name in ("faults", "unhandled") or name.startswith("must_")
        }
        self.case.assertEqual(faults, {}, self.log.getvalue())

    def go(self, ms: float = 0.0) -> None:
        """Move the clock in small steps, so that timers fire when they are due."""
        self.reactor.pump([0.0, 0.0] + [0.005] * round(ms / 5) + [0.0, 0.0])

    def peer(self, place: int = 0) -> Peer:
        return Peer(self, place)

    def count(self, name: str) -> int:
        return self.service.counters.sums[name]

    # The name service, played by the world.

    def getHandle(self) -> "World":
        """The socket of the transport to the name service."""
        return self

    def write(self, datagram: bytes, address: object) -> None:
        self.names.append(datagram)
        self.query_targets.append(address)
        if not self.names_silent and self.service.names.on_unchanged is None:
            self.reactor.callLater(0, self.confirm, datagram, address)

    def confirm(self, query: bytes, source: Any) -> None:
        """Answer that the list is unchanged."""
        service = self.service.names
        service.datagramReceived(name_server.answer(query, service.number, *listed_records(service)), source)

    sendto = write  # the method of the socket, which is its own handle

    def list(
        self,
        serial: int,
        *endpoints: tuple[str, str, int, str],
        source: tuple[str, int] = ("127.0.8.9", 5300),
        **more: Any,
    ) -> None:
        """Answer the next query as the name service."""
        self.names_silent, silent = True, self.names_silent
        queries = len(self.names)
        while len(self.names) == queries:
            self.go(5)
        self.answer(serial, *endpoints, source=source, **more)
        self.names_silent = silent

    def answer(
        self,
        serial: int,
        *endpoints: tuple[str, str, int, str],
        source: tuple[str, int] = ("127.0.8.9", 5300),
        **more: Any,
    ) -> None:
        """Answer the last query as the name service."""
        answer = name_server.answer(self.names[-1], serial, *endpoints, **more)
        self.service.names.datagramReceived(answer, source)
        self.go()
