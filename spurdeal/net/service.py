"""One dispatcher: its parts put together, started, configured again, and stopped."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from typing import Any

from twisted.internet.error import CannotListenError
from twisted.internet.task import LoopingCall

from ..clocks import monotonic_ms, unix_ms
from .clients import BACKLOG, Clients
from .configuration import Configuration, Unusable
from .counters import Counters
from .datagram_reading import TolerantReading
from .descriptors import OPENED_AT_START, DescriptorBudget, ProcessDescriptors
from .engines import Engines
from .link import SocketLink
from .names import NameService
from .wall_clock import WallClockWatch

SWEEP_EVERY = 0.25  # seconds
REOPEN_AFTER = 0.02  # seconds until the name service's socket is opened again
LARGEST_DATAGRAM = 65_535  # bytes of an answer of the name service
KILL_AFTER, KILL_MOST, KILL_MARGIN = 700.0, 3000.0, 400.0  # ms: behind SIGTERM and the longest expiry, up to
STOP_NOT_BEFORE = 900.0  # ms after SIGTERM; new connections and calls on open ones come until 600
OVERTIME = 200.0  # ms in which the last answers may still be written
LOOK_EVERY = 0.05  # s
RETRY_FIRST, RETRIES = 0.1, 6  # s until an unusable configuration is read again, then twice that, and so on
UNKNOWN_PROCESS = ProcessDescriptors()


class Service:
    """One dispatcher: its parts, started and stopped together.

    Attributes:
        configuration: What it was started with.
        process: What its process has to do with descriptors.
        budget: How its descriptors are shared out, by the limits now in force.
        seats: The engines known at the start.
        retry: The delayed call that reads an unusable configuration again.
        stopped_at: When it was told to end, by its clock; 0 before.
        wall_clock: Tells of steps of the system's wall clock, by which nothing goes.
        stop_within: How many milliseconds after that the last call is answered.
    """

    def __init__(
        self,
        configuration: Configuration,
        reactor: Any,
        clock: Callable[[], float],
        log: logging.Logger,
        done: Callable[[], None],
        process: ProcessDescriptors = UNKNOWN_PROCESS,
        wall_clock: Callable[[], float] = unix_ms,
    ) -> None:
        self.configuration, self.reactor, self.clock = configuration, reactor, clock
        self.process = process
        self.log, self.done = log, done
        self.counters = Counters()
        self.engines = Engines(reactor, clock, configuration.report_fields, self.counters, log)
        self.link = SocketLink(
            configuration.site,
            configuration.seed,
            configuration.locations,
            configuration.kinds,
            self.engines,
            reactor,
            clock,
            self.counters,
            log,
        )
        self.clients = Clients(
            self.link, configuration.workloads, configuration.customers, clock, self.counters, log
        )
        self.clients.held_elsewhere = self.held_elsewhere
        self.bound(configuration)
        self.names = NameService(
            reactor,
            configuration.nameserver,
            configuration.known.number,
            self.link.listed,
            self.counters,
            log,
        )
        self.names.on_confirmed = self.link.list_confirmed
        self.names.on_closed = self.open_names_later
        self.seats = configuration.known.seats
        self.wall_clock = WallClockWatch(wall_clock, monotonic_ms, self.counters, log)
        self.retry: Any = None
        self.sweeping = LoopingCall(self.sweep)
        self.sweeping.clock = reactor
        self.stopped_at = 0.0
        longest = min(KILL_MOST, max(workload.expiry for workload in configuration.site.workloads))
        self.stop_within = longest + KILL_AFTER - KILL_MARGIN

    def held_elsewhere(self) -> int:
        """How many descriptors are held for other than clients."""
        return self.process.held + OPENED_AT_START + self.engines.connections

    def bound(self, configuration: Configuration) -> None:
        """All that follows from the limits of a configuration."""
        self.budget = DescriptorBudget.from_limit(configuration.sockets, self.process)
        self.engines.bound(
            configuration.connect_within,
            configuration.idle_after,
            configuration.trips_a_connection,
            self.budget.engines,
            configuration.site.drain_grace,
        )
        self.clients.bound(self.budget.clients, self.budget.accepts, configuration.memory_mb)

    def read_again(self, read: Callable[[], Configuration], tries: int = 0) -> None:
        """Reads the configuration again: name service, newer events and limits are in force at once.

        The rest is in force at a start. A configuration that cannot be used may be half written: it is read
        again some times, at growing distances."""
        if self.retry is not None and self.retry.active():
            self.retry.cancel()
        try:
            configuration = read()
        except Unusable as fault:
            if not tries:
                self.counters.add("configurations_unusable")
                self.log.error("configuration_kept", extra={"figures": {"why": str(fault)}})
            if tries < RETRIES and not self.stopped_at:
                self.retry = self.reactor.callLater(RETRY_FIRST * 2**tries, self.read_again, read, tries + 1)
            else:
                self.counters.add("configurations_given_up")
                figures = {"why": str(fault), "tries": tries + 1}
                self.log.error("configuration_given_up", extra={"figures": figures})
            return
        self.counters.add("configurations_read")
        self.bound(configuration)
        if configuration.known.number > self.names.number:
            self.names.number = configuration.known.number
            self.link.listed(configuration.known.seats)
        if configuration.nameserver != self.names.address:
            self.names.move(configuration.nameserver)
        nameserver = configuration.nameserver
        later = configuration.rest_differs(self.configuration)
        self.log.info(
            "configuration_read",
            extra={
                "figures": {
                    "nameserver": f"{nameserver.host}:{nameserver.port}",
                    "sockets": configuration.sockets,
                    "rest_at_a_start": later,
                }
            },
        )

    def start(self) -> None:
        """Listens, and puts the list of the start in force.

        Raises:
            CannotListenError: Its address cannot be listened on. It can be started again then.
        """
        self.clients.port = self.reactor.listenTCP(
            self.configuration.port, self.clients, backlog=BACKLOG, interface=self.configuration.host
        )
        self.clients.admit()
        self.open_names()
        self.link.listed(self.seats)
        self.clients.ready = True
        self.sweeping.start(SWEEP_EVERY, now=False)
        self.log.info(
            "ready",
            extra={
                "figures": {
                    "name": self.configuration.name,
                    "listen": self.configuration.host,
                    "port": self.configuration.port,
                    "engines": len(self.seats),
                    "clients_most": self.budget.clients,
                    "engine_connections_most": self.budget.engines,
                }
            },
        )

    def open_names(self) -> None:
        """Opens the socket to the name service; where the system cannot, it is tried again soon."""
        try:
            port = self.reactor.listenUDP(
                0, self.names, interface=self.configuration.host, maxPacketSize=LARGEST_DATAGRAM
            )
            TolerantReading(port, self.reactor, self.counters, self.log)
            self.counters.add("names_sockets_opened")
        except CannotListenError as fault:
            self.counters.add("names_socket_not_opened")
            self.log.warning("names_socket_not_opened", extra={"figures": {"why": str(fault.socketError)}})
            self.open_names_later()

    def open_names_later(self) -> None:
        """The name service's socket has ended or was not opened: without one no drain would be learned."""
        self.reactor.callLater(REOPEN_AFTER, self.open_names)

    def unhandled(self, event: Mapping[str, Any]) -> None:
        """A fault that a protocol let through: Twisted ends its connection, and the log tells why."""
        if "log_failure" in event:
            self.counters.add("unhandled")
            self.log.error("unhandled", extra={"figures": {"trace": event["log_failure"].getTraceback()}})

    def sweep(self) -> None:
        """Closes clients' and engines' connections that have rested for too long; looks at the wall clock."""
        self.wall_clock.look()
        self.clients.sweep()
        self.engines.sweep()

    def stop(self) -> None:
        """Told to end: goes on accepting, answers all that it has taken, then ends."""
        if not self.stopped_at:
            self.stopped_at = self.clock()
            self.log.info("stopping", extra={"figures": {"open": len(self.link.by_ident)}})
            self.link.stop(self.stopped_at + self.stop_within)
            self.clients.ending = True
            self.leave()

    def leave(self) -> None:
        """Ends once all is answered and no more can come; answers on their way out are written first."""
        passed = self.clock() - self.stopped_at
        over = passed >= self.stop_within + OVERTIME
        if not over and (
            passed < STOP_NOT_BEFORE
            or self.link.by_ident
            or self.clients.close_idle()
            or self.clients.stop_accepting()
        ):
            self.reactor.callLater(LOOK_EVERY, self.leave)
            return
        if self.retry is not None and self.retry.active():
            self.retry.cancel()
        self.counters.must(not self.link.by_ident, "all_answered_at_exit")
        self.sweeping.stop()
        self.engines.close()
        self.log.info("counters", extra={"figures": self.counters.figures()})
        self.log.info("stopped", extra={"figures": {"after_ms": passed}})
        self.done()
