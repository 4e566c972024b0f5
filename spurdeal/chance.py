"""Pseudo-random numbers for the rules, determined by a seed alone."""

from collections.abc import Sequence
from typing import TypeVar

T = TypeVar("T")


class Chance:
    """A 64-bit linear congruential generator; the 24 high bits are used, the low ones have short periods."""

    def __init__(self, seed: int) -> None:
        self.state = seed

    def draw(self) -> float:
        """The next number, uniform in [0, 1)."""
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) & (1 << 64) - 1
        return (self.state >> 40) / (1 << 24)

    def pick(self, among: Sequence[T]) -> T:
        """An element chosen uniformly.

        Raises:
            IndexError: The sequence is empty.
        """
        return among[int(self.draw() * len(among))]
