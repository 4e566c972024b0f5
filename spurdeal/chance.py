"""Chance for the rules, from a seed alone."""

from collections.abc import Sequence
from typing import TypeVar

T = TypeVar("T")


class Chance:
    """A linear congruential generator, of which the high bits are used."""

    def __init__(self, seed: int) -> None:
        self.state = seed

    def draw(self) -> float:
        """The next number, from 0 up to but not 1."""
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) & (1 << 64) - 1
        return (self.state >> 40) / (1 << 24)

    def pick(self, among: Sequence[T]) -> T:
        """One of these, each as likely as the others.

        Raises:
            IndexError: There are none.
        """
        return among[int(self.draw() * len(among))]
