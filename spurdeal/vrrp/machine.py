"""The VRRP state machine (RFC 9568, section 6), without I/O and clocks. Times are ms of one monotonic clock.

Each call is given the time and returns the actions to carry out, in order: Action.ADVERTISE, Action.RESIGN
(an advertisement with priority 0), Action.TAKE (take the addresses and announce them) and Action.RELEASE.
`due` is when `tick` is to be called next.
Section numbers are those of RFC 9568. Departures from it, each because of one failure, are marked
"Departure".
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
    """What the caller is to do; see the module's docstring."""

    ADVERTISE = "advertise"
    RESIGN = "resign"
    TAKE = "hold"
    RELEASE = "leave"


class GroupSettings(NamedTuple):
    """Settings of one group of one dispatcher (section 6.1).

    Attributes:
        group: Virtual router identifier (VRID), 1 to 255.
        priority: 1 to 254, or 255 for the owner of the addresses.
        interval: Advertisement interval in ms.
        primary: Own address; breaks ties between equal priorities.
        preempt: Whether a Backup replaces an Active one of lower priority.
        preempt_delay: Least time in ms from the first advertisement of lower priority to preemption.
    """

    group: int
    priority: int
    interval: float
    primary: Address
    preempt: bool = True
    preempt_delay: float = 0.0


def skew_time(priority: int, interval: float) -> float:
    """Return Skew_Time of section 6.1: ((256 - priority) * Active_Adver_Interval) / 256, in ms."""
    return (256 - priority) * interval / 256


def active_down_interval(priority: int, interval: float) -> float:
    """Return Active_Down_Interval of section 6.1: three intervals of the sender plus Skew_Time, in ms."""
    return 3 * interval + skew_time(priority, interval)


class StateMachine:
    """State machine of one group.

    Attributes:
        why: Reason of the last change of state, for the log.
        due: When `tick` is to be called next, in ms; NEVER if no timer runs.
        seen: When the machine last ran, in ms; a long gap shows that the process was paused.
    """

    def __init__(self, settings: GroupSettings) -> None:
        self.settings, self.state, self.why = settings, State.INITIALIZE, "made"
        self.priority = settings.priority  # in effect: tracked conditions lower it
        self.sender_interval = settings.interval  # Active_Adver_Interval
        self.due, self.seen = NEVER, 0.0
        self.awaiting_sync = False  # after a start: no list or no peers' state yet
        self.preempt_at = (
            NEVER  # when preemption is allowed: first advertisement of lower priority plus the delay
        )

    # Events.

    def start(self, now: float, awaiting_sync: bool = False) -> list[Action]:
        """Startup, section 6.4.1.

        Departure: with `awaiting_sync` an owner also starts as Backup, as it may have an outdated list only.
        """
        assert self.state is State.INITIALIZE
        self.seen, self.awaiting_sync = now, awaiting_sync
        self.sender_interval = self.settings.interval
        if self.priority == OWNER and not awaiting_sync:
            return self.become_active(now, "owner")
        self.become_backup(now, "started")
        return []

    def stop(self, now: float) -> list[Action]:
        """Shutdown: an Active one resigns, so that Backups wait for Skew_Time only."""
        active = self.state is State.ACTIVE
        self.state, self.due, self.why, self.seen = State.INITIALIZE, NEVER, "stopped", now
        return [Action.RESIGN, Action.RELEASE] if active else []

    def tick(self, now: float) -> list[Action]:
        """Run Adver_Timer in Active and Active_Down_Timer in Backup; does nothing before `due`."""
        gap, self.seen = now - self.seen, now
        if self.state is State.ACTIVE and gap > self.own_down_interval():
            # Departure: a process paused for so long has been replaced meanwhile. Advertising at once would
            # take the address back for a moment, with two holders; it becomes Backup and listens first.
            self.become_backup(now, f"paused for {gap:.0f} ms")
            return [Action.RELEASE]
        if now < self.due:
            return []
        if self.state is State.ACTIVE:
            self.due = now + self.settings.interval
            return [Action.ADVERTISE]
        if self.state is State.BACKUP:
            return self.become_active(now, "active down")
        return []

    def advert_received(self, now: float, priority: int, interval: float, sender: Address) -> list[Action]:
        """Process an advertisement that passed the receive checks (sections 6.4.2 and 6.4.3)."""
        if self.state is State.BACKUP:
            self.seen = now
            self.heard_in_backup(now, priority, interval)
            return []
        if self.state is not State.ACTIVE:
            return []
        actions = self.tick(now) if now - self.seen > self.own_down_interval() else []
        if actions:  # it was paused, and this advertisement shows who holds the address now
            return actions + self.advert_received(now, priority, interval, sender)
        self.seen = now
        if priority == STOPPING:
            self.due = now + self.settings.interval
            return [Action.ADVERTISE]
        if priority > self.priority or (
            priority == self.priority and int(sender) > int(self.settings.primary)
        ):
            self.sender_interval = interval
            self.become_backup(now, f"heard priority {priority}")
            return [Action.RELEASE]
        # A dispatcher of lower priority is Active too: advertising at once makes it yield within a datagram's
        # time. The switch may forward to it by now, so the address is announced again.
        self.due = now + self.settings.interval
        return [Action.ADVERTISE, Action.TAKE]

    def heard_in_backup(self, now: float, priority: int, interval: float) -> None:
        """Section 6.4.2: an advertisement restarts Active_Down_Timer unless its sender is to be preempted."""
        if priority == STOPPING:
            self.due = min(self.due, now + skew_time(self.priority, self.sender_interval))
            self.preempt_at = NEVER
        elif priority >= self.priority or not self.may_preempt(now):
            self.sender_interval = interval
            self.due = now + active_down_interval(self.priority, interval)
            if priority >= self.priority:
                self.preempt_at = NEVER
        # else: the sender has a lower priority; Active_Down_Timer runs on, and preemption follows its end

    def may_preempt(self, now: float) -> bool:
        """Start the preemption delay unless it runs, and return whether it is over.

        False without Preempt_Mode or before the initial sync; then no delay is started.

        Departure: the delay runs from the first advertisement of lower priority.
        """
        if not self.settings.preempt or self.awaiting_sync:
            return False
        if self.preempt_at == NEVER:
            self.preempt_at = now + self.settings.preempt_delay
        return now >= self.preempt_at

    def set_priority(self, now: float, priority: int) -> list[Action]:
        """Set the priority in effect, as tracked conditions change; an Active one advertises it at once."""
        if priority == self.priority:
            return []
        self.priority = priority
        if self.state is State.ACTIVE:
            self.due = now + self.settings.interval
            return [Action.ADVERTISE]
        return []

    def end_sync_wait(self) -> None:
        """Allow preemption: the list and the peers' state are here, or the wait for them has timed out."""
        self.awaiting_sync = False

    # Changes of state.

    def become_active(self, now: float, why: str) -> list[Action]:
        """Become Active and take the addresses (sections 6.4.1 and 6.4.2)."""
        self.state, self.why, self.preempt_at, self.seen = State.ACTIVE, why, NEVER, now
        self.due = now + self.settings.interval
        return [Action.ADVERTISE, Action.TAKE]

    def become_backup(self, now: float, why: str) -> None:
        """Become Backup and start Active_Down_Timer (sections 6.4.1 and 6.4.3)."""
        self.state, self.why, self.preempt_at, self.seen = State.BACKUP, why, NEVER, now
        self.due = now + active_down_interval(self.priority, self.sender_interval)

    def own_down_interval(self) -> float:
        """Return how long Backups wait at least for an advertisement of ours, in ms."""
        return 3 * self.settings.interval
