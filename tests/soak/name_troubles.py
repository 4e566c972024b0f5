"""Fault injection for the name service and the network to it, for all dispatchers or for one."""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace
from typing import TYPE_CHECKING

from tests.soak.name_service import Condition
from tests.soak.process_troubles import hangups, kill_one, restart

if TYPE_CHECKING:
    from tests.soak.soak import Soak

RATES = (0.03, 0.1, 0.3)  # share of the answers that have a fault
PHASE_SECONDS = (0.5, 3.0)  # seconds that most conditions last
SPOILT = ("servfail", "cut", "wrong_id")
ANY_FAULT = ("lost", *SPOILT, "old")


def choose_dispatchers(soak: Soak, rng: random.Random) -> frozenset[int] | None:
    """All dispatchers (None), or a single one."""
    one = frozenset({rng.choice(soak.dispatchers).number})
    return one if rng.random() < 0.5 else None


async def hold_condition(soak: Soak, condition: Condition, seconds: float) -> None:
    """Keep a condition active for so long."""
    soak.note(f"names for {seconds:.2f} s: {condition}")
    with soak.names.active(condition):
        await asyncio.sleep(seconds)
    soak.note(f"names no longer: {condition}")


async def fail_answers(soak: Soak, rng: random.Random, *faults: str) -> None:
    """Inject these faults into a share of the answers."""
    rates = {fault: rng.choice(RATES) for fault in faults}
    condition = replace(Condition(dispatchers=choose_dispatchers(soak, rng)), **rates)  # type: ignore[arg-type]
    await hold_condition(soak, condition, rng.uniform(*PHASE_SECONDS))


async def silent(soak: Soak, rng: random.Random) -> None:
    """The name service answers nothing."""
    await hold_condition(soak, Condition(silent=True), rng.choice((0.3, 1.0, 3.0)))


async def outage(soak: Soak, rng: random.Random) -> None:
    """The name service answers nothing for longer than a change may take to propagate."""
    await hold_condition(soak, Condition(silent=True), rng.uniform(7.5, 10.0))


async def lossy(soak: Soak, rng: random.Random) -> None:
    """Queries and answers are lost."""
    share = rng.choice((0.1, 0.3, 0.6))
    await hold_condition(soak, Condition(lost=share, questions_lost=share / 2), 2.0)


async def slow(soak: Soak, rng: random.Random) -> None:
    """Answers are sent late."""
    await hold_condition(soak, Condition(held=rng.choice((0.1, 0.4))), 2.0)


async def lost(soak: Soak, rng: random.Random) -> None:
    """A share of the answers is lost."""
    await fail_answers(soak, rng, "lost")


async def servfail(soak: Soak, rng: random.Random) -> None:
    """A share of the answers is SERVFAIL."""
    await fail_answers(soak, rng, "servfail")


async def cut_short(soak: Soak, rng: random.Random) -> None:
    """A share of the answers is truncated."""
    await fail_answers(soak, rng, "cut")


async def wrong_id(soak: Soak, rng: random.Random) -> None:
    """A share of the answers has the id of another query."""
    await fail_answers(soak, rng, "wrong_id")


async def spoilt(soak: Soak, rng: random.Random) -> None:
    """Answers are corrupt in any of these ways."""
    await fail_answers(soak, rng, *SPOILT)


async def old(soak: Soak, rng: random.Random) -> None:
    """A share of the answers holds an older list than earlier answers."""
    await fail_answers(soak, rng, "old")


async def one_way(soak: Soak, rng: random.Random) -> None:
    """Queries arrive, and every answer is lost."""
    await hold_condition(
        soak, Condition(lost=1.0, dispatchers=choose_dispatchers(soak, rng)), rng.uniform(1.0, 3.0)
    )


async def slow_way(soak: Soak, rng: random.Random) -> None:
    """The network delays answers, some more than others."""
    way = rng.choice(((0.1, 0.2), (0.1, 0.5), (0.3, 1.5)))
    await hold_condition(
        soak, Condition(way=way, dispatchers=choose_dispatchers(soak, rng)), rng.uniform(*PHASE_SECONDS)
    )


async def lag(soak: Soak, rng: random.Random) -> None:
    """Answers hold a change some time after it was made, at a different time for each dispatcher."""
    await hold_condition(soak, Condition(lag=1.0), rng.uniform(2.0, 5.0))


async def mixed(soak: Soak, rng: random.Random) -> None:
    """Some answers have each kind of fault, and changes propagate late."""
    rates = dict.fromkeys(ANY_FAULT, rng.choice(RATES))
    condition = replace(Condition(lag=1.0, dispatchers=choose_dispatchers(soak, rng)), **rates)  # type: ignore[arg-type]
    await hold_condition(soak, condition, rng.uniform(*PHASE_SECONDS))


async def constant(soak: Soak, rng: random.Random) -> None:
    """Each kind of fault hits 3% of the answers for long, as was observed in a staging run."""
    rates = dict.fromkeys(ANY_FAULT, RATES[0])
    await hold_condition(soak, replace(Condition(lag=1.0), **rates), rng.uniform(5.0, 10.0))  # type: ignore[arg-type]


async def outage_then_mixed(soak: Soak, rng: random.Random) -> None:
    """An outage, followed by faults of answers."""
    await hold_condition(soak, Condition(silent=True), rng.uniform(1.0, 4.0))
    await mixed(soak, rng)


async def outage_then_one_way(soak: Soak, rng: random.Random) -> None:
    """An outage, followed by a period in which every answer is lost."""
    await hold_condition(soak, Condition(silent=True), rng.uniform(1.0, 4.0))
    condition = Condition(lost=1.0, dispatchers=choose_dispatchers(soak, rng))
    await hold_condition(soak, condition, rng.uniform(0.3, 1.5))


async def outage_in_faults(soak: Soak, rng: random.Random) -> None:
    """Long faults of answers, with an outage meanwhile; a dispatcher may be killed just before it."""
    rates = dict.fromkeys(ANY_FAULT, rng.choice(RATES))
    condition = replace(Condition(lag=1.0), **rates)  # type: ignore[arg-type]
    faults = asyncio.create_task(hold_condition(soak, condition, rng.uniform(12.0, 16.0)))
    if rng.random() < 0.5:
        await kill_one(soak, rng)
    await hold_condition(soak, Condition(silent=True), rng.uniform(2.0, 4.0))
    await faults


async def restart_then_mixed(soak: Soak, rng: random.Random) -> None:
    """A dispatcher restarts while answers have faults."""
    restart_or_kill = rng.choice((restart, kill_one))
    await asyncio.gather(restart_or_kill(soak, rng), mixed(soak, rng))
    await mixed(soak, rng)


async def hangup_in_mixed(soak: Soak, rng: random.Random) -> None:
    """New configurations, which may move the name service, while answers have faults."""
    await asyncio.gather(mixed(soak, rng), hangups(soak, rng))
