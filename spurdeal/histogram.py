"""A small histogram over edges that the caller hands in."""

from bisect import bisect_right
from collections.abc import Sequence


class Histogram:
    """Counts by bin; bin i holds the values below edges[i], the last one all the rest."""

    __slots__ = ("_counts", "_edges", "total")

    def __init__(self, edges: Sequence[float]) -> None:
        self._edges = edges
        self._counts = [0.0] * (len(edges) + 1)
        self.total = 0.0

    def add(self, value: float, weight: float = 1.0) -> None:
        """Count a value with a weight."""
        self._counts[bisect_right(self._edges, value)] += weight
        self.total += weight

    def halve(self) -> None:
        """Halve all counts, so that newer values weigh more."""
        self._counts = [count / 2 for count in self._counts]
        self.total /= 2

    def quantile(self, share: float) -> float:
        """The value that this share of the weight lies below, even within a bin; 0.0 when empty."""
        want, floor = share * self.total, 0.0
        for edge, count in zip(self._edges, self._counts, strict=False):
            if count and want <= count:
                return floor + (edge - floor) * want / count
            want -= count
            floor = edge
        return floor if self.total else 0.0
