"""VRRP groups of one dispatcher: tracked conditions lower priorities, bundles change state together."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple

from .advert import OWNER, Address
from .machine import NEVER, Action, GroupSettings, State, StateMachine

CONDITIONS = (
    "list_stale",
    "no_engine",
    "shut_out",
    "stopping",
)  # that a group may track; the station never reports "stopping"
MIN_PRIORITY = 1  # of a lowered priority: 0 is reserved for a shutdown


class Tracked(NamedTuple):
    """A tracked condition, and by how much it lowers the priority while it holds."""

    condition: str
    lowers: int


Actions = list[tuple[int, Action]]


class Groups:
    """All VRRP groups of one dispatcher, by VRID.

    Methods return what is to be done as pairs of group and Action, in order. Times are ms of one monotonic
    clock.

    Args:
        group_settings: Settings of each group.
        tracked: Tracked conditions by group.
        bundles: Sets of groups that become Active or Backup together.
    """

    def __init__(
        self,
        group_settings: Sequence[GroupSettings],
        tracked: Mapping[int, Sequence[Tracked]],
        bundles: Iterable[Sequence[int]] = (),
    ) -> None:
        self.machines = {each.group: StateMachine(each) for each in group_settings}
        self.tracked = {group: tuple(tracked.get(group, ())) for group in self.machines}
        self.bundles = {group: tuple(bundle) for bundle in bundles for group in bundle}
        self.conditions_met = frozenset[str]()

    def start(self, now: float, awaiting_sync: bool) -> Actions:
        """Start all groups; with `awaiting_sync`, none preempts nor becomes Active at once as owner."""
        return self.for_each_group(lambda machine: machine.start(now, awaiting_sync))

    def stop(self, now: float) -> Actions:
        """Shut all groups down."""
        return self.for_each_group(lambda machine: machine.stop(now))

    def tick(self, now: float) -> Actions:
        """Run the timers that are due in all groups."""
        pairs: Actions = []
        for group, machine in self.machines.items():
            pairs += self.state_changed(now, group, machine.state, machine.tick(now))
        return pairs

    def advert_received(
        self, now: float, group: int, priority: int, interval: float, sender: Address
    ) -> Actions:
        """Process an advertisement of a group that has passed the receive checks."""
        machine = self.machines[group]
        return self.state_changed(
            now, group, machine.state, machine.advert_received(now, priority, interval, sender)
        )

    def set_conditions(self, now: float, conditions_met: Iterable[str]) -> Actions:
        """Set the conditions that hold now and adapt priorities; an owner's stays (RFC 9568, section 6.1)."""
        self.conditions_met = frozenset(conditions_met)
        pairs: Actions = []
        for group, machine in self.machines.items():
            reduction = sum(
                each.lowers for each in self.tracked[group] if each.condition in self.conditions_met
            )
            own = machine.settings.priority
            priority = own if own == OWNER else max(MIN_PRIORITY, own - reduction)
            pairs += [(group, action) for action in machine.set_priority(now, priority)]
        return pairs

    def end_sync_wait(self) -> None:
        """Allow all groups to preempt again."""
        for machine in self.machines.values():
            machine.end_sync_wait()

    @property
    def due(self) -> float:
        """When `tick` is due next, in ms; NEVER if no timer runs."""
        return min((machine.due for machine in self.machines.values()), default=NEVER)

    def held(self) -> list[int]:
        """Return the groups whose addresses this dispatcher holds."""
        return [group for group, machine in self.machines.items() if machine.state is State.ACTIVE]

    # Bundles: when one group becomes Active or Backup, the others of its bundle follow.

    def state_changed(self, now: float, group: int, before: State, acts: list[Action]) -> Actions:
        """Return the actions of a group and, if its state has changed, those of its bundle."""
        pairs = [(group, action) for action in acts]
        after = self.machines[group].state
        if after is before or after is State.INITIALIZE:
            return pairs
        for other in self.bundles.get(group, ()):
            machine = self.machines[other]
            if machine.state is after or machine.state is State.INITIALIZE:
                continue
            why = f"with group {group}"
            if after is State.ACTIVE:
                pairs += [(other, action) for action in machine.become_active(now, why)]
            else:
                machine.become_backup(now, why)
                pairs.append((other, Action.RELEASE))
        return pairs

    def for_each_group(self, call: Callable[[StateMachine], list[Action]]) -> Actions:
        """Make the same call on each group's state machine and collect the actions."""
        return [(group, action) for group, machine in self.machines.items() for action in call(machine)]
