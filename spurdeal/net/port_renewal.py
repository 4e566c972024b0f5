"""When the name service is to be asked from another source port. Free of I/O.

The path of a flow may fail for good while the name service works: an entry of an address translation or of a
connection tracking table is lost or spoilt, and nothing comes back to that port any more.
"""

from __future__ import annotations

from typing import Protocol

INITIAL_RENEWAL_INTERVAL = 0.3  # seconds without an answer; the first distance of two renewals as well
MAX_RENEWAL_INTERVAL = 5.0  # seconds between two renewals at most
MIN_UNANSWERED = 3  # questions without an answer; a process that stood still has asked none


class Silence(Protocol):
    """What the name service has left unanswered."""

    @property
    def silent_since(self) -> float:
        """When it answered last, in the reactor's seconds."""

    @property
    def missed(self) -> int:
        """How many questions have left since."""

    def silent_for(self) -> float:
        """For how many seconds no answer has come."""


class PortRenewal:
    """Distances between two source ports in one silence: each is twice the one before, up to a limit.

    Attributes:
        heard_at: The answer that ended the last silence, by its time.
        due: The next renewal, in seconds of silence.
        distance: From the renewal before to that one.
    """

    def __init__(self, silence: Silence) -> None:
        self.silence = silence
        self.begin()

    def begin(self) -> None:
        """A new silence."""
        self.heard_at = self.silence.silent_since
        self.due = self.distance = INITIAL_RENEWAL_INTERVAL

    def is_due(self) -> bool:
        """Whether another port is to be opened now."""
        if self.silence.silent_since != self.heard_at:
            self.begin()
        return self.silence.missed >= MIN_UNANSWERED and self.silence.silent_for() >= self.due

    def renewed(self) -> None:
        """Another port was opened, or could not be."""
        self.distance = min(MAX_RENEWAL_INTERVAL, 2 * self.distance)
        self.due = self.silence.silent_for() + self.distance
