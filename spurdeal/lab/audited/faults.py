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
CLOCK_STEP = 3.6e6  # ms
FIRST_TWIN = 100  # the number of the first second process of a name
GROWTH = 2  # dispatchers that come and go again


class Span(NamedTuple):
    """A time of one dispatcher, Unix s."""

    name: str
    began: float
    ended: float


class Faults:
    """Injects faults, and keeps what the judgement needs to know of them."""

    def __init__(self, rig: Rig, seed: int) -> None:
        self.rig, self.chance = rig, random.Random(seed)
        self.processes = rig.processes
        self.isolated: list[Span] = []  # who could not be reached by anything
        self.may_shut_out: list[Span] = []
        self.old_disks: dict[str, Path] = {}
        self.twins: list[Process] = []
        self.clashes = 0

    def inject(self, kind: str, targets: list[str]) -> Iterator[float]:
        """One fault, as a script of seconds to wait.

        Args:
            kind: One of KINDS.
            targets: Filled in with the dispatchers that it hits.
        """
        script: Iterator[float] = getattr(self, kind)(targets)
        return script

    def copy_disks(self) -> None:
        """Keep each disk as it is now, for `old_disk`."""
        for name, process in self.processes.items():
            if process.disk.exists():
                self.old_disks[name] = self.rig.folder / "yesterday" / name
                shutil.copytree(process.disk, self.old_disks[name])

    def end(self) -> None:
        """Kill what the rig does not know of."""
        for twin in self.twins:
            if twin.runs() and twin.child is not None:
                twin.child.kill()

    def some(self, count: int) -> list[str]:
        """So many of the dispatchers that run, by chance; all where they are fewer."""
        names = [name for name, process in self.processes.items() if process.runs()]
        return self.chance.sample(names, min(count, len(names)))

    def change(self) -> None:
        """The list changes; every second time an engine that drains goes, and a cold one comes."""
        self.rig.release("drain" if len(self.rig.released) % 2 == 0 else "replace")

    # The faults. Each fills in whom it hits, and leaves healing to the run.

    def kill(self, targets: list[str]) -> Iterator[float]:
        """It is killed and starts anew."""
        targets += self.some(1)
        self.rig.kill(targets[0])
        self.change()
        yield 1.5
        self.rig.start(targets[0])
        yield 1.0

    def pause(self, targets: list[str]) -> Iterator[float]:
        """Longer than its lease, and it resumes in the middle of whatever it did."""
        targets += self.some(1)
        self.rig.pause(targets[0])
        began = time.time()
        self.change()
        yield 2.5
        self.rig.resume(targets[0])
        self.isolated.append(Span(targets[0], began, time.time()))
        yield 1.0

    def blip(self, targets: list[str]) -> Iterator[float]:
        """Shorter than its lease: nothing follows."""
        targets += self.some(2)
        for name in targets:
            self.rig.pause(name)
        yield 0.4
        for name in targets:
            self.rig.resume(name)
        yield 0.8

    def deaf(self, targets: list[str]) -> Iterator[float]:
        """It is heard and hears nobody, nor its name service."""
        targets += self.some(1)
        began = time.time()
        self.rig.cables.cut(list(self.processes), targets)
        self.rig.names[targets[0]].silent = True
        self.change()
        yield 2.0
        self.rig.cables.heal()
        self.rig.set_following(targets, False)  # its name service says what is old: peers must bring it up
        self.rig.names[targets[0]].silent = False
        self.isolated.append(Span(targets[0], began, time.time()))
        yield 1.5

    def mute(self, targets: list[str]) -> Iterator[float]:
        """It hears all and nobody hears it."""
        targets += self.some(1)
        began = time.time()
        self.rig.cables.cut(targets, list(self.processes))
        yield 2.0
        self.rig.cables.heal()
        self.isolated.append(Span(targets[0], began, time.time()))
        yield 1.0

    def alone(self, targets: list[str]) -> Iterator[float]:
        """Cut off from all and from its name service, until it is shut out."""
        targets += self.some(1)
        began = time.time()
        self.rig.cables.cut(list(self.processes), targets)
        self.rig.cables.cut(targets, list(self.processes))
        self.rig.names[targets[0]].silent = True
        self.change()
        yield 4.5
        self.rig.cables.heal()
        self.rig.names[targets[0]].silent = False
        self.isolated.append(Span(targets[0], began, time.time()))
        self.may_shut_out.append(Span(targets[0], began + 2.0, time.time() + 1.0))
        yield 1.2

    def halves(self, targets: list[str]) -> Iterator[float]:
        """Seven to five, or as near as it goes; the smaller part's name service stops telling."""
        targets += self.some(round(len(self.processes) * 5 / 12))
        rest = [name for name in self.processes if name not in targets]
        began = time.time()
        self.rig.cables.cut(rest, targets)
        self.rig.cables.cut(targets, rest)
        self.rig.set_following(targets, False)
        self.change()
        yield 2.0
        self.rig.cables.heal()
        self.isolated += [Span(name, began, time.time()) for name in targets]
        yield 2.0

    def noise(self, targets: list[str]) -> Iterator[float]:
        """Datagrams are lost, repeated and late everywhere."""
        usual = self.rig.cables.usual
        usual.loss, usual.repeat, usual.delay = 0.2, 0.1, 30.0
        targets += self.some(2)
        self.rig.set_following(targets, False)
        self.change()
        yield 2.5

    def old_half(self, targets: list[str]) -> Iterator[float]:
        """The name service goes on telling half of the fleet an old list."""
        targets += self.some(len(self.processes) // 2)
        self.rig.set_following(targets, False)
        self.change()
        yield 2.0

    def away(self, targets: list[str]) -> Iterator[float]:
        """The name service says nothing to anybody."""
        for names in self.rig.names.values():
            names.silent = True
        yield 2.0
        for names in self.rig.names.values():
            names.silent = False

    def empty_disk(self, targets: list[str]) -> Iterator[float]:
        """It starts anew without its audit log."""
        targets += self.some(1)
        self.rig.kill(targets[0])
        if self.processes[targets[0]].disk.exists():
            self.rig.replace_disk(targets[0])
        self.rig.start(targets[0])
        yield 1.5

    def old_disk(self, targets: list[str]) -> Iterator[float]:
        """Its disk is put back as it was long ago."""
        targets += self.some(1)
        self.rig.kill(targets[0])
        if targets[0] in self.old_disks:
            self.rig.replace_disk(targets[0], self.old_disks[targets[0]])
        self.rig.start(targets[0])
        yield 1.5

    def disk_full(self, targets: list[str]) -> Iterator[float]:
        """No file of it may grow: each write fails."""
        targets += self.some(1)
        process = self.processes[targets[0]]
        assert process.child is not None
        free = (resource.RLIM_INFINITY, resource.RLIM_INFINITY)
        resource.prlimit(process.child.pid, resource.RLIMIT_FSIZE, (1, resource.RLIM_INFINITY))
        yield 1.5
        resource.prlimit(process.child.pid, resource.RLIMIT_FSIZE, free)
        yield 0.8

    def clock_step(self, targets: list[str]) -> Iterator[float]:
        """Its clock goes an hour on or back, and is put right."""
        targets += self.some(1)
        self.rig.step_clock(targets[0], self.chance.choice((CLOCK_STEP, -CLOCK_STEP)))
        self.change()
        yield 2.5
        self.rig.step_clock(targets[0], 0.0)
        yield 1.0

    def rolling(self, targets: list[str]) -> Iterator[float]:
        """Three in ten restart together."""
        targets += self.some(max(1, round(0.29 * len(self.processes))))
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
        """A new configuration got to a third of the fleet only."""
        targets += self.some(len(self.processes) // 3)
        for name in targets:
            self.processes[name].revision += 1
            self.rig.kill(name)
            self.rig.start(name)
        yield 2.0

    def twin(self, targets: list[str]) -> Iterator[float]:
        """Another process under a name that is taken, on a host of its own."""
        targets += self.some(1)
        if not self.rig.fleet_on:
            yield 2.0
            return
        twin = self.start_twin(targets[0])
        yield 2.5
        assert twin.child is not None
        twin.child.kill()
        twin.child.wait()
        if self.rig.lines(targets[0], "fleet_name_yielded"):  # only just started: the other came first
            self.rig.kill(targets[0])

    def start_twin(self, name: str) -> Process:
        """A second process of that name, with a plug of its own."""
        number = FIRST_TWIN + len(self.twins)
        host = self.rig.network.host(self.rig.subnet, number)
        twin = Process(name, host, self.rig.folder / f"twin-{number}", number)
        twin.folder.mkdir()
        self.rig.cables.add(name + "'", twin.host)
        self.rig.launch(twin, "twin")
        self.twins.append(twin)
        return twin

    def clash(self, targets: list[str]) -> Iterator[float]:
        """One is told other content under the number that all others get."""
        targets += self.some(1)
        names = self.rig.names[targets[0]]
        self.rig.set_following(targets, False)
        names.endpoints, names.serial = list(self.rig.list.endpoints[:-1]), self.rig.list.serial + 1
        yield 0.4
        self.change()
        self.clashes += 1
        yield 1.2
        self.change()  # the next number ends it
        self.rig.set_following(targets, True)
        yield 0.5

    def liar(self, targets: list[str]) -> Iterator[float]:
        """One acts on a number that cannot be; it is put right by a new start."""
        targets += self.some(1)
        names = self.rig.names[targets[0]]
        self.rig.set_following(targets, False)
        names.serial = self.rig.list.serial + 5_000_000
        yield 1.5
        self.rig.set_following(targets, True)
        self.rig.kill(targets[0])
        self.rig.start(targets[0])
        yield 1.0

    def grow(self, targets: list[str]) -> Iterator[float]:
        """Two more come, and go again."""
        for number in range(self.rig.count, self.rig.count + GROWTH):
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
        """One that is behind hears only another, which alone hears the rest."""
        targets += self.some(2)
        rest = [name for name in self.processes if name not in targets]
        began = time.time()
        self.rig.set_following(targets, False)
        self.rig.cables.cut(rest, targets[:1])
        self.rig.cables.cut(targets[:1], rest)
        self.change()
        yield 2.0
        self.isolated.append(Span(targets[0], began, time.time()))
