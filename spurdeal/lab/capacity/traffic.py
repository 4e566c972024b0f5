"""A process that generates load for one dispatcher process.

Its arguments are a mode, a size, the repetitions, and the requests per repetition. It runs the clients, the
stand-in engines and the name service, and prints one JSON object.
"""

from __future__ import annotations

import json
import sys
import tempfile
import time
from collections.abc import Generator
from pathlib import Path
from typing import Any

from twisted.internet import reactor as installed
from twisted.internet.defer import Deferred, DeferredList, inlineCallbacks
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure

from .dispatcher import PORT, READY_TIMEOUT, DispatcherProcess, StandInServers, own_addresses
from .measure import process_cpu_us, require_descriptors, resident_kb

reactor: Any = installed

CONNECTIONS, ENGINES_IN_IDLE_MODE = 16, 2
WARM_UP_DIVISOR = 3  # the warm-up is this fraction of a repetition's requests
COST_MS, WAIT_MS = 2.0, 2_500
# Seconds. All idle windows end before the dispatcher closes an idle connection.
IDLE_WINDOW, SETTLING_TIME = 0.35, 0.05
RUN_TIMEOUT = 60.0  # seconds
SOCKETS = 8_192
MAX_PENDING_CONNECTS = 64
CONNECTION_LOST = 0  # in place of a status: the connection closed before its response
DeferredGenerator = Generator[Deferred[Any], Any, Any]


def wait(seconds: float) -> Deferred[None]:
    """Return a Deferred that fires after a number of seconds."""
    done: Deferred[None] = Deferred()
    reactor.callLater(seconds, done.callback, None)
    return done


class Client(Protocol):
    """A client connection with one request at a time; a Deferred fires with the status of the response."""

    transport: Any

    def __init__(self) -> None:
        self.established: Deferred[Client] = Deferred()
        self.received, self.response = b"", Deferred[int]()
        self.closed = False

    def connectionMade(self) -> None:
        """Report the connection as established."""
        self.transport.setTcpNoDelay(True)
        self.established.callback(self)

    def send_request(self, request: bytes) -> Deferred[int]:
        """Send a request."""
        self.received, self.response = b"", Deferred()
        self.transport.write(request)
        return self.response

    def dataReceived(self, data: bytes) -> None:
        """Collect the response and report its status once it is complete."""
        self.received += data
        head, separator, body = self.received.partition(b"\r\n\r\n")
        if not separator:
            return
        size = next(int(line.split(b":")[1]) for line in head.split(b"\r\n") if line.startswith(b"Content-L"))
        if len(body) >= size:
            self.response.callback(int(head.split()[1]))

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Report CONNECTION_LOST to an outstanding request."""
        self.closed = True
        if not self.response.called:
            self.response.callback(CONNECTION_LOST)


class SingleClientFactory(ClientFactory):
    """A factory of a single client connection."""

    noisy = False

    def __init__(self) -> None:
        self.client = Client()

    def buildProtocol(self, addr: Any) -> Client:
        """Return the client."""
        return self.client

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        """Report the failure to whoever waits for the connection."""
        self.client.established.errback(reason)


def connect(host: str) -> Deferred[Client]:
    """Open a connection to the dispatcher."""
    factory = SingleClientFactory()
    reactor.connectTCP(host, PORT, factory, timeout=10)
    return factory.client.established


class ClosedLoopLoad:
    """Closed-loop load: each client sends its next request after the response to the last one."""

    def __init__(self, clients: list[Client]) -> None:
        self.clients, self.last_id, self.statuses = clients, 0, dict[int, int]()

    def request(self) -> bytes:
        """Return the next request, with a unique id."""
        self.last_id += 1
        body = f"SELECT a FROM s_1.t /* cost={COST_MS} */"
        return (
            f"POST /ops/lookup HTTP/1.1\r\nHost: capacity\r\nReq-Id: {self.last_id:016x}\r\n"
            f"Req-Wait-Ms: {WAIT_MS}\r\nReq-Cost: {COST_MS}\r\nContent-Length: {len(body)}\r\n\r\n{body}"
        ).encode()

    def run(self, count: int) -> Deferred[None]:
        """Send a number of requests over all clients; fires after the last response."""
        done: Deferred[None] = Deferred()
        remaining = {"to_send": count, "out": 0}

        def on_response(status: int, client: Client) -> None:
            self.statuses[status] = self.statuses.get(status, 0) + 1
            remaining["out"] -= 1
            if status == CONNECTION_LOST:
                done.errback(RuntimeError("a connection was lost"))
            else:
                send_next(client)

        def send_next(client: Client) -> None:
            if remaining["to_send"]:
                remaining["to_send"] -= 1
                remaining["out"] += 1
                client.send_request(self.request()).addCallback(on_response, client)
            elif not remaining["out"]:
                done.callback(None)

        for client in self.clients:
            send_next(client)
        return done


@inlineCallbacks
def start_dispatcher(
    addresses: Any, folder: Path, servers: StandInServers, engines: int
) -> DeferredGenerator:
    """Start a dispatcher and wait until it is ready."""
    dispatcher = DispatcherProcess(addresses, folder, servers.names, engines, SOCKETS)
    waited = 0.0
    while not dispatcher.ready():
        yield wait(0.05)
        waited += 0.05
        if waited > READY_TIMEOUT or dispatcher.process.poll() is not None:
            raise RuntimeError(dispatcher.log_path.read_text())
    return dispatcher


@inlineCallbacks
def measure_requests(
    dispatcher: DispatcherProcess, repetitions: int, requests_per_repetition: int
) -> DeferredGenerator:
    """Measure the CPU time per request, less that of the idle process."""
    clients = []
    for _ in range(CONNECTIONS):
        clients.append((yield connect(dispatcher.addresses.dispatcher)))
    load = ClosedLoopLoad(clients)
    yield load.run(requests_per_repetition // WARM_UP_DIVISOR)
    idle_cpu = yield idle_cpu_us_per_s(dispatcher)
    load.statuses.clear()
    cpu, rates = [], []
    for _ in range(repetitions):
        started_at, cpu_before = time.monotonic(), process_cpu_us(dispatcher.pid)
        yield load.run(requests_per_repetition)
        seconds = time.monotonic() - started_at
        cpu_used = process_cpu_us(dispatcher.pid) - cpu_before - idle_cpu * seconds
        cpu.append(cpu_used / requests_per_repetition)
        rates.append(requests_per_repetition / seconds)
    return {"cpu_us": cpu, "rest_us_per_s": idle_cpu, "rates": rates, "statuses": load.statuses}


@inlineCallbacks
def idle_cpu_us_per_s(dispatcher: DispatcherProcess) -> DeferredGenerator:
    """Measure the CPU time per second of the idle process, in microseconds."""
    yield wait(SETTLING_TIME)
    started_at, cpu_before = time.monotonic(), process_cpu_us(dispatcher.pid)
    yield wait(IDLE_WINDOW)
    return (process_cpu_us(dispatcher.pid) - cpu_before) / (time.monotonic() - started_at)


@inlineCallbacks
def measure_idle_clients(dispatcher: DispatcherProcess, count: int, repetitions: int) -> DeferredGenerator:
    """Measure memory and CPU time of connections idle after one request, and the CPU time to accept them."""
    require_descriptors(count, "idle connections")
    yield wait(SETTLING_TIME)
    resident_before, cpu_before = resident_kb(dispatcher.pid), process_cpu_us(dispatcher.pid)
    clients: list[Client] = []
    while len(clients) < count:
        pending = [
            connect(dispatcher.addresses.dispatcher)
            for _ in range(min(MAX_PENDING_CONNECTS, count - len(clients)))
        ]
        for each in pending:
            clients.append((yield each))
    accept_cpu = process_cpu_us(dispatcher.pid) - cpu_before
    responses = [client.send_request(b"GET /alive HTTP/1.1\r\nHost: capacity\r\n\r\n") for client in clients]
    yield DeferredList(responses)
    total_cpu = process_cpu_us(dispatcher.pid) - cpu_before
    resident = resident_kb(dispatcher.pid)
    cpu = []
    for _ in range(repetitions):
        cpu.append((yield idle_cpu_us_per_s(dispatcher)))
    open_at_end = sum(not client.closed for client in clients)
    return {
        "cpu_us": cpu,
        "memory_kb": resident,
        "memory_before_kb": resident_before,
        "opening_us": accept_cpu / count,
        "opened_us": total_cpu / count,
        "open_at_end": open_at_end,
    }


@inlineCallbacks
def run(
    mode: str, size: int, repetitions: int, requests_per_repetition: int, folder: Path
) -> DeferredGenerator:
    """Run one mode at one size; the dispatcher is killed in any case."""
    addresses, engines = own_addresses(), size if mode == "requests" else ENGINES_IN_IDLE_MODE
    servers = StandInServers(reactor, addresses, engines)
    dispatcher = yield start_dispatcher(addresses, folder, servers, engines)
    try:
        if mode == "requests":
            return (yield measure_requests(dispatcher, repetitions, requests_per_repetition))
        return (yield measure_idle_clients(dispatcher, size, repetitions))
    finally:
        dispatcher.kill()
        servers.stop()


def main(mode: str, size: int, repetitions: int, requests_per_repetition: int) -> int:
    """Print the measurement; without one, print the traceback and return the exit code 1."""
    require_descriptors(2 * size, mode)
    figures: dict[str, Any] = {}
    with tempfile.TemporaryDirectory() as folder:
        done: Deferred[Any] = run(mode, size, repetitions, requests_per_repetition, Path(folder))
        done.addTimeout(RUN_TIMEOUT, reactor)
        done.addCallback(figures.update)
        done.addErrback(lambda failure: sys.stderr.write(failure.getTraceback()))
        done.addBoth(lambda _: reactor.callLater(0, reactor.stop))
        reactor.run()
    print(json.dumps(figures))
    return 0 if figures else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1], *(int(each) for each in sys.argv[2:5])))
