"""Shared connections and what one turn may cost: each forced, on a clock moved by hand."""

import unittest

from tests.helpers import Caller, World


class SharedConnections(unittest.TestCase):
    """Several trips on one connection to an engine."""

    BEGUN = b"*4\r\n$16\r\n%016x\r\n$3\r\n200\r\n$7\r\nparts=1\r\n$6\r\n" % 1

    def two_trips(self) -> tuple[World, Caller, Caller]:
        """Two trips on one connection; the second has 640 ms left."""
        world = World(self)
        world.service.engines.most_connections = 1
        patient, pressed = Caller(world), Caller(world)
        patient.post(1)
        pressed.post(2, wait=640)
        return world, patient, pressed

    def test_an_answer_is_not_cut_for_the_sake_of_another_trip(self) -> None:
        world, patient, pressed = self.two_trips()
        peer = world.peer().up()
        self.assertEqual(len(peer.heard()), 2)
        peer.raw(self.BEGUN)
        world.go(400)
        self.assertFalse(peer.pipe.aborted)
        peer.raw(b"a\t1\tx\n\r\n")
        peer.say(2, "200", "parts=1", b"a\t1\tx\n")
        self.assertEqual([caller.answers()[0][0] for caller in (patient, pressed)], [200, 200])

    def test_one_whose_id_has_not_come_is_bounded_by_no_single_trip(self) -> None:
        world, patient, _ = self.two_trips()
        peer = world.peer().up()
        peer.raw(self.BEGUN[:10])
        world.go(400)
        self.assertFalse(peer.pipe.aborted)
        world.go(150)
        self.assertTrue(peer.pipe.aborted)

    def test_its_own_trips_time_bounds_it(self) -> None:
        world, _, _ = self.two_trips()
        peer = world.peer().up()
        peer.raw(self.BEGUN.replace(b"%016x" % 1, b"%016x" % 2))
        world.go(290)
        self.assertFalse(peer.pipe.aborted)
        world.go(30)
        self.assertTrue(peer.pipe.aborted)
