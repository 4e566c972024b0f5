"""The external processor as a real process: a short lab run, and TLS certificate reload."""

import datetime
import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import grpc
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from envoy.service.ext_proc.v3 import external_processor_pb2_grpc as service

from spurdeal.lab.loopback import Network
from spurdeal.lab.proxy import ClientRequest, request
from tests.helpers import configuration

NETWORK = Network.of_this_process()
HOST, NAMES_HOST = NETWORK.host(63, 1), NETWORK.host(63, 9)
SETTINGS = """
name: n1
extproc:
  listen: {host}:7443
  tls: {{certificate: {folder}/cert.pem, key: {folder}/key.pem}}
"""


def certificate(folder: Path, name: str) -> bytes:
    """Create a self-signed certificate, write it with its key and return it as PEM."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])
    now = datetime.datetime.now(datetime.UTC)
    signed = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .add_extension(x509.SubjectAlternativeName([x509.DNSName("spurdeal")]), critical=False)
        .sign(key, hashes.SHA256())
    )
    pem: bytes = signed.public_bytes(serialization.Encoding.PEM)
    (folder / "cert.pem").write_bytes(pem)
    (folder / "key.pem").write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
        )
    )
    return pem


class Processes(unittest.TestCase):
    def test_a_short_lab_run(self) -> None:
        done = subprocess.run(
            [sys.executable, "-m", "spurdeal.lab.extproc_experiment", "tiny"],
            capture_output=True,
            text=True,
            timeout=120,
        )
        self.assertEqual(done.returncode, 0, done.stderr)
        found = json.loads(done.stdout.splitlines()[-1])
        for key in ("answers_missing", "answers_double", "irreversible_run_twice", "refused_unproven"):
            self.assertEqual(found[key], 0, found)
        self.assertEqual((found["kills"], found["ledger"]["torn_tails"]), (1, 1))
        self.assertGreater(found["irreversible_run"], 50)
        self.assertGreater(found["second_paths"], 5)
        self.assertGreater(found["ledger"]["recovered"], 10)

    def test_certificates_are_reloaded_in_service(self) -> None:
        temporary_folder = tempfile.TemporaryDirectory()
        self.addCleanup(temporary_folder.cleanup)
        folder = Path(temporary_folder.name)
        first = certificate(folder, "first")
        (folder / "n1.yaml").write_text(SETTINGS.format(host=HOST, folder=folder))
        (folder / "n1.json").write_text(
            json.dumps(configuration(0, listen=f"{HOST}:7302", nameserver=f"{NAMES_HOST}:5300"))
        )
        child = subprocess.Popen(
            [
                sys.executable,
                "-O",
                "-m",
                "spurdeal",
                "extproc",
                "serve",
                "--settings",
                str(folder / "n1.yaml"),
            ],
            stderr=subprocess.PIPE,
            text=True,
            env=os.environ | {"ROUTER_CONFIG": str(folder / "n1.json")},
        )
        self.addCleanup(child.kill)
        self.assertEqual(self.ask(first, 1, 15), 503)  # no engine: rejected before the caller's timeout
        second = certificate(folder, "second")
        child.send_signal(signal.SIGHUP)
        self.assertEqual(self.ask(second, 2, 10), 503)
        (folder / "key.pem").write_text("no key")
        child.send_signal(signal.SIGHUP)
        time.sleep(0.3)
        self.assertEqual(self.ask(second, 3, 5), 503)
        child.send_signal(signal.SIGTERM)
        log = child.communicate(timeout=15)[1]
        self.assertEqual(child.returncode, 0, log)
        self.assertIn("event=installation_kept", log)

    def ask(self, roots: bytes, number: int, within: float) -> Any:
        """The immediate response's status, once the server presents this certificate."""
        give_up_at = time.monotonic() + within
        while True:
            options = [("grpc.ssl_target_name_override", "spurdeal"), ("grpc.use_local_subchannel_pool", 1)]
            with grpc.secure_channel(f"{HOST}:7443", grpc.ssl_channel_credentials(roots), options) as channel:
                try:
                    answered = threading.Event()

                    def messages(answered: threading.Event = answered) -> Iterator[Any]:
                        yield request(ClientRequest(f"{number:016x}", False, 10.0), 1000)
                        answered.wait(5)  # the stream stays open while the call is queued

                    answers = service.ExternalProcessorStub(channel).Process(messages(), timeout=2)
                    status = next(iter(answers)).immediate_response.status.code
                    answered.set()
                    return status
                except (grpc.RpcError, StopIteration):
                    if time.monotonic() > give_up_at:
                        raise
                    time.sleep(0.05)
