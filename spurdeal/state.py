"""What the rules keep of a request and of its attempts. Times are Unix ms, durations ms."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Generic, NamedTuple, TypeVar

from .interface import Workload

EngineT = TypeVar("EngineT")  # the rules' Engine; a type variable, as the rules import this module


class SendRecord(NamedTuple, Generic[EngineT]):
    """Which engine was chosen for an attempt that was sent, and when.

    Kept instead of the Attempt, which refers to its request: that would be a reference cycle.
    """

    chosen_at: float
    engine: EngineT


@dataclass(slots=True, eq=False)
class Request(Generic[EngineT]):
    """An open request.

    Attributes:
        number: The adapter's number of it.
        workload_index: Index of its workload.
        tenant: Index of its tenant.
        key: Its ordering key, where the workload runs in order; else 0.
        deadline: Time by which it must be answered.
        cost: Estimated work, in ms of one thread.
        memory: Estimated memory in MB; 0: no estimate.
        group: Its group of tables; negative: none.
        received: When it came.
        workload: Its workload.
        best_case_ms: Its duration at an engine under no load, in ms.
        objective_at: Time by which it should be answered.
        value: Value of its answer, lowered for a tenant over its quota.
        cheap: Whether it is small enough to pass the wait queue.
        late: Whether it can no longer be answered by its objective.
        closed: Whether it was answered or withdrawn.
        attempts_made: Number of attempts so far, those without an end included.
        uncounted_attempts: Of these, attempts that ended as MOOT or CONNECT_TIMEOUT; some of them are exempt
            from the cap on attempts. Refused dials are not among them.
        queue_position: Sort key in the wait queue; the lowest is sent first.
        open_attempts: Attempts without an end, by number.
        first_send: Engine and time of the attempt that ended first of those that may have run. None: no
            ended attempt may have run.
        failed_engines: Engines where an attempt ended without a result; retries go elsewhere.
        erring_engines: Engines that answered it with an error.
        engine: Chosen for the next attempt.
        slow_start_charge: ms of work that it counts for against a cold engine's budget.
        estimated: Whether an estimate of its work came with it.
    """

    number: int
    workload_index: int
    tenant: int
    key: int
    deadline: float
    cost: float
    memory: float
    group: int
    received: float
    workload: Workload
    best_case_ms: float
    objective_at: float
    value: float
    cheap: bool
    late: bool = False
    closed: bool = False
    attempts_made: int = 0
    uncounted_attempts: int = 0
    queue_position: tuple[float, int] = (0.0, 0)
    open_attempts: dict[int, Attempt[EngineT]] = field(default_factory=dict)
    first_send: SendRecord[EngineT] | None = None
    failed_engines: list[EngineT] = field(default_factory=list)
    erring_engines: list[EngineT] = field(default_factory=list)
    engine: EngineT | None = None
    slow_start_charge: float = 0.0
    estimated: bool = True


@dataclass(slots=True, eq=False)
class Attempt(Generic[EngineT]):
    """An open attempt.

    Attributes:
        request: Its request.
        number: Its number within the request, from 0.
        engine: Where it is sent.
        chosen_at: When its engine was chosen; dialling or a full connection may delay the sending.
        last_progress: When its engine last reported on it; at first chosen_at.
        engine_started: Start of its engine, as the list gave it when the engine was chosen.
        slow_start_charge: ms of work counted against a cold engine's budget; 0: the engine was warm.
        cancelled: Whether the adapter was asked to cancel it.
        waits_for_load: Whether it waits for a table load to end, and so uses no threads.
    """

    request: Request[EngineT]
    number: int
    engine: EngineT
    chosen_at: float
    last_progress: float
    engine_started: float = 0.0
    slow_start_charge: float = 0.0
    cancelled: bool = False
    waits_for_load: bool = False
