"""Usual clients, and compute nodes some of whose good answers arrive with noise. See claim.txt."""

from __future__ import annotations

import asyncio
import json
import random
import secrets
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
    resp,
    settings,
    take_answer,
)

CLIENTS, CALLS, PAUSE_S = 16, 45, 0.02
WAIT_MS = 5400.0  # 90% of the class's deadline of 6 s
SPOILT_SHARE = 0.2
PAGES, ROWS = 4, 60  # a result of 4 pages of 60 rows, about 1,700 bytes each
PRINTABLE = bytes(range(0x20, 0x7F))


class NoisyNode(Node):
    """A compute node; some of its good answers arrive with noise in one character of their head."""

    chance = random.Random()
    spoilt = 0

    def pages_of(self, ident: bytes) -> list[bytes]:
        return [
            b"".join(b"%b\t%d\trow\n" % (ident, ROWS * page + row) for row in range(ROWS))
            for page in range(PAGES)
        ]

    async def answer(self, ident: bytes, writer: asyncio.StreamWriter) -> None:
        if not TROUBLE or self.chance.random() >= SPOILT_SHARE:
            await super().answer(ident, writer)
            return
        pages = self.results[ident] = self.pages_of(ident)
        message = bytearray(resp(ident, b"200", self.fields_of(ident, len(pages)), pages[0]))
        number = message.index(b"parts=") + len(b"parts=")  # another number would be another good answer
        head = len(message) - len(pages[0]) - len(b"\r\n")
        place = self.chance.choice([at for at in range(head) if at != number])
        message[place] = self.chance.choice([byte for byte in PRINTABLE if byte != message[place]])
        NoisyNode.spoilt += 1
        self.record("spoilt", node=self.ident, id=ident.decode(), head=bytes(message[:head]))
        writer.write(bytes(message))


async def client(number: int, at: Dispatcher, record: Record) -> list[Call]:
    """Ask again and again, one call at a time on a kept connection."""
    reader, writer = await asyncio.open_connection(at.host, at.port)
    calls = []
    for _ in range(CALLS):
        call = Call("lookup", WAIT_MS, b"SELECT a, b, c FROM sales_17.orders", "Req-Cost: 20.0")
        calls.append(call)
        writer.write(call.message())
        await writer.drain()
        call.sent_at = now_ms()
        record("sent", client=number, id=call.ident)
        await asyncio.wait_for(take_answer(reader, call, record), WAIT_MS / 1000 + 0.6)
        await asyncio.sleep(PAUSE_S)
    writer.close()
    return calls


def wrong_rows(call: Call, nodes: list[NoisyNode], record: Record) -> bool:
    """Whether a call was told as served with other rows than a compute node made for it."""
    answer = json.loads(call.body)
    if call.status != 200 or "fault" in answer or "more" in answer:
        return False
    ident = call.ident.encode()
    made = [
        [row.split("\t") for row in b"".join(node.results[ident]).decode().split("\n")[:-1]]
        for node in nodes
        if ident in node.results
    ]
    wrong = answer.get("result", []) not in made
    if wrong:
        rows = len(answer.get("result", []))
        record("wrong_rows", id=call.ident, served=rows, made=" ".join(str(len(each)) for each in made))
    return wrong


async def course(folder: Path, record: Record) -> int:
    seed = secrets.randbits(32)
    NoisyNode.chance.seed(seed)
    record("seed", noise=seed)
    nodes = [NoisyNode(f"s-{n}", "127.0.0.1", 20.0, record, "std-8", "stirling") for n in range(3)]
    for node in nodes:
        await node.open()
    nameserver = await NameService(nodes, record).open("127.0.0.1")
    dispatcher = Dispatcher(folder, record, "127.0.0.1")
    dispatcher.configure(nameserver, nodes, settings(LOOKUP, FILE_LOAD))
    try:
        await dispatcher.start()
        await asyncio.sleep(1.0)
        asked = await asyncio.gather(*(client(number, dispatcher, record) for number in range(CLIENTS)))
    finally:
        dispatcher.kill()
    calls = [call for each in asked for call in each]
    served = [call for call in calls if call.status == 200]
    if not served or (TROUBLE and not NoisyNode.spoilt):
        raise CouldNotRun("nothing was served, or no answer was spoilt")
    wrong = [call for call in served if wrong_rows(call, nodes, record)]
    record("requests", sent=len(calls), served=len(served), spoilt=NoisyNode.spoilt, wrong=len(wrong))
    return BROKEN if wrong else HELD


if __name__ == "__main__":
    play(__file__, course)
