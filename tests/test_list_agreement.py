"""Which list of engines is in force, by the serial numbers and contents of the responses."""

import unittest

from spurdeal.interface import Life, Verdict
from spurdeal.list_agreement import RENUMBERED_AFTER, RETURN_HOLD, ListState, assess
from spurdeal.net.engine_list import Endpoint


def endpoint(ident: str, life: Life = Life.READY, started: float = 0.0, weight: float = 1.0) -> Endpoint:
    """Builds the entry of one engine."""
    return Endpoint(ident, "127.0.9.1", 7001, "east", "std", 0, life, weight, started)


def listed(*endpoints: Endpoint) -> dict[str, Endpoint]:
    """Builds a list of these entries."""
    return {each.ident: each for each in endpoints}


A, B, C = endpoint("a"), endpoint("b"), endpoint("c")
A_DRAINS, B_DRAINS = (each._replace(life=Life.DRAINING) for each in (A, B))


class Agreeing(unittest.TestCase):
    """Responses with higher, equal and lower numbers than the list in force."""

    def setUp(self) -> None:
        self.list_state = ListState.of(5, listed(A, B))
        self.now = 0.0

    def answer(self, number: int, *endpoints: Endpoint, asked_at: float | None = None) -> Verdict:
        """Assesses a response, 200 ms after the last one, to a query sent 1 ms ago by default."""
        self.now += 200.0
        asked_at = self.now - 1.0 if asked_at is None else asked_at
        found = assess(self.list_state, number, listed(*endpoints), asked_at, self.now)
        self.list_state = found.list_state
        self.query_soon, self.covers_serving = found.query_soon, found.covers_serving
        return found.verdict

    def in_force(self) -> dict[str, str]:
        """Returns the state of each engine in the list in force."""
        return {ident: each.life.name for ident, each in self.list_state.in_force.items()}

    def test_the_list_in_force_is_confirmed_whatever_its_weights(self) -> None:
        self.assertEqual(self.answer(5, B, A._replace(weight=3.0)), Verdict.CONFIRMED)
        self.assertEqual((self.query_soon, self.covers_serving), (False, True))

    def test_a_newer_list_that_takes_away_is_in_force_as_a_whole(self) -> None:
        self.assertEqual(self.answer(6, A_DRAINS), Verdict.NEWER)
        self.assertEqual(self.in_force(), {"a": "DRAINING"})
        self.assertFalse(self.query_soon)

    def test_an_engine_that_joins_gets_requests_after_a_second_response(self) -> None:
        self.assertEqual(self.answer(6, A_DRAINS, B, C), Verdict.NEWER)
        self.assertEqual(self.in_force(), {"a": "DRAINING", "b": "READY"})
        self.assertTrue(self.query_soon)
        self.assertEqual(self.answer(6, A_DRAINS, B, C), Verdict.CONFIRMED)
        self.assertEqual(self.in_force(), {"a": "DRAINING", "b": "READY", "c": "READY"})

    def test_an_engine_reported_twice_gets_requests_while_others_join(self) -> None:
        joined = [endpoint(f"n{number}") for number in range(5)]
        for number in range(1, 6):
            self.answer(5 + number, A, B, *joined[:number])
            self.assertEqual(list(self.in_force()), ["a", "b", *(f"n{old}" for old in range(number - 1))])

    def test_an_engine_that_has_drained_gets_requests_after_the_hold(self) -> None:
        self.answer(6, A_DRAINS, B)
        self.answer(7, A, B)
        held_until = self.now + RETURN_HOLD
        while self.now <= held_until:
            self.assertEqual(self.in_force(), {"a": "DRAINING", "b": "READY"})
            self.answer(7, A, B)
            self.assertFalse(self.query_soon)
        self.answer(7, A, B)
        self.assertEqual(self.in_force(), {"a": "READY", "b": "READY"})

    def test_a_number_that_is_too_high_does_not_revert_a_drain(self) -> None:
        self.answer(6, A_DRAINS, B)
        for _ in range(2):
            self.answer(41, A, B)
        for _ in range(RENUMBERED_AFTER):
            self.answer(6, A_DRAINS, B)
        self.assertEqual((self.list_state.number, self.in_force()), (6, {"a": "DRAINING", "b": "READY"}))

    def test_a_late_response_to_an_earlier_query_does_not_count_as_a_second_one(self) -> None:
        self.answer(6, A, B, C, asked_at=150.0)
        self.assertEqual(self.answer(6, A, B, C, asked_at=100.0), Verdict.CONFIRMED)
        self.assertEqual(self.in_force(), {"a": "READY", "b": "READY"})

    def test_another_list_of_the_same_number_is_in_force(self) -> None:
        self.assertEqual(self.answer(5, A, B_DRAINS), Verdict.NEWER)
        self.assertEqual(self.in_force(), {"a": "READY", "b": "DRAINING"})

    def test_an_older_list_drains_what_drains_there(self) -> None:
        self.assertEqual(self.answer(4, A_DRAINS, B), Verdict.OLDER)
        self.assertEqual((self.query_soon, self.covers_serving), (True, True))
        self.assertEqual(self.in_force(), {"a": "DRAINING", "b": "READY"})
        self.answer(5, A, B)
        self.assertEqual(self.in_force(), {"a": "DRAINING", "b": "READY"})

    def test_an_older_list_without_an_engine_changes_nothing_for_it(self) -> None:
        for _ in range(10):
            for _ in range(RENUMBERED_AFTER - 1):
                self.assertEqual(self.answer(4, A), Verdict.OLDER)
                self.assertEqual((self.query_soon, self.covers_serving), (True, False))
            self.assertEqual(self.in_force(), {"a": "READY", "b": "READY"})
            self.assertEqual(self.answer(5, A, B), Verdict.CONFIRMED)

    def test_an_older_list_with_all_engines_settles_its_query(self) -> None:
        self.answer(5, A, B)
        self.assertEqual(self.answer(1000, A, B), Verdict.NEWER)
        self.assertEqual(self.answer(5, A, B), Verdict.OLDER)
        self.assertTrue(self.covers_serving)

    def test_an_older_list_in_response_to_an_overtaken_query_is_no_contradiction(self) -> None:
        self.answer(5, A, B)
        for _ in range(RENUMBERED_AFTER):
            self.assertEqual(self.answer(4, A_DRAINS, asked_at=10.0), Verdict.OLDER)
            self.assertEqual(self.in_force(), {"a": "DRAINING", "b": "READY"})
        self.assertEqual(self.list_state.contradictions, 0)

    def renumber(self, *endpoints: Endpoint) -> None:
        """Passes consecutive responses with a list of number 2, until it is adopted."""
        for _ in range(RENUMBERED_AFTER - 1):
            self.answer(2, *endpoints)
        self.assertEqual(self.answer(2, *endpoints), Verdict.NEWER)
        self.assertEqual(self.list_state.number, 2)

    def test_older_lists_in_a_row_show_that_the_number_in_force_was_wrong(self) -> None:
        self.renumber(A_DRAINS, B)
        self.assertEqual(self.in_force(), {"a": "DRAINING", "b": "READY"})
        self.assertEqual(self.answer(3, A_DRAINS, B_DRAINS), Verdict.NEWER)

    def test_additions_of_an_adopted_older_list_take_effect_after_the_hold(self) -> None:
        self.answer(6, A_DRAINS, B)
        self.renumber(A, B, C)
        held_until = self.now + RETURN_HOLD
        self.answer(3, A, B, C, endpoint("d"))
        while self.now <= held_until:
            self.assertEqual(self.in_force().get("a"), "DRAINING")
            self.assertNotIn("c", self.in_force())
            self.answer(3, A, B, C, endpoint("d"))
        self.answer(3, A, B, C, endpoint("d"))
        self.assertEqual(self.in_force(), dict.fromkeys("abcd", "READY"))

    def test_engines_missing_in_an_adopted_older_list_drain_during_the_hold(self) -> None:
        self.renumber(A)
        self.assertEqual(self.in_force(), {"a": "READY", "b": "DRAINING"})
        self.now += RETURN_HOLD
        self.answer(2, A)
        self.assertEqual(self.in_force(), {"a": "READY"})

    def test_a_restarted_engine_stays_in_force(self) -> None:
        self.assertEqual(self.answer(6, A, endpoint("b", started=9.0)), Verdict.NEWER)
        self.assertEqual(self.in_force(), {"a": "READY", "b": "READY"})


if __name__ == "__main__":
    unittest.main()
