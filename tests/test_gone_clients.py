"""No attempt starts after its client has cancelled the request or closed the connection.

Each test takes a request to a stage at which it waits, makes its client cancel or disconnect before the
dispatcher has read that, and continues the loop. docs/crossings.md lists the stages and the ways of leaving.
"""

import contextlib
import socket
import subprocess
import sys
import unittest
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, NamedTuple

from spurdeal.net.connection import MAX_ABANDONED_WRITE
from spurdeal.net.link import LATE_AFTER_LEAVING
from tests.helpers import Caller, Peer, World
from tests.steps import HOST, ROW, PeerSocket, Steps

LOOKUP, OTHER = 2, 3  # ids: the request under test, and one of another client
PARTIAL_REQUEST = b"POST /ops/lookup HTTP/1.1\r\nReq-Id: 00"
WHOLE_REQUEST = b"POST /ops/lookup HTTP/1.1\r\nReq-Id: %016x\r\nReq-Wait-Ms: 5000\r\n\r\n" % 77


def close(client: PeerSocket) -> None:
    client.socket.close()


def half_close(client: PeerSocket) -> None:
    client.socket.shutdown(socket.SHUT_WR)


def reset(client: PeerSocket) -> None:
    client.reset()


# The system ends the connections of a killed process by the first or the last of these.
ENDS = (close, half_close, reset)


class Waiting(NamedTuple):
    """A request at the stage where it waits: its client, and a function that lets it proceed."""

    client: PeerSocket
    proceed: Callable[[], object]


@dataclass(frozen=True)
class Leaving:
    """How a client leaves: the bytes it still pipelines, and how its connection ends."""

    ahead: bytes
    end: Callable[[PeerSocket], None]

    def __call__(self, steps: Steps, client: PeerSocket) -> None:
        if self.ahead:
            client.socket.sendall(self.ahead)
        self.end(client)

    def __str__(self) -> str:
        return f"{self.end.__name__} after {len(self.ahead)} bytes"


def cancel(steps: Steps, client: PeerSocket) -> None:
    """Cancel on another connection, the first; the dispatcher reads it before the request proceeds."""
    steps.clients[0].socket.sendall(b"DELETE /ops/lookup/%016x HTTP/1.1\r\n\r\n" % LOOKUP)
    next(iter(steps.service.clients.connections)).transport.doRead()


Leave = Callable[[Steps, PeerSocket], None]
AHEAD = (b"", PARTIAL_REQUEST, WHOLE_REQUEST)
ENDED: list[Leave] = [Leaving(ahead, end) for ahead in AHEAD for end in ENDS]
WAYS = [cancel, *ENDED]


def attempts(steps: Steps, ident: int = LOOKUP) -> int:
    """How many attempts of that request have reached the engines so far."""
    wanted, found = ["serve", f"{ident:016x}"], 0
    for engine in steps.engines:
        while engine.accept():
            pass
        for peer in engine.peers:
            with contextlib.suppress(ConnectionResetError):
                found += sum(message[:2] == wanted for message in peer.received())
    return found


def run_due_timers(steps: Steps) -> None:
    """Run the first half of a round, the due timers; the loop reads and writes nothing."""
    steps.reactor.runUntilCurrent()


def after_another(steps: Steps) -> PeerSocket:
    """A new client; the engine has an idle connection that served another client's request."""
    steps.served(1)
    return steps.client()


def connected_to_both(steps: Steps) -> list[PeerSocket]:
    """Open an idle connection to each of two engines by two concurrent requests; returns the engine sides."""
    callers = [steps.client(), steps.client()]
    for ident, caller in enumerate(callers, 10):
        caller.post(ident)
        steps.go()
    peers = [steps.until(engine.accept) for engine in steps.engines]
    for peer in peers:
        (message,) = steps.until(peer.received)
        peer.say(int(message[1], 16))
    for caller in callers:
        steps.until(caller.status)
    return peers


def counter(steps: Steps, name: str) -> int:
    return int(steps.service.counters.sums[name])


class GoneClients(unittest.TestCase):
    """One test per stage, with every way of leaving."""

    def check_each_way(
        self, prepare: Callable[[Steps], Waiting], ways: Sequence[Leave] = WAYS, **more: Any
    ) -> None:
        for way in (None, *ways):
            with self.subTest(getattr(way, "__name__", str(way))):
                self.check(prepare, way, Steps(self, **more))

    def check(self, prepare: Callable[[Steps], Waiting], leave: Leave | None, steps: Steps) -> None:
        steps.client()  # the client that cancels
        steps.until(lambda: steps.service.clients.connections)
        client, proceed = prepare(steps)
        attempts(steps)
        if leave is not None:
            leave(steps, client)
        proceed()
        steps.go()
        self.assertEqual(attempts(steps), 1 if leave is None else 0)
        if leave is not None:  # a client that stays has got its attempt by now
            steps.go(200)
            self.assertEqual(attempts(steps), 0)
            self.assertNotIn(b"%016x" % LOOKUP, steps.service.adapter.by_ident)
            self.assertEqual(counter(steps, "attempts_after_client_left"), 0)
            self.assertEqual(counter(steps, "attempts_late_after_client_left"), 0)

    def test_in_the_backlog(self) -> None:
        def prepare(steps: Steps) -> Waiting:
            client = after_another(steps)
            client.post(LOOKUP)
            return Waiting(client, steps.round)

        self.check_each_way(prepare)

    def test_in_the_backlog_while_accepting_is_paused(self) -> None:
        """Every slot has an open request. Only disconnects: a cancel would wait in the backlog too."""

        def prepare(steps: Steps) -> Waiting:
            rules = steps.service.adapter.rules
            rules.choose = lambda *_, **__: None  # type: ignore[method-assign]
            busy = []
            while not steps.service.clients.paused:
                busy.append(steps.client())
                busy[-1].post(100 + len(busy))
                steps.go()
            client = steps.client()
            client.post(LOOKUP)
            steps.go()
            self.assertNotIn(b"%016x" % LOOKUP, steps.service.adapter.by_ident)

            def others_leave() -> None:
                for other in busy:
                    other.socket.close()
                del rules.choose
                steps.go()

            return Waiting(client, others_leave)

        self.check_each_way(prepare, ENDED, limits={"sockets": 32})

    def test_accepted_and_not_read(self) -> None:
        def prepare(steps: Steps) -> Waiting:
            client = after_another(steps)
            steps.until(lambda: len(steps.service.clients.connections) == 3)
            client.post(LOOKUP)
            return Waiting(client, steps.round)

        self.check_each_way(prepare)

    def test_read_and_before_its_batch(self) -> None:
        def prepare(steps: Steps) -> Waiting:
            client = after_another(steps)
            client.post(LOOKUP)
            steps.until(lambda: steps.service.adapter.pending_events)
            return Waiting(client, lambda: run_due_timers(steps))

        self.check_each_way(prepare)

    def test_pipelined_after_another_request(self) -> None:
        """The answer to the previous request is read in the round in which the client leaves."""

        def prepare(steps: Steps) -> Waiting:
            client = steps.client()
            client.post(1)
            client.post(LOOKUP)
            peer = steps.until(steps.engines[0].accept)
            steps.until(peer.received)

            def answer() -> None:
                connection = steps.service.engines.engines[0].connections[0]
                peer.say(1)
                connection.transport.doRead()  # before the client's socket is read

            return Waiting(client, answer)

        self.check_each_way(prepare)

    def test_in_the_wait_queue(self) -> None:
        def prepare(steps: Steps) -> Waiting:
            steps.served(1)
            rules = steps.service.adapter.rules
            rules.choose = lambda *_, **__: None  # type: ignore[method-assign]
            client = steps.client()
            client.post(LOOKUP)
            steps.until(lambda: rules.wait_queue)
            del rules.choose
            return Waiting(client, steps.service.adapter.run_batch)

        self.check_each_way(prepare)

    def test_while_its_connection_is_dialled(self) -> None:
        def prepare(steps: Steps) -> Waiting:
            client = steps.client()
            client.post(LOOKUP)
            steps.until(lambda: steps.service.engines.connections)
            connection = steps.service.engines.engines[0].connections[0]
            self.assertFalse(connection.up)

            def connected() -> None:
                while not connection.up:
                    run_due_timers(steps)
                    for dialled in steps.reactor.getWriters():
                        dialled.doWrite()

            return Waiting(client, connected)

        self.check_each_way(prepare)

    def test_while_a_guard_has_not_decided(self) -> None:
        def prepare(steps: Steps) -> Waiting:
            steps.served(1)
            guard = DeferringGuard()
            steps.service.adapter.guard = guard
            client = steps.client()
            client.post(LOOKUP)
            steps.until(lambda: guard.verdicts)
            return Waiting(client, lambda: guard.verdicts[0](True))

        self.check_each_way(prepare)

    def test_before_its_retry(self) -> None:
        """The answer of the first engine, which is full, was read; the next attempt is due."""

        def prepare(steps: Steps) -> Waiting:
            peers = connected_to_both(steps)
            client = steps.client()
            client.post(LOOKUP)
            peer = steps.until(lambda: next((peer for peer in peers if peer.received()), None))
            peer.say(LOOKUP, "503", "-", b"")
            steps.until(lambda: steps.service.adapter.pending_events)
            return Waiting(client, lambda: run_due_timers(steps))

        self.check_each_way(prepare, engines=2)

    def test_while_its_retry_backs_off(self) -> None:
        def prepare(steps: Steps) -> Waiting:
            client = steps.client()
            client.post(LOOKUP)
            peer = steps.until(steps.engines[0].accept)
            steps.until(peer.received)
            peer.say(LOOKUP, "503", "-", b"")
            rules = steps.service.adapter.rules
            steps.until(lambda: rules.wait_queue)
            engine = rules.engines[0]
            self.assertGreater(engine.ejected_until, steps.clock())
            engine.ejected_until = engine.pressure_until = 0.0  # its backoff is over
            return Waiting(client, steps.service.adapter.run_batch)

        self.check_each_way(prepare)

    def test_queued_after_another_message_on_a_shared_connection(self) -> None:
        def prepare(steps: Steps) -> Waiting:
            steps.service.engines.max_connections = 1
            first = steps.client()
            first.post(1)
            steps.until(steps.engines[0].accept)
            connection = steps.service.engines.engines[0].connections[0]
            steps.until(lambda: connection.attempts and not connection.sending)
            connection.sending = True  # its transport still buffers a message
            client = steps.client()
            client.post(LOOKUP)
            steps.until(lambda: connection.write_queue)

            def transport_has_written() -> None:
                connection.sending = False
                connection.flush()

            return Waiting(client, transport_has_written)

        self.check_each_way(prepare)

    def test_parsed_while_its_client_does_not_read(self) -> None:
        """The client does not read: reading from it is paused, and its next request waits for its answers."""

        def prepare(steps: Steps) -> Waiting:
            client = after_another(steps)
            client.socket.sendall(b"GET /alive HTTP/1.1\r\n\r\n")
            self.assertEqual(steps.until(client.status), 200)
            connection = list(steps.service.clients.connections)[-1]
            connection.pauseProducing()
            connection.dataReceived(WHOLE_REQUEST.replace(b"%016x" % 77, b"%016x" % LOOKUP))
            self.assertEqual(steps.service.adapter.by_ident, {})

            def client_reads() -> None:
                connection.resumeProducing()
                run_due_timers(steps)

            return Waiting(client, client_reads)

        self.check_each_way(prepare)


class BetweenCheckAndWrite(unittest.TestCase):
    """Nothing may delay an attempt after the check at send time, or its client could leave in between."""

    def test_an_attempt_is_written_at_the_check_at_send_time(self) -> None:
        """Not in the loop's next round: a round can take long on a busy machine."""
        steps = Steps(self)
        steps.served(1)
        client = steps.client()
        client.post(LOOKUP)
        steps.until(lambda: steps.service.adapter.pending_events)
        run_due_timers(steps)
        self.assertEqual(attempts(steps), 1)
        client.socket.close()
        steps.go()
        self.assertEqual([message[0] for message in steps.engines[0].peers[0].received()], ["cancel"])
        self.assertEqual(counter(steps, "attempts_after_client_left"), 0)

    def test_with_a_guard_that_keeps_a_journal_it_is_written_after_its_batch(self) -> None:
        """Attempts of a batch are in the journal once `batch_ended` has returned; then they are written."""
        steps = Steps(self)
        client = after_another(steps)
        guard = DeferringGuard()
        guard.before_send = lambda *_: True  # type: ignore[method-assign]
        guard.batch_ended = lambda: self.assertEqual(attempts(steps), 0)  # type: ignore[method-assign]
        steps.service.adapter.guard = guard
        client.post(LOOKUP)
        steps.until(lambda: steps.service.adapter.pending_events)
        run_due_timers(steps)
        self.assertEqual(attempts(steps), 1)

    def test_two_attempts_in_one_batch_on_a_connection_with_a_journal(self) -> None:
        """The second is written when the system has accepted the first, with its own check and record."""
        steps = Steps(self)
        steps.service.engines.max_connections = 1
        after_another(steps)
        guard = DeferringGuard()
        guard.before_send = lambda *_: True  # type: ignore[method-assign]
        steps.service.adapter.guard = guard
        for ident, client in ((LOOKUP, steps.client()), (OTHER, steps.client())):
            client.post(ident)
        steps.until(lambda: len(steps.service.adapter.pending_events) == 2)
        run_due_timers(steps)
        message = [message[1] for message in steps.engines[0].peers[0].received()]
        self.assertEqual(message, [f"{LOOKUP:016x}", f"{OTHER:016x}"])

    def test_a_connection_lost_before_the_journal_is_written(self) -> None:
        world = World(self, engines=2)
        guard = DeferringGuard()
        guard.before_send = lambda *_: True  # type: ignore[method-assign]
        caller = Caller(world)
        caller.post(1)
        peer = world.peer().up()
        peer.say(1, "200", "parts=1", ROW)
        world.service.adapter.guard = guard
        guard.batch_ended = lambda: peer.protocol.remove_and_end_attempts()  # type: ignore[method-assign]  # noqa: PLW0108 - the attribute is replaced below
        caller.post(LOOKUP)
        guard.batch_ended = lambda: None  # type: ignore[method-assign]
        world.go()
        self.assertEqual([message[1] for message in peer.received()], [f"{1:016x}"])

    def test_a_cancel_that_was_not_read_follows_in_the_same_round(self) -> None:
        steps = Steps(self)
        steps.served(1)
        canceller, client = steps.client(), steps.client()
        steps.go()
        client.post(LOOKUP)
        steps.until(lambda: steps.service.adapter.pending_events)
        canceller.socket.sendall(b"DELETE /ops/lookup/%016x HTTP/1.1\r\n\r\n" % LOOKUP)
        steps.round()
        self.assertNotIn(b"%016x" % LOOKUP, steps.service.adapter.by_ident)
        steps.round()
        self.assertEqual(
            [message[0] for message in steps.engines[0].peers[0].received()], ["serve", "cancel"]
        )

    def stuck(self) -> tuple[World, Peer]:
        """An engine that does not read: only one byte of an attempt is sent. Its client leaves."""
        world = World(self)
        caller = Caller(world)
        caller.post(LOOKUP)
        peer = world.peer()
        peer.pipe.full, peer.pipe.writable_bytes = True, 1
        peer.up()
        caller.leave()
        return world, peer

    def test_an_attempt_that_the_system_has_not_accepted_is_aborted(self) -> None:
        world, peer = self.stuck()
        world.go(40)
        self.assertFalse(peer.pipe.aborted)
        world.go(20)
        self.assertTrue(peer.pipe.aborted)
        self.assertLess(MAX_ABANDONED_WRITE, LATE_AFTER_LEAVING)
        self.assertEqual(world.count("attempts_after_client_left"), 0)

    def test_an_attempt_that_the_system_accepts_in_time_is_left_to_run(self) -> None:
        """It is counted as sent after its client left, by less than 100 ms."""
        world, peer = self.stuck()
        world.go(30)
        peer.pipe.full = False
        peer.pipe.drained()
        world.go(60)
        self.assertFalse(peer.pipe.aborted)
        self.assertEqual([message[0] for message in peer.received()], ["serve", "cancel"])
        self.assertEqual(world.count("attempts_after_client_left"), 1)
        self.assertEqual(world.count("attempts_late_after_client_left"), 0)

    def test_an_attempt_of_which_no_byte_was_sent_does_not_start_after_its_client_left(self) -> None:
        world = World(self)
        caller = Caller(world)
        caller.post(LOOKUP)
        peer = world.peer()
        peer.pipe.full = True
        peer.up()
        world.go(20)
        caller.leave()
        world.go(20)
        peer.pipe.full = False
        peer.pipe.drained()
        world.go(60)
        self.assertEqual(peer.received(), [])
        self.assertEqual(world.count("attempts_after_client_left"), 0)
        self.assertEqual(world.count("trips_written"), 0)

    def test_a_connection_with_other_running_attempts_is_not_aborted(self) -> None:
        """So this attempt may reach the engine late, and is counted as late."""
        world = World(self)
        world.service.engines.max_connections = 1
        kept, caller = Caller(world), Caller(world)
        kept.post(OTHER)
        peer = world.peer().up()
        peer.pipe.full, peer.pipe.writable_bytes = True, 1
        caller.post(LOOKUP)
        caller.leave()
        world.go(120)
        self.assertFalse(peer.pipe.aborted)
        peer.pipe.full = False
        peer.pipe.drained()
        self.assertEqual([message[0] for message in peer.received()], ["serve", "serve", "cancel"])
        self.assertEqual(world.count("attempts_after_client_left"), 1)
        self.assertEqual(world.count("attempts_late_after_client_left"), 1)
        peer.say(OTHER, "200", "parts=1", ROW)
        self.assertEqual(kept.answers()[0][0], 200)


class CancelledOnItsOwnConnection(unittest.TestCase):
    DELETE = b"DELETE /ops/lookup/%016x HTTP/1.1\r\n\r\n"

    def test_after_its_open_request(self) -> None:
        """A 200 would be read as the answer to that request, so none is written; the connection is closed."""
        world = World(self)
        caller = Caller(world)
        caller.post(LOOKUP)
        caller.say(self.DELETE % LOOKUP)
        self.assertEqual(world.service.adapter.by_ident, {})
        self.assertEqual((caller.answers(), caller.pipe.disconnecting), ([], True))
        self.assertEqual(world.peer().up().received(), [])

    def test_found_by_the_check_at_send_time(self) -> None:
        world = World(self)
        caller = Caller(world)
        caller.post(LOOKUP)
        caller.pipe.unread = self.DELETE % LOOKUP
        self.assertEqual(world.peer().up().received(), [])
        self.assertEqual(world.count("trips_whose_client_left"), 1)

    def test_a_pipelined_request_and_its_cancel_after_another_request(self) -> None:
        world = World(self)
        caller = Caller(world)
        caller.post(1)
        caller.post(LOOKUP)
        caller.say(self.DELETE % LOOKUP)
        peer = world.peer().up()
        peer.say(1, "200", "parts=1", ROW)
        self.assertEqual([message[1] for message in peer.received() if message[0] == "serve"], [f"{1:016x}"])
        self.assertEqual([status for status, _, _ in caller.answers()], [200])

    def test_a_cancel_of_another_request_is_answered_in_order(self) -> None:
        world = World(self)
        first, caller = Caller(world), Caller(world)
        first.post(1)
        caller.post(LOOKUP)
        caller.say(self.DELETE % 1 + self.DELETE % 99)
        self.assertEqual(list(world.service.adapter.by_ident), [b"%016x" % LOOKUP])
        self.assertEqual(caller.answers(), [])
        world.peer(1).up().say(LOOKUP, "200", "parts=1", ROW)
        self.assertEqual([status for status, _, _ in caller.answers()], [200, 200, 404])

    def test_many_cancels_and_a_bad_one_are_answered_in_order(self) -> None:
        world = World(self)
        caller = Caller(world)
        caller.post(LOOKUP)
        caller.say(self.DELETE % 99 * 40 + b"DELETE x HTTP/1.1\r\n\r\n")
        self.assertEqual(len(caller.protocol.early_deletes), 16)
        world.peer().up().say(LOOKUP, "200", "parts=1", ROW)
        world.go()
        self.assertEqual([status for status, _, _ in caller.answers()], [200, *[404] * 40, 400])


class Processes(unittest.TestCase):
    def test_a_client_whose_process_is_killed(self) -> None:
        """Its request is open, and part of the next one is pipelined."""
        text = (
            "import socket, sys\n"
            f"it = socket.create_connection(({HOST!r}, int(sys.argv[1])))\n"
            "it.sendall(sys.stdin.buffer.read())\n"
            "print('sent', flush=True)\n"
            "it.recv(1)\n"
        )
        steps = Steps(self)
        steps.served(1)
        sent = WHOLE_REQUEST.replace(b"%016x" % 77, b"%016x" % LOOKUP)
        with subprocess.Popen(
            [sys.executable, "-c", text, str(steps.configuration.port)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        ) as process:
            assert process.stdin is not None and process.stdout is not None
            process.stdin.write(sent + PARTIAL_REQUEST)
            process.stdin.close()
            self.assertEqual(process.stdout.readline(), b"sent\n")
            steps.until(lambda: steps.service.adapter.pending_events)
            process.kill()
            process.wait()
        run_due_timers(steps)
        steps.go()
        self.assertEqual(attempts(steps), 0)
        self.assertEqual(counter(steps, "trips_whose_client_left"), 1)


class Counts(unittest.TestCase):
    def test_counters_that_are_0_are_shown_too(self) -> None:
        world = World(self)
        caller = Caller(world)
        caller.say(b"GET /counters HTTP/1.1\r\n\r\n")
        ((_, _, figures),) = caller.answers()
        names = ("attempts_after_client_left", "attempts_late_after_client_left")
        self.assertEqual([figures[name] for name in names], [0, 0])
        caller.leave()
        world.service.stop()
        world.go(1000)
        line = next(line for line in world.log.getvalue().splitlines() if "event=counters" in line)
        self.assertTrue(all(f" {name}=0" in line for name in names))


class SentAhead(unittest.TestCase):
    def test_more_than_the_limit_found_by_the_check_at_send_time(self) -> None:
        """Its connection is aborted, and its request is cancelled at once, not a round later."""
        world = World(self)
        caller = Caller(world)
        caller.post(LOOKUP)
        caller.pipe.unread = b"x" * 200_000
        self.assertEqual(world.peer().up().received(), [])
        self.assertTrue(caller.pipe.aborted)
        self.assertEqual(world.service.adapter.by_ident, {})


class DeferringGuard:
    """A guard that withholds its decisions until the test releases them."""

    def __init__(self) -> None:
        self.verdicts: list[Callable[[bool | None], None]] = []

    def before_send(self, taken: Any, attempt: int, go: Callable[[bool | None], None]) -> bool:
        self.verdicts.append(go)
        return False

    def allow_send(self, taken: Any, attempt: int, engine: int) -> bool:
        return True

    def batch_ended(self) -> None:
        """Does nothing."""

    def __getattr__(self, name: str) -> Callable[..., Any]:
        return lambda *_: None
