"""Model of the share of a cold engine's budget that each dispatcher may use, with the production class."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import product
from typing import Any, NamedTuple

from ..vrrp.budget_shares import BudgetShares, Loan
from .model_check import CheckResult, check, replace_at

STEP, WINDOW, LEASE = 100.0, 300.0, 200.0  # ms
OLDEST = -300.0  # ms: a datagram or an echo this old has no effect any more


class LoanState(NamedTuple):
    """A share borrowed from a peer. Times are relative to now."""

    peer: str
    share: float
    since: float
    until: float


class SharesState(NamedTuple):
    """A snapshot of BudgetShares, with times relative to now; `lent`: borrowers and ends of their loans."""

    own_usable_from: float
    borrowing_from: float
    last_use: float
    lent: tuple[tuple[str, float], ...]
    loans: tuple[LoanState, ...]


class Echo(NamedTuple):
    """The last start (`boot`) heard of a peer, and when that peer sent its last datagram."""

    boot: int
    sent: float


class Message(NamedTuple):
    """A datagram in flight. Times are relative to now."""

    sender: int
    target: int
    boot: int
    echo: Echo | None
    share: float
    wait: float
    remaining: float
    sent: float


class Usage(NamedTuple):
    """The largest share that one start of a dispatcher has used at one moment, and how long ago."""

    dispatcher: int
    boot: int
    age: float
    share: float


class BudgetState(NamedTuple):
    """All dispatchers, the datagrams between them, and the usage in the last window.

    Attributes:
        all_shares: A snapshot of each dispatcher's budget shares.
        boots: The number of each dispatcher's current start.
        heard: For each dispatcher, the last it has heard of each other one.
        flight: Datagrams in flight.
        faults: Number of restarts that may still happen.
        history: The usage in the last window.
    """

    all_shares: tuple[SharesState, ...]
    boots: tuple[int, ...]
    heard: tuple[tuple[Echo | None, ...], ...]
    flight: tuple[Message, ...]
    faults: int
    history: tuple[Usage, ...]


def without_expired(state: BudgetState) -> BudgetState:
    """Drop usage older than the window from the history."""
    return state._replace(history=tuple(sorted(row for row in state.history if row.age < WINDOW)))


def capture(shares: BudgetShares, now: float) -> SharesState:
    """Take a snapshot of a dispatcher's budget shares, with times relative to now."""
    lent = sorted((to, until - now) for to, until in shares.lent_until.items() if until + WINDOW > now)
    loans = sorted(
        LoanState(peer, loan.share, max(0.0, loan.since - now), loan.until - now)
        for peer, loan in shares.loans.items()
        if loan.until > now
    )
    return SharesState(
        max(0.0, shares.own_usable_from - now),
        max(0.0, shares.borrowing_from - now),
        max(-WINDOW, shares.last_use - now),
        tuple(lent),
        tuple(loans),
    )


class BudgetModel:
    """Dispatchers that lend each other their shares.

    Args:
        count: Number of dispatchers.
        kind: The class that is checked.
        faults: Number of restarts that may happen.
        lenders: Indexes of the dispatchers that may lend.
        max_in_flight: Maximum number of datagrams in flight.
    """

    def __init__(
        self,
        count: int,
        kind: type[BudgetShares] = BudgetShares,
        faults: int = 1,
        lenders: tuple[int, ...] = (1,),
        max_in_flight: int = 2,
    ) -> None:
        self.count, self.kind, self.faults, self.lenders, self.max_in_flight = (
            count,
            kind,
            faults,
            lenders,
            max_in_flight,
        )

    def new_shares(self) -> BudgetShares:
        """The budget shares of a dispatcher that starts at time 0."""
        return self.kind(self.count, WINDOW, LEASE, 0.0)

    def restore(self, snapshot: SharesState) -> BudgetShares:
        """Create the budget shares that a snapshot describes, at time 0."""
        shares = self.new_shares()
        shares.own_usable_from, shares.borrowing_from, shares.last_use = snapshot[:3]
        shares.lent_until = dict(snapshot.lent)
        shares.loans = {loan.peer: Loan(loan.share, loan.since, loan.until) for loan in snapshot.loans}
        return shares

    def initial(self) -> BudgetState:
        """The initial state: all dispatchers have been running for long."""
        shares = self.new_shares()
        shares.own_usable_from = shares.borrowing_from = 0.0
        shares.last_use = -WINDOW
        heard = tuple((None,) * self.count for _ in range(self.count))
        all_shares = (capture(shares, 0.0),) * self.count
        return BudgetState(all_shares, (0,) * self.count, heard, (), self.faults, ())

    def steps(self, state: BudgetState) -> Iterator[tuple[str, BudgetState]]:
        """Yield the labelled successors of a state."""
        yield "step", self.advance(state)
        yield from self.datagram_steps(state)
        for index in range(self.count):
            shares = self.restore(state.all_shares[index])
            share = shares.share(0.0)
            if share > 0:
                shares.record_use(0.0)
                yield (
                    f"{index} sends",
                    self.record_usage(self.with_shares(state, index, shares), index, share),
                )
            if state.faults:
                yield f"{index} starts anew", self.restart(state, index)

    def datagram_steps(self, state: BudgetState) -> Iterator[tuple[str, BudgetState]]:
        """Yield the successors by which a datagram is sent, lost or received."""
        for sender, target, idle in product(range(self.count), range(self.count), (True, False)):
            if (
                sender != target
                and len(state.flight) < self.max_in_flight
                and (sender in self.lenders or not idle)
            ):
                yield (
                    f"{sender} tells {target}{' idle' if idle else ''}",
                    self.send(state, sender, target, idle),
                )
        for index, message in enumerate(state.flight):
            without_it = state._replace(flight=state.flight[:index] + state.flight[index + 1 :])
            yield f"lost {message[:2]}", without_it
            yield f"taken {message[:2]}", self.receive(without_it, message)

    def advance(self, state: BudgetState) -> BudgetState:
        """The state after one time step."""
        all_shares = tuple(capture(self.restore(each), STEP) for each in state.all_shares)
        heard = tuple(
            tuple(known and Echo(known.boot, max(OLDEST, known.sent - STEP)) for known in row)
            for row in state.heard
        )
        flight = tuple(
            message._replace(sent=message.sent - STEP) for message in state.flight if message.sent > OLDEST
        )
        history = tuple(row._replace(age=row.age + STEP) for row in state.history)
        return without_expired(
            state._replace(all_shares=all_shares, heard=heard, flight=flight, history=history)
        )

    def record_usage(self, state: BudgetState, index: int, share: float) -> BudgetState:
        """Record that a dispatcher used its whole share: the rules count its own sends within a window."""
        boot = state.boots[index]
        rows = {(row.dispatcher, row.boot, row.age): row.share for row in state.history}
        rows[index, boot, 0.0] = max(share, rows.get((index, boot, 0.0), 0.0))
        return without_expired(
            state._replace(history=tuple(Usage(*row, share) for row, share in rows.items()))
        )

    def restart(self, state: BudgetState, index: int) -> BudgetState:
        """The state after a dispatcher restarts, with nothing heard of its peers."""
        after = self.with_shares(state, index, self.new_shares())
        return without_expired(
            after._replace(
                boots=replace_at(state.boots, index, state.boots[index] + 1),
                heard=replace_at(state.heard, index, (None,) * self.count),
                faults=state.faults - 1,
                history=state.history,
            )
        )

    def with_shares(self, state: BudgetState, index: int, shares: BudgetShares) -> BudgetState:
        """The state with the budget shares of one dispatcher replaced."""
        return without_expired(
            state._replace(all_shares=replace_at(state.all_shares, index, capture(shares, 0.0)))
        )

    def send(self, state: BudgetState, sender: int, target: int, idle: bool) -> BudgetState:
        """The state after a dispatcher sends a datagram to another; `idle`: it does not need its share."""
        shares = self.restore(state.all_shares[sender])
        share, wait = shares.lend(0.0, str(target), idle)
        echo, remaining = state.heard[sender][target], shares.remaining_loan(0.0, str(target))
        message = Message(sender, target, state.boots[sender], echo, share, wait, remaining, 0.0)
        after = self.with_shares(state, sender, shares)
        return after._replace(flight=tuple(sorted((*state.flight, message), key=repr)))

    def receive(self, state: BudgetState, message: Message) -> BudgetState:
        """The state after a datagram is received.

        As in sealed.Session, datagrams of an earlier start of the sender are ignored, and a loan counts only
        in reply to a datagram of the receiver's current start.
        """
        sender, target, boot, echo, share, wait, remaining, sent = message
        known = state.heard[target][sender]
        if known is not None and known.boot > boot:
            return state
        row = replace_at(state.heard[target], sender, Echo(boot, sent))
        after = state._replace(heard=replace_at(state.heard, target, row))
        if echo is None or echo.boot != state.boots[target]:
            return after
        shares = self.restore(state.all_shares[target])
        shares.borrow(0.0, str(sender), share, wait, echo.sent + sent)
        if self.count == 2:
            shares.remaining_reported(0.0, {str(sender): remaining}, 1)
        return self.with_shares(after, target, shares)

    @staticmethod
    def total_usage(state: dict[str, Any]) -> float:
        """The usage of all dispatchers in the last window, as a fraction of the budget."""
        largest: dict[tuple[int, int], float] = {}
        for index, boot, age, share in state["history"]:
            if age < WINDOW:
                largest[index, boot] = max(share, largest.get((index, boot), 0.0))
        return sum(largest.values())

    def check(self, name: str, max_states: int) -> CheckResult:
        """Check the invariant over at most `max_states` states."""
        invariants = {"parts come to one at most": lambda state: self.total_usage(state) <= 1.0 + 1e-9}
        return check(name, BudgetState._fields, self.initial(), self.steps, invariants, max_states)


def check_budget(
    name: str,
    count: int,
    kind: type[BudgetShares],
    faults: int,
    lenders: tuple[int, ...],
    max_in_flight: int,
    max_states: int,
) -> CheckResult:
    """Run one check of BudgetModel with these arguments."""
    return BudgetModel(count, kind, faults, lenders, max_in_flight).check(name, max_states)


# Planted faults of the budget shares: the checks must find each of them.


class UsesLentShare(BudgetShares):
    """Planted fault: a lender goes on using the share it has lent, which doubles the budget."""

    def share(self, now: float) -> float:
        """See the base class."""
        return self.own + sum(loan.share for loan in self.loans.values() if loan.since <= now < loan.until)


class NoWaitAfterLoan(BudgetShares):
    """Planted fault: a lender uses its share again as soon as the loan ends, within the borrower's window."""

    def share(self, now: float) -> float:
        """See the base class."""
        own = 0.0 if self.is_lent(now) or now < self.own_usable_from else self.own
        return own + sum(loan.share for loan in self.loans.values() if loan.since <= now < loan.until)


class UsesShareAtStart(BudgetShares):
    """Planted fault: a dispatcher uses its own share immediately after a restart."""

    def __init__(self, dispatchers: int, window: float, lease: float, now: float) -> None:
        super().__init__(dispatchers, window, lease, now)
        self.own_usable_from = now


class BorrowsAtStart(BudgetShares):
    """Planted fault: a restarted dispatcher borrows while the sends of its earlier start still count.

    An earlier version of BudgetShares had this fault.
    """

    def __init__(self, dispatchers: int, window: float, lease: float, now: float) -> None:
        super().__init__(dispatchers, window, lease, now)
        self.borrowing_from = now


class LoanFromArrival(BudgetShares):
    """Planted fault: a borrower counts the lease from the arrival of the datagram."""

    def borrow(self, now: float, peer: str, share: float, wait: float, asked: float) -> None:
        """See the base class."""
        super().borrow(now, peer, share, wait, now)
