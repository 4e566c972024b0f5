"""Reads and writes made on a connection's socket at once, ahead of the transport's own turn in the loop.

The transport stays in charge: what is not read or written here it reads or writes in its next round, and it
finds and reports an end or an error. Its sockets do not block."""

from typing import Any

READ_SIZE = 65_536


def receive(transport: Any) -> bytes | None:
    """What has arrived and was not read: b"" where the far side has ended it, None where nothing has come."""
    try:
        return bytes(transport.getHandle().recv(READ_SIZE))
    except BlockingIOError:
        return None
    except OSError:
        return b""


def send(transport: Any, message: bytes) -> int:
    """How many bytes the system has taken. The transport itself must hold none that go before them."""
    try:
        return int(transport.getHandle().send(message))
    except OSError:
        return 0
