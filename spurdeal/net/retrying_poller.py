"""A poller whose calls may fail for a moment: what was asked of it holds, and is tried again.

Twisted takes a call on epoll that fails for a bug, and forgets the descriptor: a socket is never read again,
or a connection that was just accepted is dropped. The system may refuse such a call for want of memory, and
take it some milliseconds later.
"""

from __future__ import annotations

import select
from typing import Any

from .transient_errors import TRANSIENT

RETRY_EVERY = 0.02  # seconds
ALWAYS_REPORTED = select.EPOLLERR | select.EPOLLHUP


class RetryingPoller:
    """Takes the place of an epoll object, and keeps what the system has refused until it accepts it.

    Attributes:
        refused: By descriptor, the events that it is to be watched for; 0 for none any more.
    """

    def __init__(self, poller: Any) -> None:
        self.poller = poller
        self.close = poller.close
        self.refused: dict[int, int] = {}

    def register(self, descriptor: int, events: int) -> None:
        """Watch a descriptor.

        Raises:
            OSError: The system cannot, and will not a moment later.
        """
        self.change(descriptor, events, self.poller.register)

    def modify(self, descriptor: int, events: int) -> None:
        """Change what a descriptor is watched for. Raises as `register` does."""
        self.change(descriptor, events, self.poller.modify)

    def unregister(self, descriptor: int) -> None:
        """Watch a descriptor no more. Raises as `register` does."""
        self.change(descriptor, 0, lambda descriptor, _: self.poller.unregister(descriptor))

    def change(self, descriptor: int, events: int, call: Any) -> None:
        """Make a change at once, or note it."""
        if descriptor in self.refused:
            self.refused[descriptor] = events
            self.try_again(descriptor)
            return
        try:
            call(descriptor, events)
        except OSError as fault:
            if fault.errno not in TRANSIENT:
                raise
            self.refused[descriptor] = events

    def try_again(self, descriptor: int) -> None:
        """Bring the system in line with what is wanted of a descriptor, as far as it lets us."""
        try:
            self.bring_in_line(descriptor, self.refused[descriptor])
        except OSError as fault:
            if fault.errno in TRANSIENT:
                return  # the next poll tries again
        del self.refused[descriptor]  # done, or closed meanwhile

    def bring_in_line(self, descriptor: int, events: int) -> None:
        """Whether the system watches the descriptor already is not known.

        Raises:
            OSError: It cannot, or the descriptor is closed.
        """
        if not events:
            self.poller.unregister(descriptor)
            return
        try:
            self.poller.register(descriptor, events)
        except FileExistsError:
            self.poller.modify(descriptor, events)

    def poll(self, timeout: float, most: int) -> list[tuple[int, int]]:
        """What is ready; changes that were refused are tried again first.

        Args:
            timeout: In seconds; below 0 for none.
            most: How many descriptors are told at most.
        """
        if not self.refused:
            found: list[tuple[int, int]] = self.poller.poll(timeout, most)
            return found
        for descriptor in list(self.refused):
            self.try_again(descriptor)
        if self.refused:
            timeout = RETRY_EVERY if timeout < 0 else min(timeout, RETRY_EVERY)
        return self.wanted(self.poller.poll(timeout, most))

    def wanted(self, found: list[tuple[int, int]]) -> list[tuple[int, int]]:
        """Without what the system still tells of descriptors that are not to be watched for it any more."""
        left = []
        for descriptor, events in found:
            wanted = self.refused.get(descriptor, events)
            told = events & (wanted | ALWAYS_REPORTED) if wanted else 0
            if told:
                left.append((descriptor, told))
        return left
