"""The dispatcher is a single process started by exec and makes no system call that operators forbid."""

import json
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
from http.client import HTTPConnection
from pathlib import Path
from urllib.request import urlopen

from tests.processes import ROOT, Addresses, ProcessCase

FORBIDDEN = {
    "a fork": "import os; os.fork()",
    "another program": "import subprocess; subprocess.run(['true'])",
    "a program in place of this one": "import os; os.execv('/bin/true', ['true'])",
    "IPv6": "import socket; socket.socket(socket.AF_INET6)",
    "a Unix socket": "import socket; socket.socket(socket.AF_UNIX)",
    "a pair of Unix sockets": "import socket; socket.socketpair()",
    "sendfile": "import os; a, b = os.pipe(); os.sendfile(b, a, 0, 1)",
    "splice": "import os; a, b = os.pipe(); os.splice(a, b, 1)",
    "io_uring": "import ctypes; ctypes.CDLL(None).syscall(425, 1, 0)",
}
ALLOWED = (
    "import socket, threading; socket.socket(); socket.socket(type=socket.SOCK_DGRAM); "
    "t = threading.Thread(target=print); t.start(); t.join()"
)


class Confined(ProcessCase):
    addresses = Addresses.in_subnet(62)

    def setUp(self) -> None:
        super().setUp()
        self.configure()

    def test_run_ends_in_one_process_by_exec_linked_against_the_c_library(self) -> None:
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        child = self.start("/bin/sh", "-c", run)
        self.await_ready(child)
        about = Path("/proc") / str(child.pid)
        self.assertIn(b"spurdeal", (about / "cmdline").read_bytes())
        self.assertNotIn(b"sh\0-c", (about / "cmdline").read_bytes())
        self.assertEqual([task.read_text() for task in about.glob("task/*/children") if task.read_text()], [])
        self.assertRegex((about / "maps").read_text(), r"/libc[.-]\S*so")
        child.send_signal(signal.SIGTERM)
        self.assertEqual(child.wait(30), 0)

    def test_a_running_dispatcher_does_nothing_that_is_refused(self) -> None:
        self.start_stand_ins()
        child = self.start(sys.executable, "-O", "tests/confined.py", "spurdeal")
        self.await_ready(child)
        client = HTTPConnection(self.addresses.dispatcher, self.addresses.port, timeout=10)
        for number in range(40):
            path = "/ops/load" if number % 8 == 0 else "/ops/lookup"
            client.request(
                "POST",
                path,
                "SELECT a FROM s_1.t -- cost=5",
                {"Req-Id": f"{number:016x}", "Req-Wait-Ms": "3000"},
            )
            answer = client.getresponse()
            self.assertEqual((answer.status, b'"result"' in answer.read()), (200, True))
            if number == 20:
                child.send_signal(signal.SIGHUP)
        with socket.create_connection((self.addresses.dispatcher, self.addresses.port)) as malformed:
            malformed.sendall(b"\0\xffnothing that can be read\r\n\r\n")
        with urlopen(
            f"http://{self.addresses.dispatcher}:{self.addresses.port}/counters", timeout=5
        ) as found:
            counters = json.load(found)
        client.close()
        self.assertEqual((counters["delivered"], counters["configurations_read"]), (40, 1))
        child.send_signal(signal.SIGTERM)
        log = child.communicate(timeout=30)[1]
        self.assertEqual(child.returncode, 0, log)

    def test_a_configuration_that_cannot_be_used_ends_it_the_same_way(self) -> None:
        self.configured.write_text("{")
        child = self.start(sys.executable, "-O", "tests/confined.py", "spurdeal")
        log = child.communicate(timeout=30)[1]
        self.assertEqual((child.returncode, log.count("\n")), (2, 1), log)

    def test_each_planted_call_ends_the_process(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            for name, text in [*FORBIDDEN.items(), ("what is allowed", ALLOWED)]:
                with self.subTest(name):
                    (Path(folder) / "planted.py").write_text(text)
                    done = subprocess.run(
                        [sys.executable, str(ROOT / "tests" / "confined.py"), "planted"],
                        cwd=folder,
                        capture_output=True,
                        text=True,
                        timeout=30,
                        check=False,
                    )
                    self.assertEqual(done.returncode, 0 if text == ALLOWED else -signal.SIGSYS, done.stderr)
