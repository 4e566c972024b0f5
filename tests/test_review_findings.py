"""Regression tests: orders of answers in which the list was followed, or not, against what had been sent."""

import unittest
from unittest.mock import patch

from spurdeal.interface import Life, Verdict
from spurdeal.lab import name_server
from spurdeal.list_agreement import RENUMBERED_AFTER, ListState, assess, same_process_and_state
from spurdeal.list_freshness import PROPAGATION_LIMIT, SETTLING_RESPONSES, ListFreshness
from spurdeal.net.engine_list import Endpoint
from tests.helpers import World

GRACE, SLACK = 250.0, 50.0  # ms, as the settings and the protocol page have them
NAMES_AT = ("127.0.8.9", 5300)
Record = tuple[str, str, int, str]


def record(number: int, draining: bool = False) -> Record:
    """One engine of an answer."""
    return (f"s-{number}.east.hosts", f"127.0.9.{number}:7001", int(draining), "kind=std cell=0 started=0")


ALL_READY = (record(0), record(1))
ONE_DRAINS = (record(0), record(1, draining=True))


class ManualAnswers(unittest.TestCase):
    """A dispatcher with two engines; the test answers its queries to the name service."""

    def setUp(self) -> None:
        self.world = World(self, engines=2)
        self.world.names_silent = True
        self.answer_queries(1, ALL_READY, *range(len(self.world.names)))
        self.world.go(400)
        self.answer_queries(1, ALL_READY, -1)

    def answer_queries(self, serial: int, records: tuple[Record, ...], *queries: int) -> None:
        """Answer each of these queries now."""
        for number in queries:
            answer = name_server.answer(self.world.names[number], serial, *records)
            self.world.service.names.datagramReceived(answer, NAMES_AT)
        self.world.go()

    def next_query(self) -> float:
        """Wait for the next query; returns when it was sent."""
        asked = len(self.world.names)
        while len(self.world.names) == asked:
            self.world.go(5)
        return self.world.now()

    def settle(self) -> None:
        """Answer each query at once, until the list is followed."""
        for _ in range(2 * SETTLING_RESPONSES):
            self.next_query()
            self.answer_queries(1, ALL_READY, -1)
        self.assertTrue(self.may_be_followed())

    def may_be_followed(self) -> bool:
        """Whether the list is fresh enough to send requests."""
        return self.world.service.adapter.rules.freshness.may_be_followed(self.world.now())

    def may_send_to(self, number: int) -> bool:
        """Whether an attempt at that engine may start now."""
        endpoint = self.world.service.adapter.endpoints.get(f"s-{number}")
        return self.may_be_followed() and endpoint is not None and endpoint.life == Life.READY

    def check_never_sent(
        self, number: int, sent: float, until: float, serial: int, lag: tuple[Record, ...]
    ) -> None:
        """Check that after the grace period the engine gets nothing, while each answer has an older list."""
        asked = len(self.world.names)
        while self.world.now() < until:
            self.world.go(5)
            if len(self.world.names) > asked:
                asked = len(self.world.names)
                self.answer_queries(serial, lag, -1)
            if self.world.now() > sent + GRACE + SLACK:
                self.assertFalse(
                    self.may_send_to(number), f"{self.world.now() - sent:.0f} ms after the drain was sent"
                )


class Lost(ManualAnswers):
    """The answer with a drain was lost; later answers come from a replica that lags."""

    def test_a_list_that_is_newer_but_older_than_the_lost_one_settles_no_question(self) -> None:
        self.settle()
        sent = self.next_query()  # the answer with list 3, in which s-1 drains, is lost
        self.next_query()
        self.answer_queries(2, ALL_READY, -1)  # newer than 1, older than the lost list 3
        self.check_never_sent(1, sent, sent + PROPAGATION_LIMIT, 2, ALL_READY)

    def test_a_too_high_list_number_settles_no_query(self) -> None:
        self.settle()
        sent = self.next_query()  # the answer with list 2, in which s-1 drains, is lost
        self.next_query()
        self.answer_queries(1000, ALL_READY, -1)
        while self.world.now() < sent + PROPAGATION_LIMIT:  # nothing more arrives
            self.world.go(5)
            if self.world.now() > sent + GRACE + SLACK:
                self.assertFalse(
                    self.may_send_to(1), f"{self.world.now() - sent:.0f} ms after the drain was sent"
                )

    def test_lagging_answers_in_a_row_settle_no_question_while_a_replica_may_lag(self) -> None:
        self.settle()
        sent = self.next_query()  # the answer with list 2, in which s-1 drains, is lost
        self.check_never_sent(1, sent, sent + PROPAGATION_LIMIT, 1, ALL_READY)


class Stalled(ManualAnswers):
    """The process is descheduled while it hands a query to the system."""

    def test_a_query_counts_from_before_it_was_handed_to_the_system(self) -> None:
        self.settle()
        stall, write, sent = 0.2, self.world.write, list[float]()

        def slow_write(datagram: bytes, address: object) -> None:
            write(datagram, address)
            sent.append(self.world.now())
            if len(sent) == 1:
                self.world.reactor.rightNow += stall

        with patch.object(World, "sendto", staticmethod(slow_write)):
            self.next_query()  # the answer with list 2, in which s-1 drains, is lost, as are all later ones
            while self.world.now() < sent[0] + PROPAGATION_LIMIT:
                if self.world.now() > sent[0] + GRACE + SLACK:
                    self.assertFalse(
                        self.may_send_to(1), f"{self.world.now() - sent[0]:.0f} ms after the drain was sent"
                    )
                self.world.go(5)


class Comparing(ManualAnswers):
    """The cost of processing an answer."""

    def test_a_list_that_stays_the_same_is_compared_once(self) -> None:
        self.settle()
        with patch(
            "spurdeal.list_agreement.same_process_and_state", side_effect=same_process_and_state
        ) as compared:
            for _ in range(10):
                self.next_query()
                self.answer_queries(1, ALL_READY, -1)
        self.assertLessEqual(compared.call_count, len(ALL_READY))


class Overtaken(ManualAnswers):
    """A drain arrives after the answer to a later query."""

    def test_a_drain_that_has_arrived_is_in_force_despite_a_too_high_list_number(self) -> None:
        self.settle()
        sent = self.next_query()
        self.next_query()
        self.answer_queries(1000, ALL_READY, -1)
        self.answer_queries(2, ONE_DRAINS, -2)
        while self.world.now() < sent + PROPAGATION_LIMIT:  # nothing more arrives
            self.world.go(5)
            if self.world.now() > sent + GRACE + SLACK:
                self.assertFalse(
                    self.may_send_to(1), f"{self.world.now() - sent:.0f} ms after the drain was sent"
                )


class InAFleet(ManualAnswers):
    """Peers share their lists too."""

    def test_a_too_high_list_number_hides_no_drain(self) -> None:
        self.world.service.names.peers_share_lists = True
        self.settle()
        self.next_query()
        self.answer_queries(1000, ALL_READY, -1)
        sent = self.next_query()
        self.answer_queries(2, ONE_DRAINS, -1)
        self.check_never_sent(1, sent, sent + 2 * PROPAGATION_LIMIT, 2, ONE_DRAINS)


class Slow(ManualAnswers):
    """Each answer arrives after a delay."""

    def followed_share(self, delay: float) -> float:
        """The share of checks at which the list was followed, from 2 s on."""
        self.settle()
        due, seen, checks = list[tuple[float, int]](), len(self.world.names), list[bool]()
        began = self.world.now()
        while self.world.now() < began + 20_000.0:
            self.world.go(5)
            for number in range(seen, len(self.world.names)):
                due.append((self.world.now() + delay, number))
            seen = len(self.world.names)
            while due and due[0][0] <= self.world.now():
                self.answer_queries(1, ALL_READY, due.pop(0)[1])
            if self.world.now() > began + 2000.0:
                checks.append(self.may_be_followed())
        return sum(checks) / len(checks)

    def test_a_list_whose_answers_all_arrive_within_the_grace_is_followed_most_of_the_time(self) -> None:
        """A list takes effect at most 200 ms after it was sent, within the grace period."""
        self.assertGreater(self.followed_share(200.0), 0.5)

    def test_a_list_whose_answers_all_take_700_ms_is_followed_at_times(self) -> None:
        self.assertGreater(self.followed_share(700.0), 0.0)


class Starting(unittest.TestCase):
    def test_an_initial_list_that_is_a_second_old_is_not_followed_once_a_drain_it_lacks_takes_effect(
        self,
    ) -> None:
        """The engine drains right after the list was made; it is read 1 s later, queried 0.9 s later."""
        freshness = ListFreshness(GRACE)
        drained = 0.0
        read = drained + 1000.0
        freshness.initial_list_read(read)
        freshness.query_sent(read + 900.0)
        for passed in range(900, 2000, 5):
            if read + passed > drained + PROPAGATION_LIMIT + GRACE + SLACK:
                self.assertFalse(freshness.may_be_followed(read + passed), passed)


def endpoint(ident: str, life: Life = Life.READY, started: float = 0.0) -> Endpoint:
    """One engine."""
    return Endpoint(ident, "127.0.9.1", 7001, "east", "std", 0, life, 1.0, started)


class Agreeing(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 0.0
        self.list_state = ListState.of(5, {"a": endpoint("a"), "b": endpoint("b")})

    def answer(self, number: int, *endpoints: Endpoint) -> Verdict:
        """An answer 40 ms after the last."""
        self.now += 40.0
        listed = {each.ident: each for each in endpoints}
        found = assess(self.list_state, number, listed, self.now - 1.0, self.now)
        self.list_state, self.covers_serving = found.list_state, found.covers_serving
        return found.verdict

    def life(self, ident: str) -> Life | None:
        """The state of an engine that is in force."""
        return self.list_state.in_force[ident].life if ident in self.list_state.in_force else None

    def test_a_change_during_the_hold_after_a_renumbering_releases_nothing_early(self) -> None:
        drains = endpoint("b", Life.DRAINING)
        self.answer(10, endpoint("a"), drains)
        drain_sent = self.now
        for _ in range(RENUMBERED_AFTER):  # from a replica that lags
            self.answer(7, endpoint("a"), endpoint("b"))
        while self.now < drain_sent + PROPAGATION_LIMIT:  # its list changes, and still lags
            self.answer(8, endpoint("a"), endpoint("b"), endpoint("c"))
            self.assertEqual(
                self.life("b"), Life.DRAINING, f"{self.now - drain_sent:.0f} ms after the drain was sent"
            )

    def test_two_old_lists_with_a_too_high_number_revert_no_drain(self) -> None:
        self.answer(10, endpoint("a"), endpoint("b", Life.DRAINING))
        for _ in range(2):  # from before a restart
            self.answer(41, endpoint("a"), endpoint("b"))
        self.assertEqual(self.life("b"), Life.DRAINING)

    def test_a_confirmed_engine_gets_requests_although_others_keep_joining(self) -> None:
        joined = [endpoint("a"), endpoint("b")]
        for number in range(6, 56):  # 2 s
            joined.append(endpoint(f"n{number}"))
            self.answer(number, *joined)
        self.assertEqual(self.life("n6"), Life.READY)

    def test_two_alternating_numberings_of_the_same_list_leave_it_followed(self) -> None:
        freshness, may_be_followed = ListFreshness(GRACE), False
        freshness.initial_list_read(0.0)
        for number in range(250):  # 10 s
            asked = self.now + 39.0
            freshness.query_sent(asked)
            verdict = self.answer(5 if number % 2 else 3, endpoint("a"), endpoint("b"))
            if self.covers_serving:
                freshness.response_received(self.now, asked, verdict)
            may_be_followed = freshness.may_be_followed(self.now)
        self.assertTrue(may_be_followed)


if __name__ == "__main__":
    unittest.main()
