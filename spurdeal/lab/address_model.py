"""Model of which dispatcher holds the virtual address: VRRP's state machine, advertisements and faults."""

from __future__ import annotations

from collections.abc import Iterator
from ipaddress import ip_address
from itertools import product
from typing import Any, NamedTuple

from ..vrrp.machine import NEVER, Action, GroupSettings, State, StateMachine, active_down_interval
from .model_check import CheckResult, Invariant, check, replace_at

# Milliseconds. The priorities are chosen so that each Skew_Time is a whole number of steps.
STEP, INTERVAL = 25.0, 100.0
PRIORITIES = (192, 128, 64)
MAX_AGE = 500.0  # ms: moments further in the past are treated alike, which keeps the state space finite
LIVE, DOWN, PAUSED = "live", "down", "still"


class MachineState(NamedTuple):
    """A snapshot of a state machine, with times relative to now."""

    state: str
    priority: int
    sender_interval: float
    due: float
    seen: float
    awaiting_sync: bool
    preempt_at: float


class Advertisement(NamedTuple):
    """An advertisement in flight; a `delayed` one was late or repeated already."""

    sender: int
    target: int
    priority: int
    delayed: bool


class AddressState(NamedTuple):
    """The state of all dispatchers and of the advertisements between them.

    Attributes:
        machines: A snapshot of each dispatcher's state machine.
        fares: The status of each dispatcher: LIVE, DOWN or PAUSED.
        flight: Advertisements in flight.
        faults: Number of faults that may still happen.
        calm: Steps since the last fault, loss, delay or repetition.
        unheld: For each dispatcher, the number of steps it has been live while nobody held the address.
        seen: The anomaly observed in the last step, or an empty string.
    """

    machines: tuple[MachineState, ...]
    fares: tuple[str, ...]
    flight: tuple[Advertisement, ...]
    faults: int
    calm: int
    unheld: tuple[int, ...]
    seen: str


class NodeEvent(NamedTuple):
    """A fault of one dispatcher, a recovery or a synchronization; `harmful` marks crashes and pauses."""

    label: str
    status: str
    machine: MachineState
    harmful: bool = False


class StepResult(NamedTuple):
    """The outcome of a time step; `seen` is as in AddressState."""

    machines: tuple[MachineState, ...]
    flight: tuple[Advertisement, ...]
    seen: str


def capture(machine: StateMachine, now: float) -> MachineState:
    """Take a snapshot of a state machine, with times relative to now."""

    def relative(moment: float) -> float:
        return moment if moment in (NEVER, -NEVER) else max(-MAX_AGE, moment - now)

    return MachineState(
        machine.state.value,
        machine.priority,
        machine.sender_interval,
        relative(machine.due),
        relative(machine.seen),
        machine.awaiting_sync,
        relative(machine.preempt_at),
    )


def new_machine(machine_type: type[StateMachine], index: int) -> StateMachine:
    """Create a state machine that has not been started."""
    return machine_type(GroupSettings(1, PRIORITIES[index], INTERVAL, ip_address(f"127.0.0.{index + 1}")))


def restore(machine_type: type[StateMachine], index: int, snapshot: MachineState) -> StateMachine:
    """Create the state machine that a snapshot describes, at time 0."""
    machine = new_machine(machine_type, index)
    machine.state = State(snapshot.state)
    machine.priority, machine.sender_interval = snapshot.priority, snapshot.sender_interval
    machine.due, machine.seen = snapshot.due, snapshot.seen
    machine.awaiting_sync, machine.preempt_at = snapshot.awaiting_sync, snapshot.preempt_at
    return machine


class TimeStep:
    """One step of time: deliveries first, then timers; anything sent in the step arrives one step later."""

    def __init__(self, machine_type: type[StateMachine], state: AddressState) -> None:
        self.fares = state.fares
        self.machines = [
            restore(machine_type, index, machine) for index, machine in enumerate(state.machines)
        ]
        pairs = zip(state.fares, self.machines, strict=True)
        self.active = [status == LIVE and machine.state is State.ACTIVE for status, machine in pairs]
        self.since_advert = [STEP - machine.seen for machine in self.machines]
        self.flight: list[Advertisement] = []
        self.took_address: list[int] = []
        self.seen = ""

    def run(self, flight: tuple[Advertisement, ...], outcomes: tuple[str, ...]) -> StepResult:
        """Run the step; `outcomes` tells for each advertisement in flight: taken, lost, late or twice."""
        for each, outcome in zip(flight, outcomes, strict=True):
            self.deliver(each, outcome)
        for index, machine in enumerate(self.machines):
            if self.fares[index] == LIVE and machine.due <= STEP:
                self.apply_actions(index, machine.tick(STEP))
        if len(self.took_address) > 1:
            self.seen = "two at once"
        machines = tuple(capture(machine, STEP) for machine in self.machines)
        return StepResult(machines, tuple(sorted(set(self.flight))), self.seen)

    def deliver(self, each: Advertisement, outcome: str) -> None:
        """Deliver, delay, repeat or lose one advertisement."""
        sender, target, priority, _ = each
        if outcome in ("late", "twice"):
            self.flight.append(Advertisement(sender, target, priority, True))
        if outcome in ("taken", "twice") and self.fares[target] == LIVE:
            address = ip_address(f"127.0.0.{sender + 1}")
            self.apply_actions(
                target, self.machines[target].advert_received(STEP, priority, INTERVAL, address)
            )

    def apply_actions(self, index: int, actions: list[Action]) -> None:
        """Carry out the actions that a state machine has returned."""
        for action in actions:
            if action is Action.ADVERTISE:
                self.advertise(index, self.machines[index].priority)
            elif action is Action.RESIGN:
                self.advertise(index, 0)
            elif action is Action.TAKE and not self.active[index]:
                self.take_address(index)

    def advertise(self, index: int, priority: int) -> None:
        """Send an advertisement to all other dispatchers."""
        others = (other for other in range(len(self.machines)) if other != index)
        self.flight.extend(Advertisement(index, other, priority, False) for other in others)

    def take_address(self, index: int) -> None:
        """Record that a dispatcher takes the address.

        If it takes it while it still hears an Active dispatcher, this is a preemption, which is not allowed
        before it has synchronized the engine list.
        """
        self.took_address.append(index)
        heard = self.since_advert[index] < 2 * INTERVAL and any(replace_at(tuple(self.active), index, False))
        if self.machines[index].awaiting_sync and heard:
            self.seen = "barred"


class AddressModel:
    """Dispatchers, their advertisements in flight, and the faults that may happen.

    Args:
        count: Number of dispatchers, at most the number of PRIORITIES.
        machine_type: The state machine that is checked.
        faults: Number of faults that may happen.
        loss: Whether advertisements may be lost, delayed or repeated.
        pause: Whether a dispatcher's process may be paused.
    """

    def __init__(
        self,
        count: int,
        machine_type: type[StateMachine] = StateMachine,
        faults: int = 1,
        loss: bool = True,
        pause: bool = True,
    ) -> None:
        self.count, self.machine_type, self.faults, self.loss, self.pause = (
            count,
            machine_type,
            faults,
            loss,
            pause,
        )
        lowest = PRIORITIES[count - 1]
        # Steps until the lowest-priority Backup has timed out, and one preemption after that.
        self.bound = int((active_down_interval(lowest, INTERVAL) + 2 * INTERVAL) / STEP) + 2
        self.recovery_bound = 2 * self.bound

    def initial(self) -> AddressState:
        """The initial state: the first dispatcher is Active, and the others have just heard it."""
        machines = []
        for index in range(self.count):
            machine = new_machine(self.machine_type, index)
            machine.start(0.0)
            if index == 0:
                machine.become_active(0.0, "settled")
            else:
                machine.advert_received(0.0, PRIORITIES[0], INTERVAL, ip_address("127.0.0.1"))
            machines.append(capture(machine, 0.0))
        unheld = (0,) * self.count
        return AddressState(tuple(machines), (LIVE,) * self.count, (), self.faults, 0, unheld, "")

    def steps(self, state: AddressState) -> Iterator[tuple[str, AddressState]]:
        """Yield the labelled successors of a state."""
        if state.faults:
            yield from self.fault_steps(state)
        for outcomes in product(*(self.outcomes(each) for each in state.flight)):
            yield "step " + " ".join(outcomes), self.advance(state, outcomes)

    def outcomes(self, each: Advertisement) -> tuple[str, ...]:
        """The possible outcomes of an advertisement; a delayed one can only be delivered or lost."""
        if not self.loss:
            return ("taken",)
        return ("taken", "lost") if each.delayed else ("taken", "lost", "late", "twice")

    def advance(self, state: AddressState, outcomes: tuple[str, ...]) -> AddressState:
        """The state after one time step."""
        machines, flight, seen = TimeStep(self.machine_type, state).run(state.flight, outcomes)
        pairs = zip(machines, state.fares, strict=True)
        held = any(status == LIVE and machine.state == "active" for machine, status in pairs)
        calm = (
            0 if any(outcome != "taken" for outcome in outcomes) else min(self.recovery_bound, state.calm + 1)
        )
        unheld = tuple(
            0 if held or status != LIVE else min(self.bound + 1, steps + 1)
            for status, steps in zip(state.fares, state.unheld, strict=True)
        )
        return AddressState(machines, state.fares, flight, state.faults, calm, unheld, seen)

    def fault_steps(self, state: AddressState) -> Iterator[tuple[str, AddressState]]:
        """Yield the successors by a fault, a recovery or a synchronization."""
        any_down = any(status != LIVE for status in state.fares)
        for index in range(self.count):
            for event in self.node_events(state, index):
                if event.harmful and state.faults < 2 and any_down:
                    continue  # the last fault is reserved for the recovery of a dispatcher that is down
                after = state._replace(
                    machines=replace_at(state.machines, index, event.machine),
                    fares=replace_at(state.fares, index, event.status),
                    faults=state.faults - 1,
                    calm=0,
                    unheld=replace_at(state.unheld, index, 0),
                    seen="",
                )
                yield event.label, after

    def node_events(self, state: AddressState, index: int) -> Iterator[NodeEvent]:
        """Yield what may happen to one dispatcher."""
        status, snapshot = state.fares[index], state.machines[index]
        if status == LIVE:
            yield NodeEvent(f"crash {index}", DOWN, snapshot, harmful=True)
            if self.pause:
                yield NodeEvent(f"pause {index}", PAUSED, snapshot, harmful=True)
            if snapshot.awaiting_sync:
                machine = restore(self.machine_type, index, snapshot)
                machine.end_sync_wait()
                yield NodeEvent(f"list {index}", LIVE, capture(machine, 0.0))
        elif status == PAUSED:
            yield NodeEvent(f"resume {index}", LIVE, snapshot)
        else:
            machine = new_machine(self.machine_type, index)
            machine.start(0.0, awaiting_sync=True)
            yield NodeEvent(f"return {index}", LIVE, capture(machine, 0.0))

    @staticmethod
    def holders(state: dict[str, Any]) -> int:
        """Number of live dispatchers that hold the address."""
        pairs = zip(state["machines"], state["fares"], strict=True)
        return sum(machine.state == "active" for machine, status in pairs if status == LIVE)

    def check(self, name: str, max_states: int) -> CheckResult:
        """Check the invariants over at most `max_states` states."""
        invariants: dict[str, Invariant] = {
            "one holder once all arrives": lambda state: (
                state["calm"] < self.recovery_bound or LIVE not in state["fares"] or self.holders(state) == 1
            ),
            "never unheld for longer than the bound": lambda state: max(state["unheld"]) <= self.bound,
            "no preemption without a list": lambda state: state["seen"] != "barred",
        }
        # With more faults, a dispatcher that starts meanwhile may time out at the same moment as another.
        if not self.loss and self.faults == 1:
            invariants["no two take it at once"] = lambda state: state["seen"] != "two at once"
        return check(name, AddressState._fields, self.initial(), self.steps, invariants, max_states)


def check_address(
    name: str,
    count: int,
    machine_type: type[StateMachine],
    faults: int,
    loss: bool,
    pause: bool,
    max_states: int,
) -> CheckResult:
    """Run one check of AddressModel with these arguments."""
    return AddressModel(count, machine_type, faults, loss, pause).check(name, max_states)


# Planted faults of the state machine: the checks must find each of them.


class NoSkew(StateMachine):
    """Planted fault: all Backups use the same timeout, without Skew_Time."""

    def heard_in_backup(self, now: float, priority: int, interval: float) -> None:
        """See the base class."""
        super().heard_in_backup(now, priority, interval)
        if priority >= self.priority:
            self.due = now + 3 * interval


class PreemptsWithoutSync(StateMachine):
    """Planted fault: preempts before it has synchronized the engine list."""

    def may_preempt(self, now: float) -> bool:
        """See the base class."""
        self.awaiting_sync = False
        try:
            return super().may_preempt(now)
        finally:
            self.awaiting_sync = True


class IgnoresHigherPriority(StateMachine):
    """Planted fault: an Active dispatcher that hears a higher priority stays Active."""

    def advert_received(self, now: float, priority: int, interval: float, sender: Any) -> list[Action]:
        """See the base class."""
        if self.state is State.ACTIVE:
            return []
        return super().advert_received(now, priority, interval, sender)


class AnyAdvertResetsTimer(StateMachine):
    """Planted fault: any advertisement, even of priority 0 or a lower one, postpones the timer for long."""

    def heard_in_backup(self, now: float, priority: int, interval: float) -> None:
        """See the base class."""
        self.due = now + 10 * active_down_interval(self.priority, interval)
