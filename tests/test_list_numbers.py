"""Answers whose number does not fit the list in force: a real process goes on learning of drains."""

import time
import unittest

from spurdeal.lab import names
from tests.faulty_names import FaultyNameService
from tests.processes import Addresses
from tests.test_unheard_drains import UnheardCase

PREDECESSOR_NUMBER = 5  # of the last list that a process before the restart was told; a start begins from 1
LARGEST_NUMBER = 0xFFFF_FFFF  # of a SOA record, RFC 1035
STALE_ANSWERS = 4


class NumberedNameService(FaultyNameService):
    """Answers the next questions with another number, and with the list as it stood then."""

    def __init__(self, host: str, port: int, endpoints: list[names.Endpoint]) -> None:
        self.renumbered = list[tuple[int, list[names.Endpoint]]]()
        super().__init__(host, port, endpoints)

    def renumber(self, number: int, times: int = 1) -> None:
        """The next answers hold the list of now under this number."""
        self.renumbered = [(number, list(self.endpoints))] * times

    def answer(self, question: bytes, asker: tuple[str, int]) -> None:
        """One question."""
        if not self.renumbered:
            super().answer(question, asker)
            return
        number, endpoints = self.renumbered.pop()
        told = names.answer(question, number, *(endpoint.record() for endpoint in endpoints), flags=0x8400)
        self.socket.sendto(told, asker)


class Renumbered(UnheardCase):
    """Two servers, one of which drains, and requests all the while."""

    addresses = Addresses.in_subnet(72)
    name_service = NumberedNameService
    names: NumberedNameService

    def check_drain_behind(self, number: int, times: int = 1) -> None:
        """A server drains behind answers of that number: nothing comes there later than the grace allows."""
        self.dispatcher()
        self.names.renumber(number, times)
        self.ask_until(time.monotonic() + 1.0)
        self.assertEqual(self.names.renumbered, [])
        self.check_drain_told(2.0)

    def test_a_drain_is_learned_behind_an_answer_with_the_numbers_of_the_process_before_a_restart(
        self,
    ) -> None:
        self.check_drain_behind(PREDECESSOR_NUMBER)

    def test_a_drain_is_learned_behind_an_answer_with_the_largest_number(self) -> None:
        self.check_drain_behind(LARGEST_NUMBER)


if __name__ == "__main__":
    unittest.main()
