"""Breadth-first model checking of safety properties with `minicheck`: counterexamples are shortest traces."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, Generic, NamedTuple, TypeVar

from minicheck import Protocol, check_safety

State = TypeVar("State", bound=tuple[Any, ...])
Steps = Callable[[State], Iterator[tuple[str, State]]]
Invariant = Callable[[dict[str, Any]], bool]


class CheckResult(NamedTuple):
    """The result of one check.

    Attributes:
        name: Of the check.
        states: Number of distinct states visited.
        depth: Steps from the initial state to the furthest one.
        exhaustive: Whether all reachable states were visited.
        violated: Names of the invariants that do not hold.
        trace: Labels of the steps from the initial state to the first violation.
    """

    name: str
    states: int
    depth: int
    exhaustive: bool
    violated: tuple[str, ...]
    trace: tuple[str, ...]


class Search(Generic[State]):
    """Wraps a model's steps and invariants, to end the search at the first violation and to record depths."""

    def __init__(self, initial: State, steps: Steps[State], invariants: dict[str, Invariant]) -> None:
        self.steps, self.invariants = steps, invariants
        self.depths = {initial: 0}
        self.violated = False

    def transitions(self, state: State) -> list[tuple[str, State]]:
        """All labelled successors of a state; none once an invariant is violated, which ends the search."""
        if self.violated:
            return []
        after = list(self.steps(state))
        for _, each in after:
            self.depths.setdefault(each, self.depths[state] + 1)
        return after

    def tracked(self, invariant: str) -> Invariant:
        """The invariant of that name, wrapped to record its violation."""

        def holds(state: dict[str, Any]) -> bool:
            if self.invariants[invariant](state):
                return True
            self.violated = True
            return False

        return holds


def replace_at(values: tuple[Any, ...], index: int, value: Any) -> tuple[Any, ...]:
    """Return a copy of a tuple with the value at one index replaced."""
    return (*values[:index], value, *values[index + 1 :])


def check(
    name: str,
    fields: tuple[str, ...],
    initial: State,
    steps: Steps[State],
    invariants: dict[str, Invariant],
    max_states: int,
) -> CheckResult:
    """Search breadth first up to the first violation, whose trace is a shortest one.

    Args:
        name: Of the model, in the report.
        fields: Names of a state's fields; invariants get a state as a dictionary with these keys.
        initial: The initial state.
        steps: Yields the labelled successors of a state.
        invariants: Predicates that must hold in every state, by name.
        max_states: Number of states at which the search ends even if more are reachable.
    """
    search = Search(initial, steps, invariants)
    model = Protocol(
        name=name,
        candidate=False,
        fields=fields,
        initial=initial,
        transitions=search.transitions,
        invariants={invariant: search.tracked(invariant) for invariant in invariants},
    )
    result = check_safety(model, max_states=max_states)
    properties = result["properties"]
    violated = tuple(invariant for invariant, outcome in properties.items() if outcome["holds"] is False)
    trace = tuple(
        str(step["label"])
        for invariant in violated[:1]
        for step in properties[invariant]["counterexample"][1:]
    )
    exhaustive = bool(result["exhaustive"]) and not violated
    depth = max(search.depths.values())
    return CheckResult(name, int(result["reachable_states"]), depth, exhaustive, violated, trace)
