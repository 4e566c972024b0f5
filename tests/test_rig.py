"""Real dispatchers under injected faults, and model checks: no violation, each planted fault is found."""

import json
import subprocess
import sys
import unittest
from pathlib import Path

from spurdeal.fleet.fleet import Fleet
from spurdeal.lab.fleet_model import IN_FLEETS, IN_THE_LEASE, Kinds, Stops, stops_walked, walks

ZERO = (
    "answers_missing",
    "answers_double",
    "irreversible_run_twice",
    "decisions_unaccounted",
    "sent_against_own_version",
    "sent_after_lease",
    "shut_out_wrongly",
    "log_problems",
)


class Processes(unittest.TestCase):
    def test_four_dispatchers_under_kill_deafness_pause_and_name_clash(self) -> None:
        done = subprocess.run(
            [sys.executable, "-m", "spurdeal.lab.audited", "fleet", "small", "5"],
            capture_output=True,
            text=True,
            timeout=120,
            cwd=Path(__file__).parent.parent,
        )
        self.assertEqual(0, done.returncode, done.stderr)
        found = json.loads(done.stdout.splitlines()[-1])
        self.assertEqual(dict.fromkeys(ZERO, 0), {key: found.get(key) for key in ZERO}, found)
        self.assertEqual(4, found["faults"])
        self.assertGreater(found["decisions"], 500)
        self.assertGreater(found["stops_relied_on"], 0)
        self.assertEqual(found["chain_breaks_planted"], found["chain_breaks_found"])
        self.assertEqual(1, found["clash_found"])
        self.assertGreaterEqual(found["chain_breaks_planted"], 8)


class Models(unittest.TestCase):
    def test_lease_invariant_holds_in_breadth_first_search(self) -> None:
        self.assertEqual((), Stops(Kinds(), 2).search(4000).violated)

    def test_random_schedules_find_only_the_planted_lease_faults(self) -> None:
        self.assertEqual([], stops_walked(Kinds(), 300)[1])
        for kinds in IN_THE_LEASE:
            with self.subTest(kinds):
                self.assertTrue(stops_walked(kinds, 20_000)[1])

    def test_fleets_recover_from_random_failures_and_a_planted_fault_is_found(self) -> None:
        self.assertEqual({}, dict(walks(Fleet, range(3), 4, 5)[1]))
        self.assertTrue(walks(IN_FLEETS[0], range(40), 4, 6)[1])
