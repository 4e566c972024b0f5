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

DELTA, FULL, CACHED, FAILED = range(4)  # scope of a list; CACHED counts as FULL
MOST_LISTS = 16  # numbers of PAGE records are below this
ESTIMATED = 1  # bit of INBOUND: its cost is an estimate; else it has none
# Of SETTLED's usage: bits that the work is shifted by, mask of the memory, and MB per unit of memory.
WORK_SHIFT, MEMORY_MASK, MEMORY_UNIT = 12, 4095, 4
LONGEST_TEXT = 400  # bytes of a line of text in a reply
LONGEST_SLEEP = 71 * 60_000.0  # ms of a timer


class Instance:
    """One dispatcher of the bench: its rules, its indices, and its records of the next reply.

    It is the rules' Adapter. Times are ms of the bench's clock. Its records in replies begin with their
    code (B) and the number of the instance (H); the methods give the rest.

    Attributes:
        numbers: The rules' number of each open request, by the bench's.
        request_ids: The bench's number, by the rules'.
        running_attempts: How many attempts of a request are running, by the rules' number.
        finished: Requests that are over for the rules, and may still have running attempts.
    """

    rules: Dispatcher

    def __init__(self, instance_number: int, options: bytes) -> None:
        self.instance_number = instance_number
        self.failed = False
        try:
            self.site = parse_deployment(json.loads(options))
        except ValueError as fault:
            raise BadInputError(f"settings of instance {instance_number}: {fault}") from None
        self.records: list[bytes] = []
        self.numbers: dict[int, int] = {}
        self.request_ids: dict[int, int] = {}
        self.running_attempts: dict[int, int] = {}
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
            raise BadInputError(
                f"instance {self.instance_number}: node {address.hex()} was in no list"
            ) from None

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

    def request_received(self, now: float, request_id: int, fields: tuple[Any, ...]) -> None:
        """A request has come.

        Args:
            now: The time.
            request_id: The bench's number of it.
            fields: Of INBOUND, without the first two.

        Raises:
            BadInputError: A request with that number is open.
        """
        kind, tenant, key, deadline, cost, memory, group, flags = fields
        if request_id in self.numbers:
            raise BadInputError(f"instance {self.instance_number}: request {request_id} came twice")
        number = self.next_number
        self.next_number += 1
        self.numbers[request_id], self.request_ids[number], self.running_attempts[number] = (
            number,
            request_id,
            0,
        )
        cost = cost if flags & ESTIMATED else 0.0
        self.rules.request_received(now, number, kind, tenant, key, deadline, cost, memory, int(group))

    def attempt_ended(self, now: float, request_id: int, result: AttemptResult) -> None:
        """An attempt has ended. Attempts of unknown requests, which are over, are ignored."""
        number = self.numbers.get(request_id)
        if number is None:
            return
        self.running_attempts[number] -= 1
        self.rules.attempt_ended(
            now,
            number,
            result.attempt,
            result.engine,
            Ending(result.ending),
            result.took,
            bool(result.final),
            float(result.usage >> WORK_SHIFT),
            float((result.usage & MEMORY_MASK) * MEMORY_UNIT),
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
        if number in self.finished and self.running_attempts[number] <= 0:
            del self.numbers[self.request_ids.pop(number)], self.running_attempts[number]
            self.finished.discard(number)

    # What the rules ask for.

    def send(self, number: int, engine: int, time_limit: float) -> None:
        """Send a request to an engine. time_limit: ms, 0: none.

        Record 0: request, engine's address, time limit.
        """
        self.running_attempts[number] += 1
        address = self.addresses[engine]
        self.records.append(
            struct.pack("<BHQ6sd", 0, self.instance_number, self.request_ids[number], address, time_limit)
        )

    def set_terms(self, number: int, memory: float, priority: int) -> None:
        """Set memory and priority for the request's next attempts.

        Record 12: request, memory in MB, priority.
        """
        self.records.append(
            struct.pack("<BHQfB", 12, self.instance_number, self.request_ids[number], memory, priority)
        )

    def shed(self, number: int, retry_after: float, reason: EndReason) -> None:
        """Refuse a request. Record 1: request, ms after which the client may retry."""
        self.records.append(
            struct.pack("<BHQd", 1, self.instance_number, self.request_ids[number], retry_after)
        )
        self.closed(number)

    def fail_request(self, number: int, reason: EndReason) -> None:
        """Answer a request as failed: it may have run. Record 2: request."""
        self.records.append(struct.pack("<BHQ", 2, self.instance_number, self.request_ids[number]))
        self.closed(number)

    def cancel_attempt(self, number: int, attempt: int) -> None:
        """Cancel a running attempt. Record 3: request, number of the attempt."""
        self.records.append(struct.pack("<BHQB", 3, self.instance_number, self.request_ids[number], attempt))

    def set_timer(self, delay: float, token: int) -> None:
        """Set a timer, for LONGEST_SLEEP ms at most. Record 4: delay in ms, token."""
        self.records.append(struct.pack("<BHdI", 4, self.instance_number, min(delay, LONGEST_SLEEP), token))

    def request_list(self) -> None:
        """Ask for the list of engines and its changes. Record 10: always 1."""
        self.records.append(struct.pack("<BHB", 10, self.instance_number, 1))

    def log(self, line: str) -> None:
        """Add a line of the rules' log to the reply. Record 8: see `text`."""
        self.records.append(self.text(8, line))

    def text(self, code: int, line: str) -> bytes:
        """A record with a line of text, cut to LONGEST_TEXT bytes: its length in bytes, the text in UTF-8."""
        encoded = line.encode()[:LONGEST_TEXT]
        return struct.pack("<BHH", code, self.instance_number, len(encoded)) + encoded


class Host:
    """Reads batches, passes each event to its instance, and writes one reply per batch."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}
        self.lists: dict[int, list[tuple[Any, ...]]] = {}
        self.touched_instances: dict[int, Instance] = {}
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
            self.touched_instances, self.replies = {}, []
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
            for instance in self.touched_instances.values():
                self.call_safely(instance, instance.end_batch, now)
                self.replies += instance.records
                instance.records = []
            write_frame(sink, self.replies)

    def call_safely(self, instance: Instance, call: Callable[..., None], *arguments: object) -> None:
        """Make a call. An exception is reported in the reply by record 9 (see `Instance.text`).

        The instance then gets no more calls.

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

    def instance(self, instance_number: int) -> Instance:
        """The instance with that number; it decides and replies at the batch's end.

        Raises:
            BadInputError: There is none.
        """
        if instance_number not in self.instances:
            raise BadInputError(f"instance {instance_number} is not known")
        return self.touched_instances.setdefault(instance_number, self.instances[instance_number])

    def provision(self, now: float, reader: Reader) -> None:
        """Create an instance. It replaces one with the same number."""
        instance_number, seed, size = reader.take(PROVISION)
        self.drop_replies(instance_number)
        instance = self.instances[instance_number] = self.touched_instances[instance_number] = Instance(
            instance_number, reader.take_bytes(size)
        )
        self.call_safely(instance, instance.start, now, seed)

    def retire(self, now: float, reader: Reader) -> None:
        """Remove an instance."""
        (instance_number,) = reader.take(RETIRE)
        self.instance(instance_number)
        self.drop_replies(instance_number)
        del self.instances[instance_number]

    def drop_replies(self, instance_number: int) -> None:
        """Drop the reply records of an instance that is removed or replaced in this batch."""
        self.touched_instances.pop(instance_number, None)

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
        instance_number, scope, _, number = reader.take(MEMBERSHIP)
        instance = self.instance(instance_number)
        if scope > FAILED:
            raise BadInputError(f"list scope {scope} is out of range")
        if scope != FAILED and number not in self.lists:
            raise BadInputError(f"list {number} was never sent")
        self.call_safely(
            instance, instance.list_changed, now, scope, [] if scope == FAILED else self.lists[number]
        )

    def inbound(self, now: float, reader: Reader) -> None:
        """Pass a request to an instance."""
        instance_number, request_id, *fields = reader.take(INBOUND)
        instance = self.instance(instance_number)
        if fields[0] >= len(instance.site.workloads):
            raise BadInputError(f"class {fields[0]} is out of range")
        self.call_safely(instance, instance.request_received, now, request_id, tuple(fields))

    def head(self, now: float, reader: Reader) -> None:
        """The first byte of an answer has come: checked, not used."""
        instance_number, _, _, address, _ = reader.take(HEAD)
        instance = self.instance(instance_number)
        instance.engine(address)

    def settled(self, now: float, reader: Reader) -> None:
        """Pass the end of an attempt to its instance."""
        instance_number, request_id, attempt, address, ending, took, final, usage, count = reader.take(
            SETTLED
        )
        report = reader.take(struct.Struct(f"<{count}f"))
        instance = self.instance(instance_number)
        engine = instance.engine(address)
        if ending > max(Ending):
            raise BadInputError(f"ending {ending} is out of range")
        result = AttemptResult(attempt, engine, ending, took, final, usage, report)
        self.call_safely(instance, instance.attempt_ended, now, request_id, result)

    def aborted(self, now: float, reader: Reader) -> None:
        """A client has withdrawn its request. Unknown numbers are ignored."""
        instance_number, request_id = reader.take(ABORTED)
        instance = self.instance(instance_number)
        if request_id in instance.numbers:
            self.call_safely(instance, instance.request_withdrawn, now, instance.numbers[request_id])

    def wakeup(self, now: float, reader: Reader) -> None:
        """A timer of an instance is due."""
        instance_number, token = reader.take(WAKEUP)
        instance = self.instance(instance_number)
        self.call_safely(instance, instance.timer_fired, now, token)

    def checked(self, now: float, reader: Reader) -> None:
        """The result of an engine's health check: checked, not used."""
        instance_number, address, ending, _, count = reader.take(CHECKED)
        reader.take(struct.Struct(f"<{count}f"))
        instance = self.instance(instance_number)
        if ending > max(Ending):
            raise BadInputError(f"ending {ending} is out of range")
        instance.engine(address)

    def peer(self, now: float, reader: Reader) -> None:
        """A message of another dispatcher: checked, not used."""
        instance_number, _, size = reader.take(PEER)
        reader.take_bytes(size)
        self.instance(instance_number)

    def update(self, now: float, reader: Reader) -> None:
        """Pass a progress report to its instance. Unknown requests and kinds are ignored."""
        instance_number, request_id, kind, address, attempt, level = reader.take(UPDATE)
        instance = self.instance(instance_number)
        engine = instance.engine(address)
        if request_id in instance.numbers and 1 <= kind <= max(ProgressKind):
            report = ProgressReport(attempt, engine, kind, level)
            self.call_safely(instance, instance.progress_reported, now, instance.numbers[request_id], report)
