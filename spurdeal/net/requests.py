"""A request as the link carries it, and those who carry its attempts or stand guard over them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from twisted.internet.defer import Deferred

from ..interface import Deployment, Effect, Ending, Reach
from .answers import Answer
from .attempts import Outcome, SendTerms
from .engine_list import Endpoint

MOST_EARLY, EARLY_KEPT = 256, 5000.0  # ids withdrawn before their call came, and ms for which it may come


def at_most_once(site: Deployment) -> tuple[bool, ...]:
    """By workload: whether it must not run twice, also where it comes again by another way."""
    return tuple(
        w.effect == Effect.NON_IDEMPOTENT or (w.effect == Effect.IDEMPOTENT_BY_KEY and w.reach != Reach.ALL)
        for w in site.workloads
    )


class PendingAttempt(Protocol):
    """One attempt in a sender's hands; its Deferred brings the outcome exactly once."""

    done: Deferred[Outcome]


class Sender(Protocol):
    """Who carries attempts: our own connections to the engines, or callers that are told where to send."""

    def ready(self, engine: int) -> bool: ...

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
        """at_most_once: a doubtful end would be final. at_send is asked as the first byte is about to leave,
        again where the system took none; with None nothing leaves, and the attempt ends as MOOT."""

    def weigh(self, attempt: Any, rank: int) -> None: ...
    def give_up(self, attempt: Any, ending: Ending) -> None: ...


class Guard(Protocol):
    """What stands beside the link where dispatchers stand in for one another; without one nothing is
    asked."""

    def batch_started(self, now: float) -> None:
        """A turn begins: what has lapsed since the last, also in a pause, is said to the rules first."""

    def immediate_answer(self, kind: int, ident: bytes) -> Answer | None:
        """An answer at once, where the request may have run elsewhere or cannot be guarded."""

    def before_send(self, request: OpenRequest, attempt: int, go: Callable[[bool | None], None]) -> bool:
        """An attempt is about to be sent. False: go() is called with the verdict, later."""

    def never_ran(self, request: OpenRequest) -> None:
        """It was granted, and the caller has shown that nothing ran."""

    def attempt_abandoned(self, number: int, attempt: int) -> None:
        """An attempt that waits for its verdict is not to be sent any more."""

    def answered(self, request: OpenRequest, answer: Answer | None) -> None:
        """The answer has left, or the client (None)."""

    def allow_send(self, request: OpenRequest, attempt: int, engine: int) -> bool:
        """An attempt is about to be sent to an engine; False: not now, and nothing of it has run."""

    def attempt_cancelled(self, request: OpenRequest, attempt: int) -> None:
        """An attempt that is out is being called off."""

    def mode_changed(self, line: str) -> None:
        """The rules have changed a mode."""

    def batch_ended(self) -> None:
        """A turn is over; what it has sent leaves after this."""

    def endpoint(self, endpoint: Endpoint) -> Endpoint:
        """The endpoint as the rules are to see it."""


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request as the link carries it, until it is answered and none of its attempts is out."""

    number: int
    kind: int
    ident: bytes
    workload: bytes
    statement: bytes
    deadline: float
    answer: Deferred[Answer]
    sender: Sender
    client_connected: Callable[[], bool]  # True where that cannot be seen
    idempotency_key: bytes  # by which engines know a repeat
    answered: bool = False
    client_left: bool = False  # it ended its connection, or withdrew the request
    rank: int | None = None
    made: int = 0
    attempts: dict[int, PendingAttempt] = field(default_factory=dict)
    waiting: dict[int, int] = field(default_factory=dict)  # attempts with no verdict yet, and engines
    last_ending: Ending | None = None  # of the attempt that ended last


class EarlyWithdrawals(dict[bytes, float]):
    """Ids that a DELETE named before their call came, and when: a call may still come for a while."""

    def remember(self, ident: bytes, now: float) -> None:
        self.pop(ident, None)
        self[ident] = now
        if len(self) > MOST_EARLY:
            del self[next(iter(self))]

    def forget(self, ident: bytes, now: float) -> bool:
        """Its call has come; whether it was withdrawn."""
        while self and next(iter(self.values())) <= now - EARLY_KEPT:
            del self[next(iter(self))]
        return self.pop(ident, None) is not None
