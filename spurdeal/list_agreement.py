"""Which list of engines is in force, by the serial numbers and contents of the responses. Free of I/O.

A serial number alone is not reliable: numbering restarts with each start of a dispatcher, and a response may
come from a lagging replica, from before a restart, or be corrupt. So a response is judged by what it changes.
An engine that it lists as draining gets no more requests at once, whatever the number. An engine that is to
get requests for the first time gets them once the response to a later query agrees, and one that has drained
only after RETURN_HOLD as well. A list with a lower number than the one in force confirms that one only as far
as it contains the engines that get requests; RENUMBERED_AFTER consecutive ones show that the number in
force was wrong, and the lower one is adopted.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Generic, Protocol, Self, TypeVar

from .interface import Life, Verdict

RENUMBERED_AFTER = 3  # consecutive responses with a lower number
RETURN_HOLD = 1500.0  # ms; by the protocol no response lags for longer


class Entry(Protocol):
    """One engine of a list."""

    @property
    def host(self) -> str:
        """The IP address on which it listens."""

    @property
    def port(self) -> int:
        """The port on which it listens."""

    @property
    def life(self) -> Life:
        """Whether it may get requests."""

    @property
    def started(self) -> float:
        """Start time in Unix ms; 0 if long ago."""

    def _replace(self, *, life: Life) -> Self: ...


Endpoint = TypeVar("Endpoint", bound=Entry)


@dataclass(frozen=True)
class ListState(Generic[Endpoint]):
    """The list in force, and the responses that confirm or contradict it.

    Attributes:
        number: Its serial number.
        reported: The list as the name server reported it last.
        in_force: The list by which requests are sent: `reported` without the changes that are withheld.
        confirmed_at: When the query was sent whose response reported the list last, in ms.
        withheld: The engines that may not get requests yet, or not be removed yet, and the time after which a
            query must be sent whose response agrees.
        contradictions: Consecutive responses with a lower number.
    """

    number: int
    reported: Mapping[str, Endpoint]
    in_force: Mapping[str, Endpoint]
    confirmed_at: float = float("-inf")
    withheld: Mapping[str, float] = field(default_factory=dict)
    contradictions: int = 0

    @classmethod
    def of(cls, number: int, endpoints: Mapping[str, Endpoint]) -> ListState[Endpoint]:
        """Returns the list_state on a list that is in force as a whole."""
        return cls(number, endpoints, endpoints)


@dataclass(frozen=True)
class Assessment(Generic[Endpoint]):
    """The result of one response.

    Attributes:
        verdict: How the response relates to the list in force.
        list_state: The list in force after the response.
        covers_serving: Whether the response contains each engine that gets requests.
        query_soon: Whether to send the next query early, as one more response lets a change take effect.
    """

    verdict: Verdict
    list_state: ListState[Endpoint]
    covers_serving: bool = True
    query_soon: bool = False


def assess(
    before: ListState[Endpoint], number: int, endpoints: Mapping[str, Endpoint], asked_at: float, now: float
) -> Assessment[Endpoint]:
    """Assesses the response to the query sent at `asked_at`. Times are in ms."""
    is_same = number == before.number and lists_match(endpoints, before.reported)
    if is_same:
        return confirmed(before, endpoints, asked_at)
    if number > before.number or (number == before.number and asked_at >= before.confirmed_at):
        return newer(before, number, endpoints, asked_at, now)
    return older(before, number, endpoints, asked_at, now)


def confirmed(
    before: ListState[Endpoint], endpoints: Mapping[str, Endpoint], asked_at: float
) -> Assessment[Endpoint]:
    """Handles a response with the list in force: releases the engines that were withheld until then."""
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
        Verdict.CONFIRMED, ListState(before.number, endpoints, in_force, confirmed_at, withheld)
    )


def newer(
    before: ListState[Endpoint], number: int, endpoints: Mapping[str, Endpoint], asked_at: float, now: float
) -> Assessment[Endpoint]:
    """Handles a response with a newer list: removals and drains take effect at once."""
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
    after = ListState(number, endpoints, in_force, max(asked_at, before.confirmed_at), withheld)
    return Assessment(Verdict.NEWER, after, query_soon=any(since <= now for since in withheld.values()))


def older(
    before: ListState[Endpoint], number: int, endpoints: Mapping[str, Endpoint], asked_at: float, now: float
) -> Assessment[Endpoint]:
    """Handles a response with a lower number: engines that drain in it get no more requests."""
    serving = [ident for ident in before.in_force if gets_requests(before, ident)]
    drained = [ident for ident in serving if ident in endpoints and endpoints[ident].life != Life.READY]
    after = before
    if drained:
        in_force = {**before.in_force, **{ident: draining(before.in_force[ident]) for ident in drained}}
        withheld = {**before.withheld, **dict.fromkeys(drained, now + RETURN_HOLD)}
        after = replace(before, in_force=in_force, withheld=withheld)
    covers_serving = all(ident in endpoints for ident in serving)
    if asked_at < before.confirmed_at:
        return Assessment(Verdict.OLDER, after, covers_serving)
    after = replace(after, contradictions=before.contradictions + 1)
    if after.contradictions < RENUMBERED_AFTER:
        return Assessment(Verdict.OLDER, after, covers_serving, query_soon=True)
    return renumbered(after, number, endpoints, asked_at, now)


def renumbered(
    before: ListState[Endpoint], number: int, endpoints: Mapping[str, Endpoint], asked_at: float, now: float
) -> Assessment[Endpoint]:
    """Adopts a list with a lower number; its additions and removals take effect after RETURN_HOLD."""
    missing = {
        ident: draining(endpoint) for ident, endpoint in before.in_force.items() if ident not in endpoints
    }
    joining = [
        ident
        for ident, endpoint in endpoints.items()
        if endpoint.life == Life.READY and not gets_requests(before, ident)
    ]
    in_force = missing | {
        ident: draining(endpoint) if ident in joining else endpoint
        for ident, endpoint in endpoints.items()
        if ident not in joining or ident in before.in_force
    }
    withheld = dict.fromkeys([*joining, *missing], now + RETURN_HOLD)
    return Assessment(Verdict.NEWER, ListState(number, endpoints, in_force, before.confirmed_at, withheld))


def gets_requests(list_state: ListState[Endpoint], ident: str) -> bool:
    """Whether the list in force lets an engine get requests."""
    known = list_state.in_force.get(ident)
    return known is not None and known.life == Life.READY


def is_reported_again(before: ListState[Endpoint], ident: str, endpoint: Endpoint, asked_at: float) -> bool:
    """Whether the response to an earlier query already reported a withheld engine alike."""
    since, reported = before.withheld.get(ident), before.reported.get(ident)
    return (
        since is not None
        and asked_at > since
        and reported is not None
        and same_process_and_state(reported, endpoint)
    )


def draining(endpoint: Endpoint) -> Endpoint:
    """Returns the entry with the engine draining."""
    return endpoint._replace(life=Life.DRAINING)


def lists_match(one: Mapping[str, Endpoint], other: Mapping[str, Endpoint]) -> bool:
    """Whether two lists agree on where to send requests; weights may differ."""
    if one is other:
        return True
    return one.keys() == other.keys() and all(
        same_process_and_state(endpoint, other[ident]) for ident, endpoint in one.items()
    )


def same_process_and_state(one: Entry, other: Entry) -> bool:
    """Whether two entries of an engine mean the same process in the same state."""
    return (one.host, one.port, one.life, one.started) == (other.host, other.port, other.life, other.started)
