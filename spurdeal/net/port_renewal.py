"""When to query the name server from another source port. Free of I/O.

The path of one flow may fail permanently while the name server works: if its entry in an address translation
or connection tracking table is lost or corrupt, no response reaches that port any more.
"""

from __future__ import annotations

from typing import Protocol

INITIAL_RENEWAL_INTERVAL = 0.3  # seconds without a response; also the first interval between two renewals
MAX_RENEWAL_INTERVAL = 5.0  # seconds between two renewals at most
MIN_UNANSWERED = 3  # unanswered queries; a process that was suspended has sent none


class Silence(Protocol):
    """How long and for how many queries the name server has not responded."""

    @property
    def silent_since(self) -> float:
        """When the latest response arrived, in the reactor's seconds."""

    @property
    def missed(self) -> int:
        """Number of queries sent since."""

    def silent_for(self) -> float:
        """Seconds without a response."""


class PortRenewal:
    """Exponential backoff between two changes of the source port during one silence.

    Attributes:
        silent_since: The silence that the other attributes belong to, by its begin.
        due: The next renewal, in seconds of silence.
        interval: Seconds from the renewal before to that one.
    """

    def __init__(self, silence: Silence) -> None:
        self.silence = silence
        self.begin()

    def begin(self) -> None:
        """Resets the backoff for a new silence."""
        self.silent_since = self.silence.silent_since
        self.due = self.interval = INITIAL_RENEWAL_INTERVAL

    def is_due(self) -> bool:
        """Whether to open another port now."""
        if self.silence.silent_since != self.silent_since:
            self.begin()
        return self.silence.missed >= MIN_UNANSWERED and self.silence.silent_for() >= self.due

    def renewed(self) -> None:
        """Records that another port was opened, or could not be."""
        self.interval = min(MAX_RENEWAL_INTERVAL, 2 * self.interval)
        self.due = self.silence.silent_for() + self.interval
