"""A dispatcher process on loopback, with stand-in engines and a stand-in name service."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any, NamedTuple
from urllib.request import urlopen

from ..engines import EngineFleet
from ..loopback import Network
from ..name_server import Endpoint, NameServer
from . import design
from .request_path import CORES, SETTINGS

PORT, NAMES_PORT = 7001, 5300
DISPATCHER_SUBNET, ENGINES_SUBNET = 78, 79
READY_TIMEOUT = 30.0  # seconds


class RunAddresses(NamedTuple):
    """Loopback addresses of one run, which no concurrent run uses."""

    network: Network

    @property
    def dispatcher(self) -> str:
        """The address of the dispatcher and of the name service."""
        return self.network.host(DISPATCHER_SUBNET, 1)

    def engine(self, number: int) -> str:
        """Return the address of an engine."""
        return self.network.host(ENGINES_SUBNET, number + 1)


def own_addresses() -> RunAddresses:
    """Return addresses in the loopback network of this process."""
    return RunAddresses(Network.of_this_process())


class StandInServers:
    """Stand-in engines and a name service on the given reactor."""

    def __init__(self, reactor: Any, addresses: RunAddresses, engines: int) -> None:
        self.fleet = EngineFleet(reactor, CORES, 0.0, 1.0, 1.0, 1.0)
        endpoints = [Endpoint(f"s-{number}", addresses.engine(number), PORT) for number in range(engines)]
        for endpoint in endpoints:
            self.fleet.start(endpoint.ident, endpoint.host, endpoint.port, cold=False)
        self.names = NameServer(endpoints)
        self.udp_port = reactor.listenUDP(
            NAMES_PORT, self.names, interface=addresses.dispatcher, maxPacketSize=65_535
        )

    def stop(self) -> None:
        """Stop the engines and the name service; all their connections are closed."""
        for engine in self.fleet.engines:
            engine.stop()
        self.udp_port.stopListening()


class DispatcherProcess:
    """A dispatcher process.

    It is configured for as many dispatchers per engine as the design has, whatever the number of engines.
    """

    def __init__(
        self, addresses: RunAddresses, folder: Path, names: NameServer, engines: int, sockets: int
    ) -> None:
        self.addresses = addresses
        settings_path = folder / "dispatcher.json"
        settings_path.write_text(json.dumps(configuration(addresses, names, engines, sockets)))
        self.log_path = folder / "dispatcher.log"
        with open(self.log_path, "ab") as log_file:
            self.process = subprocess.Popen(
                [sys.executable, "-O", "-m", "spurdeal"],
                stderr=log_file,
                stdin=subprocess.DEVNULL,
                env=os.environ | {"ROUTER_CONFIG": str(settings_path)},
            )

    @property
    def pid(self) -> int:
        """The process id."""
        return self.process.pid

    def ready(self) -> bool:
        """Return whether the log reports that the dispatcher is ready."""
        return b"event=ready" in self.log_path.read_bytes()

    def counters(self) -> dict[str, int]:
        """Fetch the counters.

        Blocks: it would deadlock if the caller's thread also ran an engine or the name service.
        """
        with urlopen(f"http://{self.addresses.dispatcher}:{PORT}/counters", timeout=5) as response:
            values: dict[str, int] = json.load(response)
        return values

    def kill(self) -> None:
        """Kill the process."""
        self.process.kill()
        self.process.wait()


def configuration(addresses: RunAddresses, names: NameServer, engines: int, sockets: int) -> dict[str, Any]:
    """Return a configuration with as many dispatchers per engine as the design has."""
    dispatchers = max(1, engines * design.DISPATCHERS // design.ENGINES)
    return {
        "name": "capacity",
        "listen": f"{addresses.dispatcher}:{PORT}",
        "seed": "5",
        "limits": {"sockets": sockets, "memory_mb": 192},
        "nameserver": f"{addresses.dispatcher}:{NAMES_PORT}",
        "known": names.known(),
        "settings": SETTINGS | {"balancers": dispatchers},
    }
