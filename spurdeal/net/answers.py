"""How a request is answered."""

from __future__ import annotations

from typing import NamedTuple


class Delivered(NamedTuple):
    pages: tuple[bytes, ...]


class Shed(NamedTuple):
    retry_after: float


class Failed(NamedTuple):
    pass


class Granted(NamedTuple):
    """A caller carries it from here on; its attempt's outcome comes later, or never."""


Answer = Delivered | Shed | Failed | Granted
COUNTED = {Delivered: "delivered", Shed: "shed", Failed: "broken_off", Granted: "granted"}
