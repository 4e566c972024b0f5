"""A dispatcher's configuration: read from JSON, checked, and typed."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Any

from ..deployment import deployment, reported, without_nulls
from ..interface import Deployment
from .engine_list import Address, KnownList, known_list, read_address
from .transient_errors import READING_MAY_PASS

DEFAULT_DESCRIPTORS = 1024
DEFAULT_MEMORY_MB = 192.0
DEFAULT_CONNECT_TIMEOUT = 250.0  # ms
DEFAULT_ENGINE_IDLE = 30_000.0  # ms
OPEN_CALLS_PART = 1 / 3  # of the descriptors, by the protocol; one call at a time on each connection


class Unusable(Exception):
    """A configuration that cannot be used; the text says why in one line."""


class Unreadable(Unusable):
    """A configuration that the system does not let us read.

    Attributes:
        may_pass: Whether the error may be over within a moment.
    """

    def __init__(self, path: str, fault: OSError) -> None:
        super().__init__(f"configuration: {fault.strerror}: {path}")
        self.may_pass = fault.errno in READING_MAY_PASS


@dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """What a dispatcher is configured with.

    Attributes:
        name: The dispatcher's name, for its log.
        host, port: The address that it listens on.
        seed: The source of its random choices.
        sockets: How many descriptors its process may hold.
        memory_mb: How much memory its process may hold.
        nameserver: The address of the name service.
        known: The list of engines at the start.
        site: The settings, as the rules take them.
        workloads, tenants: Their indices by name.
        locations, kinds: The names of locations and kinds of machine, by index.
        report_fields: The fields of an engine's load report.
        connect_within: How long a connection to an engine may take to come up, in ms.
        idle_after: When an engine closes a connection without requests, in ms.
        trips_a_connection: How many requests may be out on one connection to an engine.
    """

    name: str
    host: str
    port: int
    seed: int
    sockets: int
    memory_mb: float
    nameserver: Address
    known: KnownList
    site: Deployment
    workloads: dict[bytes, int]
    tenants: dict[bytes, int]
    zones: list[str]
    kinds: list[str]
    report_fields: list[str]
    connect_within: float
    idle_after: float
    attempts_per_connection: int

    def rest_differs(self, other: Configuration) -> bool:
        """Whether they differ in what is only read at a start."""
        return (self.site, self.host, self.port) != (other.site, other.host, other.port)


def read_configuration(text: str | bytes) -> Configuration:
    """Reads a configuration from its JSON text.

    Raises:
        Unusable: It is no JSON object, or something in it is missing or cannot be used.
    """
    try:
        given = json.loads(text)
        if not isinstance(given, dict):
            raise ValueError("it is not a JSON object")
        return configuration_from(without_nulls(given))
    except KeyError as missing:
        raise Unusable(f"configuration: {missing} is missing or has a value that is not known") from None
    except (ValueError, TypeError, AttributeError, OverflowError, RecursionError) as fault:
        raise Unusable(f"configuration: {fault}") from None


def configuration_from(given: Mapping[str, Any]) -> Configuration:
    """The configuration that a JSON object holds; whatever is wrong with it is raised as it comes."""
    settings = given["settings"]
    process_limits, limits = given.get("limits", {}), settings.get("limits", {})
    sockets = int(process_limits.get("sockets", DEFAULT_DESCRIPTORS))
    listen = read_address(given["listen"])
    return Configuration(
        name=str(given.get("name", "")),
        host=listen.host,
        port=listen.port,
        seed=int(str(given.get("seed", "0")), 16),
        sockets=sockets,
        memory_mb=float(process_limits.get("memory_mb", DEFAULT_MEMORY_MB)),
        nameserver=read_address(given["nameserver"]),
        known=known_list(given["known"]),
        site=replace(deployment(settings), max_open=sockets * OPEN_CALLS_PART),
        workloads=indices_of(str(grade["name"]) for grade in settings["grades"]),
        tenants=indices_of(str(tenant.get("name", "")) for tenant in settings.get("tenants", [])),
        zones=[str(name) for name in settings.get("zones", [])],
        kinds=[str(name) for name in settings.get("models", [])],
        report_fields=reported(settings),
        connect_within=float(limits.get("dial_timeout", DEFAULT_CONNECT_TIMEOUT)),
        idle_after=float(limits.get("conn_idle", DEFAULT_ENGINE_IDLE)),
        attempts_per_connection=int(limits.get("streams_per_conn", 1)),
    )


def indices_of(names: Iterable[str]) -> dict[bytes, int]:
    return {name.encode(): index for index, name in enumerate(names)}


def load_configuration(path: str) -> Configuration:
    """Reads a configuration from a file.

    Raises:
        Unreadable: The file cannot be read.
        Unusable: It holds no configuration that can be used.
    """
    try:
        with open(path, "rb") as source:
            return read_configuration(source.read())
    except OSError as fault:
        raise Unreadable(path, fault) from None
