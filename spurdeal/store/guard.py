"""A guard that keeps the ledger: what may have run is known after a kill, whichever path it came by.

The guarded attempts of one turn are written in one append. With `flush: always` they leave when a thread has
flushed them; those that come meanwhile are gathered for the next flush.
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
from .ledger import TURN, Ledger, LedgerFullError
from .records import Kind, Record

Go = Callable[[bool | None], None]
RunInThread = Callable[[Callable[[], None]], Deferred[None]]


@dataclass(frozen=True)
class GuardSettings:
    """What is guarded, and for how long.

    Attributes:
        guarded: By workload: whether its requests must not run twice.
        keep: How long an id is kept beyond its request's deadline, in ms.
        come_back: When a client that is shed may come back, in ms.
    """

    guarded: tuple[bool, ...]
    keep: float
    come_back: float


@dataclass(frozen=True)
class GuardRuntime:
    """The parts of the process that a guard uses. in_thread runs a blocking call in a worker thread."""

    reactor: Scheduler
    counters: Counters
    log: logging.Logger
    in_thread: RunInThread = deferToThread


class LedgerGuard:
    """A Guard that keeps a ledger, in front of another guard (or none), which it asks next."""

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
        self.waiting: dict[tuple[int, int], tuple[OpenRequest, Go]] = {}
        self.ready: list[tuple[int, int]] = []
        self.writing = self.flushing = False
        if ledger.settings.flush == "turn":
            self.flush_again()

    def flush_again(self) -> None:
        """Flush in a thread, as a disk may stall for long; repeats every TURN seconds.

        A failure shows in the ledger's `full`.
        """
        if self.ledger.dirty:
            self.in_thread(self.ledger.syncer()).addBoth(self.later)
        else:
            self.later(None)

    def later(self, _: object) -> None:
        """Schedule the next periodic flush, whatever the last one gave."""
        self.reactor.callLater(TURN, self.flush_again)

    # The link's Guard.

    def batch_started(self, now: float) -> None:
        """See Guard."""
        if self.inner is not None:
            self.inner.batch_started(now)

    def immediate_answer(self, kind: int, ident: bytes) -> Answer | None:
        """Refuse what may have run, and shed guarded requests while the ledger cannot be written."""
        if self.settings.guarded[kind]:
            if self.ledger.may_have_run(ident.lower()):
                self.counters.add("ledger_known")
                return Failed()
            if self.ledger.full and not self.ledger.try_again():
                self.counters.add("ledger_full")
                return Shed(self.settings.come_back)
        return self.inner.immediate_answer(kind, ident) if self.inner is not None else None

    def before_send(self, request: OpenRequest, attempt: int, go: Go) -> bool:
        """Hold a guarded attempt until its record is written; `go` is then called with the verdict."""
        if not self.settings.guarded[request.kind]:
            return self.inner.before_send(request, attempt, go) if self.inner is not None else True
        token = (request.number, attempt)
        self.waiting[token] = (request, go)

        def told(verdict: bool | None) -> None:
            if token not in self.waiting:
                return
            if verdict:
                self.gather(token)
            else:
                del self.waiting[token]
                go(verdict)

        if self.inner is None or self.inner.before_send(request, attempt, told):
            self.gather(token)
        return False

    def attempt_abandoned(self, number: int, attempt: int) -> None:
        """Forget an attempt that waits for its record."""
        self.waiting.pop((number, attempt), None)
        if self.inner is not None:
            self.inner.attempt_abandoned(number, attempt)

    def answered(self, request: OpenRequest, answer: Answer | None) -> None:
        """A shed request has not run: its record is cancelled."""
        if self.settings.guarded[request.kind] and isinstance(answer, Shed):
            self.never_ran(request)
        if self.inner is not None:
            self.inner.answered(request, answer)

    def never_ran(self, request: OpenRequest) -> None:
        """Record that no attempt of a request has run; if that cannot be written, its record stands."""
        ident = request.ident.lower()
        if self.settings.guarded[request.kind] and ident in self.ledger.ends:
            try:
                self.ledger.append([Record(Kind.NEVER_RAN, ident, 0.0)])
            except LedgerFullError:
                self.counters.add("ledger_not_written")

    def allow_send(self, request: OpenRequest, attempt: int, engine: int) -> bool:
        """See Guard."""
        return self.inner.allow_send(request, attempt, engine) if self.inner is not None else True

    def attempt_cancelled(self, request: OpenRequest, attempt: int) -> None:
        """See Guard."""
        if self.inner is not None:
            self.inner.attempt_cancelled(request, attempt)

    def mode_changed(self, line: str) -> None:
        """See Guard."""
        if self.inner is not None:
            self.inner.mode_changed(line)

    def batch_ended(self) -> None:
        """See Guard."""
        if self.inner is not None:
            self.inner.batch_ended()

    def endpoint(self, endpoint: Endpoint) -> Endpoint:
        """See Guard."""
        return self.inner.endpoint(endpoint) if self.inner is not None else endpoint

    # Writing.

    def gather(self, token: tuple[int, int]) -> None:
        """Add an attempt to the next append, in the loop's next round or after the flush under way."""
        self.ready.append(token)
        if not self.writing and not self.flushing:
            self.writing = True
            self.reactor.callLater(0, self.write)

    def write(self) -> None:
        """Append the records of all attempts gathered, and release the attempts or wait for the flush."""
        self.writing = False
        tokens, self.ready = [token for token in self.ready if token in self.waiting], []
        if not tokens:
            return
        records = []
        for token in tokens:
            request = self.waiting[token][0]
            records.append(Record(Kind.MAY_RUN, request.ident.lower(), request.deadline + self.settings.keep))
        try:
            self.ledger.append(records)
        except LedgerFullError as fault:
            self.counters.add("ledger_not_written", len(tokens))
            self.log.error("ledger_full", extra={"figures": {"why": str(fault), "trips": len(tokens)}})
            self.verdicts(tokens, False)
            return
        if self.ledger.settings.flush == "always":
            self.flushing = True
            self.in_thread(self.ledger.syncer()).addCallbacks(
                lambda _: self.flushed(tokens, True), lambda _: self.flushed(tokens, False)
            )
        else:
            self.verdicts(tokens, True)

    def flushed(self, tokens: list[tuple[int, int]], safe: bool) -> None:
        """A flush has ended: its attempts are released if `safe`; what was gathered meanwhile is written."""
        self.flushing = False
        self.verdicts(tokens, safe)
        if self.ready:
            self.writing = True
            self.reactor.callLater(0, self.write)

    def verdicts(self, tokens: list[tuple[int, int]], go: bool) -> None:
        """Tell each of these attempts that still waits whether it may be sent."""
        for token in tokens:
            found = self.waiting.pop(token, None)
            if found is not None:
                found[1](go)
