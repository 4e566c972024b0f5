"""Builds the objects of a station from the settings file: VRRP groups, handover, keys, address holder."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from ..eventloop import Reactor
from ..net.counters import Counters
from ..net.start import Service
from .address import Announcer, Commands, CommandSettings, Listener, ServedPort
from .budget_shares import BudgetShares
from .groups import Groups, Tracked
from .handover import Handover, HandoverSettings, Membership
from .idempotency_table import IdempotencyTable
from .machine import GroupSettings
from .sealed import Keys

if TYPE_CHECKING:
    from ..settings.installation import FleetSection, HandoverSection, Installation, Vrrp

Holder = Announcer | Listener | Commands  # each has take(group, addresses) and release(group, addresses)


@dataclass(frozen=True)
class Runtime:
    """The parts of the process that VRRP uses.

    Attributes:
        reactor: The event loop.
        monotonic: Monotonic clock in ms that also runs while the process is paused.
        counters: Counters of events.
        log: The operator's log.
    """

    reactor: Reactor
    monotonic: Callable[[], float]
    counters: Counters
    log: logging.Logger


def keys_of(section: HandoverSection | FleetSection) -> Keys:
    """Return the keys of a section of the file.

    Raises:
        OSError: A key file cannot be read.
        ValueError: A key file holds no key in hex, or a key or id is out of bounds (see Keys).
    """
    return Keys(
        {
            key.id: bytes.fromhex(
                key.hex if key.hex is not None else Path(key.file or "").read_text("ascii").strip()
            )
            for key in section.keys
        }
    )


def make_groups(vrrp: Vrrp) -> Groups:
    """Return the VRRP groups, none of them started."""
    own = vrrp.listen[0]
    group_settings = [
        GroupSettings(each.group, each.priority, each.interval, own, each.preempt, each.preempt_delay)
        for each in vrrp.groups
    ]
    tracked = {
        each.group: [Tracked(track.condition, track.lowers) for track in each.tracks] for each in vrrp.groups
    }
    return Groups(group_settings, tracked, vrrp.bundles)


def make_handover(
    installation: Installation, boot: int, budget_shares: BudgetShares, now: float
) -> Handover | None:
    """Return the handover; None if the file configures none.

    Raises:
        OSError: A key file cannot be read.
        ValueError: A key is invalid.
    """
    section, vrrp = installation.handover, installation.vrrp
    if section is None or vrrp is None:
        return None
    return Handover(
        Membership(
            installation.name, tuple(peer.name for peer in installation.peers), boot, keys_of(section)
        ),
        HandoverSettings(
            section.ahead,
            section.ahead_wait,
            section.alone_after if section.alone == "send" else None,
            vrrp.bar,
        ),
        budget_shares,
        IdempotencyTable(section.marks, section.keep),
        now,
    )


def make_holder(vrrp: Vrrp, service: Service, reactor: Reactor, log: logging.Logger) -> Holder:
    """Return the holder that the file names; it takes and releases the addresses."""
    holder, counters = vrrp.holder, service.counters
    if holder.kind == "announce":
        switch = (str(holder.switch[0]), holder.switch[1])
        own_endpoint = (service.configuration.host, service.configuration.port)
        return Announcer(reactor, switch, own_endpoint, counters)
    if holder.kind == "listen":
        clients = service.clients
        return Listener(reactor, ServedPort(clients, holder.port, clients.drain), counters, log)
    return Commands(reactor, CommandSettings(holder.take, holder.leave, holder.within), counters, log)
