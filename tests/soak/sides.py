"""Stand-in engines and clients of a soak, all in one event loop."""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from time import monotonic

from spurdeal.lab import name_server
from spurdeal.net.resp import ArrayParser, command
from tests.soak.judge import Attempt, End, Records, Request

REJECT_SHARE, MAX_RUN_TIME = 0.02, 0.12  # share that an engine rejects; seconds that a request runs at most
# Shares of requests that are abandoned, split or non-idempotent; IDLE_SHARE: share of long pauses.
LEAVE_SHARE, SPLIT_SHARE, IDLE_SHARE, ONCE_SHARE = 0.04, 0.1, 0.1, 0.3
ANSWER_TIMEOUT = 2.0  # seconds after a request's deadline until its client gives up
LONGEST_WAIT = 3.0  # seconds


class Engine:
    """A stand-in engine: answers requests, hangs, resets its connections, drains and leaves."""

    def __init__(self, endpoint: name_server.Endpoint, records: Records, rng: random.Random) -> None:
        self.endpoint, self.records, self.rng = endpoint, records, rng
        self.hung_until = 0.0
        self.writers = set[asyncio.StreamWriter]()
        self.server: asyncio.Server | None = None
        self.tasks = set[asyncio.Task[None]]()

    async def start(self) -> None:
        """Start listening."""
        self.server = await asyncio.start_server(self.serve, self.endpoint.host, self.endpoint.port)

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    def stop(self) -> None:
        """Stop listening, and reset all connections."""
        assert self.server is not None
        self.server.close()
        self.reset()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Handle the commands of one connection."""
        parser = ArrayParser()
        self.writers.add(writer)
        with suppress(OSError, asyncio.CancelledError):
            while data := await reader.read(65_536):
                parser.feed(data)
                while (parts := parser.take()) is not None:
                    if bytes(parts[0]) == b"serve":
                        self.start_request(writer, bytes(parts[1]), bytes(parts[2]).decode())
        self.writers.discard(writer)
        writer.close()

    def start_request(self, writer: asyncio.StreamWriter, ident: bytes, fields: str) -> None:
        """Record one request; its answer is sent later."""
        values = dict(pair.split("=", 1) for pair in fields.split(","))
        ran = self.rng.random() >= REJECT_SHARE
        attempt = Attempt(monotonic(), ident.decode(), self.endpoint.ident, int(values["wait"]) / 1000, ran)
        self.records.attempts.append(attempt)
        task = asyncio.create_task(self.answer(writer, ident, ran))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def answer(self, writer: asyncio.StreamWriter, ident: bytes, ran: bool) -> None:
        """Run it, unless it was rejected; an engine that hangs answers afterwards."""
        await asyncio.sleep(self.rng.uniform(0.002, MAX_RUN_TIME) if ran else 0.0)
        while (left := self.hung_until - monotonic()) > 0:
            await asyncio.sleep(left)
        reply = (ident, b"200", b"parts=1", ident + b"\t1\tx\n") if ran else (ident, b"503", b"-", b"")
        with suppress(OSError, RuntimeError):
            writer.write(command(*reply))


@dataclass
class ClientAccess:
    """The address of one dispatcher, and until when clients may connect there."""

    number: int
    address: tuple[str, int]
    connect_until: float = float("inf")  # clients open no connections after this
    idle: list[socket.socket] = field(default_factory=list)  # of a connection flood


class Clients:
    """Clients of one dispatcher, each with one connection at a time, used until the dispatcher closes it."""

    def __init__(
        self, access: ClientAccess, records: Records, rng: random.Random, next_number: Callable[[], int]
    ) -> None:
        self.access, self.records, self.rng, self.next_number = access, records, rng, next_number
        self.stopping = False

    async def run(self) -> None:
        """Run one client until the run ends."""
        while not self.stopping:
            if monotonic() > self.access.connect_until:
                await asyncio.sleep(0.05)
                continue
            try:
                reader, writer = await asyncio.open_connection(*self.access.address)
            except OSError:
                await asyncio.sleep(0.1)
                continue
            with suppress(OSError):
                await self.use(reader, writer)
            writer.transport.abort()

    async def use(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send requests one after another on a connection, until it is closed."""
        for _ in range(self.rng.randint(1, 60)):
            if self.stopping or reader.at_eof() or not await self.exchange(reader, writer):
                return
            idle = self.rng.random() < IDLE_SHARE
            await asyncio.sleep(self.rng.uniform(0.5, 4.0) if idle else self.rng.uniform(0.0, 0.08))

    def request(self) -> Request:
        """Create and record the next request."""
        ident, once = f"{self.next_number():016x}", self.rng.random() < ONCE_SHARE
        wait = self.rng.choice((0.25, 0.5, 1.0, 2.0, LONGEST_WAIT))
        request = self.records.requests[ident] = Request(ident, self.access.number, once, wait)
        return request

    async def exchange(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Send one request and read its answer; returns whether the connection may be used again."""
        request = self.request()
        request.sent_at = monotonic()
        await self.write(writer, request)
        if self.rng.random() < LEAVE_SHARE:
            await asyncio.sleep(self.rng.uniform(0.0, 0.05))
            writer.transport.abort()
            self.end(request, End.LEFT)
            return False
        try:
            status, keep, body = await asyncio.wait_for(answer(reader), request.wait + ANSWER_TIMEOUT)
        except TimeoutError:
            request.ended_at = monotonic()
            return False
        except (asyncio.IncompleteReadError, OSError):
            self.end(request, End.CLOSED)
            return False
        except ValueError:
            self.end(request, End.SPOILT)
            return False
        self.end(request, classify_answer(status, body, request.ident))
        return keep

    def end(self, request: Request, end: End) -> None:
        """Record how the request ended, now."""
        request.ended_at, request.end = monotonic(), end

    async def write(self, writer: asyncio.StreamWriter, request: Request) -> None:
        """Write the request at once or in two parts; its time counts from the last byte."""
        body = b"SELECT a FROM s_1.t"
        path = b"load" if request.once else b"lookup"
        message = (
            b"POST /ops/%b HTTP/1.1\r\nHost: a\r\nReq-Id: %b\r\nReq-Wait-Ms: %d\r\nContent-Length: %d\r\n\r\n"
            % (
                path,
                request.ident.encode(),
                round(request.wait * 1000),
                len(body),
            )
        )
        message += body
        if self.rng.random() < SPLIT_SHARE:
            cut = self.rng.randrange(1, len(message))
            writer.write(message[:cut])
            await asyncio.sleep(self.rng.uniform(0.0, 0.2))
            message = message[cut:]
        request.sent_at = monotonic()
        writer.write(message)


async def answer(reader: asyncio.StreamReader) -> tuple[int, bool, bytes]:
    """Read an answer: status, whether the connection is kept, and body.

    Raises:
        IncompleteReadError: The connection was closed before the end of the answer.
        ValueError: The bytes are not a valid answer.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = dict(line.lower().split(": ", 1) for line in lines[1:] if line)
    body = await reader.readexactly(int(fields["content-length"]))
    return int(lines[0].split()[1]), fields.get("connection") != "close", body


def classify_answer(status: int, body: bytes, ident: str) -> End:
    """How a request ended, by its answer."""
    if status in (429, 503) or b'"TryLater"' in body:
        return End.REFUSED
    if status == 200:
        return End.SERVED if ident.encode() in body else End.SPOILT
    return End.FAILED if status == 500 else End.SPOILT
