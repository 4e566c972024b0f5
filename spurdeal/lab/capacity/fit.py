"""Least-squares fits of a measured quantity against a size, on a form that is named beforehand.

The squares are of relative errors: a series from 0.3 to 20 ms would otherwise be fitted to its last value
alone, and its residual would say nothing about the others."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import StrEnum

LEAST_SIZES = 4


class Form(StrEnum):
    """How a quantity may grow with the size n."""

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
    """Sizes and values that no line can be fitted to; the text says why."""


@dataclass(frozen=True, slots=True)
class Slope:
    """A fitted form: its constant a, its factor b and the root mean square of its relative errors."""

    form: Form
    constant: float
    factor: float
    residual: float

    def at(self, size: float) -> float:
        """The value that the form gives at a size."""
        return self.constant + self.factor * GROWTH[self.form](size)

    def words(self) -> str:
        """The fitted form with its figures, for people."""
        growth = self.form.value.removeprefix("a + b*")
        return f"{self.constant:.4g} {'-' if self.factor < 0 else '+'} {abs(self.factor):.4g}*{growth}"


def checked(sizes: Sequence[float], values: Sequence[float]) -> None:
    """Raises UnusableSeries for what cannot be fitted."""
    if len(sizes) != len(values):
        raise UnusableSeries(f"{len(sizes)} sizes and {len(values)} values")
    if len(set(sizes)) < LEAST_SIZES:
        raise UnusableSeries(f"{len(set(sizes))} different sizes; {LEAST_SIZES} are needed")
    if min(sizes) < 1 or not all(math.isfinite(value) and value > 0 for value in values):
        raise UnusableSeries("sizes must be 1 or more, values positive and finite")


def fit(form: Form, sizes: Sequence[float], values: Sequence[float]) -> Slope:
    """The a and b of a form that make the sum of squared relative errors least."""
    checked(sizes, values)
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
    return Slope(form, constant, factor, math.sqrt(sum(error * error for error in errors) / len(errors)))


def best_fit(sizes: Sequence[float], values: Sequence[float]) -> Slope:
    """The form whose residual is least, where none is known beforehand."""
    return min((fit(form, sizes, values) for form in Form), key=lambda slope: slope.residual)


def weighted_sum(weights: Sequence[float], values: Sequence[float]) -> float:
    """The sum of values, each times its weight."""
    return sum(weight * value for weight, value in zip(weights, values, strict=True))
