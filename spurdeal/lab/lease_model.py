"""The model of the lease and of the inquiry into one that stopped: the classes that run, not a copy of them.

Enumerated breadth first, with relative times, and walked by seeded schedules far beyond that. A state has one
subject, its grantors, one who wants to rely on its stop, and answers in flight, which are taken in any order,
late, or never; grantors hold the subject for gone when they like, lose their memory, and are replaced. That
the subject stands still is that it does nothing while time goes on."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterator
from enum import StrEnum
from functools import partial
from typing import Any, NamedTuple

from ..fleet.lease import Grant, Grantor, Inquiry, Lease, StopReport, Term
from .model_check import Found, check

STEP, LEASE, PART = 100.0, 300.0, 0.5
SUBJECT, BOOT = "d", 7
SETS = (("a", "b"), ("b", "c"))
MOST_FLIGHT, MOST_TERMS = 2, 3
FAR = 500.0
WALK_LENGTH, WALK_FAULTS, WALK_SEED = 45, 6, 5


def ago(moment: float, now: float) -> float:
    """Relative; what lies further back than FAR makes no difference, and NEVER stays."""
    return moment if math.isinf(moment) else max(-FAR, round(moment - now, 3))


class Kinds(NamedTuple):
    """The classes that are checked; planted faults replace one."""

    lease: type[Lease] = Lease
    grantor: type[Grantor] = Grantor
    inquiry: type[Inquiry] = Inquiry


class MoveKind(StrEnum):
    """What can happen next."""

    TIME = "time"
    ASK = "ask"  # the subject asks a grantor for its lease
    QUERY = "query"  # a grantor is asked about the subject's stop
    FAULT = "fault"


Times = tuple[tuple[str, float], ...]


class LeaseState(NamedTuple):
    """The subject's lease, with moments relative to now."""

    term: Term
    asked: Times
    proposed: Term | None
    proposed_grants: Times
    proposal_acked_by: tuple[str, ...]
    refused: tuple[str, ...]
    held: bool


class GrantState(NamedTuple):
    """What a grantor knows of the subject, with moments relative to now."""

    term: Term
    proposed: Term | None
    until: float
    refused: int
    barred_until: float


class GrantorState(NamedTuple):
    """One grantor, with moments relative to now."""

    refuses_until: float
    grant: GrantState | None


class InquiryState(NamedTuple):
    """The inquiry into the subject. reports: name, when its answers end, until when its report counts."""

    in_force: int
    terms: tuple[Term, ...]
    reports: tuple[tuple[str, float, float], ...]


class Answer(NamedTuple):
    """A grantor's answer in flight, to what was asked at `asked`."""

    kind: MoveKind
    grantor: str
    asked: float
    told: tuple[Any, ...]

    def order(self) -> str:
        """One order of all that is in flight, as it comes in any."""
        return str((self.kind.value, self.grantor, self.asked, *self.told))


class StopState(NamedTuple):
    """The whole. both: it holds its lease while another relies on its stop."""

    lease: LeaseState
    grantors: tuple[GrantorState, ...]
    inquiry: InquiryState
    flight: tuple[Answer, ...]
    faults: int
    both: bool


class Parts(NamedTuple):
    """The objects of a state, at time 0."""

    lease: Lease
    grantors: dict[str, Grantor]
    inquiry: Inquiry


class Move(NamedTuple):
    """One thing that can happen next, and the state after it."""

    kind: MoveKind
    label: str
    after: Callable[[], StopState]


def frozen_lease(lease: Lease) -> LeaseState:
    """The lease's state at time 0."""
    return LeaseState(
        lease.term,
        relative(lease.grants),
        lease.proposed,
        relative(lease.proposed_grants),
        tuple(sorted(lease.proposal_acked_by)),
        tuple(sorted(lease.refused_by)),
        lease.acquired,
    )


def relative(times: dict[str, float]) -> Times:
    """Moments by name, relative to time 0."""
    return tuple(sorted((name, ago(at, 0.0)) for name, at in times.items()))


def frozen_grantor(grantor: Grantor) -> GrantorState:
    """A grantor's state at time 0."""
    rests, found = ago(grantor.refuses_until, 0.0), grantor.grants.get(SUBJECT)
    if found is None:
        return GrantorState(rests, None)
    until, barred_until = ago(found.valid_until, 0.0), ago(found.barred_until, 0.0)
    return GrantorState(
        rests, GrantState(found.term, found.proposed, until, found.refused_term, barred_until)
    )


def frozen_inquiry(inquiry: Inquiry) -> InquiryState:
    """The inquiry's state at time 0; words that count no more are left out."""
    reports = sorted(
        (name, ago(ends, 0.0), ago(until, 0.0))
        for name, (ends, until) in inquiry.reports.items()
        if until > 0
    )
    return InquiryState(inquiry.in_force, tuple(sorted(inquiry.terms.values())), tuple(reports))


class Stops:
    """A subject, its grantors and one who relies on its stop.

    Args:
        faults: How many may happen.
    """

    def __init__(self, kinds: Kinds, faults: int) -> None:
        self.kinds, self.faults = kinds, faults
        self.names = sorted({*SETS[0], *SETS[1]})

    # States and objects.

    def initial(self) -> StopState:
        """The subject holds its lease from all of its first grantors."""
        lease = self.kinds.lease(LEASE, PART)
        lease.propose(SETS[0])
        grantors = {name: self.kinds.grantor(LEASE, -10 * LEASE) for name in self.names}
        for name in SETS[0]:
            heard, granted = grantors[name].on_request(0.0, SUBJECT, BOOT, lease.term, lease.proposed)
            lease.on_reply(0.0, name, 0.0, heard, granted)
        inquiry = self.kinds.inquiry(SUBJECT, BOOT, PART, LEASE)
        inquiry.note_terms(lease.term)
        return self.frozen(Parts(lease, grantors, inquiry), (), self.faults)

    def frozen(self, parts: Parts, flight: tuple[Answer, ...], faults: int) -> StopState:
        """The state of these objects at time 0."""
        both = parts.lease.holds(0.0) and parts.inquiry.stopped(0.0)
        return StopState(
            frozen_lease(parts.lease),
            tuple(frozen_grantor(parts.grantors[name]) for name in self.names),
            frozen_inquiry(parts.inquiry),
            tuple(sorted(flight, key=Answer.order)),
            faults,
            both,
        )

    def thawed(self, state: StopState, shift: float = 0.0) -> Parts:
        """The objects of that state at time 0; shift: so much time has gone by."""
        both = zip(self.names, state.grantors, strict=True)
        grantors = {name: self.thawed_grantor(each, shift) for name, each in both}
        inquiry = self.kinds.inquiry(SUBJECT, BOOT, PART, LEASE)
        inquiry.in_force = state.inquiry.in_force
        inquiry.terms = {each.number: each for each in state.inquiry.terms}
        inquiry.reports = {name: (ends - shift, until - shift) for name, ends, until in state.inquiry.reports}
        return Parts(self.thawed_lease(state.lease, shift), grantors, inquiry)

    def thawed_lease(self, state: LeaseState, shift: float) -> Lease:
        """The subject's lease of that state."""
        lease = self.kinds.lease(LEASE, PART)
        lease.sole_member, lease.acquired = False, state.held
        lease.term, lease.proposed = state.term, state.proposed
        lease.grants = {name: at - shift for name, at in state.asked}
        lease.proposed_grants = {name: at - shift for name, at in state.proposed_grants}
        lease.proposal_acked_by, lease.refused_by = set(state.proposal_acked_by), set(state.refused)
        return lease

    def thawed_grantor(self, state: GrantorState, shift: float) -> Grantor:
        """A grantor of that state."""
        grantor = self.kinds.grantor(LEASE, 0.0)
        grantor.refuses_until = state.refuses_until - shift
        if state.grant is not None:
            term, proposed, until, refused, barred_until = state.grant
            grantor.grants[SUBJECT] = Grant(
                BOOT, term, proposed, until - shift, refused, barred_until - shift
            )
        return grantor

    # Steps.

    def steps(self, state: StopState) -> Iterator[tuple[str, StopState]]:
        """All that can happen next, and the state after it."""
        for move in self.moves(state):
            yield move.label, move.after()

    def moves(self, state: StopState) -> Iterator[Move]:
        """A question is answered at once, or its answer is under way for as long as it likes, or it never
        comes."""
        yield Move(MoveKind.TIME, "time", partial(self.later, state))
        yield from self.questions(state)
        for place, each in enumerate(state.flight):
            rest = state.flight[:place] + state.flight[place + 1 :]
            label = f"{each.kind} {each.grantor}"
            yield Move(each.kind, f"{label} answered", partial(self.answered, state, each, rest))
            if each.asked <= -FAR:
                yield Move(each.kind, f"{label} never", partial(state._replace, flight=rest))
        if state.faults:
            yield from self.faulty(state)

    def questions(self, state: StopState) -> Iterator[Move]:
        """Grantors are asked."""
        lease, _, inquiry = self.thawed(state)
        flight = state.flight
        for kind, names in (
            (MoveKind.ASK, lease.grantors_to_ask()),
            (MoveKind.QUERY, inquiry.grantors_to_ask()),
        ):
            for name in names:
                yield Move(kind, f"{kind} {name}", partial(self.asked, state, kind, name, False))
                under_way = any((each.kind, each.grantor) == (kind, name) for each in flight)
                if len(flight) < MOST_FLIGHT and not under_way:
                    late = partial(self.asked, state, kind, name, True)
                    yield Move(kind, f"{kind} {name}, late", late)

    def later(self, state: StopState) -> StopState:
        """A step of time on."""
        flight = tuple(each._replace(asked=max(-FAR, each.asked - STEP)) for each in state.flight)
        return self.frozen(self.thawed(state, STEP), flight, state.faults)

    def asked(self, state: StopState, kind: MoveKind, name: str, late: bool) -> StopState:
        """The grantor has the question now. late: its answer is in flight."""
        parts = self.thawed(state)
        told: tuple[Any, ...] | None
        if kind is MoveKind.ASK:
            told = parts.grantors[name].on_request(0.0, SUBJECT, BOOT, parts.lease.term, parts.lease.proposed)
        else:
            told = parts.grantors[name].report_stop(0.0, SUBJECT, BOOT)
        flight = state.flight
        if told is not None:
            answer = Answer(kind, name, 0.0, tuple(told))
            if late:
                flight = (*flight, answer)
            else:
                self.deliver(parts, answer)
        return self.frozen(parts, flight, state.faults)

    def answered(self, state: StopState, answer: Answer, rest: tuple[Answer, ...]) -> StopState:
        """An answer arrives."""
        parts = self.thawed(state)
        self.deliver(parts, answer)
        return self.frozen(parts, rest, state.faults)

    @staticmethod
    def deliver(parts: Parts, answer: Answer) -> None:
        """Whoever asked has the answer now."""
        if answer.kind is MoveKind.ASK:
            parts.lease.on_reply(0.0, answer.grantor, answer.asked, *answer.told)
        else:
            parts.inquiry.add_report(0.0, answer.asked, answer.grantor, StopReport(*answer.told))

    def faulty(self, state: StopState) -> Iterator[Move]:
        """Grantors hold the subject for gone, start anew, or are replaced."""
        fault = MoveKind.FAULT
        for name, each in zip(self.names, state.grantors, strict=True):
            if each.grant is not None:
                gone = partial(self.grantor_fails, state, name, False)
                yield Move(fault, f"{name} holds it for gone", gone)
                yield Move(fault, f"{name} restarts", partial(self.grantor_fails, state, name, True))
        lease = self.thawed(state).lease
        newest = lease.proposed or lease.term
        for grantors in SETS:
            if newest.number < MOST_TERMS and (newest.grantors != grantors or lease.refused_by):
                label = f"grantors {' '.join(grantors)}"
                yield Move(fault, label, partial(self.replaced, state, grantors))

    def grantor_fails(self, state: StopState, name: str, restarts: bool) -> StopState:
        """A grantor starts anew, or refuses the subject."""
        parts = self.thawed(state)
        if restarts:
            parts.grantors[name] = self.kinds.grantor(LEASE, 0.0)
        else:
            parts.grantors[name].refuse(SUBJECT, BOOT)
        return self.frozen(parts, state.flight, state.faults - 1)

    def replaced(self, state: StopState, grantors: tuple[str, ...]) -> StopState:
        """The subject proposes other grantors."""
        parts = self.thawed(state)
        parts.lease.propose(grantors)
        return self.frozen(parts, state.flight, state.faults - 1)

    # Checks.

    def search(self, most: int) -> Found:
        """Breadth first, as far as `most` states go."""
        invariants = {"it acts while another relies on its stop": lambda state: not state["both"]}
        return check("stops", StopState._fields, self.initial(), self.steps, invariants, most)

    def walk(self, chance: random.Random, length: int) -> tuple[int, list[str]]:
        """One schedule far beyond what breadth first reaches: steps, and the labels where it breaks."""
        state, labels = self.initial(), list[str]()
        for step in range(length):
            kinds: dict[MoveKind, list[Move]] = {}
            for move in self.moves(state):
                kinds.setdefault(move.kind, []).append(move)
            move = chance.choice(kinds[chance.choice(sorted(kinds))])
            state = move.after()
            labels.append(move.label)
            if state.both:
                return step + 1, labels
        return length, []


def stops_walked(kinds: Kinds, walks: int, seed: int = WALK_SEED) -> tuple[int, list[str]]:
    """Steps of all walks up to the first that breaks, and its labels."""
    chance, model, steps = random.Random(seed), Stops(kinds, WALK_FAULTS), 0
    for _ in range(walks):
        count, labels = model.walk(chance, WALK_LENGTH)
        steps += count
        if labels:
            return steps, labels
    return steps, []
