"""Why requests were let go to a draining engine: the kept datagrams, played to the dispatcher's own decision.

    python -m tests.soak.tracing DIR [--show]

prints for each break of `drain` under DIR, as the soak has kept it, what held at that moment; with --show the
datagrams behind the telling answer too. Questions that left the dispatcher and did not reach the name
service's host, and failed system calls, are not seen.
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
from tests.soak.judge import GRACE, Datagram

BREAK = re.compile(r"(\S+) drain: (\S+) of dispatcher (\d+) to (\S+), (\S+) s after told")
READABLE = ("", "wrong_id")  # the faults of answers that the dispatcher takes


class Late(NamedTuple):
    """A request that came to an engine too late."""

    at: float
    ident: str
    dispatcher: int
    engine: str
    late: float

    @property
    def told_at(self) -> float:
        """When its dispatcher counted as told."""
        return self.at - self.late


class Taken(NamedTuple):
    """An answer that the dispatcher took, and when the question left that it took it for."""

    datagram: Datagram
    asked_at: float


class Replay:
    """What a dispatcher knew of the name service, by the datagrams of one of its starts."""

    def __init__(self, datagrams: list[Datagram]) -> None:
        self.freshness = ListFreshness(GRACE * 1000)
        self.open = dict[int, float]()
        self.taken: list[Taken] = []
        self.sent = 0  # the highest number of a list in an answer that left
        for datagram in datagrams:
            self.sent = max(self.sent, datagram.number)
            if datagram.event == "question":
                self.asked(datagram)
            elif datagram.event == "arrival" and datagram.fault in READABLE:
                self.arrived(datagram)

    def asked(self, datagram: Datagram) -> None:
        """See NameService.await_response."""
        self.freshness.asked(datagram.at * 1000)
        self.open[datagram.ident] = datagram.at
        if len(self.open) > MAX_OPEN_QUERIES:
            del self.open[next(iter(self.open))]

    def arrived(self, datagram: Datagram) -> None:
        """See NameService.handle_response."""
        if (asked_at := self.open.pop(datagram.ident, None)) is not None:
            verdict = Verdict.NEWER if datagram.number > self.highest() else Verdict.CONFIRMED
            self.freshness.answered(datagram.at * 1000, asked_at * 1000, verdict)
            self.taken.append(Taken(datagram, asked_at))

    def highest(self) -> int:
        """The highest number of a list in an answer that was taken."""
        return max((taken.datagram.number for taken in self.taken), default=0)

    def state(self, at: float, told_at: float) -> str:
        """What decides whether the list is followed at a time."""
        freshness, now = self.freshness, at * 1000
        oldest = now - freshness.unanswered_since[0] if freshness.unanswered_since else 0.0
        figures = (
            f"{len(freshness.unanswered_since)} open for {oldest:.0f} ms, patience {freshness.timeout:.0f} ms"
        )
        return f"{self.reason(told_at)}; {figures}, doubt {freshness.stale_reason(now)}"

    def reason(self, told_at: float) -> str:
        """The condition by which the list was followed."""
        last = self.taken[-1] if self.taken else None
        if last is None or last.datagram.at < told_at:
            return "other"
        if last.datagram.number < self.highest():
            return "confirmed by an answer with a list older than the one in force"
        if last.datagram.number < self.sent:
            return "confirmed by an answer with the list in force, behind a newer one that was not taken"
        return "other"


def breaks(folder: Path) -> Iterator[Late]:
    """Those of `drain`."""
    for line in (folder / "breaks.txt").read_text().splitlines():
        if found := BREAK.match(line):
            at, ident, dispatcher, engine, late = found.groups()
            yield Late(float(at), ident, int(dispatcher), engine, float(late))


def read(folder: Path) -> list[Datagram]:
    """The kept datagrams."""
    lines = (folder / "datagrams.jsonl").read_text().splitlines()
    return sorted((Datagram(**json.loads(line)) for line in lines), key=lambda each: each.at)


def explain(folder: Path, show: bool) -> None:
    """Print what is found for one seed."""
    datagrams = read(folder)
    for late in breaks(folder):
        before = [each for each in datagrams if each.dispatcher == late.dispatcher and each.at <= late.at]
        start = max(each.start for each in before)
        replay = Replay([each for each in before if each.start == start])
        print(f"{folder} {late.ident} n{late.dispatcher} {late.engine} late {late.late:.3f}", end=": ")
        print(replay.state(late.at, late.told_at))
        if show:
            print(f"  told at {late.told_at:.3f}, request at {late.at:.3f}")
            for each in before:
                if each.at >= late.told_at - GRACE:
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
