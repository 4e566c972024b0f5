"""Percentiles of measured values for the laboratory's figures."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram

MAX_VALUE = 600_000  # in tenths of a ms
DIGITS = 3  # significant digits of the histogram


def spread(values: list[float]) -> dict[str, float]:
    """Count, p50, p99 and maximum of values in ms, rounded to a tenth; empty without values."""
    if not values:
        return {}
    histogram = HdrHistogram(1, MAX_VALUE, DIGITS)
    for value in values:
        histogram.record_value(max(1, round(value * 10)))
    return {
        "count": len(values),
        "p50": histogram.get_value_at_percentile(50) / 10,
        "p99": histogram.get_value_at_percentile(99) / 10,
        "max": round(max(values), 1),
    }
