"""The soak's stand-in name service: what each kind of answer informs of, whom, and what arrives."""

import asyncio
import random
import unittest
from typing import Any

from spurdeal.lab import name_server
from spurdeal.net import dns
from spurdeal.net.names import SERVICE
from tests.soak.judge import Outage, Records
from tests.soak.name_service import Condition, NameService

IDENT, HOSTS = 0x1234, ("127.0.0.1", "127.0.0.2")
DRAINING = [name_server.Endpoint("s-0", "127.0.0.9", 7001, draining=True)]


class Transport:
    """Keeps the datagrams sent."""

    def __init__(self) -> None:
        self.sent: list[bytes] = []

    def sendto(self, answer: bytes, _source: Any) -> None:
        self.sent.append(answer)

    def is_closing(self) -> bool:
        return False


class Answering(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.records, self.transport = Records(), Transport()
        self.names = NameService(self.records, {host: n for n, host in enumerate(HOSTS)}, random.Random(1))
        for dispatcher in range(len(HOSTS)):
            self.names.dispatcher_started(dispatcher)
        self.names.change([DRAINING[0]._replace(draining=False)])
        self.names.change(DRAINING, "s-0")

    def send_query(self, dispatcher: int = 0) -> list[bytes]:
        """Send a query; returns the answers that were sent at once."""
        self.transport.sent.clear()
        query = dns.encode_query(IDENT, SERVICE, dns.SRV)
        self.names.query_received(query, (HOSTS[dispatcher], 1), self.transport)
        return self.transport.sent

    def informed(self) -> list[int]:
        """The dispatchers that count as informed of the drain."""
        return sorted(self.records.changes[0].informed)

    def serial(self, answer: bytes) -> int | None:
        read = dns.decode_response(answer, int.from_bytes(answer[:2], "big"), SERVICE, dns.SRV)
        assert read is not None
        return read[0]

    async def test_an_answer_informs_only_the_dispatcher_that_queried(self) -> None:
        self.assertEqual([self.serial(each) for each in self.send_query()], [3])
        self.assertEqual(self.informed(), [0])

    async def test_a_lost_or_corrupt_answer_informs_too(self) -> None:
        for fault, arriving in (("lost", 0), ("servfail", 1), ("cut", 1), ("wrong_id", 1)):
            with self.subTest(fault), self.names.active(Condition(**{fault: 1.0})):  # type: ignore[arg-type]
                self.records.changes[0].informed.clear()
                self.assertEqual(len(self.send_query()), arriving)
                self.assertEqual(self.informed(), [0])

    async def test_unusable_answers_cannot_be_decoded(self) -> None:
        for fault in ("servfail", "cut"):
            with self.subTest(fault), self.names.active(Condition(**{fault: 1.0})):  # type: ignore[arg-type]
                self.assertRaises(dns.BadDatagram, self.serial, self.send_query()[0])

    async def test_a_wrong_id_is_that_of_another_query(self) -> None:
        with self.names.active(Condition(wrong_id=1.0)):
            (answer,) = self.send_query()
        self.assertEqual(int.from_bytes(answer[:2], "big"), IDENT ^ 0x55)
        self.assertEqual(self.serial(answer), 3)

    async def test_an_old_answer_informs_only_of_what_it_holds(self) -> None:
        with self.names.active(Condition(old=1.0)):
            (answer,) = self.send_query()
        self.assertLess(self.serial(answer) or 0, 3)
        self.assertEqual(int.from_bytes(answer[:2], "big"), IDENT)
        self.assertEqual(self.informed(), [])

    async def test_silence_for_one_dispatcher_excuses_no_other(self) -> None:
        with self.names.active(Condition(silent=True, dispatchers=frozenset({1}))):
            self.assertEqual((len(self.send_query(0)), len(self.send_query(1))), (1, 0))
        (outage,) = self.records.outages
        self.assertEqual([outage.applies_to(0), outage.applies_to(1)], [False, True])

    async def test_conditions_are_active_at_the_same_time(self) -> None:
        with self.names.active(Condition(silent=True)):
            with self.names.active(Condition(lost=1.0)):
                pass
            self.assertEqual(self.send_query(), [])
        self.assertEqual(len(self.send_query()), 1)

    async def test_an_answer_informs_when_it_is_sent_not_when_it_arrives(self) -> None:
        with self.names.active(Condition(way=(0.05, 0.1))):
            self.assertEqual((self.send_query(), self.informed()), ([], [0]))
        await asyncio.sleep(0.15)
        self.assertEqual(len(self.transport.sent), 1)

    async def test_a_delayed_answer_informs_when_it_is_sent(self) -> None:
        with self.names.active(Condition(held=0.05)):
            self.assertEqual((self.send_query(), self.informed()), ([], []))
        await asyncio.sleep(0.1)
        self.assertEqual((len(self.transport.sent), self.informed()), (1, [0]))

    async def test_a_change_is_visible_later_to_a_dispatcher_with_a_lag(self) -> None:
        with self.names.active(Condition(lag=1.0, dispatchers=frozenset({1}))):
            self.names.change([])
        self.assertEqual([self.serial(self.send_query(dispatcher)[0]) for dispatcher in (0, 1)], [4, 3])

    async def test_outages_of_one_dispatcher(self) -> None:
        outage = Outage(1.0, 2.0, frozenset({1}))
        self.assertEqual([outage.applies_to(dispatcher) for dispatcher in (0, 1)], [False, True])


if __name__ == "__main__":
    unittest.main()
