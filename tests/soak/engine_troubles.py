"""Fault injection for engines: they drain and leave, hang, or reset their connections."""

from __future__ import annotations

import asyncio
import random
from time import monotonic
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tests.soak.soak import Soak

MIN_READY = 2


async def drain(soak: Soak, rng: random.Random) -> None:
    """An engine drains, then leaves the list; another joins."""
    ready = [endpoint for endpoint in soak.names.endpoints if not endpoint.draining]
    if len(ready) <= MIN_READY:
        return
    chosen = rng.choice(ready)
    if rng.random() < 0.7:
        soak.names.change(
            [
                endpoint._replace(draining=endpoint.draining or endpoint is chosen)
                for endpoint in soak.names.endpoints
            ],
            chosen.ident,
        )
        await asyncio.sleep(rng.uniform(0.5, 3.0))
    soak.names.change(
        [endpoint for endpoint in soak.names.endpoints if endpoint.ident != chosen.ident], chosen.ident
    )
    await asyncio.sleep(rng.uniform(1.0, 3.0))
    if rng.random() < 0.5:
        soak.engines[chosen.ident].stop()
    await soak.add_engine()


async def hang(soak: Soak, rng: random.Random) -> None:
    """One or two engines answer nothing for a while."""
    for engine in rng.sample(list(soak.engines.values()), rng.randint(1, 2)):
        engine.hung_until = monotonic() + rng.uniform(0.2, 2.0)


async def reset(soak: Soak, rng: random.Random) -> None:
    """An engine resets its connections."""
    rng.choice(list(soak.engines.values())).reset()
