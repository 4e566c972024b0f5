"""A stand-in proxy: asks the external processor by `grpcio` with published messages, and forwards as it is
told.

It times out, cancels, cuts its connection, retries through a second path, and speaks RESP to the engines
itself."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import grpc
from envoy.service.ext_proc.v3 import external_processor_pb2 as pb
from envoy.service.ext_proc.v3 import external_processor_pb2_grpc as service

from ..net.resp import ArrayParser, command


@dataclass(slots=True)
class ClientRequest:
    """One request: what its client was told at last, and each way that it went."""

    ident: str
    non_idempotent: bool
    cost: float
    sent_to: list[str] = field(default_factory=list)
    answers: list[int] = field(default_factory=list)


def request(client_request: ClientRequest, wait: float) -> Any:
    told = pb.ProcessingRequest()
    workload = "load" if client_request.non_idempotent else "lookup"
    for key, value in (
        (":method", "POST"),
        (":path", f"/ops/{workload}"),
        (":authority", "origin"),
        ("req-id", client_request.ident),
        ("req-wait-ms", f"{wait:.0f}"),
        ("req-cost", f"{client_request.cost:.2f}"),
        ("user-agent", "lab"),
        ("x-request-id", client_request.ident * 2),
    ):
        header = told.request_headers.headers.headers.add()
        header.key, header.raw_value = key, value.encode()
    return told


def response(status: int, proof: bool) -> Any:
    told = pb.ProcessingRequest()
    for key, value in ((":status", str(status)), *((("x-never-ran", "1"),) if proof else ())):
        header = told.response_headers.headers.headers.add()
        header.key, header.raw_value = key, value.encode()
    return told


class Forwarder:
    """RESP to the engines: one connection a call, as a proxy's pool would be too kind to failures."""

    async def send(self, place: str, client_request: ClientRequest, wait: float) -> tuple[int, bool]:
        """Status and whether it is known that nothing ran."""
        host, _, port = place.rpartition(":")
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 0.25)
        except (OSError, TimeoutError):
            return 503, True  # refused, or never up: not a byte has left
        parser, workload = ArrayParser(), b"load" if client_request.non_idempotent else b"lookup"
        try:
            writer.write(
                command(
                    b"serve",
                    client_request.ident.encode(),
                    b"class=%b,wait=%d" % (workload, int(wait)),
                    b"SELECT 1 /* cost=%.2f */" % client_request.cost,
                )
            )
            until = asyncio.get_running_loop().time() + wait / 1000
            while (parts := parser.take()) is None:
                left = until - asyncio.get_running_loop().time()
                data = await asyncio.wait_for(reader.read(65536), max(0.001, left))
                if not data:
                    return 502, False
                parser.feed(data)
            status = int(bytes(parts[1]))
            return status, status in (503, 504)
        except (OSError, TimeoutError):
            return 504, False
        finally:
            writer.close()


class Proxy:
    """One proxy with a channel to each processor that it knows."""

    def __init__(self, name: str, target: str, seed: int, message_timeout: float, faults: float) -> None:
        self.name, self.target, self.chance = name, target, random.Random(seed)
        self.timeout, self.faults = message_timeout, faults
        self.forwarder = Forwarder()
        self.counts: Counter[str] = Counter()
        self.decided: list[float] = []
        self.channel: Any = None

    def dial(self) -> None:
        options = [
            ("grpc.initial_reconnect_backoff_ms", 50),
            ("grpc.max_reconnect_backoff_ms", 100),
            ("grpc.min_reconnect_backoff_ms", 50),
            ("grpc.use_local_subchannel_pool", 1),
        ]
        self.channel = grpc.aio.insecure_channel(self.target, options=options)
        self.stub = service.ExternalProcessorStub(self.channel)

    async def cut(self) -> None:
        """The connection to the processor is lost, with all that is open on it."""
        old = self.channel
        self.dial()
        await asyncio.wait_for(old.close(), 2.0)

    async def go(self, client_request: ClientRequest, wait: float) -> int:
        """One way for one request; 0 where nobody can know what became of it, -1 where the processor is
        away."""
        client_request.sent_to.append(self.name)
        loop = asyncio.get_running_loop()
        began = loop.time()
        self.counts["calls"] += 1
        fault = self.chance.random()
        timeout = self.timeout / 1000
        if fault < self.faults:  # gives up long before: while it is being decided
            timeout = self.chance.choice((0.0005, 0.002, 0.01))
            self.counts["timeouts_injected"] += 1
        call = self.stub.Process()
        try:
            await asyncio.wait_for(call.write(request(client_request, wait)), timeout)
            answer = await asyncio.wait_for(call.read(), timeout)
            while answer is not grpc.aio.EOF and answer.HasField("override_message_timeout"):
                more = answer.override_message_timeout
                self.counts["asked_for_time"] += 1
                answer = await asyncio.wait_for(call.read(), more.seconds + more.nanos / 1e9)
        except TimeoutError:
            call.cancel()  # an answer that crosses this is never read: it is not forwarded
            self.counts["caller_timeouts"] += 1
            return 504
        except (grpc.aio.AioRpcError, asyncio.InvalidStateError, asyncio.CancelledError):
            self.counts["processor_away"] += 1
            return -1
        if answer is grpc.aio.EOF:
            return -1
        self.decided.append((loop.time() - began) * 1000)
        if answer.HasField("immediate_response"):
            call.cancel()
            return int(answer.immediate_response.status.code)
        told = {
            option.header.key: option.header.raw_value.decode()
            for option in answer.request_headers.response.header_mutation.set_headers
        }
        return await self.forward(call, client_request, told, fault, wait - (loop.time() - began) * 1000)

    async def forward(
        self, call: Any, client_request: ClientRequest, told: dict[str, str], fault: float, wait: float
    ) -> int:
        if self.faults < fault < 1.5 * self.faults:  # granted, and cancelled before it was used
            self.counts["unused"] += 1
            call.cancel()
            return 0
        self.counts["forwarded"] += 1
        limit = min(float(told["x-spurdeal-wait-ms"]), wait)
        status, proof = await self.forwarder.send(told["x-spurdeal-to"], client_request, max(1.0, limit))
        if 1.5 * self.faults < fault < 2 * self.faults:  # its outcome is never told
            self.counts["untold"] += 1
            call.cancel()
            return status if proof or status == 200 else 0
        try:
            await asyncio.wait_for(call.write(response(status, proof)), 1.0)
            reply = await asyncio.wait_for(call.read(), 1.0)
            if reply is not grpc.aio.EOF and not reply.HasField("response_headers"):
                self.counts["answers_double"] += 1
            await asyncio.wait_for(call.done_writing(), 1.0)
        except (grpc.aio.AioRpcError, TimeoutError, asyncio.InvalidStateError, asyncio.CancelledError):
            self.counts["outcome_not_told"] += 1
            call.cancel()
        return status if proof or status == 200 else 0
