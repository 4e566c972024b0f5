"""What a dispatcher counts, and the one helper for what must hold."""

from collections import Counter


class Counters:
    """Sums and greatest values by name."""

    def __init__(self) -> None:
        self.sums: Counter[str] = Counter()

    def add(self, name: str, count: int = 1) -> None:
        self.sums[name] += count

    def record_max(self, name: str, value: float) -> None:
        self.sums[name] = max(self.sums[name], round(value))

    def check_invariant(self, holds: object, what: str) -> bool:
        """What must hold is asserted in debug builds and counted in release builds."""
        if not holds:
            if __debug__:
                raise AssertionError(what)
            self.add("must_" + what)
        return bool(holds)

    def figures(self) -> dict[str, int]:
        return dict(sorted(self.sums.items()))
