"""Log lines as key=value pairs."""

import logging
from typing import TextIO


def pair(key: str, value: object) -> str:
    text = f"{value:.1f}" if isinstance(value, float) else str(value)
    if not text or any(mark in text for mark in ' "=\n\\'):
        text = '"' + text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n") + '"'
    return f"{key}={text}"


class KeyValueFormatter(logging.Formatter):
    """The message names the event; a dict under `figures` in the record's extras holds what goes with it."""

    def format(self, record: logging.LogRecord) -> str:
        pairs = {
            "t": f"{record.created:.3f}",
            "level": record.levelname.lower(),
            "event": record.getMessage(),
        }
        pairs |= getattr(record, "figures", {})
        if record.exc_info:
            pairs["trace"] = self.formatException(record.exc_info)
        return " ".join(pair(key, value) for key, value in pairs.items())


def logger(name: str, stream: TextIO) -> logging.Logger:
    """A logger of its own, not the process's root: an embedder keeps its logging."""
    handler = logging.StreamHandler(stream)
    handler.setFormatter(KeyValueFormatter())
    log = logging.Logger(name, logging.INFO)
    log.addHandler(handler)
    return log
