"""The lease on the list: queries that cannot be sent, lost and unusable responses, silence."""

import unittest
from unittest.mock import patch

from spurdeal.answer_times import BACKOFF, INITIAL_RETRANSMIT, MAX_BACKOFF, MAX_RETRANSMIT, MIN_RETRANSMIT
from spurdeal.interface import Verdict
from spurdeal.lab import name_server
from spurdeal.list_freshness import (
    INITIAL_LEASE,
    MAX_OPEN_QUERY_TIMES,
    MAX_QUERY_GAP,
    PROPAGATION_LIMIT,
    SETTLING_RESPONSES,
    ListFreshness,
    StaleReason,
)
from spurdeal.net.service import Service
from spurdeal.slow_start import MAX_PROPAGATION_DELAY
from tests.helpers import LIST_CONFIRMED_MS, LIST_SETTLED_MS, Caller, World

GRACE = 250.0
MEAN = 0.5  # no jitter


class Lease(unittest.TestCase):
    """The lease, by the send times of queries and the responses to them."""

    def setUp(self) -> None:
        self.list = ListFreshness(GRACE)

    def confirm(self, at: float) -> None:
        """Sends a query; its response confirms the list at once."""
        self.list.query_sent(at)
        self.list.response_received(at, at, Verdict.CONFIRMED)

    def query_until(self, end: float) -> None:
        """Sends a query every 200 ms, all unanswered."""
        for at in range(0, int(end) + 1, 200):
            self.list.query_sent(float(at))

    def test_a_list_without_a_name_server_may_always_be_followed(self) -> None:
        self.assertTrue(self.list.may_be_followed(1e9))

    def test_lasting_silence_ends_the_lease(self) -> None:
        self.confirm(0.0)
        self.query_until(20_000)
        self.assertTrue(self.list.may_be_followed(GRACE / 2))
        for now in (GRACE / 2 + 1.0, 1001.0 + GRACE / 2, 6000.0, MAX_PROPAGATION_DELAY + GRACE / 2, 20_100.0):
            self.assertEqual(self.list.stale_reason(now), StaleReason.UNANSWERED, now)

    def test_the_lease_starts_when_the_answered_query_was_sent(self) -> None:
        self.confirm(0.0)
        self.list.query_sent(100.0)
        self.list.response_received(5000.0, 100.0, Verdict.CONFIRMED)
        self.assertTrue(self.list.may_be_followed(100.0 + MAX_QUERY_GAP))
        self.assertEqual(self.list.stale_reason(101.0 + MAX_QUERY_GAP), StaleReason.UNASKED)

    def test_the_lease_ends_while_no_query_can_be_sent(self) -> None:
        self.list.query_sent(0.0)
        self.list.response_received(1.0, 0.0, Verdict.CONFIRMED)
        self.assertTrue(self.list.may_be_followed(MAX_QUERY_GAP))
        self.assertFalse(self.list.may_be_followed(MAX_QUERY_GAP + 1))

    def test_after_that_only_responses_restore_the_lease(self) -> None:
        self.list.query_sent(0.0)
        self.list.response_received(1.0, 0.0, Verdict.CONFIRMED)
        for at in range(3000, 20_000, 100):
            self.list.query_sent(float(at))
            self.assertEqual(self.list.stale_reason(at + 1.0), StaleReason.UNASKED)
        self.answer_consecutively(20_000.0, SETTLING_RESPONSES)
        self.assertTrue(self.list.may_be_followed(20_000.0 + SETTLING_RESPONSES * 40.0))

    def test_an_unanswered_query_ends_the_lease_as_its_response_may_hold_a_change(self) -> None:
        self.list.query_sent(0.0)
        self.list.response_received(2.0, 0.0, Verdict.CONFIRMED)
        for at in (200.0, 280.0, 300.0):
            self.list.query_sent(at)
        self.assertIsNone(self.list.stale_reason(200.0 + GRACE / 2))
        self.assertEqual(self.list.stale_reason(201.0 + GRACE / 2), StaleReason.UNANSWERED)
        self.list.response_received(330.0, 280.0, Verdict.NEWER)
        self.assertEqual(self.list.stale_reason(330.0), StaleReason.UNANSWERED)
        for at in range(350, 1301, 50):
            self.list.query_sent(float(at))
        for now in (1300.0, 1301.0, 2000.0):
            self.assertEqual(self.list.stale_reason(now), StaleReason.UNANSWERED)

    def answer_consecutively(self, first: float, count: int) -> None:
        """Sends so many queries, 40 ms apart; each response confirms the list 1 ms later."""
        for number in range(count):
            self.list.query_sent(first + 40.0 * number)
            self.list.response_received(first + 40.0 * number + 1.0, first + 40.0 * number, Verdict.CONFIRMED)

    def test_consecutive_responses_settle_an_unanswered_query(self) -> None:
        self.confirm(0.0)
        self.list.query_sent(200.0)
        self.answer_consecutively(240.0, SETTLING_RESPONSES - 1)
        self.assertEqual(self.list.stale_reason(500.0), StaleReason.UNANSWERED)
        self.assertTrue(self.list.has_unsettled_query())
        self.answer_consecutively(460.0, 1)
        self.assertIsNone(self.list.stale_reason(500.0))
        self.assertFalse(self.list.has_unsettled_query())

    def test_a_newer_list_starts_a_new_run(self) -> None:
        self.confirm(0.0)
        self.list.query_sent(200.0)
        self.answer_consecutively(240.0, SETTLING_RESPONSES - 1)
        self.list.query_sent(450.0)
        self.list.response_received(451.0, 450.0, Verdict.NEWER)
        self.answer_consecutively(460.0, SETTLING_RESPONSES - 2)
        self.assertEqual(self.list.stale_reason(700.0), StaleReason.UNANSWERED)
        self.answer_consecutively(700.0, 1)
        self.assertIsNone(self.list.stale_reason(710.0))

    def test_another_unanswered_query_starts_a_new_run(self) -> None:
        self.confirm(0.0)
        self.list.query_sent(200.0)
        self.answer_consecutively(240.0, SETTLING_RESPONSES - 1)
        self.list.query_sent(450.0)
        self.answer_consecutively(460.0, SETTLING_RESPONSES - 1)
        self.assertEqual(self.list.stale_reason(700.0), StaleReason.UNANSWERED)
        self.answer_consecutively(700.0, 1)
        self.assertIsNone(self.list.stale_reason(710.0))

    def test_a_late_response_settles_its_query(self) -> None:
        self.confirm(0.0)
        self.list.query_sent(200.0)
        self.answer_consecutively(240.0, 1)
        self.assertEqual(self.list.stale_reason(400.0), StaleReason.UNANSWERED)
        self.list.response_received(401.0, 200.0, Verdict.CONFIRMED)
        self.assertIsNone(self.list.stale_reason(401.0))

    def test_responses_of_a_new_name_server_settle_nothing_while_it_may_lag(self) -> None:
        self.confirm(0.0)
        self.list.query_sent(200.0)
        self.list.name_server_changed()
        self.answer_consecutively(210.0, 30)
        self.assertEqual(self.list.stale_reason(1500.0), StaleReason.UNANSWERED)
        self.answer_consecutively(200.0 + PROPAGATION_LIMIT, 1)
        self.assertIsNone(self.list.stale_reason(201.0 + PROPAGATION_LIMIT))

    def test_many_unanswered_queries_end_the_lease(self) -> None:
        for number in range(40):
            self.assertEqual(
                number >= 2, self.list.stale_reason(100.0 * number) is StaleReason.UNANSWERED, number
            )
            self.list.query_sent(100.0 * number)

    def test_the_response_to_one_query_does_not_settle_another(self) -> None:
        self.list.query_sent(0.0)
        self.list.query_sent(50.0)
        self.list.response_received(60.0, 50.0, Verdict.CONFIRMED)
        self.assertEqual(list(self.list.open_query_times), [0.0])
        self.list.response_received(400.0, 0.0, Verdict.CONFIRMED)
        self.list.query_sent(400.0)
        self.assertEqual(list(self.list.open_query_times), [400.0])

    def test_a_late_response_to_an_overtaken_query_does_not_count_as_a_response_time(self) -> None:
        self.list.query_sent(0.0)
        self.list.query_sent(10_000.0)
        self.list.response_received(10_002.0, 10_000.0, Verdict.CONFIRMED)
        self.list.response_received(10_003.0, 0.0, Verdict.CONFIRMED)
        self.assertEqual(self.list.retransmit_after(MEAN), MIN_RETRANSMIT)

    def test_retransmission_backs_off_until_a_response(self) -> None:
        self.list.query_sent(0.0)
        self.assertEqual(self.list.retransmit_after(MEAN), INITIAL_RETRANSMIT)
        self.list.response_received(2.0, 0.0, Verdict.CONFIRMED)
        pauses = list[float]()
        for number in range(100):
            self.list.query_sent(200.0 + number)
            pauses.append(self.list.retransmit_after(MEAN))
        self.assertEqual(pauses[:4], [MIN_RETRANSMIT * BACKOFF**step for step in range(4)])
        self.assertEqual(set(pauses[4:]), {MAX_BACKOFF})
        self.list.response_received(301.0, 299.0, Verdict.CONFIRMED)
        self.list.query_sent(302.0)
        self.assertEqual(self.list.retransmit_after(MEAN), MIN_RETRANSMIT)

    def test_retransmission_has_jitter(self) -> None:
        self.list.query_sent(0.0)
        shortest, longest = self.list.retransmit_after(0.0), self.list.retransmit_after(1.0)
        self.assertEqual((shortest, longest), (0.75 * INITIAL_RETRANSMIT, 1.25 * INITIAL_RETRANSMIT))

    def test_with_a_slow_name_server_the_lease_holds_between_a_response_and_the_next_query(self) -> None:
        for asked in range(0, 5000, 500):
            self.list.query_sent(float(asked))
            self.assertEqual(self.list.stale_reason(asked + 1.0 + GRACE / 2), StaleReason.UNANSWERED)
            self.list.response_received(asked + 400.0, float(asked), Verdict.CONFIRMED)
            self.assertIsNone(self.list.stale_reason(asked + 500.0))
        self.assertEqual(self.list.retransmit_after(MEAN), MAX_RETRANSMIT)

    def test_retransmission_adapts_to_a_name_server_that_is_fast_again(self) -> None:
        for number in range(10):
            self.list.query_sent(200.0 * number)
            self.list.response_received(200.0 * number + 400.0, 200.0 * number, Verdict.CONFIRMED)
        for number in (15, 16):
            self.list.query_sent(200.0 * number)
            self.list.response_received(200.0 * number + 2.0, 200.0 * number, Verdict.CONFIRMED)
        self.list.query_sent(3400.0)
        self.assertEqual(self.list.retransmit_after(MEAN), MIN_RETRANSMIT)
        self.assertEqual(self.list.stale_reason(3401.0 + GRACE / 2), StaleReason.UNANSWERED)

    def test_send_times_are_bounded_and_the_oldest_and_latest_are_kept(self) -> None:
        self.query_until(100_000)
        self.assertEqual(len(self.list.open_query_times), MAX_OPEN_QUERY_TIMES)
        self.assertEqual((self.list.open_query_times[0], self.list.open_query_times[-1]), (0.0, 100_000.0))

    def test_the_lease_ends_while_sockets_are_not_polled(self) -> None:
        self.list.polled_at = lambda: 1000.0
        self.list.query_sent(1000.0)
        self.assertTrue(self.list.may_be_followed(1000.0 + GRACE / 2))
        self.assertFalse(self.list.may_be_followed(1001.0 + GRACE / 2))

    def test_without_a_drain_grace_the_list_may_always_be_followed(self) -> None:
        free = ListFreshness(0.0)
        free.polled_at = lambda: 0.0
        free.query_sent(0.0)
        self.assertTrue(free.may_be_followed(60_000.0))

    def test_a_process_suspended_before_its_first_query(self) -> None:
        self.list.initial_list_read(0.0)
        self.assertFalse(self.list.may_be_followed(60_000.0))
        self.list.query_sent(60_000.0)
        self.assertFalse(self.list.may_be_followed(60_000.0))

    def test_the_initial_lease_allows_for_the_age_of_the_configuration(self) -> None:
        self.list.initial_list_read(0.0)
        self.assertTrue(self.list.may_be_followed(INITIAL_LEASE))
        self.assertEqual(self.list.stale_reason(INITIAL_LEASE + 1.0), StaleReason.UNASKED)
        self.list.query_sent(INITIAL_LEASE + 2.0)
        self.assertEqual(self.list.stale_reason(INITIAL_LEASE + 3.0), StaleReason.UNASKED)
        self.list.response_received(INITIAL_LEASE + 4.0, INITIAL_LEASE + 2.0, Verdict.CONFIRMED)
        self.assertTrue(self.list.may_be_followed(INITIAL_LEASE + 4.0))

    def test_an_older_list_settles_its_query_and_ends_the_run(self) -> None:
        self.confirm(0.0)
        self.list.query_sent(200.0)
        self.answer_consecutively(240.0, SETTLING_RESPONSES - 1)
        self.list.query_sent(450.0)
        self.list.response_received(451.0, 450.0, Verdict.OLDER)
        self.assertEqual(list(self.list.open_query_times), [200.0])
        self.answer_consecutively(460.0, SETTLING_RESPONSES - 1)
        self.assertEqual(self.list.stale_reason(700.0), StaleReason.UNANSWERED)
        self.answer_consecutively(700.0, 1)
        self.assertIsNone(self.list.stale_reason(710.0))

    def test_a_pending_query_is_not_an_unsettled_one(self) -> None:
        self.confirm(0.0)
        self.list.query_sent(200.0)
        self.assertFalse(self.list.has_unsettled_query())
        self.answer_consecutively(240.0, 1)
        self.assertTrue(self.list.has_unsettled_query())


class OfADispatcher(unittest.TestCase):
    """The lease of a dispatcher with a simulated name server."""

    def test_a_response_with_a_bad_record_confirms_nothing(self) -> None:
        world = World(self, engines=2)
        world.names_silent = True
        world.go(210)
        world.answer(2, ("s-0.east.hosts", "127.0.9.0:7001", 1, "cell=x"))
        self.assertEqual(world.count("names_bad"), 1)
        world.go(130)
        freshness = world.service.adapter.rules.freshness
        self.assertEqual(freshness.stale_reason(world.now()), StaleReason.UNANSWERED)

    def test_a_list_that_is_stale_at_startup_is_used_after_the_first_responses(self) -> None:
        def wait(service: Service, world: World) -> None:
            world.names_silent = True
            world.reactor.advance(4.0)

        world = World(self, before=wait)
        Caller(world).post(1)
        world.go(100)
        self.assertEqual(world.reactor.tcpClients, [])
        joined = ("s-1.east.hosts", "127.0.9.1:7001", 0, "kind=std cell=0 started=0")
        world.answer(2, joined)
        world.go(LIST_CONFIRMED_MS)
        self.assertEqual(world.reactor.tcpClients, [])
        world.answer(2, joined)
        world.go(LIST_CONFIRMED_MS)
        self.assertEqual(world.reactor.tcpClients, [])
        world.names_silent = False
        world.go(LIST_SETTLED_MS)
        self.assertEqual([client[0] for client in world.reactor.tcpClients], ["127.0.9.1"])

    def test_a_response_to_a_query_of_a_predecessor_is_foreign(self) -> None:
        with patch("spurdeal.net.names.secrets.randbelow", side_effect=(7, 4000)):
            before, world = World(self), World(self)
        world.service.names.datagramReceived(name_server.answer(before.names[-1], 9), ("127.0.8.9", 5300))
        self.assertEqual((world.count("names_foreign"), world.service.names.number), (1, 1))

    def test_after_a_response_the_next_query_follows_at_the_usual_interval(self) -> None:
        world = World(self)
        before = world.count("names_asked")
        world.go(2000)
        self.assertLessEqual(abs(world.count("names_asked") - before - 10), 1)


if __name__ == "__main__":
    unittest.main()
