"""Incoming datagrams of one fleet member: verified, parsed completely, and only then acted on."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any, NamedTuple

from ..vrrp.sealed import RefusedError, Session
from . import wire
from .audit import SealedPage
from .handlers import HANDLERS, Message
from .hybrid import Stamp
from .members import MAX_MEMBERS, Address, Life, Record
from .shared_settings import FleetEvent
from .standing import Standing
from .versions import Artifact, Version

if TYPE_CHECKING:
    from .fleet import Fleet

MAX_UNIX = 1 << 48  # ms


class PeerReport(NamedTuple):
    """A member's last report on itself. at: ms; clock_offset: its Unix time less ours, in ms."""

    at: float
    standing: Standing
    page: SealedPage | None
    clock_offset: float


class Header(NamedTuple):
    """The fields that every message has."""

    stamp: Stamp
    claims: dict[Artifact, Version]
    standing: Standing
    gossip: list[Record]
    page: SealedPage | None
    kind: str
    unix: int


def read_header(body: Mapping[str, Any]) -> Header:
    """Read the fields that all messages have.

    Raises:
        RefusedError: One of them is malformed.
    """
    return Header(
        wire.stamp(body),
        wire.versions(body),
        wire.standing(body),
        wire.records(body),
        wire.page(body),
        wire.text(body.get("k"), 2),
        wire.integer(body.get("u"), MAX_UNIX),
    )


class Receiver:
    """Handles datagrams. An unusable one is counted by its reason and changes nothing."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet

    def receive(self, now: float, unix: float, source: Address, datagram: bytes) -> None:
        """Verify, read and act on one datagram. Raises nothing."""
        fleet = self.fleet
        fleet.counts["came"] += 1
        try:
            name = wire.name_of(datagram)
            if name == fleet.name and name not in fleet.sessions:
                raise RefusedError("own_name")
            body, echoed_sent_at = self.verified_body(now, source, name, datagram)
            if body:
                self.apply_message(Message(now, unix, source, name, body))
            else:
                fleet.messenger.on_greeting(now, unix, name, echoed_sent_at)
        except RefusedError as fault:
            fleet.counts["drop_" + fault.reason] += 1

    def verified_body(
        self, now: float, source: Address, name: str, datagram: bytes
    ) -> tuple[dict[str, Any], float | None]:
        """Verify a datagram and return its body and the echoed send time, as `Session.read` gives them.

        Raises:
            RefusedError: Its authentication tag or sequence number is wrong, or the member table is full.
        """
        messenger = self.fleet.messenger
        session = messenger.sessions.get(name)
        try:
            if session is None:
                session = self.first_session(name)
                session.verify(datagram)
                messenger.sessions[name] = session
            return session.read(now, datagram)
        except RefusedError as fault:
            if fault.reason == "unproven" and session is not None:
                messenger.greet(now, source, session, datagram)
            raise

    def first_session(self, name: str) -> Session:
        """A new session with a name.

        Raises:
            RefusedError: The member table is full.
        """
        others = self.fleet.members.others
        if name not in others and len(others) >= MAX_MEMBERS:
            raise RefusedError("full")
        return self.fleet.messenger.new_session(name)

    def apply_message(self, message: Message) -> None:
        """Read the whole message, then apply it."""
        fleet, name = self.fleet, message.name
        header = read_header(message.body)
        handler = HANDLERS.get(header.kind)
        if handler is None:
            raise RefusedError("kind")
        apply = handler(fleet, message)
        boot = fleet.sessions[name].peer_boot
        if not fleet.hybrid.receive(message.unix, header.stamp):
            fleet.counts["stamp_ahead"] += 1
        self.note_sender(message, header, boot)
        for clash in fleet.registry.claim(name, header.claims):
            fleet.report_clash(clash)
        fleet.members.on_answer(message.now, name)
        for record in header.gossip:
            fleet.members.merge(message.now, record, name)
        if name not in fleet.members.others:  # no record of the sender has arrived yet
            record = Record(name, *message.source, boot, 0, Life.ALIVE)
            fleet.members.merge(message.now, record, name)
        fleet.table_sync.compare(message.now, message.unix, name, message.body.get("e"))
        apply()

    def note_sender(self, message: Message, header: Header, boot: int) -> None:
        """Store the sender's report on itself; a newly sealed page of its audit log is an event."""
        fleet, name, page = self.fleet, message.name, header.page
        before = fleet.peer_reports[name].page if name in fleet.peer_reports else None
        if page is not None and page != before:
            fields = {
                "name": name,
                "boot": f"{boot:016x}",
                "page": page.number,
                "digest": page.digest,
                "records": page.records,
            }
            fleet.events.append(FleetEvent("page", fields))
        offset = header.unix - message.unix - fleet.system_time_offset
        fleet.peer_reports[name] = PeerReport(message.now, header.standing, page or before, offset)
