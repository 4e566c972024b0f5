"""Drains are noticed by a real process after responses with a wrong serial number."""

import time
import unittest

from spurdeal.lab import name_server
from tests.faulty_names import FaultyNameService
from tests.processes import Addresses
from tests.test_unheard_drains import UnheardCase

PREDECESSOR_NUMBER = 5  # of the last list before the restart; a dispatcher starts from 1
LARGEST_NUMBER = 0xFFFF_FFFF  # of a SOA record, RFC 1035
STALE_ANSWERS = 4


class NumberedNameService(FaultyNameService):
    """Answers the next queries with another serial number and the list as it was at that time."""

    def __init__(self, host: str, port: int, endpoints: list[name_server.Endpoint]) -> None:
        self.renumbered = list[tuple[int, list[name_server.Endpoint]]]()
        super().__init__(host, port, endpoints)

    def renumber(self, number: int, times: int = 1) -> None:
        """Makes the next responses hold the current list under this number."""
        self.renumbered = [(number, list(self.endpoints))] * times

    def answer(self, query: bytes, client_address: tuple[str, int]) -> None:
        """Answers one query."""
        if not self.renumbered:
            super().answer(query, client_address)
            return
        number, endpoints = self.renumbered.pop()
        response = name_server.answer(
            query, number, *(endpoint.record() for endpoint in endpoints), flags=0x8400
        )
        self.socket.sendto(response, client_address)


class Renumbered(UnheardCase):
    """Two servers, one of which drains, under continuous requests."""

    addresses = Addresses.in_subnet(72)
    name_service = NumberedNameService
    names: NumberedNameService

    def check_drain_behind(self, number: int, times: int = 1) -> None:
        """Checks that a drain announced after responses with that number is followed within the grace."""
        self.dispatcher()
        self.names.renumber(number, times)
        self.send_requests_until(time.monotonic() + 1.0)
        self.assertEqual(self.names.renumbered, [])
        self.check_announced_drain(2.0)

    def test_a_drain_is_noticed_after_a_response_with_a_number_from_before_a_restart(
        self,
    ) -> None:
        self.check_drain_behind(PREDECESSOR_NUMBER)

    def test_a_drain_is_noticed_after_a_response_with_the_largest_number(self) -> None:
        self.check_drain_behind(LARGEST_NUMBER)


if __name__ == "__main__":
    unittest.main()
