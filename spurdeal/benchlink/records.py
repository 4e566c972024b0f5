"""Layouts of the records in frames (little-endian), and two of them decoded.

A record is a CODE and one of the layouts that follow; instances and requests are the bench's numbers, an
address is that of an engine. Host.readers gives the code of each layout.
"""

import struct
from typing import NamedTuple

CODE = struct.Struct("<B")  # which of the records below follows
PROVISION = struct.Struct("<HQI")  # instance, seed, size of the settings in bytes (JSON, which follows)
MEMBERSHIP = struct.Struct("<HBQH")  # instance, scope, unused, number of a list
# Instance, request, workload, tenant, key, deadline (ms), cost, memory (MB), group of tables, flags.
INBOUND = struct.Struct("<HQHIQddffH")
HEAD = struct.Struct("<HQB6sd")  # instance, unused, unused, address, unused
# Instance, request, the fields of AttemptResult with an address; count of the report's floats, which follow.
SETTLED = struct.Struct("<HQB6sHdBIB")
ABORTED = struct.Struct("<HQ")  # instance, request
WAKEUP = struct.Struct("<HI")  # instance, token of the timer
CHECKED = struct.Struct("<H6sHdB")  # instance, address, ending, unused, count of the floats that follow
PEER = struct.Struct("<HIH")  # instance, unused, size in bytes of the message that follows
RETIRE = struct.Struct("<H")  # instance
UPDATE = struct.Struct("<HQB6sBf")  # instance, request, kind, address, attempt, level: see ProgressReport
PAGE = struct.Struct("<HI")  # number of the list, count of the ENTRY records that follow
ENTRY = struct.Struct("<6sBHHBfd")  # address, zone, machine type, cell, life, weight, start (ms)


class AttemptResult(NamedTuple):
    """How an attempt ended, from a SETTLED record.

    Attributes:
        attempt: Its number within the request, from 0.
        engine: Our index of the engine.
        ending: Value of an Ending.
        took: Its duration in ms.
        final: Whether the request is over with it; 0 or 1.
        usage: Work in the bits from WORK_SHIFT up, and below them memory in units of MEMORY_UNIT MB.
        report: Figures of the engine's state, in the order of the settings' report fields.
    """

    attempt: int
    engine: int
    ending: int
    took: float
    final: int
    usage: int
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
