"""One dispatcher of a soak as a real process: its files, start, exit and signals."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from contextlib import suppress
from pathlib import Path
from time import monotonic
from typing import TYPE_CHECKING

from tests.fault_table import FAULTS_FILE, FaultTable
from tests.helpers import configuration
from tests.soak.judge import STOP_TIMEOUT
from tests.soak.sides import ClientAccess
from tests.stepped_clock import OFFSET_FILE, SteppedClock

if TYPE_CHECKING:
    from tests.soak.soak import Soak

ROOT = Path(__file__).parent.parent.parent
SUBNET, PORT, NAMES_PORTS = 80, 7001, (5300, 5301)
SOCKETS = 128
READY_TIMEOUT, CONNECT_AFTER_STOP = 15.0, 0.4  # seconds
POLL_INTERVAL = 0.01  # seconds


def ignore_hangups() -> None:
    """Ignore SIGHUP until the program installs its own handler."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


class Dispatcher:
    """One dispatcher: its process, its files, and the control of its clock and its system calls."""

    def __init__(self, soak: Soak, number: int) -> None:
        self.soak, self.number = soak, number
        self.host = soak.network.host(SUBNET, 1 + number)
        self.access = ClientAccess(number, (self.host, PORT))
        self.folder = soak.folder / f"n{number}"
        self.folder.mkdir()
        self.faults = FaultTable(self.folder / "faults", create=True)
        self.clock = SteppedClock(self.folder / "clock")
        self.log = (self.folder / "log").open("ab")
        self.process: subprocess.Popen[bytes] | None = None
        self.unavailable = False  # stopping, killed or not ready yet
        self.names_port = NAMES_PORTS[0]

    def configure(self) -> None:
        """Write its configuration, with the current list."""
        soak = self.soak
        roster = {
            "generation": 1,
            "reset": True,
            "instances": [endpoint.instance_entry() for endpoint in soak.names.endpoints],
        }
        known = {"no": soak.names.number, "items": [{"no": soak.names.number, "roster": roster}]}
        config = configuration(
            name=f"n{self.number}",
            listen=f"{self.host}:{PORT}",
            nameserver=f"{soak.names_host}:{self.names_port}",
            limits={"sockets": SOCKETS},
            known=known,
        )
        path = self.folder / "next.json"
        path.write_text(json.dumps(config))
        path.rename(self.folder / "config.json")

    async def start(self) -> None:
        """Start the process; returns once it answers GET /alive."""
        self.configure()
        environment = os.environ | {
            "ROUTER_CONFIG": str(self.folder / "config.json"),
            FAULTS_FILE: str(self.folder / "faults"),
            OFFSET_FILE: str(self.folder / "clock"),
            "PYTHONPATH": str(ROOT),
        }
        command = (sys.executable, "-O", "tests/faulty_process.py")
        self.soak.names.dispatcher_started(self.number)
        self.process = subprocess.Popen(
            command,
            cwd=ROOT,
            env=environment,
            stderr=self.log,
            preexec_fn=ignore_hangups,  # noqa: PLW1509 - as the shell of `run` does
        )
        until = monotonic() + READY_TIMEOUT
        while not await self.is_alive():
            if monotonic() > until or self.process.poll() is not None:
                self.soak.records.crashes.append(f"n{self.number}: not ready, exit {self.process.poll()}")
                return
            await asyncio.sleep(0.05)
        self.access.connect_until, self.unavailable = float("inf"), False

    async def is_alive(self) -> bool:
        """Whether it answers GET /alive with 200."""
        with suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(self.host, PORT)
            try:
                writer.write(b"GET /alive HTTP/1.1\r\nHost: a\r\n\r\n")
                return b" 200 " in await asyncio.wait_for(reader.readline(), 1.0)
            finally:
                writer.transport.abort()
        return False

    def signal(self, number: int) -> None:
        """Send a signal, if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def exited(self, within: float) -> bool:
        """Whether it exits by itself within that time."""
        assert self.process is not None
        until = monotonic() + within
        while self.process.poll() is None and monotonic() < until:
            await asyncio.sleep(POLL_INTERVAL)
        return self.process.poll() is not None

    async def stop(self) -> None:
        """Graceful shutdown; SIGKILL at the earliest moment that the protocol allows."""
        self.unavailable = True
        began = monotonic()
        self.signal(signal.SIGTERM)
        self.access.connect_until = began + CONNECT_AFTER_STOP
        if await self.exited(STOP_TIMEOUT):
            assert self.process is not None
            if self.process.returncode:
                self.soak.records.crashes.append(f"n{self.number}: exit {self.process.returncode}")
        else:
            self.kill(planned=True)

    def kill(self, planned: bool) -> None:
        """Send SIGKILL, and wait for the exit."""
        self.unavailable = True
        self.access.connect_until = 0.0
        self.soak.records.kills[self.number].append((monotonic(), planned))
        self.signal(signal.SIGKILL)
        assert self.process is not None
        self.process.wait()

    def watch(self) -> None:
        """Record an exit that was not requested as a crash."""
        if not self.unavailable and self.process is not None and self.process.poll() is not None:
            self.unavailable = True
            self.soak.records.crashes.append(f"n{self.number}: exit {self.process.returncode} unasked")
