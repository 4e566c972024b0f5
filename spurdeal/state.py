"""What the rules keep of a request and of its attempts."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Generic, NamedTuple, TypeVar

from .interface import Workload

E = TypeVar("E")  # an engine as the rules see it, which know this module, and not the other way round


class SendRecord(NamedTuple, Generic[E]):
    """When and where an attempt was sent; the attempt itself would hold its request, and that the attempt."""

    sent: float
    engine: E


@dataclass(slots=True, eq=False)
class Request(Generic[E]):
    number: int
    kind: int
    tenant: int
    key: int
    deadline: float
    cost: float
    memory: float
    group: int
    received: float
    workload: Workload
    best_case: float  # how long it runs at its best
    objective: float
    value: float
    cheap: bool
    late: bool = False
    closed: bool = False
    made: int = 0
    never_sent: int = 0  # of these, so many never left
    rank: tuple[float, int] = (0.0, 0)
    out: dict[int, Attempt[E]] = field(default_factory=dict)
    first_send: SendRecord[E] | None = None  # the first attempt that may have run
    failed_engines: list[E] = field(default_factory=list)
    erring_engines: list[E] = field(default_factory=list)  # where it ended in an error
    engine: E | None = None  # chosen for the next attempt
    charge: float = 0.0  # ms of work that it counts for at a cold engine
    estimated: bool = True  # an estimate of its work came with it


@dataclass(slots=True, eq=False)
class Attempt(Generic[E]):
    request: Request[E]
    number: int
    engine: E
    sent: float
    last_progress: float
    started: float = 0.0  # of its engine, as told at the choice
    cold: float = 0.0  # ms of work booked against a cold engine's budget
    cancelled: bool = False
    stands: bool = False  # waits for a load
