"""Failover experiment for VRRP, handover and tenure: two real dispatcher processes on loopback, with faults.

VRRP advertisements and handover datagrams pass lossy links; the load goes to the virtual address, wherever
the switch locates it. Faults follow one another: the holder of the address is killed, paused, cut off in one
direction or stopped. Each holder that was killed or stopped restarts with the list of its first start,
although engines have been replaced since.
"""

from __future__ import annotations

import json
import random
import signal
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from ipaddress import ip_address
from pathlib import Path
from typing import Any, NamedTuple
from urllib.request import urlopen

from ..vrrp import advert
from ..vrrp.machine import active_down_interval, skew_time
from ..vrrp.sealed import Keys, Session
from .address_load import ClientRequest, OpenLoopLoad
from .emulated_links import LossyLink, Switch
from .engines import EngineFleet
from .loopback import Network
from .model import figures as models
from .name_server import Endpoint, NameServer
from .percentiles import spread
from .processes import run_module
from .scripted import ScriptRunner
from .takeover_process import (
    ADVERTS,
    COLD_FOR,
    COLD_SHARE,
    CORES,
    HANDOVER,
    INTERVAL,
    MULTIPLE,
    PORT,
    PRIORITIES,
    SHIFT,
    WAIT,
    WINDOW,
    Process,
    RunAddresses,
)

ENGINES = 4
GUARDED_SUBNET, BARE_SUBNET = 8, 18
RATE, NON_IDEMPOTENT_SHARE, COST = 120.0, 0.25, 20.0
SIGNALS = {"kill": signal.SIGKILL, "pause": signal.SIGSTOP, "stop": signal.SIGTERM}
TAKEOVER_LIMIT = 8  # seconds until a takeover counts as missed


class TakeoverTime(NamedTuple):
    """A move of the address: the fault, the share of datagrams lost meanwhile, and ms from fault to move."""

    kind: str
    loss: float
    ms: float


class TakeoverRun:
    """One run of the experiment; without `guarded` neither handover nor tenure is configured (the baseline).

    Attributes:
        takeovers: The moves of the address.
        missed_takeovers: The faults after which the address did not move within TAKEOVER_LIMIT.
        malformed_each: How many malformed datagrams of each kind are sent.
        malformed_sent: How many were sent.
        malformed_dropped: How many of them the receiver counted as dropped.
    """

    def __init__(
        self,
        reactor: Any,
        net: RunAddresses,
        folder: Path,
        guarded: bool,
        seed: int,
        say: Callable[[str], None],
    ) -> None:
        self.reactor, self.net, self.say, self.chance = reactor, net, say, random.Random(seed)
        self.fleet = EngineFleet(reactor, CORES, COLD_FOR, COLD_SHARE, MULTIPLE, WINDOW)
        self.next_engine = 0
        self.names = NameServer([self.new_engine(cold=False) for _ in range(ENGINES)])
        known = self.names.known()
        reactor.listenUDP(net.names[1], self.names, interface=net.names[0], maxPacketSize=65535)
        self.switch = Switch(time.time)
        reactor.listenUDP(net.switch[1], self.switch, interface=net.switch[0])
        self.cables = [
            LossyLink(reactor, (net.hosts["n1"], port), (net.hosts["n2"], port), SHIFT, seed + port)
            for port in (ADVERTS, HANDOVER)
        ]
        self.processes = {name: Process(net, name, folder, known, guarded) for name in net.hosts}
        self.load = OpenLoopLoad(
            reactor,
            lambda: time.time() * 1000,
            self.switch,
            net.address,
            seed,
            RATE,
            WAIT,
            NON_IDEMPOTENT_SHARE,
            COST,
        )
        self.takeovers: list[TakeoverTime] = []
        self.missed_takeovers: list[str] = []
        self.malformed_each, self.malformed_sent, self.malformed_dropped = 1000 if guarded else 0, 0, 0

    def new_engine(self, cold: bool) -> Endpoint:
        """Start another engine; return its entry for the list."""
        number, self.next_engine = self.next_engine, self.next_engine + 1
        host = self.net.engine(number)
        self.fleet.start(f"s-{number}", host, PORT, cold)
        return Endpoint(f"s-{number}", host, PORT, started=int(time.time() * 1000) if cold else 0)

    def replace_engine(self) -> None:
        """Replace the first engine of the list by a cold one; the old engine stops 3 s later."""
        gone = self.names.endpoints[0]
        self.names.change([*self.names.endpoints[1:], self.new_engine(cold=True)])
        engine = next(each for each in self.fleet.engines if each.ident == gone.ident)
        self.reactor.callLater(3.0, engine.stop)

    def loss(self, share: float) -> None:
        """Lose this share of datagrams from now on, and repeat a third as many."""
        for cable in self.cables:
            cable.loss, cable.repeat, cable.delay = share, share / 3, 10 * share

    def cut(self, name: str, cut: bool) -> None:
        """Cut the links in one direction: this dispatcher's datagrams are lost; it still receives."""
        for cable in self.cables:
            cable.cut(towards_one=cut and name == "n2", towards_two=cut and name == "n1")

    def holder(self) -> str:
        """The holder of the address according to the switch; empty if there is none."""
        place = self.switch.table.get(self.net.address)
        return next((name for name, each in self.processes.items() if each.place == place), "")

    def script(self, faults: list[tuple[str, float]]) -> Iterator[float]:
        """The run, one fault after the other; each yield is the number of seconds to wait."""
        for process in self.processes.values():
            process.start()
        while not self.holder():
            yield 0.05
        yield 2.5
        yield from self.malformed()
        self.load.start()
        yield 1.0
        for place, (kind, loss) in enumerate(faults):
            yield from self.fault(place, kind, loss)
        self.load.running = False
        self.loss(0.0)
        yield WAIT / 1000 + 0.5

    def malformed(self) -> Iterator[float]:
        """Send malformed datagrams in the peer's name, of either kind, and count those that are dropped."""
        before = self.dropped()
        good = advert.write(
            advert.Advert(1, 200, INTERVAL, (ip_address(self.net.address),)),
            *map(ip_address, self.net.hosts.values()),
        )
        forged = Session("n1", "n2", 1, Keys({1: b"x" * 32}))
        adverts, handover = self.cables
        for number in range(self.malformed_each):
            corrupted = bytearray(good)
            corrupted[number % 8] ^= 1 << self.chance.randrange(8)
            adverts.inject(bytes(corrupted) if number % 4 else self.chance.randbytes(number % 40))
            sealed = bytearray(
                forged.write(0.0, {"list": number}) if number % 2 or not handover.last else handover.last
            )
            sealed[self.chance.randrange(len(sealed))] ^= 1 << self.chance.randrange(8)
            handover.inject(bytes(sealed) if number % 8 else bytes(sealed)[: number % 70])
            if number % 10 == 9:
                yield 0.005
        yield 0.2
        self.malformed_sent, self.malformed_dropped = 2 * self.malformed_each, self.dropped() - before

    def dropped(self) -> int:
        """How many datagrams the second dispatcher has dropped."""
        with urlopen(f"http://{self.net.hosts['n2']}:{PORT}/counters", timeout=5) as answer:
            counters: dict[str, int] = json.load(answer)
        return sum(count for name, count in counters.items() if "_drop_" in name)

    def fault(self, place: int, kind: str, loss: float) -> Iterator[float]:
        """Inject one fault into the holder, wait for the takeover, and repair the fault."""
        self.loss(loss)
        name = self.holder()
        process, began = self.processes[name], time.time()
        if place % 2 == 0:
            self.replace_engine()  # so that an engine is cold during the takeover
        self.inject(kind, name)
        yield from self.await_takeover(kind, loss, name, began)
        yield self.chance.uniform(0.8, 1.2)
        if kind == "pause":
            process.signal(signal.SIGCONT)
        elif kind == "cut":
            self.cut(name, False)
        else:
            yield from self.start_again(process, silent=place % 3 == 0)
        yield 3.0 if loss == 0 else 3.5

    def inject(self, kind: str, name: str) -> None:
        """Inject the fault into this dispatcher."""
        if kind == "cut":
            self.cut(name, True)
        else:
            self.processes[name].signal(SIGNALS[kind])

    def await_takeover(self, kind: str, loss: float, name: str, began: float) -> Iterator[float]:
        """Wait for the address to move to the other dispatcher.

        Only the first move counts: after a one-way cut both announce the address, and the switch may
        alternate.
        """
        holder = self.processes[name].place
        moves: list[float] = []
        while not moves and time.time() < began + TAKEOVER_LIMIT:
            yield 0.002
            moves = [at for at, _, there in self.switch.moves if at >= began and there != holder]
        if not moves:
            self.missed_takeovers.append(kind)
            return
        took = (moves[0] - began) * 1000
        self.takeovers.append(TakeoverTime(kind, loss, took))
        self.say(f"{kind} at loss {loss}: {name} lost the address after {took:.0f} ms")

    def start_again(self, process: Process, silent: bool) -> Iterator[float]:
        """Restart a dispatcher once it has ended.

        Args:
            process: The dispatcher.
            silent: Whether the name service is silent for 1.5 s, so that only the initial list is known.
        """
        while not process.ended():
            yield 0.05
        self.names.silent = silent
        process.start()
        process.outages.end()
        if silent:
            yield 1.5
        self.names.silent = False

    def figures(self) -> dict[str, Any]:
        """The figures of this run, ready for JSON."""
        by_place = {process.place: process for process in self.processes.values()}

        def in_outage(place: tuple[str, int], request: ClientRequest) -> bool:
            return by_place[place].outages.overlap(
                request.began / 1000 - 0.05, request.deadline / 1000 + 0.05
            )

        counts = self.load.counts(in_outage)
        twice = sum(
            self.fleet.runs[request.ident.encode()] > 1
            for request in self.load.requests
            if request.non_idempotent
        )
        one, two = (list(self.processes[name].holding_spans()) for name in self.net.hosts)
        both = [min(a[1], b[1]) - max(a[0], b[0]) for a in one for b in two]
        planned = [ms for kind, loss, ms in self.takeovers if kind == "stop" and loss == 0]
        crash = [ms for kind, loss, ms in self.takeovers if kind != "stop" and loss == 0]
        losses = sorted({loss for _, loss, _ in self.takeovers})
        return counts | {
            "takeovers": len(self.takeovers),
            "takeovers_missed": len(self.missed_takeovers),
            "takeover_ms": spread(crash),
            "planned_takeover_ms": spread(planned),
            "by_loss": {
                str(loss): spread([ms for kind, at, ms in self.takeovers if at == loss and kind != "stop"])
                for loss in losses
            },
            "dual_holder_ms": {
                "sum": round(1000 * sum(ms for ms in both if ms > 0), 1),
                "max": round(1000 * max([0.0, *both]), 1),
            },
            "irreversible_run_twice": twice,
            "cold_budget_used_max": round(self.fleet.max_budget_used(), 3),
            "cold_nodes": sum(engine.warm_at > 0 for engine in self.fleet.engines),
            "cold_nodes_fallen": self.fleet.collapsed_count(),
            "malformed_tried": self.malformed_sent,
            "malformed_accepted": max(0, self.malformed_sent - self.malformed_dropped),
            "datagrams": sum(cable.seen for cable in self.cables),
            "datagrams_lost": sum(cable.lost for cable in self.cables),
        }


def one_run(
    guarded: bool, faults: list[tuple[str, float]], seed: int, say: Callable[[str], None]
) -> dict[str, Any]:
    """One run in this process; Twisted's reactor cannot be restarted, so it needs a process of its own."""
    from twisted.internet import reactor

    loop: Any = reactor
    folder = Path(tempfile.mkdtemp(prefix="spurdeal-lab-"))
    net = RunAddresses(Network.of_this_process(), GUARDED_SUBNET if guarded else BARE_SUBNET)
    run = TakeoverRun(loop, net, folder, guarded, seed, say)
    script = run.script(faults)
    runner = ScriptRunner(loop, script)
    try:
        runner.run()
        if runner.fault is not None:
            return {"fault": repr(runner.fault), "lab_latest_ms": round(runner.lag.max_ms, 1)}
        found = run.figures()
    finally:
        for process in run.processes.values():
            process.end()
    return found | {"logs": str(folder), "lab_latest_ms": round(runner.lag.max_ms, 1)}


RUN_TIMEOUT = 600.0  # seconds
QUICK = [("kill", 0.0), ("pause", 0.0), ("stop", 0.0), ("cut", 0.0)]
ROUND = ("kill", "pause", "stop", "cut", "kill")
FULL = [(kind, loss) for loss in (0.0, 0.0, 0.1, 0.3) for kind in ROUND] + [("stop", 0.0), ("kill", 0.0)]


def run_apart(guarded: bool, quick: bool, say: Callable[[str], None]) -> dict[str, Any]:
    """One run in a process of its own."""
    arguments = ["guarded" if guarded else "bare", "quick" if quick else "full"]
    return run_module("spurdeal.lab.takeover", arguments, RUN_TIMEOUT, say)


def figures(quick: bool, say: Callable[[str], None]) -> dict[str, Any]:
    """The figures of `spurdeal lab vrrp --json`."""
    with ThreadPoolExecutor(2) as pool:
        runs = [pool.submit(run_apart, guarded, quick, say) for guarded in (True, False)]
        found, bare = (run.result() for run in runs)
    ranks = PRIORITIES.items()
    timers = {
        "active_down_ms": {name: active_down_interval(rank, INTERVAL) for name, rank in ranks},
        "skew_ms": {name: skew_time(rank, INTERVAL) for name, rank in ranks},
    }
    checked = models(quick)
    model = {key: checked[key] for key in ("states", "violations", "planted", "planted_found", "checks")}
    return timers | found | {"model": model, "baseline": bare}


if __name__ == "__main__":
    print(
        json.dumps(
            one_run(
                sys.argv[1] == "guarded",
                QUICK if sys.argv[2] == "quick" else FULL,
                7,
                lambda line: print(line, flush=True),
            )
        )
    )
