"""Fault injection for system calls and clocks of dispatcher processes."""

from __future__ import annotations

import asyncio
import errno
import random
from typing import TYPE_CHECKING

from tests.soak.process import Dispatcher

if TYPE_CHECKING:
    from tests.soak.soak import Soak

FAULTS: dict[str, tuple[int, ...]] = {
    "udp.socket": (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM),
    "udp.bind": (errno.EADDRINUSE, errno.ENOMEM),
    "udp.getsockname": (errno.ENOBUFS,),
    "udp.recvfrom": (errno.ENOMEM, errno.ENOBUFS, errno.EHOSTUNREACH, errno.ECONNREFUSED),
    "udp.sendto": (
        errno.ENETUNREACH,
        errno.EHOSTUNREACH,
        errno.ENOBUFS,
        errno.EPERM,
        errno.ECONNREFUSED,
        errno.EAGAIN,
    ),
    "udp.epoll_add": (errno.ENOMEM, errno.ENOSPC),
    "udp.epoll_mod": (errno.ENOMEM,),
    "udp.epoll_del": (errno.ENOMEM,),
    "tcp.socket": (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM),
    "tcp.connect": (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EAGAIN, errno.EINTR, errno.ETIMEDOUT),
    "tcp.accept": (
        errno.ECONNABORTED,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.EPROTO,
        errno.EMFILE,
        errno.EHOSTUNREACH,
    ),
    "tcp.recv": (errno.ENOMEM, errno.ENOBUFS),
    "tcp.send": (errno.ENOBUFS, errno.ENOMEM),
    "tcp.setsockopt": (errno.ENOBUFS,),
    "tcp.epoll_add": (errno.ENOMEM, errno.ENOSPC),
    "tcp.epoll_mod": (errno.ENOMEM,),
}


async def fail(soak: Soak, rng: random.Random, dispatcher: Dispatcher, call: str) -> None:
    """Make one system call fail, some times or for a while."""
    error = rng.choice(FAULTS[call])
    soak.note(f"{call} of n{dispatcher.number} fails with {errno.errorcode[error]}")
    if rng.random() < 0.5:
        dispatcher.faults.fail(call, error, rng.choice((1, 1, 2, 5, 30)))
        return
    dispatcher.faults.fail(call, error)
    await asyncio.sleep(rng.choice((0.02, 0.1, 0.3)))
    dispatcher.faults.clear(call)
    soak.note(f"{call} of n{dispatcher.number} heals")


async def failing_calls(soak: Soak, rng: random.Random) -> None:
    """Make some system calls of one dispatcher fail."""
    dispatcher = rng.choice(soak.dispatchers)
    calls = rng.sample(list(FAULTS), rng.randint(1, 3))
    await asyncio.gather(*(fail(soak, rng, dispatcher, call) for call in calls))


async def failing_discovery(soak: Soak, rng: random.Random) -> None:
    """Make system calls that discovery needs fail, also for seconds."""
    dispatcher = rng.choice(soak.dispatchers)
    calls = rng.sample([call for call in FAULTS if call.startswith("udp.")], rng.randint(1, 4))
    if rng.random() < 0.5:
        await asyncio.gather(*(fail(soak, rng, dispatcher, call) for call in calls))
        return
    for call in calls:
        error = rng.choice(FAULTS[call])
        dispatcher.faults.fail(call, error)
        soak.note(f"{call} of n{dispatcher.number} fails with {errno.errorcode[error]}")
    await asyncio.sleep(rng.choice((0.6, 1.5, 3.0)))
    dispatcher.faults.clear(*calls)
    soak.note(f"{calls} of n{dispatcher.number} heal")


async def short_calls(soak: Soak, rng: random.Random) -> None:
    """Reads and writes transfer a few bytes at a time."""
    dispatcher = rng.choice(soak.dispatchers)
    for call in ("tcp.short_recv", "tcp.short_send"):
        dispatcher.faults.fail(call, rng.randint(1, 50))
    await asyncio.sleep(rng.choice((0.1, 0.5)))
    dispatcher.faults.clear("tcp.short_recv", "tcp.short_send")


async def stepped_clock(soak: Soak, rng: random.Random) -> None:
    """Step wall clocks, once or twice."""
    for _ in range(rng.randint(1, 2)):
        step = rng.choice((-3600.0, -2.0, -0.05, 0.05, 2.0, 3600.0))
        for dispatcher in rng.sample(soak.dispatchers, rng.randint(1, len(soak.dispatchers))):
            dispatcher.clock.step_to(step)
        await asyncio.sleep(rng.uniform(0.0, 0.5))
