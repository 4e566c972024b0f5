"""Troubles of the dispatchers' processes: new configurations, restarts, kills, crowds of clients."""

from __future__ import annotations

import asyncio
import errno
import random
import signal
from contextlib import suppress
from typing import TYPE_CHECKING

from tests.soak.process import NAMES_PORTS

if TYPE_CHECKING:
    from tests.soak.soak import Soak

CROWD = 90


async def hangups(soak: Soak, chance: random.Random) -> None:
    """New configurations in a row; discovery may move."""
    dispatcher = chance.choice(soak.dispatchers)
    for _ in range(chance.randint(1, 4)):
        dispatcher.names_port = chance.choice(NAMES_PORTS)
        dispatcher.configure()
        dispatcher.signal(signal.SIGHUP)
        await asyncio.sleep(chance.choice((0.0, 0.01, 0.2)))


async def unreadable(soak: Soak, chance: random.Random) -> None:
    """A configuration that cannot be opened for a while."""
    dispatcher = chance.choice(soak.dispatchers)
    if dispatcher.busy:
        return
    dispatcher.faults.fail("open", chance.choice((errno.EMFILE, errno.EIO)))
    await hangups(soak, chance)
    await asyncio.sleep(chance.uniform(0.1, 2.0))
    dispatcher.faults.heal("open")


async def restart(soak: Soak, chance: random.Random) -> None:
    """One dispatcher, or all one behind another, with signals in series."""
    chosen = soak.up() if chance.random() < 0.2 else soak.up()[:1]
    for dispatcher in chosen:
        dispatcher.busy = True
    for dispatcher in chosen:
        if chance.random() < 0.3:
            dispatcher.signal(signal.SIGHUP)
        stopping = asyncio.create_task(dispatcher.stop())
        await asyncio.sleep(chance.choice((0.0, 0.05, 0.3)))
        dispatcher.signal(chance.choice((signal.SIGHUP, signal.SIGTERM, 0)))
        await stopping
        await asyncio.sleep(chance.uniform(0.0, 0.3))
        await dispatcher.start()


async def killed(soak: Soak, chance: random.Random) -> None:
    """One dispatcher, without notice."""
    if up := soak.up():
        dispatcher = chance.choice(up)
        dispatcher.kill(planned=False)
        await asyncio.sleep(chance.uniform(0.0, 0.5))
        await dispatcher.start()


async def all_killed(soak: Soak, chance: random.Random) -> None:
    """All at once, without notice; a server may drain while they are down."""
    up = soak.up()
    for dispatcher in up:
        dispatcher.kill(planned=False)
    await asyncio.sleep(1.0)
    await asyncio.gather(*(dispatcher.start() for dispatcher in up))


async def crowd(soak: Soak, chance: random.Random) -> None:
    """Idle connections fill one dispatcher's descriptors."""
    dispatcher = chance.choice(soak.dispatchers)
    crowd = []
    for _ in range(CROWD):
        with suppress(OSError, TimeoutError):
            opening = asyncio.open_connection(*dispatcher.door.address)
            crowd.append((await asyncio.wait_for(opening, 0.5))[1])
    await asyncio.sleep(1.0)
    for writer in crowd:
        writer.transport.abort()
