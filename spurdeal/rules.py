"""All decisions of a dispatcher: what runs, on which engine, when, with which terms.

A link makes one Dispatcher per start, reports events by the calls of `interface.Rules`, closes each batch of them
with turn(), and carries out what it is asked through `interface.Link`; the types are in interface.py.
A submission passes the stages in the order of Dispatcher.chain, each passing it on (True), keeping it or ending
it (False); what comes back from a trip runs through them the other way. docs/design.md has the reasons.
"""

from __future__ import annotations

from bisect import insort
from collections import deque
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from .histogram import Histogram
from .interface import WAITS_FOR_LOAD, Arrival, Deployment, Effect, Ending, Life, Link, Listed, Reach, Word, Workload

INTERVAL = 5000.0  # between two moves of n*
GAIN_C = 0.4  # C: the least gain in P per gain in n*
START_THREADS = 2.0  # n* starts at this many threads a core, over all dispatchers
PRESSURE = 1.8  # pressure: half of the work runs this many times longer than at its best
PRESSURE_HOLD = 1000.0  # how long pressure stays once shown
UNSEEN = 1.25  # own threads out, in n*, beyond which an engine counts as pressed before its answers can show it
CHEAP_MARK = 1.5  # cost mark: this many times the usual cost of the lightest workload
COST_WEIGHT = 2.0  # held line: each ms of cost per utility counts as this many ms of age
RIPE = 600.0  # a held one of this age has room kept for it
LOOK_AHEAD = 60  # how many of the held line are tried at each turn
TICK = 50.0
PACE_EDGES = tuple(0.25 * 1.15**step for step in range(40))  # time taken over time expected
BEST_SHARE, BEST_SAMPLES, BEST_DRIFT = 0.25, 15.0, 1.1
PACE_SAMPLES = 6.0
SLOW = 3.0  # an engine this many times slower than the middle one is set aside
STRIKES = 3.0
ASIDE, ASIDE_RANDOM = 3000.0, 3000.0
SILENCE, SILENCE_OF_DUE = 2000.0, 4.0
COLD_MARGIN = 0.5  # of our share of what a cold engine bears
CAPACITY_SHARE, SPEED_FLOOR = 0.85, 0.8
FURTHER_EACH, FURTHER_SUCCESS, FURTHER_MOST = 0.05, 0.25, 30.0
LEAST_LEFT = 2 * TICK  # a held one is answered this long before its expiry
LATE_WORTH_IT = 0.25  # less of its utility than this when late, and a hopeless submission is shed
CHEAP_PRIORITY, HEAVY_PRIORITY = 3, 1
NEVER_RAN = (Ending.FULL, Ending.UNREACHED, Ending.MOOT)
MAY_RUN_ON = (Ending.TIME_OUT, Ending.RESET, Ending.CALLED_OFF)


class Chance:
    """A linear congruential generator; only its high bits are used."""

    def __init__(self, seed: int) -> None:
        self.state = seed & (1 << 64) - 1
        self.draw()

    def draw(self) -> float:
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) & (1 << 64) - 1
        return (self.state >> 40) / (1 << 24)


@dataclass(slots=True, eq=False)
class Trip:
    submission: Submission
    number: int
    engine: Engine
    sent: float
    due: float  # how long it takes at its best
    further: bool
    called_off: bool = False
    blocked: bool = False


@dataclass(slots=True, eq=False)
class Submission:
    number: int
    kind: int
    workload: Workload
    customer: int
    key: int
    expiry: float
    cost: float
    memory: float
    group: int
    taken: float
    agreed: float = 0.0
    due: float = 0.0
    utility: float = 0.0
    cheap: bool = False
    late: bool = False
    over: bool = False
    begun: bool = False
    made: int = 0
    rank: tuple[float, int] = (0.0, 0)
    out: dict[int, Trip] = field(default_factory=dict)
    ran: Engine | None = None  # the engine of the first trip that may have run
    ran_since: float = 0.0
    avoid: list[Engine] = field(default_factory=list)

    @property
    def in_line(self) -> bool:
        return self.workload.in_order and self.key != 0

    def __lt__(self, other: Submission) -> bool:
        return self.number < other.number


class Engine:
    """One engine as this dispatcher sees it."""

    def __init__(self, line: Listed, cores: int, start: float, now: float) -> None:
        self.number, self.cores, self.start = line.engine, cores, start
        self.line = line
        self.out: dict[tuple[int, int], Trip] = {}
        self.threads = 0
        self.bound = self.before = start
        self.served, self.served_before = 0.0, 0.0
        self.work, self.work_before = 0.0, 0.0
        self.most = 0.0
        self.luck = 1.0
        self.pace = Histogram(PACE_EDGES)
        self.slowness = 1.0
        self.pressed_until = 0.0
        self.answered = now
        self.strikes = 0.0
        self.aside_until = 0.0
        self.trial = False
        self.warm_at = 0.0
        self.cold_sends: deque[tuple[float, float]] = deque()

    def room(self) -> float:
        return self.bound - self.threads

    def move_bound(self, gain: float, step: float) -> None:
        """The design's hill climbing, once an interval."""
        # A heavy draw reads as lost throughput: where as much work was served, P counts as unchanged.
        served = max(self.served, self.served_before) if self.work >= self.work_before > 0 else self.served
        lowered = self.bound < self.before
        grown = served >= self.served_before if not self.served_before else \
            (served - self.served_before) / self.served_before >= gain * (self.bound - self.before) / self.before
        if not lowered and (grown or not self.served_before):
            following = self.bound + step
        elif lowered and served > self.served_before:
            following = max(1.0, self.bound - step)
        else:
            following = self.before
        self.before, self.bound = self.bound, following
        demand = max(self.start, self.most)
        if demand < self.bound:  # demand lowers n*, not below its start, and counts as no lowering
            self.before = self.bound = demand
        self.served_before, self.work_before = served, self.work
        self.served, self.work, self.most = 0.0, 0.0, float(self.threads)

    def start_over(self) -> None:
        """A hang or a restart swings n*: it begins anew, and P with it."""
        self.bound = self.before = self.start
        self.served = self.served_before = self.work = self.work_before = 0.0
        self.pace = Histogram(PACE_EDGES)
        self.slowness, self.strikes, self.pressed_until = 1.0, 0.0, 0.0


class Dispatcher:
    """The rules of one dispatcher, from its start to its end."""

    def __init__(self, site: Deployment, seed: int, link: Link, now: float) -> None:
        self.link, self.chance, self.now = link, Chance(seed), now
        self.began = now
        self.workloads = site.workloads
        self.cores = site.cores or (1,)
        self.share = 1.0 / site.dispatchers
        self.step = float(max(workload.threads for workload in site.workloads))
        self.quotas = [quota * self.share / 1000 for quota in site.quotas]
        self.credit = [quota * 1000 for quota in self.quotas]
        self.credit_at = now
        self.over_share = site.over_share_utility
        self.most_trips, self.come_back = site.most_trips, site.most_come_back
        self.may_call_off, self.second_copies = site.may_call_off, site.second_copies
        self.priorities, self.grants = site.priorities, site.grants
        self.pushed = site.list_pushed
        self.cold_for, self.cold_window = site.cold_for, site.cold_window
        self.cold_rate = site.cold_multiple * site.cold_share * CAPACITY_SHARE * SPEED_FLOOR * self.share * COLD_MARGIN
        self.order_rest = site.order_rest or 0.0
        self.further_window = site.further_window
        self.further_free, self.further_share = site.further_free or 0.0, site.further_share or 0.0
        self.taken_times: deque[float] = deque()
        self.further_times: deque[float] = deque()
        self.further_credit, self.further_won = FURTHER_MOST, Histogram((0.5,))
        self.engines: dict[int, Engine] = {}
        self.open: dict[int, Submission] = {}
        self.held: list[tuple[tuple[float, int], Submission]] = []
        self.promised: Engine | None = None
        self.usual = [0.0 for _ in site.workloads]
        self.best = [1.0 for _ in site.workloads]
        self.paces = [Histogram(PACE_EDGES) for _ in site.workloads]
        self.lines: dict[int, deque[Submission]] = {}
        self.rests: dict[int, float] = {}
        self.mode = ""
        self.next_interval = now + INTERVAL
        self.next_tick = now + TICK
        self.chain = (self.expiry_stage, self.share_stage, self.order_stage, self.line_stage, self.trip_stage)
        link.wake(TICK, 0)
        if not self.pushed:
            link.watch()

    # What the link tells.

    def listed(self, now: float, lines: Sequence[Listed], whole: bool) -> None:
        self.now = now
        if whole:
            named = [line.engine for line in lines]
            for engine in self.engines.values():
                if engine.number not in named:
                    self.relist(engine, Listed(engine.number, engine.line.location, engine.line.kind,
                                               engine.line.cell, Life.GONE, 0.0, engine.line.started))
        for line in lines:
            engine = self.engines.get(line.engine)
            if engine is None:
                cores = self.cores[min(line.kind, len(self.cores) - 1)]
                engine = Engine(line, cores, START_THREADS * cores * self.share, now)
                self.engines[line.engine] = engine
                if line.started:
                    self.chill(engine, line.started)
            else:
                self.relist(engine, line)

    def relist(self, engine: Engine, line: Listed) -> None:
        if line.started != engine.line.started and line.started:
            engine.start_over()
            engine.aside_until, engine.trial = 0.0, False
            self.chill(engine, line.started)
        engine.line = line

    def chill(self, engine: Engine, started: float) -> None:
        engine.warm_at = started + self.cold_for
        # What we sent before our own restart is not known: the budget counts as spent for one window.
        if self.began + self.cold_window > self.now and engine.warm_at > self.now:
            engine.cold_sends.append((self.began, self.cold_rate * engine.cores * self.cold_window))

    def list_failed(self, now: float) -> None:
        self.now = now
        self.link.wake(500.0 + 1000.0 * self.chance.draw(), 1)

    def submitted(self, now: float, arrival: Arrival) -> None:
        self.now = now
        workload = self.workloads[arrival.workload]
        usual = self.usual[arrival.workload]
        cost = arrival.cost or usual or workload.agreed / 4
        self.usual[arrival.workload] = usual + (cost - usual) / 30 if usual else cost
        s = Submission(arrival.number, arrival.workload, workload, arrival.customer, arrival.key, arrival.expiry, cost,
                       arrival.memory, arrival.group, now, utility=workload.utility)
        s.due = cost / workload.threads * self.best[arrival.workload]
        s.agreed = now + workload.agreed + workload.stretch * s.due
        s.cheap = workload.threads == 1 and cost <= CHEAP_MARK * min(self.usual[i] or cost for i in self.kinds())
        self.taken_times.append(now)
        self.further_credit = min(FURTHER_MOST, self.further_credit + FURTHER_EACH
                                  + FURTHER_SUCCESS * self.further_won.quantile(0.5))
        self.open[s.number] = s
        self.pass_on(s, 0)

    def kinds(self) -> range:
        return range(len(self.workloads))

    def pass_on(self, s: Submission, place: int) -> None:
        for stage in self.chain[place:]:
            if not stage(s):
                return

    def answer_begun(self, now: float, number: int, trip: int) -> None:
        if number in self.open:
            self.open[number].begun = True

    def noted(self, now: float, number: int, trip: int, word: Word, level: float) -> None:
        self.now = now
        s = self.open.get(number)
        if s is None or trip not in s.out:
            return
        if word == Word.PROGRESS and level > 0:
            s.out[trip].engine.answered = now
        s.out[trip].blocked = word == Word.WAITS and level == WAITS_FOR_LOAD

    def ended(self, now: float, number: int, trip: int, ending: Ending, took: float, final: bool, work: float,
              memory: float, report: Sequence[float]) -> None:
        """What comes back runs the chain in reverse: trip, engine and bound, order, answer duty."""
        self.now = now
        found = next((e.out[number, trip] for e in self.engines.values() if (number, trip) in e.out), None)
        if found is None:
            return
        s, engine = found.submission, found.engine
        del engine.out[number, trip], s.out[trip]
        engine.threads -= s.workload.threads
        if ending not in NEVER_RAN and s.ran is None:
            s.ran, s.ran_since = engine, found.sent
        if found.further:
            self.further_won.add(1.0 if ending == Ending.DELIVERED else 0.0)
        if ending == Ending.MOOT and found.further and self.further_times:
            self.further_times.pop()
        self.judge(engine, found, ending, took, work)
        if s.in_line and ending in MAY_RUN_ON:
            self.rests[s.key] = max(self.rests.get(s.key, 0.0), now + self.order_rest)
        if final or s.over:
            self.close(s)
        elif not s.out:
            self.again(s, engine, ending)
        elif now >= s.expiry - 1.0:
            self.end(s)

    def again(self, s: Submission, engine: Engine, ending: Ending) -> None:
        """After a trip that did not deliver: another one, or the final answer at once."""
        if self.now >= s.expiry - LEAST_LEFT or s.made >= self.most_trips or ending == Ending.TIME_OUT \
                or (s.ran is not None and s.workload.effect == Effect.IRREVERSIBLE):
            self.end(s)
            return
        if ending != Ending.CALLED_OFF or engine not in s.avoid:
            s.avoid.append(engine)
        if self.further_credit < 1.0:
            self.end(s)
        else:
            self.pass_on(s, 3)

    def withdrawn(self, now: float, number: int) -> None:
        self.now = now
        if number in self.open:
            s = self.open[number]
            if self.may_call_off:
                self.call_off(s)
            self.close(s)

    def woken(self, now: float, token: int) -> None:
        self.now = now
        if token == 1:
            self.link.watch()
        elif now >= self.next_tick - 1.0:
            self.next_tick = now + TICK
            self.link.wake(TICK, 0)
            self.tick()

    def probed(self, now: float, engine: int, ending: Ending, took: float, report: Sequence[float]) -> None:
        self.now = now

    def heard(self, now: float, dispatcher: int, words: bytes) -> None:
        self.now = now

    def turn(self, now: float) -> None:
        """Held ones leave, lowest aged cost per utility first, each to the engine with most room."""
        self.now = now
        kept: list[tuple[tuple[float, int], Submission]] = []
        self.promised = None
        for place, item in enumerate(self.held):
            s = item[1]
            if s.over:
                continue
            if place >= LOOK_AHEAD:
                kept.append(item)
                continue
            engine = self.choose(s, held=True)
            if engine is None:
                kept.append(item)
                if self.promised is None and now - s.taken > RIPE:
                    self.promised = max(self.allowed(s), key=Engine.room, default=None)
            else:
                self.send(s, engine)
        self.held = kept

    # The stages.

    def expiry_stage(self, s: Submission) -> bool:
        if self.now >= s.expiry - LEAST_LEFT:
            self.end(s)
            return False
        return True

    def share_stage(self, s: Submission) -> bool:
        """A customer beyond its share is not shed for that: it only weighs less in the held line."""
        if s.customer < len(self.quotas):
            passed, self.credit_at = self.now - self.credit_at, self.now
            self.credit = [min(c + q * passed, q * 1000)
                           for c, q in zip(self.credit, self.quotas, strict=True)]
            if self.credit[s.customer] < 1.0:
                s.utility *= self.over_share
                s.cheap = False
            else:
                self.credit[s.customer] -= 1.0
        return True

    def order_stage(self, s: Submission) -> bool:
        """Rule 5: those of one key run one at a time, in the order taken."""
        if s.in_line:
            self.lines.setdefault(s.key, deque()).append(s)
            return self.in_turn(s)
        return True

    def in_turn(self, s: Submission) -> bool:
        return not s.in_line or (self.lines[s.key][0] is s and self.now >= self.rests.get(s.key, 0.0))

    def line_stage(self, s: Submission) -> bool:
        """Cheap ones pass the held line while the bound has room; the rest is held in its order."""
        weight = COST_WEIGHT * s.due * s.workload.threads / max(1e-6, s.utility)
        s.rank = (s.taken + weight, s.number)
        if (s.cheap or not self.held) and self.choose(s, held=False) is not None:
            return True
        insort(self.held, (s.rank, s))
        return False

    def trip_stage(self, s: Submission) -> bool:
        engine = self.choose(s, held=False)
        if engine is not None:
            self.send(s, engine)
        return True

    # The choice of engine, with its guards.

    def allowed(self, s: Submission) -> list[Engine]:
        """Engines that the rules let this submission go to now."""
        w, now = s.workload, self.now
        if s.ran is not None and w.effect == Effect.LABELLED and now >= s.ran_since + w.known_for - 1.0:
            return []
        found = []
        for engine in self.engines.values():
            line = engine.line
            if line.life != Life.READY or (w.locations is not None and line.location not in w.locations) \
                    or (w.kinds is not None and line.kind not in w.kinds):
                continue
            if s.ran is not None and w.effect == Effect.LABELLED and (
                    (w.reach == Reach.LOCATION and line.location != s.ran.line.location)
                    or (w.reach == Reach.CELL and line.cell != s.ran.line.cell)):
                continue
            if engine.warm_at > now and not self.bears(engine, s):
                continue
            if now < engine.aside_until or (engine.trial and (engine.out or w.effect != Effect.REDOABLE)):
                continue
            found.append(engine)
        return found

    def bears(self, engine: Engine, s: Submission) -> bool:
        """Rule 4: our share of what a cold engine bears in any window, by the workload's usual work."""
        while engine.cold_sends and engine.cold_sends[0][0] <= self.now - self.cold_window:
            engine.cold_sends.popleft()
        spent = sum(work for _, work in engine.cold_sends)
        return spent + self.usual[s.kind] <= self.cold_rate * engine.cores * self.cold_window

    def admits(self, engine: Engine, threads: int) -> bool:
        """The bound binds only under pressure; below one query's threads it is a matter of chance."""
        # Sent faster than its answers can tell, an engine is jammed before it shows pressure: beyond this much
        # out at once it counts as pressed (a burst, the line let go at once, stale or slow answers).
        unseen = engine.threads + threads <= UNSEEN * engine.bound and self.now >= engine.pressed_until
        if unseen or engine.threads + threads <= engine.bound:
            return True
        return engine.bound < threads and not engine.out and engine.luck < engine.bound / threads

    def choose(self, s: Submission, held: bool) -> Engine | None:
        if not self.in_turn(s) or (s.made and not self.may_go_further()):
            return None
        engines = self.allowed(s)
        if s.avoid:  # a further trip goes elsewhere where it can
            engines = [e for e in engines if e not in s.avoid] or engines
        engines = [e for e in engines if self.admits(e, s.workload.threads) and e is not self.promised]
        if s.workload.waits_for_loads or s.workload.holds_tables:
            engines = [e for e in engines if not self.blocked(e, s.group)] or engines
        if not engines:
            return None
        if s.cheap and not held:
            return min(engines, key=lambda e: (e.threads / e.cores, self.chance.draw()))
        return max(engines, key=lambda e: (e.room(), self.chance.draw()))

    def blocked(self, engine: Engine, group: int) -> bool:
        """A load of ours holds that group of tables there, or one of ours stands still behind another's."""
        return any(t.submission.group == group and (t.submission.workload.holds_tables or t.blocked)
                   for t in engine.out.values())

    def may_go_further(self) -> bool:
        """Rule 7, and our own credit, which follows how many of the recent further trips succeeded."""
        if self.further_window is not None:
            since = self.now - self.further_window
            for times in (self.taken_times, self.further_times):
                while times and times[0] <= since:
                    times.popleft()
            if len(self.further_times) + 1 > self.further_free + self.further_share * len(self.taken_times):
                return False
        return self.further_credit >= 1.0

    def send(self, s: Submission, engine: Engine) -> None:
        number, threads = s.made, s.workload.threads
        s.made += 1
        trip = Trip(s, number, engine, self.now, s.due, number > 0)
        s.out[number] = engine.out[s.number, number] = trip
        engine.threads += threads
        engine.most = max(engine.most, engine.threads)
        if number:
            self.further_times.append(self.now)
            self.further_credit -= 1.0
        if engine.warm_at > self.now:
            engine.cold_sends.append((self.now, self.usual[s.kind]))
        if len(engine.out) == 1:
            engine.answered = self.now
        if self.priorities and not number:
            self.link.terms(s.number, 0.0, CHEAP_PRIORITY if s.cheap else HEAVY_PRIORITY)
        self.link.send(s.number, engine.number, 0.0)

    # Answers.

    def close(self, s: Submission) -> None:
        s.over = True
        self.open.pop(s.number, None)
        if s.in_line and not s.out and s in self.lines.get(s.key, ()):
            self.lines[s.key].remove(s)
            if not self.lines[s.key]:
                del self.lines[s.key]

    def end(self, s: Submission) -> None:
        """Shed where trying again is harmless, broken off where it may not be."""
        ran = s.ran is not None or any(s.out)
        effect = s.workload.effect
        if ran and (effect == Effect.IRREVERSIBLE or (effect == Effect.LABELLED and s.workload.reach != Reach.ALL)) \
                or self.now >= s.expiry - 1.0:
            self.link.break_off(s.number)
        else:
            self.link.shed(s.number, self.come_back)
        if self.may_call_off:
            self.call_off(s)
        self.close(s)

    def call_off(self, s: Submission) -> None:
        for trip in s.out.values():
            if not trip.called_off:
                trip.called_off = True
                self.link.call_off(s.number, trip.number)

    # Measurements and health.

    def judge(self, engine: Engine, trip: Trip, ending: Ending, took: float, work: float) -> None:
        s = trip.submission
        threads = s.workload.threads
        if ending == Ending.DELIVERED:
            engine.served += threads
            engine.work += s.cost
            engine.answered, engine.strikes = self.now, 0.0
            ratio = took * threads / (work or s.cost)
            self.paces[s.kind].add(ratio, threads)
            pace = ratio / self.best[s.kind]
            engine.pace.add(pace, threads)
            if engine.trial and pace < SLOW:
                engine.trial = False
                self.say(f"engine {engine.number} back, pace {pace:.2f}")
        elif ending == Ending.FULL:
            engine.answered = self.now
            engine.pressed_until = self.now + PRESSURE_HOLD
        elif ending in (Ending.UNREACHED, Ending.RESET, Ending.ERROR):
            # Covers a crash, a cut link and an engine that fails all it takes, whatever the list says.
            engine.strikes += 1.0 if ending == Ending.ERROR else 1.5
            if engine.strikes >= STRIKES or engine.trial:
                self.set_aside(engine, f"strikes {engine.strikes:.1f}", died=ending != Ending.ERROR)

    def tick(self) -> None:
        self.watch_engines()
        for _, s in list(self.held):
            if s.over:
                continue
            run = s.due * self.middle
            if self.now >= s.expiry - LEAST_LEFT:
                self.end(s)
            elif not s.late and self.now + run > s.agreed:
                if s.workload.late_utility < LATE_WORTH_IT or self.now + run > s.expiry:
                    self.end(s)
                else:
                    s.late = True
        if self.now >= self.next_interval:
            self.next_interval += INTERVAL
            self.interval()

    @property
    def middle(self) -> float:
        paces = sorted(e.slowness for e in self.ready())
        return max(1.0, paces[len(paces) // 2]) if paces else 1.0

    def ready(self) -> Iterator[Engine]:
        return (e for e in self.engines.values() if e.line.life == Life.READY)

    def watch_engines(self) -> None:
        for engine in self.ready():
            trips = engine.out.values()
            overdue = sum(t.submission.workload.threads for t in trips if self.now - t.sent > PRESSURE * t.due)
            if engine.pace.total >= PACE_SAMPLES:
                engine.slowness = engine.pace.quantile(0.5)
            if engine.slowness > PRESSURE or 2 * overdue > max(engine.threads, 1):
                engine.pressed_until = self.now + PRESSURE_HOLD
        middle = self.middle
        newest = sorted(e.answered for e in self.ready())
        for engine in self.ready():
            if engine.aside_until > self.now:
                continue
            if engine.trial and not engine.out:
                continue
            oldest = min(engine.out.values(), key=lambda t: t.sent, default=None)
            quiet = self.now - engine.answered
            # Silence while others answer: a hang, a lost link, answers lost on the way.
            if oldest is not None and quiet > SILENCE and quiet > SILENCE_OF_DUE * oldest.due * middle \
                    and newest[len(newest) // 2] > engine.answered + SILENCE / 2:
                self.set_aside(engine, f"silent {quiet:.0f} ms", died=False)
            # Far slower than its peers: a sick machine or a neighbour; all slow at once moves the middle instead.
            elif engine.pace.total >= PACE_SAMPLES and engine.slowness > SLOW * middle:
                self.set_aside(engine, f"pace {engine.slowness:.1f} of {middle:.1f}", died=False)

    def set_aside(self, engine: Engine, why: str, died: bool) -> None:
        """For a fixed time and a random part; never most of the fleet."""
        ready = list(self.ready())
        aside = sum(1 for e in ready if e.aside_until > self.now or e.trial)
        if engine.aside_until > self.now or (not engine.trial and 2 * (aside + 1) >= len(ready)):
            return
        engine.start_over()
        engine.aside_until = self.now + ASIDE + ASIDE_RANDOM * self.chance.draw()
        engine.trial = True
        if died:  # it comes back cold, even where the list has not told
            engine.warm_at = engine.aside_until + self.cold_for
        self.say(f"engine {engine.number} aside: {why}, {len(engine.out)} out, {aside} others aside")
        for trip in list(engine.out.values()):
            s = trip.submission
            if self.may_call_off and s.workload.effect == Effect.REDOABLE and not trip.called_off and not s.over \
                    and s.made < self.most_trips:
                trip.called_off = True
                self.link.call_off(s.number, trip.number)

    def interval(self) -> None:
        for engine in self.engines.values():
            engine.luck = self.chance.draw()
            engine.pace.halve()
            if engine.aside_until <= self.now and not engine.trial:
                engine.move_bound(GAIN_C, self.step)
        for kind, paces in enumerate(self.paces):
            if paces.total >= BEST_SAMPLES:
                low = paces.quantile(BEST_SHARE)
                self.best[kind] = min(low, self.best[kind] * BEST_DRIFT) if self.best[kind] != 1.0 else low
            paces.halve()
        self.further_won.halve()
        bounds = " ".join(f"{e.bound:.0f}/{e.threads}{'*' if e.pressed_until > self.now else ''}" for e in self.ready())
        self.say(f"n*/own {bounds}; held {len(self.held)}; middle pace {self.middle:.2f}")

    def say(self, line: str) -> None:
        self.link.log(line)
