"""A running mean with an initial guess, which the first sample replaces."""

from __future__ import annotations


class RunningMean:
    """The mean of the samples; beyond `most` of them an exponential average with weight 1/most.

    Attributes:
        value: The mean; the guess before the first sample.
        samples: Samples so far, at most `most`.
        most: At least 1.
    """

    def __init__(self, guess: float, most: int) -> None:
        self.value, self.samples, self.most = guess, 0, most

    def add(self, sample: float) -> float:
        """Add a sample. Returns the new mean."""
        self.samples = min(self.samples + 1, self.most)
        self.value += (sample - self.value) / self.samples
        return self.value
