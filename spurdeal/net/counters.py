"""The counters of a dispatcher, and the check of invariants."""

from collections import Counter


class Counters:
    """Sums and maxima by name.

    The names are read by operators, so they keep older terms: a trip is an attempt and a turn is a batch;
    `taken` counts accepted requests, `broken_off` failed ones; `names_*` concern the name server.
    """

    def __init__(self) -> None:
        self.sums: Counter[str] = Counter()

    def add(self, name: str, count: int = 1) -> None:
        """Add to a sum."""
        self.sums[name] += count

    def record_max(self, name: str, value: float) -> None:
        """Raise a maximum to this value, rounded, if it is greater."""
        self.sums[name] = max(self.sums[name], round(value))

    def check_invariant(self, holds: object, what: str) -> bool:
        """Check an invariant: a violation raises in debug mode, and is counted when run with -O.

        Returns:
            Whether it holds.
        """
        if not holds:
            if __debug__:
                raise AssertionError(what)
            self.add("must_" + what)
        return bool(holds)

    def figures(self) -> dict[str, int]:
        """All counters, sorted by name."""
        return dict(sorted(self.sums.items()))
