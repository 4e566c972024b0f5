"""Child processes of the lab: real dispatchers, and modules that print their figures as JSON."""

from __future__ import annotations

import json
import math
import os
import subprocess
import sys
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any


class RunFailedError(RuntimeError):
    """A module that was run for its figures returned none."""


class Outages:
    """When a process was killed or paused: spans in Unix s, the last of which may be open."""

    def __init__(self) -> None:
        self.spans: list[tuple[float, float]] = []

    def begin(self, margin: float = 0.0) -> None:
        """Begin an outage now, or `margin` seconds ago."""
        self.spans.append((time.time() - margin, math.inf))

    def end(self, margin: float = 0.0) -> None:
        """End the open outage, if any, now or in `margin` seconds."""
        if self.spans and self.spans[-1][1] == math.inf:
            self.spans[-1] = (self.spans[-1][0], time.time() + margin)

    def add(self, began: float, ended: float) -> None:
        """Add an outage that has ended."""
        self.spans.append((began, ended))

    def overlap(self, began: float, ended: float) -> bool:
        """Whether any outage overlaps this span."""
        return any(start < ended and began < end for start, end in self.spans)


def start_dispatcher(
    settings: Path, configuration: Path, log: Path, command: Sequence[str] = ("run",)
) -> subprocess.Popen[bytes]:
    """Start a dispatcher; its standard error is appended to `log`.

    Args:
        settings: The operator's settings file.
        configuration: The platform's configuration file, passed in ROUTER_CONFIG.
        log: The file for its standard error.
        command: The sub-command of `spurdeal`.
    """
    with open(log, "ab") as out:
        return subprocess.Popen(
            [sys.executable, "-O", "-m", "spurdeal", *command, "--settings", str(settings)],
            stderr=out,
            stdin=subprocess.DEVNULL,
            env=os.environ | {"ROUTER_CONFIG": str(configuration)},
        )


def cpu_seconds(pid: int) -> float:
    """User and system seconds that a process has used.

    Raises:
        OSError: There is no such process.
    """
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def run_module(
    module: str, arguments: Sequence[str], timeout: float, say: Callable[[str], None]
) -> dict[str, Any]:
    """Run a module in a process of its own, as Twisted's reactor cannot be restarted.

    Args:
        module: Its dotted name.
        arguments: Its command-line arguments.
        timeout: Seconds until it is killed.
        say: Called with each line that it printed before its figures.

    Returns:
        The figures: its last line of output, a JSON object.

    Raises:
        RunFailedError: It exited with a code other than 0, without figures, or with a "fault" among them.
        subprocess.TimeoutExpired: It took too long.
    """
    done = subprocess.run([sys.executable, "-m", module, *arguments], stdout=subprocess.PIPE, timeout=timeout)
    lines = done.stdout.decode().strip().splitlines()
    for line in lines[:-1]:
        say(line)
    found: dict[str, Any] = json.loads(lines[-1]) if lines else {"fault": f"code {done.returncode}"}
    if done.returncode or "fault" in found:
        raise RunFailedError(f"the run failed: {found.get('fault', done.returncode)}")
    return found
