"""What a section hands in: quantities measured over sizes, and the role that they belong to."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from .fit import Form, Slope, best_fit, fit


class Measure(StrEnum):
    """The three quantities of a role; the value is the JSON key."""

    CPU = "cpu_us"
    BYTES = "bytes_per_s"
    MEMORY = "memory_kb"


@dataclass(frozen=True, slots=True)
class Sample:
    """One measured value: the median of several tries, and how far they lie apart, over the median."""

    value: float
    spread: float = 0.0


@dataclass(frozen=True, slots=True)
class Quantity:
    """One quantity over the sizes. The last size lies beyond the fitted range and checks the fit."""

    measure: Measure
    unit: str
    sizes: tuple[int, ...]
    samples: tuple[Sample, ...]
    slope: Slope
    design_size: int
    budget: float | None = None

    @property
    def predicted(self) -> float:
        """What the fit gives at the size beyond its range."""
        return self.slope.at(self.sizes[-1])

    @property
    def measured(self) -> float:
        """What was measured there."""
        return self.samples[-1].value

    @property
    def at_size(self) -> float:
        """The value at the design size: measured where that size was run, else extrapolated."""
        if self.design_size in self.sizes:
            return self.samples[self.sizes.index(self.design_size)].value
        return self.slope.at(self.design_size)

    @property
    def ratio(self) -> float | None:
        """The value at the design size over its budget; None where there is no budget."""
        return None if self.budget is None else self.at_size / self.budget


def quantity(
    measure: Measure,
    unit: str,
    form: Form | None,
    sizes: Sequence[int],
    samples: Sequence[Sample],
    design_size: int,
    budget: float | None = None,
) -> Quantity:
    """Fits all sizes but the last, on a form or on the one that fits best (None)."""
    fitted, values = sizes[:-1], [sample.value for sample in samples[:-1]]
    slope = best_fit(fitted, values) if form is None else fit(form, fitted, values)
    return Quantity(measure, unit, tuple(sizes), tuple(samples), slope, design_size, budget)


@dataclass(frozen=True, slots=True)
class Limit:
    """A bound in the code that a role meets before its budget."""

    name: str
    holds: int
    needed: int

    @property
    def ratio(self) -> float:
        """What is needed over what the bound allows."""
        return self.needed / self.holds


@dataclass(frozen=True, slots=True)
class Role:
    """One role of the design. `mechanism` is empty where nothing carries it."""

    name: str
    counts: str  # what the sizes count
    mechanism: str
    state: str
    messages: str
    quantities: tuple[Quantity, ...] = ()
    limits: tuple[Limit, ...] = ()
    notes: tuple[str, ...] = ()

    def worst(self) -> tuple[float, str]:
        """The greatest ratio of a figure to its budget or bound, and which it is."""
        ratios = [(found, each.unit) for each in self.quantities if (found := each.ratio) is not None]
        ratios += [(each.ratio, each.name) for each in self.limits]
        return max(ratios, default=(0.0, "no budget"))

    def verdict(self) -> str:
        """Fits, how far over, or that nothing carries it."""
        if not self.mechanism:
            return "no mechanism"
        ratio, which = self.worst()
        if not ratio:
            return "no budget stated"
        if ratio <= 1:
            return f"fits ({ratio:.2f} of {which})"
        return f"{ratio:.3g} times over ({which})"

    def told(self) -> dict[str, Any]:
        """The role as JSON."""
        by_measure = {each.measure.value: each for each in self.quantities}
        return {
            "counts": self.counts,
            "mechanism": self.mechanism,
            "state": self.state,
            "messages": self.messages,
            "sizes": list(self.quantities[0].sizes) if self.quantities else [],
            **{each.value: values_of(by_measure.get(each.value)) for each in Measure},
            "units": {key: each.unit for key, each in by_measure.items()},
            "spread": {
                key: round(max(sample.spread for sample in each.samples), 3)
                for key, each in by_measure.items()
            },
            "fit": {key: each.slope.words() for key, each in by_measure.items()},
            "residual": {key: round(each.slope.residual, 4) for key, each in by_measure.items()},
            "beyond_predicted": {key: rounded(each.predicted) for key, each in by_measure.items()},
            "beyond_measured": {key: rounded(each.measured) for key, each in by_measure.items()},
            "design_size": {key: each.design_size for key, each in by_measure.items()},
            "at_size": {key: rounded(each.at_size) for key, each in by_measure.items()},
            "budget": {
                key: rounded(each.budget) for key, each in by_measure.items() if each.budget is not None
            },
            "limits": [
                {"name": each.name, "holds": each.holds, "needed": each.needed} for each in self.limits
            ],
            "worst_ratio": rounded(self.worst()[0]),
            "verdict": self.verdict(),
            "notes": list(self.notes),
        }


def values_of(found: Quantity | None) -> list[float]:
    """The measured values; none where the role has no such quantity."""
    return [] if found is None else [rounded(sample.value) for sample in found.samples]


def rounded(value: float) -> float:
    """Four significant digits: more than the spread of any measurement bears."""
    return float(f"{value:.4g}")
