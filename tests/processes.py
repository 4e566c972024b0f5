"""Real dispatcher processes for tests, started as operators start them, with stand-in engines and names."""

import json
import os
import resource
import subprocess
import sys
import tempfile
import time
import unittest
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from urllib.request import urlopen

from spurdeal.lab.loopback import Network
from tests.helpers import configuration, instance

ROOT = Path(__file__).parent.parent
ENGINES, FIRST_ENGINE_PORT, NAMES_PORT = 2, 7001, 5300
READY_WITHIN = 30.0  # seconds: a start can be slow on a busy machine
STAND_INS = """
import sys
from twisted.internet import reactor
from spurdeal.lab.engines import EngineFleet
from spurdeal.lab.name_server import NameServer, Endpoint
engine_host, names_host, first_port, engines, names_port = sys.argv[1:]
endpoints = [Endpoint(f"s-{n}", engine_host, int(first_port) + n) for n in range(int(engines))]
fleet = EngineFleet(reactor, 8, 1000.0, 0.3, 2.0, 1500.0)
for endpoint in endpoints:
    fleet.start(endpoint.ident, endpoint.host, endpoint.port, cold=False)
if int(names_port):
    reactor.listenUDP(int(names_port), NameServer(endpoints), interface=names_host)
reactor.callWhenRunning(print, "ready", flush=True)
reactor.callLater(120, reactor.stop)
reactor.run()
"""


@dataclass(frozen=True, slots=True)
class Addresses:
    """The addresses of a test module's dispatcher and its stand-ins.

    Each module has its own subnet and each test run its own network, as several may run on one machine.
    """

    dispatcher: str
    names: str
    engines: str
    port: int = 7001

    @classmethod
    def in_subnet(cls, subnet: int) -> "Addresses":
        """The addresses in a subnet of this process's network."""
        network = Network.of_this_process()
        return cls(network.host(subnet, 1), network.host(subnet, 9), network.host(subnet, 20))

    def configuration(self, **more: Any) -> dict[str, Any]:
        """The platform's configuration with these addresses; `more` overrides entries."""
        instances = [
            instance(number, hostPort=f"{self.engines}:{FIRST_ENGINE_PORT + number}")
            for number in range(ENGINES)
        ]
        roster = {"generation": 1, "reset": True, "instances": instances}
        return configuration(
            listen=f"{self.dispatcher}:{self.port}",
            nameserver=f"{self.names}:{NAMES_PORT}",
            known={"no": 1, "items": [{"no": 1, "roster": roster}]},
            **more,
        )


class ProcessCase(unittest.TestCase):
    """A test that starts processes; those still running at its end are killed."""

    addresses: Addresses

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.configured = Path(folder.name) / "config.json"

    def configure(self, **more: Any) -> None:
        """Write the configuration file."""
        self.configured.write_text(json.dumps(self.addresses.configuration(**more)))

    def start(
        self, *command: str, descriptors: int | None = None, environment: dict[str, str] | None = None
    ) -> subprocess.Popen[str]:
        """Start a command in the repository's root, with a limit of file descriptors if given."""

        def limit() -> None:
            if descriptors is not None:
                resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

        child = subprocess.Popen(
            command,
            text=True,
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            env=os.environ | {"ROUTER_CONFIG": str(self.configured)} | (environment or {}),
            preexec_fn=limit,  # noqa: PLW1509 - no thread of this process runs then
        )
        self.addCleanup(child.communicate)
        self.addCleanup(child.kill)
        return child

    def start_dispatcher(self, descriptors: int | None = None) -> subprocess.Popen[str]:
        """Start a dispatcher, with a limit of file descriptors if given."""
        return self.start(sys.executable, "-O", "-m", "spurdeal", descriptors=descriptors)

    def start_stand_ins(self, with_names: bool = True) -> None:
        """Start the engines, and the name service unless the test has its own."""
        addresses = self.addresses
        numbers = (FIRST_ENGINE_PORT, ENGINES, NAMES_PORT if with_names else 0)
        arguments = (addresses.engines, addresses.names, *(str(number) for number in numbers))
        stand_ins = self.start(sys.executable, "-c", STAND_INS, *arguments)
        assert stand_ins.stdout is not None
        self.assertEqual(stand_ins.stdout.readline(), "ready\n")

    def url(self, path: str) -> str:
        """The dispatcher's URL of a path."""
        return f"http://{self.addresses.dispatcher}:{self.addresses.port}{path}"

    def await_ready(self, child: subprocess.Popen[str]) -> None:
        """Wait until the dispatcher answers GET /alive with 200."""
        until = time.monotonic() + READY_WITHIN
        while True:
            try:
                with urlopen(self.url("/alive"), timeout=1) as answer:
                    self.assertEqual(answer.status, 200)
                return
            except OSError:
                if child.poll() is not None or time.monotonic() > until:
                    self.fail(f"exit {child.poll()}: {child.communicate()[1] if child.poll() else ''}")
                time.sleep(0.05)


def counters_at_exit(log: str) -> dict[str, int]:
    """The counters that a dispatcher logged when it exited."""
    line = next(line for line in log.splitlines() if "event=counters" in line)
    pairs = dict(pair.split("=", 1) for pair in line.split())
    return {name: int(value) for name, value in pairs.items() if value.isdigit()}
