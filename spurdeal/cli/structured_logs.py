"""Log lines through structlog, in the same format as those of `net.logs`."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING, TextIO

import structlog

from ..net.logs import pair

if TYPE_CHECKING:
    from structlog.typing import EventDict


def key_value(_: object, __: str, event: EventDict) -> str:
    """Render an event as one line of pairs like `net.logs`, so that searches in logs work for both."""
    record = event.pop("_record", None)
    for inner in ("_from_structlog", "exc_info"):
        event.pop(inner, None)
    pairs = {
        "t": f"{record.created if record else time.time():.3f}",
        "level": event.pop("level", "info"),
        "event": event.pop("event", ""),
    } | dict(event)
    return " ".join(pair(key, value) for key, value in pairs.items())


def figures(_: object, __: str, event: EventDict) -> EventDict:
    """Add the fields that stdlib callers pass under `figures`, and the traceback of an exception."""
    record = event.get("_record")
    event.update(getattr(record, "figures", {}))
    if record is not None and record.exc_info:
        event["trace"] = logging.Formatter().formatException(record.exc_info)
    return event


def logger(name: str, stream: TextIO) -> logging.Logger:
    """Return a stdlib logger, outside the logger hierarchy, whose handler renders through structlog."""
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
