"""A drain is announced among lost, late, old or wrong responses: no request reaches the engine late."""

import json
import signal
import subprocess
import time
import unittest
from typing import Any

from spurdeal.lab import name_server
from tests.processes import NAMES_PORT, Addresses
from tests.scripted_names import Delivery, ScriptedNameService, Step
from tests.test_clock_steps import SteppedCase

GRACE, SLACK = 0.25, 0.05  # seconds, from the settings and the protocol page
MOVED_PORT = NAMES_PORT + 1
REQUEST_INTERVAL = 0.01  # seconds
SCRIPT_TIMEOUT = 30.0  # seconds within which a script reaches its drain
OUTAGE = 3.2  # seconds
LONG_OUTAGE = 7.0  # seconds; leaves 35 queries open, one of which a wrong id may match
SETTLE_TIME = 0.5  # seconds of normal responses before a script
DRAIN, LOST, SENT = Step(Delivery.DRAIN), Step(Delivery.LOST), Step(Delivery.SENT)
NEVER_MATCHED = range(0x38, 0x68)  # low 7 bits of a query id whose corrupted id is that of a later query
OLD, SERVER_FAILURE = Step(Delivery.OLD), Step(Delivery.SERVER_FAILURE)


def for_seconds(delivery: Delivery, seconds: float, delay: float = 0.0) -> Step:
    """Returns a step for all responses of so many seconds."""
    return Step(delivery, seconds=seconds, delay=delay)


def silence(seconds: float) -> Step:
    """Returns a step without responses for so many seconds."""
    return for_seconds(Delivery.SILENT, seconds)


def in_force(serial: int, endpoints: list[name_server.Endpoint]) -> dict[str, Any]:
    """Encodes a list as in the configuration."""
    roster = {
        "generation": 1,
        "reset": True,
        "instances": [endpoint.instance_entry() for endpoint in endpoints],
    }
    return {"no": serial, "items": [{"no": serial, "roster": roster}]}


class ScriptedCase(SteppedCase):
    """A dispatcher, two servers, one of which drains, a scripted name server, and continuous requests."""

    addresses = Addresses.in_subnet(70)
    name_service = ScriptedNameService
    names: ScriptedNameService

    def send_requests_for(self, seconds: float) -> None:
        """Sends a request every 10 ms, without waiting for responses."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.send_request()
            time.sleep(REQUEST_INTERVAL)

    def announced_at(self, service: ScriptedNameService) -> float:
        """Sends requests until the first response with the drain was sent; returns when that was."""
        until = time.monotonic() + SCRIPT_TIMEOUT
        while service.drain_announced_at is None:
            self.assertLess(time.monotonic(), until, "the script did not come to its drain")
            self.send_requests_for(REQUEST_INTERVAL)
        return service.drain_announced_at

    def assert_none_late(self, announced_at: float) -> None:
        """Checks that no request reached the draining server after the grace."""
        late = [
            round(arrival.at - announced_at, 3)
            for arrival in self.servers[0].since(announced_at + GRACE + SLACK)
        ]
        self.assertEqual(late, [], f"{len(late)} requests, {late[:1]} to {late[-1:]} s")

    def check(self, *script: Step, seconds: float = 2.0) -> None:
        """Runs a script, and sends requests until so many seconds after the announcement of the drain."""
        self.dispatcher()
        time.sleep(SETTLE_TIME)
        self.names.play(*script)
        announced_at = self.announced_at(self.names)
        self.send_requests_for(announced_at + seconds - time.monotonic())
        self.assert_none_late(announced_at)


class Silences(ScriptedCase):
    """The drain is announced in a lost or unusable response, with other responses missing around it."""

    def test_a_drain_lost_half_a_second_into_a_silence(self) -> None:
        self.check(silence(0.5), DRAIN, LOST, silence(2.5), seconds=3.0)

    def test_a_drain_lost_in_the_middle_of_a_silence(self) -> None:
        self.check(silence(1.5), DRAIN, LOST, silence(1.5))

    def test_a_drain_in_four_lost_responses_at_the_end_of_an_outage(self) -> None:
        self.check(silence(OUTAGE), DRAIN, LOST._replace(times=4))

    def test_a_drain_in_a_lost_response_and_then_server_failures_at_the_end_of_an_outage(self) -> None:
        self.check(silence(OUTAGE), DRAIN, LOST, SERVER_FAILURE._replace(times=3))

    def test_a_drain_lost_among_server_failures(self) -> None:
        failures = for_seconds(Delivery.SERVER_FAILURE, 1.0)
        self.check(failures, DRAIN, LOST, failures)

    def test_a_drain_lost_in_one_second_of_server_failures_and_silence(self) -> None:
        self.check(for_seconds(Delivery.SERVER_FAILURE, 0.5), DRAIN, LOST, silence(0.6))

    def test_a_drain_in_lost_responses_after_an_outage_with_more_queries_than_are_kept(
        self,
    ) -> None:
        self.check(silence(13.5), Step(Delivery.SENT, delay=0.5), DRAIN, LOST._replace(times=8))

    def test_a_drain_in_responses_that_are_all_lost(self) -> None:
        self.check(DRAIN, for_seconds(Delivery.LOST, 2.0), seconds=2.5)

    def test_a_drain_in_responses_that_are_all_truncated(self) -> None:
        self.check(DRAIN, for_seconds(Delivery.TRUNCATED, 2.0), seconds=2.5)

    def test_a_drain_in_responses_that_all_have_a_wrong_id(self) -> None:
        self.check(DRAIN, for_seconds(Delivery.WRONG_ID, 2.0), seconds=2.5)


class OldAnswers(ScriptedCase):
    """Responses to queries after the announcement hold the list from before the drain."""

    def test_two_old_responses_after_a_lost_one(self) -> None:
        self.check(DRAIN, LOST, OLD._replace(times=2))

    def test_five_old_responses_after_a_lost_one(self) -> None:
        self.check(DRAIN, LOST, OLD._replace(times=5))

    def test_responses_with_a_lower_number_than_the_list_in_force_after_a_lost_one(self) -> None:
        self.names.change(lambda endpoint: endpoint)
        self.names.lists[2] = list(self.names.endpoints)
        self.check(DRAIN, LOST, Step(Delivery.FIRST, times=5))

    def test_alternating_lost_and_old_responses(self) -> None:
        self.check(DRAIN, *(LOST, OLD) * 3)

    def test_an_old_response_after_a_lost_one_at_the_end_of_an_outage(self) -> None:
        self.check(silence(OUTAGE), DRAIN, LOST, OLD, LOST)


class SlowAnswers(ScriptedCase):
    """Responses are delayed for longer than the grace, and count as announced when they are sent."""

    def check_delay(self, delay: float) -> None:
        """Announces the drain in responses with this delay, like those before it."""
        slow = for_seconds(Delivery.SENT, 2 * delay + 1.0, delay)
        self.check(slow, DRAIN, slow, seconds=delay + 1.0)

    def test_responses_that_take_0_4_seconds(self) -> None:
        self.check_delay(0.4)

    def test_responses_that_take_0_8_seconds(self) -> None:
        self.check_delay(0.8)

    def test_responses_that_take_1_5_seconds(self) -> None:
        self.check_delay(1.5)

    def check_begin(self, first: float) -> None:
        """Delays the response before the drain by so many seconds, and those from the drain on by 1.2 s."""
        slower = for_seconds(Delivery.SENT, 2.0, delay=1.2)
        self.check(Step(Delivery.SENT, delay=first), DRAIN, slower)

    def test_responses_that_begin_to_slow_down_by_one_of_0_47_seconds(self) -> None:
        self.check_begin(0.47)

    def test_responses_that_begin_to_slow_down_by_one_of_0_8_seconds(self) -> None:
        self.check_begin(0.8)

    def test_lost_responses_while_slow_ones_are_pending(self) -> None:
        slow = Step(Delivery.SENT, times=3, delay=0.47)
        self.check(slow, DRAIN, for_seconds(Delivery.LOST, 0.9))

    def test_lost_responses_after_two_slow_ones(self) -> None:
        slow = Step(Delivery.SENT, times=2, delay=0.8)
        self.check(slow, silence(0.85), DRAIN, for_seconds(Delivery.LOST, 1.5))


class WrongIds(ScriptedCase):
    """A response with a wrong id matches a query that has been open since an outage seconds ago."""

    def dispatcher(self) -> subprocess.Popen[str]:
        """Starts a dispatcher whose next query ids can be matched by a corrupted id of later queries."""
        while True:
            child = super().dispatcher()
            if self.names.handled_queries[-1].ident % 0x80 not in NEVER_MATCHED:
                return child
            child.kill()
            child.wait()

    def check_behind_wrong_id(self, *script: Step) -> None:
        """Runs an outage, a response with a wrong id, and then the drain."""
        self.check(silence(LONG_OUTAGE), Step(Delivery.OPEN_ID), DRAIN, *script, seconds=3.0)

    def test_lost_answers_behind_a_wrong_id(self) -> None:
        self.check_behind_wrong_id(LOST._replace(times=8))

    def test_a_lost_response_and_a_silence_after_a_wrong_id(self) -> None:
        self.check_behind_wrong_id(LOST, silence(2.0))

    def test_an_old_response_between_lost_ones_after_a_wrong_id(self) -> None:
        self.check_behind_wrong_id(LOST, OLD, LOST._replace(times=3))


class NewConfigurations(ScriptedCase):
    """SIGHUP configures another name server or another list around the drain."""

    def configured_again(self, port: int = NAMES_PORT, known: dict[str, Any] | None = None) -> None:
        """Writes a configuration with another port of the name server, or another list."""
        configuration = json.loads(self.configured.read_text())
        configuration["nameserver"] = f"{self.addresses.names}:{port}"
        configuration["known"] = known or configuration["known"]
        self.configured.write_text(json.dumps(configuration))

    def moved(self, *script: Step) -> ScriptedNameService:
        """Starts a name server at another address, and writes it into the configuration."""
        service = ScriptedNameService(self.addresses.names, MOVED_PORT, list(self.names.lists[1]))
        self.addCleanup(service.close)
        service.play(*script)
        self.configured_again(MOVED_PORT)
        return service

    def check_move(self, *script: Step) -> None:
        """The old server loses the drain and is silent afterwards; the new one follows the script."""
        child = self.dispatcher()
        self.moved(*script)
        self.names.play(DRAIN, LOST, silence(SCRIPT_TIMEOUT))
        announced_at = self.announced_at(self.names)
        child.send_signal(signal.SIGHUP)
        self.send_requests_for(2.5)
        self.assert_none_late(announced_at)

    def check_move_in_outage(self, *script: Step) -> None:
        """The old server is silent for 2 s before the switch; the new one follows the script."""
        child = self.dispatcher()
        service = self.moved(*script)
        self.names.play(silence(SCRIPT_TIMEOUT))
        self.send_requests_for(2.0)
        child.send_signal(signal.SIGHUP)
        announced_at = self.announced_at(service)
        self.send_requests_for(1.5)
        self.assert_none_late(announced_at)

    def test_a_new_address_that_lags_behind_the_old_one(self) -> None:
        self.check_move(for_seconds(Delivery.SENT, 1.5), DRAIN)

    def test_a_new_address_that_is_silent(self) -> None:
        self.check_move(silence(2.0), DRAIN)

    def test_a_move_in_an_outage_and_lost_responses_of_the_new_address(self) -> None:
        self.check_move_in_outage(DRAIN, LOST._replace(times=3))

    def test_a_move_in_an_outage_and_an_old_response_of_the_new_address(self) -> None:
        self.check_move_in_outage(DRAIN, LOST, OLD, LOST)

    def test_a_newer_list_without_the_drain(self) -> None:
        child = self.dispatcher()
        self.names.change(lambda endpoint: endpoint)
        self.names.lists[2] = list(self.names.endpoints)
        self.configured_again(known=in_force(2, self.names.lists[2]))
        self.names.play(DRAIN, LOST, silence(2.0))
        announced_at = self.announced_at(self.names)
        child.send_signal(signal.SIGHUP)
        self.send_requests_for(2.5)
        self.assert_none_late(announced_at)


class Restarts(ScriptedCase):
    """The dispatcher is killed and restarted with its original list."""

    def restarted(self, *script: Step) -> subprocess.Popen[str]:
        """Restarts the dispatcher; responses to it follow the script."""
        before = self.dispatcher()
        before.kill()
        before.wait()
        self.names.play(*script)
        return self.dispatcher()

    def check_restart(self, *script: Step) -> None:
        """Checks a drain that is announced to the restarted dispatcher."""
        self.restarted(*script)
        announced_at = self.announced_at(self.names)
        self.send_requests_for(announced_at + 3.0 - time.monotonic())
        self.assert_none_late(announced_at)

    def test_a_first_response_lost_before_a_silence(self) -> None:
        self.check_restart(DRAIN, LOST, silence(2.0))


if __name__ == "__main__":
    unittest.main()
