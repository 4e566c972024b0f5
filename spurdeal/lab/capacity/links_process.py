"""A process of its own that holds connections to engines, started with a port and a count.

The dispatcher's own table of engines and its sweep, without clients. Prints one JSON object."""

from __future__ import annotations

import json
import os
import sys
import time
from typing import Any

from twisted.internet import reactor as installed
from twisted.internet.task import LoopingCall

from ...interface import Life
from ...net.counters import Counters
from ...net.engine_list import Endpoint
from ...net.engines import Engines
from ...net.logs import logger
from ...net.start import SWEEP_EVERY
from .measure import TRIES, process_cpu_us, require_descriptors, resident_kb
from .request_path import Silent

reactor: Any = installed
DIAL_WITHIN_MS, IDLE_AFTER_MS = 10_000.0, 600_000.0
FAR = 1e15  # ms: the attempts that open the connections never expire
DIALS_AT_ONCE, LOOK_EVERY = 64, 0.02
REST, GIVEN_UP_AFTER = 0.5, 60.0  # seconds


def clock() -> float:
    """ms, as the dispatcher's clock."""
    return time.time() * 1000


class Holder:
    """Opens one connection to each engine, then measures while they rest."""

    def __init__(self, port: int, count: int) -> None:
        self.port, self.count, self.dialled = port, count, 0
        self.engines = Engines(reactor, clock, (), Counters(), logger("links", Silent()))
        self.engines.set_limits(DIAL_WITHIN_MS, IDLE_AFTER_MS, 1, count, 0.0)
        self.before = resident_kb()
        self.cpu: list[float] = []
        self.memory = 0.0
        self.began = time.monotonic()

    def up(self) -> int:
        """Connections that are established."""
        return self.engines.counters.sums["engine_connections"]

    def open_more(self) -> None:
        """A few dials at a time, so that the listener's backlog holds them."""
        if self.up() == self.count:
            self.memory = (resident_kb() - self.before) / self.count
            LoopingCall(self.engines.sweep).start(SWEEP_EVERY)
            reactor.callLater(0, self.rest)
            return
        if time.monotonic() - self.began > GIVEN_UP_AFTER:
            reactor.stop()
            return
        for number in range(self.dialled, min(self.count, self.up() + DIALS_AT_ONCE)):
            endpoint = Endpoint(f"s-{number}", "127.0.0.1", self.port, "east", "std", 0, Life.READY, 1.0, 0.0)
            self.engines.update_engine(number, endpoint)
            # The connection comes up for an attempt that is withdrawn before its first byte.
            self.engines.send(number, b"%016x" % number, b"lookup", b"", FAR, False, lambda: None)
            self.dialled += 1
        reactor.callLater(LOOK_EVERY, self.open_more)

    def rest(self) -> None:
        """CPU a second, some times."""
        used = process_cpu_us(self.pid())
        began = time.monotonic()

        def over() -> None:
            self.cpu.append((process_cpu_us(self.pid()) - used) / (time.monotonic() - began))
            if len(self.cpu) == TRIES:
                reactor.stop()
            else:
                self.rest()

        reactor.callLater(REST, over)

    @staticmethod
    def pid() -> int:
        """This process, as /proc names it."""
        return os.getpid()


def main(port: int, count: int) -> int:
    """Prints the figures; exit code 1 where not all connections came up."""
    require_descriptors(count, "links")
    holder = Holder(port, count)
    reactor.callLater(0, holder.open_more)
    reactor.run()
    print(json.dumps({"cpu_us": holder.cpu, "memory_kb": holder.memory, "up": holder.up()}))
    return 0 if len(holder.cpu) == TRIES else 1


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2])))
