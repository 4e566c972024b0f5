"""Several groups in one dispatcher: tracked conditions lower priorities, and bundled groups move together."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple

from .advert import OWNER, Address
from .machine import NEVER, Action, GroupSettings, State, StateMachine

CONDITIONS = ("list_stale", "no_engine", "shut_out", "stopping")  # what can be tracked
MIN_PRIORITY = 1  # a priority that is lowered stays a priority; 0 is said by stopping only


class Tracked(NamedTuple):
    """A condition, and by how much it lowers the priority while it holds."""

    condition: str
    lowers: int


Actions = list[tuple[int, Action]]


class Groups:
    """All groups of one dispatcher, by VRID. What is to be done comes as pairs of group and Act."""

    def __init__(
        self,
        terms: Sequence[GroupSettings],
        tracked: Mapping[int, Sequence[Tracked]],
        bundles: Iterable[Sequence[int]] = (),
    ) -> None:
        self.machines = {each.group: StateMachine(each) for each in terms}
        self.tracked = {group: tuple(tracked.get(group, ())) for group in self.machines}
        self.bundles = {group: tuple(bundle) for bundle in bundles for group in bundle}
        self.conditions_met = frozenset[str]()

    def start(self, now: float, awaiting_sync: bool) -> Actions:
        """Startup of all groups; barred, none takes its addresses yet."""
        return self.for_each_group(lambda machine: machine.start(now, awaiting_sync))

    def stop(self, now: float) -> Actions:
        """Shutdown of all groups."""
        return self.for_each_group(lambda machine: machine.stop(now))

    def tick(self, now: float) -> Actions:
        """What is due by now, in all groups."""
        pairs: Actions = []
        for group, machine in self.machines.items():
            pairs += self.state_changed(now, group, machine.state, machine.tick(now))
        return pairs

    def advert_received(
        self, now: float, group: int, priority: int, interval: float, sender: Address
    ) -> Actions:
        """A checked advertisement of a group."""
        machine = self.machines[group]
        return self.state_changed(
            now, group, machine.state, machine.advert_received(now, priority, interval, sender)
        )

    def conditions(self, now: float, conditions_met: Iterable[str]) -> Actions:
        """The tracked conditions that hold now; an owner's priority is never lowered (section 6.1)."""
        self.conditions_met = frozenset(conditions_met)
        pairs: Actions = []
        for group, machine in self.machines.items():
            reduction = sum(
                each.lowers for each in self.tracked[group] if each.condition in self.conditions_met
            )
            own = machine.terms.priority
            priority = own if own == OWNER else max(MIN_PRIORITY, own - reduction)
            pairs += [(group, action) for action in machine.set_priority(now, priority)]
        return pairs

    def end_sync_wait(self) -> None:
        """All groups may take addresses back from here on."""
        for machine in self.machines.values():
            machine.end_sync_wait()

    @property
    def due(self) -> float:
        """When `tick` is wanted next, in ms; NEVER where no timer runs."""
        return min((machine.due for machine in self.machines.values()), default=NEVER)

    def held(self) -> list[int]:
        """The groups whose addresses we hold."""
        return [group for group, machine in self.machines.items() if machine.state is State.ACTIVE]

    # Bundles: one that takes its address takes the others' along, and so does one that leaves.

    def state_changed(self, now: float, group: int, before: State, acts: list[Action]) -> Actions:
        """What is to be done for a group, and for its bundle where its state has changed."""
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
        """The same call for each group."""
        return [(group, action) for group, machine in self.machines.items() for action in call(machine)]
