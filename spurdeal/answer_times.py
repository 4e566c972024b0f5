"""How long a server takes to answer, and when a question without an answer is repeated. Free of I/O.

The last few answers alone count: a smoothed time would take seconds to follow a server that is quick again,
and for so long a lost answer would look like a slow one.
"""

from __future__ import annotations

from collections import deque

RECENT_RESPONSES = 2  # answers
LATE_FACTOR = 1.5  # of the slowest recent answer: an answer later than that may have been lost
MIN_RETRANSMIT = 40.0  # ms; a loop at rest looks at its sockets each 50 at the latest
INITIAL_RETRANSMIT = 50.0  # ms, before anything was measured
SPREAD = 0.5  # of a pause, from its shortest to its longest: many processes must not ask in step
BACKOFF = 1.5  # times the pause before, for each further question without an answer
MAX_BACKOFF_STEPS = 10  # of it
MAX_BACKOFF = 200.0  # ms; as far apart as questions usually are
MAX_RETRANSMIT = 500.0  # ms, where answers are slow


class AnswerTimes:
    """The times of the last answers, in ms."""

    def __init__(self) -> None:
        self.recent = deque[float](maxlen=RECENT_RESPONSES)

    def measured(self, took: float) -> None:
        """An answer has taken so many ms."""
        self.recent.append(took)

    def retransmit_after(self, unanswered: int, chance: float) -> float:
        """After how many ms the last of so many questions without an answer is repeated; chance: 0 to 1."""
        late = LATE_FACTOR * max(self.recent) if self.recent else INITIAL_RETRANSMIT
        first = min(max(MIN_RETRANSMIT, late), MAX_RETRANSMIT)
        backoff = first * BACKOFF ** max(0, min(unanswered, MAX_BACKOFF_STEPS) - 1)
        spread = 1.0 + SPREAD * (chance - 0.5)
        return spread * min(backoff, max(first, MAX_BACKOFF))
