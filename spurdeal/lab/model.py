"""Model checks of VRRP's state machine, tenure and handover: the very classes that run, not a copy of them.

Each reachable state of the first two is enumerated breadth first, with relative times, so that the space is
finite. Handover's numbers only grow, so the third is walked by seeded schedules. Faults planted in subclasses
must each be found, or the checks are worth nothing."""

from __future__ import annotations

import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from typing import Any, NamedTuple

from ..vrrp.handover import Handover
from ..vrrp.machine import StateMachine
from ..vrrp.tenure import BudgetShares
from .address_model import DeafTimer, NeverGivesWay, NoBar, NoSkew, check_address
from .budget_model import BorrowsAtOnce, ForgetsLoans, LendsAndUses, LongLoan, NoRest, check_budget
from .handover_walk import OldWord, OpensUnread, SendsAtOnce, walk
from .model_check import Found

QUICK_STATES, FULL_STATES, PLANTED_STATES = 20_000, 250_000, 120_000
QUICK_WALKS, FULL_WALKS, WALK_LENGTH = 400, 20_000, 120
TRACE_SHOWN = 40  # steps


class Job(NamedTuple):
    """A check: what is called with its name and the arguments."""

    name: str
    call: Callable[..., Found]
    arguments: tuple[Any, ...]


def real_checks(quick: bool) -> list[Job]:
    """What runs in service: nothing may be violated."""
    most, walks, faults = (QUICK_STATES, QUICK_WALKS, 2) if quick else (FULL_STATES, FULL_WALKS, 4)
    return [
        Job("address: two, loss and faults", check_address, (2, StateMachine, faults, True, True, most)),
        Job("address: three, a crash", check_address, (3, StateMachine, 1, False, False, most)),
        Job("address: three, faults", check_address, (3, StateMachine, faults, False, True, most)),
        Job("address: three, loss and a fault", check_address, (3, StateMachine, 1, True, True, most)),
        Job("parts: two, one lends", check_budget, (2, BudgetShares, 0, (1,), 1, most)),
        Job("parts: two, one lends, a new start", check_budget, (2, BudgetShares, 1, (1,), 1, most)),
        Job("parts: two, both lend, a new start", check_budget, (2, BudgetShares, 1, (0, 1), 2, most)),
        Job("parts: three, two lend, a new start", check_budget, (3, BudgetShares, 1, (1, 2), 1, most)),
        Job("ahead: two, a crash", walk, (Handover, walks, WALK_LENGTH, 1)),
    ]


def planted() -> list[Job]:
    """Each must be violated."""
    most, length = PLANTED_STATES, WALK_LENGTH
    return [
        Job("planted: no skew", check_address, (3, NoSkew, 1, False, False, most)),
        Job("planted: preemption without list", check_address, (2, NoBar, 2, False, False, most)),
        Job("planted: never gives way", check_address, (2, NeverGivesWay, 1, True, True, most)),
        Job("planted: a timer put off", check_address, (2, DeafTimer, 1, True, True, most)),
        Job("planted: a budget doubled", check_budget, (2, LendsAndUses, 0, (1,), 1, most)),
        Job("planted: no rest between users", check_budget, (2, NoRest, 0, (1,), 1, most)),
        Job("planted: loans forgotten at a start", check_budget, (2, ForgetsLoans, 1, (1,), 1, most)),
        Job("planted: a new start borrows at once", check_budget, (2, BorrowsAtOnce, 1, (1,), 1, most)),
        Job("planted: a loan counted from its arrival", check_budget, (2, LongLoan, 0, (1,), 1, most)),
        Job("planted: sent without the peer's word", walk, (SendsAtOnce, 400, length, 1)),
        Job("planted: an old word counts", walk, (OldWord, 4000, length, 1)),
        Job("planted: open before the marks are read", walk, (OpensUnread, 400, length, 1)),
    ]


def carry_out(jobs: list[Job]) -> list[Found]:
    """Each in a process of its own, as many at once as there are cores."""
    with ProcessPoolExecutor() as pool:
        running = [pool.submit(job.call, job.name, *job.arguments) for job in jobs]
        return [each.result() for each in running]


def figures(quick: bool, say: Callable[[str], None] = lambda _: None) -> dict[str, Any]:
    """States, violations and planted faults found, each check by name; ready for JSON."""
    began = time.monotonic()
    jobs, broken = real_checks(quick), planted()
    found = carry_out(jobs + broken)
    real, spoilt = found[: len(jobs)], found[len(jobs) :]
    return {
        "states": sum(each.states for each in real),
        "violations": sum(len(each.violated) for each in real),
        "planted": len(broken),
        "planted_found": sum(bool(each.violated) for each in spoilt),
        "seconds": round(time.monotonic() - began, 1),
        "checks": [check_figures(each) for each in found],
    }


def check_figures(found: Found) -> dict[str, Any]:
    """One check, ready for JSON."""
    return {
        "name": found.name,
        "states": found.states,
        "whole": found.whole,
        "depth": found.depth,
        "violated": list(found.violated),
        "trace": list(found.trace[:TRACE_SHOWN]),
    }
