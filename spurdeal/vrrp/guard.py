"""The adapter's Guard with VRRP peers: applies the handover's verdicts and this dispatcher's budget shares.

The decisions are made in `handover` and `budget_shares`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from ..net.engine_list import Endpoint
from ..net.link import Answer, Failed, OpenRequest, Shed, SocketAdapter, at_most_once
from ..net.start import Service
from .budget_shares import BudgetShares
from .exchange import Exchange
from .handover import DispatcherState
from .idempotency_table import Admission


class ColdSend(NamedTuple):
    """One send to a cold engine: when, in ms of the monotonic clock, and its work.

    Work counts sends as the budget of a cold engine does: 1.0 for each.
    """

    at: float
    work: float


class HandoverGuard:
    """Consulted by the adapter about each request and each send.

    Args:
        service: The dispatcher's service.
        exchange: Carries the handover's datagrams.
        budget_shares: This dispatcher's shares of cold engines' budgets.
        shares_budgets: Whether cold budgets are shared between dispatchers (`tenure.on`).
        assumed_cold: Whether every engine is to count as just started.
    """

    def __init__(
        self,
        service: Service,
        exchange: Exchange,
        budget_shares: BudgetShares,
        shares_budgets: bool,
        assumed_cold: Callable[[], bool],
    ) -> None:
        self.adapter: SocketAdapter = service.adapter
        self.counters, self.retry_after = service.counters, service.configuration.site.max_retry_after
        self.exchange, self.handover, self.monotonic = exchange, exchange.handover, exchange.monotonic
        self.budget_shares, self.shares_budgets = budget_shares, shares_budgets
        self.guarded, self.assumed_cold = at_most_once(service.configuration.site), assumed_cold
        own = 1.0 / service.configuration.site.dispatchers
        self.current_shares = own, own
        self.sent_cold: dict[int, list[ColdSend]] = {}  # by engine, within one cold window

    # The Guard protocol of net.requests.

    def batch_started(self, now: float) -> None:
        """Pass our budget shares to the rules if they have changed."""
        if not self.shares_budgets or self.handover is None:
            return
        mono = self.monotonic()
        shares = self.budget_shares.share(mono), self.budget_shares.initial_limit_share(mono)
        if shares != self.current_shares:
            self.current_shares = shares
            self.adapter.rules.capacity_shares_changed(now, *shares)
            self.counters.add("tenure_changes")

    def immediate_answer(self, kind: int, ident: bytes) -> Answer | None:
        """Answer a request at once if it may have run already, or if no record of it can be kept."""
        if self.handover is None or not self.guarded[kind]:
            return None
        found = self.handover.check_admission(self.monotonic(), ident.lower())
        if found is Admission.ALLOWED:
            return None
        self.counters.add("door_" + found.value)
        return Failed() if found is Admission.MAY_HAVE_RUN else Shed(self.retry_after)

    def before_send(self, request: OpenRequest, attempt: int, go: Callable[[bool | None], None]) -> bool:
        """Return whether an attempt may leave now; if False, `go` is called later with the verdict."""
        if self.handover is None or not self.guarded[request.kind]:
            return True
        now, token = self.monotonic(), (request.number, attempt)
        deadline = now + max(0.0, request.deadline - self.adapter.clock())
        verdict = self.handover.prepare_send(now, request.ident.lower(), deadline, token)
        if verdict is not None and verdict.go:
            return True
        self.exchange.pending_callbacks[token] = go
        if verdict is None:
            self.exchange.flush_soon()
        else:
            self.exchange.reactor.callLater(0, self.exchange.deliver_verdicts, [verdict])
        return False

    def attempt_abandoned(self, number: int, attempt: int) -> None:
        """Forget an attempt that waits for its verdict and is not to be sent any more."""
        self.exchange.pending_callbacks.pop((number, attempt), None)
        if self.handover is not None:
            self.handover.abandon((number, attempt))

    def answered(self, request: OpenRequest, answer: Answer | None) -> None:
        """Process the end of a request: its answer was sent, or the client left (None)."""
        if self.handover is not None and self.guarded[request.kind]:
            self.handover.finish(request.ident.lower(), isinstance(answer, Shed))

    def never_ran(self, request: OpenRequest) -> None:
        """Drop the record of a granted request: the caller has shown that nothing ran."""
        if self.handover is not None and self.guarded[request.kind]:
            self.handover.finish(request.ident.lower(), never_ran=True)

    def attempt_cancelled(self, request: OpenRequest, attempt: int) -> None:
        """Do nothing: the handover needs no notice of it."""

    def rules_logged(self, line: str) -> None:
        """Do nothing: the handover needs no notice of it."""

    def batch_ended(self) -> None:
        """Do nothing: the handover needs no notice of it."""

    def allow_send(self, request: OpenRequest, attempt: int, engine: int) -> bool:
        """Return whether an attempt may be sent to this engine now; if so, count it against a cold budget.

        Our share of a cold engine's budget may have been lent since the rules chose the engine. To be called
        last, after all other checks, since it counts the send.
        """
        if not self.shares_budgets or self.handover is None or not self.is_cold(engine):
            return True
        now = self.monotonic()
        if self.budget_shares.share(now) <= 0.0:
            self.counters.add("cold_withheld")
            return False
        self.budget_shares.record_use(now)
        self.sent_cold[engine] = [*self.recent_sends(engine, now), ColdSend(now, 1.0)]
        return True

    def endpoint(self, endpoint: Endpoint) -> Endpoint:
        """Return the endpoint with the latest start of its engine that any peer reports.

        Until the first list after our start, each engine may have been restarted and counts as cold.
        """
        if self.assumed_cold():
            return endpoint._replace(started=self.adapter.clock())
        reported_starts = [
            started
            for known in (self.handover.peer_states.values() if self.handover else ())
            for ident, started, _ in known.cold
            if ident == endpoint.ident
        ]
        return (
            endpoint._replace(started=max(endpoint.started, *reported_starts))
            if reported_starts
            else endpoint
        )

    # Cold engines.

    def is_cold(self, engine: int) -> bool:
        """Return whether that engine is in the list and still in slow start."""
        found = self.adapter.rules.engines.get(engine)
        return found is not None and found.slow_start_until > self.adapter.clock()

    def recent_sends(self, engine: int, now: float) -> list[ColdSend]:
        """Return what was sent to a cold engine within the last cold window."""
        return [row for row in self.sent_cold.get(engine, ()) if row.at > now - self.budget_shares.window]

    def dispatcher_state(self, now: float, number: int, held: list[int]) -> DispatcherState:
        """Return the state that is sent to the peers.

        Args:
            now: Monotonic clock, in ms.
            number: Number of the list in force.
            held: The groups whose addresses we hold.
        """
        unix, rules = self.adapter.clock(), self.adapter.rules
        cold, ejected = [], []
        for ident, place in self.adapter.index.indices.items():
            engine = rules.engines.get(place)
            if engine is None:
                continue
            if engine.slow_start_until > unix and ident in self.adapter.endpoints:
                work = sum(row.work for row in self.recent_sends(place, now))
                cold.append((ident, self.adapter.endpoints[ident].started, work))
            if engine.ejected_until > unix:
                ejected.append((ident, engine.ejected_until - unix))
        return DispatcherState(number, held, cold, ejected)
