"""Runs the dispatcher as a process whose system calls fail as the test's fault table says.

This is a separate program, as the socket class and the poller must be replaced before Twisted imports them.
A call fails before it reaches the system, as with an interposed C library. The interpreter itself retries
calls after EINTR, except connect. Reads and writes may be short, and the wall clock may be stepped, as in
`stepped_process`.
"""

import builtins
import os
import select
import socket
import sys
from pathlib import Path
from typing import Any

from tests.fault_table import FAULTS_FILE, FaultTable
from tests.stepped_process import OFFSET_FILE, step_the_wall_clock

REAL_EPOLL, REAL_OPEN = select.epoll, builtins.open
REAL_SOCKET: Any = socket.socket
DATAGRAM_DESCRIPTORS = set[int]()


def faulty_socket_class(faults: Any) -> type[socket.socket]:
    """A subclass of the system's socket that checks the fault table before each call."""

    class FaultySocket(REAL_SOCKET):  # type: ignore[misc]
        """A socket with injected faults."""

        def __init__(
            self, family: int = -1, type: int = -1, proto: int = -1, fileno: int | None = None
        ) -> None:
            kind = "udp" if type == socket.SOCK_DGRAM else "tcp"
            if fileno is None:
                faults.check(f"{kind}.socket")
            super().__init__(family, type, proto, fileno)
            DATAGRAM_DESCRIPTORS.discard(self.fileno())
            if kind == "udp":
                DATAGRAM_DESCRIPTORS.add(self.fileno())

        def check(self, call: str) -> None:
            kind = "udp" if self.type == socket.SOCK_DGRAM else "tcp"
            faults.check(f"{kind}.{call}")

        def bind(self, address: Any) -> None:
            if self.type == socket.SOCK_DGRAM:
                self.check("bind")
            super().bind(address)

        def getsockname(self) -> Any:
            self.check("getsockname")
            return super().getsockname()

        def getpeername(self) -> Any:
            self.check("getpeername")
            return super().getpeername()

        def setsockopt(self, *arguments: Any) -> None:
            if self.type == socket.SOCK_STREAM:
                self.check("setsockopt")
            super().setsockopt(*arguments)

        def recvfrom(self, *arguments: Any) -> Any:
            self.check("recvfrom")
            return super().recvfrom(*arguments)

        def sendto(self, *arguments: Any) -> int:
            self.check("sendto")
            sent: int = super().sendto(*arguments)
            return sent

        def recv(self, *arguments: Any) -> bytes:
            self.check("recv")
            if most := faults.next_error("tcp.short_recv"):
                arguments = (min(most, arguments[0]), *arguments[1:])
            received: bytes = super().recv(*arguments)
            return received

        def send(self, *arguments: Any) -> int:
            self.check("send")
            if most := faults.next_error("tcp.short_send"):
                arguments = (memoryview(arguments[0])[:most], *arguments[1:])
            sent: int = super().send(*arguments)
            return sent

        def connect_ex(self, address: Any) -> int:
            try:
                self.check("connect")
            except OSError as fault:
                return fault.errno or 0
            error: int = super().connect_ex(address)
            return error

        def accept(self) -> Any:
            self.check("accept")
            return super().accept()

    return FaultySocket


class FaultyPoller:
    """The system's epoll; checks the fault table before each call."""

    def __init__(self, faults: Any, *arguments: Any) -> None:
        self.faults, self.real = faults, REAL_EPOLL(*arguments)
        self.close, self.fileno = self.real.close, self.real.fileno

    def check(self, descriptor: int, call: str) -> None:
        kind = "udp" if descriptor in DATAGRAM_DESCRIPTORS else "tcp"
        self.faults.check(f"{kind}.{call}")

    def register(self, descriptor: int, *arguments: Any) -> None:
        self.check(descriptor, "epoll_add")
        self.real.register(descriptor, *arguments)

    def modify(self, descriptor: int, *arguments: Any) -> None:
        self.check(descriptor, "epoll_mod")
        self.real.modify(descriptor, *arguments)

    def unregister(self, descriptor: int) -> None:
        self.check(descriptor, "epoll_del")
        self.real.unregister(descriptor)

    def poll(self, *arguments: Any) -> Any:
        self.faults.check("epoll_wait")
        return self.real.poll(*arguments)


def install_faults(faults: Any) -> None:
    """Replace the socket class, the poller and `open` that Twisted and the dispatcher use."""
    socket.socket = faulty_socket_class(faults)  # type: ignore[misc]
    select.epoll = lambda *arguments: FaultyPoller(faults, *arguments)  # type: ignore[assignment, misc]

    def faulty_open(path: Any, *arguments: Any, **more: Any) -> Any:
        if path == os.environ.get("ROUTER_CONFIG"):
            faults.check("open")
        return REAL_OPEN(path, *arguments, **more)

    builtins.open = faulty_open  # type: ignore[assignment]


if __name__ == "__main__":
    if OFFSET_FILE in os.environ:
        step_the_wall_clock(os.environ[OFFSET_FILE])
    install_faults(FaultTable(Path(os.environ[FAULTS_FILE])))
    sys.argv = sys.argv[:1]
    from spurdeal.__main__ import main

    sys.exit(main())
