"""One real dispatcher of a rig: its starts and ends, its files, and when it was not to be counted on."""

from __future__ import annotations

import shutil
import signal
import subprocess
from dataclasses import dataclass, field
from pathlib import Path

from .cables import Place
from .processes import Outages, cpu_seconds, start_dispatcher

PORT = 7001
WAIT = 2500.0  # ms until a client gives up
BEFORE, AFTER = 0.02, 0.3  # seconds that an outage is taken for longer than it was seen to be


@dataclass
class Process:
    """A dispatcher by name, on a loopback address of its own.

    Attributes:
        number: Its place among the balancers.
        revision: Of its configuration.
        outages: When it was killed or stood still.
        asides: Audit logs that were taken away from it.
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
    def place(self) -> Place:
        """Where its clients reach it."""
        return self.host, PORT

    @property
    def log(self) -> Path:
        """Its log lines."""
        return self.folder / f"{self.name}.log"

    @property
    def disk(self) -> Path:
        """Its audit log's folder."""
        return self.folder / "audit" / self.name

    @property
    def clock(self) -> Path:
        """The file that shifts its clock."""
        return self.folder / f"{self.name}.clock"

    def running(self) -> subprocess.Popen[bytes]:
        """The process itself; it was started."""
        assert self.child is not None
        return self.child

    def runs(self) -> bool:
        """Whether it was started and has not ended; one that stands still runs."""
        return self.child is not None and self.child.poll() is None

    def launch(self, configuration: str, installation: str, file: str) -> None:
        """Start it with these files' contents; `file` names them."""
        told, settings = self.folder / f"{file}.json", self.folder / f"{file}.yaml"
        told.write_text(configuration)
        settings.write_text(installation)
        self.child = start_dispatcher(settings, told, self.log)

    def kill(self) -> None:
        """SIGKILL."""
        self.running().kill()
        self.running().wait()
        self.outages.begin(BEFORE)

    def pause(self) -> None:
        """It stands still."""
        self.running().send_signal(signal.SIGSTOP)
        self.outages.begin(BEFORE)

    def resume(self) -> None:
        """It goes on in the middle of whatever it did."""
        self.running().send_signal(signal.SIGCONT)
        self.outages.end(AFTER)

    def end(self) -> None:
        """At the end of all, also where it stands still."""
        if self.runs():
            self.running().send_signal(signal.SIGCONT)
            self.running().kill()
            self.running().wait()

    def cpu(self) -> float:
        """Seconds of a core that this start has used."""
        if self.child is None:
            return 0.0
        try:
            return cpu_seconds(self.child.pid)
        except OSError:
            return 0.0

    def step_clock(self, ms: float) -> None:
        """Its Unix time is so far on from here."""
        fresh = self.clock.with_suffix(".new")
        fresh.write_text(f"{ms}")
        fresh.rename(self.clock)

    def replace_disk(self, back: Path | None = None) -> Path:
        """The disk is empty at its next start, or as it was when `back` was copied. What was there is
        kept, in the folder that is returned."""
        aside = self.folder / "aside" / f"{self.name}-{len(self.replaced_disks)}"
        aside.parent.mkdir(exist_ok=True)
        shutil.move(self.disk, aside)
        self.replaced_disks.append(aside)
        if back is not None:
            shutil.copytree(back, self.disk)
        return aside

    def lines(self, event: str) -> list[tuple[float, dict[str, str]]]:
        """Its log lines of an event: Unix s, and their pairs."""
        if not self.log.exists():
            return []
        found = []
        for line in self.log.read_text(errors="replace").splitlines():
            if f" event={event} " in line or line.endswith(f" event={event}"):
                pairs = dict(part.partition("=")[::2] for part in line.split(" ") if "=" in part)
                found.append((float(pairs["t"]), pairs))
        return found
