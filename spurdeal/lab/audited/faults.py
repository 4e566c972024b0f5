"""The faults that are injected into a rig of real dispatchers."""

from __future__ import annotations

import random
import resource
import shutil
import time
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

from ..rig import Rig
from ..rig_process import Process

QUICK = ("kill", "pause", "deaf", "alone", "halves", "twin", "clash", "clock_step")
KINDS = (
    "kill",
    "pause",
    "blip",
    "deaf",
    "mute",
    "alone",
    "halves",
    "noise",
    "old_half",
    "away",
    "empty_disk",
    "old_disk",
    "disk_full",
    "clock_step",
    "rolling",
    "part_release",
    "twin",
    "clash",
    "liar",
    "grow",
    "chain_up",
)
CLOCK_STEP_MS = 3.6e6  # one hour
FIRST_TWIN_NUMBER = 100  # process number of the first duplicate of a dispatcher
JOINING_DISPATCHERS = 2  # dispatchers that join and leave in `grow`


class TimeSpan(NamedTuple):
    """A span of time of one dispatcher, in Unix s."""

    name: str
    started_at: float
    ended_at: float


class Faults:
    """Injects faults, and records what the evaluation needs.

    Attributes:
        isolated: When dispatchers were suspended or cut off from peers, in one direction or both.
        may_shut_out: When dispatchers may be shut out.
        old_disks: By dispatcher, a copy of its directory from the start of the run.
        twins: Duplicate processes of dispatchers.
        conflicts: Number of lists injected that conflict with another of the same version.
    """

    def __init__(self, rig: Rig, seed: int) -> None:
        self.rig, self.chance = rig, random.Random(seed)
        self.processes = rig.processes
        self.isolated: list[TimeSpan] = []
        self.may_shut_out: list[TimeSpan] = []
        self.old_disks: dict[str, Path] = {}
        self.twins: list[Process] = []
        self.conflicts = 0

    def inject(self, kind: str, targets: list[str]) -> Iterator[float]:
        """Inject one fault; yields the seconds to wait between its steps.

        Args:
            kind: One of KINDS.
            targets: The affected dispatchers are added to it.
        """
        steps: Iterator[float] = getattr(self, kind)(targets)
        return steps

    def save_disks(self) -> None:
        """Copy each dispatcher's directory, for `old_disk`."""
        for name, process in self.processes.items():
            if process.disk.exists():
                self.old_disks[name] = self.rig.folder / "yesterday" / name
                shutil.copytree(process.disk, self.old_disks[name])

    def end(self) -> None:
        """Kill the duplicate processes, which the rig does not manage."""
        for twin in self.twins:
            if twin.runs() and twin.child is not None:
                twin.child.kill()

    def pick_running(self, count: int) -> list[str]:
        """Choose so many running dispatchers at random, or all if fewer run."""
        names = [name for name, process in self.processes.items() if process.runs()]
        return self.chance.sample(names, min(count, len(names)))

    def change(self) -> None:
        """Change the list: drain an engine, or every second time replace the drained one by a cold one."""
        self.rig.release("drain" if len(self.rig.released) % 2 == 0 else "replace")

    # The faults. Each adds the affected dispatchers to targets; the run heals the network afterwards.

    def kill(self, targets: list[str]) -> Iterator[float]:
        """Kill and restart a dispatcher."""
        targets += self.pick_running(1)
        self.rig.kill(targets[0])
        self.change()
        yield 1.5
        self.rig.start(targets[0])
        yield 1.0

    def pause(self, targets: list[str]) -> Iterator[float]:
        """Suspend a dispatcher for longer than its lease."""
        targets += self.pick_running(1)
        self.rig.pause(targets[0])
        started_at = time.time()
        self.change()
        yield 2.5
        self.rig.resume(targets[0])
        self.isolated.append(TimeSpan(targets[0], started_at, time.time()))
        yield 1.0

    def blip(self, targets: list[str]) -> Iterator[float]:
        """Suspend two dispatchers for less than their lease, which must have no effect."""
        targets += self.pick_running(2)
        for name in targets:
            self.rig.pause(name)
        yield 0.4
        for name in targets:
            self.rig.resume(name)
        yield 0.8

    def deaf(self, targets: list[str]) -> Iterator[float]:
        """Cut off everything that a dispatcher receives from peers and its name server."""
        targets += self.pick_running(1)
        started_at = time.time()
        self.rig.cables.cut(list(self.processes), targets)
        self.rig.names[targets[0]].silent = True
        self.change()
        yield 2.0
        self.rig.cables.heal()
        self.rig.set_following(
            targets, False
        )  # its name server has an old list: it must get the new one from peers
        self.rig.names[targets[0]].silent = False
        self.isolated.append(TimeSpan(targets[0], started_at, time.time()))
        yield 1.5

    def mute(self, targets: list[str]) -> Iterator[float]:
        """Cut off everything that a dispatcher sends to its peers."""
        targets += self.pick_running(1)
        started_at = time.time()
        self.rig.cables.cut(targets, list(self.processes))
        yield 2.0
        self.rig.cables.heal()
        self.isolated.append(TimeSpan(targets[0], started_at, time.time()))
        yield 1.0

    def alone(self, targets: list[str]) -> Iterator[float]:
        """Isolate a dispatcher from its peers and its name server until it is shut out."""
        targets += self.pick_running(1)
        started_at = time.time()
        self.rig.cables.cut(list(self.processes), targets)
        self.rig.cables.cut(targets, list(self.processes))
        self.rig.names[targets[0]].silent = True
        self.change()
        yield 4.5
        self.rig.cables.heal()
        self.rig.names[targets[0]].silent = False
        self.isolated.append(TimeSpan(targets[0], started_at, time.time()))
        self.may_shut_out.append(TimeSpan(targets[0], started_at + 2.0, time.time() + 1.0))
        yield 1.2

    def halves(self, targets: list[str]) -> Iterator[float]:
        """Partition the fleet 7:5 or nearly so; the smaller part's name servers keep the old list."""
        targets += self.pick_running(round(len(self.processes) * 5 / 12))
        rest = [name for name in self.processes if name not in targets]
        started_at = time.time()
        self.rig.cables.cut(rest, targets)
        self.rig.cables.cut(targets, rest)
        self.rig.set_following(targets, False)
        self.change()
        yield 2.0
        self.rig.cables.heal()
        self.isolated += [TimeSpan(name, started_at, time.time()) for name in targets]
        yield 2.0

    def noise(self, targets: list[str]) -> Iterator[float]:
        """Lose, duplicate and delay datagrams on all links."""
        default_link = self.rig.cables.default_link
        default_link.loss, default_link.repeat, default_link.delay = 0.2, 0.1, 30.0
        targets += self.pick_running(2)
        self.rig.set_following(targets, False)
        self.change()
        yield 2.5

    def old_half(self, targets: list[str]) -> Iterator[float]:
        """Keep the old list at the name servers of half of the fleet."""
        targets += self.pick_running(len(self.processes) // 2)
        self.rig.set_following(targets, False)
        self.change()
        yield 2.0

    def away(self, targets: list[str]) -> Iterator[float]:
        """Silence all name servers."""
        for names in self.rig.names.values():
            names.silent = True
        yield 2.0
        for names in self.rig.names.values():
            names.silent = False

    def empty_disk(self, targets: list[str]) -> Iterator[float]:
        """Restart a dispatcher without its audit log."""
        targets += self.pick_running(1)
        self.rig.kill(targets[0])
        if self.processes[targets[0]].disk.exists():
            self.rig.replace_disk(targets[0])
        self.rig.start(targets[0])
        yield 1.5

    def old_disk(self, targets: list[str]) -> Iterator[float]:
        """Restart a dispatcher with an old copy of its directory."""
        targets += self.pick_running(1)
        self.rig.kill(targets[0])
        if targets[0] in self.old_disks:
            self.rig.replace_disk(targets[0], self.old_disks[targets[0]])
        self.rig.start(targets[0])
        yield 1.5

    def disk_full(self, targets: list[str]) -> Iterator[float]:
        """Make all writes of a dispatcher fail by limiting its file size."""
        targets += self.pick_running(1)
        process = self.processes[targets[0]]
        assert process.child is not None
        free = (resource.RLIM_INFINITY, resource.RLIM_INFINITY)
        resource.prlimit(process.child.pid, resource.RLIMIT_FSIZE, (1, resource.RLIM_INFINITY))
        yield 1.5
        resource.prlimit(process.child.pid, resource.RLIMIT_FSIZE, free)
        yield 0.8

    def clock_step(self, targets: list[str]) -> Iterator[float]:
        """Step a dispatcher's clock by an hour forwards or backwards, and back again."""
        targets += self.pick_running(1)
        self.rig.step_clock(targets[0], self.chance.choice((CLOCK_STEP_MS, -CLOCK_STEP_MS)))
        self.change()
        yield 2.5
        self.rig.step_clock(targets[0], 0.0)
        yield 1.0

    def rolling(self, targets: list[str]) -> Iterator[float]:
        """Restart three in ten dispatchers together."""
        targets += self.pick_running(max(1, round(0.29 * len(self.processes))))
        for name in targets:
            self.rig.stop(name)
        self.change()
        yield 1.6
        for name in targets:
            process = self.processes[name]
            if process.runs():
                self.rig.kill(name)
            self.rig.start(name)
        yield 1.0

    def part_release(self, targets: list[str]) -> Iterator[float]:
        """Release a new configuration to a third of the fleet only."""
        targets += self.pick_running(len(self.processes) // 3)
        for name in targets:
            self.processes[name].revision += 1
            self.rig.kill(name)
            self.rig.start(name)
        yield 2.0

    def twin(self, targets: list[str]) -> Iterator[float]:
        """Run a second process with the name of a running dispatcher, on another host."""
        targets += self.pick_running(1)
        if not self.rig.fleet_on:
            yield 2.0
            return
        twin = self.start_twin(targets[0])
        yield 2.5
        assert twin.child is not None
        twin.child.kill()
        twin.child.wait()
        if self.rig.lines(
            targets[0], "fleet_name_yielded"
        ):  # it had just started itself, and yielded the name to the other
            self.rig.kill(targets[0])

    def start_twin(self, name: str) -> Process:
        """Start a second process of that name, with a network port of its own."""
        number = FIRST_TWIN_NUMBER + len(self.twins)
        host = self.rig.network.host(self.rig.subnet, number)
        twin = Process(name, host, self.rig.folder / f"twin-{number}", number)
        twin.folder.mkdir()
        self.rig.cables.add(name + "'", twin.host)
        self.rig.launch(twin, "twin")
        self.twins.append(twin)
        return twin

    def clash(self, targets: list[str]) -> Iterator[float]:
        """Give one dispatcher a list with the same version as, and other content than, that of all others."""
        targets += self.pick_running(1)
        names = self.rig.names[targets[0]]
        self.rig.set_following(targets, False)
        names.endpoints, names.serial = list(self.rig.list.endpoints[:-1]), self.rig.list.serial + 1
        yield 0.4
        self.change()
        self.conflicts += 1
        yield 1.2
        self.change()  # the next version resolves the conflict
        self.rig.set_following(targets, True)
        yield 0.5

    def liar(self, targets: list[str]) -> Iterator[float]:
        """Give one dispatcher a list with an implausible version; a restart repairs it."""
        targets += self.pick_running(1)
        names = self.rig.names[targets[0]]
        self.rig.set_following(targets, False)
        names.serial = self.rig.list.serial + 5_000_000
        yield 1.5
        self.rig.set_following(targets, True)
        self.rig.kill(targets[0])
        self.rig.start(targets[0])
        yield 1.0

    def grow(self, targets: list[str]) -> Iterator[float]:
        """Let two more dispatchers join and leave."""
        for number in range(self.rig.count, self.rig.count + JOINING_DISPATCHERS):
            targets.append(f"d{number}")
            if targets[-1] not in self.processes:
                self.rig.add(number)
            self.rig.publish_list(targets[-1])
            self.rig.start(targets[-1])
        yield 2.0
        self.change()
        yield 0.5
        for name in targets:
            self.rig.stop(name)
        yield 1.5
        for name in targets:
            if self.processes[name].runs():
                self.rig.kill(name)

    def chain_up(self, targets: list[str]) -> Iterator[float]:
        """Let an outdated dispatcher reach only one peer, which alone reaches the others."""
        targets += self.pick_running(2)
        rest = [name for name in self.processes if name not in targets]
        started_at = time.time()
        self.rig.set_following(targets, False)
        self.rig.cables.cut(rest, targets[:1])
        self.rig.cables.cut(targets[:1], rest)
        self.change()
        yield 2.0
        self.isolated.append(TimeSpan(targets[0], started_at, time.time()))
