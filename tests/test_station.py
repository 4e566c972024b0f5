"""Two dispatchers that back up each other: takeover, return, handover and tenure, in memory."""

import random
import unittest
from ipaddress import ip_address
from typing import Any

from spurdeal.lab.model import figures
from spurdeal.lab.name_server import Endpoint
from spurdeal.net.link import Delivered, Failed, Shed
from spurdeal.settings.reading import read_text
from spurdeal.vrrp import advert
from spurdeal.vrrp.machine import State
from spurdeal.vrrp.sealed import Keys, Session
from tests.stations import HOSTS, KEY, PLAN, Pair

X = b"00000000000000aa"


class Takeover(unittest.TestCase):
    def settled(self, **more: Any) -> Pair:
        pair = Pair(self, **more)
        pair.go(3500)
        self.assertEqual([node.holds() for node in pair.nodes.values()], [True, False])
        return pair

    def test_two_groups_with_opposite_priorities_keep_both_active(self) -> None:
        group = "{{group: 2, priority: OTHER, interval: {interval}, addresses: [127.0.7.2]}}, {{group: 1,"
        plan = PLAN.replace("{{group: 1,", group)
        pair = Pair(self, plan=plan.replace("OTHER", "100"), priorities={"n1": 150, "n2": 50})
        pair.go(3500)
        held = [node.station.groups.held() for node in pair.nodes.values()]
        self.assertEqual(held, [[1], [2]])
        self.assertEqual(
            [node.station.budget_shares.share(pair.mono()) for node in pair.nodes.values()], [0.5, 0.5]
        )
        pair.nodes["n1"].kill()
        pair.go(500)
        self.assertEqual(sorted(pair.nodes["n2"].station.groups.held()), [1, 2])

    def test_a_killed_holder_is_replaced_within_active_down_interval(self) -> None:
        pair = self.settled()
        pair.nodes["n1"].kill()
        began = pair.mono()
        while not pair.nodes["n2"].holds():
            pair.go(5)
        self.assertLess(pair.mono() - began, advert_down(100) + 10)
        pair.go(10)
        self.assertEqual(pair.network.announced[-1]["at"], [HOSTS["n2"], 7001])

    def test_a_stopping_holder_is_replaced_within_skew_time(self) -> None:
        pair = self.settled()
        pair.nodes["n1"].station.stop()
        began = pair.mono()
        while not pair.nodes["n2"].holds():
            pair.go(5)
        self.assertLess(pair.mono() - began, 156 / 256 * 100 + 15)

    def test_a_one_way_partition_makes_two_holders_and_the_higher_priority_prevails_after(self) -> None:
        pair = self.settled()
        pair.network.drops = lambda source, target: source[0] == HOSTS["n1"]
        pair.go(600)
        self.assertEqual([node.holds() for node in pair.nodes.values()], [True, True])
        parts = [node.station.budget_shares.share(pair.mono()) for node in pair.nodes.values()]
        self.assertLessEqual(sum(parts), 1.0)
        pair.network.drops = lambda source, target: False
        pair.go(300)
        self.assertEqual([node.holds() for node in pair.nodes.values()], [True, False])
        self.assertEqual(pair.network.announced[-1]["at"], [HOSTS["n1"], 7001])

    def test_an_interval_changed_on_one_side_is_learned(self) -> None:
        pair = self.settled(intervals={"n1": "400ms"})
        pair.go(3000)
        self.assertEqual([node.holds() for node in pair.nodes.values()], [True, False])
        self.assertEqual(pair.nodes["n2"].station.groups.machines[1].sender_interval, 400)

    def test_a_stale_list_gives_the_address_away_and_a_fresh_one_takes_it_back(self) -> None:
        pair = self.settled()
        names = ("127.0.8.9", 5300)
        pair.network.drops = lambda source, target: target == names and source[0] == HOSTS["n1"]
        pair.go(4000)
        self.assertEqual([node.holds() for node in pair.nodes.values()], [False, True])
        pair.network.drops = lambda source, target: False
        pair.go(1000)
        self.assertEqual([node.holds() for node in pair.nodes.values()], [True, False])

    def test_a_backup_stopped_during_a_takeover_announces_nothing(self) -> None:
        """SIGTERM to the backup while nobody holds the address: it announces nothing.

        The returning dispatcher takes the address.
        """
        pair = self.settled()
        pair.nodes["n1"].kill()
        pair.go(200)
        pair.nodes["n2"].station.stop()
        pair.go(600)
        self.assertIs(pair.nodes["n2"].station.groups.machines[1].state, State.INITIALIZE)
        one = pair.restart("n1")
        pair.go(500)
        self.assertTrue(one.holds())


def advert_down(priority: int) -> float:
    return 3 * 100 + (256 - priority) * 100 / 256


class Returns(unittest.TestCase):
    def test_a_returning_holder_with_an_old_list_waits_and_treats_each_engine_as_cold(self) -> None:
        pair = Pair(self)
        pair.go(3500)
        pair.nodes["n1"].kill()
        pair.go(600)
        started = int(pair.unix())
        pair.names.change(
            [Endpoint("s-1", "127.0.9.1", 7001), Endpoint("s-9", "127.0.9.9", 7001, started=started)]
        )
        pair.names.silent = True
        one = pair.restart("n1")
        pair.go(2500)
        rules = one.service.adapter.rules
        self.assertEqual([one.holds(), pair.nodes["n2"].holds()], [False, True])
        self.assertEqual({engine.slow_start_until > pair.unix() for engine in rules.engines.values()}, {True})
        pair.names.silent = False
        pair.go(1000)
        self.assertEqual([one.holds(), pair.nodes["n2"].holds()], [True, False])
        cold = {
            ident: rules.engines[place].slow_start_until > pair.unix()
            for ident, place in one.service.adapter.index.indices.items()
        }
        self.assertEqual(cold, {"s-1": False, "s-9": True})

    def test_without_list_and_peer_it_takes_its_address_back_after_the_configured_time(self) -> None:
        pair = Pair(self)
        pair.go(3500)
        pair.nodes["n1"].kill()
        pair.go(600)
        names = ("127.0.8.9", 5300)
        handover = (HOSTS["n2"], 7113)
        pair.network.drops = lambda source, target: (
            (target == names and source[0] == HOSTS["n1"]) or source == handover
        )
        one = pair.restart("n1")
        pair.go(2900)
        self.assertFalse(one.holds())
        pair.go(900)
        self.assertFalse(one.station.awaiting_sync)


class Tenures(unittest.TestCase):
    def test_the_holder_borrows_and_the_shares_never_add_up_to_more_than_one(self) -> None:
        pair = Pair(self)
        window = pair.settings["rules"]["tip_after"]
        seen: list[list[float]] = []
        rng, most = random.Random(4), 0.0
        for step in range(1600):
            if step == 900:
                pair.nodes["n1"].kill()
            pair.go(5)
            parts = []
            for name, node in pair.nodes.items():
                tenure, now = node.station.budget_shares, pair.mono()
                uses = rng.random() < 0.05 and HOSTS[name] not in pair.killed_hosts and tenure.share(now) > 0
                parts.append(tenure.share(now) if uses else 0.0)
                if uses:
                    tenure.record_use(now)
            seen.append(parts)
            seen = seen[-window // 5 :]
            together = sum(max(column) for column in zip(*seen, strict=True))
            most = max(most, together)
            pair.network.drops = lambda source, target: source[0] in pair.killed_hosts or rng.random() < 0.2
        self.assertLessEqual(most, 1.0)
        self.assertGreater(most, 0.9)
        self.assertEqual(pair.nodes["n2"].station.budget_shares.share(pair.mono()), 0.5)
        self.assertGreater(pair.nodes["n1"].count("tenure_changes"), 1)

    def test_an_engine_started_at_the_takeover_gets_nothing_until_the_share_is_owned(self) -> None:
        pair = Pair(self)
        pair.go(3500)
        pair.nodes["n1"].kill()
        pair.names.change([Endpoint("s-9", "127.0.9.9", 7001, started=int(pair.unix()))])
        dialled = len(pair.network.tcpClients)
        while not pair.nodes["n2"].holds():
            pair.go(5)
        answers = pair.nodes["n2"].submit(X, kind=0)
        pair.go(100)
        self.assertEqual(pair.nodes["n2"].station.budget_shares.share(pair.mono()), 0.0)
        self.assertEqual(len(pair.network.tcpClients), dialled)
        pair.go(2200)
        self.assertEqual(pair.nodes["n2"].station.budget_shares.share(pair.mono()), 0.5)
        self.assertEqual((len(pair.network.tcpClients), answers), (dialled + 1, []))


class HandoverBeforeSending(unittest.TestCase):
    """A non-idempotent request at each stage, and the same id at the other dispatcher."""

    def pair(self) -> Pair:
        pair = Pair(self)
        pair.go(3500)
        return pair

    def test_sent_and_not_answered(self) -> None:
        pair = self.pair()
        one, two = pair.nodes.values()
        answers = one.submit(X)
        pair.go(20)
        sent = pair.peers()[-1].up()
        self.assertEqual(sent.received()[0][1], X.decode())
        one.kill()
        pair.go(500)
        self.assertEqual((answers, two.submit(X)), ([], [Failed()]))
        self.assertEqual(two.count("door_ran"), 1)

    def test_the_peer_was_informed_but_its_answer_is_lost(self) -> None:
        """It was never sent, but the informed peer cannot know that: it fails the request there."""
        pair = self.pair()
        one, two = pair.nodes.values()
        pair.network.drops = lambda source, target: source == (HOSTS["n2"], 7113)
        dialled = len(pair.network.tcpClients)
        answers = one.submit(X)
        pair.go(300)
        self.assertEqual((answers, len(pair.network.tcpClients)), ([Shed(500.0)], dialled))
        pair.network.drops = lambda source, target: False
        pair.go(200)
        self.assertEqual(two.submit(X), [])  # the notice of the shed request was revoked
        pair.go(50)
        self.assertEqual(len(pair.network.tcpClients), dialled + 1)

    def test_killed_before_the_peer_is_informed(self) -> None:
        pair = self.pair()
        one, two = pair.nodes.values()
        pair.network.drops = lambda source, target: source[0] == HOSTS["n1"]
        one.submit(X)
        pair.go(10)
        one.kill()
        pair.network.drops = lambda source, target: False
        answers = two.submit(X)
        pair.go(30)
        self.assertEqual((one.count("ahead_sent"), answers), (0, []))

    def test_a_client_repeats_an_answered_request_whose_answer_it_did_not_get(self) -> None:
        pair = self.pair()
        one, two = pair.nodes.values()
        answers = one.submit(X)
        pair.go(20)
        pair.peers()[-1].up().say(0xAA, "200", "parts=1", b"a\t1\tx\n")
        self.assertEqual(answers, [Delivered((b"a\t1\tx\n",))])
        for node in (one, two):
            self.assertEqual(node.submit(X), [Failed()])

    def test_a_request_proven_not_to_have_run_may_be_sent_again(self) -> None:
        pair = self.pair()
        one, two = pair.nodes.values()
        answers, place = one.submit(X), len(pair.network.tcpClients)
        for _ in range(8):  # each engine refuses the connection
            pair.go(40)
            peers = pair.peers()
            while place < len(peers):
                peers[place].refuse()
                place += 1
        self.assertIsInstance(answers[0], Shed)
        pair.go(200)
        self.assertEqual(two.submit(X), [])

    def test_both_accept_it_at_once(self) -> None:
        pair = self.pair()
        answers = [node.submit(X) for node in pair.nodes.values()]
        pair.go(400)
        ran = [node.count("ahead_sent") for node in pair.nodes.values()]
        self.assertLessEqual(sum(ran), 1)
        self.assertIn([Failed()], answers)

    def test_both_killed_the_ledger_is_recalled_and_shared(self) -> None:
        pair = self.pair()
        one, two = pair.nodes.values()
        one.submit(X)
        pair.go(20)
        for node in (one, two):
            node.kill()
        one, two = pair.restart("n1"), pair.restart("n2")
        one.station.restore_records({X: pair.unix() + 60_000})  # what its ledger holds
        self.assertEqual(two.submit(X), [Shed(500.0)])  # it has not yet learned its peer's ledger
        pair.go(1000)
        self.assertEqual([two.submit(X), one.submit(X)], [[Failed()], [Failed()]])

    def test_without_the_peer_it_is_shed(self) -> None:
        pair = self.pair()
        pair.nodes["n2"].kill()
        pair.go(500)
        self.assertEqual(pair.nodes["n1"].submit(X), [Shed(500.0)])
        self.assertEqual(pair.nodes["n1"].count("door_away"), 1)
        lookups = pair.nodes["n1"].submit(b"00000000000000bb", kind=0)
        pair.go(20)
        self.assertEqual(lookups, [])  # idempotent requests are still accepted

    def test_withdrawn_while_it_waits_for_the_peer_and_the_wait_expires(self) -> None:
        pair = self.pair()
        one = pair.nodes["n1"]
        pair.network.drops = lambda source, target: source == (HOSTS["n2"], 7113)
        one.submit(X)
        pair.go(10)
        self.assertTrue(one.service.adapter.withdraw(X))
        pair.go(200)
        self.assertEqual((one.service.adapter.open_requests, one.station.pending_callbacks), ({}, {}))


class BadInput(unittest.TestCase):
    def test_a_hundred_thousand_malformed_datagrams_of_each_kind_change_nothing_and_are_counted(self) -> None:
        pair = Pair(self)
        pair.go(3500)
        two, rng = pair.nodes["n2"], random.Random(8)
        good = advert.write(
            advert.Advert(1, 200, 100, (ip_address("127.0.7.1"),)), *map(ip_address, HOSTS.values())
        )
        handover = [text for source, target, text in pair.network.delivered if target == (HOSTS["n2"], 7113)]
        forged = Session("n1", "n2", 1, Keys({1: b"x" * 16}))
        station = two.station
        assert station.handover is not None
        session = station.handover.sessions["n1"]
        machine = station.groups.machines[1]
        before = (
            dict(vars(machine)),
            session.peer_boot,
            session.highest_number,
            dict(station.handover.records.by_id),
            dict(station.budget_shares.loans),
            two.holds(),
        )
        drops = self.dropped(two)
        for number in range(100_000):
            text = bytearray(good)
            text[rng.choice((0, 3, 6, 7))] ^= 1 << rng.randrange(8)
            station.on_advert(bytes(text), HOSTS["n1"])
            kind = number % 4
            if kind == 0:
                corrupt = bytearray(handover[-1 - number % 50])
                corrupt[rng.randrange(len(corrupt))] ^= 1 << rng.randrange(8)
                text = corrupt
            elif kind == 1:
                text = bytearray(handover[-1 - number % 50])[: rng.randrange(90)]
            elif kind == 2:
                text = bytearray(handover[-1 - number % 50])  # intact and replayed
            else:
                text = bytearray(forged.write(0.0, {"list": 9}))
            station.on_handover_datagram(bytes(text), (HOSTS["n1"], 7113))
        after = (
            dict(vars(machine)),
            session.peer_boot,
            session.highest_number,
            dict(station.handover.records.by_id),
            dict(station.budget_shares.loans),
            two.holds(),
        )
        self.assertEqual(before, after)
        self.assertEqual(self.dropped(two) - drops, 200_000)

    @staticmethod
    def dropped(node: Any) -> int:
        return sum(count for name, count in node.service.counters.sums.items() if "_drop_" in name)

    def test_unknown_senders_and_groups_are_counted(self) -> None:
        pair = Pair(self)
        station = pair.nodes["n2"].station
        good = advert.write(
            advert.Advert(9, 200, 100, (ip_address("127.0.7.1"),)), *map(ip_address, HOSTS.values())
        )
        for sender in (HOSTS["n1"], "127.9.9.9"):
            station.on_advert(good, sender)
        station.on_handover_datagram(b"x", ("127.9.9.9", 7113))
        self.assertEqual(
            [
                pair.nodes["n2"].count(name)
                for name in ("vrrp_drop_group", "vrrp_drop_sender", "handover_drop_sender")
            ],
            [1, 1, 1],
        )

    def test_keys_are_rotated_in_service_without_loss(self) -> None:
        pair = Pair(self)
        pair.go(3500)
        new = "6e" * 16
        for keys in ([(1, KEY), (2, new)], [(2, new), (1, KEY)], [(2, new)]):
            for name, node in pair.nodes.items():
                other = "n2" if name == "n1" else "n1"
                text = PLAN.format(
                    name=name,
                    other=other,
                    host=HOSTS[name],
                    far=HOSTS[other],
                    key=KEY,
                    priority=pair.priorities[name],
                    interval="100ms",
                )
                key_list = ", ".join(f"{{id: {ident}, hex: {key}}}" for ident, key in keys)
                text = text.replace(f"[{{id: 1, hex: {KEY}}}]", f"[{key_list}]")
                node.station.reload(read_text("plan", text.encode()))
                pair.go(120)
        taken = [node.count("handover_taken") for node in pair.nodes.values()]
        pair.go(500)
        for node, before in zip(pair.nodes.values(), taken, strict=True):
            self.assertGreaterEqual(node.count("handover_taken") - before, 9)
            self.assertEqual(node.count("handover_drop_key"), 0)


class Models(unittest.TestCase):
    def test_no_invariant_is_violated_and_each_planted_fault_is_found(self) -> None:
        found = figures(quick=True)
        self.assertEqual((found["violations"], found["planted_found"]), (0, found["planted"]), found)
        self.assertGreater(found["states"], 100_000)
