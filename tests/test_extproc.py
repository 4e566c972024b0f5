"""The external processor: parsing of calls, endings of grants, and the service over HTTP/2 in memory."""

import random
import signal
import struct
import sys
import tempfile
import unittest
from dataclasses import replace
from pathlib import Path
from typing import Any
from unittest import mock

import h2.events
from envoy.config.core.v3 import base_pb2
from envoy.service.ext_proc.v3 import external_processor_pb2 as pb
from envoy.type.v3 import http_status_pb2
from google.protobuf import duration_pb2
from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.errors import ErrorCodes

from spurdeal.__main__ import main
from spurdeal.cli.main import serve
from spurdeal.early_signals import SIGNALS
from spurdeal.extproc import processor_pb2
from spurdeal.extproc.answers import request_more_time
from spurdeal.extproc.bounds import Bounds, ConnectionLimits, ConnectionUsage
from spurdeal.extproc.calls import (
    BadCallError,
    CallerSettings,
    answer_times,
    caller_timeout,
    header_map,
    parse_call,
    parse_outcome,
)
from spurdeal.extproc.grants import ENDINGS, GrantEvent, Grants, GrantStage
from spurdeal.extproc.server import METHOD, Runtime, Server, ServerSettings
from spurdeal.interface import NEVER_RAN, Ending, Life
from spurdeal.lab.proxy import ClientRequest, request, response
from spurdeal.net.link import at_most_once
from spurdeal.store.guard import GuardRuntime, GuardSettings, LedgerGuard
from spurdeal.store.ledger import Ledger, LedgerSettings
from tests.helpers import Caller, Pipe, World

REQUEST_HEADERS = [
    (b":method", b"POST"),
    (b":scheme", b"http"),
    (b":path", METHOD),
    (b":authority", b"x"),
    (b"content-type", b"application/grpc"),
    (b"te", b"trailers"),
]


class Parsing(unittest.TestCase):
    VALID = {
        b":method": b"POST",
        b":path": b"/ops/lookup?a=b",
        b"req-id": b"00000000000000aa",
        b"req-wait-ms": b"1500",
        b"req-cost": b"20.5",
    }

    def test_invalid_calls_are_rejected(self) -> None:
        call = parse_call(self.VALID, CallerSettings(), 1000.0)
        self.assertEqual(
            (call.workload, call.client_timeout, call.cost, call.group), (b"lookup", 1000.0, 20.5, -1)
        )
        for name, value in (
            (b":method", b"GET"),
            (b"req-id", b"xyz"),
            (b"req-wait-ms", b"-1"),
            (b"req-wait-ms", b"1e3"),
            (b"req-cost", b"nan"),
            (b":path", b"ops"),
            (b"req-wait-ms", b"0"),
        ):
            with self.subTest(name=name, value=value), self.assertRaises(BadCallError):
                parse_call(self.VALID | {name: value}, CallerSettings(), 1000.0)
        with self.assertRaises(BadCallError):
            header_map((f"h{number}", "x", b"") for number in range(500))
        self.assertEqual(header_map([("A", "", b"1"), ("a", "2", b"")]), {b"a": b"1, 2"})

    def test_the_shortest_timeout_applies(self) -> None:
        caller_settings = CallerSettings(message_timeout=200, most_timeout=0, margin=20)
        self.assertEqual(answer_times(caller_settings, 1500, None), (180, 0))
        self.assertEqual(answer_times(caller_settings, 100, None), (80, 0))
        self.assertEqual(answer_times(caller_settings, 1500, 50), (30, 0))
        self.assertEqual(answer_times(caller_settings._replace(most_timeout=1000), 1500, None), (980, 1000))
        self.assertEqual(answer_times(caller_settings._replace(most_timeout=1000), 1500, 150), (130, 0))
        self.assertEqual(
            caller_timeout({b"grpc-timeout": b"2S", b"x-envoy-expected-rq-timeout-ms": b"900"}), 900
        )
        self.assertEqual(
            [caller_timeout({b"grpc-timeout": text}) for text in (b"100m", b"1u", b"x", b"")],
            [100, 0.001, None, None],
        )

    def test_only_the_proof_header_proves_that_nothing_ran(self) -> None:
        for status, proof, ending in (
            (b"200", False, Ending.DELIVERED),
            (b"503", False, Ending.ERROR),
            (b"503", True, Ending.FULL),
            (b"504", True, Ending.MOOT),
            (b"504", False, Ending.TIME_OUT),
            (b"502", True, Ending.UNREACHED),
            (b"500", False, Ending.ERROR),
            (b"x", True, Ending.RESET),
        ):
            headers = {b":status": status} | ({b"x-never-ran": b"1"} if proof else {})
            self.assertEqual(parse_outcome(headers, CallerSettings()), ending)

    def test_a_queued_grant_never_ran_and_a_sent_one_may_have_run(self) -> None:
        for event in GrantEvent:
            self.assertIn(ENDINGS[GrantStage.QUEUED, event], NEVER_RAN)
            self.assertEqual(ENDINGS[GrantStage.SENT, event] in NEVER_RAN, event is GrantEvent.UNUSED)

    def test_a_grant_ends_once(self) -> None:
        grants = Grants(2)
        grants.add(1, b"a")
        grants.add(2, b"b")
        self.assertFalse(grants.has_room())
        self.assertIsNone(grants.record_outcome(1, Ending.DELIVERED))  # not sent yet
        self.assertTrue(grants.mark_sent(10, 1, 7, 500))
        self.assertFalse(grants.mark_sent(10, 1, 7, 500))
        self.assertEqual(grants.record_outcome(1, Ending.DELIVERED), Ending.DELIVERED)
        self.assertEqual(
            (grants.record_outcome(1, Ending.ERROR), grants.record_event(1, GrantEvent.CUT)), (None, None)
        )
        self.assertEqual(grants.record_event(2, GrantEvent.CUT), Ending.MOOT)
        self.assertFalse(grants.mark_sent(20, 2, 7, 500))
        self.assertEqual((grants.open, grants.late, grants.premature), ({}, 1, 1))

    def test_counts_and_rates_are_limited(self) -> None:
        admission = ConnectionLimits(Bounds(max_connections=1, max_calls=3, max_calls_each=2, max_resets=5))
        self.assertEqual([admission.admit_connection(), admission.admit_connection()], [True, False])
        usage, other = ConnectionUsage(admission.bounds), ConnectionUsage(admission.bounds)
        self.assertEqual(
            [admission.admit_call(usage), admission.admit_call(usage), admission.admit_call(usage)],
            [True, True, False],
        )
        self.assertEqual([admission.admit_call(other), admission.admit_call(other)], [True, False])
        self.assertEqual([usage.count_reset(float(ms)) for ms in range(7)], [False] * 5 + [True] * 2)
        self.assertFalse(usage.count_reset(5000.0))
        admission.connection_closed(usage)
        self.assertEqual((admission.connections, admission.calls), (0, 1))


class FieldNumbers(unittest.TestCase):
    def test_every_field_has_the_published_number_and_type(self) -> None:
        published = {
            message.name: message
            for module in (pb, base_pb2, http_status_pb2, duration_pb2)
            for message in module.DESCRIPTOR.message_types_by_name.values()
        }
        checked = 0
        for name, message in processor_pb2.DESCRIPTOR.message_types_by_name.items():
            for field in message.fields:
                published_field = published[name].fields_by_name[field.name]
                types = {field.type, published_field.type}
                with self.subTest(field.full_name):
                    self.assertEqual(
                        (field.number, field.is_repeated),
                        (published_field.number, published_field.is_repeated),
                    )
                    self.assertTrue(len(types) == 1 or types == {field.TYPE_INT32, field.TYPE_ENUM})
                checked += 1
        self.assertGreater(checked, 40)


class Proxy:
    """A caller's side of one connection, with h2 and Envoy's published messages."""

    def __init__(self, case: "Service") -> None:
        self.case, self.pipe = case, Pipe()
        self.h2 = H2Connection(H2Configuration(client_side=True, header_encoding=None))
        self.protocol: Any = case.server.buildProtocol(None)
        self.protocol.makeConnection(self.pipe)
        self.h2.initiate_connection()
        self.responses: dict[int, list[Any]] = {}
        self.status: dict[int, str] = {}
        self.text: dict[int, bytes] = {}
        self.flush()

    def flush(self) -> None:
        self.protocol.dataReceived(self.h2.data_to_send())
        self.case.world.go()
        self.read()

    def read(self) -> None:
        for event in self.h2.receive_data(self.pipe.taken()):
            stream = getattr(event, "stream_id", 0)
            if isinstance(event, (h2.events.ResponseReceived, h2.events.TrailersReceived)):
                headers = dict(event.headers)
                if b"grpc-status" in headers:
                    self.status[stream] = headers[b"grpc-status"].decode()
            elif isinstance(event, h2.events.DataReceived):
                text = self.text.get(stream, b"") + event.data
                while len(text) >= 5 and len(text) >= 5 + struct.unpack("!I", text[1:5])[0]:
                    size = struct.unpack("!I", text[1:5])[0]
                    self.responses.setdefault(stream, []).append(
                        pb.ProcessingResponse.FromString(text[5 : 5 + size])
                    )
                    text = text[5 + size :]
                self.text[stream] = text

    def open(self, more: tuple[tuple[bytes, bytes], ...] = ()) -> int:
        stream = self.h2.get_next_available_stream_id()
        self.h2.send_headers(stream, [*REQUEST_HEADERS, *more])
        return stream

    def send(self, stream: int, message: bytes, end: bool = False, prefix: bytes | None = None) -> None:
        self.h2.send_data(stream, (prefix or struct.pack("!BI", 0, len(message))) + message, end_stream=end)

    def ask(
        self,
        number: int,
        workload: str = "lookup",
        wait: float = 2000,
        more: tuple[tuple[bytes, bytes], ...] = (),
    ) -> int:
        stream = self.open(more)
        self.send(
            stream,
            request(ClientRequest(f"{number:016x}", workload == "load", 20.0), wait).SerializeToString(),
        )
        self.flush()
        return stream

    def answer(self, stream: int) -> Any:
        """The status of an immediate response, or the granted address; None while the call is queued."""
        for message in self.responses.get(stream, []):
            if message.HasField("immediate_response"):
                return message.immediate_response.status.code
            if message.HasField("request_headers"):
                headers = {
                    option.header.key: option.header.raw_value
                    for option in message.request_headers.response.header_mutation.set_headers
                }
                return headers["x-spurdeal-to"].decode()
        return None

    def outcome(self, stream: int, status: int, proof: bool = False) -> None:
        self.send(stream, response(status, proof).SerializeToString())
        self.flush()

    def reset(self, stream: int) -> None:
        self.h2.reset_stream(stream, ErrorCodes.CANCEL)
        self.flush()


class Service(unittest.TestCase):
    """The service next to the HTTP server for clients, with a ledger; callers connect in memory."""

    def setUp(self) -> None:
        self.world = World(self, engines=2)
        self.bounds = Bounds(silent_after=2000, max_resets=20, max_controls=40, max_calls_each=50)
        self.make(CallerSettings(message_timeout=200, most_timeout=0, use_within=150))
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name)
        self.ledger()

    def make(self, caller_settings: CallerSettings) -> None:
        service = self.world.service
        self.server = Server(
            service.adapter,
            service.engines,
            ServerSettings(service.configuration.workloads, caller_settings, self.bounds, 20_000, 500.0),
            Runtime(self.world.reactor, self.world.now, service.counters, service.log),
        )

    def ledger(self) -> None:
        service = self.world.service
        ledger = Ledger(self.path, self.world.now, LedgerSettings("never"))
        self.addCleanup(ledger.close)
        service.adapter.guard = LedgerGuard(
            ledger,
            GuardSettings(at_most_once(service.configuration.site), 60_000, 500.0),
            GuardRuntime(self.world.reactor, service.counters, service.log),
        )

    def engines(self) -> Any:
        return self.world.service.adapter.rules.engines

    def attempts_out(self) -> int:
        return sum(len(engine.open_attempts) for engine in self.engines().values())

    def eject_engines(self) -> None:
        """Eject all engines, so that new calls are queued."""
        for engine in self.engines().values():
            engine.ejected_until = self.world.now() + 60_000

    def test_tcp_no_delay_is_set(self) -> None:
        self.assertTrue(Proxy(self).pipe.no_delay)

    def test_a_call_is_granted_and_its_outcome_recorded(self) -> None:
        proxy = Proxy(self)
        stream = proxy.ask(1)
        self.assertTrue(str(proxy.answer(stream)).startswith("127.0.9."))
        self.assertEqual((self.attempts_out(), len(self.world.reactor.tcpClients)), (1, 0))
        proxy.outcome(stream, 200)
        self.assertEqual((self.attempts_out(), self.world.count("trips_delivered")), (0, 1))
        self.assertTrue(proxy.responses[stream][-1].HasField("response_headers"))
        proxy.h2.end_stream(stream)
        proxy.flush()
        self.assertEqual(proxy.status[stream], "0")
        self.assertEqual(
            (
                self.server.granter.calls,
                self.server.granter.granted_attempts,
                self.server.admission.calls,
                self.world.service.adapter.open_requests,
            ),
            ({}, {}, 0, {}),
        )

    def test_external_calls_and_http_requests_share_the_concurrency_limit(self) -> None:
        proxy, caller = Proxy(self), Caller(self.world)
        proxy.ask(1)
        proxy.ask(2)
        caller.post(3)
        self.assertEqual(sum(engine.in_flight_threads for engine in self.engines().values()), 3)

    def test_a_call_cancelled_while_queued_never_ran(self) -> None:
        proxy = Proxy(self)
        self.eject_engines()
        stream = proxy.ask(1, "load")
        self.assertIsNone(proxy.answer(stream))
        proxy.reset(stream)
        for engine in self.engines().values():
            engine.ejected_until = 0.0
        again = proxy.ask(1, "load")
        self.assertIsInstance(proxy.answer(again), str)

    def test_a_repeated_id_after_each_end_of_a_non_idempotent_grant(self) -> None:
        for how, second in (
            ("reset", 500),
            ("cut", 500),
            ("end", 500),
            ("silent", 500),
            ("200", 500),
            ("500", 500),
            ("503", 500),
            ("503 with proof", "granted"),
            ("running", 500),
        ):
            for path in ("proxy", "http"):
                with self.subTest(how=how, path=path):
                    self.setUp()
                    proxy, other = Proxy(self), Proxy(self)
                    stream = proxy.ask(1, "load")
                    if how == "reset":
                        proxy.reset(stream)
                    elif how == "cut":
                        proxy.protocol.connectionLost()
                    elif how == "end":
                        proxy.h2.end_stream(stream)
                        proxy.flush()
                    elif how == "silent":
                        self.world.go(2200)
                    elif how != "running":
                        proxy.outcome(stream, int(how[:3]), "proof" in how)
                    self.world.go()
                    if path == "proxy":
                        found = other.answer(other.ask(1, "load"))
                        found = "granted" if isinstance(found, str) else found
                    else:
                        caller = Caller(self.world)
                        caller.post(1, "load")
                        answers = caller.answers()
                        found = answers[0][0] if answers else "granted"
                    self.assertEqual(found, second)

    def test_two_streams_with_one_id_in_one_batch(self) -> None:
        proxy = Proxy(self)
        streams = [proxy.open(), proxy.open()]
        for stream in streams:
            proxy.send(
                stream, request(ClientRequest("00000000000000aa", True, 20.0), 2000).SerializeToString()
            )
        proxy.flush()
        answers = [proxy.answer(stream) for stream in streams]
        self.assertEqual(sum(isinstance(answer, str) for answer in answers), 1)
        self.assertIn(answers[1], (409, 500))

    def test_the_ledger_remembers_a_grant_after_a_kill(self) -> None:
        proxy = Proxy(self)
        proxy.ask(1, "load")
        self.world = World(self, engines=2)
        self.make(CallerSettings())
        self.ledger()
        again = Proxy(self)
        self.assertEqual(again.answer(again.ask(1, "load")), 500)
        self.assertIsInstance(again.answer(again.ask(1, "lookup")), str)

    def test_a_full_ledger_sheds_non_idempotent_calls_only(self) -> None:
        guard: Any = self.world.service.adapter.guard
        guard.ledger.settings = replace(guard.ledger.settings, max_bytes=guard.ledger.bytes + 3)
        proxy = Proxy(self)
        stream, read = proxy.ask(1, "load"), proxy.ask(2, "lookup")
        self.world.go(100)
        proxy.read()
        self.assertEqual(proxy.answer(stream), 503)
        self.assertIsInstance(proxy.answer(read), str)

    def test_a_queued_call_is_rejected_or_extended_before_the_callers_timeout(self) -> None:
        proxy = Proxy(self)
        self.eject_engines()
        stream = proxy.ask(1)
        self.world.go(170)
        self.assertIsNone(proxy.answer(stream))
        self.world.go(20)
        proxy.read()
        self.assertEqual(proxy.answer(stream), 503)
        headers = {
            option.header.key: option.header.raw_value
            for option in proxy.responses[stream][0].immediate_response.headers.set_headers
        }
        self.assertEqual(headers["srv-wait-ms"], b"500")
        self.make(CallerSettings(message_timeout=200, most_timeout=1000))
        patient = Proxy(self)
        stream = patient.ask(2)
        self.world.go(500)
        patient.read()
        self.assertEqual(patient.responses[stream][0].override_message_timeout.seconds, 1)
        self.assertIsNone(patient.answer(stream))
        self.world.go(500)
        patient.read()
        self.assertEqual(patient.answer(stream), 503)
        self.assertEqual(
            pb.ProcessingResponse.FromString(request_more_time(250)).override_message_timeout.nanos,
            250_000_000,
        )

    def test_the_timeout_of_the_stream_applies(self) -> None:
        proxy = Proxy(self)
        self.eject_engines()
        stream = proxy.ask(1, more=((b"grpc-timeout", b"60m"),))
        self.world.go(45)
        proxy.read()
        self.assertEqual(proxy.answer(stream), 503)

    def test_a_draining_engine_is_not_granted(self) -> None:
        proxy = Proxy(self)
        engines = self.world.service.engines.engines
        for engine in engines.values():
            engine.endpoint = engine.endpoint._replace(life=Life.DRAINING)
        stream = proxy.ask(1)
        self.assertNotIsInstance(proxy.answer(stream), str)
        self.assertGreater(self.world.count("grants_not_said"), 0)

    def test_a_late_outcome_changes_nothing(self) -> None:
        proxy = Proxy(self)
        stream = proxy.ask(1)
        self.world.go(2200)
        self.assertEqual((self.attempts_out(), self.world.count("trips_time_out")), (0, 1))
        proxy.outcome(stream, 200)
        self.assertEqual(proxy.status[stream], "0")  # the call is complete
        self.assertEqual(self.world.count("extproc_outcomes_late"), 1)
        self.assertEqual(self.world.count("trips_delivered"), 0)

    def test_an_invalid_message_ends_only_its_call(self) -> None:
        proxy = Proxy(self)
        good = proxy.ask(1)
        for prefix, message, status in (
            (None, b"\xff\xff\xff", None),
            (struct.pack("!BI", 1, 2), b"xx", "12"),
            (struct.pack("!BI", 0, 10_485_760), b"x", "8"),
            (None, b"", None),
        ):
            stream = proxy.open()
            proxy.send(stream, message, prefix=prefix)
            proxy.flush()
            found = proxy.answer(stream) if status is None else proxy.status.get(stream)
            self.assertEqual(found, status or 400)
        early = proxy.open()
        proxy.send(early, response(200, False).SerializeToString())
        proxy.flush()
        self.assertEqual(proxy.status[early], "9")
        truncated = proxy.open()
        proxy.send(truncated, b"ab", end=True, prefix=struct.pack("!BI", 0, 9))
        proxy.flush()
        self.assertEqual(proxy.status[truncated], "3")
        unknown = proxy.open()
        extra = (
            request(ClientRequest(f"{9:016x}", False, 20.0), 2000).SerializeToString() + b"\xa2\x06\x03abc"
        )
        proxy.send(unknown, extra)
        proxy.flush()
        self.assertIsInstance(proxy.answer(unknown), str)
        proxy.outcome(good, 200)
        self.assertEqual(self.world.count("trips_delivered"), 1)

    def test_unknown_methods_and_excess_calls_are_refused(self) -> None:
        proxy = Proxy(self)
        stream = proxy.h2.get_next_available_stream_id()
        proxy.h2.send_headers(
            stream, [(name, b"/x" if name == b":path" else value) for name, value in REQUEST_HEADERS]
        )
        proxy.flush()
        self.assertEqual(proxy.status[stream], "12")
        self.server.admission.calls = self.bounds.max_calls
        late = proxy.open()
        proxy.flush()
        self.assertEqual(proxy.status[late], "8")

    def test_silent_streams_and_floods_of_resets_or_control_frames_are_ended(self) -> None:
        proxy = Proxy(self)
        stream = proxy.open()
        proxy.flush()
        self.world.go(2100)
        self.server.sweep()
        proxy.read()
        self.assertEqual(proxy.status[stream], "4")
        for _ in range(30):
            if not proxy.pipe.disconnecting:
                proxy.reset(proxy.open())
        self.assertTrue(proxy.pipe.disconnecting)
        pinger = Proxy(self)
        for number in range(60):
            if not pinger.pipe.disconnecting:
                pinger.h2.ping(struct.pack("!Q", number))
                pinger.flush()
        self.assertTrue(pinger.pipe.disconnecting)
        self.assertEqual(self.attempts_out(), 0)

    def test_a_response_is_split_by_a_small_flow_control_window(self) -> None:
        proxy = Proxy(self)
        proxy.h2.update_settings({4: 20})
        proxy.flush()
        stream = proxy.ask(1)
        self.assertIsNone(proxy.answer(stream))
        for _ in range(60):
            proxy.h2.increment_flow_control_window(20, stream)
            proxy.flush()
        self.assertIsInstance(proxy.answer(stream), str)

    def test_corrupt_bytes_end_only_their_connection(self) -> None:
        rng = random.Random(3)
        kept = Proxy(self)
        for _ in range(150):
            proxy = Proxy(self)
            proxy.open()
            text = bytearray(proxy.h2.data_to_send() + rng.randbytes(30))
            text[rng.randrange(len(text))] ^= 0xFF
            proxy.protocol.dataReceived(bytes(text))
            proxy.protocol.connectionLost()
        self.assertIsInstance(kept.answer(kept.ask(5)), str)
        self.assertEqual(self.server.admission.connections, 1)

    def test_graceful_shutdown_refuses_new_calls_and_finishes_open_ones(self) -> None:
        proxy = Proxy(self)
        stream = proxy.ask(1)
        self.server.stop()
        proxy.read()
        late = proxy.h2.get_next_available_stream_id()
        proxy.protocol.dataReceived(b"")
        self.assertGreater(late, stream)
        proxy.protocol.open_stream(late, REQUEST_HEADERS)
        proxy.protocol.dataReceived(self.frame(stream, response(200, False).SerializeToString()))
        self.world.go()
        self.assertEqual(self.world.count("trips_delivered"), 1)

    @staticmethod
    def frame(stream: int, message: bytes) -> bytes:
        text = struct.pack("!BI", 0, len(message)) + message
        return struct.pack("!I", len(text))[1:] + b"\0\0" + struct.pack("!I", stream) + text


class EarlySignals(unittest.TestCase):
    """Signals that arrive before the event loop runs are kept, also for `extproc serve`."""

    def setUp(self) -> None:
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
            self.addCleanup(signal.signal, number, signal.getsignal(number))
        self.kept = list[int]()
        self.enterContext(mock.patch.object(SIGNALS, "act", self.kept.append))
        signal.signal(signal.SIGHUP, signal.SIG_IGN)

    def test_from_the_first_line_until_the_settings_are_read(self) -> None:
        def sub_command(prog_name: str) -> None:
            signal.raise_signal(signal.SIGHUP)
            read = mock.patch("spurdeal.cli.main.load_installation", side_effect=LookupError)
            with read, self.assertRaises(LookupError):
                assert serve.callback is not None
                serve.callback("processor.yaml")
            signal.raise_signal(signal.SIGHUP)

        command = ["spurdeal", "extproc", "serve", "--settings", "processor.yaml"]
        with (
            mock.patch.object(sys, "argv", command),
            mock.patch("spurdeal.cli.main.spurdeal", sub_command),
            mock.patch("spurdeal.net.start.main", return_value=0),
        ):
            main()
        self.assertEqual(self.kept, [signal.SIGHUP, signal.SIGHUP])
