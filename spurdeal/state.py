"""What the rules keep of a request and of its attempts. Times are Unix ms, durations ms."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Generic, NamedTuple, TypeVar

from .interface import Workload

E = TypeVar("E")  # the rules' Engine; a type variable, as the rules import this module


class SendRecord(NamedTuple, Generic[E]):
    """When and where an attempt was sent.

    Kept instead of the Attempt, which refers to its request: that would be a reference cycle.
    """

    sent: float
    engine: E


@dataclass(slots=True, eq=False)
class Request(Generic[E]):
    """An open request.

    Attributes:
        number: The adapter's number of it.
        kind: Index of its workload.
        tenant: Index of its tenant.
        key: Its ordering key, where the workload runs in order; else 0.
        deadline: Time by which it must be answered.
        cost: Estimated work, in ms of one thread.
        memory: Estimated memory in MB; 0: no estimate.
        group: Its group of tables; negative: none.
        received: When it came.
        workload: Its workload.
        best_case: Its duration at an engine under no load, in ms.
        objective: Time by which it should be answered.
        value: Value of its answer, lowered for a tenant over its quota.
        cheap: Whether it is small enough to pass the wait queue.
        late: Whether it can no longer be answered by its objective.
        closed: Whether it was answered or withdrawn.
        made: Attempts made.
        never_sent: Of these, attempts that were never sent.
        rank: Its place in the wait queue; the lowest is sent first.
        out: Running attempts by number.
        first_send: Of the first attempt that may have run. None: nothing has run.
        failed_engines: Engines where an attempt ended without a result; retries go elsewhere.
        erring_engines: Engines that answered it with an error.
        engine: Chosen for the next attempt.
        charge: ms of work that it is booked with at a cold engine.
        estimated: Whether an estimate of its work came with it.
    """

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
    best_case: float
    objective: float
    value: float
    cheap: bool
    late: bool = False
    closed: bool = False
    made: int = 0
    never_sent: int = 0
    rank: tuple[float, int] = (0.0, 0)
    out: dict[int, Attempt[E]] = field(default_factory=dict)
    first_send: SendRecord[E] | None = None
    failed_engines: list[E] = field(default_factory=list)
    erring_engines: list[E] = field(default_factory=list)
    engine: E | None = None
    charge: float = 0.0
    estimated: bool = True


@dataclass(slots=True, eq=False)
class Attempt(Generic[E]):
    """A running attempt.

    Attributes:
        request: Its request.
        number: Its number within the request, from 0.
        engine: Where it was sent.
        sent: When it was sent.
        last_progress: When its engine last reported on it; at first when it was sent.
        started: Start of its engine, as the list gave it when the engine was chosen.
        cold: ms of work booked against a cold engine's budget; 0: the engine was warm.
        cancelled: Whether the adapter was asked to cancel it.
        stands: Whether it waits for a load, and so uses no threads.
    """

    request: Request[E]
    number: int
    engine: E
    sent: float
    last_progress: float
    started: float = 0.0
    cold: float = 0.0
    cancelled: bool = False
    stands: bool = False
