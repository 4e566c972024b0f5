"""No response reaches the source port of queries to the name server: another port is used."""

import errno
import socket
import struct
import subprocess
import time
import unittest
from itertools import pairwise
from pathlib import Path
from typing import Any

from spurdeal.lab import name_server
from spurdeal.net.port_renewal import (
    INITIAL_RENEWAL_INTERVAL,
    MAX_RENEWAL_INTERVAL,
    MIN_UNANSWERED,
    PortRenewal,
)
from tests.helpers import Caller, World
from tests.processes import Addresses, counters_at_exit
from tests.scripted_names import Delivery, ScriptedNameService, Step
from tests.test_answer_orders import DRAIN, GRACE, SETTLE_TIME, SLACK, ScriptedCase, silence
from tests.test_discovery_faults import FaultyCase

RECOVERY_TIME = 1.0  # seconds after the loss of the first port until requests are served again
OUTAGE = 9.0  # seconds; longer than an earlier port is read
EARLIER_READ = 7.0  # seconds
MAX_PORTS = 4  # open at a time
MAX_OPENED = 6  # in such an outage, including the one at startup
SAMPLE_INTERVAL = 0.1  # seconds
FOREVER = 60.0  # seconds


class PortNameService(ScriptedNameService):
    """A scripted name server whose script applies only to the first source port.

    Attributes:
        ports: The source ports of queries, in order of their first use.
        others: What happens to responses to the other ports.
    """

    def __init__(self, host: str, port: int, endpoints: list[name_server.Endpoint]) -> None:
        self.ports = list[int]()
        self.others = Step(Delivery.SENT)
        super().__init__(host, port, endpoints)

    def respond(self, step: Step, query: bytes, client_address: tuple[str, int]) -> None:
        """Handles one response, by the script or as for other ports."""
        if client_address[1] not in self.ports:
            self.ports.append(client_address[1])
        super().respond(step if client_address[1] == self.ports[0] else self.others, query, client_address)


class Silence:
    """A name server that stays silent since a given time."""

    def __init__(self) -> None:
        self.now = self.silent_since = 0.0
        self.missed = 0

    def silent_for(self) -> float:
        """See net.port_renewal.Silence."""
        return self.now - self.silent_since


class Distances(unittest.TestCase):
    """The intervals between two renewals."""

    def renewals(self, seconds: float, silence: Silence) -> list[float]:
        """Returns the times of renewals with one query every 0.1 s."""
        renewal, found = PortRenewal(silence), list[float]()
        for tenth in range(round(seconds * 10)):
            silence.now = tenth / 10
            silence.missed += 1
            if renewal.is_due():
                renewal.renewed()
                found.append(silence.now)
        return found

    def test_intervals_double_up_to_a_limit(self) -> None:
        renewals = self.renewals(60.0, Silence())
        distances = [after - before for before, after in pairwise(renewals)]
        self.assertAlmostEqual(renewals[0], INITIAL_RENEWAL_INTERVAL)
        for distance, expected in zip(
            distances, (0.6, 1.2, 2.4, 4.8, *[MAX_RENEWAL_INTERVAL] * 10), strict=True
        ):
            self.assertAlmostEqual(distance, expected, delta=0.11)

    def test_a_response_resets_the_backoff(self) -> None:
        silence = Silence()
        renewal = PortRenewal(silence)
        for now in (0.4, 1.1, 2.5):
            silence.now, silence.missed = now, MIN_UNANSWERED
            self.assertTrue(renewal.is_due())
            renewal.renewed()
        silence.silent_since = 3.0
        silence.now = 3.0 + INITIAL_RENEWAL_INTERVAL - 0.01
        self.assertFalse(renewal.is_due())
        silence.now = 3.0 + INITIAL_RENEWAL_INTERVAL + 0.01
        self.assertTrue(renewal.is_due())

    def test_a_process_that_was_suspended_keeps_its_port(self) -> None:
        silence = Silence()
        renewal = PortRenewal(silence)
        silence.now, silence.missed = 5.0, MIN_UNANSWERED - 1
        self.assertFalse(renewal.is_due())
        silence.missed = MIN_UNANSWERED
        self.assertTrue(renewal.is_due())


class FailedRenewals(unittest.TestCase):
    """No other port can be opened: the current one stays in use, and opening is retried later."""

    def check(self, behind: bool) -> None:
        """Makes opening fail before the protocol has the socket, or `behind` that."""
        world, failures = World(self), list[object]()
        real, asked = world.reactor.listenUDP, world.count("names_asked")
        world.names_silent = True

        def listen(port: int, protocol: Any, **more: Any) -> Any:
            if behind:
                protocol.makeConnection(world)
            failures.append(protocol)
            raise OSError(errno.ENOBUFS, "by the test")

        world.reactor.listenUDP = listen
        world.go(2000)
        self.assertEqual(len(failures), 2)
        self.assertTrue(all(failed.transport is None for failed in failures))  # type: ignore[attr-defined]
        self.assertEqual(world.count("names_socket_not_opened"), 2)
        self.assertGreater(world.count("names_asked"), asked + 9)
        self.assertEqual(world.count("names_ports_renewed"), 0)
        self.assertEqual(world.service.names.numPorts, 1)
        world.reactor.listenUDP = real
        world.go(1000)
        self.assertEqual(world.count("names_ports_renewed"), 1)
        Caller(world).post(1)
        self.assertEqual(world.reactor.tcpClients, [])
        world.names_silent = False
        world.go(600)
        self.assertEqual(len(world.reactor.tcpClients), 1)

    def test_before_the_protocol_has_started(self) -> None:
        self.check(behind=False)

    def test_after_the_protocol_has_started(self) -> None:
        self.check(behind=True)


class LostPorts(ScriptedCase):
    """The first port of a real process gets no responses from some time on."""

    addresses = Addresses.in_subnet(71)
    name_service = PortNameService
    names: PortNameService

    def log_after_shutdown(self, child: subprocess.Popen[str]) -> str:
        """Shuts the dispatcher down and returns its log."""
        return FaultyCase.log_after_shutdown(self, child)  # type: ignore[arg-type]

    def settled_dispatcher(self) -> subprocess.Popen[str]:
        """Starts a dispatcher and waits until its first port works."""
        child = self.dispatcher()
        time.sleep(SETTLE_TIME)
        self.assertEqual(len(self.names.ports), 1)
        return child

    def arrived(self, since: float) -> int:
        """Returns the number of requests that reached the servers since then."""
        return sum(len(server.since(since)) for server in self.servers)

    def sockets(self, child: subprocess.Popen[str]) -> int:
        """Returns the number of open UDP sockets of the dispatcher."""
        (address,) = struct.unpack("=I", socket.inet_aton(self.addresses.dispatcher))
        rows = Path(f"/proc/{child.pid}/net/udp").read_text().splitlines()[1:]
        return sum(row.split()[1].startswith(f"{address:08X}:") for row in rows)

    def test_requests_are_served_again_with_another_port(self) -> None:
        child = self.settled_dispatcher()
        lost_at = time.monotonic()
        self.names.play(silence(FOREVER))
        self.send_requests_for(RECOVERY_TIME)
        flowing_from = time.monotonic()
        answers = [self.send_request() for _ in range(20)]
        self.send_requests_for(0.3)
        self.assertGreaterEqual(self.arrived(flowing_from), len(answers), f"{flowing_from - lost_at:.2f} s")
        self.assertEqual([answer.result() for answer in answers], [200] * len(answers))
        counters = counters_at_exit(self.log_after_shutdown(child))
        self.assertEqual(counters["names_ports_renewed"], 1)

    def check_drain(self, *script: Step) -> None:
        """Checks a drain announced while the port is lost: none is late, and requests are served again."""
        self.settled_dispatcher()
        self.names.play(*script, silence(FOREVER))
        announced_at = self.announced_at(self.names)
        self.send_requests_for(announced_at + RECOVERY_TIME - time.monotonic())
        flowing_from = time.monotonic()
        self.send_requests_for(1.0)
        self.assert_none_late(announced_at)
        self.assertGreater(len(self.servers[1].since(flowing_from)), 20)

    def test_a_drain_announced_to_the_lost_port(self) -> None:
        self.check_drain(DRAIN, Step(Delivery.LOST))

    def test_a_drain_announced_to_the_lost_port_repeatedly(self) -> None:
        self.check_drain(DRAIN, Step(Delivery.LOST, times=20))

    def test_a_drain_announced_some_time_after_the_port_was_lost(self) -> None:
        self.check_drain(silence(0.2), DRAIN)

    def test_a_response_to_an_earlier_port_is_accepted(self) -> None:
        child = self.settled_dispatcher()
        self.names.others = silence(FOREVER)
        self.names.play(DRAIN, Step(Delivery.SENT, delay=1.5), silence(FOREVER))
        announced_at = self.announced_at(self.names)
        self.send_requests_for(announced_at + 2.0 - time.monotonic())
        self.assertGreaterEqual(len(self.names.ports), 3)
        self.assert_none_late(announced_at)
        log = self.log_after_shutdown(child)
        self.assertIn("server=s-0 before=ready after=draining", log)

    def test_sockets_in_a_long_outage(self) -> None:
        child = self.settled_dispatcher()
        self.names.others = silence(FOREVER)
        self.names.play(silence(FOREVER))
        open_sockets = list[int]()
        until = time.monotonic() + OUTAGE
        while time.monotonic() < until:
            open_sockets.append(self.sockets(child))
            time.sleep(SAMPLE_INTERVAL)
        self.assertEqual(max(open_sockets), MAX_PORTS)
        self.names.others = Step(Delivery.SENT)
        self.send_requests_for(RECOVERY_TIME)
        flowing_from = time.monotonic()
        self.send_requests_for(0.5)
        self.assertGreater(self.arrived(flowing_from), 20)
        time.sleep(EARLIER_READ + GRACE + SLACK)
        self.assertEqual(self.sockets(child), 1)
        counters = counters_at_exit(self.log_after_shutdown(child))
        self.assertLessEqual(counters["names_sockets_opened"], MAX_OPENED)
        self.assertNotIn("names_socket_ended", counters)


if __name__ == "__main__":
    unittest.main()
