"""One of the two real dispatcher processes of the failover experiment: its files and life cycle."""

from __future__ import annotations

import json
import re
import signal
import subprocess
import time
import zlib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from .loopback import Network
from .platform_settings import Platform
from .processes import Outages, start_dispatcher

PORT, ADVERTS, HANDOVER, SHIFT = 7001, 7112, 7113, 100
PRIORITIES = {"n1": 200, "n2": 100}
INTERVAL = 100.0  # ms
CORES, COLD_FOR, COLD_SHARE, MULTIPLE, WINDOW = 4, 8000, 0.3, 2.0, 1500
WAIT, DRAIN_GRACE = 2500.0, 250  # ms
KEY = "5f" * 32
LINE = re.compile(r"t=([0-9.]+) .*event=(address_taken|address_left|ready|stopped)\b")


class RunAddresses:
    """Loopback addresses of one run: a subnet for the dispatchers, the next for the engines."""

    def __init__(self, network: Network, subnet: int) -> None:
        self.network, self.engines_subnet = network, subnet + 1
        self.hosts = {"n1": network.host(subnet, 1), "n2": network.host(subnet, 2)}
        self.names, self.switch = (network.host(subnet, 9), 5300), (network.host(subnet, 9), 5400)
        self.address = network.host(subnet, 100)

    def engine(self, number: int) -> str:
        """The host of an engine."""
        return self.network.host(self.engines_subnet, number % 250 + 1)


def installation(net: RunAddresses, name: str, guarded: bool) -> str:
    """The operator's settings file; the peer's ports are those of the simulated links."""
    other = "n2" if name == "n1" else "n1"
    host, far = net.hosts[name], net.hosts[other]
    handover = (
        f"""
handover:
  listen: {host}:{HANDOVER}
  keys: [{{id: 1, hex: {KEY}}}]
  every: 50ms
  ahead: true
  ahead_wait: 40ms
  alone: send
  alone_after: 400ms
"""
        if guarded
        else ""
    )
    return f"""
name: {name}
peers:
  - name: {other}
    adverts: {far}:{ADVERTS + SHIFT}
    handover: {far}:{HANDOVER + SHIFT}
vrrp:
  listen: {host}:{ADVERTS}
  groups:
    - group: 1
      priority: {PRIORITIES[name]}
      interval: {INTERVAL:.0f}ms
      addresses: [{net.address}]
      preempt_delay: 500ms
      tracks: [{{condition: list_stale, lowers: 150}}, {{condition: no_engine, lowers: 150}}]
  holder: {{kind: announce, switch: "{net.switch[0]}:{net.switch[1]}"}}
  bar: 3s
{handover}
tenure: {{on: {"true" if guarded else "false"}, lease: 500ms}}
"""


def configuration(net: RunAddresses, name: str, known: dict[str, Any]) -> dict[str, Any]:
    """The platform's configuration of a dispatcher."""
    index = int(name[1:]) - 1
    platform = Platform(2, WAIT, CORES, DRAIN_GRACE, COLD_FOR, COLD_SHARE, MULTIPLE, WINDOW, index=index)
    return platform.configuration(
        name,
        f"{net.hosts[name]}:{PORT}",
        f"{zlib.crc32(name.encode()):08x}",
        f"{net.names[0]}:{net.names[1]}",
        known,
    )


class Process:
    """One real dispatcher process."""

    def __init__(
        self, net: RunAddresses, name: str, folder: Path, known: dict[str, Any], guarded: bool
    ) -> None:
        self.net, self.name, self.folder, self.known, self.guarded = net, name, folder, known, guarded
        self.place = (net.hosts[name], PORT)
        self.child: subprocess.Popen[bytes] | None = None
        self.log = folder / f"{name}.log"
        self.outages = Outages()  # while it was killed or paused

    def start(self) -> None:
        """Write its files and start it, also after an earlier run."""
        platform, settings = self.folder / f"{self.name}.json", self.folder / f"{self.name}.yaml"
        platform.write_text(json.dumps(configuration(self.net, self.name, self.known)))
        settings.write_text(installation(self.net, self.name, self.guarded))
        self.child = start_dispatcher(settings, platform, self.log)

    def signal(self, number: int) -> None:
        """Send it a signal; SIGKILL and SIGSTOP begin an outage, SIGCONT ends it."""
        assert self.child is not None
        self.child.send_signal(number)
        if number in (signal.SIGKILL, signal.SIGSTOP):
            self.outages.begin()
        elif number == signal.SIGCONT:
            self.outages.end()

    def ended(self) -> bool:
        """Whether it is not running."""
        return self.child is None or self.child.poll() is not None

    def end(self) -> None:
        """Kill it if it runs; no outage is recorded."""
        if self.child is not None and self.child.poll() is None:
            self.child.kill()
            self.child.wait()

    def holding_spans(self) -> Iterator[tuple[float, float]]:
        """The spans in which it held the address according to its own log, in Unix s."""
        since, cuts = None, [start for start, _ in self.outages.spans]
        for line in self.log.read_text().splitlines():
            found = LINE.search(line)
            if found is None:
                continue
            at, event = float(found[1]), found[2]
            if event == "ready" and since is not None:  # a restart after a kill
                yield since, next((cut for cut in cuts if since < cut <= at), at)
                since = None
            elif event == "address_taken":
                since = since if since is not None else at
            elif since is not None and event in ("address_left", "stopped"):
                yield since, at
                since = None
        if since is not None:
            yield since, next((cut for cut in cuts if cut > since), time.time())
