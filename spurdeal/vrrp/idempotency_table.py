"""Idempotency records: which non-idempotent requests may have run, here or at a peer. No I/O, no clocks.

A record is made before such a request is sent, and removed only when no attempt of it can have run, or when
it expires. Times are ms of one monotonic clock; dispatchers exchange remaining times only, as their clocks
are not comparable.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from enum import Enum
from typing import NamedTuple


class Admission(Enum):
    """Whether a new non-idempotent request is admitted. The values name counters (`door_...`)."""

    ALLOWED = "open"
    MAY_HAVE_RUN = "ran"  # failed: never shed and never sent again
    PEER_UNREACHABLE = "away"  # a peer cannot be informed before the send: shed, nothing ran
    TABLE_FULL = "full"  # no room for another record: shed, nothing ran


class IdempotencyRecord(NamedTuple):
    """Record of one request that may have run."""

    expires_at: float  # ms: the request's deadline plus the retention
    peer: str  # who reported it; "" for our own
    sent: bool  # it was sent, or may have been
    announcement: float  # number of its announcement; a message about an earlier one changes nothing


class IdempotencyTable:
    """Idempotency records by request id. None is dropped before it expires: a full table sheds requests.

    Args:
        capacity: Maximum number of records.
        retention: How long a record outlives the deadline of its request, in ms.
    """

    def __init__(self, capacity: int, retention: float) -> None:
        self.capacity, self.retention = capacity, retention
        self.by_id: dict[bytes, IdempotencyRecord] = {}
        self.next_expiry = float("inf")
        self.refused = self.duplicates = 0

    def check(self, now: float, ident: bytes) -> Admission:
        """Check the id of a new request; a known one may have run already."""
        self.expire(now)
        if ident in self.by_id:
            self.duplicates += 1
            return Admission.MAY_HAVE_RUN
        if len(self.by_id) >= self.capacity:
            self.refused += 1
            return Admission.TABLE_FULL
        return Admission.ALLOWED

    def add(self, now: float, ident: bytes, deadline: float, announcement: int) -> bool:
        """Record a request of ours before it is announced and sent.

        Returns:
            False if a peer has recorded it since it was admitted, or if there is no room.
        """
        found = self.by_id.get(ident)
        if found is not None and found.peer:
            return False  # a peer has recorded it since it was admitted here
        if found is None and len(self.by_id) >= self.capacity:
            return False
        self.store(
            ident,
            IdempotencyRecord(deadline + self.retention, "", found.sent if found else False, announcement),
        )
        return True

    def mark_sent(self, ident: bytes) -> None:
        """Note that the request was sent, or may have been."""
        if ident in self.by_id:
            self.by_id[ident] = self.by_id[ident]._replace(sent=True)

    def remove_own(self, ident: bytes) -> float | None:
        """Remove our record of a request of which no attempt has run, so that it may be sent again.

        Returns:
            The number of its last announcement; None if there is no record of ours.
        """
        found = self.by_id.get(ident)
        if found is None or found.peer:
            return None
        del self.by_id[ident]
        return found.announcement

    def restore(self, ident: bytes, expires_at: float) -> None:
        """Record a request that an earlier start of ours may have sent, as its ledger shows.

        Peers that synchronize from us get it too. Without room it is not recorded.
        """
        if ident not in self.by_id and len(self.by_id) < self.capacity:
            self.store(ident, IdempotencyRecord(expires_at, "", True, 0))

    # Messages from peers.

    def add_from_peer(self, now: float, peer: str, ident: bytes, left: float, announcement: float) -> bool:
        """Record a request that a peer announces.

        Args:
            now: Monotonic clock, in ms.
            peer: Its name.
            ident: Id of the request.
            left: ms until the record expires.
            announcement: Number of the announcement.

        Returns:
            False if it is recorded as ours or another peer's, or if there is no room: the peer must not send.
        """
        self.expire(now)
        found = self.by_id.get(ident)
        if (found is not None and found.peer != peer) or (found is None and len(self.by_id) >= self.capacity):
            return False
        expires_at = max(now + left, found.expires_at if found else 0.0)
        self.store(
            ident,
            IdempotencyRecord(
                expires_at, peer, True, max(announcement, found.announcement if found else announcement)
            ),
        )
        return True

    def remove_from_peer(self, peer: str, ident: bytes, announcement: float) -> None:
        """Remove the record of a peer that withdraws it.

        Withdrawals are repeated; one that arrives after a newer announcement must not remove its record.
        """
        found = self.by_id.get(ident)
        if found is not None and found.peer == peer and found.announcement <= announcement:
            del self.by_id[ident]

    def add_page(self, now: float, peer: str, records: Iterable[tuple[bytes, float]]) -> None:
        """Add a page of a peer's records; known ids stay as they are, and what has no room is counted."""
        for ident, left in records:
            if ident not in self.by_id and not self.add_from_peer(now, peer, ident, left, float("inf")):
                self.refused += 1

    def pages(self, now: float, size: int) -> Iterator[list[tuple[bytes, float]]]:
        """Yield all records with their remaining ms, in pages of `size`, for a peer that has restarted."""
        self.expire(now)
        page: list[tuple[bytes, float]] = []
        for ident, record in list(self.by_id.items()):
            page.append((ident, record.expires_at - now))
            if len(page) == size:
                yield page
                page = []
        if page:
            yield page

    # Expiration.

    def store(self, ident: bytes, record: IdempotencyRecord) -> None:
        """Set a record and update the time of the next expiration."""
        self.by_id[ident] = record
        self.next_expiry = min(self.next_expiry, record.expires_at)

    def expire(self, now: float) -> None:
        """Drop expired records."""
        if now < self.next_expiry:
            return
        self.by_id = {ident: record for ident, record in self.by_id.items() if record.expires_at > now}
        self.next_expiry = min((record.expires_at for record in self.by_id.values()), default=float("inf"))
