"""A rig of many real dispatcher processes on loopback, with stand-ins for everything around them.

Each dispatcher has its own name service, disk and clock, and a simulated link to each other that can lose,
delay, repeat or cut datagrams in one direction or both. Engines log what ran. The load is open loop: a
request whose connection was refused is sent to another dispatcher; one whose connection was lost is sent
again only if it is idempotent. All random choices come from one seed, which is printed.
"""

from __future__ import annotations

import json
import random
import signal
import time
import zlib
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

from .address_load import ClientRequest
from .emulated_links import HostPort
from .engines import Engine, EngineFleet
from .link_mesh import FLEET_PORT, RELAY_PORT, LinkMesh
from .loopback import Network
from .name_server import Endpoint, NameServer
from .platform_settings import Platform
from .rig_process import AFTER, PORT, WAIT, Process

NAMES = 5300
CORES, COLD_FOR, COLD_SHARE, MULTIPLE, WINDOW = 4, 6000, 0.3, 2.0, 1500
GRACE = 250.0  # ms
KEY = "5f" * 32
DETECTION_DELAY = 1.0  # seconds until clients know that a dispatcher is down


class Rig:
    """Dispatcher processes, engines, name services and links in this process's loopback network.

    Without `fleet` the dispatchers know nothing of each other: the baseline of the figures.

    Attributes:
        subnet: The dispatchers' subnet; the engines have the next one.
        terms: Settings of the fleet section.
        list: The newest version of the engine list.
        initial_list: The list that dispatchers start with.
        names: The name service of each dispatcher.
        following: Whether a dispatcher's name service gets new versions of the list.
        released: For each change of the list its Unix time in s, the list's number and the engine that left
            or drains.
        dead_since: When a dispatcher was killed, in Unix s; DETECTION_DELAY earlier if it was stopped, as
            clients notice that at once.
    """

    def __init__(
        self,
        reactor: Any,
        subnet: int,
        folder: Path,
        count: int,
        seed: int,
        fleet: bool = True,
        terms: Mapping[str, str] | None = None,
        engines: int = 6,
    ) -> None:
        self.reactor, self.folder, self.fleet_on = reactor, folder, fleet
        self.network, self.subnet = Network.of_this_process(), subnet
        self.terms = {
            "period": "100ms",
            "lease": "900ms",
            "behind_for": "1500ms",
            "shut_after": "2500ms",
        } | dict(terms or {})
        self.seed, self.chance = seed, random.Random(seed)
        self.cables = LinkMesh(reactor, random.Random(seed + 1))
        self.engines = EngineFleet(reactor, CORES, COLD_FOR, COLD_SHARE, MULTIPLE, WINDOW)
        self.next_engine = 0
        self.list = NameServer([self.new_engine(cold=False) for _ in range(engines)])
        self.initial_list = self.list.known()
        self.names: dict[str, NameServer] = {}
        self.following: dict[str, bool] = {}
        self.processes: dict[str, Process] = {}
        self.count = count
        self.released: list[tuple[float, int, str]] = []
        self.dead_since: dict[str, float] = {}
        for number in range(count):
            self.add(number)

    # Engines, name services and links.

    def new_engine(self, cold: bool) -> Endpoint:
        """Start another engine; return its entry for the list."""
        number, self.next_engine = self.next_engine, self.next_engine + 1
        host = self.network.host(self.subnet + 1, number % 250 + 1)
        self.engines.start(f"s-{number}", host, PORT, cold)
        return Endpoint(f"s-{number}", host, PORT, started=int(time.time() * 1000) if cold else 0)

    def engine(self, ident: str) -> Engine:
        """The engine with this name."""
        return next(each for each in self.engines.engines if each.ident == ident)

    def add(self, number: int) -> Process:
        """Set up a dispatcher's link and name service, without starting it."""
        name, host = f"d{number}", self.network.host(self.subnet, number + 1)
        process = self.processes[name] = Process(name, host, self.folder, number)
        self.cables.add(name, host)
        self.names[name], self.following[name] = NameServer(self.list.endpoints), True
        self.names[name].serial = self.list.serial
        self.reactor.listenUDP(NAMES, self.names[name], interface=host, maxPacketSize=65_535)
        return process

    def release(self, change: str) -> str:
        """Publish a new list to the name services that follow, and return the engine that changed.

        Args:
            change: "drain" marks an engine as draining; anything else replaces one by a cold engine, a
                draining one if there is any.
        """
        endpoints = list(self.list.endpoints)
        ready = [endpoint for endpoint in endpoints if not endpoint.draining]
        changed = ready[0]
        if change == "drain":
            endpoints = [
                endpoint._replace(draining=endpoint.draining or endpoint is changed) for endpoint in endpoints
            ]
        else:
            drained = next((endpoint for endpoint in endpoints if endpoint.draining), changed)
            changed = drained
            endpoints = [endpoint for endpoint in endpoints if endpoint is not drained] + [
                self.new_engine(cold=True)
            ]
            self.reactor.callLater(2.0, self.engine(drained.ident).stop)
        self.list.change(endpoints)
        self.released.append((time.time(), self.list.serial, changed.ident))
        for name in self.names:
            if self.following[name]:
                self.publish_list(name)
        return changed.ident

    def publish_list(self, name: str) -> None:
        """Give the newest list to a dispatcher's name service."""
        self.names[name].endpoints, self.names[name].serial = list(self.list.endpoints), self.list.serial

    def set_following(self, names: Sequence[str], following: bool) -> None:
        """Set whether these dispatchers' name services get new lists; if so, they get the newest now."""
        for name in names:
            self.following[name] = following
            if following:
                self.publish_list(name)

    # The dispatchers.

    def installation(self, process: Process) -> str:
        """The operator's settings file of a dispatcher, as text."""
        if not self.fleet_on:
            return f"name: {process.name}\n"
        seeds = "".join(
            f"\n    - {{name: {other.name}, at: {other.host}:{RELAY_PORT}}}"
            for other in list(self.processes.values())[:3]
        )
        terms = "".join(f"\n  {key}: {value}" for key, value in self.terms.items())
        return f"""name: {process.name}
fleet:
  listen: {process.host}:{FLEET_PORT}
  advertise: {process.host}:{RELAY_PORT}
  keys: [{{id: 1, hex: {KEY}}}]
  seeds:{seeds}{terms}
  revision: {process.revision}
  audit: {{path: {process.disk}, bytes: 67108864, page: 100ms}}
  clock_file: {process.clock}
"""

    def configuration(self, process: Process) -> dict[str, Any]:
        """The platform's configuration of a dispatcher."""
        platform = Platform(
            self.count,
            WAIT,
            CORES,
            GRACE,
            COLD_FOR,
            COLD_SHARE,
            MULTIPLE,
            WINDOW,
            index=process.number,
        )
        return platform.configuration(
            process.name,
            f"{process.host}:{PORT}",
            f"{zlib.crc32(f'{process.name} {self.seed}'.encode()):08x}",
            f"{process.host}:{NAMES}",
            self.initial_list,
        )

    def start(self, name: str) -> None:
        """Start a dispatcher, or restart it; its outage ends with a margin for the start."""
        process = self.processes[name]
        self.launch(process, name)
        process.outages.end(AFTER)
        self.dead_since.pop(name, None)

    def launch(self, process: Process, file: str) -> None:
        """Start a process with its two files, named after `file`."""
        process.launch(json.dumps(self.configuration(process)), self.installation(process), file)

    def kill(self, name: str) -> None:
        """Kill a dispatcher with SIGKILL."""
        self.processes[name].kill()
        self.dead_since[name] = time.time()

    def stop(self, name: str) -> None:
        """Stop a dispatcher with SIGTERM: it answers its open requests and exits."""
        self.processes[name].running().send_signal(signal.SIGTERM)
        self.dead_since[name] = time.time() - DETECTION_DELAY

    def pause(self, name: str) -> None:
        """Pause a dispatcher with SIGSTOP."""
        self.processes[name].pause()

    def resume(self, name: str) -> None:
        """Resume a paused dispatcher."""
        self.processes[name].resume()

    def step_clock(self, name: str, ms: float) -> None:
        """Shift a dispatcher's wall clock by so many ms from the true time."""
        self.processes[name].step_clock(ms)

    def replace_disk(self, name: str, back: Path | None = None) -> Path:
        """Replace a dispatcher's audit log, as Process.replace_disk."""
        return self.processes[name].replace_disk(back)

    def presumed_up(self) -> list[Process]:
        """The dispatchers that clients take for up; they notice a failure after DETECTION_DELAY."""
        now = time.time()
        return [
            process
            for name, process in self.processes.items()
            if process.child is not None and now - self.dead_since.get(name, now) < DETECTION_DELAY
        ]

    def end(self) -> None:
        """Kill all running dispatchers."""
        for process in self.processes.values():
            process.end()

    # Results.

    def in_outage(self, place: HostPort, request: ClientRequest) -> bool:
        """Whether a dispatcher had an outage while the request was open, with a margin of 50 ms."""
        process = next(each for each in self.processes.values() if each.place == place)
        return process.outages.overlap(request.began / 1000 - 0.05, request.deadline / 1000 + 0.05)

    def lines(self, name: str, event: str) -> list[tuple[float, dict[str, str]]]:
        """A dispatcher's log lines of an event: their Unix time in s and their fields."""
        return self.processes[name].lines(event)
