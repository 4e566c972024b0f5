"""Stand-ins for the review's cases: compute nodes, a name service, HTTP clients, and dispatchers under test.

They follow PROTOCOL.md and DEPLOY.md. All of them but the dispatchers live in the process of the script, on
free ports of loopback addresses. Standard library only.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import secrets
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
SERVICE = "_api._tcp.svc.local"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRun(Exception):
    """The case could not be played."""


class Record:
    """What was sent, answered and run, written to record.txt with ms since the start."""

    def __init__(self, path: Path) -> None:
        self.began = time.monotonic()
        self.file = path.open("w", encoding="utf-8")

    def ms(self) -> float:
        return (time.monotonic() - self.began) * 1000

    def __call__(self, what: str, **figures: object) -> None:
        rest = "".join(f" {name}={value}" for name, value in figures.items())
        self.file.write(f"{self.ms():9.1f} {what}{rest}\n")
        self.file.flush()


def free_port(host: str, kind: int = socket.SOCK_STREAM, wanted: int = 0) -> int:
    """A free port of a host; 0 if the wanted one is not free."""
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind((host, wanted))
        except OSError:
            return 0
        return int(probe.getsockname()[1])


def common_port(one: str, other: str, kind: int) -> int:
    """A port that is free at both hosts."""
    for _ in range(100):
        port = free_port(one, kind)
        if free_port(other, kind, port):
            return port
    raise CouldNotRun("no free port")


# The name service (RFC 1035).


def dns_name(name: str) -> bytes:
    return b"".join(bytes([len(label)]) + label.encode() for label in name.split(".")) + b"\0"


def dns_record(owner: str, kind: int, data: bytes) -> bytes:
    return dns_name(owner) + struct.pack("!HHIH", kind, 1, 0, len(data)) + data


class NameService(asyncio.DatagramProtocol):
    """Answers each query at once with the whole list."""

    def __init__(self, nodes: list[Node], record: Record) -> None:
        self.nodes, self.record, self.number = nodes, record, 1
        self.answered = 0

    async def open(self, host: str) -> str:
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(host, 0))
        return f"{host}:{self.transport.get_extra_info('sockname')[1]}"

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, address: Any) -> None:
        question = data[12:]
        services, more = b"", b""
        for node in self.nodes:
            target = f"{node.ident}.{node.zone}.hosts"
            services += dns_record(SERVICE, 33, struct.pack("!3H", 0, 10, node.port) + dns_name(target))
            more += dns_record(target, 1, socket.inet_aton(node.host))
            texts = (f"kind={node.kind}", "cell=0", "started=0")
            more += dns_record(target, 16, b"".join(bytes([len(t)]) + t.encode() for t in texts))
        soa = (
            dns_name("ns.svc.local")
            + dns_name("hosts.svc.local")
            + struct.pack("!5I", self.number, 1, 1, 1, 1)
        )
        counts = struct.pack("!6H", 0, 0x8400, 1, len(self.nodes), 1, 2 * len(self.nodes))
        authority = dns_record("svc.local", 6, soa)
        self.answered += 1
        self.transport.sendto(data[:2] + counts[2:] + question + services + authority + more, address)


# Compute nodes (RESP arrays of bulk strings).


def resp(*parts: bytes) -> bytes:
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)


async def read_array(reader: asyncio.StreamReader) -> list[bytes]:
    count = int((await reader.readuntil(b"\r\n"))[1:-2])
    parts = []
    for _ in range(count):
        size = int((await reader.readuntil(b"\r\n"))[1:-2])
        parts.append((await reader.readexactly(size + 2))[:-2])
    return parts


class Node:
    """A compute node that runs each request for `work_ms` and answers it with the pages that it makes."""

    def __init__(self, ident: str, host: str, work_ms: float, record: Record, kind: str, zone: str) -> None:
        self.ident, self.host, self.work_ms, self.record = ident, host, work_ms, record
        self.kind, self.zone, self.port = kind, zone, 0
        self.runs: list[tuple[str, str]] = []  # (id, class) of each request that ran here
        self.tasks: set[asyncio.Task[None]] = set()
        self.results: dict[bytes, list[bytes]] = {}  # by id, the pages of each request that ran here

    async def open(self) -> None:
        self.server = await asyncio.start_server(self.connected, self.host, 0, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    def listed(self) -> dict[str, object]:
        return {
            "instanceId": self.ident,
            "hostPort": f"{self.host}:{self.port}",
            "zone": self.zone,
            "machineType": self.kind,
            "cell": 0,
            "lifecycle": "SERVING",
            "weight": 1,
            "startedAtMs": 0,
        }

    async def connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        running: dict[bytes, asyncio.Task[None]] = {}
        try:
            while True:
                word, *rest = await read_array(reader)
                if word == b"serve":
                    task = asyncio.create_task(self.run(rest[0], rest[1], writer))
                    running[rest[0]] = task
                    self.tasks.add(task)
                    task.add_done_callback(self.tasks.discard)
                elif word == b"cancel" and rest[0] in running:
                    self.record("cancelled", node=self.ident, id=rest[0].decode())
                    running.pop(rest[0]).cancel()
                elif word == b"read":
                    page = self.results[rest[0]][int(rest[1])]
                    writer.write(resp(rest[0], b"chunk", b"part_no=%b" % rest[1], page))
                elif word in (b"health", b"gauges"):
                    writer.write(resp(rest[0], b"alive", b"-", b""))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            for task in running.values():  # closing a connection gives up all that is open on it
                task.cancel()
            writer.close()

    async def run(self, ident: bytes, fields: bytes, writer: asyncio.StreamWriter) -> None:
        known = dict(pair.partition("=")[::2] for pair in fields.decode().split(","))
        self.runs.append((ident.decode(), known["class"]))
        self.record("begun", node=self.ident, id=ident.decode(), fields=fields.decode())
        await asyncio.sleep(self.work_ms / 1000)
        self.record("ran", node=self.ident, id=ident.decode())
        await self.answer(ident, writer)

    async def answer(self, ident: bytes, writer: asyncio.StreamWriter) -> None:
        pages = self.results[ident] = self.pages_of(ident)
        writer.write(resp(ident, b"200", self.fields_of(ident, len(pages)), pages[0]))

    def pages_of(self, ident: bytes) -> list[bytes]:
        return [b"%b\t1\tx\n" % ident]

    def fields_of(self, ident: bytes, pages: int) -> bytes:
        return b"parts=%d" % pages


# Clients.


class Call:
    """A request of a client: when its last byte was written, how long it waits, how it was answered."""

    def __init__(self, workload: str, wait_ms: float, statement: bytes, *fields: str) -> None:
        self.ident, self.workload, self.wait_ms = secrets.token_hex(8), workload, wait_ms
        self.statement, self.fields = statement, fields
        self.sent_at: float | None = None  # by the monotonic clock, in ms
        self.answered_at: float | None = None
        self.status, self.body, self.end = 0, b"", "none"

    def message(self) -> bytes:
        lines = [
            f"POST /ops/{self.workload} HTTP/1.1",
            "Host: origin.svc",
            f"Req-Id: {self.ident}",
            f"Req-Wait-Ms: {self.wait_ms:.0f}",
            *self.fields,
            f"Content-Length: {len(self.statement)}",
        ]
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + self.statement

    def took(self) -> float | None:
        return None if self.sent_at is None or self.answered_at is None else self.answered_at - self.sent_at


def now_ms() -> float:
    return time.monotonic() * 1000


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, dict[str, str], bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    first, *lines = head.strip().split("\r\n")
    fields = {
        name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)
    }
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    return int(first.split()[1]), fields, body


async def take_answer(reader: asyncio.StreamReader, call: Call, record: Record) -> dict[str, str]:
    """Read the answer to a call, and note it."""
    call.status, fields, call.body = await read_answer(reader)
    call.answered_at = now_ms()
    call.end = "answered"
    record("answered", id=call.ident, status=call.status, after_ms=f"{call.took():.1f}")
    return fields


# Dispatchers under test.


def command(name: str) -> str:
    return str(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())[name])


class Dispatcher:
    """The program that `run` of the deploy file starts, with a configuration file of its own."""

    def __init__(self, folder: Path, record: Record, host: str, name: str = "n1") -> None:
        self.folder, self.record, self.host, self.name = folder, record, host, name
        self.arguments = ""
        self.port = free_port(host)
        self.process: subprocess.Popen[bytes] | None = None

    def configure(
        self, nameserver: str, nodes: list[Node], settings: dict[str, Any], **limits: object
    ) -> None:
        known = {"generation": 1, "reset": True, "instances": [node.listed() for node in nodes]}
        configuration = {
            "name": self.name,
            "listen": f"{self.host}:{self.port}",
            "seed": secrets.token_hex(8),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, **limits},
            "nameserver": nameserver,
            "known": {"no": 1, "items": [{"no": 1, "roster": known}]},
            "settings": settings,
        }
        (self.folder / "config.json").write_text(json.dumps(configuration))

    def install(self, text: str) -> None:
        """Give it an operator's file; that needs the extras of requirements-all.txt."""
        file = self.folder / "installation.yaml"
        file.write_text(text)
        self.arguments = f" run --settings {file}"

    async def start(self) -> None:
        """Start it, and wait for its first 200 to GET /alive, 30 s at most."""
        environment = {
            **os.environ,
            "ROUTER_CONFIG": str(self.folder / "config.json"),
            "ROUTER_NAME": self.name,
            "ROUTER_LISTEN": f"{self.host}:{self.port}",
            "TMPDIR": str(self.folder),
        }
        log = (self.folder / "dispatcher.log").open("ab")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command("run") + self.arguments],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        self.record("dispatcher_started", name=self.name)
        until = time.monotonic() + 30
        while time.monotonic() < until and self.process.poll() is None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(self.host, self.port)
                writer.write(b"GET /alive HTTP/1.1\r\nHost: origin.svc\r\n\r\n")
                status, _, _ = await asyncio.wait_for(read_answer(reader), 5)
                writer.close()
                if status == 200:
                    self.record("dispatcher_ready", name=self.name)
                    return
            await asyncio.sleep(0.05)
        raise CouldNotRun("the dispatcher was not ready within 30 s: " + self.log()[-500:])

    def log(self) -> str:
        return (self.folder / "dispatcher.log").read_text(errors="replace")

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.record("signal", name=number.name)
        self.process.send_signal(number)

    def ended(self) -> bool:
        return self.process is not None and self.process.poll() is not None

    def kill(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()


def settings(*grades: dict[str, Any], **limits: object) -> dict[str, Any]:
    """Settings of a small deployment in the form of WIRE-spurdeal.md, figures like those of stirling-main."""
    return {
        "balancers": 1,
        "grades": list(grades),
        "index": 0,
        "kind_of_service": "queries",
        "membership_mode": "pushed",
        "models": ["std-8"],
        "zones": ["stirling"],
        "zone": 0,
        "tenants": [],
        "extra": {
            "cpu_of_kind": [8],
            "memory_by_kind_mb": [24576.0],
            "memory_short": "queue",
            "note_period": 0.0,
            "parallelism": [1 for _ in grades],
            "holds_tables": [False for _ in grades],
            "class_waits": [False for _ in grades],
            "priorities": True,
        },
        "limits": {
            "cancelling": True,
            "conn_idle": 30000.0,
            "dial_timeout": 250.0,
            "max_retry_after": 500.0,
            "retry_after": True,
            "second_copies": False,
            "send_cap": 4,
            "streams_per_conn": 32,
            **limits,
        },
        "report": {"fields": ["q"], "how": "pull"},
        "rules": {
            "cold": 15000.0,
            "cold_share": 0.31,
            "drain_grace": 250.0,
            "fall_multiple": 2.0,
            "grace_to_answer": 20.0,
            "tip_after": 1500.0,
        },
    }


LOOKUP = {"name": "lookup", "aim": 1200.0, "aim_stretch": 1.5, "deadline": 6000.0, "worth": 1.0,
          "late_worth": 0.1, "effect": "repeatable", "group": "all", "window": 0.0}  # fmt: skip
FILE_LOAD = {"name": "file-load", "aim": 3000.0, "aim_stretch": 3.0, "deadline": 20000.0, "worth": 3.0,
             "late_worth": 0.5, "effect": "once", "group": "all", "window": 0.0}  # fmt: skip


def play(case: str, course: Callable[[Path, Record], Awaitable[int]], limit_s: float = 110.0) -> None:
    """Play a case within a time limit, and exit with its code."""
    record = Record(Path(case).resolve().parent / "record.txt")
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    record("begin", trouble=int(TROUBLE))
    try:
        code = asyncio.run(asyncio.wait_for(course(folder, record), limit_s))
    except (CouldNotRun, OSError, TimeoutError) as fault:
        record("could_not_run", why=repr(fault))
        code = COULD_NOT_RUN
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    record("end", code=code, verdict={HELD: "held", BROKEN: "broken"}.get(code, "could not run"))
    print(Path(case).resolve().parent.joinpath("record.txt").read_text().splitlines()[-1])
    sys.exit(code)
