"""Log lines and counters of single requests: why one was refused, aborted or tried again; engines' states."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping

from ..interface import Ending, EndReason, Life
from .counters import Counters
from .engine_list import Endpoint
from .limited_log import LimitedLog
from .requests import OpenRequest


class RequestLog:
    """Lines of requests that did not simply run once, and of engines that changed state.

    A request that is sent once and delivered has no line. Each line has the request's id, so that it can be
    found in the records of clients and engines.
    """

    def __init__(self, log: logging.Logger, clock: Callable[[], float], counters: Counters) -> None:
        self.lines = LimitedLog(log, clock)
        self.counters = counters

    def refused(self, request: OpenRequest, reason: EndReason) -> None:
        """A request is answered with a promise that a repeat is harmless."""
        self.ended("request_refused", request, reason)

    def aborted(self, request: OpenRequest, reason: EndReason) -> None:
        """A request is answered as failed: it may have run."""
        self.ended("request_aborted", request, reason)

    def ended(self, event: str, request: OpenRequest, reason: EndReason) -> None:
        """A request that is still open ends without a result."""
        if request.answered:
            return
        self.counters.add(f"{event}_{reason}")
        self.lines.write(
            event, **self.figures(request), reason=str(reason), attempts_out=len(request.attempts)
        )

    def attempt_failed(
        self, request: OpenRequest, attempt: int, server: str, ending: Ending, took: float
    ) -> None:
        """An attempt of a request that must not run twice ended without a result."""
        self.lines.write(
            "attempt_failed",
            **self.figures(request),
            attempt=attempt,
            server=server,
            ending=ending.name.lower(),
            took_ms=took,
        )

    def retried(self, request: OpenRequest, attempt: int, server: str) -> None:
        """A further attempt of a request is about to be sent."""
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

    def left_unconfirmed(self, request: OpenRequest, server: str, age: float) -> None:
        """An attempt leaves by a list that was not confirmed for long."""
        self.counters.add("attempts_on_unconfirmed_list")
        self.lines.write(
            "attempt_on_unconfirmed_list", **self.figures(request), server=server, list_age_ms=age
        )

    def states(self, before: Mapping[str, Endpoint], after: Mapping[str, Endpoint]) -> None:
        """A new list of engines is in force."""
        for ident in before.keys() | after.keys():
            old, new = state_of(before.get(ident)), state_of(after.get(ident))
            if old != new or started_of(before.get(ident)) != started_of(after.get(ident)):
                self.counters.add("server_states_changed")
                started = started_of(after.get(ident))
                self.lines.write("server_state", server=ident, before=old, after=new, started_unix_ms=started)

    def figures(self, request: OpenRequest) -> dict[str, object]:
        """What each line of a request tells."""
        return {
            "id": request.ident.decode("ascii", "replace"),
            "workload": request.workload.decode("utf-8", "replace"),
        }


def state_of(endpoint: Endpoint | None) -> str:
    """The state's name; an engine that is not in the list is gone."""
    return (Life.GONE if endpoint is None else endpoint.life).name.lower()


def started_of(endpoint: Endpoint | None) -> float:
    """The engine's start as the list tells it; 0 for long ago, or for none."""
    return 0.0 if endpoint is None else endpoint.started
