"""Records of the failure detector: probes and suspicions."""

from __future__ import annotations

from typing import NamedTuple


class Probe(NamedTuple):
    """A probe that waits for its answer."""

    name: str
    due: float  # without an answer by then, helpers are asked
    end: float  # without an answer by then, the probe has failed
    pending_nacks: int  # helpers that were asked and have not answered


class ProbeActions(NamedTuple):
    """What to do now: the member to probe, and the helpers to ask to probe one that did not answer."""

    target: str | None
    helpers: list[str]


class Suspicion(NamedTuple):
    """A suspicion of one member, in ms: its start, end, shortest and longest duration, and its reporters."""

    since: float
    end: float
    least: float
    most: float
    by: frozenset[str]
