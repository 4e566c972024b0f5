"""Starts a dispatcher from the configuration that its environment names."""

from __future__ import annotations

import gc
import signal
import sys
import time
from collections.abc import Callable, Mapping
from typing import Any, cast

from twisted.internet.error import CannotListenError
from twisted.logger import globalLogBeginner

from ..early import SIGNALS
from .configuration import Configuration, Unusable, load_configuration, read_configuration
from .descriptors import ProcessDescriptors
from .logs import logger
from .service import SWEEP_EVERY, Service

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
    "unix_ms",
]


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
    configuration = load_configuration(path)
    from twisted.internet import reactor

    loop: Any = reactor
    log = logger(configuration.name or "spurdeal", sys.stderr)
    service = Service(configuration, loop, unix_ms, log, loop.stop, ProcessDescriptors.of_this_process())
    on_signals(loop, lambda: service.read_again(lambda: load_configuration(path)), service.stop)
    globalLogBeginner.beginLoggingTo([cast(Any, service.unhandled)], redirectStandardIO=False)
    try:
        service.start()
    except CannotListenError as fault:
        where = f"{configuration.host}:{configuration.port}"
        raise Unusable(f"configuration: cannot listen on {where}: {fault.socketError}") from None
    gc.collect()
    gc.freeze()
    loop.run(installSignalHandlers=False)
