"""External processor experiment: a real dispatcher is called by two stand-in proxies, with injected faults.

First the same load goes through the external processor and through the HTTP listener without faults, to
measure the CPU cost of each. Then calls have injected timeouts, cancels, outcomes that are never reported and
retries of the same id by the other proxy or by HTTP, while the dispatcher is killed, in all sizes but "tiny"
twice, and its ledger gets a torn tail.
"""

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
from .name_server import Endpoint, NameServer
from .percentiles import spread
from .platform_settings import Platform
from .processes import Outages, cpu_seconds, run_module, start_dispatcher
from .proxy import ClientRequest, Proxy

PORT, EXTPROC_PORT, NAMES_PORT = 7001, 7443, 5300
DISPATCHER_SUBNET, ENGINES_SUBNET = 28, 29
ENGINES, CORES, WAIT, COST, NON_IDEMPOTENT_SHARE = 4, 8, 2500.0, 6.0, 0.3
MESSAGE_TIMEOUT, MOST_TIMEOUT = 200.0, 1000.0
RETRIES, RECONNECT_DELAY, RATE = 4, 0.05, 250.0
RUN_TIMEOUT = 600.0  # seconds
KILL_MARGIN = 0.3  # seconds by which an outage is extended at both ends
# Requests without faults, requests with faults, kills.
SIZES = {"tiny": (100, 700, 1), "quick": (800, 2400, 2), "full": (3000, 9000, 2)}


@dataclass(frozen=True, slots=True)
class Addresses:
    """The addresses of the dispatcher and its stand-ins, in the network of the process that runs them."""

    network: Network

    @property
    def dispatcher(self) -> str:
        """The host of the HTTP listener and the external processor."""
        return self.network.host(DISPATCHER_SUBNET, 1)

    @property
    def names(self) -> str:
        """The host of the name service."""
        return self.network.host(DISPATCHER_SUBNET, 9)

    def endpoints(self) -> list[Endpoint]:
        """The list entries of the engines, all warm."""
        hosts = [self.network.host(ENGINES_SUBNET, number + 1) for number in range(ENGINES)]
        return [Endpoint(f"s-{number}", host, PORT) for number, host in enumerate(hosts)]


def settings(addresses: Addresses, folder: Path, ledger: bool) -> str:
    """The operator's settings file."""
    kept = f"ledger: {{path: {folder}/ledger, flush: turn, keep: 60s}}" if ledger else ""
    return f"""
name: n1
{kept}
extproc:
  listen: {addresses.dispatcher}:{EXTPROC_PORT}
  message_timeout: {MESSAGE_TIMEOUT:.0f}ms
  most_timeout: {MOST_TIMEOUT:.0f}ms
"""


def configuration(addresses: Addresses, known: dict[str, Any]) -> dict[str, Any]:
    """The platform's configuration of the dispatcher."""
    platform = Platform(1, WAIT, CORES, 250, 8000, 0.3, 2, 1500, sockets=4096, extra={"priorities": True})
    listen, nameserver = f"{addresses.dispatcher}:{PORT}", f"{addresses.names}:{NAMES_PORT}"
    return platform.configuration("n1", listen, "8c1f", nameserver, known)


class Dispatcher:
    """The real dispatcher process, its counters, and the sums of its ledgers' counters over all starts."""

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
        """Its counters.

        Raises:
            OSError: It does not answer.
        """
        with urlopen(f"http://{self.addresses.dispatcher}:{PORT}/counters", timeout=5) as answer:
            found: dict[str, int] = json.load(answer)
            return found

    async def wait_until_ready(self) -> None:
        """Wait until it answers requests for its counters."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                await loop.run_in_executor(None, self.counters)
                return
            except OSError:
                await asyncio.sleep(0.02)

    async def collect_ledger_counters(self) -> dict[str, int]:
        """Add the ledger counters of the running process to the sums; call it before a kill. Its counters."""
        found = await asyncio.get_running_loop().run_in_executor(None, self.counters)
        for name in ("appended", "torn", "recovered"):
            self.ledger[name] += found.get("ledger_" + name, 0)
        self.ledger["bytes"] = max(self.ledger["bytes"], found.get("ledger_bytes_most", 0))
        return found

    async def stop(self) -> None:
        """Stop it with SIGTERM and wait for its exit."""
        assert self.child is not None
        self.child.terminate()
        await asyncio.get_running_loop().run_in_executor(None, self.child.wait)

    async def kill(self, torn: bool) -> None:
        """Kill it with SIGKILL and restart it; `torn` leaves a truncated record at the end of its ledger."""
        await self.collect_ledger_counters()
        assert self.child is not None
        began = time.time()
        self.child.send_signal(signal.SIGKILL)
        self.child.wait()
        if torn:  # like a write that a power failure cut short
            with open(self.folder / "ledger" / "ledger.log", "ab") as log:
                log.write(b"\x00\x1a\x12\x34")
        self.start()
        await self.wait_until_ready()
        self.outages.add(began - KILL_MARGIN, time.time() + KILL_MARGIN)

    def cpu(self) -> float:
        """User and system CPU seconds of the running process."""
        assert self.child is not None
        return cpu_seconds(self.child.pid)


def run_engines(addresses: Addresses) -> None:
    """Run engines and name service until SIGTERM, then print how often each request id ran."""
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


async def send_by_http(host: str, request: ClientRequest, wait: float) -> int:
    """Send by HTTP on a new connection; returns what Proxy.handle does."""
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
    """One run against one dispatcher.

    Attributes:
        runs: How often each request id ran.
        proxies: The proxies of the phase with faults.
        requests: All requests of the run.
        answers_missing: Calls that timed out although no fault explains it.
        second_paths: Retries by another path.
    """

    def __init__(self, folder: Path, size: str, say: Callable[[str], None]) -> None:
        self.size, self.say, self.chance = size, say, random.Random(11)
        self.addresses = Addresses(Network.of_this_process())
        self.engines = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "spurdeal.lab.extproc_experiment",
                "engines",
                str(self.addresses.network.number),
            ],
            stdout=subprocess.PIPE,
        )
        assert self.engines.stdout is not None
        self.engines.stdout.readline()  # the engines are listening
        self.dispatcher = Dispatcher(self.addresses, folder, NameServer(self.addresses.endpoints()).known())
        self.runs: Counter[str] = Counter()
        self.proxies: list[Proxy] = []
        self.requests: list[ClientRequest] = []
        self.answers_missing = self.shed_though_run = self.second_paths = 0

    def new_request(self) -> ClientRequest:
        """Create another request."""
        non_idempotent = self.chance.random() < NON_IDEMPOTENT_SHARE
        request = ClientRequest(
            f"{self.chance.getrandbits(64):016x}", non_idempotent, COST * self.chance.uniform(0.5, 1.5)
        )
        self.requests.append(request)
        return request

    async def send_at_rate(self, count: int, rate: float, send: Callable[[ClientRequest], Any]) -> None:
        """Send requests at a fixed rate, regardless of when others finish (open loop); wait for all."""
        loop = asyncio.get_running_loop()
        began, tasks = loop.time(), []
        for place in range(count):
            await asyncio.sleep(max(0.0, began + place / rate - loop.time()))
            tasks.append(loop.create_task(send(self.new_request())))
        await asyncio.gather(*tasks)

    async def calls_per_cpu_second(
        self, count: int, rate: float, send: Callable[[ClientRequest], Any]
    ) -> float:
        """Send requests without faults; the number of calls per CPU second of the dispatcher."""
        before = self.dispatcher.cpu()
        await self.send_at_rate(count, rate, send)
        return count / max(0.01, self.dispatcher.cpu() - before)

    async def send_with_faults(self, request: ClientRequest) -> None:
        """Send a request as a client of two proxies: retry the same id by another path until answered."""
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
                status = await send_by_http(self.addresses.dispatcher, request, left)
            else:
                before = proxy.counts["caller_timeouts"], proxy.counts["timeouts_injected"]
                status = await proxy.handle(request, left)
                timed_out = proxy.counts["caller_timeouts"] - before[0]
                if (
                    status == 504
                    and timed_out
                    and before[1] == proxy.counts["timeouts_injected"]
                    and not self.dispatcher.outages.overlap(began, time.time())
                ):
                    self.answers_missing += 1
            if status in (200, 500, 502, 503, 409, 400):
                break
            proxy = self.proxies[1 - self.proxies.index(proxy)]
            if status == -1:
                await asyncio.sleep(RECONNECT_DELAY)  # unreachable: not counted as an attempt
            else:
                attempt += 1
                self.second_paths += attempt < RETRIES
        request.answers.append(status if status > 0 else 504)
        if self.chance.random() < 0.002:
            await proxy.cut()

    async def run(self) -> dict[str, Any]:
        """Carry out the run and return its figures."""
        count, with_faults, kills_due = SIZES[self.size]
        rate = RATE
        self.dispatcher.start(ledger=False)
        await self.dispatcher.wait_until_ready()
        target = f"{self.addresses.dispatcher}:{EXTPROC_PORT}"
        plain = [Proxy(f"p{place}", target, place, MESSAGE_TIMEOUT, 0.0) for place in (1, 2)]
        for proxy in plain:
            proxy.connect()

        async def ask(request: ClientRequest) -> None:
            request.answers.append(await plain[len(self.requests) % 2].handle(request, WAIT))

        async def forward(request: ClientRequest) -> None:
            request.answers.append(await send_by_http(self.addresses.dispatcher, request, WAIT))

        await self.send_at_rate(200, rate, ask)  # warm-up: imports, connections
        without_ledger = await self.calls_per_cpu_second(count, rate, ask)
        await self.dispatcher.stop()
        self.dispatcher.start()
        await self.dispatcher.wait_until_ready()
        for proxy in plain:
            await proxy.cut()
        await self.send_at_rate(200, rate, ask)
        await self.send_at_rate(200, rate, forward)
        for proxy in plain:
            proxy.decision_ms.clear()
        decisions = await self.calls_per_cpu_second(count, rate, ask)
        forwarded = await self.calls_per_cpu_second(count, rate, forward)
        self.say(f"per CPU second: {decisions:.0f} decisions, {forwarded:.0f} forwarded requests")
        self.proxies = [Proxy(f"q{place}", target, 100 + place, MESSAGE_TIMEOUT, 0.1) for place in (1, 2)]
        for proxy in self.proxies:
            proxy.connect()
        kills = 0
        going = asyncio.ensure_future(self.send_at_rate(with_faults, rate, self.send_with_faults))
        for part in range(kills_due):
            await asyncio.sleep(with_faults / rate / (kills_due + 1))
            await self.dispatcher.kill(torn=part == 0)
            kills += 1
        await going
        counters = await self.dispatcher.collect_ledger_counters()
        await asyncio.sleep(0.5)
        self.engines.terminate()
        self.runs.update(json.loads(self.engines.communicate(timeout=10)[0]))
        return self.figures(plain, decisions, without_ledger, forwarded, kills, counters)

    def figures(
        self,
        plain: list[Proxy],
        decisions: float,
        without_ledger: float,
        forwarded: float,
        kills: int,
        counters: dict[str, int],
    ) -> dict[str, Any]:
        """The figures of the run, ready for JSON."""
        runs = self.runs
        counts: Counter[str] = Counter()
        for proxy in plain + self.proxies:
            counts.update(proxy.counts)
        loads = [request for request in self.requests if request.non_idempotent]
        statuses = Counter(answer for request in self.requests for answer in request.answers)
        decision_ms = sorted(ms for proxy in plain for ms in proxy.decision_ms)
        return {
            "calls": counts["calls"],
            "submissions": len(self.requests),
            "timeouts_injected": counts["timeouts_injected"],
            "second_paths": self.second_paths,
            "kills": kills,
            "answers_missing": self.answers_missing + sum(not request.answers for request in self.requests),
            "answers_double": counts["answers_double"]
            + sum(len(request.answers) > 1 for request in self.requests),
            "irreversible_sent": len(loads),
            "irreversible_run": sum(runs[request.ident] > 0 for request in loads),
            "irreversible_run_twice": sum(runs[request.ident] > 1 for request in loads),
            "refused_unproven": sum(runs[request.ident] > 0 for request in loads if request.answers == [503]),
            "decide_ms": spread(decision_ms),
            "decisions_per_cpu_second": round(decisions),
            "ledger_cpu_share": round(1 - decisions / without_ledger, 3),
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
    """One run; the dispatcher and the engines are processes of their own."""
    folder = Path(tempfile.mkdtemp(prefix="spurdeal-lab-"))
    run = Run(folder, size, say)
    try:
        found = asyncio.run(run.run())
    finally:
        run.engines.kill()
        child = run.dispatcher.child
        if child is not None and child.poll() is None:
            child.kill()
            child.wait()
    found["logs"] = str(folder)
    return found


def figures(quick: bool, say: Callable[[str], None]) -> dict[str, Any]:
    """The figures of `spurdeal lab extproc --json`."""
    return run_module("spurdeal.lab.extproc_experiment", ["quick" if quick else "full"], RUN_TIMEOUT, say)


if __name__ == "__main__":
    if sys.argv[1] == "engines":
        run_engines(Addresses(Network(int(sys.argv[2]))))
    else:
        # With fork support gRPC's channels hang after a child process is started.
        os.environ["GRPC_ENABLE_FORK_SUPPORT"] = "0"
        print(json.dumps(one_run(sys.argv[1], lambda line: print(line, flush=True))))
