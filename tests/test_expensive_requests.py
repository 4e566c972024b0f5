"""Service to usual clients while others send requests that are expensive to read, on real processes.

Guards against work in the event loop that grows faster than a request's length, or that adds up over many
requests that arrive at once: all other clients wait for it, and their requests are lost.
"""

import contextlib
import signal
import socket
import time
import unittest
from collections.abc import Iterator
from http.client import HTTPConnection

from tests.processes import Addresses, ProcessCase, counters_at_exit

WAIT_MS = 1000
LOST_AFTER = 1.5  # seconds; a request is lost half a second after its time
AT_ONCE = 40
STATEMENT_BYTES = 60_000
OBSERVED = 2.5  # seconds for which usual requests are sent behind the expensive ones
PAUSE = 0.05  # seconds between two usual requests
USUAL = b"SELECT day FROM sales_17.orders"
BRACKETS = b"(" * (STATEMENT_BYTES // 2) + b")" * (STATEMENT_BYTES // 2)


def request(ident: int, statement: bytes) -> bytes:
    """A request of the workload `lookup`."""
    head = (
        "POST /ops/lookup HTTP/1.1\r\nHost: origin.svc\r\n"
        f"Req-Id: {ident:016x}\r\nReq-Wait-Ms: {WAIT_MS}\r\nContent-Length: {len(statement)}\r\n\r\n"
    )
    return head.encode() + statement


class ExpensiveStatements(ProcessCase):
    """A dispatcher, two engines, a usual client, and many long statements at once."""

    addresses = Addresses.in_subnet(73)

    def setUp(self) -> None:
        super().setUp()
        self.start_stand_ins()
        self.configure(limits={"sockets": 1024})
        self.dispatcher = self.start_dispatcher()
        self.await_ready(self.dispatcher)

    @contextlib.contextmanager
    def expensive_requests(self, statement: bytes) -> Iterator[None]:
        """Send the statement AT_ONCE times, each on a connection of its own."""
        with contextlib.ExitStack() as connections:
            for number in range(AT_ONCE):
                address = (self.addresses.dispatcher, self.addresses.port)
                connection = connections.enter_context(socket.create_connection(address))
                connection.sendall(request(1000 + number, statement))
            yield

    def usual_request(self, connection: HTTPConnection, ident: int) -> None:
        """Make a request; it must be answered before it counts as lost."""
        sent_at = time.monotonic()
        headers = {"Req-Id": f"{ident:016x}", "Req-Wait-Ms": str(WAIT_MS)}
        connection.request("POST", "/ops/lookup", USUAL, headers)
        answer = connection.getresponse()
        answer.read()
        self.assertLess(time.monotonic() - sent_at, LOST_AFTER)
        self.assertIn(answer.status, (200, 503))

    def serve_beside(self, statement: bytes) -> dict[str, int]:
        """Make usual requests beside the expensive ones; returns the dispatcher's counters."""
        usual = HTTPConnection(self.addresses.dispatcher, self.addresses.port, timeout=60)
        with contextlib.closing(usual), self.expensive_requests(statement):
            until, ident = time.monotonic() + OBSERVED, 1
            while time.monotonic() < until:
                self.usual_request(usual, ident)
                ident += 1
                time.sleep(PAUSE)
        self.dispatcher.send_signal(signal.SIGTERM)
        _, log = self.dispatcher.communicate(timeout=60)
        return counters_at_exit(log)

    def test_deep_parentheses_leave_others_their_answers(self) -> None:
        # Guards against a copy of all open parentheses at each closing one.
        counters = self.serve_beside(BRACKETS)
        self.assertGreater(counters["answers_200"], 0)


if __name__ == "__main__":
    unittest.main()
