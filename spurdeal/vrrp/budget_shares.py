"""Loans of shares of cold engines' budgets and of the initial concurrency limit. No I/O, no clocks.

Each of N dispatchers owns a share of 1/N. An idle one needs none, so a Backup lends its share to the Active
one for a short time, again and again. Lender and borrower count the end of the loan from their own side of
the datagrams, so that no clocks are compared: the lender from when it sent the loan, the borrower from when
it sent the datagram that the loan answers, which was earlier. A budget counts over a window, so a share that
changes hands rests for one window between its users. Then in any window, whatever datagrams are lost,
repeated or delayed and whichever process is paused, the largest shares (`BudgetShares.share`) that all
dispatchers could use sum to one at most.

Times are ms of a monotonic clock that also runs while the process is paused.
"""

from __future__ import annotations

from typing import NamedTuple

RETAINED_LIMIT_SHARE = 0.125  # of its initial concurrency limit that a lender keeps, so that it is never zero
MAX_CLOCK_DRIFT = 0.01  # relative: clock rates differ by less; a lender waits longer by this much


class Loan(NamedTuple):
    """A share that a peer lends us, usable from `since` until `until`, in ms."""

    share: float
    since: float
    until: float


class BudgetShares:
    """Shares that one dispatcher may use.

    Args:
        dispatchers: Number of dispatchers, 1 or more.
        window: Window of the cold budgets, in ms.
        loan_duration: Longest duration of a loan, in ms (the setting `tenure.lease`).
        now: Time of the start, in ms.
    """

    def __init__(self, dispatchers: int, window: float, loan_duration: float, now: float) -> None:
        self.own, self.window, self.loan_duration = 1.0 / dispatchers, window, loan_duration
        # An earlier start of ours may have lent our share, and the borrower may use it for so long.
        self.own_usable_from = now + loan_duration * (1 + MAX_CLOCK_DRIFT) + window
        # What an earlier start of ours sent, also from borrowed shares, counts for one more window. Without
        # this, a restart could borrow the same share again and use it twice within one window.
        self.borrowing_from = now + window
        self.lent_until: dict[str, float] = {}
        self.loans: dict[str, Loan] = {}
        self.last_use = now  # last send to a cold engine; an earlier start may have sent just before this one

    # Usable shares.

    def share(self, now: float) -> float:
        """Return the usable share, 0 to 1, of all dispatchers' budget for a cold engine."""
        own = self.own if now >= self.own_usable_from and not self.is_lent(now - self.window) else 0.0
        return own + sum(loan.share for loan in self.loans.values() if loan.since <= now < loan.until)

    def initial_limit_share(self, now: float) -> float:
        """Return the usable share of the initial concurrency limit over all dispatchers.

        It is no budget over a window, so a share that changes hands does not rest.
        """
        own = self.own * (RETAINED_LIMIT_SHARE if self.is_lent(now) else 1.0)
        return own + sum(
            loan.share * (1 - RETAINED_LIMIT_SHARE)
            for loan in self.loans.values()
            if loan.since <= now < loan.until
        )

    def is_lent(self, now: float) -> bool:
        """Return whether our share is lent to any peer at that time."""
        return any(until > now for until in self.lent_until.values())

    def record_use(self, now: float) -> None:
        """Note a send to a cold engine."""
        self.last_use = now

    # Lending and borrowing, carried in the datagrams between two peers.

    def lend(self, now: float, peer: str, lendable: bool) -> tuple[float, float]:
        """Lend our share to a peer if possible.

        It is lent to one peer at a time, and only once no earlier start of ours can have lent it elsewhere.

        Args:
            now: Monotonic clock, in ms.
            peer: Name of the borrower.
            lendable: Whether our share may be lent: we hold no address or are shutting down.

        Returns:
            The share lent and the ms until it may be used; (0, 0) if none is lent.
        """
        self.lent_until = {to: until for to, until in self.lent_until.items() if until + self.window > now}
        elsewhere = any(until + self.window > now for to, until in self.lent_until.items() if to != peer)
        if not lendable or elsewhere or now < self.own_usable_from:
            return 0.0, 0.0
        self.lent_until[peer] = now + self.loan_duration * (1 + MAX_CLOCK_DRIFT)
        return self.own, max(0.0, self.last_use + self.window - now)

    def borrow(self, now: float, peer: str, share: float, wait: float, sent_at: float) -> None:
        """Accept a share that a peer lends after `wait` ms, in answer to what we sent at `sent_at` (ms)."""
        until = sent_at + self.loan_duration
        before = self.loans.get(peer)
        if share <= 0.0 or until <= now:
            return
        since = max(now + wait, self.borrowing_from)
        if before is not None and before.until > now:  # renewed: what was usable stays so
            since, until = min(since, before.since), max(until, before.until)
        self.loans[peer] = Loan(share, since, until)

    def remaining_loan(self, now: float, peer: str) -> float:
        """Return how many ms we may still use this peer's share; a restarted peer no longer knows it."""
        loan = self.loans.get(peer)
        return max(0.0, loan.until - now) if loan is not None else 0.0

    def remaining_reported(self, now: float, left: dict[str, float], peers: int) -> None:
        """Apply the ms for which each peer may still use our share, as lent by an earlier start.

        Once all `peers` have reported since our start, our share is usable after the longest of these times
        and one window; the longest counts, as only one of the peers may have borrowed it.
        """
        if len(left) == peers and now < self.own_usable_from:
            self.own_usable_from = min(
                self.own_usable_from, now + max(left.values(), default=0.0) + self.window
            )
