"""Which of the clients' connections are closed first where descriptors are scarce."""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum
from typing import TYPE_CHECKING

from .pending import may_have_input

if TYPE_CHECKING:
    from .client import Client

MIN_AGE = 25.0  # ms that a new connection has for its first bytes, and a message to become whole
LONGEST_ENDING = 1000.0  # ms in which a last answer has to leave


class EvictionRank(IntEnum):
    """States in which a connection can be given up, the first to go first."""

    ENDING = 0  # nothing more is taken from it: its last answer is on its way, or it lingers behind that
    UNPROVEN = 1  # it has never brought a whole request: nothing, or part of one
    IDLE = 2  # it has brought requests, and no call is open on it
    UNFINISHED = 3  # it has brought requests, and part of another call


def eviction_rank(client: Client) -> EvictionRank | None:
    """None for one that must stay: a call is open on it, or its answers are not read."""
    if client.closing:
        return EvictionRank.ENDING
    if client.call is not None or client.clogged:
        return None
    if not client.brought:
        return EvictionRank.UNPROVEN
    return EvictionRank.UNFINISHED if client.parser.remaining() else EvictionRank.IDLE


def evict(clients: Iterable[Client], count: int, now: float) -> int:
    """Gives up `count` connections at most, within a rank those unchanged for longest first.

    One that cannot be given up just now, but soon, counts as well: while there are enough of a rank, none of
    the next rank goes.

    Returns:
        How many were given up just now.
    """
    ranked = [
        (rank, client.since, client) for client in clients if (rank := eviction_rank(client)) is not None
    ]
    ranked.sort(key=lambda entry: entry[:2])
    return sum(give_up(client, rank, now) for rank, _, client in ranked[:count])


def give_up(client: Client, rank: EvictionRank, now: float) -> bool:
    """Gives a connection up if that can be done now.

    Not one that has just come, nor one whose bytes were not read yet: a whole call may be among them."""
    age = now - client.since
    if rank is EvictionRank.ENDING:
        if not client.written and age < LONGEST_ENDING:
            return False
        client.expire()
        return True
    if (rank is not EvictionRank.IDLE and age < MIN_AGE) or may_have_input(client.transport):
        return False
    if client.parser.remaining():
        client.refuse_unfinished()
    else:
        client.close()
    return True
