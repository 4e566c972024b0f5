"""Which list of engines is in force, by the numbers and the contents of the answers. Free of I/O.

A number alone says little: it begins anew with each start of a dispatcher, and an answer may come from a
replica that lags, from before a restart, or spoilt. So what an answer tells is weighed by what it changes.
Whatever its number, an engine that it tells to drain gets no more requests at once. An engine that is to get
requests for the first time gets them once a later question was answered alike, and one that had drained once
RETURN_HOLD has passed besides. A list with a lower number than the one in force confirms that one only as far
as it tells the engines that get requests; RENUMBERED_AFTER such answers in a row show that the number in
force was wrong, and the lower one is taken.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Generic, Protocol, Self, TypeVar

from .interface import Life, Verdict

RENUMBERED_AFTER = 3  # answers in a row
RETURN_HOLD = 1500.0  # ms; by the protocol no answer lags for longer


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


Endpoint = TypeVar("Endpoint", bound=Entry)


@dataclass(frozen=True)
class Agreement(Generic[Endpoint]):
    """The list in force, and what is known for and against it.

    Attributes:
        number: Its number.
        told: As it was told last.
        in_force: The same, but for the engines that are withheld.
        confirmed_at: When the question left whose answer last told it, in ms.
        withheld: The engines that wait for requests, or to be forgotten, and after when a question must have
            left, to be answered alike.
        contradictions: Answers in a row with a lower number.
    """

    number: int
    reported: Mapping[str, Endpoint]
    in_force: Mapping[str, Endpoint]
    confirmed_at: float = float("-inf")
    withheld: Mapping[str, float] = field(default_factory=dict)
    contradictions: int = 0

    @classmethod
    def of(cls, number: int, endpoints: Mapping[str, Endpoint]) -> Agreement[Endpoint]:
        """That of a list which is in force as a whole."""
        return cls(number, endpoints, endpoints)


@dataclass(frozen=True)
class Assessment(Generic[Endpoint]):
    """What an answer leads to.

    Attributes:
        is_settled: Whether it has told the state of each engine that gets requests.
        ask_again: Whether the next question is to leave soon, as one more answer settles something.
    """

    verdict: Verdict
    agreement: Agreement[Endpoint]
    covers_serving: bool = True
    query_soon: bool = False


def assess(
    before: Agreement[Endpoint], number: int, endpoints: Mapping[str, Endpoint], asked_at: float, now: float
) -> Assessment[Endpoint]:
    """What the answer to the question that left at `asked_at` leads to. Times are in ms."""
    is_same = number == before.number and alike(endpoints, before.reported)
    if is_same:
        return confirmed(before, endpoints, asked_at)
    if number > before.number or (number == before.number and asked_at >= before.confirmed_at):
        return newer(before, number, endpoints, asked_at, now)
    return older(before, number, endpoints, asked_at, now)


def confirmed(
    before: Agreement[Endpoint], endpoints: Mapping[str, Endpoint], asked_at: float
) -> Assessment[Endpoint]:
    """The list in force was told again: engines that have waited for that are withheld no more."""
    in_force, withheld = before.in_force, before.withheld
    if released := [ident for ident, since in withheld.items() if asked_at > since]:
        in_force = dict(in_force)
        for ident in released:
            in_force.pop(ident, None)
            if ident in endpoints:
                in_force[ident] = endpoints[ident]
        withheld = {ident: since for ident, since in withheld.items() if ident not in released}
    confirmed_at = max(asked_at, before.confirmed_at)
    return Assessment(
        Verdict.CONFIRMED, Agreement(before.number, endpoints, in_force, confirmed_at, withheld)
    )


def newer(
    before: Agreement[Endpoint], number: int, endpoints: Mapping[str, Endpoint], asked_at: float, now: float
) -> Assessment[Endpoint]:
    """Another list was told: what it takes away is in force at once."""
    in_force, withheld = dict[str, Endpoint](), dict[str, float]()
    for ident, endpoint in endpoints.items():
        is_proven = gets_requests(before, ident) or is_reported_again(before, ident, endpoint, asked_at)
        if is_proven or endpoint.life != Life.READY:
            in_force[ident] = endpoint
            continue
        known = before.in_force.get(ident)
        withheld[ident] = before.withheld.get(ident, asked_at if known is None else now + RETURN_HOLD)
        if known is not None:
            in_force[ident] = draining(endpoint)
    after = Agreement(number, endpoints, in_force, max(asked_at, before.confirmed_at), withheld)
    return Assessment(Verdict.NEWER, after, query_soon=any(since <= now for since in withheld.values()))


def older(
    before: Agreement[Endpoint], number: int, endpoints: Mapping[str, Endpoint], asked_at: float, now: float
) -> Assessment[Endpoint]:
    """An older list was told, or the number in force is wrong: what drains there gets no more requests."""
    serving = [ident for ident in before.in_force if gets_requests(before, ident)]
    ended = [ident for ident in serving if ident in endpoints and endpoints[ident].life != Life.READY]
    after = before
    if ended:
        in_force = {**before.in_force, **{ident: draining(before.in_force[ident]) for ident in ended}}
        withheld = {**before.withheld, **dict.fromkeys(ended, now + RETURN_HOLD)}
        after = replace(before, in_force=in_force, withheld=withheld)
    covers_serving = all(ident in endpoints for ident in serving)
    if asked_at < before.confirmed_at:
        return Assessment(Verdict.OLDER, after, covers_serving)
    after = replace(after, contradictions=before.contradictions + 1)
    if after.contradictions < RENUMBERED_AFTER:
        return Assessment(Verdict.OLDER, after, covers_serving, query_soon=True)
    return renumbered(after, number, endpoints, asked_at, now)


def renumbered(
    before: Agreement[Endpoint], number: int, endpoints: Mapping[str, Endpoint], asked_at: float, now: float
) -> Assessment[Endpoint]:
    """The number in force was wrong: what a list of a lower number adds or lacks waits for RETURN_HOLD."""
    lacking = {
        ident: draining(endpoint) for ident, endpoint in before.in_force.items() if ident not in endpoints
    }
    joining = [
        ident
        for ident, endpoint in endpoints.items()
        if endpoint.life == Life.READY and not gets_requests(before, ident)
    ]
    in_force = lacking | {
        ident: draining(endpoint) if ident in joining else endpoint
        for ident, endpoint in endpoints.items()
        if ident not in joining or ident in before.in_force
    }
    withheld = dict.fromkeys([*joining, *lacking], now + RETURN_HOLD)
    return Assessment(Verdict.NEWER, Agreement(number, endpoints, in_force, before.confirmed_at, withheld))


def gets_requests(agreement: Agreement[Endpoint], ident: str) -> bool:
    """Whether an engine gets requests by the list in force."""
    known = agreement.in_force.get(ident)
    return known is not None and known.life == Life.READY


def is_reported_again(before: Agreement[Endpoint], ident: str, endpoint: Endpoint, asked_at: float) -> bool:
    """Whether an engine that waits for requests was told alike to an earlier question."""
    since, reported = before.withheld.get(ident), before.reported.get(ident)
    return since is not None and asked_at > since and reported is not None and same_use(reported, endpoint)


def draining(endpoint: Endpoint) -> Endpoint:
    """The same engine, which gets no requests any more."""
    return endpoint._replace(life=Life.DRAINING)


def alike(one: Mapping[str, Endpoint], other: Mapping[str, Endpoint]) -> bool:
    """Whether two lists tell the same of where to send requests; weights may differ."""
    if one is other:
        return True
    return one.keys() == other.keys() and all(
        same_use(endpoint, other[ident]) for ident, endpoint in one.items()
    )


def same_use(one: Entry, other: Entry) -> bool:
    """Whether two entries of an engine tell the same process, in the same state."""
    return (one.host, one.port, one.life, one.started) == (other.host, other.port, other.life, other.started)
