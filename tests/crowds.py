"""A flood of clients that connect and send no whole request, on real sockets in a thread of their own."""

import contextlib
import errno
import selectors
import socket
import threading
import time
from dataclasses import dataclass

TRICKLED = b"POST /ops/lookup HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: "
TRICKLE_EVERY = 1.0  # seconds between two bytes that one client sends
POLL_FOR = 0.02  # seconds; the timeout of a poll
CONNECTS_A_ROUND = 200  # so that connections which were closed are noticed in between


@dataclass(frozen=True, slots=True)
class Behavior:
    """What each client of a crowd does once it is connected: first bytes, slow sending, reconnecting."""

    first: bytes = b""
    trickles: bool = False
    reconnects: bool = False


class CrowdClient:
    """One client of a crowd: its socket, and how many bytes it has sent slowly."""

    def __init__(self) -> None:
        self.socket: socket.socket | None = None
        self.sent = 0
        self.next_byte_at = 0.0


class Crowd:
    """`size` clients of the same behavior. A context manager; its exit stops them."""

    def __init__(self, address: tuple[str, int], size: int, behavior: Behavior) -> None:
        self.address, self.behavior = address, behavior
        self.clients = [CrowdClient() for _ in range(size)]
        self.selector = selectors.DefaultSelector()
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.connects = self.ends = 0

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
        waiting = list(self.clients)
        while not self.stopping.is_set():
            for client in waiting[:CONNECTS_A_ROUND]:
                self.connect(client)
            del waiting[:CONNECTS_A_ROUND]
            for key, events in self.selector.select(0.0 if waiting else POLL_FOR):
                ended = self.serve(key.data, events)
                if ended:
                    self.ends += 1
                    self.close(key.data)
                    if self.behavior.reconnects:
                        waiting.append(key.data)
            if self.behavior.trickles:
                self.trickle(time.monotonic())

    def connect(self, client: CrowdClient) -> None:
        client.socket, client.sent = socket.socket(), 0
        client.socket.setblocking(False)
        result = client.socket.connect_ex(self.address)
        if result not in (0, errno.EINPROGRESS):
            raise OSError(result, "connect")
        self.connects += 1
        self.selector.register(client.socket, selectors.EVENT_READ | selectors.EVENT_WRITE, client)

    def serve(self, client: CrowdClient, events: int) -> bool:
        """Handles a client's events; returns whether its connection has ended."""
        assert client.socket is not None
        try:
            if events & selectors.EVENT_WRITE:  # connected
                self.selector.modify(client.socket, selectors.EVENT_READ, client)
                client.next_byte_at = time.monotonic() + TRICKLE_EVERY
                if self.behavior.first:
                    client.socket.send(self.behavior.first)
            return bool(events & selectors.EVENT_READ) and client.socket.recv(4096) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    def trickle(self, now: float) -> None:
        for client in self.clients:
            if client.socket is not None and 0 < client.next_byte_at <= now:
                client.next_byte_at = now + TRICKLE_EVERY
                at = client.sent % len(TRICKLED)
                client.sent += 1
                with contextlib.suppress(OSError):  # `serve` detects the end
                    client.socket.send(TRICKLED[at : at + 1])

    def close(self, client: CrowdClient) -> None:
        if client.socket is not None:
            self.selector.unregister(client.socket)
            client.socket.close()
            client.socket, client.next_byte_at = None, 0.0
