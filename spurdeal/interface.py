"""What a link and the rules say to each other. Times are milliseconds, ids small indices."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, IntEnum, StrEnum, auto
from typing import NamedTuple, Protocol


class Effect(IntEnum):
    """What a repeat does: nothing, nothing where its mark is known, or harm."""

    IDEMPOTENT = 0
    IDEMPOTENT_BY_KEY = 1
    NON_IDEMPOTENT = 2


class Reach(IntEnum):
    """Which engines know a request's idempotency key: all, those of one zone, or those of one cell."""

    ALL = 0
    ZONE = 1
    CELL = 2


class Ending(IntEnum):
    """How an attempt ended.

    UNREACHED: its connection was refused, or did not come up and the link cannot tell which.
    CONNECT_TIMEOUT: its connection did not come up in time, and nothing refused it.
    """

    DELIVERED = 0
    ERROR = 1
    FULL = 2
    TIME_OUT = 3
    UNREACHED = 4
    RESET = 5
    CALLED_OFF = 6
    MOOT = 7
    CONNECT_TIMEOUT = 8


NEVER_RAN = (Ending.FULL, Ending.UNREACHED, Ending.MOOT, Ending.CONNECT_TIMEOUT)


class EndReason(StrEnum):
    """Why the rules end a request without a result, as logs and counters name it."""

    NO_TIME = "no_time_left"
    TOO_LATE = "too_late_to_be_of_use"
    CROWDED = "too_many_open"
    ERRORS = "failed_on_several_engines"
    TIMED_OUT = "attempt_timed_out"
    ATTEMPTS = "no_attempt_left"
    BUDGET = "retry_budget_spent"
    MAY_HAVE_RUN = "may_have_run"


class Life(IntEnum):
    GONE = 0
    DRAINING = 1
    READY = 2


class Verdict(Enum):
    """What an answer of the name service tells."""

    CONFIRMED = auto()  # the list in force
    NEWER = auto()  # another list, which is in force now
    OLDER = auto()  # a list with a lower number, or that of an earlier question


class ProgressKind(IntEnum):
    """A progress report on an open attempt: its share done, the megabytes it lacks, what it waits for."""

    PROGRESS = 1
    SPILLS = 2
    WAITS = 3


WAITS_FOR_MEMORY, WAITS_FOR_LOAD = 1, 2


@dataclass(frozen=True, slots=True)
class Workload:
    objective: float
    stretch: float
    deadline: float
    value: float
    late_value: float
    effect: Effect = Effect.IDEMPOTENT
    reach: Reach = Reach.ALL
    key_retention: float = 0.0
    in_order: bool = False
    zones: tuple[int, ...] | None = None
    kinds: tuple[int, ...] | None = None
    threads: int = 1
    holds_tables: bool = False
    waits_for_loads: bool = False


@dataclass(frozen=True, slots=True)
class Deployment:
    """All that a dispatcher is told once, at its start. None: the deployment sets no such figure.

    in_hand is the place, in the reports that come with answers, of how many requests the engine holds.
    """

    index: int
    dispatchers: int
    zone: int
    workloads: tuple[Workload, ...]
    quotas: tuple[float, ...]
    over_share_value: float
    cores: tuple[int, ...]
    memory_mb: tuple[float, ...]
    load_field: int | None
    list_pushed: bool
    may_cancel: bool
    may_probe: bool
    may_tell: bool
    second_copies: bool
    max_attempts: int
    max_retry_after: float
    grants: bool
    pages: bool
    priorities: bool
    largest_grant: float
    progress_interval: float
    drain_grace: float
    cold_for: float
    cold_share: float
    cold_multiple: float
    cold_window: float
    max_open: float = float("inf")  # requests that clients can have open at once
    order_pause: float | None = None
    retry_floor: float | None = None
    retry_ratio: float | None = None
    retry_window: float | None = None


class ListedEngine(NamedTuple):
    """One line of the list of engines; started is 0 for long ago."""

    engine: int
    zone: int
    kind: int
    cell: int
    life: Life
    weight: float
    started: float


class Rules(Protocol):
    """What a link tells the rules. Every call names the time; turn() closes a batch of them.

    may_send() is called outside of a batch as an attempt's first byte is about to leave. If False, the
    attempt ends as MOOT. Where the list is polled, these too are called outside of batches:
    list_known(): the list read at the start was current at that time;
    list_asked(): a query has left, to be repeated after the ms returned;
    name_service_changed(): another name service is queried from now on;
    list_answered(): the answer to the query that left then named each engine that gets requests;
    True if another query is to leave soon.

    Without an estimate, cost and memory are 0; without a key, key is 0. A request's attempts count from 0.
    """

    def list_changed(self, now: float, lines: Sequence[ListedEngine], whole: bool) -> None: ...
    def list_failed(self, now: float) -> None: ...
    def list_known(self, at: float) -> None: ...
    def list_asked(self, now: float) -> float: ...
    def name_service_changed(self) -> None: ...
    def list_answered(self, now: float, asked_at: float, verdict: Verdict) -> bool: ...
    def capacity_shares_changed(self, now: float, cold: float, start: float) -> None: ...
    def engine_suspected(self, now: float, number: int, left: float) -> None: ...
    def request_received(
        self,
        now: float,
        number: int,
        kind: int,
        tenant: int,
        key: int,
        deadline: float,
        cost: float,
        memory: float,
        group: int,
    ) -> None: ...
    def progress_reported(
        self, now: float, number: int, attempt: int, engine: int, kind: ProgressKind, level: float
    ) -> None: ...
    def attempt_ended(
        self,
        now: float,
        number: int,
        attempt: int,
        engine: int,
        ending: Ending,
        took: float,
        final: bool,
        work: float,
        memory: float,
        report: Sequence[float],
    ) -> None: ...
    def request_withdrawn(self, now: float, number: int) -> None: ...
    def timer_fired(self, now: float, token: int) -> None: ...
    def shutdown_started(self, now: float, until: float) -> None: ...
    def may_send(self, now: float, number: int, attempt: int, engine: int) -> bool: ...
    def end_batch(self, now: float) -> None: ...


class Adapter(Protocol):
    """What the rules ask of a link."""

    def send(self, number: int, engine: int, time_limit: float) -> None: ...
    def terms(self, number: int, memory: float, priority: int) -> None: ...
    def shed(self, number: int, retry_after: float, reason: EndReason) -> None: ...
    def fail_request(self, number: int, reason: EndReason) -> None: ...
    def cancel_attempt(self, number: int, attempt: int) -> None: ...
    def set_timer(self, delay: float, token: int) -> None: ...
    def watch(self) -> None: ...
    def log(self, line: str) -> None: ...
