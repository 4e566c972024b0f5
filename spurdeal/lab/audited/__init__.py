"""Experiment that checks the fleet's audit logs and the restrictions on members with outdated lists.

Many real processes run under load while faults are injected. A baseline run has the same faults, drawn from
the same seed, without the fleet. The fleet's modules also run in virtual time, with more dispatchers than a
machine can run as processes, and in the model.
"""

from .report import figures

__all__ = ["figures"]
