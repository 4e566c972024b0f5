"""The test's hand on the wall clock of `stepped_process`, and sides on real sockets that the test holds."""

import mmap
import socket
import struct
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

from spurdeal.lab import names
from spurdeal.net.resp import ArrayParser, command
from tests.stepped_process import OFFSET_FILE

__all__ = ["OFFSET_FILE", "Arrival", "NameService", "Server", "SteppedClock"]

OFFSET = struct.Struct("d")  # seconds
LOOK_AGAIN = 0.05  # seconds, until a side that has been closed ends
ROW = b"a\t1\tx\n"


class SteppedClock:
    """The test's hand on the wall clock of the processes that it starts with this file."""

    def __init__(self, path: Path) -> None:
        self.path = path
        path.write_bytes(OFFSET.pack(0.0))
        with path.open("r+b") as file:
            self.shared = mmap.mmap(file.fileno(), OFFSET.size)

    def step_to(self, seconds: float) -> None:
        """The wall clock is off by so much from now on."""
        OFFSET.pack_into(self.shared, 0, seconds)

    def unix_ms(self) -> float:
        """What the wall clock of the processes shows."""
        offset: float = OFFSET.unpack_from(self.shared)[0]
        return (time.time() + offset) * 1000


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request at a server, at a time of the monotonic clock."""

    at: float
    ident: str
    fields: str


@dataclass
class Server:
    """A server that runs each request for `takes` seconds; None: it takes requests and never answers."""

    host: str
    port: int
    takes: float | None = 0.0
    arrivals: list[Arrival] = field(default_factory=list)
    cancelled: list[str] = field(default_factory=list)
    closed: bool = False

    def __post_init__(self) -> None:
        self.listening = listener(self.host, self.port)
        self.thread = threading.Thread(target=self.accept, daemon=True)
        self.thread.start()

    def accept(self) -> None:
        """Serve each connection in a thread, until the server is closed."""
        while not self.closed:
            with suppress(TimeoutError):
                connection = self.listening.accept()[0]
                connection.settimeout(None)
                threading.Thread(target=self.serve, args=(connection,), daemon=True).start()
        self.listening.close()

    def close(self) -> None:
        """Listen no more; returns once the address is free."""
        self.closed = True
        self.thread.join()

    def serve(self, connection: socket.socket) -> None:
        """One connection's commands."""
        parser = ArrayParser()
        with suppress(OSError), connection:
            while data := connection.recv(65536):
                parser.feed(data)
                while (parts := parser.take()) is not None:
                    self.take(connection, [bytes(part) for part in parts])

    def take(self, connection: socket.socket, parts: list[bytes]) -> None:
        """One command; the answer may come later."""
        if parts[0] == b"cancel":
            self.cancelled.append(parts[1].decode())
        if parts[0] != b"serve":
            return
        self.arrivals.append(Arrival(time.monotonic(), parts[1].decode(), parts[2].decode()))
        if self.takes is not None:
            answer = command(parts[1], b"200", b"parts=1", ROW)
            threading.Timer(self.takes, self.answer, (connection, answer)).start()

    def answer(self, connection: socket.socket, message: bytes) -> None:
        """Write an answer, if anybody still waits for it."""
        with suppress(OSError):
            connection.sendall(message)

    def since(self, at: float) -> list[Arrival]:
        """What has arrived from that time on."""
        return [arrival for arrival in self.arrivals if arrival.at >= at]


class NameService:
    """Answers each question with the list as the test has set it."""

    def __init__(self, host: str, port: int, endpoints: list[names.Endpoint]) -> None:
        self.endpoints, self.serial, self.asked = endpoints, 1, list[float]()
        self.socket = socket.socket(type=socket.SOCK_DGRAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((host, port))
        self.socket.settimeout(LOOK_AGAIN)
        self.closed = False
        self.thread = threading.Thread(target=self.serve, daemon=True)
        self.thread.start()

    def close(self) -> None:
        """Answer no more; returns once the address is free."""
        self.closed = True
        self.thread.join()

    def serve(self) -> None:
        """Answer until it is closed."""
        while not self.closed:
            with suppress(TimeoutError):
                question, asker = self.socket.recvfrom(512)
                self.asked.append(time.monotonic())
                answer = names.answer(
                    question, self.serial, *(endpoint.record() for endpoint in self.endpoints)
                )
                self.socket.sendto(answer, asker)
        self.socket.close()

    def change(self, change: Callable[[names.Endpoint], names.Endpoint]) -> None:
        """A newer list."""
        self.endpoints = [change(endpoint) for endpoint in self.endpoints]
        self.serial += 1

    def drain(self, ident: str) -> None:
        """One server drains."""
        self.change(lambda endpoint: endpoint._replace(draining=endpoint.draining or endpoint.ident == ident))


def listener(host: str, port: int) -> socket.socket:
    """A listening socket of a test's side."""
    listening = socket.socket()
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening.bind((host, port))
    listening.listen(128)
    listening.settimeout(LOOK_AGAIN)
    return listening
