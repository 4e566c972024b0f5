"""Orders of answers found in review after which the list is followed, or not, against what was told."""

import unittest
from unittest.mock import patch

from spurdeal.interface import Life, Verdict
from spurdeal.lab import names
from spurdeal.list_agreement import RENUMBERED_AFTER, ListState, assess, same_process_and_state
from spurdeal.list_freshness import PROPAGATION_LIMIT, SETTLING_RESPONSES, ListFreshness
from spurdeal.net.engine_list import Endpoint
from tests.helpers import World

GRACE, SLACK = 250.0, 50.0  # ms, as the settings and the protocol page have them
NAMES_AT = ("127.0.8.9", 5300)
Record = tuple[str, str, int, str]


def record(place: int, draining: bool = False) -> Record:
    """One engine of an answer."""
    return (f"s-{place}.east.hosts", f"127.0.9.{place}:7001", int(draining), "kind=std cell=0 started=0")


ALL_READY = (record(0), record(1))
ONE_DRAINS = (record(0), record(1, draining=True))


class Answered(unittest.TestCase):
    """A dispatcher with two engines whose questions are answered by hand."""

    def setUp(self) -> None:
        self.world = World(self, engines=2)
        self.world.names_silent = True
        self.told(1, ALL_READY, *range(len(self.world.names)))
        self.world.go(400)
        self.told(1, ALL_READY, -1)

    def told(self, serial: int, records: tuple[Record, ...], *questions: int) -> None:
        """Each of these questions is answered now."""
        for place in questions:
            answer = names.answer(self.world.names[place], serial, *records)
            self.world.service.names.datagramReceived(answer, NAMES_AT)
        self.world.go()

    def next_question(self) -> float:
        """Waits for one; when it left."""
        asked = len(self.world.names)
        while len(self.world.names) == asked:
            self.world.go(5)
        return self.world.now()

    def settle(self) -> None:
        """The name service answers each question at once, until the list is followed."""
        for _ in range(2 * SETTLING_RESPONSES):
            self.next_question()
            self.told(1, ALL_READY, -1)
        self.assertTrue(self.may_be_followed())

    def may_be_followed(self) -> bool:
        """Whether requests may be sent by the list."""
        return self.world.service.adapter.rules.freshness.may_be_followed(self.world.now())

    def may_get(self, place: int) -> bool:
        """Whether an attempt at that engine may begin now."""
        endpoint = self.world.service.adapter.endpoints.get(f"s-{place}")
        return self.may_be_followed() and endpoint is not None and endpoint.life == Life.READY

    def check_never_sent(
        self, place: int, sent: float, until: float, serial: int, lag: tuple[Record, ...]
    ) -> None:
        """From the end of the grace on, that engine gets nothing, while each answer tells an older list."""
        asked = len(self.world.names)
        while self.world.now() < until:
            self.world.go(5)
            if len(self.world.names) > asked:
                asked = len(self.world.names)
                self.told(serial, lag, -1)
            if self.world.now() > sent + GRACE + SLACK:
                self.assertFalse(self.may_get(place), f"{self.world.now() - sent:.0f} ms after it was told")


class Lost(Answered):
    """The answer that told a drain was lost; those behind it come from a replica that lags."""

    def test_a_list_that_is_newer_but_older_than_the_lost_one_settles_no_question(self) -> None:
        self.settle()
        sent = self.next_question()  # answered with 3, in which s-1 drains: lost
        self.next_question()
        self.told(2, ALL_READY, -1)  # newer than 1, and older than what was sent
        self.check_never_sent(1, sent, sent + PROPAGATION_LIMIT, 2, ALL_READY)

    def test_a_number_that_is_too_high_settles_no_question(self) -> None:
        self.settle()
        sent = self.next_question()  # answered with 2, in which s-1 drains: lost
        self.next_question()
        self.told(1000, ALL_READY, -1)
        while self.world.now() < sent + PROPAGATION_LIMIT:  # nothing more arrives
            self.world.go(5)
            if self.world.now() > sent + GRACE + SLACK:
                self.assertFalse(self.may_get(1), f"{self.world.now() - sent:.0f} ms after it was told")

    def test_lagging_answers_in_a_row_settle_no_question_while_a_replica_may_lag(self) -> None:
        self.settle()
        sent = self.next_question()  # answered with 2, in which s-1 drains: lost
        self.check_never_sent(1, sent, sent + PROPAGATION_LIMIT, 1, ALL_READY)


class Stalled(Answered):
    """The process loses its core while a question is handed to the system."""

    def test_a_question_counts_from_before_it_was_handed_over(self) -> None:
        self.settle()
        stall, write, sent = 0.2, self.world.write, list[float]()

        def slow_write(datagram: bytes, address: object) -> None:
            write(datagram, address)
            sent.append(self.world.now())
            if len(sent) == 1:
                self.world.reactor.rightNow += stall

        with patch.object(World, "sendto", staticmethod(slow_write)):
            self.next_question()  # answered at once with 2, in which s-1 drains: lost, as what follows
            while self.world.now() < sent[0] + PROPAGATION_LIMIT:
                if self.world.now() > sent[0] + GRACE + SLACK:
                    self.assertFalse(
                        self.may_get(1), f"{self.world.now() - sent[0]:.0f} ms after it was told"
                    )
                self.world.go(5)


class Comparing(Answered):
    """What each answer costs."""

    def test_a_list_that_stays_the_same_is_compared_once(self) -> None:
        self.settle()
        with patch(
            "spurdeal.list_agreement.same_process_and_state", side_effect=same_process_and_state
        ) as compared:
            for _ in range(10):
                self.next_question()
                self.told(1, ALL_READY, -1)
        self.assertLessEqual(compared.call_count, len(ALL_READY))


class Overtaken(Answered):
    """A drain arrives in an answer that a later question's answer has overtaken."""

    def test_a_drain_that_has_arrived_is_in_force_though_a_number_was_too_high(self) -> None:
        self.settle()
        sent = self.next_question()
        self.next_question()
        self.told(1000, ALL_READY, -1)
        self.told(2, ONE_DRAINS, -2)
        while self.world.now() < sent + PROPAGATION_LIMIT:  # nothing more arrives
            self.world.go(5)
            if self.world.now() > sent + GRACE + SLACK:
                self.assertFalse(self.may_get(1), f"{self.world.now() - sent:.0f} ms after it was told")


class InAFleet(Answered):
    """Peers tell lists too."""

    def test_a_number_that_is_too_high_hides_no_drain(self) -> None:
        self.world.service.names.peers_share_lists = True
        self.settle()
        self.next_question()
        self.told(1000, ALL_READY, -1)
        sent = self.next_question()
        self.told(2, ONE_DRAINS, -1)
        self.check_never_sent(1, sent, sent + 2 * PROPAGATION_LIMIT, 2, ONE_DRAINS)


class Slow(Answered):
    """Each answer takes its time."""

    def followed_part(self, takes: float) -> float:
        """In which part of the looks the list was followed, from 2 s on."""
        self.settle()
        due, seen, looks = list[tuple[float, int]](), len(self.world.names), list[bool]()
        began = self.world.now()
        while self.world.now() < began + 20_000.0:
            self.world.go(5)
            for place in range(seen, len(self.world.names)):
                due.append((self.world.now() + takes, place))
            seen = len(self.world.names)
            while due and due[0][0] <= self.world.now():
                self.told(1, ALL_READY, due.pop(0)[1])
            if self.world.now() > began + 2000.0:
                looks.append(self.may_be_followed())
        return sum(looks) / len(looks)

    def test_a_list_whose_answers_all_come_within_the_grace_is_followed_most_of_the_time(self) -> None:
        """What an answer holds is in force 200 ms after it was sent at the latest: nothing is late."""
        self.assertGreater(self.followed_part(200.0), 0.5)

    def test_a_list_whose_answers_all_take_700_ms_is_followed_at_times(self) -> None:
        self.assertGreater(self.followed_part(700.0), 0.0)


class Starting(unittest.TestCase):
    def test_a_list_of_the_start_that_is_a_second_old_is_not_followed_when_what_it_lacks_was_told(
        self,
    ) -> None:
        """An engine drains right behind the list; it is read 1 s later, and a question leaves 0.9 s later."""
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
        """One answer, 40 ms behind the last."""
        self.now += 40.0
        listed = {each.ident: each for each in endpoints}
        found = assess(self.list_state, number, listed, self.now - 1.0, self.now)
        self.list_state, self.covers_serving = found.list_state, found.covers_serving
        return found.verdict

    def life(self, ident: str) -> Life | None:
        """The state of an engine in force."""
        return self.list_state.in_force[ident].life if ident in self.list_state.in_force else None

    def test_a_change_during_the_hold_after_a_renumbering_releases_nothing_early(self) -> None:
        drains = endpoint("b", Life.DRAINING)
        self.answer(10, endpoint("a"), drains)
        told = self.now
        for _ in range(RENUMBERED_AFTER):  # from a replica that lags
            self.answer(7, endpoint("a"), endpoint("b"))
        while self.now < told + PROPAGATION_LIMIT:  # it goes on, and still lags
            self.answer(8, endpoint("a"), endpoint("b"), endpoint("c"))
            self.assertEqual(self.life("b"), Life.DRAINING, f"{self.now - told:.0f} ms after it was told")

    def test_two_old_lists_with_a_number_that_is_too_high_take_no_drain_back(self) -> None:
        self.answer(10, endpoint("a"), endpoint("b", Life.DRAINING))
        for _ in range(2):  # from before a restart
            self.answer(41, endpoint("a"), endpoint("b"))
        self.assertEqual(self.life("b"), Life.DRAINING)

    def test_an_engine_that_was_told_again_gets_requests_though_another_has_joined_meanwhile(self) -> None:
        joined = [endpoint("a"), endpoint("b")]
        for number in range(6, 56):  # 2 s
            joined.append(endpoint(f"n{number}"))
            self.answer(number, *joined)
        self.assertEqual(self.life("n6"), Life.READY)

    def test_two_numberings_in_turn_with_the_same_list_leave_it_followed(self) -> None:
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
