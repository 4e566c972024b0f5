"""A dispatcher on real sockets, whose event loop the test runs round by round.

A test can cause any event between two rounds. The clock moves only where the test moves it; the loopback
interface delivers before `send` returns.
"""

import io
import json
import socket
import struct
import unittest
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from twisted.internet.epollreactor import EPollReactor

from spurdeal.lab import name_server
from spurdeal.lab.loopback import Network
from spurdeal.net.logs import logger
from spurdeal.net.resp import ArrayParser, command
from spurdeal.net.start import Service, read_configuration
from tests.helpers import BASE, SETTINGS, configuration, listed_records

HOST, LEAST_BUFFER = Network.of_this_process().host(63, 1), 4096
ROW = b"a\t1\tx\n"
# Both in ms: how soon the next query to the name service is sent, and the step while waiting for it.
QUERY_WITHIN, STEP = 500, 10


class ManualReactor(EPollReactor):
    """Twisted's epoll reactor, on a clock that the test moves."""

    now = 1000.0

    def seconds(self) -> float:
        return self.now


class Engine:
    """An engine: its listening socket, and its connections in the order accepted."""

    def __init__(self, steps: "Steps", small: bool) -> None:
        self.steps, self.peers = steps, list["PeerSocket"]()
        self.listening = socket.socket()
        self.listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if small:  # a few messages fill its receive window
            self.listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, LEAST_BUFFER)
        self.listening.bind((HOST, 0))
        self.listening.listen(16)
        self.listening.settimeout(0)
        self.port = self.listening.getsockname()[1]

    def accept(self) -> "PeerSocket | None":
        """The next connection in the backlog, if there is one."""
        try:
            self.peers.append(PeerSocket(self.listening.accept()[0]))
        except BlockingIOError:
            return None
        return self.peers[-1]


class PeerSocket:
    """The test's end of one connection: as an engine, or as a client."""

    def __init__(self, connected: socket.socket) -> None:
        self.socket, self.parser = connected, ArrayParser()
        connected.settimeout(0)

    def read(self) -> bytes | None:
        """The bytes received: None if there are none, b"" at the end of the stream.

        Raises:
            ConnectionResetError: the connection was reset.
        """
        received = b""
        try:
            while data := self.socket.recv(1 << 20):
                received += data
            return received
        except BlockingIOError:
            return received or None

    def received(self) -> list[list[str]]:
        """The commands received since the last call, as their parts."""
        self.parser.feed(self.read() or b"")
        commands = []
        while (parts := self.parser.take()) is not None:
            commands.append([bytes(part).decode() for part in parts])
        return commands

    def say(self, ident: int, status: str = "200", fields: str = "parts=1", body: bytes = ROW) -> None:
        """Answer an attempt, as an engine."""
        self.socket.sendall(command(f"{ident:016x}".encode(), status.encode(), fields.encode(), body))

    def post(self, ident: int, workload: str = "lookup", wait: int = 5000, body: bytes = b"S") -> None:
        """Send a request, as a client."""
        self.socket.sendall(
            b"POST /ops/%b HTTP/1.1\r\nReq-Id: %016x\r\nReq-Wait-Ms: %d\r\n"
            b"Content-Length: %d\r\n\r\n" % (workload.encode(), ident, wait, len(body)) + body
        )

    def reset(self) -> None:
        """Reset the connection (SO_LINGER 0)."""
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.socket.close()

    def status(self) -> int | None:
        """The HTTP status of the answer received, if one was."""
        received = self.read()
        return int(received.split()[1]) if received else None


class Steps:
    """A dispatcher's whole service, whose engines, clients and name service the test simulates."""

    def __init__(self, case: unittest.TestCase, engines: int = 1, small: bool = False, **more: Any) -> None:
        self.reactor: Any = ManualReactor()
        self.engines = [Engine(self, small) for _ in range(engines)]
        self.names = socket.socket(type=socket.SOCK_DGRAM)
        self.names.bind((HOST, 0))
        self.names.settimeout(0)
        self.names_silent = False
        given = (
            configuration(
                engines, listen=f"{HOST}:{free_port()}", nameserver=f"{HOST}:{self.names.getsockname()[1]}"
            )
            | more
        )
        for number, instance in enumerate(given["known"]["items"][0]["roster"]["instances"]):
            instance["hostPort"] = f"{HOST}:{self.engines[number].port}"
        self.configuration = read_configuration(json.dumps(given))
        self.stopped_at = list[float]()
        self.clients = list[PeerSocket]()
        self.service = Service(
            self.configuration,
            self.reactor,
            self.clock,
            logger("n1", io.StringIO()),
            lambda: self.stopped_at.append(self.clock()),
        )
        self.service.start()
        self.case = case
        case.addCleanup(self.close)
        self.go()

    def clock(self) -> float:
        return float(BASE + (self.reactor.now - 1000.0) * 1000)

    def close(self) -> None:
        """Close all sockets; fails the test if the service counted a fault of its own."""
        faults = {
            name: count
            for name, count in self.service.counters.sums.items()
            if name in ("faults", "unhandled") or name.startswith("must_")
        }
        for descriptor in [*self.reactor.getReaders(), *self.reactor.getWriters()]:
            if hasattr(descriptor, "socket"):
                descriptor.socket.close()
        self.names.close()
        for peer in [*self.clients, *(peer for engine in self.engines for peer in engine.peers)]:
            peer.socket.close()
        for engine in self.engines:
            engine.listening.close()
        self.reactor._poller.close()
        self.case.assertEqual(faults, {})

    def round(self) -> None:
        """Run one iteration of the loop: the timers that are due, then the sockets that are ready."""
        if not self.names_silent:
            self.confirm_list()
        self.reactor.iterate(0)

    def confirm_list(self) -> None:
        """Answer all queries to the name service: nothing has changed."""
        with suppress(BlockingIOError):
            while True:
                query, source = self.names.recvfrom(9000)
                service = self.service.names
                answer = name_server.answer(query, service.number, *listed_records(service))
                self.names.sendto(answer, source)

    def go(self, ms: float = 0.0, rounds: int = 12) -> None:
        """Run the loop for so many ms of its clock, in steps of 10 ms; or for some rounds at one time."""
        for _ in range(max(1, round(ms / 10))):
            self.reactor.now += min(ms, 10.0) / 1000
            for _ in range(rounds if not ms else 3):
                self.round()

    def until(self, condition: Callable[[], Any]) -> Any:
        """Run the loop until the condition gives something true, and return that."""
        for _ in range(200):
            if found := condition():
                return found
            self.round()
        self.case.fail("the condition did not become true")

    def client(self) -> PeerSocket:
        """A new connection to the dispatcher."""
        self.clients.append(PeerSocket(socket.create_connection((HOST, self.configuration.port))))
        return self.clients[-1]

    def served(self, ident: int, workload: str = "lookup", engine: int = 0) -> PeerSocket:
        """Run one request to its answer; the connection to that engine is then idle. Returns its client."""
        client = self.client()
        client.post(ident, workload)
        peer = self.until(self.engines[engine].accept)
        self.until(peer.received)
        peer.say(ident)
        self.case.assertEqual(self.until(client.status), 200)
        return client

    def next_query(self) -> tuple[bytes, Any]:
        """The next query to the name service and its source; earlier queries stay unanswered."""
        with suppress(BlockingIOError):
            while True:
                self.names.recvfrom(9000)
        for _ in range(QUERY_WITHIN // STEP):
            self.go(STEP)
            with suppress(BlockingIOError):
                return self.names.recvfrom(9000)
        self.case.fail("no query to the name service")

    def list(self, serial: int, *draining: int) -> None:
        """Answer the next query to the name service: all engines, with these draining."""
        self.names_silent = True
        query, source = self.next_query()
        endpoints = [
            (
                f"s-{number}.east.hosts",
                f"{HOST}:{engine.port}",
                int(number in draining),
                "kind=std cell=0 started=0",
            )
            for number, engine in enumerate(self.engines)
        ]
        self.names.sendto(name_server.answer(query, serial, *endpoints), source)
        self.names_silent = False
        self.go()


def free_port() -> int:
    """A TCP port that nothing listens on."""
    with socket.socket() as free:
        free.bind((HOST, 0))
        return int(free.getsockname()[1])


def settings(**more: Any) -> dict[str, Any]:
    """The settings of most tests, with some parts replaced."""
    return SETTINGS | {
        name: SETTINGS.get(name, {}) | part if isinstance(part, dict) else part for name, part in more.items()
    }
