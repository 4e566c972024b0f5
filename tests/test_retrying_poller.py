"""A poller whose calls fail transiently: each change takes effect as soon as the system accepts it.

Guards against sockets that are never read again after epoll_ctl has failed with ENOMEM.
"""

import errno
import os
import select
import socket
import time
import unittest
from typing import Any

from spurdeal.net.retrying_poller import RETRY_INTERVAL, UNWANTED_EVENT_PAUSE, RetryingPoller

IN, OUT = select.EPOLLIN, select.EPOLLOUT


class Failing:
    """An epoll object whose next calls of one kind fail."""

    def __init__(self) -> None:
        self.real = select.epoll()
        self.errors: list[tuple[str, int]] = []
        self.timeouts: list[float] = []
        self.close = self.real.close

    def call(self, name: str, *arguments: Any) -> None:
        if self.errors and self.errors[0][0] == name:
            raise OSError(self.errors.pop(0)[1], "by the test")
        getattr(self.real, name)(*arguments)

    def register(self, *arguments: Any) -> None:
        self.call("register", *arguments)

    def modify(self, *arguments: Any) -> None:
        self.call("modify", *arguments)

    def unregister(self, *arguments: Any) -> None:
        self.call("unregister", *arguments)

    def poll(self, timeout: float, most: int) -> list[tuple[int, int]]:
        self.timeouts.append(timeout)
        return self.real.poll(0, most)


class Polling(unittest.TestCase):
    def setUp(self) -> None:
        self.near, self.far = socket.socketpair()
        self.addCleanup(self.near.close)
        self.addCleanup(self.far.close)
        self.system = Failing()
        self.addCleanup(self.system.close)
        self.now = 0.0
        self.poller = RetryingPoller(self.system, lambda: self.now)
        self.descriptor = self.near.fileno()

    def found(self) -> list[tuple[int, int]]:
        """Polls when the next retry is due."""
        self.now += RETRY_INTERVAL
        return self.poller.poll(-1, 16)

    def refuse(self, call: str, times: int = 1, error: int = errno.ENOMEM) -> None:
        self.system.errors = [(call, error)] * times

    def test_a_registration_that_fails_is_made_later(self) -> None:
        self.far.send(b"x")
        self.refuse("register", times=3)
        self.poller.register(self.descriptor, IN)
        self.assertEqual(self.found(), [])
        self.assertEqual(self.system.timeouts[-1], RETRY_INTERVAL / 1000)
        self.assertEqual(self.found(), [])
        self.assertEqual(self.found(), [(self.descriptor, IN)])
        self.assertEqual(self.poller.pending_changes, {})
        self.found()
        self.assertEqual(self.system.timeouts[-1], -1)

    def test_a_change_that_fails_is_made_later_and_hides_what_is_not_wanted(self) -> None:
        self.poller.register(self.descriptor, IN | OUT)
        self.refuse("modify", times=2)
        self.poller.modify(self.descriptor, IN)
        self.assertEqual(self.found(), [])
        self.assertEqual(self.found(), [])
        self.far.send(b"x")
        self.assertEqual(self.found(), [(self.descriptor, IN)])
        self.assertEqual(self.poller.pending_changes, {})

    def test_an_unregistration_that_fails_is_hidden_and_made_later(self) -> None:
        self.poller.register(self.descriptor, IN)
        self.far.send(b"x")
        self.refuse("unregister", times=2)
        self.poller.unregister(self.descriptor)
        self.assertEqual(self.found(), [])
        self.assertEqual(self.found(), [])
        self.assertEqual(self.poller.pending_changes, {})
        self.poller.register(self.descriptor, IN)
        self.assertEqual(self.found(), [(self.descriptor, IN)])

    def test_between_two_retries_no_system_call_is_made(self) -> None:
        self.poller.register(self.descriptor, IN | OUT)
        self.refuse("modify", times=3)
        self.poller.modify(self.descriptor, IN)
        self.found()
        began = time.monotonic()
        for _ in range(20):  # each would report OUT at once
            self.assertEqual(self.poller.poll(-1, 16), [])
        self.assertEqual(len(self.system.errors), 1)
        self.assertGreaterEqual(time.monotonic() - began, 20 * UNWANTED_EVENT_PAUSE)

    def test_a_reused_descriptor_is_registered(self) -> None:
        """Closed while a change was pending: the system stops watching it, and its number is reused."""
        self.poller.register(self.descriptor, IN)
        self.refuse("modify")
        self.poller.modify(self.descriptor, OUT)
        os.dup2(self.far.fileno(), self.descriptor)  # closes the descriptor that was watched
        self.found()
        self.assertEqual(self.found(), [(self.descriptor, OUT | select.EPOLLHUP)])

    def test_the_last_change_wins(self) -> None:
        self.far.send(b"x")
        self.poller.register(self.descriptor, IN)
        self.refuse("unregister", times=1)
        self.poller.unregister(self.descriptor)
        self.poller.register(self.descriptor, IN)
        self.assertEqual(self.poller.pending_changes, {})
        self.assertEqual(self.found(), [(self.descriptor, IN)])

    def test_a_descriptor_that_was_closed_meanwhile_is_dropped(self) -> None:
        self.poller.register(self.descriptor, IN)
        for call, again in (("unregister", False), ("register", True)):
            self.refuse(call, times=1)
            if again:
                other = socket.socket()
                descriptor = other.fileno()
                self.poller.register(descriptor, IN)
                other.close()
            else:
                self.poller.unregister(self.descriptor)
                self.near.close()
            self.assertEqual(len(self.poller.pending_changes), 1)
            self.assertEqual(self.found(), [])
            self.assertEqual(self.poller.pending_changes, {})

    def test_other_errors_are_raised_unchanged(self) -> None:
        for error in (errno.EBADF, errno.EPERM, errno.EINVAL):
            self.refuse("register", error=error)
            with self.assertRaises(OSError) as raised:
                self.poller.register(self.descriptor, IN)
            self.assertEqual(raised.exception.errno, error)
        self.assertEqual(self.poller.pending_changes, {})


if __name__ == "__main__":
    unittest.main()
