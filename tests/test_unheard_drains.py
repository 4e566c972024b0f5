"""A drain that the name service has told, and that a real process has not heard: nothing goes there."""

import json
import signal
import sys
import time
import unittest

from tests.faulty_names import Fault, FaultyNameService
from tests.processes import NAMES_PORT, Addresses
from tests.test_discovery_faults import FaultyCase

GRACE, SLACK = 0.25, 0.05  # seconds, as the settings and the protocol page have them
NEWS_WITHIN = 7.0  # seconds after which a change counts as told, whether or not an answer arrived
MOVED_PORT = NAMES_PORT + 1
ASK_EACH = 0.01  # seconds


class UnheardCase(FaultyCase):
    """Two servers, one of which drains, and requests all the while."""

    addresses = Addresses.in_subnet(69)
    name_service = FaultyNameService
    names: FaultyNameService

    def ask_until(self, end: float) -> None:
        """Requests side by side, one each 10 ms."""
        while time.monotonic() < end:
            self.ask()
            time.sleep(ASK_EACH)

    def told(self) -> float:
        """When the first answer with the list in force at the name service was sent."""
        until = time.monotonic() + 5.0
        while self.names.serial not in self.names.sent:
            self.assertLess(time.monotonic(), until, "no question came")
            self.ask()
            time.sleep(ASK_EACH)
        return self.names.sent[self.names.serial]

    def late(self, told: float) -> list[float]:
        """When requests came to the draining server after the grace, in seconds after it was told."""
        arrivals = self.servers[0].since(told + GRACE + SLACK)
        return [round(arrival.at - told, 3) for arrival in arrivals]

    def serve_again(self) -> None:
        """Both servers are ready, and the dispatcher knows."""
        self.names.change(lambda endpoint: endpoint._replace(draining=False))
        time.sleep(0.5)

    def check_drain(self, fault: Fault, times: int, seconds: float, then: Fault | None = None) -> None:
        """A server drains as the next answers fail: nothing comes there later than the grace allows."""
        self.names.fail(fault, times, then)
        self.check_drain_told(seconds)

    def check_drain_told(self, seconds: float) -> None:
        """A server drains: nothing comes there later than the grace allows, for so many seconds."""
        self.names.drain("s-0")
        told = self.told()
        self.ask_until(told + seconds)
        self.assertEqual(self.late(told), [])


class UnheardDrains(UnheardCase):
    """A drain that was told in answers which did not arrive."""

    def test_nothing_goes_to_a_server_whose_drain_was_told_in_lost_answers(self) -> None:
        self.dispatcher()
        for lost in (1, 2, 3, 5):
            with self.subTest(lost=lost):
                self.serve_again()
                self.check_drain(Fault.LOST, lost, 1.5)

    def test_nothing_goes_to_a_server_whose_drain_was_told_in_unusable_answers(self) -> None:
        self.dispatcher()
        self.check_drain(Fault.UNUSABLE, 3, 1.5)

    def test_nothing_goes_to_a_server_whose_drain_was_told_in_a_lost_answer_before_a_silence(self) -> None:
        self.dispatcher()
        self.check_drain(Fault.LOST, 1, 3.0, then=Fault.SILENT)

    def test_nothing_goes_to_a_server_whose_drain_was_told_in_lost_answers_behind_a_silence(self) -> None:
        self.dispatcher()
        self.names.fail(Fault.SILENT, sys.maxsize)
        self.ask_until(time.monotonic() + 2.0)
        self.check_drain(Fault.LOST, 2, 1.5)

    def test_nothing_goes_by_a_list_that_is_older_than_news_may_take(self) -> None:
        self.dispatcher()
        self.names.fail(Fault.SILENT, sys.maxsize)
        time.sleep(0.3)
        self.names.drain("s-0")
        told = time.monotonic() + NEWS_WITHIN
        time.sleep(NEWS_WITHIN - 0.5)
        self.ask_until(told + 1.5)
        self.names.fail(Fault.SILENT, 0)
        self.assertEqual(self.late(told), [])
        self.ask_until(time.monotonic() + 0.5)
        answers = [self.ask() for _ in range(10)]
        self.assertEqual([answer.result() for answer in answers], [200] * 10)

    def test_nothing_goes_to_a_server_whose_drain_was_told_by_the_address_before_a_move(self) -> None:
        child = self.dispatcher()
        moved = FaultyNameService(self.addresses.names, MOVED_PORT, list(self.names.endpoints))
        moved.fail(Fault.SILENT, sys.maxsize)
        self.addCleanup(moved.close)
        told = json.loads(self.configured.read_text())
        told["nameserver"] = f"{self.addresses.names}:{MOVED_PORT}"
        self.configured.write_text(json.dumps(told))
        self.names.delay = 0.1
        time.sleep(0.3)
        self.names.drain("s-0")
        sent = self.told()
        child.send_signal(signal.SIGHUP)
        self.ask_until(sent + 2.0)
        self.assertEqual(self.late(sent), [])


if __name__ == "__main__":
    unittest.main()
