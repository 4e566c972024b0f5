"""Extracts from an SQL statement the group of tables that it uses."""

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
COMMENT_DELIMITERS = re.compile(r"/\*|\*/")
GROUP_SCHEMA = re.compile(r".*_(\d{1,9})", re.DOTALL)
TABLE_KEYWORDS = {"from", "join", "into", "update", "table", "copy", "using", "only", "truncate", "merge"}
CLAUSE_KEYWORDS = {
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
QUERY_STARTS = {"select", "with", "("}
STAGING = "staging"
NO_GROUP = -1


def tokens(text: str) -> Iterator[tuple[str, bool]]:
    """Yields names and punctuation, each with whether it is a quoted name. Comments may be nested."""
    position = 0
    while position < len(text):
        found = TOKENS.match(text, position)
        assert found is not None
        position = found.end()
        if found["comment"]:
            depth = 1
            while depth and (delimiter := COMMENT_DELIMITERS.search(text, position)):
                depth, position = depth + (1 if delimiter[0] == "/*" else -1), delimiter.end()
            if depth:
                return
        elif found["dollar"]:
            closed = text.find(found["dollar"], position)
            if closed < 0:
                return
            position = closed + len(found["dollar"])
        elif found["quoted"] is not None:
            yield found["quoted"].replace('""', '"'), True
        elif found["ticked"] is not None:
            yield found["ticked"], True
        elif found["name"]:
            yield found["name"], False
        elif found["other"]:
            if found["other"] in "'\"`":  # an unterminated quote: the rest may all be a string
                return
            yield found["other"], False


def table_group(statement: bytes) -> int:
    """The number at the end of the name of the first schema that is read or written, as 17 of `sales_17`.

    Returns NO_GROUP without one. The schema `staging` does not count; one outside of a table position
    counts only if no table has one.
    """
    tokenized = list(tokens(statement.decode("utf-8", "replace")))
    lists: list[bool] = [False]  # by depth of parentheses: whether a comma is followed by another table
    # By depth: whether it is a function call, in which FROM is not followed by a table.
    calls: list[bool] = [False]
    table, fallback, index, before = False, NO_GROUP, 0, ""
    while index < len(tokenized):
        word, quoted = tokenized[index]
        lower = word if quoted else word.lower()
        index, before, last = index + 1, lower, before
        if not quoted and lower == "(":
            lists.append(table)
            calls.append(index < len(tokenized) and tokenized[index][0].lower() not in QUERY_STARTS)
        elif not quoted and lower == ")":
            lists, calls = lists[:-1] or [False], calls[:-1] or [False]
            table = False
        elif not quoted and lower == "from" and (calls[-1] or last == "distinct"):
            table = False  # extract(day from a.b), a is distinct from b.c
        elif not quoted and lower == ",":
            table = lists[-1]
        elif not quoted and lower in TABLE_KEYWORDS:
            table = True
            lists[-1] = lists[-1] or lower in ("from", "using", "truncate", "table")
        elif not quoted and lower in CLAUSE_KEYWORDS:
            table = lists[-1] = False
        elif quoted or word[0].isalpha() or word[0] == "_":
            parts = [lower]
            while index + 1 < len(tokenized) and tokenized[index] == (".", False):
                parts.append(tokenized[index + 1][0])
                index += 2
            schema = (
                GROUP_SCHEMA.fullmatch(parts[-2]) if len(parts) > 1 and parts[-2].lower() != STAGING else None
            )
            if schema and table:
                return int(schema[1])
            if schema and fallback == NO_GROUP:
                fallback = int(schema[1])
            table = False
        else:
            table = False
    return fallback
