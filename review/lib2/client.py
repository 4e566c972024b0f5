"""A stand-in HTTP client of the protocol page: one request on a new connection."""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress

from .rig import Rig

REFUSED, LOST, CROSSED, LATE = "refused", "ended with no answer", "crossed a close", "no answer in time"
CROSSING = 0.05  # seconds; a request that crosses a close within this time is sent again
LATE_MARGIN = 0.55  # seconds after its time up to which an answer is only late


async def send(rig: Rig, host: str, workload: str, ident: str, wait_ms: float) -> str:
    """Send one request; the status of its answer, or one of the words above."""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, 7001), 1.0)
    except (OSError, TimeoutError):
        return REFUSED
    body = b"SELECT a FROM sales_17.orders"
    head = (
        f"POST /ops/{workload} HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {ident}\r\n"
        f"Req-Wait-Ms: {wait_ms:.0f}\r\nReq-Cost: 200.0\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    answer, sent_at = b"", time.monotonic()
    try:
        writer.write(head.encode() + body)
        sent_at = time.monotonic()
        async with asyncio.timeout(wait_ms / 1000 + LATE_MARGIN):
            answer = await reader.readuntil(b"\r\n\r\n")
            length = int(answer.lower().split(b"content-length:")[1].split(b"\r\n")[0])
            await reader.readexactly(length)
        status = answer.split(b" ", 2)[1].decode()
    except TimeoutError:
        status = LATE
    except (OSError, asyncio.IncompleteReadError):
        status = CROSSED if not answer and time.monotonic() - sent_at <= CROSSING else LOST
    rig.say(f"client of {ident}: {status} after {(time.monotonic() - sent_at) * 1000:.0f} ms")
    with suppress(OSError):
        writer.close()
    return status
