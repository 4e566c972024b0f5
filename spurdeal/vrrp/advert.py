"""VRRP version 3 advertisements (RFC 9568, section 5.2), read and written. Carried over UDP here."""

from __future__ import annotations

import struct
from collections.abc import Sequence
from ipaddress import IPv4Address, IPv6Address, ip_address

Address = IPv4Address | IPv6Address

VERSION, ADVERTISEMENT, PROTOCOL, TTL = 3, 1, 112, 255
HEAD = struct.Struct("!BBBBHH")
CENTISECOND = 10.0  # ms
LONGEST_INTERVAL = 0x0FFF * CENTISECOND  # ms
MOST_ADDRESSES = 255
STOPPING, OWNER = 0, 255  # priorities of section 5.2.4 that mean more than a rank


class Dropped(Exception):
    """A datagram that fails a receive check of section 7.1; `reason` is the counter's name."""

    def __init__(self, reason: str, detail: str = "") -> None:
        super().__init__(f"{reason}: {detail}" if detail else reason)
        self.reason = reason


def ones_sum(data: bytes | memoryview) -> int:
    """The one's complement sum of 16-bit words (RFC 1071), an odd byte padded with zero."""
    padded = bytes(data) + b"\0" * (len(data) % 2)
    total: int = sum(word for (word,) in struct.iter_unpack("!H", padded))
    while total >> 16:
        total = (total & 0xFFFF) + (total >> 16)
    return total


def pseudo_header(source: Address, target: Address, length: int) -> bytes:
    """What RFC 8200, section 8.1, puts before an IPv6 message; its IPv4 form is that of RFC 793."""
    if isinstance(source, IPv4Address):
        return source.packed + target.packed + struct.pack("!BBH", 0, PROTOCOL, length)
    return source.packed + target.packed + struct.pack("!I3xB", length, PROTOCOL)


def checksum(message: bytes, source: Address, target: Address) -> int:
    """Section 5.2.8: for IPv6 with a pseudo-header, for IPv4 over the message alone."""
    before = b"" if isinstance(source, IPv4Address) else pseudo_header(source, target, len(message))
    return ~ones_sum(before + message) & 0xFFFF


def write(
    group: int, priority: int, interval: float, addresses: Sequence[Address], source: Address, target: Address
) -> bytes:
    """One advertisement.

    group is the VRID, 1 to 255; interval in ms, rounded to centiseconds, 10 to 40,950. source and target are
    the datagram's own addresses, which the IPv6 checksum covers. ValueError for what no field can hold.
    """
    ticks = round(interval / CENTISECOND)
    if not 1 <= group <= 255 or not 0 <= priority <= 255 or not 1 <= ticks <= 0x0FFF:
        raise ValueError(f"no field holds group {group}, priority {priority} or interval {interval} ms")
    if not 1 <= len(addresses) <= MOST_ADDRESSES or len({address.version for address in addresses}) != 1:
        raise ValueError("1 to 255 addresses of one kind are advertised")
    body = b"".join(address.packed for address in addresses)
    first = VERSION << 4 | ADVERTISEMENT
    blank = HEAD.pack(first, group, priority, len(addresses), ticks, 0) + body
    return HEAD.pack(first, group, priority, len(addresses), ticks, checksum(blank, source, target)) + body


def read(
    datagram: bytes, source: Address, target: Address, ttl: int | None = None
) -> tuple[int, int, float, tuple[Address, ...]]:
    """Group, priority, interval in ms and addresses; Dropped where a check of section 7.1 fails.

    ttl is None where the system does not tell it. The list's kind of address is that of the group, told by
    its length: a v4 datagram may carry v6 addresses here, as UDP carries both over either.
    """
    if ttl is not None and ttl != TTL:
        raise Dropped("ttl", str(ttl))
    if len(datagram) < HEAD.size:
        raise Dropped("short", f"{len(datagram)} bytes")
    first, group, priority, count, ticks, told = HEAD.unpack_from(datagram)
    if first >> 4 != VERSION:
        raise Dropped("version", str(first >> 4))
    if first & 0x0F != ADVERTISEMENT:
        raise Dropped("type", str(first & 0x0F))
    size = len(datagram) - HEAD.size
    if not count or size not in (4 * count, 16 * count):
        raise Dropped("length", f"{size} bytes for {count} addresses")
    ticks &= 0x0FFF  # section 5.2.6: the reserved bits are ignored on receipt
    if not ticks:
        raise Dropped("interval", "0")
    if not checks(datagram, source, target):
        raise Dropped("checksum", f"{told:#06x}")
    width = size // count
    return (
        group,
        priority,
        ticks * CENTISECOND,
        tuple(ip_address(datagram[at : at + width]) for at in range(HEAD.size, len(datagram), width)),
    )


def checks(datagram: bytes, source: Address, target: Address) -> bool:
    """Both readings of the IPv4 checksum are taken: RFC 5798 was read with a pseudo-header by some."""
    if ones_sum(datagram) == 0xFFFF and isinstance(source, IPv4Address):
        return True
    return ones_sum(pseudo_header(source, target, len(datagram)) + datagram) == 0xFFFF


def fields(datagram: bytes, source: Address, target: Address) -> dict[str, object]:
    """Field by field, also where a check fails, for people; `dropped` then names the reason."""
    padded = datagram[: HEAD.size].ljust(HEAD.size, b"\0")
    first, group, priority, count, ticks, told = HEAD.unpack(padded)
    found: dict[str, object] = {
        "version": first >> 4,
        "type": first & 0x0F,
        "group": group,
        "priority": priority,
        "count": count,
        "interval_ms": (ticks & 0x0FFF) * CENTISECOND,
        "checksum": f"{told:#06x}",
        "bytes": len(datagram),
    }
    try:
        found["addresses"] = [str(address) for address in read(datagram, source, target)[3]]
    except Dropped as fault:
        found["dropped"] = str(fault)
    return found
