"""The results of a section: quantities measured at several sizes, and the roles that they belong to."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from .fit import Form, ScalingLaw, best_fit, fit


class Measure(StrEnum):
    """The three quantities of a role; the value is the JSON key."""

    CPU = "cpu_us"
    BYTES = "bytes_per_s"
    MEMORY = "memory_kb"


@dataclass(frozen=True, slots=True)
class Sample:
    """A measured value: the median of the repetitions, and their range relative to the median."""

    value: float
    spread: float = 0.0


@dataclass(frozen=True, slots=True)
class Quantity:
    """A quantity measured at several sizes.

    The law is fitted without the last size, which checks the extrapolation.
    """

    measure: Measure
    unit: str
    sizes: tuple[int, ...]
    samples: tuple[Sample, ...]
    law: ScalingLaw
    design_size: int
    budget: float | None = None

    @property
    def predicted(self) -> float:
        """The value of the law at the last size."""
        return self.law.value_at(self.sizes[-1])

    @property
    def measured(self) -> float:
        """The value measured at the last size."""
        return self.samples[-1].value

    @property
    def at_size(self) -> float:
        """The value at the design size: measured if that size was run, else extrapolated."""
        if self.design_size in self.sizes:
            return self.samples[self.sizes.index(self.design_size)].value
        return self.law.value_at(self.design_size)

    @property
    def ratio(self) -> float | None:
        """The value at the design size divided by its budget; None without a budget."""
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
    """Fit all sizes but the last, with this form or, if it is None, with the one that fits best."""
    fitted, values = sizes[:-1], [sample.value for sample in samples[:-1]]
    law = best_fit(fitted, values) if form is None else fit(form, fitted, values)
    return Quantity(measure, unit, tuple(sizes), tuple(samples), law, design_size, budget)


@dataclass(frozen=True, slots=True)
class Limit:
    """A hard limit in the code on a role's size.

    Attributes:
        name: What is limited.
        holds: The limit.
        needed: The number that the design needs.
    """

    name: str
    holds: int
    needed: int

    @property
    def ratio(self) -> float:
        """The number needed divided by the limit."""
        return self.needed / self.holds


@dataclass(frozen=True, slots=True)
class Role:
    """A role of the design: a job that some part of the system has to do.

    Attributes:
        name: The role.
        counts: What the sizes count.
        mechanism: The code that implements the role; empty if nothing does.
        state: The state that it keeps.
        messages: The messages that it sends.
        quantities: The measured quantities.
        limits: Hard limits in the code.
        notes: Remarks on the figures.
    """

    name: str
    counts: str
    mechanism: str
    state: str
    messages: str
    quantities: tuple[Quantity, ...] = ()
    limits: tuple[Limit, ...] = ()
    notes: tuple[str, ...] = ()

    def worst(self) -> tuple[float, str]:
        """Return the greatest ratio of a figure to its budget or limit, and the name of that figure."""
        ratios = [(ratio, each.unit) for each in self.quantities if (ratio := each.ratio) is not None]
        ratios += [(each.ratio, each.name) for each in self.limits]
        return max(ratios, default=(0.0, "no budget"))

    def verdict(self) -> str:
        """Return whether the role fits its budgets and limits, or how far it exceeds them."""
        if not self.mechanism:
            return "no mechanism"
        ratio, which = self.worst()
        if not ratio:
            return "no budget stated"
        if ratio <= 1:
            return f"fits ({ratio:.2f} of {which})"
        return f"{ratio:.3g} times over ({which})"

    def to_json(self) -> dict[str, Any]:
        """Return the role as a JSON object."""
        by_measure = {each.measure.value: each for each in self.quantities}
        return {
            "counts": self.counts,
            "mechanism": self.mechanism,
            "state": self.state,
            "messages": self.messages,
            "sizes": list(self.quantities[0].sizes) if self.quantities else [],
            **{each.value: rounded_values(by_measure.get(each.value)) for each in Measure},
            "units": {key: each.unit for key, each in by_measure.items()},
            "spread": {
                key: round(max(sample.spread for sample in each.samples), 3)
                for key, each in by_measure.items()
            },
            "fit": {key: each.law.formula() for key, each in by_measure.items()},
            "residual": {key: round(each.law.residual, 4) for key, each in by_measure.items()},
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


def rounded_values(measured: Quantity | None) -> list[float]:
    """Return the measured values; none if the role has no such quantity."""
    return [] if measured is None else [rounded(sample.value) for sample in measured.samples]


def rounded(value: float) -> float:
    """Round to four significant digits, which is finer than the spread of any measurement."""
    return float(f"{value:.4g}")
