"""What the demo runs: simulated engines, a name server, and a real dispatcher process."""

from __future__ import annotations

import json
import os
import random
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Sequence
from contextlib import closing
from http.client import HTTPConnection
from pathlib import Path

from .demo_load import RequestClass
from .demo_reactor import Reactor
from .engines import Engine, EngineFleet
from .name_server import Endpoint, NameServer

CORES = 2
ENGINES = 8
COLD_FOR, COLD_SHARE, COLD_MULTIPLE, COLD_WINDOW = 2000.0, 0.3, 2.0, 1500.0  # times in ms
DRAIN_GRACE = 250.0  # ms from the first list that drains an engine until nothing more may reach it
SOCKET_LIMIT, MEMORY_MB = 1024, 192
STOP_TIMEOUT = 5.0  # s from SIGTERM until the dispatcher is killed
COUNTERS_TIMEOUT = 2.0  # s for the request of the counters
LAST_LOG_LINES = 5


class DispatcherError(Exception):
    """The dispatcher process exited by itself; the message has its last log lines."""


def free_address() -> tuple[str, int]:
    """Returns a free loopback address; 127.0.0.1 on systems with just that address of 127/8."""
    chance = random.SystemRandom()
    hosts = (f"127.0.{chance.randrange(100, 250)}.{chance.randrange(1, 250)}", "127.0.0.1")
    for host in hosts:
        with socket.socket() as probe:
            try:
                probe.bind((host, 0))
            except OSError:
                continue
            port: int = probe.getsockname()[1]
            return host, port
    raise OSError("no loopback address to listen on")


class RecordingNames(NameServer):
    """A name server that records when each version of its list was first served."""

    def __init__(self, endpoints: Sequence[Endpoint], clock: Callable[[], float]) -> None:
        super().__init__(endpoints)
        self.clock = clock
        self.first_served: dict[int, float] = {}

    def datagramReceived(self, datagram: bytes, address: tuple[str, int]) -> None:
        """Answers a query and records the time if it is the first for this version."""
        self.first_served.setdefault(self.serial, self.clock())
        super().datagramReceived(datagram, address)


class Cluster:
    """Simulated engines and their name server in this process, on a loopback host of their own."""

    def __init__(self, reactor: Reactor, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.host, _ = free_address()
        self.fleet = EngineFleet(reactor, CORES, COLD_FOR, COLD_SHARE, COLD_MULTIPLE, COLD_WINDOW)
        self.names = RecordingNames([self.start_engine(cold=False) for _ in range(ENGINES)], clock)
        port = reactor.listenUDP(0, self.names, interface=self.host, maxPacketSize=65_535)
        self.name_server = f"{self.host}:{port.getHost().port}"

    def start_engine(self, cold: bool) -> Endpoint:
        """Starts an engine that the name server does not list yet."""
        engine = self.fleet.start(f"engine-{len(self.fleet.engines) + 1}", self.host, 0, cold)
        engine.port = engine.listening.getHost().port
        return Endpoint(engine.ident, self.host, engine.port, started=int(time.time() * 1000) if cold else 0)

    def kill(self, ident: str) -> None:
        """Resets an engine's connections and refuses new ones; the name server still lists it."""
        self.engine(ident).stop()

    def drain(self, ident: str) -> int:
        """Lists an engine as draining; returns the version of that list."""
        self.names.change(
            [endpoint._replace(draining=endpoint.ident == ident) for endpoint in self.names.endpoints]
        )
        return self.names.serial

    def join(self) -> str:
        """Starts and lists a cold engine; returns its name."""
        endpoint = self.start_engine(cold=True)
        self.names.change([*self.names.endpoints, endpoint])
        return endpoint.ident

    def engine(self, ident: str) -> Engine:
        """Returns the engine of that name."""
        return next(engine for engine in self.fleet.engines if engine.ident == ident)


class DispatcherProcess:
    """The program itself, `python -O -m spurdeal`, with a configuration in a temporary directory."""

    def __init__(self, cluster: Cluster, classes: Sequence[RequestClass], seed: int) -> None:
        self.host, self.port = self.address = free_address()
        self.folder = tempfile.TemporaryDirectory(prefix="spurdeal-demo-")
        self.log = Path(self.folder.name) / "dispatcher.log"
        self.config_file = Path(self.folder.name) / "config.json"
        self.config_file.write_text(json.dumps(self.configuration(cluster, classes, seed)))
        self.child: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts the process without waiting until it is ready."""
        with open(self.log, "wb") as log:
            self.child = subprocess.Popen(
                [sys.executable, "-O", "-m", "spurdeal"],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=os.environ | {"ROUTER_CONFIG": str(self.config_file)},
                start_new_session=True,  # Ctrl-C signals only the demo, which stops the dispatcher
            )

    def configuration(
        self, cluster: Cluster, classes: Sequence[RequestClass], seed: int
    ) -> dict[str, object]:
        """Returns the configuration in the format that README.md describes."""
        return {
            "name": "demo",
            "listen": f"{self.host}:{self.port}",
            "seed": f"{abs(seed):x}",
            "limits": {"sockets": SOCKET_LIMIT, "memory_mb": MEMORY_MB},
            "nameserver": cluster.name_server,
            "known": cluster.names.known(),
            "settings": {
                "zones": ["east"],
                "models": ["std"],
                "extra": {"cpu_of_kind": [CORES]},
                "grades": [
                    {
                        "name": each.name,
                        "aim": each.objective,
                        "deadline": each.deadline,
                        "late_worth": 0.5,
                        "effect": "once" if each.at_most_once else "repeatable",
                    }
                    for each in classes
                ],
                "limits": {
                    "cancelling": True,
                    "send_cap": 3,
                    "streams_per_conn": 4,
                    "retry_after": True,
                    "max_retry_after": 500,
                },
                "rules": {
                    "drain_grace": DRAIN_GRACE,
                    "cold": COLD_FOR,
                    "cold_share": COLD_SHARE,
                    "fall_multiple": COLD_MULTIPLE,
                    "tip_after": COLD_WINDOW,
                },
            },
        }

    @property
    def pid(self) -> int | None:
        """Its process id; None before the start."""
        return None if self.child is None else self.child.pid

    def is_ready(self) -> bool:
        """Tells whether it accepts requests.

        Raises:
            DispatcherError: The process has exited.
        """
        text = self.log.read_text("utf-8", "replace")
        if self.child is None or self.child.poll() is not None:
            raise DispatcherError("\n".join(text.splitlines()[-LAST_LOG_LINES:]))
        return "event=ready" in text

    def counters(self) -> dict[str, int]:
        """Returns its counters."""
        connection = HTTPConnection(self.host, self.port, timeout=COUNTERS_TIMEOUT)
        with closing(connection):
            connection.request("GET", "/counters")
            found: dict[str, int] = json.load(connection.getresponse())
        return found

    def stop(self, graceful: bool) -> int | None:
        """Stops the process, by SIGTERM if graceful, and removes its directory; returns the exit code."""
        try:
            return self.end_child(self.child, graceful) if self.child is not None else None
        finally:
            self.folder.cleanup()

    @staticmethod
    def end_child(child: subprocess.Popen[bytes], graceful: bool) -> int:
        """Stops the process by SIGTERM if graceful, and by SIGKILL if it still runs."""
        try:
            if graceful:
                child.terminate()
                child.wait(STOP_TIMEOUT)
        except subprocess.TimeoutExpired:
            pass
        finally:
            if child.poll() is None:
                child.kill()
                child.wait()
        return child.returncode
