"""The interface between an adapter (transport) and the rules (decisions).

Times are Unix ms of one clock for all calls, see `clocks.SteadyClock`; durations are in ms. Requests,
engines, workloads, tenants, zones and cells are known by small integers, which the adapter assigns.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, IntEnum, StrEnum, auto
from typing import NamedTuple, Protocol


class Effect(IntEnum):
    """What a second execution of a request does.

    IDEMPOTENT: no harm.
    IDEMPOTENT_BY_KEY: no harm at engines that know the request's idempotency key, see Reach.
    NON_IDEMPOTENT: harm; the request is run at most once.
    """

    IDEMPOTENT = 0
    IDEMPOTENT_BY_KEY = 1
    NON_IDEMPOTENT = 2


class Reach(IntEnum):
    """Which engines share idempotency keys: all of them, those of one zone, or those of one cell."""

    ALL = 0
    ZONE = 1
    CELL = 2


class Ending(IntEnum):
    """How an attempt ended.

    DELIVERED: with a result.
    ERROR: the engine reported an error.
    FULL: the engine refused it; nothing ran.
    TIME_OUT: no result within its time.
    UNREACHED: its connection was refused, or failed in a way that the adapter cannot tell from a refusal.
    RESET: its connection ended before the result was complete.
    CALLED_OFF: the rules cancelled it.
    MOOT: it is known not to have run, without a fault of the engine: the check at send time failed, no
        connection could be opened for lack of resources of this process, it was not written before its
        connection ended, or the engine returned it unrun.
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


# After these endings the attempt is known not to have run.
NEVER_RAN = (Ending.FULL, Ending.UNREACHED, Ending.MOOT, Ending.CONNECT_TIMEOUT)


class EndReason(StrEnum):
    """Why the rules end a request without a result. Logs and counters show the values.

    NO_TIME: its deadline leaves no time for an attempt, or for one to finish.
    TOO_LATE: its objective cannot be met, and a late answer of its workload has almost no value.
    CROWDED: clients have almost all of the requests open that they can have.
    ERRORS: more than one attempt ended with an error of an engine.
    TIMED_OUT: an attempt had no result within its time.
    ATTEMPTS: the number of attempts per request is reached.
    BUDGET: the retry budget is spent.
    MAY_HAVE_RUN: an attempt may have run, and the request must not run twice.
    """

    NO_TIME = "no_time_left"
    TOO_LATE = "too_late_to_be_of_use"
    CROWDED = "too_many_open"
    ERRORS = "failed_on_several_engines"
    TIMED_OUT = "attempt_timed_out"
    ATTEMPTS = "no_attempt_left"
    BUDGET = "retry_budget_spent"
    MAY_HAVE_RUN = "may_have_run"


class Life(IntEnum):
    """State of an engine in the list: removed, draining (no new attempts), or ready."""

    GONE = 0
    DRAINING = 1
    READY = 2


class Verdict(Enum):
    """How the list in a response of the name server compares with the list in force."""

    CONFIRMED = auto()  # it is the list in force
    NEWER = auto()  # another list, which is in force from now on
    OLDER = auto()  # a list with a lower number, or the response to an earlier query


class ProgressKind(IntEnum):
    """What an engine reports about a running attempt.

    PROGRESS: the share that is done, from 0 to 1.
    SPILLS: the memory it lacks, in MB.
    WAITS: what it waits for, WAITS_FOR_MEMORY or WAITS_FOR_LOAD.
    """

    PROGRESS = 1
    SPILLS = 2
    WAITS = 3


WAITS_FOR_MEMORY, WAITS_FOR_LOAD = 1, 2


@dataclass(frozen=True, slots=True)
class Workload:
    """A class of requests and what the deployment sets for it.

    Attributes:
        objective: Latency objective, in ms from the arrival of the request.
        stretch: The objective grows by this multiple of the request's best-case duration.
        deadline: ms from arrival after which no answer is of use.
        value: Value of an answer in time, relative to other workloads.
        late_value: Factor on the value of an answer between objective and deadline.
        effect: What a second execution does.
        reach: Which engines share idempotency keys. Only used with IDEMPOTENT_BY_KEY.
        key_retention: ms for which engines remember an idempotency key.
        in_order: Whether requests with the same key run one at a time, in the order of their arrival.
        zones: Indices of the zones whose engines may run it. None: all.
        kinds: Indices of the kinds of machine that may run it. None: all.
        threads: Threads that a request uses at an engine, at least 1.
        holds_tables: Whether it locks its group of tables while it runs (a table load).
        waits_for_loads: Whether it waits while a table load holds its group of tables.
    """

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
    """The settings of a dispatcher, fixed at its start.

    Attributes:
        index: Index of this dispatcher. Not used by the rules.
        dispatchers: Number of dispatchers in the deployment, at least 1.
        zone: Index of this dispatcher's zone. Not used by the rules.
        workloads: By index; at least one.
        quotas: By tenant, requests per second over all dispatchers.
        over_quota_value: Factor on the value of requests of a tenant over its quota.
        cores: Cores by kind of machine. Empty: 1 each.
        memory_mb: Memory by kind of machine, in MB. Not used by the rules.
        load_field: Index, in engines' reports, of the number of requests an engine holds. None: not reported.
        list_pushed: Whether the list of engines is pushed to the dispatcher; if not, it has to be asked for.
        may_cancel: Whether attempts may be cancelled.
        may_probe: Whether engines may be probed. Not used by the rules, whose probes are requests.
        may_tell: Whether dispatchers may message each other. Not used by the rules.
        second_copies: Whether a request may have two attempts running at once. Not used by the rules.
        max_attempts: Attempts per request, at least 1.
        max_retry_after: Longest retry-after given with a refusal, in ms. 0: none is given.
        grants: Whether engines bound a request's memory by the grant sent with it.
        swaps: Whether engines swap when memory is short.
        priorities: Whether engines honour priorities.
        largest_grant: Largest grant, as a share of an engine's memory. Not used by the rules.
        progress_interval: ms between progress reports of a running attempt. 0: engines send none.
        drain_grace: ms from the start of a drain in which an engine still takes requests.
        cold_for: ms from an engine's start for which it counts as cold: the length of slow start.
        cold_share: Share of a warm engine's capacity that a cold engine has.
        cold_multiple: Multiple of the cold capacity at which a cold engine fails.
        cold_window: ms over which the load of a cold engine is summed. 0: there is no such limit.
        max_open: Requests that clients can have open at once.
        order_pause: ms for which a key's next request waits after an attempt whose outcome is unknown. None:
            not set.
        retry_floor: Retries that are always allowed within retry_window. None: not set.
        retry_ratio: Retries allowed beyond that, per request received within retry_window. None: not set.
        retry_window: Window of the cap on retries (rule 7), in ms. None: the deployment sets no cap.
    """

    index: int
    dispatchers: int
    zone: int
    workloads: tuple[Workload, ...]
    quotas: tuple[float, ...]
    over_quota_value: float
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
    swaps: bool
    priorities: bool
    largest_grant: float
    progress_interval: float
    drain_grace: float
    cold_for: float
    cold_share: float
    cold_multiple: float
    cold_window: float
    max_open: float = float("inf")
    order_pause: float | None = None
    retry_floor: float | None = None
    retry_ratio: float | None = None
    retry_window: float | None = None


class ListedEngine(NamedTuple):
    """One entry of the list of engines.

    Attributes:
        engine: Index of the engine.
        zone: Index of its zone.
        kind: Index of its kind of machine.
        cell: Index of its cell.
        life: Its state.
        weight: Relative weight in the list. Not used by the rules.
        started: Unix ms of its start; 0 for one that is warm already.
    """

    engine: int
    zone: int
    kind: int
    cell: int
    life: Life
    weight: float
    started: float


class Rules(Protocol):
    """The decision module, as an adapter calls it.

    Each call passes the current time. Events are reported one by one; end_batch() closes a batch of them, and
    queued requests are then sent. Called outside of batches are may_send(), initial_list_read(),
    list_query_sent(), name_server_changed() and list_response_received().
    """

    def list_changed(self, now: float, entries: Sequence[ListedEngine], is_complete: bool) -> None:
        """Entries of the list of engines changed. is_complete: engines not among them are gone."""

    def list_failed(self, now: float) -> None:
        """The list of engines could not be read."""

    def initial_list_read(self, at: float) -> None:
        """The list read at the start was current at that time. Only where the list is polled."""

    def list_query_sent(self, now: float) -> float:
        """A query for the list was sent. Returns ms after which it is repeated if no response came."""

    def name_server_changed(self) -> None:
        """From now on another name server is queried."""

    def list_response_received(self, now: float, query_sent_at: float, verdict: Verdict) -> bool:
        """The query sent at query_sent_at got a response that lists each engine that gets requests.

        Returns:
            Whether another query is to be sent soon.
        """

    def capacity_shares_changed(
        self, now: float, slow_start_share: float, initial_limit_share: float
    ) -> None:
        """This dispatcher's shares, from 0 to 1, of slow-start budgets and of initial limits."""

    def engine_suspected(self, now: float, number: int, remaining_ms: float) -> None:
        """The dispatcher whose address we took over had ejected this engine, for another remaining_ms."""

    def request_received(
        self,
        now: float,
        number: int,
        workload_index: int,
        tenant: int,
        key: int,
        deadline: float,
        cost: float,
        memory: float,
        group: int,
    ) -> None:
        """A request has come.

        Args:
            now: The time.
            number: Chosen by the adapter; not in use for another open request.
            workload_index: Index of its workload.
            tenant: Index of its tenant; the number of quotas, or more, for one without a quota.
            key: Its ordering key; 0: none.
            deadline: Time by which it must be answered.
            cost: Estimated work in ms of one thread; 0: no estimate.
            memory: Estimated memory in MB; 0: no estimate.
            group: Its group of tables; negative: none.
        """

    def progress_reported(
        self, now: float, number: int, attempt: int, engine: int, kind: ProgressKind, value: float
    ) -> None:
        """An engine has reported on a running attempt; for the meaning of value see ProgressKind."""

    def attempt_ended(
        self,
        now: float,
        number: int,
        attempt: int,
        engine: int,
        ending: Ending,
        took: float,
        request_done: bool,
        work: float,
        memory: float,
        report: Sequence[float],
    ) -> None:
        """An attempt has ended.

        Args:
            now: The time.
            number: Of the request.
            attempt: Its number within the request, from 0.
            engine: Index of the engine it was sent to.
            ending: How it ended.
            took: ms since the adapter was asked to send it, dialling and queueing included.
            request_done: Whether the request is answered, by this attempt or before it.
            work: Work measured by the engine, in ms of one thread; 0: not reported.
            memory: Memory used, in MB; 0: not reported.
            report: Figures that the engine sent with the answer, see Deployment.load_field; empty: none.
        """

    def request_withdrawn(self, now: float, number: int) -> None:
        """The client has withdrawn the request; unknown numbers are ignored."""

    def timer_fired(self, now: float, token: int) -> None:
        """A timer that was set by Adapter.set_timer() is due."""

    def shutdown_started(self, now: float, until: float) -> None:
        """A graceful shutdown: each request, open or still to come, must be answered by that time."""

    def may_send(self, now: float, number: int, attempt: int, engine: int) -> bool:
        """The check at send time, as an attempt's first byte is about to leave. If False, it ends as MOOT."""

    def end_batch(self, now: float) -> None:
        """Close a batch of events."""


class Adapter(Protocol):
    """What the rules ask of the transport."""

    def send(self, number: int, engine: int, time_limit: float) -> None:
        """Send the request's next attempt to an engine. time_limit: ms it may take; 0: up to the deadline."""

    def set_terms(self, number: int, memory: float, priority: int) -> None:
        """Memory grant in MB (0: none) and priority for the request's attempts."""

    def shed(self, number: int, retry_after: float, reason: EndReason) -> None:
        """Refuse the request; a repeat is harmless. The client may retry after that many ms; 0: not told."""

    def fail_request(self, number: int, reason: EndReason) -> None:
        """Answer the request as failed: it may have run."""

    def cancel_attempt(self, number: int, attempt: int) -> None:
        """Cancel a running attempt; attempt_ended() follows."""

    def set_timer(self, delay: float, token: int) -> None:
        """Call timer_fired() with this token after so many ms."""

    def request_list(self) -> None:
        """Ask for the list of engines and for changes of it, where it is not pushed."""

    def log(self, line: str) -> None:
        """Write a line to the log."""
