"""Maps the names of engines, zones and kinds to the indices that the rules use."""

from __future__ import annotations

from collections.abc import Sequence
from itertools import count

from ..interface import ListedEngine
from .engine_list import Endpoint


class EngineIndex:
    """The indices of the engines of the list, none of which is reused, and of the zones and kinds.

    Attributes:
        indices: By engine id, its index.
    """

    def __init__(self, zones: Sequence[str], kinds: Sequence[str]) -> None:
        self.zones, self.kinds = list(zones), list(kinds)
        self.indices: dict[str, int] = {}
        self.next_index = count()

    def index_of(self, ident: str) -> int:
        """Returns the index of an engine; a new engine gets the next one."""
        if ident not in self.indices:
            self.indices[ident] = next(self.next_index)
        return self.indices[ident]

    def forget(self, ident: str) -> None:
        """Drops an engine that has left the list."""
        del self.indices[ident]

    def to_listed(self, ident: str, endpoint: Endpoint) -> ListedEngine:
        """Converts an engine's endpoint to the form that the rules take."""
        return ListedEngine(
            self.index_of(ident),
            index_of_name(self.zones, endpoint.zone),
            index_of_name(self.kinds, endpoint.kind),
            endpoint.cell,
            endpoint.life,
            endpoint.weight,
            endpoint.started,
        )


def index_of_name(names: list[str], name: str) -> int:
    """Returns the index of a name; appends one that is not in the settings."""
    if name not in names:
        names.append(name)
    return names.index(name)
