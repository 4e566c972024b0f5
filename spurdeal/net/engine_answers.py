"""Parses and validates the answers of engines, which are RESP arrays of bulk strings. Does no I/O."""

from __future__ import annotations

import re
from typing import NamedTuple

from ..interface import NEVER_RAN, Ending
from .resp import BadAnswer

# 503: refused as full. 500: failed. 504: not run, so it counts as if it had not been sent.
ENDINGS = {b"503": Ending.FULL, b"500": Ending.ERROR, b"504": Ending.MOOT}
STATUSES = (b"200", b"chunk", *ENDINGS)
PARTS, MAX_PAGES, COLUMNS = 4, 256, 3
PAGE_COUNT, PAGE_NUMBER = "parts", "part_no"  # fields of a result, each required with one status
RESULT_FIELDS = {PAGE_COUNT, PAGE_NUMBER}
NUMBER = re.compile(r"[0-9]{1,9}")  # int() takes signs, blanks, underscores and other scripts' digits too


class EngineAnswer(NamedTuple):
    """One answer; its id and body are valid only as long as the buffer that they were read from.

    What a status requires is checked where it is used: answers to no open attempt are superfluous, and need
    not have it.
    """

    ident: memoryview
    status: bytes
    fields: dict[str, str]
    body: memoryview

    @property
    def report(self) -> str:
        """The load report, as text; empty if there is none."""
        return self.fields.get("stats", "")

    def page_count(self) -> int:
        """The number of pages of the result, which an answer 200 has to tell.

        Raises:
            BadAnswer: It is missing or invalid.
        """
        return required_number(self.fields, PAGE_COUNT, MAX_PAGES)

    def page_number(self) -> int:
        """The number of the page: 0 in an answer 200; any other has to tell it.

        Raises:
            BadAnswer: It is missing or invalid.
        """
        return 0 if self.status == b"200" else required_number(self.fields, PAGE_NUMBER, MAX_PAGES - 1)

    def has_further_pages(self) -> bool:
        """Whether it tells of more pages than its own.

        Raises:
            BadAnswer: The number of pages is invalid.
        """
        return self.status == b"200" and PAGE_COUNT in self.fields and self.page_count() > 1


def read_fields(text: memoryview) -> dict[str, str]:
    """Parse a list `name=value,name=value`, or `-` for an empty one.

    Raises:
        BadAnswer: The text has another form, or a name comes twice.
    """
    text_fields = bytes(text).decode("utf-8")
    if text_fields == "-":
        return {}
    pairs = [pair.partition("=") for pair in text_fields.split(",")]
    if not all(separator for _, separator, _ in pairs):
        raise BadAnswer("fields cannot be parsed")
    fields = {name: value for name, _, value in pairs}
    if len(fields) < len(pairs):
        raise BadAnswer("a field comes twice")
    return fields


def read(parts: list[memoryview]) -> EngineAnswer:
    """Parse the parts of one answer.

    Raises:
        BadAnswer: It has a wrong number of parts, an unknown status, or fields that cannot be parsed; or it
            is to prove that nothing ran, and has a field of a result.
    """
    if len(parts) != PARTS:
        raise BadAnswer(f"{len(parts)} parts where {PARTS} were expected")
    answer = EngineAnswer(parts[0], bytes(parts[1]), read_fields(parts[2]), parts[3])
    if answer.status not in STATUSES:
        raise BadAnswer("an answer has an unknown status")
    if ENDINGS.get(answer.status) in NEVER_RAN and answer.fields.keys() & RESULT_FIELDS:
        raise BadAnswer("a refusal that has a result")
    return answer


def required_number(fields: dict[str, str], name: str, maximum: int) -> int:
    """The value of a field that must be there, from 1 on.

    Raises:
        BadAnswer: The field is missing, or its value is not a number or out of range.
    """
    if name not in fields:
        raise BadAnswer(f"an answer without its field {name}")
    if not NUMBER.fullmatch(fields[name]):
        raise BadAnswer(f"the field {name} is not a number")
    value = int(fields[name])
    if not 1 <= value <= maximum:
        raise BadAnswer(f"the field {name} is out of range")
    return value


def page_of(text: memoryview) -> bytes:
    """Copy a page out of the buffer, and validate it.

    Raises:
        BadAnswer: It does not consist of whole rows.
        UnicodeDecodeError: It is not UTF-8.
    """
    page = bytes(text)
    if page and not page.endswith(b"\n"):
        raise BadAnswer("a page does not consist of whole rows")
    if any(row.count(b"\t") != COLUMNS - 1 for row in page.split(b"\n")[:-1]):
        raise BadAnswer("a page does not consist of whole rows")
    page.decode("utf-8")
    return page
