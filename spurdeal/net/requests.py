"""An open request as the adapter tracks it, and the interfaces of senders and guards."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from twisted.internet.defer import Deferred

from ..interface import Deployment, Effect, Ending, Reach
from .answers import Answer
from .attempts import Outcome, SendTerms
from .engine_list import Endpoint

MAX_EARLY, EARLY_RETENTION = 256, 5000.0  # early withdrawals remembered, and for how many ms


def at_most_once(site: Deployment) -> tuple[bool, ...]:
    """Per workload: whether an attempt with an unknown outcome must not be repeated on just any engine.

    That holds if it is non-idempotent, or idempotent by a key that not all engines share. The rules repeat
    the latter only at engines that know the key, but another dispatcher might choose others.
    """
    return tuple(
        workload.effect == Effect.NON_IDEMPOTENT
        or (workload.effect == Effect.IDEMPOTENT_BY_KEY and workload.reach != Reach.ALL)
        for workload in site.workloads
    )


class PendingAttempt(Protocol):
    """An attempt that a sender works on; its Deferred fires with the outcome exactly once."""

    done: Deferred[Outcome]


class Sender(Protocol):
    """Sends attempts: over our own connections to engines, or by telling callers where to send."""

    def ready(self, engine: int) -> bool:
        """Whether attempts may be sent to this engine."""

    def send(
        self,
        engine: int,
        ident: bytes,
        workload: bytes,
        statement: bytes,
        deadline: float,
        at_most_once: bool,
        at_send: Callable[[], SendTerms | None],
    ) -> PendingAttempt:
        """Send an attempt.

        Args:
            engine: The index of the engine.
            ident: The request's id.
            workload: The name of its workload.
            statement: The statement to run.
            deadline: When the request's time is over.
            at_most_once: Whether an attempt with an unknown outcome must not be repeated on just any engine.
            at_send: Called just before the first byte is written, and again if the system accepted none.
                If it returns None, nothing is sent and the attempt ends as MOOT.
        """

    def set_priority(self, attempt: Any, rank: int) -> None:
        """Change the priority of an attempt that is out."""

    def give_up(self, attempt: Any, ending: Ending) -> None:
        """Cancel an attempt; it ends with `ending` if anything of it was sent."""


class Guard(Protocol):
    """An interceptor beside the adapter, for requests that another dispatcher or process may have run.

    It can refuse requests and attempts. `vrrp.guard` guards the takeover of an address, `store.guard` keeps
    a ledger across restarts, and `fleet.station` checks the lease.
    """

    def batch_started(self, now: float) -> None:
        """A batch begins; tell the rules first what has changed with time, such as capacity shares."""

    def immediate_answer(self, kind: int, ident: bytes) -> Answer | None:
        """The answer to a request that may have run elsewhere or cannot be guarded; None for all others."""

    def before_send(self, request: OpenRequest, attempt: int, go: Callable[[bool | None], None]) -> bool:
        """Whether an attempt may be sent now; if False, go() is called later with the permission.

        The permission is True, False, or None if the request may have run already.
        """

    def never_ran(self, request: OpenRequest) -> None:
        """A granted request ended, and the caller has proved that nothing ran."""

    def attempt_abandoned(self, number: int, attempt: int) -> None:
        """An attempt that waits for its permission will not be sent."""

    def answered(self, request: OpenRequest, answer: Answer | None) -> None:
        """The request was answered, or its client has left (None)."""

    def allow_send(self, request: OpenRequest, attempt: int, engine: int) -> bool:
        """Whether an attempt may be written to an engine now; if False, nothing of it has run."""

    def attempt_cancelled(self, request: OpenRequest, attempt: int) -> None:
        """An attempt that is out is being cancelled."""

    def rules_logged(self, line: str) -> None:
        """The rules have logged a line, for instance on a change of mode."""

    def batch_ended(self) -> None:
        """A batch is over; the attempts that it sends are written after this call."""

    def endpoint(self, endpoint: Endpoint) -> Endpoint:
        """Return the endpoint as the rules should see it."""


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request that is not answered yet or still has an attempt out."""

    number: int
    kind: int
    ident: bytes
    workload: bytes
    statement: bytes
    deadline: float
    answer: Deferred[Answer]
    sender: Sender
    client_connected: Callable[[], bool]  # True where this is unknown
    idempotency_key: bytes  # lets engines recognize a repeat; empty if there is none
    answered: bool = False
    client_left: bool = False  # disconnected, or withdrew the request
    rank: int | None = None
    attempts_made: int = 0
    attempts: dict[int, PendingAttempt] = field(default_factory=dict)
    # The engine of each attempt that waits for the guard's permission.
    awaiting_guard: dict[int, int] = field(default_factory=dict)
    last_ending: Ending | None = None  # how the most recent attempt ended


class EarlyWithdrawals(dict[bytes, float]):
    """Ids whose DELETE arrived before the request itself, and when: the request may still arrive."""

    def remember(self, ident: bytes, now: float) -> None:
        """Add an id, dropping the oldest if there are too many."""
        self.pop(ident, None)
        self[ident] = now
        if len(self) > MAX_EARLY:
            del self[next(iter(self))]

    def forget(self, ident: bytes, now: float) -> bool:
        """Remove the id of a request that has arrived; returns whether it had been withdrawn."""
        while self and next(iter(self.values())) <= now - EARLY_RETENTION:
            del self[next(iter(self))]
        return self.pop(ident, None) is not None
