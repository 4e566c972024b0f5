"""Durations as operators write them, with a unit: a bare number is an error, since nobody knows its unit."""

import re
from typing import Annotated

from pydantic import BeforeValidator

UNITS = {"ms": 1.0, "s": 1000.0, "min": 60_000.0, "h": 3_600_000.0}
DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?) ?(ms|s|min|h)")


def milliseconds(text: object) -> float:
    """Ms of "250ms", "1.5s", "2 min" or "1h"; ValueError for anything else."""
    match = DURATION.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise ValueError(f"{text!r} is no duration: a number and one of {', '.join(UNITS)}, as 250ms")
    return float(match[1]) * UNITS[match[2]]


Duration = Annotated[float, BeforeValidator(milliseconds)]
