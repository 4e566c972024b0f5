"""Fault injection for dispatcher processes: new configurations, restarts, kills, connection floods."""

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

FLOOD_CONNECTIONS = 90


async def hangups(soak: Soak, rng: random.Random) -> None:
    """Several new configurations in a row; the name service may move."""
    dispatcher = rng.choice(soak.dispatchers)
    for _ in range(rng.randint(1, 4)):
        dispatcher.names_port = rng.choice(NAMES_PORTS)
        dispatcher.configure()
        dispatcher.signal(signal.SIGHUP)
        await asyncio.sleep(rng.choice((0.0, 0.01, 0.2)))


async def unreadable(soak: Soak, rng: random.Random) -> None:
    """The configuration file cannot be opened for a while."""
    dispatcher = rng.choice(soak.dispatchers)
    if dispatcher.unavailable:
        return
    dispatcher.faults.fail("open", rng.choice((errno.EMFILE, errno.EIO)))
    await hangups(soak, rng)
    await asyncio.sleep(rng.uniform(0.1, 2.0))
    dispatcher.faults.clear("open")


async def restart(soak: Soak, rng: random.Random) -> None:
    """Restart one dispatcher, or all in sequence, with further signals during the shutdown."""
    chosen = soak.up() if rng.random() < 0.2 else soak.up()[:1]
    for dispatcher in chosen:
        dispatcher.unavailable = True
    for dispatcher in chosen:
        if rng.random() < 0.3:
            dispatcher.signal(signal.SIGHUP)
        stopping = asyncio.create_task(dispatcher.stop())
        await asyncio.sleep(rng.choice((0.0, 0.05, 0.3)))
        dispatcher.signal(rng.choice((signal.SIGHUP, signal.SIGTERM, 0)))
        await stopping
        await asyncio.sleep(rng.uniform(0.0, 0.3))
        await dispatcher.start()


async def kill_one(soak: Soak, rng: random.Random) -> None:
    """Kill one dispatcher without notice, and start it again."""
    if up := soak.up():
        dispatcher = rng.choice(up)
        dispatcher.kill(planned=False)
        await asyncio.sleep(rng.uniform(0.0, 0.5))
        await dispatcher.start()


async def kill_all(soak: Soak, rng: random.Random) -> None:
    """Kill all dispatchers at once without notice; an engine may drain while they are down."""
    up = soak.up()
    for dispatcher in up:
        dispatcher.kill(planned=False)
    await asyncio.sleep(1.0)
    await asyncio.gather(*(dispatcher.start() for dispatcher in up))


async def connection_flood(soak: Soak, rng: random.Random) -> None:
    """Idle connections fill one dispatcher's descriptors."""
    dispatcher = rng.choice(soak.dispatchers)
    connection_flood = []
    for _ in range(FLOOD_CONNECTIONS):
        with suppress(OSError, TimeoutError):
            opening = asyncio.open_connection(*dispatcher.access.address)
            connection_flood.append((await asyncio.wait_for(opening, 0.5))[1])
    await asyncio.sleep(1.0)
    for writer in connection_flood:
        writer.transport.abort()
