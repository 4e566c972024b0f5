"""VRRP advertisements and state machine, budget shares, idempotency records, authentication: without I/O."""

import random
import struct
import unittest
from ipaddress import ip_address
from typing import Any

from spurdeal.vrrp import advert
from spurdeal.vrrp.advert import Advert, DroppedError
from spurdeal.vrrp.budget_shares import BudgetShares
from spurdeal.vrrp.groups import Groups, Tracked
from spurdeal.vrrp.handover import DispatcherState, Handover, HandoverSettings, Membership
from spurdeal.vrrp.idempotency_table import Admission, IdempotencyTable
from spurdeal.vrrp.machine import (
    NEVER,
    Action,
    GroupSettings,
    State,
    StateMachine,
    active_down_interval,
    skew_time,
)
from spurdeal.vrrp.sealed import Keys, RefusedError, Session

ONE, TWO = ip_address("127.0.8.1"), ip_address("127.0.8.2")
SIX, SEVEN = ip_address("::1"), ip_address("fe80::7")
KEYS = Keys({1: b"k" * 16})


def terms(priority: int, **more: Any) -> GroupSettings:
    return GroupSettings(7, priority, 1000.0, ONE)._replace(**more)


class Adverts(unittest.TestCase):
    def test_encoding_follows_the_rfc(self) -> None:
        """RFC 9568, section 5.2: the checksum is the folded sum of the five words."""
        text = advert.write(Advert(7, 200, 1000, (ip_address("10.0.0.1"),)), ONE, TWO)
        total = 0x3107 + 0xC801 + 0x0064 + 0x0A00 + 0x0001
        folded = (total & 0xFFFF) + (total >> 16)
        self.assertEqual(text.hex(), f"3107c8010064{~folded & 0xFFFF:04x}0a000001")
        self.assertEqual(advert.read(text, ONE, TWO), (7, 200, 1000.0, (ip_address("10.0.0.1"),)))

    def test_checksum_with_and_without_pseudo_header_over_ipv4_and_with_it_over_ipv6(self) -> None:
        text = bytearray(advert.write(Advert(7, 200, 1000, (ip_address("10.0.0.1"),)), ONE, TWO))
        text[6:8] = b"\0\0"
        with_header = ~advert.ones_complement_sum(advert.pseudo_header(ONE, TWO, len(text)) + text) & 0xFFFF
        text[6:8] = with_header.to_bytes(2, "big")
        self.assertEqual(advert.read(bytes(text), ONE, TWO)[0], 7)
        six = advert.write(Advert(7, 200, 1000, (SIX, SEVEN)), SIX, SEVEN)
        self.assertEqual(advert.read(six, SIX, SEVEN)[3], (SIX, SEVEN))
        with self.assertRaisesRegex(DroppedError, "checksum"):
            advert.read(six, SIX, SIX)

    def test_each_receive_check_has_a_reason(self) -> None:
        good = advert.write(Advert(7, 200, 1000, (ip_address("10.0.0.1"),)), ONE, TWO)

        def corrupted(at: int, value: int) -> bytes:
            text = bytearray(good)
            text[at] = value
            return bytes(text)

        for reason, text, ttl in (
            ("ttl", good, 254),
            ("short", good[:7], None),
            ("version", corrupted(0, 0x21), None),
            ("type", corrupted(0, 0x32), None),
            ("length", good + b"\0", None),
            ("length", corrupted(3, 2), None),
            ("length", corrupted(3, 0), None),
            ("interval", good[:4] + b"\0\0" + good[6:], None),
            ("checksum", corrupted(2, 199), None),
        ):
            with self.subTest(reason), self.assertRaises(DroppedError) as caught:
                advert.read(text, ONE, TWO, ttl)
            self.assertEqual(caught.exception.reason, reason)
        self.assertEqual(advert.read(good, ONE, TWO, 255)[0], 7)

    def test_random_bytes_and_bit_flips_raise_no_other_error_than_dropped(self) -> None:
        chance = random.Random(5)
        good = advert.write(Advert(7, 200, 1000, (ip_address("10.0.0.1"),)), ONE, TWO)
        taken = 0
        for _ in range(20_000):
            text = bytearray(good if chance.random() < 0.7 else chance.randbytes(chance.randrange(40)))
            for _ in range(chance.randrange(1, 4)):
                if text:
                    text[chance.randrange(len(text))] ^= 1 << chance.randrange(8)
            try:
                advert.read(bytes(text), ONE, TWO)
                taken += 1
            except DroppedError:
                pass
        # Only flips that cancel out, or that keep the one's complement sum, can pass.
        self.assertLess(taken, 20_000 // 50)


class StateMachines(unittest.TestCase):
    def test_timers_are_those_of_section_6_1(self) -> None:
        self.assertEqual(skew_time(200, 1000), 218.75)
        self.assertEqual(active_down_interval(200, 1000), 3218.75)
        machine = StateMachine(terms(200))
        self.assertEqual(machine.start(0), [])
        self.assertEqual(machine.due, 3218.75)
        self.assertEqual(machine.tick(3218.7), [])
        self.assertEqual(machine.tick(3218.75), [Action.ADVERTISE, Action.TAKE])
        self.assertEqual((machine.state, machine.due), (State.ACTIVE, 4218.75))
        self.assertEqual(machine.tick(4218.75), [Action.ADVERTISE])

    def test_an_owner_is_active_at_once_unless_it_awaits_sync(self) -> None:
        self.assertEqual(StateMachine(terms(255)).start(0), [Action.ADVERTISE, Action.TAKE])
        waiting = StateMachine(terms(255))
        self.assertEqual((waiting.start(0, awaiting_sync=True), waiting.state), ([], State.BACKUP))

    def test_backup_adopts_the_senders_interval_and_priority_0_leaves_skew_time_only(self) -> None:
        machine = StateMachine(terms(100))
        machine.start(0)
        machine.advert_received(10, 200, 2000.0, TWO)
        self.assertEqual(machine.due, 10 + active_down_interval(100, 2000.0))
        machine.advert_received(20, advert.STOPPING, 2000.0, TWO)
        self.assertEqual(machine.due, 20 + skew_time(100, 2000.0))

    def test_preemption_waits_for_its_delay_and_for_sync(self) -> None:
        for preempt, delay, awaiting_sync, taken_at in (
            (True, 0, False, 3218.75),
            (True, 5000, False, 8418.75),
            (False, 0, False, None),
            (True, 0, True, None),
        ):
            with self.subTest(preempt=preempt, delay=delay, awaiting_sync=awaiting_sync):
                machine = StateMachine(terms(200, preempt=preempt, preempt_delay=float(delay)))
                machine.start(0, awaiting_sync)
                taken, now = None, 0.0
                while now < 30_000 and taken is None:
                    now += 100
                    machine.advert_received(now, 100, 1000.0, TWO)
                    if machine.due <= now + 100 and machine.tick(machine.due):
                        taken = machine.due - 1000
                self.assertEqual(taken is None, taken_at is None)
                if taken is not None and taken_at is not None:
                    self.assertLess(abs(taken - taken_at), 250)

    def test_equal_priorities_go_by_address_and_a_lower_one_is_answered_at_once(self) -> None:
        for sender, priority, actions, state in (
            (TWO, 200, [Action.RELEASE], State.BACKUP),
            (ip_address("127.0.0.9"), 200, [Action.ADVERTISE, Action.TAKE], State.ACTIVE),
            (TWO, 199, [Action.ADVERTISE, Action.TAKE], State.ACTIVE),
            (TWO, 0, [Action.ADVERTISE], State.ACTIVE),
        ):
            machine = StateMachine(terms(200))
            machine.start(0)
            machine.tick(4000)
            self.assertEqual(machine.advert_received(4010, priority, 1000.0, sender), actions)
            self.assertIs(machine.state, state)

    def test_a_paused_one_becomes_backup_instead_of_taking_the_address_back(self) -> None:
        machine = StateMachine(terms(200))
        machine.start(0)
        machine.tick(4000)
        self.assertEqual(machine.tick(8000), [Action.RELEASE])
        self.assertIs(machine.state, State.BACKUP)
        heard = StateMachine(terms(200))
        heard.start(0)
        heard.tick(4000)
        self.assertEqual(heard.advert_received(8000, 100, 1000.0, TWO), [Action.RELEASE])

    def test_stop_resigns_and_a_stopped_one_ignores_advertisements(self) -> None:
        machine = StateMachine(terms(200))
        machine.start(0)
        machine.tick(4000)
        self.assertEqual(machine.stop(4100), [Action.RESIGN, Action.RELEASE])
        self.assertEqual((machine.due, machine.advert_received(4200, 0, 10.0, TWO)), (NEVER, []))

    def test_tracked_conditions_lower_priorities_and_bundles_change_state_together(self) -> None:
        both = [terms(200), GroupSettings(8, 90, 1000.0, ONE)]
        groups = Groups(both, {7: [Tracked("list_stale", 150), Tracked("no_engine", 150)]}, [(7, 8)])
        groups.start(0, awaiting_sync=False)
        done = groups.tick(3500)
        self.assertEqual(
            [pair for pair in done if pair[1] is Action.TAKE], [(7, Action.TAKE), (8, Action.TAKE)]
        )
        self.assertEqual(groups.held(), [7, 8])
        self.assertEqual(groups.set_conditions(3600, ["list_stale"]), [(7, Action.ADVERTISE)])
        self.assertEqual(groups.machines[7].priority, 50)
        groups.set_conditions(3700, ["list_stale", "no_engine"])
        self.assertEqual(groups.machines[7].priority, 1)
        self.assertEqual(
            groups.advert_received(3800, 7, 60, 1000.0, TWO), [(7, Action.RELEASE), (8, Action.RELEASE)]
        )


class BudgetShareLoans(unittest.TestCase):
    def test_a_share_rests_for_a_window_between_its_users(self) -> None:
        one, two = (BudgetShares(2, 1500, 1000, 0.0) for _ in range(2))
        self.assertEqual(one.share(0), 0.0)  # an earlier start may have lent it
        self.assertEqual(one.share(2600), 0.5)
        self.assertEqual(two.lend(3000, "one", lendable=True), (0.5, 0.0))
        one.borrow(3010, "two", 0.5, 0.0, sent_at=2990)
        self.assertEqual((one.share(3010), two.share(3010)), (1.0, 0.0))
        self.assertEqual((one.share(3989), one.share(3990)), (1.0, 0.5))  # counts from its own send
        self.assertEqual((two.share(5509), two.share(5510)), (0.0, 0.5))  # lease, clock drift and a window

    def test_a_share_just_used_is_lent_for_later_only(self) -> None:
        one = BudgetShares(2, 1500, 1000, 0.0)
        one.record_use(4000)
        self.assertEqual(one.lend(4100, "two", lendable=True), (0.5, 1400.0))
        two = BudgetShares(2, 1500, 1000, 0.0)
        two.borrow(4100, "one", 0.5, 1400.0, sent_at=4099)
        self.assertEqual((two.share(5000), two.share(5600)), (0.5, 0.5))  # the loan ends before it begins

    def test_no_loan_to_a_second_peer_nor_while_active_nor_of_what_an_earlier_start_lent(self) -> None:
        one = BudgetShares(3, 1500, 1000, 0.0)
        self.assertEqual(one.lend(100, "two", lendable=True), (0.0, 0.0))
        self.assertEqual(one.lend(3000, "two", lendable=False), (0.0, 0.0))
        self.assertGreater(one.lend(3000, "two", lendable=True)[0], 0)
        self.assertEqual(one.lend(3100, "three", lendable=True), (0.0, 0.0))

    def test_a_new_start_uses_its_share_sooner_once_all_peers_have_reported(self) -> None:
        one = BudgetShares(3, 1500, 1000, 10_000.0)
        one.remaining_reported(10_050, {"two": 0.0}, 2)
        self.assertEqual(one.share(11_600), 0.0)
        one.remaining_reported(10_100, {"two": 0.0, "three": 200.0}, 2)
        self.assertEqual((one.share(11_799), one.share(11_801)), (0.0, 1 / 3))

    def test_start_shares_sum_to_one_at_most_and_are_never_zero(self) -> None:
        one, two = (BudgetShares(2, 1500, 1000, -9999.0) for _ in range(2))
        two.lend(0, "one", lendable=True)
        one.borrow(1, "two", 0.5, 0.0, sent_at=0)
        self.assertLessEqual(one.initial_limit_share(1) + two.initial_limit_share(1), 1.0)
        self.assertGreater(two.initial_limit_share(1), 0.0)


class Sessions(unittest.TestCase):
    def pair(self) -> tuple[Session, Session]:
        one, two = Session("one", "two", 11, KEYS), Session("two", "one", 22, KEYS)
        greeting = two.greet(0, one.write(0, {"n": 1}))
        self.assertEqual(one.read(1, greeting), ({}, 0))
        self.assertEqual(two.read(2, one.write(2, {"n": 2})), ({"n": 2}, 0))
        return one, two

    def test_three_datagrams_prove_both_and_each_is_accepted_once(self) -> None:
        one, two = self.pair()
        texts = [one.write(10 + number, {"n": number}) for number in range(5)]
        for text in (texts[3], texts[0], texts[4]):
            two.read(20, text)
            with self.assertRaisesRegex(RefusedError, "replayed"):
                two.read(21, text)

    def test_a_replayed_earlier_start_is_refused(self) -> None:
        one, two = self.pair()
        old = [one.write(30, {"old": number}) for number in range(3)]
        again = Session("one", "two", 33, KEYS)
        again.read(40, two.greet(40, again.write(40, {})))
        two.read(41, again.write(41, {"new": 1}))
        for text in old:
            with self.assertRaisesRegex(RefusedError, "unproven"):
                two.read(42, text)
        self.assertEqual(two.read(43, again.write(43, {"new": 2}))[0], {"new": 2})

    def test_keys_rotate_without_loss(self) -> None:
        one, two = self.pair()
        old, new = b"k" * 16, b"n" * 16
        two.keys = Keys({1: old, 2: new})
        two.read(50, one.write(50, {}))
        one.keys = Keys({2: new, 1: old})
        two.read(51, one.write(51, {}))
        two.keys = Keys({2: new})
        two.read(52, one.write(52, {}))
        with self.assertRaisesRegex(RefusedError, "key"):
            two.read(53, Session("one", "two", 9, KEYS).write(53, {}))

    def test_corrupt_forged_and_truncated_datagrams_change_nothing(self) -> None:
        one, two = self.pair()
        good, chance = one.write(60, {"n": 1}), random.Random(6)
        before = (two.peer_boot, two.highest_number, two.replay_window, two.sequence_number)
        for _ in range(5000):
            text = bytearray(good)
            text[chance.randrange(len(text))] ^= 1 << chance.randrange(8)
            for corrupted in (bytes(text), good[: chance.randrange(len(good))], chance.randbytes(60)):
                with self.assertRaises(RefusedError):
                    two.read(61, corrupted)
        forged = Session("one", "two", 11, Keys({1: b"x" * 16}))
        with self.assertRaisesRegex(RefusedError, "seal"):
            two.read(62, forged.write(62, {}))
        self.assertEqual(before, (two.peer_boot, two.highest_number, two.replay_window, two.sequence_number))
        self.assertEqual(two.read(63, good)[0], {"n": 1})


class Handovers(unittest.TestCase):
    FACTS = DispatcherState(3, (7,), (("s-1", 1000.0, 5.0),), (("s-2", 400.0),))

    def make(self, name: str, peer: str, boot: int, now: float = 0.0, **more: object) -> Handover:
        defaults: dict[str, Any] = {
            "ahead": True,
            "ahead_wait": 50.0,
            "alone_after": None,
            "sync_timeout": 10_000.0,
        }
        records = IdempotencyTable(int(str(more.pop("most", 1000))), 60_000)
        settings = HandoverSettings(**(defaults | more))
        return Handover(
            Membership(name, (peer,), boot, KEYS), settings, BudgetShares(2, 1500, 1000, now), records, now
        )

    def talk(self, one: Handover, two: Handover, now: float, times: int = 4) -> list[object]:
        """Exchange datagrams in turn, with greetings as the station sends them; return all verdicts."""
        verdicts: list[object] = []
        for _ in range(times):
            for here, there, name, other in ((one, two, "one", "two"), (two, one, "two", "one")):
                text = here.compose(now, other, self.FACTS, lendable=False)
                try:
                    verdicts += there.receive(now, name, text)
                except RefusedError as fault:
                    self.assertEqual(fault.reason, "unproven")
                    here.receive(now, other, there.sessions[name].greet(now, text))
        return verdicts

    def test_an_announced_request_runs_nowhere_else(self) -> None:
        one, two = self.make("one", "two", 1), self.make("two", "one", 2)
        self.talk(one, two, 10)
        self.assertEqual(one.check_admission(20, b"x"), Admission.ALLOWED)
        self.assertIsNone(one.prepare_send(20, b"x", 5000, "token"))
        (verdict,) = self.talk(one, two, 25)
        self.assertEqual(verdict, ("token", True))
        self.assertEqual(two.check_admission(30, b"x"), Admission.MAY_HAVE_RUN)
        self.assertEqual(one.check_admission(30, b"x"), Admission.MAY_HAVE_RUN)
        one.finish(b"x", never_ran=True)
        self.talk(one, two, 40)
        self.assertEqual(
            (one.check_admission(50, b"x"), two.check_admission(50, b"x")),
            (Admission.ALLOWED, Admission.ALLOWED),
        )

    def test_announced_by_both_at_once_it_runs_at_most_once(self) -> None:
        one, two = self.make("one", "two", 1), self.make("two", "one", 2)
        self.talk(one, two, 10)
        one.prepare_send(20, b"x", 5000, "a")
        two.prepare_send(20, b"x", 5000, "b")
        verdicts = self.talk(one, two, 25)
        self.assertEqual(
            sorted(str(each) for each in verdicts),
            ["Verdict(token='a', go=None)", "Verdict(token='b', go=None)"],
        )

    def test_without_the_peers_reply_it_is_not_sent(self) -> None:
        one, two = self.make("one", "two", 1), self.make("two", "one", 2)
        self.talk(one, two, 10)
        one.prepare_send(20, b"x", 5000, "a")
        self.assertEqual(one.tick(69), [])
        self.assertEqual(one.tick(70), [("a", False)])
        self.assertEqual(one.check_admission(500, b"y"), Admission.PEER_UNREACHABLE)
        lone = self.make("one", "two", 1, alone_after=300.0)
        self.assertEqual(lone.check_admission(20_000, b"y"), Admission.ALLOWED)
        self.assertEqual(lone.prepare_send(20_000, b"y", 25_000, "c"), ("c", True))

    def test_a_new_start_has_all_records_before_it_admits_any_request(self) -> None:
        one, two = self.make("one", "two", 1), self.make("two", "one", 2)
        self.talk(one, two, 10)
        for number in range(200):
            one.prepare_send(20, b"%d" % number, 5000, number)
            one.records.mark_sent(b"%d" % number)
        again = self.make("two", "one", 3, now=30.0)
        self.assertEqual(again.check_admission(31, b"fresh"), Admission.PEER_UNREACHABLE)
        self.talk(one, again, 40, times=12)
        self.assertTrue(again.is_synchronized(41))
        self.assertEqual(
            {again.check_admission(42, b"%d" % number) for number in range(200)}, {Admission.MAY_HAVE_RUN}
        )
        self.assertEqual(one.check_admission(43, b"5"), Admission.MAY_HAVE_RUN)

    def test_a_full_table_sheds_and_drops_no_record(self) -> None:
        one, two = self.make("one", "two", 1, most=3), self.make("two", "one", 2)
        self.talk(one, two, 10)
        for number in range(3):
            one.prepare_send(20, b"%d" % number, 5000, number)
        self.assertEqual(one.check_admission(21, b"9"), Admission.TABLE_FULL)
        self.assertEqual(one.check_admission(21, b"1"), Admission.MAY_HAVE_RUN)
        self.assertEqual(
            one.check_admission(5000 + 60_001 + 21, b"1"), Admission.PEER_UNREACHABLE
        )  # the record has expired, the peer is silent

    def test_invalid_bodies_change_nothing(self) -> None:
        one, two = self.make("one", "two", 1), self.make("two", "one", 2)
        self.talk(one, two, 10)
        known = two.peer_states["one"]
        for body in (
            {"list": -1},
            {"list": "3"},
            {"list": 1, "held": 4},
            {"tell": [["x"]]},
            {"reply": 3},
            {"tell": [[1, 2, 3]]},
            {"lend": [2.0, 0]},
            {"lend": [0.5]},
            {"marks": [["x", float("inf")]]},
            {"page": [1]},
            {"need": True},
            {"left": None},
            {"list": 1, "cold": [["s", 1, "2"]]},
            {"list": 1, "aside": [["s" * 65, 1]]},
            {"clear": [[""]]},
            {"marks": [["x", 1]] * 65},
        ):
            with self.subTest(body), self.assertRaisesRegex(RefusedError, "body"):
                two.receive(20, "one", one.sessions["two"].write(20, body))
        self.assertEqual((two.peer_states["one"], two.records.by_id), (known, {}))
        raw = struct.pack("!I", 7)
        with self.assertRaises(RefusedError):
            two.receive(21, "one", raw)
