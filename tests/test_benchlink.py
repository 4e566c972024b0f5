"""The bench adapter as a process: its replies, and its messages for invalid input."""

import json
import struct
import subprocess
import sys
import unittest

OPTIONS = {"grades": [{"aim": 1000, "deadline": 5000, "later": 1}], "zones": ["z"], "news": {}}


def frame(now: float, *records: bytes) -> bytes:
    """Encodes a frame: its length, the time in ms and the records."""
    body = b"".join(records)
    return struct.pack("<IdI", 16 + len(body), now, len(records)) + body


def provision(instance: int, options: object = OPTIONS) -> bytes:
    """Encodes the record that starts an instance of the decision module."""
    text = json.dumps(options).encode()
    return struct.pack("<BHQI", 0, instance, 7, len(text)) + text


def list_page(state: int = 2) -> bytes:
    """Encodes a page of the list with one engine."""
    return struct.pack("<BHI6sBHHBfd", 11, 0, 1, b"engine", 0, 0, 0, state, 1.0, 0.0)


# Records for instance 3: the pages of its list, request 99, and the result of the request's first attempt.
MEMBERSHIP = struct.pack("<BHBQH", 1, 3, 2, 1, 0)
INBOUND = struct.pack("<BHQHIQddffH", 2, 3, 99, 0, 0, 0, 6000.0, 100.0, 0.0, 0.0, 1)
SETTLED = struct.pack("<BHQB6sHdBIB", 4, 3, 99, 0, b"engine", 0, 90.0, 1, 0, 0)


def run(*frames: bytes) -> tuple[int, bytes, str]:
    """Runs the adapter on these frames; returns its exit code, its output and its error text."""
    command = [sys.executable, "-m", "spurdeal.benchlink"]
    completed = subprocess.run(command, input=b"".join(frames), capture_output=True, timeout=60, check=False)
    return completed.returncode, completed.stdout, completed.stderr.decode()


class BenchAdapter(unittest.TestCase):
    """Frames of records on standard input, and the replies on standard output."""

    def test_a_request_is_sent_and_late_events_are_ignored(self) -> None:
        code, out, err = run(
            frame(1000.0, provision(3), list_page(), MEMBERSHIP),
            frame(1005.0, INBOUND),
            frame(1100.0, SETTLED),
            frame(1105.0, struct.pack("<BHQ", 5, 3, 99)),
        )
        self.assertEqual((code, err), (0, ""))
        self.assertIn(struct.pack("<BHQ6sd", 0, 3, 99, b"engine", 0.0), out)
        self.assertTrue(out.endswith(struct.pack("<II", 0, 8)))

    def test_restart_in_one_batch_drops_the_records_of_the_killed_instance(self) -> None:
        code, out, _ = run(
            frame(1000.0, provision(3), list_page(), MEMBERSHIP),
            frame(1005.0, INBOUND, struct.pack("<BH", 9, 3), provision(3), MEMBERSHIP),
        )
        self.assertEqual((code, b"engine" in out), (0, False))

    def test_invalid_input_ends_with_one_line_of_text(self) -> None:
        start = provision(3), list_page(), MEMBERSHIP
        for bad, message in (
            (b"\1\2", "header cut"),
            (frame(1.0, start[0])[:-5], "frame cut"),
            (struct.pack("<IdI", 3, 1.0, 0), "length 3"),
            (frame(1.0, b"\x63"), "code 99"),
            (frame(1.0, MEMBERSHIP), "instance 3"),
            (frame(1.0, *start[:2], MEMBERSHIP[:-2] + b"\5\0"), "list 5"),
            (frame(1.0, list_page(9)), "node state 9"),
            (frame(1.0, start[0], b"\0"), "cut short"),
            (frame(1.0, *start, INBOUND[:11] + b"\7\0" + INBOUND[13:]), "class 7"),
            (frame(1.0, *start, SETTLED.replace(b"engine", b"others")), "was in no list"),
            (frame(1.0, provision(3, {"grades": []})), "no workloads"),
            (frame(1.0, provision(3, {})), "'grades' is missing"),
        ):
            with self.subTest(message):
                code, out, err = run(bad)
                self.assertEqual((code, out, err.count("\n")), (2, b"", 1), err)
                self.assertIn(message, err)
