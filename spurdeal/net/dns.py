"""DNS messages (RFC 1035): encodes a query with one question, decodes responses, with name compression."""

import re
import struct
from typing import NamedTuple

HEADER = struct.Struct("!6H")
RECORD_HEAD = struct.Struct("!HHIH")
SRV_HEAD = struct.Struct("!3H")
A, SOA, TXT, SRV, IN = 1, 6, 16, 33, 1
RESPONSE, TRUNCATED, RESPONSE_CODE = 0x8000, 0x0200, 0x000F
MAX_NAME_LENGTH, MAX_LABEL_LENGTH = 255, 63
MAX_POINTERS = 127  # in one name: as many as it can have labels
POINTER = 0xC0  # the two highest bits of a length, set in a compression pointer
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


class Name(NamedTuple):
    """A decoded name: its labels joined by dots, and its length as encoded without compression."""

    text: str
    length: int


class NameReader:
    """Reads names of one message; what a compression pointer leads to is decoded once.

    So the work grows linearly with the message, however many names point to the same long one.
    """

    def __init__(self, message: memoryview) -> None:
        self.message = message
        self.by_offset: dict[int, Name] = {}  # names that pointers have led to

    def read(self, at: int) -> tuple[str, int]:
        """Decodes the name at an offset; returns it and the offset behind it.

        Raises:
            BadDatagram: It is malformed or too long, or takes more pointers than a name can have labels.
        """
        name, after = self.decode(at, at, MAX_POINTERS)
        return name.text, after

    def decode(self, at: int, lowest: int, pointers: int) -> tuple[Name, int]:
        """Decodes labels up to the end or a pointer, which must lead to before `lowest`, so loops end."""
        labels: list[str] = []
        total = 0
        while (size := self.byte(at)) and size <= MAX_LABEL_LENGTH:
            total += size + 1
            if at + 1 + size > len(self.message) or total > MAX_NAME_LENGTH:
                raise BadDatagram("truncated name, or name too long")
            labels.append(self.label(at + 1, size))
            at += 1 + size
        if not size:
            return Name(".".join(labels), total), at + 1
        rest = self.follow(at, size, lowest, pointers)
        if total + rest.length > MAX_NAME_LENGTH:
            raise BadDatagram("truncated name, or name too long")
        return Name(".".join([*labels, rest.text] if rest.text else labels), total + rest.length), at + 2

    def follow(self, at: int, size: int, lowest: int, pointers: int) -> Name:
        """The name that the compression pointer at an offset leads to."""
        if size & POINTER != POINTER:
            raise BadDatagram("unknown label type")
        target = (size & ~POINTER) << 8 | self.byte(at + 1)
        if target >= lowest:
            raise BadDatagram("compression pointer does not point backwards")
        if not pointers:
            raise BadDatagram("too many compression pointers in a name")
        if target not in self.by_offset:
            self.by_offset[target] = self.decode(target, target, pointers - 1)[0]
        return self.by_offset[target]

    def byte(self, at: int) -> int:
        """The byte at an offset."""
        if at >= len(self.message):
            raise BadDatagram("truncated name")
        return self.message[at]

    def label(self, at: int, size: int) -> str:
        """Decodes a label; a dot within it is escaped (RFC 4343, section 2.1)."""
        return bytes(self.message[at : at + size]).decode("utf-8", "backslashreplace").replace(".", "\\.")


def labels_of(name: str) -> list[str]:
    """Splits a name as `NameReader.read` returns it into its labels."""
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
    read_name = NameReader(message).read
    try:
        response_id, flags, questions, *counts = HEADER.unpack_from(message)
        if response_id != ident or not flags & RESPONSE or questions != 1:
            return None
        query_name, at = read_name(HEADER.size)
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
            owner, at = read_name(at)
            owner = owner.lower()
            record_type, record_class, _ttl, data_length = RECORD_HEAD.unpack_from(message, at)
            at += RECORD_HEAD.size
            data = message[at : at + data_length]
            if len(data) < data_length:
                raise BadDatagram("truncated record")
            if record_class == IN and record_type == SRV and owner == query_name.lower():
                priority, weight, port = SRV_HEAD.unpack_from(data)
                services.append((priority, weight, port, read_name(at + SRV_HEAD.size)[0]))
            elif record_class == IN and record_type == A and data_length == 4:
                addresses[owner] = ".".join(str(byte) for byte in data)
            elif record_class == IN and record_type == TXT:
                texts.setdefault(owner, []).extend(read_strings(data))
            elif record_class == IN and record_type == SOA:
                _, after = read_name(at)
                _, after = read_name(after)
                (serial,) = struct.unpack_from("!I", message, after)
            at += data_length
        return serial, services, addresses, texts
    except struct.error:
        raise BadDatagram("truncated response") from None
