"""The four rules as properties over random legal days, drains and cold budgets over time, determinism.

A small host plays workers that end attempts in random ways; it keeps the books that the rules are read from
and decides nothing. Malformed, repeated and out-of-order events are thrown in as well.
"""

from __future__ import annotations

import heapq
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from eiderpin import interface as api
from eiderpin.decide import Dispatcher
from tests.conftest import entry, listed, make_settings

ENDS = [*[api.Outcome.DONE] * 8, *[o for o in api.Outcome if o is not api.Outcome.NOT_SENT]]


class Day:
    """One dispatcher, a random fleet and random clients; `broken` lists what went against the rules."""

    def __init__(self, seed: int, settings: api.Settings, jobs: int = 70, noise: bool = True) -> None:
        self.rng = random.Random(seed)
        self.s = settings
        self.d = Dispatcher(settings, seed)
        self.noise = noise
        self.broken: list[str] = []
        self.log: list[str] = []
        self.now = 5000.0
        self.queue: list[tuple[float, int, object]] = []
        self.tie = 0
        self.requests: dict[int, api.Request] = {}
        self.arrived: dict[int, float] = {}
        self.answered: dict[int, float] = {}
        self.attempts: dict[int, list[dict[str, object]]] = {}
        self.told_gone: dict[str, float] = {}
        self.entries = {
            f"w{i}": entry(f"w{i}", zone="ab"[i % 2], cell=i // 3, shape=["std", "big"][i % 3 == 0])
            for i in range(9)
        }
        self.classes = {c.name: c for c in settings.classes}
        self.batch([listed(list(self.entries.values()), api.ListKind.STORED)])
        at = self.now
        for rid in range(jobs):
            at += self.rng.expovariate(1 / 25.0)
            cls = self.rng.choice(settings.classes)
            hint = self.rng.choice([None, 20.0, 150.0, 900.0])
            left = self.rng.choice([300.0, 2000.0, cls.deadline])
            self.push(at, api.Request(rid, cls.name, left, hint=hint))
        for _ in range(12):
            self.push(5000 + self.rng.random() * 25 * jobs, "change")

    def push(self, at: float, what: object) -> None:
        self.tie += 1
        heapq.heappush(self.queue, (at, self.tie, what))

    def run(self) -> Day:
        while self.queue and self.now < 60000:  # all is over long before, unless a rule is broken
            self.now = max(self.now + self.s.tick, self.queue[0][0])
            events: list[api.Event] = []
            while self.queue and self.queue[0][0] <= self.now:
                events += self.happen(heapq.heappop(self.queue)[2])
            if self.noise and self.rng.random() < 0.2:
                rid = self.rng.randrange(200)
                events.append(api.AttemptEnded(rid, 9, "w1", api.Outcome.ERROR, 1.0, False))
                events.append(api.Progress(rid, 9, "w1", True))
                events.append(api.ProbeEnded("nobody", True, 1.0, api.Report(free_slots=-3.0)))
            self.batch(events)
        for rid, at in self.arrived.items():
            if rid not in self.answered:
                self.broken.append(f"request {rid} of {at} was never answered")
        return self

    def happen(self, what: object) -> list[api.Event]:
        if isinstance(what, api.Request):
            self.requests[what.id] = what
            self.arrived[what.id] = self.now
            self.attempts[what.id] = []
            return [what]
        if isinstance(what, api.TimerFired):
            return [what]
        if what == "change":
            return [self.change()]
        assert isinstance(what, dict)
        what["ended"] = True
        rid = what["rid"]
        final = rid in self.answered
        outcome = what["outcome"]
        if outcome is api.Outcome.DONE and not final:
            self.answer(rid)
            final = True
        what["risk"] = not outcome.never_ran
        end = api.AttemptEnded(rid, what["go"], what["worker"], outcome, self.now - what["sent"], final)
        return [end, end] if self.noise and self.rng.random() < 0.1 else [end]

    def change(self) -> api.Membership:
        name = self.rng.choice(sorted(self.entries))
        e = self.entries[name]
        kind = self.rng.choice(["drain", "gone", "restart"])
        if kind == "restart":
            e.state, e.born = api.WorkerState.IN_SERVICE, self.now - self.rng.random() * 1000
            self.told_gone.pop(name, None)
        else:
            e.state = api.WorkerState.DRAINING if kind == "drain" else api.WorkerState.GONE
            self.told_gone.setdefault(name, self.now)
        if self.rng.random() < 0.3:
            left = [x for x in self.entries.values() if x.state is not api.WorkerState.GONE]
            return listed(left)
        return listed([e], api.ListKind.CHANGES)

    def answer(self, rid: int) -> None:
        if rid in self.answered:
            self.broken.append(f"request {rid} was answered twice")
        late = self.now - self.arrived[rid] - self.requests[rid].expires_in
        if late > self.s.answer_grace:
            self.broken.append(f"request {rid} was answered {late} late")
        self.answered[rid] = self.now

    def batch(self, events: list[api.Event]) -> None:
        for a in self.d.handle(self.now, events):
            self.log.append(f"{self.now} {a}")
            if isinstance(a, api.SetTimer):
                self.push(max(a.at, self.now + 1e-6), api.TimerFired(a.handle))
            elif isinstance(a, api.Send):
                self.sent(a)
            elif isinstance(a, api.Refuse | api.Fail):
                self.final(a)

    def risky(self, rid: int) -> list[dict[str, object]]:
        return [x for x in self.attempts[rid] if not x["ended"] or x["risk"]]

    def sent(self, a: api.Send) -> None:
        spec = self.classes[self.requests[a.request].cls]
        if a.request in self.answered:
            self.broken.append(f"sent for {a.request} after its end")
        if self.now - self.told_gone.get(a.worker, self.now) > self.s.drain_grace:
            self.broken.append(f"sent to {a.worker}, which left at {self.told_gone[a.worker]}")
        risky = self.risky(a.request)
        if risky and spec.repeat is api.Repeat.SINGLE_SHOT:
            self.broken.append(f"single-shot {a.request} may run twice")
        if risky and spec.repeat is api.Repeat.GUARDED:
            first = min(risky, key=lambda x: x["sent"])
            if self.now > first["sent"] + spec.memory_span:
                self.broken.append(f"guarded {a.request} was sent after its span")
            if self.entries[a.worker].zone != self.entries[first["worker"]].zone:
                self.broken.append(f"guarded {a.request} left its scope")
        if any(not x["ended"] for x in self.attempts[a.request]) and not self.s.parallel_attempts:
            self.broken.append(f"{a.request} has two attempts out")
        attempt = {
            "rid": a.request, "go": len(self.attempts[a.request]), "worker": a.worker, "sent": self.now,
            "outcome": self.rng.choice(ENDS), "ended": False, "risk": False,
        }  # fmt: skip
        self.attempts[a.request].append(attempt)
        slow = self.rng.random() < 0.1
        self.push(self.now + self.rng.expovariate(1 / (8000.0 if slow else 150.0)), attempt)

    def final(self, a: api.Refuse | api.Fail) -> None:
        spec = self.classes[self.requests[a.request].cls]
        if isinstance(a, api.Refuse) and self.risky(a.request) and spec.repeat is not api.Repeat.FREE:
            self.broken.append(f"refused {a.request}, which may have run")
        self.answer(a.request)


@given(st.integers(0, 10**6))
def test_answers_effects_and_drains_on_random_days(seed: int) -> None:
    assert Day(seed, make_settings()).run().broken == []


@given(st.integers(0, 10**6))
def test_the_same_with_two_copies_allowed_and_a_list_that_must_be_asked_for(seed: int) -> None:
    settings = make_settings(parallel_attempts=True, must_ask=True, ask_within=2000.0, tells_start=True)
    assert Day(seed, settings).run().broken == []


def test_the_same_events_give_the_same_actions() -> None:
    first = Day(5, make_settings()).run().log
    assert first == Day(5, make_settings()).run().log
    assert any("Send" in x for x in first)


@pytest.mark.parametrize("instances", [1, 4, 30])
@pytest.mark.parametrize("together", [False, True])
def test_a_cold_fleet_is_not_pushed_over(instances: int, together: bool) -> None:
    """Every dispatcher floods a fleet that has just started; no window's work goes past the budget.

    The workers have 4 slots and run a job of 400 ms of work in 400 ms when warm. What counts is the work sent
    by all dispatchers together, in any window, against the multiple of what the worker can do in it.
    """
    s = make_settings(instances=instances)
    born = 100000.0
    cold = [entry(f"w{i}", born=born if together or i < 4 else None) for i in range(12)]
    hosts = []
    for i in range(instances):
        d = Dispatcher(make_settings(instances=instances, instance=i), i + 1)
        hosts.append(d)
        d.handle(born, [listed(cold)])
    work: dict[str, list[tuple[float, float]]] = {}
    ends: list[list[tuple[float, int, str]]] = [[] for _ in hosts]
    rid = 0
    for step in range(1, 400):
        now = born + 20.0 * step
        for i, d in enumerate(hosts):
            events: list[api.Event] = [
                api.AttemptEnded(r, 0, w, api.Outcome.DONE, 400.0, True) for at, r, w in ends[i] if at <= now
            ]
            ends[i] = [x for x in ends[i] if x[0] > now]
            if instances == 1 or step % 4 == 0:
                events += [api.Request(rid + j, "pay", 4000.0, hint=400.0) for j in range(3)]
                rid += 3
            for a in d.handle(now, events) if events else []:
                if isinstance(a, api.Send):
                    work.setdefault(a.worker, []).append((now, 400.0))
                    ends[i].append((now + 400.0, a.request, a.worker))
    assert sum(len(v) for v in work.values()) > 100
    for sent in (work[e.name] for e in cold if e.born and e.name in work):
        for at, _ in sent:
            if at - born >= s.warm_up:
                continue
            warmth = s.cold_share + (1 - s.cold_share) * (at - born) / s.warm_up
            window = sum(w for t, w in sent if at <= t < at + s.cold_window)
            assert window <= s.cold_multiple * warmth * 4 * s.cold_window
