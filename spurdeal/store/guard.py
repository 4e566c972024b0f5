"""A Guard that records attempts in the ledger before they are sent, if they must run at most once.

It does so for requests of HTTP clients and for those of ext_proc callers. "Guarded" means here: of a workload
whose requests must run at most once. After a crash the ledger thus names every guarded request that may have
run. The attempts of one batch are written in one append. With `flush: always` they are sent after a worker
thread has flushed them; attempts that arrive during a flush wait for the next append (group commit).
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass

from twisted.internet.defer import Deferred
from twisted.internet.threads import deferToThread

from ..eventloop import Scheduler
from ..net.counters import Counters
from ..net.engine_list import Endpoint
from ..net.link import Answer, Failed, Guard, OpenRequest, Shed
from .ledger import FLUSH_INTERVAL, Ledger, LedgerFullError
from .records import Kind, Record

# Called back with True: send the attempt; False: it must not be sent; None: it may have run elsewhere.
VerdictCallback = Callable[[bool | None], None]
RunInThread = Callable[[Callable[[], None]], Deferred[None]]


@dataclass(frozen=True)
class GuardSettings:
    """Which workloads are guarded, and the times in ms.

    Attributes:
        guarded: By index of the workload: whether its requests must run at most once.
        keep: How long an id is kept after its request's deadline, in ms.
        retry_after: After how many ms a shed client may retry.
    """

    guarded: tuple[bool, ...]
    keep: float
    retry_after: float


@dataclass(frozen=True)
class GuardRuntime:
    """The parts of the process that a guard uses.

    Attributes:
        reactor: Schedules calls; its times are in seconds.
        counters: Where failures are counted.
        log: The process's log.
        in_thread: Runs a blocking call in a worker thread and fires in the event loop's thread.
    """

    reactor: Scheduler
    counters: Counters
    log: logging.Logger
    in_thread: RunInThread = deferToThread


class LedgerGuard:
    """A Guard that writes the ledger and delegates to an inner guard, if there is one."""

    def __init__(
        self,
        ledger: Ledger,
        settings: GuardSettings,
        runtime: GuardRuntime,
        inner: Guard | None = None,
    ) -> None:
        self.ledger, self.settings, self.inner = ledger, settings, inner
        self.reactor, self.counters, self.log = runtime.reactor, runtime.counters, runtime.log
        self.in_thread = runtime.in_thread
        self.pending: dict[tuple[int, int], tuple[OpenRequest, VerdictCallback]] = {}
        self.append_queue: list[tuple[int, int]] = []
        self.append_scheduled = self.flushing = False
        if ledger.settings.flush == "turn":
            self.flush_periodically()

    def flush_periodically(self) -> None:
        """Flush in a worker thread, since a disk may stall; repeats after FLUSH_INTERVAL seconds.

        A failure sets the ledger's `write_failed`.
        """
        if self.ledger.dirty:
            self.in_thread(self.ledger.prepare_sync()).addBoth(self.schedule_flush)
        else:
            self.schedule_flush(None)

    def schedule_flush(self, _: object) -> None:
        """Schedule the next periodic flush, whether the last one succeeded or failed."""
        self.reactor.callLater(FLUSH_INTERVAL, self.flush_periodically)

    # The Guard protocol.

    def batch_started(self, now: float) -> None:
        """See Guard."""
        if self.inner is not None:
            self.inner.batch_started(now)

    def immediate_answer(self, kind: int, ident: bytes) -> Answer | None:
        """Fail a guarded request that may have run already; shed it while the ledger is unwritable."""
        if self.settings.guarded[kind]:
            if self.ledger.may_have_run(ident.lower()):
                self.counters.add("ledger_known")
                return Failed()
            if self.ledger.write_failed and not self.ledger.recover_from_failure():
                self.counters.add("ledger_full")
                return Shed(self.settings.retry_after)
        return self.inner.immediate_answer(kind, ident) if self.inner is not None else None

    def before_send(self, request: OpenRequest, attempt: int, go: VerdictCallback) -> bool:
        """Delay a guarded attempt until its record is written; `go` is then called with the verdict.

        Returns:
            True if the attempt may be sent at once; False if `go` will be called, unless it is given up.
        """
        if not self.settings.guarded[request.kind]:
            return self.inner.before_send(request, attempt, go) if self.inner is not None else True
        token = (request.number, attempt)
        self.pending[token] = (request, go)

        def on_inner_verdict(verdict: bool | None) -> None:
            if token not in self.pending:
                return
            if verdict:
                self.enqueue(token)
            else:
                del self.pending[token]
                go(verdict)

        if self.inner is None or self.inner.before_send(request, attempt, on_inner_verdict):
            self.enqueue(token)
        return False

    def attempt_abandoned(self, number: int, attempt: int) -> None:
        """Drop an attempt that waits for its record and will not be sent; its `go` is not called."""
        self.pending.pop((number, attempt), None)
        if self.inner is not None:
            self.inner.attempt_abandoned(number, attempt)

    def answered(self, request: OpenRequest, answer: Answer | None) -> None:
        """Cancel the record of a shed request, since it has not run."""
        if self.settings.guarded[request.kind] and isinstance(answer, Shed):
            self.never_ran(request)
        if self.inner is not None:
            self.inner.answered(request, answer)

    def never_ran(self, request: OpenRequest) -> None:
        """Record that no attempt of a request has run; if that fails, the request counts as possibly run."""
        ident = request.ident.lower()
        if self.settings.guarded[request.kind] and ident in self.ledger.expirations:
            try:
                self.ledger.append([Record(Kind.NEVER_RAN, ident, 0.0)])
            except LedgerFullError:
                self.counters.add("ledger_not_written")

    def allow_send(self, request: OpenRequest, attempt: int, engine: int) -> bool:
        """See Guard."""
        return self.inner.allow_send(request, attempt, engine) if self.inner is not None else True

    def attempt_cancelled(self, request: OpenRequest, attempt: int) -> None:
        """An attempt that was sent is being cancelled; the ledger keeps its record. See Guard."""
        if self.inner is not None:
            self.inner.attempt_cancelled(request, attempt)

    def rules_logged(self, line: str) -> None:
        """See Guard."""
        if self.inner is not None:
            self.inner.rules_logged(line)

    def batch_ended(self) -> None:
        """See Guard."""
        if self.inner is not None:
            self.inner.batch_ended()

    def endpoint(self, endpoint: Endpoint) -> Endpoint:
        """See Guard."""
        return self.inner.endpoint(endpoint) if self.inner is not None else endpoint

    # Group commit.

    def enqueue(self, token: tuple[int, int]) -> None:
        """Queue an attempt for the next append: in the next loop iteration, or after a flush in progress."""
        self.append_queue.append(token)
        if not self.append_scheduled and not self.flushing:
            self.append_scheduled = True
            self.reactor.callLater(0, self.append_queued)

    def append_queued(self) -> None:
        """Append the records of all queued attempts, then release the attempts or start the flush."""
        self.append_scheduled = False
        tokens, self.append_queue = [token for token in self.append_queue if token in self.pending], []
        if not tokens:
            return
        records = []
        for token in tokens:
            request = self.pending[token][0]
            records.append(Record(Kind.MAY_RUN, request.ident.lower(), request.deadline + self.settings.keep))
        try:
            self.ledger.append(records)
        except LedgerFullError as fault:
            self.counters.add("ledger_not_written", len(tokens))
            self.log.error("ledger_full", extra={"figures": {"why": str(fault), "trips": len(tokens)}})
            self.resume(tokens, False)
            return
        if self.ledger.settings.flush == "always":
            self.flushing = True
            self.in_thread(self.ledger.prepare_sync()).addCallbacks(
                lambda _: self.on_flushed(tokens, True), lambda _: self.on_flushed(tokens, False)
            )
        else:
            self.resume(tokens, True)

    def on_flushed(self, tokens: list[tuple[int, int]], durable: bool) -> None:
        """End a flush: release its attempts if `durable`, else refuse them; append the queued ones."""
        self.flushing = False
        self.resume(tokens, durable)
        if self.append_queue:
            self.append_scheduled = True
            self.reactor.callLater(0, self.append_queued)

    def resume(self, tokens: list[tuple[int, int]], allowed: bool) -> None:
        """Call back each of these attempts that still waits, with whether it may be sent."""
        for token in tokens:
            waiting = self.pending.pop(token, None)
            if waiting is not None:
                waiting[1](allowed)
