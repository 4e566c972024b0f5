"""The way to the engines: connections, trips and the pages of their results."""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence
from math import isfinite
from typing import Any, NamedTuple

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure

from ..interface import Ending, Life
from .counters import Counters
from .names import Seat
from .resp import ArrayParser, BadAnswer, command

ENDINGS = {b"503": Ending.FULL, b"500": Ending.ERROR, b"504": Ending.MOOT}
MOST_PAGES, LARGEST_RESULT, COLUMNS = 256, 96_000, 3
MOST_PAST = 16  # trips remembered on a connection: more than can cross
STALL = 2.0  # times the time to connect: an answer that stopped short for so long is never finished
IDLE_PART = 0.5  # of the time after which engines close: ours closes first, or a trip would cross their close


class Outcome(NamedTuple):
    ending: Ending
    pages: tuple[bytes, ...] = ()
    report: tuple[float, ...] = ()


class Trip:
    """One trip from its sending to its outcome, which its Deferred brings exactly once."""

    __slots__ = ("connection", "done", "ident", "pages", "parts", "report", "sent", "size", "words")

    def __init__(self, ident: bytes, words: tuple[bytes, bytes]) -> None:
        self.ident, self.words = ident, words
        self.done: Deferred[Outcome] = Deferred()
        self.connection: Connection | None = None
        self.parts, self.size, self.sent, self.pages = 0, 0, 0.0, dict[int, bytes]()
        self.report: tuple[float, ...] = ()


def read_fields(text: memoryview) -> dict[str, str]:
    words = bytes(text).decode("utf-8")
    if words == "-":
        return {}
    pairs = [pair.partition("=") for pair in words.split(",")]
    if not all(mark for _, mark, _ in pairs):
        raise BadAnswer("fields cannot be read")
    return {name: value for name, _, value in pairs}


class Connection(Protocol):
    """One connection to an engine: trips go out on it, answers come back in any order."""

    transport: Any

    def __init__(self, engine: Engine) -> None:
        self.engine, self.engines, self.parser = engine, engine.engines, ArrayParser()
        self.trips: dict[bytes | memoryview, Trip] = {}
        self.past: dict[bytes, bool] = {}  # ids that were out here, and whether they were given up
        self.up = self.closing = False
        self.opened = self.used = self.heard = self.engines.clock()

    # Twisted's calls.

    def connectionMade(self) -> None:
        self.up, self.opened = True, self.engines.clock()
        self.used = self.opened
        self.transport.setTcpNoDelay(True)
        self.engines.counters.add("engine_connections")
        for trip in list(self.trips.values()):
            self.write_trip(trip)
        self.close_if_done()

    def dataReceived(self, data: bytes) -> None:
        self.heard = self.engine.heard = self.engines.clock()
        self.parser.feed(data)
        try:
            while (parts := self.parser.take()) is not None:
                self.answered(parts)
        except (BadAnswer, ValueError) as fault:
            self.cut(str(fault))

    def cut(self, why: str) -> None:
        """Spoilt: what is out here has run or runs, and nothing more can be read of it."""
        self.engines.counters.add("engine_bad_answers")
        self.engine.say("bad_answer", why=why, trips=len(self.trips))
        self.transport.abortConnection()
        self.lost()

    def stalled(self) -> bool:
        """An answer has begun and does not go on: the rest is lost, or its length was wrong."""
        return self.parser.left() > 0 and \
            self.engines.clock() - self.heard > STALL * self.engines.connect_within

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.lost()
        self.transport = None

    # What is written.

    def write(self, *parts: bytes | memoryview) -> None:
        if self.up:
            self.used = self.engines.clock()
            self.transport.write(command(*parts))

    def carry(self, trip: Trip) -> None:
        self.trips[trip.ident], trip.connection = trip, self
        if self.up:
            self.write_trip(trip)

    def write_trip(self, trip: Trip) -> None:
        self.engines.counters.add("trips_written")
        trip.sent = self.engines.clock()
        self.write(b"serve", trip.ident, *trip.words)

    def give_up(self, trip: Trip, ending: Ending) -> None:
        """Nothing more is wanted of it: it is cancelled while it may run, and its pages let go after that."""
        self.write(b"release" if trip.parts else b"cancel", trip.ident)
        quiet = self.engines.clock() - trip.sent > self.engines.connect_within
        if self.up and quiet and self.heard <= trip.sent and not self.closing:
            # A machine cut off leaves its connections open, and nobody knows if what goes out on one runs. A
            # new connection that never comes up proves that nothing ran. Also: a hang, packets lost for long.
            self.engines.counters.add("silent_connections")
            if self.engine.heard <= trip.sent:
                self.engine.say("silent_engine", trips=len(self.trips))
            self.closing = True
        self.finish(trip, Outcome(ending if self.up else Ending.MOOT), given_up=True)  # not up: never sent

    def finish(self, trip: Trip, outcome: Outcome, given_up: bool = False) -> None:
        if not self.engines.counters.must(self.trips.pop(trip.ident, None) is trip, "trip_ends_once"):
            return
        self.past[trip.ident] = given_up  # an answer may cross or come twice: the same id comes here no more
        if len(self.past) > MOST_PAST:
            del self.past[next(iter(self.past))]
        trip.connection = None
        self.close_if_done()
        trip.done.callback(outcome)

    def retire(self) -> None:
        """No further trips: it ends with those that are out."""
        self.closing = True
        self.close_if_done()

    def close_if_done(self) -> None:
        if self.closing and not self.trips and self.up:
            self.transport.loseConnection()

    def lost(self, ending: Ending = Ending.RESET) -> None:
        self.up, self.closing = False, True
        if self in self.engine.connections:
            self.engine.connections.remove(self)
            self.engines.connections -= 1
            self.engines.forget(self.engine)
        for trip in list(self.trips.values()):
            self.finish(trip, Outcome(ending))

    # What is read.

    def answered(self, parts: list[memoryview]) -> None:
        if len(parts) != 4:
            raise BadAnswer(f"{len(parts)} parts where 4 were expected")
        ident, word, fields = parts[0], bytes(parts[1]), read_fields(parts[2])
        if word not in (b"200", b"chunk", *ENDINGS):
            raise BadAnswer("an answer with an unknown word")
        pages = int(fields.get("parts", "1")) if word == b"200" else 1
        if not 1 <= pages <= MOST_PAGES:
            raise BadAnswer("a result has no usable number of pages")
        trip = self.trips.get(ident)
        if trip is None or (word == b"200" and trip.parts):
            # It answers what was given up meanwhile, whose further pages are let go; or says 200 twice, or
            # more than was asked: good but too much.
            self.engines.counters.add("answers_crossed")
            if trip is None and pages > 1 and self.past.get(bytes(ident)):
                self.write(b"release", ident)
        elif word == b"200":
            trip.parts, trip.report = pages, self.engines.report(fields.get("stats", ""))
            for page in range(1, pages):
                self.write(b"read", ident, b"%d" % page)
            self.page(trip, 0, parts[3])
        elif word == b"chunk":
            number = int(fields.get("part_no", "-1"))
            if not 0 < number < trip.parts:
                raise BadAnswer("a page that was not asked for")
            if number in trip.pages:  # a second copy: good but too much
                self.engines.counters.add("answers_crossed")
            else:
                self.page(trip, number, parts[3])
        else:
            # Once it was delivered, whatever else is said of it only tells that its pages are lost.
            ending = Ending.ERROR if trip.parts else ENDINGS[word]
            if trip.parts:
                self.engines.counters.add("pages_lost")
                self.write(b"release", ident)
            self.finish(trip, Outcome(ending, (), self.engines.report(fields.get("stats", ""))))

    def page(self, trip: Trip, number: int, text: memoryview) -> None:
        trip.size += len(text)
        if trip.size > LARGEST_RESULT:
            raise BadAnswer("a result is too large")
        page = bytes(text)  # it outlives the buffer: the others are still to come
        if page and (not page.endswith(b"\n") or any(row.count(b"\t") != COLUMNS - 1
                                                     for row in page[:-1].split(b"\n"))):
            raise BadAnswer("a page does not hold whole rows")
        page.decode("utf-8")
        trip.pages[number] = page
        if len(trip.pages) == trip.parts:
            if trip.parts > 1:
                self.write(b"release", trip.ident)
            pages = tuple(trip.pages[place] for place in range(trip.parts))
            self.finish(trip, Outcome(Ending.DELIVERED, pages, trip.report))


class Dial(ClientFactory):
    noisy = False

    def __init__(self, connection: Connection) -> None:
        self.connection = connection

    def buildProtocol(self, addr: Any) -> Connection:
        return self.connection

    def clientConnectionLost(self, connector: Any, reason: Failure) -> None:
        """Twisted's connector and transport hold each other; parted, they need no collector."""
        connector.transport = None

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        """Refused or never up: either way not a byte of a trip has left."""
        refused = isinstance(reason.value, ConnectionRefusedError)
        self.connection.engines.counters.add("dials_refused" if refused else "dials_not_up")
        self.connection.lost(Ending.UNREACHED)


class Engine:
    """One engine's seat and the connections to it."""

    def __init__(self, engines: Engines, number: int, seat: Seat) -> None:
        self.engines, self.number, self.seat = engines, number, seat
        self.connections: list[Connection] = []
        self.heard = 0.0

    def say(self, event: str, **figures: object) -> None:
        self.engines.log.warning(event, extra={"figures": {"engine": self.seat.ident} | figures})

    def reseat(self, seat: Seat) -> None:
        before, self.seat = self.seat, seat
        for connection in list(self.connections):
            if seat.started != before.started and connection.up and connection.opened < seat.started:
                connection.transport.abortConnection()  # the process that it led to is no more
                connection.lost()
            elif seat.life == Life.GONE or seat[1:3] != before[1:3]:
                connection.retire()
            if seat.life != Life.READY and not connection.up:
                # Dialled for, not yet sent: what would be sent now comes too late for a drain.
                connection.lost(Ending.MOOT)

    def connection_for(self, trip: Trip) -> Connection | None:
        """The one with fewest trips, or a new one while it has any: what spoils one takes its trips along."""
        open_here = [connection for connection in self.connections if not connection.closing
                     and trip.ident not in connection.trips and trip.ident not in connection.past]
        emptiest = min(open_here, key=lambda connection: len(connection.trips), default=None)
        engines = self.engines
        full = engines.connections >= engines.most_connections
        if emptiest is not None and len(emptiest.trips) < engines.trips_a_connection \
                and (not emptiest.trips or full or len(self.connections) >= engines.share()):
            return emptiest
        if full:
            return None
        connection = Connection(self)
        self.connections.append(connection)
        engines.connections += 1
        engines.dial(self.seat.host, self.seat.port, Dial(connection))
        return connection

    def sweep(self, idle_since: float) -> None:
        for connection in list(self.connections):
            if connection.stalled():
                connection.cut("an answer stopped short")
            elif connection.up and not connection.trips and connection.used < idle_since:
                connection.retire()


class Engines:
    """All engines by index. A trip is sent, and its Deferred tells how it ended."""

    def __init__(self, reactor: Any, clock: Callable[[], float], report_fields: Sequence[str],
                 counters: Counters, log: logging.Logger) -> None:
        self.reactor, self.clock, self.counters, self.log = reactor, clock, counters, log
        self.report_fields, self.connections = tuple(report_fields), 0
        self.engines: dict[int, Engine] = {}

    def bound(self, connect_within: float, idle_after: float, trips_a_connection: int,
              most_connections: int) -> None:
        self.connect_within, self.idle_after = connect_within, idle_after
        self.trips_a_connection, self.most_connections = max(1, trips_a_connection), most_connections

    def dial(self, host: str, port: int, factory: Dial) -> None:
        self.reactor.connectTCP(host, port, factory, timeout=self.connect_within / 1000)

    def report(self, text: str) -> tuple[float, ...]:
        """The figures that the settings name, in their order; none if one is missing."""
        told = dict(pair.partition(":")[::2] for pair in text.split(";"))
        if not all(name in told for name in self.report_fields):
            return ()
        figures = tuple(float(told[name]) for name in self.report_fields)
        if not all(isfinite(figure) for figure in figures):
            raise BadAnswer("a report holds no number")
        return figures

    def listed(self, engine: int, seat: Seat) -> None:
        if (known := self.engines.get(engine)) is not None:
            known.reseat(seat)
            self.forget(known)
        elif seat.life != Life.GONE:
            self.engines[engine] = Engine(self, engine, seat)

    def forget(self, engine: Engine) -> None:
        """Nothing is kept of an engine that is gone once its last connection has ended."""
        if engine.seat.life == Life.GONE and not engine.connections:
            self.engines.pop(engine.number, None)

    def share(self) -> int:
        """How many connections one engine may have, so that there are some for each."""
        return max(1, self.most_connections // max(1, len(self.engines)))

    def ready(self, engine: int) -> bool:
        return engine in self.engines and self.engines[engine].seat.life == Life.READY

    def send(self, engine: int, ident: bytes, workload: bytes, wait: float, rank: int | None,
             statement: bytes) -> Trip:
        fields = b"class=%b,wait=%d" % (workload, max(1, int(wait)))
        if rank is not None:
            fields += b",rank=%d" % rank
        trip = Trip(ident, (fields, statement))
        connection = self.engines[engine].connection_for(trip) if engine in self.engines else None
        if connection is None:
            self.counters.add("trips_not_sent")  # gone, or no descriptor left: no fault of the engine's
            trip.done.callback(Outcome(Ending.MOOT))
        else:
            connection.carry(trip)
        return trip

    def weigh(self, trip: Trip, rank: int) -> None:
        if trip.connection is not None and not trip.parts:
            trip.connection.write(b"weigh", trip.ident, b"%d" % rank)

    def give_up(self, trip: Trip, ending: Ending) -> None:
        if trip.connection is not None:
            trip.connection.give_up(trip, ending)

    def sweep(self) -> None:
        for engine in list(self.engines.values()):
            engine.sweep(self.clock() - IDLE_PART * self.idle_after)

    def close(self) -> None:
        for engine in list(self.engines.values()):
            for connection in list(engine.connections):
                if connection.up:
                    connection.transport.loseConnection()
