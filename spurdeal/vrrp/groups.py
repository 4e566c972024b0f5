"""Several groups in one dispatcher: tracked conditions lower priorities, and bundled groups move together."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple

from .advert import OWNER, Address
from .machine import NEVER, Action, GroupSettings, State, StateMachine

CONDITIONS = ("list_stale", "no_engine", "shut_out", "stopping")  # what can be tracked
LEAST = 1  # a priority that is lowered stays a priority; 0 is said by stopping only


class Tracked(NamedTuple):
    """A condition, and by how much it lowers the priority while it holds."""

    condition: str
    lowers: int


Done = list[tuple[int, Action]]


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
        self.holding = frozenset[str]()

    def start(self, now: float, awaiting_sync: bool) -> Done:
        """Startup of all groups; barred, none takes its addresses yet."""
        return self.each(lambda machine: machine.start(now, awaiting_sync))

    def stop(self, now: float) -> Done:
        """Shutdown of all groups."""
        return self.each(lambda machine: machine.stop(now))

    def tick(self, now: float) -> Done:
        """What is due by now, in all groups."""
        done: Done = []
        for group, machine in self.machines.items():
            done += self.moved(now, group, machine.state, machine.tick(now))
        return done

    def advert_received(
        self, now: float, group: int, priority: int, interval: float, sender: Address
    ) -> Done:
        """A checked advertisement of a group."""
        machine = self.machines[group]
        return self.moved(now, group, machine.state, machine.advert_received(now, priority, interval, sender))

    def conditions(self, now: float, holding: Iterable[str]) -> Done:
        """The tracked conditions that hold now; an owner's priority is never lowered (section 6.1)."""
        self.holding = frozenset(holding)
        done: Done = []
        for group, machine in self.machines.items():
            lowered = sum(each.lowers for each in self.tracked[group] if each.condition in self.holding)
            own = machine.terms.priority
            rank = own if own == OWNER else max(LEAST, own - lowered)
            done += [(group, act) for act in machine.set_priority(now, rank)]
        return done

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

    def moved(self, now: float, group: int, before: State, acts: list[Action]) -> Done:
        """What is to be done for a group, and for its bundle where its state has changed."""
        done = [(group, act) for act in acts]
        after = self.machines[group].state
        if after is before or after is State.INITIALIZE:
            return done
        for other in self.bundles.get(group, ()):
            machine = self.machines[other]
            if machine.state is after or machine.state is State.INITIALIZE:
                continue
            why = f"with group {group}"
            if after is State.ACTIVE:
                done += [(other, act) for act in machine.become_active(now, why)]
            else:
                machine.become_backup(now, why)
                done.append((other, Action.RELEASE))
        return done

    def each(self, call: Callable[[StateMachine], list[Action]]) -> Done:
        """The same call for each group."""
        return [(group, act) for group, machine in self.machines.items() for act in call(machine)]
