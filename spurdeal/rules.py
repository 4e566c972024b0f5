"""All decisions of a dispatcher: what runs, on which engine, when, and on which terms.

A link makes one Dispatcher per start, reports events by the calls of interface.Rules, closes each batch
with turn(), and carries out what interface.Link asks. A request passes the stages of Dispatcher.chain;
each passes it on (True), keeps it or ends it (False). What comes back runs the other way, in ended()."""

from __future__ import annotations

from bisect import insort
from collections import deque
from collections.abc import Sequence
from typing import TypeAlias

from . import state
from .chance import Chance
from .histogram import Histogram
from .interface import (
    NEVER_RAN,
    WAITS_FOR_LOAD,
    Adapter,
    Deployment,
    Effect,
    Ending,
    EndReason,
    Life,
    Listed,
    ProgressKind,
    Reach,
    Verdict,
)
from .list_freshness import ListFreshness
from .running_mean import RunningMean

TICK, WAKE_TICK, WAKE_WATCH = 50.0, 0, 1
INTERVAL, GAIN_C = 5000.0, 0.4  # between two moves of n*; C, the least gain in P for a gain in n*
START_THREADS, FLOOR = 2.0, 0.125  # n* starts at so many threads a core, over all dispatchers; its least part
PRESSURE, PRESSURE_HOLD = 1.5, 1000.0  # this many times its best, and the calmest middle, is pressure; ms
BUSY = 2.0  # work taken over what all engines do in that time, so many times: our share of sends at least
JAM = 2.5  # where engines page, one this far over its best latency gives up a step of n*
UNSEEN, SPARE = 1.25, 2.0  # in n*, in widest requests: own threads out that count as pressure unheard
POOL = 6.0  # threads' worth of evidence that all engines together lend to each, where its own is thin
CHEAP_MARK, COST_WEIGHT = 1.5, 8.0  # in usual costs of the lightest workload; ms of age for one of cost
RIPE = 600.0  # a held one this old has room kept for it, or cheap ones starve it
PACE_EDGES = tuple(0.25 * 1.15**step for step in range(40))  # of time taken over time expected
BEST_SHARE, BEST_SAMPLES, BEST_DRIFT, CALM_DRIFT = 0.25, 15.0, 1.1, 1.02  # best latency: a low quantile
SLOW, FULL_REST = 3.0, 500.0  # in the middle pace: far slower, set aside; ms after a refusal as full
GHOST = 0.5  # where work cannot be stopped, a timed-out attempt counts on, for this part of its time
STRIKES, STRIKE_LOST, STRIKE_ERROR, STRIKE_RESET, ASIDE, ASIDE_RANDOM = 3.0, 1.5, 1.0, 0.5, 3000.0, 3000.0
STANDS, LOST_DUE, LOST_LEAST, LOST_NOTES = 3.0, 10.0, 2500.0, 2.5  # in its due, ms, gaps between notes
SILENCE, SILENCE_OF_DUE, SILENT_ATTEMPTS = 2000.0, 4.0, 3
COLD_MARGIN, CAPACITY_SHARE, SPEED_FLOOR = 0.5, 0.85, 0.8  # of our share of what a cold engine bears
COLD_GRAIN = 0.1  # of all dispatchers' budget: work so light may go there by chance
COLD_SAMPLES = 30  # in a workload's mean work
FURTHER_EACH, FURTHER_SUCCESS, FURTHER_MOST = 0.05, 0.25, 30.0  # credit for further attempts
MOST_UNSENT = 3  # attempts that never left and count for none: a way that stays shut is not tried for ever
REPEAT_MARGIN = 1.0  # ms, for the way of an idempotent-by-key one's repeat
LAST_MOMENT, MIN_LATE_VALUE, TOO_LATE, CROWDED = 2 * TICK, 0.25, 1.5, 0.9  # ms, value, objective, ways in
CHEAP_PRIORITY, HEAVY_PRIORITY, GRANT = 3, 1, 1.35  # the grant is in the estimate of memory


Request: TypeAlias = "state.Request[Engine]"
Attempt: TypeAlias = "state.Attempt[Engine]"


def pooled(pace: Histogram, middle: float) -> float:
    """The median pace, beside POOL threads' worth of the middle: what there is counts as far as it goes."""
    return (pace.total * pace.quantile(0.5) + POOL * middle) / (pace.total + POOL)


class Engine:
    """One engine as this dispatcher sees it, with its bound n*."""

    def __init__(self, line: Listed, cores: tuple[int, ...], now: float) -> None:
        self.number, self.line, self.cores = line.engine, line, cores[line.kind % len(cores)]
        self.out: dict[tuple[int, int], Attempt] = {}
        self.threads, self.overdue, self.answered, self.luck = 0, 0, now, 1.0
        self.aside_until, self.struck, self.trial = 0.0, 0.0, False
        self.cold_sends, self.ghosts = deque[tuple[float, float]](), deque[tuple[float, int]]()
        self.start_over(0.0)
        self.be_cold(0.0, now, 0.0)

    def be_cold(self, until: float, since: float, part: float) -> None:
        """What may go there begins from a part, drawn by chance, of the next light request."""
        self.warm_at, self.cold_from, self.cold_part, self.cold_spent = until, since, part, 0.0

    def start_over(self, start: float) -> None:
        """A hang or a restart swings n* and P: both begin anew."""
        self.bound = self.before = self.start = start
        self.served = self.served_before = self.work = self.work_before = self.most = self.errors = 0.0
        self.pace, self.slowness, self.strikes, self.pressed_until = Histogram(PACE_EDGES), 1.0, 0.0, 0.0

    def stand(self, attempt: Attempt, stands: bool) -> None:
        """An attempt that waits for a load holds no core: it leaves the own threads until it runs."""
        if stands != attempt.stands:
            attempt.stands = stands
            self.threads += -attempt.request.workload.threads if stands else attempt.request.workload.threads

    def room(self) -> float:
        return self.bound - self.threads - self.errors

    def move_bound(self, step: float) -> None:
        """The design's hill climbing, once an interval."""
        # A heavy draw reads as lost throughput: where no less work was served, P counts as not fallen.
        served = max(self.served, self.served_before) if self.work >= self.work_before > 0 else self.served
        lowered, gain = self.bound < self.before, served - self.served_before
        enough = GAIN_C * (self.bound - self.before) / self.before * self.served_before
        if not lowered and (not self.served_before or gain >= enough):
            self.before, self.bound = self.bound, self.bound + step
        elif lowered and gain > 0:
            self.before, self.bound = self.bound, max(FLOOR * self.start, self.bound - step)
        else:
            self.before, self.bound = self.bound, self.before
        if (demand := max(self.start, self.most)) < self.bound:  # lowers n*, and counts as no lowering
            self.before = self.bound = demand
        self.served_before, self.work_before = served, self.work
        self.served, self.work, self.most = 0.0, 0.0, float(self.threads)


class Dispatcher:
    """The rules of one dispatcher, from its start to its end."""

    def __init__(self, site: Deployment, seed: int, adapter: Adapter, now: float) -> None:
        self.adapter, self.chance, self.now, self.began, self.until = (
            adapter,
            Chance(seed),
            now,
            now,
            float("inf"),
        )
        self.workloads, self.cores = site.workloads, site.cores or (1,)
        self.share, self.further_credit = 1.0 / site.dispatchers, FURTHER_MOST
        self.in_hand, self.priorities, self.own, self.all = site.in_hand, site.priorities, self.share, 1.0
        self.widest = float(max(workload.threads for workload in site.workloads))
        self.spare = 0.0 if site.pages else SPARE * self.widest  # what lets all in has no room for chance
        self.quotas = [quota * self.share / 1000 for quota in site.quotas]
        self.credit, self.over_share = [quota * 1000 for quota in self.quotas], site.over_share_value
        self.max_attempts, self.may_cancel, self.ways_in = (
            site.max_attempts,
            site.may_cancel,
            site.most_open,
        )
        self.notes, self.pages, self.grant = site.notes_every, site.pages, GRANT if site.grants else 0.0
        self.cold_for, self.cold_window, self.come_back = site.cold_for, site.cold_window, site.most_come_back
        cold_capacity = site.cold_multiple * site.cold_share * CAPACITY_SHARE * SPEED_FLOOR
        self.cold_whole = cold_capacity * site.cold_window * COLD_MARGIN
        self.cold_budget = self.cold_whole * self.share
        self.cold_work = [RunningMean(max(1.0, w.objective / 4), COLD_SAMPLES) for w in site.workloads]
        self.light = COLD_GRAIN * self.cold_whole
        self.heavy = COLD_GRAIN * self.cold_whole / COLD_MARGIN * min(self.cores)
        self.order_rest, self.further_window = site.order_rest or 0.0, site.further_window or 0.0
        self.further_free = site.further_free or 0.0 if site.further_window else float("inf")
        self.further_share, self.further_won = site.further_share or 0.0, Histogram((0.5, 1.5))
        self.taken_times, self.further_times, self.held = deque[float](), deque[float](), list[Request]()
        self.engines, self.open, self.ready = dict[int, Engine](), dict[int, Request](), list[Engine]()
        self.promised: Engine | None = None
        self.freshness, self.list_followed = ListFreshness(site.drain_grace), True
        self.lines, self.rests = dict[int, deque[Request]](), dict[int, float]()
        self.usual, self.best = [0.0 for _ in site.workloads], [1.0 for _ in site.workloads]
        self.paces, self.pace = [Histogram(PACE_EDGES) for _ in site.workloads], Histogram(PACE_EDGES)
        self.middle, self.pressed_until, self.next_interval = 1.0, 0.0, now + INTERVAL
        # How far a calm pace spreads is not known yet: as far as is believed.
        self.calmest, self.pressing, self.demand = 0.0, PRESSURE * PRESSURE, 0.0
        self.asked, self.asked_in = 0.0, 0.0
        admission = (self.duty_stage, self.share_stage, self.order_stage)
        self.chain = (*admission, self.line_stage, self.choice_stage, self.attempt_stage)
        adapter.set_timer(TICK, WAKE_TICK)
        if not site.list_pushed:
            adapter.watch()

    def list_changed(self, now: float, lines: Sequence[Listed], whole: bool) -> None:
        self.now = now
        for number in (self.engines.keys() - {line.engine for line in lines}) if whole else ():
            self.engines[number].line = self.engines[number].line._replace(life=Life.GONE)
        for line in lines:
            engine = self.engines.get(line.engine) or Engine(line, self.cores, now)
            if line.engine not in self.engines or line.started != engine.line.started:
                engine.start_over(START_THREADS * engine.cores * self.own / self.all)
                engine.aside_until, engine.trial, engine.luck = 0.0, False, self.chance.draw()
                part = self.chance.draw() if line.started else 0.0
                engine.be_cold(line.started + self.cold_for if line.started else 0.0, now, part)
                # What we sent before our own restart is unknown: the budget counts as spent for one window.
                engine.cold_sends.append((self.began, self.cold_budget * engine.cores))
            engine.line = line
            self.engines[line.engine] = engine
        self.ready = [engine for engine in self.engines.values() if engine.line.life == Life.READY]

    def shutdown_started(self, now: float, until: float) -> None:
        """A planned restart: whatever is taken, now or later, is answered by then."""
        self.now, self.until = now, until
        for s in self.open.values():
            s.deadline = min(s.deadline, until)

    def capacity_shares_changed(self, now: float, cold: float, start: float) -> None:
        """Dispatchers that stand in for one another: our parts, of all, of cold budgets and of the start of
        n*."""
        self.now, self.cold_budget = now, self.cold_whole * cold
        if start != self.share:  # the next interval moves each n* by the difference
            self.share, self.own, self.all = start, start, 1.0

    def engine_suspected(self, now: float, number: int, left: float) -> None:
        """Who held our address before had set this engine aside: it is tried before it gets its full part."""
        self.now, e = now, self.engines.get(number)
        if e is not None and e.aside_until <= now and not e.trial:
            aside = sum(other.aside_until > now or other.trial for other in self.ready)
            if 2 * (aside + 1) < len(self.ready):
                e.aside_until, e.trial = now + min(left, ASIDE + ASIDE_RANDOM), True

    def list_failed(self, now: float) -> None:
        self.adapter.set_timer(500.0 + 1000.0 * self.chance.draw(), WAKE_WATCH)

    def list_known(self, at: float) -> None:
        self.freshness.known(at)

    def list_asked(self, now: float) -> float:
        self.freshness.asked(now)
        return self.freshness.retransmit_after(self.chance.draw())

    def name_service_changed(self) -> None:
        self.freshness.moved()

    def list_answered(self, now: float, asked_at: float, verdict: Verdict) -> bool:
        self.freshness.answered(now, asked_at, verdict)
        return self.freshness.has_unsettled_query()

    # Requests on their way out: the stages.

    def request_received(
        self,
        now: float,
        number: int,
        kind: int,
        tenant: int,
        key: int,
        deadline: float,
        cost: float,
        memory: float,
        group: int,
    ) -> None:
        self.now = now
        w, usual, estimated = self.workloads[kind], self.usual[kind], cost > 0
        charge = self.cold_work[kind].add(cost) if estimated else self.cold_work[kind].value
        charge = max(charge, cost) if cost > self.heavy else charge
        cost = cost or usual or w.objective / 4
        self.usual[kind] = usual + (cost - usual) / 30 if usual else cost
        due = cost / w.threads * self.best[kind]
        cheap = w.threads == 1 and cost <= CHEAP_MARK * min(usual or cost for usual in self.usual)
        key, deadline = key if w.in_order else 0, min(deadline, self.until)
        objective = now + w.objective + w.stretch * due
        s: Request = state.Request(
            number, kind, tenant, key, deadline, cost, memory, group, now, w, due, objective, w.value, cheap
        )
        s.charge, s.estimated = charge, estimated
        self.open[number] = s
        self.asked += cost * min(1.0, self.best[kind])
        self.taken_times.append(now)
        credit = self.further_credit + FURTHER_EACH + FURTHER_SUCCESS * self.further_won.quantile(0.5)
        self.further_credit = min(FURTHER_MOST, credit)
        self.pass_on(s)

    def pass_on(self, s: Request, first: int = 0) -> bool:
        return all(stage(s) for stage in self.chain[first:])

    def duty_stage(self, s: Request) -> bool:
        if self.now >= s.deadline - LAST_MOMENT:
            self.end(s, EndReason.NO_TIME)
        return not s.over

    def share_stage(self, s: Request) -> bool:
        """A tenant beyond its share is not shed for that: what it sends weighs less in the held line."""
        if s.tenant < len(self.quotas) and self.credit[s.tenant] < 1.0:
            s.value, s.cheap = s.value * self.over_share, False
        elif s.tenant < len(self.quotas):
            self.credit[s.tenant] -= 1.0
        return True

    def order_stage(self, s: Request) -> bool:
        if s.key:
            self.lines.setdefault(s.key, deque()).append(s)
        return True

    def line_stage(self, s: Request) -> bool:
        """Cheap ones pass the held line; the others stand in it by aged cost per utility."""
        s.rank = self.rank(s)
        if s.cheap or not self.held:
            s.engine = self.choose(s, fewest=s.cheap)
        if s.engine is None:
            insort(self.held, s, key=lambda held: held.rank)
        return s.engine is not None

    def rank(self, s: Request) -> tuple[float, int]:
        """Cost per utility, aged; one that will be late has lost utility, and its age."""
        value = s.value * (s.workload.late_value if s.late else 1.0)
        return self.now + COST_WEIGHT * s.due * s.workload.threads / max(1e-6, value), s.number

    def choice_stage(self, s: Request) -> bool:
        s.engine = s.engine or self.choose(s, fewest=False)
        return s.engine is not None

    def attempt_stage(self, s: Request) -> bool:
        engine = s.engine
        assert engine is not None
        attempt = state.Attempt(s, s.made, engine, self.now, self.now, engine.line.started)
        s.out[s.made] = engine.out[s.number, s.made] = attempt
        s.made, s.engine = s.made + 1, None
        engine.threads += s.workload.threads
        engine.most = max(engine.most, engine.threads)
        if attempt.number > s.unsent:
            self.further_times.append(self.now)
            self.further_credit -= 1.0
        elif self.priorities or self.grant:
            self.adapter.terms(s.number, self.grant * s.memory, CHEAP_PRIORITY if s.cheap else HEAVY_PRIORITY)
        if engine.warm_at > self.now:
            attempt.cold = s.charge
            engine.cold_sends.append((self.now, attempt.cold))
            engine.cold_spent += attempt.cold
        engine.answered = engine.answered if len(engine.out) > 1 else self.now
        self.adapter.send(s.number, engine.number, 0.0)
        return True

    def may_send(self, now: float, number: int, attempt: int, engine: int) -> bool:
        """The last look, where an attempt's first byte leaves later than its choice: dialled for, or held up.

        Covers what came between: a list, a restart, a repeat's end of window, a cold start, the client's
        leaving, a planned stop. It could only harm where the way is so slow that each look comes too late."""
        self.now, e = now, self.engines.get(engine)
        t = e.out.get((number, attempt)) if e is not None else None
        if (
            e is None
            or t is None
            or t.cancelled
            or t.request.over
            or now >= t.request.deadline
            or e.line.life != Life.READY
            or not self.freshness.may_be_followed(now)
            or e.line.started != t.started
            or not self.may_repeat(t.request)
            or (now < e.warm_at and not t.cold)
        ):
            return False
        if t.cold and now > t.sent and (t.sent, t.cold) in e.cold_sends:  # it counts from when it leaves
            e.cold_sends.remove((t.sent, t.cold))
            e.cold_sends.append((now, t.cold))
        return True

    def may_repeat(self, s: Request) -> bool:
        """Rule 2, idempotent by key: a repeat leaves while the first that may have run is still known."""
        return (
            s.ran is None
            or s.workload.effect != Effect.IDEMPOTENT_BY_KEY
            or self.now < s.ran.sent + s.workload.known_for - REPEAT_MARGIN
        )

    def end_batch(self, now: float) -> None:
        """Held ones leave, lowest aged cost per utility first, each to the engine with most room."""
        self.now, self.promised, kept, ripe = now, None, list[Request](), False
        stale_reason = self.freshness.stale_reason(now)
        if self.list_followed != (stale_reason is None):
            self.list_followed = stale_reason is None
            self.adapter.log(
                "list followed again" if stale_reason is None else f"list not followed: {stale_reason}"
            )
        stuck = [False for _ in self.workloads]  # nothing frees room within a turn: one speaks for its kind
        waiting = iter(self.held)
        try:
            for s in waiting:
                if s.over or (not stuck[s.kind] and self.pass_on(s, self.chain.index(self.choice_stage))):
                    continue
                kept.append(s)
                stuck[s.kind] |= not s.made and self.in_turn(s)
                if not ripe and now - s.taken > RIPE and self.in_turn(s):
                    ripe = True
                    wide = [e for e in self.allowed(s) if e.bound >= s.workload.threads]
                    self.promised = max(wide, key=Engine.room, default=None)
        finally:  # also after a fault at one of them: what was sent is not held any more
            self.held = kept + list(waiting)

    # The choice of engine, with its guards and the bound.

    def choose(self, s: Request, fewest: bool) -> Engine | None:
        if not self.in_turn(s) or (s.made > s.unsent and not self.may_go_further()):
            return None
        if not self.freshness.may_be_followed(self.now):
            return None
        w, engines = s.workload, self.allowed(s)
        if not engines:
            return None
        if s.avoid:  # further attempts go elsewhere
            engines = [e for e in engines if e not in s.avoid] or engines
        after, bounds = w.threads + sum(e.threads for e in self.ready), sum(e.bound for e in self.ready)
        # So much out is pressure before answers show it (a burst, a held line let go). Where n* is under one
        # request engines fill unevenly, and those that page bear no more than n*.
        beyond = 1.0 if self.pages and bounds < self.widest * len(self.ready) else UNSEEN
        calm = self.now >= self.pressed_until and after <= max(beyond * bounds + self.spare, w.threads)
        even = after <= max(bounds + self.spare, w.threads)  # chance overshoots n* where widths mix
        engines = [e for e in engines if e is not self.promised and self.admits(e, w.threads, calm, even)]
        if w.waits_for_loads or w.holds_tables:
            engines = [e for e in engines if not self.stands(e, s.group)] or engines
        # Where n* is under one request ties are the rule: fewer attempts out, then better pace of two drawn.
        # One that fails at once has fewest out: its errors since it last delivered count as threads.
        # A cold one whose part has come together first: left to chance, most of it would go unused.
        ranks = [
            (
                -(e.threads + e.errors) / e.cores if fewest else e.room(),
                e.warm_at > self.now and self.cold_budget * e.cores < s.charge,
                -len(e.out) if e.bound < w.threads else 0,
            )
            for e in engines
        ]
        top = max(ranks, default=None)
        best = [e for e, rank in zip(engines, ranks, strict=True) if rank == top]
        two = best[:2] if best and best[0].bound < w.threads else best[:1]
        return min((self.chance.pick(best) for _ in two), key=lambda e: e.slowness, default=None)

    def in_turn(self, s: Request) -> bool:
        """Rule 5: those of one key run one at a time, in the order taken, and rest after a doubtful end."""
        return not s.key or (self.lines[s.key][0] is s and self.now >= self.rests.get(s.key, 0.0))

    def allowed(self, s: Request) -> list[Engine]:
        """Rules 2, 3, 4 and 6, and health: where this request may go now."""
        w, now, ran = s.workload, self.now, s.ran if s.workload.effect == Effect.IDEMPOTENT_BY_KEY else None
        if not self.may_repeat(s):
            return []
        return [
            e
            for e in self.ready
            if now >= e.aside_until
            and not (e.trial and (e.out or w.effect != Effect.IDEMPOTENT))
            and (now >= e.warm_at or self.bears(e, s.charge))
            and (w.zones is None or e.line.zone in w.zones)
            and (w.kinds is None or e.line.kind in w.kinds)
            and not (ran and w.reach == Reach.ZONE and e.line.zone != ran.engine.line.zone)
            and not (ran and w.reach == Reach.CELL and e.line.cell != ran.engine.line.cell)
        ]

    def bears(self, engine: Engine, work: float) -> bool:
        """Rule 4: our share of what a cold engine bears in any window, by the workload's mean work."""
        if not self.cold_window:  # the deployment names no such rule
            return True
        while engine.cold_sends and engine.cold_sends[0][0] <= self.now - self.cold_window:
            engine.cold_sends.popleft()
        budget, sent = self.cold_budget * engine.cores, sum(sent for _, sent in engine.cold_sends)
        # Our share may be under one request: a light one then goes once it has come together, from a part
        # drawn at the start, so that in sum over all dispatchers the shares are sent and no more. What came
        # together lapses after a window: where the fleet was idle, a burst would send all of it at once.
        passed = (self.now - engine.cold_from) / self.cold_window
        part = engine.cold_part * work + budget * passed - engine.cold_spent
        if part >= work:
            kept = part % work + (work if part % work < budget else 0.0)
            engine.cold_spent, part = engine.cold_spent + part - kept, kept
        return work + sent <= budget or (work <= self.light * engine.cores and not sent and part >= work)

    def admits(self, engine: Engine, threads: int, calm: bool, even: bool) -> bool:
        """The bound binds only under pressure; below one query's threads it is a matter of chance."""
        after = engine.threads + threads
        calm = calm and self.now >= engine.pressed_until and engine.slowness <= self.pressing
        if after <= engine.bound or (calm and (not engine.threads or after <= UNSEEN * engine.bound)):
            return True
        return even and engine.bound < threads and not engine.out and engine.luck < engine.bound / threads

    def stands(self, engine: Engine, group: int) -> bool:
        """A load of ours holds that group of tables there, or one of ours stands still behind another's."""
        return any(
            t.request.group == group and (t.request.workload.holds_tables or t.stands)
            for t in engine.out.values()
        )

    def may_go_further(self) -> bool:
        """Rule 7, and our own credit, which follows how many of the recent further attempts succeeded."""
        self.forget_times()
        most = self.further_free + self.further_share * len(self.taken_times)
        return self.further_credit >= 1.0 and len(self.further_times) + 1 <= most

    def forget_times(self) -> None:
        for times in (self.taken_times, self.further_times):
            while times and times[0] <= self.now - self.further_window:
                times.popleft()

    # What comes back: attempt, engine, order, then the answer owed.

    def attempt_ended(
        self,
        now: float,
        number: int,
        attempt: int,
        engine: int,
        ending: Ending,
        took: float,
        final: bool,
        work: float,
        memory: float,
        report: Sequence[float],
    ) -> None:
        self.now, e = now, self.engines[engine]
        t = e.out.pop((number, attempt))
        s = t.request
        e.stand(t, False)
        del s.out[attempt]
        if ending == Ending.TIME_OUT and not self.may_cancel:
            # Its work runs on unseen; counted as gone, it lets a jam grow (slow engine, paging, lost answer).
            e.ghosts.append((now + GHOST * took, s.workload.threads))
        else:
            e.threads -= s.workload.threads
        if ending not in NEVER_RAN:
            s.ran = s.ran or state.Ran(t.sent, e)
        s.unsent += ending in (Ending.MOOT, Ending.CONNECT_TIMEOUT)
        if attempt:
            self.further_won.add(1.0 if ending == Ending.DELIVERED else 0.0)
        if report and self.in_hand is not None:  # our share of what engines hold tells our share of sends
            here = len(e.out) + 1  # this one with them: sent where we have fewest, it is often the only one
            self.own, self.all = self.own + here, self.all + max(here, report[self.in_hand])
        self.judge(e, t, ending, took, work)
        if s.key and ending in (Ending.TIME_OUT, Ending.RESET, Ending.CALLED_OFF):
            self.rests[s.key] = now + self.order_rest
        if final or s.over:
            self.close(s)
        elif (reason := self.reason_to_end(s, ending)) is not None:
            self.end(s, reason)
        elif not s.out:
            s.avoid.append(e)
            self.pass_on(s, self.chain.index(self.line_stage))

    def reason_to_end(self, s: Request, ending: Ending) -> EndReason | None:
        """Why a request whose attempt has just ended without a result is not tried again, or None."""
        if self.now >= s.deadline - 1.0:
            return EndReason.NO_TIME
        if s.out:
            return None
        reasons = {
            EndReason.ERRORS: len(s.erred) > 1,  # it fails anywhere
            EndReason.NO_TIME: self.now >= s.deadline - LAST_MOMENT,
            EndReason.TIMED_OUT: ending == Ending.TIME_OUT,
            EndReason.ATTEMPTS: s.made >= self.max_attempts + min(s.unsent, MOST_UNSENT),
            EndReason.BUDGET: self.further_credit < 1.0,
            EndReason.MAY_HAVE_RUN: s.ran is not None and s.workload.effect == Effect.NON_IDEMPOTENT,
        }
        return next((reason for reason, holds in reasons.items() if holds), None)

    def request_withdrawn(self, now: float, number: int) -> None:
        self.now = now
        if (s := self.open.get(number)) is not None:
            self.cancel_attempts(list(s.out.values()))
            self.close(s)

    def end(self, s: Request, reason: EndReason) -> None:
        """Shed where trying again is harmless, broken off where it may not be."""
        w = s.workload
        harmless = w.effect == Effect.IDEMPOTENT or (
            w.effect == Effect.IDEMPOTENT_BY_KEY and w.reach == Reach.ALL
        )
        if harmless or not (s.ran or s.out):
            self.adapter.shed(s.number, self.come_back, reason)
        else:
            self.adapter.fail_request(s.number, reason)
        self.cancel_attempts(list(s.out.values()))
        self.close(s)

    def close(self, s: Request) -> None:
        s.over = True
        self.open.pop(s.number, None)
        if s.key and not s.out and s in self.lines.get(s.key, ()):
            self.lines[s.key].remove(s)

    def cancel_attempts(self, attempts: list[Attempt]) -> None:
        for attempt in [attempt for attempt in attempts if self.may_cancel and not attempt.cancelled]:
            attempt.cancelled = True
            self.adapter.cancel_attempt(attempt.request.number, attempt.number)

    # Time, measurements and health.

    def timer_fired(self, now: float, token: int) -> None:
        self.now = now
        if token == WAKE_WATCH:
            self.adapter.watch()
        else:
            self.adapter.set_timer(TICK, WAKE_TICK)
            self.credit = [min(c + q * TICK, q * 1000) for c, q in zip(self.credit, self.quotas, strict=True)]
            self.watch_engines()
            self.watch_held()
            if now >= self.next_interval:
                self.next_interval += INTERVAL
                self.close_interval()

    def watch_held(self) -> None:
        """What can no longer be worth its wait is answered at once."""
        for s in [s for s in self.held if not s.over]:
            late = (done := self.now + max(LAST_MOMENT, s.due * self.middle)) > s.objective
            if done >= s.deadline:
                self.end(s, EndReason.NO_TIME)
            elif late and s.workload.late_value < MIN_LATE_VALUE:
                self.end(s, EndReason.TOO_LATE)
            elif late and not s.late:
                s.late = True
                s.rank = self.rank(s)
        self.held = sorted((s for s in self.held if not s.over), key=lambda held: held.rank)
        self.demand += sum(s.workload.threads for s in self.held) + sum(e.threads for e in self.ready)
        while self.held and len(self.open) > CROWDED * self.ways_in:  # or new ones find no way in
            self.end(self.held.pop(), EndReason.CROWDED)

    def watch_engines(self) -> None:
        """Looks only where something of ours is out: idle engines cost nothing."""
        busy = [e for e in self.engines.values() if e.out or e.ghosts]
        for e in busy:
            while e.ghosts and e.ghosts[0][0] <= self.now:
                e.threads -= e.ghosts.popleft()[1]
            e.overdue = 0
            for t in e.out.values():
                age = (self.now - t.sent) / t.request.due
                self.mind(e, t, age / max(1.0, e.slowness))
                e.overdue += t.request.workload.threads if age > self.pressing and not t.stands else 0
        late = sum(e.overdue for e in busy) / (sum(e.threads for e in busy) + POOL)
        if 2 * late > 1 or self.middle > self.pressing:
            self.pressed_until = self.now + PRESSURE_HOLD
        for e in busy:
            if 2 * (e.overdue + POOL * late) > e.threads + POOL:
                e.pressed_until = self.now + PRESSURE_HOLD
            quiet = self.now - e.answered
            # Silence while others answer: a hang, a lost link, answers lost on the way.
            if (
                quiet > SILENCE
                and sum(quiet > SILENCE_OF_DUE * t.request.due * self.middle for t in e.out.values())
                >= SILENT_ATTEMPTS
            ):
                heard = sorted(other.answered for other in self.ready)
                if heard and heard[len(heard) // 2] > e.answered + SILENCE / 2:
                    self.set_aside(e, f"silent {quiet:.0f} ms")

    def mind(self, e: Engine, t: Attempt, times_due: float) -> None:
        """An attempt with no word while its engine answers others stands still, or its answer is lost."""
        s, w, quiet = t.request, t.request.workload, self.now - t.heard
        if (
            self.may_cancel
            and not s.over
            and w.effect == Effect.IDEMPOTENT
            and w.late_value < MIN_LATE_VALUE
            and self.now > s.taken + TOO_LATE * (s.objective - s.taken)
        ):
            self.end(s, EndReason.TOO_LATE)  # its attempt holds an engine for nothing
        if self.notes:
            lost = quiet > LOST_NOTES * self.notes
            e.stand(t, t.stands or lost)
        else:
            lost = quiet > LOST_LEAST and times_due > LOST_DUE and self.now >= self.pressed_until
            e.stand(t, times_due > STANDS and (w.waits_for_loads or w.holds_tables))
        if (
            lost
            and w.effect == Effect.IDEMPOTENT
            and s.made < self.max_attempts
            and self.may_go_further()
            and self.now + s.due * self.middle < s.deadline - LAST_MOMENT
        ):
            self.cancel_attempts([t])

    def progress_reported(
        self, now: float, number: int, attempt: int, engine: int, word: ProgressKind, level: float
    ) -> None:
        if (e := self.engines.get(engine)) and (t := e.out.get((number, attempt))):
            t.heard = now
            e.stand(t, word == ProgressKind.WAITS and level == WAITS_FOR_LOAD)
            if word == ProgressKind.PROGRESS and level > 0:
                e.answered = now

    def judge(self, e: Engine, t: Attempt, ending: Ending, took: float, work: float) -> None:
        s = t.request
        e.errors += ending in (Ending.ERROR, Ending.UNREACHED, Ending.CONNECT_TIMEOUT)
        if ending == Ending.DELIVERED:
            self.measure(e, t, took, work)
        elif ending == Ending.FULL:
            # It has fewest of ours and answers at once: without a rest it would draw all that comes.
            e.answered, e.pressed_until = self.now, self.now + PRESSURE_HOLD
            e.aside_until = max(e.aside_until, self.now + FULL_REST * (0.5 + self.chance.draw()))
        elif ending == Ending.ERROR:
            # Its own fault or the request's: what is idempotent tells by how it fares elsewhere.
            s.erred.append(e)
            if s.workload.effect != Effect.IDEMPOTENT:
                self.strike(e, STRIKE_ERROR)
        elif ending == Ending.UNREACHED or (ending == Ending.RESET and (self.now != e.struck or not e.out)):
            # A connection that ends is one strike while others stay up, and no crash: a refusal tells one.
            self.strike(e, STRIKE_LOST if ending == Ending.UNREACHED else STRIKE_RESET)
        elif ending == Ending.CONNECT_TIMEOUT:  # a cut link, or a handshake that is late: no crash
            self.strike(e, STRIKE_ERROR)

    def measure(self, e: Engine, t: Attempt, took: float, work: float) -> None:
        s, threads = t.request, t.request.workload.threads
        e.served, e.work = e.served + threads, e.work + s.cost
        e.answered, e.strikes, e.errors = self.now, 0.0, 0.0
        if not s.estimated:  # else a guess would count as its work
            self.cold_work[s.kind].add(took * threads)
        for erring in s.erred:
            self.strike(erring, STRIKE_ERROR)
        ratio = took * threads / (work or s.cost)
        pace = ratio / self.best[s.kind]
        self.paces[s.kind].add(ratio, threads)
        e.pace.add(pace, threads)
        self.pace.add(pace, threads)
        self.middle = max(1.0, pooled(self.pace, 1.0))
        e.slowness = pooled(e.pace, self.middle)
        if e.trial and pace < SLOW:
            e.trial = False
            self.adapter.log(f"engine {e.number} back, pace {pace:.2f}")
        # Far slower than its peers: a sick machine, a neighbour. All slow at once moves the middle.
        elif e.slowness > SLOW * self.middle:
            self.set_aside(e, f"pace {e.slowness:.1f} of {self.middle:.1f}")

    def strike(self, e: Engine, weight: float) -> None:
        """Covers a crash, a cut link and an engine that fails all it takes, whatever the list says."""
        e.strikes, e.struck = e.strikes + weight, self.now
        if e.strikes >= STRIKES or (e.trial and weight > STRIKE_RESET):
            self.set_aside(e, f"strikes {e.strikes:.1f}")
            if weight == STRIKE_LOST:  # it comes back cold, even where the list has not told
                since = max(self.now, e.aside_until)
                e.be_cold(max(e.warm_at, e.aside_until + self.cold_for), since, self.chance.draw())

    def set_aside(self, e: Engine, why: str) -> None:
        """For a fixed time and a random part; never most of the fleet."""
        aside = [other for other in self.ready if other.aside_until > self.now or other.trial]
        if e.aside_until > self.now or (not e.trial and 2 * (len(aside) + 1) >= len(self.ready)):
            return
        e.start_over(e.start)
        e.aside_until, e.trial = self.now + ASIDE + ASIDE_RANDOM * self.chance.draw(), True
        self.adapter.log(f"engine {e.number} aside: {why}, {len(e.out)} out, {len(aside)} others aside")
        self.cancel_attempts([t for t in e.out.values() if t.request.workload.effect == Effect.IDEMPOTENT])

    def see_calm(self) -> None:
        """Rough estimates alone spread paces: the calmest middle tells by how much. An interval in which more
        was asked for than lets all in is no calm one."""
        if self.pace.total >= BEST_SAMPLES:
            bounds = sum(e.bound for e in self.ready)
            if self.demand * TICK / INTERVAL <= UNSEEN * bounds + self.spare:
                self.calmest = min(self.middle, self.calmest * CALM_DRIFT) if self.calmest else self.middle
            self.pressing = PRESSURE * min(PRESSURE, self.calmest or 1.0)
        self.demand = 0.0

    def close_interval(self) -> None:
        self.forget_times()
        self.see_calm()
        self.lines = {key: line for key, line in self.lines.items() if line}
        self.rests = {key: rest for key, rest in self.rests.items() if rest > self.now}
        self.engines = {n: e for n, e in self.engines.items() if e.out or e.ghosts or e.line.life > Life.GONE}
        if self.all > 1.0:
            self.own, self.all = self.own / 2, self.all / 2
        self.pace.halve()
        first, count = self.chance.draw(), len(self.engines)
        # Held ones are not sends: one that holds would take its share for smaller and smaller.
        share = max(self.own / self.all, self.share if self.held else 0.0)
        # Where nothing reports what engines hold: all dispatchers together send no more work than engines do.
        self.asked_in += INTERVAL
        if self.in_hand is None and not self.pages and self.ready:
            share = max(share, self.asked / (BUSY * self.asked_in * sum(e.cores for e in self.ready)))
        self.asked, self.asked_in = self.asked / 2, self.asked_in / 2
        # Luck lies even over the engines, so that in each interval as many are open as chance means.
        for place, e in enumerate(sorted(self.engines.values(), key=lambda _: self.chance.draw())):
            e.luck, moved = (first + place / count) % 1.0, START_THREADS * e.cores * share - e.start
            e.start, e.bound, e.before = (
                max(FLOOR * (e.start + moved), n + moved) for n in (e.start, e.bound, e.before)
            )
            e.pace.halve()
            e.slowness, e.errors = pooled(e.pace, self.middle), e.errors / 2
            if self.now >= e.aside_until and not e.trial:
                e.move_bound(self.widest * share)
                if self.pages and e.slowness > JAM:  # once memory has run over, a jam feeds itself
                    e.bound = e.before = max(e.start / 2, e.bound - e.start / 4)
        for kind, paces in enumerate(self.paces):
            if paces.total >= BEST_SAMPLES:
                low = paces.quantile(BEST_SHARE)
                self.best[kind] = min(low, self.best[kind] * BEST_DRIFT) if self.best[kind] != 1.0 else low
            paces.halve()
        self.further_won.halve()
        n, own, held = sum(e.bound for e in self.ready), sum(e.threads for e in self.ready), len(self.held)
        self.adapter.log(f"n* {n:.1f} own {own} held {held} pace {self.middle:.2f}")
