"""One soak run: dispatchers as real processes, stand-in engines and clients, and seeded fault injection."""

from __future__ import annotations

import asyncio
import errno
import random
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from itertools import count
from pathlib import Path
from time import monotonic

from spurdeal.lab import name_server
from spurdeal.lab.loopback import FIRST_NETWORK, NETWORKS, Network
from tests.soak import engine_troubles, name_troubles, process_troubles, system_calls
from tests.soak.judge import STOP_TIMEOUT, Judge, Records
from tests.soak.name_service import NameService, NamesPort
from tests.soak.process import NAMES_PORTS, POLL_INTERVAL, SUBNET, Dispatcher
from tests.soak.sides import Clients, Engine

ENGINE_PORT = 7001
DISPATCHERS, ENGINES, CLIENTS = 3, 5, 8
# Seconds: SETTLE for requests to finish after the run; above LATE_THRESHOLD a delay of the test is recorded.
SETTLE, LATE_THRESHOLD = 4.5, 0.02

Injector = Callable[["Soak", random.Random], Awaitable[None]]
INJECTORS: dict[str, tuple[int, Injector]] = {  # relative weight and function
    "calls": (8, system_calls.failing_calls),
    "discovery_calls": (6, system_calls.failing_discovery),
    "short": (2, system_calls.short_calls),
    "clock": (2, system_calls.stepped_clock),
    "hangup": (3, process_troubles.hangups),
    "unreadable": (1, process_troubles.unreadable),
    "restart": (3, process_troubles.restart),
    "kill": (1, process_troubles.kill_one),
    "kill_all": (1, process_troubles.kill_all),
    "crowd": (1, process_troubles.connection_flood),
    "drain": (12, engine_troubles.drain),
    "hang": (2, engine_troubles.hang),
    "reset": (2, engine_troubles.reset),
    "silent": (2, name_troubles.silent),
    "outage": (1, name_troubles.outage),
    "lossy": (3, name_troubles.lossy),
    "slow": (1, name_troubles.slow),
    "lost": (1, name_troubles.lost),
    "servfail": (1, name_troubles.servfail),
    "cut_short": (1, name_troubles.cut_short),
    "wrong_id": (1, name_troubles.wrong_id),
    "spoilt": (1, name_troubles.spoilt),
    "old": (2, name_troubles.old),
    "one_way": (1, name_troubles.one_way),
    "slow_way": (1, name_troubles.slow_way),
    "lag": (1, name_troubles.lag),
    "mixed": (2, name_troubles.mixed),
    "constant": (1, name_troubles.constant),
    "outage_then_mixed": (1, name_troubles.outage_then_mixed),
    "outage_then_one_way": (1, name_troubles.outage_then_one_way),
    "outage_in_faults": (1, name_troubles.outage_in_faults),
    "restart_then_mixed": (1, name_troubles.restart_then_mixed),
    "hangup_in_mixed": (1, name_troubles.hangup_in_mixed),
}
ONLY_WEIGHT, DRAIN_WEIGHT = 1, 2  # weights with --only, which injects one kind of fault and drains


class Soak:
    """One run: its dispatchers, engines and clients, and the faults that its seed draws."""

    def __init__(self, seed: int, seconds: float, folder: Path, only: str | None = None) -> None:
        self.seed, self.seconds, self.folder, self.only = seed, seconds, folder, only
        self.rng = random.Random(seed)
        self.network = free_network()
        self.names_host, self.engines_host = self.network.host(SUBNET, 100), self.network.host(SUBNET, 101)
        self.records = Records()
        self.dispatchers = [Dispatcher(self, number) for number in range(DISPATCHERS)]
        self.names = NameService(
            self.records, {each.host: each.number for each in self.dispatchers}, random.Random(seed + 1)
        )
        self.engines: dict[str, Engine] = {}
        self.engine_numbers, self.request_numbers = count(), count(1)
        self.injected: list[str] = []
        self.clients: list[Clients] = []

    async def run(self) -> Judge:
        """Run the whole soak; returns its judge."""
        loop = asyncio.get_running_loop()
        for port in NAMES_PORTS:
            await loop.create_datagram_endpoint(lambda: NamesPort(self.names), (self.names_host, port))
        for _ in range(ENGINES):
            await self.add_engine(cold=False)
        await asyncio.gather(*(each.start() for each in self.dispatchers))
        watching = asyncio.create_task(self.watch())
        running = [asyncio.create_task(client.run()) for client in self.make_clients()]
        await asyncio.sleep(0.5)
        await self.inject_until(monotonic() + self.seconds)
        for client in self.clients:
            client.stopping = True
        await asyncio.wait(running, timeout=SETTLE + STOP_TIMEOUT)
        watching.cancel()
        for each in self.dispatchers:
            if each.process is not None:
                each.process.kill()
                each.process.wait()
        return Judge(self.records)

    def make_clients(self) -> list[Clients]:
        """Create the clients of all dispatchers; some seeds have three times as many."""
        each = CLIENTS * self.rng.choice((1, 1, 3))
        self.clients = [
            Clients(
                dispatcher.access,
                self.records,
                random.Random(self.rng.random()),
                self.request_numbers.__next__,
            )
            for dispatcher in self.dispatchers
            for _ in range(each)
        ]
        return self.clients

    async def watch(self) -> None:
        """Measure the delay of the test process itself, and look for crashes."""
        while True:
            due = monotonic() + POLL_INTERVAL
            await asyncio.sleep(POLL_INTERVAL)
            if (late := monotonic() - due) > LATE_THRESHOLD:
                self.records.late.append((monotonic(), late))
            for each in self.dispatchers:
                each.watch()

    async def inject_until(self, end: float) -> None:
        """Start one injector after another, several run at once; each has its own random generator."""
        kinds = INJECTORS
        if self.only is not None:
            kinds = {self.only: (ONLY_WEIGHT, INJECTORS[self.only][1])}
            kinds |= {"drain": (DRAIN_WEIGHT, engine_troubles.drain)}
        weights = [weight for weight, _ in kinds.values()]
        running_tasks = set[asyncio.Task[None]]()
        while monotonic() < end:
            (name,) = self.rng.choices(list(kinds), weights)
            self.injected.append(name)
            self.note(f"trouble: {name}")
            rng = random.Random(self.rng.random())
            running_tasks.add(asyncio.ensure_future(self.run_injector(name, kinds[name][1], rng)))
            await asyncio.sleep(self.rng.choice((0.0, 0.1, 0.3, 0.6, 1.2)))
        await asyncio.gather(*running_tasks)

    async def run_injector(self, name: str, injector: Injector, rng: random.Random) -> None:
        """Run one injector; an exception in it is reported as one of the test, not as a violation."""
        try:
            await injector(self, rng)
        except Exception as fault:  # reported as a fault of the test itself
            self.records.crashes.append(f"observer: {name}: {fault!r}")

    def up(self) -> list[Dispatcher]:
        """The dispatchers that are running and not stopping."""
        return [each for each in self.dispatchers if not each.unavailable]

    def note(self, text: str) -> None:
        """Add a note to the records."""
        self.records.notes.append((monotonic(), text))

    async def add_engine(self, cold: bool = True) -> None:
        """Start another engine, and add it to the list."""
        number = next(self.engine_numbers)
        started = int((monotonic() + self.unix_origin()) * 1000) if cold else 0
        endpoint = name_server.Endpoint(
            f"s-{number}", self.engines_host, ENGINE_PORT + number, started=started
        )
        engine = Engine(endpoint, self.records, random.Random(self.seed * 1000 + number))
        self.engines[endpoint.ident] = engine
        await engine.start()
        self.names.change([*self.names.endpoints, endpoint])

    def unix_origin(self) -> float:
        """The Unix time in seconds at the zero of the test process's monotonic clock."""
        return self.dispatchers[0].clock.unix_ms() / 1000 - monotonic()


def free_network() -> Network:
    """A network that no other run on this machine uses now; the search starts at this process's own."""
    first = Network.of_this_process().number
    for number in range(first, first + NETWORKS):
        network = Network(FIRST_NETWORK + (number - FIRST_NETWORK) % NETWORKS)
        with socket.socket(type=socket.SOCK_DGRAM) as tried, suppress(OSError):
            tried.bind((network.host(SUBNET, 100), NAMES_PORTS[0]))
            return network
    raise OSError(errno.EADDRINUSE, "no network of the loopback range is free")
