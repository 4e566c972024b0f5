"""A drain is announced, but a real process does not receive it: no request reaches the engine late."""

import json
import signal
import sys
import time
import unittest

from tests.faulty_names import Fault, FaultyNameService
from tests.processes import NAMES_PORT, Addresses
from tests.test_discovery_faults import FaultyCase

GRACE, SLACK = 0.25, 0.05  # seconds, from the settings and the protocol page
MAX_PROPAGATION_DELAY = (
    7.0  # seconds after which a change counts as announced, whether or not a response arrived
)
MOVED_PORT = NAMES_PORT + 1
REQUEST_INTERVAL = 0.01  # seconds


class UnheardCase(FaultyCase):
    """Two servers, one of which drains, under continuous requests."""

    addresses = Addresses.in_subnet(69)
    name_service = FaultyNameService
    names: FaultyNameService

    def send_requests_until(self, end: float) -> None:
        """Sends a request every 10 ms, without waiting for responses."""
        while time.monotonic() < end:
            self.send_request()
            time.sleep(REQUEST_INTERVAL)

    def announced_at(self) -> float:
        """Waits for the first response with the current list; returns when it was sent."""
        until = time.monotonic() + 5.0
        while self.names.serial not in self.names.sent:
            self.assertLess(time.monotonic(), until, "no query arrived")
            self.send_request()
            time.sleep(REQUEST_INTERVAL)
        return self.names.sent[self.names.serial]

    def late(self, announced_at: float) -> list[float]:
        """Returns when requests reached the draining server too late, in seconds after the announcement."""
        arrivals = self.servers[0].since(announced_at + GRACE + SLACK)
        return [round(arrival.at - announced_at, 3) for arrival in arrivals]

    def serve_again(self) -> None:
        """Ends the drain, and waits until the dispatcher has noticed."""
        self.names.change(lambda endpoint: endpoint._replace(draining=False))
        time.sleep(0.5)

    def check_drain(self, fault: Fault, times: int, seconds: float, then: Fault | None = None) -> None:
        """Checks a drain whose first responses fail: no request arrives after the grace."""
        self.names.fail(fault, times, then)
        self.check_announced_drain(seconds)

    def check_announced_drain(self, seconds: float) -> None:
        """Checks a drain for so many seconds: no request arrives after the grace."""
        self.names.drain("s-0")
        announced_at = self.announced_at()
        self.send_requests_until(announced_at + seconds)
        self.assertEqual(self.late(announced_at), [])


class UnheardDrains(UnheardCase):
    """A drain announced in responses that did not arrive or were unusable."""

    def test_a_drain_announced_in_lost_responses(self) -> None:
        self.dispatcher()
        for lost in (1, 2, 3, 5):
            with self.subTest(lost=lost):
                self.serve_again()
                self.check_drain(Fault.LOST, lost, 1.5)

    def test_a_drain_announced_in_unusable_responses(self) -> None:
        self.dispatcher()
        self.check_drain(Fault.UNUSABLE, 3, 1.5)

    def test_a_drain_announced_in_a_lost_response_before_a_silence(self) -> None:
        self.dispatcher()
        self.check_drain(Fault.LOST, 1, 3.0, then=Fault.SILENT)

    def test_a_drain_announced_in_lost_responses_after_a_silence(self) -> None:
        self.dispatcher()
        self.names.fail(Fault.SILENT, sys.maxsize)
        self.send_requests_until(time.monotonic() + 2.0)
        self.check_drain(Fault.LOST, 2, 1.5)

    def test_no_request_is_sent_by_a_list_older_than_the_propagation_delay(self) -> None:
        self.dispatcher()
        self.names.fail(Fault.SILENT, sys.maxsize)
        time.sleep(0.3)
        self.names.drain("s-0")
        announced_at = time.monotonic() + MAX_PROPAGATION_DELAY
        time.sleep(MAX_PROPAGATION_DELAY - 0.5)
        self.send_requests_until(announced_at + 1.5)
        self.names.fail(Fault.SILENT, 0)
        self.assertEqual(self.late(announced_at), [])
        self.send_requests_until(time.monotonic() + 0.5)
        answers = [self.send_request() for _ in range(10)]
        self.assertEqual([answer.result() for answer in answers], [200] * 10)

    def test_a_drain_announced_by_the_old_address_before_a_move(self) -> None:
        child = self.dispatcher()
        moved = FaultyNameService(self.addresses.names, MOVED_PORT, list(self.names.endpoints))
        moved.fail(Fault.SILENT, sys.maxsize)
        self.addCleanup(moved.close)
        configuration = json.loads(self.configured.read_text())
        configuration["nameserver"] = f"{self.addresses.names}:{MOVED_PORT}"
        self.configured.write_text(json.dumps(configuration))
        self.names.delay = 0.1
        time.sleep(0.3)
        self.names.drain("s-0")
        sent = self.announced_at()
        child.send_signal(signal.SIGHUP)
        self.send_requests_until(sent + 2.0)
        self.assertEqual(self.late(sent), [])


if __name__ == "__main__":
    unittest.main()
