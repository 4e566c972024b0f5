"""Steps of the wall clock with real processes; and a request that the adapter answered by itself."""

import json
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from typing import Any

from spurdeal.lab import name_server
from tests.helpers import SETTINGS, Caller, World
from tests.processes import FIRST_ENGINE_PORT, NAMES_PORT, ROOT, Addresses, ProcessCase, counters_at_exit
from tests.stepped_clock import OFFSET_FILE, Arrival, NameService, Server, SteppedClock

HOUR = 3600.0  # seconds
WINDOW = 8.0  # seconds over which the budget of a cold server is counted
DISCOVERY_TIME = 0.6  # seconds; one query every 0.2 s, one of which may be lost, and scheduling delays


class ClientRequest:
    """A request sent in its own thread, with its status or the error that the client saw."""

    def __init__(self, addresses: Addresses, number: int, wait_ms: int, workload: str) -> None:
        self.addresses, self.number, self.wait_ms, self.workload = addresses, number, wait_ms, workload
        self.status: int | None = None
        self.error: Exception | None = None
        self.took = 0.0
        self.thread = threading.Thread(target=self.send_request, daemon=True)
        self.thread.start()

    def send_request(self) -> None:
        """Sends the request and waits for the response."""
        began = time.monotonic()
        client = HTTPConnection(self.addresses.dispatcher, self.addresses.port, timeout=20)
        fields = {"Req-Id": f"{self.number:016x}", "Req-Wait-Ms": str(self.wait_ms)}
        try:
            client.request("POST", f"/ops/{self.workload}", "SELECT a FROM s_1.t", fields)
            self.status = client.getresponse().status
        except (OSError, HTTPException) as error:
            self.error = error
        finally:
            client.close()
        self.took = time.monotonic() - began

    def result(self) -> int | Exception | None:
        """Returns the status or the error of the client."""
        self.thread.join(30)
        return self.error or self.status


class SteppedCase(ProcessCase):
    """A dispatcher whose wall clock the test can step, two servers and a name server."""

    addresses = Addresses.in_subnet(67)
    name_service: type[NameService] = NameService

    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.clock = SteppedClock(Path(folder.name) / "offset")
        where = self.addresses
        self.servers = [Server(where.engines, FIRST_ENGINE_PORT + number) for number in range(2)]
        endpoints = [
            name_server.Endpoint(f"s-{number}", each.host, each.port)
            for number, each in enumerate(self.servers)
        ]
        self.names = self.name_service(where.names, NAMES_PORT, endpoints)
        for server in self.servers:
            self.addCleanup(server.close)
        self.addCleanup(self.names.close)
        self.configure()
        self.sent = 0

    def dispatcher(self) -> subprocess.Popen[str]:
        """Starts a dispatcher and waits until it is ready."""
        environment = {OFFSET_FILE: str(self.clock.path), "PYTHONPATH": str(ROOT)}
        child = self.start(sys.executable, "-O", "tests/stepped_process.py", environment=environment)
        self.await_ready(child)
        return child

    def send_request(self, wait_ms: int = 5000, workload: str = "lookup") -> ClientRequest:
        """Sends another request."""
        self.sent += 1
        return ClientRequest(self.addresses, self.sent, wait_ms, workload)


class Discovery(SteppedCase):
    """Drains are noticed in time, whatever the wall clock does."""

    def check_drain_after_step(self, step: float) -> None:
        """Announces a drain right after a step; no request is sent there DISCOVERY_TIME later."""
        self.dispatcher()
        self.assertEqual([self.send_request().result() for _ in range(4)], [200] * 4)
        self.clock.step_to(step)
        time.sleep(0.3)
        self.names.drain("s-0")
        announced_at = time.monotonic()
        time.sleep(DISCOVERY_TIME)
        answers = [self.send_request() for _ in range(30)]
        self.assertEqual([answer.result() for answer in answers], [200] * 30)
        self.assertEqual(self.servers[0].since(announced_at + DISCOVERY_TIME), [])
        self.assertGreaterEqual(len([at for at in self.names.query_times if at > announced_at]), 2)

    def test_a_drain_after_a_step_back(self) -> None:
        self.check_drain_after_step(-HOUR)

    def test_a_drain_after_a_step_back_by_seconds(self) -> None:
        self.check_drain_after_step(-3.0)

    def test_a_drain_after_a_step_forward(self) -> None:
        self.check_drain_after_step(HOUR)

    def test_a_step_is_logged(self) -> None:
        child = self.dispatcher()
        self.clock.step_to(-HOUR)
        time.sleep(0.8)
        child.send_signal(signal.SIGTERM)
        log = child.communicate(timeout=30)[1]
        self.assertEqual(log.count("event=wall_clock_stepped ms=-3600000."), 1, log)
        self.assertEqual(counters_at_exit(log)["wall_clock_steps"], 1)


class Deadlines(SteppedCase):
    """Deadlines are kept, whatever the wall clock does."""

    def test_a_step_forward_cuts_no_request_short(self) -> None:
        for server in self.servers:
            server.takes = 1.0
        self.dispatcher()
        answers = [self.send_request(4000), self.send_request(15000, "load")]
        time.sleep(0.4)
        self.clock.step_to(HOUR)
        time.sleep(0.1)
        answers += [self.send_request(4000), self.send_request(15000, "load")]
        self.assertEqual([answer.result() for answer in answers], [200] * 4)
        waits = {arrival.ident: wait_of(arrival) for server in self.servers for arrival in server.arrivals}
        for number, asked in ((1, 4000), (2, 15000), (3, 4000), (4, 15000)):
            self.assertTrue(asked - 400 < waits[f"{number:016x}"] <= asked, waits)

    def test_a_step_back_keeps_no_request_past_its_deadline(self) -> None:
        for server in self.servers:
            server.takes = None
        self.dispatcher()
        answers = [self.send_request(1200), self.send_request(1200, "load")]
        time.sleep(0.3)
        self.clock.step_to(-HOUR)
        time.sleep(0.1)
        answers += [self.send_request(1200), self.send_request(1200, "load")]
        self.assertEqual([answer.result() for answer in answers], [503, 500, 503, 500])
        for answer in answers:
            self.assertTrue(0.9 < answer.took < 1.7, answer.took)


class Connections(SteppedCase):
    """Idle timeouts of connections are kept, whatever the wall clock does."""

    def test_a_step_forward_ends_no_idle_connection(self) -> None:
        self.dispatcher()
        client = HTTPConnection(self.addresses.dispatcher, self.addresses.port, timeout=10)
        self.addCleanup(client.close)
        for number, step in enumerate((0.0, HOUR, -HOUR)):
            self.clock.step_to(step)
            time.sleep(0.6)
            fields = {"Req-Id": f"{number:016x}", "Req-Wait-Ms": "2000"}
            client.request("POST", "/ops/lookup", "SELECT a FROM s_1.t", fields)
            answer = client.getresponse()
            self.assertEqual((answer.status, answer.read()[:8]), (200, b'{"result'))

    def test_a_step_back_does_not_keep_an_expired_connection(self) -> None:
        self.dispatcher()
        with socket.create_connection((self.addresses.dispatcher, self.addresses.port), 10) as silent:
            self.clock.step_to(-HOUR)
            began = time.monotonic()
            self.assertEqual(silent.recv(1), b"")  # a client that sends nothing is disconnected after 2 s
            self.assertTrue(1.5 < time.monotonic() - began < 4.0)


class Restart(SteppedCase):
    """Slow start is kept by a dispatcher that starts with a wrong wall clock."""

    def configure_started(self, ident: str, unix_ms: int) -> None:
        """Sets the startup list and that of the name server: one server started then, the other long ago."""
        self.names.change(
            lambda endpoint: endpoint._replace(started=unix_ms if endpoint.ident == ident else 0)
        )
        instances = [endpoint.instance_entry() for endpoint in self.names.endpoints]
        roster = {"generation": 1, "reset": True, "instances": instances}
        known = {"no": self.names.serial, "items": [{"no": self.names.serial, "roster": roster}]}
        rules = SETTINGS["rules"] | {"tip_after": WINDOW * 1000}
        more = {"known": known, "settings": SETTINGS | {"rules": rules}}
        self.configured.write_text(json.dumps(self.addresses.configuration() | more))

    def test_a_server_that_has_just_started_gets_no_more_than_its_share(self) -> None:
        for step in (HOUR, 20.0, -HOUR):
            with self.subTest(step):
                self.clock.step_to(step)
                self.configure_started("s-0", int(time.time() * 1000) - 1000)
                child = self.dispatcher()
                began = time.monotonic()
                self.assertEqual([self.send_request().result() for _ in range(40)], [200] * 40)
                self.assertLess(time.monotonic() - began, WINDOW)  # the budget counts as spent at startup
                self.assertEqual(self.servers[0].since(began), [])
                child.kill()
                child.wait()


class Shutdown(SteppedCase):
    """Requests open at SIGTERM are answered, whatever the wall clock does."""

    def test_a_step_forward_while_it_shuts_down(self) -> None:
        for server in self.servers:
            server.takes = 1.0
        child = self.dispatcher()
        answer = self.send_request()
        while not any(server.arrivals for server in self.servers):
            time.sleep(0.01)
        child.send_signal(signal.SIGTERM)
        time.sleep(0.2)
        self.clock.step_to(HOUR)
        self.assertEqual(answer.result(), 200)
        self.assertEqual(child.wait(10), 0)

    def test_a_step_back_while_it_shuts_down(self) -> None:
        child = self.dispatcher()
        self.assertEqual(self.send_request().result(), 200)
        child.send_signal(signal.SIGTERM)
        time.sleep(0.2)
        self.clock.step_to(-HOUR)
        began = time.monotonic()
        self.assertEqual(child.wait(10), 0)
        self.assertLess(time.monotonic() - began, 2.5)


def wait_of(arrival: Arrival) -> int:
    """Returns the time that the server was given, in ms."""
    fields = dict(pair.split("=") for pair in arrival.fields.split(","))
    return int(fields["wait"])


class LeftBehind(unittest.TestCase):
    """A request that the adapter answered in place of the rules does not affect others in the queue."""

    def test_a_request_answered_late_sends_no_other_twice(self) -> None:
        world = World(self, engines=4)
        adapter, missed = world.service.adapter, list[str]()
        rules: Any = adapter.rules

        def must(holds: object, what: str) -> bool:  # does not raise, as in a release build
            missed.extend([] if holds else [what])
            return bool(holds)

        adapter.counters.check_invariant = must  # type: ignore[method-assign]
        rules.choose = lambda *_, **__: None  # all requests are queued
        rules.check_wait_queue = lambda: (
            None
        )  # the rules miss a deadline, and the adapter answers in their place
        callers = [Caller(world) for _ in range(3)]
        for number, caller in enumerate(callers):
            caller.post(number, "load", wait=400 if number == 1 else 15000)
        world.go(500)
        self.assertEqual([status for status, _, _ in callers[1].answers()], [500])
        self.assertEqual(missed, ["answer_in_time"])
        del rules.choose, rules.check_wait_queue
        world.go(300)
        peers = [world.peer(place).up() for place in range(len(world.reactor.tcpClients))]
        served = [sent[1] for peer in peers for sent in peer.received() if sent[0] == "serve"]
        self.assertEqual(sorted(served), [f"{0:016x}", f"{2:016x}"])


if __name__ == "__main__":
    unittest.main()
