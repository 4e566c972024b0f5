"""What dispatchers of one installation tell each other, and what follows from it. Free of I/O and clocks.

Every few ms each tells each peer: the number of its list, which engines are cold since when and what it sent
there, which it has set aside, which groups it holds, what it lends of its tenure, and its marks. Between
these, a non-idempotent request is told ahead of its sending, and answered. Times are ms of one monotonic
clock; a datagram tells only what is left of them. A body is JSON with the keys of `compose`; one with
anything unusable in it is refused whole and changes nothing.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any, NamedTuple

from .marks import Admission, IdempotencyTable
from .message import MOST_ENGINES, MOST_TOLD, PAGE, Message, Page, PeerState, read_message
from .sealed import Keys, Session
from .tenure import BudgetShares

CLEAR_REPEATS = 3  # datagrams in a row in which a mark taken back is told: one or two may be lost


class DispatcherState(NamedTuple):
    """What one dispatcher sees of the fleet, for its peers. Starts are Unix ms, as the list tells them."""

    list_number: int
    held: Sequence[int]
    cold: Sequence[tuple[str, float, float]]  # engine, start, ms of work sent there in the cold window
    aside: Sequence[tuple[str, float]]  # engine, ms left


class Verdict(NamedTuple):
    """One told ahead may go (True), must not (False), or may have run at a peer (None)."""

    token: object
    go: bool | None


class PendingSend(NamedTuple):
    """One that was told ahead and waits for its peers' answers; times in ms."""

    announcement: int  # of this telling: an answer to an earlier one is none to this (found by the walks)
    ident: bytes
    deadline: float
    until: float
    missing: frozenset[str]


@dataclass(frozen=True)
class Membership:
    """Which start of which dispatcher this is, and its peers.

    Attributes:
        name: Its own.
        peers: The other dispatchers' names.
        boot: Tells this start from earlier ones.
        keys: Seal the datagrams.
    """

    name: str
    peers: tuple[str, ...]
    boot: int
    keys: Keys


@dataclass(frozen=True)
class HandoverSettings:
    """What is told ahead, and what holds without peers. Times in ms.

    Attributes:
        ahead: Whether non-idempotent requests are told before they are sent.
        ahead_wait: Within how long they must be answered.
        alone_after: None refuses them while a peer is not heard; a figure lets them go once it was not heard
            for so long.
        without: After so long without any peer, what peers know counts as known.
    """

    ahead: bool
    ahead_wait: float
    alone_after: float | None
    sync_timeout: float


class Handover:
    """One dispatcher's side towards its peers."""

    def __init__(
        self,
        membership: Membership,
        settings: HandoverSettings,
        budget_shares: BudgetShares,
        records: IdempotencyTable,
        now: float,
    ) -> None:
        own, peers, boot, keys = membership.name, membership.peers, membership.boot, membership.keys
        self.sessions = {peer: Session(own, peer, boot, keys) for peer in peers}
        self.settings, self.budget_shares, self.records, self.began = settings, budget_shares, records, now
        self.known: dict[str, PeerState] = {}
        self.left: dict[str, float] = {}
        self.waiting: dict[object, PendingSend] = {}
        self.announcement = 0
        self.clearing: dict[str, list[tuple[bytes, float, int]]] = {peer: [] for peer in peers}
        self.replies: dict[str, list[tuple[float, bool]]] = {peer: [] for peer in peers}
        self.pages_of: dict[str, list[list[tuple[bytes, float]]]] = {}  # what a new peer has yet to get
        self.pages_asked: dict[str, int] = {}
        self.pages_got: dict[str, int] = {}
        self.synced: set[str] = set()

    # What is asked of it.

    def complete(self, now: float) -> bool:
        """All that peers know is here, or the stated time without is over."""
        return len(self.synced) == len(self.sessions) or now >= self.began + self.settings.sync_timeout

    def check_admission(self, now: float, ident: bytes) -> Admission:
        """For one that must not run twice, on its way in."""
        found = self.records.check(now, ident)
        if found is Admission.ALLOWED and (
            not self.complete(now) or (self.settings.ahead and self.peer_unreachable(now))
        ):
            return Admission.PEER_UNREACHABLE
        return found

    def peer_unreachable(self, now: float) -> bool:
        """A peer that should be told ahead cannot be."""
        return any(
            now - self.last_heard(peer) > 3 * self.settings.ahead_wait for peer in self.required_peers(now)
        )

    def last_heard(self, peer: str) -> float:
        """When a peer was last heard, in ms; our start where it never was."""
        return self.known[peer].at if peer in self.known else self.began

    def required_peers(self, now: float) -> list[str]:
        """The peers that must answer what is told ahead."""
        if self.settings.alone_after is None:
            return list(self.sessions)
        return [peer for peer in self.sessions if now - self.last_heard(peer) <= self.settings.alone_after]

    def prepare_send(self, now: float, ident: bytes, deadline: float, token: object) -> Verdict | None:
        """It is about to be sent. A verdict at once, or None: one comes of `take` or `tick`."""
        self.announcement += 1
        if not self.records.add(now, ident, deadline, self.announcement):
            return Verdict(token, None if ident in self.records.known else False)
        missing = frozenset(self.required_peers(now)) if self.settings.ahead else frozenset[str]()
        if not missing:
            self.records.mark_sent(ident)
            return Verdict(token, True)
        self.waiting[token] = PendingSend(
            self.announcement, ident, deadline, now + self.settings.ahead_wait, missing
        )
        return None

    def abandon(self, token: object) -> bool:
        """It is not to be sent any more; True if it was still waiting, and so never went."""
        return self.waiting.pop(token, None) is not None

    def finish(self, ident: bytes, never_ran: bool) -> None:
        """It was answered. Only where each attempt is known not to have run is its mark taken back."""
        if never_ran and (announcement := self.records.remove_own(ident)) is not None:
            for clearing in self.clearing.values():
                clearing.append((ident, announcement, CLEAR_REPEATS))
                del clearing[: -MOST_TOLD * CLEAR_REPEATS]  # older ones end by time

    def tick(self, now: float) -> list[Verdict]:
        """Verdicts for those that have waited too long: they must not go."""
        late = [token for token, waiting in self.waiting.items() if now >= waiting.until]
        for token in late:
            del self.waiting[token]
        return [Verdict(token, False) for token in late]

    # Datagrams.

    def compose(self, now: float, peer: str, facts: DispatcherState, idle: bool) -> bytes:
        """All there is to tell this peer now."""
        part, wait = self.budget_shares.lend(now, peer, idle)
        clears, self.clearing[peer] = self.clearing[peer][:MOST_TOLD], self.clearing[peer][MOST_TOLD:]
        self.clearing[peer] += [
            (ident, announcement, times - 1) for ident, announcement, times in clears if times > 1
        ]
        body: dict[str, Any] = {
            "list": facts.list_number,
            "held": list(facts.held),
            "cold": [list(row) for row in facts.cold[:MOST_ENGINES]],
            "aside": [list(row) for row in facts.aside[:MOST_ENGINES]],
            "lend": [part, wait],
            "left": self.budget_shares.remaining_loan(now, peer),
            "clear": [[ident.decode(), announcement] for ident, announcement, _ in clears],
        }
        if peer not in self.synced:
            body["need"] = self.pages_got.get(peer, 0)
        if (pages := self.pages_of.get(peer)) is not None:
            asked = min(self.pages_asked.get(peer, 0), len(pages))
            page = pages[asked] if asked < len(pages) else []
            body["marks"] = [[ident.decode(), left] for ident, left in page]
            body["page"] = [asked, len(pages)]
        return self.sessions[peer].write(now, body | self.announcements_and_replies(now, peer))

    def compose_urgent(self, now: float, peer: str) -> bytes | None:
        """Only what waits for an answer, and answers: at once, between the regular ones."""
        told = self.announcements_and_replies(now, peer)
        return self.sessions[peer].write(now, told) if told["tell"] or told["reply"] else None

    def announcements_and_replies(self, now: float, peer: str) -> dict[str, Any]:
        """What is told ahead and answered in the next datagram to a peer."""
        waiting = [waiting for waiting in self.waiting.values() if peer in waiting.missing][:MOST_TOLD]
        replies, self.replies[peer] = self.replies[peer][:MOST_TOLD], self.replies[peer][MOST_TOLD:]
        return {
            "tell": [
                [each.ident.decode(), max(0.0, each.deadline + self.records.keep - now), each.announcement]
                for each in waiting
            ],
            "reply": [list(reply) for reply in replies],
        }

    def receive(self, now: float, peer: str, datagram: bytes) -> list[Verdict]:
        """A datagram of that peer. now: ms.

        Raises:
            RefusedError: It cannot be used; nothing has changed then but what Session counts as seen.
        """
        session = self.sessions[peer]
        boots = session.boots
        body, asked = session.read(now, datagram)
        message = read_message(now, body)
        # All is read: nothing above has changed anything.
        if session.boots != boots:
            self.restarted(peer)
        self.take_known(now, peer, message.known)
        if asked is not None:
            self.take_tenure(now, peer, message, asked)
        for ident, announcement in message.clears:
            self.records.remove_from_peer(peer, ident, announcement)
        for told in message.told:
            marked = self.records.add_from_peer(now, peer, told.ident, told.left, told.announcement)
            self.replies[peer].append((told.announcement, marked))
            del self.replies[peer][: -4 * MOST_TOLD]
        self.take_need(now, peer, message.need)
        if message.page is not None:
            self.take_page(now, peer, message.page, message.records)
        return self.replies_received(peer, message.replies)

    def take_known(self, now: float, peer: str, known: PeerState | None) -> None:
        """What the peer tells of itself; None where this datagram only shows that it is there."""
        if known is not None:
            self.known[peer] = known
        elif peer in self.known:
            self.known[peer] = self.known[peer]._replace(at=now)

    def take_tenure(self, now: float, peer: str, message: Message, asked: float) -> None:
        """What the peer lends, and what is left of what it lent, as it answers what we sent at `asked`."""
        if message.lend is not None:
            self.budget_shares.borrow(now, peer, message.lend.part, message.lend.wait, asked)
        if message.left is not None:
            self.left[peer] = message.left
            self.budget_shares.remaining_reported(now, self.left, len(self.sessions))

    def take_need(self, now: float, peer: str, need: int | None) -> None:
        """The page of our marks that the peer needs next; None where it has them all."""
        if need is None:
            self.pages_of.pop(peer, None)
            return
        if peer not in self.pages_of:
            self.pages_of[peer] = list(self.records.pages(now, PAGE))
        self.pages_asked[peer] = need

    def take_page(self, now: float, peer: str, page: Page, records: list[tuple[bytes, float]]) -> None:
        """A page of the peer's marks, where it is the one that we need."""
        if peer in self.synced or page.at != self.pages_got.get(peer, 0):
            return
        self.records.add_page(now, peer, records)
        self.pages_got[peer] = page.at + 1
        if page.at + 1 >= page.of:
            self.synced.add(peer)

    def restarted(self, peer: str) -> None:
        """A new start of the peer: it knows nothing, and what it had told us stands as marks."""
        self.pages_of.pop(peer, None)
        self.left.pop(peer, None)

    def replies_received(self, peer: str, replies: Iterable[tuple[float, bool]]) -> list[Verdict]:
        """Verdicts that follow from a peer's answers."""
        verdicts = []
        for announcement, ok in replies:
            for token, waiting in list(self.waiting.items()):
                if waiting.announcement != announcement or peer not in waiting.missing:
                    continue
                missing = waiting.missing - {peer}
                if not ok:
                    del self.waiting[token]
                    verdicts.append(Verdict(token, None))
                elif missing:
                    self.waiting[token] = waiting._replace(missing=missing)
                else:
                    del self.waiting[token]
                    self.records.mark_sent(waiting.ident)
                    verdicts.append(Verdict(token, True))
        return verdicts
