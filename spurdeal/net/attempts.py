"""What is sent to an engine for a request, and how that ended."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from twisted.internet.defer import Deferred

from ..interface import Ending

if TYPE_CHECKING:
    from .connection import Connection


class Outcome(NamedTuple):
    ending: Ending
    pages: tuple[bytes, ...] = ()
    report: tuple[float, ...] = ()


class SendTerms(NamedTuple):
    """On which an attempt leaves.

    Attributes:
        wait: for how many ms the engine may work on it.
        rank: its priority.
        mark: by which engines know a repeat, where its client gave one.
        at_once: whether it is handed to the system at once; else with `Engines.write_held`.
        taken: called once the system has taken its last byte.
    """

    wait: float
    rank: int | None
    idempotency_key: bytes = b""
    at_once: bool = True
    taken: Callable[[], object] = lambda: None


class Attempt:
    """One attempt from its sending to its outcome, which its Deferred brings exactly once."""

    __slots__ = (
        "at_send",
        "connection",
        "deadline",
        "done",
        "ident",
        "pages",
        "parts",
        "report",
        "sent",
        "size",
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
        self.parts, self.size, self.sent, self.pages = 0, 0, 0.0, dict[int, bytes]()
        self.report: tuple[float, ...] = ()
