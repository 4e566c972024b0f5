"""One run of the rig under load, with faults."""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Iterator, Sequence
from typing import NamedTuple
from urllib.request import urlopen

from ..fleet_load import FleetLoad
from ..rig import Rig
from ..rig_process import PORT, WAIT
from .faults import KINDS, QUICK, Faults

RATE, NON_IDEMPOTENT_SHARE = 90.0, 0.25  # requests per second; share of non-idempotent ones
READY_POLLS, READY_POLL_INTERVAL = 200, 0.1  # s between polls; many processes start at once
IDLE_MEASURED = 2.0  # s over which the CPU use of idle dispatchers is measured


class Size(NamedTuple):
    """Size of a run. subnet: number of its subnet of loopback addresses."""

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
    """An injected fault; times are Unix s."""

    kind: str
    started_at: float
    ended_at: float
    targets: tuple[str, ...]


class Run:
    """The script of a run and its measurements.

    Attributes:
        injected: The faults so far.
        idle_cpu: By dispatcher, its CPU use without load, in cores.
        counters: By dispatcher, its counters at the end.
    """

    def __init__(self, rig: Rig, say: Callable[[str], None]) -> None:
        self.rig, self.say = rig, say
        self.faults = Faults(rig, rig.seed + 2)
        self.crowd = FleetLoad(rig, rig.seed + 3, RATE, NON_IDEMPOTENT_SHARE)
        self.injected: list[Injected] = []
        self.idle_cpu: dict[str, float] = {}
        self.counters: dict[str, dict[str, int]] = {}

    def script(self, kinds: Sequence[str]) -> Iterator[float]:
        """Carry out the run; yields the seconds to wait."""
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
        for _ in range(READY_POLLS):
            yield READY_POLL_INTERVAL
            if all(self.rig.lines(name, "ready") for name in self.rig.processes):
                break
        yield 2.5
        self.crowd.start()
        yield 1.0
        self.faults.save_disks()

    def inject(self, kind: str) -> Iterator[float]:
        """Inject one fault, and restore the network, name servers and processes afterwards."""
        rig, started_at, targets = self.rig, time.time(), list[str]()
        yield from self.faults.inject(kind, targets)
        self.injected.append(Injected(kind, started_at, time.time(), tuple(targets)))
        self.say(f"{kind}: {' '.join(targets)} in {time.time() - started_at:.1f} s")
        rig.cables.heal()
        rig.set_following(list(rig.names), True)
        for name, process in rig.processes.items():
            if not process.runs() and process.number < rig.count:
                rig.start(name)
        yield 1.0

    def measure_idle(self) -> Iterator[float]:
        """Measure the CPU use without load, and read each dispatcher's counters."""
        processes = self.rig.processes
        before = {name: process.cpu() for name, process in processes.items() if process.runs()}
        yield IDLE_MEASURED
        for name, used in before.items():
            self.idle_cpu[name] = (processes[name].cpu() - used) / IDLE_MEASURED
            self.counters[name] = self.counters_of(processes[name].host)

    @staticmethod
    def counters_of(host: str) -> dict[str, int]:
        """Read a dispatcher's counters; empty if it does not answer."""
        try:
            with urlopen(f"http://{host}:{PORT}/counters", timeout=3) as answer:
                found: dict[str, int] = json.load(answer)
                return found
        except OSError:
            return {}
