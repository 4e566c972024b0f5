"""A small deployment on loopback: real dispatcher processes, stand-in engines, name service and callers.

The dispatchers are started with the command `run` of `deploy/balancer.toml`. Everything that was sent,
answered and run goes to `record.txt` in the folder of the case. A case exits with 0 if the rule held, with 1
if it was broken, and with 2 if it could not run.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))

from spurdeal.lab.name_server import Endpoint, answer  # noqa: E402
from spurdeal.net.resp import ArrayParser, command  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TIME_LIMIT = 110.0  # seconds for a whole case
READY_WITHIN = 20.0  # seconds
DRAIN_GRACE = 250  # ms, as stirling-main
KEY = "5f" * 32


class CannotRunError(Exception):
    """The case could not run: its result says nothing."""


def new_network() -> str:
    """The first two octets of loopback addresses that this run has to itself, as far as can be seen."""
    chance = random.SystemRandom()
    for _ in range(50):
        network = f"127.{chance.randrange(100, 250)}.{chance.randrange(1, 250)}"
        probe = socket.socket()
        try:
            probe.bind((f"{network}.1", 7001))
            return network
        except OSError:
            continue
        finally:
            probe.close()
    raise CannotRunError("no free loopback address")


class Rig:
    """One run of a case.

    Attributes:
        network: The first three octets of the run's addresses.
        runs: By request id: when and on which engine it was begun, in seconds since the start.
        engines: The stand-in engines.
        processes: The dispatchers by name, the last start of each.
    """

    def __init__(self, folder: Path) -> None:
        self.case, self.network = folder, new_network()
        self.began = time.monotonic()
        self.record = open(folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115 - closed by end()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.runs: dict[str, list[tuple[float, str]]] = {}
        self.done: dict[str, int] = {}
        self.engines: list[Engine] = []
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.started: list[subprocess.Popen[bytes]] = []
        self.command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        self.names = Names(self)

    def host(self, number: int) -> str:
        """An address of the run."""
        return f"{self.network}.{number}"

    def now(self) -> float:
        """Seconds since the start of the run."""
        return time.monotonic() - self.began

    def say(self, text: str) -> None:
        """Write a line to the record, with the time."""
        self.record.write(f"{self.now():8.3f} {text}\n")
        self.record.flush()

    # Stand-ins.

    async def start_stand_ins(self, engines: int, load_ms: float) -> None:
        """Start the name service and warm engines on which each load takes so long."""
        for number in range(engines):
            engine = Engine(self, f"s-{number}", self.host(101 + number), load_ms)
            await engine.start()
            self.engines.append(engine)
        await self.names.start()

    def configuration(self, name: str, host: str, dispatchers: int, **limits: Any) -> dict[str, Any]:
        """The platform's configuration of a dispatcher: two workloads, as at stirling-main."""
        instances = [
            Endpoint(engine.ident, engine.host, engine.port).instance_entry() for engine in self.engines
        ]
        roster = {"generation": 1, "reset": True, "instances": instances}
        lookup = {"name": "lookup", "aim": 1200, "deadline": 6000, "late_worth": 0.5}
        load = {"name": "load", "aim": 3000, "deadline": 20_000, "effect": "once", "late_worth": 0.5}
        return {
            "name": name,
            "listen": f"{host}:7001",
            "seed": f"{random.getrandbits(64):016x}",
            "limits": {"sockets": 1024, "memory_mb": 192} | limits,
            "nameserver": f"{self.names.host}:5300",
            "known": {"no": 1, "items": [{"no": 1, "roster": roster}]},
            "settings": {
                "balancers": dispatchers,
                "zones": ["east"],
                "models": ["std"],
                "grades": [lookup, load],
                "extra": {"cpu_of_kind": [8], "parallelism": [1, 2]},
                "limits": {
                    "cancelling": True,
                    "dial_timeout": 250,
                    "send_cap": 4,
                    "retry_after": True,
                    "max_retry_after": 500,
                    "streams_per_conn": 32,
                },
                "rules": {
                    "drain_grace": DRAIN_GRACE,
                    "cold": 15_000,
                    "cold_share": 0.31,
                    "fall_multiple": 2.0,
                    "tip_after": 1500,
                },
            },
        }

    # Dispatchers.

    def start_dispatcher(
        self, name: str, configuration: dict[str, Any], settings: str | None = None
    ) -> subprocess.Popen[bytes]:
        """Start a dispatcher by the deploy file's command, with an operator's file if one is given."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(configuration))
        line = self.command
        if settings is not None:
            file = self.folder / f"{name}.yaml"
            file.write_text(settings)
            line += f" run --settings {file}"
        with open(self.folder / f"{name}.log", "ab") as log:
            child = subprocess.Popen(
                ["/bin/sh", "-c", line],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=os.environ | {"ROUTER_CONFIG": str(path)},
            )
        self.processes[name] = child
        self.started.append(child)
        self.say(f"{name}: started")
        return child

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a dispatcher a signal."""
        self.say(f"{name}: {number.name}")
        self.processes[name].send_signal(number)

    def log(self, name: str) -> str:
        """What a dispatcher has logged."""
        return (self.folder / f"{name}.log").read_text(errors="replace")

    async def wait_ready(self, name: str, host: str) -> None:
        """Wait until a dispatcher answers GET /alive with 200.

        Raises:
            CannotRunError: It has ended, or does not answer in time.
        """
        until = self.now() + READY_WITHIN
        while self.now() < until:
            if self.processes[name].poll() is not None:
                raise CannotRunError(f"{name} has ended: {self.log(name)[-800:]}")
            with suppress(OSError, asyncio.IncompleteReadError, TimeoutError, asyncio.LimitOverrunError):
                reader, writer = await asyncio.open_connection(host, 7001)
                writer.write(b"GET /alive HTTP/1.1\r\nHost: x\r\n\r\n")
                head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2.0)
                writer.close()
                if b" 200 " in head.split(b"\r\n")[0]:
                    self.say(f"{name}: ready")
                    return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{name} is not ready after {READY_WITHIN} s: {self.log(name)[-800:]}")

    def end(self) -> None:
        """Kill all processes that were started, keep their logs in the record, and remove the folder."""
        for child in self.started:
            if child.poll() is None:
                child.send_signal(signal.SIGCONT)
                child.kill()
            child.wait()
        for log in sorted(self.folder.glob("*.log")):
            self.record.write(f"--- the log of {log.stem}\n{log.read_text(errors='replace')}")
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    # Results.

    def begun(self, ident: str, engine: Engine) -> None:
        """A request has come whole to an engine, which begins it."""
        self.runs.setdefault(ident, []).append((self.now(), engine.ident))
        self.say(f"{engine.ident}: begins {ident}, run {len(self.runs[ident])} of it")


class Names(asyncio.DatagramProtocol):
    """The name service: answers each query with the whole list, at once."""

    def __init__(self, rig: Rig) -> None:
        self.rig, self.host, self.serial = rig, rig.host(99), 1

    async def start(self) -> None:
        """Listen."""
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, local_addr=(self.host, 5300))

    def connection_made(self, transport: Any) -> None:
        """See DatagramProtocol."""
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """See DatagramProtocol."""
        rows = [Endpoint(each.ident, each.host, each.port).record() for each in self.rig.engines]
        self.transport.sendto(answer(data, self.serial, *rows), addr)


class Engine:
    """A warm engine: it begins each request when that has come whole, and answers when it is done.

    A load that has begun is written down at once and goes on to its end, also when its connection ends.
    """

    def __init__(self, rig: Rig, ident: str, host: str, load_ms: float) -> None:
        self.rig, self.ident, self.host, self.port, self.load_ms = rig, ident, host, 7001, load_ms
        self.lookup_ms = 20.0
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen."""
        await asyncio.start_server(self.serve_connection, self.host, self.port, backlog=1024)

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        parser = ArrayParser()
        try:
            while data := await reader.read(65_536):
                parser.feed(data)
                while (parts := parser.take()) is not None:
                    words = [bytes(part) for part in parts]
                    if words[0] == b"serve":
                        self.rig.begun(words[1].decode(), self)
                        took = self.load_ms if b"class=load" in words[2] else self.lookup_ms
                        task = asyncio.ensure_future(self.run(words[1], took / 1000, writer))
                        self.tasks.add(task)
                        task.add_done_callback(self.tasks.discard)
        except OSError:
            pass
        finally:
            with suppress(OSError):
                writer.close()

    async def run(self, ident: bytes, seconds: float, writer: asyncio.StreamWriter) -> None:
        """Run a request to its end and answer it."""
        await asyncio.sleep(seconds)
        self.rig.done[ident.decode()] = self.rig.done.get(ident.decode(), 0) + 1
        self.rig.say(f"{self.ident}: has done {ident.decode()}")
        with suppress(OSError):
            writer.write(command(ident, b"200", b"parts=1", b"a\t1\tx\n"))
            await writer.drain()


def new_ident() -> str:
    """A new request id."""
    return f"{random.getrandbits(64):016x}"


def main(folder: str, case: Callable[[Rig], Awaitable[list[str]]]) -> None:
    """Run a case and exit with its code; the case returns what broke the rule."""
    rig, code = None, 2
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # so that nothing that was started is left
    try:
        rig = Rig(Path(folder).resolve().parent)
        broken = asyncio.run(asyncio.wait_for(case(rig), TIME_LIMIT))
        code = 1 if broken else 0
        for line in broken:
            rig.say(f"BROKEN: {line}")
            print(f"BROKEN: {line}")
        print("the rule was broken" if broken else "the rule held")
        rig.say("the rule was broken" if broken else "the rule held")
    except Exception as fault:  # anything else than a verdict: the case could not run
        code = 2
        print(f"could not run: {type(fault).__name__}: {fault}")
        if rig is not None:
            rig.say(f"could not run: {traceback.format_exc()}")
    finally:
        if rig is not None:
            rig.end()
    sys.stdout.flush()
    os._exit(code)  # gRPC's threads must not hold the exit up
