"""Model of an engine, free of I/O and clocks.

An engine runs all jobs at once by weighted processor sharing: a job uses at most as many cores as it has
threads, and cores that it cannot use go to the others. Work is in ms on one core. Past `knee` threads the
total throughput falls by a share per thread. Jobs that exceed the engine's memory spill, which adds to their
work. A job that loads a group of tables locks it, and jobs that read the group wait. A cold engine has part
of its capacity, and crashes if more work than its slow-start budget reaches it within a window. Times are ms.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

NEVER = float("inf")


class EngineModel(NamedTuple):
    """Parameters of an engine.

    Attributes:
        cores: Number of cores.
        knee: Running threads above which throughput falls; four threads a core.
        thrashing_per_thread: Share of the throughput lost for each thread above the knee.
        memory_mb: Memory of the engine.
        spill_overhead: Additional work of a job that spills, as a share of its work.
        max_sessions: Jobs above which the engine refuses more as full.
        cold_for: Length of the slow start.
        cold_share: Share of the capacity available during slow start.
        cold_multiple: Multiple of the cold capacity in a window that crashes a cold engine.
        cold_window: Length of that window.
    """

    cores: float = 8.0
    knee: float = 32.0
    thrashing_per_thread: float = 0.005
    memory_mb: float = NEVER
    spill_overhead: float = 0.5
    max_sessions: int = 400
    cold_for: float = 15_000.0
    cold_share: float = 0.3
    cold_multiple: float = 2.0
    cold_window: float = 1500.0


@dataclass(slots=True, eq=False)
class Job:
    """One attempt that runs on an engine.

    Attributes:
        ident: Its number.
        work: Its remaining work, in ms on one core.
        threads: Number of cores that it can use at most.
        weight: Its weight in the sharing of cores.
        memory_mb: Memory that it needs.
        table_group: Group of tables that it reads or loads; -1 for none.
        holds_tables: Whether it loads the tables of its group, which locks them.
        start_time: When it started.
        allocated_cores: Cores that it has now.
        waiting: Whether it waits for a load of its group.
        spilled: Whether it exceeded the engine's memory.
    """

    ident: int
    work: float
    threads: int = 1
    weight: float = 1.0
    memory_mb: float = 0.0
    table_group: int = -1
    holds_tables: bool = False
    start_time: float = 0.0
    allocated_cores: float = 0.0
    waiting: bool = False
    spilled: bool = False


@dataclass(slots=True)
class Engine:
    """State of one engine; call `advance` before reading it.

    Attributes:
        kind: Its parameters.
        start_time: When its slow start began; None for an engine that started long ago.
        updated_at: Time of the last `advance`.
        speed: Share of the normal speed; below 1 on a slow machine.
        hung: Whether it makes no progress.
        down: Whether it has crashed.
        overloaded: Whether it crashed because its slow-start budget was exceeded.
        jobs: Its jobs by number.
        peak_budget_use: Greatest share of the slow-start budget used in any window.
        completed_work: Work done in all.
        job_time: Integral of the number of jobs over time, for Little's law.
        recent_arrivals: Time and work of the arrivals in the last window of the slow start.
    """

    kind: EngineModel
    start_time: float | None = None
    updated_at: float = 0.0
    speed: float = 1.0
    hung: bool = False
    down: bool = False
    overloaded: bool = False
    jobs: dict[int, Job] = field(default_factory=dict)
    max_budget_used: float = 0.0
    completed_work: float = 0.0
    job_time: float = 0.0
    recent_arrivals: deque[tuple[float, float]] = field(default_factory=deque)

    def is_cold(self, now: float) -> bool:
        """Tells whether it is in slow start."""
        return self.start_time is not None and now < self.start_time + self.kind.cold_for

    def capacity(self, now: float) -> float:
        """Returns the work that it can do now per ms, given its running threads."""
        if self.hung or self.down:
            return 0.0
        threads = sum(job.threads for job in self.jobs.values() if not job.waiting)
        efficiency = max(0.2, 1.0 - self.kind.thrashing_per_thread * max(0.0, threads - self.kind.knee))
        return (
            self.kind.cores * self.speed * efficiency * (self.kind.cold_share if self.is_cold(now) else 1.0)
        )

    # Events.

    def start(self, now: float, job: Job) -> bool:
        """Starts a job. Returns False if it is full or down; nothing ran then. Call `advance` first."""
        assert now == self.updated_at
        if self.down or len(self.jobs) >= self.kind.max_sessions:
            return False
        job.start_time = now
        if sum(other.memory_mb for other in self.jobs.values()) + job.memory_mb > self.kind.memory_mb:
            job.work, job.spilled = job.work * (1 + self.kind.spill_overhead), True
        job.waiting = (
            any(other.holds_tables and other.table_group == job.table_group for other in self.jobs.values())
            if job.table_group >= 0
            else False
        )
        self.jobs[job.ident] = job
        self.record_arrival(now, job.work)
        self.allocate_cores(now)
        return not self.down

    def record_arrival(self, now: float, work: float) -> None:
        """Rule 4: adds work to a cold engine's window, and crashes the engine if its budget is exceeded."""
        if not self.is_cold(now):
            return
        self.recent_arrivals.append((now, work))
        while self.recent_arrivals[0][0] <= now - self.kind.cold_window:
            self.recent_arrivals.popleft()
        limit = self.kind.cold_multiple * self.kind.cores * self.kind.cold_share * self.kind.cold_window
        self.max_budget_used = max(
            self.max_budget_used, sum(each for _, each in self.recent_arrivals) / limit
        )
        if self.max_budget_used > 1.0:
            self.overloaded = True
            self.crash(now)

    def crash(self, now: float) -> list[Job]:
        """Crashes the engine; returns the jobs that are lost."""
        lost, self.jobs, self.down = list(self.jobs.values()), {}, True
        return lost

    def cancel(self, now: float, ident: int) -> None:
        """Cancels a job, if it still runs."""
        self.advance(now)
        if (job := self.jobs.pop(ident, None)) is not None:
            self.release_tables(job)
            self.allocate_cores(now)

    def advance(self, now: float) -> list[Job]:
        """Advances to a time; returns the jobs completed by then. To be called at next_completion_at, too."""
        assert now >= self.updated_at
        passed = now - self.updated_at
        self.job_time += len(self.jobs) * passed
        ended = []
        for job in self.jobs.values():
            step = job.allocated_cores * passed
            job.work -= step
            self.completed_work += step
            if job.work <= 1e-6 and not job.waiting:
                ended.append(job)
        self.updated_at = now
        if ended:
            for job in ended:
                del self.jobs[job.ident]
                self.release_tables(job)
        if ended or (self.start_time is not None and passed):
            self.allocate_cores(now)
        return ended

    def release_tables(self, job: Job) -> None:
        """Wakes the jobs that waited for the tables that this job loaded."""
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
        """Returns when the next job completes or the slow start ends, if nothing else happens."""
        soonest = min(
            (job.work / job.allocated_cores for job in self.jobs.values() if job.allocated_cores > 0),
            default=NEVER,
        )
        end = self.updated_at + max(0.0, soonest)
        if self.start_time is not None and self.updated_at < self.start_time + self.kind.cold_for:
            return min(end, self.start_time + self.kind.cold_for) if self.jobs else NEVER
        return end

    def allocate_cores(self, now: float) -> None:
        """Allocates cores by weight, capped by each job's threads; fewest threads per weight first."""
        running = [job for job in self.jobs.values() if not job.waiting]
        for job in self.jobs.values():
            job.allocated_cores = 0.0
        left, weight = self.capacity(now), sum(job.weight for job in running)
        factor = left / self.kind.cores if self.kind.cores else 0.0
        if not running or left <= 0:
            return
        # A thread gets at most one core, and the cores of a slow, cold or thrashing engine do less work.
        for job in sorted(running, key=lambda each: each.threads / each.weight):
            job.allocated_cores = min(job.threads * factor, left * job.weight / weight)
            left, weight = left - job.allocated_cores, weight - job.weight
