"""The descriptor budget, eviction, and service to working clients during a flood of connections.

Guards against idle or partial connections that use up all descriptors, so that clients which work are
refused, cannot be answered, or engines cannot be reached.
"""

import errno
import json
import os
import resource
import signal
import socket
import time
import unittest
from http.client import HTTPConnection, HTTPException
from itertools import pairwise
from urllib.request import urlopen

from spurdeal.net.descriptors import (
    OPENED_LATER,
    TYPICAL_OPEN,
    DescriptorBudget,
    ProcessDescriptors,
    count_open_descriptors,
)
from spurdeal.net.eviction import MIN_AGE
from tests.crowds import Behavior, Crowd
from tests.helpers import Caller, World
from tests.processes import Addresses, ProcessCase, counters_at_exit
from tests.steps import Steps

CROWDED_LIMIT = 256  # of the dispatcher's process
TIGHT_LIMIT = 96
CROWD, SMALL_CROWD = 2000, 500
WORKING_CALLS = 6  # on a keep-alive connection, and as many on new ones
WAIT_MS = 3000
PAUSE = 0.1  # seconds between two calls
PARTIAL_HEAD = b"POST /ops/lookup HTTP/1.1\r\nHost: origin.svc\r\n"
LEAST_WHOLE_BUDGET = 48  # the shares of smaller limits may exceed them


class Budget(unittest.TestCase):
    def test_parts_add_up_to_no_more_than_the_limit(self) -> None:
        for limit in range(LEAST_WHOLE_BUDGET, 5000):
            budget = DescriptorBudget.from_limit(limit, ProcessDescriptors())
            with self.subTest(budget):
                self.assertLessEqual(budget.own + budget.clients + budget.engines, limit)
                self.assertGreaterEqual(budget.clients, limit // 3)
                self.assertGreaterEqual(budget.engines, limit // 4)

    def test_a_large_limit_is_shared_by_half_and_two_fifths(self) -> None:
        budget = DescriptorBudget.from_limit(1000, ProcessDescriptors())
        self.assertEqual((budget.clients, budget.engines), (500, 400))

    def test_eviction_leaves_the_third_that_clients_may_hold(self) -> None:
        for limit in (64, 96, 128, 200, 256, 512, 672, 1024):
            budget = DescriptorBudget.from_limit(limit, ProcessDescriptors())
            with self.subTest(limit):
                self.assertGreaterEqual(budget.clients - budget.accepts, limit // 3)

    def test_what_the_process_holds_already_is_reserved(self) -> None:
        few, many = (
            DescriptorBudget.from_limit(200, ProcessDescriptors(already_open=held))
            for held in (TYPICAL_OPEN, TYPICAL_OPEN + 20)
        )
        self.assertEqual((few.own, many.own), (TYPICAL_OPEN + OPENED_LATER, TYPICAL_OPEN + 20 + OPENED_LATER))
        self.assertLessEqual(many.own + many.clients + many.engines, 200)

    def test_the_system_allows_less_than_is_configured(self) -> None:
        budget = DescriptorBudget.from_limit(1024, ProcessDescriptors(allowed=256))
        self.assertEqual(budget.limit, 256)
        self.assertEqual(DescriptorBudget.from_limit(64, ProcessDescriptors(allowed=256)).limit, 64)

    def test_parts_grow_with_the_limit(self) -> None:
        budgets = [DescriptorBudget.from_limit(limit, ProcessDescriptors()) for limit in range(4, 2000)]
        for smaller, larger in pairwise(budgets):
            self.assertLessEqual(smaller.clients, larger.clients + 1)
            self.assertLessEqual(smaller.engines, larger.engines + 1)

    def test_open_descriptors_are_counted(self) -> None:
        before = count_open_descriptors()
        with socket.socket(), socket.socket():
            self.assertEqual(count_open_descriptors(), before + 2)


class Eviction(unittest.TestCase):
    """Which connections are evicted, on in-memory transports. Of seven slots, eviction keeps two free."""

    def setUp(self) -> None:
        self.world = World(self)
        self.world.service.clients.set_limits(max_connections=7, accepts=2, memory_mb=64.0)
        self.calls = 0

    def served(self, ident: int) -> Caller:
        caller = Caller(self.world)
        caller.post(ident)
        peer = self.world.peer(len(self.world.reactor.tcpClients) - 1)
        peer.up().say(ident, "200", "parts=1", b"a\t1\tx\n")
        self.assertEqual([status for status, _, _ in caller.answers()], [200])
        return caller

    def busy(self, count: int) -> list[Caller]:
        """Clients with an open call each."""
        callers = []
        for _ in range(count):
            self.calls += 1
            callers.append(Caller(self.world))
            callers[-1].post(1000 + self.calls)
        return callers

    def crowd(self, count: int) -> list[Caller]:
        callers = []
        for _ in range(count):
            self.world.go(10)
            callers.append(Caller(self.world))
        self.world.go(MIN_AGE)
        return callers

    def test_silent_connections_are_evicted_first_the_oldest_of_them(self) -> None:
        served = self.served(1)
        silent = self.crowd(5)
        self.assertEqual([caller.pipe.disconnecting for caller in silent], [True] + [False] * 4)
        self.assertFalse(served.pipe.disconnecting)
        self.assertTrue(self.world.listener.open)

    def test_a_partial_request_is_rejected_before_a_client_that_worked_is_evicted(self) -> None:
        served = self.served(1)
        half = Caller(self.world)
        half.say(PARTIAL_HEAD)
        self.busy(4)
        self.world.go(MIN_AGE)
        status, fields, value = half.answers()[0]
        self.assertEqual((status, fields["Connection"], value), (503, "close", {"fault": "TryLater"}))
        self.assertTrue(half.pipe.disconnecting)
        self.assertFalse(served.pipe.disconnecting)
        self.assertEqual(self.world.count("unfinished_refused"), 1)

    def test_open_calls_stay_and_later_connections_wait(self) -> None:
        busy = self.busy(7)
        self.assertFalse(self.world.listener.open)
        self.assertFalse(any(caller.pipe.disconnecting for caller in busy))

    def test_an_answered_call_frees_a_slot_at_once_if_others_wait(self) -> None:
        busy = self.busy(7)
        self.world.peer(0).up().say(1001, "200", "parts=1", b"a\t1\tx\n")
        self.assertEqual([status for status, _, _ in busy[0].answers()], [200])
        self.assertTrue(busy[0].pipe.disconnecting)
        busy[0].leave()
        self.assertTrue(self.world.listener.open)

    def test_a_call_that_has_come_and_was_not_read_yet_is_not_closed_over(self) -> None:
        first, *_ = callers = self.crowd(5)
        first.pipe.unread = b"P"
        callers += self.crowd(1)
        self.assertEqual([caller.pipe.disconnecting for caller in callers], [False] * 6)
        first.pipe.unread = b""
        self.world.go(MIN_AGE)
        callers += self.crowd(1)
        self.assertEqual([caller.pipe.disconnecting for caller in callers], [True, True] + [False] * 5)

    def test_a_new_connection_has_time_for_its_first_bytes(self) -> None:
        callers = [Caller(self.world) for _ in range(7)]
        self.world.go(MIN_AGE - 5.0)
        self.assertFalse(any(caller.pipe.disconnecting for caller in callers))
        self.assertFalse(self.world.listener.open)
        self.world.go(10.0)
        self.assertEqual([caller.pipe.disconnecting for caller in callers], [True, True] + [False] * 5)
        for caller in callers[:2]:
            caller.leave()
        self.assertTrue(self.world.listener.open)

    def test_while_others_are_closing_none_that_worked_is_evicted(self) -> None:
        served = self.served(1)
        half = [Caller(self.world) for _ in range(3)]
        for caller in half:
            caller.say(PARTIAL_HEAD)
        self.busy(2)
        self.world.go(MIN_AGE)
        self.assertEqual([len(caller.answers()) for caller in half], [1, 0, 0])
        self.busy(1)
        self.world.go(1000.0)
        self.assertFalse(served.pipe.disconnecting)

    def test_a_pause_is_logged_once_a_second(self) -> None:
        busy = self.busy(7)
        for _ in range(3):
            busy.pop().leave()
            self.assertTrue(self.world.listener.open)
            busy += self.busy(1)
            self.assertFalse(self.world.listener.open)
        self.assertEqual(self.world.log.getvalue().count("event=accept_paused"), 1)
        self.assertEqual(self.world.count("accept_paused"), 4)


class BacklogAtTheEnd(unittest.TestCase):
    """Connections in the backlog are accepted before the port is closed, within the limit on connections."""

    MOST, WAITING = 8, 60

    def test_the_round_that_accepts_it_accepts_no_more_than_the_limit(self) -> None:
        steps = Steps(self)
        clients = steps.service.clients
        clients.set_limits(max_connections=self.MOST, accepts=2, memory_mb=64.0)
        steps.go()
        waiting = [steps.client() for _ in range(self.WAITING)]
        steps.reactor.callLater(0, clients.drain_backlog)
        for _ in range(4):
            steps.round()
            self.assertEqual(len(clients.connections), self.MOST)
        for client in waiting[: self.MOST]:
            client.socket.close()
        steps.go()
        self.assertEqual(steps.service.counters.sums["client_connections"], 2 * self.MOST)
        self.assertEqual(steps.service.counters.sums["most_client_connections"], self.MOST)


class Crowded(ProcessCase):
    """A dispatcher whose descriptors the kernel limits, under 2,000 connections of idle or slow clients."""

    addresses = Addresses.in_subnet(65)

    def setUp(self) -> None:
        super().setUp()
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, max(soft, 2 * CROWD)), hard))
        self.addCleanup(resource.setrlimit, resource.RLIMIT_NOFILE, (soft, hard))
        self.most_descriptors = self.call_number = 0

    def start_all(self, configured: int = CROWDED_LIMIT, allowed: int | None = CROWDED_LIMIT) -> None:
        self.configure(limits={"sockets": configured})
        self.start_stand_ins()
        self.dispatcher = self.start_dispatcher(allowed)
        self.await_ready(self.dispatcher)
        self.budget = DescriptorBudget.from_limit(configured, ProcessDescriptors(allowed))

    def connection(self) -> HTTPConnection:
        connection = HTTPConnection(self.addresses.dispatcher, self.addresses.port, timeout=WAIT_MS / 1000)
        self.addCleanup(connection.close)
        return connection

    def note_descriptors(self) -> None:
        held = len(os.listdir(f"/proc/{self.dispatcher.pid}/fd"))
        self.most_descriptors = max(self.most_descriptors, held)

    def call(self, connection: HTTPConnection) -> None:
        """Submits one statement, which has to be answered with 200 before its deadline."""
        self.call_number += 1
        fields = {"Req-Id": f"{self.call_number:016x}", "Req-Wait-Ms": str(WAIT_MS)}
        sent_at = time.monotonic()
        try:
            connection.request("POST", "/ops/lookup", "SELECT a FROM s_1.t -- cost=5", fields)
            answer = connection.getresponse()
            answer.read()
        except (OSError, HTTPException) as fault:
            passed = time.monotonic() - sent_at
            self.fail(f"call {self.call_number}: {fault!r} after {passed:.2f} s")
        self.assertEqual(answer.status, 200)
        self.assertLess(time.monotonic() - sent_at, WAIT_MS / 1000)

    def serve_during_crowd(self, behavior: Behavior, size: int = CROWD) -> dict[str, int]:
        """Makes calls on a keep-alive connection and new ones during a crowd; returns the final counters."""
        kept = self.connection()
        self.call(kept)
        kept_socket = kept.sock
        with Crowd((self.addresses.dispatcher, self.addresses.port), size, behavior) as crowd:
            for _ in range(WORKING_CALLS):
                self.note_descriptors()
                self.call(self.connection())
                self.call(kept)
                self.note_descriptors()
                time.sleep(PAUSE)
            self.assertIs(kept.sock, kept_socket)
            self.assertGreater(crowd.connects, self.budget.limit)
        kept.close()
        return self.end()

    def end(self) -> dict[str, int]:
        self.dispatcher.send_signal(signal.SIGTERM)
        said = self.dispatcher.communicate(timeout=30)[1]
        self.assertEqual(self.dispatcher.returncode, 0, said)
        self.assertNotIn(errno.errorcode[errno.EMFILE], said)
        self.assertNotIn("event=unhandled", said)
        counters = counters_at_exit(said)
        # Clients never used the descriptors reserved for engines.
        self.assertLessEqual(self.most_descriptors, self.budget.limit - self.budget.engines + 2)
        self.assertLessEqual(counters["most_client_connections"], self.budget.clients)
        self.assertLessEqual(counters["most_descriptors"], self.budget.limit)
        self.assertEqual([name for name in counters if name.startswith("must_")], [])
        return counters

    def test_silent_clients(self) -> None:
        self.start_all()
        self.assertGreater(self.serve_during_crowd(Behavior())["clients_evicted"], CROWD // 2)

    def test_silent_clients_that_reconnect_at_once(self) -> None:
        self.start_all()
        self.serve_during_crowd(Behavior(reconnects=True))

    def test_partial_heads(self) -> None:
        self.start_all()
        counters = self.serve_during_crowd(Behavior(first=PARTIAL_HEAD))
        self.assertGreater(counters["unfinished_refused"], CROWD // 2)

    def test_partial_heads_on_ever_new_connections(self) -> None:
        self.start_all()
        self.serve_during_crowd(Behavior(first=PARTIAL_HEAD, reconnects=True))

    def test_a_byte_each_second(self) -> None:
        self.start_all()
        self.serve_during_crowd(Behavior(trickles=True, reconnects=True))

    def test_the_system_enforces_no_limit(self) -> None:
        self.start_all(allowed=None)
        self.serve_during_crowd(Behavior(reconnects=True))

    def test_the_system_allows_less_than_is_configured(self) -> None:
        self.start_all(configured=1024, allowed=TIGHT_LIMIT)
        self.serve_during_crowd(Behavior(reconnects=True), SMALL_CROWD)

    def test_the_configuration_is_read_again_amid_a_crowd(self) -> None:
        self.start_all()
        with Crowd((self.addresses.dispatcher, self.addresses.port), CROWD, Behavior(reconnects=True)):
            self.call(self.connection())
            self.dispatcher.send_signal(signal.SIGHUP)
            self.call(self.connection())
            counters: dict[str, int] = {}
            until = time.monotonic() + WAIT_MS / 1000
            while "configurations_read" not in counters and time.monotonic() < until:
                with urlopen(self.url("/counters"), timeout=WAIT_MS / 1000) as found:
                    counters = json.load(found)
            self.assertEqual(counters["configurations_read"], 1)
        self.end()

    def test_it_exits_in_time_amid_a_crowd(self) -> None:
        self.start_all()
        with Crowd((self.addresses.dispatcher, self.addresses.port), CROWD, Behavior(reconnects=True)):
            self.call(self.connection())
            self.end()


if __name__ == "__main__":
    unittest.main()
