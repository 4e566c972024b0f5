"""Durations in the settings file. A number without a unit would be ambiguous, hence it is an error."""

import re
from typing import Annotated

from pydantic import BeforeValidator

UNITS = {"ms": 1.0, "s": 1000.0, "min": 60_000.0, "h": 3_600_000.0}
DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?) ?(ms|s|min|h)")


def milliseconds(text: object) -> float:
    """Convert a duration such as "250ms", "1.5s", "2 min" or "1h" to ms.

    Raises:
        ValueError: The text is not a number with one of these units.
    """
    match = DURATION.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise ValueError(f"{text!r} is no duration: a number and one of {', '.join(UNITS)}, as 250ms")
    return float(match[1]) * UNITS[match[2]]


Duration = Annotated[float, BeforeValidator(milliseconds)]
