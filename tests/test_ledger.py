"""The ledger's rules against a plain model, and its protocol explored to the last state."""

from __future__ import annotations

import unittest
from collections.abc import Iterable
from typing import Any

import hypothesis.strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, invariant, rule
from minicheck import Protocol, check_safety

from eiderpin.durable.frames import FormatError, Record
from eiderpin.jobs import records
from eiderpin.jobs.ledger import Ledger, LedgerRuleError, MayNotRun, NameTaken, Step, asks_same
from eiderpin.jobs.records import Accepted, AnyRecord, Ended, Leased, Opened, Released

SINGLE = frozenset({"post"})


def accepted(
    job: int, cls: str = "post", unique: str = "", at: float = 0.0, deadline: float = 100.0
) -> Accepted:
    return Accepted(at, job, cls, unique, f"w{job}", b"/" + cls.encode(), b"body", deadline)


def leased(job: int, attempt: int = 0) -> Leased:
    return Leased(1.0, job, attempt, "h1", 1, "http", "127.0.0.1:9")


def ledger_of(said: Iterable[AnyRecord], **limits: Any) -> Ledger:
    ledger = Ledger(SINGLE, **limits)
    for record in said:
        ledger.apply(records.unpack(records.pack(record)))
    return ledger


class Rules(unittest.TestCase):
    def test_records_that_break_a_rule_change_nothing(self) -> None:
        ended, ran = Ended(3.0, 1, "succeeded", b"r", True), Released(2.0, 1, 0, True, "reset")
        cases: list[tuple[str, list[AnyRecord], AnyRecord]] = [
            ("taken on twice", [accepted(1)], accepted(1)),
            ("is the name of job 1", [accepted(1, unique="a")], accepted(2, unique="a")),
            ("never taken on", [], leased(7)),
            ("never taken on", [accepted(1)], Ended(1.0, 2, "aborted")),
            ("must not run twice", [accepted(1), leased(1)], leased(1, 1)),
            ("must not run twice", [accepted(1), leased(1), ran], leased(1, 1)),
            ("leased twice", [accepted(1, "read"), leased(1)], leased(1)),
            ("after its end", [accepted(1), leased(1), ended], leased(1, 1)),
            ("never leased", [accepted(1)], Released(2.0, 1, 0, False, "rejected")),
            ("ends twice", [accepted(1), leased(1), ended], Ended(4.0, 1, "aborted")),
            ("term 1 after term 2", [Opened(0.0, 2, "a", ("post",))], Opened(0.0, 1, "b")),
        ]
        for text, said, bad in cases:
            with self.subTest(text=text, bad=bad):
                ledger = ledger_of(said)
                before = list(ledger.snapshot())
                with self.assertRaisesRegex(LedgerRuleError, text):
                    ledger.apply(bad)
                self.assertEqual(list(ledger.snapshot()), before)

    def test_an_unrun_lease_may_be_followed_and_one_that_may_have_run_may_not(self) -> None:
        for cls, ran, may in (("post", False, True), ("post", True, False), ("read", True, True)):
            ledger = ledger_of([accepted(1, cls), leased(1), Released(2.0, 1, 0, ran, "x")])
            if may:
                ledger.apply(ledger.lease(1, 1, "h2", 3.0, "http", ""))
            else:
                with self.assertRaises(MayNotRun):
                    ledger.lease(1, 1, "h2", 3.0, "http", "")

    def test_what_is_kept_after_the_end(self) -> None:
        ran: list[AnyRecord] = [leased(1), Released(2.0, 1, 0, True, "reset")]
        cases = [
            ("post", [], "aborted", True), ("post", ran, "aborted", True), ("read", ran, "aborted", False),
            ("post", [], "declined", False), ("read", [leased(1)], "succeeded", True),
        ]  # fmt: skip
        for cls, between, verdict, kept in cases:
            ledger = ledger_of([accepted(1, cls, "a"), *between, Ended(3.0, 1, verdict)])
            self.assertEqual(ledger.find(cls, "a") is not None, kept, (cls, verdict))

    def test_kept_answers_go_by_age_count_and_size(self) -> None:
        said: list[AnyRecord] = []
        for job in range(1, 11):
            ended = Ended(float(job), job, "succeeded", b"r" * 1000)
            said += [accepted(job, unique=f"n{job}"), leased(job), ended]
        for limits, now, left in (
            ({"keep": 5.0}, 10.0, 5), ({"most": 3}, 10.0, 3), ({"most_bytes": 5000}, 10.0, 3), ({}, 10.0, 10),
        ):  # fmt: skip
            ledger = ledger_of(said, **limits)
            ledger.expire(now)
            self.assertEqual(len(ledger.jobs), left, limits)
            self.assertEqual(ledger.find("post", "n10") is not None, True)
            self.assertIsNone(ledger.find("post", "n1") if left < 10 else None)
            ledger.apply(accepted(11, unique="n1" if left < 10 else "n11"))  # the name is free again

    def test_recovery_tells_what_may_be_done(self) -> None:
        ledger = ledger_of([
            accepted(1), accepted(2), leased(2), accepted(3, deadline=5.0),
            accepted(4), leased(4), Released(2.0, 4, 0, True, "reset"),
            accepted(5, "read"), leased(5), Released(2.0, 5, 0, True, "reset"),
            accepted(6), leased(6), Ended(3.0, 6, "succeeded"),
        ])  # fmt: skip
        plan = {job.accepted.job: step for step, job in ledger.plan(10.0)}
        self.assertEqual(plan, {1: Step.PLACE, 2: Step.WAIT, 3: Step.LATE, 4: Step.LATE, 5: Step.PLACE})

    def test_a_snapshot_says_the_same_and_keeps_the_fingerprint(self) -> None:
        ended = Ended(3.0, 1, "succeeded", b"r")
        ledger = ledger_of([accepted(1, unique="a"), leased(1), ended, accepted(2)])
        again = ledger_of(ledger_of(ledger.snapshot()).snapshot())
        self.assertEqual(list(again.snapshot()), list(ledger.snapshot()))
        job = again.find("post", "a")
        assert job is not None
        self.assertEqual(job.accepted.body, b"")
        self.assertTrue(asks_same(job.accepted, b"/post", b"body"))
        self.assertFalse(asks_same(job.accepted, b"/post", b"other"))

    def test_records_of_a_newer_program_and_nonsense_are_refused(self) -> None:
        for bad in (Record(9, 1, b""), Record(2, 2, b""), Record(2, 1, b"\xc1"), Record(2, 1, b"\x91\xa1x")):
            with self.assertRaises(FormatError):
                records.unpack(bad)


class AgainstAModel(RuleBasedStateMachine):
    """Random lives of jobs: the ledger, a ledger that has read the same records, and plain dictionaries."""

    jobs = Bundle("jobs")

    def __init__(self) -> None:
        super().__init__()
        self.ledger = Ledger(SINGLE)
        self.said: list[AnyRecord] = []
        self.now = 1.0
        self.cls: dict[int, str] = {}
        self.may_have_run: dict[int, int] = {}  # leases that may have run
        self.over: set[int] = set()
        self.attempts: dict[int, int] = {}

    def say(self, record: AnyRecord) -> None:
        self.ledger.apply(record)
        self.said.append(record)
        self.now += 1

    @rule(target=jobs, cls=st.sampled_from(["post", "read"]), unique=st.sampled_from(["", "a", "b", "c"]))
    def accept(self, cls: str, unique: str) -> int:
        job = self.ledger.next_job()
        try:
            self.say(self.ledger.accept(accepted(job, cls, unique, self.now)))
        except NameTaken:
            holder = self.ledger.find(cls, unique)
            assert holder is not None and holder.accepted.job not in self.over
            return holder.accepted.job
        self.cls[job], self.may_have_run[job], self.attempts[job] = cls, 0, 0
        return job

    @rule(job=jobs)
    def lease(self, job: int) -> None:
        may = job not in self.over and not (self.cls[job] == "post" and self.may_have_run[job])
        try:
            record = self.ledger.lease(job, self.attempts[job], "h1", self.now, "http", "")
        except MayNotRun:
            assert not may
            return
        assert may
        self.say(record)
        self.attempts[job] += 1
        self.may_have_run[job] += 1

    @rule(job=jobs, ran=st.booleans())
    def release(self, job: int, ran: bool) -> None:
        known = self.ledger.jobs.get(job)
        if known is None or not known.out:
            return
        self.say(Released(self.now, job, known.out[0].leased.attempt, ran, "x"))
        self.may_have_run[job] -= not ran

    @rule(job=jobs, verdict=st.sampled_from(["succeeded", "aborted", "declined"]), told=st.booleans())
    def end(self, job: int, verdict: str, told: bool) -> None:
        if job not in self.over:
            self.say(Ended(self.now, job, verdict, b"r", told))
            self.over.add(job)

    @invariant()
    def reading_it_again_says_the_same(self) -> None:
        again = ledger_of(self.said)
        assert list(again.snapshot()) == list(self.ledger.snapshot())
        for job in self.cls:
            if self.cls[job] == "post":
                assert self.may_have_run[job] <= 1


TestAgainstAModel = AgainstAModel.TestCase

# -- the protocol

FIELDS = ("up", "crashes", "disk", "tail", "sent", "wire", "ran", "reports", "asking", "told")


def protocol(lease_first: bool, crashes: int = 3) -> Protocol:
    """One single-shot job and two attempts, through crashes at every place. The rules are the real ledger's.

    `disk`, `tail`: records that are on disk, and written since. `sent`: what this process leased and sent.
    `wire`: attempts on their way to a worker. `reports`: attempts whose result a worker still tells.
    `told`: what clients that asked have been answered.
    """

    def view(d: dict[str, Any]) -> Ledger:
        return ledger_of([*d["disk"], *d["tail"]])

    def transitions(state: tuple[Any, ...]) -> list[tuple[str, tuple[Any, ...]]]:
        d = dict(zip(FIELDS, state, strict=True))
        steps: list[tuple[str, tuple[Any, ...]]] = []

        def to(label: str, **changes: Any) -> None:
            steps.append((label, tuple({**d, **changes}[f] for f in FIELDS)))

        for attempt in sorted(d["wire"]):
            left = d["wire"] - {attempt}
            reports = d["reports"] | {attempt}
            to(f"worker runs attempt {attempt}", wire=left, ran=d["ran"] + 1, reports=reports)
            to(f"attempt {attempt} is lost on its way, and nobody knows", wire=left)
        if not d["up"]:
            to("recover", up=True, sent=frozenset())
            return steps
        if d["crashes"]:
            for kept in range(len(d["tail"]) + 1):
                to(f"crash; of the tail {kept} records stay", up=False, crashes=d["crashes"] - 1,
                   asking=False, disk=d["disk"] + d["tail"][:kept], tail=(), sent=frozenset())  # fmt: skip
        if d["tail"]:
            to("sync", disk=d["disk"] + d["tail"], tail=())
        ledger = view(d)
        job = ledger.jobs.get(1)
        known = ledger.find("post", "a")

        def say(*said: AnyRecord) -> tuple[AnyRecord, ...]:
            return (*d["tail"], *said)

        if not d["asking"] and len(d["told"]) < 2:
            to("client asks" if known is not None else "client asks; accept", asking=True,
               tail=d["tail"] if known is not None else say(accepted(1, unique="a")))  # fmt: skip
        safe = ledger_of(d["disk"] if lease_first else [*d["disk"], *d["tail"]])
        if job is not None and job.ended is None:
            if not job.out:
                try:
                    attempt = len(job.leases)
                    if attempt < 2:
                        lease = ledger.lease(1, attempt, "h1", 1.0, "http", "")
                        to(f"lease attempt {attempt}", tail=say(lease), sent=d["sent"] | {("mine", attempt)})
                except MayNotRun:
                    pass
            for out in job.out:
                attempt = out.leased.attempt
                mine, gone = ("mine", attempt) in d["sent"], ("gone", attempt) in d["sent"]
                there = safe.jobs.get(1)
                on_disk = there is not None and any(x.leased.attempt == attempt for x in there.leases)
                if mine and not gone and on_disk:
                    sent = d["sent"] | {("gone", attempt)}
                    to(f"send attempt {attempt}", wire=d["wire"] | {attempt}, sent=sent)
                if mine and not gone:
                    to(f"attempt {attempt} is refused before its first byte",
                       tail=say(Released(2.0, 1, attempt, False, "refused")))  # fmt: skip
                if not mine or gone:
                    released = Released(2.0, 1, attempt, True, "silence")
                    ended = Ended(3.0, 1, "aborted", b"", d["asking"])
                    to(f"lease {attempt} expires", tail=say(released, ended))
                if attempt in d["reports"]:
                    to(f"report of attempt {attempt}", reports=d["reports"] - {attempt},
                       tail=say(Ended(3.0, 1, "succeeded", b"r", d["asking"])))  # fmt: skip
        untold = job is not None and job.ended is not None and not job.ended.told
        if untold and d["reports"] and job is not None and job.state() != "succeeded":
            to("late report", reports=frozenset(), tail=say(Ended(4.0, 1, "succeeded", b"r", False)))
        there = ledger_of(d["disk"]).jobs.get(1)
        if d["asking"] and job is not None and job.ended is not None and not job.ended.told:
            to("note that it is told", tail=say(Ended(5.0, 1, job.ended.verdict, job.ended.result, True)))
        told = there is not None and there.ended is not None and there.ended.told
        if d["asking"] and told and not d["tail"]:
            assert there is not None and there.ended is not None
            to("answer", asking=False, told=(*d["told"], there.ended.verdict))
        return steps

    return Protocol(
        name="durable job", candidate=False, fields=FIELDS,
        initial=(True, crashes, (), (), frozenset(), frozenset(), 0, frozenset(), False, ()),
        transitions=transitions,
        invariants={
            "runs at most once": lambda d: d["ran"] <= 1,
            "one answer": lambda d: len(set(d["told"])) <= 1,
        },
    )  # fmt: skip


class ProtocolExplored(unittest.TestCase):
    def test_at_most_one_run_and_one_answer_whatever_crashes(self) -> None:
        found = check_safety(protocol(lease_first=True))
        for name, result in found["properties"].items():
            self.assertTrue(result["holds"], (name, result.get("counterexample")))

    def test_without_lease_before_send_the_check_fails_with_a_short_trace(self) -> None:
        found = check_safety(protocol(lease_first=False))
        result = found["properties"]["runs at most once"]
        self.assertFalse(result["holds"])
        self.assertLessEqual(len(result["counterexample"]), 11)


if __name__ == "__main__":
    unittest.main()
