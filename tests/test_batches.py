"""Stalls of the process, shared connections and the bound on a batch, on a clock that the test moves."""

import io
import random
import socket
import unittest
from bisect import bisect_left
from collections import deque
from typing import Any, ClassVar

from spurdeal.net.counters import Counters
from spurdeal.net.logs import logger
from spurdeal.net.poll_watch import AcceptWatch, LoopWatch
from spurdeal.net.socket_inspection import count_waiting_connections
from tests.helpers import Caller, World
from tests.steps import PeerSocket, Steps, settings

STALL = 800.0  # ms
ANSWER_RETURN_TIME = 40  # ms that the dispatcher reserves for sending the answer back
ACCEPTS_A_ROUND, ROUND = 2, 10.0  # ms
WAITING_CLIENTS = 8  # in the accept queue, at all times
LONG_OVERLOAD = 1000.0  # ms


def stall(steps: Steps, ms: float = STALL) -> None:
    """Stall the whole process, as on a machine that is out of processor time."""
    steps.reactor.now += ms / 1000


def wait_limits_sent(peer: PeerSocket) -> list[int]:
    """The time limit sent with each attempt on this connection."""
    return [
        int(dict(pair.split("=") for pair in message[2].split(","))["wait"])
        for message in peer.received()
        if message[0] == "serve"
    ]


class Stalls(unittest.TestCase):
    """Bytes read after a stall may have arrived when it began, so their time limit counts from there."""

    def idle(self, **more: Any) -> tuple[Steps, PeerSocket, PeerSocket]:
        """A dispatcher with an idle connection to a client and one to an engine, both used before."""
        steps = Steps(self, **more)
        client = steps.served(1)
        return steps, client, steps.engines[0].peers[0]

    def test_on_an_open_connection(self) -> None:
        steps, client, engine = self.idle()
        client.post(2, wait=2000)
        stall(steps)
        steps.go()
        self.assertEqual(wait_limits_sent(engine), [2000 - int(STALL) - ANSWER_RETURN_TIME])

    def test_on_a_connection_in_the_backlog(self) -> None:
        steps, _, engine = self.idle()
        steps.client().post(2, wait=2000)
        stall(steps)
        steps.go()
        self.assertEqual(wait_limits_sent(engine), [2000 - int(STALL) - ANSWER_RETURN_TIME])

    def test_after_another_in_the_backlog(self) -> None:
        """A round accepts a limited number; connections accepted in the next had also arrived before it."""
        steps, _, _ = self.idle()
        for ident in (2, 3, 4):
            steps.client().post(ident, wait=2000)
        steps.service.clients.port.numberAccepts = 1
        stall(steps)
        steps.go()
        deadlines = {taken.deadline for taken in steps.service.adapter.open_requests.values()}
        self.assertEqual((len(steps.service.adapter.open_requests), len(deadlines)), (3, 1))
        self.assertAlmostEqual(deadlines.pop() - steps.clock(), 2000 - STALL - ANSWER_RETURN_TIME, places=3)

    def test_in_a_batch(self) -> None:
        steps, client, engine = self.idle()
        rules = steps.service.adapter.rules
        usual = rules.end_batch

        def slow_batch(now: float) -> None:
            rules.end_batch = usual  # type: ignore[method-assign]
            client.post(2, wait=2000)
            stall(steps)
            usual(now)

        rules.end_batch = slow_batch  # type: ignore[method-assign]
        steps.go(50)
        self.assertEqual(
            wait_limits_sent(engine), [2000 - 10 - int(STALL) - ANSWER_RETURN_TIME]
        )  # polled 10 ms before it

    def test_a_request_without_time_left_is_shed_at_once(self) -> None:
        steps, client, engine = self.idle()
        client.post(2, wait=600)
        stall(steps)
        steps.go()
        self.assertEqual((client.status(), wait_limits_sent(engine)), (503, []))

    def test_while_accepting_is_paused(self) -> None:
        """Accepting was paused; a connection that waited in the backlog was read only after that."""
        steps = Steps(self)
        clients = steps.service.clients
        clients.set_limits(
            max_connections=4, accepts=1, memory_mb=64.0
        )  # so few that no request is shed because of their number
        steps.go()
        open_ones = [steps.client() for _ in range(clients.max_connections)]
        for ident, client in enumerate(open_ones, 1):
            client.post(ident, wait=4000)
        steps.go()
        self.assertTrue(clients.paused)
        steps.client().post(99, wait=2000)
        steps.go(500)
        open_ones[0].socket.close()
        steps.go()
        steps.go()  # the free slot is noticed in one round, and used in the next
        deadline = steps.service.adapter.by_ident[b"%016x" % 99].deadline  # so accepting went on
        self.assertAlmostEqual(deadline - steps.clock(), 2000 - 500 - ANSWER_RETURN_TIME, places=3)

    def test_under_constant_load_no_connection_is_dated_back_beyond_the_queue_length(self) -> None:
        """Each round accepts the most that it may, so the queue is never observed empty."""
        steps = Steps(self)
        watch = AcceptWatch(steps.service.adapter.loop, queue_length=6)
        dated = list[float]()
        for _ in range(10):
            steps.reactor.now += 0.01
            steps.round()
            dated += [watch.record_accept(2).since for _ in range(2)]
        now = steps.clock()
        self.assertAlmostEqual(now - dated[-1], 30.0, places=3)  # three rounds of two
        self.assertLessEqual(len(watch.samples), 4)
        steps.go(10)
        steps.go(10)  # a round with no accept: it was empty
        self.assertAlmostEqual(steps.clock() - watch.record_accept(2).since, 0.0, places=3)

    def test_without_a_stall_the_time_is_that_of_the_reading(self) -> None:
        steps, client, engine = self.idle()
        for ident, pause in ((2, 0), (3, 30), (4, 700)):
            steps.go(pause)
            client.post(ident, wait=2000)
            steps.go()
            self.assertEqual(wait_limits_sent(engine), [2000 - ANSWER_RETURN_TIME])
            engine.say(ident)
            self.assertEqual(steps.until(client.status), 200)

    def test_a_stall_ends_when_the_sockets_are_polled(self) -> None:
        steps, client, engine = self.idle()
        new_client = steps.client()
        stall(steps)
        steps.go()
        for ident, peer in ((2, client), (3, new_client)):
            peer.post(ident, wait=2000)
            steps.go()
            self.assertEqual(wait_limits_sent(engine), [2000 - ANSWER_RETURN_TIME])
            engine.say(ident)
            self.assertEqual(steps.until(peer.status), 200)

    def test_gaps_are_counted_and_logged_once_a_second(self) -> None:
        steps, _, _ = self.idle()
        for _ in range(3):
            stall(steps, 250)
            steps.go()
        log = steps.service.log.handlers[0].stream.getvalue()  # type: ignore[attr-defined]
        sums = steps.service.counters.sums
        self.assertEqual(
            (sums["longest_poll_gap_ms"], sums["poll_gaps"], log.count("event=poll_gap")), (250, 3, 1)
        )


class OverloadedQueue:
    """A dispatcher whose accept queue is never empty: each round, as many arrive as are accepted."""

    def __init__(self, case: unittest.TestCase) -> None:
        self.steps = Steps(case)
        clients = self.steps.service.clients
        clients.set_limits(max_connections=40, accepts=ACCEPTS_A_ROUND, memory_mb=64.0)
        self.steps.go()
        self.silent = deque[PeerSocket]()
        self.connect(WAITING_CLIENTS)

    def connect(self, count: int) -> None:
        self.silent.extend(self.steps.client() for _ in range(count))

    def go(self, ms: float) -> None:
        """Run rounds of 10 ms; accepted clients disconnect, the oldest first."""
        for _ in range(round(ms / ROUND)):
            self.connect(ACCEPTS_A_ROUND)
            self.steps.reactor.now += ROUND / 1000
            self.steps.round()
            while len(self.silent) > WAITING_CLIENTS + ACCEPTS_A_ROUND:
                self.silent.popleft().socket.close()

    def post(self, ident: int, wait: int) -> float:
        """Send a request on a new connection at the end of the queue; returns when it was sent."""
        self.steps.client().post(ident, wait=wait)
        return self.steps.clock()

    def deadline(self, ident: int) -> float:
        return self.steps.service.adapter.by_ident[b"%016x" % ident].deadline


class Backlog(unittest.TestCase):
    """Connections wait in the accept queue, which is first in, first out."""

    def test_under_overload_a_request_is_dated_back_no_further_than_the_queue_ahead_of_it(self) -> None:
        overload = OverloadedQueue(self)
        overload.go(LONG_OVERLOAD)
        sent_at = overload.post(1, wait=2000)
        overload.go(100)
        left_when_sent = overload.deadline(1) + ANSWER_RETURN_TIME - sent_at
        self.assertLessEqual(left_when_sent, 2000)
        self.assertGreaterEqual(left_when_sent, 2000 - 2 * ROUND)

    def test_under_overload_a_request_that_waited_long_counts_from_its_arrival(self) -> None:
        overload = OverloadedQueue(self)
        overload.go(LONG_OVERLOAD)
        sent_at = overload.post(1, wait=2000)
        overload.connect(100)
        overload.steps.reactor.now += 0.09  # below the poll gap from which arrival times are dated back
        overload.go(200)
        left_when_sent = overload.deadline(1) + ANSWER_RETURN_TIME - sent_at
        self.assertLessEqual(left_when_sent, 2000)
        self.assertGreaterEqual(left_when_sent, 2000 - 2 * ROUND)

    def test_a_full_queue_is_assumed_where_the_system_reports_no_count(self) -> None:
        overload = OverloadedQueue(self)
        overload.steps.service.clients.accepting.waiting = lambda: None
        began = overload.steps.clock()
        overload.go(LONG_OVERLOAD)
        overload.post(1, wait=3000)
        overload.go(100)
        self.assertAlmostEqual(overload.deadline(1), began + ROUND + 3000 - ANSWER_RETURN_TIME, places=3)

    def test_the_first_count_above_0_ends_the_assumption(self) -> None:
        steps = Steps(self)
        counts = iter([0, 0, 2, 2, 2, 2, 2, 2])
        watch = AcceptWatch(steps.service.adapter.loop, 1000, lambda: next(counts))
        ages, kept = list[float](), list[int]()
        for _ in range(8):
            steps.reactor.now += ROUND / 1000
            steps.round()
            ages.append(round(steps.clock() - watch.record_accept(1).since))
            kept.append(len(watch.samples))
        self.assertEqual(ages, [0, 10, 20, 30, 40, 30, 30, 30])
        self.assertEqual(kept, [1, 2, 1, 2, 3, 3, 3, 3])

    def test_a_listening_socket_reports_how_many_connections_wait(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            counts = [count_waiting_connections(listener)]
            callers = [socket.create_connection(listener.getsockname()) for _ in range(3)]
            counts.append(count_waiting_connections(listener))
            callers[0].close()  # it stays in the queue, closed
            counts.append(count_waiting_connections(listener))
            listener.accept()[0].close()
            counts.append(count_waiting_connections(listener))
            self.assertEqual(counts, [0, 3, 3, 2])
            self.assertIsNone(count_waiting_connections(callers[1]))
            for caller in callers:
                caller.close()
        with socket.socket(type=socket.SOCK_DGRAM) as other:
            self.assertIsNone(count_waiting_connections(other))
        self.assertIsNone(count_waiting_connections(None))

    def test_no_connection_is_dated_later_than_the_first_poll_after_its_arrival(self) -> None:
        """Random arrivals, failing accepts and pauses, with the queue length known, unknown or reported as 0.

        Connections that arrive between two polls less than 100 ms apart count from the second, as bytes do.
        """
        for seed in range(60):
            for counts in ("true", "none", "zero"):
                with self.subTest(seed=seed, counts=counts):
                    model = QueueModel(random.Random(seed), counts)
                    for _ in range(400):
                        model.go_round()
                    self.assertGreater(len(model.accepted), 100)
                    for arrived, since, checked in model.accepted:
                        self.assertLessEqual(since, model.next_poll(arrived))
                        if counts == "true":
                            self.assertGreaterEqual(since, checked)


class QueueModel:
    """An in-memory accept queue, the loop that accepts from it, and when each connection arrived.

    Attributes:
        accepted: For each connection, when it arrived, since when it may have waited according to the watch,
            and when the queue was last checked before it arrived.
    """

    MOST = 12  # capacity of the queue

    def __init__(self, choice: random.Random, counts: str) -> None:
        self.choice, self.counts, self.now = choice, counts, 0.0
        self.loop = LoopWatch(lambda: self.now, Counters(), logger("n1", io.StringIO()))
        self.loop.installed = True
        self.watch = AcceptWatch(self.loop, self.MOST, self.count_waiting)
        self.queue, self.checks = deque[float](), [0.0]
        self.accepted = list[tuple[float, float, float]]()
        self.polls = list[float]()
        self.paused = 0  # rounds
        self.busy = False  # more arrive than are accepted

    def count_waiting(self) -> int | None:
        if self.queue and self.counts == "true":
            self.checks.append(self.now)
        return {"true": len(self.queue), "none": None, "zero": 0}[self.counts]

    def next_poll(self, arrived: float) -> float:
        """The first poll after a connection arrived, whether or not the listener was watched then."""
        found = bisect_left(self.polls, arrived)
        return self.polls[found] if found < len(self.polls) else self.now

    def pass_time(self, most: float, arrivals: int) -> None:
        for _ in range(arrivals + 1):
            self.now += self.choice.uniform(0.001, most / (arrivals + 1))
            if arrivals and len(self.queue) < self.MOST:
                self.queue.append(self.now)
        self.now += 0.001

    def go_round(self) -> None:
        """Time passes, then a poll, then as many accepts as this round may make."""
        if self.choice.random() < 0.02:
            self.busy = not self.busy
        self.pass_time(30.0, self.choice.randrange(1, 5) if self.busy else int(self.choice.random() < 0.3))
        if self.paused:
            self.paused -= 1
            if not self.paused:
                self.watch.record_resumption()
        self.loop.record_poll()
        self.polls.append(self.now)
        if self.paused or not self.queue:
            return
        most = self.choice.randrange(1, 4)
        for _ in range(most):
            if not self.queue:
                return
            if self.choice.random() < 0.05:
                self.watch.record_failure()
                self.paused = self.choice.randrange(1, 4)
                return
            self.accept(most)
            self.pass_time(1.0, int(self.choice.random() < 0.2))
        if self.choice.random() < 0.05:
            self.paused = self.choice.randrange(1, 10)

    def accept(self, most: int) -> None:
        arrived = self.queue.popleft()
        checked = max(at for at in self.checks if at < arrived)
        self.accepted.append((arrived, self.watch.record_accept(most).since, checked))


class OrderedRequests(unittest.TestCase):
    """Ordered requests of one key: the client may have held one back until the earlier ones were answered."""

    GRADES: ClassVar = [
        {"name": "entry", "aim": 3000, "deadline": 20000, "effect": "once", "serial_by_key": True},
        {"name": "load", "aim": 3000, "deadline": 20000, "effect": "once"},
    ]

    def setUp(self) -> None:
        self.world = World(
            self, settings=settings() | {"grades": self.GRADES, "rules": {"order_settle": 300}}
        )
        self.count = 0

    def time_left(self, workload: str, key: str, wait: int = 5000) -> float:
        """The time left of another request that arrives now, as the dispatcher counts it."""
        self.count += 1
        Caller(self.world).post(self.count, workload, wait=wait, Req_Key=key)
        deadline = self.world.service.adapter.by_ident[b"%016x" % self.count].deadline
        return round(deadline - self.world.now() + ANSWER_RETURN_TIME)

    def test_requests_in_a_series_count_from_the_first(self) -> None:
        left = list[float]()
        for pause in (0, 250, 60, 290):
            self.world.go(pause)
            left.append(self.time_left("entry", "k1"))
        self.assertEqual(left, [5000, 4750, 4690, 4400])

    def test_at_most_a_fifth_of_the_wait_is_deducted(self) -> None:
        for _ in range(9):
            least = self.time_left("entry", "k1")
            self.world.go(250)
        self.assertEqual(least, 4000)

    def test_nothing_is_deducted_for_other_keys_other_workloads_and_later_requests(self) -> None:
        left = [self.time_left("entry", "k1")]
        self.world.go(100)
        left += [self.time_left("entry", "k2"), self.time_left("load", "k1"), self.time_left("entry", "")]
        self.world.go(310)
        left.append(self.time_left("entry", "k1"))
        self.assertEqual(left, [5000] * 5)

    def test_without_an_order_pause_nothing_is_deducted(self) -> None:
        self.world = World(self, settings=settings() | {"grades": self.GRADES})
        left = list[float]()
        for pause in (0, 60):
            self.world.go(pause)
            left.append(self.time_left("entry", "k1"))
        self.assertEqual(left, [5000, 5000])

    def test_tracked_series_are_bounded_and_expire(self) -> None:
        ordered = self.world.service.adapter.ordered
        for key in range(1, 5000):
            ordered.hold_time(key, 0.0, 5000.0)
        self.assertEqual(len(ordered.runs), 1024)
        ordered.hold_time(1, 1000.0, 5000.0)
        self.assertEqual(list(ordered.runs), [1])


class EventBatches(unittest.TestCase):
    """The work of one batch is bounded."""

    def test_many_events_are_delivered_in_several_batches_in_order(self) -> None:
        world = World(self)
        adapter, delivered, batches = world.service.adapter, list[int](), world.count("turns")

        def event(_: float, place: int) -> None:
            delivered.append(place)

        for place in range(300):
            adapter.enqueue(event, place)
        adapter.run_batch()
        self.assertEqual(delivered, list(range(128)))
        world.go()
        self.assertEqual((delivered, world.count("turns") - batches), (list(range(300)), 3))

    def test_queued_requests_with_keys_are_not_checked_one_by_one(self) -> None:
        """One without an engine represents its workload; one that follows another of its key is skipped."""
        grades = [{"name": "load", "aim": 3000, "deadline": 20000, "effect": "once", "serial_by_key": True}]
        world = World(self, limits={"sockets": 1024}, settings=settings() | {"grades": grades})
        rules, weighed = world.service.adapter.rules, list[int]()
        rules.admits = lambda *_: False  # type: ignore[method-assign]
        callers = [Caller(world) for _ in range(60)]
        for ident, caller in enumerate(callers, 1):
            caller.post(ident, "load", Req_Key=f"k{ident % 20}")
        self.assertEqual((len(rules.wait_queue), len(rules.ordered_queues)), (60, 20))
        usual = rules.eligible_engines
        rules.eligible_engines = lambda request: weighed.append(request.number) or usual(request)  # type: ignore[method-assign, func-returns-value]
        rules.end_batch(world.now())
        self.assertEqual(weighed, [0])


class SharedConnections(unittest.TestCase):
    """Several attempts on one connection to an engine."""

    BEGUN = b"*4\r\n$16\r\n%016x\r\n$3\r\n200\r\n$7\r\nparts=1\r\n$6\r\n" % 1

    def two_attempts(self) -> tuple[World, Caller, Caller]:
        """Two attempts on one connection; the second has 640 ms left."""
        world = World(self)
        world.service.engines.max_connections = 1
        patient, pressed = Caller(world), Caller(world)
        patient.post(1)
        pressed.post(2, wait=640)
        return world, patient, pressed

    def test_an_answer_is_not_cut_short_for_another_attempt(self) -> None:
        world, patient, pressed = self.two_attempts()
        peer = world.peer().up()
        self.assertEqual(len(peer.received()), 2)
        peer.raw(self.BEGUN)
        world.go(400)
        self.assertFalse(peer.pipe.aborted)
        peer.raw(b"a\t1\tx\n\r\n")
        peer.say(2, "200", "parts=1", b"a\t1\tx\n")
        self.assertEqual([caller.answers()[0][0] for caller in (patient, pressed)], [200, 200])

    def test_an_answer_without_its_id_yet_is_bounded_by_the_longest_attempt(self) -> None:
        world, _, _ = self.two_attempts()
        peer = world.peer().up()
        peer.raw(self.BEGUN[:10])
        world.go(400)
        self.assertFalse(peer.pipe.aborted)
        world.go(150)
        self.assertTrue(peer.pipe.aborted)

    def test_an_answer_is_bounded_by_the_time_of_its_own_attempt(self) -> None:
        world, _, _ = self.two_attempts()
        peer = world.peer().up()
        peer.raw(self.BEGUN.replace(b"%016x" % 1, b"%016x" % 2))
        world.go(290)
        self.assertFalse(peer.pipe.aborted)
        world.go(30)
        self.assertTrue(peer.pipe.aborted)
