"""The emulator: its engine model, the rule observer on planted faults, and reproducible runs."""

import unittest

from spurdeal.interface import Ending, Life, ListedEngine
from spurdeal.lab.closed_forms import check, erlang_c
from spurdeal.lab.model_engine import Engine, EngineModel, Job
from spurdeal.lab.observer import Observer
from spurdeal.lab.planted import KIND, build_world, count_violations, sample_deployment


def line(engine: int, life: Life = Life.READY, zone: int = 0, cell: int = 0) -> ListedEngine:
    return ListedEngine(engine, zone, 0, cell, life, 1.0, 0.0)


class Engines(unittest.TestCase):
    def test_cores_are_shared_by_weight_and_no_job_has_more_than_its_threads(self) -> None:
        engine = Engine(EngineModel(cores=4.0))
        engine.start(0.0, Job(1, 100.0, threads=1))
        engine.start(0.0, Job(2, 100.0, threads=8, weight=1.0))
        self.assertEqual([job.allocated_cores for job in engine.jobs.values()], [1.0, 3.0])
        self.assertEqual(engine.next_completion_at(), 100.0 / 3)
        self.assertEqual([job.ident for job in engine.advance(100.0 / 3)], [2])
        engine.start(engine.updated_at, Job(3, 10.0, threads=8, weight=2.0))
        engine.cancel(engine.updated_at, 1)
        self.assertEqual(engine.jobs[3].allocated_cores, 4.0)

    def test_past_the_knee_total_throughput_falls(self) -> None:
        engine = Engine(EngineModel(cores=4.0, knee=10, thrashing_per_thread=0.01))
        for number in range(30):
            engine.start(0.0, Job(number, 100.0))
        self.assertAlmostEqual(sum(job.allocated_cores for job in engine.jobs.values()), 4.0 * 0.8)

    def test_a_cold_engine_has_part_of_its_capacity_and_crashes_when_overloaded(self) -> None:
        kind = EngineModel(cores=4.0, cold_share=0.25, cold_multiple=2.0, cold_window=1000.0, cold_for=5000.0)
        engine = Engine(kind, start_time=0.0)
        self.assertEqual(engine.capacity(1.0), 1.0)
        self.assertTrue(engine.start(0.0, Job(1, 1999.0)))
        engine.advance(10.0)
        self.assertFalse(engine.start(10.0, Job(2, 5.0)))
        self.assertTrue(engine.overloaded and engine.down)
        warm = Engine(kind, start_time=0.0, updated_at=5000.0)
        self.assertTrue(warm.start(5000.0, Job(1, 99_999.0)))

    def test_readers_of_a_group_wait_for_its_load_and_memory_spills(self) -> None:
        engine = Engine(EngineModel(memory_mb=100.0, spill_overhead=0.5))
        engine.start(0.0, Job(1, 80.0, memory_mb=80, table_group=3, holds_tables=True))
        engine.start(0.0, Job(2, 40.0, memory_mb=40, table_group=3))
        self.assertEqual(
            (engine.jobs[2].waiting, engine.jobs[2].work, engine.jobs[2].allocated_cores), (True, 60.0, 0.0)
        )
        engine.advance(80.0)
        self.assertEqual(engine.jobs[2].allocated_cores, 1.0)

    def test_closed_forms(self) -> None:
        self.assertAlmostEqual(erlang_c(1, 0.5), 0.5)
        form = check("M/M/1", 1, 0.5, False, 20.0, 60_000, 1)
        self.assertLess(form.error, 0.05)
        wrong = check("wrong expectation", 1, 0.5, False, 25.0, 60_000, 1)
        self.assertGreater(wrong.error, 0.1)


class Rules(unittest.TestCase):
    def observer(self) -> Observer:
        made = Observer(sample_deployment(1), 1000.0)
        made.listed(0.0, 0, [line(0), line(1, cell=1), line(2, zone=1)])
        return made

    def test_each_rule_by_hand(self) -> None:
        for rule in range(1, 8):
            for broken in (False, True):
                with self.subTest(rule=rule, broken=broken):
                    seen = self.observer()
                    kind = {2: 1, 5: 3, 6: 4}.get(rule, 0)
                    seen.taken(0.0, 0, 1, kind, 9, 1000.0)
                    if rule == 1:
                        seen.answered(1001.5 if broken else 999.0, 0, 1, False)
                    elif rule == 2:
                        seen.sent(1.0, 0, 1, 0, 0)
                        seen.ended(2.0, 0, 1, 0, Ending.RESET if broken else Ending.FULL)
                        seen.sent(3.0, 0, 1, 1, 1)
                    elif rule == 3:
                        seen.listed(10.0, 0, [line(0, Life.DRAINING), line(1), line(2)])
                        seen.sent(262.0 if broken else 259.0, 0, 1, 0, 0)
                    elif rule == 4:
                        seen.started(0, 5000.0)
                        seen.reached(1.0, 0, 600.0)
                        seen.reached(1400.0 if broken else 1502.0, 0, 600.0)
                    elif rule == 5:
                        seen.taken(0.0, 0, 2, kind, 9, 1000.0)
                        seen.sent(1.0, 0, 2 if broken else 1, 0, 0)
                    elif rule == 6:
                        seen.sent(1.0, 0, 1, 0, 2 if broken else 0)
                    else:
                        for attempt in range(5 if broken else 4):
                            seen.sent(1.0 + attempt, 0, 1, attempt, attempt % 2)
                            seen.ended(1.5 + attempt, 0, 1, attempt, Ending.FULL)
                    self.assertEqual(dict(seen.violations), {rule: 1} if broken else {}, seen.violation_lines)

    def test_faults_planted_in_the_rules_and_in_an_adapter_are_found(self) -> None:
        for rule in (1, 3, 5, 6):
            with self.subTest(rule):
                self.assertGreater(count_violations(rule, 4.0)[0], 0)
        self.assertEqual(count_violations(0, 4.0), (0, 0))

    def test_the_same_seed_gives_the_same_trace_and_another_does_not(self) -> None:
        traces = []
        for seed in (3, 3, 4):
            made = build_world(2, 4, 0.7, seed)
            made.run(3.0)
            traces.append(made.trace.hexdigest())
            counts = made.counts
            ended = counts["delivered"] + counts["shed"] + counts["broken_off"] + counts["held_by_killed"]
            self.assertLess(counts["submissions"] - ended, 200)
        self.assertEqual(traces[0], traces[1])
        self.assertNotEqual(traces[0], traces[2])
        self.assertEqual(KIND.cold_multiple, sample_deployment(1).cold_multiple)
