"""Synchronization of the engine list: fetches newer lists from peers, and serves ours to those behind."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..interface import Life as EngineLife
from .list_transfer import (
    MAX_SINGLE_CLAIMANT_DROP,
    Fetch,
    ListStore,
    PieceRequest,
    ReceivedPiece,
    Rows,
    UnusableListError,
    apply_changes,
    dropped_share,
    unpack,
)
from .messenger import RequestKind
from .shared_settings import FleetEvent
from .versions import MIN_CLAIMANTS, ROW_LENGTH, Artifact, Offer, Version, list_digest

if TYPE_CHECKING:
    from .fleet import Fleet

READY = int(EngineLife.READY)
# Our own name service has precedence over peers: a newer list is fetched only this many ms after it was first
# claimed, if the name service has answered within as many ms; else at once.
SOURCE_FIRST = 450.0
OFFERS_EVERY = 60.0  # ms between two checks for newer lists
NAMED_HOLDERS = 3  # holders named in the event


class ListSync:
    """Fetches newer engine lists from peers, and keeps ours for those behind. Times are ms.

    It is kept across the member's starts.
    """

    def __init__(self, fleet: Fleet, now: float) -> None:
        self.fleet = fleet
        self.list_store, self.fetch = ListStore(fleet.shared.period, now), Fetch(fleet.chance)
        self.source_answered_at, self.next_offers = now, now
        self.max_single_drop = MAX_SINGLE_CLAIMANT_DROP
        self.offered: dict[Version, float] = {}  # since when each newer version is claimed

    def tick(self, now: float, unix: float) -> None:
        """Request the next piece if a newer list is known."""
        have = self.fleet.registry.in_force.get(Artifact.LIST)
        if have is None or (self.fetch.want is None and now < self.next_offers):
            return
        self.next_offers = now + OFFERS_EVERY
        ask = self.fetch.tick(now, have, self.offers(now))
        if ask is not None:
            self.request_piece(now, unix, ask)

    def offers(self, now: float) -> list[Offer]:
        """Newer versions that may be fetched now, newest first, and their holders.

        Our own source has precedence while it answers: a member with a deviating source must not lead all
        others.
        """
        fleet = self.fleet
        offers = fleet.registry.offers() if self.fetch.want is None else []
        for version, holders in offers:
            if version not in self.offered:
                fields = {"list": str(version), "at": " ".join(holders[:NAMED_HOLDERS])}
                fleet.events.append(FleetEvent("newer_seen", fields))
        self.offered = {version: self.offered.get(version, now) for version, _ in offers}
        delay = SOURCE_FIRST if now - self.source_answered_at < SOURCE_FIRST else 0.0
        return [
            Offer(version, [name for name in holders if name in fleet.peer_reports])
            for version, holders in offers
            if now - self.offered[version] >= delay
        ]

    def request_piece(self, now: float, unix: float, ask: PieceRequest) -> None:
        """Request one piece of a list."""
        fields = {"k": "f", "have": list(ask.have), "want": list(ask.want), "i": ask.piece_index}
        self.fleet.messenger.request(now, unix, ask.to, RequestKind.FETCH, fields)

    def piece_arrived(self, now: float, unix: float, name: str, piece: ReceivedPiece) -> None:
        """Handle a received piece: request the next one, or check and apply the whole list."""
        step = self.fetch.on_piece(now, name, piece)
        if isinstance(step, PieceRequest):
            self.request_piece(now, unix, step)
        elif step is not None:
            self.apply(now, name, piece.want, step)

    def apply(self, now: float, name: str, want: Version, pieces: list[bytes]) -> None:
        """Put a fetched list in force, if it is the claimed one and does not drop too many engines."""
        fleet = self.fleet
        try:
            rows = self.unpacked(want, pieces)
        except (UnusableListError, TypeError) as fault:
            self.fetch.fail(now, True)
            fleet.events.append(FleetEvent("bring_up_failed", {"from": name, "why": str(fault)}))
            return
        dropped = dropped_share(fleet.rows, rows, READY)
        if (
            dropped > self.max_single_drop
            and len(fleet.registry.holders(Artifact.LIST, want)) < MIN_CLAIMANTS
        ):
            self.fetch.refuse(now)
            fields = {"from": name, "drops": round(dropped, 2), "list": str(want)}
            fleet.events.append(FleetEvent("list_refused", fields))
            return
        self.fetch.end(now, 0.0)
        if fleet.put_in_force(Artifact.LIST, want, rows, from_own_source=False):
            fleet.events.append(FleetEvent("brought_up", {"from": name, "list": str(want)}))
            fleet.apply_list(want, rows)

    def unpacked(self, want: Version, pieces: list[bytes]) -> Rows:
        """The list in these pieces.

        Raises:
            UnusableListError: It is not the list that was claimed.
        """
        rows = apply_changes(self.fleet.rows, unpack(pieces))
        if any(len(row) != ROW_LENGTH for row in rows.values()) or list_digest(rows) != want.digest:
            raise UnusableListError("not what was claimed")
        return rows
