"""Versions of what a dispatcher acts on, and what other members claim about theirs. Free of I/O and clocks.

Each artifact is written outside the fleet: the engine list by the name service, configuration, program and
keys by operators. Members only copy it. So versions are ordered by what the writer states, generation and
number, and nothing is ever merged. Two contents with one version are a clash: it is reported, and each member
stays on the content that it has.

A claim is a version that a member says it has in force. A version counts as existing only if MIN_CLAIMANTS
members claim it, or our own source reported it (for lists: this dispatcher's name service), so that one
member that invents versions makes nobody count as behind. A claim far ahead of everything seen is ignored.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from enum import IntEnum
from typing import Any, NamedTuple

MIN_CLAIMANTS = 2  # members that must claim a version before it counts as existing
MAX_NUMBER_AHEAD = 10_000  # how far a claimed number may be ahead of ours
MAX_CLASHES = 64
DIGEST = 8  # bytes


class Artifact(IntEnum):
    """What has versions."""

    LIST = 0
    CONFIGURATION = 1
    PROGRAM = 2
    KEYS = 3


class Version(NamedTuple):
    """A version of an artifact, ordered by generation and number. The digest identifies the content."""

    generation: int
    number: int
    digest: str

    @property
    def order(self) -> tuple[int, int]:
        """The sort key of an artifact's versions."""
        return self.generation, self.number

    def __str__(self) -> str:
        """The form in logs and events: generation.number/digest."""
        return f"{self.generation}.{self.number}/{self.digest}"


class Clash(NamedTuple):
    """One version of an artifact with two contents, and which member claims which."""

    artifact: Artifact
    generation: int
    number: int
    digests: tuple[str, str]
    names: tuple[str, str]

    def __str__(self) -> str:
        """A sentence for people."""
        one, two = self.digests
        return (
            f"{self.artifact.name.lower()} {self.generation}.{self.number} is {one} at {self.names[0]} and "
            f"{two} at {self.names[1]}"
        )


def digest_of(*parts: bytes) -> str:
    """Digest of these contents, in hex. Each part is prefixed with its length."""
    hasher = hashlib.blake2b(digest_size=DIGEST)
    for part in parts:
        hasher.update(len(part).to_bytes(8, "big") + part)
    return hasher.hexdigest()


ROW_LENGTH = 9
Row = tuple[Any, ...]  # an engine: id, host, port, zone, kind, cell, life, weight, start; see rows_of


def rows_of(endpoints: Iterable[Any]) -> dict[str, Row]:
    """Rows of the endpoints of `net.engine_list`, by id; the same from every source."""
    return {
        endpoint.ident: (
            endpoint.ident,
            endpoint.host,
            endpoint.port,
            endpoint.zone,
            endpoint.kind,
            endpoint.cell,
            int(endpoint.life),
            round(float(endpoint.weight), 3),
            int(endpoint.started),
        )
        for endpoint in endpoints
    }


def list_digest(rows: Mapping[str, Row]) -> str:
    """The digest of an engine list, independent of the order of its rows."""
    return digest_of(repr(sorted(rows.values())).encode())


class Offer(NamedTuple):
    """A version newer than ours, and the members that claim to have it in force."""

    version: Version
    holders: list[str]


class VersionRegistry:
    """Our versions in force, and the others' claims. Bounded by artifacts, members and MAX_CLASHES."""

    def __init__(self, own: str) -> None:
        self.own = own
        self.in_force: dict[Artifact, Version] = {}
        self.claims: dict[str, dict[Artifact, Version]] = {}
        self.clashes: dict[tuple[Artifact, int, int], Clash] = {}
        self.source_versions: dict[Artifact, Version] = {}  # newest from our own source, in force or not
        self.implausible: dict[str, int] = {}
        # Cached results of `newest` and `offers`, cleared by each change.
        self.newest_cache: dict[Artifact, Version | None] = {}
        self.offers_cache: dict[Artifact, list[Offer]] = {}

    def put_in_force(self, artifact: Artifact, version: Version, from_own_source: bool = True) -> bool:
        """Put a version in force.

        Returns:
            False, and nothing changes, for a version that is not newer: versions never go back by themselves.
                Other content with the version in force is a clash.
        """
        before = self.in_force.get(artifact)
        self.clear_caches()
        if from_own_source and (
            artifact not in self.source_versions or version.order >= self.source_versions[artifact].order
        ):
            self.source_versions[artifact] = version
        if before is not None and version.order <= before.order:
            if version.order == before.order and version.digest != before.digest:
                self.clash(artifact, version, f"{self.own}'s source")
            return False
        self.in_force[artifact] = version
        return True

    def claim(self, name: str, claims: Mapping[Artifact, Version]) -> list[Clash]:
        """Record a member's claims and return new clashes. Implausible claims are counted and dropped."""
        kept, new_clashes = dict[Artifact, Version](), list[Clash]()
        for artifact, version in claims.items():
            own = self.in_force.get(artifact)
            if own is not None and (
                version.generation > own.generation + 1 or version.number > own.number + MAX_NUMBER_AHEAD
            ):
                self.implausible[name] = self.implausible.get(name, 0) + 1
                continue
            kept[artifact] = version
            if own is not None and version.order == own.order and version.digest != own.digest:
                new_clashes += self.clash(artifact, version, name)
        if self.claims.get(name) != kept:
            self.claims[name] = kept
            self.clear_caches()
        return new_clashes

    def clash(self, artifact: Artifact, version: Version, name: str) -> list[Clash]:
        """Record a clash with the version in force. Empty if it is known or there are too many."""
        key = (artifact, *version.order)
        if artifact is Artifact.PROGRAM or key in self.clashes or len(self.clashes) >= MAX_CLASHES:
            return []
        clash = Clash(
            artifact, *version.order, (self.in_force[artifact].digest, version.digest), (self.own, name)
        )
        self.clashes[key] = clash
        return [clash]

    def clear_caches(self) -> None:
        """Drop the cached results after a change."""
        self.newest_cache.clear()
        self.offers_cache.clear()

    def forget(self, name: str) -> None:
        """Drop a member's claims."""
        self.claims.pop(name, None)
        self.clear_caches()
        self.implausible.pop(name, None)

    def newest(self, artifact: Artifact) -> Version | None:
        """The newest existing version: ours, our source's, or one that enough members claim."""
        if artifact not in self.newest_cache:
            self.newest_cache[artifact] = self.find_newest(artifact)
        return self.newest_cache[artifact]

    def find_newest(self, artifact: Artifact) -> Version | None:
        """Compute `newest`."""
        counted: dict[Version, int] = {}
        for claims in self.claims.values():
            if artifact in claims:
                counted[claims[artifact]] = counted.get(claims[artifact], 0) + 1
        candidates = [version for version, count in counted.items() if count >= MIN_CLAIMANTS]
        candidates += [
            versions[artifact] for versions in (self.in_force, self.source_versions) if artifact in versions
        ]
        return max(candidates, key=lambda version: version.order, default=None)

    def behind(self, artifact: Artifact = Artifact.LIST) -> int:
        """By how many numbers ours is behind the newest; a newer generation counts as at least one."""
        own, newest = self.in_force.get(artifact), self.newest(artifact)
        if newest is None or (own is not None and own.order >= newest.order):
            return 0
        return max(1, newest.number - (own.number if own is not None else 0))

    def holders(self, artifact: Artifact, version: Version) -> list[str]:
        """Members that claim to have that version in force, sorted."""
        return sorted(name for name, claims in self.claims.items() if claims.get(artifact) == version)

    def offers(self, artifact: Artifact = Artifact.LIST) -> list[Offer]:
        """Claimed versions newer than ours, newest first, also those with a single claimant.

        They may be fetched, as the content is checked against its digest and against the list in force.
        """
        if artifact not in self.offers_cache:
            self.offers_cache[artifact] = self.find_offers(artifact)
        return self.offers_cache[artifact]

    def find_offers(self, artifact: Artifact) -> list[Offer]:
        """Compute `offers`."""
        own = self.in_force.get(artifact)
        ahead = {
            claims[artifact]
            for claims in self.claims.values()
            if artifact in claims and (own is None or claims[artifact].order > own.order)
        }
        return [
            Offer(version, self.holders(artifact, version))
            for version in sorted(ahead, key=lambda each: (*each.order, each.digest), reverse=True)
        ]
