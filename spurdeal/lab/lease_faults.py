"""Faults planted in the lease and the inquiry: each must be found by the model."""

from __future__ import annotations

from ..fleet.lease import NEVER, Grantor, Inquiry, Lease, Reply, Term, Word
from .lease_model import FAR, Kinds


class CountsFromTheAnswer(Lease):
    def answered(self, now: float, name: str, asked: float, heard_of: int, granted: bool) -> None:
        super().answered(now, name, max(asked, now), heard_of, granted)


class TellsNobody(Lease):
    """A new term counts though the old grantors do not know of it."""

    def answered(self, now: float, name: str, asked: float, heard_of: int, granted: bool) -> None:
        if self.next is not None and heard_of >= self.next.number:
            self.next_told |= set(self.term.grantors)
        super().answered(now, name, asked, heard_of, granted)


class AnswersThoughBarred(Grantor):
    def ask(self, now: float, name: str, boot: int, term: Term, following: Term | None) -> Reply:
        if name in self.grants:
            self.grants[name] = self.grants[name]._replace(barred=NEVER)
        return super().ask(now, name, boot, term, following)


class ForgetsItsRest(Grantor):
    """A new start answers at once, whatever the one before has said."""

    def ask(self, now: float, name: str, boot: int, term: Term, following: Term | None) -> Reply:
        self.rests_until = NEVER
        return super().ask(now, name, boot, term, following)


class SaysNothingLeft(Grantor):
    """Its answers may still count, and it does not say so."""

    def word(self, now: float, name: str, boot: int) -> Word | None:
        found = super().word(now, name, boot)
        return None if found is None else found._replace(left=0.0)


class RefusesNothing(Grantor):
    """Says that it refuses, and goes on to answer."""

    def refuse(self, name: str, boot: int) -> None:
        super().refuse(name, boot)
        self.lying = True

    def ask(self, now: float, name: str, boot: int, term: Term, following: Term | None) -> Reply:
        if name in self.grants:
            known = self.grants[name]
            heard, _ = super().ask(now, name, boot, term, following)
            self.grants[name] = known._replace(until=now + self.lease)
            return Reply(heard, True)
        return super().ask(now, name, boot, term, following)


class OneWordIsEnough(Inquiry):
    def stopped(self, now: float) -> bool:
        return any(ends <= now < until for ends, until in self.words.values())


class ForgetsNoWord(Inquiry):
    """A word counts for ever."""

    def word(self, now: float, asked: float, name: str, word: Word) -> None:
        super().word(now, asked, name, word)
        self.words = {each: (ends, 10 * FAR) for each, (ends, _) in self.words.items()}


class KeepsToTheOldTerm(Inquiry):
    """It is not led on to newer grantors."""

    def begin(self, term: Term, following: Term | None = None) -> None:
        if not self.terms:
            super().begin(term)


class BelievesWhatIsProposed(Inquiry):
    """A term that was proposed counts as in force, as ours did until the walks found it."""

    def begin(self, term: Term, following: Term | None = None) -> None:
        super().begin(following or term)


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
