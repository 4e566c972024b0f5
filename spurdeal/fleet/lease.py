"""The lease on being current: who may act, by its own clock, and when others know that it cannot.

A dispatcher holds its lease while a stated part of its grantors has answered what it asked no longer than
`lease` ago. Its grantors are a few members, the same for all who know the same (`members.rendezvous`), so
that the cost stays level in large fleets; in small ones they are all the others. It counts from when it
asked, a grantor from when it answered, which is later: no clocks are compared, and a grantor knows by its
own clock a moment after which its answer counts no more (Gray and Cheriton, "Leases", 1989). Of k grantors
w must answer; one whom k - w + 1 refuse has stopped (quorums that meet: Gifford, "Weighted voting", 1979).
To come by a lease, at a start or after it was lost, k - w + 1 must answer: a grantor answers one start of a
name at a time, so that two processes under one name never both hold it (the rig's twins did, with 3 of 7
each).

A grantor that holds one for gone refuses it. Whoever wants to rely on the stop asks the grantors
(`Inquiry`); one that gives its word is barred from answering the subject for a lease, and its word counts
so long. So a conclusion holds as long as it is renewed, and its subject comes back only after it was given
up.

Grantors change with the fleet. A term has one set of them. A new term counts only once w of the old one
have heard of it: k - w + 1 of the old ones then include one that knows, and who asks them is led on to the
new. A start whose grantors are lost for good cannot go on: it comes back as a new start, which knows
nothing and waits as one.

Free of I/O. Times are ms of one monotonic clock that runs on while the process stands still.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import NamedTuple

MAX_CLOCK_DRIFT = 0.01  # two clocks' rates differ by less
GRANTORS = 7
NEVER = -math.inf


class Term(NamedTuple):
    """One set of grantors; the number only grows within a start."""

    number: int
    grantors: tuple[str, ...]

    def quorum(self, part: float) -> int:
        """How many must answer: a part of them, one at least where there are any."""
        return min(len(self.grantors), max(1, math.ceil(part * len(self.grantors) - 1e-9)))

    def quorum_to_acquire(self, part: float) -> int:
        """How many must answer one that has no lease: so many that nobody else can have enough."""
        return len(self.grantors) - self.quorum(part) + 1


NO_TERM = Term(0, ())


class Lease:
    """Our own lease. `asked` are the moments of our questions that were answered, by grantor."""

    def __init__(self, lease: float, part: float) -> None:
        self.lease, self.part = lease, part
        self.term, self.grants = NO_TERM, dict[str, float]()
        self.proposed: Term | None = None
        self.proposed_grants: dict[str, float] = {}
        self.proposal_acked_by: set[str] = set()  # grantors of the term in force who have heard of the next
        self.refused_by: set[str] = set()
        self.sole_member = True  # nobody else was ever known: nobody needs to answer
        self.held = False  # once begun, until it is lost

    def expires_at(self) -> float:
        """When it ends, if nobody answers from here on."""
        if not self.term.grantors:
            return math.inf if self.sole_member else NEVER
        times = sorted((self.grants.get(name, NEVER) for name in self.term.grantors), reverse=True)
        return times[self.term.quorum(self.part) - 1] + self.lease if self.held else NEVER

    def holds(self, now: float) -> bool:
        """Whether the lease is held at that moment."""
        self.held = self.held and now < self.expires_at()
        return now < self.expires_at()

    def live_grants(self, now: float, asked: dict[str, float]) -> int:
        """How many of these grants count yet, by the moments at which they were asked for."""
        return sum(at + self.lease > now for at in asked.values())

    def propose(self, grantors: Sequence[str]) -> None:
        """Whom the fleet as known now gives as grantors; also again, where some have refused this term."""
        wanted = tuple(sorted(grantors))
        if not wanted:
            return
        self.sole_member = False
        newest = self.proposed or self.term
        if wanted == newest.grantors and not self.refused_by:
            return
        self.proposed = Term(newest.number + 1, wanted)
        self.proposed_grants, self.proposal_acked_by, self.refused_by = {}, set(), set()

    def grantors_to_ask(self) -> list[str]:
        """All who are to be asked."""
        return sorted({*self.term.grantors, *(self.proposed.grantors if self.proposed is not None else ())})

    def answered(self, now: float, name: str, asked: float, heard_of: int, granted: bool) -> None:
        """A grantor's answer to what we asked at `asked`: the highest term of ours that it has heard of."""
        self.holds(now)  # what was lost meanwhile is to be begun anew
        newest = self.proposed or self.term
        if not granted:
            if heard_of == newest.number and name in newest.grantors:
                self.refused_by.add(name)
        elif name in self.term.grantors:
            self.grants[name] = max(asked, self.grants.get(name, NEVER))
            self.held |= self.live_grants(now, self.grants) >= self.term.quorum_to_acquire(self.part)
        if self.proposed is None or heard_of < self.proposed.number:
            return
        if name in self.term.grantors:
            self.proposal_acked_by.add(name)
        if granted and name in self.proposed.grantors:
            self.proposed_grants[name] = max(asked, self.proposed_grants.get(name, NEVER))
        told = self.term.quorum(self.part) if self.term.grantors else 0
        enough = self.proposed.quorum(self.part) if self.held else self.proposed.quorum_to_acquire(self.part)
        if len(self.proposal_acked_by) >= told and self.live_grants(now, self.proposed_grants) >= enough:
            self.term, self.grants, self.proposed, self.held = self.proposed, self.proposed_grants, None, True
            self.proposed_grants, self.proposal_acked_by = {}, set()


class Grant(NamedTuple):
    """What a grantor knows of one whom it watches."""

    boot: int
    term: Term  # in force, as it said
    proposed: Term | None  # proposed
    valid_until: float  # by our clock: our answers count no longer
    refused_term: int  # up to that term we answer no more
    barred_until: float  # until then we answer nothing, since others rely on its stop

    @property
    def newest(self) -> int:
        """The number of the newest term that was heard of."""
        return (self.proposed or self.term).number


class Reply(NamedTuple):
    """A grantor's reply to one who asks for its lease. heard_of: its highest term that we have heard of."""

    heard_of: int
    granted: bool


class StopReport(NamedTuple):
    """What a grantor knows of one start of a member.

    Attributes: its terms, whether it refuses those, and for how many ms yet its answers may count.
    """

    term: Term
    proposed: Term | None
    refused: bool
    remaining: float


class Grantor:
    """A grantor's side: whom we have answered, until when that may count. Bounded by the members."""

    def __init__(self, lease: float, now: float) -> None:
        self.lease = lease * (1 + MAX_CLOCK_DRIFT)
        self.grants: dict[str, Grant] = {}
        # What an earlier start of ours has answered, or has barred, is not known any more.
        self.silent_until = now + self.lease

    def on_request(self, now: float, name: str, boot: int, term: Term, proposed: Term | None) -> Reply:
        """One asks us to grant its lease."""
        if now < self.silent_until:
            return Reply(0, False)  # nor noted: an earlier start of ours may have given its word (the model)
        newest = (proposed or term).number
        known = self.grants.get(name)
        if known is not None and now < known.barred_until:
            return Reply(known.newest if known.boot == boot else 0, False)
        if known is not None and known.boot != boot and now < known.valid_until:
            # Another start under this name may still act: two processes, or a quick restart.
            return Reply(0, False)
        if known is None or known.boot != boot:
            known = Grant(boot, term, proposed, NEVER, -1, NEVER)
        elif newest > known.newest or (newest == known.newest and term.number > known.term.number):
            known = known._replace(term=term, proposed=proposed)
        granted = newest > known.refused_term and newest >= known.newest
        if granted:
            known = known._replace(valid_until=now + self.lease)
        self.grants[name] = known
        return Reply(known.newest, granted)

    def refuse(self, name: str, boot: int) -> None:
        """That start of it counts as gone here: on the terms that we know we answer it no more."""
        known = self.grants.get(name)
        if known is not None and known.boot == boot:
            self.grants[name] = known._replace(refused_term=max(known.refused_term, known.newest))

    def report_stop(self, now: float, name: str, boot: int) -> StopReport | None:
        """Our word to one who wants to rely on its stop; where we refuse it, we are barred from then on.

        Returns:
            None where we know nothing of that start.
        """
        known = self.grants.get(name)
        if known is None or known.boot != boot:
            return None
        refused = known.refused_term >= known.newest
        if refused:
            self.grants[name] = known._replace(barred_until=now + self.lease)
        return StopReport(known.term, known.proposed, refused, max(0.0, known.valid_until - now))


class Inquiry:
    """Has one start of one member stopped? Its grantors are asked, and it is concluded by our clock alone."""

    def __init__(self, name: str, boot: int, part: float, lease: float) -> None:
        self.name, self.boot, self.part, self.lease = name, boot, part, lease
        self.terms: dict[int, Term] = {}  # those that may be in force
        self.in_force = 0
        # By grantor: when its answers end, and until when its word counts.
        self.reports: dict[str, tuple[float, float]] = {}

    def note_terms(self, term: Term, proposed: Term | None = None) -> None:
        """That term was in force, and one is proposed: what came before counts no more."""
        self.terms[term.number] = term
        if proposed is not None:
            self.terms[proposed.number] = proposed
        self.in_force = max(term.number, self.in_force)
        self.terms = {number: each for number, each in self.terms.items() if number >= self.in_force}

    def grantors_to_ask(self) -> list[str]:
        """All who are to be asked."""
        return sorted({name for term in self.terms.values() for name in term.grantors})

    def add_report(self, now: float, asked: float, name: str, report: StopReport) -> None:
        """A grantor's word, to what we asked at `asked`."""
        self.note_terms(report.term, report.proposed)
        if report.refused:
            ends = now + report.remaining
            if name in self.reports:
                ends = min(ends, self.reports[name][0])
            self.reports[name] = (ends, asked + self.lease)
        else:
            self.reports.pop(name, None)

    def stopped(self, now: float) -> bool:
        """It holds no lease, whatever its own clock says."""
        ended = {name for name, (ends, until) in self.reports.items() if ends <= now < until}
        terms = [term for term in self.terms.values() if term.grantors]  # without grantors none is held
        return bool(terms) and all(
            len(ended.intersection(term.grantors)) > len(term.grantors) - term.quorum(self.part)
            for term in terms
        )
