"""The demo: short runs as a program, cleanup after a signal, and the report of fixed records."""

import json
import os
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any, cast

from click.testing import CliRunner
from twisted.internet.testing import MemoryReactorClock

from spurdeal.cli.main import spurdeal
from spurdeal.lab.demo_load import LoadGenerator, LoadProfile, Request, RequestClass, Status, read_answer
from spurdeal.lab.demo_report import EngineRecord, Phase, Run, percentile, render, summarise

ROOT = Path(__file__).parent.parent
COMMAND = (sys.executable, "-m", "spurdeal", "lab", "demo")
RUN_TIMEOUT = 60.0  # s; a run of 3 s takes longer on a busy machine
MAX_LINES = 40
FAST = RequestClass("fast", share=0.5, work=10.0, objective=100.0, deadline=500.0)
SLOW = RequestClass("slow", share=0.5, work=90.0, objective=1000.0, deadline=2000.0, at_most_once=True)
PHASES = (Phase("steady", 0.0, 1.0), Phase("burst", 1.0, float("inf")))

EXPECTED = """One dispatcher process under load for 2 s, seed 5.
Engines and name service are stand-ins on this machine; the engines' work is simulated.
Load before the kill: 56% of the engines' capacity.

phase             sent  per s  succeeded  rejected  failed  unanswered  p50 ms  p90 ms  p99 ms  max ms
steady               6      6          5         0       1           0      30      50      50      50
burst                4      4          0         3       0           1       -       -       -       -
all                 10      5          5         3       1           1      30      50      50      50

request class     sent  per s  succeeded  rejected  failed  unanswered  p50 ms  p90 ms  p99 ms  max ms
fast                 7      4          5         2       0           0      30      50      50      50
slow                 3      2          0         1       1           1       -       -       -       -

not succeeded, by the answer that the client got
      2  fast      503 TryLater, at once (phase: burst)
      1  slow      500 Aborted, after waiting (phase: burst)
      1  slow      503 TryLater, at its deadline (phase: burst)
      1  slow      no answer, never (phase: burst)

engine received   steady  burst
engine-1               2      1
engine-2               1      0  killed at 1.0 s; 0 from 1.00 s on
engine-3               1      2  drained at 1.0 s; 1 from 1.45 s on
engine-4               0      1  joined cold at 1.2 s; at most 75% of its slow-start budget

6 attempts for 10 requests: 5 succeeded, 1 connection lost
dispatcher: 3 internal faults, exit code 0
clients: 1 answers after their deadline, 3 requests held back, timers late by up to 12 ms"""


class ShortRun(unittest.TestCase):
    """Two runs of `spurdeal lab demo --seconds 3 --json` at once."""

    found: dict[str, Any]
    left_behind: list[str]

    @classmethod
    def setUpClass(cls) -> None:
        with tempfile.TemporaryDirectory() as folder:
            runs = [
                subprocess.Popen(
                    [*COMMAND, "--json", "--seconds", "3", "--seed", "7"],
                    cwd=ROOT,
                    env=os.environ | {"TMPDIR": folder},
                    stdout=subprocess.PIPE,
                    stderr=subprocess.PIPE,
                    text=True,
                )
                for _ in range(2)
            ]
            outputs = [run.communicate(timeout=RUN_TIMEOUT) for run in runs]
            cls.left_behind = os.listdir(folder)
        for run, (_, errors) in zip(runs, outputs, strict=True):
            assert run.returncode == 0, errors
        cls.found = json.loads(outputs[0][0])

    def engine(self, event: str) -> dict[str, Any]:
        (found,) = [engine for engine in self.found["engines"] if engine["event"].startswith(event)]
        return dict(found)

    def test_every_request_has_one_outcome(self) -> None:
        outcomes = [self.found[status.value] for status in Status]
        self.assertGreater(self.found["succeeded"], 0)
        self.assertEqual(self.found["sent"], sum(outcomes), self.found)
        self.assertEqual(self.found["unanswered"], 0)

    def test_parts_add_up_to_the_whole(self) -> None:
        for parts in ("phases", "classes"):
            for name in ("sent", *(status.value for status in Status)):
                with self.subTest(parts=parts, name=name):
                    self.assertEqual(sum(row[name] for row in self.found[parts]), self.found[name])
        for engine in self.found["engines"]:
            self.assertEqual(sum(engine["by_phase"]), engine["total"], engine)
        lost = sum(cause["count"] for cause in self.found["causes"])
        self.assertEqual(lost, self.found["sent"] - self.found["succeeded"])
        received = sum(engine["total"] for engine in self.found["engines"])
        self.assertGreaterEqual(received, self.found["succeeded"])

    def test_the_killed_engine_receives_nothing_after_the_kill(self) -> None:
        killed = self.engine("killed")
        self.assertGreater(killed["by_phase"][0], 0)
        self.assertEqual((killed["after_quiet"], sum(killed["by_phase"][2:])), (0, 0))

    def test_the_drained_engine_receives_nothing_after_its_grace(self) -> None:
        drained = self.engine("drained")
        self.assertGreater(sum(drained["by_phase"][:2]), 0)
        self.assertGreater(drained["quiet_from"], self.found["phase_starts"][2])
        self.assertLess(drained["quiet_from"], 3.0)
        self.assertEqual(drained["after_quiet"], 0)

    def test_the_new_engine_receives_nothing_before_it_joins_and_no_more_than_its_budget(self) -> None:
        joined = self.engine("joined")
        self.assertEqual(sum(joined["by_phase"][:3]), 0)
        self.assertLessEqual(joined["budget_used"], 1.0)

    def test_the_dispatcher_ends_without_faults(self) -> None:
        self.assertEqual((self.found["dispatcher_faults"], self.found["dispatcher_exit_code"]), (0, 0))

    def test_nothing_is_left_behind(self) -> None:
        self.assertEqual(self.left_behind, [])


class Interrupted(unittest.TestCase):
    """A signal during the run also stops the dispatcher, and removes its directory."""

    def test_each_signal_cleans_up(self) -> None:
        for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
            with self.subTest(number), tempfile.TemporaryDirectory() as folder:
                run = subprocess.Popen(
                    [*COMMAND, "--seconds", "60"],
                    cwd=ROOT,
                    env=os.environ | {"TMPDIR": folder},
                    stdout=subprocess.PIPE,
                    stderr=subprocess.PIPE,
                    text=True,
                )
                assert run.stderr is not None
                first_line = run.stderr.readline()
                self.assertRegex(first_line, r"^dispatcher process \d+ listens on 127\.")
                dispatcher = int(first_line.split()[2])
                os.kill(dispatcher, 0)
                run.send_signal(number)
                output, errors = run.communicate(timeout=RUN_TIMEOUT)
                self.assertEqual((run.returncode, output), (130, ""), errors)
                self.assertEqual(os.listdir(folder), [])
                self.assertRaises(ProcessLookupError, os.kill, dispatcher, 0)


def request(
    request_class: RequestClass, sent_at: float, latency: float | None, status: Status, answer: str
) -> Request:
    answered_at = None if latency is None else sent_at + latency / 1000
    return Request(request_class, "0" * 16, request_class.work, sent_at, answered_at, status, answer)


def fixed_run() -> Run:
    """Ten requests in two phases, with four engines."""
    return Run(
        seconds=2.0,
        seed=5,
        capacity=0.25,
        classes=(FAST, SLOW),
        phases=PHASES,
        requests=[
            *(request(FAST, 0.1 * n, 10.0 * (n + 1), Status.SUCCEEDED, "200") for n in range(5)),
            request(SLOW, 0.6, 900.0, Status.FAILED, "500 Aborted"),
            request(FAST, 1.1, 4.0, Status.REJECTED, "503 TryLater"),
            request(FAST, 1.2, 4.0, Status.REJECTED, "503 TryLater"),
            request(SLOW, 1.3, 2010.0, Status.REJECTED, "503 TryLater"),
            request(SLOW, 1.4, None, Status.UNANSWERED, "no answer"),
        ],
        skipped=3,
        engines=[
            EngineRecord("engine-1", "", [0.1, 0.2, 1.5]),
            EngineRecord("engine-2", "killed at 1.0 s", [0.3], quiet_from=1.0),
            EngineRecord("engine-3", "drained at 1.0 s", [0.4, 1.2, 1.6], quiet_from=1.45),
            EngineRecord("engine-4", "joined cold at 1.2 s", [1.5], budget_used=0.754),
        ],
        counters={"trips_delivered": 5, "trips_reset": 1, "trips_written": 6, "faults": 1, "must_hold": 2},
        exit_code=0,
        max_timer_delay=12.34,
    )


class Report(unittest.TestCase):
    """The summary and its text, from fixed records."""

    def test_figures(self) -> None:
        found = summarise(fixed_run()).as_json()
        self.assertEqual([found[status.value] for status in Status], [5, 3, 1, 1])
        self.assertEqual((found["sent"], found["skipped"], found["attempts"]), (10, 3, 6))
        self.assertEqual(found["attempts_by_outcome"], {"succeeded": 5, "connection lost": 1})
        self.assertEqual(found["offered_share"], 0.56)  # 5 * 10 + 90 core-ms in 1000 ms, of 0.25 cores
        self.assertEqual(found["total"]["latency_ms"], {"p50": 30.0, "p90": 50.0, "p99": 50.0, "max": 50.0})
        self.assertEqual(found["classes"][1]["latency_ms"]["p50"], None)
        self.assertEqual([row["sent_per_s"] for row in found["phases"]], [6.0, 4.0])
        self.assertEqual([engine["after_quiet"] for engine in found["engines"]], [0, 0, 1, 0])
        self.assertEqual(
            [engine["by_phase"] for engine in found["engines"]], [[2, 1], [1, 0], [1, 2], [0, 1]]
        )
        self.assertEqual((found["dispatcher_faults"], found["late_answers"]), (3, 1))

    def test_text(self) -> None:
        self.assertEqual(render(summarise(fixed_run())), EXPECTED)

    def test_many_causes_and_engines_stay_within_the_line_limit(self) -> None:
        run = fixed_run()
        phases = (*(Phase(f"phase {n}", n, n + 1) for n in range(5)), Phase("last", 5, float("inf")))
        requests = [request(FAST, 0.5, 4.0, Status.FAILED, f"500 Fault{n}") for n in range(30)]
        engines = [EngineRecord(f"engine-{n}", "", []) for n in range(9)]
        large = Run(
            **(vars(run) | {"phases": phases, "requests": requests, "engines": engines, "seconds": 6.0})
        )
        text = render(summarise(large))
        self.assertLessEqual(len(text.splitlines()), MAX_LINES)
        self.assertIn("24  others", text)

    def test_a_run_without_losses_says_so(self) -> None:
        run = fixed_run()
        calm = Run(**(vars(run) | {"requests": run.requests[:5]}))
        self.assertIn("\nall succeeded\n", render(summarise(calm)))

    def test_percentiles_are_nearest_ranks(self) -> None:
        values = [float(n) for n in range(1, 101)]
        self.assertEqual([percentile(values, each) for each in (1, 50, 99, 100)], [1.0, 50.0, 99.0, 100.0])
        self.assertEqual([percentile([4.0], each) for each in (1, 50, 100)], [4.0] * 3)


class Load(unittest.TestCase):
    """The load generator."""

    def test_an_answer_is_parsed_once_it_is_complete(self) -> None:
        text = b'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 20\r\n\r\n{"fault":"TryLater"}'
        for size in range(len(text)):
            self.assertIsNone(read_answer(text[:size], 1.0), text[:size])
        self.assertEqual(read_answer(text, 2.0), (503, "503 TryLater", 2.0))

    def test_the_seed_decides_arrivals(self) -> None:
        def drawn(seed: int) -> list[tuple[str, str, float]]:
            load = LoadGenerator(
                cast(Any, MemoryReactorClock()),
                lambda: 0.0,
                ("127.0.0.1", 1),
                LoadProfile((FAST, SLOW), 100.0, seed),
            )
            requests = [load.draw() for _ in range(50)]
            return [(each.request_class.name, each.ident, each.work) for each in requests]

        self.assertEqual(drawn(3), drawn(3))
        self.assertNotEqual(drawn(3), drawn(4))


class Options(unittest.TestCase):
    """Options of the subcommand."""

    def test_seconds_belong_to_the_demo_and_are_bounded(self) -> None:
        for words, said in (
            (["lab", "model", "--seconds", "5"], "it takes no seconds"),
            (["lab", "demo", "--seconds", "1"], "1.0 is not in the range"),
            (["lab", "demo", "--seconds", "1000"], "1000.0 is not in the range"),
        ):
            with self.subTest(words):
                done = CliRunner().invoke(spurdeal, words)
                self.assertEqual(done.exit_code, 2, done.output)
                self.assertIn(said, done.output)
