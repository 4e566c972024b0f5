"""One real dispatcher process of a rig: its life cycle, files and outages."""

from __future__ import annotations

import shutil
import signal
import subprocess
from dataclasses import dataclass, field
from pathlib import Path

from .emulated_links import HostPort
from .processes import Outages, cpu_seconds, start_dispatcher

PORT = 7001
WAIT = 2500.0  # ms: the deadline of clients
BEFORE, AFTER = 0.02, 0.3  # seconds by which an outage is extended at its start and at its end


@dataclass
class Process:
    """A dispatcher on a loopback address of its own.

    Attributes:
        folder: Where its files are.
        number: Its index among the dispatchers.
        revision: The revision of its configuration.
        outages: When it was killed or paused.
        replaced_disks: Former folders of its audit log.
    """

    name: str
    host: str
    folder: Path
    number: int
    child: subprocess.Popen[bytes] | None = None
    revision: int = 0
    outages: Outages = field(default_factory=Outages)
    replaced_disks: list[Path] = field(default_factory=list)

    @property
    def place(self) -> HostPort:
        """Its address for clients."""
        return self.host, PORT

    @property
    def log(self) -> Path:
        """The file of its log lines."""
        return self.folder / f"{self.name}.log"

    @property
    def disk(self) -> Path:
        """The folder of its audit log."""
        return self.folder / "audit" / self.name

    @property
    def clock(self) -> Path:
        """The file that shifts its wall clock."""
        return self.folder / f"{self.name}.clock"

    def running(self) -> subprocess.Popen[bytes]:
        """The process; it must have been started."""
        assert self.child is not None
        return self.child

    def runs(self) -> bool:
        """Whether it was started and has not ended; a paused process counts as running."""
        return self.child is not None and self.child.poll() is None

    def launch(self, configuration: str, installation: str, file: str) -> None:
        """Write its configuration and settings to files named after `file`, and start it."""
        platform, settings = self.folder / f"{file}.json", self.folder / f"{file}.yaml"
        platform.write_text(configuration)
        settings.write_text(installation)
        self.child = start_dispatcher(settings, platform, self.log)

    def kill(self) -> None:
        """Kill it with SIGKILL; an outage begins."""
        self.running().kill()
        self.running().wait()
        self.outages.begin(BEFORE)

    def pause(self) -> None:
        """Pause it with SIGSTOP; an outage begins."""
        self.running().send_signal(signal.SIGSTOP)
        self.outages.begin(BEFORE)

    def resume(self) -> None:
        """Resume it with SIGCONT; its outage ends after a margin."""
        self.running().send_signal(signal.SIGCONT)
        self.outages.end(AFTER)

    def end(self) -> None:
        """Kill it if it runs or is paused; no outage is recorded."""
        if self.runs():
            self.running().send_signal(signal.SIGCONT)
            self.running().kill()
            self.running().wait()

    def cpu(self) -> float:
        """CPU seconds that the current process has used; 0 if there is none."""
        if self.child is None:
            return 0.0
        try:
            return cpu_seconds(self.child.pid)
        except OSError:
            return 0.0

    def step_clock(self, ms: float) -> None:
        """Shift its wall clock by so many ms from the true time."""
        fresh = self.clock.with_suffix(".new")
        fresh.write_text(f"{ms}")
        fresh.rename(self.clock)

    def replace_disk(self, back: Path | None = None) -> Path:
        """Move the audit log away, so that the next start finds none, or the older copy `back`.

        Returns:
            The folder that the log was moved to.
        """
        aside = self.folder / "aside" / f"{self.name}-{len(self.replaced_disks)}"
        aside.parent.mkdir(exist_ok=True)
        shutil.move(self.disk, aside)
        self.replaced_disks.append(aside)
        if back is not None:
            shutil.copytree(back, self.disk)
        return aside

    def lines(self, event: str) -> list[tuple[float, dict[str, str]]]:
        """Its log lines of an event: their Unix time in s and their fields."""
        if not self.log.exists():
            return []
        found = []
        for line in self.log.read_text(errors="replace").splitlines():
            if f" event={event} " in line or line.endswith(f" event={event}"):
                pairs = dict(part.partition("=")[::2] for part in line.split(" ") if "=" in part)
                found.append((float(pairs["t"]), pairs))
        return found
