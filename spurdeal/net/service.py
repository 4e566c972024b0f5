"""One dispatcher: its parts put together, started, configured again, and stopped."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from typing import Any

from twisted.internet.task import LoopingCall

from ..clocks import monotonic_ms, unix_ms
from .clients import BACKLOG, Clients
from .configuration import Configuration, Unreadable, Unusable
from .counters import Counters
from .descriptors import OPENED_AT_START, DescriptorBudget, ProcessDescriptors
from .discovery_socket import DiscoverySocket
from .engine_list import KnownList
from .engines import Engines
from .link import SocketAdapter
from .names import NameService
from .wall_clock import WallClockWatch

SWEEP_EVERY = 0.25  # seconds
KILL_AFTER, KILL_MOST, KILL_MARGIN = 700.0, 3000.0, 400.0  # ms: after SIGTERM and the longest deadline, up to
STOP_NOT_BEFORE = 900.0  # ms after SIGTERM; new connections and calls on open ones come until 600
OVERTIME = 200.0  # ms in which the last answers may still be written
LOOK_EVERY = 0.05  # s
RETRY_FIRST, RETRIES = 0.1, 6  # s until an unusable configuration is read again, then twice that, and so on
RETRY_MOST = 3.2  # s; a file that the system cannot read is tried again for as long as that lasts
UNKNOWN_PROCESS = ProcessDescriptors()


class Service:
    """One dispatcher: its parts, started and stopped together.

    Attributes:
        configuration: What it was started with.
        configured_at: When that had just been read.
        process: What its process has to do with descriptors.
        budget: How its descriptors are shared out, by the limits now in force.
        endpoints: The engines known at the start.
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
        self.configured_at = clock()
        self.process = process
        self.log, self.done = log, done
        self.counters = Counters()
        self.engines = Engines(reactor, clock, configuration.report_fields, self.counters, log)
        self.adapter = SocketAdapter(
            configuration.site,
            configuration.seed,
            configuration.zones,
            configuration.kinds,
            self.engines,
            reactor,
            clock,
            self.counters,
            log,
        )
        self.clients = Clients(
            self.adapter, configuration.workloads, configuration.tenants, clock, self.counters, log
        )
        self.clients.held_elsewhere = self.held_elsewhere
        self.bound(configuration)
        self.names = NameService(
            reactor,
            configuration.nameserver,
            configuration.known,
            self.adapter.apply_list,
            self.counters,
            log,
        )
        self.names.on_confirmed = self.adapter.list_confirmed
        self.names.on_query_sent = self.adapter.list_asked
        self.names.on_response = self.adapter.list_answered
        self.discovery = DiscoverySocket(self.names, reactor, configuration.host, self.counters, log)
        self.endpoints = configuration.known.endpoints
        self.wall_clock = WallClockWatch(wall_clock, monotonic_ms, self.counters, log)
        self.retry: Any = None
        self.sweeping = LoopingCall(self.sweep)
        self.sweeping.clock = reactor
        self.stopped_at = 0.0
        self.may_leave = False
        longest = min(KILL_MOST, max(workload.deadline for workload in configuration.site.workloads))
        self.stop_within = longest + KILL_AFTER - KILL_MARGIN

    def held_elsewhere(self) -> int:
        """How many descriptors are held for other than clients."""
        return self.process.held + OPENED_AT_START + len(self.discovery.earlier) + self.engines.connections

    def bound(self, configuration: Configuration) -> None:
        """All that follows from the limits of a configuration."""
        self.budget = DescriptorBudget.from_limit(configuration.sockets, self.process)
        self.engines.bound(
            configuration.connect_within,
            configuration.idle_after,
            configuration.attempts_per_connection,
            self.budget.engines,
            configuration.site.drain_grace,
        )
        self.clients.bound(self.budget.clients, self.budget.accepts, configuration.memory_mb)

    def read_again(self, read: Callable[[], Configuration], tries: int = 0) -> None:
        """Reads the configuration again: name service, newer events and limits are in force at once.

        The rest is in force at a start. A configuration that cannot be used may be half written: it is read
        again some times, at growing distances; one that the system cannot read, until it can."""
        if self.retry is not None and self.retry.active():
            self.retry.cancel()
        try:
            configuration = read()
        except Unusable as fault:
            self.read_later(read, tries, fault)
            return
        self.counters.add("configurations_read")
        self.take_again(configuration)

    def read_later(self, read: Callable[[], Configuration], tries: int, fault: Unusable) -> None:
        """A configuration could not be used: the old one stays, and it may be read once more."""
        if not tries:
            self.counters.add("configurations_unusable")
            self.log.error("configuration_kept", extra={"figures": {"why": str(fault)}})
        if self.stopped_at:
            return
        if tries < RETRIES or isinstance(fault, Unreadable):
            delay = min(RETRY_MOST, RETRY_FIRST * 2 ** min(tries, RETRIES))
            self.retry = self.reactor.callLater(delay, self.read_again, read, tries + 1)
            return
        self.counters.add("configurations_given_up")
        figures = {"why": str(fault), "tries": tries + 1}
        self.log.error("configuration_given_up", extra={"figures": figures})

    def take_again(self, configuration: Configuration) -> None:
        """Puts a configuration in force. Discovery first: it outlives a fault at the rest."""
        nameserver = configuration.nameserver
        if nameserver != self.names.address:
            self.adapter.list_moved()
            self.names.move(nameserver)
        known = configuration.known
        if known.number > self.names.number:
            self.guarded("list", lambda: self.take_list(known))
        self.bound(configuration)
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

    def take_list(self, known: KnownList) -> None:
        """Noted as in force once it is: else the name service's next answer tells it again."""
        self.adapter.apply_list(known.endpoints)
        self.names.take_known(known)

    def start(self) -> None:
        """Listens, and puts the list of the start in force.

        Raises:
            CannotListenError: Its address cannot be listened on. It can be started again then.
        """
        self.clients.take_port(
            self.reactor.listenTCP(
                self.configuration.port, self.clients, backlog=BACKLOG, interface=self.configuration.host
            )
        )
        self.clients.admit()
        self.adapter.list_known(self.configured_at)
        self.discovery.open()
        self.adapter.apply_list(self.endpoints)
        self.clients.ready = True
        self.sweeping.start(SWEEP_EVERY, now=False)
        self.log.info(
            "ready",
            extra={
                "figures": {
                    "name": self.configuration.name,
                    "listen": self.configuration.host,
                    "port": self.configuration.port,
                    "engines": len(self.endpoints),
                    "list_number": self.names.number,
                    "clients_most": self.budget.clients,
                    "engine_connections_most": self.budget.engines,
                }
            },
        )

    def unhandled(self, event: Mapping[str, Any]) -> None:
        """A fault that a protocol let through: Twisted ends its connection, and the log tells why."""
        if "log_failure" in event:
            self.counters.add("unhandled")
            self.log.error("unhandled", extra={"figures": {"trace": event["log_failure"].getTraceback()}})

    def sweep(self) -> None:
        """Closes connections that have rested for too long, and looks at the wall clock and at discovery.

        Each by itself: a fault in one would end all sweeps to come."""
        self.guarded("wall_clock", self.wall_clock.look)
        self.guarded("discovery", self.discovery.look)
        self.guarded("clients", self.clients.sweep)
        self.guarded("engines", self.engines.sweep)

    def guarded(self, step: str, call: Callable[[], object]) -> None:
        """A fault in one step must not take the next ones with it; it is logged whole and counted."""
        try:
            call()
        except Exception:
            self.counters.add("faults")
            self.log.exception("fault", extra={"figures": {"call": f"service_{step}"}})

    def stop(self) -> None:
        """Told to end: goes on accepting, answers all that it has taken, then ends."""
        if not self.stopped_at:
            self.stopped_at = self.clock()
            self.log.info("stopping", extra={"figures": {"open": len(self.adapter.by_ident)}})
            self.adapter.stop(self.stopped_at + self.stop_within)
            self.clients.ending = True
            self.leave()

    def look_to_leave(self, passed: float) -> None:
        """So many ms after it was told to end: whether all is answered and no more can come."""
        self.may_leave = not (
            passed < STOP_NOT_BEFORE
            or self.adapter.by_ident
            or self.clients.close_idle()
            or self.clients.stop_accepting()
        )

    def leave(self) -> None:
        """Ends once all is answered and no more can come; answers on their way out are written first."""
        passed = self.clock() - self.stopped_at
        self.may_leave = passed >= self.stop_within + OVERTIME
        if not self.may_leave:
            self.guarded("leave", lambda: self.look_to_leave(passed))
        if not self.may_leave:
            self.reactor.callLater(LOOK_EVERY, self.leave)
            return
        if self.retry is not None and self.retry.active():
            self.retry.cancel()
        self.counters.must(not self.adapter.by_ident, "all_answered_at_exit")
        self.sweeping.stop()
        self.discovery.close()
        self.guarded("close", self.engines.close)
        self.log.info("counters", extra={"figures": self.counters.figures()})
        self.log.info("stopped", extra={"figures": {"after_ms": passed}})
        self.done()
