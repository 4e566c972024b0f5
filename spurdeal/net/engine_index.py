"""Names of engines, locations and kinds as the small numbers that the rules know them by."""

from __future__ import annotations

from collections.abc import Sequence
from itertools import count

from ..interface import ListedEngine
from .engine_list import Endpoint


class EngineIndex:
    """A number for each engine of the list, never used again, and for each location and kind.

    Attributes:
        places: By an engine's id, its number.
    """

    def __init__(self, zones: Sequence[str], kinds: Sequence[str]) -> None:
        self.zones, self.kinds = list(zones), list(kinds)
        self.places: dict[str, int] = {}
        self.next_place = count()

    def place_of(self, ident: str) -> int:
        """The number of an engine; a new one gets the next."""
        if ident not in self.places:
            self.places[ident] = next(self.next_place)
        return self.places[ident]

    def forget(self, ident: str) -> None:
        """An engine is gone."""
        del self.places[ident]

    def line(self, ident: str, endpoint: Endpoint) -> ListedEngine:
        """What the rules are told of an engine of the list."""
        return ListedEngine(
            self.place_of(ident),
            number_of(self.zones, endpoint.zone),
            number_of(self.kinds, endpoint.kind),
            endpoint.cell,
            endpoint.life,
            endpoint.weight,
            endpoint.started,
        )


def number_of(names: list[str], name: str) -> int:
    """The place of a name in a list; one that the settings do not name is added to it."""
    if name not in names:
        names.append(name)
    return names.index(name)
