"""Idle connections from one dispatcher to its engines: memory footprint and CPU time."""

from __future__ import annotations

import json
import socket
import subprocess
import sys
import threading
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from ...net.descriptors import DescriptorBudget, ProcessDescriptors
from . import design
from .fit import Form
from .measure import MeasurementRefused, require_descriptors, require_memory, sample
from .records import Limit, Measure, Role, Sample, quantity
from .workers import WORKERS

SIZES = (250, 500, 1_000, 2_000, 4_300)
QUICK_SIZES = (50, 100, 200, 400, 800)
DEFAULT_SOCKETS = 1_024  # default of `limits.sockets`
KB_PER_CONNECTION = 20.0
BACKLOG = 1_024
RUN_TIMEOUT = 120  # seconds


class Listener:
    """Accepts all connections and never sends; stands for any number of engines."""

    def __init__(self) -> None:
        self.socket = socket.create_server(("127.0.0.1", 0), backlog=BACKLOG)
        self.accepted: list[socket.socket] = []
        threading.Thread(target=self.accept, daemon=True).start()

    @property
    def port(self) -> int:
        """The port of the listening socket."""
        number: int = self.socket.getsockname()[1]
        return number

    def accept(self) -> None:
        """Accept connections until the listening socket is shut down."""
        while True:
            try:
                self.accepted.append(self.socket.accept()[0])
            except OSError:
                return

    def close(self) -> None:
        """Close the listening socket and all accepted connections."""
        self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()
        for each in self.accepted:
            each.close()


def measure_connections(count: int) -> dict[str, Any]:
    """Measure a process that holds `count` idle connections."""
    listener = Listener()
    command = [sys.executable, "-O", "-m", "spurdeal.lab.capacity.links_process"]
    try:
        completed = subprocess.run(
            [*command, str(listener.port), str(count)], capture_output=True, text=True, timeout=RUN_TIMEOUT
        )
    finally:
        listener.close()
    if completed.returncode:
        raise RuntimeError(f"links at {count}: {completed.stdout} {completed.stderr}")
    results: dict[str, Any] = json.loads(completed.stdout)
    return results


def roles(sizes: Sequence[int], report_progress: Callable[[str], None]) -> list[Role]:
    """Measure the connections to engines, up to one to each engine of the design."""
    if max(sizes) > design.ENGINES:
        raise MeasurementRefused(f"links: {max(sizes)} connections, the maximum is {design.ENGINES}")
    require_descriptors(max(sizes), "links")
    require_memory(2 * max(sizes) * KB_PER_CONNECTION, f"links: {max(sizes)} connections")
    report_progress(f"connections to engines: {sizes}")
    with ThreadPoolExecutor(WORKERS) as pool:
        results = list(pool.map(measure_connections, sizes))
    links = design.DISPATCHERS * design.ENGINES
    return [
        Role(
            "connections to engines",
            "engines",
            "Engines and its sweep four times a second, spurdeal/net/engines.py",
            "one Connection, parser and transport for each engine in use",
            "none while it rests",
            (
                quantity(
                    Measure.CPU,
                    "us a second",
                    Form.LINEAR,
                    sizes,
                    [sample(each["cpu_us"]) for each in results],
                    design.ENGINES,
                    design.CONTROL_CPU_US_PER_S,
                ),
                quantity(
                    Measure.MEMORY,
                    "KB of all connections",
                    Form.LINEAR,
                    sizes,
                    [Sample(size * each["memory_kb"]) for size, each in zip(sizes, results, strict=True)],
                    design.ENGINES,
                    design.CONTROL_MEMORY_KB,
                ),
            ),
            (
                Limit(
                    f"connections that {DEFAULT_SOCKETS} sockets allow",
                    DescriptorBudget.from_limit(DEFAULT_SOCKETS, ProcessDescriptors()).engines,
                    design.ENGINES,
                ),
            ),
            (
                f"any dispatcher may choose any engine: up to {design.ENGINES} links at each dispatcher, "
                f"{design.DISPATCHERS} at each engine, {links} in all",
                "each dispatcher closes its own after half of the time that engines allow",
                "without the kernel's buffers",
            ),
        )
    ]
