"""Controls the wall clock of `stepped_process`; engines and a name server on real sockets."""

import mmap
import socket
import struct
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

from spurdeal.lab import name_server
from spurdeal.net.resp import ArrayParser, command
from tests.stepped_process import OFFSET_FILE

__all__ = ["OFFSET_FILE", "Arrival", "NameService", "Server", "SteppedClock"]

OFFSET = struct.Struct("d")  # seconds
CLOSE_CHECK_INTERVAL = 0.05  # seconds; how often a server checks whether it was closed
ROW = b"a\t1\tx\n"


class SteppedClock:
    """Controls the wall clock of the processes that are started with this file."""

    def __init__(self, path: Path) -> None:
        self.path = path
        path.write_bytes(OFFSET.pack(0.0))
        with path.open("r+b") as file:
            self.shared = mmap.mmap(file.fileno(), OFFSET.size)

    def step_to(self, seconds: float) -> None:
        """Sets the offset of the wall clock."""
        OFFSET.pack_into(self.shared, 0, seconds)

    def unix_ms(self) -> float:
        """Returns the time by the wall clock of the processes, in Unix ms."""
        offset: float = OFFSET.unpack_from(self.shared)[0]
        return (time.time() + offset) * 1000


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that arrived at a server, with the time on the monotonic clock."""

    at: float
    ident: str
    fields: str


@dataclass
class Server:
    """A server that runs each request for `takes` seconds; None: it never answers."""

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
        """Serves each connection in a thread, until the server is closed."""
        while not self.closed:
            with suppress(TimeoutError):
                connection = self.listening.accept()[0]
                connection.settimeout(None)
                threading.Thread(target=self.serve, args=(connection,), daemon=True).start()
        self.listening.close()

    def close(self) -> None:
        """Stops listening; returns once the address is free."""
        self.closed = True
        self.thread.join()

    def serve(self, connection: socket.socket) -> None:
        """Handles the commands of one connection."""
        parser = ArrayParser()
        with suppress(OSError), connection:
            while data := connection.recv(65536):
                parser.feed(data)
                while (parts := parser.take()) is not None:
                    self.take(connection, [bytes(part) for part in parts])

    def take(self, connection: socket.socket, parts: list[bytes]) -> None:
        """Handles one command; the response may follow later."""
        if parts[0] == b"cancel":
            self.cancelled.append(parts[1].decode())
        if parts[0] != b"serve":
            return
        self.arrivals.append(Arrival(time.monotonic(), parts[1].decode(), parts[2].decode()))
        if self.takes is not None:
            answer = command(parts[1], b"200", b"parts=1", ROW)
            threading.Timer(self.takes, self.answer, (connection, answer)).start()

    def answer(self, connection: socket.socket, message: bytes) -> None:
        """Writes a response, unless the connection is closed."""
        with suppress(OSError):
            connection.sendall(message)

    def since(self, at: float) -> list[Arrival]:
        """Returns the requests that have arrived since then."""
        return [arrival for arrival in self.arrivals if arrival.at >= at]


class NameService:
    """Answers each query with the list that the test has set."""

    def __init__(self, host: str, port: int, endpoints: list[name_server.Endpoint]) -> None:
        self.endpoints, self.serial, self.query_times = endpoints, 1, list[float]()
        self.socket = socket.socket(type=socket.SOCK_DGRAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((host, port))
        self.socket.settimeout(CLOSE_CHECK_INTERVAL)
        self.closed = False
        self.thread = threading.Thread(target=self.serve, daemon=True)
        self.thread.start()

    def close(self) -> None:
        """Stops answering; returns once the address is free."""
        self.closed = True
        self.thread.join()

    def serve(self) -> None:
        """Answers queries until the server is closed."""
        while not self.closed:
            with suppress(TimeoutError):
                query, client_address = self.socket.recvfrom(512)
                self.query_times.append(time.monotonic())
                answer = name_server.answer(
                    query, self.serial, *(endpoint.record() for endpoint in self.endpoints)
                )
                self.socket.sendto(answer, client_address)
        self.socket.close()

    def change(self, change: Callable[[name_server.Endpoint], name_server.Endpoint]) -> None:
        """Publishes a newer list, with this change to each entry."""
        self.endpoints = [change(endpoint) for endpoint in self.endpoints]
        self.serial += 1

    def drain(self, ident: str) -> None:
        """Publishes a list in which one server drains."""
        self.change(lambda endpoint: endpoint._replace(draining=endpoint.draining or endpoint.ident == ident))


def listener(host: str, port: int) -> socket.socket:
    """Opens a listening socket."""
    listening = socket.socket()
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening.bind((host, port))
    listening.listen(128)
    listening.settimeout(CLOSE_CHECK_INTERVAL)
    return listening
