"""One real dispatcher on loopback before stand-in engines: started, measured and ended."""

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
from ..names import Endpoint, NameServer
from . import design
from .request_path import CORES, SETTINGS

PORT, NAMES_PORT = 7001, 5300
DISPATCHER_SUBNET, ENGINES_SUBNET = 78, 79
READY_WITHIN = 30.0  # seconds


class Place(NamedTuple):
    """Loopback addresses that no other run uses at the same time."""

    network: Network

    @property
    def dispatcher(self) -> str:
        return self.network.host(DISPATCHER_SUBNET, 1)

    def engine(self, number: int) -> str:
        return self.network.host(ENGINES_SUBNET, number + 1)


def own_place() -> Place:
    """In the network of this process."""
    return Place(Network.of_this_process())


class StandIns:
    """Engines and a name service, on the given reactor."""

    def __init__(self, reactor: Any, place: Place, engines: int) -> None:
        self.fleet = EngineFleet(reactor, CORES, 0.0, 1.0, 1.0, 1.0)
        endpoints = [Endpoint(f"s-{number}", place.engine(number), PORT) for number in range(engines)]
        for endpoint in endpoints:
            self.fleet.start(endpoint.ident, endpoint.host, endpoint.port, cold=False)
        self.names = NameServer(endpoints)
        self.listening = reactor.listenUDP(
            NAMES_PORT, self.names, interface=place.dispatcher, maxPacketSize=65_535
        )

    def stop(self) -> None:
        """All connections end."""
        for engine in self.fleet.engines:
            engine.stop()
        self.listening.stopListening()


class RunningDispatcher:
    """The process. The design's share of engines falls to it, whatever their number here."""

    def __init__(self, place: Place, folder: Path, names: NameServer, engines: int, sockets: int) -> None:
        self.place = place
        file = folder / "dispatcher.json"
        file.write_text(json.dumps(configuration(place, names, engines, sockets)))
        self.log = folder / "dispatcher.log"
        with open(self.log, "ab") as out:
            self.child = subprocess.Popen(
                [sys.executable, "-O", "-m", "spurdeal"],
                stderr=out,
                stdin=subprocess.DEVNULL,
                env=os.environ | {"ROUTER_CONFIG": str(file)},
            )

    @property
    def pid(self) -> int:
        return self.child.pid

    def ready(self) -> bool:
        """Whether its log says that it listens."""
        return b"event=ready" in self.log.read_bytes()

    def counters(self) -> dict[str, int]:
        """Its counters; only where the caller serves no part of it on the same thread."""
        with urlopen(f"http://{self.place.dispatcher}:{PORT}/counters", timeout=5) as answer:
            found: dict[str, int] = json.load(answer)
        return found

    def end(self) -> None:
        """Ends the process."""
        self.child.kill()
        self.child.wait()


def configuration(place: Place, names: NameServer, engines: int, sockets: int) -> dict[str, Any]:
    """As many dispatchers to an engine as the design has."""
    dispatchers = max(1, engines * design.DISPATCHERS // design.ENGINES)
    return {
        "name": "capacity",
        "listen": f"{place.dispatcher}:{PORT}",
        "seed": "5",
        "limits": {"sockets": sockets, "memory_mb": 192},
        "nameserver": f"{place.dispatcher}:{NAMES_PORT}",
        "known": names.known(),
        "settings": SETTINGS | {"balancers": dispatchers},
    }
