"""A stand-in name service: the whole list by DNS (RFC 1035), which can be changed, silenced or held back."""

from __future__ import annotations

import struct
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from twisted.internet.protocol import DatagramProtocol

from ..net import dns

SERVICE = "_api._tcp.svc.local"


class Endpoint(NamedTuple):
    """What the list tells of one engine; started is Unix ms, 0 for long ago."""

    ident: str
    host: str
    port: int
    draining: bool = False
    started: int = 0
    zone: str = "east"
    kind: str = "std"
    cell: int = 0

    def instance_entry(self) -> dict[str, Any]:
        """As the configuration's list of the start has it."""
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
    """Endpoints are target, address, priority, text; names are compressed or not at all. A dot within a label
    of a target is written as `\\.`."""
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
            message.extend(head)  # a name's place counts from the message's start
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
    """Answers each question with the list as it stands."""

    transport: Any

    def __init__(self, endpoints: Sequence[Endpoint]) -> None:
        self.endpoints, self.serial, self.silent, self.answered = list(endpoints), 1, False, 0

    def change(self, endpoints: Sequence[Endpoint]) -> None:
        self.endpoints, self.serial = list(endpoints), self.serial + 1

    def known(self) -> dict[str, Any]:
        """The list as a configuration tells it at a start."""
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
        if not self.silent:
            self.answered += 1
            self.transport.write(
                answer(datagram, self.serial, *(endpoint.record() for endpoint in self.endpoints)), address
            )
