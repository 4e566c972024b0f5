"""The bench of slow starts: its meter, its table, a planted fault, and small runs with fixed seeds."""

import unittest
from dataclasses import replace
from unittest import mock

from click.testing import CliRunner

from spurdeal.cli.main import spurdeal
from spurdeal.lab import cold_ramp
from spurdeal.lab.cold_ramp import (
    IDLE_THEN_BURST,
    JOIN_AT,
    LIGHT_ONLY,
    SCENARIOS,
    Attempt,
    ColdWorld,
    Meter,
    Phase,
    Scenario,
    ToldAdapter,
    Verdict,
    play,
    summary,
    wilson,
)
from spurdeal.rules import Dispatcher, Engine
from spurdeal.running_mean import RunningMean

BY_NAME = {scenario.name: scenario for scenario in SCENARIOS}
SHORT = (Phase(JOIN_AT + 1_500.0, 0.7),)


class IgnoresItsShare(Dispatcher):
    """A planted fault: a cold engine gets every request, without regard to the slow-start budget."""

    def fits_slow_start(self, engine: Engine, work: float) -> bool:
        return True

    def admits(self, engine: Engine, threads: int, calm: bool, within: bool) -> bool:
        return engine.slow_start_until > self.now or super().admits(engine, threads, calm, within)


class MeterTests(unittest.TestCase):
    def meter(self) -> Meter:
        return Meter(allowed=900.0, mean_work=100.0, window=1_000.0)  # N = 9: 9 + 2 x 3 + 2 = 17 requests

    def test_the_engine_falls_beyond_n_plus_twice_its_root_plus_two(self) -> None:
        for work, fell in ((1_700.0, False), (1_701.0, True)):
            meter = self.meter()
            meter.reached(Attempt(0.0, work, True))
            self.assertEqual((meter.fell, meter.broken), (fell, fell))

    def test_the_window_slides(self) -> None:
        meter = self.meter()
        meter.reached(Attempt(0.0, 1_000.0, True))
        meter.reached(Attempt(1_000.0, 1_000.0, True))
        self.assertFalse(meter.fell)
        meter.reached(Attempt(1_999.0, 1_000.0, True))
        self.assertTrue(meter.fell)

    def test_a_fall_counts_as_a_break_if_over_two_thirds_came_from_told_dispatchers(self) -> None:
        for told, broken in ((1_200.0, False), (1_300.0, True)):
            meter = self.meter()
            meter.reached(Attempt(0.0, 1_800.0 - told, False))
            meter.reached(Attempt(1.0, told, True))
            self.assertEqual((meter.fell, meter.broken), (True, broken))

    def test_only_the_first_fall_counts(self) -> None:
        meter = self.meter()
        meter.reached(Attempt(0.0, 1_800.0, False))
        meter.reached(Attempt(5_000.0, 1_800.0, True))
        self.assertEqual((meter.fell, meter.broken, meter.total), (True, False, 1_800.0))


class SummaryTests(unittest.TestCase):
    def test_wilson_interval(self) -> None:
        low, high = wilson(0, 200)
        self.assertEqual(low, 0.0)
        self.assertAlmostEqual(high, 0.01885, 4)
        low, high = wilson(10, 20)
        self.assertAlmostEqual(low, 0.2993, 4)
        self.assertAlmostEqual(high, 0.7007, 4)

    def test_a_row_counts_breaks_and_falls_and_averages_use(self) -> None:
        verdicts = [Verdict(True, True, 1.25, 0.5), Verdict(False, True, 1.0, 0.3)]
        row = summary(BY_NAME["steady"], 20, verdicts)
        self.assertEqual((row["breaks"], row["share"], row["falls"]), (1, 0.5, 2))
        self.assertEqual((row["worst_ratio"], row["mean_use"]), (1.25, 0.4))

    def test_the_command_takes_a_seed_and_prints_rows(self) -> None:
        short = replace(BY_NAME["steady"], phases=SHORT)
        with mock.patch.multiple(cold_ramp, QUICK_SIZES=(2,), QUICK_SEEDS=1, SCENARIOS=(short,)):
            done = CliRunner().invoke(spurdeal, ["lab", "cold", "--json", "--quick", "--seed", "7"])
        self.assertEqual(done.exit_code, 0, done.output)
        self.assertIn('"seed": 7', done.output)
        self.assertIn('"scenario": "steady"', done.output)


class RunningMeanTests(unittest.TestCase):
    def test_the_guess_holds_until_the_first_sample_and_samples_count_alike(self) -> None:
        mean = RunningMean(300.0, 4)
        self.assertEqual(mean.value, 300.0)
        self.assertEqual([mean.add(sample) for sample in (10.0, 20.0, 30.0)], [10.0, 15.0, 20.0])

    def test_old_samples_fade(self) -> None:
        mean = RunningMean(0.0, 4)
        for _ in range(100):
            mean.add(10.0)
        self.assertEqual(mean.add(50.0), 20.0)


class SlowStartTests(unittest.TestCase):
    def test_no_break_at_small_size(self) -> None:
        small = [(name, 2) for name in ("steady", "too_few_declared", "third_restarts", "heavy_tail")]
        small += [(name, 20) for name in ("busy", "released_queue", "no_estimates")]
        for name, dispatchers in small:
            with self.subTest(scenario=name, dispatchers=dispatchers):
                verdict = play(BY_NAME[name], dispatchers, 1)
                self.assertFalse(verdict.broken)
                self.assertGreater(verdict.use, 0.0)

    def test_a_burst_after_an_idle_time_does_not_release_all_shares_at_once(self) -> None:
        verdict = play(Scenario("idle", IDLE_THEN_BURST, LIGHT_ONLY), 120, 1)
        self.assertFalse(verdict.fell, verdict)

    def test_dispatchers_that_ignore_their_shares_are_found(self) -> None:
        for name, dispatchers in (("released_queue", 2), ("released_queue", 30), ("no_estimates", 30)):
            with self.subTest(scenario=name, dispatchers=dispatchers):
                self.assertTrue(play(BY_NAME[name], dispatchers, 1, IgnoresItsShare).broken)

    def test_half_of_the_dispatchers_have_not_been_told(self) -> None:
        world = ColdWorld(BY_NAME["half_is_told"], 4, 1)
        world.run((JOIN_AT + 1_500.0) / 1000)
        told = [
            isinstance(adapter, ToldAdapter) and adapter.told[0] == world.started_at
            for adapter in world.dispatchers
        ]
        self.assertEqual(told, [True, False, True, False])

    def test_a_run_is_the_same_for_the_same_seed(self) -> None:
        scenario = replace(BY_NAME["third_restarts"], phases=SHORT)
        self.assertEqual(play(scenario, 6, 3), play(scenario, 6, 3))

    def test_a_restarted_engine_is_metered_with_the_work_in_its_window(self) -> None:
        world = ColdWorld(BY_NAME["cold_again"], 2, 1)
        world.run((JOIN_AT + 900.0) / 1000)
        before = world.meter.total
        world.run((JOIN_AT + 1_010.0) / 1000)
        self.assertGreater(before, 0.0)
        self.assertEqual(world.started_at, world.start_time + JOIN_AT + 1_000.0)
        self.assertGreaterEqual(world.meter.total, before)


if __name__ == "__main__":
    unittest.main()
