"""Transfer of engine lists to members that are behind: a difference or the whole. Free of I/O and clocks.

A member fetches from one holder at a time, chosen at random among all that claim the version, so that no
holder is overloaded. A holder serves a limited number of pieces per period and answers when it is busy. A
fetched list is used only if it has the claimed digest. A list that fewer than MIN_CLAIMANTS members claim may
drop at most MAX_SINGLE_CLAIMANT_DROP of our ready engines: a member that invents lists must not empty the
fleet. Pieces are parts of a JSON text compressed with zlib, small enough for one packet each.
"""

from __future__ import annotations

import base64
import json
import random
import zlib
from collections import OrderedDict
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from .errors import FleetError
from .versions import Offer, Row, Version

PIECE_SIZE = 600  # bytes of compressed text in one datagram
MAX_PIECES = 128
MAX_LIST_SIZE = 1_048_576  # bytes of a decompressed list
KEPT_LISTS = 8  # lists kept for members that are behind
MAX_SERVED = 24  # pieces served per period
MAX_REFUSED = 64  # versions remembered as refused
PIECE_TIMEOUT = 200.0  # ms
RETRY_PAUSE = 50.0, 150.0  # ms after a failure until another holder is asked, randomized in this range
MAX_SINGLE_CLAIMANT_DROP = 0.34  # share of our ready engines that a list with one claimant may drop

Rows = dict[str, Row]


class UnusableListError(FleetError):
    """A received list cannot be used; the text says why."""


def pack(value: object) -> list[bytes]:
    """A JSON value as pieces of compressed bytes."""
    packed = zlib.compress(json.dumps(value, separators=(",", ":")).encode(), 9)
    return [packed[at : at + PIECE_SIZE] for at in range(0, len(packed), PIECE_SIZE)]


def unpack(pieces: Sequence[bytes]) -> object:
    """The JSON value in these pieces.

    Raises:
        UnusableListError: They are truncated, damaged, or larger than MAX_LIST_SIZE when decompressed.
    """
    opened = zlib.decompressobj()
    try:
        data = opened.decompress(b"".join(pieces), MAX_LIST_SIZE)
        if opened.unconsumed_tail or not opened.eof:
            raise UnusableListError("too large, or truncated")
        return json.loads(data)
    except (zlib.error, ValueError, RecursionError) as fault:
        raise UnusableListError(str(fault)) from None


def difference(old: Rows, new: Rows) -> dict[str, Any]:
    """The changes from the old list to the new one."""
    return {
        "changed": [list(row) for ident, row in sorted(new.items()) if old.get(ident) != row],
        "gone": sorted(old.keys() - new.keys()),
    }


def apply_changes(old: Rows, received: object) -> Rows:
    """The whole list that results from a peer's list or difference, applied to ours.

    Raises:
        UnusableListError: It is neither a list nor a difference.
    """
    if not isinstance(received, dict):
        raise UnusableListError("not a list: no JSON object")
    try:
        if "rows" in received:
            return {str(row[0]): tuple(row) for row in received["rows"]}
        rows = dict(old)
        for ident in received["gone"]:
            rows.pop(str(ident), None)
        rows.update({str(row[0]): tuple(row) for row in received["changed"]})
        return rows
    except (KeyError, TypeError, IndexError) as fault:
        raise UnusableListError(f"not a list: {fault!r}") from None


class Piece(NamedTuple):
    """One piece of a compressed list, and the number of its pieces."""

    total: int
    data: bytes


BUSY = Piece(0, b"")  # 0 pieces: the holder serves no more in this period; `Fetch.on_piece` counts a failure


class ListStore:
    """Our newest lists, for members that are behind."""

    def __init__(self, period: float, now: float) -> None:
        self.period, self.since, self.served = period, now, 0
        self.lists: OrderedDict[Version, Rows] = OrderedDict()
        self.packed: OrderedDict[tuple[Version, Version], list[bytes]] = OrderedDict()
        self.busy = 0

    def keep(self, version: Version, rows: Rows) -> None:
        """Keep one more list; the oldest is dropped beyond KEPT_LISTS."""
        self.lists[version] = rows
        while len(self.lists) > KEPT_LISTS:
            self.lists.popitem(last=False)
        self.packed.clear()

    def piece(self, now: float, have: Version, want: Version, index: int) -> Piece | None:
        """The piece at an index; BUSY beyond the period's limit; None if there is no such list or piece."""
        if want not in self.lists:
            return None
        if now - self.since >= self.period:
            self.since, self.served = now, 0
        if self.served >= MAX_SERVED:
            self.busy += 1
            return BUSY
        if (have, want) not in self.packed:
            content: dict[str, Any] = {"rows": [list(row) for _, row in sorted(self.lists[want].items())]}
            if have in self.lists:
                changes = difference(self.lists[have], self.lists[want])
                content = min(content, changes, key=lambda each: len(str(each)))
            self.packed[have, want] = pack(content)
            while len(self.packed) > 4 * KEPT_LISTS:
                self.packed.popitem(last=False)
        pieces = self.packed[have, want]
        if index >= len(pieces) or len(pieces) > MAX_PIECES:
            return None
        self.served += 1
        return Piece(len(pieces), pieces[index])


class PieceRequest(NamedTuple):
    """A request to be sent: to which holder, for which piece of which version."""

    to: str
    have: Version
    want: Version
    piece_index: int


class ReceivedPiece(NamedTuple):
    """A piece as sent by a holder: version, index, number of pieces, and data as base64 text."""

    want: Version
    piece_index: int
    total: int
    data: str


class Fetch:
    """The fetching side: at most one list at a time, piece by piece."""

    def __init__(self, chance: random.Random) -> None:
        self.chance = chance
        self.want: Version | None = None
        self.have = Version(0, 0, "")
        self.holder, self.pieces = "", list[bytes]()
        self.count, self.due, self.next_try = 0, 0.0, 0.0
        self.failed: dict[str, int] = {}  # failures per holder since the last success
        self.refused: set[Version] = set()  # versions with unusable content, not fetched again
        self.unusable = self.started = 0

    def tick(self, now: float, have: Version, offers: Sequence[Offer]) -> PieceRequest | None:
        """The request to send now, if any. offers: newer versions, newest first, and their holders."""
        if self.want is not None:
            if have.order >= self.want.order:
                self.end(now, 0.0)
            elif now < self.due:
                return None
            else:
                self.fail(now)
            return None
        if now < self.next_try:
            return None
        for version, holders in offers:
            if version in self.refused:
                continue
            least = min((self.failed.get(name, 0) for name in holders), default=0)
            willing = [name for name in holders if self.failed.get(name, 0) == least]
            if willing:
                self.want, self.have, self.holder = version, have, self.chance.choice(willing)
                self.pieces, self.count, self.due = [], 0, now + PIECE_TIMEOUT
                self.started += 1
                return PieceRequest(self.holder, have, version, 0)
        return None

    def on_piece(self, now: float, sender: str, piece: ReceivedPiece) -> PieceRequest | list[bytes] | None:
        """Take a piece; returns the next request, or all pieces after the last."""
        if sender != self.holder or piece.want != self.want or piece.piece_index != len(self.pieces):
            return None
        if not 0 < piece.total <= MAX_PIECES or (self.pieces and piece.total != self.count):
            self.fail(now)
            return None
        try:
            self.pieces.append(base64.b64decode(piece.data, validate=True))
        except ValueError:
            self.fail(now)
            return None
        self.count, self.due = piece.total, now + PIECE_TIMEOUT
        if len(self.pieces) < piece.total:
            return PieceRequest(self.holder, self.have, piece.want, len(self.pieces))
        return self.pieces

    def fail(self, now: float, unusable: bool = False) -> None:
        """Count a failure of the holder and end the fetch; the next begins after a randomized pause."""
        self.failed[self.holder] = self.failed.get(self.holder, 0) + 1
        self.unusable += unusable
        self.end(now, self.chance.uniform(*RETRY_PAUSE))

    def refuse(self, now: float) -> None:
        """Never fetch this version again: its content is the claimed one but must not be put in force."""
        if self.want is not None and len(self.refused) < MAX_REFUSED:
            self.refused.add(self.want)
        self.fail(now, True)

    def end(self, now: float, pause: float) -> None:
        """End the fetch; the next may begin after a pause in ms."""
        self.want, self.pieces = None, []
        self.next_try = now + pause
        if not pause:
            self.failed = {}


def dropped_share(old: Mapping[str, Row], new: Mapping[str, Row], ready: int) -> float:
    """The share of the ready engines in the old list that are not ready in the new one.

    Args:
        old: Rows by id.
        new: Rows by id.
        ready: The value of a ready engine's life, at index 6 of a row.
    """
    before = {ident for ident, row in old.items() if row[6] == ready}
    after = {ident for ident, row in new.items() if row[6] == ready}
    return len(before - after) / len(before) if before else 0.0
