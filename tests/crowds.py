"""A flood of clients that connect and send no whole request, on real sockets in a thread of their own."""

import contextlib
import errno
import selectors
import socket
import threading
import time
from dataclasses import dataclass

TRICKLED_BYTES = b"POST /ops/lookup HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: "
TRICKLE_INTERVAL = 1.0  # seconds between two bytes that one client sends
POLL_TIMEOUT = 0.02  # seconds
MAX_CONNECTS_PER_ROUND = 200  # so that closed connections are detected in between


@dataclass(frozen=True, slots=True)
class Behavior:
    """What each client of a crowd does once it is connected.

    Attributes:
        first: Bytes sent at once.
        trickles: Whether it sends a partial request, one byte per TRICKLE_INTERVAL.
        reconnects: Whether it connects again after its connection was closed.
    """

    first: bytes = b""
    trickles: bool = False
    reconnects: bool = False


class CrowdClient:
    """One client of a crowd.

    Attributes:
        socket: Its connection, if any.
        sent: Number of trickled bytes.
        next_byte_at: When the next byte is due, on the monotonic clock; 0 until it is connected.
    """

    def __init__(self) -> None:
        self.socket: socket.socket | None = None
        self.sent = 0
        self.next_byte_at = 0.0


class Crowd:
    """`size` clients of the same behavior. A context manager; its exit stops them.

    Attributes:
        connects: Number of connection attempts.
        disconnects: Number of connections that have ended.
    """

    def __init__(self, address: tuple[str, int], size: int, behavior: Behavior) -> None:
        self.address, self.behavior = address, behavior
        self.clients = [CrowdClient() for _ in range(size)]
        self.selector = selectors.DefaultSelector()
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.connects = self.disconnects = 0

    def __enter__(self) -> "Crowd":
        self.thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stopping.set()
        self.thread.join(30)
        for client in self.clients:
            self.close(client)
        self.selector.close()

    def run(self) -> None:
        """Runs the clients until the crowd is stopped."""
        waiting = list(self.clients)
        while not self.stopping.is_set():
            for client in waiting[:MAX_CONNECTS_PER_ROUND]:
                self.connect(client)
            del waiting[:MAX_CONNECTS_PER_ROUND]
            for key, events in self.selector.select(0.0 if waiting else POLL_TIMEOUT):
                ended = self.handle_events(key.data, events)
                if ended:
                    self.disconnects += 1
                    self.close(key.data)
                    if self.behavior.reconnects:
                        waiting.append(key.data)
            if self.behavior.trickles:
                self.trickle(time.monotonic())

    def connect(self, client: CrowdClient) -> None:
        """Starts to connect a client."""
        client.socket, client.sent = socket.socket(), 0
        client.socket.setblocking(False)
        result = client.socket.connect_ex(self.address)
        if result not in (0, errno.EINPROGRESS):
            raise OSError(result, "connect")
        self.connects += 1
        self.selector.register(client.socket, selectors.EVENT_READ | selectors.EVENT_WRITE, client)

    def handle_events(self, client: CrowdClient, events: int) -> bool:
        """Handles a client's events; returns whether its connection has ended."""
        assert client.socket is not None
        try:
            if events & selectors.EVENT_WRITE:  # connected
                self.selector.modify(client.socket, selectors.EVENT_READ, client)
                client.next_byte_at = time.monotonic() + TRICKLE_INTERVAL
                if self.behavior.first:
                    client.socket.send(self.behavior.first)
            return bool(events & selectors.EVENT_READ) and client.socket.recv(4096) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    def trickle(self, now: float) -> None:
        """Sends the next byte of each client that is due."""
        for client in self.clients:
            if client.socket is not None and 0 < client.next_byte_at <= now:
                client.next_byte_at = now + TRICKLE_INTERVAL
                at = client.sent % len(TRICKLED_BYTES)
                client.sent += 1
                with contextlib.suppress(OSError):  # `handle_events` detects the end
                    client.socket.send(TRICKLED_BYTES[at : at + 1])

    def close(self, client: CrowdClient) -> None:
        """Closes a client's connection, if it has one."""
        if client.socket is not None:
            self.selector.unregister(client.socket)
            client.socket.close()
            client.socket, client.next_byte_at = None, 0.0
