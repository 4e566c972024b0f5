"""One member's view of its fleet, as `spurdeal fleet status` and the client interface show it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from .versions import Artifact

if TYPE_CHECKING:
    from .fleet import Fleet


def fleet_status(fleet: Fleet, now: float) -> dict[str, Any]:
    """This member's view of the fleet, ready for JSON. Times are ms."""
    return own_status(fleet, now) | {
        "members": [member_status(fleet, now, name) for name in sorted(fleet.members.others)],
        "clashes": [str(clash) for clash in fleet.registry.clashes.values()],
        "implausible": dict(fleet.registry.implausible),
        "counts": dict(sorted(fleet.counts.items())),
    }


def own_status(fleet: Fleet, now: float) -> dict[str, Any]:
    """The status of the member itself."""
    newest = fleet.registry.newest(Artifact.LIST)
    versions = {
        artifact.name.lower(): str(each) for artifact, each in sorted(fleet.registry.in_force.items())
    }
    return {
        "name": fleet.name,
        "boot": f"{fleet.boot:016x}",
        "why": fleet.tracker.why,
        "standing": fleet.tracker.standing.name.lower(),
        "for_ms": round(now - fleet.tracker.since),
        "lease": fleet.lease.holds(now),
        "term": fleet.lease.term.number,
        "grantors": list(fleet.lease.term.grantors),
        "wardens": list(fleet.lease.term.grantors),  # deprecated: the former name of "grantors"
        "versions": versions,
        "newest_list": str(newest) if newest is not None else None,
        "behind": fleet.registry.behind(),
        "clock_shift_ms": round(fleet.offset_from_peers),
        "size": fleet.members.size(),
        "health": fleet.members.health,
    }


def member_status(fleet: Fleet, now: float, name: str) -> dict[str, Any]:
    """The status of one other member, as known here."""
    record, heard = fleet.members.others[name], fleet.peer_reports.get(name)
    claims = fleet.registry.claims.get(name, {})
    newest = fleet.registry.newest(Artifact.LIST)
    encoded: dict[str, Any] = {
        "name": name,
        "life": record.life.name.lower(),
        "boot": f"{record.boot:016x}",
        "for_ms": round(now - fleet.members.since[name]),
        "at": f"{record.host}:{record.port}",
        "stopped": fleet.stopped(now, name),
    }
    if heard is not None:
        encoded |= {
            "standing": heard.standing.name.lower(),
            "heard_ms_ago": round(now - heard.at),
            "page": heard.page.number if heard.page is not None else None,
        }
    if Artifact.LIST in claims and newest is not None:
        claimed = claims[Artifact.LIST]
        encoded |= {"list": str(claimed), "behind": max(0, newest.number - claimed.number)}
    return encoded
