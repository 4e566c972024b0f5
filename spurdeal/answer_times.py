"""Response times of the name server, and when an unanswered query is retransmitted. Free of I/O.

Only the last few responses count. A smoothed response time would take seconds to follow a server that has
become fast again, and until then a lost response would look like a slow one.
"""

from __future__ import annotations

from collections import deque

RECENT_RESPONSES = 2
LATE_FACTOR = 1.5  # a response later than this many times the slowest recent one may have been lost
MIN_RETRANSMIT = 40.0  # ms; an idle event loop polls its sockets every 50 ms at the latest
INITIAL_RETRANSMIT = 50.0  # ms, before the first response
JITTER = 0.5  # width of the random range as a share of the timeout, so that processes do not synchronize
BACKOFF = 1.5  # growth of the retransmission timeout with each further unanswered query
MAX_BACKOFF_STEPS = 10
MAX_BACKOFF = 200.0  # ms; the usual query interval
MAX_RETRANSMIT = 500.0  # ms, with a slow name server


class ResponseTimes:
    """The response times of the latest queries, in ms."""

    def __init__(self) -> None:
        self.recent = deque[float](maxlen=RECENT_RESPONSES)

    def record(self, response_time: float) -> None:
        """Records one response time in ms."""
        self.recent.append(response_time)

    def retransmit_after(self, unanswered: int, chance: float) -> float:
        """Ms until the last of `unanswered` queries is retransmitted; `chance` (0 to 1) sets the jitter."""
        late = LATE_FACTOR * max(self.recent) if self.recent else INITIAL_RETRANSMIT
        first = min(max(MIN_RETRANSMIT, late), MAX_RETRANSMIT)
        backoff = first * BACKOFF ** max(0, min(unanswered, MAX_BACKOFF_STEPS) - 1)
        jitter = 1.0 + JITTER * (chance - 0.5)
        return jitter * min(backoff, max(first, MAX_BACKOFF))
