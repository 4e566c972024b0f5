"""What a dispatcher acts on, each in a line of its own, and what others claim of it. Free of I/O and clocks.

Each line has a single writer: the name service writes the list, operators write configuration and program,
whoever changes keys writes those. So a version is ordered by what its writer tells, generation and number,
and nothing is ever merged. Two contents under one version are a clash: it is seen, told, and each stays on
what it has.

A claim is what one dispatcher says it acts on. One witness is one witness: only what two claim, or what our
own name service told, counts as existing, so that one that makes versions up makes nobody lag behind. And a
claim far ahead of all that was seen is no version at all.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from enum import IntEnum
from typing import Any, NamedTuple

WITNESSES = 2
MAX_NUMBER_AHEAD = 10_000  # numbers ahead of our own that a claim may lie
MAX_CLASHES = 64
DIGEST = 8  # bytes


class Artifact(IntEnum):
    """What has versions."""

    LIST = 0
    CONFIGURATION = 1
    PROGRAM = 2
    KEYS = 3


class Version(NamedTuple):
    """One state of a line. Ordered by generation and number; the digest names the content."""

    generation: int
    number: int
    digest: str

    @property
    def order(self) -> tuple[int, int]:
        """What versions of one line are compared by."""
        return self.generation, self.number

    def __str__(self) -> str:
        """The form that logs and events have: generation.number/digest."""
        return f"{self.generation}.{self.number}/{self.digest}"


class Clash(NamedTuple):
    """One version of a line with two contents, and who claims which."""

    artifact: Artifact
    generation: int
    number: int
    digests: tuple[str, str]
    names: tuple[str, str]

    def __str__(self) -> str:
        """The clash in words for people."""
        one, two = self.digests
        return (
            f"{self.artifact.name.lower()} {self.generation}.{self.number} is {one} at {self.names[0]} and "
            f"{two} at {self.names[1]}"
        )


def digest_of(*parts: bytes) -> str:
    """Of contents, in hex; parts are told apart by their lengths."""
    found = hashlib.blake2b(digest_size=DIGEST)
    for part in parts:
        found.update(len(part).to_bytes(8, "big") + part)
    return found.hexdigest()


ROW = 9
Row = tuple[Any, ...]


def rows_of(endpoints: Iterable[Any]) -> dict[str, Row]:
    """Endpoints, as net.engine_list has them, in one form whoever told them; by id."""
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
    """The digest of an engine list, whatever the order of its rows."""
    return digest_of(repr(sorted(rows.values())).encode())


class Offer(NamedTuple):
    """A version beyond ours, and who claims to hold it."""

    version: Version
    holders: list[str]


class VersionRegistry:
    """Our versions in force, and what the others claim. Bounded by lines, members and MOST_CLASHES."""

    def __init__(self, own: str) -> None:
        self.own = own
        self.in_force: dict[Artifact, Version] = {}
        self.claims: dict[str, dict[Artifact, Version]] = {}
        self.clashes: dict[tuple[Artifact, int, int], Clash] = {}
        self.by_source: dict[Artifact, Version] = {}  # by our own source, whether or not it is in force
        self.implausible: dict[str, int] = {}
        # What `newest` and `offers` have found since anything changed.
        self.newest_cache: dict[Artifact, Version | None] = {}
        self.offers_cache: dict[Artifact, list[Offer]] = {}

    def take(self, artifact: Artifact, version: Version, by_source: bool = True) -> bool:
        """Put a version in force.

        Returns:
            False, and nothing changes, for one that is not newer: versions never go back unasked, and other
                content under the version in force is a clash.
        """
        before = self.in_force.get(artifact)
        self.clear_caches()
        if by_source and (artifact not in self.by_source or version.order >= self.by_source[artifact].order):
            self.by_source[artifact] = version
        if before is not None and version.order <= before.order:
            if version.order == before.order and version.digest != before.digest:
                self.clash(artifact, version, f"{self.own}'s source")
            return False
        self.in_force[artifact] = version
        return True

    def claim(self, name: str, claims: Mapping[Artifact, Version]) -> list[Clash]:
        """What a member says that it acts on; new clashes. What cannot be is counted and not kept."""
        kept, found = dict[Artifact, Version](), list[Clash]()
        for artifact, version in claims.items():
            own = self.in_force.get(artifact)
            if own is not None and (
                version.generation > own.generation + 1 or version.number > own.number + MAX_NUMBER_AHEAD
            ):
                self.implausible[name] = self.implausible.get(name, 0) + 1
                continue
            kept[artifact] = version
            if own is not None and version.order == own.order and version.digest != own.digest:
                found += self.clash(artifact, version, name)
        if self.claims.get(name) != kept:
            self.claims[name] = kept
            self.clear_caches()
        return found

    def clash(self, artifact: Artifact, version: Version, name: str) -> list[Clash]:
        """Keep a clash with the version in force; the new one, unless it is known or there are too many."""
        key = (artifact, *version.order)
        if artifact is Artifact.PROGRAM or key in self.clashes or len(self.clashes) >= MAX_CLASHES:
            return []
        clash = Clash(
            artifact, *version.order, (self.in_force[artifact].digest, version.digest), (self.own, name)
        )
        self.clashes[key] = clash
        return [clash]

    def clear_caches(self) -> None:
        """Something has changed: what was found before is found anew when it is asked for."""
        self.newest_cache.clear()
        self.offers_cache.clear()

    def forget(self, name: str) -> None:
        """Drop what a member has claimed."""
        self.claims.pop(name, None)
        self.clear_caches()
        self.implausible.pop(name, None)

    def newest(self, artifact: Artifact) -> Version | None:
        """The newest that counts as existing: ours, our source's, or what enough members claim."""
        if artifact not in self.newest_cache:
            self.newest_cache[artifact] = self.find_newest(artifact)
        return self.newest_cache[artifact]

    def find_newest(self, artifact: Artifact) -> Version | None:
        """See `newest`."""
        counted: dict[Version, int] = {}
        for claims in self.claims.values():
            if artifact in claims:
                counted[claims[artifact]] = counted.get(claims[artifact], 0) + 1
        found = [version for version, count in counted.items() if count >= WITNESSES]
        found += [versions[artifact] for versions in (self.in_force, self.by_source) if artifact in versions]
        return max(found, key=lambda version: version.order, default=None)

    def behind(self, artifact: Artifact = Artifact.LIST) -> int:
        """How many numbers ours lies behind the newest; a newer generation counts as one at least."""
        own, newest = self.in_force.get(artifact), self.newest(artifact)
        if newest is None or (own is not None and own.order >= newest.order):
            return 0
        return max(1, newest.number - (own.number if own is not None else 0))

    def holders(self, artifact: Artifact, version: Version) -> list[str]:
        """Members that claim to act on that version, by name."""
        return sorted(name for name, claims in self.claims.items() if claims.get(artifact) == version)

    def offers(self, artifact: Artifact = Artifact.LIST) -> list[Offer]:
        """What members claim beyond ours, newest first, also with one witness.

        It may be asked for, since what comes is checked against its digest and against what is in force.
        """
        if artifact not in self.offers_cache:
            self.offers_cache[artifact] = self.find_offers(artifact)
        return self.offers_cache[artifact]

    def find_offers(self, artifact: Artifact) -> list[Offer]:
        """See `offers`."""
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
