"""No duration may be measured with the wall clock: only a few listed modules may read it."""

import ast
import unittest
from pathlib import Path

SOURCE = Path(__file__).parent.parent / "spurdeal"
WALL_CLOCK = {"time", "time_ns", "gmtime", "localtime", "ctime", "clock_gettime", "clock_gettime_ns"}
DATES = {"now", "utcnow", "today"}
READERS = {  # and their purpose
    "clocks.py",  # the origin of SteadyClock
    "cli/structured_logs.py",  # the time of a log line that has none
}
USERS_OF_UNIX_MS = {
    "clocks.py",
    "cli/clocks.py",  # tests shift it
    "cli/running.py",  # passed on, for the origin and the watch
    "net/service.py",  # passed on to the watch
}


def modules() -> list[Path]:
    """Lists the modules of the dispatcher; those in lab/ simulate other components."""
    return [path for path in sorted(SOURCE.rglob("*.py")) if "lab" not in path.relative_to(SOURCE).parts]


def named(path: Path) -> str:
    """Returns the path of a module within the package."""
    return path.relative_to(SOURCE).as_posix()


def names_of(node: ast.ImportFrom) -> list[str]:
    """Returns the names that a statement imports."""
    return [alias.name for alias in node.names]


def reads_wall_clock(tree: ast.AST) -> bool:
    """Whether a module uses a function that reads the wall clock or the date."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Attribute):
            owner = ast.unparse(node.value).rpartition(".")[2]
            if owner == "time" and node.attr in WALL_CLOCK:
                return True
            if owner in ("datetime", "date") and node.attr in DATES:
                return True
        elif isinstance(node, ast.ImportFrom) and node.module == "time" and WALL_CLOCK & set(names_of(node)):
            return True
    return False


def imports(tree: ast.AST, name: str) -> bool:
    """Whether a module imports that name from any other."""
    return any(isinstance(node, ast.ImportFrom) and name in names_of(node) for node in ast.walk(tree))


class Clocks(unittest.TestCase):
    """Static checks of all modules."""

    def test_who_reads_the_wall_clock(self) -> None:
        found = {named(path) for path in modules() if reads_wall_clock(ast.parse(path.read_text("utf-8")))}
        self.assertEqual(found, READERS)

    def test_who_is_given_it(self) -> None:
        trees = {named(path): ast.parse(path.read_text("utf-8")) for path in modules()}
        found = {name for name, tree in trees.items() if imports(tree, "unix_ms")}
        self.assertEqual(found | {"clocks.py"}, USERS_OF_UNIX_MS)

    def test_nobody_uses_twisteds_own_reactor(self) -> None:
        """The timers of that reactor use the wall clock."""
        for path in modules():
            tree = ast.parse(path.read_text("utf-8"))
            for node in ast.walk(tree):
                if isinstance(node, ast.ImportFrom) and node.module == "twisted.internet":
                    self.assertNotIn("reactor", names_of(node), named(path))

    def test_the_check_itself_finds_a_reader(self) -> None:
        for text in (
            "import time\ntime.time()",
            "from time import time",
            "import datetime\ndatetime.datetime.now()",
        ):
            self.assertTrue(reads_wall_clock(ast.parse(text)), text)
        self.assertFalse(reads_wall_clock(ast.parse("import time\ntime.monotonic()")))


if __name__ == "__main__":
    unittest.main()
