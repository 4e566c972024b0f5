"""Explains why requests were sent to a draining engine, by replaying the saved datagrams to `ListFreshness`.

    python -m tests.soak.tracing DIR [--show]

prints the state at each violation of `drain` that a soak has saved under DIR; with --show also the datagrams
from shortly before the dispatcher was informed on. Queries that did not reach the name service's
host, and failed system calls, are not in the records.
"""

from __future__ import annotations

import argparse
import json
import re
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

from spurdeal.interface import Verdict
from spurdeal.list_freshness import ListFreshness
from spurdeal.net.names import MAX_OPEN_QUERIES
from tests.soak.judge import DRAIN_GRACE, Datagram

DRAIN_VIOLATION = re.compile(r"(\S+) drain: (\S+) of dispatcher (\d+) to (\S+), (\S+) s after told")
READABLE = ("", "wrong_id")  # faults of answers that the dispatcher can still decode


class LateAttempt(NamedTuple):
    """An attempt that reached an engine too late."""

    at: float
    ident: str
    dispatcher: int
    engine: str
    late: float

    @property
    def informed_at(self) -> float:
        """When its dispatcher counted as informed."""
        return self.at - self.late


class AcceptedAnswer(NamedTuple):
    """An answer that the dispatcher accepted, and when the query that it matched was sent."""

    datagram: Datagram
    query_sent_at: float


class Replay:
    """The state of a dispatcher's discovery, by the datagrams of one of its starts."""

    def __init__(self, datagrams: list[Datagram]) -> None:
        self.freshness = ListFreshness(DRAIN_GRACE * 1000)
        self.open_queries = dict[int, float]()
        self.accepted: list[AcceptedAnswer] = []
        self.sent = 0  # the highest number of a list in an answer that was sent
        for datagram in datagrams:
            self.sent = max(self.sent, datagram.number)
            if datagram.event == "question":
                self.query_sent(datagram)
            elif datagram.event == "arrival" and datagram.fault in READABLE:
                self.answer_received(datagram)

    def query_sent(self, datagram: Datagram) -> None:
        """See NameService.await_response."""
        self.freshness.query_sent(datagram.at * 1000)
        self.open_queries[datagram.ident] = datagram.at
        if len(self.open_queries) > MAX_OPEN_QUERIES:
            del self.open_queries[next(iter(self.open_queries))]

    def answer_received(self, datagram: Datagram) -> None:
        """See NameService.handle_response."""
        if (query_sent_at := self.open_queries.pop(datagram.ident, None)) is not None:
            verdict = Verdict.NEWER if datagram.number > self.highest() else Verdict.CONFIRMED
            self.freshness.response_received(datagram.at * 1000, query_sent_at * 1000, verdict)
            self.accepted.append(AcceptedAnswer(datagram, query_sent_at))

    def highest(self) -> int:
        """The highest number of a list in an accepted answer."""
        return max((accepted.datagram.number for accepted in self.accepted), default=0)

    def state(self, at: float, informed_at: float) -> str:
        """Describe what decides whether the list is followed at a time."""
        freshness, now = self.freshness, at * 1000
        oldest = now - freshness.open_query_times[0] if freshness.open_query_times else 0.0
        figures = (
            f"{len(freshness.open_query_times)} open for {oldest:.0f} ms, patience {freshness.timeout:.0f} ms"
        )
        return f"{self.reason(informed_at)}; {figures}, doubt {freshness.stale_reason(now)}"

    def reason(self, informed_at: float) -> str:
        """The condition by which the list was followed."""
        last = self.accepted[-1] if self.accepted else None
        if last is None or last.datagram.at < informed_at:
            return "other"
        if last.datagram.number < self.highest():
            return "confirmed by an answer with a list older than the one in force"
        if last.datagram.number < self.sent:
            return "confirmed by an answer with the list in force, behind a newer one that was not taken"
        return "other"


def violations(folder: Path) -> Iterator[LateAttempt]:
    """The violations of `drain` of one seed."""
    for line in (folder / "breaks.txt").read_text().splitlines():
        if found := DRAIN_VIOLATION.match(line):
            at, ident, dispatcher, engine, late = found.groups()
            yield LateAttempt(float(at), ident, int(dispatcher), engine, float(late))


def read(folder: Path) -> list[Datagram]:
    """The saved datagrams."""
    lines = (folder / "datagrams.jsonl").read_text().splitlines()
    return sorted((Datagram(**json.loads(line)) for line in lines), key=lambda each: each.at)


def explain(folder: Path, show: bool) -> None:
    """Print the explanation of each violation of one seed."""
    datagrams = read(folder)
    for late in violations(folder):
        before = [each for each in datagrams if each.dispatcher == late.dispatcher and each.at <= late.at]
        start = max(each.start for each in before)
        replay = Replay([each for each in before if each.start == start])
        print(f"{folder} {late.ident} n{late.dispatcher} {late.engine} late {late.late:.3f}", end=": ")
        print(replay.state(late.at, late.informed_at))
        if show:
            print(f"  told at {late.informed_at:.3f}, request at {late.at:.3f}")
            for each in before:
                if each.at >= late.informed_at - DRAIN_GRACE:
                    print(f"  {each}")


def main() -> None:
    """The command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("folder", type=Path)
    parser.add_argument("--show", action="store_true")
    given = parser.parse_args()
    for found in sorted(given.folder.rglob("breaks.txt")):
        explain(found.parent, given.show)


if __name__ == "__main__":
    main()
