"""The link's sender for calls: a send grants a place to the caller."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred

from ..interface import Ending
from ..net.counters import Counters
from ..net.engines import Engines, Outcome, SendTerms
from .calls import Terms
from .grants import Grants, Seen

if TYPE_CHECKING:
    from .stream import Call


class Lease:
    """One attempt in a caller's hands: as engines.Attempt is to the link."""

    __slots__ = ("call", "done", "number")

    def __init__(self, call: Call | None) -> None:
        self.call, self.number = call, call.number if call is not None else -1
        self.done: Deferred[Outcome] = Deferred()


class Granter:
    """The link's sender for calls: a send grants a place to the caller."""

    def __init__(
        self, engines: Engines, clock: Callable[[], float], terms: Terms, most: int, counters: Counters
    ) -> None:
        self.engines, self.clock, self.terms, self.counters = engines, clock, terms, counters
        self.grants = Grants(most)
        self.calls: dict[bytes, Call] = {}
        self.leases: dict[int, Lease] = {}

    def ready(self, engine: int) -> bool:
        """Whether that engine can be granted at all."""
        return self.engines.ready(engine)

    def send(
        self,
        engine: int,
        ident: bytes,
        workload: bytes,
        statement: bytes,
        deadline: float,
        at_most_once: bool,
        at_send: Callable[[], SendTerms | None],
    ) -> Lease:
        """Grant the place to the caller; it counts as never sent where caller or engine has left."""
        lease = Lease(self.calls.get(ident.lower()))
        if not self.granted(lease, engine, at_send):
            self.counters.add("grants_not_said")
            lease.done.callback(Outcome(Ending.MOOT))
        return lease

    def granted(self, lease: Lease, engine: int, at_send: Callable[[], SendTerms | None]) -> bool:
        """Tell the caller the place; False where it, its engine or what is to be told is gone by now."""
        call = lease.call
        endpoint = self.engines.engines[engine].endpoint if engine in self.engines.engines else None
        if call is None or endpoint is None:
            return False
        now, told = self.clock(), at_send()
        if told is None or not self.grants.say(now, call.number, engine, now + told.wait):
            return False
        self.leases[lease.number] = lease
        self.counters.add("grants")
        call.say(endpoint.host, endpoint.port, told.wait, told.rank)
        return True

    def weigh(self, attempt: Lease, rank: int) -> None:
        """A caller is told a rank once, with its grant."""

    def give_up(self, attempt: Lease, ending: Ending) -> None:
        """The link waits no more for that attempt's outcome."""
        seen = Seen.SILENT if ending == Ending.TIME_OUT else Seen.CALLED_OFF
        if attempt.call is not None:
            attempt.call.forget()
        self.end(attempt.number, self.grants.happens(attempt.number, seen))

    def end(self, number: int, ending: Ending | None) -> None:
        """An attempt is over with this ending; None where it was over already."""
        lease = self.leases.pop(number, None)
        if lease is not None and ending is not None:
            lease.done.callback(Outcome(ending))
