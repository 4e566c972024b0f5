"""The pages of an engine's result, checked and put together as they arrive in any order. Does no I/O."""

from __future__ import annotations

from .engine_answers import EngineAnswer, page_of
from .resp import BadAnswer

MAX_RESULT_BYTES = 96_000


class PartialResult:
    """A result of which the first page has arrived.

    Attributes:
        page_count: The number of its pages.
        report: The load report that came with its first page.
        pages: The pages received so far, by number.
        size: Their bytes in all.
    """

    def __init__(self, answer: EngineAnswer, report: tuple[float, ...]) -> None:
        """Begin with an answer 200.

        Raises:
            BadAnswer: It doesn't tell its number of pages, or its page is malformed or too large.
            UnicodeDecodeError: Its page is not UTF-8.
        """
        self.page_count, self.report = answer.page_count(), report
        self.pages = dict[int, bytes]()
        self.size = 0
        self.add(answer)

    def add(self, answer: EngineAnswer) -> bool:
        """Add the page of an answer; returns False for a second copy, which is superfluous.

        Raises:
            BadAnswer: The page was not requested, is malformed, makes the result too large, or differs from
                its first copy: one of them is spoilt.
            UnicodeDecodeError: The page is not UTF-8.
        """
        number = answer.page_number()
        if number >= self.page_count:
            raise BadAnswer("a page that was not requested")
        if number in self.pages:
            same_count = number > 0 or answer.page_count() == self.page_count
            if not same_count or answer.body != self.pages[number]:
                raise BadAnswer("a second copy that differs from the first")
            return False
        self.size += len(answer.body)
        if self.size > MAX_RESULT_BYTES:
            raise BadAnswer("a result is too large")
        self.pages[number] = page_of(answer.body)
        return True

    def whole(self) -> tuple[bytes, ...] | None:
        """All pages in order; None while some are missing."""
        if len(self.pages) < self.page_count:
            return None
        return tuple(self.pages[number] for number in range(self.page_count))
