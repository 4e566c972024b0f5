"""DNS messages (RFC 1035): one question asked, answers with names compressed or not."""

import re
import struct

HEADER = struct.Struct("!6H")
FIXED = struct.Struct("!HHIH")
SRV_HEAD = struct.Struct("!3H")
A, SOA, TXT, SRV, IN = 1, 6, 16, 33, 1
ANSWER, CUT_SHORT, CODE = 0x8000, 0x0200, 0x000F
LONGEST_NAME, LONGEST_LABEL = 255, 63
MOST_RECORDS = 4096


class BadDatagram(Exception):
    """Bytes that are no DNS answer."""


def encode_name(name: str) -> bytes:
    labels = [label.encode("ascii") for label in name.rstrip(".").split(".")]
    return b"".join(bytes([len(label)]) + label for label in labels) + b"\0"


def question(ident: int, name: str, kind: int) -> bytes:
    return HEADER.pack(ident, 0, 1, 0, 0, 0) + encode_name(name) + struct.pack("!HH", kind, IN)


def read_name(message: memoryview, at: int) -> tuple[str, int]:
    """A name, and where what follows it begins. A jump goes backwards only, so it ends."""
    labels: list[str] = []
    after, lowest, total = -1, at, 0
    while True:
        if at >= len(message):
            raise BadDatagram("a name is cut short")
        size = message[at]
        if size & 0xC0 == 0xC0:
            if at + 1 >= len(message):
                raise BadDatagram("a name is cut short")
            target = (size & 0x3F) << 8 | message[at + 1]
            after = at + 2 if after < 0 else after
            if target >= lowest:
                raise BadDatagram("a name does not point backwards")
            at = lowest = target
            continue
        if size > LONGEST_LABEL:
            raise BadDatagram("a label has an unknown form")
        if size == 0:
            return ".".join(labels), after if after >= 0 else at + 1
        total += size + 1
        if at + 1 + size > len(message) or total > LONGEST_NAME:
            raise BadDatagram("a name is cut short or too long")
        # A dot within a label is none between labels (RFC 4343, section 2.1).
        labels.append(
            bytes(message[at + 1 : at + 1 + size]).decode("utf-8", "backslashreplace").replace(".", "\\.")
        )
        at += 1 + size


def labels_of(name: str) -> list[str]:
    """The labels of a name as `read_name` gives it."""
    return [label.replace("\\.", ".") for label in re.split(r"(?<!\\)\.", name)]


def read_strings(data: memoryview) -> list[str]:
    strings, at = [], 0
    while at < len(data):
        size = data[at]
        if at + 1 + size > len(data):
            raise BadDatagram("a text is cut short")
        strings.append(bytes(data[at + 1 : at + 1 + size]).decode("utf-8", "replace"))
        at += 1 + size
    return strings


def read_answer(
    datagram: bytes, ident: int, name: str, kind: int
) -> tuple[int | None, list[tuple[int, int, int, str]], dict[str, str], dict[str, list[str]]] | None:
    """The serial, the SRV records, addresses and texts by name; None if it answers another question."""
    message = memoryview(datagram)
    try:
        found, flags, asked, *counts = HEADER.unpack_from(message)
        if found != ident or not flags & ANSWER or asked != 1:
            return None
        asked_name, at = read_name(message, HEADER.size)
        if asked_name.lower() != name.lower() or struct.unpack_from("!HH", message, at) != (kind, IN):
            return None
        at += 4
        if flags & (CUT_SHORT | CODE):
            raise BadDatagram(f"refused or cut short, flags {flags:#06x}")
        if sum(counts) > MOST_RECORDS:
            raise BadDatagram("too many records")
        serial, services = None, []
        addresses, texts = dict[str, str](), dict[str, list[str]]()
        for _ in range(sum(counts)):
            owner, at = read_name(message, at)
            owner = owner.lower()
            record, family, _, size = FIXED.unpack_from(message, at)
            at += FIXED.size
            data = message[at : at + size]
            if len(data) < size:
                raise BadDatagram("a record is cut short")
            if family == IN and record == SRV and owner == asked_name.lower():
                priority, weight, port = SRV_HEAD.unpack_from(data)
                services.append((priority, weight, port, read_name(message, at + SRV_HEAD.size)[0]))
            elif family == IN and record == A and size == 4:
                addresses[owner] = ".".join(str(byte) for byte in data)
            elif family == IN and record == TXT:
                texts.setdefault(owner, []).extend(read_strings(data))
            elif family == IN and record == SOA:
                _, after = read_name(message, at)
                _, after = read_name(message, after)
                (serial,) = struct.unpack_from("!I", message, after)
            at += size
        return serial, services, addresses, texts
    except struct.error:
        raise BadDatagram("cut short") from None
