"""A name service on a real socket that answers by a script, step by step."""

import struct
import threading
import time
from collections import deque
from contextlib import suppress
from enum import Enum
from typing import NamedTuple

from spurdeal.lab import names
from tests.stepped_clock import NameService

SERVER_FAILURE = 0x8182  # the flags of an answer: SERVFAIL
WRONG_BITS = 0x55  # of a question id's low byte
KEPT = 48  # bytes of an answer that is cut short


class Answering(Enum):
    """What happens to an answer."""

    SENT = "it arrives"
    LOST = "it is sent and does not arrive"
    SERVER_FAILURE = "it holds no list and says that the name service has failed"
    CUT = "it is sent, and its end does not arrive"
    WRONG_ID = "it is sent under another question's id"
    OLD = "it holds the list before the newest"
    FIRST = "it holds the first list"
    SILENT = "none is sent"
    OPEN_ID = "it arrives, once it can under the wrong id of an older question that has no answer yet"
    DRAIN = "no answer: the first server drains from here on"


TELLING = {Answering.SENT, Answering.LOST, Answering.CUT, Answering.WRONG_ID, Answering.OPEN_ID}


class Step(NamedTuple):
    """So many answers, or all of so many seconds.

    Attributes:
        how: What happens to each.
        times: How many there are, where `seconds` is 0.
        seconds: How long the step lasts, from its first question on.
        delay: How long each answer is on its way, in seconds.
    """

    how: Answering
    times: int = 1
    seconds: float = 0.0
    delay: float = 0.0


class Played(NamedTuple):
    """A question, when it came, and what happened to its answer."""

    at: float
    ident: int
    how: Answering


class ScriptedNameService(NameService):
    """Answers by the steps of a script, and then each question at once.

    Attributes:
        drain_told: When the first answer that holds the drain was sent, whether or not it arrived.
        played: All questions so far.
        unanswered: The ids of those that the dispatcher still has open.
    """

    def __init__(self, host: str, port: int, endpoints: list[names.Endpoint]) -> None:
        self.steps, self.step_since, self.step_used = deque[Step](), 0.0, 0
        self.script_lock = threading.Lock()
        self.drain_told: float | None = None
        self.draining_from: int | None = None  # the number of the list with the drain
        self.lists = {1: list(endpoints)}
        self.played = list[Played]()
        self.unanswered = set[int]()
        super().__init__(host, port, endpoints)

    def play(self, *steps: Step) -> None:
        """Answer by these steps from the next question on."""
        with self.script_lock:
            self.steps, self.step_since, self.step_used = deque(steps), 0.0, 0

    def begin_drain(self) -> None:
        """The first server drains, in a list of its own."""
        self.drain("s-0")
        self.lists[self.serial] = list(self.endpoints)
        self.draining_from = self.serial

    def next_step(self, now: float, ident: int) -> Step:
        """The step of the question that came just now."""
        while self.steps:
            step = self.steps[0]
            if step.how is Answering.DRAIN:
                self.begin_drain()
                self.end_step()
                continue
            if step.how is Answering.OPEN_ID and ident ^ WRONG_BITS not in self.unanswered:
                return Step(Answering.SENT)
            self.step_since = self.step_since or now
            over = now >= self.step_since + step.seconds if step.seconds else self.step_used >= step.times
            if not over:
                self.step_used += 1
                return step
            self.end_step()
        return Step(Answering.SENT)

    def end_step(self) -> None:
        """Go on with the next step."""
        self.steps.popleft()
        self.step_since, self.step_used = 0.0, 0

    def serve(self) -> None:
        """Answer until it is closed."""
        while not self.closed:
            with suppress(TimeoutError):
                question, asker = self.socket.recvfrom(512)
                now, ident = time.monotonic(), int.from_bytes(question[:2], "big")
                self.asked.append(now)
                with self.script_lock:
                    step = self.next_step(now, ident)
                self.played.append(Played(now, ident, step.how))
                self.carry_out(step, question, asker)
        self.socket.close()

    def carry_out(self, step: Step, question: bytes, asker: tuple[str, int]) -> None:
        """One answer."""
        if step.how in (Answering.SILENT, Answering.LOST):
            self.unanswered.add(int.from_bytes(question[:2], "big"))
        if step.how is Answering.SILENT:
            return
        serial = {Answering.OLD: max(1, self.serial - 1), Answering.FIRST: 1}.get(step.how, self.serial)
        self.note_told(step.how, serial)
        told = self.message(step.how, question, serial)
        if step.how is Answering.LOST:
            return
        if step.delay:
            threading.Timer(step.delay, self.arrive, (told, asker)).start()
        else:
            self.socket.sendto(told, asker)

    def note_told(self, how: Answering, serial: int) -> None:
        """Keep when the first answer with the drain was sent."""
        holds = self.draining_from is not None and serial >= self.draining_from
        if self.drain_told is None and holds and how in TELLING:
            self.drain_told = time.monotonic()

    def message(self, how: Answering, question: bytes, serial: int) -> bytes:
        """An answer's bytes."""
        if how is Answering.SERVER_FAILURE:
            return question[:2] + struct.pack("!5H", SERVER_FAILURE, 1, 0, 0, 0) + question[12:]
        told = names.answer(question, serial, *(endpoint.record() for endpoint in self.lists[serial]))
        if how in (Answering.WRONG_ID, Answering.OPEN_ID):
            return told[:1] + bytes([told[1] ^ WRONG_BITS]) + told[2:]
        return told[:KEPT] if how is Answering.CUT else told

    def arrive(self, told: bytes, asker: tuple[str, int]) -> None:
        """An answer that was on its way."""
        with suppress(OSError):  # the test is over
            self.socket.sendto(told, asker)
