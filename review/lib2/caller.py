"""A stand-in proxy that asks the external processor, as `docs/extproc.md` tells callers to do.

It gives up on the processor after its message timeout, and resets the stream then. What it was granted it
forwards to the engine at once, on a new connection; the outcome is reported on the same stream.
"""

from __future__ import annotations

import asyncio
import os
import sys
from contextlib import suppress
from pathlib import Path
from typing import Any

os.environ.setdefault("GRPC_ENABLE_FORK_SUPPORT", "0")
sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

import grpc  # noqa: E402
from envoy.service.ext_proc.v3 import external_processor_pb2 as pb  # noqa: E402
from envoy.service.ext_proc.v3 import external_processor_pb2_grpc as service  # noqa: E402
from review.lib2.rig import Rig  # noqa: E402
from spurdeal.net.resp import ArrayParser, command  # noqa: E402

AWAY, NO_DECISION, NO_ANSWER, OUTCOME_UNHEARD = "away", "no decision", "no answer", "outcome unheard"


class Caller:
    """One proxy with one connection to the processor of a dispatcher.

    Attributes:
        message_timeout: Seconds that the processor has for a message.
        route_timeout: Seconds that the engine has for its answer.
    """

    def __init__(
        self, rig: Rig, name: str, target: str, message_timeout: float = 0.2, route_timeout: float = 30.0
    ) -> None:
        self.rig, self.name = rig, name
        self.message_timeout, self.route_timeout = message_timeout, route_timeout
        options = [
            ("grpc.use_local_subchannel_pool", 1),
            ("grpc.initial_reconnect_backoff_ms", 50),
            ("grpc.max_reconnect_backoff_ms", 100),
            ("grpc.min_reconnect_backoff_ms", 100),
            ("grpc.enable_http_proxy", 0),
        ]
        self.channel = grpc.aio.insecure_channel(target, options=options)
        self.stub = service.ExternalProcessorStub(self.channel)

    async def connect(self) -> None:
        """Wait until the connection is up."""
        await asyncio.wait_for(self.channel.channel_ready(), 15.0)

    def message(self, workload: str, ident: str, wait_ms: float) -> Any:
        """The message with a request's headers."""
        found = pb.ProcessingRequest()
        for key, value in (
            (":method", "POST"),
            (":path", f"/ops/{workload}"),
            (":authority", "origin.svc"),
            ("req-id", ident),
            ("req-wait-ms", f"{wait_ms:.0f}"),
            ("req-cost", "3000.0" if workload == "load" else "200.0"),
        ):
            header = found.request_headers.headers.headers.add()
            header.key, header.raw_value = key, value.encode()
        return found

    async def handle(self, workload: str, ident: str, wait_ms: float) -> str:
        """Ask for a request, forward it if it is granted, and report the outcome.

        Returns:
            The HTTP status that the client gets, or one of the words above.
        """
        self.rig.say(f"{self.name}: asks for {ident}")
        call = self.stub.Process()
        try:
            await asyncio.wait_for(call.write(self.message(workload, ident, wait_ms)), self.message_timeout)
            answer = await asyncio.wait_for(call.read(), self.message_timeout)
        except TimeoutError:
            call.cancel()
            self.rig.say(f"{self.name}: no decision on {ident} in time, the stream is reset")
            return NO_DECISION
        except (grpc.aio.AioRpcError, asyncio.InvalidStateError, asyncio.CancelledError):
            self.rig.say(f"{self.name}: the processor is away, for {ident}")
            return AWAY
        if answer is grpc.aio.EOF:
            self.rig.say(f"{self.name}: the stream ended with no decision on {ident}")
            return AWAY
        if answer.HasField("immediate_response"):
            call.cancel()
            status = str(answer.immediate_response.status.code)
            self.rig.say(f"{self.name}: {ident} is answered {status}")
            return status
        told = {
            option.header.key: option.header.raw_value.decode()
            for option in answer.request_headers.response.header_mutation.set_headers
        }
        self.rig.say(f"{self.name}: {ident} is granted, to {told['x-spurdeal-to']}")
        status = await self.forward(told["x-spurdeal-to"], workload, ident, float(told["x-spurdeal-wait-ms"]))
        if status == NO_ANSWER:
            call.cancel()
            self.rig.say(f"{self.name}: no answer of the engine to {ident} in time, the stream is reset")
            return status
        return await self.report(call, ident, status)

    async def forward(self, place: str, workload: str, ident: str, wait_ms: float) -> str:
        """Send a granted request to its engine; the status of its answer."""
        host, _, port = place.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        parser = ArrayParser()
        fields = f"class={workload},wait={wait_ms:.0f}".encode()
        writer.write(command(b"serve", ident.encode(), fields, b"COPY sales_17.orders FROM STDIN"))
        try:
            async with asyncio.timeout(self.route_timeout):
                while (parts := parser.take()) is None:
                    data = await reader.read(65_536)
                    if not data:
                        return "502"
                    parser.feed(data)
            return bytes(parts[1]).decode()
        except TimeoutError:
            return NO_ANSWER
        finally:
            writer.close()

    async def report(self, call: Any, ident: str, status: str) -> str:
        """Report the engine's answer to the processor; the client gets it once that has let it pass."""
        outcome = pb.ProcessingRequest()
        header = outcome.response_headers.headers.headers.add()
        header.key, header.raw_value = ":status", status.encode()
        try:
            await asyncio.wait_for(call.write(outcome), 1.0)
            reply = await asyncio.wait_for(call.read(), 1.0)
        except (grpc.aio.AioRpcError, TimeoutError, asyncio.InvalidStateError, asyncio.CancelledError):
            reply = None
        if reply is None or reply is grpc.aio.EOF or not reply.HasField("response_headers"):
            self.rig.say(f"{self.name}: the outcome {status} of {ident} is not answered")
            return OUTCOME_UNHEARD
        with suppress(grpc.aio.AioRpcError, asyncio.InvalidStateError, TimeoutError):
            await asyncio.wait_for(call.done_writing(), 1.0)
        self.rig.say(f"{self.name}: {ident} is answered {status}")
        return status
