"""All decisions of a dispatcher: what runs, on which engine, when, and on which terms.

An adapter makes one Dispatcher per start, reports events by the calls of interface.Rules, closes each batch
of them with end_batch(), and carries out what interface.Adapter asks for. A request passes the stages of
Dispatcher.stages in order; a stage passes it on (True), or queues or ends it (False). The end of an attempt
takes the opposite way, in attempt_ended(). Nothing here does I/O or reads a clock: every call names the time.

The main mechanisms:

- An adaptive concurrency limit per engine (Engine.adjust_limit), in threads of this dispatcher's requests.
  Hill climbing on the throughput of each interval moves it; it binds only under pressure, which latency,
  refusals or this dispatcher's own load show. A limit below one request's threads admits at random.
- Normalized latency: time taken over time expected, over the baseline of that workload. Its median over all
  engines is what engines are compared with.
- A wait queue, ordered by aged cost per value; cheap requests bypass it.
- Outlier ejection (eject): failures, missing responses or a latency far over the median eject an engine for
  some seconds; after that a half-open probe, one idempotent request at a time, must succeed.
- Slow start: a cold engine gets at most this dispatcher's share of a budget of work per window.
- A retry budget, and a cap on retries over a sliding window.

The words of the log lines are fixed: n* is the concurrency limit, pace the normalized latency, aside means
ejected, back reinstated, strikes the failure score, silent without a response, own our threads in flight, out
open attempts, and held queued requests.

"Rule 1" to "rule 7" are the deployment's requirements: one final answer per request; a request runs again
only where that does no harm; nothing is sent to draining engines; cold engines are not overloaded; requests
of one key run one at a time in order; requests stay on allowed engines; retries stay within their cap.
"""

from __future__ import annotations

from bisect import insort
from collections import deque
from collections.abc import Sequence
from typing import TypeAlias

from . import state
from .chance import Chance
from .histogram import Histogram
from .interface import (
    NEVER_RAN,
    WAITS_FOR_LOAD,
    Adapter,
    Deployment,
    Effect,
    Ending,
    EndReason,
    Life,
    ListedEngine,
    ProgressKind,
    Reach,
    Verdict,
)
from .list_freshness import ListFreshness
from .running_mean import RunningMean

# Timers: the period of the tick in ms; the tokens of the tick's timer and of the one that asks for the list.
TICK_MS, TICK_TIMER, WATCH_TIMER = 50.0, 0, 1

# Concurrency limit. INTERVAL_MS: time between two moves. MIN_GAIN_RATIO: the limit rises further only if
# throughput rose, relatively, by at least this part of the limit's relative rise.
INTERVAL_MS, MIN_GAIN_RATIO = 5000.0, 0.4
# The limit starts at so many threads a core over all dispatchers; lowering stops at this part of the start.
INITIAL_LIMIT_PER_CORE, MIN_LIMIT_SHARE = 2.0, 0.125
# Pressure: normalized latency above PRESSURE_RATIO * min(PRESSURE_RATIO, calm_median), where calm_median is
# the lowest median without pressure; it is taken to last PRESSURE_HOLD_MS.
PRESSURE_RATIO, PRESSURE_HOLD_MS = 1.5, 1000.0
# Lower bound of our share of all sends: the work offered to us / (OFFERED_LOAD_RATIO * capacity of engines).
OFFERED_LOAD_RATIO = 2.0
# Where engines swap, one over this normalized latency loses a quarter of its initial limit per interval.
SWAPPING_LATENCY_RATIO = 2.5
# In-flight threads beyond this many times the limits, plus this many of the widest requests, count as
# pressure before any answer shows it.
BURST_RATIO, BURST_REQUESTS = 1.25, 2.0
# The median of all engines counts like so many threads' worth of samples beside an engine's own: few samples
# of its own say little.
PRIOR_THREADS = 6.0

# Wait queue. A request of one thread is cheap up to this many times the mean cost of the lightest workload;
# and ms of age that weigh as much as 1 ms of cost per value.
CHEAP_COST_RATIO, COST_WEIGHT = 1.5, 8.0
# ms of waiting after which an engine is reserved for a queued request; else cheap requests would starve it.
RESERVE_AFTER_MS = 600.0

# Latency. Edges of the histograms of time taken over time expected.
LATENCY_EDGES = tuple(0.25 * 1.15**step for step in range(40))
# The baseline latency of a workload is this low quantile of its ratios, taken from at least so much weight of
# samples; factors by which the baseline and the lowest calm median may rise per interval.
BASELINE_QUANTILE, MIN_BASELINE_WEIGHT, BASELINE_DRIFT, CALM_MEDIAN_DRIFT = 0.25, 15.0, 1.1, 1.02
# OUTLIER_LATENCY_RATIO: an engine is ejected if its normalized latency exceeds this many times the median; a
# probe succeeds if its own normalized latency is below this number, whatever the median. FULL_BACKOFF_MS: the
# pause after an engine refused a request as full, give or take a half at random.
OUTLIER_LATENCY_RATIO, FULL_BACKOFF_MS = 3.0, 500.0
# Where work cannot be stopped, a timed-out attempt stays in flight for this part of the time that it took.
ABANDONED_WORK_RATIO = 0.5

# Outlier ejection: EJECTION_SCORE is the failure score that ejects. A refused dial adds UNREACHED_SCORE, an
# engine's error or a dial without an answer ERROR_SCORE, a reset connection RESET_SCORE. An ejection lasts
# EJECTION_MS, and a random part of EJECTION_JITTER_MS on top.
EJECTION_SCORE, UNREACHED_SCORE, ERROR_SCORE, RESET_SCORE, EJECTION_MS, EJECTION_JITTER_MS = (
    3.0,
    1.5,
    1.0,
    0.5,
    3000.0,
    3000.0,
)
# Open attempts. WAITING_RATIO, LOST_RATIO: age / (best case * engine's normalized latency) beyond which an
# attempt that can wait for a table load counts as waiting, and its answer as lost. MIN_LOST_MS: ms without
# progress before which no answer counts as lost. LOST_INTERVALS: where engines send progress reports, an
# answer counts as lost after so many of their intervals without one.
WAITING_RATIO, LOST_RATIO, MIN_LOST_MS, LOST_INTERVALS = 3.0, 10.0, 2500.0, 2.5
# An engine does not respond if nothing came for so many ms, and for so many times the time that at least so
# many of its open attempts should take.
NO_RESPONSE_MS, NO_RESPONSE_RATIO, NO_RESPONSE_ATTEMPTS = 2000.0, 4.0, 3

# Slow start. The part of the allowed work that is used; the part of an engine's cores that its work gets; and
# the lowest speed that an engine may have, relative to nominal.
COLD_SAFETY_FACTOR, USABLE_CAPACITY, MIN_ENGINE_SPEED = 0.5, 0.85, 0.8
# A request of up to this part of all dispatchers' budget may go to a cold engine by chance.
LIGHT_WORK_SHARE = 0.1
# Samples in a workload's mean work.
MEAN_WORK_SAMPLES = 30

# Retry budget, in retries: what a request adds, what it adds on top if all retries succeed, and the most.
RETRY_BUDGET_PER_REQUEST, RETRY_BUDGET_BY_SUCCESS, MAX_RETRY_BUDGET = 0.05, 0.25, 30.0
# Per request, at most this many attempts that ended as MOOT or CONNECT_TIMEOUT are exempt from max_attempts;
# more of them count, as an engine that stays unreachable is not to be dialled for ever.
MAX_UNCOUNTED_ATTEMPTS = 3
# ms left for an idempotent-by-key request's repeat to reach an engine before its key is forgotten there.
KEY_EXPIRY_MARGIN_MS = 1.0

# Ends without a result. MIN_TIME_LEFT_MS: no attempt is made when less is left to the deadline.
# MIN_LATE_VALUE: a late request still runs if its late value is at least this. TOO_LATE_RATIO: a running
# request of lower late value ends after this multiple of its objective. MAX_OPEN_RATIO: the last of the wait
# queue are shed while more than this share of the requests that clients can have open are open.
MIN_TIME_LEFT_MS, MIN_LATE_VALUE, TOO_LATE_RATIO, MAX_OPEN_RATIO = 2 * TICK_MS, 0.25, 1.5, 0.9
# Priorities that are sent with a request; the memory grant over the estimate of memory.
CHEAP_PRIORITY, HEAVY_PRIORITY, GRANT_RATIO = 3, 1, 1.35


Request: TypeAlias = "state.Request[Engine]"
Attempt: TypeAlias = "state.Attempt[Engine]"


def median_with_prior(latencies: Histogram, prior: float) -> float:
    """The median latency, pooled with a prior that weighs as much as PRIOR_THREADS threads of samples."""
    return (latencies.total * latencies.quantile(0.5) + PRIOR_THREADS * prior) / (
        latencies.total + PRIOR_THREADS
    )


class Engine:
    """What this dispatcher knows of one engine, and its concurrency limit.

    All counts cover this dispatcher's own requests only: what others send shows only in the latency. The
    log line of an interval calls the limit n*.

    Attributes:
        listed: its entry in the list of engines.
        concurrency_limit: the most of our threads in flight there under pressure.
        previous_limit: the limit of the interval before.
        initial_limit: cores * INITIAL_LIMIT_PER_CORE * our share, the base of the limit; it moves with the
            share.
        in_flight_threads: threads of open attempts that run, and of abandoned work.
        overdue_threads: of these, threads of attempts over the pressure threshold.
        silent_since: start of the present silence: the last sign that it works, or the last time that it was
            chosen for an attempt while it had no other open.
        admission_draw: a number in [0, 1), drawn once an interval: where the limit is below one request's
            threads, a request is admitted if the limit's part of those threads is higher.
        ejected_until: it gets nothing before that time: the end of an ejection, or of the pause after it
            refused a request as full.
        half_open_probe: it was ejected, and gets one idempotent request at a time until one succeeds.
        last_failure: when its failure score last rose.
        cold_sends: time and work of each send within the slow start's window.
        abandoned_work: until when the threads of timed-out attempts that cannot be stopped count as in
            flight.
        pressure_until: under pressure before that time.
        slow_start_began, slow_start_until: it is cold between these times.
        initial_cold_credit: credit (ms of work) for light requests accrues at this dispatcher's budget per
            window; at the start of slow start it is this random part, from 0 to 1, of one request.
        cold_work_deducted: ms of work deducted from the accrued credit: what was sent there in slow start,
            and credit that has expired.
        served_threads: throughput of this interval, in threads of delivered attempts.
        served_work: their cost.
        peak_threads: the most threads in flight within this interval.
        recent_errors: errors since it last delivered, halved each interval.
        normalized_latencies: time taken over time expected, over the workload's baseline.
        normalized_latency: their median, pooled with that of all engines.
        failure_score: the sum of weighted failures since it last delivered.
    """

    def __init__(self, listed: ListedEngine, cores: tuple[int, ...], now: float) -> None:
        # A kind of machine beyond the configured ones takes the cores of one of these.
        self.number, self.listed, self.cores = listed.engine, listed, cores[listed.kind % len(cores)]
        self.open_attempts: dict[tuple[int, int], Attempt] = {}
        self.in_flight_threads, self.overdue_threads, self.silent_since, self.admission_draw = 0, 0, now, 1.0
        self.ejected_until, self.last_failure, self.half_open_probe = 0.0, 0.0, False
        self.cold_sends, self.abandoned_work = deque[tuple[float, float]](), deque[tuple[float, int]]()
        self.reset_statistics(0.0)
        self.begin_slow_start(0.0, now, 0.0)

    def begin_slow_start(self, until: float, began: float, initial_credit: float) -> None:
        """Begin slow start; initial_credit is the random part of a light request credited at once."""
        self.slow_start_until, self.slow_start_began, self.initial_cold_credit, self.cold_work_deducted = (
            until,
            began,
            initial_credit,
            0.0,
        )

    def reset_statistics(self, start: float) -> None:
        """Restart the limit and all measurements: a hang or a restart makes the old ones meaningless."""
        self.concurrency_limit = self.previous_limit = self.initial_limit = start
        self.served_threads = self.previous_served_threads = self.served_work = self.previous_served_work = (
            self.peak_threads
        ) = self.recent_errors = 0.0
        self.normalized_latencies, self.normalized_latency, self.failure_score, self.pressure_until = (
            Histogram(LATENCY_EDGES),
            1.0,
            0.0,
            0.0,
        )

    def set_waiting(self, attempt: Attempt, waits: bool) -> None:
        """Note whether an attempt waits for a table load: then it holds no core and is not in flight."""
        if waits != attempt.waits_for_load:
            attempt.waits_for_load = waits
            self.in_flight_threads += (
                -attempt.request.workload.threads if waits else attempt.request.workload.threads
            )

    def free_threads(self) -> float:
        """How many threads are free below the limit; recent errors count as threads."""
        return self.concurrency_limit - self.in_flight_threads - self.recent_errors

    def adjust_limit(self, step: float) -> None:
        """Move the concurrency limit by hill climbing on the throughput, once an interval.

        A raised or equal limit is raised by a step if throughput rose by at least MIN_GAIN_RATIO of the
        limit's own relative rise or was zero, else the previous limit returns. A lowered one is lowered
        further as long as throughput rises. A limit above the demand falls to the demand, so that it does not
        grow while nothing tests it.
        """
        # Fewer but heavier requests are no loss: if no less work was served, throughput has not fallen.
        throughput = (
            max(self.served_threads, self.previous_served_threads)
            if self.served_work >= self.previous_served_work > 0
            else self.served_threads
        )
        lowered, gain = (
            self.concurrency_limit < self.previous_limit,
            throughput - self.previous_served_threads,
        )
        required_gain = (
            MIN_GAIN_RATIO
            * (self.concurrency_limit - self.previous_limit)
            / self.previous_limit
            * self.previous_served_threads
        )
        if not lowered and (not self.previous_served_threads or gain >= required_gain):
            self.previous_limit, self.concurrency_limit = (
                self.concurrency_limit,
                self.concurrency_limit + step,
            )
        elif lowered and gain > 0:
            self.previous_limit, self.concurrency_limit = (
                self.concurrency_limit,
                max(MIN_LIMIT_SHARE * self.initial_limit, self.concurrency_limit - step),
            )
        else:
            self.previous_limit, self.concurrency_limit = self.concurrency_limit, self.previous_limit
        # Falling to the demand does not count as lowering in the next interval.
        if (demand := max(self.initial_limit, self.peak_threads)) < self.concurrency_limit:
            self.previous_limit = self.concurrency_limit = demand
        self.previous_served_threads, self.previous_served_work = throughput, self.served_work
        self.served_threads, self.served_work, self.peak_threads = 0.0, 0.0, float(self.in_flight_threads)


class Dispatcher:
    """The decisions of one dispatcher, from its start to its end; implements interface.Rules.

    Attributes:
        configured_share: this dispatcher's part of all dispatchers' work, as configured or as set by
            capacity_shares_changed().
        own_in_flight, fleet_in_flight: fading sums, over engines' reports, of the requests of ours and of all
            that they hold; the quotient is our share of the sends. Before any report, our share and 1.
        widest_request: the most threads of any workload.
        burst_allowance: threads beyond the limits that don't count as pressure.
        quotas, quota_credit: per tenant, our part of the requests per ms, and the requests that it may send
            now.
        fleet_slow_start_budget: work in ms per core that all dispatchers may send to a cold engine in a
            window.
        slow_start_budget: our part of that.
        mean_work: per workload, the mean work in ms, which a request counts for at a cold engine.
        light_cold_work: work per core up to which a request may go to a cold engine by its credit.
        heavy_cold_work: work beyond which a request counts for its own estimate if that is above the mean.
        request_times, retry_times: when requests came and retries were made, within the retry window.
        retry_successes: which of the recent retries succeeded.
        ready: the engines that the list gives as ready.
        reserved_engine: within one batch, kept free for a request that has waited for long.
        ordered_queues, key_paused_until: per key, its open requests in order, and when the next may be sent.
        mean_costs, baseline_latency: per workload, the mean estimate, and time taken over time expected at
            its best.
        latency_ratios: per workload, time taken over time expected.
        normalized_latencies, median_latency: the latency ratios over their baselines, and their median; at
            least 1.
        pressure_until: all engines count as under pressure before that time.
        calm_median: the lowest such median of calm intervals; 0 until there is one.
        pressure_threshold: normalized latency beyond which attempts and engines show pressure.
        thread_demand: threads in flight and queued, summed over the interval's ticks.
        offered_work, offered_work_time: cost of the requests that came, and the ms in which they came; both
            fade.
    """

    def __init__(self, deployment: Deployment, seed: int, adapter: Adapter, now: float) -> None:
        self.adapter, self.chance, self.now, self.started_at, self.shutdown_deadline = (
            adapter,
            Chance(seed),
            now,
            now,
            float("inf"),
        )
        self.workloads, self.cores = deployment.workloads, deployment.cores or (1,)
        self.configured_share, self.retry_budget = 1.0 / deployment.dispatchers, MAX_RETRY_BUDGET
        self.load_field, self.priorities, self.own_in_flight, self.fleet_in_flight = (
            deployment.load_field,
            deployment.priorities,
            self.configured_share,
            1.0,
        )
        self.widest_request = float(max(workload.threads for workload in deployment.workloads))
        # Engines that swap admit everything: nothing beyond the limit may be sent there by chance.
        self.burst_allowance = 0.0 if deployment.swaps else BURST_REQUESTS * self.widest_request
        self.quotas = [quota * self.configured_share / 1000 for quota in deployment.quotas]
        self.quota_credit, self.over_quota_value = (
            [quota * 1000 for quota in self.quotas],
            deployment.over_quota_value,
        )
        self.max_attempts, self.may_cancel, self.max_open = (
            deployment.max_attempts,
            deployment.may_cancel,
            deployment.max_open,
        )
        self.progress_interval, self.swaps, self.grant_ratio = (
            deployment.progress_interval,
            deployment.swaps,
            GRANT_RATIO if deployment.grants else 0.0,
        )
        self.slow_start_ms, self.slow_start_window, self.max_retry_after = (
            deployment.cold_for,
            deployment.cold_window,
            deployment.max_retry_after,
        )
        cold_capacity = deployment.cold_multiple * deployment.cold_share * USABLE_CAPACITY * MIN_ENGINE_SPEED
        self.fleet_slow_start_budget = cold_capacity * deployment.cold_window * COLD_SAFETY_FACTOR
        self.slow_start_budget = self.fleet_slow_start_budget * self.configured_share
        self.mean_work = [
            RunningMean(max(1.0, workload.objective / 4), MEAN_WORK_SAMPLES)
            for workload in deployment.workloads
        ]
        self.light_cold_work = LIGHT_WORK_SHARE * self.fleet_slow_start_budget
        self.heavy_cold_work = (
            LIGHT_WORK_SHARE * self.fleet_slow_start_budget / COLD_SAFETY_FACTOR * min(self.cores)
        )
        self.order_pause, self.retry_window = deployment.order_pause or 0.0, deployment.retry_window or 0.0
        self.retry_floor = deployment.retry_floor or 0.0 if deployment.retry_window else float("inf")
        self.retry_ratio, self.retry_successes = deployment.retry_ratio or 0.0, Histogram((0.5, 1.5))
        self.request_times, self.retry_times, self.wait_queue = (
            deque[float](),
            deque[float](),
            list[Request](),
        )
        self.engines, self.open_requests, self.ready = (
            dict[int, Engine](),
            dict[int, Request](),
            list[Engine](),
        )
        self.reserved_engine: Engine | None = None
        self.freshness, self.list_followed = ListFreshness(deployment.drain_grace), True
        self.ordered_queues, self.key_paused_until = dict[int, deque[Request]](), dict[int, float]()
        self.mean_costs, self.baseline_latency = (
            [0.0 for _ in deployment.workloads],
            [1.0 for _ in deployment.workloads],
        )
        self.latency_ratios, self.normalized_latencies = (
            [Histogram(LATENCY_EDGES) for _ in deployment.workloads],
            Histogram(LATENCY_EDGES),
        )
        self.median_latency, self.pressure_until, self.interval_end = 1.0, 0.0, now + INTERVAL_MS
        # How far latency spreads without pressure is not known yet: the highest threshold is assumed.
        self.calm_median, self.pressure_threshold, self.thread_demand = (
            0.0,
            PRESSURE_RATIO * PRESSURE_RATIO,
            0.0,
        )
        self.offered_work, self.offered_work_time = 0.0, 0.0
        entry_stages = (self.deadline_stage, self.quota_stage, self.order_stage)
        self.stages = (*entry_stages, self.queue_stage, self.choice_stage, self.attempt_stage)
        adapter.set_timer(TICK_MS, TICK_TIMER)
        if not deployment.list_pushed:
            adapter.request_list()

    def list_changed(self, now: float, entries: Sequence[ListedEngine], is_complete: bool) -> None:
        """Apply the list of engines or some entries of it; new and restarted engines begin anew."""
        self.now = now
        for number in (self.engines.keys() - {entry.engine for entry in entries}) if is_complete else ():
            self.engines[number].listed = self.engines[number].listed._replace(life=Life.GONE)
        for entry in entries:
            engine = self.engines.get(entry.engine) or Engine(entry, self.cores, now)
            if entry.engine not in self.engines or entry.started != engine.listed.started:
                engine.reset_statistics(
                    INITIAL_LIMIT_PER_CORE * engine.cores * self.own_in_flight / self.fleet_in_flight
                )
                engine.ejected_until, engine.half_open_probe, engine.admission_draw = (
                    0.0,
                    False,
                    self.chance.draw(),
                )
                initial_credit = self.chance.draw() if entry.started else 0.0
                engine.begin_slow_start(
                    entry.started + self.slow_start_ms if entry.started else 0.0, now, initial_credit
                )
                # What we sent before our own restart is unknown: the budget counts as spent for one window.
                engine.cold_sends.append((self.started_at, self.slow_start_budget * engine.cores))
            engine.listed = entry
            self.engines[entry.engine] = engine
        self.ready = [engine for engine in self.engines.values() if engine.listed.life == Life.READY]

    def shutdown_started(self, now: float, until: float) -> None:
        """Begin a graceful shutdown: every request, open or still to come, is answered by then."""
        self.now, self.shutdown_deadline = now, until
        for request in self.open_requests.values():
            request.deadline = min(request.deadline, until)

    def capacity_shares_changed(
        self, now: float, slow_start_share: float, initial_limit_share: float
    ) -> None:
        """Set our parts of slow-start budgets and initial limits: dispatchers stand in for one another."""
        self.now, self.slow_start_budget = now, self.fleet_slow_start_budget * slow_start_share
        # The next interval moves each limit by the difference.
        if initial_limit_share != self.configured_share:
            self.configured_share, self.own_in_flight, self.fleet_in_flight = (
                initial_limit_share,
                initial_limit_share,
                1.0,
            )

    def engine_suspected(self, now: float, number: int, remaining_ms: float) -> None:
        """Take over an ejection from the dispatcher whose address we took over.

        It is ignored if at least half of the ready engines would then be ejected or probed.
        """
        self.now, engine = now, self.engines.get(number)
        if engine is not None and engine.ejected_until <= now and not engine.half_open_probe:
            ejected = sum(other.ejected_until > now or other.half_open_probe for other in self.ready)
            if 2 * (ejected + 1) < len(self.ready):
                engine.ejected_until, engine.half_open_probe = (
                    now + min(remaining_ms, EJECTION_MS + EJECTION_JITTER_MS),
                    True,
                )

    def list_failed(self, now: float) -> None:
        """Ask for the list again after 0.5 to 1.5 s: many dispatchers must not ask at once."""
        self.adapter.set_timer(500.0 + 1000.0 * self.chance.draw(), WATCH_TIMER)

    def initial_list_read(self, at: float) -> None:
        """Note that the list read at the start was current at that time."""
        self.freshness.initial_list_read(at)

    def list_query_sent(self, now: float) -> float:
        """Note that a query for the list was sent; returns the ms until it is repeated."""
        self.freshness.query_sent(now)
        return self.freshness.retransmit_after(self.chance.draw())

    def name_server_changed(self) -> None:
        """Note that another name service is queried from now on."""
        self.freshness.name_server_changed()

    def list_response_received(self, now: float, query_sent_at: float, verdict: Verdict) -> bool:
        """Note a response to the query sent then; True if another query is to be sent soon."""
        self.freshness.response_received(now, query_sent_at, verdict)
        return self.freshness.has_unsettled_query()

    # The stages that a request passes before an attempt is sent.

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
        """Estimate a new request, open it, and run it through the stages.

        Without an estimate, its cost is the mean of its workload; before there is one, a quarter of the
        objective.
        """
        self.now = now
        workload, mean_cost, estimated = (
            self.workloads[workload_index],
            self.mean_costs[workload_index],
            cost > 0,
        )
        slow_start_charge = (
            self.mean_work[workload_index].add(cost) if estimated else self.mean_work[workload_index].value
        )
        slow_start_charge = max(slow_start_charge, cost) if cost > self.heavy_cold_work else slow_start_charge
        cost = cost or mean_cost or workload.objective / 4
        # An exponential average with weight 1/30.
        self.mean_costs[workload_index] = mean_cost + (cost - mean_cost) / 30 if mean_cost else cost
        best_case_ms = cost / workload.threads * self.baseline_latency[workload_index]
        cheap = workload.threads == 1 and cost <= CHEAP_COST_RATIO * min(
            mean or cost for mean in self.mean_costs
        )
        key, deadline = key if workload.in_order else 0, min(deadline, self.shutdown_deadline)
        objective_at = now + workload.objective + workload.stretch * best_case_ms
        request: Request = state.Request(
            number,
            workload_index,
            tenant,
            key,
            deadline,
            cost,
            memory,
            group,
            now,
            workload,
            best_case_ms,
            objective_at,
            workload.value,
            cheap,
        )
        request.slow_start_charge, request.estimated = slow_start_charge, estimated
        self.open_requests[number] = request
        self.offered_work += cost * min(1.0, self.baseline_latency[workload_index])
        self.request_times.append(now)
        new_budget = (
            self.retry_budget
            + RETRY_BUDGET_PER_REQUEST
            + RETRY_BUDGET_BY_SUCCESS * self.retry_successes.quantile(0.5)
        )
        self.retry_budget = min(MAX_RETRY_BUDGET, new_budget)
        self.run_stages(request)

    def run_stages(self, request: Request, first: int = 0) -> bool:
        """Run the stages from this one on, until one does not pass the request on."""
        return all(stage(request) for stage in self.stages[first:])

    def deadline_stage(self, request: Request) -> bool:
        """End a request whose deadline leaves no time for an attempt."""
        if self.now >= request.deadline - MIN_TIME_LEFT_MS:
            self.end(request, EndReason.NO_TIME)
        return not request.closed

    def quota_stage(self, request: Request) -> bool:
        """Lower the value of a request of a tenant over its quota; it is queued further back and not shed."""
        if request.tenant < len(self.quotas) and self.quota_credit[request.tenant] < 1.0:
            request.value, request.cheap = request.value * self.over_quota_value, False
        elif request.tenant < len(self.quotas):
            self.quota_credit[request.tenant] -= 1.0
        return True

    def order_stage(self, request: Request) -> bool:
        """Enter a request that has a key into the queue of its key."""
        if request.key:
            self.ordered_queues.setdefault(request.key, deque()).append(request)
        return True

    def queue_stage(self, request: Request) -> bool:
        """Queue a request unless an engine admits it now.

        Only cheap requests may pass those that wait; the others queue by aged cost per value.
        """
        request.queue_position = self.queue_position(request)
        if request.cheap or not self.wait_queue:
            request.engine = self.choose(request, prefer_fewest_in_flight=request.cheap)
        if request.engine is None:
            insort(self.wait_queue, request, key=lambda queued: queued.queue_position)
        return request.engine is not None

    def queue_position(self, request: Request) -> tuple[float, int]:
        """Sort key in the wait queue: time of entry plus weighted cost per value; the lowest is sent first.

        The time of entry is now: a retry, and a request that is found to be late, enter anew. A late one has
        its late value.
        """
        value = request.value * (request.workload.late_value if request.late else 1.0)
        return self.now + COST_WEIGHT * request.best_case_ms * request.workload.threads / max(
            1e-6, value
        ), request.number

    def choice_stage(self, request: Request) -> bool:
        """Choose an engine, unless the queue stage did; without one, the request stays queued."""
        request.engine = request.engine or self.choose(request, prefer_fewest_in_flight=False)
        return request.engine is not None

    def attempt_stage(self, request: Request) -> bool:
        """Record a new attempt, and ask the adapter to send it to the chosen engine."""
        engine = request.engine
        assert engine is not None
        attempt = state.Attempt(
            request, request.attempts_made, engine, self.now, self.now, engine.listed.started
        )
        request.open_attempts[request.attempts_made] = engine.open_attempts[
            request.number, request.attempts_made
        ] = attempt
        request.attempts_made, request.engine = request.attempts_made + 1, None
        engine.in_flight_threads += request.workload.threads
        engine.peak_threads = max(engine.peak_threads, engine.in_flight_threads)
        if attempt.number > request.uncounted_attempts:  # a retry
            self.retry_times.append(self.now)
            self.retry_budget -= 1.0
        elif self.priorities or self.grant_ratio:
            self.adapter.set_terms(
                request.number,
                self.grant_ratio * request.memory,
                CHEAP_PRIORITY if request.cheap else HEAVY_PRIORITY,
            )
        if engine.slow_start_until > self.now:
            attempt.slow_start_charge = request.slow_start_charge
            engine.cold_sends.append((self.now, attempt.slow_start_charge))
            engine.cold_work_deducted += attempt.slow_start_charge
        engine.silent_since = engine.silent_since if len(engine.open_attempts) > 1 else self.now
        self.adapter.send(request.number, engine.number, 0.0)
        return True

    def may_send(self, now: float, number: int, attempt: int, engine: int) -> bool:
        """Check at send time whether an attempt may still leave: dialling or a full connection delays it.

        Covers what can have happened since the choice: a new list, a restart, the end of a key's retention, a
        slow start, a withdrawal, a graceful shutdown. A refused attempt delays its request; that starves it
        only if connections are so slow that every attempt fails this check.
        """
        self.now, target = now, self.engines.get(engine)
        open_attempt = target.open_attempts.get((number, attempt)) if target is not None else None
        if (
            target is None
            or open_attempt is None
            or open_attempt.cancelled
            or open_attempt.request.closed
            or now >= open_attempt.request.deadline
            or target.listed.life != Life.READY
            or not self.freshness.may_be_followed(now)
            or target.listed.started != open_attempt.engine_started
            or not self.may_repeat(open_attempt.request)
            or (now < target.slow_start_until and not open_attempt.slow_start_charge)
        ):
            return False
        if (
            open_attempt.slow_start_charge
            and now > open_attempt.chosen_at
            and (open_attempt.chosen_at, open_attempt.slow_start_charge) in target.cold_sends
        ):  # its work counts from when it leaves
            target.cold_sends.remove((open_attempt.chosen_at, open_attempt.slow_start_charge))
            target.cold_sends.append((now, open_attempt.slow_start_charge))
        return True

    def may_repeat(self, request: Request) -> bool:
        """Rule 2: an idempotent-by-key request is repeated only while engines still know its key."""
        return (
            request.first_send is None
            or request.workload.effect != Effect.IDEMPOTENT_BY_KEY
            or self.now < request.first_send.chosen_at + request.workload.key_retention - KEY_EXPIRY_MARGIN_MS
        )

    def end_batch(self, now: float) -> None:
        """Send from the wait queue what can be sent, in its order, each to the engine with most free threads.

        The first request that has waited over RESERVE_AFTER_MS reserves an engine, which others then do not
        get.
        """
        self.now, self.reserved_engine, still_queued, reservation_made = now, None, list[Request](), False
        stale_reason = self.freshness.stale_reason(now)
        if self.list_followed != (stale_reason is None):
            self.list_followed = stale_reason is None
            self.adapter.log(
                "list followed again" if stale_reason is None else f"list not followed: {stale_reason}"
            )
        # No threads become free within a batch: where one request finds no engine, others like it find none.
        blocked = [False for _ in self.workloads]
        waiting = iter(self.wait_queue)
        try:
            for request in waiting:
                if request.closed or (
                    not blocked[request.workload_index]
                    and self.run_stages(request, self.stages.index(self.choice_stage))
                ):
                    continue
                still_queued.append(request)
                # A retry, or one behind its key, may have been refused for reasons that others don't share.
                blocked[request.workload_index] |= not request.attempts_made and self.is_next_for_key(request)
                if (
                    not reservation_made
                    and now - request.received > RESERVE_AFTER_MS
                    and self.is_next_for_key(request)
                ):
                    reservation_made = True
                    wide_enough = [
                        engine
                        for engine in self.eligible_engines(request)
                        if engine.concurrency_limit >= request.workload.threads
                    ]
                    self.reserved_engine = max(wide_enough, key=Engine.free_threads, default=None)
        finally:  # also after a fault at one of them: what was sent is not queued any more
            self.wait_queue = still_queued + list(waiting)

    # The choice of an engine: eligibility, slow start, concurrency limit, retry budget.

    def choose(self, request: Request, prefer_fewest_in_flight: bool) -> Engine | None:
        """Choose an engine for a request, or None if it must wait.

        Of the eligible engines that admit it, in this order: most free threads, or fewest in-flight threads a
        core if prefer_fewest_in_flight; a cold engine where accrued credit pays for the request; where the
        limit is below the request's threads, fewest open attempts. Remaining ties are broken at random; where
        the limit is below the request's threads, by the lower normalized latency of two random picks.
        """
        if not self.is_next_for_key(request) or (
            request.attempts_made > request.uncounted_attempts and not self.may_retry()
        ):
            return None
        if not self.freshness.may_be_followed(self.now):
            return None
        workload, engines = request.workload, self.eligible_engines(request)
        if not engines:
            return None
        if request.failed_engines:  # retries go elsewhere
            engines = [engine for engine in engines if engine not in request.failed_engines] or engines
        threads_after, limits = (
            workload.threads + sum(engine.in_flight_threads for engine in self.ready),
            sum(engine.concurrency_limit for engine in self.ready),
        )
        # So much in flight is pressure before answers show it (a burst, a wait queue that is released).
        # Limits below one request fill engines unevenly, and engines that swap can do no more than their
        # limit.
        burst_ratio = 1.0 if self.swaps and limits < self.widest_request * len(self.ready) else BURST_RATIO
        no_pressure = self.now >= self.pressure_until and threads_after <= max(
            burst_ratio * limits + self.burst_allowance, workload.threads
        )
        # Randomized admission overshoots the limits where widths mix: it needs room in the sum of all limits.
        within_total_limit = threads_after <= max(limits + self.burst_allowance, workload.threads)
        engines = [
            engine
            for engine in engines
            if engine is not self.reserved_engine
            and self.admits(engine, workload.threads, no_pressure, within_total_limit)
        ]
        if workload.waits_for_loads or workload.holds_tables:
            engines = [engine for engine in engines if not self.load_blocks(engine, request.group)] or engines
        # Where the limit is below one request ties are the rule: fewer open attempts, then the lower latency
        # of two drawn by chance. An engine that fails at once has fewest in flight: its recent errors count
        # as threads. A cold engine whose credit suffices for a request goes first: left to chance, most
        # credit would go unused.
        preferences = [
            (
                -(engine.in_flight_threads + engine.recent_errors) / engine.cores
                if prefer_fewest_in_flight
                else engine.free_threads(),
                engine.slow_start_until > self.now
                and self.slow_start_budget * engine.cores < request.slow_start_charge,
                -len(engine.open_attempts) if engine.concurrency_limit < workload.threads else 0,
            )
            for engine in engines
        ]
        top = max(preferences, default=None)
        best = [engine for engine, preference in zip(engines, preferences, strict=True) if preference == top]
        draws = best[:2] if best and best[0].concurrency_limit < workload.threads else best[:1]
        return min(
            (self.chance.pick(best) for _ in draws),
            key=lambda engine: engine.normalized_latency,
            default=None,
        )

    def is_next_for_key(self, request: Request) -> bool:
        """Rule 5: requests of a key run one at a time, in order, and pause after an uncertain end."""
        return not request.key or (
            self.ordered_queues[request.key][0] is request
            and self.now >= self.key_paused_until.get(request.key, 0.0)
        )

    def eligible_engines(self, request: Request) -> list[Engine]:
        """Rules 2, 3, 4 and 6, and outlier ejection: the engines to which a request may go now."""
        workload, now, first_run = (
            request.workload,
            self.now,
            request.first_send if request.workload.effect == Effect.IDEMPOTENT_BY_KEY else None,
        )
        if not self.may_repeat(request):
            return []
        return [
            engine
            for engine in self.ready
            if now >= engine.ejected_until
            and not (
                engine.half_open_probe and (engine.open_attempts or workload.effect != Effect.IDEMPOTENT)
            )
            and (now >= engine.slow_start_until or self.fits_slow_start(engine, request.slow_start_charge))
            and (workload.zones is None or engine.listed.zone in workload.zones)
            and (workload.kinds is None or engine.listed.kind in workload.kinds)
            and not (
                first_run
                and workload.reach == Reach.ZONE
                and engine.listed.zone != first_run.engine.listed.zone
            )
            and not (
                first_run
                and workload.reach == Reach.CELL
                and engine.listed.cell != first_run.engine.listed.cell
            )
        ]

    def fits_slow_start(self, engine: Engine, work: float) -> bool:
        """Rule 4: whether work (ms) fits into our share of what a cold engine may get in any window.

        The share may be smaller than one request. A light one then goes once enough credit has accrued.
        Credit starts at a random part of a request, so that in sum over all dispatchers the shares are sent
        and no more. It expires after a window: else, where the fleet was idle, a burst would send all of it
        at once.
        """
        if not self.slow_start_window:  # the deployment names no such limit
            return True
        while engine.cold_sends and engine.cold_sends[0][0] <= self.now - self.slow_start_window:
            engine.cold_sends.popleft()
        budget, sent_work = (
            self.slow_start_budget * engine.cores,
            sum(charge for _, charge in engine.cold_sends),
        )
        windows = (self.now - engine.slow_start_began) / self.slow_start_window
        credit = engine.initial_cold_credit * work + budget * windows - engine.cold_work_deducted
        if credit >= work:
            # Credit for whole requests expires, except for one that may have accrued within the last window:
            # then the rest is below one budget.
            kept_credit = credit % work + (work if credit % work < budget else 0.0)
            engine.cold_work_deducted, credit = engine.cold_work_deducted + credit - kept_credit, kept_credit
        return work + sent_work <= budget or (
            work <= self.light_cold_work * engine.cores and not sent_work and credit >= work
        )

    def admits(self, engine: Engine, threads: int, no_pressure: bool, within_total_limit: bool) -> bool:
        """Whether the concurrency limit lets so many threads start.

        The limit binds only under pressure; without it, an engine takes a request if it has none of ours, or
        up to BURST_RATIO of the limit. Where the limit is below one request's threads, admission is random:
        the chance is the limit over the threads, drawn once an interval, so that in sum over all dispatchers
        the limit holds.
        """
        after = engine.in_flight_threads + threads
        no_pressure = (
            no_pressure
            and self.now >= engine.pressure_until
            and engine.normalized_latency <= self.pressure_threshold
        )
        if after <= engine.concurrency_limit or (
            no_pressure and (not engine.in_flight_threads or after <= BURST_RATIO * engine.concurrency_limit)
        ):
            return True
        return (
            within_total_limit
            and engine.concurrency_limit < threads
            and not engine.open_attempts
            and engine.admission_draw < engine.concurrency_limit / threads
        )

    def load_blocks(self, engine: Engine, group: int) -> bool:
        """Whether a request of ours in that group holds its tables there (a table load) or waits for a load.

        Requests without a group of tables count as one group.
        """
        return any(
            attempt.request.group == group
            and (attempt.request.workload.holds_tables or attempt.waits_for_load)
            for attempt in engine.open_attempts.values()
        )

    def may_retry(self) -> bool:
        """Rule 7, and our own retry budget, which grows with the part of recent retries that succeeded."""
        self.trim_retry_window()
        most = self.retry_floor + self.retry_ratio * len(self.request_times)
        return self.retry_budget >= 1.0 and len(self.retry_times) + 1 <= most

    def trim_retry_window(self) -> None:
        """Forget requests and retries that are older than the retry window."""
        for times in (self.request_times, self.retry_times):
            while times and times[0] <= self.now - self.retry_window:
                times.popleft()

    # Ends of attempts and requests.

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
        """Account for an attempt that has ended, and answer or retry its request.

        The attempt leaves its engine's counts, its outcome changes what is known of the engine, and the queue
        of its key may pause; then the request is closed, ended, or runs through the stages from the wait
        queue on again.
        """
        self.now, target = now, self.engines[engine]
        open_attempt = target.open_attempts.pop((number, attempt))
        request = open_attempt.request
        target.set_waiting(open_attempt, False)
        del request.open_attempts[attempt]
        if ending == Ending.TIME_OUT and not self.may_cancel:
            # Its work may run on: if it did not count, a slow or swapping engine would get more requests
            # while it is still busy, and its overload would grow.
            target.abandoned_work.append((now + ABANDONED_WORK_RATIO * took, request.workload.threads))
        else:
            target.in_flight_threads -= request.workload.threads
        if ending not in NEVER_RAN:
            request.first_send = request.first_send or state.SendRecord(open_attempt.chosen_at, target)
        request.uncounted_attempts += ending in (Ending.MOOT, Ending.CONNECT_TIMEOUT)
        if attempt:  # attempts after an uncounted one are included
            self.retry_successes.add(1.0 if ending == Ending.DELIVERED else 0.0)
        if report and self.load_field is not None:  # our share of what engines hold is our share of sends
            # One more for this attempt, often our only one there: requests go where we have fewest.
            here = len(target.open_attempts) + 1
            self.own_in_flight, self.fleet_in_flight = (
                self.own_in_flight + here,
                self.fleet_in_flight + max(here, report[self.load_field]),
            )
        self.record_outcome(target, open_attempt, ending, took, work)
        if request.key and ending in (Ending.TIME_OUT, Ending.RESET, Ending.CALLED_OFF):
            self.key_paused_until[request.key] = now + self.order_pause
        if request_done or request.closed:
            self.close(request)
        elif (reason := self.reason_to_end(request, ending)) is not None:
            self.end(request, reason)
        elif not request.open_attempts:
            request.failed_engines.append(target)
            self.run_stages(request, self.stages.index(self.queue_stage))

    def reason_to_end(self, request: Request, ending: Ending) -> EndReason | None:
        """Why a request whose attempt has just ended without a result is not tried again, or None."""
        if self.now >= request.deadline - 1.0:
            return EndReason.NO_TIME
        if request.open_attempts:
            return None
        reasons = {
            EndReason.ERRORS: len(request.erring_engines) > 1,  # the request itself may be at fault
            EndReason.NO_TIME: self.now >= request.deadline - MIN_TIME_LEFT_MS,
            EndReason.TIMED_OUT: ending == Ending.TIME_OUT,
            EndReason.ATTEMPTS: request.attempts_made
            >= self.max_attempts + min(request.uncounted_attempts, MAX_UNCOUNTED_ATTEMPTS),
            EndReason.BUDGET: self.retry_budget < 1.0,
            EndReason.MAY_HAVE_RUN: request.first_send is not None
            and request.workload.effect == Effect.NON_IDEMPOTENT,
        }
        return next((reason for reason, holds in reasons.items() if holds), None)

    def request_withdrawn(self, now: float, number: int) -> None:
        """Cancel a request's attempts and forget it: its client wants no answer."""
        self.now = now
        if (request := self.open_requests.get(number)) is not None:
            self.cancel_attempts(list(request.open_attempts.values()))
            self.close(request)

    def end(self, request: Request, reason: EndReason) -> None:
        """End a request without a result: shed if the client may safely send it again, else failed."""
        workload = request.workload
        harmless = workload.effect == Effect.IDEMPOTENT or (
            workload.effect == Effect.IDEMPOTENT_BY_KEY and workload.reach == Reach.ALL
        )
        if harmless or not (request.first_send or request.open_attempts):
            self.adapter.shed(request.number, self.max_retry_after, reason)
        else:
            self.adapter.fail_request(request.number, reason)
        self.cancel_attempts(list(request.open_attempts.values()))
        self.close(request)

    def close(self, request: Request) -> None:
        """Close a request that has got its answer or needs none.

        While an attempt of it is open, it stays in the queue of its key and blocks the next one.
        """
        request.closed = True
        self.open_requests.pop(request.number, None)
        if request.key and not request.open_attempts and request in self.ordered_queues.get(request.key, ()):
            self.ordered_queues[request.key].remove(request)

    def cancel_attempts(self, attempts: list[Attempt]) -> None:
        """Cancel attempts, where engines can cancel work."""
        for attempt in [attempt for attempt in attempts if self.may_cancel and not attempt.cancelled]:
            attempt.cancelled = True
            self.adapter.cancel_attempt(attempt.request.number, attempt.number)

    # Time, measurements and health.

    def timer_fired(self, now: float, token: int) -> None:
        """Ask for the list, or run the tick: refill quotas, check engines and queue, close an interval."""
        self.now = now
        if token == WATCH_TIMER:
            self.adapter.request_list()
        else:
            self.adapter.set_timer(TICK_MS, TICK_TIMER)
            self.quota_credit = [
                min(credit + quota * TICK_MS, quota * 1000)
                for credit, quota in zip(self.quota_credit, self.quotas, strict=True)
            ]
            self.check_engines()
            self.check_wait_queue()
            if now >= self.interval_end:
                self.interval_end += INTERVAL_MS
                self.close_interval()

    def check_wait_queue(self) -> None:
        """End queued requests that can no longer finish in time, and requeue late ones.

        If clients have almost all of the requests open that they can have, the last of the queue are shed, or
        new requests could not come in.
        """
        for request in [request for request in self.wait_queue if not request.closed]:
            late = (
                earliest_finish := self.now
                + max(MIN_TIME_LEFT_MS, request.best_case_ms * self.median_latency)
            ) > request.objective_at
            if earliest_finish >= request.deadline:
                self.end(request, EndReason.NO_TIME)
            elif late and request.workload.late_value < MIN_LATE_VALUE:
                self.end(request, EndReason.TOO_LATE)
            elif late and not request.late:
                request.late = True
                request.queue_position = self.queue_position(request)
        self.wait_queue = sorted(
            (request for request in self.wait_queue if not request.closed),
            key=lambda queued: queued.queue_position,
        )
        self.thread_demand += sum(request.workload.threads for request in self.wait_queue) + sum(
            engine.in_flight_threads for engine in self.ready
        )
        while self.wait_queue and len(self.open_requests) > MAX_OPEN_RATIO * self.max_open:
            self.end(self.wait_queue.pop(), EndReason.CROWDED)

    def check_engines(self) -> None:
        """Look for pressure, lost answers and engines that do not respond.

        Only engines with work of ours are looked at: idle ones cost nothing.

        Pressure, for all engines or for one: most in-flight threads are over the pressure threshold; for all
        also if the median latency is.
        """
        busy = [engine for engine in self.engines.values() if engine.open_attempts or engine.abandoned_work]
        for engine in busy:
            while engine.abandoned_work and engine.abandoned_work[0][0] <= self.now:
                engine.in_flight_threads -= engine.abandoned_work.popleft()[1]
            engine.overdue_threads = 0
            for attempt in engine.open_attempts.values():
                age_ratio = (self.now - attempt.chosen_at) / attempt.request.best_case_ms
                self.check_attempt(engine, attempt, age_ratio / max(1.0, engine.normalized_latency))
                engine.overdue_threads += (
                    attempt.request.workload.threads
                    if age_ratio > self.pressure_threshold and not attempt.waits_for_load
                    else 0
                )
        overdue_share = sum(engine.overdue_threads for engine in busy) / (
            sum(engine.in_flight_threads for engine in busy) + PRIOR_THREADS
        )
        if 2 * overdue_share > 1 or self.median_latency > self.pressure_threshold:
            self.pressure_until = self.now + PRESSURE_HOLD_MS
        for engine in busy:
            if (
                2 * (engine.overdue_threads + PRIOR_THREADS * overdue_share)
                > engine.in_flight_threads + PRIOR_THREADS
            ):
                engine.pressure_until = self.now + PRESSURE_HOLD_MS
            quiet = self.now - engine.silent_since
            # No response while most engines respond: a hang, a broken link, answers lost on the way.
            if (
                quiet > NO_RESPONSE_MS
                and sum(
                    quiet > NO_RESPONSE_RATIO * attempt.request.best_case_ms * self.median_latency
                    for attempt in engine.open_attempts.values()
                )
                >= NO_RESPONSE_ATTEMPTS
            ):
                responses = sorted(other.silent_since for other in self.ready)
                if responses and responses[len(responses) // 2] > engine.silent_since + NO_RESPONSE_MS / 2:
                    self.eject(engine, f"silent {quiet:.0f} ms")

    def check_attempt(self, engine: Engine, attempt: Attempt, age_over_latency: float) -> None:
        """End a request that is too late to be of use, and find attempts that wait or whose answer is lost.

        An attempt without progress while its engine answers others waits for a table load, or its answer is
        lost; then it is cancelled if a retry is allowed and can still finish in time.
        """
        request, workload, quiet = attempt.request, attempt.request.workload, self.now - attempt.last_progress
        if (
            self.may_cancel
            and not request.closed
            and workload.effect == Effect.IDEMPOTENT
            and workload.late_value < MIN_LATE_VALUE
            and self.now > request.received + TOO_LATE_RATIO * (request.objective_at - request.received)
        ):
            self.end(request, EndReason.TOO_LATE)  # its attempt occupies an engine for nothing
        if self.progress_interval:
            answer_missing = quiet > LOST_INTERVALS * self.progress_interval
            engine.set_waiting(attempt, attempt.waits_for_load or answer_missing)
        else:
            answer_missing = (
                quiet > MIN_LOST_MS and age_over_latency > LOST_RATIO and self.now >= self.pressure_until
            )
            engine.set_waiting(
                attempt,
                age_over_latency > WAITING_RATIO and (workload.waits_for_loads or workload.holds_tables),
            )
        if (
            answer_missing
            and workload.effect == Effect.IDEMPOTENT
            and request.attempts_made < self.max_attempts
            and self.may_retry()
            and self.now + request.best_case_ms * self.median_latency < request.deadline - MIN_TIME_LEFT_MS
        ):
            self.cancel_attempts([attempt])

    def progress_reported(
        self, now: float, number: int, attempt: int, engine: int, kind: ProgressKind, value: float
    ) -> None:
        """Note progress of an open attempt, and whether it waits for a table load."""
        if (target := self.engines.get(engine)) and (
            open_attempt := target.open_attempts.get((number, attempt))
        ):
            open_attempt.last_progress = now
            target.set_waiting(open_attempt, kind == ProgressKind.WAITS and value == WAITS_FOR_LOAD)
            if kind == ProgressKind.PROGRESS and value > 0:
                target.silent_since = now

    def record_outcome(
        self, engine: Engine, attempt: Attempt, ending: Ending, took: float, work: float
    ) -> None:
        """Change an engine's failure score, pressure and measurements by how an attempt ended there."""
        request = attempt.request
        engine.recent_errors += ending in (Ending.ERROR, Ending.UNREACHED, Ending.CONNECT_TIMEOUT)
        if ending == Ending.DELIVERED:
            self.record_delivery(engine, attempt, took, work)
        elif ending == Ending.FULL:
            # It has fewest of ours and answers at once: without a pause it would attract every request.
            engine.silent_since, engine.pressure_until = self.now, self.now + PRESSURE_HOLD_MS
            engine.ejected_until = max(
                engine.ejected_until, self.now + FULL_BACKOFF_MS * (0.5 + self.chance.draw())
            )
        elif ending == Ending.ERROR:
            # The engine's fault or the request's: for an idempotent one, the result on another engine tells.
            request.erring_engines.append(engine)
            if request.workload.effect != Effect.IDEMPOTENT:
                self.add_failure(engine, ERROR_SCORE)
        elif ending == Ending.UNREACHED or (
            ending == Ending.RESET and (self.now != engine.last_failure or not engine.open_attempts)
        ):
            # A reset connection counts once, however many attempts it ends, while others are open there: a
            # second failure at the very same time is taken for the same reset. A reset does not prove that
            # the process ended; a refused dial does.
            self.add_failure(engine, UNREACHED_SCORE if ending == Ending.UNREACHED else RESET_SCORE)
        elif ending == Ending.CONNECT_TIMEOUT:  # a broken link, or a late handshake: no crash
            self.add_failure(engine, ERROR_SCORE)

    def record_delivery(self, engine: Engine, attempt: Attempt, took: float, work: float) -> None:
        """Measure a delivered attempt: throughput, work and latency of its engine.

        The engine is reinstated if it was probed and the latency is normal, or ejected if it is an outlier.
        The engines at which the same request ended in an error before are found to be at fault.
        """
        request, threads = attempt.request, attempt.request.workload.threads
        engine.served_threads, engine.served_work = (
            engine.served_threads + threads,
            engine.served_work + request.cost,
        )
        engine.silent_since, engine.failure_score, engine.recent_errors = self.now, 0.0, 0.0
        # Without an estimate, only a guess would count as its work; an estimate has been added on arrival.
        if not request.estimated:
            self.mean_work[request.workload_index].add(took * threads)
        for erring in request.erring_engines:
            self.add_failure(erring, ERROR_SCORE)
        ratio = took * threads / (work or request.cost)
        latency = ratio / self.baseline_latency[request.workload_index]
        self.latency_ratios[request.workload_index].add(ratio, threads)
        engine.normalized_latencies.add(latency, threads)
        self.normalized_latencies.add(latency, threads)
        self.median_latency = max(1.0, median_with_prior(self.normalized_latencies, 1.0))
        engine.normalized_latency = median_with_prior(engine.normalized_latencies, self.median_latency)
        if engine.half_open_probe and latency < OUTLIER_LATENCY_RATIO:
            engine.half_open_probe = False
            self.adapter.log(f"engine {engine.number} back, pace {latency:.2f}")
        # Far slower than its peers: a faulty machine, a noisy neighbour. All slow at once moves the median.
        elif engine.normalized_latency > OUTLIER_LATENCY_RATIO * self.median_latency:
            self.eject(engine, f"pace {engine.normalized_latency:.1f} of {self.median_latency:.1f}")

    def add_failure(self, engine: Engine, weight: float) -> None:
        """Raise the failure score, and eject at EJECTION_SCORE or if the probe of an ejected engine fails.

        Covers a crash, a broken link, and an engine that fails all it gets, whatever the list says.
        """
        engine.failure_score, engine.last_failure = engine.failure_score + weight, self.now
        if engine.failure_score >= EJECTION_SCORE or (engine.half_open_probe and weight > RESET_SCORE):
            self.eject(engine, f"strikes {engine.failure_score:.1f}")
            if weight == UNREACHED_SCORE:  # a refused dial: it will be cold, whatever the list says
                began = max(self.now, engine.ejected_until)
                engine.begin_slow_start(
                    max(engine.slow_start_until, engine.ejected_until + self.slow_start_ms),
                    began,
                    self.chance.draw(),
                )

    def eject(self, engine: Engine, why: str) -> None:
        """Eject an engine for a fixed and a random time, and cancel its idempotent attempts.

        An engine is not newly ejected if at least half of the ready engines would then be ejected, probed or
        paused after a refusal. An engine under probe is ejected again in any case.
        """
        already_ejected = [
            peer for peer in self.ready if peer.ejected_until > self.now or peer.half_open_probe
        ]
        if engine.ejected_until > self.now or (
            not engine.half_open_probe and 2 * (len(already_ejected) + 1) >= len(self.ready)
        ):
            return
        engine.reset_statistics(engine.initial_limit)
        engine.ejected_until, engine.half_open_probe = (
            self.now + EJECTION_MS + EJECTION_JITTER_MS * self.chance.draw(),
            True,
        )
        self.adapter.log(
            f"engine {engine.number} aside: {why}, {len(engine.open_attempts)} out, "
            f"{len(already_ejected)} others aside"
        )
        self.cancel_attempts(
            [
                attempt
                for attempt in engine.open_attempts.values()
                if attempt.request.workload.effect == Effect.IDEMPOTENT
            ]
        )

    def update_pressure_threshold(self) -> None:
        """Learn the lowest median latency of calm intervals, and set the pressure threshold by it.

        Rough estimates alone spread latencies: that median tells by how much. An interval is calm if the
        demand was no more than what is admitted without pressure.
        """
        if self.normalized_latencies.total >= MIN_BASELINE_WEIGHT:
            limits = sum(engine.concurrency_limit for engine in self.ready)
            if self.thread_demand * TICK_MS / INTERVAL_MS <= BURST_RATIO * limits + self.burst_allowance:
                self.calm_median = (
                    min(self.median_latency, self.calm_median * CALM_MEDIAN_DRIFT)
                    if self.calm_median
                    else self.median_latency
                )
            self.pressure_threshold = PRESSURE_RATIO * min(PRESSURE_RATIO, self.calm_median or 1.0)
        self.thread_demand = 0.0

    def close_interval(self) -> None:
        """Close an interval: fade statistics, move the concurrency limits, renew the baselines.

        Every limit moves with this dispatcher's share of all sends, and then by one step of hill climbing;
        the step is the widest request over all dispatchers.
        """
        self.trim_retry_window()
        self.update_pressure_threshold()
        self.ordered_queues = {key: queue for key, queue in self.ordered_queues.items() if queue}
        self.key_paused_until = {
            key: until for key, until in self.key_paused_until.items() if until > self.now
        }
        self.engines = {
            number: engine
            for number, engine in self.engines.items()
            if engine.open_attempts or engine.abandoned_work or engine.listed.life > Life.GONE
        }
        if self.fleet_in_flight > 1.0:
            self.own_in_flight, self.fleet_in_flight = self.own_in_flight / 2, self.fleet_in_flight / 2
        self.normalized_latencies.halve()
        first, count = self.chance.draw(), len(self.engines)
        # Queued requests are not sends: a dispatcher that queues would see its share shrink more and more.
        share = max(
            self.own_in_flight / self.fleet_in_flight, self.configured_share if self.wait_queue else 0.0
        )
        # Where no report tells what engines hold: all dispatchers together send no more than engines can do.
        self.offered_work_time += INTERVAL_MS
        if self.load_field is None and not self.swaps and self.ready:
            share = max(
                share,
                self.offered_work
                / (OFFERED_LOAD_RATIO * self.offered_work_time * sum(engine.cores for engine in self.ready)),
            )
        self.offered_work, self.offered_work_time = self.offered_work / 2, self.offered_work_time / 2
        # Stratified draws: the number of engines that admit per interval is close to its expected value.
        for index, engine in enumerate(sorted(self.engines.values(), key=lambda _: self.chance.draw())):
            engine.admission_draw, limit_shift = (
                (first + index / count) % 1.0,
                INITIAL_LIMIT_PER_CORE * engine.cores * share - engine.initial_limit,
            )
            engine.initial_limit, engine.concurrency_limit, engine.previous_limit = (
                max(MIN_LIMIT_SHARE * (engine.initial_limit + limit_shift), limit + limit_shift)
                for limit in (engine.initial_limit, engine.concurrency_limit, engine.previous_limit)
            )
            engine.normalized_latencies.halve()
            engine.normalized_latency, engine.recent_errors = (
                median_with_prior(engine.normalized_latencies, self.median_latency),
                engine.recent_errors / 2,
            )
            if self.now >= engine.ejected_until and not engine.half_open_probe:
                engine.adjust_limit(self.widest_request * share)
                # An engine that swaps gets slower and so holds more requests: the limit must fall faster.
                if self.swaps and engine.normalized_latency > SWAPPING_LATENCY_RATIO:
                    engine.concurrency_limit = engine.previous_limit = max(
                        engine.initial_limit / 2, engine.concurrency_limit - engine.initial_limit / 4
                    )
        # 1.0 is the initial value and means: not measured yet.
        for workload_index, ratios in enumerate(self.latency_ratios):
            if ratios.total >= MIN_BASELINE_WEIGHT:
                low = ratios.quantile(BASELINE_QUANTILE)
                self.baseline_latency[workload_index] = (
                    min(low, self.baseline_latency[workload_index] * BASELINE_DRIFT)
                    if self.baseline_latency[workload_index] != 1.0
                    else low
                )
            ratios.halve()
        self.retry_successes.halve()
        limits, threads, queued = (
            sum(engine.concurrency_limit for engine in self.ready),
            sum(engine.in_flight_threads for engine in self.ready),
            len(self.wait_queue),
        )
        self.adapter.log(f"n* {limits:.1f} own {threads} held {queued} pace {self.median_latency:.2f}")
