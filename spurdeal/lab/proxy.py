"""A stand-in proxy: it calls the external processor by `grpcio` with Envoy's messages, and forwards.

It speaks RESP to the engines itself. Its injected faults are timeouts, cancelled calls, cut connections and
outcomes that are never reported.
"""

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
    """One request of a client: the paths it was sent by, and the statuses the client got."""

    ident: str
    non_idempotent: bool
    cost: float
    sent_to: list[str] = field(default_factory=list)
    answers: list[int] = field(default_factory=list)


def request(client_request: ClientRequest, wait: float) -> Any:
    """The message with the request's headers; the client waits so many ms."""
    message = pb.ProcessingRequest()
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
        header = message.request_headers.headers.headers.add()
        header.key, header.raw_value = key, value.encode()
    return message


def response(status: int, proof: bool) -> Any:
    """The message with the response's headers; `proof`: it is known that nothing ran."""
    message = pb.ProcessingRequest()
    for key, value in ((":status", str(status)), *((("x-never-ran", "1"),) if proof else ())):
        header = message.response_headers.headers.headers.add()
        header.key, header.raw_value = key, value.encode()
    return message


class Forwarder:
    """Sends requests to engines by RESP, each on a new connection, as a pool would hide failures."""

    async def send(self, place: str, client_request: ClientRequest, wait: float) -> tuple[int, bool]:
        """The status, and whether it is known that nothing ran."""
        host, _, port = place.rpartition(":")
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 0.25)
        except (OSError, TimeoutError):
            return 503, True  # refused, or did not come up: nothing was sent
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
    """One proxy with a channel to the external processor.

    Attributes:
        timeout: Of a message, in ms.
        faults: The share of calls with an injected timeout; a cancelled grant and an unreported outcome each
            have half of it.
        counts: What happened, by name.
        decision_ms: How long the processor took to decide.
    """

    def __init__(self, name: str, target: str, seed: int, message_timeout: float, faults: float) -> None:
        self.name, self.target, self.chance = name, target, random.Random(seed)
        self.timeout, self.faults = message_timeout, faults
        self.forwarder = Forwarder()
        self.counts: Counter[str] = Counter()
        self.decision_ms: list[float] = []
        self.channel: Any = None

    def connect(self) -> None:
        """Open a channel to the processor."""
        options = [
            ("grpc.initial_reconnect_backoff_ms", 50),
            ("grpc.max_reconnect_backoff_ms", 100),
            ("grpc.min_reconnect_backoff_ms", 50),
            ("grpc.use_local_subchannel_pool", 1),
        ]
        self.channel = grpc.aio.insecure_channel(self.target, options=options)
        self.stub = service.ExternalProcessorStub(self.channel)

    async def cut(self) -> None:
        """Replace the channel; all calls on the old one fail."""
        old = self.channel
        self.connect()
        await asyncio.wait_for(old.close(), 2.0)

    async def handle(self, client_request: ClientRequest, wait: float) -> int:
        """Ask the processor about a request, and forward it if it is granted.

        Returns:
            The status; 0 if the outcome is unknown, -1 if the processor is unreachable.
        """
        client_request.sent_to.append(self.name)
        loop = asyncio.get_running_loop()
        began = loop.time()
        self.counts["calls"] += 1
        fault = self.chance.random()
        timeout = self.timeout / 1000
        if fault < self.faults:  # gives up early, while the processor decides
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
            call.cancel()  # a grant that crosses the cancel is not read, so nothing is forwarded
            self.counts["caller_timeouts"] += 1
            return 504
        except (grpc.aio.AioRpcError, asyncio.InvalidStateError, asyncio.CancelledError):
            self.counts["processor_away"] += 1
            return -1
        if answer is grpc.aio.EOF:
            return -1
        self.decision_ms.append((loop.time() - began) * 1000)
        if answer.HasField("immediate_response"):
            call.cancel()
            return int(answer.immediate_response.status.code)
        mutations = {
            option.header.key: option.header.raw_value.decode()
            for option in answer.request_headers.response.header_mutation.set_headers
        }
        return await self.forward_granted(
            call, client_request, mutations, fault, wait - (loop.time() - began) * 1000
        )

    async def forward_granted(
        self, call: Any, client_request: ClientRequest, mutations: dict[str, str], fault: float, wait: float
    ) -> int:
        """Forward a granted request and report its outcome; the status, 0 if the outcome is unknown."""
        if self.faults < fault < 1.5 * self.faults:  # granted, but cancelled before use
            self.counts["unused"] += 1
            call.cancel()
            return 0
        self.counts["forwarded"] += 1
        limit = min(float(mutations["x-spurdeal-wait-ms"]), wait)
        status, proof = await self.forwarder.send(mutations["x-spurdeal-to"], client_request, max(1.0, limit))
        if 1.5 * self.faults < fault < 2 * self.faults:  # the outcome is never reported
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
