"""Simulation of slow starts: the meter, the report, an injected fault, and small runs with fixed seeds."""

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
    RunResult,
    Scenario,
    StartAwareAdapter,
    run_scenario,
    summary,
    wilson,
)
from spurdeal.rules import Dispatcher, Engine
from spurdeal.running_mean import RunningMean

BY_NAME = {scenario.name: scenario for scenario in SCENARIOS}
SHORT = (Phase(JOIN_AT + 1_500.0, 0.7),)


class IgnoresBudget(Dispatcher):
    """Faulty rules: a cold engine gets every request, regardless of the slow-start budget."""

    def fits_slow_start(self, engine: Engine, work: float) -> bool:
        return True

    def admits(self, engine: Engine, threads: int, calm: bool, within: bool) -> bool:
        return engine.slow_start_until > self.now or super().admits(engine, threads, calm, within)


class MeterTests(unittest.TestCase):
    def meter(self) -> Meter:
        return Meter(allowed=900.0, mean_work=100.0, window=1_000.0)  # N = 9: 9 + 2 x 3 + 2 = 17 requests

    def test_the_engine_is_overloaded_above_n_plus_twice_its_root_plus_two(self) -> None:
        for work, overloaded in ((1_700.0, False), (1_701.0, True)):
            meter = self.meter()
            meter.add(Attempt(0.0, work, True))
            self.assertEqual((meter.overloaded, meter.violation), (overloaded, overloaded))

    def test_the_window_slides(self) -> None:
        meter = self.meter()
        meter.add(Attempt(0.0, 1_000.0, True))
        meter.add(Attempt(1_000.0, 1_000.0, True))
        self.assertFalse(meter.overloaded)
        meter.add(Attempt(1_999.0, 1_000.0, True))
        self.assertTrue(meter.overloaded)

    def test_an_overload_is_a_violation_if_over_two_thirds_came_from_informed_dispatchers(self) -> None:
        for informed, violation in ((1_200.0, False), (1_300.0, True)):
            meter = self.meter()
            meter.add(Attempt(0.0, 1_800.0 - informed, False))
            meter.add(Attempt(1.0, informed, True))
            self.assertEqual((meter.overloaded, meter.violation), (True, violation))

    def test_only_the_first_overload_counts(self) -> None:
        meter = self.meter()
        meter.add(Attempt(0.0, 1_800.0, False))
        meter.add(Attempt(5_000.0, 1_800.0, True))
        self.assertEqual((meter.overloaded, meter.violation, meter.total), (True, False, 1_800.0))


class SummaryTests(unittest.TestCase):
    def test_wilson_interval(self) -> None:
        low, high = wilson(0, 200)
        self.assertEqual(low, 0.0)
        self.assertAlmostEqual(high, 0.01885, 4)
        low, high = wilson(10, 20)
        self.assertAlmostEqual(low, 0.2993, 4)
        self.assertAlmostEqual(high, 0.7007, 4)

    def test_a_row_counts_violations_and_overloads_and_averages_use(self) -> None:
        results = [RunResult(True, True, 1.25, 0.5), RunResult(False, True, 1.0, 0.3)]
        row = summary(BY_NAME["steady"], 20, results)
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
    def test_the_initial_value_holds_until_the_first_sample_and_samples_count_alike(self) -> None:
        mean = RunningMean(300.0, 4)
        self.assertEqual(mean.value, 300.0)
        self.assertEqual([mean.add(sample) for sample in (10.0, 20.0, 30.0)], [10.0, 15.0, 20.0])

    def test_old_samples_fade(self) -> None:
        mean = RunningMean(0.0, 4)
        for _ in range(100):
            mean.add(10.0)
        self.assertEqual(mean.add(50.0), 20.0)


class SlowStartTests(unittest.TestCase):
    def test_no_violation_at_small_size(self) -> None:
        small = [(name, 2) for name in ("steady", "too_few_declared", "third_restarts", "heavy_tail")]
        small += [(name, 20) for name in ("busy", "released_queue", "no_estimates")]
        for name, dispatchers in small:
            with self.subTest(scenario=name, dispatchers=dispatchers):
                result = run_scenario(BY_NAME[name], dispatchers, 1)
                self.assertFalse(result.violation)
                self.assertGreater(result.use, 0.0)

    def test_a_burst_after_an_idle_time_does_not_exceed_the_budget(self) -> None:
        result = run_scenario(Scenario("idle", IDLE_THEN_BURST, LIGHT_ONLY), 120, 1)
        self.assertFalse(result.overloaded, result)

    def test_dispatchers_that_ignore_the_budget_are_found(self) -> None:
        for name, dispatchers in (("released_queue", 2), ("released_queue", 30), ("no_estimates", 30)):
            with self.subTest(scenario=name, dispatchers=dispatchers):
                self.assertTrue(run_scenario(BY_NAME[name], dispatchers, 1, IgnoresBudget).violation)

    def test_half_of_the_dispatchers_do_not_know_of_the_restart(self) -> None:
        world = ColdWorld(BY_NAME["half_is_told"], 4, 1)
        world.run((JOIN_AT + 1_500.0) / 1000)
        informed = [
            isinstance(adapter, StartAwareAdapter) and adapter.known_starts[0] == world.engine_started_at
            for adapter in world.dispatchers
        ]
        self.assertEqual(informed, [True, False, True, False])

    def test_a_run_is_the_same_for_the_same_seed(self) -> None:
        scenario = replace(BY_NAME["third_restarts"], phases=SHORT)
        self.assertEqual(run_scenario(scenario, 6, 3), run_scenario(scenario, 6, 3))

    def test_a_restarted_engine_is_metered_with_the_work_in_its_window(self) -> None:
        world = ColdWorld(BY_NAME["cold_again"], 2, 1)
        world.run((JOIN_AT + 900.0) / 1000)
        before = world.meter.total
        world.run((JOIN_AT + 1_010.0) / 1000)
        self.assertGreater(before, 0.0)
        self.assertEqual(world.engine_started_at, world.start_time + JOIN_AT + 1_000.0)
        self.assertGreaterEqual(world.meter.total, before)


if __name__ == "__main__":
    unittest.main()
