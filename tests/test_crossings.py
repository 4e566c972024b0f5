"""Races between events and the dispatcher's steps: forces each race that docs/crossings.md lists."""

import json
import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any

from twisted.internet.error import TimeoutError as ConnectTimeout

from spurdeal.lab import name_server
from spurdeal.lab.loopback import Network
from spurdeal.net.start import Configuration, Unusable, read_configuration
from tests.helpers import LIST_CONFIRMED_MS, SETTINGS, Caller, World, configuration
from tests.steps import PeerSocket, Steps, settings

ROOT = Path(__file__).parent.parent
SHED, BROKEN = 503, 500
IDEMPOTENT_BY_KEY = [dict(SETTINGS["grades"][0]), SETTINGS["grades"][1] | {"effect": "by_key", "window": 400}]


def optional_header(name: str, text: str) -> dict[str, Any]:
    return {name: text} if text else {}


class LeavingClients(unittest.TestCase):
    """A request whose client has left is not sent, at whatever stage it waits."""

    def sent(self, steps: Steps, peer: PeerSocket) -> list[str]:
        steps.go()
        return [message[1] for message in peer.received() if message[0] == "serve"]

    def test_sent_whole_and_still_in_the_backlog(self) -> None:
        for way in ("close", "half-close", "reset"):
            with self.subTest(way):
                steps = Steps(self)
                steps.served(1)
                client = steps.client()
                client.post(2)
                if way == "half-close":
                    client.socket.shutdown(1)
                elif way == "close":
                    client.socket.close()
                else:
                    client.reset()
                self.assertEqual(self.sent(steps, steps.engines[0].peers[0]), [])
                self.assertEqual(steps.service.adapter.open_requests, {})

    def test_between_reading_and_its_batch(self) -> None:
        steps = Steps(self)
        steps.served(1)
        client = steps.client()
        client.post(2)
        steps.until(lambda: steps.service.adapter.pending_events)
        client.socket.close()
        self.assertEqual(self.sent(steps, steps.engines[0].peers[0]), [])
        self.assertEqual(steps.service.counters.sums["trips_whose_client_left"], 1)

    def test_withdrawn_before_its_request_has_arrived(self) -> None:
        """A DELETE on another connection is read before the request that it withdraws."""
        steps = Steps(self)
        steps.served(1)
        first = steps.client()
        first.socket.sendall(b"DELETE /ops/lookup/%016x HTTP/1.1\r\n\r\n" % 2)
        self.assertEqual(steps.until(first.status), 404)
        client = steps.client()
        client.post(2)
        self.assertEqual(self.sent(steps, steps.engines[0].peers[0]), [])
        self.assertEqual(client.read(), b"")
        again = steps.client()
        again.post(2)
        self.assertEqual(self.sent(steps, steps.engines[0].peers[0]), [f"{2:016x}"])

    def test_early_withdrawals_expire(self) -> None:
        world = World(self)
        adapter = world.service.adapter
        for number in range(400):
            adapter.withdraw(b"%016x" % number)
        self.assertEqual(len(adapter.early_withdrawals), 256)
        world.go(5100)
        Caller(world).post(399)
        self.assertEqual((len(world.peer().up().received()), adapter.early_withdrawals), (1, {}))

    def test_while_its_connection_is_dialled_where_nothing_may_be_cancelled(self) -> None:
        world = World(self, settings=settings(limits={"cancelling": False}))
        caller = Caller(world)
        caller.post(1)
        caller.leave()
        self.assertEqual(world.peer().up().received(), [])

    def test_pipelined_after_another_request(self) -> None:
        world = World(self)
        caller = Caller(world)
        caller.post(1)
        caller.post(2)
        peer = world.peer().up()
        caller.leave()
        self.assertEqual(
            [message[:2] for message in peer.received()], [["serve", f"{1:016x}"], ["cancel", f"{1:016x}"]]
        )

    def test_queued_and_then_sent(self) -> None:
        world = World(self)
        adapter = world.service.adapter
        adapter.rules.choose = lambda *_, **__: None  # type: ignore[method-assign]
        caller = Caller(world)
        caller.post(1)
        world.go(100)
        del adapter.rules.choose
        caller.pipe.ended = True  # the end of the stream has arrived but was not read
        world.go(100)
        self.assertEqual(world.peer().up().received(), [])


class LateConnections(unittest.TestCase):
    """Conditions may change between the choice of an engine and the first byte sent."""

    def test_the_time_limit_and_the_priority_are_those_at_send_time(self) -> None:
        world = World(self)
        Caller(world).post(1, wait=1500)
        world.go(200)
        world.service.adapter.set_terms(0, 0.0, 1)
        world.go(50)
        (message,) = world.peer().up().received()
        self.assertRegex(message[2], r"^class=lookup,wait=1[12]\d\d,rank=1$")

    def test_a_retry_whose_idempotency_window_ended_during_the_dial(self) -> None:
        for ms, sent in ((100, 1), (300, 0)):
            with self.subTest(ms=ms):
                world = World(self, engines=2, settings=SETTINGS | {"grades": IDEMPOTENT_BY_KEY})
                caller = Caller(world)
                caller.post(1, "load")
                peer = world.peer().up()
                world.go(150)
                peer.lose()
                world.go(ms)
                self.assertEqual(len(world.peer(1).up().received()), sent)

    def test_an_engine_that_moved_or_restarted_during_the_dial(self) -> None:
        for address, started in (("127.0.9.7:7001", 0), ("127.0.9.0:7001", 1_790_000_000_001)):
            with self.subTest(address):
                world = World(self)
                caller = Caller(world)
                caller.post(1, "load")
                world.list(2, ("s-0.east.hosts", address, 0, f"kind=std cell=0 started={started}"))
                self.assertEqual(world.peer().up().received(), [])
                if not started:
                    peer = world.peer(1)
                    self.assertEqual(f"{peer.host}:{peer.port}", address)
                    self.assertEqual(peer.up().received()[0][1], f"{1:016x}")

    def test_an_attempt_that_was_never_sent_does_not_count(self) -> None:
        """With a limit of one attempt, a drain during the dial still leaves an attempt for another engine."""
        tight_budget = SETTINGS["rules"] | {"extra_floor": 0, "repeat_ratio": 0, "counted_over": 5000}
        world = World(self, engines=2, settings=settings(limits={"send_cap": 1}, rules=tight_budget))
        Caller(world).post(1, "load")
        dialled = world.peer().host
        world.list(
            2,
            *(
                (
                    f"s-{number}.east.hosts",
                    f"127.0.9.{number}:7001",
                    int(dialled[-1] == str(number)),
                    "kind=std cell=0 started=0",
                )
                for number in range(2)
            ),
        )
        self.assertEqual(len(world.peer(1).up().received()), 1)

    def test_a_connect_timeout_does_not_count_as_an_attempt(self) -> None:
        """A connect timeout proves that nothing ran: even with one attempt, another engine gets it."""
        tight_budget = SETTINGS["rules"] | {"extra_floor": 0, "repeat_ratio": 0, "counted_over": 5000}
        world = World(self, engines=2, settings=settings(limits={"send_cap": 1}, rules=tight_budget))
        Caller(world).post(1, "load")
        world.peer().refuse(ConnectTimeout)
        self.assertNotEqual(world.peer(1).host, world.peer().host)
        self.assertEqual(len(world.peer(1).up().received()), 1)
        self.assertEqual(world.count("trips_connect_timeout"), 1)

    def test_an_attempt_that_is_never_allowed_is_not_retried_forever(self) -> None:
        world = World(self, settings=settings(limits={"send_cap": 2}))
        world.service.adapter.rules.may_send = lambda *_: False  # type: ignore[method-assign]
        caller = Caller(world)
        caller.post(1)
        world.peer().up()
        for _ in range(9):
            world.go(10)
        self.assertEqual(
            ([status for status, _, _ in caller.answers()], world.count("trips_overtaken")), ([503], 5)
        )

    def test_a_cold_send_counts_from_when_it_is_sent(self) -> None:
        world = World(self)
        rules = world.service.adapter.rules
        engine = rules.engines[0]
        engine.begin_slow_start(world.now() + 15_000, world.now(), 1.0)
        engine.cold_sends.clear()
        Caller(world).post(1, Req_Cost="1.0")
        chosen = engine.cold_sends[-1][0]
        world.go(200)
        world.peer().up()
        self.assertGreaterEqual(engine.cold_sends[-1][0], chosen + 150)
        self.assertEqual(sum(sent == chosen for sent, _ in engine.cold_sends), 0)

    def test_an_engine_classified_as_cold_during_the_dial(self) -> None:
        world = World(self, engines=2)
        Caller(world).post(1)
        engine = next(e for e in world.service.adapter.rules.engines.values() if e.open_attempts)
        engine.begin_slow_start(world.now() + 15_000, world.now(), 0.0)
        self.assertEqual(world.peer().up().received(), [])
        self.assertEqual(len(world.peer(1).up().received()), 1)


class Drains(unittest.TestCase):
    """An attempt that was not sent by the end of the drain grace period is not sent there."""

    def full(self) -> Steps:
        """A connection whose engine does not read: one request partly written, another queued."""
        steps = Steps(
            self,
            engines=2,
            small=True,
            limits={"sockets": 6},
            settings=settings(limits={"streams_per_conn": 8}, zones=["east"]),
        )
        steps.service.engines.max_connections = 2  # one per engine
        clients = [steps.client() for _ in range(4)]
        for number, client in enumerate(clients[:2]):
            client.post(number)
            steps.go()
        peers = [steps.until(engine.accept) for engine in steps.engines]
        steps.go()
        for engine in steps.service.engines.engines.values():
            engine.connections[0].transport.socket.setsockopt(1, 7, 4096)  # SOL_SOCKET, SO_SNDBUF
        for number, client in enumerate(clients[2:], 2):
            client.post(number, "load" if number == 3 else "lookup", body=b"x" * 60_000)
            steps.go()
        self.assertEqual(len(peers), 2)
        return steps

    def stuck(self, steps: Steps) -> Any:
        return [
            connection
            for engine in steps.service.engines.engines.values()
            for connection in engine.connections
            if connection.sending
        ]

    def test_attempts_queued_behind_a_full_window_go_to_another_engine(self) -> None:
        steps = self.full()
        third = steps.client()
        third.post(9, body=b"y" * 60_000)
        steps.go()
        connection = next(each for each in self.stuck(steps) if each.write_queue)
        number = int(connection.engine.endpoint.ident[2:])
        waiting = [attempt for attempt in connection.attempts.values() if not attempt.written]
        self.assertEqual(len(waiting), 1)
        steps.list(2, number)
        self.assertEqual([attempt for attempt in connection.attempts.values() if not attempt.written], [])
        self.assertTrue(connection.up)
        steps.go(130)  # over half of the grace period: unaccepted bytes are cut off
        self.assertFalse(connection.up)
        self.assertEqual(steps.service.counters.sums["unsent_cut_off"], 1)

    def test_a_queued_attempt_is_dropped_when_its_client_leaves(self) -> None:
        steps = self.full()
        third = steps.client()
        third.post(9, body=b"y" * 60_000)
        steps.go()
        connection = next(each for each in self.stuck(steps) if each.write_queue)
        ident = next(attempt.ident for attempt in connection.attempts.values() if not attempt.written)
        third.socket.close()
        steps.go()
        self.assertNotIn(
            ident, [message.ident for message in connection.write_queue if not isinstance(message, bytes)]
        )
        self.assertNotIn(b"cancel", b"".join(m for m in connection.write_queue if isinstance(m, bytes)))

    def test_a_connection_whose_engine_stops_reading_is_aborted(self) -> None:
        """Unwritten bytes would keep it open to no purpose: neither an attempt nor a drain would end it."""
        world = World(self)
        caller = Caller(world)
        caller.post(1)
        peer = world.peer().up()
        peer.pipe.full = True
        caller.leave()  # its `cancel` stays in the transport
        world.go(14_000)
        self.assertFalse(peer.pipe.aborted)
        world.go(2_000)
        self.assertTrue(peer.pipe.aborted)

    def test_a_silent_connection_is_reset_and_not_closed(self) -> None:
        """If it were closed normally, the system would send its bytes when the network link recovers."""
        steps = Steps(self)
        client = steps.client()
        client.post(1, wait=500)
        peer = steps.until(steps.engines[0].accept)
        steps.until(peer.received)
        steps.go(500)
        with self.assertRaises(ConnectionResetError):
            steps.until(lambda: peer.read() and None)


class IdleConnections(unittest.TestCase):
    def test_an_end_of_stream_that_was_not_read_yet(self) -> None:
        """The engine closes an idle connection between the reading of a request and its batch."""
        steps = Steps(self)
        client = steps.served(1)
        client.post(2, "load")
        steps.until(lambda: steps.service.adapter.pending_events)
        steps.engines[0].peers[0].socket.close()
        peer = steps.until(steps.engines[0].accept)
        steps.until(peer.received)
        peer.say(2)
        self.assertEqual(steps.until(client.status), 200)

    def test_the_idle_timeout_of_engines_is_learned(self) -> None:
        """After a clean close of an idle connection, non-idempotent requests avoid long idle ones."""
        world = World(self)
        caller, early = Caller(world), Caller(world)
        for ident, each in ((1, caller), (2, early)):
            each.post(ident)
        peers = [world.peer(place).up() for place in range(2)]
        for ident, peer in enumerate(peers, 1):
            peer.say(ident, "200", "parts=1")
        world.go(1000)
        peers[0].lose()
        self.assertAlmostEqual(world.service.engines.observed_idle_timeout, 1000.0, delta=60)
        Caller(world).post(3)  # idempotent requests use any idle connection
        self.assertEqual(peers[1].received()[1][1], f"{3:016x}")
        peers[1].say(3, "200", "parts=1")
        world.go(700)
        Caller(world).post(4, "load")
        self.assertEqual((len(world.reactor.tcpClients), peers[1].received()), (3, []))
        world.go(240_000)
        self.assertGreater(world.service.engines.observed_idle_timeout, 2000.0)  # the estimate has expired


class Answers(unittest.TestCase):
    BEGUN = b"*4\r\n$16\r\n%016x\r\n$3\r\n200\r\n$7\r\nparts=1\r\n$400\r\n" % 1

    def test_an_answer_that_trickles_is_bounded_from_its_first_byte(self) -> None:
        world = World(self, engines=2)
        caller = Caller(world)
        caller.post(1)
        peer = world.peer().up()
        peer.raw(self.BEGUN)
        for _ in range(9):
            world.go(100)
            if not peer.pipe.aborted:
                peer.raw(b"a")
        self.assertTrue(peer.pipe.aborted)
        world.peer(1).up().say(1, "200", "parts=1")
        self.assertEqual(caller.answers()[0][0], 200)

    def test_an_answer_that_trickles_leaves_time_for_a_retry(self) -> None:
        world = World(self, engines=2)
        caller = Caller(world)
        caller.post(1, wait=640)
        peer = world.peer().up()
        peer.raw(self.BEGUN)
        world.go(290)
        self.assertFalse(peer.pipe.aborted)
        world.go(30)
        self.assertTrue(peer.pipe.aborted)
        world.peer(1).up().say(1, "200", "parts=1")
        self.assertEqual(caller.answers()[0][0], 200)

    def test_an_id_with_an_attempt_in_flight_is_not_accepted_again(self) -> None:
        """Without cancellation, two attempts with one id would be in flight at once."""
        world = World(self, settings=settings(limits={"cancelling": False}))
        caller = Caller(world)
        caller.post(1, wait=4000)
        peer = world.peer().up()
        caller.leave()
        again = Caller(world)
        again.post(1)
        self.assertEqual(again.answers()[0][0], 400)
        peer.say(1, "200", "parts=1")
        last = Caller(world)
        last.post(1)
        self.assertEqual(len(world.service.adapter.open_requests), 1)
        last.leave()


class Closing(unittest.TestCase):
    """Closing a socket with unread bytes resets the connection, which loses what was written last."""

    def test_an_answer_before_all_was_read_is_followed_by_a_clean_end(self) -> None:
        steps = Steps(self)
        client = steps.client()
        client.socket.settimeout(5)
        client.socket.sendall(b"POST /ops/lookup HTTP/1.1\r\nContent-Length: 150000\r\n\r\n" + b"x" * 150_000)
        client.socket.settimeout(0)
        steps.go()
        self.assertEqual(client.status(), 413)
        self.assertEqual(client.read(), b"")  # an end, not a reset
        client.socket.sendall(b"more that is dropped")
        steps.go()
        client.socket.close()
        steps.go()
        self.assertEqual(steps.service.clients.connections, {})

    def test_lingering_is_bounded_in_time_and_bytes(self) -> None:
        steps = Steps(self)
        quiet, loud = steps.client(), steps.client()
        for client in (quiet, loud):
            client.socket.sendall(b"nonsense\r\n\r\n")
        self.assertEqual([steps.until(client.status) for client in (quiet, loud)], [400, 400])
        with self.assertRaises(OSError):
            for _ in range(40):
                loud.socket.sendall(b"x" * 20_000)
                steps.go()
        self.assertEqual(len(steps.service.clients.connections), 1)
        steps.go(1500)
        self.assertEqual(steps.service.clients.connections, {})

    def test_lingering_connections_are_evicted_first(self) -> None:
        steps = Steps(self, limits={"sockets": 32})  # sixteen of them for clients
        served = steps.served(1)
        bad_clients = [steps.client() for _ in range(14)]
        for client in bad_clients:
            client.socket.sendall(b"nonsense\r\n\r\n")
        steps.go()
        steps.client()
        steps.go()
        served.post(2)
        steps.until(lambda: steps.service.adapter.open_requests)

    def test_a_request_that_races_with_the_close_of_an_idle_connection_is_read(self) -> None:
        for method_name in ("sweep", "evict_idle", "close_idle"):
            with self.subTest(method_name):
                steps = Steps(self)
                client = steps.served(1)
                steps.reactor.now += 6.0  # idle for too long
                client.post(2)
                getattr(steps.service.clients, method_name)()
                self.assertEqual(steps.service.clients.connections.popitem()[0].closing, False)
                client.socket.close()


class Ending(unittest.TestCase):
    """Graceful shutdown: from SIGTERM to the exit."""

    def test_the_last_request_in_the_backlog_is_answered(self) -> None:
        steps = Steps(self)
        steps.service.stop()
        steps.go(890)
        client = steps.client()
        client.post(1)
        steps.reactor.now += 0.06  # the exit check runs before the listener is read
        peer = steps.until(steps.engines[0].accept)
        self.assertEqual(steps.stopped_at, [])
        steps.until(peer.received)
        peer.say(1)
        self.assertEqual(steps.until(client.status), 200)
        client.socket.close()
        steps.go(200)
        self.assertEqual(len(steps.stopped_at), 1)
        with self.assertRaises(OSError):
            steps.client()

    def test_a_request_that_waits_while_accepting_is_paused_is_answered(self) -> None:
        steps = Steps(self, limits={"sockets": 32})
        busy = [steps.client() for _ in range(16)]
        for number, client in enumerate(busy):
            client.post(number)
        steps.go()
        self.assertTrue(steps.service.clients.paused)
        waiting = steps.client()
        waiting.post(99)
        steps.service.stop()
        for client in busy:
            client.socket.close()
        steps.go(60)
        steps.until(lambda: b"%016x" % 99 in steps.service.adapter.by_ident)
        waiting.socket.close()

    def test_answers_end_their_connections(self) -> None:
        steps = Steps(self)
        client = steps.served(1)
        steps.service.stop()
        client.post(2)
        steps.go()
        steps.engines[0].peers[0].say(2)
        answer = steps.until(client.read)
        self.assertIn(b"\r\nConnection: close\r\n", answer)
        self.assertEqual(client.read(), b"")

    def test_what_is_read_after_the_shutdown_is_not_sent_on(self) -> None:
        steps = Steps(self)
        client = steps.served(1)
        steps.service.stop()
        steps.go(890)
        steps.service.clients.close_idle()
        client.post(2)
        steps.go(60)
        self.assertEqual(steps.engines[0].peers[0].received(), [])

    def test_a_client_that_does_not_read_its_answer_does_not_delay_the_exit(self) -> None:
        world = World(self)
        caller = Caller(world)
        caller.post(1)
        peer = world.peer().up()
        caller.protocol.pauseProducing()
        peer.say(1, "200", "parts=1")
        world.service.stop()
        world.go(3700)
        self.assertEqual(len(world.done), 1)


class Floods(unittest.TestCase):
    def test_many_requests_at_once_do_not_delay_others(self) -> None:
        steps = Steps(self)
        steps.served(1)
        flood, other = steps.client(), steps.client()
        steps.go()
        flood.socket.sendall(b"GET /alive HTTP/1.1\r\n\r\n" * 2000)
        other.post(2)
        steps.round()
        steps.round()
        self.assertIn(b"%016x" % 2, steps.service.adapter.by_ident)
        self.assertLess(steps.service.counters.sums["answers_200"], 200)
        steps.until(lambda: steps.service.counters.sums["answers_200"] >= 2001)

    def test_the_time_of_a_pipelined_request_counts_from_its_arrival(self) -> None:
        world = World(self)
        caller = Caller(world)
        caller.post(1)
        caller.post(2, wait=1000)
        peer = world.peer().up()
        world.go(400)
        peer.say(1, "200", "parts=1")
        self.assertRegex(peer.received()[-1][2], r"wait=5[56]\d,")


class Signals(unittest.TestCase):
    """Signals before the event loop exists: sent during the slowest import."""

    def run_with(self, sent: str, path: Path) -> subprocess.CompletedProcess[str]:
        text = (
            f"import os, runpy, signal, sys\n"
            f"class Hook:\n"
            f"    def find_spec(self, name, *_):\n"
            f"        if name == 'spurdeal.net.start':\n"
            f"            for each in ({sent},):\n"
            f"                os.kill(os.getpid(), each)\n"
            f"sys.meta_path.insert(0, Hook())\n"
            f"sys.argv[1:] = []\n"
            f"runpy.run_module('spurdeal', run_name='__main__', alter_sys=True)\n"
        )
        return subprocess.run(
            [sys.executable, "-c", text],
            capture_output=True,
            text=True,
            timeout=60,
            cwd=ROOT,
            env=os.environ | {"ROUTER_CONFIG": str(path)},
            check=False,
        )

    def test_both_signals_are_kept_and_handled(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "config.json"
            network = Network.of_this_process()
            listen, nameserver = f"{network.host(63, 2)}:7099", f"{network.host(63, 9)}:5300"
            path.write_text(json.dumps(configuration(listen=listen, nameserver=nameserver)))
            done = self.run_with("signal.SIGHUP, signal.SIGTERM", path)
            self.assertEqual(done.returncode, 0, done.stderr)
            for event in ("ready", "configuration_read", "stopping", "stopped"):
                self.assertIn(f"event={event}", done.stderr)

    def test_a_hangup_before_the_first_line_is_ignored(self) -> None:
        """The shell of `run` ignores SIGHUP; the program inherits that until it installs its handlers."""
        run = next(
            line
            for line in (ROOT / "deploy" / "balancer.toml").read_text().splitlines()
            if line.startswith("run")
        )
        self.assertIn("trap '' HUP; exec ", run)

    def test_a_half_written_configuration_is_read_again(self) -> None:
        world, reads = World(self), list[float]()
        loaded = read_configuration(json.dumps(configuration(1, nameserver="127.0.8.10:5301")))

        def read() -> Configuration:
            reads.append(world.now())
            if len(reads) < 3:
                raise Unusable("configuration: half of it")
            return loaded

        world.service.reload_configuration(read)
        self.assertIn("event=configuration_kept", world.log.getvalue())
        world.go(400)
        self.assertEqual((len(reads), world.service.names.address), (3, ("127.0.8.10", 5301)))
        world.go(10_000)
        self.assertEqual(len(reads), 3)

    def test_a_configuration_that_stays_unusable_is_given_up(self) -> None:
        world, reads = World(self), list[float]()

        def read() -> Configuration:
            reads.append(world.now())
            raise Unusable("configuration: nothing")

        world.service.reload_configuration(read)
        world.go(20_000)
        self.assertEqual((len(reads), world.count("configurations_unusable")), (7, 1))


class OtherTenants(unittest.TestCase):
    """Unusual but valid settings of other deployments: the dispatcher starts, and serves."""

    def serves(self, workload: str, **more: Any) -> World:
        world = World(self, **more)
        caller = Caller(world)
        caller.post(1, workload)
        peer = world.peer().up()
        self.assertEqual(peer.received()[0][1], f"{1:016x}")
        peer.say(1, "200", "parts=1")
        self.assertEqual(caller.answers()[0][0], 200)
        return world

    def test_names_with_other_characters(self) -> None:
        grade = SETTINGS["grades"][0]
        for name, path in (
            ("aruanne (kuu)", "aruanne%20%28kuu%29"),
            ("sisse/kanne", "sisse%2Fkanne"),
            ("õ-laad", "%C3%B5-laad"),
            ("100%", "100%25"),
            ("a%20b", "a%20b"),
            ("q", "q"),
        ):
            with self.subTest(name):
                self.serves(path, settings=SETTINGS | {"grades": [grade | {"name": name}]})

    def test_a_zone_whose_name_holds_a_dot_or_other_letters(self) -> None:
        placed = [SETTINGS["grades"][0] | {"zones_open": ["2.korrus"]}]
        world = World(self, settings=SETTINGS | {"zones": ["õu", "2.korrus"], "grades": placed})
        world.list(
            2,
            ("s-1.õu.hosts", "127.0.9.1:7001", 0, "kind=std cell=0 started=0"),
            ("s-2.2\\.korrus.hosts", "127.0.9.2:7001", 0, "kind=std cell=0 started=0"),
        )
        world.go(LIST_CONFIRMED_MS)
        self.assertEqual(
            [endpoint.zone for endpoint in world.service.adapter.endpoints.values()], ["õu", "2.korrus"]
        )
        Caller(world).post(1)
        self.assertEqual(world.peer().host, "127.0.9.2")

    def test_null_counts_as_left_out(self) -> None:
        for name in ("zones", "models", "extra", "limits", "rules", "report", "tenants", "balancers", "zone"):
            with self.subTest(name):
                self.serves("lookup", settings=SETTINGS | {name: None})
                self.serves("lookup", settings={key: SETTINGS[key] for key in SETTINGS if key != name})
        for name in (
            "aim_stretch",
            "late_worth",
            "effect",
            "group",
            "window",
            "serial_by_key",
            "zones_open",
            "models_allowed",
            "worth",
        ):
            with self.subTest(name):
                self.serves("lookup", settings=SETTINGS | {"grades": [SETTINGS["grades"][0] | {name: None}]})
        self.serves(
            "lookup",
            settings=SETTINGS
            | {
                "extra": {
                    "parallelism": [None],
                    "holds_tables": None,
                    "class_waits": [None, None],
                    "cpu_of_kind": [None],
                }
            },
        )
        self.serves("lookup", limits={"sockets": None, "memory_mb": None}, seed=None)

    def test_whole_numbers_and_the_smallest_limits(self) -> None:
        ones = {"aim": 1, "aim_stretch": 0, "deadline": 5000, "worth": 0, "late_worth": 0}
        self.serves("lookup", settings=SETTINGS | {"grades": [SETTINGS["grades"][0] | ones]})
        least = {
            "conn_idle": 0,
            "dial_timeout": 1,
            "streams_per_conn": 0,
            "send_cap": 0,
            "max_retry_after": 0,
        }
        self.serves("lookup", limits={"sockets": 4, "memory_mb": 1}, settings=settings(limits=least))
        self.serves("lookup", settings=settings(extra={"cpu_of_kind": [0]}))

    def test_cold_engines_without_a_configured_window(self) -> None:
        for rules in ({"cold": 15000, "tip_after": 0}, {"cold": 15000}, {"cold": 0, "tip_after": 1500}):
            with self.subTest(rules):
                world = World(self, settings=SETTINGS | {"rules": rules})
                started = int(world.now())
                world.list(2, ("s-0.east.hosts", "127.0.9.0:7001", 0, f"kind=std cell=0 started={started}"))
                Caller(world).post(1)
                self.assertEqual(len(world.peer().up().received()), 1)

    def test_names_as_clients_write_them(self) -> None:
        """Unescaped: spaces, non-ASCII letters and slashes appear in the target as they are."""
        grades = [
            SETTINGS["grades"][0] | {"name": name}
            for name in ("otsing õ", "aruanne (kuu)", "sisse/kanne", "kanne")
        ]
        for name in ("otsing õ", "aruanne (kuu)", "sisse/kanne", "kanne"):
            with self.subTest(name):
                world = World(self, settings=SETTINGS | {"grades": grades})
                Caller(world).post(1, name)
                self.assertIn(f"class={name},", world.peer().up().received()[0][2])

    def test_the_idempotency_key_is_forwarded(self) -> None:
        world = World(self, engines=2, settings=SETTINGS | {"grades": IDEMPOTENT_BY_KEY})
        caller, bad = Caller(world), Caller(world)
        caller.post(1, "load", Req_Token="8d80-9f")
        first = world.peer().up()
        self.assertRegex(first.received()[0][2], r",once=8d80-9f$")
        first.lose()
        self.assertRegex(world.peer(1).up().received()[0][2], r",once=8d80-9f$")
        bad.post(2, "load", Req_Token="x,rank=3")
        self.assertEqual(bad.answers()[0][0], 400)

    def test_tenants_have_their_shares(self) -> None:
        tenants = [{"name": "A & B", "quota_per_s": 1}, {"name": "õ", "quota_per_s": 1}]
        world = World(self, settings=SETTINGS | {"tenants": tenants, "balancers": 1, "over_share_worth": 0.5})
        kept = [0.5, 1.0, 1.0, 1.0]
        for ident, (owner, value) in enumerate(zip(("A & B", "õ", "nobody known", ""), kept, strict=True)):
            for more in ("1", "2") if owner == "A & B" else ("1",):
                Caller(world).post(10 * ident + int(more), **optional_header("Req_Owner", owner))
            request = list(world.service.adapter.rules.open_requests.values())[-1]
            self.assertEqual(request.value, value, owner)

    def test_requests_of_one_key_run_one_after_another(self) -> None:
        ordered = [SETTINGS["grades"][0], SETTINGS["grades"][1] | {"serial_by_key": True}]
        world = World(self, settings=SETTINGS | {"grades": ordered})
        for ident, key in ((1, "00ab"), (2, "00ab"), (3, "00cd"), (4, "")):
            Caller(world).post(ident, "load", **optional_header("Req_Key", key))
        peers = [world.peer(place).up() for place in range(3)]
        self.assertEqual([peer.received()[0][1] for peer in peers], [f"{ident:016x}" for ident in (1, 3, 4)])
        peers[0].say(1, "200", "parts=1")
        self.assertEqual(peers[0].received()[0][1], f"{2:016x}")


class Lists(unittest.TestCase):
    def test_a_drain_in_the_first_answer_after_a_silence(self) -> None:
        world = World(self, engines=2)
        world.go(8000)
        world.list(
            2,
            ("s-0.east.hosts", "127.0.9.0:7001", 1, "kind=std cell=0 started=0"),
            ("s-1.east.hosts", "127.0.9.1:7001", 0, "kind=std cell=0 started=0"),
        )
        for ident in range(4):
            Caller(world).post(ident)
        self.assertEqual({client[0] for client in world.reactor.tcpClients}, {"127.0.9.1"})

    def test_query_ids_wrap_around_and_an_answer_to_an_expired_query_is_foreign(self) -> None:
        world = World(self)
        world.service.names.query_id = 0xFFFF
        old = world.names[-1]
        endpoint = ("s-7.east.hosts", "127.0.9.7:7001", 0, "kind=std cell=0 started=0")
        world.list(2, endpoint)
        self.assertEqual((world.names[-1][:2], world.service.names.number), (b"\0\0", 2))
        world.go(LIST_CONFIRMED_MS)
        self.assertEqual(set(world.service.adapter.endpoints), {"s-7"})
        world.go(7000)
        foreign = world.count("names_foreign")
        world.service.names.datagramReceived(name_server.answer(old, 3, endpoint), ("127.0.8.9", 5300))
        self.assertEqual((world.count("names_foreign"), world.service.names.number), (foreign + 1, 2))

    def test_a_bad_record_changes_nothing(self) -> None:
        world = World(self, engines=2)
        world.list(
            2,
            ("s-0.east.hosts", "127.0.9.0:7001", 1, "kind=std cell=0 started=0"),
            ("s-1.east.hosts", "127.0.9.1:7001", 0, "cell=x"),
        )
        self.assertEqual((world.count("names_bad"), world.service.names.number), (1, 1))
        self.assertEqual(
            {endpoint.life.name for endpoint in world.service.adapter.endpoints.values()}, {"READY"}
        )
