"""Network side of the handover: sends and receives its datagrams and delivers verdicts to waiting requests.

The decisions are made in `handover`.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any

from twisted.internet.protocol import DatagramProtocol

from .handover import DispatcherState, Handover, Verdict
from .sealed import RefusedError
from .setup import Runtime

if TYPE_CHECKING:
    from ..settings.installation import Installation

MAX_GREETINGS = 20  # per window: each unproven datagram is answered, and a flood must not be amplified
GREETING_WINDOW = 1000.0  # ms
REPEATS = 4  # sends of an announcement within `ahead_wait`: a datagram or its reply may be lost


class HandoverProtocol(DatagramProtocol):
    """Receives the peers' handover datagrams."""

    transport: Any

    def __init__(self, exchange: Exchange) -> None:
        self.exchange = exchange

    def datagramReceived(self, datagram: bytes, address: tuple[Any, ...]) -> None:
        """See DatagramProtocol."""
        self.exchange.on_datagram(datagram, (str(address[0]), int(address[1])))


class Exchange:
    """Sends and receives handover datagrams; does nothing if no handover is configured."""

    def __init__(
        self,
        installation: Installation,
        handover: Handover | None,
        runtime: Runtime,
    ) -> None:
        self.handover, self.reactor, self.counters = handover, runtime.reactor, runtime.counters
        self.monotonic = runtime.monotonic
        self.peer_addresses = {
            peer.name: (str(peer.handover[0]), peer.handover[1]) for peer in installation.peers
        }
        self.peer_by_address = {address: name for name, address in self.peer_addresses.items()}
        self.protocol = HandoverProtocol(self)
        self.pending_callbacks: dict[
            object, Callable[[bool | None], None]
        ] = {}  # sends that wait for a verdict, by token
        self.flush_scheduled = False
        self.greetings_sent, self.greeting_window_start = 0, self.monotonic()

    def send_state(self, state: DispatcherState, lendable: bool) -> None:
        """Send the regular state datagram to each peer; with `lendable`, our budget share may be lent."""
        if self.handover is None:
            return
        now = self.monotonic()
        for peer in self.peer_addresses:
            self.send(peer, self.handover.compose(now, peer, state, lendable))
        self.deliver_verdicts(self.handover.tick(now))

    def flush(self) -> None:
        """Send announcements and replies that are due, those of one event-loop turn in one datagram.

        Repeated while any announcement waits for replies.
        """
        self.flush_scheduled = False
        if self.handover is None:
            return
        now = self.monotonic()
        for peer in self.peer_addresses:
            datagram = self.handover.compose_urgent(now, peer)
            if datagram is not None:
                self.send(peer, datagram)
        self.deliver_verdicts(self.handover.tick(now))
        if self.handover.waiting:
            self.flush_soon(self.handover.settings.ahead_wait / REPEATS)

    def flush_soon(self, delay: float = 0.0) -> None:
        """Schedule a flush after `delay` ms unless one is scheduled."""
        if not self.flush_scheduled:
            self.flush_scheduled = True
            self.reactor.callLater(delay / 1000, self.flush)

    def send(self, peer: str, datagram: bytes) -> None:
        """Send a datagram to a peer; send errors are counted."""
        try:
            self.protocol.transport.write(datagram, self.peer_addresses[peer])
            self.counters.add("handover_sent")
        except OSError:
            self.counters.add("handover_not_sent")

    def on_datagram(self, datagram: bytes, address: tuple[str, int]) -> None:
        """Process a datagram; one that is refused is counted by its reason."""
        peer = self.peer_by_address.get(address)
        if peer is None or self.handover is None:
            self.counters.add("handover_drop_sender")
            return
        now = self.monotonic()
        try:
            verdicts = self.handover.receive(now, peer, datagram)
        except RefusedError as fault:
            self.counters.add("handover_drop_" + fault.reason)
            if fault.reason == "unproven":
                self.greet(self.handover, now, peer, datagram)
            return
        self.counters.add("handover_taken")
        self.deliver_verdicts(verdicts)
        if self.handover.replies[peer]:
            self.flush_soon()

    def greet(self, handover: Handover, now: float, peer: str, datagram: bytes) -> None:
        """Answer an unproven datagram with our start, at most MAX_GREETINGS per window."""
        if now - self.greeting_window_start >= GREETING_WINDOW:
            self.greetings_sent, self.greeting_window_start = 0, now
        if self.greetings_sent < MAX_GREETINGS:
            self.greetings_sent += 1
            self.send(peer, handover.sessions[peer].greet(now, datagram))

    def deliver_verdicts(self, verdicts: Sequence[Verdict]) -> None:
        """Call back the sends that waited for these verdicts, and count the outcomes."""
        for token, go in verdicts:
            call = self.pending_callbacks.pop(token, None)
            if call is not None:
                ending = "sent" if go else "not_sent" if go is False else "ran_elsewhere"
                self.counters.add("ahead_" + ending)
                call(go)
