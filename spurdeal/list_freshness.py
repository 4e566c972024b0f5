"""Whether requests may be sent by the list of engines. Free of I/O.

The list is held on a lease. A change counts as told as soon as an answer that holds it is sent, whether or
not it arrives; and no answer is sent before its question has left. So requests may be sent while each
question that left more than `patience` ago has had its own answer, and that told the list in force. Nothing
else renews the lease: not silence, not an answer that cannot be used, nor one that tells an older list. A
question that stays without an answer is settled by ROW answers in a row to later questions, which tell the
same list: a single one may come from a replica that lags. Where no question leaves, the lease ends
UNASKED_MOST behind the one that was answered last.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from enum import StrEnum

from .answer_times import AnswerTimes
from .interface import Verdict

PROPAGATION_LIMIT = 1500.0  # ms, by the protocol
QUERY_GAP_SHARE = 2 / 3  # of that; the rest is for the distance between two questions, and the way
MAX_QUERY_GAP = QUERY_GAP_SHARE * PROPAGATION_LIMIT
RESPONSE_TIMEOUT_SHARE = 0.5  # of the drain's grace
MIN_RESPONSE_TIMEOUT = 100.0  # ms; a loop at rest polls each 50
MAX_CONFIGURATION_AGE = 1000.0  # ms from the writing of a start's configuration to its reading, at most
INITIAL_LEASE = (
    PROPAGATION_LIMIT - MAX_CONFIGURATION_AGE
)  # ms from its reading until the first question has to leave
SETTLING_RESPONSES = 6  # answers in a row that tell the list in force, after a question without one
MAX_OPEN_QUERIES = 64  # questions of which the time is kept


class StaleReason(StrEnum):
    """Why the list is not followed."""

    UNASKED = "no question has left"
    UNPOLLED = "sockets were not looked at"
    UNANSWERED = "a question has no answer"


class ListFreshness:
    """The lease on the list in force. Times are in ms.

    Attributes:
        confirmed_at: When the question left whose answer last told the list in force, or the list of the
            start was read; None where the list does not come by questions.
        open_since: When the questions left that have no answer of their own; the oldest first.
        unanswered: How many questions have left since the latest answer.
        row_since, row_length: When the first question of the latest answers in a row left, and how many these
            are.
        settled_from: When a question must have left at least, for its answer to settle earlier ones.
        answer_times: How long answers take.
        polled_at: Tells when sockets were looked at last, where that is known.
    """

    def __init__(self, drain_grace: float) -> None:
        self.is_enabled = drain_grace > 0.0  # else the settings name no such rule
        self.timeout = max(MIN_RESPONSE_TIMEOUT, RESPONSE_TIMEOUT_SHARE * drain_grace)
        self.confirmed_at: float | None = None
        self.unanswered_since = deque[float]()
        self.unanswered = 0
        self.run_start, self.run_length = 0.0, 0
        self.settles_from = float("-inf")
        self.answer_times = AnswerTimes()
        self.polled_at: Callable[[], float] | None = None

    def known(self, at: float) -> None:
        """The list of the start was read; it may have been written some time before."""
        self.confirmed_at = at + INITIAL_LEASE - MAX_QUERY_GAP

    def asked(self, now: float) -> None:
        """A question has left."""
        if self.confirmed_at is None:
            self.confirmed_at = now
        if len(self.unanswered_since) >= MAX_OPEN_QUERIES:
            del self.unanswered_since[1]  # the oldest one begins the doubt, the later ones end it
        self.unanswered_since.append(now)
        self.unanswered += 1

    def moved(self) -> None:
        """Another name service is asked from now on: it may lag behind what the one before it has told."""
        if self.unanswered_since:
            self.settles_from = self.unanswered_since[-1] + PROPAGATION_LIMIT

    def answered(self, now: float, asked_at: float, verdict: Verdict) -> None:
        """The answer to the question that left at that time told each engine that gets requests."""
        if self.confirmed_at is None or asked_at >= self.confirmed_at:
            self.answer_times.measured(now - asked_at)
            self.confirmed_at = asked_at
        if asked_at in self.unanswered_since:
            self.unanswered_since.remove(asked_at)
        self.unanswered = 0
        self.extend_run(asked_at, verdict)
        if asked_at >= self.settles_from and self.run_length >= SETTLING_RESPONSES:
            self.unanswered_since = deque(left for left in self.unanswered_since if left > self.run_start)

    def extend_run(self, asked_at: float, verdict: Verdict) -> None:
        """One more answer; another list, or a question without an answer between them, ends the row."""
        if asked_at < self.run_start:
            return
        missed = any(self.run_start < left < asked_at for left in self.unanswered_since)
        if verdict is Verdict.OLDER:
            self.run_start, self.run_length = asked_at, 0
        elif self.run_length and verdict is Verdict.CONFIRMED and not missed:
            self.run_length += 1
        else:
            self.run_start, self.run_length = asked_at, 1

    def has_unsettled_query(self) -> bool:
        """Whether a question has no answer, and a later one has: more answers are to settle it."""
        oldest = self.unanswered_since[0] if self.unanswered_since else float("inf")
        return self.confirmed_at is not None and oldest < self.confirmed_at

    def stale_reason(self, now: float) -> StaleReason | None:
        """Why requests may not be sent by the list; None where they may."""
        if not self.is_enabled or self.confirmed_at is None:
            return None
        next_asked_at = self.unanswered_since[0] if self.unanswered_since else now
        if next_asked_at - self.confirmed_at > MAX_QUERY_GAP:
            return StaleReason.UNASKED
        if self.polled_at is not None and now - self.polled_at() > self.timeout:
            return StaleReason.UNPOLLED
        if now - next_asked_at > self.timeout:
            return StaleReason.UNANSWERED
        return None

    def may_be_followed(self, now: float) -> bool:
        """Whether requests may be sent by the list."""
        return self.stale_reason(now) is None

    def retransmit_after(self, chance: float) -> float:
        """In how many ms the last question is to be repeated, if it has no answer; chance: 0 to 1."""
        return self.answer_times.retransmit_after(self.unanswered, chance)
