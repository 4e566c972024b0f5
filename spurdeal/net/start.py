"""Starts a dispatcher with the configuration file named in the environment."""

from __future__ import annotations

import errno
import gc
import signal
import sys
import time
from collections.abc import Callable, Mapping
from typing import Any, cast

from twisted.internet.error import CannotListenError
from twisted.logger import globalLogBeginner

from ..clocks import SteadyClock
from ..early_signals import SIGNALS
from .configuration import Configuration, Unreadable, Unusable, load_configuration, read_configuration
from .descriptors import ProcessDescriptors
from .logs import logger
from .monotonic_reactor import install_monotonic_reactor
from .service import SWEEP_EVERY, Service
from .transient_errors import TRANSIENT

__all__ = [
    "SWEEP_EVERY",
    "Configuration",
    "Service",
    "Unusable",
    "load_configuration",
    "main",
    "on_signals",
    "read_configuration",
    "serve",
]

START_WITHIN = 5.0  # seconds; a predecessor that shuts down has exited or was killed after at most 3.7 s
START_RETRY_DELAY = 0.05  # seconds
# By error: the event that is logged when the start is delayed; "start_delayed" for all others.
DELAY_EVENTS = {errno.EADDRINUSE: "address_in_use"}
# EADDRNOTAVAIL is not transient here: an address that this host does not have.
TRANSIENT_LISTEN_ERRORS = (TRANSIENT - {errno.EADDRNOTAVAIL}) | {errno.EADDRINUSE}


def load_within(seconds: float, path: str, termination_requested: Callable[[], bool]) -> Configuration:
    """Load the initial configuration, retrying while the system lacks resources to read it.

    Raises:
        Unusable: It is invalid, or could not be read before the time was over or shutdown was requested.
    """
    until = time.monotonic() + seconds
    while True:
        try:
            return load_configuration(path)
        except Unreadable as fault:
            if not fault.is_transient or time.monotonic() >= until or termination_requested():
                raise
        time.sleep(START_RETRY_DELAY)


def on_signals(loop: Any, reload: Callable[[], None], stop: Callable[[], None]) -> None:
    """Handle SIGHUP, SIGTERM and SIGINT in the event loop, starting with signals that arrived earlier."""
    SIGNALS.hand_over(lambda number: loop.callFromThread(reload if number == signal.SIGHUP else stop))


def main(environment: Mapping[str, str]) -> int:
    """Run a dispatcher until it stops; returns the process's exit code."""
    try:
        serve(environment.get("ROUTER_CONFIG", ""))
    except Unusable as fault:
        print(f"spurdeal: {fault}", file=sys.stderr)
        return 2
    return 0


def serve(path: str) -> None:
    """Run a dispatcher with this configuration file until it stops.

    Raises:
        Unusable: The configuration cannot be used, or its address cannot be listened on.
    """
    if not path:
        raise Unusable("ROUTER_CONFIG is not set")
    configuration = load_within(START_WITHIN, path, SIGNALS.termination_requested)
    loop: Any = install_monotonic_reactor()
    log = logger(configuration.name or "spurdeal", sys.stderr)
    service = Service(
        configuration, loop, SteadyClock().now, log, loop.stop, ProcessDescriptors.of_this_process()
    )
    globalLogBeginner.beginLoggingTo([cast(Any, service.unhandled)], redirectStandardIO=False)
    try:
        if not start_within(START_WITHIN, service, SIGNALS.termination_requested):
            return
    except CannotListenError as fault:
        where = f"{configuration.host}:{configuration.port}"
        raise Unusable(f"configuration: cannot listen on {where}: {fault.socketError}") from None
    on_signals(loop, lambda: service.reload_configuration(lambda: load_configuration(path)), service.stop)
    gc.collect()
    gc.freeze()
    loop.run(installSignalHandlers=False)


def start_within(seconds: float, service: Service, termination_requested: Callable[[], bool]) -> bool:
    """Start the service, retrying while its address is in use.

    A killed predecessor holds the address until the system has closed its sockets; a predecessor in graceful
    shutdown holds it until it has answered its last request.

    Returns:
        False if shutdown was requested before the address was free.

    Raises:
        CannotListenError: The address cannot be listened on, or was still in use when the time was over.
    """
    until = time.monotonic() + seconds
    logged = False
    while True:
        try:
            service.start()
            return True
        except CannotListenError as fault:
            if fault.socketError.errno not in TRANSIENT_LISTEN_ERRORS or time.monotonic() >= until:
                raise
            why = fault.socketError
        if termination_requested():
            return False
        if not logged:
            logged = True
            figures = {"retried_for_s": seconds, "why": str(why)}
            service.log.warning(DELAY_EVENTS.get(why.errno, "start_delayed"), extra={"figures": figures})
        time.sleep(START_RETRY_DELAY)
