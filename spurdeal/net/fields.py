"""Fields of a client's request and of its response: ids, numbers, keys, rows."""

import re
from collections.abc import Mapping
from hashlib import blake2b

from .http import BadRequest

IDENT = re.compile(rb"[0-9a-fA-F]{16}")
IDEMPOTENCY_KEY = re.compile(rb"[0-9a-zA-Z_.-]{1,64}")  # forwarded unescaped in a comma-separated list
NUMBER = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,12})?")


def number_field(fields: Mapping[bytes, memoryview], name: bytes, default: float | None = None) -> float:
    """The value of a numeric field.

    Raises:
        BadRequest: the field is missing and has no default, or is not a number.
    """
    if name not in fields and default is not None:
        return default
    text = fields.get(name, b"")
    if not NUMBER.fullmatch(text):
        raise BadRequest(400, f"{name.decode()} is missing or no number")
    return float(text)


def last_segment(target: bytes) -> bytes:
    """The last segment of a request target's path, without the query string."""
    return target.partition(b"?")[0].rpartition(b"/")[2]


def key_hash(text: bytes | memoryview) -> int:
    """A stable, non-zero 64-bit hash of a key, so that keys need not be stored; 0 for an empty key."""
    return int.from_bytes(blake2b(text, digest_size=8).digest(), "big") | 1 if text else 0


def result_rows(pages: tuple[bytes, ...]) -> list[list[str]]:
    """Parses the rows of a result: columns are separated by tabs, each row ends with a line feed."""
    text = b"".join(pages).decode("utf-8")
    return [row.split("\t") for row in text.split("\n")[:-1]]
