"""Holding an address by a command or by listening, and its handover between two real processes."""

import io
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from ipaddress import ip_address
from pathlib import Path
from types import SimpleNamespace
from typing import Any
from urllib.request import urlopen

from twisted.internet.error import CannotListenError, ProcessDone, ProcessTerminated
from twisted.internet.protocol import ServerFactory
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from spurdeal.lab.loopback import Network
from spurdeal.net.counters import Counters
from spurdeal.net.logs import logger
from spurdeal.vrrp.address import MAX_QUEUED_COMMANDS, Commands, CommandSettings, Listener, ServedPort
from tests.helpers import Caller, World, configuration

ADDRESS = ip_address("127.0.7.1")
SILENT: Any = logger("x", io.StringIO())


class Spawner(Clock):
    """A reactor that records the commands it is to run and the ports it is to open."""

    def __init__(self) -> None:
        super().__init__()
        self.ran: list[tuple[Any, list[str]]] = []
        self.busy, self.closed = 0, 0

    def spawnProcess(self, run: Any, name: str, arguments: list[str], env: object) -> None:
        killed = ProcessTerminated(signal=9)
        run.transport = SimpleNamespace(signalProcess=lambda signal_name: self.ended(run, killed))
        self.ran.append((run, arguments))

    def ended(self, run: Any, how: Exception) -> None:
        run.processEnded(Failure(how))

    def listenTCP(self, port: int, factory: object, interface: str) -> Any:
        if self.busy:
            self.busy -= 1
            raise CannotListenError(interface, port, OSError("in use"))

        def stop() -> None:
            self.closed += 1

        return SimpleNamespace(stopListening=stop)


class AddressHolders(unittest.TestCase):
    def test_commands_run_in_sequence_without_a_shell_and_with_a_timeout(self) -> None:
        reactor, counters = Spawner(), Counters()
        commands = Commands(
            reactor,
            CommandSettings(["/bin/take", "{address}; rm"], ["/bin/leave", "{address}"], 500.0),
            counters,
            SILENT,
        )
        commands.take(1, [ADDRESS])
        commands.release(1, [ADDRESS])
        self.assertEqual([arguments for _, arguments in reactor.ran], [["/bin/take", "127.0.7.1; rm"]])
        reactor.ended(reactor.ran[0][0], ProcessDone(0))
        self.assertEqual(reactor.ran[1][1], ["/bin/leave", "127.0.7.1"])
        reactor.advance(0.6)
        self.assertEqual((counters.sums["commands_run"], counters.sums["commands_failed"]), (1, 1))
        for _ in range(3 * MAX_QUEUED_COMMANDS):
            commands.take(1, [ADDRESS])
        self.assertEqual(
            (len(commands.queue), counters.sums["commands_dropped"]),
            (MAX_QUEUED_COMMANDS, 2 * MAX_QUEUED_COMMANDS - 1),
        )

    def test_a_port_in_use_is_retried_while_the_address_is_held(self) -> None:
        reactor, counters, drained = Spawner(), Counters(), list[str]()
        listener = Listener(reactor, ServedPort(ServerFactory(), 7001, drained.append), counters, SILENT)
        reactor.busy = 2
        listener.take(1, [ADDRESS])
        reactor.pump([0.05, 0.05])
        self.assertEqual((list(listener.ports), counters.sums["address_not_listened"]), ([ADDRESS], 2))
        listener.release(1, [ADDRESS])
        self.assertEqual((reactor.closed, drained), (1, ["127.0.7.1"]))
        reactor.busy = 1
        listener.take(1, [ADDRESS])
        listener.release(1, [ADDRESS])
        reactor.advance(1)
        self.assertEqual(listener.ports, {})

    def test_connections_to_an_address_that_is_released_are_answered_and_then_closed(self) -> None:
        world = World(self)
        busy, idle, elsewhere = Caller(world), Caller(world), Caller(world)
        for caller, host in ((busy, "127.0.7.1"), (idle, "127.0.7.1"), (elsewhere, "127.0.8.1")):
            caller.pipe.hostAddr = SimpleNamespace(host=host)
            caller.pipe.getHost = lambda caller=caller: caller.pipe.hostAddr  # type: ignore[misc,method-assign]
        busy.post(1)
        peer = world.peer().up()
        world.service.clients.drain("127.0.7.1")
        self.assertEqual(
            [busy.pipe.disconnecting, idle.pipe.disconnecting, elsewhere.pipe.disconnecting],
            [False, True, False],
        )
        peer.say(1, "200", "parts=1", b"a\t1\tx\n")
        ((status, fields, _),) = busy.answers()
        self.assertEqual((status, fields["Connection"], busy.pipe.disconnecting), (200, "close", True))


PLAN = """
name: {name}
peers: [{{name: {other}, adverts: "{far}:7312", handover: "{far}:7313"}}]
vrrp:
  listen: {host}:7312
  groups: [{{group: 1, priority: {priority}, interval: 50ms, addresses: [{shared}]}}]
  holder: {{kind: listen, port: 7301}}
  bar: 500ms
handover: {{listen: "{host}:7313", keys: [{{id: 1, hex: {key}}}], every: 20ms, ahead: true}}
tenure: {{lease: 200ms}}
"""
NETWORK = Network.of_this_process()
SHARED, NAMES_HOST = NETWORK.host(61, 1), NETWORK.host(61, 9)
HOSTS = {"n1": NETWORK.host(61, 11), "n2": NETWORK.host(61, 12)}


class Processes(unittest.TestCase):
    def start(self, name: str, text: str | None = None) -> subprocess.Popen[str]:
        other = "n2" if name == "n1" else "n1"
        plan = PLAN.format(
            name=name,
            other=other,
            host=HOSTS[name],
            far=HOSTS[other],
            shared=SHARED,
            key="ab" * 16,
            priority={"n1": 200, "n2": 100}[name],
        )
        config = configuration(0, name=name, listen=f"{HOSTS[name]}:7302", nameserver=f"{NAMES_HOST}:5300")
        (self.folder / f"{name}.yaml").write_text(plan if text is None else text)
        (self.folder / f"{name}.json").write_text(json.dumps(config))
        child = subprocess.Popen(
            [sys.executable, "-O", "-m", "spurdeal", "run", "--settings", str(self.folder / f"{name}.yaml")],
            stderr=subprocess.PIPE,
            text=True,
            env=os.environ | {"ROUTER_CONFIG": str(self.folder / f"{name}.json")},
        )
        self.addCleanup(child.kill)
        return child

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def who(self, within: float, host: str = SHARED, port: int = 7301) -> dict[str, int]:
        """The counters of the dispatcher that answers at this address; retries until one does."""
        until = time.monotonic() + within
        while True:
            try:
                with urlopen(f"http://{host}:{port}/counters", timeout=1) as answer:
                    found: dict[str, int] = json.load(answer)
                    return found
            except OSError:
                if time.monotonic() > until:
                    raise
                time.sleep(0.02)

    def until_other_answers(self, within: float) -> None:
        """Wait for the other dispatcher; the one with the bad file still answers until it handles SIGTERM."""
        until = time.monotonic() + within
        while self.who(within).get("installations_unusable") is not None:
            self.assertLess(time.monotonic(), until)
            time.sleep(0.02)

    def test_a_bad_file_ends_the_start_with_a_line_and_code_2(self) -> None:
        child = self.start("n1", "name: n1\nvrrp: 3\n")
        output = child.communicate(timeout=30)[1]
        self.assertEqual(child.returncode, 2)
        self.assertIn("n1.yaml:2: vrrp:", output)
        self.assertNotIn("Traceback", output)

    def test_two_processes_pass_an_address_and_keep_running_on_a_bad_file(self) -> None:
        one, two = self.start("n1"), self.start("n2")
        for host in HOSTS.values():
            self.who(15, host, 7302)
        self.who(15)
        (self.folder / "n1.yaml").write_text("nothing: here\n")
        for child in (one, two):  # a reload while either may be taking the address
            child.send_signal(signal.SIGHUP)
        time.sleep(0.5)
        self.assertEqual([one.poll(), two.poll()], [None, None])
        one.send_signal(signal.SIGTERM)
        self.until_other_answers(5)
        output = one.communicate(timeout=15)[1]
        self.assertEqual(one.returncode, 0, output)
        self.assertIn("event=installation_kept", output)
        two.send_signal(signal.SIGTERM)
        output = two.communicate(timeout=15)[1]
        self.assertEqual(two.returncode, 0, output)
        self.assertIn("event=address_taken group=1", output)
