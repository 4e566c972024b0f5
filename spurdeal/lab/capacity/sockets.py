"""A dispatcher process on loopback sockets: CPU time per request, and the cost of idle client connections."""

from __future__ import annotations

import json
import subprocess
import sys
from collections.abc import Callable, Sequence
from typing import Any

from . import design
from .fit import Form
from .measure import (
    REPETITIONS,
    MeasurementRefused,
    require_descriptors,
    require_memory,
    require_processes,
    sample,
)
from .records import Measure, Role, Sample, quantity

REQUEST_SIZES = (9, 18, 36, 72, 144)
QUICK_REQUEST_SIZES = (4, 8, 16, 32, 48)
IDLE_SIZES = (200, 400, 800, 1_600, 3_200)
QUICK_IDLE_SIZES = (50, 100, 200, 400, 600)
MAX_ENGINES, MAX_CLIENTS = 240, 4_000  # addresses of a subnet; half of the configured sockets
TYPICAL_ENGINES = 36
REQUESTS_PER_REPETITION, QUICK_REQUESTS_PER_REPETITION = 900, 300
MEMORY_LIMIT_KB = 192 * 1024.0  # `limits.memory_mb` of the configuration
CLIENT_IDLE_TIMEOUT = 5.0  # seconds: IDLE_TIMEOUT of spurdeal/net/client.py
KB_PER_CONNECTION = 20.0  # at both ends and in the kernel: an upper bound, for the check of the memory
PROCESSES = 2
RUN_TIMEOUT = 120  # seconds


def run_traffic(
    mode: str,
    size: int,
    repetitions: int = REPETITIONS,
    requests_per_repetition: int = REQUESTS_PER_REPETITION,
) -> dict[str, Any]:
    """Run the traffic process once and return its measurement."""
    command = [sys.executable, "-m", "spurdeal.lab.capacity.traffic", mode]
    command += [str(size), str(repetitions), str(requests_per_repetition)]
    completed = subprocess.run(command, capture_output=True, text=True, timeout=RUN_TIMEOUT)
    if completed.returncode:
        raise RuntimeError(f"{mode} at {size}: {completed.stderr}")
    results: dict[str, Any] = json.loads(completed.stdout)
    return results


def request_roles(
    sizes: Sequence[int],
    report_progress: Callable[[str], None],
    requests_per_repetition: int = REQUESTS_PER_REPETITION,
) -> list[Role]:
    """Measure requests over sockets."""
    if max(sizes) > MAX_ENGINES:
        raise MeasurementRefused(f"requests: {max(sizes)} engines, the maximum is {MAX_ENGINES}")
    require_processes(PROCESSES, "requests")
    report_progress(f"requests over sockets: {sizes} engines, one dispatcher process each")
    results = [
        run_traffic("requests", size, requests_per_repetition=requests_per_repetition) for size in sizes
    ]
    figures = quantity(
        Measure.CPU,
        "us a statement",
        Form.LINEAR,
        sizes,
        [sample(each["cpu_us"]) for each in results],
        TYPICAL_ENGINES,
        design.STATEMENT_CPU_US,
    )
    delivered = sum(each["statuses"].get("200", 0) for each in results)
    total = sum(sum(each["statuses"].values()) for each in results)
    return [
        Role(
            "request over sockets",
            "engines",
            "Client, spurdeal/net/client.py; SocketAdapter, net/link.py; Connection, net/engines.py",
            "one OpenRequest a request, one Attempt a send",
            "one call and one answer to the client, one command and one answer to the engine",
            (figures,),
            notes=(
                cores_needed(figures.at_size),
                f"{delivered} of {total} delivered",
                f"told at {TYPICAL_ENGINES} engines: what a choice adds at more has a row of its own",
            ),
        )
    ]


def cores_needed(cpu_us: float) -> str:
    """Describe the cores that the data path needs at the request rate of the design."""
    per_core_rate = design.MICROSECONDS_PER_S / cpu_us
    cores = design.STATEMENTS_PER_S / per_core_rate
    return (
        f"at {TYPICAL_ENGINES} engines {cpu_us:.0f} us: {per_core_rate:.0f} statements a second and core, "
        f"so {cores:.0f} cores for {design.STATEMENTS_PER_S} a second, {cores / design.DISPATCHERS:.2f} "
        f"a dispatcher, which is one process on one core"
    )


def idle_roles(sizes: Sequence[int], report_progress: Callable[[str], None]) -> list[Role]:
    """Measure idle client connections."""
    if max(sizes) > MAX_CLIENTS:
        raise MeasurementRefused(f"clients: {max(sizes)} connections, the maximum is {MAX_CLIENTS}")
    require_descriptors(2 * max(sizes), "clients")
    require_memory(max(sizes) * KB_PER_CONNECTION, f"clients: {max(sizes)} connections")
    report_progress(f"client connections: {sizes}, one dispatcher process each")
    results = [run_traffic("idle", size) for size in sizes]
    largest = results[-1]
    reconnects_per_s = max(sizes) / CLIENT_IDLE_TIMEOUT
    return [
        Role(
            "client connections",
            "connections",
            "Clients and its sweep four times a second, spurdeal/net/clients.py",
            "one Client and its transport each",
            "none while it rests",
            (
                quantity(
                    Measure.CPU,
                    "us a second in all",
                    Form.LINEAR,
                    sizes,
                    [sample(each["cpu_us"]) for each in results],
                    design.CLIENTS_PER_DISPATCHER,
                ),
                quantity(
                    Measure.MEMORY,
                    "KB of the process",
                    Form.LINEAR,
                    sizes,
                    [Sample(each["memory_kb"]) for each in results],
                    design.CLIENTS_PER_DISPATCHER,
                    MEMORY_LIMIT_KB,
                ),
            ),
            notes=(
                f"of {max(sizes)} opened {largest['open_at_end']} were open when the last rest was measured",
                f"a connection that comes back costs {largest['opening_us']:.0f} us to be accepted; all "
                f"{max(sizes)} closed after {CLIENT_IDLE_TIMEOUT:.0f} s come back {reconnects_per_s:.0f} "
                f"times a second, {reconnects_per_s * largest['opening_us'] / 10_000:.1f}% of a core",
            ),
        )
    ]
