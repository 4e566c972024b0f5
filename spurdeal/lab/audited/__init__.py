"""The proof of the fleet's audit and of what members that are behind may do.

Many real processes run under load while things go wrong; the same faults by the same seed run beside them
with the subsystem off. The fleet's modules run in virtual time too, at sizes that no machine holds as
processes, and in the model."""

from .report import figures

__all__ = ["figures"]
