"""The ledger at the link's door: what may have run is known after a kill, whichever path it comes by.

A turn's guarded trips are written in one append. With `flush: always` they leave when a thread has flushed
them; what comes meanwhile is gathered for the next flush."""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.threads import deferToThread

from ..net.counters import Counters
from ..net.link import Answer, BrokenOff, Guard, Shed, Taken
from ..net.names import Seat
from .ledger import TURN, Full, Ledger
from .records import Kind, Record

Go = Callable[[bool | None], None]


class LedgerGuard:
    """A Guard that keeps a ledger, before another one (or none)."""

    def __init__(
        self,
        ledger: Ledger,
        guarded: Sequence[bool],
        keep: float,
        come_back: float,
        reactor: Any,
        counters: Counters,
        log: logging.Logger,
        inner: Guard | None = None,
        in_thread: Callable[[Callable[[], None]], Deferred[None]] = deferToThread,
    ) -> None:
        self.ledger, self.guarded, self.keep, self.come_back = ledger, guarded, keep, come_back
        self.reactor, self.counters, self.log, self.inner = reactor, counters, log, inner
        self.in_thread = in_thread
        self.waiting: dict[tuple[int, int], tuple[Taken, Go]] = {}
        self.ready: list[tuple[int, int]] = []
        self.writing = self.flushing = False
        if ledger.flush_when == "turn":
            self.flush_again()

    def flush_again(self) -> None:
        """With `turn`: in a thread, as a disk may stand still for long; a failure is told by `full`."""
        if self.ledger.dirty:
            self.in_thread(self.ledger.syncer()).addBoth(self.later)
        else:
            self.later(None)

    def later(self, _: object) -> None:
        self.reactor.callLater(TURN, self.flush_again)

    # The link's Guard.

    def turning(self, now: float) -> None:
        if self.inner is not None:
            self.inner.turning(now)

    def door(self, kind: int, ident: bytes) -> Answer | None:
        if self.guarded[kind]:
            if self.ledger.may_have_run(ident.lower()):
                self.counters.add("ledger_known")
                return BrokenOff()
            if self.ledger.full and not self.ledger.try_again():
                self.counters.add("ledger_full")
                return Shed(self.come_back)
        return self.inner.door(kind, ident) if self.inner is not None else None

    def before(self, taken: Taken, trip: int, go: Go) -> bool:
        if not self.guarded[taken.kind]:
            return self.inner.before(taken, trip, go) if self.inner is not None else True
        token = (taken.number, trip)
        self.waiting[token] = (taken, go)

        def told(verdict: bool | None) -> None:
            if token not in self.waiting:
                return
            if verdict:
                self.gather(token)
            else:
                del self.waiting[token]
                go(verdict)

        if self.inner is None or self.inner.before(taken, trip, told):
            self.gather(token)
        return False

    def given_up(self, number: int, trip: int) -> None:
        self.waiting.pop((number, trip), None)
        if self.inner is not None:
            self.inner.given_up(number, trip)

    def answered(self, taken: Taken, answer: Answer | None) -> None:
        if self.guarded[taken.kind] and isinstance(answer, Shed):
            self.never_ran(taken)
        if self.inner is not None:
            self.inner.answered(taken, answer)

    def never_ran(self, taken: Taken) -> None:
        """Each trip of it is known not to have run. A record that cannot be written leaves it as it was."""
        ident = taken.ident.lower()
        if self.guarded[taken.kind] and ident in self.ledger.ends:
            try:
                self.ledger.append([Record(Kind.NEVER_RAN, ident, 0.0)])
            except Full:
                self.counters.add("ledger_not_written")

    def departs(self, taken: Taken, trip: int, engine: int) -> bool:
        return self.inner.departs(taken, trip, engine) if self.inner is not None else True

    def called_off(self, taken: Taken, trip: int) -> None:
        if self.inner is not None:
            self.inner.called_off(taken, trip)

    def said(self, line: str) -> None:
        if self.inner is not None:
            self.inner.said(line)

    def turned(self) -> None:
        if self.inner is not None:
            self.inner.turned()

    def seat(self, seat: Seat) -> Seat:
        return self.inner.seat(seat) if self.inner is not None else seat

    # Writing.

    def gather(self, token: tuple[int, int]) -> None:
        self.ready.append(token)
        if not self.writing and not self.flushing:
            self.writing = True
            self.reactor.callLater(0, self.write)

    def write(self) -> None:
        self.writing = False
        tokens, self.ready = [token for token in self.ready if token in self.waiting], []
        if not tokens:
            return
        records = []
        for token in tokens:
            taken = self.waiting[token][0]
            records.append(Record(Kind.MAY_RUN, taken.ident.lower(), taken.expiry + self.keep))
        try:
            self.ledger.append(records)
        except Full as fault:
            self.counters.add("ledger_not_written", len(tokens))
            self.log.error("ledger_full", extra={"figures": {"why": str(fault), "trips": len(tokens)}})
            self.verdicts(tokens, False)
            return
        if self.ledger.flush_when == "always":
            self.flushing = True
            self.in_thread(self.ledger.syncer()).addCallbacks(
                lambda _: self.flushed(tokens, True), lambda _: self.flushed(tokens, False)
            )
        else:
            self.verdicts(tokens, True)

    def flushed(self, tokens: list[tuple[int, int]], safe: bool) -> None:
        self.flushing = False
        self.verdicts(tokens, safe)
        if self.ready:
            self.writing = True
            self.reactor.callLater(0, self.write)

    def verdicts(self, tokens: list[tuple[int, int]], go: bool) -> None:
        for token in tokens:
            found = self.waiting.pop(token, None)
            if found is not None:
                found[1](go)
