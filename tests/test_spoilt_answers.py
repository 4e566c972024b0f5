"""Answers of engines with noise: what is served is what the engine made, and nothing runs twice.

Guards against an answer that was spoilt on its way and is believed: served with other rows than were made, or
taken as a proof that a request never ran.
"""

import random
import unittest
from collections.abc import Iterator

from spurdeal.net.engine_answers import MAX_PAGES, STATUSES, required_number
from spurdeal.net.resp import BadAnswer, command
from tests.helpers import Caller, World

IDENT = 0xAB
PAGES = (b"a\t1\tx\n", b"b\t2\ty\n", b"c\t3\tz\n")
ROWS = [["a", "1", "x"], ["b", "2", "y"], ["c", "3", "z"]]
NUMBERS = (b"parts=3", b"part_no=1", b"part_no=2")  # another number would be another good answer
SEED, MUTATIONS = 67, 600
MAX_CHANGED = 3  # bytes
PRINTABLE = bytes(range(0x20, 0x7F))
SHARE_WITH_FITTING_LENGTHS = 0.7


def answers(more: bytes = b"") -> tuple[bytes, ...]:
    """The three answers that bring a result of three pages; `more` follows the fields of the first."""
    return tuple(command(*parts) for parts in answer_parts(more))


def answer_parts(more: bytes = b"") -> list[list[bytes]]:
    """The parts of each of these answers: id, status, fields and page."""
    ident = f"{IDENT:016x}".encode()
    fields = (NUMBERS[0] + more, *NUMBERS[1:])
    statuses = (b"200", b"chunk", b"chunk")
    return [list(parts) for parts in zip([ident] * 3, statuses, fields, PAGES, strict=True)]


def with_noise(text: bytes, chance: random.Random) -> bytes:
    """A text with one to three bytes changed, dropped, doubled or inserted, but no number in it changed."""
    number_ends = next((text.index(number) + len(number) for number in NUMBERS if number in text), -1)
    places = [place for place in range(len(text)) if not number_ends - 2 < place <= number_ends]
    noisy = bytearray(text)
    for place in sorted(chance.sample(places, chance.randint(1, MAX_CHANGED)), reverse=True):
        byte = chance.choice(PRINTABLE)
        match chance.choice(("change", "drop", "double", "insert")):
            case "change":
                noisy[place] = byte
            case "drop":
                del noisy[place]
            case "double":
                noisy.insert(place, noisy[place])
            case "insert":
                noisy.insert(place, byte)
    return bytes(noisy)


def spoilt(parts: list[bytes], chance: random.Random) -> bytes:
    """An answer with noise in its head: in one part, whose length fits then, or anywhere."""
    if chance.random() < SHARE_WITH_FITTING_LENGTHS:
        place = chance.randrange(len(parts) - 1)
        return command(*parts[:place], with_noise(parts[place], chance), *parts[place + 1 :])
    message = command(*parts)
    tail = len(parts[-1]) + len(b"\r\n")
    return with_noise(message[:-tail], chance) + message[-tail:]


class Spoilt(unittest.TestCase):
    """Spoilt answers to a request of a dispatcher on in-memory transports, with a second engine."""

    def mutations(self) -> Iterator[tuple[bytes, ...]]:
        """Exchanges with one spoilt answer each."""
        chance = random.Random(SEED)
        for _ in range(MUTATIONS):
            exchange = list(answers())
            place = chance.randrange(len(exchange))
            exchange[place] = spoilt(answer_parts()[place], chance)
            yield tuple(exchange)

    def play(self, workload: str, exchange: tuple[bytes, ...]) -> tuple[World, Caller]:
        """Send a request, and answer it with these bytes."""
        world = World(self, engines=2)
        caller = Caller(world)
        caller.post(IDENT, workload)
        peer = world.peer().up()
        for message in exchange:
            if not peer.pipe.aborted:
                peer.raw(message)
        return world, caller

    def served(self, caller: Caller) -> list[object]:
        """The results that a client was sent."""
        return [value["result"] for status, _, value in caller.answers() if status == 200]

    def assert_not_served(self, *exchange: bytes) -> None:
        """A request that is answered so is not served by that."""
        _, caller = self.play("lookup", exchange)
        self.assertEqual(self.served(caller), [])

    def test_the_exchange_itself_is_served(self) -> None:
        _, caller = self.play("lookup", answers())
        self.assertEqual(self.served(caller), [ROWS])

    def test_noise_in_a_head_never_changes_what_is_served(self) -> None:
        for exchange in self.mutations():
            with self.subTest(exchange):
                _, caller = self.play("lookup", exchange)
                self.assertIn(self.served(caller), ([], [ROWS]))

    def test_another_status_never_makes_a_load_run_twice(self) -> None:
        # Guards against a result whose status was spoilt and is taken as a proof that nothing ran.
        for place, (ident, true_status, fields, page) in enumerate(answer_parts()):
            for status in STATUSES:
                with self.subTest(place=place, status=status):
                    exchange = list(answers())
                    exchange[place] = command(ident, status, fields, page)
                    world, caller = self.play("load", tuple(exchange))
                    self.assertEqual(len(world.reactor.tcpClients), 1)
                    self.assertEqual(self.served(caller) == [ROWS], status == true_status)

    def test_an_answer_to_no_open_request_need_not_tell_its_pages(self) -> None:
        # Guards against failing a connection, with all its attempts, for a superfluous answer.
        ahead = command(b"%016x" % (IDENT + 1), b"200", b"-", PAGES[0])
        world, caller = self.play("lookup", (ahead, *answers(), ahead))
        self.assertEqual((self.served(caller), world.count("answers_crossed")), ([ROWS], 2))
        self.assertEqual(world.count("engine_bad_answers"), 0)

    def test_a_field_that_comes_twice_is_not_believed(self) -> None:
        # Guards against taking the last of two values, one of which is spoilt.
        first, *pages = answers(b",parts=1")
        self.assert_not_served(first, *pages)
        self.assert_not_served(
            answers()[0], command(b"%016x" % IDENT, b"chunk", b"part_no=1,part_no=2", PAGES[2])
        )

    def test_only_digits_are_a_number(self) -> None:
        # Guards against the numbers of Python, in which noise can hide: 1_2, +3, and digits of other scripts.
        for text in ("1_2", "+3", " 3", "3 ", "\u0663", "-1", "0", "", "1e1", str(MAX_PAGES + 1), "9" * 5000):
            with self.subTest(text), self.assertRaises(BadAnswer):
                required_number({"parts": text}, "parts", MAX_PAGES)
        self.assertEqual(required_number({"parts": "012"}, "parts", MAX_PAGES), 12)

    def test_a_second_copy_that_differs_shows_that_one_is_spoilt(self) -> None:
        # Guards against believing the first of two answers that contradict one another.
        first, second, third = answers()
        self.assert_not_served(first, first.replace(b"parts=3", b"parts=2"), second, third)
        self.assert_not_served(first, first.replace(PAGES[0], PAGES[1]), second, third)
        misplaced = second.replace(b"part_no=1", b"part_no=2")
        self.assert_not_served(first, misplaced, third, second)

    def test_a_proof_that_nothing_ran_has_no_pages(self) -> None:
        # Guards against a load that is sent again, as noise has made a 503 or 504 of its result.
        for status in (b"503", b"504"):
            for fields in (b"parts=3", b"part_no=1", b"stats=q:1,parts=3"):
                with self.subTest(status=status, fields=fields):
                    message = command(b"%016x" % IDENT, status, fields, PAGES[0])
                    world, caller = self.play("load", (message,))
                    self.assertEqual([status for status, _, _ in caller.answers()], [500])
                    self.assertEqual(len(world.reactor.tcpClients), 1)


if __name__ == "__main__":
    unittest.main()
