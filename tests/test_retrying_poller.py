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


class FailingEpoll:
    """An epoll object whose next calls of one kind fail."""

    def __init__(self) -> None:
        self.real = select.epoll()
        self.failures: list[tuple[str, int]] = []
        self.timeouts: list[float] = []
        self.close = self.real.close

    def call(self, name: str, *arguments: Any) -> None:
        """Makes a call, unless it is the next that has to fail."""
        if self.failures and self.failures[0][0] == name:
            raise OSError(self.failures.pop(0)[1], "by the test")
        getattr(self.real, name)(*arguments)

    def register(self, *arguments: Any) -> None:
        self.call("register", *arguments)

    def modify(self, *arguments: Any) -> None:
        self.call("modify", *arguments)

    def unregister(self, *arguments: Any) -> None:
        self.call("unregister", *arguments)

    def poll(self, timeout: float, max_events: int) -> list[tuple[int, int]]:
        self.timeouts.append(timeout)
        return self.real.poll(0, max_events)


class Retries(unittest.TestCase):
    """Changes that epoll rejects, as the caller of the poller sees them."""

    def setUp(self) -> None:
        self.near, self.far = socket.socketpair()
        self.addCleanup(self.near.close)
        self.addCleanup(self.far.close)
        self.epoll = FailingEpoll()
        self.addCleanup(self.epoll.close)
        self.now = 0.0
        self.poller = RetryingPoller(self.epoll, lambda: self.now)
        self.descriptor = self.near.fileno()

    def poll_at_next_retry(self) -> list[tuple[int, int]]:
        """Advances the clock to the next retry and polls."""
        self.now += RETRY_INTERVAL
        return self.poller.poll(-1, 16)

    def fail_next_calls(self, call: str, times: int = 1, error: int = errno.ENOMEM) -> None:
        """Makes the next calls of this kind fail."""
        self.epoll.failures = [(call, error)] * times

    def test_a_failed_registration_is_retried(self) -> None:
        self.far.send(b"x")
        self.fail_next_calls("register", times=3)
        self.poller.register(self.descriptor, IN)
        self.assertEqual(self.poll_at_next_retry(), [])
        self.assertEqual(self.epoll.timeouts[-1], RETRY_INTERVAL / 1000)
        self.assertEqual(self.poll_at_next_retry(), [])
        self.assertEqual(self.poll_at_next_retry(), [(self.descriptor, IN)])
        self.assertEqual(self.poller.pending_changes, {})
        self.poll_at_next_retry()
        self.assertEqual(self.epoll.timeouts[-1], -1)

    def test_a_failed_change_is_retried_and_unwanted_events_are_hidden(self) -> None:
        self.poller.register(self.descriptor, IN | OUT)
        self.fail_next_calls("modify", times=2)
        self.poller.modify(self.descriptor, IN)
        self.assertEqual(self.poll_at_next_retry(), [])
        self.assertEqual(self.poll_at_next_retry(), [])
        self.far.send(b"x")
        self.assertEqual(self.poll_at_next_retry(), [(self.descriptor, IN)])
        self.assertEqual(self.poller.pending_changes, {})

    def test_a_failed_unregistration_is_retried_and_its_events_are_hidden(self) -> None:
        self.poller.register(self.descriptor, IN)
        self.far.send(b"x")
        self.fail_next_calls("unregister", times=2)
        self.poller.unregister(self.descriptor)
        self.assertEqual(self.poll_at_next_retry(), [])
        self.assertEqual(self.poll_at_next_retry(), [])
        self.assertEqual(self.poller.pending_changes, {})
        self.poller.register(self.descriptor, IN)
        self.assertEqual(self.poll_at_next_retry(), [(self.descriptor, IN)])

    def test_between_two_retries_no_system_call_is_made(self) -> None:
        self.poller.register(self.descriptor, IN | OUT)
        self.fail_next_calls("modify", times=3)
        self.poller.modify(self.descriptor, IN)
        self.poll_at_next_retry()
        started_at = time.monotonic()
        for _ in range(20):  # each would report OUT at once
            self.assertEqual(self.poller.poll(-1, 16), [])
        self.assertEqual(len(self.epoll.failures), 1)
        self.assertGreaterEqual(time.monotonic() - started_at, 20 * UNWANTED_EVENT_PAUSE)

    def test_a_reused_descriptor_is_registered(self) -> None:
        """Closed while a change was pending: the system stops watching it, and its number is reused."""
        self.poller.register(self.descriptor, IN)
        self.fail_next_calls("modify")
        self.poller.modify(self.descriptor, OUT)
        os.dup2(self.far.fileno(), self.descriptor)  # closes the descriptor that was watched
        self.poll_at_next_retry()
        self.assertEqual(self.poll_at_next_retry(), [(self.descriptor, OUT | select.EPOLLHUP)])

    def test_the_last_change_wins(self) -> None:
        self.far.send(b"x")
        self.poller.register(self.descriptor, IN)
        self.fail_next_calls("unregister", times=1)
        self.poller.unregister(self.descriptor)
        self.poller.register(self.descriptor, IN)
        self.assertEqual(self.poller.pending_changes, {})
        self.assertEqual(self.poll_at_next_retry(), [(self.descriptor, IN)])

    def test_the_pending_change_of_a_closed_descriptor_is_dropped(self) -> None:
        self.poller.register(self.descriptor, IN)
        for call, reregister in (("unregister", False), ("register", True)):
            self.fail_next_calls(call, times=1)
            if reregister:
                other = socket.socket()
                descriptor = other.fileno()
                self.poller.register(descriptor, IN)
                other.close()
            else:
                self.poller.unregister(self.descriptor)
                self.near.close()
            self.assertEqual(len(self.poller.pending_changes), 1)
            self.assertEqual(self.poll_at_next_retry(), [])
            self.assertEqual(self.poller.pending_changes, {})

    def test_other_errors_are_raised_unchanged(self) -> None:
        for error in (errno.EBADF, errno.EPERM, errno.EINVAL):
            self.fail_next_calls("register", error=error)
            with self.assertRaises(OSError) as raised:
                self.poller.register(self.descriptor, IN)
            self.assertEqual(raised.exception.errno, error)
        self.assertEqual(self.poller.pending_changes, {})


if __name__ == "__main__":
    unittest.main()
