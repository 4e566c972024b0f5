"""Clients of all dispatchers of a rig together: open-loop load."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from .cables import Place, Switch
from .front import AGAIN, ClientRequest, ConnectionFactory, OpenLoopLoad
from .rig_process import WAIT

if TYPE_CHECKING:
    from .rig import Rig

COST = 12.0  # ms of work of a request, in the middle
MAX_SENDS = 8
DIAL_TIMEOUT = 0.5  # seconds


class FleetLoad(OpenLoopLoad):
    """Clients of all dispatchers together."""

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
        """To one of the dispatchers that are up and have not had it; later, where there is none."""
        now = self.clock()
        if request.over or now >= request.deadline - 1 or len(request.sent_to) >= MAX_SENDS:
            request.over = True
            return
        places = [each.place for each in self.rig.presumed_up() if each.place not in request.sent_to]
        if not places:
            self.reactor.callLater(AGAIN / 1000, self.send, request)
            return
        place = self.chance.choice(places)
        self.reactor.connectTCP(*place, ConnectionFactory(self, request, place), timeout=DIAL_TIMEOUT)

    def lost(self, request: ClientRequest, place: Place, sent: bool) -> None:
        """The connection was refused or ended: again, where the request may go again."""
        if sent:
            request.unanswered.append(place)
            if request.non_idempotent:  # it may have run: a client that cares does not ask again
                request.over = True
                return
        self.reactor.callLater(AGAIN / 1000, self.send, request)
