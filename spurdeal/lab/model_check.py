"""Breadth-first model checking of safety, by `minicheck`: shortest traces come for free."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, Generic, NamedTuple, TypeVar

from minicheck import Protocol, check_safety

State = TypeVar("State", bound=tuple[Any, ...])
Steps = Callable[[State], Iterator[tuple[str, State]]]
Invariant = Callable[[dict[str, Any]], bool]


class Found(NamedTuple):
    """What one check has seen.

    Attributes:
        states: How many different ones.
        depth: Steps from the first state to the furthest.
        whole: Whether that was all that can be reached.
        violated: Invariants that do not hold.
        trace: Labels of the steps to the first violation.
    """

    name: str
    states: int
    depth: int
    whole: bool
    violated: tuple[str, ...]
    trace: tuple[str, ...]


class Search(Generic[State]):
    """Wraps a model's steps and invariants, so that the search ends at the first violation and knows its
    depth."""

    def __init__(self, initial: State, steps: Steps[State], invariants: dict[str, Invariant]) -> None:
        self.steps, self.invariants = steps, invariants
        self.depths = {initial: 0}
        self.violated = False

    def transitions(self, state: State) -> list[tuple[str, State]]:
        """All steps from a state; none once an invariant is violated."""
        if self.violated:
            return []
        after = list(self.steps(state))
        for _, each in after:
            self.depths.setdefault(each, self.depths[state] + 1)
        return after

    def watched(self, key: str) -> Invariant:
        """That invariant, noting its violation."""

        def holds(state: dict[str, Any]) -> bool:
            if self.invariants[key](state):
                return True
            self.violated = True
            return False

        return holds


def replaced(row: tuple[Any, ...], place: int, value: Any) -> tuple[Any, ...]:
    """A tuple with another value in one place."""
    return (*row[:place], value, *row[place + 1 :])


def check(
    name: str,
    fields: tuple[str, ...],
    initial: State,
    steps: Steps[State],
    invariants: dict[str, Invariant],
    most: int,
) -> Found:
    """Search breadth first, up to the first violation: one is enough, and its trace is a shortest one.

    Args:
        name: Of the model, in its report.
        fields: Names of a state's parts; invariants get them as a dictionary.
        initial: Where the search begins.
        steps: Labels and successors of a state.
        invariants: By name, what holds in every state.
        most: States at which the search ends, though there are more.
    """
    search = Search(initial, steps, invariants)
    model = Protocol(
        name=name,
        candidate=False,
        fields=fields,
        initial=initial,
        transitions=search.transitions,
        invariants={key: search.watched(key) for key in invariants},
    )
    result = check_safety(model, max_states=most)
    properties = result["properties"]
    violated = tuple(key for key, told in properties.items() if told["holds"] is False)
    trace = tuple(
        str(step["label"]) for key in violated[:1] for step in properties[key]["counterexample"][1:]
    )
    whole = bool(result["exhaustive"]) and not violated
    depth = max(search.depths.values())
    return Found(name, int(result["reachable_states"]), depth, whole, violated, trace)
