"""Non-blocking reads and writes on a transport's socket, made at once instead of in the loop's next round.

The transport still reads and writes what is left in its next round, and still detects and reports end of
stream and errors.
"""

from typing import Any

READ_SIZE = 65_536


def receive(transport: Any) -> bytes | None:
    """Reads pending input: b"" at end of stream or on an error, None if there is no input."""
    try:
        return bytes(transport.getHandle().recv(READ_SIZE))
    except BlockingIOError:
        return None
    except OSError:
        return b""


def send(transport: Any, message: bytes) -> int:
    """Writes; returns how many bytes the system accepted. The transport's own write buffer must be empty."""
    try:
        return int(transport.getHandle().send(message))
    except OSError:
        return 0
