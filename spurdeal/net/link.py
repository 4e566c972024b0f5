"""The rules on sockets: gathers what is ready, hands it over in one turn, carries out what came back."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping, Sequence
from itertools import count
from typing import Any

from twisted.internet.defer import CancelledError, Deferred, fail, succeed

from ..interface import NEVER_RAN, Deployment, Ending, EndReason, Life, Verdict
from ..rules import Dispatcher
from ..slow_start import StartTimes
from .answers import COUNTED, Answer, Delivered, Failed, Granted, Shed
from .attempts import Outcome, SendTerms
from .batches import EventBatches
from .counters import Counters
from .engine_index import EngineIndex
from .engine_list import Endpoint
from .engines import Engines
from .names import SentQuery
from .ordered import OrderedArrivals
from .request_log import RequestLog
from .requests import EarlyWithdrawals, Guard, OpenRequest, Sender, at_most_once

__all__ = ["Answer", "Delivered", "Failed", "Granted", "Guard", "OpenRequest", "Shed", "at_most_once"]

ANSWER_WAY = 40.0  # ms kept of a client's time for the answer's way back
LEFT_LATE = 100.0  # ms after a client's leaving from which on an attempt of its counts as late
UNCONFIRMED = 1000.0  # ms without an answer of the name service after which attempts by its list are told
OVERDUE = 20.0  # ms after a request's time at which the rules must have answered


class SocketAdapter(EventBatches):
    """Carries events to the rules and what they ask to the sockets. Knows nothing of either's bytes."""

    def __init__(
        self,
        site: Deployment,
        seed: int,
        zones: Sequence[str],
        kinds: Sequence[str],
        engines: Engines,
        reactor: Any,
        clock: Callable[[], float],
        counters: Counters,
        log: logging.Logger,
    ) -> None:
        super().__init__(reactor, clock, counters, log)
        self.engines, engines.watch = engines, self.loop
        self.request_log = RequestLog(log, clock, counters)
        self.priorities, self.nobody = site.priorities, len(site.quotas)  # nobody: a tenant without a share
        self.open_requests: dict[int, OpenRequest] = {}
        self.by_ident: dict[bytes, OpenRequest] = {}
        self.still_out: dict[bytes, OpenRequest] = {}  # answered, with an attempt out: their ids are in use
        self.withdrawn_early = EarlyWithdrawals()
        self.at_most_once = at_most_once(site)
        self.in_order = [workload.in_order for workload in site.workloads]
        self.ordered = OrderedArrivals(site.order_rest or 0.0)
        self.index = EngineIndex(zones, kinds)
        self.endpoints: dict[str, Endpoint] = {}
        self.starts = StartTimes()
        self.numbers = count()
        self.until = float("inf")
        self.guard: Guard | None = None
        for name in ("attempts_after_client_left", "attempts_late_after_client_left"):
            counters.add(name, 0)  # shown also where there is none
        self.rules = Dispatcher(site, seed, self, clock())
        if self.loop.installed:
            self.rules.freshness.polled_at = lambda: self.loop.polled_at

    # What comes from clients and from the list.

    def take(
        self,
        ident: bytes,
        workload: bytes,
        kind: int,
        wait: float,
        cost: float,
        memory: float,
        group: int,
        statement: bytes,
        sender: Sender | None = None,
        here: Callable[[], bool] = lambda: True,
        tenant: int | None = None,
        key: int = 0,
        idempotency_key: bytes = b"",
    ) -> Deferred[Answer] | None:
        """A request is taken; its Deferred brings the answer, and cancelling that withdraws it.

        None: one with this id is open, or was answered while an attempt of it is still out."""
        if ident.lower() in self.by_ident or ident.lower() in self.still_out:
            return None
        if sender is None and self.withdrawn_early.forget(ident.lower(), self.clock()):
            self.counters.add("taken")
            self.counters.add("withdrawn")
            return fail(CancelledError())
        if self.guard is not None and (known := self.guard.door(kind, ident)) is not None:
            self.counters.add("taken")
            self.counters.add(COUNTED[type(known)])
            return succeed(known)
        now, number = self.clock(), next(self.numbers)
        if key and self.in_order[kind]:
            wait -= self.ordered.held_back(key, now, wait)
        deadline = min(now + wait - ANSWER_WAY, self.until)
        answer: Deferred[Answer] = Deferred(lambda _: self.left(number))
        request = OpenRequest(
            number,
            kind,
            ident,
            workload,
            statement,
            deadline,
            answer,
            sender or self.engines,
            here,
            idempotency_key,
        )
        self.open_requests[number] = self.by_ident[ident.lower()] = request
        self.counters.add("taken")
        self.counters.most("most_open", len(self.by_ident))
        owner = self.nobody if tenant is None else tenant
        self.gather(self.submit, number, kind, owner, key, now, deadline, cost, memory, group)
        return answer

    def submit(
        self,
        now: float,
        number: int,
        kind: int,
        tenant: int,
        key: int,
        came: float,
        deadline: float,
        cost: float,
        memory: float,
        group: int,
    ) -> None:
        self.counters.most("longest_wait_for_a_turn_ms", now - came)
        self.at(deadline, self.expire, number)
        self.rules.request_received(now, number, kind, tenant, key, deadline, cost, memory, group)

    def left(self, number: int) -> None:
        """The client has gone, or has said that it waits no longer: no answer is owed."""
        self.counters.add("withdrawn")
        request = self.open_requests[number]
        request.client_left = True
        self.concluded(request)
        if self.guard is not None:
            self.guard.answered(request, None)
        self.gather(self.withdrawn, request)

    def withdrawn(self, now: float, request: OpenRequest) -> None:
        self.rules.request_withdrawn(now, request.number)
        self.drop(request)

    def withdraw(self, ident: bytes) -> bool:
        """By id. One that has not come yet (unread, or behind others) is remembered: it may still come."""
        request = self.by_ident.get(ident.lower())
        if request is not None:
            request.answer.cancel()
        elif ident.lower() not in self.still_out:
            self.withdrawn_early.remember(ident.lower(), self.clock())
        return request is not None

    def apply_list(self, endpoints: Mapping[str, Endpoint]) -> None:
        """The whole list. An engine's place goes with it: nothing outlives what is gone."""
        began = self.starts.listed(
            self.clock(), {ident: endpoint.started for ident, endpoint in endpoints.items()}
        )
        told = {ident: endpoint._replace(started=began[ident]) for ident, endpoint in endpoints.items()}
        if self.guard is not None:
            told = {ident: self.guard.endpoint(endpoint) for ident, endpoint in told.items()}
        lines = [self.index.line(ident, endpoint) for ident, endpoint in told.items()]
        # Told first: what the engines' connections then give back must not be sent there again.
        self.gather(self.rules.list_changed, lines, True)
        gone = {ident: endpoint._replace(life=Life.GONE) for ident, endpoint in self.endpoints.items()}
        for ident, endpoint in (gone | dict(endpoints)).items():
            self.guarded(self.engines.listed, self.index.place_of(ident), endpoint)
            if endpoint.life == Life.GONE:
                self.index.forget(ident)
        self.request_log.states(self.endpoints, endpoints)
        self.endpoints = dict(endpoints)
        ready = sum(endpoint.life == Life.READY for endpoint in endpoints.values())
        self.logger.info("listed", extra={"figures": {"engines": len(endpoints), "ready": ready}})

    def list_confirmed(self) -> None:
        """The name service knows no newer list than the one in force."""
        self.starts.confirm(self.clock())

    def list_known(self, at: float) -> None:
        """The list of the start was read at that time, and tells all until then."""
        self.rules.list_known(at)

    def list_asked(self, seconds_ago: float) -> SentQuery:
        """A question for the list has left."""
        left_at = self.clock() - seconds_ago * 1000
        return SentQuery(left_at, self.rules.list_asked(left_at))

    def list_moved(self) -> None:
        """Another name service is asked from now on."""
        self.rules.name_service_changed()

    def list_answered(self, asked_at: float, verdict: Verdict) -> bool:
        """The answer to the question which left at that time told each engine that gets requests.

        Returns:
            Whether another question is to leave soon.
        """
        return self.rules.list_answered(self.clock(), asked_at, verdict)

    def stop(self, until: float) -> None:
        """All that is taken, and what still comes, is answered by then."""
        self.until = until
        for request in self.open_requests.values():
            if request.deadline > until:
                request.deadline = until
                self.at(until, self.expire, request.number)
        self.gather(self.rules.shutdown_started, until)

    # The turn.

    def batch_begins(self, now: float) -> None:
        if self.guard is not None:
            self.guarded(self.guard.batch_started, now)

    def decide(self, now: float) -> None:
        self.rules.end_batch(now)

    def batch_ends(self) -> None:
        if self.guard is not None:
            self.guarded(self.guard.batch_ended)

    def write_out(self) -> None:
        self.engines.write_held()

    def expire(self, number: int) -> None:
        request = self.open_requests.get(number)
        if request is not None and request.deadline <= self.clock():
            for attempt in list(request.attempts.values()):
                request.sender.give_up(attempt, Ending.TIME_OUT)
            for waiting in list(request.waiting):
                self.never_sent(request, waiting)
            if not request.answered:
                self.at(self.clock() + OVERDUE, self.overdue, number)

    def overdue(self, number: int) -> None:
        request = self.open_requests.get(number)
        if request is not None and not self.counters.must(request.answered, "answer_in_time"):
            self.asked.append((self.conclude, (request, Failed())))
            self.gather(self.rules.request_withdrawn, number)  # or they would go on with it

    # What the rules ask for: kept until their turn is over.

    def send(self, number: int, engine: int, time_limit: float) -> None:
        request = self.open_requests[number]
        if request.made:
            self.request_log.retried(request, request.made, self.engines.name_of(engine))
        self.asked.append((self.carry, (request, request.made, engine, time_limit)))
        request.made += 1

    def terms(self, number: int, memory: float, priority: int) -> None:
        self.asked.append((self.weigh, (self.open_requests[number], priority)))

    def shed(self, number: int, come_back: float, reason: EndReason) -> None:
        self.request_log.refused(self.open_requests[number], reason)
        self.asked.append((self.conclude, (self.open_requests[number], Shed(come_back))))

    def fail_request(self, number: int, reason: EndReason) -> None:
        self.request_log.aborted(self.open_requests[number], reason)
        self.asked.append((self.conclude, (self.open_requests[number], Failed())))

    def cancel_attempt(self, number: int, attempt: int) -> None:
        self.asked.append((self.cancel, (number, attempt)))

    def set_timer(self, delay: float, token: int) -> None:
        self.at(self.clock() + delay, self.gather, self.rules_woken, token)

    def rules_woken(self, now: float, token: int) -> None:
        """By name, as the rules ask to be woken while they are still being made."""
        self.rules.timer_fired(now, token)

    def watch(self) -> None:
        """The list comes unasked here: the name service is polled."""

    def log(self, line: str) -> None:
        self.logger.info("rules", extra={"figures": {"says": line}})
        if self.guard is not None:
            self.guard.said(line)

    # Carrying out.

    def carry(self, request: OpenRequest, attempt: int, engine: int, time_limit: float) -> None:
        now = self.clock()
        if request.answered or not self.may_run_again(request):
            # Its client left before this turn, or it was answered for want of time: it is not sent at all.
            self.gather(self.ended, request, attempt, engine, now, Outcome(Ending.MOOT))
            return
        if self.guard is not None:

            def go(verdict: bool | None) -> None:
                self.told(request, attempt, engine, time_limit, verdict)

            request.waiting[attempt] = engine
            if not self.guard.before(request, attempt, go):
                return
            del request.waiting[attempt]
        self.depart(request, attempt, engine, time_limit, now)

    def may_run_again(self, request: OpenRequest) -> bool:
        """Whether another attempt can do no harm: what must not run twice has one out at most."""
        alone = not self.at_most_once[request.kind] or not (request.attempts or request.waiting)
        return self.counters.must(alone, "one_attempt_at_a_time")

    def told(
        self, request: OpenRequest, attempt: int, engine: int, time_limit: float, verdict: bool | None
    ) -> None:
        """The verdict that an attempt waited for: sent, not sent, or (None) it may have run elsewhere."""
        now = self.clock()
        if request.waiting.pop(attempt, None) is None:
            return
        if verdict is None:
            self.conclude(request, Failed())
        if verdict:
            self.depart(request, attempt, engine, time_limit, now)
        else:
            self.gather(self.ended, request, attempt, engine, now, Outcome(Ending.MOOT))

    def depart(self, request: OpenRequest, attempt: int, engine: int, time_limit: float, now: float) -> None:
        if request.sender is self.engines and not self.engines.ready(engine):
            # A list came since the choice, maybe in this turn: there is no need to dial.
            self.counters.add("trips_overtaken")
            self.gather(self.ended, request, attempt, engine, now, Outcome(Ending.MOOT))
            return

        agreed = False

        def at_send() -> SendTerms | None:
            nonlocal agreed
            terms = self.send_terms(request, attempt, engine, time_limit, agreed)
            agreed |= terms is not None
            return terms

        out = request.sender.send(
            engine,
            request.ident,
            request.workload,
            request.statement,
            request.deadline,
            self.at_most_once[request.kind],
            at_send,
        )
        request.attempts[attempt] = out
        if request.sender is not self.engines and not out.done.called:
            self.conclude(request, Granted())
        out.done.addCallback(self.came_back, request, attempt, engine, now)

    def send_terms(
        self, request: OpenRequest, attempt: int, engine: int, time_limit: float, agreed: bool
    ) -> SendTerms | None:
        """The last look, as the first byte is about to leave: whatever came since the choice counts here.

        Its client may have left unread. What the guard says counts as used, so it is asked last, and not
        again (agreed) where the system took nothing of the attempt at first."""
        now = self.clock()
        if (
            request.answered
            or not request.sender.ready(engine)
            or not self.rules.may_send(now, request.number, attempt, engine)
        ):
            self.counters.add("trips_overtaken")
            return None
        if not request.here():
            self.counters.add("trips_whose_client_left")
            return None
        if self.guard is not None and not agreed and not self.guard.departs(request, attempt, engine):
            return None
        if (age := now - (self.starts.current_at or now)) > UNCONFIRMED:
            self.request_log.left_unconfirmed(request, self.engines.name_of(engine), age)
        wait = min(time_limit, request.deadline - now) if time_limit else request.deadline - now
        return SendTerms(
            wait,
            request.rank if self.priorities else None,
            request.idempotency_key,
            at_once=self.guard is None or not self.in_batch,  # a guard's records come first, see Guard.turned
            taken=lambda: self.attempt_sent(request, now),
        )

    def attempt_sent(self, request: OpenRequest, looked: float) -> None:
        """The system has taken an attempt's last byte; the last look, at `looked`, still found its client.

        One whose client has left by now is counted, and as late where more than LEFT_LATE lies between: both
        are upper bounds, as it left at some time between. What has not arrived here by now is not seen."""
        if request.client_left or not (request.answered or request.here()):
            self.counters.add("attempts_after_client_left")
            self.counters.add("attempts_late_after_client_left", self.clock() - looked > LEFT_LATE)

    def weigh(self, request: OpenRequest, priority: int) -> None:
        request.rank = priority
        for attempt in request.attempts.values():
            request.sender.weigh(attempt, priority)

    def cancel(self, number: int, attempt: int) -> None:
        if number in self.open_requests and attempt in self.open_requests[number].attempts:
            if self.guard is not None:
                self.guard.attempt_cancelled(self.open_requests[number], attempt)
            self.open_requests[number].sender.give_up(
                self.open_requests[number].attempts[attempt], Ending.CALLED_OFF
            )
        elif number in self.open_requests and attempt in self.open_requests[number].waiting:
            self.never_sent(self.open_requests[number], attempt)

    def never_sent(self, request: OpenRequest, attempt: int) -> None:
        """An attempt that waited for its verdict is given up: nothing ran."""
        assert self.guard is not None
        self.guard.given_up(request.number, attempt)
        engine = request.waiting.pop(attempt)
        self.gather(self.ended, request, attempt, engine, self.clock(), Outcome(Ending.MOOT))

    def conclude(self, request: OpenRequest, answer: Answer) -> None:
        if not request.answered:
            self.counters.add(COUNTED[type(answer)])
            self.concluded(request)
            if self.guard is not None:
                self.guard.answered(request, answer)
            self.drop(request)
            request.answer.callback(answer)

    def concluded(self, request: OpenRequest) -> None:
        request.answered = True
        del self.by_ident[request.ident.lower()]
        if request.sender is self.engines:  # what a caller carries is the door's to judge
            self.still_out[request.ident.lower()] = request

    def drop(self, request: OpenRequest) -> None:
        if request.answered and not request.attempts and not request.waiting:
            self.open_requests.pop(request.number, None)
            if self.still_out.get(request.ident.lower()) is request:
                del self.still_out[request.ident.lower()]

    def came_back(
        self, outcome: Outcome, request: OpenRequest, attempt: int, engine: int, sent: float
    ) -> None:
        self.counters.add("trips_" + outcome.ending.name.lower())
        self.gather(self.ended, request, attempt, engine, sent, outcome)

    def ended(
        self, now: float, request: OpenRequest, attempt: int, engine: int, sent: float, outcome: Outcome
    ) -> None:
        request.attempts.pop(attempt, None)
        request.last_ending = outcome.ending
        delivered = outcome.ending == Ending.DELIVERED
        if not delivered and self.at_most_once[request.kind]:
            server = self.engines.name_of(engine)
            self.request_log.attempt_failed(request, attempt, server, outcome.ending, now - sent)
        if (
            self.guard is not None
            and request.answered
            and request.sender is not self.engines
            and outcome.ending in NEVER_RAN
            and not request.attempts
        ):
            self.guard.never_ran(request)
        if delivered and not request.answered:
            self.asked.append((self.conclude, (request, Delivered(outcome.pages))))
        self.rules.attempt_ended(
            now,
            request.number,
            attempt,
            engine,
            outcome.ending,
            now - sent,
            delivered or request.answered,
            0.0,
            0.0,
            outcome.report,
        )
        self.drop(request)
