"""The model of who holds the virtual address: VRRP's state machine as it runs, advertisements, and faults."""

from __future__ import annotations

from collections.abc import Iterator
from ipaddress import ip_address
from itertools import product
from typing import Any, NamedTuple

from ..vrrp.machine import NEVER, Action, GroupSettings, State, StateMachine, active_down_interval
from .model_check import Found, Invariant, check, replaced

STEP, INTERVAL = 25.0, 100.0  # ms; ranks are such that each Skew_Time is a whole number of steps
RANKS = (192, 128, 64)
FAR = 500.0  # ms: what lies further back makes no difference
LIVE, DOWN, STILL = "live", "down", "still"


class MachineState(NamedTuple):
    """A machine, with moments relative to now."""

    state: str
    priority: int
    sender_interval: float
    due: float
    seen: float
    barred: bool
    preempt_at: float


class Advertisement(NamedTuple):
    """One in flight."""

    sender: int
    target: int
    priority: int
    delayed: bool


class AddressState(NamedTuple):
    """The state of all dispatchers and of what lies between them.

    Attributes:
        fares: How each is: LIVE, DOWN or STILL.
        faults: How many may still happen.
        calm: Steps since anything last went wrong.
        unheld: For how many steps each has lived with the address unheld.
        seen: What was seen to break in the last step.
    """

    machines: tuple[MachineState, ...]
    fares: tuple[str, ...]
    flight: tuple[Advertisement, ...]
    faults: int
    calm: int
    unheld: tuple[int, ...]
    seen: str


class Turn(NamedTuple):
    """A fault of one dispatcher, or its end. spent: whether it is one that makes things worse."""

    label: str
    fare: str
    machine: MachineState
    spent: bool = False


class StepResult(NamedTuple):
    """What a step of time gives: `seen` as in AddressState."""

    machines: tuple[MachineState, ...]
    flight: tuple[Advertisement, ...]
    seen: str


def frozen(machine: StateMachine, now: float) -> MachineState:
    """A machine's state, relative to now."""

    def ago(moment: float) -> float:
        return moment if moment in (NEVER, -NEVER) else max(-FAR, moment - now)

    return MachineState(
        machine.state.value,
        machine.priority,
        machine.sender_interval,
        ago(machine.due),
        ago(machine.seen),
        machine.awaiting_sync,
        ago(machine.preempt_at),
    )


def fresh(kind: type[StateMachine], place: int) -> StateMachine:
    """A machine that has not started yet."""
    return kind(GroupSettings(1, RANKS[place], INTERVAL, ip_address(f"127.0.0.{place + 1}")))


def thawed(kind: type[StateMachine], place: int, snapshot: MachineState) -> StateMachine:
    """The machine of that state, at time 0."""
    machine = fresh(kind, place)
    machine.state = State(snapshot.state)
    machine.priority, machine.sender_interval = snapshot.priority, snapshot.sender_interval
    machine.due, machine.seen = snapshot.due, snapshot.seen
    machine.awaiting_sync, machine.preempt_at = snapshot.barred, snapshot.preempt_at
    return machine


class TimeStep:
    """One step of time: what arrives is heard first, then timers. What they send arrives a step later."""

    def __init__(self, kind: type[StateMachine], state: AddressState) -> None:
        self.fares = state.fares
        self.machines = [thawed(kind, place, machine) for place, machine in enumerate(state.machines)]
        both = zip(state.fares, self.machines, strict=True)
        self.active = [fare == LIVE and machine.state is State.ACTIVE for fare, machine in both]
        self.silence = [STEP - machine.seen for machine in self.machines]
        self.flight: list[Advertisement] = []
        self.takers: list[int] = []
        self.seen = ""

    def run(self, flight: tuple[Advertisement, ...], fates: tuple[str, ...]) -> StepResult:
        """fates: what becomes of each advertisement in flight: taken, lost, late or twice."""
        for each, fate in zip(flight, fates, strict=True):
            self.arrive(each, fate)
        for place, machine in enumerate(self.machines):
            if self.fares[place] == LIVE and machine.due <= STEP:
                self.carry_out(place, machine.tick(STEP))
        if len(self.takers) > 1:
            self.seen = "two at once"
        machines = tuple(frozen(machine, STEP) for machine in self.machines)
        return StepResult(machines, tuple(sorted(set(self.flight))), self.seen)

    def arrive(self, each: Advertisement, fate: str) -> None:
        """One advertisement meets its fate."""
        sender, target, priority, _ = each
        if fate in ("late", "twice"):
            self.flight.append(Advertisement(sender, target, priority, True))
        if fate in ("taken", "twice") and self.fares[target] == LIVE:
            address = ip_address(f"127.0.0.{sender + 1}")
            self.carry_out(target, self.machines[target].advert_received(STEP, priority, INTERVAL, address))

    def carry_out(self, place: int, acts: list[Action]) -> None:
        """What a machine has decided."""
        for act in acts:
            if act is Action.ADVERTISE:
                self.advertise(place, self.machines[place].priority)
            elif act is Action.RESIGN:
                self.advertise(place, 0)
            elif act is Action.TAKE and not self.active[place]:
                self.take(place)

    def advertise(self, place: int, priority: int) -> None:
        """To all others."""
        others = (other for other in range(len(self.machines)) if other != place)
        self.flight.extend(Advertisement(place, other, priority, False) for other in others)

    def take(self, place: int) -> None:
        """One takes the address. If its timer ran out although it heard an Active one, that is a
        preemption."""
        self.takers.append(place)
        heard = self.silence[place] < 2 * INTERVAL and any(replaced(tuple(self.active), place, False))
        if self.machines[place].awaiting_sync and heard:
            self.seen = "barred"


class AddressModel:
    """Dispatchers, their advertisements in flight, and what may go wrong.

    Args:
        count: Dispatchers, at most as many as RANKS.
        kind: The machine that is checked.
        faults: How many may happen.
        loss: Whether advertisements may be lost, late or repeated.
        pause: Whether a dispatcher may stand still.
    """

    def __init__(
        self,
        count: int,
        kind: type[StateMachine] = StateMachine,
        faults: int = 1,
        loss: bool = True,
        pause: bool = True,
    ) -> None:
        self.count, self.kind, self.faults, self.loss, self.pause = count, kind, faults, loss, pause
        lowest = RANKS[count - 1]
        # Until the last Backup has waited its time out, and one preemption after it.
        self.bound = int((active_down_interval(lowest, INTERVAL) + 2 * INTERVAL) / STEP) + 2
        self.heals = 2 * self.bound

    def initial(self) -> AddressState:
        """The first has just said that it is Active, and the others have heard it."""
        machines = []
        for place in range(self.count):
            machine = fresh(self.kind, place)
            machine.start(0.0)
            if place == 0:
                machine.become_active(0.0, "settled")
            else:
                machine.advert_received(0.0, RANKS[0], INTERVAL, ip_address("127.0.0.1"))
            machines.append(frozen(machine, 0.0))
        unheld = (0,) * self.count
        return AddressState(tuple(machines), (LIVE,) * self.count, (), self.faults, 0, unheld, "")

    def steps(self, state: AddressState) -> Iterator[tuple[str, AddressState]]:
        """All that can happen next."""
        if state.faults:
            yield from self.faulty(state)
        for fates in product(*(self.fates(each) for each in state.flight)):
            yield "step " + " ".join(fates), self.after_time(state, fates)

    def fates(self, each: Advertisement) -> tuple[str, ...]:
        """What may become of an advertisement; one that is late comes or is lost."""
        if not self.loss:
            return ("taken",)
        return ("taken", "lost") if each.delayed else ("taken", "lost", "late", "twice")

    def after_time(self, state: AddressState, fates: tuple[str, ...]) -> AddressState:
        """The state a step of time on."""
        machines, flight, seen = TimeStep(self.kind, state).run(state.flight, fates)
        both = zip(machines, state.fares, strict=True)
        held = any(fare == LIVE and machine.state == "active" for machine, fare in both)
        calm = 0 if any(fate != "taken" for fate in fates) else min(self.heals, state.calm + 1)
        unheld = tuple(
            0 if held or fare != LIVE else min(self.bound + 1, steps + 1)
            for fare, steps in zip(state.fares, state.unheld, strict=True)
        )
        return AddressState(machines, state.fares, flight, state.faults, calm, unheld, seen)

    def faulty(self, state: AddressState) -> Iterator[tuple[str, AddressState]]:
        """All faults that may happen next."""
        away = any(fare != LIVE for fare in state.fares)
        for place in range(self.count):
            for turn in self.turns(state, place):
                if turn.spent and state.faults < 2 and away:
                    continue  # the last fault left is for who is away to come back
                after = state._replace(
                    machines=replaced(state.machines, place, turn.machine),
                    fares=replaced(state.fares, place, turn.fare),
                    faults=state.faults - 1,
                    calm=0,
                    unheld=replaced(state.unheld, place, 0),
                    seen="",
                )
                yield turn.label, after

    def turns(self, state: AddressState, place: int) -> Iterator[Turn]:
        """What may befall one dispatcher."""
        fare, snapshot = state.fares[place], state.machines[place]
        if fare == LIVE:
            yield Turn(f"crash {place}", DOWN, snapshot, spent=True)
            if self.pause:
                yield Turn(f"pause {place}", STILL, snapshot, spent=True)
            if snapshot.barred:
                machine = thawed(self.kind, place, snapshot)
                machine.end_sync_wait()
                yield Turn(f"list {place}", LIVE, frozen(machine, 0.0))
        elif fare == STILL:
            yield Turn(f"resume {place}", LIVE, snapshot)
        else:
            machine = fresh(self.kind, place)
            machine.start(0.0, awaiting_sync=True)
            yield Turn(f"return {place}", LIVE, frozen(machine, 0.0))

    @staticmethod
    def holders(state: dict[str, Any]) -> int:
        """How many that live hold the address."""
        both = zip(state["machines"], state["fares"], strict=True)
        return sum(machine.state == "active" for machine, fare in both if fare == LIVE)

    def check(self, name: str, most: int) -> Found:
        """Search up to so many states."""
        invariants: dict[str, Invariant] = {
            "one holder once all arrives": lambda state: (
                state["calm"] < self.heals or LIVE not in state["fares"] or self.holders(state) == 1
            ),
            "never unheld for longer than the bound": lambda state: max(state["unheld"]) <= self.bound,
            "no preemption without a list": lambda state: state["seen"] != "barred",
        }
        if not self.loss and self.faults == 1:  # one that starts meanwhile may time out at the same moment
            invariants["no two take it at once"] = lambda state: state["seen"] != "two at once"
        return check(name, AddressState._fields, self.initial(), self.steps, invariants, most)


def check_address(
    name: str, count: int, kind: type[StateMachine], faults: int, loss: bool, pause: bool, most: int
) -> Found:
    """One check of the address, as AddressModel describes it."""
    return AddressModel(count, kind, faults, loss, pause).check(name, most)


# Faults planted in the machine: each must be found.


class NoSkew(StateMachine):
    """All Backups wait alike."""

    def heard_in_backup(self, now: float, priority: int, interval: float) -> None:
        super().heard_in_backup(now, priority, interval)
        if priority >= self.priority:
            self.due = now + 3 * interval


class NoBar(StateMachine):
    """Takes its address back without a list."""

    def may_preempt(self, now: float) -> bool:
        self.awaiting_sync = False
        try:
            return super().may_preempt(now)
        finally:
            self.awaiting_sync = True


class NeverGivesWay(StateMachine):
    """An Active one that hears a higher priority goes on."""

    def advert_received(self, now: float, priority: int, interval: float, sender: Any) -> list[Action]:
        if self.state is State.ACTIVE:
            return []
        return super().advert_received(now, priority, interval, sender)


class DeafTimer(StateMachine):
    """Any datagram, also of priority 0 or lower, puts its timer off for long."""

    def heard_in_backup(self, now: float, priority: int, interval: float) -> None:
        self.due = now + 10 * active_down_interval(self.priority, interval)
