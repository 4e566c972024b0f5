"""Faults planted in the lease and the inquiry: each must be found by the model."""

from __future__ import annotations

from ..fleet.lease import NEVER, Grantor, Inquiry, Lease, Reply, StopReport, Term
from .lease_model import FAR, Kinds


class CountsFromTheAnswer(Lease):
    def on_reply(self, now: float, name: str, asked: float, highest_known_term: int, granted: bool) -> None:
        super().on_reply(now, name, max(asked, now), highest_known_term, granted)


class TellsNobody(Lease):
    """A new term counts though the old grantors do not know of it."""

    def on_reply(self, now: float, name: str, asked: float, highest_known_term: int, granted: bool) -> None:
        if self.proposed is not None and highest_known_term >= self.proposed.number:
            self.proposal_acked_by |= set(self.term.grantors)
        super().on_reply(now, name, asked, highest_known_term, granted)


class AnswersThoughBarred(Grantor):
    def on_request(self, now: float, name: str, boot: int, term: Term, proposed: Term | None) -> Reply:
        if name in self.grants:
            self.grants[name] = self.grants[name]._replace(barred_until=NEVER)
        return super().on_request(now, name, boot, term, proposed)


class ForgetsItsRest(Grantor):
    """A new start answers at once, whatever the one before has said."""

    def on_request(self, now: float, name: str, boot: int, term: Term, proposed: Term | None) -> Reply:
        self.refuses_until = NEVER
        return super().on_request(now, name, boot, term, proposed)


class SaysNothingLeft(Grantor):
    """Its answers may still count, and it does not say so."""

    def report_stop(self, now: float, name: str, boot: int) -> StopReport | None:
        found = super().report_stop(now, name, boot)
        return None if found is None else found._replace(remaining=0.0)


class RefusesNothing(Grantor):
    """Says that it refuses, and goes on to answer."""

    def refuse(self, name: str, boot: int) -> None:
        super().refuse(name, boot)
        self.lying = True

    def on_request(self, now: float, name: str, boot: int, term: Term, proposed: Term | None) -> Reply:
        if name in self.grants:
            known = self.grants[name]
            heard, _ = super().on_request(now, name, boot, term, proposed)
            self.grants[name] = known._replace(valid_until=now + self.grant_duration)
            return Reply(heard, True)
        return super().on_request(now, name, boot, term, proposed)


class OneWordIsEnough(Inquiry):
    def stopped(self, now: float) -> bool:
        return any(ends <= now < until for ends, until in self.reports.values())


class ForgetsNoWord(Inquiry):
    """A word counts for ever."""

    def add_report(self, now: float, asked: float, name: str, report: StopReport) -> None:
        super().add_report(now, asked, name, report)
        self.reports = {each: (ends, 10 * FAR) for each, (ends, _) in self.reports.items()}


class KeepsToTheOldTerm(Inquiry):
    """It is not led on to newer grantors."""

    def note_terms(self, term: Term, proposed: Term | None = None) -> None:
        if not self.terms:
            super().note_terms(term)


class BelievesWhatIsProposed(Inquiry):
    """A term that was proposed counts as in force, as ours did until the walks found it."""

    def note_terms(self, term: Term, proposed: Term | None = None) -> None:
        super().note_terms(proposed or term)


IN_THE_LEASE = (
    Kinds(lease=CountsFromTheAnswer),
    Kinds(lease=TellsNobody),
    Kinds(grantor=AnswersThoughBarred),
    Kinds(grantor=ForgetsItsRest),
    Kinds(grantor=SaysNothingLeft),
    Kinds(grantor=RefusesNothing),
    Kinds(inquiry=OneWordIsEnough),
    Kinds(inquiry=ForgetsNoWord),
    Kinds(inquiry=KeepsToTheOldTerm),
    Kinds(inquiry=BelievesWhatIsProposed),
)
