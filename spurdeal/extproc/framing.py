"""gRPC over HTTP/2: length-prefixed messages, headers and status codes. No I/O."""

from __future__ import annotations

import struct
from enum import IntEnum

MESSAGE_PREFIX = struct.Struct("!BI")  # compressed flag, message length in bytes
RESPONSE_HEADERS = ((b":status", b"200"), (b"content-type", b"application/grpc"))


class Status(IntEnum):
    """The gRPC status codes in use."""

    OK = 0
    INVALID_ARGUMENT = 3
    DEADLINE_EXCEEDED = 4
    RESOURCE_EXHAUSTED = 8
    FAILED_PRECONDITION = 9
    UNIMPLEMENTED = 12


class BadFrameError(Exception):
    """A message that cannot be decoded; the call ends with this status."""

    def __init__(self, status: Status, why: str) -> None:
        super().__init__(why)
        self.status = status


def frame_message(message: bytes) -> bytes:
    """Prefix a message with its length, uncompressed."""
    return MESSAGE_PREFIX.pack(0, len(message)) + message


def status_headers(status: Status, why: str = "") -> list[tuple[bytes, bytes]]:
    """Return the trailers that end a call."""
    fields = [(b"grpc-status", b"%d" % status)]
    return [*fields, (b"grpc-message", why.encode())] if why else fields


class MessageReader:
    """Splits a stream's bytes into messages of at most `max_bytes` bytes."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes, self.buffer = max_bytes, b""

    def feed(self, data: bytes) -> None:
        """Append received bytes."""
        self.buffer += data

    def take(self) -> bytes | None:
        """Return the next complete message; None if more bytes are needed.

        Raises:
            BadFrameError: The message is compressed, or longer than `max_bytes`.
        """
        if len(self.buffer) < MESSAGE_PREFIX.size:
            return None
        compressed, size = MESSAGE_PREFIX.unpack_from(self.buffer)
        if compressed:
            raise BadFrameError(Status.UNIMPLEMENTED, "messages are not compressed here")
        if size > self.max_bytes:
            raise BadFrameError(Status.RESOURCE_EXHAUSTED, "a message is too large")
        end = MESSAGE_PREFIX.size + size
        if len(self.buffer) < end:
            return None
        message, self.buffer = self.buffer[MESSAGE_PREFIX.size : end], self.buffer[end:]
        return message
