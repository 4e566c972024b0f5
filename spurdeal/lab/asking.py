"""The proof of the external processor: a real dispatcher asked by two stand-in proxies, and what goes wrong.

First the same load through the processor and through the HTTP front, with nothing wrong, for what each costs;
then calls with injected timeouts, cancels, outcomes that are never told and retries of the same id by another
proxy or by the HTTP front, while the dispatcher is killed twice and its ledger gets a torn tail."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from urllib.request import urlopen

from .engines import EngineFleet
from .loopback import Network
from .names import Endpoint, NameServer
from .platform_settings import Platform
from .processes import Outages, cpu_seconds, run_module, start_dispatcher
from .proxy import ClientRequest, Proxy
from .spread import spread

PORT, ASK, NAMES_PORT = 7001, 7443, 5300
DISPATCHER_SUBNET, ENGINES_SUBNET = 28, 29
ENGINES, CORES, WAIT, COST, HEAVY = 4, 8, 2500.0, 6.0, 0.3
MESSAGE_TIMEOUT, MOST_TIMEOUT = 200.0, 1000.0
RETRIES, PAUSE, RATE = 4, 0.05, 250.0
RUN_TIMEOUT = 600.0  # seconds
AROUND_A_KILL = 0.3  # seconds that an outage is taken for longer, at both ends
SIZES = {"tiny": (100, 700, 1), "quick": (800, 2400, 2), "full": (3000, 9000, 2)}  # clean, chaotic, kills


@dataclass(frozen=True, slots=True)
class Addresses:
    """Where the dispatcher and its sides are, in the network of the process that runs the proof."""

    network: Network

    @property
    def dispatcher(self) -> str:
        """The host of both of its fronts."""
        return self.network.host(DISPATCHER_SUBNET, 1)

    @property
    def names(self) -> str:
        """The host of the name service."""
        return self.network.host(DISPATCHER_SUBNET, 9)

    def endpoints(self) -> list[Endpoint]:
        """The engines, all warm."""
        hosts = [self.network.host(ENGINES_SUBNET, number + 1) for number in range(ENGINES)]
        return [Endpoint(f"s-{number}", host, PORT) for number, host in enumerate(hosts)]


def settings(addresses: Addresses, folder: Path, ledger: bool) -> str:
    """The operator's file."""
    kept = f"ledger: {{path: {folder}/ledger, flush: turn, keep: 60s}}" if ledger else ""
    return f"""
name: n1
{kept}
extproc:
  listen: {addresses.dispatcher}:{ASK}
  message_timeout: {MESSAGE_TIMEOUT:.0f}ms
  most_timeout: {MOST_TIMEOUT:.0f}ms
"""


def configuration(addresses: Addresses, known: dict[str, Any]) -> dict[str, Any]:
    """What the platform tells the dispatcher."""
    platform = Platform(1, WAIT, CORES, 250, 8000, 0.3, 2, 1500, sockets=4096, extra={"priorities": True})
    listen, nameserver = f"{addresses.dispatcher}:{PORT}", f"{addresses.names}:{NAMES_PORT}"
    return platform.configuration("n1", listen, "8c1f", nameserver, known)


class Dispatcher:
    """The real process, its CPU and its counters."""

    def __init__(self, addresses: Addresses, folder: Path, known: dict[str, Any]) -> None:
        self.addresses, self.folder = addresses, folder
        (folder / "n1.json").write_text(json.dumps(configuration(addresses, known)))
        self.child: subprocess.Popen[bytes] | None = None
        self.outages = Outages()
        self.ledger: Counter[str] = Counter()

    def start(self, ledger: bool = True) -> None:
        """Start it, with or without its ledger."""
        (self.folder / "n1.yaml").write_text(settings(self.addresses, self.folder, ledger))
        self.child = start_dispatcher(
            self.folder / "n1.yaml", self.folder / "n1.json", self.folder / "n1.log", ("extproc", "serve")
        )

    def counters(self) -> dict[str, int]:
        """Its counters. Raises OSError where it does not answer."""
        with urlopen(f"http://{self.addresses.dispatcher}:{PORT}/counters", timeout=5) as answer:
            found: dict[str, int] = json.load(answer)
            return found

    async def ready(self) -> None:
        """Wait until it answers."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                await loop.run_in_executor(None, self.counters)
                return
            except OSError:
                await asyncio.sleep(0.02)

    async def note(self) -> dict[str, int]:
        """What this start's ledger did, kept before it may be killed."""
        found = await asyncio.get_running_loop().run_in_executor(None, self.counters)
        for name in ("appended", "torn", "recovered"):
            self.ledger[name] += found.get("ledger_" + name, 0)
        self.ledger["bytes"] = max(self.ledger["bytes"], found.get("ledger_bytes_most", 0))
        return found

    async def stop(self) -> None:
        """SIGTERM, and wait for its end."""
        assert self.child is not None
        self.child.terminate()
        await asyncio.get_running_loop().run_in_executor(None, self.child.wait)

    async def kill(self, torn: bool) -> None:
        """SIGKILL, and start it anew. torn: its ledger's last write was cut short."""
        await self.note()
        assert self.child is not None
        began = time.time()
        self.child.send_signal(signal.SIGKILL)
        self.child.wait()
        if torn:  # as a write that the machine's end cut short
            with open(self.folder / "ledger" / "ledger.log", "ab") as log:
                log.write(b"\x00\x1a\x12\x34")
        self.start()
        await self.ready()
        self.outages.add(began - AROUND_A_KILL, time.time() + AROUND_A_KILL)

    def cpu(self) -> float:
        """User and system seconds so far."""
        assert self.child is not None
        return cpu_seconds(self.child.pid)


def run_engines(addresses: Addresses) -> None:
    """Engines and name service, until SIGTERM; then prints how often each id ran."""
    from twisted.internet import reactor

    loop: Any = reactor
    endpoints = addresses.endpoints()
    fleet, names = EngineFleet(loop, CORES, 8000, 0.3, 2.0, 1500), NameServer(endpoints)
    for endpoint in endpoints:
        fleet.start(endpoint.ident, endpoint.host, endpoint.port, cold=False)
    loop.listenUDP(NAMES_PORT, names, interface=addresses.names)
    loop.callWhenRunning(lambda: print("ready", flush=True))
    loop.run()
    print(json.dumps({ident.decode(): count for ident, count in fleet.runs.items()}), flush=True)


async def by_http(host: str, request: ClientRequest, wait: float) -> int:
    """The HTTP front, on a connection of its own; as Proxy.go."""
    request.sent_to.append("http")
    workload, body = "load" if request.non_idempotent else "lookup", f"SELECT 1 /* cost={request.cost:.2f} */"
    try:
        reader, writer = await asyncio.open_connection(host, PORT)
    except OSError:
        return -1
    try:
        writer.write(
            f"POST /ops/{workload} HTTP/1.1\r\nHost: x\r\nReq-Id: {request.ident}\r\nReq-Wait-Ms: "
            f"{wait:.0f}\r\nReq-Cost: {request.cost:.2f}\r\nContent-Length: {len(body)}\r\n"
            f"Connection: close\r\n\r\n{body}".encode()
        )
        text = await asyncio.wait_for(reader.read(), wait / 1000 + 0.3)
        return int(text.split(b" ", 2)[1]) if text else 0
    except (OSError, TimeoutError):
        return 0
    finally:
        writer.close()


class Run:
    """One run against one dispatcher."""

    def __init__(self, folder: Path, size: str, say: Callable[[str], None]) -> None:
        self.size, self.say, self.chance = size, say, random.Random(11)
        self.addresses = Addresses(Network.of_this_process())
        self.engines = subprocess.Popen(
            [sys.executable, "-m", "spurdeal.lab.asking", "engines", str(self.addresses.network.number)],
            stdout=subprocess.PIPE,
        )
        assert self.engines.stdout is not None
        self.engines.stdout.readline()  # they listen
        self.dispatcher = Dispatcher(self.addresses, folder, NameServer(self.addresses.endpoints()).known())
        self.runs: Counter[str] = Counter()
        self.proxies: list[Proxy] = []
        self.requests: list[ClientRequest] = []
        self.missing = self.shed_though_run = self.second_paths = 0

    def new(self) -> ClientRequest:
        """Another request."""
        heavy = self.chance.random() < HEAVY
        request = ClientRequest(
            f"{self.chance.getrandbits(64):016x}", heavy, COST * self.chance.uniform(0.5, 1.5)
        )
        self.requests.append(request)
        return request

    async def paced(self, count: int, rate: float, one: Callable[[ClientRequest], Any]) -> None:
        """Open loop: calls are due at fixed times, whatever became of the others."""
        loop = asyncio.get_running_loop()
        began, tasks = loop.time(), []
        for place in range(count):
            await asyncio.sleep(max(0.0, began + place / rate - loop.time()))
            tasks.append(loop.create_task(one(self.new())))
        await asyncio.gather(*tasks)

    async def clean(self, count: int, rate: float, one: Callable[[ClientRequest], Any]) -> float:
        """Calls per CPU second of the dispatcher."""
        before = self.dispatcher.cpu()
        await self.paced(count, rate, one)
        return count / max(0.01, self.dispatcher.cpu() - before)

    async def chaos(self, request: ClientRequest) -> None:
        """A client behind two proxies: it tries the same id by another way while nobody has told it an
        end."""
        loop = asyncio.get_running_loop()
        until, status = loop.time() + WAIT / 1000, -1
        proxy = self.chance.choice(self.proxies)
        attempt = 0
        while attempt < RETRIES:
            left = (until - loop.time()) * 1000
            if left < 50:
                break
            began = time.time()
            if attempt and self.chance.random() < 0.4:
                status = await by_http(self.addresses.dispatcher, request, left)
            else:
                before = proxy.counts["caller_timeouts"], proxy.counts["timeouts_injected"]
                status = await proxy.go(request, left)
                timed_out = proxy.counts["caller_timeouts"] - before[0]
                if (
                    status == 504
                    and timed_out
                    and before[1] == proxy.counts["timeouts_injected"]
                    and not self.dispatcher.outages.overlap(began, time.time())
                ):
                    self.missing += 1
            if status in (200, 500, 502, 503, 409, 400):
                break
            proxy = self.proxies[1 - self.proxies.index(proxy)]
            if status == -1:
                await asyncio.sleep(PAUSE)  # nobody was there; it has taken no way
            else:
                attempt += 1
                self.second_paths += attempt < RETRIES
        request.answers.append(status if status > 0 else 504)
        if self.chance.random() < 0.002:
            await proxy.cut()

    async def go(self) -> dict[str, Any]:
        """The whole run, and its figures."""
        count, chaotic, kills_due = SIZES[self.size]
        rate = RATE
        self.dispatcher.start(ledger=False)
        await self.dispatcher.ready()
        target = f"{self.addresses.dispatcher}:{ASK}"
        plain = [Proxy(f"p{place}", target, place, MESSAGE_TIMEOUT, 0.0) for place in (1, 2)]
        for proxy in plain:
            proxy.dial()

        async def ask(request: ClientRequest) -> None:
            request.answers.append(await plain[len(self.requests) % 2].go(request, WAIT))

        async def forward(request: ClientRequest) -> None:
            request.answers.append(await by_http(self.addresses.dispatcher, request, WAIT))

        await self.paced(200, rate, ask)  # warm: imports, connections
        unledgered = await self.clean(count, rate, ask)
        await self.dispatcher.stop()
        self.dispatcher.start()
        await self.dispatcher.ready()
        for proxy in plain:
            await proxy.cut()
        await self.paced(200, rate, ask)
        await self.paced(200, rate, forward)
        for proxy in plain:
            proxy.decided.clear()
        decisions = await self.clean(count, rate, ask)
        forwarded = await self.clean(count, rate, forward)
        self.say(f"a CPU second decides {decisions:.0f}, forwards {forwarded:.0f}")
        self.proxies = [Proxy(f"q{place}", target, 100 + place, MESSAGE_TIMEOUT, 0.1) for place in (1, 2)]
        for proxy in self.proxies:
            proxy.dial()
        kills = 0
        going = asyncio.ensure_future(self.paced(chaotic, rate, self.chaos))
        for part in range(kills_due):
            await asyncio.sleep(chaotic / rate / (kills_due + 1))
            await self.dispatcher.kill(torn=part == 0)
            kills += 1
        await going
        counters = await self.dispatcher.note()
        await asyncio.sleep(0.5)
        self.engines.terminate()
        self.runs.update(json.loads(self.engines.communicate(timeout=10)[0]))
        return self.figures(plain, decisions, unledgered, forwarded, kills, counters)

    def figures(
        self,
        plain: list[Proxy],
        decisions: float,
        unledgered: float,
        forwarded: float,
        kills: int,
        counters: dict[str, int],
    ) -> dict[str, Any]:
        """What came of it, ready for JSON."""
        runs = self.runs
        counts: Counter[str] = Counter()
        for proxy in plain + self.proxies:
            counts.update(proxy.counts)
        loads = [request for request in self.requests if request.non_idempotent]
        statuses = Counter(answer for request in self.requests for answer in request.answers)
        decided = sorted(ms for proxy in plain for ms in proxy.decided)
        return {
            "calls": counts["calls"],
            "submissions": len(self.requests),
            "timeouts_injected": counts["timeouts_injected"],
            "second_paths": self.second_paths,
            "kills": kills,
            "answers_missing": self.missing + sum(not request.answers for request in self.requests),
            "answers_double": counts["answers_double"]
            + sum(len(request.answers) > 1 for request in self.requests),
            "irreversible_sent": len(loads),
            "irreversible_run": sum(runs[request.ident] > 0 for request in loads),
            "irreversible_run_twice": sum(runs[request.ident] > 1 for request in loads),
            "refused_unproven": sum(runs[request.ident] > 0 for request in loads if request.answers == [503]),
            "decide_ms": spread(decided),
            "decisions_per_cpu_second": round(decisions),
            "ledger_cpu_share": round(1 - decisions / unledgered, 3),
            "forwarded_per_cpu_second": round(forwarded),
            "ratio": round(decisions / forwarded, 2),
            "ledger": {
                "appended": self.dispatcher.ledger["appended"],
                "torn_tails": self.dispatcher.ledger["torn"],
                "recovered": self.dispatcher.ledger["recovered"],
                "bytes_max": self.dispatcher.ledger["bytes"],
            },
            "statuses": {str(status): count for status, count in sorted(statuses.items())},
            "proxies": dict(counts),
            "dispatcher": {
                name: count
                for name, count in counters.items()
                if name.startswith(("extproc_", "grants", "faults", "must_", "unhandled"))
            },
        }


def one_run(size: str, say: Callable[[str], None]) -> dict[str, Any]:
    """In a process of its own, as is the dispatcher, and as are the engines."""
    folder = Path(tempfile.mkdtemp(prefix="spurdeal-lab-"))
    run = Run(folder, size, say)
    try:
        found = asyncio.run(run.go())
    finally:
        run.engines.kill()
        child = run.dispatcher.child
        if child is not None and child.poll() is None:
            child.kill()
            child.wait()
    found["logs"] = str(folder)
    return found


def figures(quick: bool, say: Callable[[str], None]) -> dict[str, Any]:
    """All that `spurdeal lab extproc --json` prints."""
    return run_module("spurdeal.lab.asking", ["quick" if quick else "full"], RUN_TIMEOUT, say)


if __name__ == "__main__":
    if sys.argv[1] == "engines":
        run_engines(Addresses(Network(int(sys.argv[2]))))
    else:
        os.environ["GRPC_ENABLE_FORK_SUPPORT"] = "0"  # or its channels stand still after we start a process
        print(json.dumps(one_run(sys.argv[1], lambda line: print(line, flush=True))))
