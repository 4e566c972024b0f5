"""The proof of VRRP, handover and tenure: two real dispatcher processes on loopback, and what goes wrong.

Adverts and handover pass cables that lose; the front sends to the address wherever the switch says that it
is.
Faults come one after the other: the holder is killed, stands still, is cut off one way, or is told to stop.
Each holder that was killed or stopped returns with the list of the very first start, while engines have been
replaced."""

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
from .cables import Cable, Switch
from .engines import EngineFleet
from .front import ClientRequest, OpenLoopLoad
from .loopback import Network
from .model import figures as models
from .names import Endpoint, NameServer
from .processes import run_module
from .scripted import ScriptRunner
from .spread import spread
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
    Net,
    Process,
)

ENGINES = 4
GUARDED_SUBNET, BARE_SUBNET = 8, 18
RATE, HEAVY, COST = 120.0, 0.25, 20.0
SIGNALS = {"kill": signal.SIGKILL, "pause": signal.SIGSTOP, "stop": signal.SIGTERM}
TAKEOVER_MOST = 8  # seconds until a takeover counts as missed


class Takeover(NamedTuple):
    """The address has moved. loss: share of datagrams lost meanwhile; ms: from the fault to the move."""

    kind: str
    loss: float
    ms: float


class Proof:
    """One run of the whole set-up; `faults` are carried out one after the other."""

    def __init__(
        self, reactor: Any, net: Net, folder: Path, guarded: bool, seed: int, say: Callable[[str], None]
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
            Cable(reactor, (net.hosts["n1"], port), (net.hosts["n2"], port), SHIFT, seed + port)
            for port in (ADVERTS, HANDOVER)
        ]
        self.processes = {name: Process(net, name, folder, known, guarded) for name in net.hosts}
        self.front = OpenLoopLoad(
            reactor, lambda: time.time() * 1000, self.switch, net.address, seed, RATE, WAIT, HEAVY, COST
        )
        self.takeovers: list[Takeover] = []
        self.missed: list[str] = []
        self.bad, self.tried, self.refused = 1000 if guarded else 0, 0, 0

    def new_engine(self, cold: bool) -> Endpoint:
        """Start another engine; its entry for the list."""
        number, self.next_engine = self.next_engine, self.next_engine + 1
        host = self.net.engine(number)
        self.fleet.start(f"s-{number}", host, PORT, cold)
        return Endpoint(f"s-{number}", host, PORT, started=int(time.time() * 1000) if cold else 0)

    def replace_engine(self) -> None:
        """One leaves the list and ends a little later; a cold one comes in its place."""
        gone = self.names.endpoints[0]
        self.names.change([*self.names.endpoints[1:], self.new_engine(cold=True)])
        engine = next(each for each in self.fleet.engines if each.ident == gone.ident)
        self.reactor.callLater(3.0, engine.stop)

    def loss(self, share: float) -> None:
        """That share of datagrams is lost from here on, a third of it repeated."""
        for cable in self.cables:
            cable.loss, cable.repeat, cable.delay = share, share / 3, 10 * share

    def cut(self, name: str, cut: bool) -> None:
        """One way: what this one says reaches nobody; it hears all."""
        for cable in self.cables:
            cable.cut(towards_one=cut and name == "n2", towards_two=cut and name == "n1")

    def holder(self) -> str:
        """Who holds the address, as the switch says; empty for nobody."""
        place = self.switch.table.get(self.net.address)
        return next((name for name, each in self.processes.items() if each.place == place), "")

    # The run, a generator: each yield is how many seconds to wait.

    def script(self, faults: list[tuple[str, float]]) -> Iterator[float]:
        """The run; each yield is how many seconds to wait."""
        for process in self.processes.values():
            process.start()
        while not self.holder():
            yield 0.05
        yield 2.5
        yield from self.malformed()
        self.front.start()
        yield 1.0
        for place, (kind, loss) in enumerate(faults):
            yield from self.fault(place, kind, loss)
        self.front.running = False
        self.loss(0.0)
        yield WAIT / 1000 + 0.5

    def malformed(self) -> Iterator[float]:
        """Datagrams that nobody should take, of either kind, in the peer's name; what is counted as
        dropped."""
        before = self.dropped()
        good = advert.write(
            advert.Advert(1, 200, INTERVAL, (ip_address(self.net.address),)),
            *map(ip_address, self.net.hosts.values()),
        )
        forged = Session("n1", "n2", 1, Keys({1: b"x" * 32}))
        adverts, handover = self.cables
        for number in range(self.bad):
            spoilt = bytearray(good)
            spoilt[number % 8] ^= 1 << self.chance.randrange(8)
            adverts.inject(bytes(spoilt) if number % 4 else self.chance.randbytes(number % 40))
            sealed = bytearray(
                forged.write(0.0, {"list": number}) if number % 2 or not handover.last else handover.last
            )
            sealed[self.chance.randrange(len(sealed))] ^= 1 << self.chance.randrange(8)
            handover.inject(bytes(sealed) if number % 8 else bytes(sealed)[: number % 70])
            if number % 10 == 9:
                yield 0.005
        yield 0.2
        self.tried, self.refused = 2 * self.bad, self.dropped() - before

    def dropped(self) -> int:
        """How many datagrams the second dispatcher has refused."""
        with urlopen(f"http://{self.net.hosts['n2']}:{PORT}/counters", timeout=5) as answer:
            counters: dict[str, int] = json.load(answer)
        return sum(count for name, count in counters.items() if "_drop_" in name)

    def fault(self, place: int, kind: str, loss: float) -> Iterator[float]:
        """One fault of the holder, and its return."""
        self.loss(loss)
        name = self.holder()
        process, began = self.processes[name], time.time()
        if place % 2 == 0:
            self.replace_engine()  # a cold one at the moment of takeover
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
        """Let the holder fail."""
        if kind == "cut":
            self.cut(name, True)
        else:
            self.processes[name].signal(SIGNALS[kind])

    def await_takeover(self, kind: str, loss: float, name: str, began: float) -> Iterator[float]:
        """Wait for the address to move. The first move counts: after a one-way cut both announce, and the
        switch may go to and fro."""
        holder = self.processes[name].place
        moves: list[float] = []
        while not moves and time.time() < began + TAKEOVER_MOST:
            yield 0.002
            moves = [at for at, _, there in self.switch.moves if at >= began and there != holder]
        if not moves:
            self.missed.append(kind)
            return
        took = (moves[0] - began) * 1000
        self.takeovers.append(Takeover(kind, loss, took))
        self.say(f"{kind} at loss {loss}: {name} gave way in {took:.0f} ms")

    def start_again(self, process: Process, silent: bool) -> Iterator[float]:
        """Once it has ended. silent: it returns with its very first list, and nobody tells it a newer one."""
        while not process.ended():
            yield 0.05
        self.names.silent = silent
        process.start()
        process.outages.end()
        if silent:
            yield 1.5
        self.names.silent = False

    def figures(self) -> dict[str, Any]:
        by_place = {process.place: process for process in self.processes.values()}

        def in_outage(place: tuple[str, int], request: ClientRequest) -> bool:
            return by_place[place].outages.overlap(
                request.began / 1000 - 0.05, request.deadline / 1000 + 0.05
            )

        counts = self.front.counts(in_outage)
        twice = sum(
            self.fleet.runs[request.ident.encode()] > 1
            for request in self.front.requests
            if request.non_idempotent
        )
        one, two = (list(self.processes[name].held()) for name in self.net.hosts)
        both = [min(a[1], b[1]) - max(a[0], b[0]) for a in one for b in two]
        planned = [ms for kind, loss, ms in self.takeovers if kind == "stop" and loss == 0]
        crash = [ms for kind, loss, ms in self.takeovers if kind != "stop" and loss == 0]
        losses = sorted({loss for _, loss, _ in self.takeovers})
        return counts | {
            "takeovers": len(self.takeovers),
            "takeovers_missed": len(self.missed),
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
            "cold_nodes_fallen": self.fleet.fallen(),
            "malformed_tried": self.tried,
            "malformed_accepted": max(0, self.tried - self.refused),
            "datagrams": sum(cable.seen for cable in self.cables),
            "datagrams_lost": sum(cable.lost for cable in self.cables),
        }


def one_run(
    guarded: bool, faults: list[tuple[str, float]], seed: int, say: Callable[[str], None]
) -> dict[str, Any]:
    """In a process of its own: Twisted's reactor runs once."""
    from twisted.internet import reactor

    loop: Any = reactor
    folder = Path(tempfile.mkdtemp(prefix="spurdeal-lab-"))
    net = Net(Network.of_this_process(), GUARDED_SUBNET if guarded else BARE_SUBNET)
    proof = Proof(loop, net, folder, guarded, seed, say)
    script = proof.script(faults)
    runner = ScriptRunner(loop, script)
    try:
        runner.run()
        if runner.fault is not None:
            return {"fault": repr(runner.fault), "lab_latest_ms": round(runner.lag.most_ms, 1)}
        found = proof.figures()
    finally:
        for process in proof.processes.values():
            process.end()
    return found | {"logs": str(folder), "lab_latest_ms": round(runner.lag.most_ms, 1)}


RUN_TIMEOUT = 600.0  # seconds
QUICK = [("kill", 0.0), ("pause", 0.0), ("stop", 0.0), ("cut", 0.0)]
ROUND = ("kill", "pause", "stop", "cut", "kill")
FULL = [(kind, loss) for loss in (0.0, 0.0, 0.1, 0.3) for kind in ROUND] + [("stop", 0.0), ("kill", 0.0)]


def run_apart(guarded: bool, quick: bool, say: Callable[[str], None]) -> dict[str, Any]:
    """A run in a process of its own."""
    arguments = ["guarded" if guarded else "bare", "quick" if quick else "full"]
    return run_module("spurdeal.lab.takeover", arguments, RUN_TIMEOUT, say)


def figures(quick: bool, say: Callable[[str], None]) -> dict[str, Any]:
    """All that `spurdeal lab vrrp --json` prints."""
    with ThreadPoolExecutor(2) as pool:
        runs = [pool.submit(run_apart, guarded, quick, say) for guarded in (True, False)]
        found, bare = (run.result() for run in runs)
    ranks = PRIORITIES.items()
    told = {
        "active_down_ms": {name: active_down_interval(rank, INTERVAL) for name, rank in ranks},
        "skew_ms": {name: skew_time(rank, INTERVAL) for name, rank in ranks},
    }
    checked = models(quick)
    model = {key: checked[key] for key in ("states", "violations", "planted", "planted_found", "checks")}
    return told | found | {"model": model, "baseline": bare}


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
