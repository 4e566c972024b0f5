"""Requests ordered by key: estimates for how long a client may have held back a request before sending it.

Clients space out the requests of one key to make their order unambiguous. A request that has to wait for
earlier ones waits at its client, invisible to the dispatcher; its time runs, but it still reports its whole
wait budget (`Req-Wait-Ms`).

Requests of one key form a run; it ends when the key has had no request for longer than `order_settle`, the
setting that also delays a key's next request after an attempt of unknown outcome. A request of a run was
created after the run's first request was sent, or else the client would have sent it earlier. So the time
since that first request is an upper bound for how long it was held back.
"""

from __future__ import annotations

from typing import NamedTuple

MAX_WAIT_SHARE = 0.2  # of the wait that a request reports
MAX_RUNS = 1024


class Run(NamedTuple):
    """A series of requests with one key, each soon after the previous: times of the first and the last."""

    first: float
    last: float


class OrderedArrivals:
    """The runs that may continue, ordered by their last request.

    Attributes:
        max_gap: ms between two requests of one run, at most. 0: there are no runs.
    """

    def __init__(self, max_gap: float) -> None:
        self.max_gap = max_gap
        self.runs: dict[int, Run] = {}

    def hold_time(self, key: int, now: float, wait: float) -> float:
        """Records a request; returns for how many ms it may have been held back, up to MAX_WAIT_SHARE."""
        run = self.runs.pop(key, None)
        first = run.first if run is not None and now - run.last <= self.max_gap else now
        self.runs[key] = Run(first, now)
        self.expire(now)
        return min(now - first, MAX_WAIT_SHARE * wait)

    def expire(self, now: float) -> None:
        """Drops runs that have ended, and the oldest ones beyond MAX_RUNS."""
        while len(self.runs) > MAX_RUNS or next(iter(self.runs.values())).last < now - self.max_gap:
            del self.runs[next(iter(self.runs))]
