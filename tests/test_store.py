"""The durable ledger: recovery after a crash at any byte, full and failing disks, compaction, bounds."""

import errno
import os
import random
import tempfile
import unittest
from pathlib import Path
from typing import Any, cast

from spurdeal.store.ledger import RETRY_INTERVAL, Ledger, LedgerFullError, LedgerSettings
from spurdeal.store.records import MAGIC, Kind, Record, decode_records, encode_record


def may(ident: bytes, until: float = 9e12) -> Record:
    return Record(Kind.MAY_RUN, ident, until)


class FaultyDisk:
    """System calls on a disk that a test fills (`room`, in bytes) or whose flushes fail (`broken`)."""

    open, close, rename, ftruncate, lseek = os.open, os.close, os.rename, os.ftruncate, os.lseek

    def __init__(self) -> None:
        self.room, self.broken = 1 << 40, False

    def write(self, file: int, data: Any) -> int:
        if not self.room:
            raise OSError(errno.ENOSPC, "full")
        part = data[: min(len(data), self.room, 7)]  # forces short writes
        self.room -= len(part)
        return os.write(file, part)

    def fdatasync(self, file: int) -> None:
        self.fsync(file)

    def fsync(self, file: int) -> None:
        if self.broken:
            raise OSError(errno.EIO, "broken")
        os.fsync(file)


class LedgerTests(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path, self.now, self.disk = Path(folder.name) / "ledger", [1e12], FaultyDisk()

    def ledger(self, **settings: Any) -> Ledger:
        made = Ledger(self.path, lambda: self.now[0], LedgerSettings(**settings), cast(Any, self.disk))
        self.addCleanup(made.close)
        return made

    def test_a_wall_clock_step_between_two_processes_expires_no_id_early(self) -> None:
        """Recovered ids are kept for the full retention after a restart, and not for ever.

        Otherwise a clock that was stepped forward would expire them at once, and requests would run twice.
        """
        retention = 80_000.0
        for step in (0.0, 20_000.0, 3_600_000.0, -20_000.0, -3_600_000.0):
            with self.subTest(step):
                self.now[0] = 1e12
                one = self.ledger(retention=retention)
                long_over = self.now[0] - 3.1 * 3_600_000.0
                one.append([may(b"id", self.now[0] + retention), may(b"ended", long_over)])
                one.close()
                self.now[0] += 1000.0 + step  # the wall clock that the next process reads
                again = self.ledger(retention=retention)
                self.assertTrue(again.may_have_run(b"id"))
                self.assertFalse(step >= 0 and again.may_have_run(b"ended"))
                self.now[0] += retention - 1.0
                self.assertTrue(again.may_have_run(b"id"))
                self.now[0] += 1.0 + max(0.0, -step)
                self.assertFalse(again.may_have_run(b"id"))
                again.drop_expired()
                again.compact()
                again.close()

    def test_recovery_keeps_at_most_max_ids_the_latest_to_expire(self) -> None:
        one = self.ledger(retention=1000.0)
        one.append([may(b"id-%d" % number, self.now[0] + number) for number in range(1, 31)])
        one.close()
        again = self.ledger(retention=1000.0, max_ids=10)
        self.assertEqual(set(again.expirations), {b"id-%d" % number for number in range(21, 31)})

    def test_recovery_after_a_crash_at_any_byte_keeps_all_complete_records(self) -> None:
        one = self.ledger()
        for number in range(30):
            one.append([may(b"id-%d" % number)])
        one.append([Record(Kind.NEVER_RAN, b"id-3", 0.0)])
        data = one.log_path.read_bytes()
        ends = [at for _, at in decode_records(data)]
        for cut in range(len(data) + 1):
            with self.subTest(cut):
                found = list(decode_records(data[:cut]))
                self.assertEqual(len(found), sum(end <= cut for end in ends))
        one.log_path.write_bytes(data[:-5])
        again = self.ledger()
        self.assertEqual((again.torn, again.recovered), (1, 30))  # the torn record is NEVER_RAN of id-3
        again.append([may(b"later")])
        self.assertEqual(self.ledger().recovered, 31)

    def test_a_flipped_bit_ends_the_recovered_records(self) -> None:
        rng = random.Random(2)
        data = MAGIC + b"".join(encode_record(may(b"id-%d" % number)) for number in range(20))
        whole = [record for record, _ in decode_records(data)]
        for _ in range(2000):
            corrupted = bytearray(data)
            corrupted[rng.randrange(len(data))] ^= 1 << rng.randrange(8)
            found = [record for record, _ in decode_records(bytes(corrupted))]
            self.assertEqual(found, whole[: len(found)])
            self.assertLess(len(found), 20)

    def test_a_full_disk_rejects_appends_and_is_retried_later(self) -> None:
        one = self.ledger()
        one.append([may(b"a")])
        self.disk.room = 10
        with self.assertRaisesRegex(LedgerFullError, "No space|full"):
            one.append([may(b"b"), may(b"c")])
        self.assertEqual([one.may_have_run(ident) for ident in (b"a", b"b", b"c")], [True, False, False])
        # The torn write is truncated.
        self.assertEqual([record.ident for record, _ in decode_records(one.log_path.read_bytes())], [b"a"])
        with self.assertRaises(LedgerFullError):
            one.append([may(b"d")])
        self.disk.room = 1 << 40
        self.now[0] += 2 * RETRY_INTERVAL
        one.append([may(b"e")])
        self.assertEqual(self.ledger().recovered, 2)

    def test_after_a_failed_flush_only_a_new_file_is_trusted(self) -> None:
        one = self.ledger(flush="turn")
        one.append([may(b"a")])
        self.disk.broken = True
        with self.assertRaises(OSError):
            one.sync()
        self.assertTrue(one.write_failed)
        self.now[0] += 2 * RETRY_INTERVAL
        with self.assertRaises(LedgerFullError):
            one.append([may(b"b")])
        self.disk.broken = False
        self.now[0] += 2 * RETRY_INTERVAL
        one.append([may(b"b")])
        self.assertFalse(one.write_failed)

    def test_compaction_drops_expired_ids_and_bounds_hold(self) -> None:
        one = self.ledger(max_ids=500, max_bytes=400_000)
        for number in range(20_000):
            self.now[0] += 10
            one.append([may(b"%016x" % number, self.now[0] + 1000)])
        self.assertLess(one.bytes_most, 100_000)
        self.assertGreater(one.rewritten, 5)
        self.assertLessEqual(len(one.expirations), 500)
        with self.assertRaisesRegex(LedgerFullError, "no room for another id"):
            for number in range(600):
                one.append([may(b"x%015x" % number, 9e12)])

    def test_an_interrupted_compaction_leaves_the_old_log(self) -> None:
        one = self.ledger()
        one.append([may(b"a")])
        (self.path / "ledger.new").write_bytes(MAGIC + b"half")
        again = self.ledger()
        self.assertEqual((again.recovered, (self.path / "ledger.new").exists()), (1, False))
