"""The soak's name service: what each kind of answer tells, to whom, and what arrives of it."""

import asyncio
import random
import unittest
from typing import Any

from spurdeal.lab import names
from spurdeal.net import dns
from spurdeal.net.names import SERVICE
from tests.soak.judge import Outage, Records
from tests.soak.name_service import Condition, NameService

IDENT, HOSTS = 0x1234, ("127.0.0.1", "127.0.0.2")
DRAINING = [names.Endpoint("s-0", "127.0.0.9", 7001, draining=True)]


class Transport:
    """Keeps what is sent."""

    def __init__(self) -> None:
        self.sent: list[bytes] = []

    def sendto(self, answer: bytes, _asker: Any) -> None:
        self.sent.append(answer)

    def is_closing(self) -> bool:
        return False


class Answering(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.records, self.transport = Records(), Transport()
        self.names = NameService(self.records, {host: n for n, host in enumerate(HOSTS)}, random.Random(1))
        for dispatcher in range(len(HOSTS)):
            self.names.started(dispatcher)
        self.names.change([DRAINING[0]._replace(draining=False)])
        self.names.change(DRAINING, "s-0")

    def ask(self, dispatcher: int = 0) -> list[bytes]:
        """A question; what was sent as its answer at once."""
        self.transport.sent.clear()
        question = dns.encode_query(IDENT, SERVICE, dns.SRV)
        self.names.asked(question, (HOSTS[dispatcher], 1), self.transport)
        return self.transport.sent

    def told(self) -> list[int]:
        """Who counts as told of the drain."""
        return sorted(self.records.changes[0].told)

    def serial(self, answer: bytes) -> int | None:
        read = dns.decode_response(answer, int.from_bytes(answer[:2], "big"), SERVICE, dns.SRV)
        assert read is not None
        return read[0]

    async def test_an_answer_tells_its_asker_alone(self) -> None:
        self.assertEqual([self.serial(each) for each in self.ask()], [3])
        self.assertEqual(self.told(), [0])

    async def test_a_lost_or_spoilt_answer_tells_all_the_same(self) -> None:
        for fault, arrive in (("lost", 0), ("servfail", 1), ("cut", 1), ("wrong_id", 1)):
            with self.subTest(fault), self.names.under(Condition(**{fault: 1.0})):  # type: ignore[arg-type]
                self.records.changes[0].told.clear()
                self.assertEqual(len(self.ask()), arrive)
                self.assertEqual(self.told(), [0])

    async def test_what_cannot_be_used_cannot_be_read(self) -> None:
        for fault in ("servfail", "cut"):
            with self.subTest(fault), self.names.under(Condition(**{fault: 1.0})):  # type: ignore[arg-type]
                self.assertRaises(dns.BadDatagram, self.serial, self.ask()[0])

    async def test_a_wrong_id_is_that_of_another_question(self) -> None:
        with self.names.under(Condition(wrong_id=1.0)):
            (answer,) = self.ask()
        self.assertEqual(int.from_bytes(answer[:2], "big"), IDENT ^ 0x55)
        self.assertEqual(self.serial(answer), 3)

    async def test_an_old_answer_tells_nothing_that_it_does_not_hold(self) -> None:
        with self.names.under(Condition(old=1.0)):
            (answer,) = self.ask()
        self.assertLess(self.serial(answer) or 0, 3)
        self.assertEqual(int.from_bytes(answer[:2], "big"), IDENT)
        self.assertEqual(self.told(), [])

    async def test_silence_for_one_dispatcher_excuses_no_other(self) -> None:
        with self.names.under(Condition(silent=True, dispatchers=frozenset({1}))):
            self.assertEqual((len(self.ask(0)), len(self.ask(1))), (1, 0))
        (outage,) = self.records.outages
        self.assertEqual([outage.concerns(0), outage.concerns(1)], [False, True])

    async def test_conditions_hold_side_by_side(self) -> None:
        with self.names.under(Condition(silent=True)):
            with self.names.under(Condition(lost=1.0)):
                pass
            self.assertEqual(self.ask(), [])
        self.assertEqual(len(self.ask()), 1)

    async def test_an_answer_on_its_way_was_told_when_it_was_sent(self) -> None:
        with self.names.under(Condition(way=(0.05, 0.1))):
            self.assertEqual((self.ask(), self.told()), ([], [0]))
        await asyncio.sleep(0.15)
        self.assertEqual(len(self.transport.sent), 1)

    async def test_an_answer_that_is_held_back_tells_when_it_is_sent(self) -> None:
        with self.names.under(Condition(held=0.05)):
            self.assertEqual((self.ask(), self.told()), ([], []))
        await asyncio.sleep(0.1)
        self.assertEqual((len(self.transport.sent), self.told()), (1, [0]))

    async def test_a_change_is_shown_later_to_whom_it_lags(self) -> None:
        with self.names.under(Condition(lag=1.0, dispatchers=frozenset({1}))):
            self.names.change([])
        self.assertEqual([self.serial(self.ask(dispatcher)[0]) for dispatcher in (0, 1)], [4, 3])

    async def test_outages_of_one_dispatcher(self) -> None:
        outage = Outage(1.0, 2.0, frozenset({1}))
        self.assertEqual([outage.concerns(dispatcher) for dispatcher in (0, 1)], [False, True])


if __name__ == "__main__":
    unittest.main()
