"""One real dispatcher on loopback sockets: a request's processor time, and connections that rest."""

from __future__ import annotations

import json
import subprocess
import sys
from collections.abc import Callable, Sequence
from typing import Any

from . import design
from .fit import Form
from .measure import TRIES, MeasurementRefused, require_descriptors, require_memory, require_processes, sample
from .records import Measure, Role, Sample, quantity

REQUEST_SIZES = (9, 18, 36, 72, 144)
QUICK_REQUEST_SIZES = (4, 8, 16, 32, 48)
IDLE_SIZES = (200, 400, 800, 1_600, 3_200)
QUICK_IDLE_SIZES = (50, 100, 200, 400, 600)
MOST_ENGINES, MOST_CLIENTS = 240, 4_000  # addresses of one net; half of the configured sockets
TYPICAL_ENGINES = 36
REQUESTS_PER_TRY, QUICK_REQUESTS_PER_TRY = 900, 300
MEMORY_LIMIT_KB = 192 * 1024.0  # `limits.memory_mb` of the configuration
CLOSED_AFTER = 5.0  # seconds: IDLE_TIMEOUT of spurdeal/net/client.py
KB_PER_CONNECTION = 20.0  # at both ends and in the kernel: a generous bound, for the refusal
PROCESSES = 2
RUN_WITHIN = 120


def drive(mode: str, size: int, tries: int = TRIES, per_try: int = REQUESTS_PER_TRY) -> dict[str, Any]:
    """One run of the traffic process."""
    command = [sys.executable, "-m", "spurdeal.lab.capacity.traffic", mode]
    command += [str(size), str(tries), str(per_try)]
    done = subprocess.run(command, capture_output=True, text=True, timeout=RUN_WITHIN)
    if done.returncode:
        raise RuntimeError(f"{mode} at {size}: {done.stderr}")
    found: dict[str, Any] = json.loads(done.stdout)
    return found


def request_roles(
    sizes: Sequence[int], say: Callable[[str], None], per_try: int = REQUESTS_PER_TRY
) -> list[Role]:
    """A request over sockets."""
    if max(sizes) > MOST_ENGINES:
        raise MeasurementRefused(f"requests: {max(sizes)} engines, there are addresses for {MOST_ENGINES}")
    require_processes(PROCESSES, "requests")
    say(f"requests over sockets: {sizes} engines, one real dispatcher each")
    found = [drive("requests", size, per_try=per_try) for size in sizes]
    figures = quantity(
        Measure.CPU,
        "us a statement",
        Form.LINEAR,
        sizes,
        [sample(each["cpu_us"]) for each in found],
        TYPICAL_ENGINES,
        design.STATEMENT_CPU_US,
    )
    delivered = sum(each["statuses"].get("200", 0) for each in found)
    asked = sum(sum(each["statuses"].values()) for each in found)
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
                f"{delivered} of {asked} delivered",
                f"told at {TYPICAL_ENGINES} engines: what a choice adds at more has a row of its own",
            ),
        )
    ]


def cores_needed(cpu_us: float) -> str:
    """What the data path needs at the design's rate."""
    a_core = design.MICROSECONDS_PER_S / cpu_us
    cores = design.STATEMENTS_PER_S / a_core
    return (
        f"at {TYPICAL_ENGINES} engines {cpu_us:.0f} us: {a_core:.0f} statements a second and core, "
        f"so {cores:.0f} cores for {design.STATEMENTS_PER_S} a second, {cores / design.DISPATCHERS:.2f} "
        f"a dispatcher, which is one process on one core"
    )


def idle_roles(sizes: Sequence[int], say: Callable[[str], None]) -> list[Role]:
    """Connections of clients that rest."""
    if max(sizes) > MOST_CLIENTS:
        raise MeasurementRefused(
            f"clients: {max(sizes)} connections, the dispatcher is given room for {MOST_CLIENTS}"
        )
    require_descriptors(2 * max(sizes), "clients")
    require_memory(max(sizes) * KB_PER_CONNECTION, f"clients: {max(sizes)} connections")
    say(f"client connections: {sizes}, one real dispatcher each")
    found = [drive("idle", size) for size in sizes]
    largest = found[-1]
    back = max(sizes) / CLOSED_AFTER
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
                    [sample(each["cpu_us"]) for each in found],
                    design.CLIENTS_PER_DISPATCHER,
                ),
                quantity(
                    Measure.MEMORY,
                    "KB of the process",
                    Form.LINEAR,
                    sizes,
                    [Sample(each["memory_kb"]) for each in found],
                    design.CLIENTS_PER_DISPATCHER,
                    MEMORY_LIMIT_KB,
                ),
            ),
            notes=(
                f"of {max(sizes)} opened {largest['open_at_end']} were open when the last rest was measured",
                f"a connection that comes back costs {largest['opening_us']:.0f} us to be accepted; all "
                f"{max(sizes)} closed after {CLOSED_AFTER:.0f} s come back {back:.0f} times a second, "
                f"{back * largest['opening_us'] / 10_000:.1f}% of a core",
            ),
        )
    ]
