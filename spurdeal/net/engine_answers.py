"""Answers of engines, as arrays of bulk strings: read and checked. Free of I/O."""

from __future__ import annotations

from typing import NamedTuple

from ..interface import Ending
from .resp import BadAnswer

ENDINGS = {b"503": Ending.FULL, b"500": Ending.ERROR, b"504": Ending.MOOT}
WORDS = (b"200", b"chunk", *ENDINGS)
PARTS, MOST_PAGES, COLUMNS = 4, 256, 3


class EngineAnswer(NamedTuple):
    """One answer; its id and body last only as long as the buffer that it was read from."""

    ident: memoryview
    word: bytes
    fields: dict[str, str]
    body: memoryview


def read_fields(text: memoryview) -> dict[str, str]:
    """A list `name=value,name=value`, or `-` for none.

    Raises:
        BadAnswer: It has another form.
    """
    words = bytes(text).decode("utf-8")
    if words == "-":
        return {}
    pairs = [pair.partition("=") for pair in words.split(",")]
    if not all(mark for _, mark, _ in pairs):
        raise BadAnswer("fields cannot be read")
    return {name: value for name, _, value in pairs}


def read(parts: list[memoryview]) -> EngineAnswer:
    """The parts of one answer.

    Raises:
        BadAnswer: It has another number of parts, an unknown word, or fields that cannot be read.
    """
    if len(parts) != PARTS:
        raise BadAnswer(f"{len(parts)} parts where {PARTS} were expected")
    answer = EngineAnswer(parts[0], bytes(parts[1]), read_fields(parts[2]), parts[3])
    if answer.word not in WORDS:
        raise BadAnswer("an answer with an unknown word")
    return answer


def number_of_pages(fields: dict[str, str]) -> int:
    """How many pages a result has.

    Raises:
        BadAnswer: It has none, or too many.
        ValueError: It tells no number.
    """
    pages = int(fields.get("parts", "1"))
    if not 1 <= pages <= MOST_PAGES:
        raise BadAnswer("a result has no usable number of pages")
    return pages


def page_of(text: memoryview) -> bytes:
    """A copy of a page, which outlives the buffer.

    Raises:
        BadAnswer: It does not hold whole rows.
        UnicodeDecodeError: It is no text.
    """
    page = bytes(text)
    if page and not page.endswith(b"\n"):
        raise BadAnswer("a page does not hold whole rows")
    if any(row.count(b"\t") != COLUMNS - 1 for row in page.split(b"\n")[:-1]):
        raise BadAnswer("a page does not hold whole rows")
    page.decode("utf-8")
    return page
