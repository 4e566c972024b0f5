"""Hosts the bench's dispatchers in one process. Each has its own rules and indices and shares nothing."""

import json
import struct
from collections.abc import Callable
from typing import Any, BinaryIO

from ..deployment import parse_deployment
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
    ProgressReport,
)

DELTA, FULL, CACHED, FAILED = range(4)  # scope of a list
MOST_LISTS = 16  # numbers of PAGE records are below this
ESTIMATED = 1  # bit of INBOUND: its cost is an estimate; else it has none
BILL_SHIFT, BILL_MASK, BILL_UNIT = 12, 4095, 4  # of SETTLED's bill: bits, mask, and MB per unit of memory
LONGEST_TEXT = 400  # bytes of a line of text in a reply
LONGEST_SLEEP = 71 * 60_000.0  # ms of a timer


class Instance:
    """One dispatcher of the bench: its rules, its indices, and its records of the next reply.

    It is the rules' Adapter. Times are ms of the bench's clock.
    """

    rules: Dispatcher

    def __init__(self, who: int, options: bytes) -> None:
        self.who = who
        self.failed = False
        try:
            self.site = parse_deployment(json.loads(options))
        except ValueError as fault:
            raise BadInputError(f"settings of instance {who}: {fault}") from None
        self.records: list[bytes] = []
        self.numbers: dict[int, int] = {}
        self.tids: dict[int, int] = {}
        self.attempts_out: dict[int, int] = {}
        self.finished: set[int] = set()
        self.next_number = 0
        self.engines: dict[bytes, int] = {}
        self.addresses: list[bytes] = []

    def start(self, now: float, seed: int) -> None:
        """Create the rules. Their random numbers depend on the seed alone."""
        self.rules = Dispatcher(self.site, seed, self, now)

    def end_batch(self, now: float) -> None:
        """All events of a batch have been reported."""
        self.rules.end_batch(now)

    def timer_fired(self, now: float, token: int) -> None:
        """A timer of the rules is due."""
        self.rules.timer_fired(now, token)

    def engine(self, address: bytes) -> int:
        """Our index of the engine at that address.

        Raises:
            BadInputError: No list had that address.
        """
        try:
            return self.engines[address]
        except KeyError:
            raise BadInputError(f"instance {self.who}: node {address.hex()} was in no list") from None

    def list_changed(self, now: float, scope: int, entries: list[tuple[Any, ...]]) -> None:
        """A list of engines has come, or could not be read.

        Args:
            now: The time.
            scope: DELTA, FULL, CACHED or FAILED.
            entries: Fields of ENTRY records.
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

    def request_received(self, now: float, tid: int, fields: tuple[Any, ...]) -> None:
        """A request has come.

        Args:
            now: The time.
            tid: The bench's number of it.
            fields: Of INBOUND, without the first two.

        Raises:
            BadInputError: A request with that number is open.
        """
        kind, tenant, key, deadline, cost, memory, group, bits = fields
        if tid in self.numbers:
            raise BadInputError(f"instance {self.who}: request {tid} came twice")
        number = self.next_number
        self.next_number += 1
        self.numbers[tid], self.tids[number], self.attempts_out[number] = number, tid, 0
        cost = cost if bits & ESTIMATED else 0.0
        self.rules.request_received(now, number, kind, tenant, key, deadline, cost, memory, int(group))

    def attempt_ended(self, now: float, tid: int, result: AttemptResult) -> None:
        """An attempt has ended. Attempts of unknown requests, which are over, are ignored."""
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
            self.finished.add(number)
        self.forget(number)

    def request_withdrawn(self, now: float, number: int) -> None:
        """The client has withdrawn its request."""
        self.rules.request_withdrawn(now, number)
        self.closed(number)

    def progress_reported(self, now: float, number: int, report: ProgressReport) -> None:
        """An engine has reported on a running attempt."""
        attempt, engine, kind, level = report
        self.rules.progress_reported(now, number, attempt, engine, ProgressKind(kind), level)

    def closed(self, number: int) -> None:
        """The request is answered or withdrawn."""
        self.finished.add(number)
        self.forget(number)

    def forget(self, number: int) -> None:
        """Free a request's number once it is over and none of its attempts is running."""
        if number in self.finished and self.attempts_out[number] <= 0:
            del self.numbers[self.tids.pop(number)], self.attempts_out[number]
            self.finished.discard(number)

    # What the rules ask for.

    def send(self, number: int, engine: int, time_limit: float) -> None:
        """Send a request to an engine. time_limit: ms, 0: none."""
        self.attempts_out[number] += 1
        address = self.addresses[engine]
        self.records.append(struct.pack("<BHQ6sd", 0, self.who, self.tids[number], address, time_limit))

    def set_terms(self, number: int, memory: float, priority: int) -> None:
        """Set memory in MB and priority for the request's next attempts."""
        self.records.append(struct.pack("<BHQfB", 12, self.who, self.tids[number], memory, priority))

    def shed(self, number: int, retry_after: float, reason: EndReason) -> None:
        """Refuse a request. The client may retry after that many ms."""
        self.records.append(struct.pack("<BHQd", 1, self.who, self.tids[number], retry_after))
        self.closed(number)

    def fail_request(self, number: int, reason: EndReason) -> None:
        """Answer a request as failed: it may have run."""
        self.records.append(struct.pack("<BHQ", 2, self.who, self.tids[number]))
        self.closed(number)

    def cancel_attempt(self, number: int, attempt: int) -> None:
        """Cancel a running attempt."""
        self.records.append(struct.pack("<BHQB", 3, self.who, self.tids[number], attempt))

    def set_timer(self, delay: float, token: int) -> None:
        """Set a timer, for LONGEST_SLEEP ms at most."""
        self.records.append(struct.pack("<BHdI", 4, self.who, min(delay, LONGEST_SLEEP), token))

    def request_list(self) -> None:
        """Ask for the list of engines and its changes."""
        self.records.append(struct.pack("<BHB", 10, self.who, 1))

    def log(self, line: str) -> None:
        """Add a line of the rules' log to the reply."""
        self.records.append(self.text(8, line))

    def text(self, code: int, line: str) -> bytes:
        """A record with a line of text, cut to LONGEST_TEXT bytes."""
        encoded = line.encode()[:LONGEST_TEXT]
        return struct.pack("<BHH", code, self.who, len(encoded)) + encoded


class Host:
    """Reads batches, passes each event to its instance, and writes one reply per batch."""

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
            BadInputError: A frame or record is invalid; the message names batch and record.
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
                self.guarded(instance, instance.end_batch, now)
                self.replies += instance.records
                instance.records = []
            write_frame(sink, self.replies)

    def guarded(self, instance: Instance, call: Callable[..., None], *arguments: object) -> None:
        """Make a call. An exception is reported in the reply, and the instance gets no more calls.

        Raises:
            BadInputError: Raised by the call.
        """
        if instance.failed:
            return
        try:
            call(*arguments)
        except BadInputError:
            raise
        except Exception as fault:
            instance.failed = True
            instance.records.append(instance.text(9, f"{type(fault).__name__}: {fault}"))

    def instance(self, who: int) -> Instance:
        """The instance with that number; it decides and replies at the batch's end.

        Raises:
            BadInputError: There is none.
        """
        if who not in self.instances:
            raise BadInputError(f"instance {who} is not known")
        return self.touched.setdefault(who, self.instances[who])

    def provision(self, now: float, reader: Reader) -> None:
        """Create an instance. It replaces one with the same number."""
        who, seed, size = reader.take(PROVISION)
        self.retired(who)
        instance = self.instances[who] = self.touched[who] = Instance(who, reader.take_bytes(size))
        self.guarded(instance, instance.start, now, seed)

    def retire(self, now: float, reader: Reader) -> None:
        """Remove an instance."""
        (who,) = reader.take(RETIRE)
        self.instance(who)
        self.retired(who)
        del self.instances[who]

    def retired(self, who: int) -> None:
        """Drop the reply records of an instance that is killed in this batch."""
        self.touched.pop(who, None)

    def page(self, now: float, reader: Reader) -> None:
        """Store a list; `membership` refers to it by its number."""
        number, count = reader.take(PAGE)
        if number >= MOST_LISTS:
            raise BadInputError(f"list number {number} is out of range")
        entries = [reader.take(ENTRY) for _ in range(count)]
        for entry in entries:
            if entry[4] > max(Life):
                raise BadInputError(f"node state {entry[4]} is out of range")
        self.lists[number] = entries

    def membership(self, now: float, reader: Reader) -> None:
        """Pass a list, or its failure, to an instance."""
        who, scope, _, number = reader.take(MEMBERSHIP)
        instance = self.instance(who)
        if scope > FAILED:
            raise BadInputError(f"list scope {scope} is out of range")
        if scope != FAILED and number not in self.lists:
            raise BadInputError(f"list {number} was never sent")
        self.guarded(
            instance, instance.list_changed, now, scope, [] if scope == FAILED else self.lists[number]
        )

    def inbound(self, now: float, reader: Reader) -> None:
        """Pass a request to an instance."""
        who, tid, *fields = reader.take(INBOUND)
        instance = self.instance(who)
        if fields[0] >= len(instance.site.workloads):
            raise BadInputError(f"class {fields[0]} is out of range")
        self.guarded(instance, instance.request_received, now, tid, tuple(fields))

    def head(self, now: float, reader: Reader) -> None:
        """The first byte of an answer has come: checked, not used."""
        who, _, _, address, _ = reader.take(HEAD)
        instance = self.instance(who)
        instance.engine(address)

    def settled(self, now: float, reader: Reader) -> None:
        """Pass the end of an attempt to its instance."""
        who, tid, attempt, address, ending, took, final, bill, count = reader.take(SETTLED)
        report = reader.take(struct.Struct(f"<{count}f"))
        instance = self.instance(who)
        engine = instance.engine(address)
        if ending > max(Ending):
            raise BadInputError(f"ending {ending} is out of range")
        result = AttemptResult(attempt, engine, ending, took, final, bill, report)
        self.guarded(instance, instance.attempt_ended, now, tid, result)

    def aborted(self, now: float, reader: Reader) -> None:
        """A client has withdrawn its request. Unknown numbers are ignored."""
        who, tid = reader.take(ABORTED)
        instance = self.instance(who)
        if tid in instance.numbers:
            self.guarded(instance, instance.request_withdrawn, now, instance.numbers[tid])

    def wakeup(self, now: float, reader: Reader) -> None:
        """A timer of an instance is due."""
        who, token = reader.take(WAKEUP)
        instance = self.instance(who)
        self.guarded(instance, instance.timer_fired, now, token)

    def checked(self, now: float, reader: Reader) -> None:
        """The result of an engine's health check: checked, not used."""
        who, address, ending, _, count = reader.take(CHECKED)
        reader.take(struct.Struct(f"<{count}f"))
        instance = self.instance(who)
        if ending > max(Ending):
            raise BadInputError(f"ending {ending} is out of range")
        instance.engine(address)

    def peer(self, now: float, reader: Reader) -> None:
        """A message of another dispatcher: checked, not used."""
        who, _, size = reader.take(PEER)
        reader.take_bytes(size)
        self.instance(who)

    def update(self, now: float, reader: Reader) -> None:
        """Pass a progress report to its instance. Unknown requests and kinds are ignored."""
        who, tid, kind, address, attempt, level = reader.take(UPDATE)
        instance = self.instance(who)
        engine = instance.engine(address)
        if tid in instance.numbers and 1 <= kind <= max(ProgressKind):
            report = ProgressReport(attempt, engine, kind, level)
            self.guarded(instance, instance.progress_reported, now, instance.numbers[tid], report)
