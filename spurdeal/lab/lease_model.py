"""Model of the lease and of the inquiry into a stopped member, run on the production classes themselves.

The state space is enumerated breadth first, with times relative to now, and explored far deeper by seeded
random schedules. A state consists of one subject, its grantors, an inquirer that wants to rely on the
subject's stop, and answers in flight, which are delivered in any order, late, or never. Grantors may consider
the subject gone at any time, lose their memory in a restart, and be replaced. A pause of the subject needs no
step of its own: the subject does nothing while time advances.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterator
from enum import StrEnum
from functools import partial
from typing import Any, NamedTuple

from ..fleet.lease import Grant, Grantor, Inquiry, Lease, StopReport, Term
from .model_check import CheckResult, check

STEP, LEASE, QUORUM_PART = 100.0, 300.0, 0.5  # ms, ms, fraction of the grantors
SUBJECT, BOOT = "d", 7
GRANTOR_SETS = (("a", "b"), ("b", "c"))
MAX_IN_FLIGHT, MAX_TERMS = 2, 3
MAX_AGE = 500.0  # ms: moments further in the past are treated alike, which keeps the state space finite
WALK_LENGTH, WALK_FAULTS, WALK_SEED = 45, 6, 5


def relative(moment: float, now: float) -> float:
    """A moment relative to now, at least -MAX_AGE; infinite values such as NEVER stay as they are."""
    return moment if math.isinf(moment) else max(-MAX_AGE, round(moment - now, 3))


class Kinds(NamedTuple):
    """The classes under check; a planted fault replaces one of them."""

    lease: type[Lease] = Lease
    grantor: type[Grantor] = Grantor
    inquiry: type[Inquiry] = Inquiry


class MoveKind(StrEnum):
    """Kind of a step."""

    TIME = "time"
    ASK = "ask"  # the subject asks a grantor for a grant
    QUERY = "query"  # the inquirer asks a grantor whether the subject has stopped
    FAULT = "fault"


TimesByName = tuple[tuple[str, float], ...]


class LeaseState(NamedTuple):
    """A snapshot of the subject's lease, with times relative to now."""

    term: Term
    grants: TimesByName
    proposed: Term | None
    proposed_grants: TimesByName
    proposal_acked_by: tuple[str, ...]
    refused_by: tuple[str, ...]
    held: bool


class GrantState(NamedTuple):
    """A snapshot of a grantor's grant to the subject, with times relative to now."""

    term: Term
    proposed: Term | None
    valid_until: float
    refused_term: int
    barred_until: float


class GrantorState(NamedTuple):
    """A snapshot of a grantor, with times relative to now."""

    refuses_until: float
    grant: GrantState | None


class InquiryState(NamedTuple):
    """A snapshot of the inquiry into the subject.

    Attributes:
        in_force: Number of the term in force.
        terms: The terms that may be in force.
        reports: For each grantor, its name, when its grants expire, and until when its report is valid.
    """

    in_force: int
    terms: tuple[Term, ...]
    reports: tuple[tuple[str, float, float], ...]


class Answer(NamedTuple):
    """A grantor's answer in flight, to a request sent at `asked`."""

    kind: MoveKind
    grantor: str
    asked: float
    content: tuple[Any, ...]

    def order(self) -> str:
        """Sort key that makes states equal whose answers in flight differ only in their order."""
        return str((self.kind.value, self.grantor, self.asked, *self.content))


class StopState(NamedTuple):
    """The state of the model.

    Attributes:
        lease: The subject's lease.
        grantors: The grantors, in the order of their names.
        inquiry: The inquiry into the subject.
        flight: Answers in flight.
        faults: Number of faults that may still happen.
        both: Whether the subject holds its lease while the inquirer relies on its stop: the violation.
    """

    lease: LeaseState
    grantors: tuple[GrantorState, ...]
    inquiry: InquiryState
    flight: tuple[Answer, ...]
    faults: int
    both: bool


class Components(NamedTuple):
    """The live objects of a state, at time 0."""

    lease: Lease
    grantors: dict[str, Grantor]
    inquiry: Inquiry


class Move(NamedTuple):
    """A possible step; `after` computes the state that it leads to."""

    kind: MoveKind
    label: str
    after: Callable[[], StopState]


def capture_lease(lease: Lease) -> LeaseState:
    """Take a snapshot of the lease at time 0."""
    return LeaseState(
        lease.term,
        relative_times(lease.grants),
        lease.proposed,
        relative_times(lease.proposed_grants),
        tuple(sorted(lease.proposal_acked_by)),
        tuple(sorted(lease.refused_by)),
        lease.acquired,
    )


def relative_times(times: dict[str, float]) -> TimesByName:
    """Moments by name, relative to time 0, in a canonical order."""
    return tuple(sorted((name, relative(at, 0.0)) for name, at in times.items()))


def capture_grantor(grantor: Grantor) -> GrantorState:
    """Take a snapshot of a grantor at time 0."""
    refuses_until, found = relative(grantor.refuses_until, 0.0), grantor.grants.get(SUBJECT)
    if found is None:
        return GrantorState(refuses_until, None)
    valid_until, barred_until = relative(found.valid_until, 0.0), relative(found.barred_until, 0.0)
    return GrantorState(
        refuses_until, GrantState(found.term, found.proposed, valid_until, found.refused_term, barred_until)
    )


def capture_inquiry(inquiry: Inquiry) -> InquiryState:
    """Take a snapshot of the inquiry at time 0, without reports that are no longer valid."""
    reports = sorted(
        (name, relative(ends, 0.0), relative(until, 0.0))
        for name, (ends, until) in inquiry.reports.items()
        if until > 0
    )
    return InquiryState(inquiry.in_force, tuple(sorted(inquiry.terms.values())), tuple(reports))


class Stops:
    """The model: a subject, its grantors and an inquirer that relies on the subject's stop.

    Args:
        kinds: The classes under check.
        faults: Number of faults that may happen.
    """

    def __init__(self, kinds: Kinds, faults: int) -> None:
        self.kinds, self.faults = kinds, faults
        self.names = sorted({*GRANTOR_SETS[0], *GRANTOR_SETS[1]})

    # Conversion between states and objects.

    def initial(self) -> StopState:
        """The initial state: the subject holds its lease from all grantors of the first set."""
        lease = self.kinds.lease(LEASE, QUORUM_PART)
        lease.propose(GRANTOR_SETS[0])
        grantors = {name: self.kinds.grantor(LEASE, -10 * LEASE) for name in self.names}
        for name in GRANTOR_SETS[0]:
            heard, granted = grantors[name].on_request(0.0, SUBJECT, BOOT, lease.term, lease.proposed)
            lease.on_reply(0.0, name, 0.0, heard, granted)
        inquiry = self.kinds.inquiry(SUBJECT, BOOT, QUORUM_PART, LEASE)
        inquiry.note_terms(lease.term)
        return self.capture(Components(lease, grantors, inquiry), (), self.faults)

    def capture(self, components: Components, flight: tuple[Answer, ...], faults: int) -> StopState:
        """Take a snapshot of the objects at time 0."""
        both = components.lease.holds(0.0) and components.inquiry.stopped(0.0)
        return StopState(
            capture_lease(components.lease),
            tuple(capture_grantor(components.grantors[name]) for name in self.names),
            capture_inquiry(components.inquiry),
            tuple(sorted(flight, key=Answer.order)),
            faults,
            both,
        )

    def restore(self, state: StopState, shift: float = 0.0) -> Components:
        """Create the objects that a state describes, `shift` ms later."""
        pairs = zip(self.names, state.grantors, strict=True)
        grantors = {name: self.restore_grantor(each, shift) for name, each in pairs}
        inquiry = self.kinds.inquiry(SUBJECT, BOOT, QUORUM_PART, LEASE)
        inquiry.in_force = state.inquiry.in_force
        inquiry.terms = {each.number: each for each in state.inquiry.terms}
        inquiry.reports = {name: (ends - shift, until - shift) for name, ends, until in state.inquiry.reports}
        return Components(self.restore_lease(state.lease, shift), grantors, inquiry)

    def restore_lease(self, state: LeaseState, shift: float) -> Lease:
        """Create the subject's lease from its snapshot, `shift` ms later."""
        lease = self.kinds.lease(LEASE, QUORUM_PART)
        lease.sole_member, lease.acquired = False, state.held
        lease.term, lease.proposed = state.term, state.proposed
        lease.grants = {name: at - shift for name, at in state.grants}
        lease.proposed_grants = {name: at - shift for name, at in state.proposed_grants}
        lease.proposal_acked_by, lease.refused_by = set(state.proposal_acked_by), set(state.refused_by)
        return lease

    def restore_grantor(self, state: GrantorState, shift: float) -> Grantor:
        """Create a grantor from its snapshot, `shift` ms later."""
        grantor = self.kinds.grantor(LEASE, 0.0)
        grantor.refuses_until = state.refuses_until - shift
        if state.grant is not None:
            term, proposed, valid_until, refused_term, barred_until = state.grant
            grantor.grants[SUBJECT] = Grant(
                BOOT, term, proposed, valid_until - shift, refused_term, barred_until - shift
            )
        return grantor

    # Steps.

    def steps(self, state: StopState) -> Iterator[tuple[str, StopState]]:
        """Yield the labelled successors of a state."""
        for move in self.moves(state):
            yield move.label, move.after()

    def moves(self, state: StopState) -> Iterator[Move]:
        """Yield all possible steps.

        A request is answered immediately, or its answer stays in flight for any time, or is lost.
        """
        yield Move(MoveKind.TIME, "time", partial(self.advance, state))
        yield from self.request_moves(state)
        for index, each in enumerate(state.flight):
            remaining = state.flight[:index] + state.flight[index + 1 :]
            label = f"{each.kind} {each.grantor}"
            yield Move(each.kind, f"{label} answered", partial(self.receive_answer, state, each, remaining))
            if each.asked <= -MAX_AGE:
                yield Move(each.kind, f"{label} never", partial(state._replace, flight=remaining))
        if state.faults:
            yield from self.fault_moves(state)

    def request_moves(self, state: StopState) -> Iterator[Move]:
        """Yield the requests that the subject and the inquirer may send to grantors."""
        lease, _, inquiry = self.restore(state)
        flight = state.flight
        for kind, names in (
            (MoveKind.ASK, lease.grantors_to_ask()),
            (MoveKind.QUERY, inquiry.grantors_to_ask()),
        ):
            for name in names:
                yield Move(kind, f"{kind} {name}", partial(self.ask, state, kind, name, False))
                under_way = any((each.kind, each.grantor) == (kind, name) for each in flight)
                if len(flight) < MAX_IN_FLIGHT and not under_way:
                    late = partial(self.ask, state, kind, name, True)
                    yield Move(kind, f"{kind} {name}, late", late)

    def advance(self, state: StopState) -> StopState:
        """The state after one time step."""
        flight = tuple(each._replace(asked=max(-MAX_AGE, each.asked - STEP)) for each in state.flight)
        return self.capture(self.restore(state, STEP), flight, state.faults)

    def ask(self, state: StopState, kind: MoveKind, name: str, late: bool) -> StopState:
        """The state after a grantor gets a request; with `late`, its answer stays in flight."""
        components = self.restore(state)
        content: tuple[Any, ...] | None
        if kind is MoveKind.ASK:
            content = components.grantors[name].on_request(
                0.0, SUBJECT, BOOT, components.lease.term, components.lease.proposed
            )
        else:
            content = components.grantors[name].report_stop(0.0, SUBJECT, BOOT)
        flight = state.flight
        if content is not None:
            answer = Answer(kind, name, 0.0, tuple(content))
            if late:
                flight = (*flight, answer)
            else:
                self.deliver(components, answer)
        return self.capture(components, flight, state.faults)

    def receive_answer(self, state: StopState, answer: Answer, remaining: tuple[Answer, ...]) -> StopState:
        """The state after an answer in flight arrives."""
        components = self.restore(state)
        self.deliver(components, answer)
        return self.capture(components, remaining, state.faults)

    @staticmethod
    def deliver(components: Components, answer: Answer) -> None:
        """Hand an answer to the lease or to the inquiry that asked for it."""
        if answer.kind is MoveKind.ASK:
            components.lease.on_reply(0.0, answer.grantor, answer.asked, *answer.content)
        else:
            components.inquiry.add_report(0.0, answer.asked, answer.grantor, StopReport(*answer.content))

    def fault_moves(self, state: StopState) -> Iterator[Move]:
        """Yield the faults: a grantor considers the subject gone, restarts, or is replaced."""
        fault = MoveKind.FAULT
        for name, each in zip(self.names, state.grantors, strict=True):
            if each.grant is not None:
                gone = partial(self.grantor_fails, state, name, False)
                yield Move(fault, f"{name} holds it for gone", gone)
                yield Move(fault, f"{name} restarts", partial(self.grantor_fails, state, name, True))
        lease = self.restore(state).lease
        newest = lease.proposed or lease.term
        for grantors in GRANTOR_SETS:
            if newest.number < MAX_TERMS and (newest.grantors != grantors or lease.refused_by):
                label = f"grantors {' '.join(grantors)}"
                yield Move(fault, label, partial(self.propose_grantors, state, grantors))

    def grantor_fails(self, state: StopState, name: str, restarts: bool) -> StopState:
        """The state after a grantor restarts, or refuses the subject because it considers it gone."""
        components = self.restore(state)
        if restarts:
            components.grantors[name] = self.kinds.grantor(LEASE, 0.0)
        else:
            components.grantors[name].refuse(SUBJECT, BOOT)
        return self.capture(components, state.flight, state.faults - 1)

    def propose_grantors(self, state: StopState, grantors: tuple[str, ...]) -> StopState:
        """The state after the subject proposes another set of grantors."""
        components = self.restore(state)
        components.lease.propose(grantors)
        return self.capture(components, state.flight, state.faults - 1)

    # Checks.

    def search(self, max_states: int) -> CheckResult:
        """Check the invariant breadth first over at most `max_states` states."""
        invariants = {"it acts while another relies on its stop": lambda state: not state["both"]}
        return check("stops", StopState._fields, self.initial(), self.steps, invariants, max_states)

    def walk(self, chance: random.Random, length: int) -> tuple[int, list[str]]:
        """Run one random schedule, far deeper than breadth-first search: steps, and a violation's trace."""
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
    """Run random schedules up to the first violation: the steps of all, and the trace of the violation."""
    chance, model, steps = random.Random(seed), Stops(kinds, WALK_FAULTS), 0
    for _ in range(walks):
        count, labels = model.walk(chance, WALK_LENGTH)
        steps += count
        if labels:
            return steps, labels
    return steps, []
