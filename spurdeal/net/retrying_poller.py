"""A poller whose calls may fail for a moment: what was asked of it holds, and is tried again.

Twisted takes a call on epoll that fails for a bug, and forgets the descriptor: a socket is never read again,
or a connection that was just accepted is dropped. The system may refuse such a call for want of memory, and
take it some milliseconds later.
"""

from __future__ import annotations

import select
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from .transient_errors import TRANSIENT

RETRY_INTERVAL = 20.0  # ms
ALWAYS_REPORTED = select.EPOLLERR | select.EPOLLHUP


UNWANTED_EVENT_PAUSE = (
    0.002  # seconds after a poll that told of nothing wanted, which would return at once again
)


class PendingChange(NamedTuple):
    """A change that the system has refused.

    Attributes:
        events: What the descriptor is to be watched for; 0 for nothing any more.
        watched: Whether the system watches it already, as far as is known.
    """

    events: int
    watched: bool


class RetryingPoller:
    """Takes the place of an epoll object, and keeps what the system has refused until it accepts it.

    clock: tells ms.

    Attributes:
        pending_changes: By descriptor, what is wanted of it.
    """

    def __init__(self, poller: Any, clock: Callable[[], float]) -> None:
        self.poller, self.clock = poller, clock
        self.close = poller.close
        self.pending_changes: dict[int, PendingChange] = {}
        self.next_try = 0.0

    def register(self, descriptor: int, events: int) -> None:
        """Watch a descriptor.

        Raises:
            OSError: The system cannot, and will not a moment later.
        """
        self.change(descriptor, PendingChange(events, watched=False))

    def modify(self, descriptor: int, events: int) -> None:
        """Change what a descriptor is watched for. Raises as `register` does."""
        self.change(descriptor, PendingChange(events, watched=True))

    def unregister(self, descriptor: int) -> None:
        """Watch a descriptor no more. Raises as `register` does."""
        self.change(descriptor, PendingChange(0, watched=True))

    def change(self, descriptor: int, wanted: PendingChange) -> None:
        """Make a change at once, or note it."""
        if (before := self.pending_changes.get(descriptor)) is not None:
            self.pending_changes[descriptor] = wanted._replace(watched=before.watched)
            self.try_again(descriptor)
            return
        try:
            self.call(descriptor, wanted)
        except OSError as fault:
            if fault.errno not in TRANSIENT:
                raise
            self.pending_changes[descriptor] = wanted

    def call(self, descriptor: int, wanted: PendingChange) -> None:
        """Ask the system for a change.

        Raises:
            OSError: It cannot.
        """
        if not wanted.events:
            self.poller.unregister(descriptor)
        elif wanted.watched:
            self.poller.modify(descriptor, wanted.events)
        else:
            self.poller.register(descriptor, wanted.events)

    def try_again(self, descriptor: int) -> None:
        """Bring the system in line with what is wanted of a descriptor, as far as it lets us.

        A descriptor that was closed meanwhile is watched no more, and may be another's by now."""
        wanted = self.pending_changes[descriptor]
        try:
            self.call(descriptor, wanted)
        except FileNotFoundError:
            if wanted.events:
                self.pending_changes[descriptor] = wanted._replace(watched=False)
                return
        except OSError as fault:
            if fault.errno in TRANSIENT:
                return
        del self.pending_changes[descriptor]  # done, or closed

    def poll(self, timeout: float, most: int) -> list[tuple[int, int]]:
        """What is ready; changes that were refused are tried again first.

        Args:
            timeout: In seconds; below 0 for none.
            most: How many descriptors are told at most.
        """
        if not self.pending_changes:
            found: list[tuple[int, int]] = self.poller.poll(timeout, most)
            return found
        if self.clock() >= self.next_try:
            self.next_try = self.clock() + RETRY_INTERVAL
            for descriptor in list(self.pending_changes):
                self.try_again(descriptor)
        if self.pending_changes:
            longest = RETRY_INTERVAL / 1000
            timeout = longest if timeout < 0 else min(timeout, longest)
        found = self.poller.poll(timeout, most)
        wanted = self.wanted(found)
        if found and not wanted:
            time.sleep(UNWANTED_EVENT_PAUSE)
        return wanted

    def wanted(self, found: list[tuple[int, int]]) -> list[tuple[int, int]]:
        """Without what the system still tells of descriptors that are not to be watched for it any more."""
        left = []
        for descriptor, events in found:
            refused = self.pending_changes.get(descriptor)
            wanted = events if refused is None else refused.events
            told = events & (wanted | ALWAYS_REPORTED) if wanted else 0
            if told:
                left.append((descriptor, told))
        return left
