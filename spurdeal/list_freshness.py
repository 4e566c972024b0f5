"""Whether the list of engines may be followed, or is kept old by faults of our own. Free of I/O.

A drain counts as told once the name service has sent it, and TOLD_WITHIN after it happened at the latest to a
dispatcher that could have asked. So a list is followed only while questions leave and answers can be read.
Where both work and the name service says nothing, the silence is its own: the last list holds.

Two troubles make a list doubtful. No question has left for UNASKED_MOST: sends fail, there is no socket, or
the process stood still. Or reading has failed, and answers may lie unread. A doubtful list is followed again
with the next answer, or when a question that left after the trouble finds the name service silent. Besides,
no list is followed while sockets were not looked at for as long as an answer may lie unread.
"""

from __future__ import annotations

from collections.abc import Callable

TOLD_WITHIN = 1500.0  # ms, by the protocol
UNASKED_PART = 2 / 3  # of that; the rest is for the distance between two questions, and the way
UNASKED_MOST = UNASKED_PART * TOLD_WITHIN
UNREAD_PART = 0.5  # of the drain's grace: an answer that was not read may have told of a drain at once
UNREAD_LEAST = 100.0  # ms; a loop at rest polls each 50
ANSWER_WITHIN = 3000.0  # ms after a question; a name service that says nothing for so long is silent


class ListFreshness:
    """What is known of the questions for the list, and of reading their answers. Times are in ms.

    Attributes:
        asked_at: When a question left last; None where the list does not come by questions.
        doubtful_since: The beginning of a trouble that no answer has ended yet.
        asked_again_at: When the first question left since its last sign.
        polled_at: Tells when sockets were looked at last, where that is known.
    """

    def __init__(self, drain_grace: float) -> None:
        self.is_ruled = drain_grace > 0.0  # else the settings name no such rule
        self.unread_most = max(UNREAD_LEAST, UNREAD_PART * drain_grace)
        self.asked_at: float | None = None
        self.doubtful_since: float | None = None
        self.asked_again_at: float | None = None
        self.polled_at: Callable[[], float] | None = None

    def asked(self, now: float) -> None:
        """A question has left."""
        self.note_unasked(now)
        if self.doubtful_since is not None and self.asked_again_at is None:
            self.asked_again_at = now
        self.asked_at = now

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

    def answered(self) -> None:
        """An answer has told of the list."""
        self.doubtful_since = self.asked_again_at = None

    def is_unasked(self, now: float) -> bool:
        """Whether no question has left for too long."""
        return self.asked_at is not None and now - self.asked_at > UNASKED_MOST

    def is_unpolled(self, now: float) -> bool:
        """Whether an answer may lie unread for too long, as no socket was looked at."""
        return self.polled_at is not None and now - self.polled_at() > self.unread_most

    def followed(self, now: float) -> bool:
        """Whether requests may be sent by the list."""
        if not self.is_ruled:
            return True
        if self.is_unasked(now) or self.is_unpolled(now):
            return False
        if self.doubtful_since is None or now - self.doubtful_since <= self.unread_most:
            return True
        return self.asked_again_at is not None and now - self.asked_again_at > ANSWER_WITHIN
