"""Processes of the laboratory: dispatchers of the real program, and modules that print figures."""

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


class RunFailed(RuntimeError):
    """A module that was run for its figures gave none."""


class Outages:
    """When a process was not to be counted on: spans of Unix s, the last of which may go on."""

    def __init__(self) -> None:
        self.spans: list[tuple[float, float]] = []

    def begin(self, margin: float = 0.0) -> None:
        """From now on, or so many seconds before."""
        self.spans.append((time.time() - margin, math.inf))

    def end(self, margin: float = 0.0) -> None:
        """Until now, or so many seconds later, where one goes on."""
        if self.spans and self.spans[-1][1] == math.inf:
            self.spans[-1] = (self.spans[-1][0], time.time() + margin)

    def add(self, began: float, ended: float) -> None:
        """One that is over."""
        self.spans.append((began, ended))

    def overlap(self, began: float, ended: float) -> bool:
        """Whether one was on at any time between."""
        return any(start < ended and began < end for start, end in self.spans)


def start_dispatcher(
    settings: Path, configuration: Path, log: Path, command: Sequence[str] = ("run",)
) -> subprocess.Popen[bytes]:
    """Start a dispatcher; its standard error is appended to `log`.

    Args:
        settings: The operator's file.
        configuration: What the platform tells it, by ROUTER_CONFIG.
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
    """Run a module in a process of its own, as Twisted's reactor runs once.

    Args:
        module: Its dotted name.
        arguments: What it gets on its command line.
        timeout: Seconds until it is killed.
        say: Called with each line that it printed before its figures.

    Returns:
        The figures: its last line, an object in JSON.

    Raises:
        RunFailed: It ended with another code than 0, without figures, or with a "fault" among them.
        subprocess.TimeoutExpired: It took too long.
    """
    done = subprocess.run([sys.executable, "-m", module, *arguments], stdout=subprocess.PIPE, timeout=timeout)
    lines = done.stdout.decode().strip().splitlines()
    for line in lines[:-1]:
        say(line)
    found: dict[str, Any] = json.loads(lines[-1]) if lines else {"fault": f"code {done.returncode}"}
    if done.returncode or "fault" in found:
        raise RunFailed(f"the run ended with {found.get('fault', done.returncode)}")
    return found
