"""Ways to hold a virtual address: announce it to a switch, listen on it, or run an operator's command.

Each holder has `take(group, addresses)` and `release(group, addresses)`. A `Listener` drains the
connections of an address that it releases, so that accepted requests are answered. Failures are counted; a
failed listen is retried while the address is held, announcements are repeated, and a failed command is only
logged.
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

ANNOUNCE_DELAYS = (0.0, 0.02, 0.06, 0.2)  # seconds after a takeover: a lost datagram must not delay it
ANNOUNCE_INTERVAL = 1.0  # seconds between announcements after that
LISTEN_RETRY_DELAY = 0.05  # seconds: the previous holder may keep the port open for a moment
MAX_QUEUED_COMMANDS = 16  # above this the oldest is dropped


class Announcer(DatagramProtocol):
    """Announces held addresses to a switch repeatedly, as gratuitous ARP does (RFC 9568, section 6.4.1).

    Args:
        reactor: Schedules the announcements.
        switch: Host and UDP port that announcements are sent to.
        own_endpoint: Host and port where this dispatcher serves; part of each announcement.
        counters: Counts `announced` and `announce_not_sent`.
    """

    transport: Any

    def __init__(
        self, reactor: Scheduler, switch: tuple[str, int], own_endpoint: tuple[str, int], counters: Counters
    ) -> None:
        self.reactor, self.switch, self.own_endpoint, self.counters = reactor, switch, own_endpoint, counters
        self.held: dict[int, Sequence[Address]] = {}
        self.timers: dict[int, list[Timer]] = {}

    def take(self, group: int, addresses: Sequence[Address]) -> None:
        """Start announcing the addresses of a group."""
        self.cancel(group)
        self.held[group] = addresses
        self.timers[group] = [self.reactor.callLater(at, self.announce, group) for at in ANNOUNCE_DELAYS]
        self.timers[group].append(
            self.reactor.callLater(ANNOUNCE_INTERVAL, self.announce_periodically, group)
        )

    def announce_periodically(self, group: int) -> None:
        """Announce a group and schedule the next announcement after ANNOUNCE_INTERVAL."""
        self.announce(group)
        self.timers[group] = [self.reactor.callLater(ANNOUNCE_INTERVAL, self.announce_periodically, group)]

    def announce(self, group: int) -> None:
        """Send one announcement for each address of a group; send errors are counted."""
        for address in self.held[group]:
            text = json.dumps(
                {"address": str(address), "group": group, "at": list(self.own_endpoint)}
            ).encode()
            try:
                self.transport.write(text, self.switch)
                self.counters.add("announced")
            except OSError:
                self.counters.add("announce_not_sent")

    def release(self, group: int, addresses: Sequence[Address]) -> None:
        """Stop announcing the addresses of a group."""
        self.cancel(group)
        self.held.pop(group, None)

    def cancel(self, group: int) -> None:
        """Cancel the scheduled announcements of a group."""
        for call in self.timers.pop(group, ()):
            if call.active():
                call.cancel()


@dataclass(frozen=True)
class ServedPort:
    """The service offered at the addresses.

    Attributes:
        factory: Builds the protocol of each connection.
        port: TCP port.
        drain: Called with a released address; answers its open requests, then closes its connections.
    """

    factory: ServerFactory
    port: int
    drain: Callable[[str], None]


class Listener:
    """Listens on the addresses in this process.

    After an address is released, no connection is accepted there and the open ones are drained.
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
        """Start listening on these addresses; those already held are skipped."""
        for address in addresses:
            if address not in self.wanted:
                self.wanted.add(address)
                self.listen(address)

    def listen(self, address: Address) -> None:
        """Listen on an address; if that fails, log it and retry after LISTEN_RETRY_DELAY."""
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

    def release(self, group: int, addresses: Sequence[Address]) -> None:
        """Stop accepting on these addresses and drain their connections."""
        for address in addresses:
            self.wanted.discard(address)
            port = self.ports.pop(address, None)
            if port is not None:
                port.stopListening()
                self.served.drain(str(address))


@dataclass(frozen=True)
class CommandSettings:
    """The operator's commands.

    Attributes:
        take: Program and arguments that take an address; `{address}` in an argument is replaced by it.
        leave: Likewise, to give the address up.
        within: Time limit of one command, in ms.
    """

    take: Sequence[str]
    leave: Sequence[str]
    within: float


class Commands:
    """Runs the operator's commands one at a time; a command that exceeds its time limit is killed.

    No shell is involved. At most MAX_QUEUED_COMMANDS wait; above that the oldest is dropped and counted.
    """

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
        """Queue the `take` command for each address."""
        self.enqueue(True, addresses)

    def release(self, group: int, addresses: Sequence[Address]) -> None:
        """Queue the `leave` command for each address."""
        self.enqueue(False, addresses)

    def enqueue(self, taken: bool, addresses: Sequence[Address]) -> None:
        """Queue the `take` (or `leave`) command for each address."""
        for address in addresses:
            arguments = [word.replace("{address}", str(address)) for word in self.arguments[taken]]
            if len(self.queue) >= MAX_QUEUED_COMMANDS:  # the newest commands reflect the current state
                self.queue.pop(0)
                self.counters.add("commands_dropped")
            self.queue.append(arguments)
        self.run_next()

    def run_next(self) -> None:
        """Start the next queued command unless one is running."""
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
        """Count and log the end of a command and start the next; `fault` is empty on success."""
        self.counters.add("commands_failed" if fault else "commands_run")
        if fault:
            self.log.error("command_failed", extra={"figures": {"command": arguments[0], "why": fault}})
        self.running = False
        self.run_next()


class CommandProcess(ProcessProtocol):
    """The process of one command."""

    transport: Any

    def __init__(self, commands: Commands, arguments: Sequence[str]) -> None:
        self.commands, self.arguments, self.timed_out = commands, arguments, False
        self.timer: Timer | None = None

    def kill_overdue(self) -> None:
        """Kill the process: its time limit has passed."""
        self.timed_out = True
        self.transport.signalProcess("KILL")

    def processEnded(self, reason: Failure) -> None:
        """See ProcessProtocol."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        fault = (
            "killed after its time limit"
            if self.timed_out
            else ""
            if isinstance(reason.value, ProcessDone)
            else str(reason.value)
        )
        self.commands.command_ended(self.arguments, fault)
