"""The lease on the list of engines: whether requests may be sent by it. Free of I/O.

A change counts as announced as soon as a response that holds it is sent, whether or not that response
arrives; and no response is sent before its query. So requests may be sent while each query that was sent more
than the response timeout ago has received its own response, and that response held the list in force. Nothing
else renews the lease, neither silence nor an unusable response; a response with an older list renews it only
if that list contains each engine that gets requests. A query without a response is settled by
SETTLING_RESPONSES consecutive responses to later queries that hold the same list: a single one may come from
a lagging replica. While no query can be sent, the lease ends MAX_QUERY_GAP after the query that was answered
last.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from enum import StrEnum

from .answer_times import ResponseTimes
from .interface import Verdict

# ms after which the lease takes a change for announced at the latest. Slow start uses another bound:
# slow_start.MAX_PROPAGATION_DELAY.
PROPAGATION_LIMIT = 1500.0
QUERY_GAP_SHARE = 2 / 3  # of PROPAGATION_LIMIT; the rest covers the query interval and the network delay
MAX_QUERY_GAP = QUERY_GAP_SHARE * PROPAGATION_LIMIT
RESPONSE_TIMEOUT_SHARE = 0.5  # of the drain grace
MIN_RESPONSE_TIMEOUT = 100.0  # ms; an idle event loop polls every 50 ms
MAX_CONFIGURATION_AGE = 1000.0  # ms between writing and reading the configuration at startup, at most
# ms from reading the configuration until the first query has to be sent
INITIAL_LEASE = PROPAGATION_LIMIT - MAX_CONFIGURATION_AGE
SETTLING_RESPONSES = 6  # consecutive responses with the list in force that settle an unanswered query
MAX_OPEN_QUERY_TIMES = 64  # unanswered queries whose send times are kept


class StaleReason(StrEnum):
    """Why the list may not be followed. The values are shown in logs.

    UNASKED: no query was sent within MAX_QUERY_GAP of the query that was answered last.
    UNPOLLED: the sockets were not polled for the response timeout, so that responses may be unread.
    UNANSWERED: a query got no response within the response timeout.
    """

    UNASKED = "no question has left"
    UNPOLLED = "sockets were not looked at"
    UNANSWERED = "a question has no answer"


class ListFreshness:
    """The lease on the list in force. Times are in ms.

    Attributes:
        is_enabled: Whether the settings define a drain grace; without one the list may always be followed.
        timeout: The response timeout: how long a query may stay unanswered.
        lease_base: The next query has to be sent within MAX_QUERY_GAP of this. It is the time of the latest
            query that got its response; before the first response, it is set so that the lease ends
            INITIAL_LEASE after the configuration was read, or is the time of the first query if none was
            read. None if no name server provides the list.
        open_query_times: Send times of the queries without a response of their own, oldest first.
        queries_since_response: Number of queries sent since the latest response.
        run_start: When the first query of the current run of consecutive responses was sent.
        run_length: Number of responses in this run.
        no_settling_before: Responses to queries sent before this time do not settle earlier queries.
        response_times: The latest response times.
        polled_at: Returns when the sockets were polled last, where that is known.
    """

    def __init__(self, drain_grace: float) -> None:
        self.is_enabled = drain_grace > 0.0
        self.timeout = max(MIN_RESPONSE_TIMEOUT, RESPONSE_TIMEOUT_SHARE * drain_grace)
        self.lease_base: float | None = None
        self.open_query_times = deque[float]()
        self.queries_since_response = 0
        self.run_start, self.run_length = 0.0, 0
        self.no_settling_before = float("-inf")
        self.response_times = ResponseTimes()
        self.polled_at: Callable[[], float] | None = None

    def initial_list_read(self, at: float) -> None:
        """Records that the startup configuration was read; it may be up to MAX_CONFIGURATION_AGE old."""
        self.lease_base = at + INITIAL_LEASE - MAX_QUERY_GAP

    def query_sent(self, now: float) -> None:
        """Records that a query was sent."""
        if self.lease_base is None:
            self.lease_base = now
        if len(self.open_query_times) >= MAX_OPEN_QUERY_TIMES:
            # The second oldest is dropped: the oldest decides when the lease ends, the latest ones when it is
            # restored.
            del self.open_query_times[1]
        self.open_query_times.append(now)
        self.queries_since_response += 1

    def name_server_changed(self) -> None:
        """Records a change of the name server; the new one may lag behind the responses of the old one."""
        if self.open_query_times:
            self.no_settling_before = self.open_query_times[-1] + PROPAGATION_LIMIT

    def response_received(self, now: float, query_sent_at: float, verdict: Verdict) -> None:
        """Records a response that listed each engine in use, to the query sent at `query_sent_at`."""
        if self.lease_base is None or query_sent_at >= self.lease_base:
            self.response_times.record(now - query_sent_at)
            self.lease_base = query_sent_at
        if query_sent_at in self.open_query_times:
            self.open_query_times.remove(query_sent_at)
        self.queries_since_response = 0
        self.extend_run(query_sent_at, verdict)
        if query_sent_at >= self.no_settling_before and self.run_length >= SETTLING_RESPONSES:
            self.open_query_times = deque(
                sent_at for sent_at in self.open_query_times if sent_at > self.run_start
            )

    def extend_run(self, query_sent_at: float, verdict: Verdict) -> None:
        """Counts a response; another list, or an unanswered query in between, starts a new run."""
        if query_sent_at < self.run_start:
            return
        has_gap = any(self.run_start < sent_at < query_sent_at for sent_at in self.open_query_times)
        if verdict is Verdict.OLDER:
            self.run_start, self.run_length = query_sent_at, 0
        elif self.run_length and verdict is Verdict.CONFIRMED and not has_gap:
            self.run_length += 1
        else:
            self.run_start, self.run_length = query_sent_at, 1

    def has_unsettled_query(self) -> bool:
        """Whether an unanswered query precedes an answered one, so that further responses settle it."""
        oldest = self.open_query_times[0] if self.open_query_times else float("inf")
        return self.lease_base is not None and oldest < self.lease_base

    def stale_reason(self, now: float) -> StaleReason | None:
        """Why requests may not be sent by the list; None if they may."""
        if not self.is_enabled or self.lease_base is None:
            return None
        oldest_open_at = self.open_query_times[0] if self.open_query_times else now
        if oldest_open_at - self.lease_base > MAX_QUERY_GAP:
            return StaleReason.UNASKED
        if self.polled_at is not None and now - self.polled_at() > self.timeout:
            return StaleReason.UNPOLLED
        if now - oldest_open_at > self.timeout:
            return StaleReason.UNANSWERED
        return None

    def may_be_followed(self, now: float) -> bool:
        """Whether requests may be sent by the list."""
        return self.stale_reason(now) is None

    def retransmit_after(self, chance: float) -> float:
        """Ms until the last query is retransmitted without a response; `chance` (0 to 1) sets the jitter."""
        return self.response_times.retransmit_after(self.queries_since_response, chance)
