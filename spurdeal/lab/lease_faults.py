"""Planted faults of the lease, the grantor and the inquiry: random schedules of the model must find each."""

from __future__ import annotations

from ..fleet.lease import NEVER, Grantor, Inquiry, Lease, Reply, StopReport, Term
from .lease_model import MAX_AGE, Kinds


class CountsFromTheAnswer(Lease):
    """The lease counts from the arrival of the answer instead of from the request."""

    def on_reply(self, now: float, name: str, asked: float, highest_known_term: int, granted: bool) -> None:
        """See the base class."""
        super().on_reply(now, name, max(asked, now), highest_known_term, granted)


class TellsNobody(Lease):
    """A new term counts although the grantors of the old one do not know of it."""

    def on_reply(self, now: float, name: str, asked: float, highest_known_term: int, granted: bool) -> None:
        """See the base class."""
        if self.proposed is not None and highest_known_term >= self.proposed.number:
            self.proposal_acked_by |= set(self.term.grantors)
        super().on_reply(now, name, asked, highest_known_term, granted)


class AnswersThoughBarred(Grantor):
    """A grantor ignores its bar and goes on granting to the subject."""

    def on_request(self, now: float, name: str, boot: int, term: Term, proposed: Term | None) -> Reply:
        """See the base class."""
        if name in self.grants:
            self.grants[name] = self.grants[name]._replace(barred_until=NEVER)
        return super().on_request(now, name, boot, term, proposed)


class ForgetsItsRest(Grantor):
    """A restarted grantor grants at once, although grants of its earlier start may still be valid."""

    def on_request(self, now: float, name: str, boot: int, term: Term, proposed: Term | None) -> Reply:
        """See the base class."""
        self.refuses_until = NEVER
        return super().on_request(now, name, boot, term, proposed)


class SaysNothingLeft(Grantor):
    """A grantor reports that no grant remains although its grants may still be valid."""

    def report_stop(self, now: float, name: str, boot: int) -> StopReport | None:
        """See the base class."""
        found = super().report_stop(now, name, boot)
        return None if found is None else found._replace(remaining=0.0)


class RefusesNothing(Grantor):
    """A grantor reports that it refuses the subject, and goes on granting."""

    def refuse(self, name: str, boot: int) -> None:
        """See the base class."""
        super().refuse(name, boot)
        self.lying = True

    def on_request(self, now: float, name: str, boot: int, term: Term, proposed: Term | None) -> Reply:
        """See the base class."""
        if name in self.grants:
            known = self.grants[name]
            heard, _ = super().on_request(now, name, boot, term, proposed)
            self.grants[name] = known._replace(valid_until=now + self.grant_duration)
            return Reply(heard, True)
        return super().on_request(now, name, boot, term, proposed)


class OneWordIsEnough(Inquiry):
    """The report of a single grantor is enough."""

    def stopped(self, now: float) -> bool:
        """See the base class."""
        return any(ends <= now < until for ends, until in self.reports.values())


class ForgetsNoWord(Inquiry):
    """A report never expires."""

    def add_report(self, now: float, asked: float, name: str, report: StopReport) -> None:
        """See the base class."""
        super().add_report(now, asked, name, report)
        self.reports = {each: (ends, 10 * MAX_AGE) for each, (ends, _) in self.reports.items()}


class KeepsToTheOldTerm(Inquiry):
    """The inquiry does not follow the subject to the grantors of newer terms."""

    def note_terms(self, term: Term, proposed: Term | None = None) -> None:
        """See the base class."""
        if not self.terms:
            super().note_terms(term)


class BelievesWhatIsProposed(Inquiry):
    """A proposed term counts as in force: a former fault of Inquiry, which the random schedules found."""

    def note_terms(self, term: Term, proposed: Term | None = None) -> None:
        """See the base class."""
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
