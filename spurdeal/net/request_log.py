"""Log lines and counters of single requests (refused, aborted, retried) and of engine state changes."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping

from ..interface import Ending, EndReason, Life
from .counters import Counters
from .engine_list import Endpoint
from .limited_log import LimitedLog
from .requests import OpenRequest


class RequestLog:
    """Logs requests that did not run exactly once without trouble, and engines that changed state.

    A request that is sent once and delivered is not logged. Each line has the request's id, so that it can be
    found in the logs of clients and engines.
    """

    def __init__(self, log: logging.Logger, clock: Callable[[], float], counters: Counters) -> None:
        self.lines = LimitedLog(log, clock)
        self.counters = counters

    def refused(self, request: OpenRequest, reason: EndReason) -> None:
        """Log a request that is rejected; repeating it is safe."""
        self.ended("request_refused", request, reason)

    def aborted(self, request: OpenRequest, reason: EndReason) -> None:
        """Log a request that fails; it may have run."""
        self.ended("request_aborted", request, reason)

    def ended(self, event: str, request: OpenRequest, reason: EndReason) -> None:
        """Log and count the end of an open request without a result."""
        if request.answered:
            return
        self.counters.add(f"{event}_{reason}")
        self.lines.write(
            event, **self.figures(request), reason=str(reason), attempts_out=len(request.attempts)
        )

    def attempt_failed(
        self, request: OpenRequest, attempt: int, server: str, ending: Ending, took: float
    ) -> None:
        """Log an attempt without a result, of a request that must not run twice."""
        self.lines.write(
            "attempt_failed",
            **self.figures(request),
            attempt=attempt,
            server=server,
            ending=ending.name.lower(),
            took_ms=took,
        )

    def retried(self, request: OpenRequest, attempt: int, server: str) -> None:
        """Log and count a retry."""
        self.counters.add("attempts_further")
        before = "none" if request.last_ending is None else request.last_ending.name.lower()
        self.lines.write(
            "attempt_retried",
            **self.figures(request),
            attempt=attempt,
            server=server,
            before=before,
            attempts_out=len(request.attempts),
        )

    def sent_on_unconfirmed_list(self, request: OpenRequest, server: str, age: float) -> None:
        """Log and count an attempt sent while the list of engines has not been confirmed for long."""
        self.counters.add("attempts_on_unconfirmed_list")
        self.lines.write(
            "attempt_on_unconfirmed_list", **self.figures(request), server=server, list_age_ms=age
        )

    def log_state_changes(self, before: Mapping[str, Endpoint], after: Mapping[str, Endpoint]) -> None:
        """Log the engines whose state or start time differs between two lists."""
        for ident in before.keys() | after.keys():
            old, new = state_of(before.get(ident)), state_of(after.get(ident))
            if old != new or started_of(before.get(ident)) != started_of(after.get(ident)):
                self.counters.add("server_states_changed")
                started = started_of(after.get(ident))
                self.lines.write("server_state", server=ident, before=old, after=new, started_unix_ms=started)

    def figures(self, request: OpenRequest) -> dict[str, object]:
        """The fields of every line about a request."""
        return {
            "id": request.ident.decode("ascii", "replace"),
            "workload": request.workload.decode("utf-8", "replace"),
        }


def state_of(endpoint: Endpoint | None) -> str:
    """The name of an endpoint's state; `gone` if it is not in the list."""
    return (Life.GONE if endpoint is None else endpoint.life).name.lower()


def started_of(endpoint: Endpoint | None) -> float:
    """An engine's start time as listed; 0 if it was long ago or the engine is not listed."""
    return 0.0 if endpoint is None else endpoint.started
