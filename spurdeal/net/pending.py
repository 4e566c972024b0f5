"""A look at what has come on a socket and nobody has taken yet: bytes, or connections."""

import select
import socket
import struct
from typing import Any

LOOK = int(socket.MSG_PEEK | socket.MSG_DONTWAIT)  # joined once: these are enum members, slow to combine
# The beginning of struct tcp_info (linux/tcp.h): the state, seven bytes and four figures, then tcpi_unacked
# and tcpi_sacked. Of a listening socket these are the length of its accept queue, now and at most.
LISTENER_INFO = struct.Struct("=B7x16xII")
LISTENING = 10  # TCP_LISTEN, a state of net/tcp_states.h


def peek(transport: Any) -> bytes | None:
    """The first byte that waits there, b"" where the far side has ended it, None where nothing has come.

    Takes nothing (recv(2), MSG_PEEK). An end behind bytes is not seen before they are read."""
    try:
        return bytes(transport.getHandle().recv(1, LOOK))
    except BlockingIOError:
        return None
    except OSError:
        return b""


def may_have_input(transport: Any) -> bool:
    """Whether bytes or an end wait there, or reading fails just now, so that they may."""
    return peek(transport) is not None or bool(getattr(transport.getHandle(), "failing", False))


def has_waiting_connections(port: Any) -> bool:
    """Whether connections wait in a port's backlog; none do where it is closed."""
    return bool(port.connected) and is_readable(port)


def count_waiting_connections(listener: Any) -> int | None:
    """How many connections a listening socket's accept queue holds; None where the system does not tell."""
    try:
        info = listener.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LISTENER_INFO.size)
        state, waiting, most = LISTENER_INFO.unpack(info)
    except (AttributeError, OSError, struct.error):  # no socket, no such option, a shorter answer
        return None
    return int(waiting) if state == LISTENING and most else None


def is_readable(source: Any) -> bool:
    """Whether something waits on a descriptor: bytes, an end, or connections."""
    poll = select.poll()
    poll.register(source.fileno(), select.POLLIN)
    return bool(poll.poll(0))
