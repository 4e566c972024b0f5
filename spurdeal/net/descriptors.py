"""The file descriptor budget: how a process's limit is divided among clients, engines and the process."""

from __future__ import annotations

import os
import resource
from dataclasses import dataclass

OPEN_DESCRIPTORS = "/proc/self/fd"
TYPICAL_OPEN = 6  # standard streams, the event loop's epoll and its wake-up pipe
OPENED_AT_START = 3  # listener, discovery socket, and the descriptor that Twisted keeps in reserve for accept
OPENED_FOR_NAMES = 3  # more sockets to the name server, opened while it does not answer
# Plus two: one to reload the configuration, one to list the open descriptors.
OPENED_LATER = OPENED_AT_START + OPENED_FOR_NAMES + 2
MAX_OWN_SHARE = 1 / 4  # binds only for limits that are too low for all parts
MAX_CLIENT_SHARE = 1 / 2
MIN_CLIENT_SHARE = 1 / 3  # clients may hold a third of the limit by the protocol
MIN_CLIENTS = 8
MAX_ENGINE_SHARE = 2 / 5
ACCEPT_SHARE = 1 / 6  # of the clients' share
MAX_ACCEPTS = 64


@dataclass(frozen=True, slots=True)
class ProcessDescriptors:
    """The descriptors of the process before the dispatcher opens its sockets.

    Attributes:
        allowed: The limit that the system enforces (RLIMIT_NOFILE); None if there is none or it is unknown.
        already_open: How many descriptors are open already.
    """

    allowed: int | None = None
    already_open: int = TYPICAL_OPEN

    @classmethod
    def of_this_process(cls) -> ProcessDescriptors:
        """Reads the soft limit and counts the open descriptors of this process."""
        soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        allowed = None if soft_limit == resource.RLIM_INFINITY else soft_limit
        return cls(allowed, max(TYPICAL_OPEN, count_open_descriptors()))


def count_open_descriptors() -> int:
    """How many descriptors this process has open; 0 if the system does not report it."""
    try:
        return len(os.listdir(OPEN_DESCRIPTORS)) - 1  # without the one that listdir itself had open
    except OSError:
        return 0


@dataclass(frozen=True, slots=True)
class DescriptorBudget:
    """The shares of a limit on descriptors. Their sum stays within the limit if it is 48 or more.

    Attributes:
        limit: All descriptors.
        own: Reserved for the process: those already open, listener, discovery sockets, files.
        clients: Limit on connections from clients.
        engines: Limit on connections to engines.
        accepts: Connections accepted per round of the event loop at most, which is also the number of
            slots of the clients' share that eviction keeps free for the next round.
    """

    limit: int
    own: int
    clients: int
    engines: int
    accepts: int

    @classmethod
    def from_limit(cls, configured: int, process: ProcessDescriptors) -> DescriptorBudget:
        """Divides the configured limit, or the system's if that is lower.

        The process's own descriptors come first, then the third that clients may hold by the protocol, then
        engines; the remainder goes to clients, up to half of the limit.
        """
        limit = configured if process.allowed is None else min(configured, process.allowed)
        own = min(process.already_open + OPENED_LATER, int(limit * MAX_OWN_SHARE))
        min_clients = int(limit * MIN_CLIENT_SHARE)
        engines = max(1, min(int(limit * MAX_ENGINE_SHARE), limit - own - min_clients))
        clients = max(MIN_CLIENTS, min(int(limit * MAX_CLIENT_SHARE), limit - own - engines))
        accepts = max(1, min(MAX_ACCEPTS, int(clients * ACCEPT_SHARE)))
        return cls(limit, own, clients, engines, accepts)
