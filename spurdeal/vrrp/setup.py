"""What the operator's file makes of VRRP, handover and keys: the objects that a station works with."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from ..eventloop import Reactor
from ..net.counters import Counters
from ..net.start import Service
from .address import Announcer, Commands, CommandSettings, Listener, Served
from .groups import Groups, Tracked
from .handover import Handover, HandoverSettings, Membership
from .machine import Terms
from .marks import Marks
from .sealed import Keys
from .tenure import Tenure

if TYPE_CHECKING:
    from ..settings.installation import FleetSection, HandoverSection, Installation, Vrrp

Holder = Announcer | Listener | Commands


@dataclass(frozen=True)
class Runtime:
    """The parts of the process that VRRP uses.

    Attributes:
        reactor: The event loop.
        monotonic: Gives ms that run on while the process stands still.
        counters: Where events are counted.
        log: For the operator.
    """

    reactor: Reactor
    monotonic: Callable[[], float]
    counters: Counters
    log: logging.Logger


def keys_of(part: HandoverSection | FleetSection) -> Keys:
    """The keys of a part, read.

    Raises:
        OSError: A file cannot be read.
        ValueError: A file holds no key.
    """
    return Keys(
        {
            key.id: bytes.fromhex(
                key.hex if key.hex is not None else Path(key.file or "").read_text("ascii").strip()
            )
            for key in part.keys
        }
    )


def make_groups(vrrp: Vrrp) -> Groups:
    """The VRRP groups, none of them started."""
    own = vrrp.listen[0]
    terms = [
        Terms(each.group, each.priority, each.interval, own, each.preempt, each.preempt_delay)
        for each in vrrp.groups
    ]
    tracked = {
        each.group: [Tracked(track.condition, track.lowers) for track in each.tracks] for each in vrrp.groups
    }
    return Groups(terms, tracked, vrrp.bundles)


def make_handover(plan: Installation, boot: int, tenure: Tenure, now: float) -> Handover | None:
    """The handover; None where the file has none.

    Raises:
        OSError, ValueError: As `keys_of`.
    """
    part, vrrp = plan.handover, plan.vrrp
    if part is None or vrrp is None:
        return None
    return Handover(
        Membership(plan.name, tuple(peer.name for peer in plan.peers), boot, keys_of(part)),
        HandoverSettings(
            part.ahead, part.ahead_wait, part.alone_after if part.alone == "send" else None, vrrp.bar
        ),
        tenure,
        Marks(part.marks, part.keep),
        now,
    )


def make_holder(vrrp: Vrrp, service: Service, reactor: Reactor, log: logging.Logger) -> Holder:
    """What takes and leaves the addresses."""
    told, counters = vrrp.holder, service.counters
    if told.kind == "announce":
        switch = (str(told.switch[0]), told.switch[1])
        place = (service.configuration.host, service.configuration.port)
        return Announcer(reactor, switch, place, counters)
    if told.kind == "listen":
        clients = service.clients
        return Listener(reactor, Served(clients, told.port, clients.drain), counters, log)
    return Commands(reactor, CommandSettings(told.take, told.leave, told.within), counters, log)
