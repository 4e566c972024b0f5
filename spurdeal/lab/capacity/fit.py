"""Least-squares fits of scaling laws to a measured quantity.

Relative errors are squared: with absolute errors, a series from 0.3 to 20 ms would be fitted to its last
value alone, and the residual would say nothing about the others.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import StrEnum

MIN_SIZES = 4


class Form(StrEnum):
    """The forms of growth of a quantity with the size n."""

    LOG = "a + b*log n"
    LINEAR = "a + b*n"
    LOG_LINEAR = "a + b*n*log n"
    QUADRATIC = "a + b*n^2"


GROWTH: dict[Form, Callable[[float], float]] = {
    Form.LOG: math.log,
    Form.LINEAR: lambda size: size,
    Form.LOG_LINEAR: lambda size: size * math.log(size),
    Form.QUADRATIC: lambda size: size * size,
}


class UnusableSeries(ValueError):
    """Raised for sizes and values to which no scaling law can be fitted."""


@dataclass(frozen=True, slots=True)
class ScalingLaw:
    """A fitted form: its constant a, its factor b and the root mean square of its relative errors."""

    form: Form
    constant: float
    factor: float
    residual: float

    def value_at(self, size: float) -> float:
        """Return the value at a size."""
        return self.constant + self.factor * GROWTH[self.form](size)

    def formula(self) -> str:
        """Return the formula with its fitted coefficients, for display."""
        growth = self.form.value.removeprefix("a + b*")
        return f"{self.constant:.4g} {'-' if self.factor < 0 else '+'} {abs(self.factor):.4g}*{growth}"


def check_series(sizes: Sequence[float], values: Sequence[float]) -> None:
    """Raise UnusableSeries if no scaling law can be fitted to the series."""
    if len(sizes) != len(values):
        raise UnusableSeries(f"{len(sizes)} sizes and {len(values)} values")
    if len(set(sizes)) < MIN_SIZES:
        raise UnusableSeries(f"{len(set(sizes))} distinct sizes; at least {MIN_SIZES} are needed")
    if min(sizes) < 1 or not all(math.isfinite(value) and value > 0 for value in values):
        raise UnusableSeries("sizes must be at least 1, values positive and finite")


def fit(form: Form, sizes: Sequence[float], values: Sequence[float]) -> ScalingLaw:
    """Return the scaling law of this form with the least sum of squared relative errors."""
    check_series(sizes, values)
    weights = [1 / value**2 for value in values]
    growths = [GROWTH[form](size) for size in sizes]
    total = sum(weights)
    mean_growth = weighted_sum(weights, growths) / total
    mean_value = weighted_sum(weights, values) / total
    growth_offsets = [growth - mean_growth for growth in growths]
    value_offsets = [value - mean_value for value in values]
    products = [g * v for g, v in zip(growth_offsets, value_offsets, strict=True)]
    factor = weighted_sum(weights, products) / weighted_sum(weights, [g * g for g in growth_offsets])
    constant = mean_value - factor * mean_growth
    errors = [(constant + factor * growth) / value - 1 for growth, value in zip(growths, values, strict=True)]
    return ScalingLaw(form, constant, factor, math.sqrt(sum(error * error for error in errors) / len(errors)))


def best_fit(sizes: Sequence[float], values: Sequence[float]) -> ScalingLaw:
    """Return the scaling law with the least residual over all forms, for a quantity of unknown form."""
    return min((fit(form, sizes, values) for form in Form), key=lambda law: law.residual)


def weighted_sum(weights: Sequence[float], values: Sequence[float]) -> float:
    """Return the sum of the values, each multiplied by its weight."""
    return sum(weight * value for weight, value in zip(weights, values, strict=True))
