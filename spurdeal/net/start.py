"""Starts a dispatcher from its configuration, and stops it."""

from __future__ import annotations

import gc
import json
import logging
import signal
import sys
import time
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any, NamedTuple, cast

from twisted.internet.error import CannotListenError
from twisted.internet.task import LoopingCall
from twisted.logger import globalLogBeginner

from ..deployment import deployment, reported, without_nulls
from ..early import SIGNALS
from ..interface import Deployment
from .clients import Clients
from .counters import Counters
from .engines import Engines
from .link import SocketLink
from .logs import logger
from .names import NameService, Seat, known_seats, read_address

BACKLOG = 1024
SWEEP_EVERY = 0.25  # seconds
CLIENTS_PART, ENGINES_PART = 0.5, 0.4  # of the descriptors
CLIENTS_MOST = 1 / 3  # of the descriptors, by the protocol; one call at a time on each connection
KILL_AFTER, KILL_MOST, KILL_MARGIN = 700.0, 3000.0, 400.0  # ms: behind SIGTERM and the longest expiry, up to
STOP_NOT_BEFORE = 900.0  # ms after SIGTERM; new connections and calls on open ones come until 600
OVERTIME = 200.0  # ms in which the last answers may still be written
LOOK_EVERY = 0.05  # s
RETRY_FIRST, RETRIES = 0.1, 6  # s until an unusable configuration is read again, then twice that, and so on


class Unusable(Exception):
    """A configuration that cannot be used; the text says why in one line."""


class Told(NamedTuple):
    """What a dispatcher is told at its start."""

    name: str
    host: str
    port: int
    seed: int
    sockets: int
    memory_mb: float
    nameserver: tuple[str, int]
    known: tuple[int, dict[str, Seat]]
    site: Deployment
    workloads: dict[bytes, int]
    customers: dict[bytes, int]
    locations: list[str]
    kinds: list[str]
    report_fields: list[str]
    connect_within: float
    idle_after: float
    trips_a_connection: int


def read_configuration(text: str | bytes) -> Told:
    try:
        given = json.loads(text)
        if not isinstance(given, dict):
            raise ValueError("it is not a JSON object")
        given = without_nulls(given)
        settings = given["settings"]
        own, limits = given.get("limits", {}), settings.get("limits", {})
        sockets = int(own.get("sockets", 1024))
        site = replace(deployment(settings), most_open=sockets * CLIENTS_MOST)
        host, port = read_address(given["listen"])
        return Told(
            name=str(given.get("name", "")),
            host=host,
            port=port,
            seed=int(str(given.get("seed", "0")), 16),
            sockets=sockets,
            memory_mb=float(own.get("memory_mb", 192.0)),
            nameserver=read_address(given["nameserver"]),
            known=known_seats(given["known"]),
            site=site,
            workloads={str(grade["name"]).encode(): place for place, grade in enumerate(settings["grades"])},
            customers={
                str(tenant.get("name", "")).encode(): place
                for place, tenant in enumerate(settings.get("tenants", []))
            },
            locations=[str(name) for name in settings.get("zones", [])],
            kinds=[str(name) for name in settings.get("models", [])],
            report_fields=reported(settings),
            connect_within=float(limits.get("dial_timeout", 250.0)),
            idle_after=float(limits.get("conn_idle", 30_000.0)),
            trips_a_connection=int(limits.get("streams_per_conn", 1)),
        )
    except KeyError as missing:
        raise Unusable(f"configuration: {missing} is missing or has a value that is not known") from None
    except (ValueError, TypeError, AttributeError, OverflowError, RecursionError) as fault:
        raise Unusable(f"configuration: {fault}") from None


def told_by(path: str) -> Told:
    try:
        with open(path, "rb") as source:
            return read_configuration(source.read())
    except OSError as fault:
        raise Unusable(f"configuration: {fault.strerror}: {path}") from None


class Service:
    """One dispatcher: its parts, started and stopped together."""

    def __init__(
        self,
        told: Told,
        reactor: Any,
        clock: Callable[[], float],
        log: logging.Logger,
        done: Callable[[], None],
    ) -> None:
        self.told, self.reactor, self.clock, self.log, self.done = told, reactor, clock, log, done
        self.counters = Counters()
        self.engines = Engines(reactor, clock, told.report_fields, self.counters, log)
        self.link = SocketLink(
            told.site, told.seed, told.locations, told.kinds, self.engines, reactor, clock, self.counters, log
        )
        self.clients = Clients(self.link, told.workloads, told.customers, clock, self.counters, log)
        self.bound(told)
        number, seats = told.known
        self.names = NameService(reactor, told.nameserver, number, self.link.listed, self.counters, log)
        self.seats = seats
        self.retry: Any = None
        self.sweeping = LoopingCall(self.sweep)
        self.sweeping.clock = reactor
        self.stopped_at = 0.0
        longest = min(KILL_MOST, max(workload.expiry for workload in told.site.workloads))
        self.stop_within = longest + KILL_AFTER - KILL_MARGIN

    def bound(self, told: Told) -> None:
        """All that follows from the limits told."""
        self.engines.bound(
            told.connect_within,
            told.idle_after,
            told.trips_a_connection,
            int(told.sockets * ENGINES_PART),
            told.site.drain_grace,
        )
        self.clients.bound(int(told.sockets * CLIENTS_PART), told.memory_mb)

    def read_again(self, read: Callable[[], Told], tries: int = 0) -> None:
        """SIGHUP: another name service, newer events and limits are in force at once, the rest at a start.

        One that cannot be used may be half written: it is read again some times, at growing distances."""
        if self.retry is not None and self.retry.active():
            self.retry.cancel()
        try:
            told = read()
        except Unusable as fault:
            if not tries:
                self.counters.add("configurations_unusable")
                self.log.error("configuration_kept", extra={"figures": {"why": str(fault)}})
            if tries < RETRIES and not self.stopped_at:
                self.retry = self.reactor.callLater(RETRY_FIRST * 2**tries, self.read_again, read, tries + 1)
            return
        self.counters.add("configurations_read")
        self.bound(told)
        number, seats = told.known
        if number > self.names.number:
            self.names.number = number
            self.link.listed(seats)
        if told.nameserver != self.names.address:
            self.names.move(told.nameserver)
        host, port = told.nameserver
        later = (told.site, told.host, told.port) != (self.told.site, self.told.host, self.told.port)
        self.log.info(
            "configuration_read",
            extra={
                "figures": {"nameserver": f"{host}:{port}", "sockets": told.sockets, "rest_at_a_start": later}
            },
        )

    def start(self) -> None:
        self.clients.port = self.reactor.listenTCP(
            self.told.port, self.clients, backlog=BACKLOG, interface=self.told.host
        )
        self.reactor.listenUDP(0, self.names, interface=self.told.host, maxPacketSize=65535)
        self.link.listed(self.seats)
        self.clients.ready = True
        self.sweeping.start(SWEEP_EVERY, now=False)
        self.log.info(
            "ready",
            extra={
                "figures": {
                    "name": self.told.name,
                    "listen": self.told.host,
                    "port": self.told.port,
                    "engines": len(self.seats),
                }
            },
        )

    def unhandled(self, event: Mapping[str, Any]) -> None:
        """A fault that a protocol let through: Twisted ends its connection, and the log tells why."""
        if "log_failure" in event:
            self.counters.add("unhandled")
            self.log.error("unhandled", extra={"figures": {"trace": event["log_failure"].getTraceback()}})

    def sweep(self) -> None:
        self.clients.sweep()
        self.engines.sweep()

    def stop(self) -> None:
        """Goes on accepting, answers all that it has taken, then ends."""
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


def unix_ms() -> float:
    return time.time() * 1000


def on_signals(loop: Any, again: Callable[[], None], stop: Callable[[], None]) -> None:
    """SIGHUP, and SIGTERM or SIGINT, in the loop's own time; what came before this, first."""
    SIGNALS.hand_over(lambda number: loop.callFromThread(again if number == signal.SIGHUP else stop))


def main(environment: Mapping[str, str]) -> int:
    try:
        serve(environment.get("ROUTER_CONFIG", ""))
    except Unusable as fault:
        print(f"spurdeal: {fault}", file=sys.stderr)
        return 2
    return 0


def serve(path: str) -> None:
    if not path:
        raise Unusable("ROUTER_CONFIG is not set")
    told = told_by(path)
    from twisted.internet import reactor

    loop: Any = reactor
    service = Service(told, loop, unix_ms, logger(told.name or "spurdeal", sys.stderr), loop.stop)
    on_signals(loop, lambda: service.read_again(lambda: told_by(path)), service.stop)
    globalLogBeginner.beginLoggingTo([cast(Any, service.unhandled)], redirectStandardIO=False)
    try:
        service.start()
    except CannotListenError as fault:
        where = f"{told.host}:{told.port}"
        raise Unusable(f"configuration: cannot listen on {where}: {fault.socketError}") from None
    gc.collect()
    gc.freeze()
    loop.run(installSignalHandlers=False)
