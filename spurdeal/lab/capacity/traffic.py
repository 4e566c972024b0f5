"""A process that drives one real dispatcher, started with a mode, a size, tries, and requests a try.

It holds the clients, the stand-in engines and the name service, and prints one JSON object."""

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

from .dispatcher import PORT, READY_WITHIN, RunningDispatcher, StandIns, own_place
from .measure import process_cpu_us, require_descriptors, resident_kb

reactor: Any = installed

CONNECTIONS, ENGINES_BEHIND_IDLE = 16, 2
WARM_UP_PART = 3  # of a try: so many requests are sent before the first one counts
COST_MS, WAIT_MS = 2.0, 2_500
REST, SETTLE = 0.35, 0.05  # seconds; all rests end before the dispatcher closes an idle connection
ENDED_WITHIN = 60.0
SOCKETS = 8_192
DIALS_AT_ONCE = 64
LOST = 0  # in place of a status, where the connection ended before its answer
Waiting = Generator[Deferred[Any], Any, Any]


def after(seconds: float) -> Deferred[None]:
    """Fires after so many seconds."""
    done: Deferred[None] = Deferred()
    reactor.callLater(seconds, done.callback, None)
    return done


class Client(Protocol):
    """One connection: a call at a time, each answered by a Deferred with the status."""

    transport: Any

    def __init__(self) -> None:
        self.up: Deferred[Client] = Deferred()
        self.text, self.answer = b"", Deferred[int]()
        self.ended = False

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.up.callback(self)

    def call(self, request: bytes) -> Deferred[int]:
        """Sends one call."""
        self.text, self.answer = b"", Deferred()
        self.transport.write(request)
        return self.answer

    def dataReceived(self, data: bytes) -> None:
        self.text += data
        head, mark, body = self.text.partition(b"\r\n\r\n")
        if not mark:
            return
        size = next(int(line.split(b":")[1]) for line in head.split(b"\r\n") if line.startswith(b"Content-L"))
        if len(body) >= size:
            self.answer.callback(int(head.split()[1]))

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.ended = True
        if not self.answer.called:
            self.answer.callback(LOST)


class Dial(ClientFactory):
    """Makes one Client."""

    noisy = False

    def __init__(self) -> None:
        self.client = Client()

    def buildProtocol(self, addr: Any) -> Client:
        return self.client

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self.client.up.errback(reason)


def dial(host: str) -> Deferred[Client]:
    """A connection to the dispatcher."""
    factory = Dial()
    reactor.connectTCP(host, PORT, factory, timeout=10)
    return factory.client.up


class Load:
    """Clients that each send the next call when the last is answered."""

    def __init__(self, clients: list[Client]) -> None:
        self.clients, self.number, self.statuses = clients, 0, dict[int, int]()

    def request(self) -> bytes:
        """The next call, with an id of its own."""
        self.number += 1
        body = f"SELECT a FROM s_1.t /* cost={COST_MS} */"
        return (
            f"POST /ops/lookup HTTP/1.1\r\nHost: capacity\r\nReq-Id: {self.number:016x}\r\n"
            f"Req-Wait-Ms: {WAIT_MS}\r\nReq-Cost: {COST_MS}\r\nContent-Length: {len(body)}\r\n\r\n{body}"
        ).encode()

    def run(self, count: int) -> Deferred[None]:
        """So many calls over all clients; fires when the last is answered."""
        done: Deferred[None] = Deferred()
        left = {"to_send": count, "out": 0}

        def answered(status: int, client: Client) -> None:
            self.statuses[status] = self.statuses.get(status, 0) + 1
            left["out"] -= 1
            if status == LOST:
                done.errback(RuntimeError("a connection was lost"))
            else:
                following(client)

        def following(client: Client) -> None:
            if left["to_send"]:
                left["to_send"] -= 1
                left["out"] += 1
                client.call(self.request()).addCallback(answered, client)
            elif not left["out"]:
                done.callback(None)

        for client in self.clients:
            following(client)
        return done


@inlineCallbacks
def started(place: Any, folder: Path, stand_ins: StandIns, engines: int) -> Waiting:
    """A dispatcher that listens."""
    dispatcher = RunningDispatcher(place, folder, stand_ins.names, engines, SOCKETS)
    waited = 0.0
    while not dispatcher.ready():
        yield after(0.05)
        waited += 0.05
        if waited > READY_WITHIN or dispatcher.child.poll() is not None:
            raise RuntimeError(dispatcher.log.read_text())
    return dispatcher


@inlineCallbacks
def requests(dispatcher: RunningDispatcher, tries: int, per_try: int) -> Waiting:
    """CPU of a request, without what the process uses at rest."""
    clients = []
    for _ in range(CONNECTIONS):
        clients.append((yield dial(dispatcher.place.dispatcher)))
    load = Load(clients)
    yield load.run(per_try // WARM_UP_PART)
    rest = yield from_rest(dispatcher)
    load.statuses.clear()
    cpu, rates = [], []
    for _ in range(tries):
        began, used = time.monotonic(), process_cpu_us(dispatcher.pid)
        yield load.run(per_try)
        seconds = time.monotonic() - began
        spent = process_cpu_us(dispatcher.pid) - used - rest * seconds
        cpu.append(spent / per_try)
        rates.append(per_try / seconds)
    return {"cpu_us": cpu, "rest_us_per_s": rest, "rates": rates, "statuses": load.statuses}


@inlineCallbacks
def from_rest(dispatcher: RunningDispatcher) -> Waiting:
    """Microseconds of CPU a second while nothing is asked."""
    yield after(SETTLE)
    began, used = time.monotonic(), process_cpu_us(dispatcher.pid)
    yield after(REST)
    return (process_cpu_us(dispatcher.pid) - used) / (time.monotonic() - began)


@inlineCallbacks
def idle(dispatcher: RunningDispatcher, count: int, tries: int) -> Waiting:
    """Memory and CPU of connections that rest after one call, and CPU of coming back."""
    require_descriptors(count, "idle connections")
    yield after(SETTLE)
    kb, used = resident_kb(dispatcher.pid), process_cpu_us(dispatcher.pid)
    clients: list[Client] = []
    while len(clients) < count:
        dialled = [dial(dispatcher.place.dispatcher) for _ in range(min(DIALS_AT_ONCE, count - len(clients)))]
        for each in dialled:
            clients.append((yield each))
    opening = process_cpu_us(dispatcher.pid) - used
    answers = [client.call(b"GET /alive HTTP/1.1\r\nHost: capacity\r\n\r\n") for client in clients]
    yield DeferredList(answers)
    opened = process_cpu_us(dispatcher.pid) - used
    resident = resident_kb(dispatcher.pid)
    cpu = []
    for _ in range(tries):
        cpu.append((yield from_rest(dispatcher)))
    open_at_end = sum(not client.ended for client in clients)
    return {
        "cpu_us": cpu,
        "memory_kb": resident,
        "memory_before_kb": kb,
        "opening_us": opening / count,
        "opened_us": opened / count,
        "open_at_end": open_at_end,
    }


@inlineCallbacks
def run(mode: str, size: int, tries: int, per_try: int, folder: Path) -> Waiting:
    """One mode at one size; the dispatcher ends whatever happens."""
    place, engines = own_place(), size if mode == "requests" else ENGINES_BEHIND_IDLE
    stand_ins = StandIns(reactor, place, engines)
    dispatcher = yield started(place, folder, stand_ins, engines)
    try:
        if mode == "requests":
            return (yield requests(dispatcher, tries, per_try))
        return (yield idle(dispatcher, size, tries))
    finally:
        dispatcher.end()
        stand_ins.stop()


def main(mode: str, size: int, tries: int, per_try: int) -> int:
    """Prints the figures; exit code 1 and the trace where there are none."""
    require_descriptors(2 * size, mode)
    found: dict[str, Any] = {}
    with tempfile.TemporaryDirectory() as folder:
        done: Deferred[Any] = run(mode, size, tries, per_try, Path(folder))
        done.addTimeout(ENDED_WITHIN, reactor)
        done.addCallback(found.update)
        done.addErrback(lambda failure: sys.stderr.write(failure.getTraceback()))
        done.addBoth(lambda _: reactor.callLater(0, reactor.stop))
        reactor.run()
    print(json.dumps(found))
    return 0 if found else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1], *(int(each) for each in sys.argv[2:5])))
