"""How the descriptors of a process are shared out among clients, engines and the process itself."""

from __future__ import annotations

import os
import resource
from dataclasses import dataclass

OPEN_DESCRIPTORS = "/proc/self/fd"
TYPICAL_HELD = 6  # standard streams, the event loop's epoll and its wake-up pipe
OPENED_AT_START = 3  # listener, name service, and the one that Twisted's accept keeps in reserve
OPENED_FOR_NAMES = 3  # further sockets to the name service, while it is silent
OPENED_LATER = (
    OPENED_AT_START + OPENED_FOR_NAMES + 2
)  # the configuration read again, a listing of the descriptors
OWN_MOST_PART = 1 / 4  # a limit so low that this binds leaves nothing to spare
CLIENTS_PART = 1 / 2
CLIENTS_LEAST_PART = 1 / 3  # what the protocol lets clients hold
CLIENTS_LEAST = 8
ENGINES_PART = 2 / 5
ACCEPTS_PART = 1 / 6  # of the clients' part
MOST_ACCEPTS = 64


@dataclass(frozen=True, slots=True)
class ProcessDescriptors:
    """What the process that a dispatcher runs in has to do with descriptors.

    Attributes:
        allowed: How many it may hold, as the system enforces it; None where that is not known.
        held: How many it held before the dispatcher opened its sockets.
    """

    allowed: int | None = None
    held: int = TYPICAL_HELD

    @classmethod
    def of_this_process(cls) -> ProcessDescriptors:
        soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        allowed = None if soft_limit == resource.RLIM_INFINITY else soft_limit
        return cls(allowed, max(TYPICAL_HELD, count_open_descriptors()))


def count_open_descriptors() -> int:
    """How many descriptors this process holds; 0 where the system does not tell."""
    try:
        return len(os.listdir(OPEN_DESCRIPTORS)) - 1  # less the one that the listing itself held
    except OSError:
        return 0


@dataclass(frozen=True, slots=True)
class DescriptorBudget:
    """The parts of a limit. They add up to no more than the limit where that is 48 or more.

    Attributes:
        limit: How many descriptors there are.
        own: Reserved for the process: its streams, event loop, listener, name service, files.
        clients: Clients' connections at most.
        engines: Connections to engines at most.
        accepts: How many connections are accepted in one round of the event loop at most, and how many
            of the clients' part eviction keeps free for the next.
    """

    limit: int
    own: int
    clients: int
    engines: int
    accepts: int

    @classmethod
    def from_limit(cls, configured: int, process: ProcessDescriptors) -> DescriptorBudget:
        """Shares out the configured limit, or the system's where that is lower.

        The process's own come first, then the third that clients may hold by the protocol, then engines; what
        is left goes to clients again, up to half of the limit."""
        limit = configured if process.allowed is None else min(configured, process.allowed)
        own = min(process.held + OPENED_LATER, int(limit * OWN_MOST_PART))
        clients_least = int(limit * CLIENTS_LEAST_PART)
        engines = max(1, min(int(limit * ENGINES_PART), limit - own - clients_least))
        clients = max(CLIENTS_LEAST, min(int(limit * CLIENTS_PART), limit - own - engines))
        accepts = max(1, min(MOST_ACCEPTS, int(clients * ACCEPTS_PART)))
        return cls(limit, own, clients, engines, accepts)
