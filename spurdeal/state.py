"""What the rules keep of a submission and of its trips."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from .interface import Workload

if TYPE_CHECKING:
    from .rules import Engine


class Ran(NamedTuple):
    """When and where a trip was sent; the trip itself would hold its submission, and that the trip."""

    sent: float
    engine: Engine


@dataclass(slots=True, eq=False)
class Submission:
    number: int
    kind: int
    customer: int
    key: int
    expiry: float
    cost: float
    memory: float
    group: int
    taken: float
    workload: Workload
    due: float  # how long it runs at its best
    agreed: float
    utility: float
    cheap: bool
    late: bool = False
    over: bool = False
    made: int = 0
    rank: tuple[float, int] = (0.0, 0)
    out: dict[int, Trip] = field(default_factory=dict)
    ran: Ran | None = None  # the first trip that may have run
    avoid: list[Engine] = field(default_factory=list)
    erred: list[Engine] = field(default_factory=list)  # where it ended in an error
    engine: Engine | None = None  # chosen for the next trip


@dataclass(slots=True, eq=False)
class Trip:
    submission: Submission
    number: int
    engine: Engine
    sent: float
    heard: float
    called_off: bool = False
    stands: bool = False  # waits for a load
