"""gRPC over HTTP/2: its framed messages, its headers and its status codes. Free of I/O."""

from __future__ import annotations

import struct
from enum import IntEnum

PREFIX = struct.Struct("!BI")  # whether it is compressed, and the message's length
RESPONSE_HEADERS = ((b":status", b"200"), (b"content-type", b"application/grpc"))


class Status(IntEnum):
    """Status codes of gRPC that are used here."""

    OK = 0
    INVALID_ARGUMENT = 3
    DEADLINE_EXCEEDED = 4
    RESOURCE_EXHAUSTED = 8
    FAILED_PRECONDITION = 9
    UNIMPLEMENTED = 12


class BadFrameError(Exception):
    """Bytes that cannot be taken as a message; the call ends with this status."""

    def __init__(self, status: Status, why: str) -> None:
        super().__init__(why)
        self.status = status


def framed(message: bytes) -> bytes:
    """A message as it goes over the stream."""
    return PREFIX.pack(0, len(message)) + message


def status_headers(status: Status, why: str = "") -> list[tuple[bytes, bytes]]:
    """The headers or trailers that end a call."""
    fields = [(b"grpc-status", b"%d" % status)]
    return [*fields, (b"grpc-message", why.encode())] if why else fields


class MessageReader:
    """Takes a stream's bytes apart into messages of at most `most` bytes."""

    def __init__(self, most: int) -> None:
        self.most, self.unread = most, b""

    def feed(self, data: bytes) -> None:
        """More bytes have come."""
        self.unread += data

    def take(self) -> bytes | None:
        """The next whole message; None until more bytes have come.

        Raises:
            BadFrameError: It is compressed, or longer than `most`.
        """
        if len(self.unread) < PREFIX.size:
            return None
        packed, size = PREFIX.unpack_from(self.unread)
        if packed:
            raise BadFrameError(Status.UNIMPLEMENTED, "messages are not compressed here")
        if size > self.most:
            raise BadFrameError(Status.RESOURCE_EXHAUSTED, "a message is too large")
        end = PREFIX.size + size
        if len(self.unread) < end:
            return None
        message, self.unread = self.unread[PREFIX.size : end], self.unread[end:]
        return message
