"""The sides that dispatchers talk to in a soak, in one event loop: engines and clients."""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from time import monotonic

from spurdeal.lab import names
from spurdeal.net.resp import ArrayParser, command
from tests.soak.judge import Attempt, End, Records, Request

FULL, SLOWEST = 0.02, 0.12  # the share that an engine turns away; seconds that a request runs
LEAVES, PIECES, RESTS, ONCE = 0.04, 0.1, 0.1, 0.3  # the shares of requests, or of pauses
ANSWER_WITHIN = 2.0  # seconds behind a request's time until its client gives up waiting
LONGEST_WAIT = 3.0  # seconds


class Engine:
    """One engine: answers requests, hangs, resets its connections, drains and goes."""

    def __init__(self, endpoint: names.Endpoint, records: Records, chance: random.Random) -> None:
        self.endpoint, self.records, self.chance = endpoint, records, chance
        self.hung_until = 0.0
        self.writers = set[asyncio.StreamWriter]()
        self.server: asyncio.Server | None = None
        self.work = set[asyncio.Task[None]]()

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self.serve, self.endpoint.host, self.endpoint.port)

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    def stop(self) -> None:
        """Gone."""
        assert self.server is not None
        self.server.close()
        self.reset()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One connection's commands."""
        parser = ArrayParser()
        self.writers.add(writer)
        with suppress(OSError, asyncio.CancelledError):
            while data := await reader.read(65_536):
                parser.feed(data)
                while (parts := parser.take()) is not None:
                    if bytes(parts[0]) == b"serve":
                        self.take(writer, bytes(parts[1]), bytes(parts[2]).decode())
        self.writers.discard(writer)
        writer.close()

    def take(self, writer: asyncio.StreamWriter, ident: bytes, fields: str) -> None:
        """One request; its answer comes later."""
        told = dict(pair.split("=", 1) for pair in fields.split(","))
        ran = self.chance.random() >= FULL
        attempt = Attempt(monotonic(), ident.decode(), self.endpoint.ident, int(told["wait"]) / 1000, ran)
        self.records.attempts.append(attempt)
        task = asyncio.create_task(self.answer(writer, ident, ran))
        self.work.add(task)
        task.add_done_callback(self.work.discard)

    async def answer(self, writer: asyncio.StreamWriter, ident: bytes, ran: bool) -> None:
        """Run it, unless it was turned away; a hung engine answers once it goes on."""
        await asyncio.sleep(self.chance.uniform(0.002, SLOWEST) if ran else 0.0)
        while (left := self.hung_until - monotonic()) > 0:
            await asyncio.sleep(left)
        told = (ident, b"200", b"parts=1", ident + b"\t1\tx\n") if ran else (ident, b"503", b"-", b"")
        with suppress(OSError, RuntimeError):
            writer.write(command(*told))


@dataclass
class Door:
    """Where one dispatcher takes requests, and what clients may still do there."""

    number: int
    address: tuple[str, int]
    new_until: float = float("inf")  # no new connections from then on
    idle: list[socket.socket] = field(default_factory=list)  # of the crowd


class Clients:
    """Clients of one dispatcher, each with a connection at a time, used until the dispatcher ends it."""

    def __init__(
        self, door: Door, records: Records, chance: random.Random, numbers: Callable[[], int]
    ) -> None:
        self.door, self.records, self.chance, self.numbers = door, records, chance, numbers
        self.ending = False

    async def run(self) -> None:
        """One client, until the run ends."""
        while not self.ending:
            if monotonic() > self.door.new_until:
                await asyncio.sleep(0.05)
                continue
            try:
                reader, writer = await asyncio.open_connection(*self.door.address)
            except OSError:
                await asyncio.sleep(0.1)
                continue
            with suppress(OSError):
                await self.use(reader, writer)
            writer.transport.abort()

    async def use(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Requests one after another on a connection, until its end."""
        for _ in range(self.chance.randint(1, 60)):
            if self.ending or reader.at_eof() or not await self.ask(reader, writer):
                return
            resting = self.chance.random() < RESTS
            await asyncio.sleep(self.chance.uniform(0.5, 4.0) if resting else self.chance.uniform(0.0, 0.08))

    def request(self) -> Request:
        """The next one."""
        ident, once = f"{self.numbers():016x}", self.chance.random() < ONCE
        wait = self.chance.choice((0.25, 0.5, 1.0, 2.0, LONGEST_WAIT))
        request = self.records.requests[ident] = Request(ident, self.door.number, once, wait)
        return request

    async def ask(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """One request; whether the connection may be used again."""
        request = self.request()
        request.sent_at = monotonic()
        await self.write(writer, request)
        if self.chance.random() < LEAVES:
            await asyncio.sleep(self.chance.uniform(0.0, 0.05))
            writer.transport.abort()
            self.end(request, End.LEFT)
            return False
        try:
            status, keep, body = await asyncio.wait_for(answer(reader), request.wait + ANSWER_WITHIN)
        except TimeoutError:
            request.ended_at = monotonic()
            return False
        except (asyncio.IncompleteReadError, OSError):
            self.end(request, End.CLOSED)
            return False
        except ValueError:
            self.end(request, End.SPOILT)
            return False
        self.end(request, end_of(status, body, request.ident))
        return keep

    def end(self, request: Request, end: End) -> None:
        """How it ended, now."""
        request.ended_at, request.end = monotonic(), end

    async def write(self, writer: asyncio.StreamWriter, request: Request) -> None:
        """Whole, or in pieces; its time counts from its last byte."""
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
        if self.chance.random() < PIECES:
            cut = self.chance.randrange(1, len(message))
            writer.write(message[:cut])
            await asyncio.sleep(self.chance.uniform(0.0, 0.2))
            message = message[cut:]
        request.sent_at = monotonic()
        writer.write(message)


async def answer(reader: asyncio.StreamReader) -> tuple[int, bool, bytes]:
    """Status, whether the connection is kept, and body.

    Raises:
        IncompleteReadError: The connection has ended before the answer did.
        ValueError: It is no answer.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = dict(line.lower().split(": ", 1) for line in lines[1:] if line)
    body = await reader.readexactly(int(fields["content-length"]))
    return int(lines[0].split()[1]), fields.get("connection") != "close", body


def end_of(status: int, body: bytes, ident: str) -> End:
    """What an answer says."""
    if status in (429, 503) or b'"TryLater"' in body:
        return End.REFUSED
    if status == 200:
        return End.SERVED if ident.encode() in body else End.SPOILT
    return End.FAILED if status == 500 else End.SPOILT
