"""The adapter between sockets and rules: delivers events in batches and executes the rules' decisions."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping, Sequence
from itertools import count
from typing import Any

from twisted.internet.defer import CancelledError, Deferred, fail, succeed

from ..interface import NEVER_RAN, Deployment, Ending, EndReason, Life, Verdict
from ..rules import Dispatcher
from ..slow_start import StartTimes
from .answers import COUNTER_NAMES, Answer, Delivered, Failed, Granted, Shed
from .attempts import Outcome, SendTerms
from .batches import EventBatches
from .counters import Counters
from .engine_index import EngineIndex
from .engine_list import Endpoint
from .engines import Engines
from .names import SentQuery
from .ordered_arrivals import OrderedArrivals
from .request_log import RequestLog
from .requests import EarlyWithdrawals, Guard, OpenRequest, Sender, at_most_once

__all__ = ["Answer", "Delivered", "Failed", "Granted", "Guard", "OpenRequest", "Shed", "at_most_once"]

ANSWER_RETURN_TIME = 40.0  # ms of a client's time limit reserved for sending the answer back
LATE_AFTER_LEAVING = 100.0  # ms; an attempt sent later than this after its client left is counted as late
UNCONFIRMED_LIST_AGE = 1000.0  # ms since the list was confirmed; attempts sent later than this are logged
ANSWER_OVERDUE = 20.0  # ms after a request's deadline by which the rules must have answered it


class SocketAdapter(EventBatches):
    """Passes events to the rules and their decisions to the senders of attempts.

    It parses and formats no bytes of either protocol.
    """

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
        # no_tenant: the index that stands for all tenants without a quota.
        self.priorities, self.no_tenant = site.priorities, len(site.quotas)
        self.open_requests: dict[int, OpenRequest] = {}
        self.by_ident: dict[bytes, OpenRequest] = {}
        # Answered requests with attempts that are still out: their ids are in use.
        self.answered_with_open_attempts: dict[bytes, OpenRequest] = {}
        self.early_withdrawals = EarlyWithdrawals()
        self.at_most_once = at_most_once(site)
        self.in_order = [workload.in_order for workload in site.workloads]
        self.ordered = OrderedArrivals(site.order_pause or 0.0)
        self.index = EngineIndex(zones, kinds)
        self.endpoints: dict[str, Endpoint] = {}
        self.starts = StartTimes()
        self.request_numbers = count()
        self.shutdown_deadline = float("inf")
        self.guard: Guard | None = None
        for name in ("attempts_after_client_left", "attempts_late_after_client_left"):
            counters.add(name, 0)  # reported even while they are 0
        self.rules = Dispatcher(site, seed, self, clock())
        if self.loop.installed:
            self.rules.freshness.polled_at = lambda: self.loop.polled_at

    # Events from clients and from service discovery.

    def accept_request(
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
        client_connected: Callable[[], bool] = lambda: True,
        tenant: int | None = None,
        key: int = 0,
        idempotency_key: bytes = b"",
    ) -> Deferred[Answer] | None:
        """Accept a request; its Deferred fires with the answer, and cancelling it withdraws the request.

        Args:
            ident: The request's id; case does not matter.
            workload: The name of its workload.
            kind: The index of its workload.
            wait: For how many ms the client still waits for the answer.
            cost: The client's estimate of the work; 0 if it gave none.
            memory: The client's estimate of the memory, in MB; 0 if it gave none.
            group: The group of tables that it uses, see `statement.Reading`; NO_GROUP if it has none.
            statement: The statement to run.
            sender: Sends its attempts; None for our own connections to engines.
            client_connected: Whether the client is still connected.
            tenant: The index of its tenant; None for one without a quota.
            key: A hash of its ordering key; 0 if it has none.
            idempotency_key: Lets engines recognize a repeat; empty if it has none.

        Returns:
            None if a request with this id is open, or was answered while an attempt of it is still out.
        """
        if ident.lower() in self.by_ident or ident.lower() in self.answered_with_open_attempts:
            return None
        if sender is None and self.early_withdrawals.forget(ident.lower(), self.clock()):
            self.counters.add("taken")
            self.counters.add("withdrawn")
            return fail(CancelledError())
        if self.guard is not None and (known := self.guard.immediate_answer(kind, ident)) is not None:
            self.counters.add("taken")
            self.counters.add(COUNTER_NAMES[type(known)])
            return succeed(known)
        now, number = self.clock(), next(self.request_numbers)
        if key and self.in_order[kind]:
            wait -= self.ordered.hold_time(key, now, wait)
        deadline = min(now + wait - ANSWER_RETURN_TIME, self.shutdown_deadline)
        answer: Deferred[Answer] = Deferred(lambda _: self.withdrawal_requested(number))
        request = OpenRequest(
            number,
            kind,
            ident,
            workload,
            statement,
            deadline,
            answer,
            sender or self.engines,
            client_connected,
            idempotency_key,
        )
        self.open_requests[number] = self.by_ident[ident.lower()] = request
        self.counters.add("taken")
        self.counters.record_max("most_open", len(self.by_ident))
        owner = self.no_tenant if tenant is None else tenant
        self.enqueue(self.report_request, number, kind, owner, key, now, deadline, cost, memory, group)
        return answer

    def report_request(
        self,
        now: float,
        number: int,
        kind: int,
        tenant: int,
        key: int,
        received_at: float,
        deadline: float,
        cost: float,
        memory: float,
        group: int,
    ) -> None:
        """Pass a new request to the rules and set the timer of its deadline."""
        self.counters.record_max("longest_wait_for_a_turn_ms", now - received_at)
        self.call_at(deadline, self.expire, number)
        self.rules.request_received(now, number, kind, tenant, key, deadline, cost, memory, group)

    def withdrawal_requested(self, number: int) -> None:
        """Handle a client that has disconnected or withdrawn its request: it gets no answer."""
        self.counters.add("withdrawn")
        request = self.open_requests[number]
        request.client_left = True
        self.mark_answered(request)
        if self.guard is not None:
            self.guard.answered(request, None)
        self.enqueue(self.report_withdrawal, request)

    def report_withdrawal(self, now: float, request: OpenRequest) -> None:
        """Tell the rules that a request was withdrawn."""
        self.rules.request_withdrawn(now, request.number)
        self.drop(request)

    def withdraw(self, ident: bytes) -> bool:
        """Withdraw a request by id.

        The id of a request that has not arrived yet (unread, or queued behind others) is remembered, because
        the request may still arrive.

        Returns:
            Whether a request with this id was open.
        """
        request = self.by_ident.get(ident.lower())
        if request is not None:
            request.answer.cancel()
        elif ident.lower() not in self.answered_with_open_attempts:
            self.early_withdrawals.remember(ident.lower(), self.clock())
        return request is not None

    def apply_list(self, endpoints: Mapping[str, Endpoint]) -> None:
        """Apply a complete list of engines; the index of an engine that is gone is released."""
        began = self.starts.convert_list(
            self.clock(), {ident: endpoint.started for ident, endpoint in endpoints.items()}
        )
        reported = {ident: endpoint._replace(started=began[ident]) for ident, endpoint in endpoints.items()}
        if self.guard is not None:
            reported = {ident: self.guard.endpoint(endpoint) for ident, endpoint in reported.items()}
        listed = [self.index.to_listed(ident, endpoint) for ident, endpoint in reported.items()]
        # The rules go first: attempts that the connections return must not be sent to the same engine again.
        self.enqueue(self.rules.list_changed, listed, True)
        gone = {ident: endpoint._replace(life=Life.GONE) for ident, endpoint in self.endpoints.items()}
        for ident, endpoint in (gone | dict(endpoints)).items():
            self.call_safely(self.engines.update_engine, self.index.index_of(ident), endpoint)
            if endpoint.life == Life.GONE:
                self.index.forget(ident)
        self.request_log.log_state_changes(self.endpoints, endpoints)
        self.endpoints = dict(endpoints)
        ready = sum(endpoint.life == Life.READY for endpoint in endpoints.values())
        self.logger.info("listed", extra={"figures": {"engines": len(endpoints), "ready": ready}})

    def list_confirmed(self) -> None:
        """Record that the name server has no newer list than the current one."""
        self.starts.confirm(self.clock())

    def list_known(self, at: float) -> None:
        """Record when the initial list was read; it is complete up to that time."""
        self.rules.initial_list_read(at)

    def list_asked(self, age_s: float) -> SentQuery:
        """Record that a query for the list was sent `age_s` seconds ago."""
        sent_at = self.clock() - age_s * 1000
        return SentQuery(sent_at, self.rules.list_query_sent(sent_at))

    def name_server_changed(self) -> None:
        """Record that another name server is queried from now on."""
        self.rules.name_server_changed()

    def list_answered(self, asked_at: float, verdict: Verdict) -> bool:
        """Record a response to the query sent at `asked_at`, which lists every engine that gets requests.

        Returns:
            Whether another query should be sent soon.
        """
        return self.rules.list_response_received(self.clock(), asked_at, verdict)

    def stop(self, until: float) -> None:
        """Start a graceful shutdown: open and new requests are answered by `until`."""
        self.shutdown_deadline = until
        for request in self.open_requests.values():
            if request.deadline > until:
                request.deadline = until
                self.call_at(until, self.expire, request.number)
        self.enqueue(self.rules.shutdown_started, until)

    # Batch processing.

    def batch_begins(self, now: float) -> None:
        """Let the guard tell the rules what has changed since the last batch."""
        if self.guard is not None:
            self.call_safely(self.guard.batch_started, now)

    def decide(self, now: float) -> None:
        """Let the rules decide on the events of this batch."""
        self.rules.end_batch(now)

    def batch_ends(self) -> None:
        """Tell the guard that the batch has ended."""
        if self.guard is not None:
            self.call_safely(self.guard.batch_ended)

    def write_out(self) -> None:
        """Write the attempts whose sending was deferred to the end of the batch."""
        self.engines.write_deferred()

    def expire(self, number: int) -> None:
        """Give up the attempts of a request whose deadline has passed."""
        request = self.open_requests.get(number)
        if request is not None and request.deadline <= self.clock():
            for attempt in list(request.attempts.values()):
                request.sender.give_up(attempt, Ending.TIME_OUT)
            for unsent in list(request.awaiting_guard):
                self.abandon_unsent(request, unsent)
            if not request.answered:
                self.call_at(self.clock() + ANSWER_OVERDUE, self.overdue, number)

    def overdue(self, number: int) -> None:
        """Fail a request that the rules have not answered in time."""
        request = self.open_requests.get(number)
        if request is not None and not self.counters.check_invariant(request.answered, "answer_in_time"):
            self.actions.append((self.conclude, (request, Failed())))
            self.enqueue(self.rules.request_withdrawn, number)  # otherwise they would continue with it

    # Decisions of the rules, queued until the batch has been decided.

    def send(self, number: int, engine: int, time_limit: float) -> None:
        """Queue a new attempt on an engine."""
        request = self.open_requests[number]
        if request.attempts_made:
            self.request_log.retried(request, request.attempts_made, self.engines.name_of(engine))
        self.actions.append((self.start_attempt, (request, request.attempts_made, engine, time_limit)))
        request.attempts_made += 1

    def set_terms(self, number: int, memory: float, priority: int) -> None:
        """Queue a change of a request's priority; `memory` is ignored, as this transport grants none."""
        self.actions.append((self.set_priority, (self.open_requests[number], priority)))

    def shed(self, number: int, retry_after: float, reason: EndReason) -> None:
        """Queue the rejection of a request."""
        self.request_log.refused(self.open_requests[number], reason)
        self.actions.append((self.conclude, (self.open_requests[number], Shed(retry_after))))

    def fail_request(self, number: int, reason: EndReason) -> None:
        """Queue the failure of a request."""
        self.request_log.aborted(self.open_requests[number], reason)
        self.actions.append((self.conclude, (self.open_requests[number], Failed())))

    def cancel_attempt(self, number: int, attempt: int) -> None:
        """Queue the cancellation of an attempt."""
        self.actions.append((self.cancel, (number, attempt)))

    def set_timer(self, delay: float, token: int) -> None:
        """Call the rules back with `token` after `delay` ms."""
        self.call_at(self.clock() + delay, self.enqueue, self.fire_rules_timer, token)

    def fire_rules_timer(self, now: float, token: int) -> None:
        """Look up `self.rules` when called: the rules set timers before their constructor returns."""
        self.rules.timer_fired(now, token)

    def request_list(self) -> None:
        """Do nothing: the name server is polled, so the list arrives without a request from the rules."""

    def log(self, line: str) -> None:
        """Log a line of the rules, and pass it to the guard."""
        self.logger.info("rules", extra={"figures": {"says": line}})
        if self.guard is not None:
            self.guard.rules_logged(line)

    # Execution of decisions.

    def start_attempt(self, request: OpenRequest, attempt: int, engine: int, time_limit: float) -> None:
        """Send an attempt, after the guard's permission if the guard needs time for that."""
        now = self.clock()
        if request.answered or not self.may_run_again(request):
            # The client left before this batch, or the request was answered because its time ran out.
            self.enqueue(self.report_attempt_end, request, attempt, engine, now, Outcome(Ending.MOOT))
            return
        if self.guard is not None:

            def go(permission: bool | None) -> None:
                self.permission_received(request, attempt, engine, time_limit, permission)

            request.awaiting_guard[attempt] = engine
            if not self.guard.before_send(request, attempt, go):
                return
            del request.awaiting_guard[attempt]
        self.send_attempt(request, attempt, engine, time_limit, now)

    def may_run_again(self, request: OpenRequest) -> bool:
        """Whether another attempt is safe: a request that must not run twice has at most one attempt out."""
        alone = not self.at_most_once[request.kind] or not (request.attempts or request.awaiting_guard)
        return self.counters.check_invariant(alone, "one_attempt_at_a_time")

    def permission_received(
        self, request: OpenRequest, attempt: int, engine: int, time_limit: float, permission: bool | None
    ) -> None:
        """Handle the guard's permission: whether to send an attempt, or None if the request may have run."""
        now = self.clock()
        if request.awaiting_guard.pop(attempt, None) is None:
            return
        if permission is None:
            self.conclude(request, Failed())
        if permission:
            self.send_attempt(request, attempt, engine, time_limit, now)
        else:
            self.enqueue(self.report_attempt_end, request, attempt, engine, now, Outcome(Ending.MOOT))

    def send_attempt(
        self, request: OpenRequest, attempt: int, engine: int, time_limit: float, now: float
    ) -> None:
        """Pass an attempt to its sender."""
        if request.sender is self.engines and not self.engines.ready(engine):
            # A newer list was applied after the rules' choice, maybe in this batch: don't dial.
            self.counters.add("trips_overtaken")
            self.enqueue(self.report_attempt_end, request, attempt, engine, now, Outcome(Ending.MOOT))
            return

        guard_allowed = False

        def at_send() -> SendTerms | None:
            nonlocal guard_allowed
            terms = self.send_terms(request, attempt, engine, time_limit, guard_allowed)
            guard_allowed |= terms is not None
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
        out.done.addCallback(self.attempt_finished, request, attempt, engine, now)

    def send_terms(
        self, request: OpenRequest, attempt: int, engine: int, time_limit: float, guard_allowed: bool
    ) -> SendTerms | None:
        """Check at send time, just before the first byte is written, whether the attempt is still valid.

        This covers everything that has changed since the rules' choice; the client may also have disconnected
        without this having been read yet. The guard's permission counts as used once given, so the guard is
        asked last, and not again (`guard_allowed`) if the system accepted no byte of the attempt at first.

        Returns:
            None if the attempt must not be sent.
        """
        now = self.clock()
        if (
            request.answered
            or not request.sender.ready(engine)
            or not self.rules.may_send(now, request.number, attempt, engine)
        ):
            self.counters.add("trips_overtaken")
            return None
        if not request.client_connected():
            self.counters.add("trips_whose_client_left")
            return None
        if (
            self.guard is not None
            and not guard_allowed
            and not self.guard.allow_send(request, attempt, engine)
        ):
            return None
        if (age := now - (self.starts.current_at or now)) > UNCONFIRMED_LIST_AGE:
            self.request_log.sent_on_unconfirmed_list(request, self.engines.name_of(engine), age)
        wait = min(time_limit, request.deadline - now) if time_limit else request.deadline - now
        return SendTerms(
            wait,
            request.rank if self.priorities else None,
            request.idempotency_key,
            # A guard's records go first, see Guard.batch_ended.
            at_once=self.guard is None or not self.in_batch,
            on_written=lambda: self.attempt_sent(request, now),
        )

    def attempt_sent(self, request: OpenRequest, checked_at: float) -> None:
        """Handle that the system has accepted an attempt's last byte.

        The check at send time, at `checked_at`, found the client connected. If it has left by now, the
        attempt is counted, and counted as late if more than LATE_AFTER_LEAVING has passed since the check.
        Both counts are upper bounds, because the client left at some time in between. A disconnection that
        has not reached this host yet is not seen.
        """
        if request.client_left or not (request.answered or request.client_connected()):
            self.counters.add("attempts_after_client_left")
            self.counters.add(
                "attempts_late_after_client_left", self.clock() - checked_at > LATE_AFTER_LEAVING
            )

    def set_priority(self, request: OpenRequest, priority: int) -> None:
        """Set a request's priority, also on its running attempts."""
        request.rank = priority
        for attempt in request.attempts.values():
            request.sender.set_priority(attempt, priority)

    def cancel(self, number: int, attempt: int) -> None:
        """Cancel an attempt that is out or waits for the guard's permission."""
        if number in self.open_requests and attempt in self.open_requests[number].attempts:
            if self.guard is not None:
                self.guard.attempt_cancelled(self.open_requests[number], attempt)
            self.open_requests[number].sender.give_up(
                self.open_requests[number].attempts[attempt], Ending.CALLED_OFF
            )
        elif number in self.open_requests and attempt in self.open_requests[number].awaiting_guard:
            self.abandon_unsent(self.open_requests[number], attempt)

    def abandon_unsent(self, request: OpenRequest, attempt: int) -> None:
        """Abandon an attempt that waits for the guard's permission: nothing of it ran."""
        assert self.guard is not None
        self.guard.attempt_abandoned(request.number, attempt)
        engine = request.awaiting_guard.pop(attempt)
        self.enqueue(self.report_attempt_end, request, attempt, engine, self.clock(), Outcome(Ending.MOOT))

    def conclude(self, request: OpenRequest, answer: Answer) -> None:
        """Answer a request unless it has been answered."""
        if not request.answered:
            self.counters.add(COUNTER_NAMES[type(answer)])
            self.mark_answered(request)
            if self.guard is not None:
                self.guard.answered(request, answer)
            self.drop(request)
            request.answer.callback(answer)

    def mark_answered(self, request: OpenRequest) -> None:
        """Mark a request as answered; its id stays in use while an attempt is out."""
        request.answered = True
        del self.by_ident[request.ident.lower()]
        if request.sender is self.engines:  # extproc checks the ids of requests that callers send
            self.answered_with_open_attempts[request.ident.lower()] = request

    def drop(self, request: OpenRequest) -> None:
        """Forget a request that is answered and has no attempt left."""
        if request.answered and not request.attempts and not request.awaiting_guard:
            self.open_requests.pop(request.number, None)
            if self.answered_with_open_attempts.get(request.ident.lower()) is request:
                del self.answered_with_open_attempts[request.ident.lower()]

    def attempt_finished(
        self, outcome: Outcome, request: OpenRequest, attempt: int, engine: int, sent: float
    ) -> None:
        """Count an attempt's outcome and queue it as an event."""
        self.counters.add("trips_" + outcome.ending.name.lower())
        self.enqueue(self.report_attempt_end, request, attempt, engine, sent, outcome)

    def report_attempt_end(
        self, now: float, request: OpenRequest, attempt: int, engine: int, sent: float, outcome: Outcome
    ) -> None:
        """Tell the rules how an attempt ended, and answer the request if it was delivered."""
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
            self.actions.append((self.conclude, (request, Delivered(outcome.pages))))
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
