"""Finds the groups of tables of statements within a limit on the work for all of them. Does no I/O.

A group only makes the choice of an engine better, so it must not delay other clients' requests: of many long
statements at once, some are taken without their groups.
"""

from __future__ import annotations

from collections.abc import Callable

from . import statement
from .counters import Counters

UNLIMITED_BYTES = 1024  # usual statements keep their groups while long ones use up the allowance
MAX_TOKENS = 8192  # read at once, of longer statements
TOKENS_PER_MS = 50.0  # at which the allowance is restored


class GroupLookup:
    """Looks groups up; an allowance of tokens, restored with time, limits the work on long statements."""

    def __init__(self, clock: Callable[[], float], counters: Counters) -> None:
        self.clock, self.counters = clock, counters
        self.allowance, self.restored_at = float(MAX_TOKENS), clock()
        counters.add("statements_not_read", 0)  # reported even while it is 0

    def group_of(self, text: bytes) -> int:
        """The group of tables of a statement; NO_GROUP if it has none, or takes more than the allowance."""
        if len(text) <= UNLIMITED_BYTES:
            return statement.table_group(text)
        self.restore()
        reading = statement.read(text, int(self.allowance))
        self.allowance = max(0.0, self.allowance - reading.tokens)
        self.counters.record_max("most_statement_tokens", reading.tokens)
        self.counters.add("statements_not_read", not reading.complete)
        return reading.group

    def restore(self) -> None:
        """Restores the allowance by the time that has passed."""
        now = self.clock()
        restored = self.allowance + (now - self.restored_at) * TOKENS_PER_MS
        self.allowance, self.restored_at = min(float(MAX_TOKENS), restored), now
