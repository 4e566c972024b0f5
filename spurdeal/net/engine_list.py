"""The list of engines as messages: the numbered events of a configuration, and the records of an answer."""

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
    """An engine as the list names it; started is 0 for long ago."""

    ident: str
    host: str
    port: int
    zone: str
    kind: str
    cell: int
    life: Life
    weight: float
    started: float


class KnownList(NamedTuple):
    """The list that a start is configured with, and the number of its last event."""

    number: int
    endpoints: dict[str, Endpoint]


def read_address(text: object) -> Address:
    """Reads HOST:PORT.

    Raises:
        ValueError: The text is no IPv4 address with a port.
    """
    host, colon, port = str(text).rpartition(":")
    if not colon or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is no address with a port")
    return Address(str(IPv4Address(host)), int(port))


def known_list(known: Mapping[str, Any]) -> KnownList:
    """What the numbered events of the start add up to."""
    endpoints: dict[str, Endpoint] = {}
    last = int(known.get("no", 0))
    for item in sorted(known.get("items", []), key=lambda item: int(item["no"])):
        roster = item["roster"]
        if roster.get("reset"):
            endpoints.clear()
        for entry in roster["instances"]:
            endpoint = known_endpoint(entry)
            endpoints[endpoint.ident] = endpoint
        last = max(last, int(item["no"]))
    return KnownList(
        last, {ident: endpoint for ident, endpoint in endpoints.items() if endpoint.life != Life.GONE}
    )


def known_endpoint(entry: Mapping[str, Any]) -> Endpoint:
    """One engine of a numbered event."""
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


def answered_endpoints(
    services: Sequence[tuple[int, int, int, str]],
    addresses: Mapping[str, str],
    texts: Mapping[str, Sequence[str]],
) -> dict[str, Endpoint]:
    """The engines that an answer's records name, by id.

    Raises:
        dns.BadDatagram: Records of one of them are missing or cannot be used.
    """
    endpoints = {}
    for priority, weight, port, target in services:
        labels = dns.labels_of(target)
        owner = target.lower()
        if len(labels) < 2 or owner not in addresses:
            raise dns.BadDatagram(f"no address for {target}")
        told = dict(text.partition("=")[::2] for text in texts.get(owner, ()))
        try:
            endpoints[labels[0]] = Endpoint(
                labels[0],
                addresses[owner],
                port,
                labels[1],
                told["kind"],
                int(told.get("cell", 0)),
                Life.DRAINING if priority else Life.READY,
                weight / WEIGHT_SCALE,
                float(told.get("started", 0.0)),
            )
        except (KeyError, ValueError):
            raise dns.BadDatagram(f"no usable text for {target}") from None
    return endpoints
