"""Holding an address: by listening on it, by telling a switch, or by an operator's command.

Each holder has `take(group, addresses)` and `leave(group, addresses)`; leaving drains, so that what was taken
there is answered. What fails is counted and tried again while the address is held."""

from __future__ import annotations

import json
import logging
from collections.abc import Callable, Sequence
from typing import Any

from twisted.internet.error import CannotListenError, ProcessDone
from twisted.internet.protocol import DatagramProtocol, ProcessProtocol
from twisted.python.failure import Failure

from ..net.counters import Counters
from .advert import Address

ANNOUNCE_AT = (0.0, 0.02, 0.06, 0.2)  # seconds: a lost datagram must not cost the takeover
ANNOUNCE_EVERY = 1.0
LISTEN_AGAIN = 0.05  # seconds: the one that leaves may hold the port for a moment yet
MOST_COMMANDS = 16


class Announcer(DatagramProtocol):
    """Tells a switch again and again that an address is here, as gratuitous ARPs do (RFC 9568, 6.4.1)."""

    transport: Any

    def __init__(
        self, reactor: Any, switch: tuple[str, int], here: tuple[str, int], counters: Counters
    ) -> None:
        self.reactor, self.switch, self.here, self.counters = reactor, switch, here, counters
        self.held: dict[int, Sequence[Address]] = {}
        self.later: dict[int, list[Any]] = {}

    def take(self, group: int, addresses: Sequence[Address]) -> None:
        self.cancel(group)
        self.held[group] = addresses
        self.later[group] = [self.reactor.callLater(at, self.announce, group) for at in ANNOUNCE_AT]
        self.later[group].append(self.reactor.callLater(ANNOUNCE_EVERY, self.again, group))

    def again(self, group: int) -> None:
        self.announce(group)
        self.later[group] = [self.reactor.callLater(ANNOUNCE_EVERY, self.again, group)]

    def announce(self, group: int) -> None:
        for address in self.held[group]:
            text = json.dumps({"address": str(address), "group": group, "at": list(self.here)}).encode()
            try:
                self.transport.write(text, self.switch)
                self.counters.add("announced")
            except OSError:
                self.counters.add("announce_not_sent")

    def leave(self, group: int, addresses: Sequence[Address]) -> None:
        self.cancel(group)
        self.held.pop(group, None)

    def cancel(self, group: int) -> None:
        for call in self.later.pop(group, ()):
            if call.active():
                call.cancel()


class Listener:
    """Listens on the addresses in this process. The one that leaves them accepts no more and answers the
    rest."""

    def __init__(
        self,
        reactor: Any,
        factory: Any,
        port: int,
        drain: Callable[[str], None],
        counters: Counters,
        log: logging.Logger,
    ) -> None:
        self.reactor, self.factory, self.port, self.drain = reactor, factory, port, drain
        self.counters, self.log = counters, log
        self.ports: dict[Address, Any] = {}
        self.wanted: set[Address] = set()

    def take(self, group: int, addresses: Sequence[Address]) -> None:
        for address in addresses:
            if address not in self.wanted:
                self.wanted.add(address)
                self.listen(address)

    def listen(self, address: Address) -> None:
        if address not in self.wanted or address in self.ports:
            return
        try:
            self.ports[address] = self.reactor.listenTCP(self.port, self.factory, interface=str(address))
        except CannotListenError as fault:
            self.counters.add("address_not_listened")
            self.log.warning(
                "address_not_listened",
                extra={"figures": {"address": str(address), "why": str(fault.socketError)}},
            )
            self.reactor.callLater(LISTEN_AGAIN, self.listen, address)

    def leave(self, group: int, addresses: Sequence[Address]) -> None:
        for address in addresses:
            self.wanted.discard(address)
            port = self.ports.pop(address, None)
            if port is not None:
                port.stopListening()
                self.drain(str(address))


class Commands:
    """Runs the operator's command, one after the other, each ended after its time."""

    def __init__(
        self,
        reactor: Any,
        take: Sequence[str],
        leave: Sequence[str],
        within: float,
        counters: Counters,
        log: logging.Logger,
    ) -> None:
        self.reactor, self.words = reactor, {True: tuple(take), False: tuple(leave)}
        self.within, self.counters, self.log = within, counters, log
        self.queue: list[list[str]] = []
        self.running = False

    def take(self, group: int, addresses: Sequence[Address]) -> None:
        self.ask(True, addresses)

    def leave(self, group: int, addresses: Sequence[Address]) -> None:
        self.ask(False, addresses)

    def ask(self, taken: bool, addresses: Sequence[Address]) -> None:
        for address in addresses:
            words = [word.replace("{address}", str(address)) for word in self.words[taken]]
            if len(self.queue) >= MOST_COMMANDS:  # only the newest tell how things stand
                self.queue.pop(0)
                self.counters.add("commands_dropped")
            self.queue.append(words)
        self.next()

    def next(self) -> None:
        if self.running or not self.queue:
            return
        self.running = True
        words = self.queue.pop(0)
        run = Run(self, words)
        try:
            self.reactor.spawnProcess(run, words[0], words, env=None)
        except OSError as fault:
            self.ended(words, str(fault))
            return
        run.limit = self.reactor.callLater(self.within / 1000, run.overdue)

    def ended(self, words: Sequence[str], fault: str) -> None:
        self.counters.add("commands_failed" if fault else "commands_run")
        if fault:
            self.log.error("command_failed", extra={"figures": {"command": words[0], "why": fault}})
        self.running = False
        self.next()


class Run(ProcessProtocol):
    """One command, from its start to its end."""

    transport: Any

    def __init__(self, commands: Commands, words: Sequence[str]) -> None:
        self.commands, self.words, self.late = commands, words, False
        self.limit: Any = None

    def overdue(self) -> None:
        self.late = True
        self.transport.signalProcess("KILL")

    def processEnded(self, reason: Failure) -> None:
        if self.limit is not None and self.limit.active():
            self.limit.cancel()
        fault = (
            "ended after its time"
            if self.late
            else ""
            if isinstance(reason.value, ProcessDone)
            else str(reason.value)
        )
        self.commands.ended(self.words, fault)
