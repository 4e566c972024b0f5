"""Eviction: which client connections are closed first when descriptors are scarce."""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum
from typing import TYPE_CHECKING

from .socket_inspection import may_have_input

if TYPE_CHECKING:
    from .client import Client

MIN_AGE = 25.0  # ms that a connection gets to send its first bytes, or the rest of a request
CLOSING_TIMEOUT = 1000.0  # ms for sending the last response


class EvictionRank(IntEnum):
    """States in which a connection may be evicted, in the order of eviction."""

    CLOSING = 0  # no more requests are read: its last response is being sent, or it lingers
    NO_REQUEST = (
        1  # it never submitted a statement: it sent nothing, part of a request, or others such as GET
    )
    IDLE = 2  # it submitted statements before, and has no open request
    PARTIAL_REQUEST = 3  # it submitted statements before, and sent part of another request


def eviction_rank(client: Client) -> EvictionRank | None:
    """The rank of a connection; None if it must stay, with an open request or with unread responses."""
    if client.closing:
        return EvictionRank.CLOSING
    if client.pending_answer is not None or client.write_blocked:
        return None
    if not client.has_sent_request:
        return EvictionRank.NO_REQUEST
    return EvictionRank.PARTIAL_REQUEST if client.parser.remaining() else EvictionRank.IDLE


def evict(clients: Iterable[Client], count: int, now: float) -> int:
    """Evicts at most `count` connections: by rank, and within a rank those longest in their state first.

    A connection that can be evicted soon but not yet counts towards `count`: while a rank has enough
    candidates, none of the next rank is evicted.

    Returns:
        How many were evicted now.
    """
    ranked = [
        (rank, client.state_since, client)
        for client in clients
        if (rank := eviction_rank(client)) is not None
    ]
    ranked.sort(key=lambda entry: entry[:2])
    return sum(evict_one(client, rank, now) for rank, _, client in ranked[:count])


def evict_one(client: Client, rank: EvictionRank, now: float) -> bool:
    """Evicts a connection, if that is possible now; returns whether it was.

    New connections are spared, and those with unread input in their socket, as that may be a whole request.
    """
    age = now - client.state_since
    if rank is EvictionRank.CLOSING:
        if not client.lingering and age < CLOSING_TIMEOUT:
            return False
        client.expire()
        return True
    if (rank is not EvictionRank.IDLE and age < MIN_AGE) or may_have_input(client.transport):
        return False
    if client.parser.remaining():
        client.reject_partial_request()
    else:
        client.close()
    return True
