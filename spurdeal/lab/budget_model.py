"""The model of which share of a cold engine's budget each dispatcher may use: tenures as they run."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import product
from typing import Any, NamedTuple

from ..vrrp.tenure import BudgetShares, Loan
from .model_check import Found, check, replaced

STEP, WINDOW, LEASE = 100.0, 300.0, 200.0  # ms
OLD = -300.0  # ms: a datagram, or an echo in one, so old changes nothing any more


class LoanState(NamedTuple):
    """What one has borrowed from a peer. Moments are relative to now."""

    peer: str
    part: float
    since: float
    until: float


class TenureState(NamedTuple):
    """A tenure, with moments relative to now. lent: to whom, and until when."""

    own_usable_from: float
    borrowing_from: float
    last_use: float
    lent: tuple[tuple[str, float], ...]
    loans: tuple[LoanState, ...]


class Echo(NamedTuple):
    """The last start of a peer that was heard, and when what it said was sent."""

    boot: int
    sent: float


class Message(NamedTuple):
    """A datagram in flight. Moments are relative to now."""

    sender: int
    target: int
    boot: int
    echo: Echo | None
    part: float
    wait: float
    left: float
    sent: float


class Usage(NamedTuple):
    """The most that one start has used at once, and how long ago."""

    place: int
    boot: int
    age: float
    part: float


class BudgetState(NamedTuple):
    """All dispatchers, datagrams between them, and what was used in the last window.

    Attributes:
        heard: For each dispatcher, what it has heard of each.
        faults: How many may still happen.
    """

    tenures: tuple[TenureState, ...]
    boots: tuple[int, ...]
    heard: tuple[tuple[Echo | None, ...], ...]
    flight: tuple[Message, ...]
    faults: int
    history: tuple[Usage, ...]


def without_old(state: BudgetState) -> BudgetState:
    """What is older than a window leaves the history."""
    return state._replace(history=tuple(sorted(row for row in state.history if row.age < WINDOW)))


def frozen(tenure: BudgetShares, now: float) -> TenureState:
    """A tenure's state, relative to now."""
    lent = sorted((to, until - now) for to, until in tenure.lent_until.items() if until + WINDOW > now)
    loans = sorted(
        LoanState(peer, loan.share, max(0.0, loan.since - now), loan.until - now)
        for peer, loan in tenure.loans.items()
        if loan.until > now
    )
    return TenureState(
        max(0.0, tenure.own_usable_from - now),
        max(0.0, tenure.borrowing_from - now),
        max(-WINDOW, tenure.last_use - now),
        tuple(lent),
        tuple(loans),
    )


class BudgetModel:
    """Dispatchers that lend each other their shares.

    Args:
        kind: The tenure that is checked.
        faults: How many new starts there may be.
        lenders: Who may lend.
        flying: Datagrams in flight at once, at most.
    """

    def __init__(
        self,
        count: int,
        kind: type[BudgetShares] = BudgetShares,
        faults: int = 1,
        lenders: tuple[int, ...] = (1,),
        flying: int = 2,
    ) -> None:
        self.count, self.kind, self.faults, self.lenders, self.flying = count, kind, faults, lenders, flying

    def fresh(self) -> BudgetShares:
        """A new start's tenure, at time 0."""
        return self.kind(self.count, WINDOW, LEASE, 0.0)

    def thawed(self, snapshot: TenureState) -> BudgetShares:
        """The tenure of that state, at time 0."""
        tenure = self.fresh()
        tenure.own_usable_from, tenure.borrowing_from, tenure.last_use = snapshot[:3]
        tenure.lent_until = dict(snapshot.lent)
        tenure.loans = {loan.peer: Loan(loan.part, loan.since, loan.until) for loan in snapshot.loans}
        return tenure

    def initial(self) -> BudgetState:
        """All have run for long."""
        tenure = self.fresh()
        tenure.own_usable_from = tenure.borrowing_from = 0.0
        tenure.last_use = -WINDOW
        heard = tuple((None,) * self.count for _ in range(self.count))
        tenures = (frozen(tenure, 0.0),) * self.count
        return BudgetState(tenures, (0,) * self.count, heard, (), self.faults, ())

    def steps(self, state: BudgetState) -> Iterator[tuple[str, BudgetState]]:
        """All that can happen next."""
        yield "step", self.after_time(state)
        yield from self.datagrams(state)
        for place in range(self.count):
            tenure = self.thawed(state.tenures[place])
            part = tenure.share(0.0)
            if part > 0:
                tenure.record_use(0.0)
                yield f"{place} sends", self.used(self.with_tenure(state, place, tenure), place, part)
            if state.faults:
                yield f"{place} starts anew", self.started_anew(state, place)

    def datagrams(self, state: BudgetState) -> Iterator[tuple[str, BudgetState]]:
        """One is sent, lost or taken."""
        for one, two, idle in product(range(self.count), range(self.count), (True, False)):
            if one != two and len(state.flight) < self.flying and (one in self.lenders or not idle):
                yield f"{one} tells {two}{' idle' if idle else ''}", self.sent(state, one, two, idle)
        for place, message in enumerate(state.flight):
            rest = state._replace(flight=state.flight[:place] + state.flight[place + 1 :])
            yield f"lost {message[:2]}", rest
            yield f"taken {message[:2]}", self.taken(rest, message)

    def after_time(self, state: BudgetState) -> BudgetState:
        """The state a step of time on."""
        tenures = tuple(frozen(self.thawed(each), STEP) for each in state.tenures)
        heard = tuple(
            tuple(known and Echo(known.boot, max(OLD, known.sent - STEP)) for known in row)
            for row in state.heard
        )
        flight = tuple(
            message._replace(sent=message.sent - STEP) for message in state.flight if message.sent > OLD
        )
        history = tuple(row._replace(age=row.age + STEP) for row in state.history)
        return without_old(state._replace(tenures=tenures, heard=heard, flight=flight, history=history))

    def used(self, state: BudgetState, place: int, part: float) -> BudgetState:
        """It has sent all that its part allows in a window: the rules count its own sends."""
        boot = state.boots[place]
        rows = {(row.place, row.boot, row.age): row.part for row in state.history}
        rows[place, boot, 0.0] = max(part, rows.get((place, boot, 0.0), 0.0))
        return without_old(state._replace(history=tuple(Usage(*row, most) for row, most in rows.items())))

    def started_anew(self, state: BudgetState, place: int) -> BudgetState:
        """A new start of one: it has heard nobody."""
        after = self.with_tenure(state, place, self.fresh())
        return without_old(
            after._replace(
                boots=replaced(state.boots, place, state.boots[place] + 1),
                heard=replaced(state.heard, place, (None,) * self.count),
                faults=state.faults - 1,
                history=state.history,
            )
        )

    def with_tenure(self, state: BudgetState, place: int, tenure: BudgetShares) -> BudgetState:
        """The state with another tenure of one dispatcher."""
        return without_old(state._replace(tenures=replaced(state.tenures, place, frozen(tenure, 0.0))))

    def sent(self, state: BudgetState, one: int, two: int, idle: bool) -> BudgetState:
        """One tells another; idle: it has no use for its share."""
        tenure = self.thawed(state.tenures[one])
        part, wait = tenure.lend(0.0, str(two), idle)
        echo, left = state.heard[one][two], tenure.remaining_loan(0.0, str(two))
        message = Message(one, two, state.boots[one], echo, part, wait, left, 0.0)
        after = self.with_tenure(state, one, tenure)
        return after._replace(flight=tuple(sorted((*state.flight, message), key=repr)))

    def taken(self, state: BudgetState, message: Message) -> BudgetState:
        """As sealed.Session lets it in: no earlier start, and loans only in answer to what this start
        said."""
        one, two, boot, echo, part, wait, left, sent = message
        known = state.heard[two][one]
        if known is not None and known.boot > boot:
            return state
        row = replaced(state.heard[two], one, Echo(boot, sent))
        after = state._replace(heard=replaced(state.heard, two, row))
        if echo is None or echo.boot != state.boots[two]:
            return after
        tenure = self.thawed(state.tenures[two])
        tenure.borrow(0.0, str(one), part, wait, echo.sent + sent)
        if self.count == 2:
            tenure.remaining_reported(0.0, {str(one): left}, 1)
        return self.with_tenure(after, two, tenure)

    @staticmethod
    def together(state: dict[str, Any]) -> float:
        """What all have used in the last window, as a share of the budget."""
        most: dict[tuple[int, int], float] = {}
        for place, boot, age, part in state["history"]:
            if age < WINDOW:
                most[place, boot] = max(part, most.get((place, boot), 0.0))
        return sum(most.values())

    def check(self, name: str, most: int) -> Found:
        """Search up to so many states."""
        invariants = {"parts come to one at most": lambda state: self.together(state) <= 1.0 + 1e-9}
        return check(name, BudgetState._fields, self.initial(), self.steps, invariants, most)


def check_budget(
    name: str,
    count: int,
    kind: type[BudgetShares],
    faults: int,
    lenders: tuple[int, ...],
    flying: int,
    most: int,
) -> Found:
    """One check of the budget's shares, as BudgetModel describes it."""
    return BudgetModel(count, kind, faults, lenders, flying).check(name, most)


# Faults planted in the tenure: each must be found.


class LendsAndUses(BudgetShares):
    """What was lent is used on: the budget is doubled."""

    def share(self, now: float) -> float:
        return self.own + sum(loan.share for loan in self.loans.values() if loan.since <= now < loan.until)


class NoRest(BudgetShares):
    """A part is used again as soon as the loan ends, within the borrower's window."""

    def share(self, now: float) -> float:
        own = 0.0 if self.is_lent(now) or now < self.own_usable_from else self.own
        return own + sum(loan.share for loan in self.loans.values() if loan.since <= now < loan.until)


class ForgetsLoans(BudgetShares):
    """A new start uses its part at once."""

    def __init__(self, dispatchers: int, window: float, lease: float, now: float) -> None:
        super().__init__(dispatchers, window, lease, now)
        self.own_usable_from = now


class BorrowsAtOnce(BudgetShares):
    """A new start uses what it borrows while its earlier start's sends still count: as it was at first."""

    def __init__(self, dispatchers: int, window: float, lease: float, now: float) -> None:
        super().__init__(dispatchers, window, lease, now)
        self.borrowing_from = now


class LongLoan(BudgetShares):
    """A borrower counts the lease from the datagram's arrival."""

    def borrow(self, now: float, peer: str, share: float, wait: float, asked: float) -> None:
        super().borrow(now, peer, share, wait, now)
