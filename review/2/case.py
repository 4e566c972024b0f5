"""Usual clients beside one bad client whose statements can't be read. See claim.txt."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from standins import (
    BROKEN,
    FILE_LOAD,
    HELD,
    LOOKUP,
    TROUBLE,
    Call,
    CouldNotRun,
    Dispatcher,
    NameService,
    Node,
    Record,
    now_ms,
    play,
    settings,
    take_answer,
)

CLIENTS, PAUSE_S, RUN_S, TROUBLE_AT_S = 8, 0.25, 12.0, 3.0
WAIT_MS = 5400.0  # 90% of the class's deadline of 6 s
LATE_MS = 500.0  # "up to half a second after its time it only earns nothing"
AT_ONCE = 40
BODY = b"(" * 30_000 + b")" * 30_000  # no statement of any language, 60,000 bytes


async def usual_client(number: int, at: Dispatcher, until: float, calls: list[Call], record: Record) -> None:
    """Ask again and again, one call at a time on a kept connection; wait for each answer until it is lost."""
    reader = writer = None
    await asyncio.sleep(PAUSE_S * number / CLIENTS)
    while now_ms() < until:
        if writer is None:
            reader, writer = await asyncio.open_connection(at.host, at.port)
        call = Call("lookup", WAIT_MS, b"SELECT a FROM sales_17.orders WHERE tag = '3f9c'", "Req-Cost: 40.0")
        calls.append(call)
        writer.write(call.message())
        await writer.drain()
        call.sent_at = now_ms()
        record("sent", client=number, id=call.ident)
        try:
            await asyncio.wait_for(take_answer(reader, call, record), (WAIT_MS + LATE_MS) / 1000 + 0.05)
        except TimeoutError:
            record("no_answer", client=number, id=call.ident, for_ms=f"{now_ms() - call.sent_at:.0f}")
            writer.close()
            writer = None
        except (asyncio.IncompleteReadError, ConnectionError) as fault:
            call.end = "connection_ended"
            record("connection_ended", client=number, id=call.ident, why=repr(fault))
            writer = None
        await asyncio.sleep(PAUSE_S)
    if writer is not None:
        writer.close()


async def bad_client(at: Dispatcher, record: Record) -> None:
    """Send many statements that can't be read at once, each on a connection of its own; read what comes."""

    async def one(number: int) -> None:
        call = Call("lookup", WAIT_MS, BODY)
        reader, writer = await asyncio.open_connection(at.host, at.port)
        call.sent_at = now_ms()
        writer.write(call.message())
        record("bad_sent", number=number, id=call.ident, bytes=len(BODY))
        try:
            status = (await asyncio.wait_for(reader.readline(), 90)).split()[1:2]
            record("bad_answered", number=number, status=status, after_ms=f"{now_ms() - call.sent_at:.0f}")
        except (TimeoutError, OSError) as fault:
            record("bad_ended", number=number, why=repr(fault))
        writer.close()

    await asyncio.gather(*(one(number) for number in range(AT_ONCE)))


async def front(at: Dispatcher, record: Record) -> None:
    """Ask for GET /alive on new connections, as the front does at a start; only recorded."""
    while True:
        began = now_ms()
        try:
            reader, writer = await asyncio.open_connection(at.host, at.port)
            writer.write(b"GET /alive HTTP/1.1\r\nHost: origin.svc\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 5)
            writer.close()
            record("alive", answer=line.decode().strip(), after_ms=f"{now_ms() - began:.0f}")
        except (TimeoutError, OSError) as fault:
            record("alive", answer="none", why=type(fault).__name__, after_ms=f"{now_ms() - began:.0f}")
        await asyncio.sleep(0.5)


async def course(folder: Path, record: Record) -> int:
    nodes = [Node(f"s-{number}", "127.0.0.1", 40.0, record, "std-8", "stirling") for number in range(3)]
    for node in nodes:
        await node.open()
    names = NameService(nodes, record)
    nameserver = await names.open("127.0.0.1")
    dispatcher = Dispatcher(folder, record, "127.0.0.1")
    dispatcher.configure(nameserver, nodes, settings(LOOKUP, FILE_LOAD))
    calls: list[Call] = []
    try:
        await dispatcher.start()
        await asyncio.sleep(1.0)
        until = now_ms() + RUN_S * 1000
        asked = [
            asyncio.create_task(usual_client(n, dispatcher, until, calls, record)) for n in range(CLIENTS)
        ]
        alive = asyncio.create_task(front(dispatcher, record))
        bad = None
        if TROUBLE:
            await asyncio.sleep(TROUBLE_AT_S)
            bad = asyncio.create_task(bad_client(dispatcher, record))
        await asyncio.gather(*asked)
        alive.cancel()
        if bad is not None:
            bad.cancel()
        if dispatcher.ended():
            record("dispatcher_ended")
    finally:
        dispatcher.kill()
    if not any(call.status == 200 for call in calls):
        raise CouldNotRun("no request was served")
    lost = [call for call in calls if (took := call.took()) is None or took > WAIT_MS + LATE_MS]
    record("name_service", answered=names.answered)
    record("usual_requests", sent=len(calls), lost=len(lost), longest_ms=max(c.took() or 0 for c in calls))
    return BROKEN if lost else HELD


if __name__ == "__main__":
    play(__file__, course)
