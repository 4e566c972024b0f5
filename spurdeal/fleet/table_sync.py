"""Anti-entropy of the member table: at a start, at a return, and when two tables differ.

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
        self.synced = not fleet.seeds  # a whole table was pulled since the start, or since our return
        self.source, self.offset, self.deadline = "", 0, 0.0
        self.next_pull = self.next_seeds = now

    def tick(self, now: float, unix: float) -> None:
        """Begin a pull if one is due."""
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
        """The members to pull from, seeds first.

        Members that contacted us may know nobody but us; two halves of the fleet could each take itself for
        the whole.
        """
        fleet = self.fleet
        seeds = [name for name in fleet.seeds if name not in fleet.members.others]
        if fleet.lease.term is NO_TERM and seeds:
            return seeds
        return fleet.members.live() or seeds

    def start(self, now: float, unix: float, name: str) -> None:
        """Begin to pull the table of that member."""
        self.source, self.offset = name, 0
        self.deadline = self.next_pull = now + PULL_TIMEOUT
        self.request_page(now, unix, name)

    def request_page(self, now: float, unix: float, name: str) -> None:
        """Request the page at the current offset."""
        fields = {"k": "j", "i": self.offset}
        self.fleet.messenger.request(now, unix, name, RequestKind.PULL, fields)

    def repeat(self, now: float, unix: float, name: str) -> None:
        """Repeat the request, if we still pull from that member."""
        if self.source == name:
            self.request_page(now, unix, name)

    def restart(self, now: float) -> None:
        """Require another whole table, as we return to the fleet. Called on a return to JOINING."""
        self.synced = not self.fleet.members.live()
        self.source, self.next_pull = "", now

    def page_arrived(self, now: float, unix: float, name: str, page: TablePage) -> None:
        """Continue after the expected page; ignore any other."""
        if name != self.source or page.offset != self.offset:
            return
        self.offset += page.size
        if self.offset >= page.total or not page.size:
            self.source, self.synced = "", True
            return
        self.deadline = now + PULL_TIMEOUT
        self.request_page(now, unix, name)

    def compare(self, now: float, unix: float, name: str, checksum: object) -> None:
        """Pull a member's table if its checksum differs from ours and we have no gossip left to send."""
        members = self.fleet.members
        if not isinstance(checksum, int) or checksum == members.checksum():
            return
        idle = not self.source and now >= self.next_pull and self.synced
        if idle and not members.gossip:
            self.next_pull = now + PULL_EVERY * self.fleet.shared.period
            self.start(now, unix, name)

    def contact_seeds(self, now: float, unix: float) -> None:
        """Ping seeds that are not in our table.

        They may be in another partition of the fleet; their answer joins the two.
        """
        if now < self.next_seeds:
            return
        self.next_seeds = now + PULL_EVERY * self.fleet.shared.period
        for name in self.fleet.seeds:
            if name not in self.fleet.members.others:
                self.fleet.messenger.ping(now, unix, name)
