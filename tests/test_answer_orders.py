"""A drain is told, and answers behind or before it are lost, late, old or wrong: nothing goes there late."""

import json
import signal
import subprocess
import time
import unittest
from typing import Any

from spurdeal.lab import names
from tests.processes import NAMES_PORT, Addresses
from tests.scripted_names import Answering, ScriptedNameService, Step
from tests.test_clock_steps import SteppedCase

GRACE, SLACK = 0.25, 0.05  # seconds, as the settings and the protocol page have them
MOVED_PORT = NAMES_PORT + 1
ASK_EACH = 0.01  # seconds
TOLD_WITHIN = 30.0  # seconds in which a script comes to its drain
OUTAGE = 3.2  # seconds
LONG_OUTAGE = 7.0  # seconds; leaves 35 questions open, of which a wrong id may match one
AT_REST = 0.5  # seconds of usual answers before a script
DRAIN, LOST, SENT = Step(Answering.DRAIN), Step(Answering.LOST), Step(Answering.SENT)
NEVER_MATCHED = range(0x38, 0x68)  # of an id's low 7 bits: a wrong bit leads from there to later questions
OLD, SERVER_FAILURE = Step(Answering.OLD), Step(Answering.SERVER_FAILURE)


def for_seconds(how: Answering, seconds: float, delay: float = 0.0) -> Step:
    """What happens to all answers of so many seconds."""
    return Step(how, seconds=seconds, delay=delay)


def silence(seconds: float) -> Step:
    """No answers for so long."""
    return for_seconds(Answering.SILENT, seconds)


def in_force(serial: int, endpoints: list[names.Endpoint]) -> dict[str, Any]:
    """A list as a configuration holds it."""
    roster = {"generation": 1, "reset": True, "instances": [endpoint.told() for endpoint in endpoints]}
    return {"no": serial, "items": [{"no": serial, "roster": roster}]}


class ScriptedCase(SteppedCase):
    """A dispatcher, two servers, one of which drains, a scripted name service, and requests all the while."""

    addresses = Addresses.in_subnet(70)
    name_service = ScriptedNameService
    names: ScriptedNameService

    def ask_for(self, seconds: float) -> None:
        """Requests side by side, one each 10 ms."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.ask()
            time.sleep(ASK_EACH)

    def told(self, service: ScriptedNameService) -> float:
        """When the first answer with the drain was sent; requests go on until then."""
        until = time.monotonic() + TOLD_WITHIN
        while service.drain_told is None:
            self.assertLess(time.monotonic(), until, "the script did not come to its drain")
            self.ask_for(ASK_EACH)
        return service.drain_told

    def assert_none_late(self, told: float) -> None:
        """No request came to the draining server after the grace."""
        late = [round(arrival.at - told, 3) for arrival in self.servers[0].since(told + GRACE + SLACK)]
        self.assertEqual(late, [], f"{len(late)} requests, {late[:1]} to {late[-1:]} s")

    def check(self, *script: Step, seconds: float = 2.0) -> None:
        """Answers follow the script; it is looked at until so long after the drain was told."""
        self.dispatcher()
        time.sleep(AT_REST)
        self.names.play(*script)
        told = self.told(self.names)
        self.ask_for(told + seconds - time.monotonic())
        self.assert_none_late(told)


class Silences(ScriptedCase):
    """The drain is told in an answer that is lost, or cannot be used, and others are missing around it."""

    def test_a_drain_lost_half_a_second_into_a_silence(self) -> None:
        self.check(silence(0.5), DRAIN, LOST, silence(2.5), seconds=3.0)

    def test_a_drain_lost_in_the_middle_of_a_silence(self) -> None:
        self.check(silence(1.5), DRAIN, LOST, silence(1.5))

    def test_a_drain_in_four_lost_answers_at_the_end_of_an_outage(self) -> None:
        self.check(silence(OUTAGE), DRAIN, LOST._replace(times=4))

    def test_a_drain_in_a_lost_answer_and_then_server_failures_at_the_end_of_an_outage(self) -> None:
        self.check(silence(OUTAGE), DRAIN, LOST, SERVER_FAILURE._replace(times=3))

    def test_a_drain_lost_among_server_failures(self) -> None:
        failures = for_seconds(Answering.SERVER_FAILURE, 1.0)
        self.check(failures, DRAIN, LOST, failures)

    def test_a_drain_lost_in_one_second_of_server_failures_and_silence(self) -> None:
        self.check(for_seconds(Answering.SERVER_FAILURE, 0.5), DRAIN, LOST, silence(0.6))

    def test_a_drain_in_lost_answers_behind_an_outage_in_which_more_questions_were_asked_than_kept(
        self,
    ) -> None:
        self.check(silence(13.5), Step(Answering.SENT, delay=0.5), DRAIN, LOST._replace(times=8))

    def test_a_drain_in_answers_that_are_all_lost(self) -> None:
        self.check(DRAIN, for_seconds(Answering.LOST, 2.0), seconds=2.5)

    def test_a_drain_in_answers_that_are_all_cut_short(self) -> None:
        self.check(DRAIN, for_seconds(Answering.CUT, 2.0), seconds=2.5)

    def test_a_drain_in_answers_that_all_have_a_wrong_id(self) -> None:
        self.check(DRAIN, for_seconds(Answering.WRONG_ID, 2.0), seconds=2.5)


class OldAnswers(ScriptedCase):
    """Answers hold the list that was in force before the drain, to questions asked after it was told."""

    def test_two_old_answers_behind_a_lost_one(self) -> None:
        self.check(DRAIN, LOST, OLD._replace(times=2))

    def test_five_old_answers_behind_a_lost_one(self) -> None:
        self.check(DRAIN, LOST, OLD._replace(times=5))

    def test_answers_with_a_lower_number_than_the_list_in_force_behind_a_lost_one(self) -> None:
        self.names.change(lambda endpoint: endpoint)
        self.names.lists[2] = list(self.names.endpoints)
        self.check(DRAIN, LOST, Step(Answering.FIRST, times=5))

    def test_lost_and_old_answers_by_turns(self) -> None:
        self.check(DRAIN, *(LOST, OLD) * 3)

    def test_an_old_answer_behind_a_lost_one_at_the_end_of_an_outage(self) -> None:
        self.check(silence(OUTAGE), DRAIN, LOST, OLD, LOST)


class SlowAnswers(ScriptedCase):
    """Answers take longer than the grace on their way, and count as told when they are sent."""

    def check_delay(self, delay: float) -> None:
        """The drain is told in answers that take so long, as do those before it."""
        slow = for_seconds(Answering.SENT, 2 * delay + 1.0, delay)
        self.check(slow, DRAIN, slow, seconds=delay + 1.0)

    def test_answers_that_take_0_4_seconds(self) -> None:
        self.check_delay(0.4)

    def test_answers_that_take_0_8_seconds(self) -> None:
        self.check_delay(0.8)

    def test_answers_that_take_1_5_seconds(self) -> None:
        self.check_delay(1.5)

    def check_begin(self, first: float) -> None:
        """The answer before the drain takes so long, those from the drain on 1.2 s."""
        slower = for_seconds(Answering.SENT, 2.0, delay=1.2)
        self.check(Step(Answering.SENT, delay=first), DRAIN, slower)

    def test_answers_that_begin_to_slow_down_by_one_of_0_47_seconds(self) -> None:
        self.check_begin(0.47)

    def test_answers_that_begin_to_slow_down_by_one_of_0_8_seconds(self) -> None:
        self.check_begin(0.8)

    def test_lost_answers_while_slow_ones_are_on_their_way(self) -> None:
        slow = Step(Answering.SENT, times=3, delay=0.47)
        self.check(slow, DRAIN, for_seconds(Answering.LOST, 0.9))

    def test_lost_answers_behind_two_slow_ones(self) -> None:
        slow = Step(Answering.SENT, times=2, delay=0.8)
        self.check(slow, silence(0.85), DRAIN, for_seconds(Answering.LOST, 1.5))


class WrongIds(ScriptedCase):
    """An answer matches a question that has been open since an outage, and was asked seconds ago."""

    def dispatcher(self) -> subprocess.Popen[str]:
        """One whose next questions can be matched by a wrong id of later ones."""
        while True:
            child = super().dispatcher()
            if self.names.played[-1].ident % 0x80 not in NEVER_MATCHED:
                return child
            child.kill()
            child.wait()

    def check_behind_wrong_id(self, *script: Step) -> None:
        """An outage, a wrong id some seconds later, and then the drain."""
        self.check(silence(LONG_OUTAGE), Step(Answering.OPEN_ID), DRAIN, *script, seconds=3.0)

    def test_lost_answers_behind_a_wrong_id(self) -> None:
        self.check_behind_wrong_id(LOST._replace(times=8))

    def test_a_lost_answer_and_a_silence_behind_a_wrong_id(self) -> None:
        self.check_behind_wrong_id(LOST, silence(2.0))

    def test_an_old_answer_between_lost_ones_behind_a_wrong_id(self) -> None:
        self.check_behind_wrong_id(LOST, OLD, LOST._replace(times=3))


class NewConfigurations(ScriptedCase):
    """SIGHUP gives another address, or another list, around the drain."""

    def configured_again(self, port: int = NAMES_PORT, known: dict[str, Any] | None = None) -> None:
        """The configuration names another address of the name service, or another list."""
        told = json.loads(self.configured.read_text())
        told["nameserver"] = f"{self.addresses.names}:{port}"
        told["known"] = known or told["known"]
        self.configured.write_text(json.dumps(told))

    def moved(self, *script: Step) -> ScriptedNameService:
        """A name service at another address, which the configuration names from now on."""
        service = ScriptedNameService(self.addresses.names, MOVED_PORT, list(self.names.lists[1]))
        self.addCleanup(service.close)
        service.play(*script)
        self.configured_again(MOVED_PORT)
        return service

    def check_move(self, *script: Step) -> None:
        """The drain is lost at the old address, which is silent then; the new one follows the script."""
        child = self.dispatcher()
        self.moved(*script)
        self.names.play(DRAIN, LOST, silence(TOLD_WITHIN))
        told = self.told(self.names)
        child.send_signal(signal.SIGHUP)
        self.ask_for(2.5)
        self.assert_none_late(told)

    def check_move_in_outage(self, *script: Step) -> None:
        """The old address is silent for 2 s before the move; the new one has the script."""
        child = self.dispatcher()
        service = self.moved(*script)
        self.names.play(silence(TOLD_WITHIN))
        self.ask_for(2.0)
        child.send_signal(signal.SIGHUP)
        told = self.told(service)
        self.ask_for(1.5)
        self.assert_none_late(told)

    def test_a_new_address_that_lags_behind_the_old_one(self) -> None:
        self.check_move(for_seconds(Answering.SENT, 1.5), DRAIN)

    def test_a_new_address_that_is_silent(self) -> None:
        self.check_move(silence(2.0), DRAIN)

    def test_a_move_in_an_outage_and_lost_answers_of_the_new_address(self) -> None:
        self.check_move_in_outage(DRAIN, LOST._replace(times=3))

    def test_a_move_in_an_outage_and_an_old_answer_of_the_new_address(self) -> None:
        self.check_move_in_outage(DRAIN, LOST, OLD, LOST)

    def test_a_newer_list_without_the_drain(self) -> None:
        child = self.dispatcher()
        self.names.change(lambda endpoint: endpoint)
        self.names.lists[2] = list(self.names.endpoints)
        self.configured_again(known=in_force(2, self.names.lists[2]))
        self.names.play(DRAIN, LOST, silence(2.0))
        told = self.told(self.names)
        child.send_signal(signal.SIGHUP)
        self.ask_for(2.5)
        self.assert_none_late(told)


class Restarts(ScriptedCase):
    """The dispatcher is killed and started again, with the list of its first start."""

    def restarted(self, *script: Step) -> subprocess.Popen[str]:
        """The successor; answers to it follow the script."""
        before = self.dispatcher()
        before.kill()
        before.wait()
        self.names.play(*script)
        return self.dispatcher()

    def check_restart(self, *script: Step) -> None:
        """The drain is told to the successor."""
        self.restarted(*script)
        told = self.told(self.names)
        self.ask_for(told + 3.0 - time.monotonic())
        self.assert_none_late(told)

    def test_a_first_answer_lost_before_a_silence(self) -> None:
        self.check_restart(DRAIN, LOST, silence(2.0))


if __name__ == "__main__":
    unittest.main()
