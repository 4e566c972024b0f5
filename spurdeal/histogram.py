"""A weighted histogram over bins given by the caller."""

from bisect import bisect_right
from collections.abc import Sequence


class Histogram:
    """Weights by bin. Bin i holds values with edges[i-1] <= value < edges[i].

    The first bin holds all values below edges[0], the last all from the last edge on. The edges must ascend.
    total is the sum of all weights.
    """

    __slots__ = ("_counts", "_edges", "total")

    def __init__(self, edges: Sequence[float]) -> None:
        self._edges = edges
        self._counts = [0.0] * (len(edges) + 1)
        self.total = 0.0

    def add(self, value: float, weight: float = 1.0) -> None:
        """Add a value with a weight."""
        self._counts[bisect_right(self._edges, value)] += weight
        self.total += weight

    def halve(self) -> None:
        """Halve all weights, so that newer values count for more."""
        self._counts = [count / 2 for count in self._counts]
        self.total /= 2

    def quantile(self, share: float) -> float:
        """The quantile at a share from 0 to 1, interpolated within its bin; 0.0 if empty.

        The lower bound of the first bin is taken as 0, and values in the last bin count as the last edge.
        """
        remaining, lower_edge = share * self.total, 0.0
        for edge, count in zip(self._edges, self._counts, strict=False):
            if count and remaining <= count:
                return lower_edge + (edge - lower_edge) * remaining / count
            remaining -= count
            lower_edge = edge
        return lower_edge if self.total else 0.0
