"""A rig of many processes: dispatchers of the real program on loopback, with what lies between and around
them.

Each has its own name service, its own disk and its own clock, and a cable to each other that can lose, delay,
repeat or be cut, one way or both. Engines keep their own log of what ran. The load is open loop: a submission
whose connection was refused goes to another dispatcher; one whose connection was lost goes again only where
it may. All chance comes from one seed, which is printed."""

from __future__ import annotations

import json
import random
import shutil
import signal
import subprocess
import time
import zlib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from twisted.internet.protocol import DatagramProtocol

from .cables import Place, Switch
from .engines import Engine, Fleet
from .front import AGAIN, Asked, Dial, Front
from .names import Names, Seat
from .platform_settings import Platform
from .processes import cpu_seconds, start_dispatcher

PORT, FLEET, CABLE, NAMES = 7001, 7114, 7214, 5300
CORES, COLD_FOR, COLD_SHARE, MULTIPLE, WINDOW = 4, 6000, 0.3, 2.0, 1500
WAIT, COST = 2500.0, 12.0
GRACE = 250.0  # ms
KEY = "5f" * 32
NOTICED = 1.0  # seconds until the front knows that one is dead


@dataclass(slots=True)
class Link:
    """One direction between two dispatchers. Shares, and ms at the most."""

    loss: float = 0.0
    repeat: float = 0.0
    delay: float = 0.0
    cut: bool = False


class Plug(DatagramProtocol):
    """Where all others send what is for one dispatcher; it goes on under the sender's own plug's address."""

    transport: Any

    def __init__(self, cables: Cables, name: str) -> None:
        self.cables, self.name = cables, name

    def datagramReceived(self, datagram: bytes, address: Any) -> None:
        self.cables.carry(address[0], self.name, datagram)


class Cables:
    """Between each two. A dispatcher advertises its plug's address, so that others send there."""

    def __init__(self, reactor: Any, chance: random.Random) -> None:
        self.reactor, self.chance = reactor, chance
        self.plugs: dict[str, Plug] = {}
        self.hosts: dict[str, str] = {}
        self.links: dict[tuple[str, str], Link] = {}
        self.usual = Link()
        self.seen = self.lost = self.bytes = 0

    def add(self, name: str, host: str) -> None:
        self.hosts[host] = name
        self.plugs[name] = Plug(self, name)
        self.reactor.listenUDP(CABLE, self.plugs[name], interface=host, maxPacketSize=65_535)

    def carry(self, host: str, to: str, datagram: bytes) -> None:
        sender = self.hosts.get(host)
        if sender is None:
            return
        self.seen += 1
        self.bytes += len(datagram)
        link = self.links.get((sender, to), self.usual)
        if link.cut or self.chance.random() < link.loss:
            self.lost += 1
            return
        place = next(each for each, name in self.hosts.items() if name == to), FLEET
        for _ in range(2 if self.chance.random() < link.repeat else 1):
            if link.delay:
                later = link.delay * self.chance.random() / 1000
                self.reactor.callLater(later, self.deliver, sender, datagram, place)
            else:
                self.deliver(sender, datagram, place)

    def deliver(self, sender: str, datagram: bytes, place: Place) -> None:
        self.plugs[sender].transport.write(datagram, place)

    def cut(self, senders: Sequence[str], receivers: Sequence[str]) -> None:
        """One way; call it twice for both."""
        for sender in senders:
            for receiver in receivers:
                if sender != receiver:
                    self.links[sender, receiver] = Link(cut=True)

    def heal(self) -> None:
        self.links.clear()
        self.usual = Link()


@dataclass
class Process:
    """One real dispatcher: its starts and ends, its files, and when it was not to be counted on."""

    name: str
    host: str
    folder: Path
    number: int
    child: subprocess.Popen[bytes] | None = None
    revision: int = 0
    away: list[tuple[float, float]] = field(default_factory=list)  # Unix s: killed or standing still
    asides: list[Path] = field(default_factory=list)  # logs that were taken away from it

    @property
    def place(self) -> Place:
        return self.host, PORT

    @property
    def log(self) -> Path:
        return self.folder / f"{self.name}.log"

    @property
    def disk(self) -> Path:
        return self.folder / "audit" / self.name

    @property
    def clock(self) -> Path:
        return self.folder / f"{self.name}.clock"

    def runs(self) -> bool:
        return self.child is not None and self.child.poll() is None

    def was_away(self, began: float, ended: float) -> bool:
        return any(start < ended and began < end for start, end in self.away)

    def cpu(self) -> float:
        """Seconds of a core that this start has used."""
        if self.child is None:
            return 0.0
        try:
            return cpu_seconds(self.child.pid)
        except OSError:
            return 0.0


class Crowd(Front):
    """Clients of all dispatchers together."""

    def __init__(self, rig: Rig, seed: int, rate: float, irreversible: float) -> None:
        super().__init__(
            rig.reactor,
            lambda: time.time() * 1000,
            Switch(time.time),
            "",
            seed,
            rate,
            WAIT,
            irreversible,
            COST,
        )
        self.rig = rig

    def send(self, asked: Asked) -> None:
        now = self.clock()
        if asked.over or now >= asked.expiry - 1 or len(asked.ways) >= 8:
            asked.over = True
            return
        places = [each.place for each in self.rig.front_knows() if each.place not in asked.ways]
        if not places:
            self.reactor.callLater(AGAIN / 1000, self.send, asked)
            return
        place = self.chance.choice(places)
        self.reactor.connectTCP(*place, Dial(self, asked, place), timeout=0.5)

    def lost(self, asked: Asked, place: Place, sent: bool) -> None:
        if sent:
            asked.unanswered.append(place)
            if asked.irreversible:  # it may have run: a client that cares does not ask again
                asked.over = True
                return
        self.reactor.callLater(AGAIN / 1000, self.send, asked)


class Rig:
    """All of it. `net` tells the loopback addresses apart from other runs'; `fleet` off is the baseline."""

    def __init__(
        self,
        reactor: Any,
        net: int,
        folder: Path,
        count: int,
        seed: int,
        fleet: bool = True,
        terms: Mapping[str, str] | None = None,
        engines: int = 6,
    ) -> None:
        self.reactor, self.net, self.folder, self.fleet_on = reactor, net, folder, fleet
        self.terms = {
            "period": "100ms",
            "lease": "900ms",
            "behind_for": "1500ms",
            "shut_after": "2500ms",
        } | dict(terms or {})
        self.seed, self.chance = seed, random.Random(seed)
        self.cables = Cables(reactor, random.Random(seed + 1))
        self.engines = Fleet(reactor, CORES, COLD_FOR, COLD_SHARE, MULTIPLE, WINDOW)
        self.next_engine = 0
        self.list = Names([self.new_engine(cold=False) for _ in range(engines)])
        self.known_first = self.list.known()
        self.names: dict[str, Names] = {}
        self.follows: dict[str, bool] = {}  # does its name service tell it what is new?
        self.processes: dict[str, Process] = {}
        self.count = count
        self.released: list[tuple[float, int, str]] = []  # Unix s, number, which engine went or drains
        self.dead_since: dict[str, float] = {}
        for number in range(count):
            self.add(number)

    # Around the dispatchers.

    def new_engine(self, cold: bool) -> Seat:
        number, self.next_engine = self.next_engine, self.next_engine + 1
        host = f"127.0.{self.net + 1}.{number % 250 + 1}"
        self.engines.start(f"s-{number}", host, PORT, cold)
        return Seat(f"s-{number}", host, PORT, started=int(time.time() * 1000) if cold else 0)

    def engine(self, ident: str) -> Engine:
        return next(each for each in self.engines.engines if each.ident == ident)

    def add(self, number: int) -> Process:
        """Its places on the net; it is not started yet."""
        name, host = f"d{number}", f"127.0.{self.net}.{number + 1}"
        process = self.processes[name] = Process(name, host, self.folder, number)
        self.cables.add(name, host)
        self.names[name], self.follows[name] = Names(self.list.seats), True
        self.names[name].serial = self.list.serial
        self.reactor.listenUDP(NAMES, self.names[name], interface=host, maxPacketSize=65_535)
        return process

    def release(self, change: str) -> str:
        """The list changes: an engine drains, or goes and a cold one comes. Whose name service follows is
        told."""
        seats = list(self.list.seats)
        ready = [seat for seat in seats if not seat.draining]
        whom = ready[0]
        if change == "drain":
            seats = [seat._replace(draining=seat.draining or seat is whom) for seat in seats]
        else:
            drained = next((seat for seat in seats if seat.draining), whom)
            whom = drained
            seats = [seat for seat in seats if seat is not drained] + [self.new_engine(cold=True)]
            self.reactor.callLater(2.0, self.engine(drained.ident).stop)
        self.list.change(seats)
        self.released.append((time.time(), self.list.serial, whom.ident))
        for name in self.names:
            if self.follows[name]:
                self.tell(name)
        return whom.ident

    def tell(self, name: str) -> None:
        self.names[name].seats, self.names[name].serial = list(self.list.seats), self.list.serial

    def follow(self, names: Sequence[str], follows: bool) -> None:
        """Whether the name service tells these what is new; those that it does are told at once."""
        for name in names:
            self.follows[name] = follows
            if follows:
                self.tell(name)

    # The dispatchers.

    def installation(self, process: Process) -> str:
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
        process = self.processes[name]
        told, file = self.folder / f"{name}.json", self.folder / f"{name}.yaml"
        told.write_text(json.dumps(self.configuration(process)))
        file.write_text(self.installation(process))
        self.launch(process, told, file, process.log)
        if process.away and process.away[-1][1] == float("inf"):
            process.away[-1] = process.away[-1][0], time.time() + 0.3
        self.dead_since.pop(name, None)

    def launch(self, process: Process, told: Path, file: Path, log: Path) -> None:
        process.child = start_dispatcher(file, told, log)

    def kill(self, name: str) -> None:
        process = self.processes[name]
        assert process.child is not None
        process.child.kill()
        process.child.wait()
        process.away.append((time.time() - 0.02, float("inf")))
        self.dead_since[name] = time.time()

    def stop(self, name: str) -> None:
        """SIGTERM: it answers what it has, and ends."""
        process = self.processes[name]
        assert process.child is not None
        process.child.send_signal(signal.SIGTERM)
        self.dead_since[name] = time.time() - NOTICED

    def pause(self, name: str) -> None:
        process = self.processes[name]
        assert process.child is not None
        process.child.send_signal(signal.SIGSTOP)
        process.away.append((time.time() - 0.02, float("inf")))

    def resume(self, name: str) -> None:
        process = self.processes[name]
        assert process.child is not None
        process.child.send_signal(signal.SIGCONT)
        process.away[-1] = process.away[-1][0], time.time() + 0.3

    def step_clock(self, name: str, ms: float) -> None:
        fresh = self.processes[name].clock.with_suffix(".new")
        fresh.write_text(f"{ms}")
        fresh.rename(self.processes[name].clock)

    def set_disk_aside(self, name: str, back: Path | None = None) -> Path:
        """The disk is empty at its next start, or as it was when `back` was copied. What was there is
        kept."""
        process = self.processes[name]
        aside = self.folder / "aside" / f"{name}-{len(process.asides)}"
        aside.parent.mkdir(exist_ok=True)
        shutil.move(process.disk, aside)
        process.asides.append(aside)
        if back is not None:
            shutil.copytree(back, process.disk)
        return aside

    def front_knows(self) -> list[Process]:
        """Those that the front takes for up: it notices a death after a while."""
        now = time.time()
        return [
            process
            for name, process in self.processes.items()
            if process.child is not None and now - self.dead_since.get(name, now) < NOTICED
        ]

    def end(self) -> None:
        for process in self.processes.values():
            if process.runs():
                assert process.child is not None
                process.child.send_signal(signal.SIGCONT)
                process.child.kill()
                process.child.wait()

    # What they tell.

    def excused(self, place: Place, asked: Asked) -> bool:
        process = next(each for each in self.processes.values() if each.place == place)
        return process.was_away(asked.began / 1000 - 0.05, asked.expiry / 1000 + 0.05)

    def lines(self, name: str, event: str) -> list[tuple[float, dict[str, str]]]:
        """Log lines of an event: Unix s, and their pairs."""
        found = []
        if not self.processes[name].log.exists():
            return []
        for line in self.processes[name].log.read_text(errors="replace").splitlines():
            if f" event={event} " in line or line.endswith(f" event={event}"):
                pairs = dict(part.partition("=")[::2] for part in line.split(" ") if "=" in part)
                found.append((float(pairs["t"]), pairs))
        return found
