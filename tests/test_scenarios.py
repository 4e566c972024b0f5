"""Plays the files of scenarios/ against the rules; scenarios/README.md describes the notation."""

import unittest
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from spurdeal.interface import (
    Deployment,
    Effect,
    Ending,
    EndReason,
    Life,
    ListedEngine,
    ProgressKind,
    Reach,
    Workload,
)
from spurdeal.rules import Dispatcher

FOLDER = Path(__file__).parent / "scenarios"
DEFAULTS: dict[str, Any] = dict(
    index=0,
    dispatchers=1,
    zone=0,
    quotas=(),
    over_quota_value=1.0,
    cores=(8,),
    memory_mb=(8192.0,),
    load_field=None,
    list_pushed=True,
    may_cancel=True,
    may_probe=False,
    may_tell=False,
    second_copies=False,
    max_attempts=3,
    max_retry_after=500.0,
    grants=False,
    priorities=False,
    swaps=False,
    largest_grant=0.4,
    progress_interval=0.0,
    drain_grace=500.0,
    cold_for=15000.0,
    cold_share=0.3,
    cold_multiple=3.0,
    cold_window=2000.0,
)
ENTRY = ListedEngine(0, 0, 0, 0, Life.READY, 1.0, 0.0)
ENUMS: tuple[Any, ...] = (Effect, Ending, Life, Reach, ProgressKind)
# The notation of the scenario files has names of its own for some members and fields.
VALUES: dict[str, Any] = {member.name.lower(): member for enum in ENUMS for member in enum} | {
    "redoable": Effect.IDEMPOTENT,
    "labelled": Effect.IDEMPOTENT_BY_KEY,
    "irreversible": Effect.NON_IDEMPOTENT,
    "location": Reach.ZONE,
}
FIELDS = {
    "agreed": "objective",
    "customer": "tenant",
    "expiry": "deadline",
    "further_free": "retry_floor",
    "further_share": "retry_ratio",
    "further_window": "retry_window",
    "in_hand": "load_field",
    "known_for": "key_retention",
    "late_utility": "late_value",
    "location": "zone",
    "locations": "zones",
    "may_call_off": "may_cancel",
    "most_come_back": "max_retry_after",
    "most_open": "max_open",
    "notes_every": "progress_interval",
    "order_rest": "order_pause",
    "over_share_utility": "over_quota_value",
    "pages": "swaps",
    "utility": "value",
}
# Attributes of an engine that `set` and `set_all` name.
ENGINE_FIELDS = {
    "answered": "silent_since",
    "aside_until": "ejected_until",
    "bound": "concurrency_limit",
    "cold_part": "initial_cold_credit",
    "errors": "recent_errors",
    "luck": "admission_draw",
    "most": "peak_threads",
    "pressed_until": "pressure_until",
    "strikes": "failure_score",
    "threads": "in_flight_threads",
}


def value(text: str) -> Any:
    if "," in text:
        return tuple(value(part) for part in text.split(",") if part)
    return VALUES[text] if text in VALUES else float(text) if "." in text else int(text)


class Script:
    """Plays one scenario: the adapter of the rules, which records what they ask for as words."""

    def __init__(self, case: unittest.TestCase) -> None:
        self.case, self.now = case, 0.0
        self.settings, self.workloads = dict(DEFAULTS), list[Workload]()
        self.actions: list[str] = []
        self.timers: list[tuple[float, int]] = []
        self.engine_of: dict[tuple[int, int], int] = {}
        self.attempts_made: dict[int, int] = {}
        self.entries: dict[int, ListedEngine] = {}
        self.dispatcher: Dispatcher | None = None

    @property
    def rules(self) -> Dispatcher:
        if self.dispatcher is None:
            site = Deployment(workloads=tuple(self.workloads), **self.settings)
            self.dispatcher = Dispatcher(site, 1, self, self.now)
        return self.dispatcher

    # What the rules ask for.

    def send(self, number: int, engine: int, time_limit: float) -> None:
        self.engine_of[number, self.attempts_made.get(number, 0)] = engine
        self.attempts_made[number] = self.attempts_made.get(number, 0) + 1
        self.actions.append(f"send {number} {engine}")

    def shed(self, number: int, retry_after: float, reason: EndReason) -> None:
        self.actions.append(f"shed {number}")

    def fail_request(self, number: int, reason: EndReason) -> None:
        self.actions.append(f"break {number}")

    def cancel_attempt(self, number: int, attempt: int) -> None:
        self.actions.append(f"call_off {number}")

    def set_timer(self, delay: float, token: int) -> None:
        self.timers.append((self.now + delay, token))

    def set_terms(self, number: int, memory: float, priority: int) -> None:
        pass

    def request_list(self) -> None:
        self.actions.append("watch")

    def log(self, line: str) -> None:
        pass

    # What a scenario's lines do.

    def play(self, line: str) -> None:
        line, arrow, wanted = line.partition("->")
        verb, *rest = line.split()
        words = [word for word in rest if "=" not in word]
        pairs = (word.partition("=") for word in rest if "=" in word)
        given = {FIELDS.get(key, key): value(text) for key, _, text in pairs}
        getattr(self, "do_" + verb)(*words, **given)
        if arrow:
            self.expect([] if wanted.strip() == "nothing" else wanted.split(","))

    def do_site(self, **given: Any) -> None:
        self.settings |= given

    def do_workload(self, **given: Any) -> None:
        self.workloads.append(
            Workload(
                **(
                    {"objective": 1000.0, "stretch": 2.0, "deadline": 5000.0, "value": 1.0, "late_value": 0.0}
                    | given
                )
            )
        )

    def do_engines(self, count: str, **given: Any) -> None:
        for engine in range(int(count)):
            self.entries[engine] = ENTRY._replace(engine=engine, **given)
        self.rules.list_changed(self.now, list(self.entries.values()), True)

    def do_engine(self, engine: str, **given: Any) -> None:
        line = self.entries.get(int(engine), ENTRY._replace(engine=int(engine)))
        self.entries[int(engine)] = line._replace(**given)
        self.rules.list_changed(self.now, [self.entries[int(engine)]], False)

    def do_unlist(self, engine: str) -> None:
        del self.entries[int(engine)]
        self.rules.list_changed(self.now, list(self.entries.values()), True)

    def do_stop(self, until: str) -> None:
        self.rules.shutdown_started(self.now, float(until))

    def do_list_failed(self) -> None:
        self.rules.list_failed(self.now)

    def do_at(self, when: str) -> None:
        while self.timers and min(self.timers)[0] <= float(when):
            due = min(self.timers)
            self.timers.remove(due)
            self.now = max(self.now, due[0])
            self.rules.timer_fired(self.now, due[1])
            self.rules.end_batch(self.now)
        self.now = float(when)

    def do_submit(
        self,
        *numbers: str,
        kind: int = 0,
        cost: float = 100.0,
        life: float = 5000.0,
        key: int = 0,
        group: int = 0,
        tenant: int = 0,
    ) -> None:
        for number in numbers:
            deadline = self.now + life
            self.rules.request_received(self.now, int(number), kind, tenant, key, deadline, cost, 0.0, group)
        self.rules.end_batch(self.now)

    def do_end(
        self, *attempts: str, ending: Ending = Ending.DELIVERED, took: float = 100.0, report: float = 0.0
    ) -> None:
        for name in attempts:
            number, _, attempt = name.partition(".")
            which = int(number), int(attempt or 0)
            final = ending == Ending.DELIVERED
            engine = self.engine_of[which]
            self.rules.attempt_ended(self.now, *which, engine, ending, took, final, 0.0, 0.0, (report,))
        self.rules.end_batch(self.now)

    def do_note(self, number: str, word: ProgressKind, level: float) -> None:
        self.rules.progress_reported(self.now, int(number), 0, self.engine_of[int(number), 0], word, level)

    def do_withdraw(self, number: str) -> None:
        self.rules.request_withdrawn(self.now, int(number))

    def do_interval(self, engine: str, served: float, work: float = 0.0, most: float = 99.0) -> None:
        measured = self.rules.engines[int(engine)]
        measured.served_threads, measured.served_work, measured.peak_threads = served, work, most
        measured.adjust_limit(
            self.rules.widest_request * self.rules.own_in_flight / self.rules.fleet_in_flight
        )

    def do_set(self, engine: str, **given: Any) -> None:
        for name, new in given.items():
            setattr(self.rules.engines[int(engine)], ENGINE_FIELDS[name], new)

    def do_set_all(self, **given: Any) -> None:
        for engine in self.rules.engines:
            self.do_set(str(engine), **given)

    def do_bound(self, engine: str, wanted: str) -> None:
        self.case.assertAlmostEqual(self.rules.engines[int(engine)].concurrency_limit, float(wanted))

    def do_pressing(self, wanted: str) -> None:
        self.case.assertAlmostEqual(self.rules.pressure_threshold, float(wanted), 2)

    def do_cold(self, engine: str) -> None:
        self.case.assertGreater(self.rules.engines[int(engine)].slow_start_until, self.now)

    def do_warm(self, engine: str) -> None:
        self.case.assertLessEqual(self.rules.engines[int(engine)].slow_start_until, self.now)

    def do_aside(self, *engines: str) -> None:
        aside = [
            str(engine.number) for engine in self.rules.engines.values() if engine.ejected_until > self.now
        ]
        self.case.assertEqual(aside, list(engines))

    def do_aside_only(self, count: str) -> None:
        self.case.assertEqual(
            sum(engine.ejected_until > self.now for engine in self.rules.engines.values()), int(count)
        )

    def expect(self, wanted: list[str]) -> None:
        got, self.actions = [asked.split() for asked in self.actions], []
        self.case.assertEqual(len(got), len(wanted), f"at {self.now}: {got} where {wanted} was expected")
        for asked, words in zip(got, [part.split() for part in wanted], strict=True):
            asked = [*asked[:2], "?"] if words[-1] == "?" else asked
            self.case.assertEqual(asked, words, f"at {self.now}: {got}")


def scenarios() -> Iterator[tuple[str, list[str]]]:
    for path in sorted(FOLDER.glob("*.txt")):
        for part in path.read_text().split("== ")[1:]:
            title, _, body = part.partition("\n")
            lines = [line.partition("#")[0].strip() for line in body.splitlines()]
            yield f"{path.stem}: {title}", [line for line in lines if line]


class Scenarios(unittest.TestCase):
    def test_all(self) -> None:
        played = 0
        for title, lines in scenarios():
            with self.subTest(title):
                script = Script(self)
                for step in "; ".join(lines).split("; "):
                    script.play(step)
                played += 1
        self.assertGreater(played, 20)


if __name__ == "__main__":
    unittest.main()
