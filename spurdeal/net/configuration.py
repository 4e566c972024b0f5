"""A dispatcher's configuration: parsed from JSON, validated, and typed."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Any

from ..deployment import parse_deployment, report_field_names, without_nulls
from ..interface import Deployment
from .engine_list import Address, NumberedList, list_from_configuration, read_address
from .transient_errors import TRANSIENT_FILE_ERRORS

DEFAULT_DESCRIPTORS = 1024
DEFAULT_MEMORY_MB = 192.0
DEFAULT_CONNECT_TIMEOUT = 250.0  # ms
DEFAULT_ENGINE_IDLE = 30_000.0  # ms
# Of the descriptors, as the protocol demands; a connection has one request at a time.
OPEN_REQUESTS_SHARE = 1 / 3


class Unusable(Exception):
    """A configuration that cannot be used; the message gives the reason in one line."""


class Unreadable(Unusable):
    """A configuration file that the system cannot read.

    Attributes:
        is_transient: Whether the error may be transient.
    """

    def __init__(self, path: str, fault: OSError) -> None:
        super().__init__(f"configuration: {fault.strerror}: {path}")
        self.is_transient = fault.errno in TRANSIENT_FILE_ERRORS


@dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """The settings of a dispatcher.

    Attributes:
        name: The dispatcher's name, for its log.
        host, port: The address that it listens on.
        seed: The source of its random choices.
        max_descriptors: How many descriptors its process may have open.
        memory_mb: How much memory its process may use.
        nameserver: The address of the name server.
        known: The initial list of engines.
        site: The deployment, as the rules take it.
        workloads, tenants: Their indices by name.
        zones, kinds: The names of zones and of kinds of machine, by index.
        report_fields: The fields of an engine's load report.
        connect_timeout: The connect timeout of engines, in ms.
        idle_timeout: After how many ms engines close idle connections.
        attempts_per_connection: How many attempts may be out on one connection to an engine.
    """

    name: str
    host: str
    port: int
    seed: int
    max_descriptors: int
    memory_mb: float
    nameserver: Address
    known: NumberedList
    site: Deployment
    workloads: dict[bytes, int]
    tenants: dict[bytes, int]
    zones: list[str]
    kinds: list[str]
    report_fields: list[str]
    connect_timeout: float
    idle_timeout: float
    attempts_per_connection: int

    def site_or_address_differs(self, other: Configuration) -> bool:
        """Whether the deployment or the listening address differs, which take effect only at a start.

        Other settings that need a start, such as the seed or the names of tenants, are not compared.
        """
        return (self.site, self.host, self.port) != (other.site, other.host, other.port)


def read_configuration(text: str | bytes) -> Configuration:
    """Parse a configuration from its JSON text.

    Raises:
        Unusable: It is not a JSON object, or a setting is missing or invalid.
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
    """Build a configuration from a JSON object; errors are raised as they occur."""
    settings = given["settings"]
    process_limits, limits = given.get("limits", {}), settings.get("limits", {})
    max_descriptors = int(process_limits.get("sockets", DEFAULT_DESCRIPTORS))
    listen = read_address(given["listen"])
    return Configuration(
        name=str(given.get("name", "")),
        host=listen.host,
        port=listen.port,
        seed=int(str(given.get("seed", "0")), 16),
        max_descriptors=max_descriptors,
        memory_mb=float(process_limits.get("memory_mb", DEFAULT_MEMORY_MB)),
        nameserver=read_address(given["nameserver"]),
        known=list_from_configuration(given["known"]),
        site=replace(parse_deployment(settings), max_open=max_descriptors * OPEN_REQUESTS_SHARE),
        workloads=indices_of(str(grade["name"]) for grade in settings["grades"]),
        tenants=indices_of(str(tenant.get("name", "")) for tenant in settings.get("tenants", [])),
        zones=[str(name) for name in settings.get("zones", [])],
        kinds=[str(name) for name in settings.get("models", [])],
        report_fields=report_field_names(settings),
        connect_timeout=float(limits.get("dial_timeout", DEFAULT_CONNECT_TIMEOUT)),
        idle_timeout=float(limits.get("conn_idle", DEFAULT_ENGINE_IDLE)),
        attempts_per_connection=int(limits.get("streams_per_conn", 1)),
    )


def indices_of(names: Iterable[str]) -> dict[bytes, int]:
    """Map names to their indices."""
    return {name.encode(): index for index, name in enumerate(names)}


def load_configuration(path: str) -> Configuration:
    """Load a configuration from a file.

    Raises:
        Unreadable: The file cannot be read.
        Unusable: Its content cannot be used.
    """
    try:
        with open(path, "rb") as source:
            return read_configuration(source.read())
    except OSError as fault:
        raise Unreadable(path, fault) from None
