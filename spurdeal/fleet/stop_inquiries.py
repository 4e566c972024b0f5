"""Fencing: asks the grantors of gone members until these are known to have stopped.

The inquiry continues after that, so that the grantors' reports stay valid.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from .lease import MAX_GRANTORS, Inquiry
from .members import Life, rendezvous
from .messenger import RequestKind
from .shared_settings import FleetEvent

if TYPE_CHECKING:
    from .fleet import Fleet

ASK_EVERY = 500.0  # ms between two requests to the grantors of a gone member
MAX_INQUIRIES = 64


class StopInquiries:
    """Inquiries into gone members, and which of them are relied on as stopped."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.inquiries: dict[str, Inquiry] = {}
        self.asked_at: dict[str, float] = {}
        self.reported_stopped: set[tuple[str, int]] = set()  # name and start, by the last events

    def stopped(self, now: float, name: str) -> bool:
        """Whether that member, gone in our view, is known by our clock alone to hold no lease."""
        inquiry = self.inquiries.get(name)
        return inquiry is not None and inquiry.stopped(now)

    def begin(self, name: str, boot: int) -> None:
        """Begin an inquiry into one start of a member, unless too many are open."""
        if len(self.inquiries) < MAX_INQUIRIES:
            shared = self.fleet.shared
            self.inquiries[name] = Inquiry(name, boot, shared.part, shared.lease)

    def tick(self, now: float, unix: float) -> None:
        """Ask the grantors again where due, and report changes."""
        self.drop_finished()
        for name, inquiry in self.inquiries.items():
            if now - self.asked_at.get(name, -math.inf) >= ASK_EVERY:
                self.asked_at[name] = now
                self.ask_grantors(now, unix, name, inquiry)
        if self.inquiries or self.reported_stopped:
            self.report(now)

    def drop_finished(self) -> None:
        """Drop inquiries into members that are not gone any more, or have a new start."""
        for name, inquiry in list(self.inquiries.items()):
            record = self.fleet.members.others.get(name)
            if record is None or record.life is not Life.GONE or record.boot != inquiry.boot:
                del self.inquiries[name]
                self.asked_at.pop(name, None)

    def ask_grantors(self, now: float, unix: float, name: str, inquiry: Inquiry) -> None:
        """Ask all grantors of that member, ourselves included."""
        fleet = self.fleet
        report = fleet.grantor.report_stop(now, name, inquiry.boot)
        if report is not None:
            inquiry.add_report(now, now, fleet.name, report)
        known = (other for other in fleet.members.known() if other != name)
        fields = {"k": "w", "who": name, "boot": inquiry.boot}
        for grantor in inquiry.grantors_to_ask() or rendezvous(name, known, MAX_GRANTORS):
            if grantor != fleet.name:
                fleet.messenger.request(now, unix, grantor, RequestKind.WORD, fields)

    def report(self, now: float) -> None:
        """Emit events for members that we begin or cease to rely on as stopped."""
        stopped = {(name, each.boot) for name, each in self.inquiries.items() if each.stopped(now)}
        for what, starts in (
            ("stopped", stopped - self.reported_stopped),
            ("stopped_over", self.reported_stopped - stopped),
        ):
            for name, boot in sorted(starts):
                self.fleet.events.append(FleetEvent(what, {"name": name, "boot": f"{boot:016x}"}))
        self.reported_stopped = stopped
