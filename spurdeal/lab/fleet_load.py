"""Open-loop load on all dispatchers of a rig."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from .address_load import RETRY_DELAY, ClientRequest, ConnectionFactory, OpenLoopLoad
from .emulated_links import HostPort, Switch
from .rig_process import WAIT

if TYPE_CHECKING:
    from .rig import Rig

COST = 12.0  # ms of work of a request on average
MAX_SENDS = 8
DIAL_TIMEOUT = 0.5  # seconds


class FleetLoad(OpenLoopLoad):
    """Clients that may use each dispatcher of a rig."""

    def __init__(self, rig: Rig, seed: int, rate: float, non_idempotent: float) -> None:
        super().__init__(
            rig.reactor,
            lambda: time.time() * 1000,
            Switch(time.time),
            "",
            seed,
            rate,
            WAIT,
            non_idempotent,
            COST,
        )
        self.rig = rig

    def send(self, request: ClientRequest) -> None:
        """Send to a random dispatcher that is presumed up and has not had the request, or try later."""
        now = self.clock()
        if request.finished or now >= request.deadline - 1 or len(request.sent_to) >= MAX_SENDS:
            request.finished = True
            return
        places = [each.place for each in self.rig.presumed_up() if each.place not in request.sent_to]
        if not places:
            self.reactor.callLater(RETRY_DELAY / 1000, self.send, request)
            return
        place = self.chance.choice(places)
        self.reactor.connectTCP(*place, ConnectionFactory(self, request, place), timeout=DIAL_TIMEOUT)

    def on_connection_lost(self, request: ClientRequest, place: HostPort, sent: bool) -> None:
        """A connection failed: try again, unless the request may have run and is non-idempotent."""
        if sent:
            request.unanswered.append(place)
            if request.non_idempotent:  # it may have run, so it is not sent again
                request.finished = True
                return
        self.reactor.callLater(RETRY_DELAY / 1000, self.send, request)
