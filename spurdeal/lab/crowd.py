"""Clients of all dispatchers of a rig together: open-loop load."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from .cables import HostPort, Switch
from .front import AGAIN, Asked, Dial, Front
from .rig_process import WAIT

if TYPE_CHECKING:
    from .rig import Rig

COST = 12.0  # ms of work of a request, in the middle
MOST_WAYS = 8
DIAL_TIMEOUT = 0.5  # seconds


class Crowd(Front):
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

    def send(self, asked: Asked) -> None:
        """To one of the dispatchers that are up and have not had it; later, where there is none."""
        now = self.clock()
        if asked.over or now >= asked.deadline - 1 or len(asked.ways) >= MOST_WAYS:
            asked.over = True
            return
        places = [each.place for each in self.rig.front_knows() if each.place not in asked.ways]
        if not places:
            self.reactor.callLater(AGAIN / 1000, self.send, asked)
            return
        place = self.chance.choice(places)
        self.reactor.connectTCP(*place, Dial(self, asked, place), timeout=DIAL_TIMEOUT)

    def lost(self, asked: Asked, place: HostPort, sent: bool) -> None:
        """The connection was refused or ended: again, where the request may go again."""
        if sent:
            asked.unanswered.append(place)
            if asked.non_idempotent:  # it may have run: a client that cares does not ask again
                asked.over = True
                return
        self.reactor.callLater(AGAIN / 1000, self.send, asked)
