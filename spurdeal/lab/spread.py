"""How values of one kind spread: percentiles for the laboratory's figures."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram

MAX_VALUE = 600_000  # tenths of a ms
DIGITS = 3  # significant ones that the histogram keeps


def spread(values: list[float]) -> dict[str, float]:
    """The count, p50, p99 and the most of values in ms, to a tenth; empty without values."""
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
