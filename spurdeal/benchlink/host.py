"""Hosts the instances of one process: each has rules and indices of its own and shares nothing."""

import json
import struct
from collections.abc import Callable
from typing import Any, BinaryIO

from ..deployment import deployment
from ..interface import Ending, EndReason, Life, ListedEngine, ProgressKind
from ..rules import Dispatcher
from .frames import BadInputError, Reader, read_frame, write_frame
from .records import (
    ABORTED,
    CHECKED,
    CODE,
    ENTRY,
    HEAD,
    INBOUND,
    MEMBERSHIP,
    PAGE,
    PEER,
    PROVISION,
    RETIRE,
    SETTLED,
    UPDATE,
    WAKEUP,
    AttemptResult,
    Notice,
)

DELTA, FULL, CACHED, FAILED = range(4)
MOST_LISTS = 16
ESTIMATED = 1
BILL_SHIFT, BILL_MASK, BILL_UNIT = 12, 4095, 4
LONGEST_TEXT = 400
LONGEST_SLEEP = 71 * 60_000.0


class Instance:
    """One dispatcher of the bench: its rules, its indices, and the records of its reply."""

    rules: Dispatcher

    def __init__(self, who: int, options: bytes) -> None:
        self.who = who
        self.broken = False
        try:
            self.site = deployment(json.loads(options))
        except ValueError as fault:
            raise BadInputError(f"settings of instance {who}: {fault}") from None
        self.records: list[bytes] = []
        self.numbers: dict[int, int] = {}
        self.names: dict[int, int] = {}
        self.attempts_out: dict[int, int] = {}
        self.over: set[int] = set()
        self.taken = 0
        self.engines: dict[bytes, int] = {}
        self.addresses: list[bytes] = []

    def start(self, now: float, seed: int) -> None:
        """Make the rules, which decide from the seed alone."""
        self.rules = Dispatcher(self.site, seed, self, now)

    def turn(self, now: float) -> None:
        """All events of a batch are told."""
        self.rules.end_batch(now)

    def woken(self, now: float, token: int) -> None:
        """A timer of the rules is due."""
        self.rules.timer_fired(now, token)

    def engine(self, address: bytes) -> int:
        """Our index of the engine at that address.

        Raises:
            BadInputError: It was in no list.
        """
        try:
            return self.engines[address]
        except KeyError:
            raise BadInputError(f"instance {self.who}: node {address.hex()} was in no list") from None

    def listed(self, now: float, scope: int, entries: list[tuple[Any, ...]]) -> None:
        """An engine list has come, or could not be had.

        Args:
            now: In ms.
            scope: DELTA, FULL, CACHED or FAILED.
            entries: Fields of ENTRY.
        """
        if scope == FAILED:
            self.rules.list_failed(now)
            return
        lines = []
        for address, zone, kind, cell, life, weight, started in entries:
            if address not in self.engines:
                self.engines[address] = len(self.addresses)
                self.addresses.append(address)
            lines.append(ListedEngine(self.engines[address], zone, kind, cell, Life(life), weight, started))
        self.rules.list_changed(now, lines, scope != DELTA)

    def submitted(self, now: float, tid: int, fields: tuple[Any, ...]) -> None:
        """A request has come.

        Args:
            now: In ms.
            tid: The bench's number of it.
            fields: Of INBOUND, without the first two.

        Raises:
            BadInputError: That number came before and is open.
        """
        kind, tenant, key, deadline, cost, memory, group, bits = fields
        if tid in self.numbers:
            raise BadInputError(f"instance {self.who}: submission {tid} came twice")
        number = self.taken
        self.taken += 1
        self.numbers[tid], self.names[number], self.attempts_out[number] = number, tid, 0
        cost = cost if bits & ESTIMATED else 0.0
        self.rules.request_received(now, number, kind, tenant, key, deadline, cost, memory, int(group))

    def settled(self, now: float, tid: int, result: AttemptResult) -> None:
        """An attempt has ended; late ones, of requests that are over, are passed over."""
        number = self.numbers.get(tid)
        if number is None:
            return
        self.attempts_out[number] -= 1
        self.rules.attempt_ended(
            now,
            number,
            result.attempt,
            result.engine,
            Ending(result.ending),
            result.took,
            bool(result.final),
            float(result.bill >> BILL_SHIFT),
            float((result.bill & BILL_MASK) * BILL_UNIT),
            result.report,
        )
        if result.final:
            self.over.add(number)
        self.forget(number)

    def withdrawn(self, now: float, number: int) -> None:
        """The client has left."""
        self.rules.request_withdrawn(now, number)
        self.closed(number)

    def noted(self, now: float, number: int, notice: Notice) -> None:
        """An engine has said something of an attempt under way."""
        attempt, engine, word, level = notice
        self.rules.progress_reported(now, number, attempt, engine, ProgressKind(word), level)

    def closed(self, number: int) -> None:
        """The request is over."""
        self.over.add(number)
        self.forget(number)

    def forget(self, number: int) -> None:
        """An id is dropped once the request is over and none of its attempts is out."""
        if number in self.over and self.attempts_out[number] <= 0:
            del self.numbers[self.names.pop(number)], self.attempts_out[number]
            self.over.discard(number)

    # What the rules ask for.

    def send(self, number: int, engine: int, time_limit: float) -> None:
        """Send a request to an engine; the limit is in ms, 0 for none."""
        self.attempts_out[number] += 1
        address = self.addresses[engine]
        self.records.append(struct.pack("<BHQ6sd", 0, self.who, self.names[number], address, time_limit))

    def terms(self, number: int, memory: float, priority: int) -> None:
        """Memory and priority with which the request is sent next."""
        self.records.append(struct.pack("<BHQfB", 12, self.who, self.names[number], memory, priority))

    def shed(self, number: int, retry_after: float, reason: EndReason) -> None:
        """Refuse a request; it may come back after so many ms."""
        self.records.append(struct.pack("<BHQd", 1, self.who, self.names[number], retry_after))
        self.closed(number)

    def fail_request(self, number: int, reason: EndReason) -> None:
        """End a request that may have run."""
        self.records.append(struct.pack("<BHQ", 2, self.who, self.names[number]))
        self.closed(number)

    def cancel_attempt(self, number: int, attempt: int) -> None:
        """Ask for the end of an attempt."""
        self.records.append(struct.pack("<BHQB", 3, self.who, self.names[number], attempt))

    def set_timer(self, delay: float, token: int) -> None:
        """Ask to be woken after so many ms; LONGEST_SLEEP at most."""
        self.records.append(struct.pack("<BHdI", 4, self.who, min(delay, LONGEST_SLEEP), token))

    def watch(self) -> None:
        """Ask for notices of attempts under way."""
        self.records.append(struct.pack("<BHB", 10, self.who, 1))

    def log(self, line: str) -> None:
        """A line of the rules."""
        self.records.append(self.text(8, line))

    def text(self, code: int, line: str) -> bytes:
        """A record that holds a line, cut to LONGEST_TEXT bytes."""
        words = line.encode()[:LONGEST_TEXT]
        return struct.pack("<BHH", code, self.who, len(words)) + words


class Host:
    """Reads batches, hands each event to its instance, and writes one reply a batch."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}
        self.lists: dict[int, list[tuple[Any, ...]]] = {}
        self.touched: dict[int, Instance] = {}
        self.replies: list[bytes] = []
        self.readers: dict[int, Callable[[float, Reader], None]] = {
            0: self.provision,
            1: self.membership,
            2: self.inbound,
            3: self.head,
            4: self.settled,
            5: self.aborted,
            6: self.wakeup,
            7: self.checked,
            8: self.peer,
            9: self.retire,
            10: self.update,
            11: self.page,
        }

    def serve(self, source: BinaryIO, sink: BinaryIO) -> None:
        """Answer batches until input ends.

        Raises:
            BadInputError: A frame or record cannot be used; the text says which.
        """
        batch = 0
        while (frame := read_frame(source)) is not None:
            batch += 1
            now, count, reader = frame
            self.touched, self.replies = {}, []
            for place in range(count):
                try:
                    (code,) = reader.take(CODE)
                    if code not in self.readers:
                        raise BadInputError(f"code {code} is not known")
                    self.readers[code](now, reader)
                except BadInputError as fault:
                    raise BadInputError(f"batch {batch}, record {place + 1}: {fault}") from None
            if reader.at < len(reader.body):
                left = len(reader.body) - reader.at
                raise BadInputError(f"batch {batch}: {left} bytes left after the last record")
            for instance in self.touched.values():
                self.guarded(instance, instance.turn, now)
                self.replies += instance.records
                instance.records = []
            write_frame(sink, self.replies)

    def guarded(self, instance: Instance, call: Callable[..., None], *arguments: object) -> None:
        """A fault of the rules is reported for its instance, which then decides nothing more."""
        if instance.broken:
            return
        try:
            call(*arguments)
        except BadInputError:
            raise
        except Exception as fault:
            instance.broken = True
            instance.records.append(instance.text(9, f"{type(fault).__name__}: {fault}"))

    def instance(self, who: int) -> Instance:
        """The instance of that number, which is given a turn at the batch's end.

        Raises:
            BadInputError: There is none.
        """
        if who not in self.instances:
            raise BadInputError(f"instance {who} is not known")
        return self.touched.setdefault(who, self.instances[who])

    def provision(self, now: float, reader: Reader) -> None:
        """A new instance, also in place of one of that number."""
        who, seed, size = reader.take(PROVISION)
        self.retired(who)
        instance = self.instances[who] = self.touched[who] = Instance(who, reader.take_bytes(size))
        self.guarded(instance, instance.start, now, seed)

    def retire(self, now: float, reader: Reader) -> None:
        """An instance ends."""
        (who,) = reader.take(RETIRE)
        self.instance(who)
        self.retired(who)
        del self.instances[who]

    def retired(self, who: int) -> None:
        """What a dispatcher said before it was killed in this batch is dropped with it."""
        self.touched.pop(who, None)

    def page(self, now: float, reader: Reader) -> None:
        """A list that `membership` refers to by its number."""
        number, count = reader.take(PAGE)
        if number >= MOST_LISTS:
            raise BadInputError(f"list number {number} is out of range")
        entries = [reader.take(ENTRY) for _ in range(count)]
        for entry in entries:
            if entry[4] > max(Life):
                raise BadInputError(f"node state {entry[4]} is out of range")
        self.lists[number] = entries

    def membership(self, now: float, reader: Reader) -> None:
        """An instance is given a list, or told that it failed."""
        who, scope, _, number = reader.take(MEMBERSHIP)
        instance = self.instance(who)
        if scope > FAILED:
            raise BadInputError(f"list scope {scope} is out of range")
        if scope != FAILED and number not in self.lists:
            raise BadInputError(f"list {number} was never sent")
        self.guarded(instance, instance.listed, now, scope, [] if scope == FAILED else self.lists[number])

    def inbound(self, now: float, reader: Reader) -> None:
        """A request for an instance."""
        who, tid, *fields = reader.take(INBOUND)
        instance = self.instance(who)
        if fields[0] >= len(instance.site.workloads):
            raise BadInputError(f"class {fields[0]} is out of range")
        self.guarded(instance, instance.submitted, now, tid, tuple(fields))

    def head(self, now: float, reader: Reader) -> None:
        """The first byte of an answer: it is read and not used."""
        who, _, _, address, _ = reader.take(HEAD)
        instance = self.instance(who)
        instance.engine(address)

    def settled(self, now: float, reader: Reader) -> None:
        """An attempt has ended."""
        who, tid, attempt, address, ending, took, final, bill, count = reader.take(SETTLED)
        report = reader.take(struct.Struct(f"<{count}f"))
        instance = self.instance(who)
        engine = instance.engine(address)
        if ending > max(Ending):
            raise BadInputError(f"ending {ending} is out of range")
        result = AttemptResult(attempt, engine, ending, took, final, bill, report)
        self.guarded(instance, instance.settled, now, tid, result)

    def aborted(self, now: float, reader: Reader) -> None:
        """A client has left."""
        who, tid = reader.take(ABORTED)
        instance = self.instance(who)
        if tid in instance.numbers:
            self.guarded(instance, instance.withdrawn, now, instance.numbers[tid])

    def wakeup(self, now: float, reader: Reader) -> None:
        """A timer of an instance is due."""
        who, token = reader.take(WAKEUP)
        instance = self.instance(who)
        self.guarded(instance, instance.woken, now, token)

    def checked(self, now: float, reader: Reader) -> None:
        """The result of a check of an engine: it is read and not used."""
        who, address, ending, _, count = reader.take(CHECKED)
        reader.take(struct.Struct(f"<{count}f"))
        instance = self.instance(who)
        if ending > max(Ending):
            raise BadInputError(f"ending {ending} is out of range")
        instance.engine(address)

    def peer(self, now: float, reader: Reader) -> None:
        """A message of another dispatcher: it is read and not used."""
        who, _, size = reader.take(PEER)
        reader.take_bytes(size)
        self.instance(who)

    def update(self, now: float, reader: Reader) -> None:
        """What an engine says of an attempt under way; unknown words are passed over."""
        who, tid, word, address, attempt, level = reader.take(UPDATE)
        instance = self.instance(who)
        engine = instance.engine(address)
        if tid in instance.numbers and 1 <= word <= max(ProgressKind):
            notice = Notice(attempt, engine, word, level)
            self.guarded(instance, instance.noted, now, instance.numbers[tid], notice)
