"""One model of an engine, free of I/O and clocks: sockets in real time and virtual time drive the same.

An engine runs all that it is sent at once, sharing its cores (the users' brief). Work is in ms on one core; a
job uses as many cores as it has threads at most, and the rest is shared by weight (processor sharing, filled
up from the narrowest). Past `knee` threads the work done in all falls by `fall` a thread (the thesis, its
throughput curves).
Memory beyond the engine's makes jobs spill: their work grows (choice). Loads hold a group of tables; what
reads it waits (the brief). A cold engine does part of its work and falls when pushed (the rules). Times are
ms."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

NEVER = float("inf")


class EngineModel(NamedTuple):
    """What a kind of engine is like; each figure's source stands in the module's docstring or beside it."""

    cores: float = 8.0
    knee: float = 32.0  # choice: four threads a core
    thrashing_per_thread: float = 0.005  # choice: of all work, a thread past the knee
    memory_mb: float = NEVER
    spill_overhead: float = 0.5  # choice: what lacks memory has half as much work again
    max_sessions: int = 400  # choice: more are turned away as full
    cold_for: float = 15_000.0
    cold_share: float = 0.3
    cold_multiple: float = 2.0
    cold_window: float = 1500.0


@dataclass(slots=True, eq=False)
class Job:
    """One attempt at an engine."""

    ident: int
    work: float  # ms on one core that are left
    threads: int = 1
    weight: float = 1.0
    memory_mb: float = 0.0
    table_group: int = -1
    holds_tables: bool = False  # it loads its group's tables
    start_time: float = 0.0
    allocated_cores: float = 0.0  # cores that it has now
    waiting: bool = False  # for a load of its group
    spilt: bool = False


@dataclass(slots=True)
class Engine:
    """One engine's state; `advance` before anything is asked of it."""

    kind: EngineModel
    start_time: float | None = None  # a late start: cold from then on; None: long ago
    updated_at: float = 0.0
    speed: float = 1.0  # a slow or sick machine
    hung: bool = False
    down: bool = False
    overloaded: bool = False
    jobs: dict[int, Job] = field(default_factory=dict)
    used_most: float = 0.0
    done_work: float = 0.0
    job_time: float = 0.0  # of jobs over time, for Little's law
    pressure: deque[tuple[float, float]] = field(default_factory=deque)

    def cold(self, now: float) -> bool:
        return self.start_time is not None and now < self.start_time + self.kind.cold_for

    def capacity(self, now: float) -> float:
        """Cores' worth of work that it does now, whatever it runs."""
        if self.hung or self.down:
            return 0.0
        threads = sum(job.threads for job in self.jobs.values() if not job.waiting)
        thrash = max(0.2, 1.0 - self.kind.thrashing_per_thread * max(0.0, threads - self.kind.knee))
        return self.kind.cores * self.speed * thrash * (self.kind.cold_share if self.cold(now) else 1.0)

    # Events.

    def start(self, now: float, job: Job) -> bool:
        """OpenRequest, or False: full or down, and nothing ran. Call `advance` first."""
        assert now == self.updated_at
        if self.down or len(self.jobs) >= self.kind.max_sessions:
            return False
        job.start_time = now
        if sum(other.memory_mb for other in self.jobs.values()) + job.memory_mb > self.kind.memory_mb:
            job.work, job.spilt = job.work * (1 + self.kind.spill_overhead), True
        job.waiting = (
            any(other.holds_tables and other.table_group == job.table_group for other in self.jobs.values())
            if job.table_group >= 0
            else False
        )
        self.jobs[job.ident] = job
        self.pushed(now, job.work)
        self.share(now)
        return not self.down

    def pushed(self, now: float, work: float) -> None:
        """Rule 4: all that reaches a cold engine in any window, against what it bears."""
        if not self.cold(now):
            return
        self.pressure.append((now, work))
        while self.pressure[0][0] <= now - self.kind.cold_window:
            self.pressure.popleft()
        most = self.kind.cold_multiple * self.kind.cores * self.kind.cold_share * self.kind.cold_window
        self.used_most = max(self.used_most, sum(each for _, each in self.pressure) / most)
        if self.used_most > 1.0:
            self.overloaded = True
            self.crash(now)

    def crash(self, now: float) -> list[Job]:
        lost, self.jobs, self.down = list(self.jobs.values()), {}, True
        return lost

    def cancel(self, now: float, ident: int) -> None:
        self.advance(now)
        if (job := self.jobs.pop(ident, None)) is not None:
            self.freed(job)
            self.share(now)

    def advance(self, now: float) -> list[Job]:
        """Lets time pass; the jobs that ended by now, in the order of their ends. Call it at `next_at`,
        too."""
        assert now >= self.updated_at
        passed = now - self.updated_at
        self.job_time += len(self.jobs) * passed
        ended = []
        for job in self.jobs.values():
            step = job.allocated_cores * passed
            job.work -= step
            self.done_work += step
            if job.work <= 1e-6 and not job.waiting:
                ended.append(job)
        self.updated_at = now
        if ended:
            for job in ended:
                del self.jobs[job.ident]
                self.freed(job)
        if ended or (self.start_time is not None and passed):
            self.share(now)
        return ended

    def freed(self, job: Job) -> None:
        if job.holds_tables:
            for other in self.jobs.values():
                if other.table_group == job.table_group and not any(
                    each.holds_tables
                    and each is not other
                    and each.table_group == other.table_group
                    and each.start_time < other.start_time
                    for each in self.jobs.values()
                ):
                    other.waiting = False

    def next_completion_at(self) -> float:
        """When the next job ends, if nothing else happens."""
        soonest = min(
            (job.work / job.allocated_cores for job in self.jobs.values() if job.allocated_cores > 0),
            default=NEVER,
        )
        end = self.updated_at + max(0.0, soonest)
        if self.start_time is not None and self.updated_at < self.start_time + self.kind.cold_for:
            return min(end, self.start_time + self.kind.cold_for) if self.jobs else NEVER
        return end

    def share(self, now: float) -> None:
        """Cores by weight, no job more than its threads: filled up from those that want least for their
        weight."""
        running = [job for job in self.jobs.values() if not job.waiting]
        for job in self.jobs.values():
            job.allocated_cores = 0.0
        left, weight = self.capacity(now), sum(job.weight for job in running)
        factor = left / self.kind.cores if self.kind.cores else 0.0
        if not running or left <= 0:
            return
        # One thread does at most what one core does: a slow, cold or thrashing engine's cores do less.
        for job in sorted(running, key=lambda each: each.threads / each.weight):
            job.allocated_cores = min(job.threads * factor, left * job.weight / weight)
            left, weight = left - job.allocated_cores, weight - job.weight
