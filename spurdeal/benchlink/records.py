"""Layouts of the records in frames (little-endian), and two of them decoded."""

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
    """How an attempt ended, from a SETTLED record.

    Attributes:
        attempt: Its number within the request, from 0.
        engine: Our index of the engine.
        ending: Value of an Ending.
        took: Its duration in ms.
        final: Whether the request is over with it; 0 or 1.
        bill: Work in the bits from BILL_SHIFT up, and below them memory in units of BILL_UNIT MB.
        report: Figures of the engine's state, in the order of the settings' report fields.
    """

    attempt: int
    engine: int
    ending: int
    took: float
    final: int
    bill: int
    report: tuple[float, ...]


class ProgressReport(NamedTuple):
    """An engine's report on a running attempt, from an UPDATE record.

    Attributes:
        attempt: Its number within the request, from 0.
        engine: Our index of the engine.
        kind: Value of a ProgressKind.
        level: For its meaning see ProgressKind.
    """

    attempt: int
    engine: int
    kind: int
    level: float
