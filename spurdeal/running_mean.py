"""A running mean with an initial guess, which the first sample replaces."""

from __future__ import annotations


class RunningMean:
    """The mean of the samples; beyond `max_samples` of them an exponential average with weight 1/max_samples.

    Attributes:
        value: The mean; the guess before the first sample.
        samples: Samples so far, at most `max_samples`.
        max_samples: Samples after which old ones fade; at least 1.
    """

    def __init__(self, guess: float, max_samples: int) -> None:
        self.value, self.samples, self.max_samples = guess, 0, max_samples

    def add(self, sample: float) -> float:
        """Add a sample. Returns the new mean."""
        self.samples = min(self.samples + 1, self.max_samples)
        self.value += (sample - self.value) / self.samples
        return self.value
