"""Model checks of VRRP's state machine, budget shares and handover, run on the production classes themselves.

The reachable states of the first two are enumerated breadth first; times are relative to now, which keeps the
state space finite. The handover's counters grow without bound, so it is explored by seeded random schedules
instead. Every planted fault (a deliberately broken subclass) must be found, or the checks prove nothing.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from typing import Any, NamedTuple

from ..vrrp.budget_shares import BudgetShares
from ..vrrp.handover import Handover
from ..vrrp.machine import StateMachine
from .address_model import (
    AnyAdvertResetsTimer,
    IgnoresHigherPriority,
    NoSkew,
    PreemptsWithoutSync,
    check_address,
)
from .budget_model import (
    BorrowsAtStart,
    LoanFromArrival,
    NoWaitAfterLoan,
    UsesLentShare,
    UsesShareAtStart,
    check_budget,
)
from .handover_walk import AcceptsStaleReply, AdmitsBeforeSync, SendsWithoutReply, walk
from .model_check import CheckResult

QUICK_STATES, FULL_STATES, PLANTED_STATES = 20_000, 250_000, 120_000
QUICK_WALKS, FULL_WALKS, WALK_LENGTH = 400, 20_000, 120
MAX_TRACE_STEPS = 40  # of a counterexample, in the report


class Job(NamedTuple):
    """A check to run: `call` gets the name and the arguments."""

    name: str
    call: Callable[..., CheckResult]
    arguments: tuple[Any, ...]


def real_checks(quick: bool) -> list[Job]:
    """Checks of the production classes: no invariant may be violated."""
    max_states, walks, faults = (QUICK_STATES, QUICK_WALKS, 2) if quick else (FULL_STATES, FULL_WALKS, 4)
    return [
        Job(
            "address: two, loss and faults", check_address, (2, StateMachine, faults, True, True, max_states)
        ),
        Job("address: three, a crash", check_address, (3, StateMachine, 1, False, False, max_states)),
        Job("address: three, faults", check_address, (3, StateMachine, faults, False, True, max_states)),
        Job("address: three, loss and a fault", check_address, (3, StateMachine, 1, True, True, max_states)),
        Job("parts: two, one lends", check_budget, (2, BudgetShares, 0, (1,), 1, max_states)),
        Job("parts: two, one lends, a new start", check_budget, (2, BudgetShares, 1, (1,), 1, max_states)),
        Job("parts: two, both lend, a new start", check_budget, (2, BudgetShares, 1, (0, 1), 2, max_states)),
        Job("parts: three, two lend, a new start", check_budget, (3, BudgetShares, 1, (1, 2), 1, max_states)),
        Job("ahead: two, a crash", walk, (Handover, walks, WALK_LENGTH, 1)),
    ]


def planted() -> list[Job]:
    """Checks of the planted faults: each must violate an invariant."""
    max_states, walk_length = PLANTED_STATES, WALK_LENGTH
    return [
        Job("planted: no skew", check_address, (3, NoSkew, 1, False, False, max_states)),
        Job(
            "planted: preemption without list",
            check_address,
            (2, PreemptsWithoutSync, 2, False, False, max_states),
        ),
        Job("planted: never gives way", check_address, (2, IgnoresHigherPriority, 1, True, True, max_states)),
        Job("planted: a timer put off", check_address, (2, AnyAdvertResetsTimer, 1, True, True, max_states)),
        Job("planted: a budget doubled", check_budget, (2, UsesLentShare, 0, (1,), 1, max_states)),
        Job("planted: no rest between users", check_budget, (2, NoWaitAfterLoan, 0, (1,), 1, max_states)),
        Job(
            "planted: loans forgotten at a start", check_budget, (2, UsesShareAtStart, 1, (1,), 1, max_states)
        ),
        Job(
            "planted: a new start borrows at once", check_budget, (2, BorrowsAtStart, 1, (1,), 1, max_states)
        ),
        Job(
            "planted: a loan counted from its arrival",
            check_budget,
            (2, LoanFromArrival, 0, (1,), 1, max_states),
        ),
        Job("planted: sent without the peer's word", walk, (SendsWithoutReply, 400, walk_length, 1)),
        Job("planted: an old word counts", walk, (AcceptsStaleReply, 4000, walk_length, 1)),
        Job("planted: open before the marks are read", walk, (AdmitsBeforeSync, 400, walk_length, 1)),
    ]


def run_checks(jobs: list[Job]) -> list[CheckResult]:
    """Run each check in its own process, as many at a time as there are cores."""
    with ProcessPoolExecutor() as pool:
        running = [pool.submit(job.call, job.name, *job.arguments) for job in jobs]
        return [each.result() for each in running]


def figures(quick: bool, say: Callable[[str], None] = lambda _: None) -> dict[str, Any]:
    """Run all checks and return states, violations, planted faults found and each check, ready for JSON."""
    began = time.monotonic()
    jobs, planted_jobs = real_checks(quick), planted()
    found = run_checks(jobs + planted_jobs)
    real_results, planted_results = found[: len(jobs)], found[len(jobs) :]
    return {
        "states": sum(each.states for each in real_results),
        "violations": sum(len(each.violated) for each in real_results),
        "planted": len(planted_jobs),
        "planted_found": sum(bool(each.violated) for each in planted_results),
        "seconds": round(time.monotonic() - began, 1),
        "checks": [check_figures(each) for each in found],
    }


def check_figures(found: CheckResult) -> dict[str, Any]:
    """One check's result, ready for JSON."""
    return {
        "name": found.name,
        "states": found.states,
        "whole": found.exhaustive,
        "depth": found.depth,
        "violated": list(found.violated),
        "trace": list(found.trace[:MAX_TRACE_STEPS]),
    }
