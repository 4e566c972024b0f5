"""A poller that retries registrations which fail with a transient error.

Twisted treats a failed call on epoll as a bug and forgets the descriptor: a socket is never read again, or a
connection that was just accepted is dropped. But the system may reject such a call for lack of memory, and
accept it some milliseconds later.
"""

from __future__ import annotations

import select
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from .transient_errors import TRANSIENT

RETRY_INTERVAL = 20.0  # ms
ALWAYS_REPORTED = select.EPOLLERR | select.EPOLLHUP
# Seconds after a poll that reported only events which are not wanted, as the next would return at once too.
UNWANTED_EVENT_PAUSE = 0.002


class PendingChange(NamedTuple):
    """A change that the system has rejected and that is to be retried.

    Attributes:
        events: The events to watch the descriptor for; 0 to stop watching it.
        watched: Whether the system watches the descriptor already, as far as is known.
    """

    events: int
    watched: bool


class RetryingPoller:
    """Wraps an epoll object, and retries changes that the system has rejected until it accepts them.

    clock: Returns ms.

    Attributes:
        pending_changes: By descriptor, the change to retry.
    """

    def __init__(self, poller: Any, clock: Callable[[], float]) -> None:
        self.poller, self.clock = poller, clock
        self.close = poller.close
        self.pending_changes: dict[int, PendingChange] = {}
        self.next_try = 0.0

    def register(self, descriptor: int, events: int) -> None:
        """Starts to watch a descriptor.

        Raises:
            OSError: The system has rejected it, with an error that is not transient.
        """
        self.change(descriptor, PendingChange(events, watched=False))

    def modify(self, descriptor: int, events: int) -> None:
        """Changes the events for which a descriptor is watched. Raises as `register` does."""
        self.change(descriptor, PendingChange(events, watched=True))

    def unregister(self, descriptor: int) -> None:
        """Stops watching a descriptor. Raises as `register` does."""
        self.change(descriptor, PendingChange(0, watched=True))

    def change(self, descriptor: int, wanted: PendingChange) -> None:
        """Makes a change at once, or keeps it for a retry if the error is transient."""
        if (before := self.pending_changes.get(descriptor)) is not None:
            self.pending_changes[descriptor] = wanted._replace(watched=before.watched)
            self.retry(descriptor)
            return
        try:
            self.call(descriptor, wanted)
        except OSError as error:
            if error.errno not in TRANSIENT:
                raise
            self.pending_changes[descriptor] = wanted

    def call(self, descriptor: int, wanted: PendingChange) -> None:
        """Makes the system call for a change.

        Raises:
            OSError: The system has rejected it.
        """
        if not wanted.events:
            self.poller.unregister(descriptor)
        elif wanted.watched:
            self.poller.modify(descriptor, wanted.events)
        else:
            self.poller.register(descriptor, wanted.events)

    def retry(self, descriptor: int) -> None:
        """Retries the change of a descriptor; it stays pending after another transient error.

        A descriptor that was closed meanwhile is not watched any more, and its number may have been reused.
        """
        wanted = self.pending_changes[descriptor]
        try:
            self.call(descriptor, wanted)
        except FileNotFoundError:
            if wanted.events:
                self.pending_changes[descriptor] = wanted._replace(watched=False)
                return
        except OSError as error:
            if error.errno in TRANSIENT:
                return
        del self.pending_changes[descriptor]  # done, or the descriptor was closed

    def poll(self, timeout: float, max_events: int) -> list[tuple[int, int]]:
        """Waits for events, after retrying the pending changes.

        Args:
            timeout: In seconds; negative for no timeout.
            max_events: Maximum number of events.
        """
        if not self.pending_changes:
            found: list[tuple[int, int]] = self.poller.poll(timeout, max_events)
            return found
        if self.clock() >= self.next_try:
            self.next_try = self.clock() + RETRY_INTERVAL
            for descriptor in list(self.pending_changes):
                self.retry(descriptor)
        if self.pending_changes:
            longest = RETRY_INTERVAL / 1000
            timeout = longest if timeout < 0 else min(timeout, longest)
        found = self.poller.poll(timeout, max_events)
        wanted = self.filter_wanted(found)
        if found and not wanted:
            time.sleep(UNWANTED_EVENT_PAUSE)
        return wanted

    def filter_wanted(self, found: list[tuple[int, int]]) -> list[tuple[int, int]]:
        """Filters out events that a descriptor is no longer watched for, while its change is pending."""
        kept = []
        for descriptor, events in found:
            pending = self.pending_changes.get(descriptor)
            wanted = events if pending is None else pending.events
            reported = events & (wanted | ALWAYS_REPORTED) if wanted else 0
            if reported:
                kept.append((descriptor, reported))
        return kept
