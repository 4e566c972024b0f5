"""A look at what a connection's far side has sent and nobody has read yet."""

import socket
from typing import Any

LOOK = int(socket.MSG_PEEK | socket.MSG_DONTWAIT)  # joined once: these are enum members, slow to combine


def pending(transport: Any) -> bytes | None:
    """The first byte that waits there, b"" where the far side has ended it, None where nothing has come.

    Takes nothing (recv(2), MSG_PEEK). An end behind bytes is not seen before they are read."""
    try:
        return bytes(transport.getHandle().recv(1, LOOK))
    except BlockingIOError:
        return None
    except OSError:
        return b""
