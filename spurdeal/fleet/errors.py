"""Base class of the fleet package's errors."""


class FleetError(Exception):
    """Base class of all errors that `spurdeal.fleet` raises itself."""
