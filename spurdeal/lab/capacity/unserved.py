"""The roles of the design that nothing implements; their verdict needs no measurement."""

from __future__ import annotations

from . import design
from .records import Role

UNSERVED = (
    Role(
        "configuration",
        "",
        "",
        "versions are compared between members (spurdeal/fleet/versions.py), contents never handed over",
        f"{design.CONFIGURATION_CHANGES_PER_DAY} changes a day would be {design.CHANGES_PER_S:.3f} a second",
        notes=(
            "each dispatcher reads a file of its own at SIGHUP; the bound of 18 s has nothing to carry it",
        ),
    ),
    Role(
        "change of primary",
        "",
        "",
        "none: no engine is known as a primary",
        "an engine's role is not in the list of engines",
        notes=("see the question below",),
    ),
    Role(
        "control machines",
        "",
        "",
        f"nothing of ours runs on the {design.CONTROL_MACHINES}",
        "the name service alone is asked, by each dispatcher for itself",
        notes=("how many may be down cannot be said: losing all changes nothing but the name service",),
    ),
    Role(
        "edges of regions and zones",
        "",
        "",
        "a zone is a name in the list (`ListedEngine.zone`); a region is not known",
        "members probe each other regardless of zone and region",
        notes=(
            "only a workload's allowed zones are kept to, by Dispatcher.eligible_engines, spurdeal/rules.py",
        ),
    ),
)
