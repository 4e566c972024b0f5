"""What a member keeps of its probes of others, and of suspicions."""

from __future__ import annotations

from typing import NamedTuple


class Probe(NamedTuple):
    """One that waits for its answer."""

    name: str
    due: float  # no answer by then: others are asked
    end: float  # no answer by then: it failed
    pending_nacks: int  # others that were asked and owe a word


class Probes(NamedTuple):
    """Whom to probe now, and whom to ask to probe for us the one that did not answer."""

    target: str | None
    helpers: list[str]


class Suspicion(NamedTuple):
    """A suspicion of one member, in ms: since when, its end, its least and most time, and who says so."""

    since: float
    end: float
    least: float
    most: float
    by: frozenset[str]
