"""A mean of what has been seen so far, with a guess that stands until the first sample."""

from __future__ import annotations


class RunningMean:
    """Every sample counts alike up to `most` of them; from then on older ones fade."""

    def __init__(self, guess: float, most: int) -> None:
        self.value, self.samples, self.most = guess, 0, most

    def add(self, sample: float) -> float:
        """The mean with this sample in it."""
        self.samples = min(self.samples + 1, self.most)
        self.value += (sample - self.value) / self.samples
        return self.value
