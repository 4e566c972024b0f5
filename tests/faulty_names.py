"""A name service on a real socket whose answers get lost, cannot be used or are not sent."""

import threading
import time
from contextlib import suppress
from enum import Enum

from spurdeal.lab import names
from tests.stepped_clock import NameService

REFUSED = 0x8402  # the flags of an answer: SERVFAIL


class Fault(Enum):
    """What happens to an answer."""

    LOST = "it is sent and does not arrive"
    UNUSABLE = "it says that the name service has failed"
    SILENT = "none is sent"


class FaultyNameService(NameService):
    """Answers each question with the list as the test has set it, but for the next ones.

    Attributes:
        sent: By the number of a list, when the first answer with it was sent, whether or not it arrived.
        delay: How long an answer is on its way, in seconds.
    """

    fault, times, delay = Fault.SILENT, 0, 0.0
    then: Fault | None = None

    def __init__(self, host: str, port: int, endpoints: list[names.Endpoint]) -> None:
        self.sent = dict[int, float]()
        super().__init__(host, port, endpoints)

    def fail(self, fault: Fault, times: int, then: Fault | None = None) -> None:
        """The next answers fail in this way, and all behind them in the other, where one is given."""
        self.fault, self.times, self.then = fault, times, then

    def serve(self) -> None:
        """Answer until it is closed."""
        while not self.closed:
            with suppress(TimeoutError):
                question, asker = self.socket.recvfrom(512)
                self.asked.append(time.monotonic())
                self.answer(question, asker)
        self.socket.close()

    def answer(self, question: bytes, asker: tuple[str, int]) -> None:
        """One question."""
        fault = self.fault if self.times else self.then
        self.times -= self.times > 0
        if fault is Fault.SILENT:
            return
        self.sent.setdefault(self.serial, time.monotonic())
        if fault is Fault.LOST:
            return
        flags = REFUSED if fault is Fault.UNUSABLE else 0x8400
        told = names.answer(
            question, self.serial, *(endpoint.record() for endpoint in self.endpoints), flags=flags
        )
        if self.delay:
            threading.Timer(self.delay, self.arrive, (told, asker)).start()
        else:
            self.socket.sendto(told, asker)

    def arrive(self, told: bytes, asker: tuple[str, int]) -> None:
        """An answer that was on its way."""
        with suppress(OSError):  # the test is over
            self.socket.sendto(told, asker)
