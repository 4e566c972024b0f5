"""Whether requests may be sent by the list of engines. Free of I/O.

The list is held on a lease. A change counts as told as soon as an answer that holds it is sent, whether or
not it arrives; and no answer is sent before its question has left. So an answer that tells the list in force
renews the lease until the next question leaves, and for `patience` behind that; where no question leaves, for
UNASKED_MOST behind the one that was answered. Nothing else renews it: not silence, not an answer that cannot
be used, nor one that tells another list than the one in force.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from enum import StrEnum

from .answer_times import AnswerTimes

TOLD_WITHIN = 1500.0  # ms, by the protocol
UNASKED_PART = 2 / 3  # of that; the rest is for the distance between two questions, and the way
UNASKED_MOST = UNASKED_PART * TOLD_WITHIN
PATIENCE_PART = 0.5  # of the drain's grace
PATIENCE_LEAST = 100.0  # ms; a loop at rest polls each 50
SILENT_AFTER = 1000.0  # ms without an answer to repeated questions, and
SILENT_QUESTIONS = 20  # so many of them: from then on they are as far apart as usual
MOST_OPEN = 64  # questions of which the time is kept


class Doubt(StrEnum):
    """Why the list is not followed."""

    UNASKED = "no question has left"
    UNPOLLED = "sockets were not looked at"
    UNANSWERED = "a question has no answer"


class ListFreshness:
    """The lease on the list in force. Times are in ms.

    Attributes:
        confirmed_at: When the question left whose answer last told the list in force, or the list of the
            start was read; None where the list does not come by questions.
        open_since: When the later questions left, which have no such answer; the oldest first.
        answer_times: How long answers take.
        polled_at: Tells when sockets were looked at last, where that is known.
    """

    def __init__(self, drain_grace: float) -> None:
        self.is_ruled = drain_grace > 0.0  # else the settings name no such rule
        self.patience = max(PATIENCE_LEAST, PATIENCE_PART * drain_grace)
        self.confirmed_at: float | None = None
        self.open_since = deque[float]()
        self.answer_times = AnswerTimes()
        self.polled_at: Callable[[], float] | None = None

    def known(self, at: float) -> None:
        """The list of the start was read, which tells all until then."""
        self.confirmed_at = at

    def asked(self, now: float) -> None:
        """A question has left."""
        if self.confirmed_at is None:
            self.known(now)
        if len(self.open_since) >= MOST_OPEN:
            del self.open_since[1]  # the oldest one begins the doubt, the later ones end it
        self.open_since.append(now)

    def answered(self, now: float, asked_at: float) -> None:
        """The answer to the question that left at that time tells the list in force."""
        if self.confirmed_at is not None and asked_at < self.confirmed_at:
            return  # a later one was answered before
        self.answer_times.measured(now - asked_at)
        self.confirmed_at = asked_at
        while self.open_since and self.open_since[0] <= asked_at:
            self.open_since.popleft()

    def doubt(self, now: float) -> Doubt | None:
        """Why requests may not be sent by the list; None where they may."""
        if not self.is_ruled or self.confirmed_at is None:
            return None
        next_asked_at = self.open_since[0] if self.open_since else now
        if next_asked_at - self.confirmed_at > UNASKED_MOST:
            return Doubt.UNASKED
        if self.polled_at is not None and now - self.polled_at() > self.patience:
            return Doubt.UNPOLLED
        if now - next_asked_at > self.patience:
            return Doubt.UNANSWERED
        return None

    def followed(self, now: float) -> bool:
        """Whether requests may be sent by the list."""
        return self.doubt(now) is None

    def is_silent(self, now: float) -> bool:
        """Whether so many questions have no answer that asking more often brings nothing."""
        return len(self.open_since) >= SILENT_QUESTIONS and now - self.open_since[0] > SILENT_AFTER

    def repeat_after(self, now: float) -> float:
        """In how many ms the question that leaves now is to be repeated, if it has no answer; 0: as usual."""
        return 0.0 if self.is_silent(now) else self.answer_times.repeat_after()
