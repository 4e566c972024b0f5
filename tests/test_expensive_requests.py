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
from unittest.mock import patch

from spurdeal.net import statement
from spurdeal.net.counters import Counters
from spurdeal.net.group_lookup import MAX_TOKENS, TOKENS_PER_MS, UNLIMITED_BYTES, GroupLookup
from spurdeal.net.statement import NO_GROUP
from tests.processes import Addresses, ProcessCase, counters_at_exit

WAIT_MS = 1000
LOST_AFTER = 1.5  # seconds; a request is lost half a second after its time
AT_ONCE = 40
STATEMENT_BYTES = 60_000
OBSERVED = 2.5  # seconds for which usual requests are sent behind the expensive ones
PAUSE = 0.05  # seconds between two usual requests
USUAL = b"SELECT day FROM sales_17.orders"
TABLE = b" from sales_17.orders"
LONG = b"();," * (STATEMENT_BYTES // 4)
BRACKETS = b"(" * (STATEMENT_BYTES // 2) + b")" * (STATEMENT_BYTES // 2)
TOKENS = statement.tokens


def request(ident: int, statement: bytes) -> bytes:
    """A request of the workload `lookup`."""
    head = (
        "POST /ops/lookup HTTP/1.1\r\nHost: origin.svc\r\n"
        f"Req-Id: {ident:016x}\r\nReq-Wait-Ms: {WAIT_MS}\r\nContent-Length: {len(statement)}\r\n\r\n"
    )
    return head.encode() + statement


class Lookup(unittest.TestCase):
    """The groups of long statements, and the tokens that are read for them."""

    def setUp(self) -> None:
        self.now = 0.0
        self.counters = Counters()
        self.lookup = GroupLookup(lambda: self.now, self.counters)

    def test_the_allowance_bounds_the_tokens_of_all_long_statements(self) -> None:
        for text in (LONG, b"/**/" * (STATEMENT_BYTES // 4), b"$$$$" * (STATEMENT_BYTES // 4)):
            with self.subTest(text[:4]), patch.object(statement, "tokens", self.counted_tokens):
                self.setUp()
                self.read = 0
                for _ in range(AT_ONCE):
                    self.lookup.group_of(text + TABLE)
                self.assertLessEqual(self.read, MAX_TOKENS + AT_ONCE)  # one more of each, at the limit
                self.assertEqual(self.counters.figures()["statements_not_read"], AT_ONCE)

    def counted_tokens(self, text: str) -> Iterator[str]:
        """The tokens of a text; counts each that is read."""
        for token in TOKENS(text):
            self.read += 1
            yield token

    def test_short_statements_keep_their_groups_when_the_allowance_is_used_up(self) -> None:
        self.lookup.group_of(LONG + TABLE)
        self.assertEqual(self.lookup.group_of(b"select 1" + TABLE), 17)
        self.assertEqual(self.lookup.group_of(b"select 1" + b" " * 2 * UNLIMITED_BYTES + TABLE), NO_GROUP)

    def test_the_allowance_is_restored_with_time(self) -> None:
        self.lookup.group_of(LONG + TABLE)
        self.now += MAX_TOKENS / TOKENS_PER_MS
        self.assertEqual(self.lookup.group_of(b"(" * (MAX_TOKENS // 2) + b"select 1" + TABLE), 17)

    def test_a_name_that_is_cut_by_the_limit_is_no_group(self) -> None:
        for limit in range(6):
            with self.subTest(limit):
                self.assertEqual(statement.read(b"from a_1.b_2.c", limit), (NO_GROUP, limit, False))
        self.assertEqual(statement.read(b"from a_1.b_2.c", 6), (2, 6, True))

    def test_a_long_statement_whose_table_comes_first_is_read_no_further(self) -> None:
        for _ in range(AT_ONCE):
            self.assertEqual(self.lookup.group_of(b"insert into c_2.d values " + b"(1)," * 10_000), 2)


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

    def test_many_long_statements_leave_others_their_answers(self) -> None:
        # Guards against work that is bounded for each statement, and adds up over all that arrive at once.
        counters = self.serve_beside(LONG + TABLE)
        self.assertGreater(counters["answers_200"], 0)
        self.assertGreater(counters["statements_not_read"], 0)


if __name__ == "__main__":
    unittest.main()
