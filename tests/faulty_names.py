"""A name server on a real socket whose responses are lost, unusable or not sent."""

import threading
import time
from contextlib import suppress
from enum import Enum

from spurdeal.lab import name_server
from tests.stepped_clock import NameService

SERVER_FAILURE = 0x8402  # flags of a response: SERVFAIL


class Fault(Enum):
    """What happens to a response."""

    LOST = "it is sent and does not arrive"
    UNUSABLE = "it reports a server failure"
    SILENT = "none is sent"


class FaultyNameService(NameService):
    """Answers each query with the list that the test has set, except for the next ones.

    Attributes:
        fault: What happens to the next responses.
        times: Number of responses that this still applies to.
        then: What happens to all later responses; None if they arrive.
        sent: By serial number, when the first response with that list was sent, whether or not it arrived.
        delay: Network delay of a response, in seconds.
    """

    fault, times, delay = Fault.SILENT, 0, 0.0
    then: Fault | None = None

    def __init__(self, host: str, port: int, endpoints: list[name_server.Endpoint]) -> None:
        self.sent = dict[int, float]()
        super().__init__(host, port, endpoints)

    def fail(self, fault: Fault, times: int, then: Fault | None = None) -> None:
        """Makes the next responses fail in this way, and all later ones as in `then`, if given."""
        self.fault, self.times, self.then = fault, times, then

    def serve(self) -> None:
        """Answers queries until the server is closed."""
        while not self.closed:
            with suppress(TimeoutError):
                query, client_address = self.socket.recvfrom(512)
                self.query_times.append(time.monotonic())
                self.answer(query, client_address)
        self.socket.close()

    def answer(self, query: bytes, client_address: tuple[str, int]) -> None:
        """Answers one query."""
        fault = self.fault if self.times else self.then
        self.times -= self.times > 0
        if fault is Fault.SILENT:
            return
        self.sent.setdefault(self.serial, time.monotonic())
        if fault is Fault.LOST:
            return
        flags = SERVER_FAILURE if fault is Fault.UNUSABLE else 0x8400
        response = name_server.answer(
            query, self.serial, *(endpoint.record() for endpoint in self.endpoints), flags=flags
        )
        if self.delay:
            threading.Timer(self.delay, self.deliver, (response, client_address)).start()
        else:
            self.socket.sendto(response, client_address)

    def deliver(self, response: bytes, client_address: tuple[str, int]) -> None:
        """Sends a delayed response."""
        with suppress(OSError):  # the test is over
            self.socket.sendto(response, client_address)
