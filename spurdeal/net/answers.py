"""The answers that a request can have."""

from __future__ import annotations

from typing import NamedTuple


class Delivered(NamedTuple):
    """The result of the statement, as the pages of an engine's answer."""

    pages: tuple[bytes, ...]


class Shed(NamedTuple):
    """Rejected to limit load; the client may retry after so many ms (0: no time is given)."""

    retry_after: float


class Failed(NamedTuple):
    """Ended without a result; the client gets an error."""


class Granted(NamedTuple):
    """The caller sends the statement itself; the outcome of its attempt is reported later, or never."""


Answer = Delivered | Shed | Failed | Granted
COUNTER_NAMES = {Delivered: "delivered", Shed: "shed", Failed: "broken_off", Granted: "granted"}
