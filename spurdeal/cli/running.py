"""`run --settings`: a dispatcher with an operator's file beside its configuration."""

from __future__ import annotations

import gc
import logging
import secrets
import signal
import sys
import time
from collections.abc import Mapping
from typing import Any, TextIO, cast

import structlog
from twisted.internet.error import CannotListenError
from twisted.logger import globalLogBeginner

from ..net import start
from ..net.logs import pair
from ..settings.reading import Unusable, read
from ..steady import Steady
from ..vrrp.station import Station, keys_of


def key_value(_: object, __: str, event: Any) -> str:
    """One line of pairs, as `net.logs` writes them: what on-call staff look for stays."""
    record = event.pop("_record", None)
    for inner in ("_from_structlog", "exc_info"):
        event.pop(inner, None)
    pairs = {"t": f"{record.created if record else time.time():.3f}", "level": event.pop("level", "info"),
             "event": event.pop("event", "")} | event
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
    handler.setFormatter(structlog.stdlib.ProcessorFormatter(
        foreign_pre_chain=[structlog.stdlib.add_log_level, figures], processors=[key_value],
        keep_exc_info=False))
    log = logging.Logger(name, logging.INFO)
    log.addHandler(handler)
    return log


def steady_reactor() -> Any:
    """Twisted's reactor on the monotonic clock: its own counts Unix time, and a step back would stop each
    timer."""
    from twisted.internet.epollreactor import EPollReactor
    from twisted.internet.main import installReactor

    class SteadyReactor(EPollReactor):
        def seconds(self) -> float:
            return time.monotonic()
    reactor = cast(Any, SteadyReactor)()
    cast(Any, installReactor)(reactor)
    return reactor


def monotonic_ms() -> float:
    return time.monotonic() * 1000


def run_with(environment: Mapping[str, str], path: str) -> int:
    """Runs until it is stopped; 2 where configuration or file cannot be used."""
    try:
        serve(environment.get("ROUTER_CONFIG", ""), path)
    except (Unusable, start.Unusable) as fault:
        print(f"spurdeal: {fault}", file=sys.stderr)
        return 2
    return 0


def serve(configuration: str, path: str) -> None:
    plan = read(path)
    if plan.handover is not None:
        try:
            keys_of(plan.handover)
        except (OSError, ValueError) as fault:
            raise Unusable(f"{path}: handover.keys: {fault}") from None
    if not configuration:
        raise start.Unusable("ROUTER_CONFIG is not set")
    told = start.told_by(configuration)
    loop = steady_reactor()
    clock = Steady(start.unix_ms, monotonic_ms)
    log = logger(told.name or "spurdeal", sys.stderr)
    service = start.Service(told, loop, clock.now, log, loop.stop)
    station = Station(service, plan, loop, monotonic_ms, secrets.randbits(63) | 1, log)

    def again() -> None:
        service.read_again(lambda: start.told_by(configuration))
        try:
            station.read_again(read(path))
        except Unusable as fault:
            station.kept(str(fault))

    def stop() -> None:
        station.stop()
        service.stop()
    signal.signal(signal.SIGHUP, lambda *_: loop.callFromThread(again))
    signal.signal(signal.SIGTERM, lambda *_: loop.callFromThread(stop))
    signal.signal(signal.SIGINT, lambda *_: loop.callFromThread(stop))
    globalLogBeginner.beginLoggingTo([cast(Any, service.unhandled)], redirectStandardIO=False)
    try:
        station.start()
        service.start()
    except CannotListenError as fault:
        where = f"{fault.interface}:{fault.port}"
        raise start.Unusable(f"cannot listen on {where}: {fault.socketError}") from None
    gc.collect()
    gc.freeze()
    loop.run(installSignalHandlers=False)
