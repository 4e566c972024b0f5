"""Outgoing datagrams of one fleet member: authenticated sessions and open requests.

A greeting is an empty datagram that answers a peer whose start is not known here; see `Session.greet`.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from enum import StrEnum
from typing import TYPE_CHECKING, Any, NamedTuple

from ..vrrp.sealed import Session
from . import wire
from .members import Address

if TYPE_CHECKING:
    from .fleet import Fleet

MAX_OPEN_REQUESTS = 512
MAX_GREETINGS = 2000  # per window: an unproven datagram gets one answer, and a flood must not be amplified
GREETING_WINDOW = 1000.0  # ms
MAX_REPEATED = 4  # requests that are repeated once the peer knows our start
GOSSIP_RESERVE = 8  # bytes of JSON around the gossip
RECORD_SIZE = 100  # approximate bytes of a record in JSON


class RequestKind(StrEnum):
    """What a request asks for. The values stay inside the process; the wire has the kinds of `wire`."""

    PING = "ping"
    RENEW = "renew"  # a ping that also asks for the lease
    THROUGH = "through"  # an indirect probe: a helper pings a member that does not answer us
    RELAY = "relay"  # our ping on behalf of another member
    PULL = "pull"  # a page of the member table
    WORD = "word"  # a grantor's report on a member that is gone
    FETCH = "fetch"  # a piece of a list


class Relay(NamedTuple):
    """Where the answer to a relayed ping goes: the requester's name, address and request number."""

    name: str
    address: Address
    sequence: int


class Request(NamedTuple):
    """A request that has not been answered yet. sent: in ms."""

    to: str
    sent: float
    kind: RequestKind
    relay: Relay | None = None


class Messenger:
    """Authenticates and queues a member's datagrams, and matches answers to its requests.

    One lives as long as one start of the member. `unix` is Unix time in ms throughout.
    """

    def __init__(self, fleet: Fleet, now: float) -> None:
        self.fleet = fleet
        self.sessions: dict[str, Session] = {}
        self.open: OrderedDict[int, Request] = OrderedDict()
        self.sequence = 0
        self.greeted, self.greeted_since = 0, now

    def session(self, name: str) -> Session:
        """The authenticated session with a member, created if there is none."""
        if name not in self.sessions:
            self.sessions[name] = self.new_session(name)
        return self.sessions[name]

    def new_session(self, name: str) -> Session:
        """A session that is not stored: state is kept only for names used with a valid key."""
        return Session(self.fleet.name, name, self.fleet.boot, self.fleet.keys)

    def send(
        self,
        now: float,
        unix: float,
        name: str,
        fields: Mapping[str, Any],
        address: Address | None = None,
    ) -> None:
        """Queue a message with as much gossip as fits. Dropped if no address is known."""
        address = address or self.address_of(name)
        if address is not None:
            body = self.fleet.body(unix, fields)
            self.add_gossip(body, name)
            self.queue(now, name, body, address)

    def send_without_gossip(
        self,
        now: float,
        unix: float,
        name: str,
        fields: Mapping[str, Any],
        address: Address | None = None,
    ) -> None:
        """Queue a message without gossip. Dropped if no address is known."""
        address = address or self.address_of(name)
        if address is not None:
            self.queue(now, name, self.fleet.body(unix, fields), address)

    def queue(self, now: float, name: str, body: dict[str, Any], address: Address) -> None:
        """Encode and authenticate a message's body, and queue the datagram."""
        fleet = self.fleet
        datagram = self.session(name).write(now, body)
        fleet.out.append((address, datagram))
        fleet.counts["sent"] += 1
        fleet.counts["sent_bytes"] += len(datagram)

    def address_of(self, name: str) -> Address | None:
        """The address of a member, or else of a seed."""
        record = self.fleet.members.others.get(name)
        return record.address if record is not None else self.fleet.seeds.get(name)

    def add_gossip(self, body: dict[str, Any], name: str) -> None:
        """Add the checksum of our table, and fill the rest of the datagram with gossip."""
        members = self.fleet.members
        body["e"] = members.checksum()
        left, rows = wire.room(self.fleet.name, body) - GOSSIP_RESERVE, list[list[Any]]()
        boot = self.sessions[name].peer_boot if name in self.sessions else 0
        for record in members.select_gossip(min(wire.MAX_RECORDS, max(1, left // RECORD_SIZE)), name, boot):
            row = wire.record_row(record)
            left -= len(str(row)) + 1
            if left < 0:
                break
            rows.append(row)
        body["n"] = rows

    def request(
        self,
        now: float,
        unix: float,
        name: str,
        kind: RequestKind,
        fields: Mapping[str, Any],
    ) -> None:
        """Send a request without gossip, and await its answer."""
        sequence = self.register_request_bounded(Request(name, now, kind))
        self.send_without_gossip(now, unix, name, {"q": sequence} | dict(fields))

    def register_request_bounded(self, request: Request) -> int:
        """Register a request and return its number; the oldest are dropped if too many are open."""
        sequence = self.register_request(request)
        while len(self.open) > MAX_OPEN_REQUESTS:
            self.open.popitem(last=False)
        return sequence

    def register_request(self, request: Request) -> int:
        """Register a request and return its number, without dropping any; relayed pings use it."""
        self.sequence += 1
        self.open[self.sequence] = request
        return self.sequence

    def ping(
        self,
        now: float,
        unix: float,
        name: str,
        kind: RequestKind = RequestKind.PING,
        relay: Relay | None = None,
    ) -> None:
        """Probe a member; with RENEW, ask it to grant our lease too."""
        fields: dict[str, Any] = {"k": "p"}
        if kind is RequestKind.RENEW:
            lease = self.fleet.lease
            proposed = wire.term_row(lease.proposed) if lease.proposed is not None else None
            fields["l"] = [wire.term_row(lease.term), proposed]
            if self.fleet.page is not None:
                fields["d"] = list(self.fleet.page)
        sequence = self.register_request_bounded(Request(name, now, kind, relay))
        address = relay.address if relay is not None else None
        self.send(now, unix, name, {"q": sequence} | fields, address)

    def ping_indirectly(self, now: float, unix: float, helper: str) -> None:
        """Ask a helper to ping the member that we are probing."""
        probe = self.fleet.members.probe
        record = self.fleet.members.others.get(probe.name) if probe is not None else None
        if record is not None:
            target = [record.name, record.host, record.port]
            self.request(now, unix, helper, RequestKind.THROUGH, {"k": "r", "on": target})

    def greet(self, now: float, source: Address, session: Session, datagram: bytes) -> None:
        """Answer a peer that does not know our start with a greeting, within the rate limit."""
        if now - self.greeted_since >= GREETING_WINDOW:
            self.greeted, self.greeted_since = 0, now
        if self.greeted < MAX_GREETINGS:
            self.greeted += 1
            self.fleet.out.append((source, session.greet(now, datagram)))

    def on_greeting(self, now: float, unix: float, name: str, echoed_sent_at: float | None) -> None:
        """The peer has learned our start: repeat the requests that it could not read.

        Args:
            now: Monotonic clock, in ms.
            unix: Unix clock, in ms.
            name: The peer.
            echoed_sent_at: When we sent what it could not read, in ms; None if nothing is to be repeated.
        """
        if echoed_sent_at is None:
            return
        again = [
            (seq, each) for seq, each in self.open.items() if each.to == name and each.sent >= echoed_sent_at
        ]
        for sequence, request in again[:MAX_REPEATED]:
            del self.open[sequence]
            if request.kind in (RequestKind.PING, RequestKind.RENEW):
                self.ping(now, unix, name, request.kind, request.relay)
            elif request.kind is RequestKind.PULL:
                self.fleet.table_sync.repeat(now, unix, name)

    def close_request(self, body: Mapping[str, Any], name: str, *kinds: RequestKind) -> Request | None:
        """Close and return the request that a message answers; None if it is not open any more."""
        sequence = wire.integer(body.get("q"))
        request = self.open.get(sequence)
        if request is None or request.to != name or request.kind not in kinds:
            return None
        del self.open[sequence]
        return request
