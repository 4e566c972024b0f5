"""Attempts: a request as sent to one engine, the terms of sending, and the outcome."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from twisted.internet.defer import Deferred

from ..interface import Ending

if TYPE_CHECKING:
    from .connection import Connection
    from .partial_result import PartialResult


class Outcome(NamedTuple):
    """How an attempt ended, with the result's pages and the engine's load report, if any."""

    ending: Ending
    pages: tuple[bytes, ...] = ()
    report: tuple[float, ...] = ()


class SendTerms(NamedTuple):
    """The terms on which an attempt is sent, fixed when its first byte is about to be written.

    Attributes:
        wait: For how many ms the engine may work on it.
        rank: The request's priority; None if the deployment has no priorities.
        idempotency_key: Lets engines recognize a repeat; empty if the client gave none.
        at_once: Whether it is written to the socket at once, or by `Engines.write_deferred`.
        on_written: Called once the system has accepted its last byte.
    """

    wait: float
    rank: int | None
    idempotency_key: bytes = b""
    at_once: bool = True
    on_written: Callable[[], object] = lambda: None


class OutgoingAttempt:
    """An attempt sent over our own connections; its Deferred fires with the outcome exactly once."""

    __slots__ = (
        "at_send",
        "connection",
        "deadline",
        "done",
        "ident",
        "result",
        "sent",
        "statement",
        "workload",
        "written",
    )

    def __init__(
        self,
        ident: bytes,
        workload: bytes,
        statement: bytes,
        deadline: float,
        at_send: Callable[[], SendTerms | None],
    ) -> None:
        self.ident, self.workload, self.statement = ident, workload, statement
        self.deadline, self.at_send, self.written = deadline, at_send, False
        self.done: Deferred[Outcome] = Deferred()
        self.connection: Connection | None = None
        self.sent = 0.0
        self.result: PartialResult | None = None  # from its first page on
