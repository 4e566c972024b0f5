"""Holding an address: by listening on it, by telling a switch, or by an operator's command.

Each holder has `take(group, addresses)` and `leave(group, addresses)`; leaving drains, so that what was taken
there is answered. What fails is counted and tried again while the address is held.
"""

from __future__ import annotations

import json
import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from twisted.internet.error import CannotListenError, ProcessDone
from twisted.internet.protocol import DatagramProtocol, ProcessProtocol, ServerFactory
from twisted.python.failure import Failure

from ..eventloop import Port, ProcessLoop, Scheduler, StreamLoop, Timer
from ..net.counters import Counters
from .advert import Address

ANNOUNCE_DELAYS = (0.0, 0.02, 0.06, 0.2)  # seconds: a lost datagram must not cost the takeover
ANNOUNCE_INTERVAL = 1.0
LISTEN_RETRY_DELAY = 0.05  # seconds: the one that leaves may hold the port for a moment yet
MAX_QUEUED_COMMANDS = 16


class Announcer(DatagramProtocol):
    """Tells a switch again and again that an address is here, as gratuitous ARPs do (RFC 9568, 6.4.1)."""

    transport: Any

    def __init__(
        self, reactor: Scheduler, switch: tuple[str, int], own_endpoint: tuple[str, int], counters: Counters
    ) -> None:
        self.reactor, self.switch, self.own_endpoint, self.counters = reactor, switch, own_endpoint, counters
        self.held: dict[int, Sequence[Address]] = {}
        self.timers: dict[int, list[Timer]] = {}

    def take(self, group: int, addresses: Sequence[Address]) -> None:
        """Announce the addresses of a group from now on."""
        self.cancel(group)
        self.held[group] = addresses
        self.timers[group] = [self.reactor.callLater(at, self.announce, group) for at in ANNOUNCE_DELAYS]
        self.timers[group].append(
            self.reactor.callLater(ANNOUNCE_INTERVAL, self.announce_periodically, group)
        )

    def announce_periodically(self, group: int) -> None:
        """Announce once more, each ANNOUNCE_EVERY."""
        self.announce(group)
        self.timers[group] = [self.reactor.callLater(ANNOUNCE_INTERVAL, self.announce_periodically, group)]

    def announce(self, group: int) -> None:
        """Send one announcement for each address of a group."""
        for address in self.held[group]:
            text = json.dumps(
                {"address": str(address), "group": group, "at": list(self.own_endpoint)}
            ).encode()
            try:
                self.transport.write(text, self.switch)
                self.counters.add("announced")
            except OSError:
                self.counters.add("announce_not_sent")

    def leave(self, group: int, addresses: Sequence[Address]) -> None:
        """Announce the addresses of a group no more."""
        self.cancel(group)
        self.held.pop(group, None)

    def cancel(self, group: int) -> None:
        """Drop the announcements of a group that are scheduled."""
        for call in self.timers.pop(group, ()):
            if call.active():
                call.cancel()


@dataclass(frozen=True)
class ServedPort:
    """What is served at the addresses.

    Attributes:
        factory: Makes the protocol of each connection.
        port: On which it is served.
        drain: Called with an address that is left: what was taken there is to be answered, then closed.
    """

    factory: ServerFactory
    port: int
    drain: Callable[[str], None]


class Listener:
    """Listens on the addresses in this process.

    One that leaves an address accepts no more there and answers the rest.
    """

    def __init__(
        self,
        reactor: StreamLoop,
        served: ServedPort,
        counters: Counters,
        log: logging.Logger,
    ) -> None:
        self.reactor, self.served, self.counters, self.log = reactor, served, counters, log
        self.ports: dict[Address, Port] = {}
        self.wanted: set[Address] = set()

    def take(self, group: int, addresses: Sequence[Address]) -> None:
        """Listen on these addresses."""
        for address in addresses:
            if address not in self.wanted:
                self.wanted.add(address)
                self.listen(address)

    def listen(self, address: Address) -> None:
        """Listen on an address; where its port is in use, again after LISTEN_AGAIN."""
        if address not in self.wanted or address in self.ports:
            return
        try:
            self.ports[address] = self.reactor.listenTCP(
                self.served.port, self.served.factory, interface=str(address)
            )
        except CannotListenError as fault:
            self.counters.add("address_not_listened")
            self.log.warning(
                "address_not_listened",
                extra={"figures": {"address": str(address), "why": str(fault.socketError)}},
            )
            self.reactor.callLater(LISTEN_RETRY_DELAY, self.listen, address)

    def leave(self, group: int, addresses: Sequence[Address]) -> None:
        """Accept no more on these addresses, and drain their connections."""
        for address in addresses:
            self.wanted.discard(address)
            port = self.ports.pop(address, None)
            if port is not None:
                port.stopListening()
                self.served.drain(str(address))


@dataclass(frozen=True)
class CommandSettings:
    """The operator's commands. `{address}` in a word stands for the address; within is in ms."""

    take: Sequence[str]
    leave: Sequence[str]
    within: float


class Commands:
    """Runs the operator's command, one after the other, each ended after its time."""

    def __init__(
        self,
        reactor: ProcessLoop,
        settings: CommandSettings,
        counters: Counters,
        log: logging.Logger,
    ) -> None:
        self.reactor, self.arguments = reactor, {True: settings.take, False: settings.leave}
        self.within, self.counters, self.log = settings.within, counters, log
        self.queue: list[list[str]] = []
        self.running = False

    def take(self, group: int, addresses: Sequence[Address]) -> None:
        """Run the command that takes an address, for each."""
        self.enqueue(True, addresses)

    def leave(self, group: int, addresses: Sequence[Address]) -> None:
        """Run the command that leaves an address, for each."""
        self.enqueue(False, addresses)

    def enqueue(self, taken: bool, addresses: Sequence[Address]) -> None:
        """Queue a command for each address."""
        for address in addresses:
            arguments = [word.replace("{address}", str(address)) for word in self.arguments[taken]]
            if len(self.queue) >= MAX_QUEUED_COMMANDS:  # only the newest tell how things stand
                self.queue.pop(0)
                self.counters.add("commands_dropped")
            self.queue.append(arguments)
        self.run_next()

    def run_next(self) -> None:
        """Run the next command, unless one is running."""
        if self.running or not self.queue:
            return
        self.running = True
        arguments = self.queue.pop(0)
        run = CommandProcess(self, arguments)
        try:
            self.reactor.spawnProcess(run, arguments[0], arguments, env=None)
        except OSError as fault:
            self.command_ended(arguments, str(fault))
            return
        run.timer = self.reactor.callLater(self.within / 1000, run.kill_overdue)

    def command_ended(self, arguments: Sequence[str], fault: str) -> None:
        """A command has ended; `fault` is empty where it went well."""
        self.counters.add("commands_failed" if fault else "commands_run")
        if fault:
            self.log.error("command_failed", extra={"figures": {"command": arguments[0], "why": fault}})
        self.running = False
        self.run_next()


class CommandProcess(ProcessProtocol):
    """One command, from its start to its end."""

    transport: Any

    def __init__(self, commands: Commands, arguments: Sequence[str]) -> None:
        self.commands, self.arguments, self.timed_out = commands, arguments, False
        self.timer: Timer | None = None

    def kill_overdue(self) -> None:
        """Its time is over: end it."""
        self.timed_out = True
        self.transport.signalProcess("KILL")

    def processEnded(self, reason: Failure) -> None:
        """See ProcessProtocol."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        fault = (
            "ended after its time"
            if self.timed_out
            else ""
            if isinstance(reason.value, ProcessDone)
            else str(reason.value)
        )
        self.commands.command_ended(self.arguments, fault)
