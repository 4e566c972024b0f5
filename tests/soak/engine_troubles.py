"""Troubles of engines: they drain and go, hang, or reset their connections."""

from __future__ import annotations

import asyncio
import random
from time import monotonic
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tests.soak.soak import Soak

LEAST_READY = 2


async def drain(soak: Soak, chance: random.Random) -> None:
    """An engine drains, then is gone; another comes."""
    ready = [endpoint for endpoint in soak.names.endpoints if not endpoint.draining]
    if len(ready) <= LEAST_READY:
        return
    chosen = chance.choice(ready)
    if chance.random() < 0.7:
        soak.names.change(
            [
                endpoint._replace(draining=endpoint.draining or endpoint is chosen)
                for endpoint in soak.names.endpoints
            ],
            chosen.ident,
        )
        await asyncio.sleep(chance.uniform(0.5, 3.0))
    soak.names.change(
        [endpoint for endpoint in soak.names.endpoints if endpoint.ident != chosen.ident], chosen.ident
    )
    await asyncio.sleep(chance.uniform(1.0, 3.0))
    if chance.random() < 0.5:
        soak.engines[chosen.ident].stop()
    await soak.add_engine()


async def hang(soak: Soak, chance: random.Random) -> None:
    """Engines answer nothing for a while."""
    for engine in chance.sample(list(soak.engines.values()), chance.randint(1, 2)):
        engine.hung_until = monotonic() + chance.uniform(0.2, 2.0)


async def reset(soak: Soak, chance: random.Random) -> None:
    """An engine resets its connections."""
    chance.choice(list(soak.engines.values())).reset()
