"""A dispatcher on real sockets whose loop the test turns by hand: between two rounds, anything can be made to
happen. Its clock stands still but for `ms`; loopback delivers before `send` returns."""

import io
import json
import socket
import struct
import unittest
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from twisted.internet.epollreactor import EPollReactor

from spurdeal.lab import names
from spurdeal.lab.loopback import Network
from spurdeal.net.logs import logger
from spurdeal.net.resp import ArrayParser, command
from spurdeal.net.start import Service, read_configuration
from tests.helpers import BASE, SETTINGS, configuration, listed_records

HOST, LEAST_BUFFER = Network.of_this_process().host(63, 1), 4096
ROW = b"a\t1\tx\n"
QUESTION_WITHIN, STEP = (
    500,
    10,
)  # ms until the next question has left, and of each step


class ByHand(EPollReactor):
    """Twisted's own, on a clock that the test moves."""

    now = 1000.0

    def seconds(self) -> float:
        return self.now


class Engine:
    """An engine's listening socket, its connections in the order accepted."""

    def __init__(self, steps: "Steps", small: bool) -> None:
        self.steps, self.talks = steps, list["Talk"]()
        self.listening = socket.socket()
        self.listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if small:  # what is sent there soon fills its window
            self.listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, LEAST_BUFFER)
        self.listening.bind((HOST, 0))
        self.listening.listen(16)
        self.listening.settimeout(0)
        self.port = self.listening.getsockname()[1]

    def accept(self) -> "Talk | None":
        try:
            self.talks.append(Talk(self.listening.accept()[0]))
        except BlockingIOError:
            return None
        return self.talks[-1]


class Talk:
    """The far side of one connection, of an engine's or a client's."""

    def __init__(self, talk: socket.socket) -> None:
        self.socket, self.parser = talk, ArrayParser()
        talk.settimeout(0)

    def read(self) -> bytes | None:
        """What has come: None for nothing, b"" for an end. ConnectionResetError where it was reset."""
        got = b""
        try:
            while data := self.socket.recv(1 << 20):
                got += data
            return got
        except BlockingIOError:
            return got or None

    def heard(self) -> list[list[str]]:
        self.parser.feed(self.read() or b"")
        found = []
        while (parts := self.parser.take()) is not None:
            found.append([bytes(part).decode() for part in parts])
        return found

    def say(self, ident: int, word: str = "200", fields: str = "parts=1", body: bytes = ROW) -> None:
        self.socket.sendall(command(f"{ident:016x}".encode(), word.encode(), fields.encode(), body))

    def post(self, ident: int, workload: str = "lookup", wait: int = 5000, body: bytes = b"S") -> None:
        self.socket.sendall(
            b"POST /ops/%b HTTP/1.1\r\nReq-Id: %016x\r\nReq-Wait-Ms: %d\r\n"
            b"Content-Length: %d\r\n\r\n" % (workload.encode(), ident, wait, len(body)) + body
        )

    def reset(self) -> None:
        """Gone at once (SO_LINGER 0)."""
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.socket.close()

    def status(self) -> int | None:
        """Of the answer that has come."""
        got = self.read()
        return int(got.split()[1]) if got else None


class Steps:
    def __init__(self, case: unittest.TestCase, engines: int = 1, small: bool = False, **more: Any) -> None:
        self.reactor: Any = ByHand()
        self.engines = [Engine(self, small) for _ in range(engines)]
        self.names = socket.socket(type=socket.SOCK_DGRAM)
        self.names.bind((HOST, 0))
        self.names.settimeout(0)
        self.names_silent = False
        told = (
            configuration(
                engines, listen=f"{HOST}:{free_port()}", nameserver=f"{HOST}:{self.names.getsockname()[1]}"
            )
            | more
        )
        for number, instance in enumerate(told["known"]["items"][0]["roster"]["instances"]):
            instance["hostPort"] = f"{HOST}:{self.engines[number].port}"
        self.told = read_configuration(json.dumps(told))
        self.done = list[float]()
        self.clients = list[Talk]()
        self.service = Service(
            self.told,
            self.reactor,
            self.clock,
            logger("n1", io.StringIO()),
            lambda: self.done.append(self.clock()),
        )
        self.service.start()
        self.case = case
        case.addCleanup(self.close)
        self.go()

    def clock(self) -> float:
        return float(BASE + (self.reactor.now - 1000.0) * 1000)

    def close(self) -> None:
        faults = {
            name: count
            for name, count in self.service.counters.sums.items()
            if name in ("faults", "unhandled") or name.startswith("must_")
        }
        for thing in [*self.reactor.getReaders(), *self.reactor.getWriters()]:
            if hasattr(thing, "socket"):
                thing.socket.close()
        self.names.close()
        for talk in [*self.clients, *(talk for engine in self.engines for talk in engine.talks)]:
            talk.socket.close()
        for engine in self.engines:
            engine.listening.close()
        self.reactor._poller.close()
        self.case.assertEqual(faults, {})

    def round(self) -> None:
        """One round of the loop: timers that are due, then what is ready on the sockets."""
        if not self.names_silent:
            self.confirm_list()
        self.reactor.iterate(0)

    def confirm_list(self) -> None:
        """The name service answers all questions: it knows of no change."""
        with suppress(BlockingIOError):
            while True:
                question, asker = self.names.recvfrom(9000)
                service = self.service.names
                answer = names.answer(question, service.number, *listed_records(service))
                self.names.sendto(answer, asker)

    def go(self, ms: float = 0.0, rounds: int = 12) -> None:
        for _ in range(max(1, round(ms / 10))):
            self.reactor.now += min(ms, 10.0) / 1000
            for _ in range(rounds if not ms else 3):
                self.round()

    def until(self, holds: Callable[[], Any]) -> Any:
        for _ in range(200):
            if found := holds():
                return found
            self.round()
        self.case.fail("it does not come")

    def client(self) -> Talk:
        self.clients.append(Talk(socket.create_connection((HOST, self.told.port))))
        return self.clients[-1]

    def served(self, ident: int, workload: str = "lookup", engine: int = 0) -> Talk:
        """One call answered: the connection to that engine rests from here on. Its client's talk."""
        client = self.client()
        client.post(ident, workload)
        talk = self.until(self.engines[engine].accept)
        self.until(talk.heard)
        talk.say(ident)
        self.case.assertEqual(self.until(client.status), 200)
        return client

    def next_question(self) -> tuple[bytes, Any]:
        """The next question to the name service, and who asks; those that wait stay without an answer."""
        with suppress(BlockingIOError):
            while True:
                self.names.recvfrom(9000)
        for _ in range(QUESTION_WITHIN // STEP):
            self.go(STEP)
            with suppress(BlockingIOError):
                return self.names.recvfrom(9000)
        self.case.fail("no question")

    def list(self, serial: int, *draining: int) -> None:
        """The name service's answer to its next question: all engines, these draining."""
        self.names_silent = True
        question, asked = self.next_question()
        endpoints = [
            (
                f"s-{number}.east.hosts",
                f"{HOST}:{engine.port}",
                int(number in draining),
                "kind=std cell=0 started=0",
            )
            for number, engine in enumerate(self.engines)
        ]
        self.names.sendto(names.answer(question, serial, *endpoints), asked)
        self.names_silent = False
        self.go()


def free_port() -> int:
    with socket.socket() as found:
        found.bind((HOST, 0))
        return int(found.getsockname()[1])


def settings(**more: Any) -> dict[str, Any]:
    """The usual ones, with other parts."""
    return SETTINGS | {
        name: SETTINGS.get(name, {}) | part if isinstance(part, dict) else part for name, part in more.items()
    }
