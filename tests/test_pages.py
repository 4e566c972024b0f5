"""The introductory pages name only files, functions and commands that exist."""

import ast
import re
import unittest
from pathlib import Path

ROOT = Path(__file__).parent.parent
PAGES = ("README.md", "docs/architecture.md")
MAX_LINES = {"README.md": 160, "docs/architecture.md": 200}
CODE = re.compile(r"`([^`\n]+)`")
FILE = re.compile(r"(?:spurdeal|tests|docs|deploy|tools|\.ci)/[\w./-]*")
MEMBER = re.compile(r"([A-Z]\w+)\.(\w+)")
LINK = re.compile(r"\]\(([^)#:]+)\)")


def members_by_class() -> dict[str, set[str]]:
    """Returns by class of the package: its methods, class-level names and attributes of self."""
    found: dict[str, set[str]] = {}
    for path in (ROOT / "spurdeal").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text("utf-8"))):
            if isinstance(node, ast.ClassDef):
                found.setdefault(node.name, set()).update(names_of_class(node))
    return found


def names_of_class(node: ast.ClassDef) -> set[str]:
    """Returns the methods, the names bound in the class body, and the attributes of self."""
    names = set()
    for statement in node.body:
        if isinstance(statement, ast.AnnAssign) and isinstance(statement.target, ast.Name):
            names.add(statement.target.id)
        elif isinstance(statement, ast.Assign):
            names |= {target.id for target in statement.targets if isinstance(target, ast.Name)}
        elif isinstance(statement, ast.FunctionDef):
            names.add(statement.name)
    for inner in ast.walk(node):
        if (
            isinstance(inner, ast.Attribute)
            and isinstance(inner.value, ast.Name)
            and inner.value.id == "self"
        ):
            names.add(inner.attr)
    return names


class Pages(unittest.TestCase):
    def text(self, page: str) -> str:
        return (ROOT / page).read_text("utf-8")

    def test_files_and_links_exist(self) -> None:
        for page in PAGES:
            text = self.text(page)
            named = [code for code in CODE.findall(text) if FILE.fullmatch(code)]
            missing = [path for path in named if not (ROOT / path).exists()]
            missing += [
                link for link in LINK.findall(text) if not (ROOT / page).parent.joinpath(link).exists()
            ]
            self.assertEqual(missing, [], page)

    def test_classes_and_their_members_exist(self) -> None:
        known = members_by_class()
        for page in PAGES:
            named = [found for code in CODE.findall(self.text(page)) if (found := MEMBER.fullmatch(code))]
            missing = [found[0] for found in named if found[2] not in known.get(found[1], ())]
            self.assertEqual(missing, [], page)

    def test_make_targets_exist(self) -> None:
        targets = re.findall(r"^(\w+):", (ROOT / "Makefile").read_text("utf-8"), re.MULTILINE)
        for page in PAGES:
            named = set(re.findall(r"make (test|demo|\w+)(?=`|$)", self.text(page), re.MULTILINE))
            self.assertLessEqual(named, set(targets), page)

    def test_pages_stay_short(self) -> None:
        for page, max_lines in MAX_LINES.items():
            self.assertLess(len(self.text(page).splitlines()), max_lines, page)
