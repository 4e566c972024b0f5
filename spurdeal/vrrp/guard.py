"""The link's Guard where dispatchers stand in for one another: handover's verdicts, and tenure's parts.

It decides nothing: `handover` and `tenure` do.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from ..net.engine_list import Endpoint
from ..net.link import Answer, Failed, OpenRequest, Shed, SocketAdapter, at_most_once
from ..net.start import Service
from .exchange import Exchange
from .handover import DispatcherState
from .marks import Admission
from .tenure import BudgetShares


class ColdSend(NamedTuple):
    """Something was sent to a cold engine. at: ms."""

    at: float
    work: float


class HandoverGuard:
    """Asked by the link about each request and each send.

    Args:
        share: Whether cold budgets are shared by tenure.
        assumed_cold: Whether each engine counts as started just now.
    """

    def __init__(
        self,
        service: Service,
        exchange: Exchange,
        budget_shares: BudgetShares,
        share: bool,
        assumed_cold: Callable[[], bool],
    ) -> None:
        self.adapter: SocketAdapter = service.adapter
        self.counters, self.retry_after = service.counters, service.configuration.site.max_retry_after
        self.exchange, self.handover, self.monotonic = exchange, exchange.handover, exchange.monotonic
        self.budget_shares, self.share = budget_shares, share
        self.guarded, self.assumed_cold = at_most_once(service.configuration.site), assumed_cold
        own = 1.0 / service.configuration.site.dispatchers
        self.shares = own, own
        self.sent_cold: dict[int, list[ColdSend]] = {}  # by engine, within a window

    # The link's Guard.

    def batch_started(self, now: float) -> None:
        """Tell the rules our parts of cold budgets, where they have changed."""
        if not self.share or self.handover is None:
            return
        mono = self.monotonic()
        shares = self.budget_shares.share(mono), self.budget_shares.start_share(mono)
        if shares != self.shares:
            self.shares = shares
            self.adapter.rules.capacity_shares_changed(now, *shares)
            self.counters.add("tenure_changes")

    def door(self, kind: int, ident: bytes) -> Answer | None:
        """An answer at once, where the request may have run at a peer or cannot be guarded."""
        if self.handover is None or not self.guarded[kind]:
            return None
        found = self.handover.check_admission(self.monotonic(), ident.lower())
        if found is Admission.ALLOWED:
            return None
        self.counters.add("door_" + found.value)
        return Failed() if found is Admission.MAY_HAVE_RUN else Shed(self.retry_after)

    def before(self, request: OpenRequest, attempt: int, go: Callable[[bool | None], None]) -> bool:
        """Whether an attempt may leave now; False where `go` is called with the peers' verdict, later."""
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

    def given_up(self, number: int, attempt: int) -> None:
        """An attempt that waits for its verdict is not to be sent any more."""
        self.exchange.pending_callbacks.pop((number, attempt), None)
        if self.handover is not None:
            self.handover.abandon((number, attempt))

    def answered(self, request: OpenRequest, answer: Answer | None) -> None:
        """The answer has left, or the client (None)."""
        if self.handover is not None and self.guarded[request.kind]:
            self.handover.finish(request.ident.lower(), isinstance(answer, Shed))

    def never_ran(self, request: OpenRequest) -> None:
        """It was granted, and the caller has shown that nothing ran."""
        if self.handover is not None and self.guarded[request.kind]:
            self.handover.finish(request.ident.lower(), never_ran=True)

    def attempt_cancelled(self, request: OpenRequest, attempt: int) -> None:
        """Nothing follows of it here."""

    def said(self, line: str) -> None:
        """Nothing follows of it here."""

    def batch_ended(self) -> None:
        """Nothing follows of it here."""

    def departs(self, request: OpenRequest, attempt: int, engine: int) -> bool:
        """Whether something may go there now.

        A cold engine's budget may have been lent since the rules chose.
        """
        if not self.share or self.handover is None or not self.is_cold(engine):
            return True
        now = self.monotonic()
        if self.budget_shares.share(now) <= 0.0:
            self.counters.add("cold_withheld")
            return False
        self.budget_shares.record_use(now)
        self.sent_cold[engine] = [*self.recent_sends(engine, now), ColdSend(now, 1.0)]
        return True

    def endpoint(self, endpoint: Endpoint) -> Endpoint:
        """The endpoint with its engine's latest start that a peer tells.

        Until the list is known to be fresh, each engine may have been started anew, and counts as cold.
        """
        if self.assumed_cold():
            return endpoint._replace(started=self.adapter.clock())
        told = [
            started
            for known in (self.handover.known.values() if self.handover else ())
            for ident, started, _ in known.cold
            if ident == endpoint.ident
        ]
        return endpoint._replace(started=max(endpoint.started, *told)) if told else endpoint

    # Cold engines.

    def is_cold(self, engine: int) -> bool:
        """Whether that engine is in the list, and not warm yet."""
        found = self.adapter.rules.engines.get(engine)
        return found is not None and found.warm_at > self.adapter.clock()

    def recent_sends(self, engine: int, now: float) -> list[ColdSend]:
        """What we have sent to a cold engine within a window."""
        return [row for row in self.sent_cold.get(engine, ()) if row.at > now - self.budget_shares.window]

    def dispatcher_state(self, now: float, number: int, held: list[int]) -> DispatcherState:
        """What the peers are told of us.

        Args:
            now: Monotonic clock, in ms.
            number: Of the list in force.
            held: The groups whose addresses we hold.
        """
        unix, rules = self.adapter.clock(), self.adapter.rules
        cold, ejected = [], []
        for ident, place in self.adapter.index.places.items():
            engine = rules.engines.get(place)
            if engine is None:
                continue
            if engine.warm_at > unix and ident in self.adapter.endpoints:
                work = sum(row.work for row in self.recent_sends(place, now))
                cold.append((ident, self.adapter.endpoints[ident].started, work))
            if engine.aside_until > unix:
                ejected.append((ident, engine.aside_until - unix))
        return DispatcherState(number, held, cold, ejected)
