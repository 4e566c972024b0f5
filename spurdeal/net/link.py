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
from .answers import COUNTED, Answer, BrokenOff, Delivered, Granted, Shed
from .counters import Counters
from .engine_index import EngineIndex
from .engine_list import Seat
from .engines import Engines
from .names import Asked
from .ordered import OrderedArrivals
from .request_log import RequestLog
from .submissions import Carrier, EarlyWithdrawals, Guard, Taken, at_most_once
from .trips import Outcome, SendTerms
from .turns import Turns

__all__ = ["Answer", "BrokenOff", "Delivered", "Granted", "Guard", "Shed", "Taken", "at_most_once"]

ANSWER_WAY = 40.0  # ms kept of a client's time for the answer's way back
LEFT_LATE = 100.0  # ms after a client's leaving from which on an attempt of its counts as late
UNCONFIRMED = 1000.0  # ms without an answer of the name service after which attempts by its list are told
OVERDUE = 20.0  # ms after a submission's time at which the rules must have answered


class SocketLink(Turns):
    """Carries events to the rules and what they ask to the sockets. Knows nothing of either's bytes."""

    def __init__(
        self,
        site: Deployment,
        seed: int,
        locations: Sequence[str],
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
        self.priorities, self.nobody = site.priorities, len(site.quotas)  # nobody: a customer without a share
        self.taken: dict[int, Taken] = {}
        self.by_ident: dict[bytes, Taken] = {}
        self.still_out: dict[bytes, Taken] = {}  # answered, with a trip out: their ids are not free yet
        self.withdrawn_early = EarlyWithdrawals()
        self.at_most_once = at_most_once(site)
        self.in_order = [workload.in_order for workload in site.workloads]
        self.ordered = OrderedArrivals(site.order_rest or 0.0)
        self.index = EngineIndex(locations, kinds)
        self.seats: dict[str, Seat] = {}
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
        carrier: Carrier | None = None,
        here: Callable[[], bool] = lambda: True,
        customer: int | None = None,
        key: int = 0,
        mark: bytes = b"",
    ) -> Deferred[Answer] | None:
        """A submission is taken; its Deferred brings the answer, and cancelling that withdraws it.

        None: one with this id is open, or was answered while a trip of it is still out."""
        if ident.lower() in self.by_ident or ident.lower() in self.still_out:
            return None
        if carrier is None and self.withdrawn_early.forget(ident.lower(), self.clock()):
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
        expiry = min(now + wait - ANSWER_WAY, self.until)
        answer: Deferred[Answer] = Deferred(lambda _: self.left(number))
        taken = Taken(
            number, kind, ident, workload, statement, expiry, answer, carrier or self.engines, here, mark
        )
        self.taken[number] = self.by_ident[ident.lower()] = taken
        self.counters.add("taken")
        self.counters.most("most_open", len(self.by_ident))
        owner = self.nobody if customer is None else customer
        self.gather(self.submit, number, kind, owner, key, now, expiry, cost, memory, group)
        return answer

    def submit(
        self,
        now: float,
        number: int,
        kind: int,
        customer: int,
        key: int,
        came: float,
        expiry: float,
        cost: float,
        memory: float,
        group: int,
    ) -> None:
        self.counters.most("longest_wait_for_a_turn_ms", now - came)
        self.at(expiry, self.expire, number)
        self.rules.submitted(now, number, kind, customer, key, expiry, cost, memory, group)

    def left(self, number: int) -> None:
        """The client has gone, or has said that it waits no longer: no answer is owed."""
        self.counters.add("withdrawn")
        taken = self.taken[number]
        taken.client_left = True
        self.concluded(taken)
        if self.guard is not None:
            self.guard.answered(taken, None)
        self.gather(self.withdrawn, taken)

    def withdrawn(self, now: float, taken: Taken) -> None:
        self.rules.withdrawn(now, taken.number)
        self.drop(taken)

    def withdraw(self, ident: bytes) -> bool:
        """By id. One that has not come yet (unread, or behind others) is remembered: it may still come."""
        taken = self.by_ident.get(ident.lower())
        if taken is not None:
            taken.answer.cancel()
        elif ident.lower() not in self.still_out:
            self.withdrawn_early.remember(ident.lower(), self.clock())
        return taken is not None

    def listed(self, seats: Mapping[str, Seat]) -> None:
        """The whole list. An engine's place goes with it: nothing outlives what is gone."""
        began = self.starts.listed(self.clock(), {ident: seat.started for ident, seat in seats.items()})
        told = {ident: seat._replace(started=began[ident]) for ident, seat in seats.items()}
        if self.guard is not None:
            told = {ident: self.guard.seat(seat) for ident, seat in told.items()}
        lines = [self.index.line(ident, seat) for ident, seat in told.items()]
        # Told first: what the engines' connections then give back must not be sent there again.
        self.gather(self.rules.listed, lines, True)
        gone = {ident: seat._replace(life=Life.GONE) for ident, seat in self.seats.items()}
        for ident, seat in (gone | dict(seats)).items():
            self.guarded(self.engines.listed, self.index.place_of(ident), seat)
            if seat.life == Life.GONE:
                self.index.forget(ident)
        self.request_log.states(self.seats, seats)
        self.seats = dict(seats)
        ready = sum(seat.life == Life.READY for seat in seats.values())
        self.logger.info("listed", extra={"figures": {"engines": len(seats), "ready": ready}})

    def list_confirmed(self) -> None:
        """The name service knows no newer list than the one in force."""
        self.starts.confirm(self.clock())

    def list_known(self, at: float) -> None:
        """The list of the start was read at that time, and tells all until then."""
        self.rules.list_known(at)

    def list_asked(self, seconds_ago: float) -> Asked:
        """A question for the list has left."""
        left_at = self.clock() - seconds_ago * 1000
        return Asked(left_at, self.rules.list_asked(left_at))

    def list_moved(self) -> None:
        """Another name service is asked from now on."""
        self.rules.list_moved()

    def list_answered(self, asked_at: float, verdict: Verdict) -> bool:
        """The answer to the question which left at that time told each engine that gets requests.

        Returns:
            Whether another question is to leave soon.
        """
        return self.rules.list_answered(self.clock(), asked_at, verdict)

    def stop(self, until: float) -> None:
        """All that is taken, and what still comes, is answered by then."""
        self.until = until
        for taken in self.taken.values():
            if taken.expiry > until:
                taken.expiry = until
                self.at(until, self.expire, taken.number)
        self.gather(self.rules.stopping, until)

    # The turn.

    def turn_begins(self, now: float) -> None:
        if self.guard is not None:
            self.guarded(self.guard.turning, now)

    def decide(self, now: float) -> None:
        self.rules.turn(now)

    def turn_ends(self) -> None:
        if self.guard is not None:
            self.guarded(self.guard.turned)

    def write_out(self) -> None:
        self.engines.write_held()

    def expire(self, number: int) -> None:
        taken = self.taken.get(number)
        if taken is not None and taken.expiry <= self.clock():
            for trip in list(taken.trips.values()):
                taken.carrier.give_up(trip, Ending.TIME_OUT)
            for waiting in list(taken.waiting):
                self.never_sent(taken, waiting)
            if not taken.answered:
                self.at(self.clock() + OVERDUE, self.overdue, number)

    def overdue(self, number: int) -> None:
        taken = self.taken.get(number)
        if taken is not None and not self.counters.must(taken.answered, "answer_in_time"):
            self.asked.append((self.conclude, (taken, BrokenOff())))
            self.gather(self.rules.withdrawn, number)  # or they would go on with it

    # What the rules ask for: kept until their turn is over.

    def send(self, number: int, engine: int, time_limit: float) -> None:
        taken = self.taken[number]
        if taken.made:
            self.request_log.retried(taken, taken.made, self.engines.name_of(engine))
        self.asked.append((self.carry, (taken, taken.made, engine, time_limit)))
        taken.made += 1

    def terms(self, number: int, memory: float, priority: int) -> None:
        self.asked.append((self.weigh, (self.taken[number], priority)))

    def shed(self, number: int, come_back: float, reason: EndReason) -> None:
        self.request_log.refused(self.taken[number], reason)
        self.asked.append((self.conclude, (self.taken[number], Shed(come_back))))

    def break_off(self, number: int, reason: EndReason) -> None:
        self.request_log.aborted(self.taken[number], reason)
        self.asked.append((self.conclude, (self.taken[number], BrokenOff())))

    def call_off(self, number: int, trip: int) -> None:
        self.asked.append((self.cancel, (number, trip)))

    def wake(self, delay: float, token: int) -> None:
        self.at(self.clock() + delay, self.gather, self.rules_woken, token)

    def rules_woken(self, now: float, token: int) -> None:
        """By name, as the rules ask to be woken while they are still being made."""
        self.rules.woken(now, token)

    def watch(self) -> None:
        """The list comes unasked here: the name service is polled."""

    def log(self, line: str) -> None:
        self.logger.info("rules", extra={"figures": {"says": line}})
        if self.guard is not None:
            self.guard.said(line)

    # Carrying out.

    def carry(self, taken: Taken, trip: int, engine: int, time_limit: float) -> None:
        now = self.clock()
        if taken.answered or not self.may_run_again(taken):
            # Its client left before this turn, or it was answered for want of time: it is not sent at all.
            self.gather(self.ended, taken, trip, engine, now, Outcome(Ending.MOOT))
            return
        if self.guard is not None:

            def go(verdict: bool | None) -> None:
                self.told(taken, trip, engine, time_limit, verdict)

            taken.waiting[trip] = engine
            if not self.guard.before(taken, trip, go):
                return
            del taken.waiting[trip]
        self.depart(taken, trip, engine, time_limit, now)

    def may_run_again(self, taken: Taken) -> bool:
        """Whether another attempt can do no harm: what must not run twice has one out at most."""
        alone = not self.at_most_once[taken.kind] or not (taken.trips or taken.waiting)
        return self.counters.must(alone, "one_attempt_at_a_time")

    def told(self, taken: Taken, trip: int, engine: int, time_limit: float, verdict: bool | None) -> None:
        """The verdict on a trip that waited for one: sent, not sent, or (None) it may have run elsewhere."""
        now = self.clock()
        if taken.waiting.pop(trip, None) is None:
            return
        if verdict is None:
            self.conclude(taken, BrokenOff())
        if verdict:
            self.depart(taken, trip, engine, time_limit, now)
        else:
            self.gather(self.ended, taken, trip, engine, now, Outcome(Ending.MOOT))

    def depart(self, taken: Taken, trip: int, engine: int, time_limit: float, now: float) -> None:
        if taken.carrier is self.engines and not self.engines.ready(engine):
            # A list came since the choice, maybe in this turn: there is no need to dial.
            self.counters.add("trips_overtaken")
            self.gather(self.ended, taken, trip, engine, now, Outcome(Ending.MOOT))
            return

        agreed = False

        def at_send() -> SendTerms | None:
            nonlocal agreed
            terms = self.send_terms(taken, trip, engine, time_limit, agreed)
            agreed |= terms is not None
            return terms

        out = taken.carrier.send(
            engine,
            taken.ident,
            taken.workload,
            taken.statement,
            taken.expiry,
            self.at_most_once[taken.kind],
            at_send,
        )
        taken.trips[trip] = out
        if taken.carrier is not self.engines and not out.done.called:
            self.conclude(taken, Granted())
        out.done.addCallback(self.came_back, taken, trip, engine, now)

    def send_terms(
        self, taken: Taken, trip: int, engine: int, time_limit: float, agreed: bool
    ) -> SendTerms | None:
        """The last look, as the first byte is about to leave: whatever came since the choice counts here.

        Its client may have left unread. What the guard says counts as used, so it is asked last, and not
        again (agreed) where the system took nothing of the attempt at first."""
        now = self.clock()
        if (
            taken.answered
            or not taken.carrier.ready(engine)
            or not self.rules.may_send(now, taken.number, trip, engine)
        ):
            self.counters.add("trips_overtaken")
            return None
        if not taken.here():
            self.counters.add("trips_whose_client_left")
            return None
        if self.guard is not None and not agreed and not self.guard.departs(taken, trip, engine):
            return None
        if (age := now - (self.starts.current_at or now)) > UNCONFIRMED:
            self.request_log.left_unconfirmed(taken, self.engines.name_of(engine), age)
        wait = min(time_limit, taken.expiry - now) if time_limit else taken.expiry - now
        return SendTerms(
            wait,
            taken.rank if self.priorities else None,
            taken.mark,
            at_once=self.guard is None or not self.in_turn,  # a guard's records come first, see Guard.turned
            taken=lambda: self.attempt_sent(taken, now),
        )

    def attempt_sent(self, taken: Taken, looked: float) -> None:
        """The system has taken an attempt's last byte; the last look, at `looked`, still found its client.

        One whose client has left by now is counted, and as late where more than LEFT_LATE lies between: both
        are upper bounds, as it left at some time between. What has not arrived here by now is not seen."""
        if taken.client_left or not (taken.answered or taken.here()):
            self.counters.add("attempts_after_client_left")
            self.counters.add("attempts_late_after_client_left", self.clock() - looked > LEFT_LATE)

    def weigh(self, taken: Taken, priority: int) -> None:
        taken.rank = priority
        for trip in taken.trips.values():
            taken.carrier.weigh(trip, priority)

    def cancel(self, number: int, trip: int) -> None:
        if number in self.taken and trip in self.taken[number].trips:
            if self.guard is not None:
                self.guard.called_off(self.taken[number], trip)
            self.taken[number].carrier.give_up(self.taken[number].trips[trip], Ending.CALLED_OFF)
        elif number in self.taken and trip in self.taken[number].waiting:
            self.never_sent(self.taken[number], trip)

    def never_sent(self, taken: Taken, trip: int) -> None:
        """A trip that waited for its verdict is given up: nothing ran."""
        assert self.guard is not None
        self.guard.given_up(taken.number, trip)
        engine = taken.waiting.pop(trip)
        self.gather(self.ended, taken, trip, engine, self.clock(), Outcome(Ending.MOOT))

    def conclude(self, taken: Taken, answer: Answer) -> None:
        if not taken.answered:
            self.counters.add(COUNTED[type(answer)])
            self.concluded(taken)
            if self.guard is not None:
                self.guard.answered(taken, answer)
            self.drop(taken)
            taken.answer.callback(answer)

    def concluded(self, taken: Taken) -> None:
        taken.answered = True
        del self.by_ident[taken.ident.lower()]
        if taken.carrier is self.engines:  # what a caller carries is the door's to judge
            self.still_out[taken.ident.lower()] = taken

    def drop(self, taken: Taken) -> None:
        if taken.answered and not taken.trips and not taken.waiting:
            self.taken.pop(taken.number, None)
            if self.still_out.get(taken.ident.lower()) is taken:
                del self.still_out[taken.ident.lower()]

    def came_back(self, outcome: Outcome, taken: Taken, trip: int, engine: int, sent: float) -> None:
        self.counters.add("trips_" + outcome.ending.name.lower())
        self.gather(self.ended, taken, trip, engine, sent, outcome)

    def ended(self, now: float, taken: Taken, trip: int, engine: int, sent: float, outcome: Outcome) -> None:
        taken.trips.pop(trip, None)
        taken.last_ending = outcome.ending
        delivered = outcome.ending == Ending.DELIVERED
        if not delivered and self.at_most_once[taken.kind]:
            server = self.engines.name_of(engine)
            self.request_log.attempt_failed(taken, trip, server, outcome.ending, now - sent)
        if (
            self.guard is not None
            and taken.answered
            and taken.carrier is not self.engines
            and outcome.ending in NEVER_RAN
            and not taken.trips
        ):
            self.guard.never_ran(taken)
        if delivered and not taken.answered:
            self.asked.append((self.conclude, (taken, Delivered(outcome.pages))))
        self.rules.ended(
            now,
            taken.number,
            trip,
            engine,
            outcome.ending,
            now - sent,
            delivered or taken.answered,
            0.0,
            0.0,
            outcome.report,
        )
        self.drop(taken)
