"""`run --settings`: a dispatcher with an operator's file beside its configuration."""

from __future__ import annotations

import gc
import logging
import secrets
import sys
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import TYPE_CHECKING, Any, TextIO, cast

import structlog
from twisted.internet.error import CannotListenError
from twisted.logger import globalLogBeginner

from ..net import start
from ..net.descriptors import ProcessDescriptors
from ..net.logs import pair
from ..settings.reading import Unusable, read
from ..steady import Steady

if TYPE_CHECKING:
    from ..fleet.station import FleetStation
    from ..settings.installation import ExtprocPart, FleetPart, HandoverPart, Installation, LedgerPart
    from ..store.ledger import Ledger
    from ..vrrp.sealed import Keys
    from ..vrrp.station import Station


def key_value(_: object, __: str, event: Any) -> str:
    """One line of pairs, as `net.logs` writes them: what on-call staff look for stays."""
    record = event.pop("_record", None)
    for inner in ("_from_structlog", "exc_info"):
        event.pop(inner, None)
    pairs = {
        "t": f"{record.created if record else time.time():.3f}",
        "level": event.pop("level", "info"),
        "event": event.pop("event", ""),
    } | event
    return " ".join(pair(key, value) for key, value in pairs.items())


def figures(_: object, __: str, event: Any) -> Any:
    """What stdlib callers hand over under `figures`, and the trace of an exception."""
    record = event.get("_record")
    event |= getattr(record, "figures", {})
    if record is not None and record.exc_info:
        event["trace"] = logging.Formatter().formatException(record.exc_info)
    return event


def logger(name: str, stream: TextIO) -> logging.Logger:
    """A logger of its own that renders through structlog, over the logging module."""
    handler = logging.StreamHandler(stream)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            foreign_pre_chain=[structlog.stdlib.add_log_level, figures],
            processors=[key_value],
            keep_exc_info=False,
        )
    )
    log = logging.Logger(name, logging.INFO)
    log.addHandler(handler)
    return log


def steady_reactor() -> Any:
    """Twisted's reactor on the monotonic clock: its own counts Unix time, and a step back would stop each
    timer."""
    from twisted.internet.epollreactor import EPollReactor
    from twisted.internet.main import installReactor

    class SteadyReactor(EPollReactor):
        seconds = staticmethod(time.monotonic)

    reactor = cast(Any, SteadyReactor)()
    cast(Any, installReactor)(reactor)
    return reactor


def monotonic_ms() -> float:
    return time.monotonic() * 1000


def shifted(path: str) -> Callable[[], float]:
    """For tests: Unix time with the ms added that a file holds; it is looked at every 50 ms."""
    looked, shift = float("-inf"), 0.0

    def unix() -> float:
        nonlocal looked, shift
        if monotonic_ms() - looked >= 50.0:
            looked = monotonic_ms()
            try:
                shift = float(Path(path).read_text("ascii"))
            except (OSError, ValueError):
                shift = 0.0
        return start.unix_ms() + shift

    return unix


def read_keys(path: str, name: str, part: FleetPart | HandoverPart) -> Keys:
    """Keys from the file or the files that it names; Unusable where there are none."""
    from ..vrrp.station import keys_of

    try:
        return keys_of(part)
    except (OSError, ValueError) as fault:
        raise Unusable(f"{path}: {name}.keys: {fault}") from None


def run_with(environment: Mapping[str, str], path: str) -> int:
    """Runs until it is stopped; 2 where configuration or file cannot be used."""
    try:
        serve(environment.get("ROUTER_CONFIG", ""), path)
    except (Unusable, start.Unusable) as fault:
        print(f"spurdeal: {fault}", file=sys.stderr)
        return 2
    return 0


class Installed:
    """A dispatcher with all that an operator's file adds, started and stopped together."""

    def __init__(
        self,
        service: start.Service,
        plan: Installation,
        loop: Any,
        path: str,
        configuration: str,
        unix: Callable[[], float],
    ) -> None:
        self.service, self.plan, self.loop, self.path = service, plan, loop, path
        self.configuration, self.unix = configuration, unix
        self.link, self.log, self.counters = service.link, service.log, service.counters
        self.station: Station | None = None
        self.ledger: Ledger | None = None
        self.fleet: FleetStation | None = None
        self.server: Any = None
        self.context: Any = None
        if plan.vrrp is not None:
            from ..vrrp.station import Station

            self.station = Station(service, plan, loop, monotonic_ms, secrets.randbits(63) | 1, self.log)
        if plan.ledger is not None:
            self.ledger = self.open_ledger(plan.ledger)
        if plan.fleet is not None:
            self.fleet = self.make_fleet()
        if plan.extproc is not None:
            self.server = self.make_server(plan.extproc)

    def make_fleet(self) -> FleetStation:
        from ..fleet.station import FleetStation

        assert self.plan.fleet is not None
        keys = read_keys(self.path, "fleet", self.plan.fleet)
        audit = self.plan.fleet.audit
        try:
            configuration = Path(self.configuration).read_bytes()
            return FleetStation(
                self.service,
                self.plan,
                keys,
                configuration,
                self.loop,
                monotonic_ms,
                self.service.clock,
                self.unix,
                self.log,
            )
        except OSError as fault:
            where = audit.path if audit is not None else self.configuration
            raise Unusable(f"{self.path}: fleet.audit.path: {fault.strerror}: {where}") from None

    def open_ledger(self, part: LedgerPart) -> Ledger:
        from ..store.ledger import Ledger

        try:
            return Ledger(Path(part.path), start.unix_ms, part.flush, part.ids, part.bytes)
        except OSError as fault:
            raise Unusable(f"{self.path}: ledger.path: {fault.strerror}: {part.path}") from None

    def make_server(self, part: ExtprocPart) -> Any:
        from ..extproc.bounds import Bounds
        from ..extproc.calls import Terms
        from ..extproc.server import Server

        site, configured = self.service.configuration.site, self.service.configuration
        if site.drain_grace and part.use_within >= site.drain_grace:
            raise Unusable(
                f"{self.path}: extproc.use_within: {part.use_within:.0f} ms is not under the "
                f"drain "
                f"rule's grace of {site.drain_grace:.0f} ms"
            )
        if part.tls is not None:
            from ..extproc.tls import Context

            try:
                self.context = Context(part.tls.certificate, part.tls.key)
            except (OSError, ValueError) as fault:
                raise Unusable(f"{self.path}: extproc.tls: {fault}") from None
        terms = Terms(
            part.message_timeout,
            part.most_timeout,
            part.margin,
            part.use_within,
            part.id_header.encode(),
            part.proof_header.encode(),
        )
        bounds = Bounds(
            connections=part.connections,
            calls=part.calls,
            calls_each=part.calls_each,
            message=part.message,
            idle=part.idle,
        )
        longest = max(workload.expiry for workload in site.workloads)
        return Server(
            self.link,
            self.service.engines,
            configured.workloads,
            terms,
            bounds,
            longest,
            site.most_come_back,
            self.loop,
            self.service.clock,
            self.counters,
            self.log,
        )

    def start(self) -> None:
        """Before the service: its first list and its first submission are seen through all of this."""
        if self.station is not None:
            self.station.start()
        if self.ledger is not None and self.plan.ledger is not None:
            from ..net.link import at_most_once
            from ..store.guard import LedgerGuard

            site = self.service.configuration.site
            self.link.guard = LedgerGuard(
                self.ledger,
                at_most_once(site),
                self.plan.ledger.keep,
                site.most_come_back,
                self.loop,
                self.counters,
                self.log,
                self.link.guard,
            )
            if self.station is not None:
                self.station.recall(self.ledger.ends)
            self.log.info(
                "ledger",
                extra={
                    "figures": {
                        "recovered": self.ledger.recovered,
                        "torn_tails": self.ledger.torn,
                        "bytes": self.ledger.bytes,
                    }
                },
            )
        if self.fleet is not None:
            self.fleet.start()
            if self.station is not None:
                self.station.shut_out = self.fleet.lowers
        if self.server is not None and self.plan.extproc is not None:
            host, port = self.plan.extproc.listen
            if self.context is not None:
                self.loop.listenSSL(port, self.server, self.context, interface=str(host))
            else:
                self.loop.listenTCP(port, self.server, interface=str(host))
            self.sweep()

    def sweep(self) -> None:
        self.loop.callLater(start.SWEEP_EVERY, self.sweep)
        self.server.sweep()
        if self.ledger is not None:
            for name in ("appended", "torn", "recovered", "failures", "rewritten", "bytes_most"):
                self.counters.sums["ledger_" + name] = getattr(self.ledger, name)

    def read_again(self) -> None:
        """SIGHUP: keys and certificates are in force at once, the rest at a start."""
        try:
            plan = read(self.path)
            if self.context is not None:
                self.context.load()
            if self.fleet is not None and plan.fleet is not None:
                self.fleet.read_again(
                    Path(self.configuration).read_bytes(), plan, read_keys(self.path, "fleet", plan.fleet)
                )
        except (Unusable, OSError, ValueError) as fault:
            self.counters.add("installations_unusable")
            self.log.error("installation_kept", extra={"figures": {"why": str(fault)}})
            return
        if self.station is not None:
            self.station.read_again(plan)
        self.counters.add("installations_read")

    def stop(self) -> None:
        if self.fleet is not None:
            self.fleet.stop()
        if self.station is not None:
            self.station.stop()
        if self.server is not None:
            self.server.stop()
        self.service.stop()

    def done(self) -> None:
        if self.fleet is not None:
            self.fleet.close()
        if self.ledger is not None:
            self.ledger.close()
        self.loop.stop()


def serve(configuration: str, path: str) -> None:
    plan = read(path)
    if plan.handover is not None:
        read_keys(path, "handover", plan.handover)
    if not configuration:
        raise start.Unusable("ROUTER_CONFIG is not set")
    configured = start.load_configuration(configuration)
    loop = steady_reactor()
    file = plan.fleet.clock_file if plan.fleet is not None else None
    unix = shifted(file) if file is not None else start.unix_ms
    clock = Steady(unix, monotonic_ms)
    log = logger(configured.name or "spurdeal", sys.stderr)
    service = start.Service(
        configured, loop, clock.now, log, lambda: installed.done(), ProcessDescriptors.of_this_process()
    )
    installed = Installed(service, plan, loop, path, configuration, unix)

    def again() -> None:
        service.read_again(lambda: start.load_configuration(configuration))
        installed.read_again()

    start.on_signals(loop, again, installed.stop)
    globalLogBeginner.beginLoggingTo([cast(Any, service.unhandled)], redirectStandardIO=False)
    try:
        installed.start()
        service.start()
    except CannotListenError as fault:
        where = f"{fault.interface}:{fault.port}"
        raise start.Unusable(f"cannot listen on {where}: {fault.socketError}") from None
    gc.collect()
    gc.freeze()
    loop.run(installSignalHandlers=False)
