"""What the operator's file makes of VRRP, handover and keys: the objects that a station works with."""

from __future__ import annotations

import logging
from pathlib import Path
from typing import TYPE_CHECKING, Any

from ..net.start import Service
from .address import Announcer, Commands, Listener
from .groups import Groups, Tracked
from .handover import Handover
from .machine import Terms
from .marks import Marks
from .sealed import Keys
from .tenure import Tenure

if TYPE_CHECKING:
    from ..settings.installation import FleetPart, HandoverPart, Installation, Vrrp

Holder = Announcer | Listener | Commands


def keys_of(part: HandoverPart | FleetPart) -> Keys:
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
        plan.name,
        [peer.name for peer in plan.peers],
        boot,
        keys_of(part),
        tenure,
        Marks(part.marks, part.keep),
        now,
        part.ahead,
        part.ahead_wait,
        part.alone_after if part.alone == "send" else None,
        vrrp.bar,
    )


def make_holder(vrrp: Vrrp, service: Service, reactor: Any, log: logging.Logger) -> Holder:
    """What takes and leaves the addresses."""
    told, counters = vrrp.holder, service.counters
    if told.kind == "announce":
        switch = (str(told.switch[0]), told.switch[1])
        place = (service.configuration.host, service.configuration.port)
        return Announcer(reactor, switch, place, counters)
    if told.kind == "listen":
        clients = service.clients
        return Listener(reactor, clients, told.port, clients.drain, counters, log)
    return Commands(reactor, told.take, told.leave, told.within, counters, log)
