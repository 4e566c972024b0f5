"""The parts of a client's request and of its answer: ids, numbers, keys, rows."""

import re
from collections.abc import Mapping
from hashlib import blake2b

from .http import BadRequest

IDENT = re.compile(rb"[0-9a-fA-F]{16}")
IDEMPOTENCY_KEY = re.compile(rb"[0-9a-zA-Z_.-]{1,64}")  # it goes on as it is, among fields parted by commas
NUMBER = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,12})?")


def number_field(fields: Mapping[bytes, memoryview], name: bytes, default: float | None = None) -> float:
    """The value of a field that holds a number.

    Raises:
        BadMessage: the field is missing and has no default, or holds no number.
    """
    if name not in fields and default is not None:
        return default
    text = fields.get(name, b"")
    if not NUMBER.fullmatch(text):
        raise BadRequest(400, f"{name.decode()} is missing or no number")
    return float(text)


def last_part(target: bytes) -> bytes:
    """Of a request's path, without its query."""
    return target.partition(b"?")[0].rpartition(b"/")[2]


def key_of(text: bytes | memoryview) -> int:
    """A number for a key, the same at any time; 0 for none. Nothing need be kept of keys."""
    return int.from_bytes(blake2b(text, digest_size=8).digest(), "big") | 1 if text else 0


def rows_of(pages: tuple[bytes, ...]) -> list[list[str]]:
    """A result's rows from its pages: a tab between columns, a line feed behind each row."""
    text = b"".join(pages).decode("utf-8")
    return [row.split("\t") for row in text.split("\n")[:-1]]
