"""The settings file and the command line: errors name file, line and key; the exit code is 2."""

import io
import json
import subprocess
import sys
import unittest
from pathlib import Path

from spurdeal.cli.structured_logs import logger as structured
from spurdeal.clocks import SteadyClock
from spurdeal.net.logs import logger as plain
from spurdeal.settings.reading import SettingsError, keys, read, read_text

EXAMPLE = Path(__file__).parent.parent / "deploy" / "installation-n1.yaml"
TEXT = EXAMPLE.read_text()


def call(*words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "spurdeal", *words],
        capture_output=True,
        text=True,
        timeout=60,
        cwd=EXAMPLE.parent.parent,
    )


class Files(unittest.TestCase):
    def test_the_example_is_valid(self) -> None:
        found = read(str(EXAMPLE))
        assert found.vrrp is not None
        self.assertEqual((found.vrrp.groups[0].interval, found.vrrp.groups[0].preempt_delay), (100.0, 1000.0))
        self.assertEqual(found.tenure.lease, 1000.0)

    def test_each_error_names_its_line_and_key(self) -> None:
        line = {text.strip(): number for number, text in enumerate(TEXT.split("\n"), 1)}
        for old, new, at, message in (
            ("priority: 200", "rank: 200", "priority: 200", "groups[0].rank: this key is not known"),
            ("priority: 200", "priority: 300", "priority: 200", "vrrp.groups[0].priority: "),
            ("interval: 100ms", "interval: 100", "interval: 100ms", "is no duration"),
            ("interval: 100ms", "interval: 101ms", "- group: 1", "no whole number of 10ms"),
            ("127.0.7.1]", '127.0.7.1, "::1"]', "- group: 1", "of both kinds"),
            ("kind: listen", "kind: magic", "holder:", "vrrp.holder"),
            ("port: 7001", "prot: 7001", "holder:", "vrrp.holder.port: this key is missing"),
            ("adverts: 127.0.8.2:7112", "adverts: x", "adverts: 127.0.8.2:7112", "no address with"),
            ("name: n2", "name: n1", "name: n1", "two dispatchers have one name"),
            ("ahead: true", "ahead: true\n  ahead: false", "ahead: true", "duplicate key"),
            ("name: n1", "name: [", "peers:", ""),
        ):
            with self.subTest(new), self.assertRaises(SettingsError) as caught:
                read_text("f.yaml", TEXT.replace(old, new, 1).encode())
            first = str(caught.exception).splitlines()[0]
            self.assertIn(message, str(caught.exception))
            number = int(first.split(":")[1])
            self.assertLessEqual(abs(number - line[at]), 1, first)

    def test_unusable_files_are_rejected(self) -> None:
        for text in (b"", b"- a", b"\xff\xfe", b"a: *b", b"x" * 2_000_000, b"[" * 5000):
            with self.assertRaises(SettingsError):
                read_text("f.yaml", text)
        with self.assertRaises(SettingsError):
            read("/nowhere/at/all.yaml")

    def test_every_key_is_documented(self) -> None:
        found = list(keys())
        self.assertGreater(len(found), 40)
        self.assertEqual([key for key, _, meaning in found if not meaning], [])
        self.assertIn("vrrp.groups[].tracks[].lowers", [key for key, _, _ in found])


class Commands(unittest.TestCase):
    def test_check_names_the_line_and_exits_with_2(self) -> None:
        good, bad = call("check", str(EXAMPLE)), call("check", "README.md")
        self.assertEqual((good.returncode, bad.returncode), (0, 2), good.stderr)
        self.assertIn("spurdeal: README.md:", bad.stderr)
        self.assertNotIn("Traceback", bad.stderr)

    def test_an_advertisement_is_printed_and_decoded(self) -> None:
        printed = call("vrrp", "advert", str(EXAMPLE), "--group", "1", "--hex")
        decoded = json.loads(call("vrrp", "dump", printed.stdout.strip(), "--json").stdout)
        self.assertEqual(
            (decoded["group"], decoded["priority"], decoded["interval_ms"], decoded["addresses"]),
            (1, 200, 100.0, ["127.0.7.1"]),
        )
        self.assertNotIn("dropped", decoded)
        self.assertIn(
            "checksum",
            json.loads(call("vrrp", "dump", printed.stdout.strip()[:-1] + "0", "--json").stdout)["dropped"],
        )
        self.assertEqual(call("vrrp", "dump", "xyz").returncode, 2)
        self.assertEqual(call("vrrp", "advert", str(EXAMPLE), "--group", "9").returncode, 2)

    def test_without_a_sub_command_none_of_the_extras_is_imported(self) -> None:
        lean = (
            "import sys, spurdeal.net.start, spurdeal.__main__\n"
            "print([n for n in 'click pydantic ruamel structlog minicheck'.split() if n in sys.modules])"
        )
        self.assertEqual(
            subprocess.run([sys.executable, "-c", lean], capture_output=True, text=True, timeout=60).stdout,
            "[]\n",
        )

    def test_structlog_lines_equal_those_of_the_plain_logger(self) -> None:
        lines = []
        for make in (plain, structured):
            stream = io.StringIO()
            log = make("n1", stream)
            log.info("listed", extra={"figures": {"engines": 6, "why": 'a "b"=c', "ms": 1.25}})
            try:
                raise ValueError("x")
            except ValueError:
                log.exception("fault", extra={"figures": {"call": "f"}})
            lines.append([line.partition(" ")[2] for line in stream.getvalue().splitlines()])
        self.assertEqual(lines[0], lines[1])
        self.assertEqual(lines[0][0], 'level=info event=listed engines=6 why="a \\"b\\"=c" ms=1.2')


class Clocks(unittest.TestCase):
    def test_steps_of_the_wall_clock_are_ignored(self) -> None:
        unix, mono = [1e12], [0.0]
        steady = SteadyClock(lambda: unix[0], lambda: mono[0])
        self.assertEqual(steady.now(), 1e12)
        for step, passed in ((0, 1000), (3_600_000, 1000), (0, 1000), (-7_200_000, 1000), (40, 30_000)):
            before = steady.now()
            unix[0] += passed + step
            mono[0] += passed
            self.assertEqual(steady.now() - before, passed, step)
