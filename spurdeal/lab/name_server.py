"""A stand-in name service: it serves the engine list by DNS (RFC 1035) and can be changed or silenced."""

from __future__ import annotations

import struct
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from twisted.internet.protocol import DatagramProtocol

from ..net import dns

SERVICE = "_api._tcp.svc.local"


class Endpoint(NamedTuple):
    """An engine's entry in the list; `started` is in Unix ms, 0 for an engine that has long been warm."""

    ident: str
    host: str
    port: int
    draining: bool = False
    started: int = 0
    zone: str = "east"
    kind: str = "std"
    cell: int = 0

    def instance_entry(self) -> dict[str, Any]:
        """The entry as the initial list in the configuration has it."""
        return {
            "instanceId": self.ident,
            "hostPort": f"{self.host}:{self.port}",
            "zone": self.zone,
            "machineType": self.kind,
            "cell": self.cell,
            "weight": 1,
            "lifecycle": "DRAINING" if self.draining else "SERVING",
            "startedAtMs": self.started,
        }

    def record(self) -> tuple[str, str, int, str]:
        """The entry as `answer` takes it: target, address, priority and text."""
        return (
            f"{self.ident}.{self.zone}.hosts",
            f"{self.host}:{self.port}",
            int(self.draining),
            f"kind={self.kind} cell={self.cell} started={self.started}",
        )


def answer(
    question: bytes,
    serial: int,
    *endpoints: tuple[str, str, int, str],
    compressed: bool = True,
    flags: int = 0x8400,
) -> bytes:
    r"""Encode the answer to an SRV query.

    Args:
        question: The query datagram; its id is copied.
        serial: The list's version, in the SOA record.
        endpoints: Target, address, priority and text of each; a dot within a label of a target is `\.`.
        compressed: Whether names are compressed where they can be.
        flags: The header's flags.
    """
    message = bytearray(struct.pack("!2s5H", question[:2], flags, 1, len(endpoints), 1, 2 * len(endpoints)))
    known: dict[str, int] = {}

    def name(text: str) -> bytes:
        labels, out = dns.labels_of(text), b""
        while labels:
            rest = ".".join(labels)
            if compressed and rest in known:
                return out + struct.pack("!H", 0xC000 | known[rest])
            known.setdefault(rest, len(message) + len(out))
            label = labels.pop(0).encode()
            out += bytes([len(label)]) + label
        return out + b"\0"

    def record(owner: str, kind: int, data: Callable[[], bytes]) -> None:
        message.extend(name(owner) + struct.pack("!HHI", kind, 1, 1))
        message.extend(b"\0\0")
        at = len(message)
        message.extend(data())
        message[at - 2 : at] = struct.pack("!H", len(message) - at)

    message.extend(name(SERVICE) + struct.pack("!HH", dns.SRV, 1))
    for target, address, priority, _ in endpoints:
        port = int(address.partition(":")[2])
        message_head = struct.pack("!3H", priority, 40, port)

        def service_data(head: bytes = message_head, target: str = target) -> bytes:
            message.extend(head)  # compression offsets count from the start of the message
            text = name(target)
            del message[-len(head) :]
            return head + text

        record(SERVICE, dns.SRV, service_data)
    record("svc.local", dns.SOA, lambda: b"\0\0" + struct.pack("!5I", serial, 1, 1, 1, 1))
    for target, address, _, text in endpoints:
        numbers = bytes(int(part) for part in address.partition(":")[0].split("."))
        record(target, dns.A, lambda numbers=numbers: numbers)  # type: ignore[misc]
        words = b"".join(bytes([len(word)]) + word.encode() for word in text.split())
        record(target, dns.TXT, lambda words=words: words)  # type: ignore[misc]
    return bytes(message)


class NameServer(DatagramProtocol):
    """Answers each query with the current list, unless it is silent; `answered` counts its answers."""

    transport: Any

    def __init__(self, endpoints: Sequence[Endpoint]) -> None:
        self.endpoints, self.serial, self.silent, self.answered = list(endpoints), 1, False, 0

    def change(self, endpoints: Sequence[Endpoint]) -> None:
        """Publish another version of the list."""
        self.endpoints, self.serial = list(endpoints), self.serial + 1

    def known(self) -> dict[str, Any]:
        """The current list, as a configuration gives it to a dispatcher at its start."""
        return {
            "no": self.serial,
            "items": [
                {
                    "no": self.serial,
                    "roster": {
                        "generation": 1,
                        "reset": True,
                        "instances": [endpoint.instance_entry() for endpoint in self.endpoints],
                    },
                }
            ],
        }

    def datagramReceived(self, datagram: bytes, address: Any) -> None:
        """Answer a query."""
        if not self.silent:
            self.answered += 1
            self.transport.write(
                answer(datagram, self.serial, *(endpoint.record() for endpoint in self.endpoints)), address
            )
