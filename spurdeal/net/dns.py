"""DNS messages (RFC 1035): encodes a query with one question, decodes responses, with name compression."""

import re
import struct

HEADER = struct.Struct("!6H")
RECORD_HEAD = struct.Struct("!HHIH")
SRV_HEAD = struct.Struct("!3H")
A, SOA, TXT, SRV, IN = 1, 6, 16, 33, 1
RESPONSE, TRUNCATED, RESPONSE_CODE = 0x8000, 0x0200, 0x000F
MAX_NAME_LENGTH, MAX_LABEL_LENGTH = 255, 63
MAX_RECORDS = 4096


class BadDatagram(Exception):
    """A datagram that is not a usable DNS response."""


def encode_name(name: str) -> bytes:
    """Encodes a domain name, without compression."""
    labels = [label.encode("ascii") for label in name.rstrip(".").split(".")]
    return b"".join(bytes([len(label)]) + label for label in labels) + b"\0"


def encode_query(ident: int, name: str, query_type: int) -> bytes:
    """Encodes a query for the records of one type."""
    return HEADER.pack(ident, 0, 1, 0, 0, 0) + encode_name(name) + struct.pack("!HH", query_type, IN)


def read_name(message: memoryview, at: int) -> tuple[str, int]:
    """Decodes a name; returns it and the offset behind it. Pointers must point backwards, so loops end."""
    labels: list[str] = []
    after, lowest, total = -1, at, 0
    while True:
        if at >= len(message):
            raise BadDatagram("truncated name")
        size = message[at]
        if size & 0xC0 == 0xC0:
            if at + 1 >= len(message):
                raise BadDatagram("truncated name")
            target = (size & 0x3F) << 8 | message[at + 1]
            after = at + 2 if after < 0 else after
            if target >= lowest:
                raise BadDatagram("compression pointer does not point backwards")
            at = lowest = target
            continue
        if size > MAX_LABEL_LENGTH:
            raise BadDatagram("unknown label type")
        if size == 0:
            return ".".join(labels), after if after >= 0 else at + 1
        total += size + 1
        if at + 1 + size > len(message) or total > MAX_NAME_LENGTH:
            raise BadDatagram("truncated name, or name too long")
        # A dot within a label is escaped (RFC 4343, section 2.1).
        labels.append(
            bytes(message[at + 1 : at + 1 + size]).decode("utf-8", "backslashreplace").replace(".", "\\.")
        )
        at += 1 + size


def labels_of(name: str) -> list[str]:
    """Splits a name as `read_name` returns it into its labels."""
    return [label.replace("\\.", ".") for label in re.split(r"(?<!\\)\.", name)]


def read_strings(data: memoryview) -> list[str]:
    """Decodes the character strings of a TXT record."""
    strings, at = [], 0
    while at < len(data):
        size = data[at]
        if at + 1 + size > len(data):
            raise BadDatagram("truncated character string")
        strings.append(bytes(data[at + 1 : at + 1 + size]).decode("utf-8", "replace"))
        at += 1 + size
    return strings


def decode_response(
    datagram: bytes, ident: int, name: str, query_type: int
) -> tuple[int | None, list[tuple[int, int, int, str]], dict[str, str], dict[str, list[str]]] | None:
    """Decodes a response; None if it answers another query.

    Returns:
        The serial number of the SOA record, if any; the SRV records of the name as (priority, weight, port,
        target); the addresses of A records by owner; the strings of TXT records by owner.

    Raises:
        BadDatagram: It is malformed, truncated, or reports an error.
    """
    message = memoryview(datagram)
    try:
        response_id, flags, questions, *counts = HEADER.unpack_from(message)
        if response_id != ident or not flags & RESPONSE or questions != 1:
            return None
        query_name, at = read_name(message, HEADER.size)
        if query_name.lower() != name.lower() or struct.unpack_from("!HH", message, at) != (query_type, IN):
            return None
        at += 4
        if flags & (TRUNCATED | RESPONSE_CODE):
            raise BadDatagram(f"error code or truncated response, flags {flags:#06x}")
        if sum(counts) > MAX_RECORDS:
            raise BadDatagram("too many records")
        serial, services = None, []
        addresses, texts = dict[str, str](), dict[str, list[str]]()
        for _ in range(sum(counts)):
            owner, at = read_name(message, at)
            owner = owner.lower()
            record_type, record_class, _ttl, data_length = RECORD_HEAD.unpack_from(message, at)
            at += RECORD_HEAD.size
            data = message[at : at + data_length]
            if len(data) < data_length:
                raise BadDatagram("truncated record")
            if record_class == IN and record_type == SRV and owner == query_name.lower():
                priority, weight, port = SRV_HEAD.unpack_from(data)
                services.append((priority, weight, port, read_name(message, at + SRV_HEAD.size)[0]))
            elif record_class == IN and record_type == A and data_length == 4:
                addresses[owner] = ".".join(str(byte) for byte in data)
            elif record_class == IN and record_type == TXT:
                texts.setdefault(owner, []).extend(read_strings(data))
            elif record_class == IN and record_type == SOA:
                _, after = read_name(message, at)
                _, after = read_name(message, after)
                (serial,) = struct.unpack_from("!I", message, after)
            at += data_length
        return serial, services, addresses, texts
    except struct.error:
        raise BadDatagram("truncated response") from None
