"""Hosts the instances of one process: each has rules and indices of its own and shares nothing."""

import json
import struct
from collections.abc import Callable
from typing import Any, BinaryIO

from ..deployment import deployment
from ..interface import Ending, Life, Listed, Word
from ..rules import Dispatcher
from .frames import BadInput, Reader, read_frame, write_frame

CODE = struct.Struct("<B")
PROVISION = struct.Struct("<HQI")
MEMBERSHIP = struct.Struct("<HBQH")
INBOUND = struct.Struct("<HQHIQddffH")
HEAD = struct.Struct("<HQB6sd")
SETTLED = struct.Struct("<HQB6sHdBIB")
ABORTED = struct.Struct("<HQ")
WAKEUP = struct.Struct("<HI")
CHECKED = struct.Struct("<H6sHdB")
PEER = struct.Struct("<HIH")
RETIRE = struct.Struct("<H")
UPDATE = struct.Struct("<HQB6sBf")
PAGE = struct.Struct("<HI")
ENTRY = struct.Struct("<6sBHHBfd")
DELTA, FULL, CACHED, FAILED = range(4)
MOST_LISTS = 16
ESTIMATED = 1
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
            raise BadInput(f"settings of instance {who}: {fault}") from None
        self.records: list[bytes] = []
        self.numbers: dict[int, int] = {}
        self.names: dict[int, int] = {}
        self.trips_out: dict[int, int] = {}
        self.over: set[int] = set()
        self.taken = 0
        self.engines: dict[bytes, int] = {}
        self.addresses: list[bytes] = []

    def start(self, now: float, seed: int) -> None:
        self.rules = Dispatcher(self.site, seed, self, now)

    def turn(self, now: float) -> None:
        self.rules.turn(now)

    def woken(self, now: float, token: int) -> None:
        self.rules.woken(now, token)

    def engine(self, address: bytes) -> int:
        try:
            return self.engines[address]
        except KeyError:
            raise BadInput(f"instance {self.who}: node {address.hex()} was in no list") from None

    def listed(self, now: float, scope: int, entries: list[tuple[Any, ...]]) -> None:
        if scope == FAILED:
            self.rules.list_failed(now)
            return
        lines = []
        for address, zone, kind, cell, life, weight, started in entries:
            if address not in self.engines:
                self.engines[address] = len(self.addresses)
                self.addresses.append(address)
            lines.append(Listed(self.engines[address], zone, kind, cell, Life(life), weight, started))
        self.rules.listed(now, lines, scope != DELTA)

    def submitted(self, now: float, tid: int, fields: tuple[Any, ...]) -> None:
        kind, customer, key, expiry, cost, memory, group, bits = fields
        if tid in self.numbers:
            raise BadInput(f"instance {self.who}: submission {tid} came twice")
        number = self.taken
        self.taken += 1
        self.numbers[tid], self.names[number], self.trips_out[number] = number, tid, 0
        cost = cost if bits & ESTIMATED else 0.0
        self.rules.submitted(now, number, kind, customer, key, expiry, cost, memory, int(group))

    def settled(
        self,
        now: float,
        tid: int,
        trip: int,
        engine: int,
        ending: int,
        took: float,
        final: int,
        bill: int,
        report: tuple[float, ...],
    ) -> None:
        number = self.numbers.get(tid)
        if number is None:
            return
        self.trips_out[number] -= 1
        self.rules.ended(
            now,
            number,
            trip,
            engine,
            Ending(ending),
            took,
            bool(final),
            float(bill >> 12),
            float((bill & 4095) * 4),
            report,
        )
        if final:
            self.over.add(number)
        self.forget(number)

    def withdrawn(self, now: float, number: int) -> None:
        self.rules.withdrawn(now, number)
        self.closed(number)

    def noted(self, now: float, number: int, trip: int, engine: int, word: int, level: float) -> None:
        self.rules.noted(now, number, trip, engine, Word(word), level)

    def closed(self, number: int) -> None:
        self.over.add(number)
        self.forget(number)

    def forget(self, number: int) -> None:
        """An id is dropped once the submission is over and none of its trips is out."""
        if number in self.over and self.trips_out[number] <= 0:
            del self.numbers[self.names.pop(number)], self.trips_out[number]
            self.over.discard(number)

    # What the rules ask for.

    def send(self, number: int, engine: int, time_limit: float) -> None:
        self.trips_out[number] += 1
        address = self.addresses[engine]
        self.records.append(struct.pack("<BHQ6sd", 0, self.who, self.names[number], address, time_limit))

    def terms(self, number: int, memory: float, priority: int) -> None:
        self.records.append(struct.pack("<BHQfB", 12, self.who, self.names[number], memory, priority))

    def shed(self, number: int, come_back: float) -> None:
        self.records.append(struct.pack("<BHQd", 1, self.who, self.names[number], come_back))
        self.closed(number)

    def break_off(self, number: int) -> None:
        self.records.append(struct.pack("<BHQ", 2, self.who, self.names[number]))
        self.closed(number)

    def call_off(self, number: int, trip: int) -> None:
        self.records.append(struct.pack("<BHQB", 3, self.who, self.names[number], trip))

    def wake(self, delay: float, token: int) -> None:
        self.records.append(struct.pack("<BHdI", 4, self.who, min(delay, LONGEST_SLEEP), token))

    def watch(self) -> None:
        self.records.append(struct.pack("<BHB", 10, self.who, 1))

    def log(self, line: str) -> None:
        self.records.append(self.text(8, line))

    def text(self, code: int, line: str) -> bytes:
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
        batch = 0
        while (frame := read_frame(source)) is not None:
            batch += 1
            now, count, reader = frame
            self.touched, self.replies = {}, []
            for place in range(count):
                try:
                    (code,) = reader.take(CODE)
                    if code not in self.readers:
                        raise BadInput(f"code {code} is not known")
                    self.readers[code](now, reader)
                except BadInput as fault:
                    raise BadInput(f"batch {batch}, record {place + 1}: {fault}") from None
            if reader.at < len(reader.body):
                left = len(reader.body) - reader.at
                raise BadInput(f"batch {batch}: {left} bytes left after the last record")
            for instance in self.touched.values():
                self.guarded(instance, instance.turn, now)
                self.replies += instance.records
                instance.records = []
            write_frame(sink, self.replies)

    def guarded(self, instance: Instance, call: Callable[..., None], *words: Any) -> None:
        """A fault of the rules is reported for its instance, which then decides nothing more."""
        if instance.broken:
            return
        try:
            call(*words)
        except BadInput:
            raise
        except Exception as fault:
            instance.broken = True
            instance.records.append(instance.text(9, f"{type(fault).__name__}: {fault}"))

    def instance(self, who: int) -> Instance:
        if who not in self.instances:
            raise BadInput(f"instance {who} is not known")
        return self.touched.setdefault(who, self.instances[who])

    def provision(self, now: float, reader: Reader) -> None:
        who, seed, size = reader.take(PROVISION)
        self.retired(who)
        instance = self.instances[who] = self.touched[who] = Instance(who, reader.take_bytes(size))
        self.guarded(instance, instance.start, now, seed)

    def retire(self, now: float, reader: Reader) -> None:
        (who,) = reader.take(RETIRE)
        self.instance(who)
        self.retired(who)
        del self.instances[who]

    def retired(self, who: int) -> None:
        """What a dispatcher said before it was killed in this batch is dropped with it."""
        self.touched.pop(who, None)

    def page(self, now: float, reader: Reader) -> None:
        number, count = reader.take(PAGE)
        if number >= MOST_LISTS:
            raise BadInput(f"list number {number} is out of range")
        entries = [reader.take(ENTRY) for _ in range(count)]
        for entry in entries:
            if entry[4] > max(Life):
                raise BadInput(f"node state {entry[4]} is out of range")
        self.lists[number] = entries

    def membership(self, now: float, reader: Reader) -> None:
        who, scope, _, number = reader.take(MEMBERSHIP)
        instance = self.instance(who)
        if scope > FAILED:
            raise BadInput(f"list scope {scope} is out of range")
        if scope != FAILED and number not in self.lists:
            raise BadInput(f"list {number} was never sent")
        self.guarded(instance, instance.listed, now, scope, [] if scope == FAILED else self.lists[number])

    def inbound(self, now: float, reader: Reader) -> None:
        who, tid, *fields = reader.take(INBOUND)
        instance = self.instance(who)
        if fields[0] >= len(instance.site.workloads):
            raise BadInput(f"class {fields[0]} is out of range")
        self.guarded(instance, instance.submitted, now, tid, tuple(fields))

    def head(self, now: float, reader: Reader) -> None:
        who, _, _, address, _ = reader.take(HEAD)
        instance = self.instance(who)
        instance.engine(address)

    def settled(self, now: float, reader: Reader) -> None:
        who, tid, trip, address, ending, took, final, bill, count = reader.take(SETTLED)
        report = reader.take(struct.Struct(f"<{count}f"))
        instance = self.instance(who)
        engine = instance.engine(address)
        if ending > max(Ending):
            raise BadInput(f"ending {ending} is out of range")
        self.guarded(instance, instance.settled, now, tid, trip, engine, ending, took, final, bill, report)

    def aborted(self, now: float, reader: Reader) -> None:
        who, tid = reader.take(ABORTED)
        instance = self.instance(who)
        if tid in instance.numbers:
            self.guarded(instance, instance.withdrawn, now, instance.numbers[tid])

    def wakeup(self, now: float, reader: Reader) -> None:
        who, token = reader.take(WAKEUP)
        instance = self.instance(who)
        self.guarded(instance, instance.woken, now, token)

    def checked(self, now: float, reader: Reader) -> None:
        who, address, ending, _, count = reader.take(CHECKED)
        reader.take(struct.Struct(f"<{count}f"))
        instance = self.instance(who)
        if ending > max(Ending):
            raise BadInput(f"ending {ending} is out of range")
        instance.engine(address)

    def peer(self, now: float, reader: Reader) -> None:
        who, _, size = reader.take(PEER)
        reader.take_bytes(size)
        self.instance(who)

    def update(self, now: float, reader: Reader) -> None:
        who, tid, word, address, trip, level = reader.take(UPDATE)
        instance = self.instance(who)
        engine = instance.engine(address)
        if tid in instance.numbers and 1 <= word <= max(Word):
            self.guarded(instance, instance.noted, now, instance.numbers[tid], trip, engine, word, level)
