"""How long a server takes to answer, and when a question without an answer is repeated. Free of I/O.

The estimate is that of RFC 6298, section 2. Each answer names its question, so that each may be measured,
also those of repeated questions.
"""

from __future__ import annotations

MEAN_GAIN, DEVIATION_GAIN = 1 / 8, 1 / 4
DEVIATIONS = 4.0
REPEAT_LEAST = 40.0  # ms; a loop at rest looks at its sockets each 50 at the latest
REPEAT_FIRST = 50.0  # ms, before anything was measured
REPEAT_MOST = 100.0  # ms; more would tell too little of whether a server is silent


class AnswerTimes:
    """The smoothed time of answers, and how far it varies.

    Attributes:
        mean: In ms; None before the first answer.
        deviation: In ms.
    """

    def __init__(self) -> None:
        self.mean: float | None = None
        self.deviation = 0.0

    def measured(self, took: float) -> None:
        """An answer has taken so many ms."""
        if self.mean is None:
            self.mean, self.deviation = took, took / 2
            return
        self.deviation += DEVIATION_GAIN * (abs(took - self.mean) - self.deviation)
        self.mean += MEAN_GAIN * (took - self.mean)

    def expected(self) -> float:
        """After how many ms an answer that has not come may have been lost."""
        return REPEAT_FIRST if self.mean is None else self.mean + DEVIATIONS * self.deviation

    def repeat_after(self) -> float:
        """After how many ms without an answer a question is repeated."""
        return min(max(REPEAT_LEAST, self.expected()), REPEAT_MOST)
