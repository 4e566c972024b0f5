"""Reads from a statement which group of tables it uses."""

import re
from collections.abc import Iterator

TOKENS = re.compile(
    r"""
    (?P<skip>\s+|--[^\n]*|[eE]'(?:[^'\\]|\\.|'')*+'|'(?:[^']|'')*+')
    |(?P<comment>/\*)|(?P<dollar>\$(?:[^\W\d]\w*)?\$)
    |"(?P<quoted>(?:[^"]|"")*+)"|`(?P<ticked>[^`]*+)`
    |(?P<name>[^\W\d]\w*)
    |(?P<other>.)""",
    re.VERBOSE | re.DOTALL,
)
COMMENT_MARKS = re.compile(r"/\*|\*/")
GROUP = re.compile(r".*_(\d{1,9})", re.DOTALL)
BEFORE_TABLE = {"from", "join", "into", "update", "table", "copy", "using", "only", "truncate", "merge"}
ENDS_TABLES = {
    "where",
    "group",
    "order",
    "having",
    "limit",
    "union",
    "except",
    "intersect",
    "on",
    "set",
    "values",
    "select",
    "returning",
    "window",
    "fetch",
    "offset",
    "for",
}
QUERIES = {"select", "with", "("}
STAGING = "staging"
NO_GROUP = -1


def tokens(text: str) -> Iterator[tuple[str, bool]]:
    """Names and marks, with whether a name was quoted. Comments nest."""
    at = 0
    while at < len(text):
        found = TOKENS.match(text, at)
        assert found is not None
        at = found.end()
        if found["comment"]:
            depth = 1
            while depth and (mark := COMMENT_MARKS.search(text, at)):
                depth, at = depth + (1 if mark[0] == "/*" else -1), mark.end()
            if depth:
                return
        elif found["dollar"]:
            closed = text.find(found["dollar"], at)
            if closed < 0:
                return
            at = closed + len(found["dollar"])
        elif found["quoted"] is not None:
            yield found["quoted"].replace('""', '"'), True
        elif found["ticked"] is not None:
            yield found["ticked"], True
        elif found["name"]:
            yield found["name"], False
        elif found["other"]:
            if found["other"] in "'\"`":  # never closed: nothing behind it can be told from a string
                return
            yield found["other"], False


def table_group(statement: bytes) -> int:
    """The number behind the underscore of the first schema that is read or written; -1 without one."""
    words = list(tokens(statement.decode("utf-8", "replace")))
    lists: list[bool] = [False]  # by depth of brackets: whether a comma leads to another table
    calls: list[bool] = [False]  # by depth: whether it is no query, so that FROM there names no table
    table, fallback, place, before = False, NO_GROUP, 0, ""
    while place < len(words):
        word, quoted = words[place]
        lower = word if quoted else word.lower()
        place, before, last = place + 1, lower, before
        if not quoted and lower == "(":
            lists.append(table)
            calls.append(place < len(words) and words[place][0].lower() not in QUERIES)
        elif not quoted and lower == ")":
            lists, calls = lists[:-1] or [False], calls[:-1] or [False]
            table = False
        elif not quoted and lower == "from" and (calls[-1] or last == "distinct"):
            table = False  # extract(day from a.b), a is distinct from b.c
        elif not quoted and lower == ",":
            table = lists[-1]
        elif not quoted and lower in BEFORE_TABLE:
            table = True
            lists[-1] = lists[-1] or lower in ("from", "using", "truncate", "table")
        elif not quoted and lower in ENDS_TABLES:
            table = lists[-1] = False
        elif quoted or word[0].isalpha() or word[0] == "_":
            parts = [lower]
            while place + 1 < len(words) and words[place] == (".", False):
                parts.append(words[place + 1][0])
                place += 2
            schema = GROUP.fullmatch(parts[-2]) if len(parts) > 1 and parts[-2].lower() != STAGING else None
            if schema and table:
                return int(schema[1])
            if schema and fallback == NO_GROUP:
                fallback = int(schema[1])
            table = False
        else:
            table = False
    return fallback
