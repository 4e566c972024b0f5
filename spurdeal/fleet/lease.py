"""The lease on being current: who may act, and from when others may rely on it having stopped.

A dispatcher holds its lease while a quorum of its grantors has granted requests that it sent no longer than
`lease` ago. Its grantors are a few members chosen by rendezvous hashing (`members.rendezvous`), so that the
cost per member stays constant in large fleets; in small fleets they are all other members. The holder counts
from when it sent the request, a grantor from when it answered, which is later. So no clocks are compared,
and a grantor knows by its own clock when its answer has expired (Gray and Cheriton, "Leases", 1989). Of the
k = len(grantors) grantors w = `Term.quorum` must grant; a member that k - w + 1 grantors refuse cannot hold a
lease (intersecting quorums: Gifford, "Weighted voting", 1979). To acquire a lease, at a start or after it was
lost, k - w + 1 must grant (`Term.quorum_to_acquire`).
A grantor answers only one start of a name at a time, so two processes with one name never both hold the
lease (with a quorum of 3 of 7 for both, duplicate processes on the test rig did).

A grantor that considers a member gone refuses it. Whoever wants to rely on the stop asks the grantors
(`Inquiry`). A grantor that reports a refusal is barred from granting to the subject for one lease, and its
report is valid for that time. So a conclusion holds as long as it is renewed, and its subject can acquire a
lease again only after the conclusion was dropped.

Grantors change with the fleet. A term has one set of them. A new term takes effect only once w grantors of
the old term have heard of it: any k - w + 1 of the old ones then include one that knows, and an inquirer is
led on to the new ones. A start whose grantors are lost for good cannot change its term: it begins again as a
new start, without knowledge, and waits like one.

Free of I/O. Times are ms of one monotonic clock that keeps running while the process is suspended.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import NamedTuple

MAX_CLOCK_DRIFT = 0.01  # upper bound on the relative rate difference of two clocks
MAX_GRANTORS = 7  # of one member
NEVER = -math.inf


class Term(NamedTuple):
    """One set of grantors, not an election term as in Raft. The number only grows within a start."""

    number: int
    grantors: tuple[str, ...]

    def quorum(self, part: float) -> int:
        """How many must grant to keep the lease: a share of them, at least one if there are any."""
        return min(len(self.grantors), max(1, math.ceil(part * len(self.grantors) - 1e-9)))

    def quorum_to_acquire(self, part: float) -> int:
        """How many must grant to acquire the lease: with so many, no other start can have a quorum."""
        return len(self.grantors) - self.quorum(part) + 1


NO_TERM = Term(0, ())


class Lease:
    """Our own lease. `grants` holds, by grantor, the send time of the newest request that it granted."""

    def __init__(self, lease: float, part: float) -> None:
        self.duration, self.required_share = lease, part
        self.term, self.grants = NO_TERM, dict[str, float]()
        self.proposed: Term | None = None
        self.proposed_grants: dict[str, float] = {}
        self.proposal_acked_by: set[str] = set()  # grantors of the term in force that know the proposed one
        self.refused_by: set[str] = set()
        self.sole_member = True  # no other member was ever known: no grant is needed
        self.acquired = False  # acquired and not lost since

    def expires_at(self) -> float:
        """When it expires if no further grant arrives."""
        if not self.term.grantors:
            return math.inf if self.sole_member else NEVER
        times = sorted((self.grants.get(name, NEVER) for name in self.term.grantors), reverse=True)
        return times[self.term.quorum(self.required_share) - 1] + self.duration if self.acquired else NEVER

    def holds(self, now: float) -> bool:
        """Whether the lease is held at `now`; one that is found expired must be acquired again."""
        self.acquired = self.acquired and now < self.expires_at()
        return now < self.expires_at()

    def live_grants(self, now: float, request_times: dict[str, float]) -> int:
        """How many of these grants, given by their request times, are still valid."""
        return sum(at + self.duration > now for at in request_times.values())

    def propose(self, grantors: Sequence[str]) -> None:
        """Propose a term with these grantors, if they differ or if some have refused the newest term."""
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
        """Grantors of the term in force and of the proposed one."""
        return sorted({*self.term.grantors, *(self.proposed.grantors if self.proposed is not None else ())})

    def on_reply(self, now: float, name: str, sent_at: float, highest_known_term: int, granted: bool) -> None:
        """Record a grantor's answer to our request sent at `sent_at`.

        Args:
            now: Monotonic clock, in ms.
            name: The grantor.
            sent_at: When we sent the request.
            highest_known_term: Our highest term that the grantor knows.
            granted: Whether it granted.
        """
        self.holds(now)  # a lease that expired meanwhile must be acquired again
        newest = self.proposed or self.term
        if not granted:
            if highest_known_term == newest.number and name in newest.grantors:
                self.refused_by.add(name)
        elif name in self.term.grantors:
            self.grants[name] = max(sent_at, self.grants.get(name, NEVER))
            self.acquired |= self.live_grants(now, self.grants) >= self.term.quorum_to_acquire(
                self.required_share
            )
        if self.proposed is None or highest_known_term < self.proposed.number:
            return
        if name in self.term.grantors:
            self.proposal_acked_by.add(name)
        if granted and name in self.proposed.grantors:
            self.proposed_grants[name] = max(sent_at, self.proposed_grants.get(name, NEVER))
        acks = self.term.quorum(self.required_share) if self.term.grantors else 0
        quorum = (
            self.proposed.quorum(self.required_share)
            if self.acquired
            else self.proposed.quorum_to_acquire(self.required_share)
        )
        if len(self.proposal_acked_by) >= acks and self.live_grants(now, self.proposed_grants) >= quorum:
            self.term, self.grants, self.proposed, self.acquired = (
                self.proposed,
                self.proposed_grants,
                None,
                True,
            )
            self.proposed_grants, self.proposal_acked_by = {}, set()


class Grant(NamedTuple):
    """What a grantor knows of one requester."""

    boot: int
    term: Term  # in force, as the requester stated
    proposed: Term | None  # the next one, if any
    valid_until: float  # by our clock: our grants have expired after that
    refused_term: int  # we grant no more up to this term
    barred_until: float  # we grant nothing before that, as others rely on its stop

    @property
    def newest(self) -> int:
        """The number of the newest known term."""
        return (self.proposed or self.term).number


class Reply(NamedTuple):
    """A grantor's reply to a lease request. highest_known_term: the requester's highest term that we know."""

    highest_known_term: int
    granted: bool


class StopReport(NamedTuple):
    """A grantor's report on one start of a member.

    Attributes:
        term: The member's term in force.
        proposed: The term that it proposes, if any.
        refused: Whether the grantor refuses both.
        remaining: For how many ms its earlier grants may still be valid.
    """

    term: Term
    proposed: Term | None
    refused: bool
    remaining: float


class Grantor:
    """The grantor's side: whom we granted a lease, and until when. Bounded by the number of members."""

    def __init__(self, lease: float, now: float) -> None:
        self.grant_duration = lease * (1 + MAX_CLOCK_DRIFT)
        self.grants: dict[str, Grant] = {}
        # Grants and bars of an earlier start of ours are unknown: refuse until they have expired.
        self.refuses_until = now + self.grant_duration

    def on_request(self, now: float, name: str, boot: int, term: Term, proposed: Term | None) -> Reply:
        """Handle a member's request for its lease."""
        if now < self.refuses_until:
            # The term is not recorded, and 0 acknowledges none: an earlier start of ours may have reported a
            # refusal without that term to an inquirer, which would not learn of it while the report is valid.
            return Reply(0, False)
        newest = (proposed or term).number
        known = self.grants.get(name)
        if known is not None and now < known.barred_until:
            return Reply(known.newest if known.boot == boot else 0, False)
        if known is not None and known.boot != boot and now < known.valid_until:
            # Another start of this name may still hold a lease: two processes, or a quick restart.
            return Reply(0, False)
        if known is None or known.boot != boot:
            known = Grant(boot, term, proposed, NEVER, -1, NEVER)
        elif newest > known.newest or (newest == known.newest and term.number > known.term.number):
            known = known._replace(term=term, proposed=proposed)
        granted = newest > known.refused_term and newest >= known.newest
        if granted:
            known = known._replace(valid_until=now + self.grant_duration)
        self.grants[name] = known
        return Reply(known.newest, granted)

    def refuse(self, name: str, boot: int) -> None:
        """Grant no more on the known terms of that start, which we consider gone."""
        known = self.grants.get(name)
        if known is not None and known.boot == boot:
            self.grants[name] = known._replace(refused_term=max(known.refused_term, known.newest))

    def report_stop(self, now: float, name: str, boot: int) -> StopReport | None:
        """Report on a start to an inquirer. If we refuse it, we are barred from granting from now on.

        Returns:
            None if we know nothing of that start.
        """
        known = self.grants.get(name)
        if known is None or known.boot != boot:
            return None
        refused = known.refused_term >= known.newest
        if refused:
            self.grants[name] = known._replace(barred_until=now + self.grant_duration)
        return StopReport(known.term, known.proposed, refused, max(0.0, known.valid_until - now))


class Inquiry:
    """Finds out from the grantors of one start of a member whether it has stopped, by our clock alone."""

    def __init__(self, name: str, boot: int, part: float, lease: float) -> None:
        self.name, self.boot, self.required_share, self.report_validity = name, boot, part, lease
        self.terms: dict[int, Term] = {}  # those that may be in force, by number
        self.in_force = 0
        # By grantor: when its grants expire, and until when its report is valid.
        self.reports: dict[str, tuple[float, float]] = {}

    def note_terms(self, term: Term, proposed: Term | None = None) -> None:
        """Note a term that was in force and one that is proposed. Older terms are dropped."""
        self.terms[term.number] = term
        if proposed is not None:
            self.terms[proposed.number] = proposed
        self.in_force = max(term.number, self.in_force)
        self.terms = {number: each for number, each in self.terms.items() if number >= self.in_force}

    def grantors_to_ask(self) -> list[str]:
        """Grantors of all terms that may be in force."""
        return sorted({name for term in self.terms.values() for name in term.grantors})

    def add_report(self, now: float, sent_at: float, name: str, report: StopReport) -> None:
        """Add a grantor's report, in answer to our request sent at `sent_at`."""
        self.note_terms(report.term, report.proposed)
        if report.refused:
            ends = now + report.remaining
            if name in self.reports:
                ends = min(ends, self.reports[name][0])
            self.reports[name] = (ends, sent_at + self.report_validity)
        else:
            self.reports.pop(name, None)

    def stopped(self, now: float) -> bool:
        """Whether the subject certainly holds no lease, whatever its own clock says."""
        ended = {name for name, (ends, until) in self.reports.items() if ends <= now < until}
        terms = [term for term in self.terms.values() if term.grantors]  # without grantors no lease is held
        return bool(terms) and all(
            len(ended.intersection(term.grantors)) > len(term.grantors) - term.quorum(self.required_share)
            for term in terms
        )
