"""Logging in key=value format."""

import logging
from typing import TextIO


def pair(key: str, value: object) -> str:
    """Format one pair, quoted and escaped where needed."""
    text = f"{value:.1f}" if isinstance(value, float) else str(value)
    if not text or any(char in text for char in ' "=\n\\'):
        text = '"' + text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n") + '"'
    return f"{key}={text}"


class KeyValueFormatter(logging.Formatter):
    """Formats a record: its message is the event, and the dict `figures` in its extras the other fields."""

    def format(self, record: logging.LogRecord) -> str:
        """Format a record as one line."""
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
    """A logger detached from the root logger, so that an embedding program's logging is unaffected."""
    handler = logging.StreamHandler(stream)
    handler.setFormatter(KeyValueFormatter())
    log = logging.Logger(name, logging.INFO)
    log.addHandler(handler)
    return log
