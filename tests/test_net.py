"""End-to-end tests of the network side on in-memory transports: from clients to engines and back."""

import gc
import io
import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from signal import SIGHUP, SIGTERM
from types import SimpleNamespace

from twisted.internet.error import TimeoutError as NotUp

from spurdeal.lab.loopback import Network
from spurdeal.net.engines import Connection
from spurdeal.net.logs import logger
from spurdeal.net.start import Configuration, load_configuration, read_configuration
from spurdeal.state import Request
from tests.helpers import (
    BASE,
    LIST_CONFIRMED_MS,
    LIST_SETTLED_MS,
    SETTINGS,
    Caller,
    World,
    configuration,
    started_process,
)

NETWORK = Network.of_this_process()
ROW = b"a\t1\tx\n"
SHED, BROKEN = (503, "TryLater"), (500, "Aborted")


class Net(unittest.TestCase):
    def outcome(self, caller: Caller) -> tuple[int, object]:
        ((status, _, value),) = caller.answers()
        return status, value.get("fault", value.get("result"))

    def test_a_result_of_three_pages_in_any_order(self) -> None:
        world = World(self)
        caller = Caller(world)
        caller.post(0xAB, wait="1500", body=b"SELECT a FROM s_3.t", Req_Cost="820.0", X_Est_Mb="96")
        peer = world.peer().up()
        self.assertEqual((peer.host, peer.port, peer.timeout), ("127.0.9.0", 7001, 0.25))
        self.assertEqual(
            peer.received(),
            [["serve", f"{0xAB:016x}", "class=lookup,wait=1460,rank=3", "SELECT a FROM s_3.t"]],
        )
        peer.say(0xAB, "200", "parts=3", "a\t1\té\n".encode())
        self.assertEqual(peer.received(), [["read", f"{0xAB:016x}", "1"], ["read", f"{0xAB:016x}", "2"]])
        peer.say(0xAB, "chunk", "part_no=2", b'"\t\\\t\r\n')
        self.assertEqual(caller.answers(), [])
        peer.say(0xAB, "chunk", "part_no=1", b"\t2\t\n")
        self.assertEqual(peer.received(), [["release", f"{0xAB:016x}"]])
        self.assertEqual(self.outcome(caller), (200, [["a", "1", "é"], ["", "2", ""], ['"', "\\", "\r"]]))

    def test_pipelined_calls_are_answered_one_at_a_time(self) -> None:
        world = World(self)
        caller = Caller(world)
        caller.post(1)
        caller.post(2)
        peer = world.peer().up()
        self.assertEqual([message[1] for message in peer.received()], [f"{1:016x}"])
        peer.say(1, "200", "parts=1", ROW)
        self.assertEqual([message[1] for message in peer.received()], [f"{2:016x}"])
        peer.say(2, "200", "parts=1")
        self.assertEqual(
            [value for _, _, value in caller.answers()], [{"result": [["a", "1", "x"]]}, {"result": []}]
        )

    def test_a_non_idempotent_request_is_retried_only_where_nothing_ran(self) -> None:
        """A non-idempotent request is retried after a failed dial, 503 or 504; anything else fails it."""
        for proof in ("refused", "not up", "503", "504"):
            with self.subTest(proof):
                world = World(self, engines=2)
                caller = Caller(world)
                caller.post(1, "load")
                peer = world.peer()
                if proof == "refused":
                    peer.refuse()
                elif proof == "not up":
                    peer.refuse(NotUp)
                else:
                    peer.up().say(1, proof)
                self.assertEqual(world.peer(1).up().received()[0][:2], ["serve", f"{1:016x}"])
        for outcome in (
            "500",
            "reset",
            "page lost",
            "reset after page 0",
            "no array",
            "bad fields",
            "no number of pages",
            "bad rows",
            "an unasked page",
            "a changed end",
        ):
            with self.subTest(outcome):
                world = World(self, engines=2)
                caller = Caller(world)
                caller.post(1, "load")
                peer = world.peer().up()
                if outcome in ("page lost", "reset after page 0"):
                    peer.say(1, "200", "parts=2", ROW)
                if outcome in ("500", "page lost"):
                    peer.say(1, "500")
                elif outcome == "no array":
                    peer.raw(b"HTTP/1.1 200 OK\r\n")
                elif outcome == "bad fields":
                    peer.say(1, "200", "parts")
                elif outcome == "no number of pages":
                    peer.say(1, "200", "pqrts=2", ROW)
                elif outcome == "bad rows":
                    peer.say(1, "200", "parts=1", b"a\tb\n")
                elif outcome == "an unasked page":
                    peer.say(1, "chunk", "part_no=1", ROW)
                elif outcome == "a changed end":
                    peer.say(1, "777")
                else:
                    peer.lose()
                self.assertEqual(self.outcome(caller), BROKEN)
                self.assertEqual(len(world.reactor.tcpClients), 1)

    def test_a_lost_page_of_an_idempotent_request_is_retried_elsewhere(self) -> None:
        world = World(self, engines=2)
        caller = Caller(world)
        caller.post(1)
        peer = world.peer().up()
        peer.say(1, "200", "parts=2", b"old\t\t\n")
        peer.raw(b"!")
        world.peer(1).up().say(1, "200", "parts=1", ROW)
        self.assertEqual(self.outcome(caller), (200, [["a", "1", "x"]]))

    def test_an_answer_that_does_not_tell_its_number_of_pages_is_not_believed(self) -> None:
        # Guards against serving the first page of a spoilt answer as the whole result.
        for fields in ("pqrts=2", "-", "stats=parts:2", "=2", "Parts=2"):
            with self.subTest(fields):
                world = World(self, engines=2)
                caller = Caller(world)
                caller.post(1)
                peer = world.peer().up()
                peer.say(1, "200", fields, ROW)
                self.assertEqual((caller.answers(), peer.pipe.aborted), ([], True))
                other = world.peer(1).up()
                other.say(1, "200", "parts=2", ROW)
                other.say(1, "chunk", "part_no=1", b"b\t1\tx\n")
                self.assertEqual(self.outcome(caller), (200, [["a", "1", "x"], ["b", "1", "x"]]))

    def test_a_silent_engine_times_out_before_the_client_does(self) -> None:
        for workload, wanted in (("lookup", SHED), ("load", BROKEN)):
            with self.subTest(workload):
                world = World(self)
                caller = Caller(world)
                caller.post(1, workload, wait=1000)
                peer = world.peer().up()
                world.go(940)
                self.assertEqual(caller.answers(), [])
                world.go(30)
                self.assertEqual(self.outcome(caller), wanted)
                self.assertEqual(peer.received()[1:], [["cancel", f"{1:016x}"]])
                peer.say(
                    1, "200", "parts=2", ROW
                )  # crossed the cancel: its pages are released, and no answer follows
                self.assertEqual((peer.received(), caller.answers()), ([["release", f"{1:016x}"]], []))

    def test_a_client_that_leaves_is_withdrawn(self) -> None:
        world = World(self)
        caller, other = Caller(world), Caller(world)
        caller.post(1)
        peer = world.peer().up()
        caller.leave()
        self.assertEqual([message[0] for message in peer.received()], ["serve", "cancel"])
        caller = Caller(world)
        caller.post(2)
        other.say(b"DELETE /ops/lookup/%016x HTTP/1.1\r\n\r\n" % 2)
        self.assertEqual([message[0] for message in peer.received()], ["serve", "cancel"])
        self.assertEqual((other.answers()[0][0], caller.answers()), (200, []))
        self.assertTrue(caller.pipe.disconnecting)
        other.say(b"DELETE /ops/lookup/%016x HTTP/1.1\r\n\r\n" % 2)
        self.assertEqual((other.answers()[0][0], world.count("withdrawn")), (404, 2))

    def test_a_client_that_leaves_before_its_batch_uses_no_engine(self) -> None:
        world = World(self)
        kept, caller = Caller(world), Caller(world)
        kept.post(1)
        peer = world.peer().up()
        head = b"POST /ops/lookup HTTP/1.1\r\nReq-Id: %016x\r\nReq-Wait-Ms: 900\r\n\r\n" % 2
        caller.protocol.dataReceived(head)
        caller.leave()
        adapter = world.service.adapter
        self.assertEqual(len(peer.received()), 1)
        self.assertEqual((list(adapter.open_requests), adapter.rules.engines[0].in_flight_threads), ([0], 1))

    def test_bad_messages_close_only_their_own_connection(self) -> None:
        world = World(self)
        good = Caller(world)
        good.post(1)
        peer = world.peer().up()
        changes = {
            "Req-Id": ["12", "x" * 16, f"{1:016x}"],
            "Req-Wait-Ms": ["soon", "0"],
            "Req-Cost": ["-5"],
            "X-Est-Mb": ["nan"],
            "Content-Length": ["x"],
            "workload": ["other"],
        }
        for name, values in changes.items():
            for text in values:
                with self.subTest(name, text=text):
                    bad = Caller(world)
                    bad.post(2, **{name: text})  # type: ignore[arg-type]
                    self.assertEqual(bad.answers()[0][0], 404 if name == "workload" else 400)
                    self.assertTrue(bad.pipe.disconnecting)
        self.assertEqual(len(peer.received()), 1)
        peer.say(1, "200", "parts=1", ROW)
        self.assertEqual(self.outcome(good)[0], 200)

    def test_other_calls(self) -> None:
        world = World(self)
        caller = Caller(world)
        for text, status in (
            (b"GET /alive", 200),
            (b"GET /counters", 200),
            (b"GET /else", 404),
            (b"PUT /a", 405),
        ):
            caller.say(text + b" HTTP/1.1\r\n\r\n")
            self.assertEqual(caller.answers()[0][0], status)
        self.assertFalse(caller.pipe.disconnecting)

    def test_slow_endless_and_silent_clients_are_disconnected(self) -> None:
        """Each gets an error or is closed within three seconds of its last byte, unless it sent a request."""
        world = World(self)
        half, slow, silent, answered, served, unread, ahead = (Caller(world) for _ in range(7))
        half.say(b"POST /ops/lookup HTT")
        slow.say(b"POST /ops/lookup HTT")
        answered.say(b"GET /alive HTTP/1.1\r\n\r\n")
        served.post(2)
        world.peer().up().say(2, "200", "parts=1", ROW)
        unread.protocol.pauseProducing()
        unread.say(b"GET /alive HTTP/1.1\r\n\r\n")
        self.assertEqual(unread.pipe.value(), b"")
        ahead.post(1, wait=50000)
        ahead.say(b"x" * 200_000)
        self.assertEqual((ahead.pipe.aborted, silent.pipe.disconnecting), (True, False))
        ahead.leave()
        world.go(1500)
        slow.say(b"P")
        world.go(1000)
        self.assertEqual([status for status, _, _ in half.answers()], [408])
        self.assertTrue(all(caller.pipe.disconnecting for caller in (half, silent, answered)))
        self.assertFalse(served.pipe.disconnecting or slow.pipe.disconnecting)
        world.go(1500)
        self.assertEqual([status for status, _, _ in slow.answers()], [408])
        world.go(1500)
        self.assertEqual((served.pipe.disconnecting, unread.pipe.aborted), (True, False))
        world.go(5000)
        self.assertTrue(unread.pipe.aborted)

    def test_accepting_pauses_at_the_connection_limit_and_resumes(self) -> None:
        world = World(self)
        world.service.clients.set_limits(
            max_connections=33, accepts=2, memory_mb=64.0
        )  # eviction begins at 32
        served = Caller(world)
        served.post(98)
        world.peer().up().say(98, "200", "parts=1", ROW)
        world.go(100)
        callers = [Caller(world) for _ in range(30)]
        for ident, caller in enumerate(callers[1:]):
            caller.post(ident)
        world.go(30)
        Caller(world).post(99)  # a connection without a request is evicted
        self.assertTrue(callers[0].pipe.disconnecting and world.listener.open)
        self.assertFalse(served.pipe.disconnecting)
        callers[0].leave()
        Caller(world).post(100)
        self.assertTrue(served.pipe.disconnecting and world.listener.open)
        served.leave()
        Caller(world).post(101)
        self.assertTrue(world.listener.open)
        Caller(world).post(102)  # all are busy
        self.assertFalse(world.listener.open)
        callers[1].leave()
        self.assertTrue(world.listener.open)

    def test_each_attempt_gets_its_own_connection_while_descriptors_last(self) -> None:
        """A failed connection fails its attempts, but raises the failure score of its engine only once."""
        world = World(self, engines=2, limits={"sockets": 10})  # four connections, two per engine
        callers = [Caller(world) for _ in range(6)]
        for ident, caller in enumerate(callers):
            caller.post(ident)
        peers = [world.peer(place).up() for place in range(4)]
        self.assertEqual(sorted(len(peer.received()) for peer in peers), [1, 1, 2, 2])
        crowded = max(peers, key=lambda peer: len(peer.protocol.attempts))
        for ident in [attempt.ident for attempt in crowded.protocol.attempts.values()][1:]:
            crowded.say(int(ident, 16), "200", "parts=1")
        crowded.raw(b"nonsense\r\n")
        self.assertEqual([len(caller.answers()) for caller in callers].count(1), 1)
        self.assertEqual(
            max(engine.failure_score for engine in world.service.adapter.rules.engines.values()), 0.5
        )
        world.go(21_000)
        self.assertTrue(all(peer.pipe.disconnecting for peer in peers))  # idle for half of the engines' time

    def test_answers_that_arrive_twice_or_under_another_id_are_dropped(self) -> None:
        world = World(self)
        caller = Caller(world)
        caller.post(1)
        peer = world.peer().up()
        peer.say(77, "200", "parts=3", ROW)
        peer.say(1, "200", "parts=3", ROW)
        peer.say(1, "200", "parts=3", ROW)
        peer.say(1, "chunk", "part_no=2", b"c\t1\tx\n")
        peer.say(1, "chunk", "part_no=2", b"c\t1\tx\n")
        peer.received()
        peer.say(1, "chunk", "part_no=1", b"b\t1\tx\n")
        self.assertEqual(self.outcome(caller), (200, [["a", "1", "x"], ["b", "1", "x"], ["c", "1", "x"]]))
        self.assertEqual((peer.received(), peer.pipe.aborted), ([["release", f"{1:016x}"]], False))

    def test_an_incomplete_answer_times_out(self) -> None:
        world = World(self, engines=2)
        caller = Caller(world)
        caller.post(1)
        peer = world.peer().up()
        peer.raw(b"*4\r\n$16\r\n%016x\r\n$3\r\n200\r\n$7\r\nparts=1\r\n$90\r\na\t1" % 1)
        world.go(400)
        self.assertFalse(peer.pipe.aborted)
        world.go(400)
        world.peer(1).up().say(1, "200", "parts=1", ROW)
        self.assertEqual((self.outcome(caller)[0], peer.pipe.aborted), (200, True))

    def test_the_state_of_an_engine_that_is_gone_is_deleted(self) -> None:
        world = World(self, engines=2)
        for serial in range(2, 12):
            caller = Caller(world)
            caller.post(serial)
            peer = world.peer(len(world.reactor.tcpClients) - 1).up()
            peer.say(serial, "200", "parts=1", ROW)
            world.list(serial, (f"s-{serial}.east.hosts", "127.0.9.1:7001", 0, "kind=std cell=0 started=0"))
            peer.lose()
        world.go(6000)
        adapter = world.service.adapter
        kept = (adapter.index.indices, adapter.rules.engines, adapter.engines.engines)
        self.assertEqual([len(engines) for engines in kept], [1, 1, 1])

    def test_finished_objects_form_no_reference_cycles(self) -> None:
        """Reference cycles keep objects until a garbage collection, which looks like a memory leak."""
        world = World(self)
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)

        def one_round() -> None:
            caller = Caller(world)
            caller.post(1)
            peer = world.peer().up()
            peer.say(1, "200", "parts=1", ROW)
            self.assertEqual((caller.answers()[0][0], len(peer.protocol.parser.buffer)), (200, 0))
            connector = SimpleNamespace(transport=peer.pipe)
            peer.lose()
            peer.factory.clientConnectionLost(connector, None)
            self.assertIsNone(connector.transport)
            world.reactor.tcpClients.clear()

        one_round()
        left = [thing for thing in gc.get_objects() if isinstance(thing, (Request, Connection))]
        self.assertEqual(left, [])

    def test_a_silent_connection_gets_no_further_attempts(self) -> None:
        """The engine may be unreachable: the next attempt dials, and its timeout proves that nothing ran."""
        world = World(self)
        Caller(world).post(1, wait=1000)
        peer = world.peer().up()
        world.go(1000)
        self.assertEqual([message[0] for message in peer.received()], ["serve", "cancel"])
        load = Caller(world)
        load.post(2, "load", wait=1000)
        self.assertEqual((len(world.reactor.tcpClients), peer.received()), (2, []))
        self.assertTrue(peer.pipe.disconnecting)
        world.peer(1).refuse(NotUp)
        world.go(1000)
        self.assertEqual(self.outcome(load), SHED)

    def test_an_overdue_request_is_answered_without_the_rules(self) -> None:
        world = World(self)
        adapter, faults = world.service.adapter, list[str]()

        def must(holds: object, what: str) -> bool:
            faults.extend([] if holds else [what])
            return bool(holds)

        adapter.counters.check_invariant = must  # type: ignore[method-assign]
        adapter.rules.request_received = lambda *_: None  # type: ignore[method-assign]
        caller = Caller(world)
        caller.post(1, wait=1000)
        world.go(975)
        self.assertEqual(caller.answers(), [])
        world.go(10)
        self.assertEqual((self.outcome(caller), faults), (BROKEN, ["answer_in_time"]))

    def test_reports_and_priorities(self) -> None:
        report = {"report": {"how": "piggyback", "fields": ["q", "rif"]}}
        world = World(self, settings=SETTINGS | report)
        adapter = world.service.adapter
        Caller(world).post(1)
        peer = world.peer().up()
        adapter.set_terms(0, 0.0, 2)
        world.go(60)
        self.assertEqual(peer.received()[1:], [["weigh", f"{1:016x}", "2"]])
        peer.say(1, "200", "parts=1,stats=rif:9;q:0")
        self.assertEqual(adapter.rules.fleet_in_flight, 10.0)
        Caller(world).post(2)
        peer.say(2, "200", "parts=1,stats=q:0")  # a field is missing: no report
        Caller(world).post(3)
        peer.say(3, "200", "parts=1,stats=rif:nan;q:0")
        self.assertEqual((adapter.rules.fleet_in_flight, peer.pipe.aborted), (10.0, True))

    def test_the_time_to_read_a_request_counts_from_its_first_byte(self) -> None:
        world = World(self)
        caller = Caller(world)
        world.go(1_800)
        caller.say(b"POST /ops/lookup HTT")
        world.go(1_500)
        self.assertFalse(caller.pipe.disconnecting)

    def test_engines_of_the_list(self) -> None:
        world = World(self, engines=2)
        endpoint = ("s-{}.east.hosts", "127.0.9.{}:7001", 0, "kind=std cell=0 started={}")

        def at(number: int, priority: int = 0, started: int = 0) -> tuple[str, str, int, str]:
            return (
                endpoint[0].format(number),
                endpoint[1].format(number),
                priority,
                endpoint[3].format(started),
            )

        world.list(0, at(0))  # older than the current list
        self.assertEqual(set(world.service.adapter.endpoints), {"s-0", "s-1"})
        world.go(LIST_SETTLED_MS)
        world.list(3, at(0, priority=1), at(1))
        for ident in range(3):
            Caller(world).post(ident)
        peers = [world.peer(place).up() for place in range(3)]
        self.assertEqual({peer.host for peer in peers}, {"127.0.9.1"})
        world.list(4, ("s-5.east.hosts", "127.0.9.1:7001", 0, "kind=std cell=0 started=0"))
        self.assertFalse(peers[0].pipe.disconnecting)  # gone, but its attempts may still finish
        for ident, peer in enumerate(peers):
            peer.say(ident, "200", "parts=1")
            self.assertTrue(peer.pipe.disconnecting)
        world.go(LIST_CONFIRMED_MS)
        Caller(world).post(7)
        self.assertEqual(world.peer(3).host, "127.0.9.1")  # another engine there: a new connection
        again = world.peer(3).up()
        world.go(300)
        started = int(BASE + world.reactor.seconds() * 1000)
        world.list(5, ("s-5.east.hosts", "127.0.9.1:7001", 0, f"kind=std cell=0 started={started}"))
        self.assertTrue(again.pipe.aborted)  # it led to a process that has ended
        foreign = world.count("names_foreign")
        world.service.names.datagramReceived(b"\0\0nonsense", ("127.0.8.9", 5300))
        world.service.names.datagramReceived(world.names[-1], ("127.0.8.7", 5300))
        self.assertEqual(world.count("names_foreign"), foreign + 2)
        world.list(9, at(1), flags=0x8402)
        world.list(9, ("s-1.east.hosts", "127.0.9.1:7001", 0, "cell=0"))
        self.assertEqual((world.count("names_bad"), set(world.service.adapter.endpoints)), (2, {"s-5"}))

    def test_an_attempt_whose_connection_was_dialled_is_not_sent_after_a_drain(self) -> None:
        world = World(self)
        caller = Caller(world)
        caller.post(1, "load")
        world.list(2, ("s-0.east.hosts", "127.0.9.0:7001", 1, "kind=std cell=0 started=0"))
        self.assertEqual(world.peer().up().received(), [])

    def test_a_graceful_shutdown_answers_all_requests_first(self) -> None:
        world = World(self)
        lookup, load, late = (Caller(world) for _ in range(3))
        lookup.post(1)
        load.post(2, "load", wait=20000)
        world.service.stop()
        world.go(300)
        late.post(3, wait=4000)
        peer = world.peer().up()
        world.peer(1).up()
        peer.say(1, "200", "parts=1", ROW)
        self.assertEqual(self.outcome(lookup)[0], 200)
        world.go(2900)
        self.assertEqual((load.answers(), late.answers(), world.done), ([], [], []))
        world.go(150)
        self.assertEqual((self.outcome(load), self.outcome(late)), (BROKEN, SHED))
        world.go(50)
        for caller in (lookup, load, late):
            self.assertTrue(caller.pipe.disconnecting)
            caller.leave()
        world.go(100)
        self.assertTrue(BASE + 3300 <= world.done[0] <= BASE + 3600)

    def test_an_idle_dispatcher_stops_once_no_client_can_connect(self) -> None:
        world = World(self)
        world.service.stop()
        world.go(800)
        self.assertEqual(world.done, [])
        world.go(200)
        self.assertEqual(len(world.done), 1)
        self.assertIn("event=counters", world.log.getvalue())

    def test_a_new_configuration_switches_the_name_service_and_keeps_requests(self) -> None:
        world = World(self)
        caller = Caller(world)
        caller.post(1)
        loaded = read_configuration(json.dumps(configuration(1, nameserver="127.0.8.10:5301")))
        world.service.reload_configuration(lambda: loaded)
        self.assertEqual(world.query_targets[-1], ("127.0.8.10", 5301))
        endpoint = ("s-1.east.hosts", "127.0.9.1:7001", 0, "kind=std cell=0 started=0")
        world.list(2, endpoint)  # from the old name service: ignored
        self.assertEqual(set(world.service.adapter.endpoints), {"s-0"})
        world.list(2, endpoint, source=("127.0.8.10", 5301))
        self.assertEqual(set(world.service.adapter.endpoints), set())
        world.go(LIST_CONFIRMED_MS)
        self.assertEqual(set(world.service.adapter.endpoints), {"s-1"})

        def unusable() -> Configuration:
            return load_configuration("/nowhere/config.json")

        world.service.reload_configuration(unusable)
        self.assertIn("event=configuration_kept", world.log.getvalue())
        self.assertEqual(world.service.names.address, ("127.0.8.10", 5301))
        world.peer(1).up().say(1, "200", "parts=1", ROW)
        self.assertEqual(self.outcome(caller), (200, [["a", "1", "x"]]))

    def test_a_new_configuration_applies_its_list_and_limits(self) -> None:
        world = World(self)
        more = configuration(2, limits={"sockets": 8})
        more["known"]["no"] = more["known"]["items"][0]["no"] = 9
        world.service.reload_configuration(lambda: read_configuration(json.dumps(more)))
        self.assertEqual(
            (set(world.service.adapter.endpoints), world.service.names.number), ({"s-0", "s-1"}, 9)
        )
        for ident in range(8):
            Caller(world).post(ident)
        self.assertEqual(len(world.reactor.tcpClients), 3)


class Small(unittest.TestCase):
    def test_log_lines(self) -> None:
        out = io.StringIO()
        log = logger("n", out)
        log.info("ready", extra={"figures": {"a": 1.25, "b": 'x "y"\n', "c": ""}})
        self.assertEqual(
            out.getvalue().split(" ", 1)[1], 'level=info event=ready a=1.2 b="x \\"y\\"\\n" c=""\n'
        )

    def test_a_violated_invariant_is_asserted_or_counted(self) -> None:
        text = (
            "from spurdeal.net.counters import Counters as C; c = C(); "
            "print(c.check_invariant(0, 'it'), c.figures())"
        )
        runs = [
            subprocess.run([sys.executable, *flags, "-c", text], capture_output=True, text=True, check=False)
            for flags in ([], ["-O"])
        ]
        self.assertIn("AssertionError: it", runs[0].stderr)
        self.assertEqual(runs[1].stdout, "False {'must_it': 1}\n")


class Start(unittest.TestCase):
    def test_a_configuration_that_cannot_be_used_ends_with_one_line(self) -> None:
        cases = [
            ("", "ROUTER_CONFIG is not set"),
            ("{", "configuration: "),
            ("[]", "not a JSON object"),
            (json.dumps(configuration(listen="nowhere")), "no address"),
            (json.dumps(configuration(settings={})), "'grades' is missing"),
            (json.dumps(configuration(known={"items": [{}]})), "'no' is missing"),
            (json.dumps(configuration(seed="xyz")), "invalid literal"),
            (json.dumps(configuration(listen="192.0.2.1:7001")), "cannot listen"),
        ]
        with tempfile.TemporaryDirectory() as folder:
            for text, words in cases:
                with self.subTest(words):
                    path = Path(folder) / "config.json"
                    path.write_text(text)
                    done = subprocess.run(
                        [sys.executable, "-m", "spurdeal"],
                        capture_output=True,
                        text=True,
                        timeout=60,
                        env={"ROUTER_CONFIG": str(path) if text else ""},
                        check=False,
                    )
                    self.assertEqual((done.returncode, done.stderr.count("\n")), (2, 1), done.stderr)
                    self.assertIn(words, done.stderr)

    def test_signals_read_the_configuration_again_and_stop(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "config.json"
            host, names_host = NETWORK.host(64, 1), NETWORK.host(64, 9)
            first, second = (
                json.dumps(configuration(listen=f"{host}:{port}", nameserver=f"{names_host}:5300"))
                for port in (7099, 7001)
            )
            path.write_text(first)
            with started_process(path) as process:
                assert process.stderr is not None
                for text, sent, wanted in (
                    (None, None, "event=ready"),
                    ("{", SIGHUP, "configuration_kept"),
                    (second, SIGHUP, "configuration_read"),
                    (None, SIGTERM, "event=stopped"),
                ):
                    path.write_text(text or path.read_text())
                    if sent is not None:
                        process.send_signal(sent)
                    self.assertTrue(any(wanted in line for line in process.stderr), wanted)
                self.assertEqual(process.stderr.read(), "")  # nothing follows the last line
            self.assertEqual(process.returncode, 0)
