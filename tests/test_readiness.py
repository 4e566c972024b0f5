"""What a start waits for, and what it does not, on running dispatchers.

Guards against a dispatcher that does not become ready without a name service, or that gives up on an
address which its predecessor still holds.
"""

import errno
import json
import signal
import socket
import subprocess
import sys
import unittest
from collections.abc import Callable
from http.client import HTTPConnection
from typing import Any, cast

from twisted.internet.error import CannotListenError

from spurdeal.net.logs import logger
from spurdeal.net.start import start_within
from tests.processes import NAMES_PORT, ROOT, Addresses, ProcessCase

UNUSED_PACKAGES = (  # by a dispatcher without a settings file
    "spurdeal.benchlink",
    "spurdeal.cli",
    "spurdeal.extproc",
    "spurdeal.fleet",
    "spurdeal.lab",
    "spurdeal.settings",
    "spurdeal.store",
    "spurdeal.vrrp",
    "multiprocessing",
    "sqlite3",
    "twisted.names",
    "twisted.trial",
    "twisted.web",
    "unittest",
    "xml",
)
LIST_MODULES = """
import json, sys
from spurdeal import __main__
from spurdeal.net import start
from twisted.internet import reactor
print(json.dumps(sorted(sys.modules)))
"""
WITHOUT_EXTRAS = """
import sys
ABSENT = "OpenSSL cryptography service_identity h2 click pydantic structlog".split()
class Absent:
    def find_spec(self, name, *_):
        if name.partition(".")[0] in ABSENT:
            raise ModuleNotFoundError(name)
sys.meta_path.insert(0, Absent())
"""


class Imports(unittest.TestCase):
    """What a dispatcher without a settings file imports."""

    def modules(self, script: str) -> list[str]:
        """Runs a script that prints the imported modules as JSON."""
        completed = subprocess.run(
            [sys.executable, "-O", "-c", script],
            capture_output=True,
            text=True,
            timeout=60,
            cwd=ROOT,
            check=True,
        )
        return cast(list[str], json.loads(completed.stdout))

    def test_no_unused_package_is_imported(self) -> None:
        found = self.modules(LIST_MODULES)
        self.assertIn("spurdeal.net.service", found)
        packages = tuple(f"{name}." for name in UNUSED_PACKAGES)
        self.assertEqual([name for name in found if name in UNUSED_PACKAGES or name.startswith(packages)], [])

    def test_it_starts_without_the_optional_dependencies(self) -> None:
        self.assertIn("twisted.internet.tcp", self.modules(WITHOUT_EXTRAS + LIST_MODULES))


class Discovery(ProcessCase):
    """The configured `known` engines are enough to start; no list from discovery is needed."""

    addresses = Addresses.in_subnet(66)

    def setUp(self) -> None:
        super().setUp()
        self.configure()

    def check_serves(self) -> None:
        """Checks that a dispatcher becomes ready, and answers a request with an engine of `known`."""
        child = self.start_dispatcher()
        self.await_ready(child)
        client = HTTPConnection(self.addresses.dispatcher, self.addresses.port, timeout=10)
        self.addCleanup(client.close)
        headers = {"Req-Id": f"{1:016x}", "Req-Wait-Ms": "5000"}
        client.request("POST", "/ops/lookup", "SELECT a FROM s_1.t -- cost=5", headers)
        self.assertEqual(client.getresponse().status, 200)

    def name_service(self) -> socket.socket:
        """Opens a socket at the name service's address, held by the test."""
        names = socket.socket(type=socket.SOCK_DGRAM)
        self.addCleanup(names.close)
        names.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        names.bind((self.addresses.names, NAMES_PORT))
        names.settimeout(10)
        return names

    def test_no_name_service_at_its_address(self) -> None:
        self.start_stand_ins(with_names=False)
        self.check_serves()

    def test_a_name_service_that_never_answers(self) -> None:
        self.start_stand_ins(with_names=False)
        names = self.name_service()
        self.check_serves()
        self.assertGreater(len(names.recv(512)), 0)

    def test_a_name_service_with_truncated_responses(self) -> None:
        self.start_stand_ins(with_names=False)
        names = self.name_service()
        child = self.start_dispatcher()
        for _ in range(3):
            query, client_address = names.recvfrom(512)
            names.sendto(query[:2] + b"\x84\x00" + query[4:14], client_address)
        self.await_ready(child)
        child.send_signal(signal.SIGTERM)
        log = child.communicate(timeout=30)[1]
        self.assertIn("event=bad_datagram", log)
        self.assertEqual(child.returncode, 0, log)


class AddressInUse(ProcessCase):
    """The listener of a predecessor is held by the test."""

    addresses = Addresses.in_subnet(67)

    def setUp(self) -> None:
        super().setUp()
        self.configure()
        self.predecessor = socket.socket()
        self.addCleanup(self.predecessor.close)
        self.predecessor.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.predecessor.bind((self.addresses.dispatcher, self.addresses.port))
        self.predecessor.listen(16)

    def start_with_address_in_use(self) -> subprocess.Popen[str]:
        """Starts a dispatcher and waits until it has logged that its address is in use."""
        child = self.start_dispatcher()
        assert child.stderr is not None
        self.assertIn("event=address_in_use", child.stderr.readline())
        return child

    def test_it_is_ready_once_the_address_is_free(self) -> None:
        child = self.start_with_address_in_use()
        self.predecessor.close()
        self.await_ready(child)

    def test_shutdown_requested_while_it_waits(self) -> None:
        child = self.start_with_address_in_use()
        child.send_signal(signal.SIGTERM)
        self.assertEqual(child.wait(30), 0)

    def test_ready_again_after_a_kill_amid_open_connections(self) -> None:
        self.predecessor.close()
        first = self.start_dispatcher()
        self.await_ready(first)
        clients = [
            socket.create_connection((self.addresses.dispatcher, self.addresses.port)) for _ in range(20)
        ]
        for client in clients:
            self.addCleanup(client.close)
            client.sendall(b"GET /alive HTTP/1.1\r\n\r\n")
        first.kill()
        self.await_ready(self.start_dispatcher())


class StubService:
    """Fails each start with the next of the given errors, then starts."""

    def __init__(self, *errors: int) -> None:
        self.errors = list(errors)
        self.log = logger("n1", sys.stderr)
        self.log.disabled = True
        self.starts = 0

    def start(self) -> None:
        self.starts += 1
        if self.errors:
            raise CannotListenError("127.0.0.1", 7001, OSError(self.errors.pop(0), "stub"))


class StartWithin(unittest.TestCase):
    """Which errors of a start are retried, and for how long."""

    def start_with(
        self, *errors: int, seconds: float = 10.0, termination_requested: Callable[[], bool] = lambda: False
    ) -> tuple[StubService, bool]:
        service = StubService(*errors)
        return service, start_within(seconds, cast(Any, service), termination_requested)

    def test_an_address_in_use_is_retried(self) -> None:
        service, started = self.start_with(errno.EADDRINUSE, errno.EADDRINUSE)
        self.assertEqual((service.starts, started), (3, True))

    def test_a_shortage_of_resources_is_retried(self) -> None:
        errors = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EAGAIN)
        service, started = self.start_with(*errors)
        self.assertEqual((service.starts, started), (len(errors) + 1, True))

    def test_not_beyond_the_time_limit(self) -> None:
        with self.assertRaises(CannotListenError):
            self.start_with(errno.EADDRINUSE, seconds=0.0)

    def test_another_error_is_not_retried(self) -> None:
        with self.assertRaises(CannotListenError):
            self.start_with(errno.EADDRNOTAVAIL)

    def test_not_after_shutdown_is_requested(self) -> None:
        service, started = self.start_with(errno.EADDRINUSE, termination_requested=lambda: True)
        self.assertEqual((service.starts, started), (1, False))


if __name__ == "__main__":
    unittest.main()
