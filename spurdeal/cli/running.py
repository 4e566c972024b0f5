"""`run --settings`: a dispatcher with a settings file in addition to its configuration."""

from __future__ import annotations

import gc
import secrets
import sys
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple, cast

from twisted.internet.error import CannotListenError
from twisted.logger import globalLogBeginner

from ..clocks import SteadyClock, monotonic_ms, unix_ms
from ..early_signals import SIGNALS
from ..net import start
from ..net.descriptors import ProcessDescriptors
from ..net.monotonic_reactor import install_monotonic_reactor
from ..settings.reading import SettingsError, read
from .clocks import shifted_unix_ms
from .structured_logs import logger

if TYPE_CHECKING:
    from twisted.internet.epollreactor import EPollReactor

    from ..extproc.server import Server
    from ..extproc.tls import ReloadableContext
    from ..fleet.station import FleetStation
    from ..settings.installation import (
        ExtprocSection,
        FleetSection,
        HandoverSection,
        Installation,
        LedgerSection,
    )
    from ..store.ledger import Ledger
    from ..vrrp.sealed import Keys
    from ..vrrp.station import Station


def read_keys(path: str, name: str, section: FleetSection | HandoverSection) -> Keys:
    """Read a section's keys from the settings file, or from the files that it names.

    Raises:
        SettingsError: A key file cannot be read or is invalid.
    """
    from ..vrrp.station import keys_of

    try:
        return keys_of(section)
    except (OSError, ValueError) as error:
        raise SettingsError(f"{path}: {name}.keys: {error}") from None


def run_with(environment: Mapping[str, str], path: str) -> int:
    """Run until stopped and return the exit code: 2 if the configuration or the settings are invalid."""
    try:
        serve(environment.get("ROUTER_CONFIG", ""), path)
    except (SettingsError, start.Unusable) as error:
        print(f"spurdeal: {error}", file=sys.stderr)
        return 2
    return 0


class Files(NamedTuple):
    """Paths of the settings file and of the dispatcher's configuration."""

    settings: str
    configuration: str


class InstalledDispatcher:
    """A dispatcher with the parts that its settings file adds; they start and stop together.

    `installation` holds the parsed settings file, and each of its sections configures one part.

    Raises:
        SettingsError: A key, certificate, directory or value of the settings file cannot be used.
    """

    def __init__(
        self,
        service: start.Service,
        installation: Installation,
        loop: EPollReactor,
        files: Files,
        unix: Callable[[], float],
    ) -> None:
        self.service, self.installation, self.unix = service, installation, unix
        self.loop: Any = loop  # Twisted's reactor has no types of its own
        self.path, self.configuration = files
        self.adapter, self.log, self.counters = service.adapter, service.log, service.counters
        self.station: Station | None = None
        self.ledger: Ledger | None = None
        self.fleet: FleetStation | None = None
        self.server: Server | None = None
        self.context: ReloadableContext | None = None
        if installation.vrrp is not None:
            from ..vrrp.station import Runtime, Station

            self.station = Station(
                service,
                installation,
                secrets.randbits(63) | 1,
                Runtime(loop, monotonic_ms, service.counters, self.log),
            )
        if installation.ledger is not None:
            self.ledger = self.open_ledger(installation.ledger)
        if installation.fleet is not None:
            self.fleet = self.make_fleet()
        if installation.extproc is not None:
            self.server = self.make_server(installation.extproc)

    def make_fleet(self) -> FleetStation:
        """Create the fleet station.

        Raises:
            SettingsError: A key, the configuration or the audit log's directory cannot be used. The message
                names fleet.audit.path even if it is the configuration that cannot be read.
        """
        from ..fleet.station import Clocks, FleetStation, StationSettings

        assert self.installation.fleet is not None
        keys = read_keys(self.path, "fleet", self.installation.fleet)
        audit = self.installation.fleet.audit
        try:
            configuration = Path(self.configuration).read_bytes()
            return FleetStation(
                self.service,
                StationSettings(self.installation, keys, configuration),
                self.loop,
                Clocks(monotonic_ms, self.service.clock, self.unix),
                self.log,
            )
        except OSError as error:
            where = audit.path if audit is not None else self.configuration
            raise SettingsError(f"{self.path}: fleet.audit.path: {error.strerror}: {where}") from None

    def open_ledger(self, section: LedgerSection) -> Ledger:
        """Open the ledger and recover its contents.

        Raises:
            SettingsError: The ledger's directory cannot be used.
        """
        from ..store.ledger import Ledger, LedgerSettings

        longest = section.keep + max(
            workload.deadline for workload in self.service.configuration.site.workloads
        )
        settings = LedgerSettings(section.flush, section.ids, section.bytes, longest)
        try:
            return Ledger(Path(section.path), self.service.clock, settings)
        except OSError as error:
            raise SettingsError(f"{self.path}: ledger.path: {error.strerror}: {section.path}") from None

    def make_server(self, section: ExtprocSection) -> Server:
        """Create the external processor.

        Raises:
            SettingsError: use_within is not below the drain grace period, or TLS files are invalid.
        """
        from ..extproc.bounds import Bounds
        from ..extproc.calls import CallerSettings
        from ..extproc.server import Runtime, Server, ServerSettings

        site, configured = self.service.configuration.site, self.service.configuration
        if site.drain_grace and section.use_within >= site.drain_grace:
            raise SettingsError(
                f"{self.path}: extproc.use_within: {section.use_within:.0f} ms must be below the "
                f"drain grace period of {site.drain_grace:.0f} ms"
            )
        if section.tls is not None:
            from ..extproc.tls import ReloadableContext

            try:
                self.context = ReloadableContext(section.tls.certificate, section.tls.key)
            except (OSError, ValueError) as error:
                raise SettingsError(f"{self.path}: extproc.tls: {error}") from None
        caller_settings = CallerSettings(
            section.message_timeout,
            section.most_timeout,
            section.margin,
            section.use_within,
            section.id_header.encode(),
            section.proof_header.encode(),
        )
        bounds = Bounds(
            max_connections=section.connections,
            max_calls=section.calls,
            max_calls_each=section.calls_each,
            max_message=section.message,
            idle_after=section.idle,
        )
        longest = max(workload.deadline for workload in site.workloads)
        return Server(
            self.adapter,
            self.service.engines,
            ServerSettings(configured.workloads, caller_settings, bounds, longest, site.max_retry_after),
            Runtime(self.loop, self.service.clock, self.counters, self.log),
        )

    def start(self) -> None:
        """Start all parts, before the service starts, so that they see its first list and first request."""
        if self.station is not None:
            self.station.start()
        if self.ledger is not None and self.installation.ledger is not None:
            self.guard_with_ledger(self.ledger, self.installation.ledger)
        if self.fleet is not None:
            self.fleet.start()
            if self.station is not None:
                self.station.fleet_lowers_priority = self.fleet.lowers_vrrp_priority
        if self.server is not None and self.installation.extproc is not None:
            self.listen_for_callers(self.server, self.installation.extproc)

    def guard_with_ledger(self, ledger: Ledger, section: LedgerSection) -> None:
        """Install the guard that records non-idempotent requests on disk before they are sent."""
        from ..net.link import at_most_once
        from ..store.guard import GuardRuntime, GuardSettings, LedgerGuard

        site = self.service.configuration.site
        self.adapter.guard = LedgerGuard(
            ledger,
            GuardSettings(at_most_once(site), section.keep, site.max_retry_after),
            GuardRuntime(self.loop, self.counters, self.log),
            self.adapter.guard,
        )
        if self.station is not None:
            self.station.restore_records(ledger.expirations)
        figures = {"recovered": ledger.recovered, "torn_tails": ledger.torn, "bytes": ledger.bytes}
        self.log.info("ledger", extra={"figures": figures})

    def listen_for_callers(self, server: Server, section: ExtprocSection) -> None:
        """Accept callers' connections, with TLS if configured."""
        host, port = section.listen
        if self.context is not None:
            self.loop.listenSSL(port, server, self.context, interface=str(host))
        else:
            self.loop.listenTCP(port, server, interface=str(host))
        self.sweep()

    def sweep(self) -> None:
        """Periodically enforce the external processor's timeouts and export the ledger's counters.

        Runs only if there is an external processor: without one, the ledger's counters are not exported.
        """
        self.loop.callLater(start.SWEEP_EVERY, self.sweep)
        if self.server is not None:
            self.server.sweep()
        if self.ledger is not None:
            for name in ("appended", "torn", "recovered", "failures", "rewritten", "bytes_most"):
                self.counters.sums["ledger_" + name] = getattr(self.ledger, name)

    def reload(self) -> None:
        """Handle SIGHUP: reload keys and certificates; other settings take effect at the next start."""
        try:
            installation = read(self.path)
            if self.context is not None:
                self.context.load()
            if self.fleet is not None and installation.fleet is not None:
                self.fleet.reload(
                    Path(self.configuration).read_bytes(),
                    installation,
                    read_keys(self.path, "fleet", installation.fleet),
                )
        except (SettingsError, OSError, ValueError) as error:
            self.counters.add("installations_unusable")
            self.log.error("installation_kept", extra={"figures": {"why": str(error)}})
            return
        if self.station is not None:
            self.station.reload(installation)
        self.counters.add("installations_read")

    def stop(self) -> None:
        """Handle SIGTERM: begin the graceful shutdown of all parts."""
        if self.fleet is not None:
            self.fleet.stop()
        if self.station is not None:
            self.station.stop()
        if self.server is not None:
            self.server.stop()
        self.service.stop()

    def done(self) -> None:
        """Finish the shutdown when all requests are answered: close files and stop the loop."""
        if self.fleet is not None:
            self.fleet.close()
        if self.ledger is not None:
            self.ledger.close()
        self.loop.stop()


def serve(configuration: str, path: str) -> None:
    """Run until stopped.

    Raises:
        SettingsError: The settings file is invalid.
        start.Unusable: The configuration is invalid, or an address cannot be listened on.
    """
    installation = read(path)
    if installation.handover is not None:
        read_keys(path, "handover", installation.handover)
    if not configuration:
        raise start.Unusable("ROUTER_CONFIG is not set")
    configured = start.load_within(start.START_WITHIN, configuration, SIGNALS.termination_requested)
    loop = install_monotonic_reactor()
    file = installation.fleet.clock_file if installation.fleet is not None else None
    unix = shifted_unix_ms(file) if file is not None else unix_ms
    clock = SteadyClock(unix)
    log = logger(configured.name or "spurdeal", sys.stderr)
    process = ProcessDescriptors.of_this_process()
    service = start.Service(configured, loop, clock.now, log, lambda: installed.done(), process, unix)  # noqa: PLW0108 - not bound yet
    installed = InstalledDispatcher(service, installation, loop, Files(path, configuration), unix)

    def reload() -> None:
        service.reload_configuration(lambda: start.load_configuration(configuration))
        installed.reload()

    start.on_signals(loop, reload, installed.stop)
    globalLogBeginner.beginLoggingTo([cast(Any, service.unhandled)], redirectStandardIO=False)
    try:
        installed.start()
        service.start()
    except CannotListenError as error:
        where = f"{error.interface}:{error.port}"
        raise start.Unusable(f"cannot listen on {where}: {error.socketError}") from None
    gc.collect()
    gc.freeze()
    loop.run(installSignalHandlers=False)
