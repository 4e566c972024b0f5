"""The versions of what this dispatcher has at hand: program, configuration, keys; and the shared settings."""

from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING

from ..vrrp.sealed import Keys
from .fleet import Terms
from .versions import Version, digest_of

if TYPE_CHECKING:
    from ..settings.installation import FleetSection, Installation


def program() -> Version:
    """The program as it stands on the disk: the digest of its sources."""
    root = Path(__file__).parent.parent
    parts = [
        part
        for file in sorted(root.rglob("*.py"))
        for part in (str(file.relative_to(root)).encode(), file.read_bytes())
    ]
    return Version(0, 0, digest_of(*parts))


def configured(configuration: bytes, plan: Installation) -> Version:
    """The version of what all dispatchers of a fleet share of configuration and operator's file.

    Their own names and places are left out.
    """
    assert plan.fleet is not None
    settings = dict(json.loads(configuration).get("settings", {}))
    settings.pop("index", None)
    own = {"listen", "advertise", "keys", "seeds", "audit", "clock_file"}
    shared = plan.fleet.model_dump(mode="json", exclude=own)
    return Version(0, plan.fleet.revision, digest_of(json.dumps([settings, shared], sort_keys=True).encode()))


def keyed(keys: Keys) -> Version:
    """Which keys are in use; nothing can be learnt of them from it."""
    return Version(
        0,
        keys.sealing,
        digest_of(*[bytes([ident]) + keys.seal(ident, b"fleet") for ident in sorted(keys.keys)]),
    )


def terms_of(part: FleetSection) -> Terms:
    """The settings that all members share."""
    return Terms(
        part.period,
        part.lease,
        part.part,
        part.forget,
        part.behind_for,
        part.shut_after,
        part.most_shut,
        part.clock_off,
    )
