"""Parses and validates the answers of engines, which are RESP arrays of bulk strings. Does no I/O."""

from __future__ import annotations

from typing import NamedTuple

from ..interface import Ending
from .resp import BadAnswer

# 503: refused as full. 500: failed. 504: not run, so it counts as if it had not been sent.
ENDINGS = {b"503": Ending.FULL, b"500": Ending.ERROR, b"504": Ending.MOOT}
STATUSES = (b"200", b"chunk", *ENDINGS)
PARTS, MAX_PAGES, COLUMNS = 4, 256, 3


class EngineAnswer(NamedTuple):
    """One answer; its id and body are valid only as long as the buffer that they were read from."""

    ident: memoryview
    status: bytes
    fields: dict[str, str]
    body: memoryview


def read_fields(text: memoryview) -> dict[str, str]:
    """Parse a list `name=value,name=value`, or `-` for an empty one.

    Raises:
        BadAnswer: The text has another form.
    """
    text_fields = bytes(text).decode("utf-8")
    if text_fields == "-":
        return {}
    pairs = [pair.partition("=") for pair in text_fields.split(",")]
    if not all(separator for _, separator, _ in pairs):
        raise BadAnswer("fields cannot be parsed")
    return {name: value for name, _, value in pairs}


def read(parts: list[memoryview]) -> EngineAnswer:
    """Parse the parts of one answer.

    Raises:
        BadAnswer: It has a wrong number of parts, an unknown status, or fields that cannot be parsed.
    """
    if len(parts) != PARTS:
        raise BadAnswer(f"{len(parts)} parts where {PARTS} were expected")
    answer = EngineAnswer(parts[0], bytes(parts[1]), read_fields(parts[2]), parts[3])
    if answer.status not in STATUSES:
        raise BadAnswer("an answer has an unknown status")
    return answer


def number_of_pages(fields: dict[str, str]) -> int:
    """The number of pages of a result.

    Raises:
        BadAnswer: The number is out of range.
        ValueError: It is not a number.
    """
    pages = int(fields.get("parts", "1"))
    if not 1 <= pages <= MAX_PAGES:
        raise BadAnswer("the number of pages of a result is out of range")
    return pages


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
