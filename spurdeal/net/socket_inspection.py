"""Inspects a socket without consuming anything: pending input, or connections in the accept queue."""

import select
import socket
import struct
from typing import Any

PEEK_FLAGS = int(socket.MSG_PEEK | socket.MSG_DONTWAIT)  # combined once, as combining enum members is slow
# The start of struct tcp_info (linux/tcp.h): the state, seven bytes and four integers, then tcpi_unacked and
# tcpi_sacked. For a listening socket these are the present and the maximum length of its accept queue.
LISTENER_INFO = struct.Struct("=B7x16xII")
LISTENING = 10  # TCP_LISTEN of net/tcp_states.h


def peek(transport: Any) -> bytes | None:
    """The first pending byte, b"" at end of stream or on an error, None if there is no input.

    Consumes nothing (MSG_PEEK of recv(2)). An end of stream behind unread bytes is not seen.
    """
    try:
        return bytes(transport.getHandle().recv(1, PEEK_FLAGS))
    except BlockingIOError:
        return None
    except OSError:
        return b""


def may_have_input(transport: Any) -> bool:
    """Whether input or an end of stream is pending, or may be, as reading fails with a transient error."""
    return peek(transport) is not None or bool(getattr(transport.getHandle(), "failing", False))


def has_waiting_connections(port: Any) -> bool:
    """Whether connections wait in a port's backlog; False for a closed port."""
    return bool(port.connected) and is_readable(port)


def count_waiting_connections(listener: Any) -> int | None:
    """Length of a listening socket's accept queue; None if the system does not report it."""
    try:
        info = listener.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LISTENER_INFO.size)
        state, waiting, most = LISTENER_INFO.unpack(info)
    except (AttributeError, OSError, struct.error):  # no socket, no such option, or a shorter struct
        return None
    return int(waiting) if state == LISTENING and most else None


def is_readable(source: Any) -> bool:
    """Whether poll(2) reports a descriptor as readable: input, end of stream, or a connection to accept."""
    poll = select.poll()
    poll.register(source.fileno(), select.POLLIN)
    return bool(poll.poll(0))
