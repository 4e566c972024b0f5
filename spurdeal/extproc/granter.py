"""The adapter's sender for external calls: grants engines to callers, which send the requests."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred

from ..interface import Ending
from ..net.counters import Counters
from ..net.engines import Engines, Outcome, SendTerms
from .calls import CallerSettings
from .grants import GrantEvent, Grants

if TYPE_CHECKING:
    from .stream import Call


class GrantedAttempt:
    """An attempt that a caller carries out; `done` fires with its outcome. `number` is that of its call."""

    __slots__ = ("call", "done", "number")

    def __init__(self, call: Call | None) -> None:
        self.call, self.number = call, call.number if call is not None else -1
        self.done: Deferred[Outcome] = Deferred()


class Granter:
    """Grants engines to callers; implements net.requests.Sender.

    Attributes:
        grants: The state of all open grants, at most `max_grants`.
        calls: Calls by id, in lower case; used to find the call of an attempt.
        granted_attempts: Attempts whose grant has been sent, by the call's number.
    """

    def __init__(
        self,
        engines: Engines,
        clock: Callable[[], float],
        caller_settings: CallerSettings,
        max_grants: int,
        counters: Counters,
    ) -> None:
        self.engines, self.clock, self.caller_settings, self.counters = (
            engines,
            clock,
            caller_settings,
            counters,
        )
        self.grants = Grants(max_grants)
        self.calls: dict[bytes, Call] = {}
        self.granted_attempts: dict[int, GrantedAttempt] = {}

    def ready(self, engine: int) -> bool:
        """Return whether the engine can be granted."""
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
    ) -> GrantedAttempt:
        """Grant the engine to the caller; ends as MOOT (never sent) if caller or engine is gone."""
        attempt = GrantedAttempt(self.calls.get(ident.lower()))
        if not self.send_grant(attempt, engine, at_send):
            self.counters.add("grants_not_said")
            attempt.done.callback(Outcome(Ending.MOOT))
        return attempt

    def send_grant(
        self, attempt: GrantedAttempt, engine: int, at_send: Callable[[], SendTerms | None]
    ) -> bool:
        """Send the grant to the caller; False if the call, the engine or the terms are gone by now."""
        call = attempt.call
        endpoint = self.engines.engines[engine].endpoint if engine in self.engines.engines else None
        if call is None or endpoint is None:
            return False
        now, send_terms = self.clock(), at_send()
        if send_terms is None or not self.grants.mark_sent(now, call.number, engine, now + send_terms.wait):
            return False
        self.granted_attempts[attempt.number] = attempt
        self.counters.add("grants")
        call.send_grant(endpoint.host, endpoint.port, send_terms.wait, send_terms.rank)
        return True

    def set_priority(self, attempt: GrantedAttempt, rank: int) -> None:
        """Do nothing: a caller gets its rank once, with the grant."""

    def give_up(self, attempt: GrantedAttempt, ending: Ending) -> None:
        """Stop waiting for an attempt's outcome: it timed out, or the rules cancelled it."""
        event = GrantEvent.SILENT if ending == Ending.TIME_OUT else GrantEvent.CALLED_OFF
        if attempt.call is not None:
            attempt.call.release_id()
        self.finish(attempt.number, self.grants.record_event(attempt.number, event))

    def finish(self, number: int, ending: Ending | None) -> None:
        """Fire `done` of an attempt with this ending; None if the attempt was over already."""
        attempt = self.granted_attempts.pop(number, None)
        if attempt is not None and ending is not None:
            attempt.done.callback(Outcome(ending))
