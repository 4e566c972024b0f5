"""The capacity benchmark: fits of known data, growth with size, the tables of the page, and refused runs."""

import json
import re
import subprocess
import sys
import unittest
from math import log
from pathlib import Path

from spurdeal.lab.capacity import (
    SECTIONS,
    design,
    engine_list,
    figures,
    recorded,
    request_path,
    select_sections,
    sockets,
)
from spurdeal.lab.capacity.fit import Form, UnusableSeries, best_fit, fit
from spurdeal.lab.capacity.measure import (
    MeasurementRefused,
    require_descriptors,
    require_memory,
    require_processes,
    sample,
)
from spurdeal.lab.capacity.membership import measure_idle, settled_world
from spurdeal.lab.capacity.records import Limit, Measure, Role, Sample, quantity
from spurdeal.lab.capacity.report import TABLES, UnusablePage, ranking, render_page
from spurdeal.lab.capacity.storms import has_converged, run_storm
from spurdeal.lab.capacity.unserved import UNSERVED

ROOT = Path(__file__).parent.parent
PAGE, FIGURES = ROOT / "docs" / "CAPACITY.md", ROOT / "docs" / "capacity.json"
SIZES = (10, 20, 40, 80, 160)
ROLE_KEYS = (
    "sizes",
    "cpu_us",
    "bytes_per_s",
    "memory_kb",
    "fit",
    "residual",
    "beyond_predicted",
    "beyond_measured",
    "at_size",
    "budget",
    "verdict",
)


def ignore_progress(line: str) -> None:
    """Ignores progress messages."""


def role(name: str, values: list[float], budget: float | None, mechanism: str = "some file") -> Role:
    samples = [Sample(value) for value in values]
    measured = quantity(Measure.CPU, "us", Form.LINEAR, SIZES, samples, 1_000, budget)
    return Role(name, "things", mechanism, "some", "none", (measured,))


class Fits(unittest.TestCase):
    def test_the_best_form_is_the_one_that_made_the_data(self) -> None:
        made: dict[Form, list[float]] = {
            Form.LOG: [5 + 2 * log(size) for size in SIZES],
            Form.LINEAR: [5 + 2 * size for size in SIZES],
            Form.LOG_LINEAR: [5 + 2 * size * log(size) for size in SIZES],
            Form.QUADRATIC: [5 + 2 * size**2 for size in SIZES],
        }
        for form, values in made.items():
            with self.subTest(form):
                found = best_fit(SIZES, values)
                self.assertEqual(form, found.form)
                self.assertAlmostEqual(5.0, found.constant, 6)
                self.assertAlmostEqual(2.0, found.factor, 6)
                self.assertAlmostEqual(values[-1], found.value_at(SIZES[-1]), 6)

    def test_the_residual_is_of_relative_errors(self) -> None:
        values = [1.1 * 10, 0.9 * 20, 1.1 * 40, 0.9 * 80]
        found = fit(Form.LINEAR, SIZES[:4], values)
        self.assertGreater(found.residual, 0.05)
        self.assertLess(found.residual, 0.15)

    def test_an_unusable_series_is_refused(self) -> None:
        for sizes, values in (
            ((1, 2, 3), (1.0, 2.0, 3.0)),
            ((1, 2, 3, 3), (1.0, 2.0, 3.0, 3.0)),
            ((1, 2, 3, 4), (1.0, 2.0, 3.0)),
            ((1, 2, 3, 4), (1.0, 0.0, 3.0, 4.0)),
            ((0, 2, 3, 4), (1.0, 2.0, 3.0, 4.0)),
            ((1, 2, 3, 4), (1.0, float("nan"), 3.0, 4.0)),
        ):
            with self.subTest(sizes=sizes, values=values), self.assertRaises(UnusableSeries):
                fit(Form.LINEAR, sizes, values)


class Roles(unittest.TestCase):
    def test_the_last_size_checks_the_fit_and_is_no_part_of_it(self) -> None:
        result = role("one", [10.0, 20.0, 40.0, 80.0, 999.0], 2_000.0).to_json()
        self.assertAlmostEqual(160.0, result["beyond_predicted"]["cpu_us"])
        self.assertEqual(999.0, result["beyond_measured"]["cpu_us"])
        self.assertAlmostEqual(1_000.0, result["at_size"]["cpu_us"])
        self.assertEqual("fits (0.50 of us)", result["verdict"])
        self.assertEqual([], [key for key in ROLE_KEYS if key not in result])

    def test_a_design_size_that_was_run_is_reported_as_measured(self) -> None:
        samples = [Sample(float(size)) for size in SIZES[:-1]] + [Sample(700.0)]
        found = quantity(Measure.CPU, "us", Form.LINEAR, SIZES, samples, SIZES[-1])
        self.assertEqual(700.0, found.at_size)

    def test_a_design_size_within_the_series_is_the_measured_value(self) -> None:
        samples = [Sample(float(size)) for size in SIZES[:2]] + [Sample(41.0), Sample(80.0), Sample(160.0)]
        self.assertEqual(41.0, quantity(Measure.CPU, "us", Form.LINEAR, SIZES, samples, 40).at_size)

    def test_verdicts(self) -> None:
        values = [float(size) for size in SIZES]
        self.assertEqual("4 times over (us)", role("over", values, 250.0).verdict())
        self.assertEqual("no mechanism", role("none", values, 250.0, "").verdict())
        self.assertEqual("no budget stated", role("free", values, None).verdict())
        bound = Role("bound", "", "a file", "", "", limits=(Limit("seats", 100, 250),))
        self.assertEqual("2.5 times over (seats)", bound.verdict())

    def test_the_ranking_is_by_ratio_then_roles_without_a_mechanism(self) -> None:
        values = [float(size) for size in SIZES]
        found = ranking(
            [
                role("fits", values, 5_000.0),
                role("twice", values, 500.0),
                role("nobody", values, 1.0, ""),
                role("tenfold", values, 100.0),
            ]
        )
        self.assertEqual(
            [("tenfold", 10.0), ("twice", 2.0), ("nobody", None)],
            [(row["role"], row["ratio"]) for row in found],
        )

    def test_roles_without_a_mechanism_say_so(self) -> None:
        self.assertEqual({"no mechanism"}, {each.verdict() for each in UNSERVED})

    def test_a_sample_is_the_median_with_its_spread(self) -> None:
        self.assertEqual(Sample(2.0, 1.5), sample([1.0, 2.0, 4.0]))


class Growth(unittest.TestCase):
    """Bounds on the ratio between two sizes; never on absolute time."""

    def test_a_choice_and_the_tick_grow_no_faster_than_the_square(self) -> None:
        for measured in (request_path.choice_us, request_path.tick_us_per_s):
            with self.subTest(measured.__name__):
                small, large = (measured(size).value for size in (100, 400))
                self.assertLess(large / small, 16.0)

    def test_a_list_keeps_memory_in_proportion(self) -> None:
        small, large = (request_path.list_kb(size).value for size in (100, 400))
        self.assertGreater(large / small, 3.0)
        self.assertLess(large / small, 5.0)

    def test_every_request_of_the_benchmark_is_sent_or_queued(self) -> None:
        benchmark = request_path.RulesBenchmark(40)
        benchmark.submit_many(10)
        self.assertEqual(10, len(benchmark.adapter.sent) + len(benchmark.rules.wait_queue))
        self.assertGreater(len(benchmark.adapter.sent), 0)
        benchmark.deliver_all()
        self.assertEqual(0, len(benchmark.rules.open_requests))

    def test_a_list_is_applied_whole(self) -> None:
        adapter, clock = request_path.empty_adapter()
        request_path.apply_list(adapter, clock, request_path.endpoints(30, 4))
        self.assertEqual((30, 29), (len(adapter.rules.engines), len(adapter.rules.ready)))

    def test_the_lists_bytes_grow_in_proportion_up_to_a_full_datagram(self) -> None:
        small, large = (engine_list.bytes_per_s(size).value for size in (100, 400))
        self.assertLess(large / small, 4.1)
        most = engine_list.max_engines_in_datagram()
        self.assertLessEqual(len(engine_list.encode_list_response(most)), engine_list.LARGEST_DATAGRAM)
        self.assertGreater(len(engine_list.encode_list_response(most + 1)), engine_list.LARGEST_DATAGRAM)
        self.assertLess(most, design.ENGINES)
        self.assertTrue(engine_list.readable(400))

    def test_the_audits_bytes_per_decision_are_constant(self) -> None:
        small, large = (recorded.audit_bytes(size) / size for size in (400, 1_600))
        self.assertLess(large / small, 1.05)

    def test_a_members_bytes_grow_slower_than_the_fleet(self) -> None:
        small, large = (measure_idle(size).sent.value for size in (6, 24))
        self.assertLess(large / small, 2.0)

    def test_a_fleet_has_converged_before_and_after_a_storm(self) -> None:
        self.assertTrue(has_converged(settled_world(8)))
        found = run_storm("a quarter restarts at once", 8)
        self.assertEqual((8, 2), (found.members, found.hit))
        self.assertIsNotNone(found.agree_ms)
        self.assertGreaterEqual(found.peak_bytes, found.mean_bytes)


class Processes(unittest.TestCase):
    def test_a_dispatcher_process_answers_all_requests(self) -> None:
        found = sockets.run_traffic("requests", 4, 1, 60)
        self.assertEqual({"200"}, set(found["statuses"]))
        self.assertGreater(found["cpu_us"][0], 0)


class Page(unittest.TestCase):
    def test_the_committed_page_is_what_the_writer_makes_of_the_committed_figures(self) -> None:
        page = PAGE.read_text()
        self.assertEqual(render_page(page, json.loads(FIGURES.read_text())), page)

    def test_the_committed_figures_are_of_a_full_run_of_all_roles(self) -> None:
        found = json.loads(FIGURES.read_text())
        self.assertFalse(found["quick"])
        self.assertLessEqual(set(SECTIONS), set(found["sections"]))
        for name, result in found["roles"].items():
            with self.subTest(name):
                self.assertEqual([], [key for key in ROLE_KEYS if key not in result])
                if result["sizes"]:
                    self.assertGreaterEqual(len(result["sizes"]), 5)
        self.assertLessEqual({each.name for each in UNSERVED}, set(found["roles"]))

    def test_a_changed_figure_changes_the_page(self) -> None:
        page, found = PAGE.read_text(), json.loads(FIGURES.read_text())
        found["roles"]["choice of an engine"]["at_size"]["cpu_us"] += 12_345
        self.assertNotEqual(page, render_page(page, found))

    def test_a_page_without_its_markers_is_refused(self) -> None:
        found = json.loads(FIGURES.read_text())
        for name in TABLES:
            with self.subTest(name), self.assertRaises(UnusablePage):
                render_page(PAGE.read_text().replace(f"capacity: end {name}", "gone"), found)
        with self.assertRaises(UnusablePage):
            render_page(PAGE.read_text(), {"something": "else"})


class Refusals(unittest.TestCase):
    def test_more_than_the_machines_resources_allow(self) -> None:
        for call in (
            lambda: require_memory(1e15, "a fleet"),
            lambda: require_processes(301, "a fleet"),
            lambda: require_descriptors(1 << 40, "a fleet"),
            lambda: figures(True, ignore_progress, ["request-path"], [1, 2, 3, 4, 1 << 40]),
            lambda: figures(True, ignore_progress, ["membership"], [1, 2, 3, 4, 1 << 20]),
            lambda: figures(True, ignore_progress, ["storms"], [1 << 20]),
            lambda: figures(True, ignore_progress, ["links"], [1, 2, 3, 4, 1 << 20]),
            lambda: figures(True, ignore_progress, ["clients"], [1, 2, 3, 4, 1 << 20]),
            lambda: figures(True, ignore_progress, ["requests"], [1, 2, 3, 4, 1 << 20]),
            lambda: figures(True, ignore_progress, ["list"], [1, 2, 3, 4, 2_000]),
        ):
            with self.assertRaises(MeasurementRefused) as refused:
                call()
            self.assertNotIn("\n", str(refused.exception))

    def test_unknown_sections_and_unusable_sizes(self) -> None:
        for sections, sizes in (
            (["relays"], []),
            ([], [1, 2, 3, 4, 5]),
            (["list"], [1, 2, 3, 4]),
            (["list"], [5, 4, 3, 2, 1]),
            (["list"], [0, 1, 2, 3, 4]),
        ):
            with self.subTest(sections=sections, sizes=sizes), self.assertRaises(MeasurementRefused):
                select_sections(sections, sizes)

    def test_the_command_prints_one_line_and_exits_with_2(self) -> None:
        for words in (
            ["--section", "relays"],
            ["--section", "list", "--sizes", "1,2,3,4,99999"],
            ["--section", "list", "--sizes", "some"],
            ["--page", "docs/CAPACITY.md"],
            ["--page", "docs/CAPACITY.md", "--from", "no such file"],
        ):
            with self.subTest(words):
                done = subprocess.run(
                    [sys.executable, "-m", "spurdeal", "lab", "capacity", *words],
                    capture_output=True,
                    text=True,
                    timeout=60,
                    cwd=ROOT,
                )
                self.assertEqual(2, done.returncode, done.stderr)
                lines = [line for line in done.stderr.splitlines() if line.startswith("spurdeal:")]
                self.assertEqual(1, len(lines), done.stderr)
                self.assertIsNone(re.search("Traceback", done.stderr))
