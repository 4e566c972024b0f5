"""Whether the list of engines may be followed, or may have been overtaken unheard. Free of I/O.

A change counts as told as soon as an answer that holds it is sent, whether or not that arrives. So the list
is in doubt from the first question on that stays without an answer: it may have been answered with news.
Where SILENT_QUESTIONS in SILENT_AFTER have no answer, the name service is taken for silent, and the
list is followed on. But a change counts as told NEWS_DELAY after it happened at the latest, also where the
name service says nothing: so no list is followed that is older than that. It is as old as the question whose
answer brought or confirmed it.

Faults of our own make the list doubtful for longer. No question has left for UNASKED_MOST: sends fail, there
is no socket, or the process stood still. Or reading has failed, and answers may lie unread. Then it is
followed again with the next answer, or when a question that left after the fault finds the name service
silent. Besides, no list is followed while sockets were not looked at for as long as an answer may lie unread.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from enum import StrEnum

from .answer_times import AnswerTimes
from .slow_start import NEWS_DELAY

TOLD_WITHIN = 1500.0  # ms, by the protocol
UNASKED_PART = 2 / 3  # of that; the rest is for the distance between two questions, and the way
UNASKED_MOST = UNASKED_PART * TOLD_WITHIN
UNREAD_PART = 0.5  # of the drain's grace: an answer that was not read may have told of a drain at once
UNREAD_LEAST = 100.0  # ms; a loop at rest polls each 50
SILENT_AFTER = 1000.0  # ms without an answer to repeated questions, and
SILENT_QUESTIONS = 20  # so many of them: they were not lost one by one
ANSWER_WITHIN = 3000.0  # ms after a question behind a fault of our own
MOST_ASKED = 64  # questions of which the time is kept


class Doubt(StrEnum):
    """Why the list is not followed."""

    UNASKED = "no question has left"
    UNPOLLED = "sockets were not looked at"
    UNREAD = "answers could not be read"
    UNANSWERED = "a question has no answer"
    OUTDATED = "no answer for as long as news may take"


class ListFreshness:
    """What is known of the questions for the list, and of reading their answers. Times are in ms.

    Attributes:
        asked_at: When a question left last; None where the list does not come by questions.
        current_at: When the question left whose answer brought or confirmed the list in force.
        open_since: When the questions left that have no answer, the oldest first.
        answer_times: How long answers take.
        doubtful_since: The beginning of a fault of our own that no answer has ended yet.
        asked_again_at: When the first question left since its last sign.
        polled_at: Tells when sockets were looked at last, where that is known.
    """

    def __init__(self, drain_grace: float) -> None:
        self.is_ruled = drain_grace > 0.0  # else the settings name no such rule
        self.unread_most = max(UNREAD_LEAST, UNREAD_PART * drain_grace)
        self.asked_at: float | None = None
        self.current_at = float("-inf")
        self.open_since = deque[float]()
        self.answer_times = AnswerTimes()
        self.doubtful_since: float | None = None
        self.asked_again_at: float | None = None
        self.polled_at: Callable[[], float] | None = None

    def known(self, at: float) -> None:
        """The list of the start was read, which tells all until then."""
        self.asked_at = self.current_at = at

    def asked(self, now: float) -> None:
        """A question has left."""
        if self.asked_at is None:
            self.known(now)
        self.note_unasked(now)
        if self.doubtful_since is not None and self.asked_again_at is None:
            self.asked_again_at = now
        self.asked_at = now
        if len(self.open_since) < MOST_ASKED:
            self.open_since.append(now)

    def unread(self, now: float) -> None:
        """Reading has failed, or the socket that answers would have come to has ended."""
        self.note_unasked(now)
        if self.doubtful_since is None:
            self.doubtful_since = now
        self.asked_again_at = None

    def note_unasked(self, now: float) -> None:
        """Where no question has left for too long, the trouble began with that."""
        if self.doubtful_since is None and self.is_unasked(now):
            self.doubtful_since = self.asked_at

    def answered(self, now: float, asked_at: float) -> None:
        """The list in force is that of an answer to the question which left at that time."""
        self.answer_times.measured(now - asked_at)
        self.current_at = max(self.current_at, asked_at)
        while self.open_since and self.open_since[0] <= asked_at:
            self.open_since.popleft()
        self.doubtful_since = self.asked_again_at = None

    def is_unasked(self, now: float) -> bool:
        """Whether no question has left for too long."""
        return self.asked_at is not None and now - self.asked_at > UNASKED_MOST

    def is_unpolled(self, now: float) -> bool:
        """Whether an answer may lie unread for too long, as no socket was looked at."""
        return self.polled_at is not None and now - self.polled_at() > self.unread_most

    def is_unread(self, now: float) -> bool:
        """Whether a fault of our own may have kept an answer from us."""
        if self.doubtful_since is None or now - self.doubtful_since <= self.unread_most:
            return False
        return self.asked_again_at is None or now - self.asked_again_at <= ANSWER_WITHIN

    def is_unanswered(self, now: float) -> bool:
        """Whether an answer may have been lost, or is late: later than answers usually are."""
        if not self.open_since:
            return False
        patience = max(self.unread_most, self.answer_times.expected())
        return now - self.open_since[0] > patience and not self.is_silent(now)

    def is_silent(self, now: float) -> bool:
        """Whether so many questions have no answer that the name service itself says nothing."""
        if len(self.open_since) < SILENT_QUESTIONS:
            return False
        return now - self.open_since[0] > SILENT_AFTER

    def is_outdated(self, now: float) -> bool:
        """Whether changes count as told that happened after the list in force was current."""
        return self.asked_at is not None and now - self.current_at > NEWS_DELAY + self.unread_most

    def doubt(self, now: float) -> Doubt | None:
        """Why requests may not be sent by the list; None where they may."""
        if not self.is_ruled:
            return None
        if self.is_unasked(now):
            return Doubt.UNASKED
        if self.is_unpolled(now):
            return Doubt.UNPOLLED
        if self.is_unread(now):
            return Doubt.UNREAD
        if self.is_unanswered(now):
            return Doubt.UNANSWERED
        return Doubt.OUTDATED if self.is_outdated(now) else None

    def followed(self, now: float) -> bool:
        """Whether requests may be sent by the list."""
        return self.doubt(now) is None

    def repeat_after(self, now: float) -> float:
        """In how many ms the question that leaves now is to be repeated, if it has no answer; 0 for never.

        Once the name service is taken for silent, the usual questions do.
        """
        return 0.0 if self.is_silent(now) else self.answer_times.repeat_after()
