"""Start times in a list of another clock: slow start is applied, and ends in time."""

import unittest
from typing import Any

from spurdeal.slow_start import MAX_PROPAGATION_DELAY, StartTimes, connected_before_restart
from tests.helpers import BASE, LIST_CONFIRMED_MS, SETTINGS, Caller, World, instance

HOUR = 3_600_000.0
COLD = SETTINGS["rules"]["cold"]


class Began(unittest.TestCase):
    """Start times on the dispatcher's clock."""

    def test_the_bounds_of_a_start(self) -> None:
        cases = (
            ("long ago", 0.0, 0.0),
            ("as reported", 995.0, 995.0),
            ("before the last list without it", 910.0, 990.0),
            ("far in the past, as our clock is ahead", 1000.0 - HOUR, 990.0),
            ("in the future, as our clock is behind", 1000.0 + HOUR, 1000.0),
        )
        for name, reported, expected in cases:
            with self.subTest(name):
                starts = StartTimes()
                starts.convert_list(950.0, {"a": 950.0})  # which proves that our clock is not ahead
                starts.confirm(990.0)
                self.assertEqual(starts.convert_list(1000.0, {"a": 950.0, "b": reported})["b"], expected)

    def test_the_latest_start_bounds_by_how_much_our_clock_is_ahead(self) -> None:
        for off in (0.0, 20_000.0, HOUR):
            with self.subTest(off):
                starts, now = StartTimes(), 1e12
                began = starts.convert_list(now, {"a": 0.0, "b": now - off - 9000.0, "c": now - off - 2000.0})
                self.assertEqual(began, {"a": 0.0, "b": now - 7000.0, "c": now})
                later = starts.convert_list(now + 500.0, {"b": now - off - 9000.0, "d": now - off + 400.0})
                self.assertEqual(later, {"b": now - 7000.0, "d": now + 500.0})
                self.assertEqual(starts.max_clock_lead, off + 100.0)

    def test_one_start_in_the_future_does_not_age_the_others(self) -> None:
        starts = StartTimes()
        began = starts.convert_list(1e9, {"a": 1e9 + HOUR, "b": 1e9 - 3000.0})
        self.assertEqual(began, {"a": 1e9, "b": 1e9 - 3000.0})

    def test_a_start_keeps_its_time_while_its_reported_time_is_the_same(self) -> None:
        starts = StartTimes()
        starts.convert_list(100.0, {"a": 0.0})
        starts.confirm(200.0)
        self.assertEqual(starts.convert_list(300.0, {"a": 0.0, "b": 300.0}), {"a": 0.0, "b": 300.0})
        starts.confirm(400.0)
        self.assertEqual(starts.convert_list(500.0, {"b": 300.0}), {"b": 300.0})
        self.assertEqual(starts.convert_list(600.0, {"b": 301.0}), {"b": 500.0})
        self.assertEqual(list(starts.starts), ["b"])

    def test_which_connections_lead_to_a_process_that_is_gone(self) -> None:
        self.assertTrue(connected_before_restart(opened=10.0, started=20.0, now=30.0))
        self.assertFalse(connected_before_restart(opened=25.0, started=20.0, now=30.0))
        now = 100_000.0
        self.assertFalse(
            connected_before_restart(now - MAX_PROPAGATION_DELAY + 1, started=now + HOUR, now=now)
        )
        self.assertTrue(
            connected_before_restart(now - MAX_PROPAGATION_DELAY - 1, started=now + HOUR, now=now)
        )


class Budgets(unittest.TestCase):
    """Slow start in a dispatcher whose clock differs by up to an hour."""

    def known(self, started: float) -> dict[str, Any]:
        instances = [instance(0, startedAtMs=started), instance(1)]
        roster = {"generation": 1, "reset": True, "instances": instances}
        return {"known": {"no": 1, "items": [{"no": 1, "roster": roster}]}}

    def cold_for(self, world: World, ident: str) -> float:
        """Returns for how many ms slow start still limits an engine."""
        rules = world.service.adapter.rules
        return float(rules.engines[world.service.adapter.index.indices[ident]].slow_start_until - world.now())

    def test_in_the_list_of_the_start(self) -> None:
        for off in (HOUR, 20_000.0, -HOUR):
            with self.subTest(off):
                world = World(self, **self.known(BASE - off))
                self.assertEqual(self.cold_for(world, "s-0"), COLD)
                self.assertLess(self.cold_for(world, "s-1"), 0.0)

    def test_one_that_joins_later(self) -> None:
        for off in (HOUR, 20_000.0, 0.0, -HOUR):
            with self.subTest(off):
                world = World(self)
                world.list(1)  # the list in force is confirmed
                joined = world.now()
                text = f"kind=std cell=0 started={joined - off:.0f}"
                rows = [("s-0.east.hosts", "127.0.9.0:7001", 0, "kind=std cell=0 started=0")]
                world.list(2, *rows, ("s-9.east.hosts", "127.0.9.9:7001", 0, text))
                world.go(LIST_CONFIRMED_MS)
                self.assertTrue(
                    COLD - 250 <= self.cold_for(world, "s-9") <= COLD, self.cold_for(world, "s-9")
                )
                world.go(COLD)
                self.assertLessEqual(self.cold_for(world, "s-9"), 0.0)

    def test_a_restart_with_a_clock_ahead_sends_no_more_than_slow_start_allows(self) -> None:
        """Right after a restart of the dispatcher, an engine that may have just started gets no requests."""
        world = World(self, **self.known(BASE - HOUR))
        for number in range(12):
            Caller(world).post(number)
        cold = [client for client in world.reactor.tcpClients if client[0] == "127.0.9.0"]
        self.assertEqual(cold, [])

    def test_a_connection_to_a_restarted_engine_while_our_clock_is_behind(self) -> None:
        world = World(self)
        caller = Caller(world)
        caller.post(1, "load")
        peer = world.peer().up()
        text = f"kind=std cell=0 started={world.now() + HOUR:.0f}"
        world.list(2, ("s-0.east.hosts", "127.0.9.0:7001", 0, text))
        self.assertFalse(peer.pipe.aborted)  # it may lead to the new process: its attempt is not cut
        peer.say(1, "200", "parts=1", b"a\t1\tx\n")
        self.assertEqual([status for status, _, _ in caller.answers()], [200])


if __name__ == "__main__":
    unittest.main()
