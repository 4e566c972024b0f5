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
from .message import MAX_ANNOUNCED, MAX_ENGINES, PAGE_SIZE, Message, Page, PeerState, read_message
from .sealed import Keys, Session
from .tenure import BudgetShares

CLEAR_REPEATS = 3  # datagrams in a row in which a mark taken back is told: one or two may be lost


class DispatcherState(NamedTuple):
    """What one dispatcher sees of the fleet, for its peers. Starts are Unix ms, as the list tells them."""

    list_number: int
    held: Sequence[int]
    cold: Sequence[tuple[str, float, float]]  # engine, start, ms of work sent there in the cold window
    ejected: Sequence[tuple[str, float]]  # engine, ms left


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
    awaited_peers: frozenset[str]


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
        self.settings, self.budget_shares, self.records, self.started_at = (
            settings,
            budget_shares,
            records,
            now,
        )
        self.known: dict[str, PeerState] = {}
        self.remaining_loans: dict[str, float] = {}
        self.waiting: dict[object, PendingSend] = {}
        self.announcement = 0
        self.pending_clears: dict[str, list[tuple[bytes, float, int]]] = {peer: [] for peer in peers}
        self.replies: dict[str, list[tuple[float, bool]]] = {peer: [] for peer in peers}
        self.record_pages: dict[str, list[list[tuple[bytes, float]]]] = {}  # what a new peer has yet to get
        self.requested_pages: dict[str, int] = {}
        self.received_pages: dict[str, int] = {}
        self.synced: set[str] = set()

    # What is asked of it.

    def complete(self, now: float) -> bool:
        """All that peers know is here, or the stated time without is over."""
        return len(self.synced) == len(self.sessions) or now >= self.started_at + self.settings.sync_timeout

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
        return self.known[peer].heard_at if peer in self.known else self.started_at

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
        awaited_peers = frozenset(self.required_peers(now)) if self.settings.ahead else frozenset[str]()
        if not awaited_peers:
            self.records.mark_sent(ident)
            return Verdict(token, True)
        self.waiting[token] = PendingSend(
            self.announcement, ident, deadline, now + self.settings.ahead_wait, awaited_peers
        )
        return None

    def abandon(self, token: object) -> bool:
        """It is not to be sent any more; True if it was still waiting, and so never went."""
        return self.waiting.pop(token, None) is not None

    def finish(self, ident: bytes, never_ran: bool) -> None:
        """It was answered. Only where each attempt is known not to have run is its mark taken back."""
        if never_ran and (announcement := self.records.remove_own(ident)) is not None:
            for pending_clears in self.pending_clears.values():
                pending_clears.append((ident, announcement, CLEAR_REPEATS))
                del pending_clears[: -MAX_ANNOUNCED * CLEAR_REPEATS]  # older ones end by time

    def tick(self, now: float) -> list[Verdict]:
        """Verdicts for those that have waited too long: they must not go."""
        late = [token for token, waiting in self.waiting.items() if now >= waiting.until]
        for token in late:
            del self.waiting[token]
        return [Verdict(token, False) for token in late]

    # Datagrams.

    def compose(self, now: float, peer: str, state: DispatcherState, idle: bool) -> bytes:
        """All there is to tell this peer now."""
        part, wait = self.budget_shares.lend(now, peer, idle)
        clears, self.pending_clears[peer] = (
            self.pending_clears[peer][:MAX_ANNOUNCED],
            self.pending_clears[peer][MAX_ANNOUNCED:],
        )
        self.pending_clears[peer] += [
            (ident, announcement, times - 1) for ident, announcement, times in clears if times > 1
        ]
        body: dict[str, Any] = {
            "list": state.list_number,
            "held": list(state.held),
            "cold": [list(row) for row in state.cold[:MAX_ENGINES]],
            "aside": [list(row) for row in state.ejected[:MAX_ENGINES]],
            "lend": [part, wait],
            "left": self.budget_shares.remaining_loan(now, peer),
            "clear": [[ident.decode(), announcement] for ident, announcement, _ in clears],
        }
        if peer not in self.synced:
            body["need"] = self.received_pages.get(peer, 0)
        if (pages := self.record_pages.get(peer)) is not None:
            asked = min(self.requested_pages.get(peer, 0), len(pages))
            page = pages[asked] if asked < len(pages) else []
            body["marks"] = [[ident.decode(), left] for ident, left in page]
            body["page"] = [asked, len(pages)]
        return self.sessions[peer].write(now, body | self.announcements_and_replies(now, peer))

    def compose_urgent(self, now: float, peer: str) -> bytes | None:
        """Only what waits for an answer, and answers: at once, between the regular ones."""
        body = self.announcements_and_replies(now, peer)
        return self.sessions[peer].write(now, body) if body["tell"] or body["reply"] else None

    def announcements_and_replies(self, now: float, peer: str) -> dict[str, Any]:
        """What is told ahead and answered in the next datagram to a peer."""
        waiting = [waiting for waiting in self.waiting.values() if peer in waiting.awaited_peers][
            :MAX_ANNOUNCED
        ]
        replies, self.replies[peer] = self.replies[peer][:MAX_ANNOUNCED], self.replies[peer][MAX_ANNOUNCED:]
        return {
            "tell": [
                [
                    each.ident.decode(),
                    max(0.0, each.deadline + self.records.retention - now),
                    each.announcement,
                ]
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
        restarts = session.restarts
        body, asked = session.read(now, datagram)
        message = read_message(now, body)
        # All is read: nothing above has changed anything.
        if session.restarts != restarts:
            self.peer_restarted(peer)
        self.update_peer_state(now, peer, message.known)
        if asked is not None:
            self.update_loans(now, peer, message, asked)
        for ident, announcement in message.clears:
            self.records.remove_from_peer(peer, ident, announcement)
        for request in message.announced:
            marked = self.records.add_from_peer(now, peer, request.ident, request.left, request.announcement)
            self.replies[peer].append((request.announcement, marked))
            del self.replies[peer][: -4 * MAX_ANNOUNCED]
        self.page_requested(now, peer, message.need)
        if message.page is not None:
            self.page_received(now, peer, message.page, message.records)
        return self.replies_received(peer, message.replies)

    def update_peer_state(self, now: float, peer: str, known: PeerState | None) -> None:
        """What the peer tells of itself; None where this datagram only shows that it is there."""
        if known is not None:
            self.known[peer] = known
        elif peer in self.known:
            self.known[peer] = self.known[peer]._replace(heard_at=now)

    def update_loans(self, now: float, peer: str, message: Message, asked: float) -> None:
        """What the peer lends, and what is left of what it lent, as it answers what we sent at `asked`."""
        if message.lend is not None:
            self.budget_shares.borrow(now, peer, message.lend.part, message.lend.wait, asked)
        if message.left is not None:
            self.remaining_loans[peer] = message.left
            self.budget_shares.remaining_reported(now, self.remaining_loans, len(self.sessions))

    def page_requested(self, now: float, peer: str, need: int | None) -> None:
        """The page of our marks that the peer needs next; None where it has them all."""
        if need is None:
            self.record_pages.pop(peer, None)
            return
        if peer not in self.record_pages:
            self.record_pages[peer] = list(self.records.pages(now, PAGE_SIZE))
        self.requested_pages[peer] = need

    def page_received(self, now: float, peer: str, page: Page, records: list[tuple[bytes, float]]) -> None:
        """A page of the peer's marks, where it is the one that we need."""
        if peer in self.synced or page.position != self.received_pages.get(peer, 0):
            return
        self.records.add_page(now, peer, records)
        self.received_pages[peer] = page.position + 1
        if page.position + 1 >= page.total:
            self.synced.add(peer)

    def peer_restarted(self, peer: str) -> None:
        """A new start of the peer: it knows nothing, and what it had told us stands as marks."""
        self.record_pages.pop(peer, None)
        self.remaining_loans.pop(peer, None)

    def replies_received(self, peer: str, replies: Iterable[tuple[float, bool]]) -> list[Verdict]:
        """Verdicts that follow from a peer's answers."""
        verdicts = []
        for announcement, ok in replies:
            for token, waiting in list(self.waiting.items()):
                if waiting.announcement != announcement or peer not in waiting.awaited_peers:
                    continue
                awaited_peers = waiting.awaited_peers - {peer}
                if not ok:
                    del self.waiting[token]
                    verdicts.append(Verdict(token, None))
                elif awaited_peers:
                    self.waiting[token] = waiting._replace(awaited_peers=awaited_peers)
                else:
                    del self.waiting[token]
                    self.records.mark_sent(waiting.ident)
                    verdicts.append(Verdict(token, True))
        return verdicts
