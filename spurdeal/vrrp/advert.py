"""Encoding and decoding of VRRP version 3 advertisements (RFC 9568, section 5.2), carried over UDP.

Section numbers below are those of RFC 9568 unless another RFC is named.
"""

from __future__ import annotations

import struct
from ipaddress import IPv4Address, IPv6Address, ip_address
from typing import NamedTuple

Address = IPv4Address | IPv6Address

VERSION, ADVERTISEMENT, PROTOCOL, TTL = 3, 1, 112, 255
HEADER = struct.Struct("!BBBBHH")
CENTISECOND = 10.0  # ms: the unit of the interval on the wire
MAX_BYTE, MAX_CENTISECONDS, ALL_ONES = 0xFF, 0x0FFF, 0xFFFF
MAX_INTERVAL = MAX_CENTISECONDS * CENTISECOND  # ms
MAX_ADDRESSES = 255
# Special priorities of section 5.2.4: the sender leaves the group, and the sender owns the addresses.
STOPPING, OWNER = 0, 255


class DroppedError(Exception):
    """A datagram that fails a receive check of section 7.1.

    Attributes:
        reason: Suffix of the counter that counts it (`vrrp_drop_...`).
    """

    def __init__(self, reason: str, detail: str = "") -> None:
        super().__init__(f"{reason}: {detail}" if detail else reason)
        self.reason = reason


def ones_complement_sum(data: bytes | memoryview) -> int:
    """Return the one's complement sum of 16-bit words (RFC 1071); an odd last byte is padded with zero."""
    padded = bytes(data) + b"\0" * (len(data) % 2)
    total: int = sum(word for (word,) in struct.iter_unpack("!H", padded))
    while total >> 16:
        total = (total & 0xFFFF) + (total >> 16)
    return total


def pseudo_header(source: Address, target: Address, length: int) -> bytes:
    """Return the pseudo-header for the checksum: RFC 8200, section 8.1, for IPv6, RFC 793 for IPv4."""
    if isinstance(source, IPv4Address):
        return source.packed + target.packed + struct.pack("!BBH", 0, PROTOCOL, length)
    return source.packed + target.packed + struct.pack("!I3xB", length, PROTOCOL)


def checksum(message: bytes, source: Address, target: Address) -> int:
    """Return the checksum of section 5.2.8: with a pseudo-header for IPv6, without one for IPv4."""
    before = b"" if isinstance(source, IPv4Address) else pseudo_header(source, target, len(message))
    return ~ones_complement_sum(before + message) & 0xFFFF


class Advert(NamedTuple):
    """The contents of an advertisement.

    Attributes:
        group: Virtual router identifier (VRID), 1 to 255.
        priority: 0 to 255; see STOPPING and OWNER.
        interval: Advertisement interval in ms, 10 to 40,950; encoded in centiseconds.
        addresses: 1 to 255 virtual addresses of one family.
    """

    group: int
    priority: int
    interval: float
    addresses: tuple[Address, ...]


def write(advert: Advert, source: Address, target: Address) -> bytes:
    """Encode an advertisement.

    Args:
        advert: Its contents.
        source: Source address of the datagram; the IPv6 checksum covers it.
        target: Destination address of the datagram; likewise.

    Raises:
        ValueError: A value is out of range, or the addresses are of two families.
    """
    group, priority, interval, addresses = advert
    ticks = round(interval / CENTISECOND)
    in_fields = 1 <= group <= MAX_BYTE and 0 <= priority <= MAX_BYTE and 1 <= ticks <= MAX_CENTISECONDS
    if not in_fields:
        raise ValueError(f"out of range: group {group}, priority {priority} or interval {interval} ms")
    if not 1 <= len(addresses) <= MAX_ADDRESSES or len({address.version for address in addresses}) != 1:
        raise ValueError("an advertisement needs 1 to 255 addresses of one family")
    body = b"".join(address.packed for address in addresses)
    first = VERSION << 4 | ADVERTISEMENT
    blank = HEADER.pack(first, group, priority, len(addresses), ticks, 0) + body
    return HEADER.pack(first, group, priority, len(addresses), ticks, checksum(blank, source, target)) + body


def read(datagram: bytes, source: Address, target: Address, ttl: int | None = None) -> Advert:
    """Decode an advertisement, with the receive checks of section 7.1.

    The family of the addresses follows from their length, not from the datagram's family: over UDP an IPv4
    datagram may carry IPv6 addresses.

    Args:
        datagram: The payload as received.
        source: Source address of the datagram.
        target: Destination address of the datagram.
        ttl: Received TTL; None if the system does not report it, and then not checked.

    Raises:
        DroppedError: A check fails.
    """
    if ttl is not None and ttl != TTL:
        raise DroppedError("ttl", str(ttl))
    if len(datagram) < HEADER.size:
        raise DroppedError("short", f"{len(datagram)} bytes")
    first, group, priority, count, ticks, received = HEADER.unpack_from(datagram)
    if first >> 4 != VERSION:
        raise DroppedError("version", str(first >> 4))
    if first & 0x0F != ADVERTISEMENT:
        raise DroppedError("type", str(first & 0x0F))
    size = len(datagram) - HEADER.size
    if not count or size not in (4 * count, 16 * count):
        raise DroppedError("length", f"{size} bytes for {count} addresses")
    ticks &= MAX_CENTISECONDS  # section 5.2.6: the reserved bits are ignored on receipt
    if not ticks:
        raise DroppedError("interval", "0")
    if not checksum_valid(datagram, source, target):
        raise DroppedError("checksum", f"{received:#06x}")
    width = size // count
    starts = range(HEADER.size, len(datagram), width)
    addresses = tuple(ip_address(datagram[at : at + width]) for at in starts)
    return Advert(group, priority, ticks * CENTISECOND, addresses)


def checksum_valid(datagram: bytes, source: Address, target: Address) -> bool:
    """Return whether the checksum is correct.

    Over IPv4 it is accepted with and without a pseudo-header: implementations of RFC 5798 differ in this.
    """
    if ones_complement_sum(datagram) == ALL_ONES and isinstance(source, IPv4Address):
        return True
    return ones_complement_sum(pseudo_header(source, target, len(datagram)) + datagram) == ALL_ONES


def fields(datagram: bytes, source: Address, target: Address) -> dict[str, object]:
    """Return the fields of a datagram for display, also if a check fails.

    Missing bytes of the header count as zero; `dropped` holds the reason if a check fails.
    """
    padded = datagram[: HEADER.size].ljust(HEADER.size, b"\0")
    first, group, priority, count, ticks, received = HEADER.unpack(padded)
    found: dict[str, object] = {
        "version": first >> 4,
        "type": first & 0x0F,
        "group": group,
        "priority": priority,
        "count": count,
        "interval_ms": (ticks & MAX_CENTISECONDS) * CENTISECOND,
        "checksum": f"{received:#06x}",
        "bytes": len(datagram),
    }
    try:
        found["addresses"] = [str(address) for address in read(datagram, source, target).addresses]
    except DroppedError as fault:
        found["dropped"] = str(fault)
    return found
