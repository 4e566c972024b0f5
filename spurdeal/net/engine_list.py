"""The list of engines as it is received: numbered events of a configuration, or records of a DNS response."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from ipaddress import IPv4Address
from typing import Any, NamedTuple

from ..interface import Life
from . import dns

LIVES = {"SERVING": Life.READY, "DRAINING": Life.DRAINING, "DELETED": Life.GONE}
WEIGHT_SCALE = 10


class Address(NamedTuple):
    """An IPv4 address and a port."""

    host: str
    port: int


class Endpoint(NamedTuple):
    """An engine's entry in the list; `started` is in Unix ms, 0 if long ago."""

    ident: str
    host: str
    port: int
    zone: str
    kind: str
    cell: int
    life: Life
    weight: float
    started: float


class NumberedList(NamedTuple):
    """A whole list and its serial number, which is the number of its last event."""

    number: int
    endpoints: dict[str, Endpoint]


def read_address(text: object) -> Address:
    """Parses HOST:PORT.

    Raises:
        ValueError: The text is not an IPv4 address with a port.
    """
    host, colon, port = str(text).rpartition(":")
    if not colon or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is no address with a port")
    return Address(str(IPv4Address(host)), int(port))


def list_from_configuration(known: Mapping[str, Any]) -> NumberedList:
    """Builds the list from the numbered events of the configuration."""
    endpoints: dict[str, Endpoint] = {}
    last = int(known.get("no", 0))
    for item in sorted(known.get("items", []), key=lambda item: int(item["no"])):
        roster = item["roster"]
        if roster.get("reset"):
            endpoints.clear()
        for entry in roster["instances"]:
            endpoint = endpoint_from_configuration(entry)
            endpoints[endpoint.ident] = endpoint
        last = max(last, int(item["no"]))
    return NumberedList(
        last, {ident: endpoint for ident, endpoint in endpoints.items() if endpoint.life != Life.GONE}
    )


def endpoint_from_configuration(entry: Mapping[str, Any]) -> Endpoint:
    """Reads the endpoint of one engine in a numbered event."""
    address = read_address(entry["hostPort"])
    return Endpoint(
        str(entry["instanceId"]),
        address.host,
        address.port,
        str(entry["zone"]),
        str(entry["machineType"]),
        int(entry.get("cell", 0)),
        LIVES[entry["lifecycle"]],
        float(entry.get("weight", 1.0)),
        float(entry.get("startedAtMs", 0.0)),
    )


def endpoints_from_dns(
    services: Sequence[tuple[int, int, int, str]],
    addresses: Mapping[str, str],
    texts: Mapping[str, Sequence[str]],
) -> dict[str, Endpoint]:
    """Builds the list from the records of a response, by engine id.

    Raises:
        dns.BadDatagram: Records of an engine are missing or unusable.
    """
    endpoints = {}
    for priority, weight, port, target in services:
        labels = dns.labels_of(target)
        owner = target.lower()
        if len(labels) < 2 or owner not in addresses:
            raise dns.BadDatagram(f"no A record for {target}")
        attributes = dict(text.partition("=")[::2] for text in texts.get(owner, ()))
        try:
            endpoints[labels[0]] = Endpoint(
                labels[0],
                addresses[owner],
                port,
                labels[1],
                attributes["kind"],
                int(attributes.get("cell", 0)),
                Life.DRAINING if priority else Life.READY,
                weight / WEIGHT_SCALE,
                float(attributes.get("started", 0.0)),
            )
        except (KeyError, ValueError):
            raise dns.BadDatagram(f"no usable TXT record for {target}") from None
    return endpoints
