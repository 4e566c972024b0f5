"""One run of the rig under load, through its faults."""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Iterator, Sequence
from typing import NamedTuple
from urllib.request import urlopen

from ..crowd import FleetLoad
from ..rig import Rig
from ..rig_process import PORT, WAIT
from .faults import KINDS, QUICK, Faults

RATE, IRREVERSIBLE = 90.0, 0.25  # requests a second; share of those that must not run twice
READY_LOOKS, READY_EVERY = 200, 0.1  # a machine that starts many at once takes its time
IDLE_FOR = 2.0  # seconds in which the CPU of idle dispatchers is measured


class Size(NamedTuple):
    """How large a run is. subnet: which loopback addresses it has in its network."""

    subnet: int
    dispatchers: int
    engines: int
    faults: tuple[str, ...]


SIZES = {
    "small": Size(100, 4, 4, ("kill", "deaf", "pause", "clash")),
    "quick": Size(60, 6, 6, QUICK),
    "full": Size(60, 12, 8, KINDS * 2),
}


class Injected(NamedTuple):
    """A fault that was injected. Times are Unix s."""

    kind: str
    began: float
    ended: float
    targets: tuple[str, ...]


class Run:
    """The script of a run, and what was measured in it."""

    def __init__(self, rig: Rig, say: Callable[[str], None]) -> None:
        self.rig, self.say = rig, say
        self.faults = Faults(rig, rig.seed + 2)
        self.crowd = FleetLoad(rig, rig.seed + 3, RATE, IRREVERSIBLE)
        self.injected: list[Injected] = []
        self.idle_cpu: dict[str, float] = {}  # cores, by dispatcher
        self.counters: dict[str, dict[str, int]] = {}

    def script(self, kinds: Sequence[str]) -> Iterator[float]:
        """The run; each yield is how many seconds to wait."""
        yield from self.start()
        for kind in kinds:
            yield from self.inject(kind)
        self.crowd.running = False
        yield WAIT / 1000 + 0.5
        yield from self.measure_idle()

    def start(self) -> Iterator[float]:
        """Start all dispatchers, then the load."""
        for name in list(self.rig.processes):
            self.rig.start(name)
        for _ in range(READY_LOOKS):
            yield READY_EVERY
            if all(self.rig.lines(name, "ready") for name in self.rig.processes):
                break
        yield 2.5
        self.crowd.start()
        yield 1.0
        self.faults.copy_disks()

    def inject(self, kind: str) -> Iterator[float]:
        """One fault, and healing after it."""
        rig, began, targets = self.rig, time.time(), list[str]()
        yield from self.faults.inject(kind, targets)
        self.injected.append(Injected(kind, began, time.time(), tuple(targets)))
        self.say(f"{kind}: {' '.join(targets)} in {time.time() - began:.1f} s")
        rig.cables.heal()
        rig.set_following(list(rig.names), True)
        for name, process in rig.processes.items():
            if not process.runs() and process.number < rig.count:
                rig.start(name)
        yield 1.0

    def measure_idle(self) -> Iterator[float]:
        """CPU without load, and each dispatcher's counters."""
        processes = self.rig.processes
        before = {name: process.cpu() for name, process in processes.items() if process.runs()}
        yield IDLE_FOR
        for name, used in before.items():
            self.idle_cpu[name] = (processes[name].cpu() - used) / IDLE_FOR
            self.counters[name] = self.counters_of(processes[name].host)

    @staticmethod
    def counters_of(host: str) -> dict[str, int]:
        """A dispatcher's counters; none where it does not answer."""
        try:
            with urlopen(f"http://{host}:{PORT}/counters", timeout=3) as answer:
                found: dict[str, int] = json.load(answer)
                return found
        except OSError:
            return {}
