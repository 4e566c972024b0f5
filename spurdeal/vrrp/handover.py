"""State replication between the dispatchers of one installation. No I/O, no clocks.

It runs all the time; it is named after the settings' `handover` section, and for what it makes possible: that
a peer takes over without running a non-idempotent request twice.

At each interval a dispatcher sends each peer: the number of its list, the starts of cold engines and the work
sent to them, the engines that it has ejected, the groups that it holds, the budget share that it lends, and
pages of its idempotency records. Between these datagrams it announces non-idempotent requests to its peers
before they are sent, and the peers reply; these are not the announcements of addresses
in `address`. Times are ms of one monotonic clock; a datagram carries remaining times only.
A body is JSON with the keys of `compose`; one with any invalid value is refused whole and changes nothing.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any, NamedTuple

from .budget_shares import BudgetShares
from .idempotency_table import Admission, IdempotencyTable
from .message import MAX_ANNOUNCED, MAX_ENGINES, PAGE_SIZE, Message, Page, PeerState, read_message
from .sealed import Keys, Session

CLEAR_REPEATS = 3  # consecutive datagrams that carry a withdrawal: one or two may be lost


class DispatcherState(NamedTuple):
    """State of one dispatcher, as sent to its peers. Starts are Unix ms, as in the list."""

    list_number: int
    held: Sequence[int]
    cold: Sequence[tuple[str, float, float]]  # engine, start, work sent to it within the cold window
    ejected: Sequence[tuple[str, float]]  # engine, remaining ms


class Verdict(NamedTuple):
    """Whether an announced request may be sent (True), must not (False), or may have run elsewhere (None)."""

    token: object
    go: bool | None


class PendingSend(NamedTuple):
    """A request that is announced and waits for the peers' replies; times in ms."""

    announcement: int  # its number: a reply to an earlier one of the same id does not count
    ident: bytes
    deadline: float
    until: float
    awaited_peers: frozenset[str]


@dataclass(frozen=True)
class Membership:
    """Identity of this dispatcher and its peers.

    Attributes:
        name: Its name.
        peers: Names of the other dispatchers.
        boot: Random number that distinguishes this start from earlier ones.
        keys: Keys that authenticate the datagrams.
    """

    name: str
    peers: tuple[str, ...]
    boot: int
    keys: Keys


@dataclass(frozen=True)
class HandoverSettings:
    """Settings of the handover. Times in ms.

    Attributes:
        ahead: Whether non-idempotent requests are announced before they are sent.
        ahead_wait: Time limit for the peers' replies to an announcement.
        alone_after: None sheds non-idempotent requests while a peer is silent; otherwise a peer that has been
            silent for longer than this need not reply.
        sync_timeout: So long after the start, requests are admitted even without all peers' records.
    """

    ahead: bool
    ahead_wait: float
    alone_after: float | None
    sync_timeout: float


class Handover:
    """Replication of state and idempotency records between this dispatcher and its peers.

    Args:
        membership: Identity of this dispatcher and its peers.
        settings: Settings of the handover.
        budget_shares: This dispatcher's shares of cold engines' budgets.
        records: Its idempotency records.
        now: Time of the start, in ms.
    """

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
        self.peer_states: dict[str, PeerState] = {}
        self.remaining_loans: dict[str, float] = {}
        self.waiting: dict[object, PendingSend] = {}
        self.announcement = 0
        self.pending_clears: dict[str, list[tuple[bytes, float, int]]] = {peer: [] for peer in peers}
        self.replies: dict[str, list[tuple[float, bool]]] = {peer: [] for peer in peers}
        # Snapshot of our records, in pages, for each peer that synchronizes.
        self.record_pages: dict[str, list[list[tuple[bytes, float]]]] = {}
        self.requested_pages: dict[str, int] = {}
        self.received_pages: dict[str, int] = {}
        self.synced: set[str] = set()

    # Requests.

    def is_synchronized(self, now: float) -> bool:
        """Return whether all peers' records are here, or the wait for them has timed out."""
        return len(self.synced) == len(self.sessions) or now >= self.started_at + self.settings.sync_timeout

    def check_admission(self, now: float, ident: bytes) -> Admission:
        """Decide whether a new non-idempotent request is admitted."""
        found = self.records.check(now, ident)
        if found is Admission.ALLOWED and (
            not self.is_synchronized(now) or (self.settings.ahead and self.peer_unreachable(now))
        ):
            return Admission.PEER_UNREACHABLE
        return found

    def peer_unreachable(self, now: float) -> bool:
        """Return whether a peer whose reply is required has been silent for over three reply limits."""
        return any(
            now - self.last_heard(peer) > 3 * self.settings.ahead_wait for peer in self.required_peers(now)
        )

    def last_heard(self, peer: str) -> float:
        """Return when a peer was last heard, in ms; our start if never."""
        return self.peer_states[peer].heard_at if peer in self.peer_states else self.started_at

    def required_peers(self, now: float) -> list[str]:
        """Return the peers that must reply to an announcement."""
        if self.settings.alone_after is None:
            return list(self.sessions)
        return [peer for peer in self.sessions if now - self.last_heard(peer) <= self.settings.alone_after]

    def prepare_send(self, now: float, ident: bytes, deadline: float, token: object) -> Verdict | None:
        """Record a request that is to be sent, and announce it.

        Returns:
            A verdict; None if `receive` or `tick` will return it later.
        """
        self.announcement += 1
        if not self.records.add(now, ident, deadline, self.announcement):
            return Verdict(token, None if ident in self.records.by_id else False)
        awaited_peers = frozenset(self.required_peers(now)) if self.settings.ahead else frozenset[str]()
        if not awaited_peers:
            self.records.mark_sent(ident)
            return Verdict(token, True)
        self.waiting[token] = PendingSend(
            self.announcement, ident, deadline, now + self.settings.ahead_wait, awaited_peers
        )
        return None

    def abandon(self, token: object) -> bool:
        """Give up a send; True if it still waited for replies, and so never left."""
        return self.waiting.pop(token, None) is not None

    def finish(self, ident: bytes, never_ran: bool) -> None:
        """Process the end of a request; its record is withdrawn only if no attempt of it has run."""
        if never_ran and (announcement := self.records.remove_own(ident)) is not None:
            for pending_clears in self.pending_clears.values():
                pending_clears.append((ident, announcement, CLEAR_REPEATS))
                del pending_clears[
                    : -MAX_ANNOUNCED * CLEAR_REPEATS
                ]  # older withdrawals are dropped: their records expire

    def tick(self, now: float) -> list[Verdict]:
        """Return verdicts for requests whose replies are overdue: they must not be sent."""
        late = [token for token, waiting in self.waiting.items() if now >= waiting.until]
        for token in late:
            del self.waiting[token]
        return [Verdict(token, False) for token in late]

    # Datagrams.

    def compose(self, now: float, peer: str, state: DispatcherState, lendable: bool) -> bytes:
        """Return the regular datagram for a peer. `lendable`: our budget share may be lent."""
        share, wait = self.budget_shares.lend(now, peer, lendable)
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
            "lend": [share, wait],
            "left": self.budget_shares.remaining_loan(now, peer),
            "clear": [[ident.decode(), announcement] for ident, announcement, _ in clears],
        }
        if peer not in self.synced:
            body["need"] = self.received_pages.get(peer, 0)
        if (pages := self.record_pages.get(peer)) is not None:
            requested = min(self.requested_pages.get(peer, 0), len(pages))
            page = pages[requested] if requested < len(pages) else []
            body["marks"] = [[ident.decode(), left] for ident, left in page]
            body["page"] = [requested, len(pages)]
        return self.sessions[peer].write(now, body | self.announcements_and_replies(now, peer))

    def compose_urgent(self, now: float, peer: str) -> bytes | None:
        """Return a datagram with announcements and replies only; None if there are none."""
        body = self.announcements_and_replies(now, peer)
        return self.sessions[peer].write(now, body) if body["tell"] or body["reply"] else None

    def announcements_and_replies(self, now: float, peer: str) -> dict[str, Any]:
        """Return the announcements and replies for the next datagram to a peer."""
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
        """Process a datagram of a peer received at `now` (ms).

        Returns:
            Verdicts on announced requests.

        Raises:
            RefusedError: The datagram is invalid; nothing has changed then except the session's state.
        """
        session = self.sessions[peer]
        restarts = session.restarts
        body, echoed_sent_at = session.read(now, datagram)
        message = read_message(now, body)
        # The body is valid as a whole: from here on it takes effect.
        if session.restarts != restarts:
            self.peer_restarted(peer)
        self.update_peer_state(now, peer, message.peer_state)
        if echoed_sent_at is not None:
            self.update_loans(now, peer, message, echoed_sent_at)
        for ident, announcement in message.clears:
            self.records.remove_from_peer(peer, ident, announcement)
        for request in message.announced:
            accepted = self.records.add_from_peer(
                now, peer, request.ident, request.left, request.announcement
            )
            self.replies[peer].append((request.announcement, accepted))
            del self.replies[peer][: -4 * MAX_ANNOUNCED]
        self.page_requested(now, peer, message.need)
        if message.page is not None:
            self.page_received(now, peer, message.page, message.records)
        return self.replies_received(peer, message.replies)

    def update_peer_state(self, now: float, peer: str, peer_state: PeerState | None) -> None:
        """Store the state of a peer; None only shows that it is alive."""
        if peer_state is not None:
            self.peer_states[peer] = peer_state
        elif peer in self.peer_states:
            self.peer_states[peer] = self.peer_states[peer]._replace(heard_at=now)

    def update_loans(self, now: float, peer: str, message: Message, echoed_sent_at: float) -> None:
        """Apply the peer's loan, which answers what we sent at `echoed_sent_at`, and what is left of ours."""
        if message.lend is not None:
            self.budget_shares.borrow(now, peer, message.lend.share, message.lend.wait, echoed_sent_at)
        if message.left is not None:
            self.remaining_loans[peer] = message.left
            self.budget_shares.remaining_reported(now, self.remaining_loans, len(self.sessions))

    def page_requested(self, now: float, peer: str, need: int | None) -> None:
        """Note the page of our records that the peer needs next; None if it has all."""
        if need is None:
            self.record_pages.pop(peer, None)
            return
        if peer not in self.record_pages:
            self.record_pages[peer] = list(self.records.pages(now, PAGE_SIZE))
        self.requested_pages[peer] = need

    def page_received(self, now: float, peer: str, page: Page, records: list[tuple[bytes, float]]) -> None:
        """Add a page of the peer's records if it is the one that is needed next."""
        if peer in self.synced or page.position != self.received_pages.get(peer, 0):
            return
        self.records.add_page(now, peer, records)
        self.received_pages[peer] = page.position + 1
        if page.position + 1 >= page.total:
            self.synced.add(peer)

    def peer_restarted(self, peer: str) -> None:
        """Reset what depends on the peer's start; the records that it announced before stay."""
        self.record_pages.pop(peer, None)
        self.remaining_loans.pop(peer, None)

    def replies_received(self, peer: str, replies: Iterable[tuple[float, bool]]) -> list[Verdict]:
        """Return the verdicts that follow from a peer's replies."""
        verdicts = []
        for announcement, accepted in replies:
            for token, waiting in list(self.waiting.items()):
                if waiting.announcement != announcement or peer not in waiting.awaited_peers:
                    continue
                awaited_peers = waiting.awaited_peers - {peer}
                if not accepted:
                    del self.waiting[token]
                    verdicts.append(Verdict(token, None))
                elif awaited_peers:
                    self.waiting[token] = waiting._replace(awaited_peers=awaited_peers)
                else:
                    del self.waiting[token]
                    self.records.mark_sent(waiting.ident)
                    verdicts.append(Verdict(token, True))
        return verdicts
