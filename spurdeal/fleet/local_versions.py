"""Versions of the local program, configuration and keys, and the settings shared by the fleet."""

from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING

from ..vrrp.sealed import Keys
from .fleet import SharedSettings
from .versions import Version, digest_of

if TYPE_CHECKING:
    from ..settings.installation import FleetSection, Installation


def program_version() -> Version:
    """The version of the program: the digest of its source files on disk."""
    root = Path(__file__).parent.parent
    parts = [
        part
        for file in sorted(root.rglob("*.py"))
        for part in (str(file.relative_to(root)).encode(), file.read_bytes())
    ]
    return Version(0, 0, digest_of(*parts))


def configuration_version(configuration: bytes, plan: Installation) -> Version:
    """The version of the settings that all dispatchers of a fleet share.

    They come from the JSON configuration and the operator's settings file.
    Settings of a single dispatcher, such as names and addresses, are left out.
    """
    assert plan.fleet is not None
    settings = dict(json.loads(configuration).get("settings", {}))
    settings.pop("index", None)
    not_shared = {"listen", "advertise", "keys", "seeds", "audit", "clock_file"}
    shared = plan.fleet.model_dump(mode="json", exclude=not_shared)
    return Version(0, plan.fleet.revision, digest_of(json.dumps([settings, shared], sort_keys=True).encode()))


def keys_version(keys: Keys) -> Version:
    """The version of the keys in use; it reveals nothing about them.

    The signing key's id is the number, so a new signing key needs a higher id: versions never go back.
    """
    return Version(
        0,
        keys.signing_key_id,
        digest_of(
            *[bytes([ident]) + keys.authentication_tag(ident, b"fleet") for ident in sorted(keys.keys)]
        ),
    )


def shared_settings(section: FleetSection) -> SharedSettings:
    """The settings that all members share."""
    return SharedSettings(
        section.period,
        section.lease,
        section.part,
        section.forget,
        section.behind_for,
        section.shut_after,
        section.most_shut,
        section.clock_off,
    )
