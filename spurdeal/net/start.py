"""Starts a dispatcher from the configuration that its environment names."""

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
from ..early import SIGNALS
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

START_WITHIN = 5.0  # seconds; a predecessor told to end is gone, or killed, 3.7 s later at the latest
START_EVERY = 0.05  # seconds
START_DELAYED = {errno.EADDRINUSE: "address_in_use"}
MAY_PASS = (TRANSIENT - {errno.EADDRNOTAVAIL}) | {errno.EADDRINUSE}  # an address that is not ours stays so


def load_within(seconds: float, path: str, end_asked: Callable[[], bool]) -> Configuration:
    """Reads the configuration of a start, again while the system is short of what that takes.

    Raises:
        Unusable: It cannot be used, or could not be read when the time was over or the process asked to end.
    """
    until = time.monotonic() + seconds
    while True:
        try:
            return load_configuration(path)
        except Unreadable as fault:
            if not fault.may_pass or time.monotonic() >= until or end_asked():
                raise
        time.sleep(START_EVERY)


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
    configuration = load_within(START_WITHIN, path, SIGNALS.end_asked)
    loop: Any = install_monotonic_reactor()
    log = logger(configuration.name or "spurdeal", sys.stderr)
    service = Service(
        configuration, loop, SteadyClock().now, log, loop.stop, ProcessDescriptors.of_this_process()
    )
    globalLogBeginner.beginLoggingTo([cast(Any, service.unhandled)], redirectStandardIO=False)
    try:
        if not start_within(START_WITHIN, service, SIGNALS.end_asked):
            return
    except CannotListenError as fault:
        where = f"{configuration.host}:{configuration.port}"
        raise Unusable(f"configuration: cannot listen on {where}: {fault.socketError}") from None
    on_signals(loop, lambda: service.reload_configuration(lambda: load_configuration(path)), service.stop)
    gc.collect()
    gc.freeze()
    loop.run(installSignalHandlers=False)


def start_within(seconds: float, service: Service, end_asked: Callable[[], bool]) -> bool:
    """Starts the service, trying again while its address is in use.

    A predecessor that was killed holds the address until the system has closed its sockets, one that was told
    to end until it has answered its last call.

    Returns:
        False where the process was asked to end before the address was free.

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
            if fault.socketError.errno not in MAY_PASS or time.monotonic() >= until:
                raise
            why = fault.socketError
        if end_asked():
            return False
        if not logged:
            logged = True
            figures = {"retried_for_s": seconds, "why": str(why)}
            service.log.warning(START_DELAYED.get(why.errno, "start_delayed"), extra={"figures": figures})
        time.sleep(START_EVERY)
