"""Log lines and counters of requests, engine states, discovery and the wall clock."""

import io
import unittest

from spurdeal.interface import EndReason
from spurdeal.net.counters import Counters
from spurdeal.net.limited_log import MAX_LINES, WINDOW, LimitedLog
from spurdeal.net.logs import logger
from spurdeal.net.wall_clock import WallClockWatch
from tests.helpers import Caller, World

DRAINING = ("s-0.east.hosts", "127.0.9.0:7001", 1, "kind=std cell=0 started=0")


class Lines(unittest.TestCase):
    """Log lines of a dispatcher on in-memory transports."""

    def lines(self, world: World, event: str) -> list[str]:
        return [line for line in world.log.getvalue().splitlines() if f"event={event} " in line]

    def test_a_retry_is_logged_with_its_id_and_reason(self) -> None:
        world = World(self, engines=2)
        Caller(world).post(7)
        world.peer().up().say(7, "500")
        (line,) = self.lines(world, "attempt_retried")
        for part in (f"id={7:016x}", "workload=lookup", "attempt=1", "before=error", "attempts_out=0"):
            self.assertIn(part, line)
        self.assertEqual(world.count("attempts_further"), 1)

    def test_a_failed_attempt_of_a_non_idempotent_request_is_logged(self) -> None:
        world = World(self, engines=2)
        caller = Caller(world)
        caller.post(7, "load")
        world.peer().up().lose()
        (line,) = self.lines(world, "attempt_failed")
        self.assertIn("ending=reset", line)
        (line,) = self.lines(world, "request_aborted")
        self.assertIn(f"reason={EndReason.MAY_HAVE_RUN}", line)
        self.assertEqual(world.count("request_aborted_may_have_run"), 1)

    def test_a_refusal_is_logged_with_its_reason(self) -> None:
        world = World(self)
        caller = Caller(world)
        caller.post(7, wait=60)
        self.assertEqual(caller.answers()[0][0], 503)
        (line,) = self.lines(world, "request_refused")
        self.assertIn(f"reason={EndReason.NO_TIME}", line)

    def test_state_changes_of_servers_are_logged(self) -> None:
        world = World(self, engines=2)
        world.list(2, DRAINING)
        logged = {line.split("server=")[1].split(" started")[0] for line in self.lines(world, "server_state")}
        self.assertEqual(
            logged,
            {
                "s-0 before=gone after=ready",
                "s-1 before=gone after=ready",
                "s-0 before=ready after=draining",
                "s-1 before=ready after=gone",
            },
        )

    def test_silent_discovery_and_its_recovery_are_logged(self) -> None:
        world = World(self)
        world.list(1)
        world.names_silent = True
        world.go(1900)
        self.assertEqual(self.lines(world, "discovery_silent"), [])
        world.go(3000)
        self.assertEqual(len(self.lines(world, "discovery_silent")), 1)
        world.list(2, DRAINING)
        (line,) = self.lines(world, "discovery_answers_again")
        self.assertRegex(line, r"after_ms=5[01]\d\d\.")
        self.assertGreaterEqual(world.count("names_longest_silence_ms"), 4900)


class RateLimit(unittest.TestCase):
    """The rate limit of log lines."""

    def test_lines_above_the_limit_are_counted(self) -> None:
        stream, now = io.StringIO(), [0.0]
        log = LimitedLog(logger("n1", stream), lambda: now[0])
        for _ in range(MAX_LINES + 5):
            log.write("one")
        log.write("other")
        self.assertEqual(stream.getvalue().count("event=one"), MAX_LINES)
        self.assertEqual(stream.getvalue().count("event=other"), 1)
        now[0] = WINDOW
        log.write("one")
        self.assertIn("event=one lines_left_out=5", stream.getvalue())


class WallClock(unittest.TestCase):
    """Steps of the wall clock are logged and counted; slow drift is not."""

    def test_steps_forward_and_back(self) -> None:
        wall, steady, counters, stream = [1e12], [5.0], Counters(), io.StringIO()
        watch = WallClockWatch(lambda: wall[0], lambda: steady[0], counters, logger("n1", stream))
        for step, logged in ((0.0, 0), (20.0, 0), (20_000.0, 1), (-3_600_000.0, 2)):
            steady[0] += 250.0
            wall[0] += 250.0 + step
            watch.check()
            self.assertEqual(stream.getvalue().count("event=wall_clock_stepped"), logged)
        self.assertEqual(counters.sums["wall_clock_steps"], 2)
        self.assertEqual(counters.sums["wall_clock_largest_step_ms"], 3_600_000)


if __name__ == "__main__":
    unittest.main()
