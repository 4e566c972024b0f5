"""The ledger: what was promised outlives a kill at any byte, and a disk that is full loses nothing."""

import errno
import os
import random
import tempfile
import unittest
from pathlib import Path
from typing import Any, cast

from spurdeal.store.ledger import TRY_EVERY, Ledger, LedgerFullError, LedgerSettings
from spurdeal.store.records import MAGIC, Kind, Record, read, write


def may(ident: bytes, until: float = 9e12) -> Record:
    return Record(Kind.MAY_RUN, ident, until)


class System:
    """The system's calls, with a disk that a test fills or spoils."""

    open, close, rename, ftruncate, lseek = os.open, os.close, os.rename, os.ftruncate, os.lseek

    def __init__(self) -> None:
        self.room, self.broken = 1 << 40, False

    def write(self, file: int, data: Any) -> int:
        if not self.room:
            raise OSError(errno.ENOSPC, "full")
        part = data[: min(len(data), self.room, 7)]  # as if the system took only some of it at a time
        self.room -= len(part)
        return os.write(file, part)

    def fdatasync(self, file: int) -> None:
        self.fsync(file)

    def fsync(self, file: int) -> None:
        if self.broken:
            raise OSError(errno.EIO, "broken")
        os.fsync(file)


class Ledgers(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path, self.now, self.system = Path(folder.name) / "ledger", [1e12], System()

    def ledger(self, **settings: Any) -> Ledger:
        made = Ledger(self.path, lambda: self.now[0], LedgerSettings(**settings), cast(Any, self.system))
        self.addCleanup(made.close)
        return made

    def test_a_step_of_the_wall_clock_between_two_processes_forgets_nothing(self) -> None:
        """What may have run counts for its whole time from a restart on, and not for ever."""
        longest = 80_000.0
        for step in (0.0, 20_000.0, 3_600_000.0, -20_000.0, -3_600_000.0):
            with self.subTest(step):
                self.now[0] = 1e12
                one = self.ledger(longest=longest)
                long_over = self.now[0] - 3.1 * 3_600_000.0
                one.append([may(b"id", self.now[0] + longest), may(b"ended", long_over)])
                one.close()
                self.now[0] += 1000.0 + step  # as the clock of the next process shows it
                again = self.ledger(longest=longest)
                self.assertTrue(again.may_have_run(b"id"))
                self.assertFalse(step >= 0 and again.may_have_run(b"ended"))
                self.now[0] += longest - 1.0
                self.assertTrue(again.may_have_run(b"id"))
                self.now[0] += 1.0 + max(0.0, -step)
                self.assertFalse(again.may_have_run(b"id"))
                again.forget()
                again.rewrite()
                again.close()

    def test_no_more_ids_are_recovered_than_may_be_kept(self) -> None:
        one = self.ledger(longest=1000.0)
        one.append([may(b"id-%d" % number, self.now[0] + number) for number in range(1, 31)])
        one.close()
        again = self.ledger(longest=1000.0, max_ids=10)
        self.assertEqual(set(again.ends), {b"id-%d" % number for number in range(21, 31)})

    def test_a_kill_at_any_byte_loses_nothing_that_was_written(self) -> None:
        one = self.ledger()
        for number in range(30):
            one.append([may(b"id-%d" % number)])
        one.append([Record(Kind.NEVER_RAN, b"id-3", 0.0)])
        data = one.name.read_bytes()
        ends = [at for _, at in read(data)]
        for cut in range(len(data) + 1):
            with self.subTest(cut):
                found = list(read(data[:cut]))
                self.assertEqual(len(found), sum(end <= cut for end in ends))
        one.name.write_bytes(data[:-5])
        again = self.ledger()
        self.assertEqual((again.torn, again.recovered), (1, 30))  # without the last record, id-3 may have run
        again.append([may(b"later")])
        self.assertEqual(self.ledger().recovered, 31)

    def test_a_flipped_bit_ends_what_is_trusted(self) -> None:
        chance = random.Random(2)
        data = MAGIC + b"".join(write(may(b"id-%d" % number)) for number in range(20))
        whole = [record for record, _ in read(data)]
        for _ in range(2000):
            spoilt = bytearray(data)
            spoilt[chance.randrange(len(data))] ^= 1 << chance.randrange(8)
            found = [record for record, _ in read(bytes(spoilt))]
            self.assertEqual(found, whole[: len(found)])
            self.assertLess(len(found), 20)

    def test_a_full_disk_refuses_before_anything_is_sent_and_recovers(self) -> None:
        one = self.ledger()
        one.append([may(b"a")])
        self.system.room = 10
        with self.assertRaisesRegex(LedgerFullError, "No space|full"):
            one.append([may(b"b"), may(b"c")])
        self.assertEqual([one.may_have_run(ident) for ident in (b"a", b"b", b"c")], [True, False, False])
        self.assertEqual([record.ident for record, _ in read(one.name.read_bytes())], [b"a"])  # cut again
        with self.assertRaises(LedgerFullError):
            one.append([may(b"d")])
        self.system.room = 1 << 40
        self.now[0] += 2 * TRY_EVERY
        one.append([may(b"e")])
        self.assertEqual(self.ledger().recovered, 2)

    def test_a_flush_that_fails_is_not_believed_later(self) -> None:
        one = self.ledger(flush="turn")
        one.append([may(b"a")])
        self.system.broken = True
        with self.assertRaises(OSError):
            one.sync()
        self.assertTrue(one.full)
        self.now[0] += 2 * TRY_EVERY
        with self.assertRaises(LedgerFullError):
            one.append([may(b"b")])
        self.system.broken = False
        self.now[0] += 2 * TRY_EVERY
        one.append([may(b"b")])
        self.assertFalse(one.full)

    def test_it_is_written_anew_without_what_is_over_and_stays_within_its_bounds(self) -> None:
        one = self.ledger(max_ids=500, max_bytes=400_000)
        for number in range(20_000):
            self.now[0] += 10
            one.append([may(b"%016x" % number, self.now[0] + 1000)])
        self.assertLess(one.bytes_most, 100_000)
        self.assertGreater(one.rewritten, 5)
        self.assertLessEqual(len(one.ends), 500)
        with self.assertRaisesRegex(LedgerFullError, "no room for another id"):
            for number in range(600):
                one.append([may(b"x%015x" % number, 9e12)])

    def test_a_rewrite_that_was_killed_leaves_the_old_one(self) -> None:
        one = self.ledger()
        one.append([may(b"a")])
        (self.path / "ledger.new").write_bytes(MAGIC + b"half")
        again = self.ledger()
        self.assertEqual((again.recovered, (self.path / "ledger.new").exists()), (1, False))
