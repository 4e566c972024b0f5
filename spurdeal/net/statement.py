"""Extracts from an SQL statement the group of tables that it uses, in time linear in its length."""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import NamedTuple

TOKENS = re.compile(
    r"""
    (?:\s++|--[^\n]*+|[eE]'(?:[^'\\]|\\.|'')*+'|'(?:[^']|'')*+')*+
    (?:(?P<name>[^\W\d]\w*+)
    |(?P<comment>/\*)|(?P<dollar>\$(?:[^\W\d]\w*+)?\$)
    |"(?P<quoted>(?:[^"]|"")*+)"|`(?P<ticked>[^`]*+)`
    |(?P<other>.)
    |\Z)""",
    re.VERBOSE | re.DOTALL,
)
NAME, COMMENT, DOLLAR, QUOTED, TICKED, OTHER = range(1, 7)  # the groups of TOKENS
COMMENT_DELIMITERS = re.compile(r"/\*|\*/")
STRING_DELIMITERS = "'\"`"
QUOTE = '"'  # marks a quoted name among the tokens: unterminated quotes are no tokens
NAME_MARKS = "_" + QUOTE
SKIPPED = ""
GROUP_SCHEMA = re.compile(r".*_(\d{1,9})", re.DOTALL)
SCHEMA_END = re.compile(r"_\d{1,9}+(?!\w)")  # what each schema that GROUP_SCHEMA matches ends with
TABLE_KEYWORDS = {"from", "join", "into", "update", "table", "copy", "using", "only", "truncate", "merge"}
LIST_KEYWORDS = {"from", "using", "truncate", "table"}  # may be followed by several tables
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


def tokens(text: str) -> Iterator[str]:
    """Yields names and punctuation, and SKIPPED for a comment, which may be nested, or a `$tag$` string.

    Unquoted names are in lower case; a quoted one follows a QUOTE, without its own delimiters.
    """
    position, match = 0, TOKENS.match
    while (found := match(text, position)) is not None and (kind := found.lastindex) is not None:
        position = found.end()
        if kind == OTHER:
            character = found[OTHER]
            if character in STRING_DELIMITERS:  # without its end: the rest may all be a string
                return
            yield character
        elif kind == NAME:
            yield found[NAME].lower()
        elif kind == QUOTED:
            yield QUOTE + found[QUOTED].replace('""', '"')
        elif kind == TICKED:
            yield QUOTE + found[TICKED]
        else:
            end = closing_end(text, position, found[DOLLAR])
            if end is None:
                return
            position = end
            yield SKIPPED


def closing_end(text: str, position: int, delimiter: str | None) -> int | None:
    """The end of what was opened before this position: a string with this delimiter, or a comment."""
    if delimiter is None:
        return end_of_comment(text, position)
    closing = text.find(delimiter, position)
    return None if closing < 0 else closing + len(delimiter)


def end_of_comment(text: str, position: int) -> int | None:
    """The end of the comment whose opening delimiter ends at this position; None if it is not closed."""
    depth = 1
    while depth:
        delimiter = COMMENT_DELIMITERS.search(text, position)
        if delimiter is None:
            return None
        depth += 1 if delimiter[0] == "/*" else -1
        position = delimiter.end()
    return position


class TokenStream:
    """The tokens of a statement, up to a limit.

    Attributes:
        next: The token that is taken next; None at the end.
        taken: How many were read, comments and delimited strings among them: the measure of the work done.
        stopped: Whether the limit was reached before the end.
    """

    def __init__(self, text: str, limit: int) -> None:
        self.source, self.limit = tokens(text), limit
        self.taken, self.stopped = 0, False
        self.next = self.read()

    def read(self) -> str | None:
        """Reads up to the next token that is no comment or string; None at the end or at the limit."""
        while not self.stopped and (token := next(self.source, None)) is not None:
            self.stopped = self.taken >= self.limit
            self.taken += not self.stopped
            if token != SKIPPED and not self.stopped:
                return token
        return None

    def take(self) -> str | None:
        """Removes the next token; None at the end or at the limit."""
        token, self.next = self.next, self.read()
        return token

    def take_qualified_name(self, first: str) -> list[str]:
        """Removes what follows the first part of a name, as `.b.c` behind `a`; returns all parts."""
        parts = [first]
        while self.next == "." and self.take() and (part := self.take()) is not None:
            parts.append(part)
        return parts


def group_of_name(parts: list[str]) -> int:
    """The number at the end of the schema of a qualified name, or NO_GROUP."""
    if len(parts) < 2:
        return NO_GROUP
    schema = parts[-2].removeprefix(QUOTE)
    found = GROUP_SCHEMA.fullmatch(schema) if schema.lower() != STAGING else None
    return NO_GROUP if found is None else int(found[1])


class GroupFinder:
    """Reads tokens until the first table with a group.

    Attributes:
        in_list: By depth of parentheses: whether a comma is followed by another table.
        in_call: By depth: whether it is a function call, in which FROM is not followed by a table.
        table_next: Whether a name would be that of a table.
        fallback: The first group outside of a table position.
    """

    def __init__(self, stream: TokenStream) -> None:
        self.stream = stream
        self.in_list, self.in_call = [False], [False]
        self.table_next, self.fallback = False, NO_GROUP

    def find(self) -> int:
        """The group of the first table that has one; if none has, that of another name.

        Returns NO_GROUP if the limit of tokens is reached before.
        """
        previous = ""
        while (token := self.stream.take()) is not None:
            if not (token[0].isalpha() or token[0] in NAME_MARKS):
                self.read_punctuation(token)
            elif not self.read_keyword(token, previous):
                group = group_of_name(self.stream.take_qualified_name(token))
                if group != NO_GROUP and self.table_next and not self.stream.stopped:
                    return group
                if self.fallback == NO_GROUP:
                    self.fallback = group
                self.table_next = False
            previous = token
        return NO_GROUP if self.stream.stopped else self.fallback

    def read_keyword(self, word: str, previous: str) -> bool:
        """Handles a word if it is a keyword; returns whether it is one."""
        if word == "from" and (self.in_call[-1] or previous == "distinct"):
            self.table_next = False  # extract(day from a.b), a is distinct from b.c
        elif word in TABLE_KEYWORDS:
            self.table_next = True
            self.in_list[-1] = self.in_list[-1] or word in LIST_KEYWORDS
        elif word in CLAUSE_KEYWORDS:
            self.table_next = self.in_list[-1] = False
        else:
            return False
        return True

    def read_punctuation(self, character: str) -> None:
        """Handles a character of punctuation."""
        if character == "(":
            following = self.stream.next
            self.in_list.append(self.table_next)
            self.in_call.append(following is not None and following not in QUERY_STARTS)
        elif character == ")":
            self.leave_parentheses()
            self.table_next = False
        else:
            self.table_next = character == "," and self.in_list[-1]

    def leave_parentheses(self) -> None:
        """Handles a closing parenthesis; one that was not opened begins anew."""
        self.in_list.pop()
        self.in_call.pop()
        if not self.in_list:
            self.in_list, self.in_call = [False], [False]


class Reading(NamedTuple):
    """What was found out about a statement.

    Attributes:
        group: The number at the end of the name of the first schema that is read or written, as 17 of
            `sales_17`, or NO_GROUP. The schema `staging` does not count; one outside of a table position
            counts only if no table has one.
        tokens: How many tokens were read.
        complete: Whether no more tokens had to be read.
    """

    group: int
    tokens: int
    complete: bool


def read(statement: bytes, limit: int) -> Reading:
    """Reads a statement up to its first table that has a group, but at most `limit` tokens."""
    text = statement.decode("utf-8", "replace")
    if SCHEMA_END.search(text) is None:
        return Reading(NO_GROUP, 0, True)
    stream = TokenStream(text, limit)
    group = GroupFinder(stream).find()
    return Reading(group, stream.taken, not stream.stopped)


def table_group(statement: bytes) -> int:
    """The group of tables of a statement, however much of it has to be read."""
    return read(statement, len(statement) + 1).group
