"""Settings that all members of a fleet share, and the events that a member reports.

The terms of leases are in `lease`.
"""

from __future__ import annotations

from typing import Any, NamedTuple

TICK = 20.0  # ms between two calls of Fleet.tick


class SharedSettings(NamedTuple):
    """Settings of a fleet, the same for all its members. Times in ms, shares from 0 to 1.

    Attributes:
        period: Time between two probes.
        lease: How long a grant of the lease counts.
        part: Share of the lease's grantors that must grant to keep it; see `Term.quorum`.
        forget: How long a member that is gone or has left stays in the table.
        behind_for: A member that has been behind for longer has lapsed.
        shut_after: A member that has been lapsed for longer may be shut out.
        most_shut: Largest share of the fleet that is shut out for being behind.
        clock_off: Largest tolerated distance of our Unix time from the median of the others'.
    """

    period: float = 200.0
    lease: float = 1500.0
    part: float = 0.34
    forget: float = 600_000.0
    behind_for: float = 2000.0
    shut_after: float = 4000.0
    most_shut: float = 0.34
    clock_off: float = 2000.0


class FleetEvent(NamedTuple):
    """An event for the log and the audit log: its name, and its fields ready for JSON."""

    what: str
    fields: dict[str, Any]
