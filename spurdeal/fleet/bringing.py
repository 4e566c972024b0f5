"""One that is behind is brought up by a peer: the missing changes, or the whole list. Free of I/O and clocks.

It asks one holder at a time, chosen by chance among all who claim the version, so that no one is stormed; a
holder serves so many pieces in a period and says so when it is busy. What has come counts only if it has the
digest that was claimed, and only if it would not drop more engines at once than one witness may: one that
makes lists up must not empty the fleet. Pieces are bytes of a JSON text packed with zlib, small enough for
one packet each.
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

PIECE_SIZE = 600  # bytes of packed text in one datagram
MAX_PIECES = 128
LARGEST = 1_048_576  # bytes unpacked
KEPT_LISTS = 8  # lists kept for those who are behind
MAX_SERVED = 24  # pieces served in a period
MAX_REFUSED = 64  # versions whose content was not acted on
PIECE_TIMEOUT = 200.0  # ms for one piece
RETRY_PAUSE = 50.0, 150.0  # ms after a failure until another is asked
MAX_SINGLE_WITNESS_DROP = 0.34  # of the engines ready here: what one witness alone may take away at once

Rows = dict[str, Row]


class UnusableListError(FleetError):
    """What has come cannot be used; the text says why."""


def pack(value: object) -> list[bytes]:
    """A JSON value as pieces of packed bytes."""
    packed = zlib.compress(json.dumps(value, separators=(",", ":")).encode(), 9)
    return [packed[at : at + PIECE_SIZE] for at in range(0, len(packed), PIECE_SIZE)]


def unpack(pieces: Sequence[bytes]) -> object:
    """The JSON value in these pieces.

    Raises:
        UnusableListError: They are cut, damaged, or more than LARGEST when unpacked.
    """
    opened = zlib.decompressobj()
    try:
        data = opened.decompress(b"".join(pieces), LARGEST)
        if opened.unconsumed_tail or not opened.eof:
            raise UnusableListError("too large, or cut")
        return json.loads(data)
    except (zlib.error, ValueError, RecursionError) as fault:
        raise UnusableListError(str(fault)) from None


def difference(old: Rows, new: Rows) -> dict[str, Any]:
    """What turns the old list into the new."""
    return {
        "changed": [list(row) for ident, row in sorted(new.items()) if old.get(ident) != row],
        "gone": sorted(old.keys() - new.keys()),
    }


def apply_changes(old: Rows, told: object) -> Rows:
    """The whole list of what a peer has told, over what we have.

    Raises:
        UnusableListError: It has not the form of a list, or of a difference.
    """
    if not isinstance(told, dict):
        raise UnusableListError("no list: not an object")
    try:
        if "rows" in told:
            return {str(row[0]): tuple(row) for row in told["rows"]}
        rows = dict(old)
        for ident in told["gone"]:
            rows.pop(str(ident), None)
        rows.update({str(row[0]): tuple(row) for row in told["changed"]})
        return rows
    except (KeyError, TypeError, IndexError) as fault:
        raise UnusableListError(f"no list: {fault!r}") from None


class Piece(NamedTuple):
    """One piece of a packed list, and how many there are."""

    total: int
    data: bytes


BUSY = Piece(0, b"")


class ListStore:
    """Our newest lists, for those who are behind."""

    def __init__(self, period: float, now: float) -> None:
        self.period, self.since, self.served = period, now, 0
        self.lists: OrderedDict[Version, Rows] = OrderedDict()
        self.packed: OrderedDict[tuple[Version, Version], list[bytes]] = OrderedDict()
        self.busy = 0

    def keep(self, version: Version, rows: Rows) -> None:
        """Keep one more list; the oldest is dropped past KEPT."""
        self.lists[version] = rows
        while len(self.lists) > KEPT_LISTS:
            self.lists.popitem(last=False)
        self.packed.clear()

    def piece(self, now: float, have: Version, want: Version, place: int) -> Piece | None:
        """The piece at a place; BUSY when busy; None for a list that we have not."""
        if want not in self.lists:
            return None
        if now - self.since >= self.period:
            self.since, self.served = now, 0
        if self.served >= MAX_SERVED:
            self.busy += 1
            return BUSY
        if (have, want) not in self.packed:
            told: dict[str, Any] = {"rows": [list(row) for _, row in sorted(self.lists[want].items())]}
            if have in self.lists:
                changes = difference(self.lists[have], self.lists[want])
                told = min(told, changes, key=lambda each: len(str(each)))
            self.packed[have, want] = pack(told)
            while len(self.packed) > 4 * KEPT_LISTS:
                self.packed.popitem(last=False)
        pieces = self.packed[have, want]
        if place >= len(pieces) or len(pieces) > MAX_PIECES:
            return None
        self.served += 1
        return Piece(len(pieces), pieces[place])


class PieceRequest(NamedTuple):
    """To be sent: the piece at a place, of what, from whom."""

    to: str
    have: Version
    want: Version
    place: int


class ReceivedPiece(NamedTuple):
    """A piece as a holder sent it: of which version, its place, how many there are, and base64 text."""

    want: Version
    place: int
    total: int
    data: str


class Fetch:
    """Our side: at most one list under way, one piece at a time."""

    def __init__(self, chance: random.Random) -> None:
        self.chance = chance
        self.want: Version | None = None
        self.have = Version(0, 0, "")
        self.holder, self.pieces = "", list[bytes]()
        self.count, self.due, self.next_try = 0, 0.0, 0.0
        self.failed: dict[str, int] = {}  # holders that gave nothing usable, this time
        self.refused: set[Version] = set()  # versions whose content was no good: they are not asked for again
        self.unusable = self.started = 0

    def tick(self, now: float, have: Version, offers: Sequence[Offer]) -> PieceRequest | None:
        """What to ask for now. offers: versions beyond ours, newest first, and who holds them."""
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
        """A piece: what to ask for next, or all of them."""
        if sender != self.holder or piece.want != self.want or piece.place != len(self.pieces):
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
        """This holder gave nothing usable: another, after a pause by chance."""
        self.failed[self.holder] = self.failed.get(self.holder, 0) + 1
        self.unusable += unusable
        self.end(now, self.chance.uniform(*RETRY_PAUSE))

    def refuse(self, now: float) -> None:
        """The content is what was claimed, and still not to be acted on."""
        if self.want is not None and len(self.refused) < MAX_REFUSED:
            self.refused.add(self.want)
        self.fail(now, True)

    def end(self, now: float, pause: float) -> None:
        """Nothing is fetched any more; the next may begin after a pause in ms."""
        self.want, self.pieces = None, []
        self.next_try = now + pause
        if not pause:
            self.failed = {}


def dropped_share(old: Mapping[str, Row], new: Mapping[str, Row], ready: int) -> float:
    """The part of what is ready in the old list that is not in the new.

    Args:
        old: Rows by id.
        new: Rows by id.
        ready: The life that counts, which is in place 6 of a row.
    """
    before = {ident for ident, row in old.items() if row[6] == ready}
    after = {ident for ident, row in new.items() if row[6] == ready}
    return len(before - after) / len(before) if before else 0.0
