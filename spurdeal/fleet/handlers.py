"""One handler for each kind of fleet message.

A handler reads the fields of its kind and returns the effect, a function to be called once the whole message
has been read. It raises RefusedError for a malformed field; then nothing has changed, except that an open
request is closed.
"""

from __future__ import annotations

import base64
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any, NamedTuple

from . import wire
from .lease import StopReport, Term
from .list_transfer import ReceivedPiece
from .members import Address, Life
from .messenger import Relay, Request, RequestKind
from .table_sync import TablePage

if TYPE_CHECKING:
    from .fleet import Fleet

MAX_OFFSET = 4096  # records of a table, or pieces of a list
MAX_PORT = 65_535
MAX_PIECE_TEXT = 1000  # characters of base64
PAGE_RESERVE = 16  # bytes of JSON around a table's page

Effect = Callable[[], None]  # applies a message that was read completely


class Message(NamedTuple):
    """A message whose authentication tag and number were verified. now: monotonic ms; unix: Unix ms."""

    now: float
    unix: float
    source: Address
    name: str
    body: Mapping[str, Any]


Handler = Callable[["Fleet", Message], Effect]


def on_ping(fleet: Fleet, message: Message) -> Effect:
    """A probe; it may ask us to grant its sender's lease."""
    now, unix, source, name, body = message
    sequence = wire.integer(body.get("q"))
    terms: tuple[Term, Term | None] | None = None
    if "l" in body:
        row = wire.array(body["l"], 2, 2)
        terms = wire.term(row[0]), wire.term(row[1]) if row[1] is not None else None

    def apply() -> None:
        fields: dict[str, Any] = {"k": "a", "q": sequence}
        if terms is not None:
            fields["g"] = grant(fleet, now, name, *terms)
        fleet.messenger.send(now, unix, name, fields, source)

    return apply


def grant(fleet: Fleet, now: float, name: str, term: Term, proposed: Term | None) -> list[int]:
    """Our answer to a lease request, as a row for JSON: [highest known term, 1 if granted, else 0]."""
    boot = fleet.sessions[name].peer_boot
    record = fleet.members.others.get(name)
    if record is not None and record.boot == boot and record.life is Life.GONE:
        fleet.grantor.refuse(name, boot)
    if fleet.leaving or fleet.name_yielded:
        return [0, int(False)]
    highest_known_term, granted = fleet.grantor.on_request(now, name, boot, term, proposed)
    return [highest_known_term, int(granted)]


def on_ack(fleet: Fleet, message: Message) -> Effect:
    """The answer to a ping of ours, perhaps with a grant of our lease."""
    now, unix, _, name, body = message
    row = wire.array(body["g"], 2, 2) if "g" in body else None
    granted = (wire.integer(row[0]), wire.integer(row[1], 1) == 1) if row is not None else None
    answers = RequestKind.PING, RequestKind.RENEW, RequestKind.RELAY
    request = fleet.messenger.close_request(body, name, *answers)

    def apply() -> None:
        if request is None:
            return
        if request.kind is RequestKind.RENEW and granted is not None:
            fleet.lease.on_reply(now, name, request.sent, *granted)
        if request.relay is not None:
            to, address, sequence = request.relay
            fleet.messenger.send(now, unix, to, {"k": "y", "q": sequence}, address)

    return apply


def on_indirect_ping(fleet: Fleet, message: Message) -> Effect:
    """Indirect probe: ping a member that the sender cannot reach, on its behalf."""
    now, unix, source, name, body = message
    sequence, row = wire.integer(body.get("q")), wire.array(body.get("on"), 3, 3)
    target, address = wire.text(row[0]), (wire.host(row[1]), wire.integer(row[2], MAX_PORT))

    def apply() -> None:
        messenger = fleet.messenger
        if target not in (fleet.name, name):
            relay = Relay(name, source, sequence)
            own = messenger.register_request(Request(target, now, RequestKind.RELAY, relay))
            messenger.send(now, unix, target, {"k": "p", "q": own}, address)
        messenger.send_without_gossip(now, unix, name, {"k": "n", "q": sequence}, source)

    return apply


def on_nack(fleet: Fleet, message: Message) -> Effect:
    """A helper has our request: if no more comes, the fault is not on our side."""
    sequence = wire.integer(message.body.get("q"))
    request = fleet.messenger.open.get(sequence)

    def apply() -> None:
        if request is not None and request.to == message.name and request.kind is RequestKind.THROUGH:
            fleet.members.on_nack()

    return apply


def on_relayed_ack(fleet: Fleet, message: Message) -> Effect:
    """A helper got an answer from the member that did not answer us."""
    request = fleet.messenger.close_request(message.body, message.name, RequestKind.THROUGH)

    def apply() -> None:
        probe = fleet.members.probe
        if request is not None and probe is not None:
            fleet.members.on_answer(message.now, probe.name)

    return apply


def on_table_request(fleet: Fleet, message: Message) -> Effect:
    """The sender pulls our member table from an offset on."""
    now, unix, source, name, body = message
    sequence, offset = wire.integer(body.get("q")), wire.integer(body.get("i"), MAX_OFFSET)

    def apply() -> None:
        table = sorted(fleet.members.table())
        fields = {"k": "J", "q": sequence, "i": offset, "of": len(table)}
        left, rows = wire.room(fleet.name, fleet.body(unix, fields)) - PAGE_RESERVE, list[list[Any]]()
        for record in table[offset : offset + wire.MAX_RECORDS]:
            row = wire.record_row(fleet.members.as_gossip(record))
            left -= len(str(row)) + 1
            if left < 0:
                break
            rows.append(row)
        fleet.messenger.send_without_gossip(now, unix, name, fields | {"n": rows}, source)

    return apply


def on_table_page(fleet: Fleet, message: Message) -> Effect:
    """A page of the member table that we pull. Its records are merged like gossip."""
    now, unix, _, name, body = message
    offset, total = wire.integer(body.get("i"), MAX_OFFSET), wire.integer(body.get("of"), MAX_OFFSET)
    count = len(wire.array(body.get("n"), 0, wire.MAX_RECORDS))
    request = fleet.messenger.close_request(body, name, RequestKind.PULL)

    def apply() -> None:
        if request is not None:
            fleet.table_sync.page_arrived(now, unix, name, TablePage(offset, count, total))

    return apply


def on_stop_query(fleet: Fleet, message: Message) -> Effect:
    """The sender wants to rely on a member's stop: report on its lease, as one of its grantors."""
    now, unix, source, name, body = message
    sequence, subject = wire.integer(body.get("q")), wire.text(body.get("who"))
    boot = wire.integer(body.get("boot"))

    def apply() -> None:
        report = fleet.grantor.report_stop(now, subject, boot)
        if report is None:
            return
        term, proposed, refused, left = report
        fields = {
            "k": "W",
            "q": sequence,
            "who": subject,
            "boot": boot,
            "r": int(refused),
            "left": left,
            "t": wire.term_row(term),
            "f": wire.term_row(proposed) if proposed is not None else None,
        }
        fleet.messenger.send_without_gossip(now, unix, name, fields, source)

    return apply


def on_stop_report(fleet: Fleet, message: Message) -> Effect:
    """A grantor's report on a member that is gone."""
    name, body = message.name, message.body
    subject, boot = wire.text(body.get("who")), wire.integer(body.get("boot"))
    refused, left = wire.integer(body.get("r"), 1), wire.finite_number(body.get("left"))
    term = wire.term(body.get("t"))
    proposed = wire.term(body["f"]) if body.get("f") is not None else None
    request = fleet.messenger.close_request(body, name, RequestKind.WORD)

    def apply() -> None:
        inquiry = fleet.stops.inquiries.get(subject)
        if request is not None and inquiry is not None and inquiry.boot == boot:
            inquiry.add_report(
                message.now, request.sent, name, StopReport(term, proposed, bool(refused), left)
            )

    return apply


def on_piece_request(fleet: Fleet, message: Message) -> Effect:
    """The sender asks for a piece of a list that we may hold."""
    now, unix, source, name, body = message
    sequence, piece_index = wire.integer(body.get("q")), wire.integer(body.get("i"), MAX_OFFSET)
    have, want = wire.version(body.get("have")), wire.version(body.get("want"))

    def apply() -> None:
        piece = fleet.list_store.piece(now, have, want, piece_index)
        if piece is None:
            return
        fleet.counts["pieces_served"] += 1
        fields = {
            "k": "F",
            "q": sequence,
            "want": list(want),
            "i": piece_index,
            "of": piece.total,
            "b": base64.b64encode(piece.data).decode(),
        }
        fleet.messenger.send_without_gossip(now, unix, name, fields, source)

    return apply


def on_piece(fleet: Fleet, message: Message) -> Effect:
    """A piece of the list that we are fetching."""
    now, unix, _, name, body = message
    want, piece_index = wire.version(body.get("want")), wire.integer(body.get("i"), MAX_OFFSET)
    count = wire.integer(body.get("of"), MAX_OFFSET)
    data = wire.text(body["b"], MAX_PIECE_TEXT) if body.get("b") else ""
    request = fleet.messenger.close_request(body, name, RequestKind.FETCH)

    def apply() -> None:
        if request is not None:
            fleet.list_sync.piece_arrived(now, unix, name, ReceivedPiece(want, piece_index, count, data))

    return apply


HANDLERS: Mapping[str, Handler] = {
    "p": on_ping,
    "a": on_ack,
    "r": on_indirect_ping,
    "n": on_nack,
    "y": on_relayed_ack,
    "j": on_table_request,
    "J": on_table_page,
    "w": on_stop_query,
    "W": on_stop_report,
    "f": on_piece_request,
    "F": on_piece,
}
