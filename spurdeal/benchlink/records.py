"""The layouts of the records in frames, little endian, and what two of them tell."""

import struct
from typing import NamedTuple

CODE = struct.Struct("<B")
PROVISION = struct.Struct("<HQI")
MEMBERSHIP = struct.Struct("<HBQH")
INBOUND = struct.Struct("<HQHIQddffH")
HEAD = struct.Struct("<HQB6sd")
SETTLED = struct.Struct("<HQB6sHdBIB")
ABORTED = struct.Struct("<HQ")
WAKEUP = struct.Struct("<HI")
CHECKED = struct.Struct("<H6sHdB")
PEER = struct.Struct("<HIH")
RETIRE = struct.Struct("<H")
UPDATE = struct.Struct("<HQB6sBf")
PAGE = struct.Struct("<HI")
ENTRY = struct.Struct("<6sBHHBfd")


class AttemptResult(NamedTuple):
    """How an attempt has ended, as a frame tells it.

    Attributes:
        attempt: Its number within the request.
        engine: Our index of the engine.
        ending: The value of an Ending.
        took: How long it took, in ms.
        final: Whether the request is over with it.
        bill: Work in the bits from BILL_SHIFT on, and below them memory in units of BILL_UNIT MB.
        report: What the engine tells of itself.
    """

    attempt: int
    engine: int
    ending: int
    took: float
    final: int
    bill: int
    report: tuple[float, ...]


class Notice(NamedTuple):
    """An engine's report on an attempt: its number, our engine index, a ProgressKind's value, a level."""

    attempt: int
    engine: int
    word: int
    level: float
