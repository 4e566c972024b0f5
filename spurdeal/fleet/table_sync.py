"""Anti-entropy of the member table: at a start, at a return, and where two tables differ.

The whole table of one member is pulled, page by page.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from .lease import NO_TERM
from .messenger import RequestKind

if TYPE_CHECKING:
    from .fleet import Fleet

PULL_EVERY = 10  # periods between two comparisons of tables
PULL_TIMEOUT = 300.0  # ms


class TablePage(NamedTuple):
    """A page of a member table: `size` records from `offset` on, of `total`."""

    offset: int
    size: int
    total: int


class TableSync:
    """Pulls the member table of one other member at a time. Times are ms."""

    def __init__(self, fleet: Fleet, now: float) -> None:
        self.fleet = fleet
        self.synced = not fleet.seeds  # a whole table was got since the start, or since we returned
        self.source, self.offset, self.deadline = "", 0, 0.0
        self.next_pull = self.next_seeds = now

    def tick(self, now: float, unix: float) -> None:
        """Begin a pull where one is due."""
        if self.source and now >= self.deadline:
            self.source, self.next_pull = "", now
        if self.source or self.synced or now < self.next_pull:
            return
        candidates = self.candidates()
        if not candidates:
            self.synced = True
            return
        self.start(now, unix, self.fleet.chance.choice(sorted(candidates)))

    def candidates(self) -> list[str]:
        """Whom to pull from, seeds first.

        Those who came to us may know nobody but us, and two halves would each be whole to itself.
        """
        fleet = self.fleet
        seeds = [name for name in fleet.seeds if name not in fleet.members.others]
        if fleet.lease.term is NO_TERM and seeds:
            return seeds
        return fleet.members.alive() or seeds

    def start(self, now: float, unix: float, name: str) -> None:
        """Pull the table of that member from its first page."""
        self.source, self.offset = name, 0
        self.deadline = self.next_pull = now + PULL_TIMEOUT
        self.request_page(now, unix, name)

    def request_page(self, now: float, unix: float, name: str) -> None:
        """Ask for the page at the current offset."""
        fields = {"k": "j", "i": self.offset}
        self.fleet.messenger.request(now, unix, name, RequestKind.PULL, fields)

    def repeat(self, now: float, unix: float, name: str) -> None:
        """Ask that member again, where the pull is still from it."""
        if self.source == name:
            self.request_page(now, unix, name)

    def restart(self, now: float) -> None:
        """We return: a table newer than that is owed before we act again."""
        self.synced = not self.fleet.members.alive()
        self.source, self.next_pull = "", now

    def page_arrived(self, now: float, unix: float, name: str, page: TablePage) -> None:
        """Go on behind the page that has come, if it is the one that we wait for."""
        if name != self.source or page.offset != self.offset:
            return
        self.offset += page.size
        if self.offset >= page.total or not page.size:
            self.source, self.synced = "", True
            return
        self.deadline = now + PULL_TIMEOUT
        self.request_page(now, unix, name)

    def compare(self, now: float, unix: float, name: str, checksum: object) -> None:
        """A member has told the checksum of its table: it is pulled where ours is another, and settled."""
        members = self.fleet.members
        if not isinstance(checksum, int) or checksum == members.checksum():
            return
        idle = not self.source and now >= self.next_pull and self.synced
        if idle and not members.gossip:
            self.next_pull = now + PULL_EVERY * self.fleet.terms.period
            self.start(now, unix, name)

    def contact_seeds(self, now: float, unix: float) -> None:
        """Ping seeds that we know nothing of.

        They may be of another part of the fleet, and both are one from their answer on.
        """
        if now < self.next_seeds:
            return
        self.next_seeds = now + PULL_EVERY * self.fleet.terms.period
        for name in self.fleet.seeds:
            if name not in self.fleet.members.others:
                self.fleet.messenger.ping(now, unix, name)
