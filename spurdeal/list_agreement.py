"""Which list of engines is in force, by the numbers and the contents of the answers. Free of I/O.

A number alone says little: it begins anew with each start of a dispatcher, and an answer may come from a
replica that lags, from before a restart, or spoilt. So what an answer tells is weighed by what it changes.
An engine that is to get nothing any more gets nothing at once. An engine that is to get requests again, or
for the first time, gets them once a later question was answered alike. A list with a lower number than the
one in force confirms nothing; RENUMBERED_AFTER such answers in a row show that the number in force was wrong,
and the lower one is taken.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import Enum, auto
from typing import Generic, Protocol, Self, TypeVar

from .interface import Life

RENUMBERED_AFTER = 3  # answers in a row
RENUMBERED_HOLD = 1500.0  # ms; by the protocol no answer lags for longer


class Entry(Protocol):
    """One engine of a list."""

    @property
    def host(self) -> str:
        """Where it listens."""

    @property
    def port(self) -> int:
        """Where it listens."""

    @property
    def life(self) -> Life:
        """Whether it may get requests."""

    @property
    def started(self) -> float:
        """When it was started, in Unix ms; 0 for long ago."""

    def _replace(self, *, life: Life) -> Self: ...


Seat = TypeVar("Seat", bound=Entry)


class Verdict(Enum):
    """What an answer means for the list in force."""

    CONFIRMED = auto()  # it tells that list
    CHANGED = auto()  # another list is in force now
    CONTRADICTED = auto()  # it tells an older list: whether the one in force still holds is not known
    OVERTAKEN = auto()  # it tells an older list, and a later question was answered before


@dataclass(frozen=True)
class Agreement(Generic[Seat]):
    """The list in force, and what is known for and against it.

    Attributes:
        number: Its number.
        told: As it was told.
        in_force: The same, without the engines that may not get requests yet.
        confirmed_at: When the question left whose answer last told it, in ms.
        release_from: After when a question must have left, to be answered alike, so that `told` is in force
            as a whole; None where it is.
        contradictions: Answers in a row with a lower number.
    """

    number: int
    told: Mapping[str, Seat]
    in_force: Mapping[str, Seat]
    confirmed_at: float = float("-inf")
    release_from: float | None = None
    contradictions: int = 0

    @classmethod
    def of(cls, number: int, seats: Mapping[str, Seat]) -> Agreement[Seat]:
        """That of a list which is in force as a whole."""
        return cls(number, seats, seats)


@dataclass(frozen=True)
class Judged(Generic[Seat]):
    """What an answer leads to.

    Attributes:
        ask_again: Whether the next question is to leave soon, as one more answer settles something.
    """

    verdict: Verdict
    agreement: Agreement[Seat]
    ask_again: bool = field(default=False)


def judged(
    before: Agreement[Seat], number: int, seats: Mapping[str, Seat], asked_at: float, now: float
) -> Judged[Seat]:
    """What the answer to the question that left at `asked_at` leads to. Times are in ms."""
    overtaken = asked_at < before.confirmed_at
    if number < before.number:
        return Judged(Verdict.OVERTAKEN, before) if overtaken else contradicted(before, number, seats, now)
    if number > before.number:
        return changed(before, number, seats, asked_at)
    if alike(seats, before.told):
        return confirmed(before, asked_at)
    return Judged(Verdict.OVERTAKEN, before) if overtaken else changed(before, number, seats, asked_at)


def confirmed(before: Agreement[Seat], asked_at: float) -> Judged[Seat]:
    """The list in force was told again."""
    after = replace(before, confirmed_at=max(asked_at, before.confirmed_at), contradictions=0)
    if before.release_from is None or asked_at <= before.release_from:
        return Judged(Verdict.CONFIRMED, after)
    return Judged(Verdict.CHANGED, replace(after, in_force=before.told, release_from=None))


def changed(before: Agreement[Seat], number: int, seats: Mapping[str, Seat], asked_at: float) -> Judged[Seat]:
    """A newer list was told: what it takes away is in force at once."""
    in_force = without_unproven(before.in_force, seats)
    release_from = None if alike(in_force, seats) else asked_at
    confirmed_at = max(asked_at, before.confirmed_at)
    after = Agreement(number, seats, in_force, confirmed_at, release_from)
    return Judged(Verdict.CHANGED, after, ask_again=release_from is not None)


def contradicted(before: Agreement[Seat], number: int, seats: Mapping[str, Seat], now: float) -> Judged[Seat]:
    """A list with a lower number was told."""
    count = before.contradictions + 1
    if count < RENUMBERED_AFTER:
        return Judged(Verdict.CONTRADICTED, replace(before, contradictions=count), ask_again=True)
    in_force = without_unproven(before.in_force, seats) | draining_of(before.in_force, seats)
    return Judged(Verdict.CHANGED, Agreement(number, seats, in_force, now, now + RENUMBERED_HOLD))


def alike(one: Mapping[str, Seat], other: Mapping[str, Seat]) -> bool:
    """Whether two lists tell the same of where to send requests; weights may differ."""
    if one is other:
        return True
    return one.keys() == other.keys() and all(same_use(seat, other[ident]) for ident, seat in one.items())


def same_use(one: Entry, other: Entry) -> bool:
    """Whether two entries of an engine tell the same process, in the same state."""
    return (one.host, one.port, one.life, one.started) == (other.host, other.port, other.life, other.started)


def without_unproven(in_force: Mapping[str, Seat], seats: Mapping[str, Seat]) -> dict[str, Seat]:
    """A list in which each engine that did not get requests so far still gets none."""
    proven = dict[str, Seat]()
    for ident, seat in seats.items():
        known = in_force.get(ident)
        if seat.life != Life.READY or (known is not None and known.life == Life.READY):
            proven[ident] = seat
        elif known is not None:
            proven[ident] = seat._replace(life=known.life)
    return proven


def draining_of(in_force: Mapping[str, Seat], seats: Mapping[str, Seat]) -> dict[str, Seat]:
    """The engines in force that a list does not name: they get nothing, and are not forgotten yet."""
    return {
        ident: seat._replace(life=Life.DRAINING) for ident, seat in in_force.items() if ident not in seats
    }
