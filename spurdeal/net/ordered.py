"""Requests that must keep an order by key: for how long a client may have held one back.

Clients send the requests of one key some distance apart, so that their order is plain. One that has to wait
for those before it waits at its client, unseen, while its time runs, and still tells the whole wait as its
own. It was made after the first of its run, or it would have been sent before that. A run ends where a key
has rested for as long as the settings let it rest after a doubtful end (`order_settle`)."""

from __future__ import annotations

from typing import NamedTuple

MAX_WAIT_SHARE = 0.2  # of the wait that a request tells
MAX_RUNS = 1024


class Run(NamedTuple):
    """Requests of one key, each close behind the one before."""

    first: float
    last: float


class OrderedArrivals:
    """The runs that may still go on, the one longest without a request first.

    Attributes:
        rest: ms; requests of one key that come no further apart may be a run. 0: none is.
    """

    def __init__(self, max_gap: float) -> None:
        self.max_gap = max_gap
        self.runs: dict[int, Run] = {}

    def hold_time(self, key: int, now: float, wait: float) -> float:
        """One more of this key has come: ms for which it may have been held back, so far as is counted."""
        run = self.runs.pop(key, None)
        first = run.first if run is not None and now - run.last <= self.max_gap else now
        self.runs[key] = Run(first, now)
        self.expire(now)
        return min(now - first, MAX_WAIT_SHARE * wait)

    def expire(self, now: float) -> None:
        while len(self.runs) > MAX_RUNS or next(iter(self.runs.values())).last < now - self.max_gap:
            del self.runs[next(iter(self.runs))]
