"""The audit log: format, recovery, write failures, retention, queries, and detection of altered logs."""

import errno
import json
import os
import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any

from spurdeal.fleet.audit import BrokenLogError, Kind, PageBuilder, read
from spurdeal.fleet.audit_query import (
    AuditQuery,
    UnreadableLogError,
    check,
    merge_logs,
    read_log,
    select_entries,
)
from spurdeal.fleet.hybrid import Stamp
from spurdeal.fleet.journal import Journal, JournalSettings
from spurdeal.fleet.station import Clocks, FleetStation, StationSettings
from spurdeal.fleet.status_text import status_lines
from spurdeal.lab.name_server import Endpoint
from spurdeal.net.engine_list import NumberedList
from spurdeal.net.start import Service
from spurdeal.settings.reading import read_text
from spurdeal.vrrp.sealed import Keys
from tests.helpers import World, configuration
from tests.test_settings import call


class Disk:
    """System calls on a disk that a test can fill or whose truncation it can make fail."""

    def __init__(self) -> None:
        self.left = float("inf")  # bytes that still fit
        self.can_truncate = True

    def __getattr__(self, name: str) -> Any:
        return getattr(os, name)

    def write(self, file: int, data: memoryview) -> int:
        if self.left <= 0:
            raise OSError(errno.ENOSPC, "full")
        fits = int(min(len(data), self.left))
        self.left -= fits
        return os.write(file, data[:fits])

    def ftruncate(self, file: int, size: int) -> None:
        if not self.can_truncate:
            raise OSError(errno.EIO, "no")
        os.ftruncate(file, size)


class AuditLogTests(unittest.TestCase):
    def setUp(self) -> None:
        self.root = Path(tempfile.mkdtemp(prefix="spurdeal-test-"))
        self.now = 1000.0
        self.tallies = 0

    def stamp(self) -> Stamp:
        self.tallies += 1
        return Stamp(int(self.now), self.tallies)

    def journal(self, name: str = "d1", boot: int = 1, most: int = 1 << 20, system: Any = os) -> Journal:
        found = Journal(
            JournalSettings(self.root / name, name, boot, most), self.stamp, lambda: self.now, system
        )
        self.addCleanup(found.close)
        return found

    def set_list(self, journal: Journal, number: int, engines: dict[str, int], digest: str = "aa") -> None:
        self.now += 10
        journal.set_versions({"list": f"0.{number}/{digest}", "by": "names", "engines": engines})

    def send(self, journal: Journal, ident: str, engine: str = "s-0", attempt: int = 0) -> None:
        self.now += 1
        journal.pages.add_attempt(ident.encode(), attempt, engine, 0)
        journal.write_pending()

    def sealed_journal(self, name: str = "d1") -> Journal:
        """Thirty sends in six sealed pages."""
        journal = self.journal(name)
        self.set_list(journal, 1, {"s-0": 2, "s-1": 2})
        for number in range(30):
            self.send(journal, f"{number:016x}")
            if number % 5 == 4:
                journal.seal()
        return journal

    def test_records_are_read_as_written(self) -> None:
        journal = self.sealed_journal()
        journal.pages.add_event(Kind.SHED, b"00ff")
        journal.pages.add_json(Kind.MODE, {"says": "engine 3 aside"})
        journal.write_pending()
        log = read_log(self.root / "d1")
        kinds = [entry.record.kind for entry in log.entries]
        self.assertEqual(30, kinds.count(Kind.SENT))
        self.assertEqual([Kind.SHED, Kind.MODE], kinds[-2:])
        sent = next(entry for entry in log.entries if entry.record.kind is Kind.SENT)
        self.assertEqual(("s-0", "0.1/aa"), (sent.record.engine, sent.versions["list"]))
        self.assertEqual([], check([log], 250.0))

    def test_each_altered_byte_is_detected(self) -> None:
        self.sealed_journal().close()
        file = next((self.root / "d1").glob("*.log"))
        data = file.read_bytes()
        intact = read(data)
        for place in range(len(data)):
            corrupted = bytearray(data)
            corrupted[place] ^= 0x10
            try:
                found = read(bytes(corrupted))
            except BrokenLogError:
                continue
            # It looks like a torn tail; only the digests that other members recorded reveal it.
            self.assertLess(found.end, len(data), place)
            self.assertEqual(intact.records[: len(found.records)], found.records)

    def test_each_torn_tail_is_truncated_and_the_next_start_continues_the_chain(self) -> None:
        self.sealed_journal().close()
        file = next((self.root / "d1").glob("*.log"))
        data = file.read_bytes()
        for cut in range(len(data) - 60, len(data), 7):
            file.write_bytes(data[:cut])
            journal = self.journal(boot=2)
            self.send(journal, "ff" * 8)
            journal.close()
            log = read_log(self.root / "d1")
            self.assertEqual([], log.problems, cut)
            self.assertEqual(read(data[:cut]).end < cut, bool(journal.torn))
            for later in sorted((self.root / "d1").glob("*.log"))[1:]:
                later.unlink()

    def test_a_kill_at_any_byte_loses_no_attempt_that_was_sent(self) -> None:
        """Whatever byte the process is killed at, every attempt that was sent before is in the log."""

        class Killed(BaseException):
            pass

        class Dying(Disk):
            def write(self, file: int, data: memoryview) -> int:
                if len(data) > self.left:
                    os.write(file, data[: int(self.left)])
                    raise Killed
                self.left -= len(data)
                return os.write(file, data)

        for byte in range(0, 900, 3):
            disk, name = Dying(), f"k{byte}"
            journal = self.journal(name, system=disk)
            self.set_list(journal, 1, {"s-0": 2})
            disk.left = byte
            left: list[str] = []
            try:
                for number in range(20):
                    self.send(journal, f"{number:016x}")
                    left.append(f"{number:016x}")  # the event loop's next iteration sends it
                    if number % 4 == 3:
                        journal.seal()
            except Killed:
                pass
            again = self.journal(name, boot=2)
            log = read_log(self.root / name)
            found = [entry.record.ident for entry in log.entries if entry.record.kind is Kind.SENT]
            self.assertEqual((left, []), (found[: len(left)], log.problems), byte)
            self.assertLessEqual(len(found), len(left) + 1)
            again.close()
            os.close(journal.descriptor)
            journal.descriptor = -1

    def test_records_lost_on_a_full_disk_are_counted_in_the_log(self) -> None:
        disk = Disk()
        journal = self.journal(system=disk)
        self.set_list(journal, 1, {"s-0": 2})
        for number in range(40):
            disk.left = 3 if 10 <= number < 20 else float("inf")
            self.send(journal, f"{number:016x}")
            self.now += 100
            journal.seal()
        journal.close()
        log = read_log(self.root / "d1")
        sends = sum(entry.record.kind is Kind.SENT for entry in log.entries)
        self.assertGreater(journal.lost, 9)
        self.assertEqual((True, []), (25 <= sends <= 30, log.problems), "retried every half second")
        self.assertEqual(journal.lost, log.lost)
        self.assertGreaterEqual(journal.lost, 40 - sends)
        self.assertIn("lost", [finding.kind for finding in check([log], 250.0)])

    def test_a_torn_write_that_cannot_be_truncated_starts_a_new_file(self) -> None:
        disk = Disk()
        journal = self.journal(system=disk)
        self.set_list(journal, 1, {"s-0": 2})
        disk.left, disk.can_truncate = 5, False
        self.send(journal, "aa" * 8)
        disk.left, disk.can_truncate = float("inf"), True
        self.now += 1000
        self.send(journal, "bb" * 8)
        self.send(journal, "cc" * 8)
        journal.close()
        idents = [entry.record.ident for entry in read_log(self.root / "d1", strict=False).entries]
        self.assertIn("cc" * 8, idents)

    def test_retention_keeps_the_directory_within_its_bound(self) -> None:
        journal = self.journal(most=131_072)
        self.set_list(journal, 1, {"s-0": 2})
        for number in range(6000):
            self.send(journal, f"{number:016x}")
            if number % 20 == 0:
                journal.seal()
        self.assertLessEqual(sum(file.stat().st_size for file in (self.root / "d1").iterdir()), 131_072)
        self.assertGreater(journal.dropped, 0)
        journal.close()
        self.assertEqual([], read_log(self.root / "d1").problems)

    def test_a_broken_file_is_renamed_at_a_start_and_rejected_by_queries(self) -> None:
        self.sealed_journal().close()
        file = next((self.root / "d1").glob("*.log"))
        file.write_bytes(b"something else")
        with self.assertRaises(UnreadableLogError) as caught:
            read_log(self.root / "d1")
        self.assertIn("at byte 0: no audit log", str(caught.exception))
        journal = self.journal(boot=2)
        self.assertEqual(1, journal.broken)
        self.assertTrue(file.with_suffix(".broken").exists())

    # Decisions that contradict the versions.

    def findings(self, *names: str) -> list[str]:
        logs = [read_log(self.root / name, False) for name in names]
        return [finding.kind for finding in check(logs, 250.0)]

    def test_a_send_to_an_engine_draining_or_gone_in_its_own_list_is_found(self) -> None:
        journal = self.journal()
        self.set_list(journal, 2, {"s-0": 1, "s-1": 2})
        self.send(journal, "aa", "s-1")
        self.assertEqual([], self.findings("d1"))
        self.send(journal, "bb", "s-0")
        self.send(journal, "cc", "s-9")
        self.assertEqual(["own_version"] * 2, self.findings("d1"))

    def test_a_send_against_a_newer_list_is_found_after_the_grace(self) -> None:
        old, new = self.journal("d1"), self.journal("d2")
        self.set_list(old, 1, {"s-0": 2})
        self.set_list(new, 2, {"s-0": 1})
        self.now += 240
        self.send(old, "aa")
        self.assertEqual([], self.findings("d1", "d2"), "within the grace")
        self.now += 20
        self.send(old, "bb")
        self.assertEqual(["newer_version"], self.findings("d1", "d2"))

    def test_two_contents_of_one_version_are_a_conflict(self) -> None:
        self.set_list(self.journal("d1"), 3, {"s-0": 2}, "aa")
        self.set_list(self.journal("d2"), 3, {"s-0": 2}, "bb")
        self.assertEqual(["clash"], self.findings("d1", "d2"))

    def test_a_log_cut_short_is_found_by_the_seal_that_another_recorded(self) -> None:
        journal, other = self.sealed_journal(), self.journal("d2")
        page, digest, count = journal.pages.page - 1, journal.pages.digest.hex(), journal.pages.record_count
        other.pages.add_json(
            Kind.WITNESS,
            {"name": "d1", "boot": f"{1:016x}", "page": page, "digest": digest, "records": count},
        )
        other.write_pending()
        self.assertEqual([], self.findings("d1", "d2"))
        file = next((self.root / "d1").glob("*.log"))
        whole = file.read_bytes()
        file.write_bytes(whole[: len(whole) // 2])
        self.assertEqual(["witness"], self.findings("d1", "d2"))

    def test_a_query_for_one_request_gives_causal_order(self) -> None:
        one, two = self.journal("d1"), self.journal("d2")
        self.set_list(one, 1, {"s-0": 2})
        self.set_list(two, 1, {"s-0": 2})
        self.send(two, "abcd", attempt=0)
        self.send(one, "abcd", attempt=1)
        self.send(one, "ffff")
        entries = merge_logs([read_log(self.root / "d1"), read_log(self.root / "d2")])
        found = list(select_entries(entries, AuditQuery(request="ABCD")))
        self.assertEqual([("d2", 0), ("d1", 1)], [(entry.name, entry.record.attempt) for entry in found])
        self.assertEqual(3, len(list(select_entries(entries, AuditQuery(engine="s-0", version="0.1")))))

    def test_the_commands(self) -> None:
        self.set_list(journal := self.sealed_journal(), 2, {"s-0": 1})
        self.send(journal, "dd" * 8)
        journal.close()
        folder = str(self.root / "d1")
        result = call("fleet", "audit", folder, "--submission", "dd" * 8, "--json")
        self.assertEqual(
            ["s-0", "0.2/aa"],
            [json.loads(result.stdout)["engine"], json.loads(result.stdout)["versions"]["list"]],
        )
        checked = call("fleet", "check", folder)
        self.assertEqual(1, checked.returncode)
        self.assertIn("which its own list 0.2/aa has draining", checked.stdout)
        next((self.root / "d1").glob("*.log")).write_bytes(b"x")
        refused = call("fleet", "audit", folder)
        self.assertEqual((2, True), (refused.returncode, "at byte 0" in refused.stderr))
        self.assertEqual(2, call("fleet", "status", "--at", "127.0.8.250:1").returncode)


PLAN = """
name: n1
fleet:
  listen: 127.0.8.1:7114
  keys: [{id: 1, hex: 5f5f5f5f5f5f5f5f5f5f5f5f5f5f5f5f}]
  seeds: [%s]
  audit: {path: %s}
"""


class StationTests(unittest.TestCase):
    def world(self, seeds: str = "") -> World:
        self.folder = Path(tempfile.mkdtemp(prefix="spurdeal-test-"))
        plan = read_text("plan", (PLAN % (seeds, self.folder / "audit")).encode())

        def added(service: Service, world: World) -> None:
            raw = json.dumps(configuration(2)).encode()
            clock: Callable[[], float] = lambda: float(world.reactor.seconds()) * 1000  # noqa: E731
            self.station = FleetStation(
                service,
                StationSettings(plan, Keys({1: b"_" * 16}), raw),
                world.reactor,
                Clocks(clock, service.clock, service.clock),
                service.log,
            )
            self.station.start()
            self.addCleanup(self.station.close)

        return World(self, 2, before=added)

    def entries(self, kind: Kind) -> list[Any]:
        return [
            entry.record
            for entry in read_log(self.folder / "audit", False).entries
            if entry.record.kind is kind
        ]

    def test_a_send_is_in_the_log_before_it_leaves(self) -> None:
        world = self.world()
        caller = world_caller(world)
        caller.post(7)
        peer = world.peer()
        seen: list[int] = []
        write = peer.pipe.write

        def written(data: bytes) -> None:
            seen.append(len(self.entries(Kind.SENT)))
            write(data)

        peer.pipe.write = written  # type: ignore[method-assign]
        peer.up()
        self.assertEqual(["serve"], [each[0] for each in peer.received()])
        self.assertEqual([f"{7:016x}"], [record.ident for record in self.entries(Kind.SENT)])

    def test_a_withdrawn_request_is_in_the_log(self) -> None:
        world = self.world()
        caller = world_caller(world)
        caller.post(7)
        caller.leave()
        self.assertEqual([f"{7:016x}"], [record.ident for record in self.entries(Kind.WITHDRAWN)])

    def test_without_a_lease_non_idempotent_requests_are_shed_at_once(self) -> None:
        world = self.world("{name: n2, at: 127.0.8.2:7114}")
        caller = world_caller(world)
        caller.post(7, "load")
        self.assertEqual([503], [status for status, _, _ in caller.answers()])
        caller.post(8)
        world.peer().up()
        self.assertEqual([f"{8:016x}"], [record.ident for record in self.entries(Kind.SENT)])
        self.assertEqual(0.0, world.service.adapter.rules.slow_start_budget)

    def test_each_list_is_a_version_and_a_second_of_the_same_number_a_conflict(self) -> None:
        world = self.world()
        endpoints = [Endpoint(f"s-{number}", f"127.0.9.{number}", 7001) for number in range(3)]
        world.list(2, *(endpoint.record() for endpoint in endpoints))
        self.assertEqual(
            ["0.1", "0.2"],
            [record.fields["list"].partition("/")[0] for record in self.entries(Kind.VERSIONS)],
        )
        world.list(2, *(endpoint.record() for endpoint in endpoints[:2]))
        world.go(100)
        self.assertEqual(1, len(self.entries(Kind.CLASH)))
        self.assertEqual(3, len(world.service.adapter.endpoints))

    def test_a_list_that_arrives_between_choice_and_send_stops_the_send(self) -> None:
        for stays in ("s-0", "s-1"):  # the rules choose one of them
            world = self.world()
            adapter = world.service.adapter
            call = adapter.accept_request(b"a" * 16, b"lookup", 0, 5000, 20.0, 0.0, -1, b"x")
            assert call is not None
            call.addErrback(lambda _: None)
            # Queued behind the request: the list is in force before the request's batch carries anything out.
            kept = {ident: endpoint for ident, endpoint in adapter.endpoints.items() if ident == stays}
            self.station.service.names.adopt_list(NumberedList(2, kept))
            self.station.list_received(kept)
            world.go(100)
            heard = [
                peer.host
                for peer in map(world.peer, range(len(world.reactor.tcpClients)))
                if peer.up().received()
            ]
            self.assertEqual([f"127.0.9.{stays[-1]}"], heard)
            world.go(200)
            self.assertEqual({stays}, {record.engine for record in self.entries(Kind.SENT)})
            self.assertEqual([], check([read_log(self.folder / "audit")], 250.0))

    def test_the_fleet_view_is_served(self) -> None:
        world = self.world("{name: n2, at: 127.0.8.2:7114}")
        caller = world_caller(world)
        caller.say(b"GET /fleet HTTP/1.1\r\nHost: x\r\n\r\n")
        ((status, _, found),) = caller.answers()
        self.assertEqual((200, "n1", "joining"), (status, found["name"], found["standing"]))
        self.assertIn("lease not held", next(status_lines(found)))

    def test_without_a_fleet_the_view_is_not_found(self) -> None:
        caller = world_caller(World(self))
        caller.say(b"GET /fleet HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertEqual([404], [status for status, _, _ in caller.answers()])


def world_caller(world: World) -> Any:
    from tests.helpers import Caller

    return Caller(world)


class HashChainTests(unittest.TestCase):
    def test_a_digest_covers_all_earlier_pages(self) -> None:
        one, two = PageBuilder(), PageBuilder()
        for pages, ident in ((one, b"a"), (two, b"b")):
            for each in (ident, b"c"):
                pages.add_attempt(each, 0, "s-0", 0)
                pages.on_written(pages.frame(Stamp(1, 0), 0), True)
                pages.seal(Stamp(1, 1), 0)
                pages.on_sealed()
        self.assertNotEqual(one.digest, two.digest)
