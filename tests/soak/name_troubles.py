"""Troubles of the name service and of the network to it, for all dispatchers or for one."""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace
from typing import TYPE_CHECKING

from tests.soak.name_service import Condition
from tests.soak.process_troubles import hangups, killed, restart

if TYPE_CHECKING:
    from tests.soak.soak import Soak

RATES = (0.03, 0.1, 0.3)  # the share of the answers that a fault befalls
PHASE = (0.5, 3.0)  # seconds of most phases
SPOILT = ("servfail", "cut", "wrong_id")
ANY_FAULT = ("lost", *SPOILT, "old")


def whom(soak: Soak, chance: random.Random) -> frozenset[int] | None:
    """All dispatchers, or one that the others differ from."""
    one = frozenset({chance.choice(soak.dispatchers).number})
    return one if chance.random() < 0.5 else None


async def phase(soak: Soak, condition: Condition, seconds: float) -> None:
    """A condition holds for so long."""
    soak.note(f"names for {seconds:.2f} s: {condition}")
    with soak.names.under(condition):
        await asyncio.sleep(seconds)
    soak.note(f"names no longer: {condition}")


async def faulty(soak: Soak, chance: random.Random, *faults: str) -> None:
    """These faults befall a share of the answers."""
    rates = {fault: chance.choice(RATES) for fault in faults}
    condition = replace(Condition(dispatchers=whom(soak, chance)), **rates)  # type: ignore[arg-type]
    await phase(soak, condition, chance.uniform(*PHASE))


async def silent(soak: Soak, chance: random.Random) -> None:
    """Discovery is down."""
    await phase(soak, Condition(silent=True), chance.choice((0.3, 1.0, 3.0)))


async def outage(soak: Soak, chance: random.Random) -> None:
    """Discovery is down for longer than news may take."""
    await phase(soak, Condition(silent=True), chance.uniform(7.5, 10.0))


async def lossy(soak: Soak, chance: random.Random) -> None:
    """Questions and answers get lost."""
    share = chance.choice((0.1, 0.3, 0.6))
    await phase(soak, Condition(lost=share, questions_lost=share / 2), 2.0)


async def slow(soak: Soak, chance: random.Random) -> None:
    """Answers are sent late."""
    await phase(soak, Condition(held=chance.choice((0.1, 0.4))), 2.0)


async def lost(soak: Soak, chance: random.Random) -> None:
    """Answers are sent and lost."""
    await faulty(soak, chance, "lost")


async def servfail(soak: Soak, chance: random.Random) -> None:
    """Answers say that the name service has failed."""
    await faulty(soak, chance, "servfail")


async def cut_short(soak: Soak, chance: random.Random) -> None:
    """Answers are cut short."""
    await faulty(soak, chance, "cut")


async def wrong_id(soak: Soak, chance: random.Random) -> None:
    """Answers come under the id of another question."""
    await faulty(soak, chance, "wrong_id")


async def spoilt(soak: Soak, chance: random.Random) -> None:
    """Answers are spoilt in any of these ways."""
    await faulty(soak, chance, *SPOILT)


async def old(soak: Soak, chance: random.Random) -> None:
    """Answers hold an older list than others before."""
    await faulty(soak, chance, "old")


async def one_way(soak: Soak, chance: random.Random) -> None:
    """Questions arrive, and each answer is sent and lost."""
    await phase(soak, Condition(lost=1.0, dispatchers=whom(soak, chance)), chance.uniform(1.0, 3.0))


async def slow_way(soak: Soak, chance: random.Random) -> None:
    """Answers are sent at once and are on their way for long, some longer than others."""
    way = chance.choice(((0.1, 0.2), (0.1, 0.5), (0.3, 1.5)))
    await phase(soak, Condition(way=way, dispatchers=whom(soak, chance)), chance.uniform(*PHASE))


async def lag(soak: Soak, chance: random.Random) -> None:
    """Answers hold a change later than it happened, and not at the same time for each dispatcher."""
    await phase(soak, Condition(lag=1.0), chance.uniform(2.0, 5.0))


async def mixed(soak: Soak, chance: random.Random) -> None:
    """Each fault of answers befalls some, and changes are told late."""
    rates = dict.fromkeys(ANY_FAULT, chance.choice(RATES))
    condition = replace(Condition(lag=1.0, dispatchers=whom(soak, chance)), **rates)  # type: ignore[arg-type]
    await phase(soak, condition, chance.uniform(*PHASE))


async def constant(soak: Soak, chance: random.Random) -> None:
    """Each fault befalls 3% of the answers for long, as a staging run was seen to do."""
    rates = dict.fromkeys(ANY_FAULT, RATES[0])
    await phase(soak, replace(Condition(lag=1.0), **rates), chance.uniform(5.0, 10.0))  # type: ignore[arg-type]


async def outage_then_mixed(soak: Soak, chance: random.Random) -> None:
    """An outage, and faults of answers once it is over."""
    await phase(soak, Condition(silent=True), chance.uniform(1.0, 4.0))
    await mixed(soak, chance)


async def outage_then_one_way(soak: Soak, chance: random.Random) -> None:
    """An outage, at the end of which answers are sent and lost."""
    await phase(soak, Condition(silent=True), chance.uniform(1.0, 4.0))
    condition = Condition(lost=1.0, dispatchers=whom(soak, chance))
    await phase(soak, condition, chance.uniform(0.3, 1.5))


async def outage_in_faults(soak: Soak, chance: random.Random) -> None:
    """Each fault befalls some answers for long, with an outage in it, in which dispatchers may be killed."""
    rates = dict.fromkeys(ANY_FAULT, chance.choice(RATES))
    condition = replace(Condition(lag=1.0), **rates)  # type: ignore[arg-type]
    faults = asyncio.create_task(phase(soak, condition, chance.uniform(12.0, 16.0)))
    if chance.random() < 0.5:
        await killed(soak, chance)
    await phase(soak, Condition(silent=True), chance.uniform(2.0, 4.0))
    await faults


async def restart_then_mixed(soak: Soak, chance: random.Random) -> None:
    """A dispatcher starts again while answers fail."""
    begin = chance.choice((restart, killed))
    await asyncio.gather(begin(soak, chance), mixed(soak, chance))
    await mixed(soak, chance)


async def hangup_in_mixed(soak: Soak, chance: random.Random) -> None:
    """New configurations, which may move discovery, while answers fail."""
    await asyncio.gather(mixed(soak, chance), hangups(soak, chance))
