"""A rig of many processes: dispatchers of the real program on loopback, with what lies between and around
them.

Each has its own name service, its own disk and its own clock, and a cable to each other that can lose, delay,
repeat or be cut, one way or both. Engines keep their own log of what ran. The load is open loop: a request
whose connection was refused goes to another dispatcher; one whose connection was lost goes again only where
it may. All chance comes from one seed, which is printed."""

from __future__ import annotations

import json
import random
import signal
import time
import zlib
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

from .cables import Place
from .engines import Engine, EngineFleet
from .front import ClientRequest
from .loopback import Network
from .mesh import CABLE, FLEET, Cables
from .names import Endpoint, NameServer
from .platform_settings import Platform
from .rig_process import AFTER, PORT, WAIT, Process

NAMES = 5300
CORES, COLD_FOR, COLD_SHARE, MULTIPLE, WINDOW = 4, 6000, 0.3, 2.0, 1500
GRACE = 250.0  # ms
KEY = "5f" * 32
NOTICED = 1.0  # seconds until the front knows that one is dead


class Rig:
    """All of it, in the loopback network of this process; `fleet` off is the baseline.

    Attributes:
        subnet: Of the dispatchers; the engines have the next.
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
        self.cables = Cables(reactor, random.Random(seed + 1))
        self.engines = EngineFleet(reactor, CORES, COLD_FOR, COLD_SHARE, MULTIPLE, WINDOW)
        self.next_engine = 0
        self.list = NameServer([self.new_engine(cold=False) for _ in range(engines)])
        self.known_first = self.list.known()
        self.names: dict[str, NameServer] = {}
        self.following: dict[str, bool] = {}  # does its name service tell it what is new?
        self.processes: dict[str, Process] = {}
        self.count = count
        self.released: list[tuple[float, int, str]] = []  # Unix s, number, which engine went or drains
        self.dead_since: dict[str, float] = {}
        for number in range(count):
            self.add(number)

    # Around the dispatchers.

    def new_engine(self, cold: bool) -> Endpoint:
        """Start another engine; its entry for the list."""
        number, self.next_engine = self.next_engine, self.next_engine + 1
        host = self.network.host(self.subnet + 1, number % 250 + 1)
        self.engines.start(f"s-{number}", host, PORT, cold)
        return Endpoint(f"s-{number}", host, PORT, started=int(time.time() * 1000) if cold else 0)

    def engine(self, ident: str) -> Engine:
        """The engine of that name."""
        return next(each for each in self.engines.engines if each.ident == ident)

    def add(self, number: int) -> Process:
        """Its places on the net; it is not started yet."""
        name, host = f"d{number}", self.network.host(self.subnet, number + 1)
        process = self.processes[name] = Process(name, host, self.folder, number)
        self.cables.add(name, host)
        self.names[name], self.following[name] = NameServer(self.list.endpoints), True
        self.names[name].serial = self.list.serial
        self.reactor.listenUDP(NAMES, self.names[name], interface=host, maxPacketSize=65_535)
        return process

    def release(self, change: str) -> str:
        """The list changes: an engine drains, or goes and a cold one comes. Whose name service follows is
        told."""
        endpoints = list(self.list.endpoints)
        ready = [endpoint for endpoint in endpoints if not endpoint.draining]
        whom = ready[0]
        if change == "drain":
            endpoints = [
                endpoint._replace(draining=endpoint.draining or endpoint is whom) for endpoint in endpoints
            ]
        else:
            drained = next((endpoint for endpoint in endpoints if endpoint.draining), whom)
            whom = drained
            endpoints = [endpoint for endpoint in endpoints if endpoint is not drained] + [
                self.new_engine(cold=True)
            ]
            self.reactor.callLater(2.0, self.engine(drained.ident).stop)
        self.list.change(endpoints)
        self.released.append((time.time(), self.list.serial, whom.ident))
        for name in self.names:
            if self.following[name]:
                self.publish_list(name)
        return whom.ident

    def publish_list(self, name: str) -> None:
        """The dispatcher's name service tells the list of now."""
        self.names[name].endpoints, self.names[name].serial = list(self.list.endpoints), self.list.serial

    def set_following(self, names: Sequence[str], following: bool) -> None:
        """Whether the name service tells these what is new; those that it does are told at once."""
        for name in names:
            self.following[name] = following
            if following:
                self.publish_list(name)

    # The dispatchers.

    def installation(self, process: Process) -> str:
        """The operator's file of that dispatcher."""
        if not self.fleet_on:
            return f"name: {process.name}\n"
        seeds = "".join(
            f"\n    - {{name: {other.name}, at: {other.host}:{CABLE}}}"
            for other in list(self.processes.values())[:3]
        )
        terms = "".join(f"\n  {key}: {value}" for key, value in self.terms.items())
        return f"""name: {process.name}
fleet:
  listen: {process.host}:{FLEET}
  advertise: {process.host}:{CABLE}
  keys: [{{id: 1, hex: {KEY}}}]
  seeds:{seeds}{terms}
  revision: {process.revision}
  audit: {{path: {process.disk}, bytes: 67108864, page: 100ms}}
  clock_file: {process.clock}
"""

    def configuration(self, process: Process) -> dict[str, Any]:
        """What the platform tells that dispatcher."""
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
            self.known_first,
        )

    def start(self, name: str) -> None:
        """Start it, anew too; it is there again as soon as it can be."""
        process = self.processes[name]
        self.launch(process, name)
        process.outages.end(AFTER)
        self.dead_since.pop(name, None)

    def launch(self, process: Process, file: str) -> None:
        """Start a process with its files, so named."""
        process.launch(json.dumps(self.configuration(process)), self.installation(process), file)

    def kill(self, name: str) -> None:
        """SIGKILL."""
        self.processes[name].kill()
        self.dead_since[name] = time.time()

    def stop(self, name: str) -> None:
        """SIGTERM: it answers what it has, and ends."""
        self.processes[name].running().send_signal(signal.SIGTERM)
        self.dead_since[name] = time.time() - NOTICED

    def pause(self, name: str) -> None:
        """It stands still."""
        self.processes[name].pause()

    def resume(self, name: str) -> None:
        """It goes on."""
        self.processes[name].resume()

    def step_clock(self, name: str, ms: float) -> None:
        """Its Unix time is so far on from here."""
        self.processes[name].step_clock(ms)

    def replace_disk(self, name: str, back: Path | None = None) -> Path:
        """As Process.set_disk_aside."""
        return self.processes[name].replace_disk(back)

    def presumed_up(self) -> list[Process]:
        """Those that the front takes for up: it notices a death after a while."""
        now = time.time()
        return [
            process
            for name, process in self.processes.items()
            if process.child is not None and now - self.dead_since.get(name, now) < NOTICED
        ]

    def end(self) -> None:
        """Kill all that run."""
        for process in self.processes.values():
            process.end()

    # What they tell.

    def in_outage(self, place: Place, request: ClientRequest) -> bool:
        """Whether that dispatcher was not to be counted on while the request was open."""
        process = next(each for each in self.processes.values() if each.place == place)
        return process.outages.overlap(request.began / 1000 - 0.05, request.deadline / 1000 + 0.05)

    def lines(self, name: str, event: str) -> list[tuple[float, dict[str, str]]]:
        """Log lines of an event: Unix s, and their pairs."""
        return self.processes[name].lines(event)
