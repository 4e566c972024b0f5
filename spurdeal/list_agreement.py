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
RETURN_HOLD = 1500.0  # ms; no response is taken to lag for longer, see list_freshness.PROPAGATION_LIMIT


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


EntryT = TypeVar("EntryT", bound=Entry)


@dataclass(frozen=True)
class ListState(Generic[EntryT]):
    """The list in force, and the responses that confirm or contradict it.

    Attributes:
        number: Its serial number.
        reported: The list as the name server reported it last.
        in_force: The list by which requests are sent: `reported` without the changes that are withheld.
        confirmed_at: When the query was sent whose response reported the list last, in ms.
        withheld: The pending changes: by engine that may not get requests yet or not be removed yet, the time
            after which a query must be sent whose response agrees.
        contradictions: Consecutive responses with a lower number.
    """

    number: int
    reported: Mapping[str, EntryT]
    in_force: Mapping[str, EntryT]
    confirmed_at: float = float("-inf")
    withheld: Mapping[str, float] = field(default_factory=dict)
    contradictions: int = 0

    @classmethod
    def of(cls, number: int, endpoints: Mapping[str, EntryT]) -> ListState[EntryT]:
        """Returns the state of a list that is in force as a whole."""
        return cls(number, endpoints, endpoints)


@dataclass(frozen=True)
class Assessment(Generic[EntryT]):
    """The result of one response.

    Attributes:
        verdict: How the response relates to the list in force.
        list_state: The list in force after the response.
        covers_serving: Whether the response contains each engine that gets requests.
        query_soon: Whether to send the next query early, as one more response lets a change take effect.
    """

    verdict: Verdict
    list_state: ListState[EntryT]
    covers_serving: bool = True
    query_soon: bool = False


def assess(
    before: ListState[EntryT], number: int, endpoints: Mapping[str, EntryT], query_sent_at: float, now: float
) -> Assessment[EntryT]:
    """Assesses the response to the query sent at `query_sent_at`. Times are in ms."""
    is_same = number == before.number and lists_match(endpoints, before.reported)
    if is_same:
        return confirmed(before, endpoints, query_sent_at)
    if number > before.number or (number == before.number and query_sent_at >= before.confirmed_at):
        return newer(before, number, endpoints, query_sent_at, now)
    return older(before, number, endpoints, query_sent_at, now)


def confirmed(
    before: ListState[EntryT], endpoints: Mapping[str, EntryT], query_sent_at: float
) -> Assessment[EntryT]:
    """Handles a response with the list in force: releases the engines that were withheld until then."""
    in_force, withheld = before.in_force, before.withheld
    if released := [ident for ident, not_before in withheld.items() if query_sent_at > not_before]:
        in_force = dict(in_force)
        for ident in released:
            in_force.pop(ident, None)
            if ident in endpoints:
                in_force[ident] = endpoints[ident]
        withheld = {ident: not_before for ident, not_before in withheld.items() if ident not in released}
    # The new state counts no contradictions: only consecutive ones matter.
    confirmed_at = max(query_sent_at, before.confirmed_at)
    return Assessment(
        Verdict.CONFIRMED, ListState(before.number, endpoints, in_force, confirmed_at, withheld)
    )


def newer(
    before: ListState[EntryT], number: int, endpoints: Mapping[str, EntryT], query_sent_at: float, now: float
) -> Assessment[EntryT]:
    """Handles a response with a newer list: removals and drains take effect at once."""
    in_force, withheld = dict[str, EntryT](), dict[str, float]()
    for ident, endpoint in endpoints.items():
        may_serve_now = gets_requests(before, ident) or is_reported_again(
            before, ident, endpoint, query_sent_at
        )
        if may_serve_now or endpoint.life != Life.READY:
            in_force[ident] = endpoint
            continue
        known = before.in_force.get(ident)
        withheld[ident] = before.withheld.get(ident, query_sent_at if known is None else now + RETURN_HOLD)
        if known is not None:
            in_force[ident] = draining(endpoint)
    after = ListState(number, endpoints, in_force, max(query_sent_at, before.confirmed_at), withheld)
    return Assessment(
        Verdict.NEWER, after, query_soon=any(not_before <= now for not_before in withheld.values())
    )


def older(
    before: ListState[EntryT], number: int, endpoints: Mapping[str, EntryT], query_sent_at: float, now: float
) -> Assessment[EntryT]:
    """Handles a lower number, or another list of the same number in the response to an earlier query.

    Engines that drain in it get no more requests.
    """
    serving = [ident for ident in before.in_force if gets_requests(before, ident)]
    drained = [ident for ident in serving if ident in endpoints and endpoints[ident].life != Life.READY]
    after = before
    if drained:
        in_force = {**before.in_force, **{ident: draining(before.in_force[ident]) for ident in drained}}
        withheld = {**before.withheld, **dict.fromkeys(drained, now + RETURN_HOLD)}
        after = replace(before, in_force=in_force, withheld=withheld)
    covers_serving = all(ident in endpoints for ident in serving)
    if query_sent_at < before.confirmed_at:
        return Assessment(Verdict.OLDER, after, covers_serving)
    after = replace(after, contradictions=before.contradictions + 1)
    if after.contradictions < RENUMBERED_AFTER:
        return Assessment(Verdict.OLDER, after, covers_serving, query_soon=True)
    return renumbered(after, number, endpoints, query_sent_at, now)


def renumbered(
    before: ListState[EntryT], number: int, endpoints: Mapping[str, EntryT], query_sent_at: float, now: float
) -> Assessment[EntryT]:
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


def gets_requests(list_state: ListState[EntryT], ident: str) -> bool:
    """Whether the list in force lets an engine get requests."""
    known = list_state.in_force.get(ident)
    return known is not None and known.life == Life.READY


def is_reported_again(before: ListState[EntryT], ident: str, endpoint: EntryT, query_sent_at: float) -> bool:
    """Whether the last list had a withheld engine in the same state, and this query was sent late enough."""
    not_before, reported = before.withheld.get(ident), before.reported.get(ident)
    return (
        not_before is not None
        and query_sent_at > not_before
        and reported is not None
        and same_process_and_state(reported, endpoint)
    )


def draining(endpoint: EntryT) -> EntryT:
    """Returns the entry with the engine draining."""
    return endpoint._replace(life=Life.DRAINING)


def lists_match(one: Mapping[str, EntryT], other: Mapping[str, EntryT]) -> bool:
    """Whether two lists agree on where to send requests; weights may differ."""
    if one is other:
        return True
    return one.keys() == other.keys() and all(
        same_process_and_state(endpoint, other[ident]) for ident, endpoint in one.items()
    )


def same_process_and_state(one: Entry, other: Entry) -> bool:
    """Whether two entries of an engine mean the same process in the same state."""
    return (one.host, one.port, one.life, one.started) == (other.host, other.port, other.life, other.started)
