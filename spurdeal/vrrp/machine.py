"""The VRRP state machine (RFC 9568, section 6), free of I/O and clocks. Times are ms of one monotonic clock.

Each call names the time and returns what is to be done, in order: Act.ADVERTISE, Act.RESIGN (an advertisement
with priority 0), Act.HOLD (take the address and announce it) and Act.LEAVE. `due` is when `tick` is wanted
next.
Departures from the RFC, each for one failure, are marked where they stand.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from .advert import OWNER, STOPPING, Address

NEVER = float("inf")


class State(Enum):
    """The states of section 6.3."""

    INITIALIZE = "initialize"
    BACKUP = "backup"
    ACTIVE = "active"


class Action(Enum):
    """What is to be done; see the module."""

    ADVERTISE = "advertise"
    RESIGN = "resign"
    TAKE = "hold"
    RELEASE = "leave"


class GroupSettings(NamedTuple):
    """What one group of one dispatcher is told: section 6.1. Times in ms."""

    group: int
    priority: int
    interval: float
    primary: Address
    preempt: bool = True
    preempt_delay: float = 0.0


def skew_time(priority: int, interval: float) -> float:
    """Section 6.1: ((256 - priority) * Active_Adver_Interval) / 256."""
    return (256 - priority) * interval / 256


def active_down_interval(priority: int, interval: float) -> float:
    """Section 6.1: three intervals of the sender, and Skew_Time."""
    return 3 * interval + skew_time(priority, interval)


class StateMachine:
    """One group's state. `why` says what the last change came from."""

    def __init__(self, terms: GroupSettings) -> None:
        self.terms, self.state, self.why = terms, State.INITIALIZE, "made"
        self.priority = terms.priority  # in force: tracked conditions lower it
        self.sender_interval = terms.interval  # Active_Adver_Interval
        self.due, self.seen = NEVER, 0.0
        self.awaiting_sync = False  # a returning one: no list and no handover yet
        self.preempt_at = NEVER  # since when one lower is heard, and the delay

    # Events.

    def start(self, now: float, awaiting_sync: bool = False) -> list[Action]:
        """Startup, section 6.4.1. Barred, also an owner waits in Backup: it may know an old list only."""
        assert self.state is State.INITIALIZE
        self.seen, self.awaiting_sync = now, awaiting_sync
        self.sender_interval = self.terms.interval
        if self.priority == OWNER and not awaiting_sync:
            return self.become_active(now, "owner")
        self.become_backup(now, "started")
        return []

    def stop(self, now: float) -> list[Action]:
        """Shutdown: an Active one resigns, so that others wait for Skew_Time only."""
        active = self.state is State.ACTIVE
        self.state, self.due, self.why, self.seen = State.INITIALIZE, NEVER, "stopped", now
        return [Action.RESIGN, Action.RELEASE] if active else []

    def tick(self, now: float) -> list[Action]:
        """A timer is due: Adver_Timer in Active, Active_Down_Timer in Backup. Early calls do nothing."""
        gap, self.seen = now - self.seen, now
        if self.state is State.ACTIVE and gap > self.own_down_interval():
            # Departure: a process that stood still for so long was taken over meanwhile. Advertising first
            # would draw the address back for a moment, with two holders; it listens for one interval instead.
            self.become_backup(now, f"stood still {gap:.0f} ms")
            return [Action.RELEASE]
        if now < self.due:
            return []
        if self.state is State.ACTIVE:
            self.due = now + self.terms.interval
            return [Action.ADVERTISE]
        if self.state is State.BACKUP:
            return self.become_active(now, "active down")
        return []

    def advert_received(self, now: float, priority: int, interval: float, sender: Address) -> list[Action]:
        """A checked advertisement of this group, section 6.4.2 and 6.4.3."""
        if self.state is State.BACKUP:
            self.seen = now
            self.heard_in_backup(now, priority, interval)
            return []
        if self.state is not State.ACTIVE:
            return []
        actions = self.tick(now) if now - self.seen > self.own_down_interval() else []
        if actions:  # it stood still, and this tells who holds the address now
            return actions + self.advert_received(now, priority, interval, sender)
        self.seen = now
        if priority == STOPPING:
            self.due = now + self.terms.interval
            return [Action.ADVERTISE]
        if priority > self.priority or (priority == self.priority and int(sender) > int(self.terms.primary)):
            self.sender_interval = interval
            self.become_backup(now, f"heard priority {priority}")
            return [Action.RELEASE]
        # One lower believes that it holds the address: told at once, it gives way within a datagram's time.
        # The switch may lead to it by now, so that the address is announced again.
        self.due = now + self.terms.interval
        return [Action.ADVERTISE, Action.TAKE]

    def heard_in_backup(self, now: float, priority: int, interval: float) -> None:
        """Section 6.4.2: an advertisement sets the timer anew, unless it is to be preempted."""
        if priority == STOPPING:
            self.due = min(self.due, now + skew_time(self.priority, self.sender_interval))
            self.preempt_at = NEVER
        elif priority >= self.priority or not self.may_preempt(now):
            self.sender_interval = interval
            self.due = now + active_down_interval(self.priority, interval)
            if priority >= self.priority:
                self.preempt_at = NEVER
        # else: one lower is heard, and Active_Down_Timer runs on: it preempts when that ends

    def may_preempt(self, now: float) -> bool:
        """Preempt_Mode, with a delay (ours) from the first lower one that was heard."""
        if not self.terms.preempt or self.awaiting_sync:
            return False
        if self.preempt_at == NEVER:
            self.preempt_at = now + self.terms.preempt_delay
        return now >= self.preempt_at

    def set_priority(self, now: float, priority: int) -> list[Action]:
        """Tracked conditions have changed the priority in force. An Active one says so at once."""
        if priority == self.priority:
            return []
        self.priority = priority
        if self.state is State.ACTIVE:
            self.due = now + self.terms.interval
            return [Action.ADVERTISE]
        return []

    def end_sync_wait(self) -> None:
        """A fresh list and a handover are here, or the stated time without is over."""
        self.awaiting_sync = False

    # Changes of state.

    def become_active(self, now: float, why: str) -> list[Action]:
        """Section 6.4.1 and 6.4.2: take the addresses."""
        self.state, self.why, self.preempt_at, self.seen = State.ACTIVE, why, NEVER, now
        self.due = now + self.terms.interval
        return [Action.ADVERTISE, Action.TAKE]

    def become_backup(self, now: float, why: str) -> None:
        """Section 6.4.1 and 6.4.3: wait for Active_Down_Timer."""
        self.state, self.why, self.preempt_at, self.seen = State.BACKUP, why, NEVER, now
        self.due = now + active_down_interval(self.priority, self.sender_interval)

    def own_down_interval(self) -> float:
        """How long others wait for an advertisement of ours, at the least."""
        return 3 * self.terms.interval
