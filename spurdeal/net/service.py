"""One dispatcher: assembles its parts, starts and stops them, and reloads the configuration."""

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
from .engine_list import NumberedList
from .engines import Engines
from .link import SocketAdapter
from .names import NameService
from .wall_clock import WallClockWatch

SWEEP_EVERY = 0.25  # seconds
# ms. The supervisor kills the process at SIGTERM + KILL_AFTER + min(longest deadline, KILL_MOST); shutdown
# ends KILL_MARGIN before that.
KILL_AFTER, KILL_MOST, KILL_MARGIN = 700.0, 3000.0, 400.0
STOP_NOT_BEFORE = 900.0  # ms after SIGTERM; clients send new connections and requests for up to 600 ms
LAST_WRITES = 200.0  # ms allowed for writing the last answers
EXIT_CHECK_EVERY = 0.05  # seconds
# An unusable configuration is read again after so many seconds, then after twice that, and so on, so many
# times.
RETRY_MIN_DELAY, RETRIES = 0.1, 6
RETRY_MAX_DELAY = 3.2  # seconds; a file that the system cannot read is retried until it can
UNKNOWN_PROCESS = ProcessDescriptors()


class Service:
    """A dispatcher with all its parts, which start and stop together.

    Attributes:
        configuration: The configuration at the start.
        configured_at: When that was read.
        process: The descriptors that the process holds and may hold.
        budget: How descriptors are divided, by the current limits.
        endpoints: The engines known at the start.
        retry: The delayed call that reads an unusable configuration again.
        stopped_at: When its shutdown started, by its clock; 0 before.
        wall_clock: Reports steps of the system's wall clock, which no decision uses.
        on_exit: Called once the shutdown is complete.
        stop_within: How many ms after the start of a shutdown the last request is answered.
    """

    def __init__(
        self,
        configuration: Configuration,
        reactor: Any,
        clock: Callable[[], float],
        log: logging.Logger,
        on_exit: Callable[[], None],
        process: ProcessDescriptors = UNKNOWN_PROCESS,
        wall_clock: Callable[[], float] = unix_ms,
    ) -> None:
        self.configuration, self.reactor, self.clock = configuration, reactor, clock
        self.configured_at = clock()
        self.process = process
        self.log, self.on_exit = log, on_exit
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
        self.clients.other_descriptors = self.open_elsewhere
        self.set_limits(configuration)
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
        self.may_exit = False
        longest = min(KILL_MOST, max(workload.deadline for workload in configuration.site.workloads))
        self.stop_within = longest + KILL_AFTER - KILL_MARGIN

    def open_elsewhere(self) -> int:
        """How many descriptors are open for other purposes than clients."""
        return (
            self.process.already_open
            + OPENED_AT_START
            + len(self.discovery.earlier)
            + self.engines.connections
        )

    def set_limits(self, configuration: Configuration) -> None:
        """Apply the limits of a configuration."""
        self.budget = DescriptorBudget.from_limit(configuration.max_descriptors, self.process)
        self.engines.set_limits(
            configuration.connect_timeout,
            configuration.idle_timeout,
            configuration.attempts_per_connection,
            self.budget.engines,
            configuration.site.drain_grace,
        )
        self.clients.set_limits(self.budget.clients, self.budget.accepts, configuration.memory_mb)

    def reload_configuration(self, read: Callable[[], Configuration], tries: int = 0) -> None:
        """Reload the configuration: name server, newer list of engines and limits take effect at once.

        Everything else takes effect at the next start. An unusable configuration may be half written, so it
        is read again several times with exponential backoff; a file that the system cannot read, until it
        can.
        """
        if self.retry is not None and self.retry.active():
            self.retry.cancel()
        try:
            configuration = read()
        except Unusable as fault:
            self.retry_reading(read, tries, fault)
            return
        self.counters.add("configurations_read")
        self.apply_configuration(configuration)

    def retry_reading(self, read: Callable[[], Configuration], tries: int, fault: Unusable) -> None:
        """Keep the current configuration after an unusable one, and schedule another try if any is left."""
        if not tries:
            self.counters.add("configurations_unusable")
            self.log.error("configuration_kept", extra={"figures": {"why": str(fault)}})
        if self.stopped_at:
            return
        if tries < RETRIES or isinstance(fault, Unreadable):
            delay = min(RETRY_MAX_DELAY, RETRY_MIN_DELAY * 2 ** min(tries, RETRIES))
            self.retry = self.reactor.callLater(delay, self.reload_configuration, read, tries + 1)
            return
        self.counters.add("configurations_given_up")
        figures = {"why": str(fault), "tries": tries + 1}
        self.log.error("configuration_given_up", extra={"figures": figures})

    def apply_configuration(self, configuration: Configuration) -> None:
        """Apply a configuration; discovery goes first, so that a fault in the rest doesn't prevent it."""
        nameserver = configuration.nameserver
        if nameserver != self.names.address:
            self.adapter.name_server_changed()
            self.names.switch_server(nameserver)
        known = configuration.known
        if known.number > self.names.number:
            self.run_step("list", lambda: self.apply_list(known))
        self.set_limits(configuration)
        later = configuration.site_or_address_differs(self.configuration)
        self.log.info(
            "configuration_read",
            extra={
                "figures": {
                    "nameserver": f"{nameserver.host}:{nameserver.port}",
                    "sockets": configuration.max_descriptors,
                    "rest_at_a_start": later,
                }
            },
        )

    def apply_list(self, known: NumberedList) -> None:
        """Apply a list, then record it as current; after a fault, the name server sends it again."""
        self.adapter.apply_list(known.endpoints)
        self.names.adopt_list(known)

    def start(self) -> None:
        """Listen, and apply the initial list.

        Raises:
            CannotListenError: Its address cannot be listened on; start can be called again.
        """
        self.clients.set_port(
            self.reactor.listenTCP(
                self.configuration.port, self.clients, backlog=BACKLOG, interface=self.configuration.host
            )
        )
        self.clients.apply_accept_limit()
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
        """Log an exception that a protocol did not handle; Twisted closes its connection."""
        if "log_failure" in event:
            self.counters.add("unhandled")
            self.log.error("unhandled", extra={"figures": {"trace": event["log_failure"].getTraceback()}})

    def sweep(self) -> None:
        """Close idle connections, and check the wall clock and discovery.

        Each step is guarded, because an exception would end the periodic call.
        """
        self.run_step("wall_clock", self.wall_clock.check)
        self.run_step("discovery", self.discovery.check_and_repair)
        self.run_step("clients", self.clients.sweep)
        self.run_step("engines", self.engines.sweep)

    def run_step(self, step: str, call: Callable[[], object]) -> None:
        """Run a step; an exception is logged and counted, and the following steps still run."""
        try:
            call()
        except Exception:
            self.counters.add("faults")
            self.log.exception("fault", extra={"figures": {"call": f"service_{step}"}})

    def stop(self) -> None:
        """Start a graceful shutdown: keep accepting for a while, answer all requests, then exit."""
        if not self.stopped_at:
            self.stopped_at = self.clock()
            self.log.info("stopping", extra={"figures": {"open": len(self.adapter.by_ident)}})
            self.adapter.stop(self.stopped_at + self.stop_within)
            self.clients.ending = True
            self.exit_when_done()

    def check_exit(self, passed: float) -> None:
        """Set `may_exit` if, `passed` ms into the shutdown, all is answered and no request can come."""
        self.may_exit = not (
            passed < STOP_NOT_BEFORE
            or self.adapter.by_ident
            or self.clients.close_idle()
            or self.clients.stop_accepting()
        )

    def exit_when_done(self) -> None:
        """Exit once all requests are answered and written, and no more can come; else check again later."""
        passed = self.clock() - self.stopped_at
        self.may_exit = passed >= self.stop_within + LAST_WRITES
        if not self.may_exit:
            self.run_step("leave", lambda: self.check_exit(passed))
        if not self.may_exit:
            self.reactor.callLater(EXIT_CHECK_EVERY, self.exit_when_done)
            return
        if self.retry is not None and self.retry.active():
            self.retry.cancel()
        self.counters.check_invariant(not self.adapter.by_ident, "all_answered_at_exit")
        self.sweeping.stop()
        self.discovery.close()
        self.run_step("close", self.engines.close)
        self.log.info("counters", extra={"figures": self.counters.figures()})
        self.log.info("stopped", extra={"figures": {"after_ms": passed}})
        self.on_exit()
