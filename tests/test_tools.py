"""Scripts behind `make test` and `.ci/run`: a missing requirement gives one line, and any failure fails."""

import os
import shutil
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

ROOT = Path(__file__).parent.parent
NO_INDEX = "http://127.0.0.1:9"
SYSTEM_TOOLS = ("sh", "bash", "env", "dirname", "mktemp", "tail", "head", "grep", "sed", "tee", "rm", "cat")
TEST_COMMAND = ".venv/bin/python -m unittest discover -s tests -t ."
SUITE = """import unittest

class Suite(unittest.TestCase):
    def test_one(self):
        {body}
"""
KNOWN_RED = "tests.test_one.Suite.test_one | unittest | a cause | issue 7\n"


class ScratchTree(unittest.TestCase):
    """A directory with only the scripts, and a PATH with only basic system tools."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = Path(folder.name) / "clone"
        for script in ("tools/setup.sh", "tools/test.sh", ".ci/run", ".ci/known_red.py", "Makefile"):
            (self.root / script).parent.mkdir(parents=True, exist_ok=True)
            shutil.copy(ROOT / script, self.root / script)
        self.programs = Path(folder.name) / "bin"
        self.programs.mkdir()
        for tool in SYSTEM_TOOLS:
            found = shutil.which(tool)
            assert found is not None, tool
            (self.programs / tool).symlink_to(found)

    def write_program(self, path: Path, text: str) -> None:
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(f"#!/bin/sh\n{text}\n")
        path.chmod(0o755)

    def run_script(self, *arguments: str, **environment: str) -> subprocess.CompletedProcess[str]:
        inherited = {name: value for name, value in os.environ.items() if not name.startswith("PIP_")}
        return subprocess.run(
            arguments,
            cwd=self.root,
            env=inherited | {"PATH": str(self.programs)} | environment,
            text=True,
            capture_output=True,
            check=False,
        )

    def assert_one_line(self, done: subprocess.CompletedProcess[str], *expected: str) -> None:
        self.assertNotEqual(done.returncode, 0)
        self.assertEqual(len(done.stderr.splitlines()), 1, done)
        for text in expected:
            self.assertIn(text, done.stderr)


class SetUp(ScratchTree):
    """tools/setup.sh, with missing requirements."""

    def test_no_python(self) -> None:
        done = self.run_script("tools/setup.sh", "requirements.txt")
        self.assert_one_line(done, "Python 3.11 or newer is missing", "no python3 on the PATH")

    def test_an_unsuitable_python(self) -> None:
        for text, found in (
            ("echo 3.9", "python3 is 3.9"),
            ("echo Python 3.10.4", "python3 is Python 3.10.4"),
            ("echo 2.7", "python3 is 2.7"),
            ("exit 1", "python3 is no Python that runs"),
        ):
            with self.subTest(text):
                self.write_program(self.programs / "python3", text)
                done = self.run_script("tools/setup.sh", "requirements.txt")
                self.assert_one_line(done, "Python 3.11 or newer is missing", found)
                self.assertEqual(done.stdout, "")
                self.assertFalse((self.root / ".venv").exists())

    def test_no_venv_module(self) -> None:
        self.write_program(
            self.programs / "python3", '[ "$1" = -c ] && echo 3.11 || { echo no ensurepip; exit 1; }'
        )
        self.assert_one_line(self.run_script("tools/setup.sh", "requirements.txt"), "venv", "no ensurepip")

    def test_no_packages(self) -> None:
        (self.programs / "python3").symlink_to(sys.executable)
        (self.root / "requirements.txt").write_text("Twisted==26.10.0\n")
        done = self.run_script(
            "tools/setup.sh",
            "requirements.txt",
            PIP_INDEX_URL=NO_INDEX,
            PIP_CONFIG_FILE=os.devnull,
            PIP_NO_CACHE_DIR="1",
            PIP_RETRIES="0",
        )
        self.assert_one_line(done, "packages are missing", "requirements.txt", "Twisted==26.10.0")


class Checks(ScratchTree):
    """tools/test.sh and .ci/run, with stubs for the setup and the linters."""

    def setUp(self) -> None:
        super().setUp()
        self.write_program(self.root / "tools" / "setup.sh", "exit 0")
        for linter in ("ruff", "mypy"):
            self.write_program(self.root / ".venv" / "bin" / linter, "exit 0")
        self.write_program(self.root / ".venv" / "bin" / "python", f'exec {sys.executable} "$@"')
        (self.root / "README.md").write_text(f"## Test\n\n    {TEST_COMMAND}\n")
        (self.root / "tests").mkdir()
        (self.root / "tests" / "__init__.py").touch()

    def write_test(self, body: str) -> None:
        (self.root / "tests" / "test_one.py").write_text(SUITE.format(body=body))

    def test_passes_and_shows_how_many_tests_ran(self) -> None:
        self.write_test("pass")
        done = self.run_script("tools/test.sh")
        self.assertEqual(done.returncode, 0, done)
        self.assertRegex(done.stdout, r"(?m)^Ran 1 test in ")

    def test_a_failing_test_fails_the_run(self) -> None:
        self.write_test("self.fail()")
        done = self.run_script("tools/test.sh")
        self.assertNotEqual(done.returncode, 0)
        self.assertRegex(done.stdout, r"(?m)^Ran 1 test in ")

    def test_a_known_failure_is_printed_and_tolerated(self) -> None:
        self.write_test("self.fail()")
        (self.root / "KNOWN-RED.txt").write_text(KNOWN_RED)
        done = self.run_script("tools/test.sh")
        self.assertEqual(done.returncode, 0, done)
        self.assertIn(f"known red, and failed: {KNOWN_RED}", done.stdout)

    def test_a_known_failure_that_does_not_exist_fails_the_run(self) -> None:
        self.write_test("pass")
        (self.root / "KNOWN-RED.txt").write_text(KNOWN_RED.replace("test_one |", "test_two |"))
        self.assertNotEqual(self.run_script("tools/test.sh").returncode, 0)

    def test_no_test_and_no_command_fail_the_run(self) -> None:
        done = self.run_script("tools/test.sh")
        self.assertNotEqual(done.returncode, 0)
        self.assertIn("no test found", done.stderr)
        self.write_test("pass")
        (self.root / "README.md").write_text("nothing\n")
        done = self.run_script("tools/test.sh")
        self.assertNotEqual(done.returncode, 0)
        self.assertIn("no test command in README.md", done.stderr)

    def test_each_check_fails_the_run(self) -> None:
        self.write_test("pass")
        for program in (".venv/bin/ruff", ".venv/bin/mypy", "tools/setup.sh"):
            with self.subTest(program):
                path = self.root / program
                before = path.read_text()
                self.write_program(path, "exit 1")
                self.assertNotEqual(self.run_script("tools/test.sh").returncode, 0)
                path.write_text(before)

    def test_ci_runs_the_same_with_and_without_make(self) -> None:
        for test, passes in (("pass", True), ("self.fail()", False)):
            self.write_test(test)
            self.write_program(self.programs / "make", 'echo "made $1" && exec tools/test.sh')
            with_make = self.run_script(".ci/run")
            (self.programs / "make").unlink()
            without_make = self.run_script(".ci/run")
            for done in (with_make, without_make):
                self.assertEqual(done.returncode == 0, passes, done)
                self.assertRegex(done.stdout, r"(?m)^Ran 1 test in ")
            self.assertEqual("made test" in with_make.stdout, True)
            self.assertEqual("made test" in without_make.stdout, False)

    @unittest.skipUnless(shutil.which("make"), "there is no make on this machine")
    def test_make_runs_the_script_and_keeps_its_exit_code(self) -> None:
        make = shutil.which("make")
        assert make is not None
        for test, passes in (("pass", True), ("self.fail()", False)):
            self.write_test(test)
            done = self.run_script(make, "test")
            self.assertEqual(done.returncode == 0, passes, done)
            self.assertRegex(done.stdout, r"(?m)^Ran 1 test in ")
