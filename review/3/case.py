"""A planned restart while clients have sent several lookups at once on their connections. See claim.txt."""

from __future__ import annotations

import asyncio
import signal
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

CLIENTS, AT_ONCE = 4, 5
WORK_MS = 300.0  # a lookup's work
WAIT_MS = 5400.0  # 90% of the class's deadline of 6 s
LATE_MS = 500.0  # "up to half a second after its time it only earns nothing"
SIGTERM_AFTER_S = 0.2  # after the last byte of the last request


class Client:
    """A client with one connection, on which it sends several lookups at once."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, calls: list[Call]) -> None:
        self.reader, self.writer, self.calls = reader, writer, calls


async def send_at_once(number: int, at: Dispatcher, record: Record) -> Client:
    """Send several lookups on one connection without waiting for answers."""
    reader, writer = await asyncio.open_connection(at.host, at.port)
    calls = [
        Call("lookup", WAIT_MS, b"SELECT a FROM sales_17.orders WHERE tag = '3f9c'", "Req-Cost: 300.0")
        for _ in range(AT_ONCE)
    ]
    writer.write(b"".join(call.message() for call in calls))
    await writer.drain()
    for call in calls:
        call.sent_at = now_ms()
        record("sent", client=number, id=call.ident)
    return Client(reader, writer, calls)


async def read_all(number: int, client: Client, record: Record) -> None:
    """Read the answers in turn until all are there, the connection ends, or their time is long over."""
    for call in client.calls:
        assert call.sent_at is not None
        left = (call.sent_at + WAIT_MS + LATE_MS + 100.0 - now_ms()) / 1000
        try:
            await asyncio.wait_for(take_answer(client.reader, call, record), max(0.01, left))
        except TimeoutError:
            record("no_answer", client=number, id=call.ident)
            return
        except (asyncio.IncompleteReadError, ConnectionError) as fault:
            record("connection_ended", client=number, id=call.ident, why=type(fault).__name__)
            return


async def course(folder: Path, record: Record) -> int:
    nodes = [Node(f"s-{number}", "127.0.0.1", WORK_MS, record, "std-8", "stirling") for number in range(3)]
    for node in nodes:
        await node.open()
    nameserver = await NameService(nodes, record).open("127.0.0.1")
    dispatcher = Dispatcher(folder, record, "127.0.0.1")
    dispatcher.configure(nameserver, nodes, settings(LOOKUP, FILE_LOAD))
    try:
        await dispatcher.start()
        await asyncio.sleep(1.0)
        sent = await asyncio.gather(*(send_at_once(n, dispatcher, record) for n in range(CLIENTS)))
        await asyncio.sleep(SIGTERM_AFTER_S)
        if TROUBLE:
            dispatcher.signal(signal.SIGTERM)
        await asyncio.gather(*(read_all(number, client, record) for number, client in enumerate(sent)))
        await asyncio.sleep(0.2)
        record("dispatcher", ended=dispatcher.ended())
    finally:
        dispatcher.kill()
    calls = [call for client in sent for call in client.calls]
    if not any(call.status == 200 for call in calls):
        raise CouldNotRun("no request was served")
    lost = [call for call in calls if (took := call.took()) is None or took > WAIT_MS + LATE_MS]
    begun = {ident for node in nodes for ident, _ in node.runs}
    for call in lost:
        record("lost", id=call.ident, begun_at_a_node=call.ident in begun)
    record("requests", sent=len(calls), answered=len(calls) - len(lost), lost=len(lost))
    return BROKEN if lost else HELD


if __name__ == "__main__":
    play(__file__, course)
