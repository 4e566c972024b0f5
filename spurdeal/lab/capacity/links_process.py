"""A process that holds idle connections to engines; its arguments are a port and the number of connections.

It runs the dispatcher's connection table and its periodic sweep, without clients. Prints one JSON object.
"""

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
from .measure import REPETITIONS, process_cpu_us, require_descriptors, resident_kb
from .request_path import DiscardingStream

reactor: Any = installed
CONNECT_TIMEOUT_MS, IDLE_TIMEOUT_MS = 10_000.0, 600_000.0
NO_DEADLINE = 1e15  # ms: the deadline of the attempts that open the connections
MAX_PENDING_CONNECTS, POLL_INTERVAL = 64, 0.02  # seconds between two looks at the connections
IDLE_WINDOW, OPEN_TIMEOUT = 0.5, 60.0  # seconds


def clock() -> float:
    """Return the time in ms, as the dispatcher's clock does."""
    return time.time() * 1000


class IdleConnectionMeasurement:
    """Opens one connection to each engine, then measures them while they are idle."""

    def __init__(self, port: int, count: int) -> None:
        self.port, self.count, self.attempted = port, count, 0
        self.engines = Engines(reactor, clock, (), Counters(), logger("links", DiscardingStream()))
        self.engines.set_limits(CONNECT_TIMEOUT_MS, IDLE_TIMEOUT_MS, 1, count, 0.0)
        self.resident_before = resident_kb()
        self.cpu: list[float] = []
        self.memory_kb = 0.0
        self.started_at = time.monotonic()

    def established(self) -> int:
        """Return the number of established connections."""
        return self.engines.counters.sums["engine_connections"]

    def open_more(self) -> None:
        """Open a few connections at a time, so that they fit in the listener's backlog."""
        if self.established() == self.count:
            self.memory_kb = (resident_kb() - self.resident_before) / self.count
            LoopingCall(self.engines.sweep).start(SWEEP_EVERY)
            reactor.callLater(0, self.measure_idle_cpu)
            return
        if time.monotonic() - self.started_at > OPEN_TIMEOUT:
            reactor.stop()
            return
        for number in range(self.attempted, min(self.count, self.established() + MAX_PENDING_CONNECTS)):
            endpoint = Endpoint(f"s-{number}", "127.0.0.1", self.port, "east", "std", 0, Life.READY, 1.0, 0.0)
            self.engines.update_engine(number, endpoint)
            # An attempt opens the connection; it is withdrawn before its first byte is sent.
            self.engines.send(number, b"%016x" % number, b"lookup", b"", NO_DEADLINE, False, lambda: None)
            self.attempted += 1
        reactor.callLater(POLL_INTERVAL, self.open_more)

    def measure_idle_cpu(self) -> None:
        """Measure the CPU time per second, in REPETITIONS windows one after the other."""
        cpu_before = process_cpu_us(self.pid())
        started_at = time.monotonic()

        def window_ended() -> None:
            self.cpu.append((process_cpu_us(self.pid()) - cpu_before) / (time.monotonic() - started_at))
            if len(self.cpu) == REPETITIONS:
                reactor.stop()
            else:
                self.measure_idle_cpu()

        reactor.callLater(IDLE_WINDOW, window_ended)

    @staticmethod
    def pid() -> int:
        """Return the id of this process."""
        return os.getpid()


def main(port: int, count: int) -> int:
    """Print the measurement; the exit code is 1 if not all connections were established."""
    require_descriptors(count, "links")
    measurement = IdleConnectionMeasurement(port, count)
    reactor.callLater(0, measurement.open_more)
    reactor.run()
    print(
        json.dumps(
            {"cpu_us": measurement.cpu, "memory_kb": measurement.memory_kb, "up": measurement.established()}
        )
    )
    return 0 if len(measurement.cpu) == REPETITIONS else 1


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2])))
