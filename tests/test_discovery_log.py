"""Log lines and counters about unanswered queries to the name server."""

import logging
import unittest

from tests.helpers import World

ENDPOINT = ("s-0.east.hosts", "127.0.9.0:7001", 0, "kind=std cell=0 started=0")


class Missed(unittest.TestCase):
    """One or more queries stay unanswered before a response."""

    def test_the_next_response_logs_the_number_and_duration_of_unanswered_queries(self) -> None:
        world = World(self)
        world.list(2, ENDPOINT)
        before, world.names_silent = world.count("names_unanswered"), True
        with self.assertLogs(world.service.log, logging.INFO) as logs:
            world.go(1000)
            world.list(3, ENDPOINT)
        logged = {record.getMessage(): record.figures for record in logs.records}  # type: ignore[attr-defined]
        self.assertGreaterEqual(logged["discovery_answers_missed"]["questions"], 4)
        self.assertGreaterEqual(logged["discovery_answers_missed"]["for_ms"], 1000.0)
        self.assertEqual((logged["list_answered"]["number"], logged["list_answered"]["before"]), (3, 2))
        missed = world.count("names_unanswered") - before
        self.assertEqual(missed, logged["discovery_answers_missed"]["questions"])

    def test_a_single_unanswered_query_is_counted_and_not_logged(self) -> None:
        world = World(self)
        world.list(2, ENDPOINT)
        before, world.names_silent = world.count("names_unanswered"), True
        world.service.names.send_query()
        world.service.names.send_query()
        with self.assertNoLogs(world.service.log, logging.WARNING):
            world.answer(3, ENDPOINT)
        self.assertEqual(world.count("names_unanswered") - before, 1)


if __name__ == "__main__":
    unittest.main()
