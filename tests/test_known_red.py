"""KNOWN-RED.txt: a run passes if only the listed tests fail."""

import importlib.util
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
TOOL = ROOT / ".ci" / "known_red.py"
SUITE = """
import unittest

class Red(unittest.TestCase):
    def test_green(self):
        pass

    def test_red(self):
        self.fail("as known")

    def test_parts(self):
        for part in "ab":
            with self.subTest(part=part):
                self.fail("both")

    def test_other(self):
        {other}
"""
RED, PARTS = (
    "suite.Red.test_red | suite | a cause | issue 7",
    "suite.Red.test_parts | suite --seed 3 | another | issue 8",
)
GREEN = "suite.Red.test_green | suite | fixed since | issue 9"


def load_tool() -> Any:
    spec = importlib.util.spec_from_file_location("known_red", TOOL)
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


class KnownRed(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder, self.tool = Path(folder.name), load_tool()

    def run_suite(self, *lines: str, other: str = "pass") -> tuple[int, str]:
        """Returns the exit code for a run of the suite with these lines, and the messages."""
        (self.folder / "suite.py").write_text(SUITE.format(other=other))
        known = self.folder / "KNOWN-RED.txt"
        known.unlink(missing_ok=True)
        if lines:
            known.write_text("\n".join(lines) + "\n")
        done = subprocess.run(
            [sys.executable, "-m", "unittest", "suite"],
            cwd=self.folder,
            text=True,
            capture_output=True,
            check=False,
        )
        code, messages = self.tool.judge(self.tool.read(known), done.stderr, done.returncode)
        return code, "\n".join(messages)

    def test_only_listed_failures_are_tolerated_and_printed(self) -> None:
        code, messages = self.run_suite(RED, PARTS)
        self.assertEqual(
            (code, messages.splitlines()),
            (0, [f"known red, and failed: {RED}", f"known red, and failed: {PARTS}"]),
        )

    def test_any_other_failure_fails_the_run(self) -> None:
        for lines, other in (
            ((), "pass"),
            ((RED,), "pass"),
            ((RED, PARTS), "self.fail()"),
            ((RED, PARTS), "raise SystemExit(1)"),
            ((RED, PARTS), "import os; os._exit(1)"),
        ):
            with self.subTest(lines=lines, other=other):
                self.assertNotEqual(self.run_suite(*lines, other=other)[0], 0)

    def test_a_listed_test_that_passes_is_to_be_removed(self) -> None:
        code, messages = self.run_suite(RED, PARTS, GREEN)
        self.assertEqual(code, 0)
        self.assertIn(f"known red, and passed, to be taken out: {GREEN}", messages)

    def test_unusable_files(self) -> None:
        path = self.folder / "KNOWN-RED.txt"
        here = f"{self.id()} | suite | a cause | issue 1"
        cases = [
            "",
            "\n",
            f"{RED}\n" * 2,
            "\n".join(f"a.b{n} | suite | c | issue 1" for n in range(4)),
            "suite.Red.test_red",
            "suite.Red.test_red | suite | a cause",
            "suite.Red.test_red | a cause | issue 7",
            "suite.Red.test_red | | a cause | issue 7",
            "suite.Red.test_red | suite | | issue 7",
            "suite.Red.test_red | suite | a cause | 7",
            " | suite | a cause | issue 7",
        ]
        for text in cases:
            with self.subTest(text):
                path.write_text(text)
                self.assertRaises(self.tool.UnusableListError, self.tool.read, path)
        for text, usable in (
            (here, True),
            (here.replace("test_unusable", "test_no_unusable"), False),
            ("tests.test_known_red.KnownRed | suite | a class | issue 1", False),
        ):
            with self.subTest(text):
                path.write_text(text)
                done = subprocess.run(
                    [sys.executable, str(TOOL), "check", str(path)],
                    cwd=ROOT,
                    check=False,
                    capture_output=True,
                )
                self.assertEqual(done.returncode, 0 if usable else 1, done.stderr)
        path.unlink()
        self.assertEqual(self.tool.read(path), {})
