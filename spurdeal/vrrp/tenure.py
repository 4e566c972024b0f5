"""Which part of cold engines' budgets, and of the start of n*, a dispatcher may use. Free of I/O and clocks.

Of N dispatchers each owns 1/N. What one that does nothing owns is of no use to it, so a Backup lends it to
the Active one for a short, stated time, again and again. The loan's end is counted by each from its own side
of the datagrams that carry it, so that no clocks are compared: the lender from when it said so, the borrower
from when it had asked, which was before. A budget counts over a window, so a part that changes hands rests
for one window between its two users. Then, for any window and whatever was lost, repeated, delayed or
standing still, the greatest parts that the dispatchers could use in it come to one at most: `Tenure.part`
over all of them.

Times are ms of a monotonic clock that runs on while the process stands still.
"""

from __future__ import annotations

from typing import NamedTuple

RETAINED_START_SHARE = 0.125  # of its own start of n*, a lender keeps so much: n* is never zero
MAX_CLOCK_DRIFT = 0.01  # two clocks' rates differ by less; a borrower gives back so much earlier


class Loan(NamedTuple):
    """What a peer has lent us: its part, from when, and until when."""

    part: float
    since: float
    until: float


class BudgetShares:
    """One dispatcher's parts. window is that of the cold budgets, lease the longest that a loan runs."""

    def __init__(self, dispatchers: int, window: float, lease: float, now: float) -> None:
        self.own, self.window, self.lease = 1.0 / dispatchers, window, lease
        # What an earlier start of ours has lent is not known any more: it may be used for so long yet.
        self.own_usable_from = now + lease * (1 + MAX_CLOCK_DRIFT) + window
        # What an earlier start of ours has sent counts for a window yet, lent parts and all (the model found
        # it).
        self.borrowing_from = now + window
        self.lent_until: dict[str, float] = {}
        self.loans: dict[str, Loan] = {}
        self.last_use = now  # when a cold engine was last sent something; at a start, perhaps just before it

    # What may be used.

    def share(self, now: float) -> float:
        """Of all dispatchers' budget for a cold engine, in any window."""
        own = self.own if now >= self.own_usable_from and not self.is_lent(now - self.window) else 0.0
        return own + sum(loan.part for loan in self.loans.values() if loan.since <= now < loan.until)

    def start_share(self, now: float) -> float:
        """Of the start of n* over all dispatchers. It is no budget over a window, so nothing rests."""
        own = self.own * (RETAINED_START_SHARE if self.is_lent(now) else 1.0)
        return own + sum(
            loan.part * (1 - RETAINED_START_SHARE)
            for loan in self.loans.values()
            if loan.since <= now < loan.until
        )

    def is_lent(self, now: float) -> bool:
        """Whether our part is lent to anybody at that moment."""
        return any(until > now for until in self.lent_until.values())

    def record_use(self, now: float) -> None:
        """Something goes to a cold engine."""
        self.last_use = now

    # Lending: said in the datagrams to one peer.

    def lend(self, now: float, peer: str, idle: bool) -> tuple[float, float]:
        """What to tell this peer: the part lent, and ms until it may be used. (0, 0) lends nothing.

        idle: we hold no address, or are leaving. One part is lent to one peer at a time, and only once no
        earlier start of ours can have lent it elsewhere.
        """
        self.lent_until = {to: until for to, until in self.lent_until.items() if until + self.window > now}
        elsewhere = any(until + self.window > now for to, until in self.lent_until.items() if to != peer)
        if not idle or elsewhere or now < self.own_usable_from:
            return 0.0, 0.0
        self.lent_until[peer] = now + self.lease * (1 + MAX_CLOCK_DRIFT)
        return self.own, max(0.0, self.last_use + self.window - now)

    def borrow(self, now: float, peer: str, part: float, wait: float, asked: float) -> None:
        """The peer lends a part, after `wait` ms, in answer to what we had sent at `asked`."""
        until = asked + self.lease
        before = self.loans.get(peer)
        if part <= 0.0 or until <= now:
            return
        since = max(now + wait, self.borrowing_from)
        if before is not None and before.until > now:  # it goes on: what was usable stays so
            since, until = min(since, before.since), max(until, before.until)
        self.loans[peer] = Loan(part, since, until)

    def remaining_loan(self, now: float, peer: str) -> float:
        """How long we may yet use what this peer has lent, for its new start, which does not know; ms."""
        loan = self.loans.get(peer)
        return max(0.0, loan.until - now) if loan is not None else 0.0

    def remaining_reported(self, now: float, left: dict[str, float], peers: int) -> None:
        """What each peer says it may yet use of ours. Once all have spoken since our start, ours is known.

        The longest of them counts: one that has borrowed and one that has not both speak the truth.
        """
        if len(left) == peers and now < self.own_usable_from:
            self.own_usable_from = min(
                self.own_usable_from, now + max(left.values(), default=0.0) + self.window
            )
