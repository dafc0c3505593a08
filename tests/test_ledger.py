"""Tests of the ledger's rules.

They are checked by cases, by random operations compared with a plain model, and by an exhaustive exploration
of the protocol between clients, dispatcher, disk and workers.
"""

from __future__ import annotations

import unittest
from collections.abc import Iterable
from typing import Any

import hypothesis.strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, invariant, rule
from minicheck import Protocol, check_safety

from eiderpin.durable.frames import FormatError, Record
from eiderpin.jobs import records
from eiderpin.jobs.ledger import (
    JobNameTakenError,
    JobNotRunnableError,
    Ledger,
    LedgerRuleError,
    RecoveryStep,
    is_same_job,
)
from eiderpin.jobs.records import Accepted, AnyRecord, Ended, Leased, Opened, Released

SINGLE = frozenset({"post"})


def accepted(
    job: int, cls: str = "post", unique: str = "", at: float = 0.0, deadline: float = 100.0
) -> Accepted:
    return Accepted(at, job, cls, unique, f"w{job}", b"/" + cls.encode(), b"body", deadline)


def leased(job: int, attempt: int = 0) -> Leased:
    return Leased(1.0, job, attempt, "h1", 1, "http", "127.0.0.1:9")


def ended_jobs(count: int, cls: str, first: int = 1, told: bool = True) -> list[AnyRecord]:
    """The records of so many jobs that were served, with names from n1 on."""
    job_records: list[AnyRecord] = []
    for number in range(1, count + 1):
        job = first + number - 1
        ended = Ended(float(number), job, "succeeded", b"r" * 1000, told)
        job_records += [accepted(job, cls, unique=f"n{number}"), leased(job), ended]
    return job_records


def ledger_of(job_records: Iterable[AnyRecord], **limits: Any) -> Ledger:
    """A ledger that has applied these records, each packed and unpacked as on disk."""
    ledger = Ledger(SINGLE, **limits)
    for record in job_records:
        ledger.apply(records.unpack(records.pack(record)))
    return ledger


class Rules(unittest.TestCase):
    def test_a_record_that_breaks_a_rule_is_refused_and_changes_nothing(self) -> None:
        """A ledger with contradictory records must not be recovered as if it were right."""
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
        for text, valid, bad in cases:
            with self.subTest(text=text, bad=bad):
                ledger = ledger_of(valid)
                before = list(ledger.snapshot())
                with self.assertRaisesRegex(LedgerRuleError, text):
                    ledger.apply(bad)
                self.assertEqual(list(ledger.snapshot()), before)

    def test_a_job_is_leased_again_only_if_it_did_not_run_or_may_run_twice(self) -> None:
        """A second lease of a job that may have run would run a single-run job twice."""
        for cls, ran, is_allowed in (("post", False, True), ("post", True, False), ("read", True, True)):
            ledger = ledger_of([accepted(1, cls), leased(1), Released(2.0, 1, 0, ran, "x")])
            if is_allowed:
                ledger.apply(ledger.lease(1, 1, "h2", 3.0, "http", ""))
            else:
                with self.assertRaises(JobNotRunnableError):
                    ledger.lease(1, 1, "h2", 3.0, "http", "")

    def test_which_ended_jobs_are_kept(self) -> None:
        """If a job were forgotten whose answer a client has received, its resubmission would run it again."""
        ran: list[AnyRecord] = [leased(1), Released(2.0, 1, 0, True, "reset")]
        cases = [
            ("post", [], "aborted", True), ("post", ran, "aborted", True), ("read", ran, "aborted", False),
            ("post", [], "declined", False), ("read", [leased(1)], "succeeded", True),
        ]  # fmt: skip
        for cls, between, verdict, is_kept in cases:
            ledger = ledger_of([accepted(1, cls, "a"), *between, Ended(3.0, 1, verdict)])
            self.assertEqual(ledger.find(cls, "a") is not None, is_kept, (cls, verdict))

    def test_stored_answers_expire_by_age_count_and_size(self) -> None:
        """Answers that never expire would fill the memory, and their names could not be used again."""
        for cls, limits, remaining in (
            ("read", {"keep_ms": 5.0}, 5), ("read", {"max_answers": 3}, 3),
            ("read", {"max_answer_bytes": 5000}, 3), ("read", {}, 10), ("post", {"keep_ms": 5.0}, 5),
        ):  # fmt: skip
            ledger = ledger_of(ended_jobs(10, cls), **limits)
            ledger.expire(10.0)
            self.assertEqual(len(ledger.jobs), remaining, limits)
            self.assertEqual(ledger.find(cls, "n10") is not None, True)
            self.assertIsNone(ledger.find(cls, "n1") if remaining < 10 else None)
            # The name is free again.
            ledger.apply(accepted(11, cls, unique="n1" if remaining < 10 else "n11"))

    def test_names_that_must_not_run_again_stay_when_there_are_too_many_answers(self) -> None:
        """The oldest were removed, so that their jobs ran again when they were submitted again."""
        for limits, served, has_room in (
            ({"max_answers": 3}, 10, False), ({"max_answer_bytes": 5000}, 1, True),
            ({"max_answer_bytes": 3100}, 0, False),
        ):  # fmt: skip
            ledger = ledger_of([*ended_jobs(10, "post"), *ended_jobs(10, "read", first=11)], **limits)
            ledger.expire(10.0)
            reloaded = ledger_of(ledger.snapshot(), **limits)
            for kept in (ledger, reloaded):
                jobs = [kept.find("post", f"n{number}") for number in range(1, 11)]
                verdicts = [job.ended.verdict for job in jobs if job is not None and job.ended is not None]
                self.assertEqual(verdicts, ["aborted"] * (10 - served) + ["succeeded"] * served, limits)
                self.assertEqual(len(kept.jobs), 10)  # those that may run again are gone
                self.assertEqual(kept.has_room("post", "new"), has_room)
                self.assertTrue(kept.has_room("read", "new"))
                kept.expire(4_000_000.0)
                self.assertEqual((len(kept.jobs), kept.has_room("post", "new")), (0, True))

    def test_a_record_that_a_result_was_told_is_read_after_the_result_was_dropped(self) -> None:
        """A long ledger is read with its bounds applied; such a record would have kept it from being read."""
        ledger = ledger_of(ended_jobs(10, "post", told=False), max_answer_bytes=5000)
        ledger.expire(10.0)
        ledger.apply(Ended(1.0, 1, "succeeded", b"r" * 1000, True))
        job = ledger.find("post", "n1")
        assert job is not None and job.ended is not None
        self.assertEqual((job.ended.verdict, job.ended.result), ("aborted", b""))

    def test_a_record_of_a_job_that_was_removed_while_reading_is_passed_over(self) -> None:
        """The dispatcher did not start: bounds are applied at other moments while a long ledger is read."""
        for late in (Ended(11.0, 1, "succeeded", b"r" * 1000, True), Released(11.0, 1, 0, True, "reset")):
            ledger = ledger_of(ended_jobs(10, "read", told=False), max_answers=3)
            ledger.expire(10.0)
            before = list(ledger.snapshot())
            ledger.apply(late)
            self.assertEqual(list(ledger.snapshot()), before)
            with self.assertRaisesRegex(LedgerRuleError, "never taken on"):
                ledger.apply(leased(1, 1))

    def test_a_class_that_must_not_run_twice_any_more_makes_room(self) -> None:
        """A new owner may have other settings than the one that wrote the ledger."""
        ledger = ledger_of(ended_jobs(10, "post"), max_answers=3)
        ledger.apply(Opened(10.0, 2, "b", ()))
        ledger.expire(10.0)
        self.assertEqual((len(ledger.jobs), ledger.has_room("post", "new")), (3, True))
        ledger.apply(Opened(10.0, 3, "b", ("post",)))
        ledger.expire(10.0)
        self.assertEqual((len(ledger.jobs), ledger.has_room("post", "new")), (3, False))

    def test_the_recovery_plan_has_the_right_step_for_each_open_job(self) -> None:
        """A wrong step runs a job twice, or leaves one without an end."""
        ledger = ledger_of([
            accepted(1), accepted(2), leased(2), accepted(3, deadline=5.0),
            accepted(4), leased(4), Released(2.0, 4, 0, True, "reset"),
            accepted(5, "read"), leased(5), Released(2.0, 5, 0, True, "reset"),
            accepted(6), leased(6), Ended(3.0, 6, "succeeded"),
        ])  # fmt: skip
        plan = {job.accepted.job: step for step, job in ledger.plan_recovery(10.0)}
        self.assertEqual(
            plan,
            {
                1: RecoveryStep.PLACE,
                2: RecoveryStep.WAIT,
                3: RecoveryStep.LATE,
                4: RecoveryStep.LATE,
                5: RecoveryStep.PLACE,
            },
        )

    def test_a_snapshot_restores_the_same_ledger_with_the_fingerprints(self) -> None:
        """A checkpoint replaces the records before it, and it lacks the bodies of ended jobs: without the
        fingerprint a resubmission could not be compared with the first submission."""
        ended = Ended(3.0, 1, "succeeded", b"r")
        ledger = ledger_of([accepted(1, unique="a"), leased(1), ended, accepted(2)])
        again = ledger_of(ledger_of(ledger.snapshot()).snapshot())
        self.assertEqual(list(again.snapshot()), list(ledger.snapshot()))
        job = again.find("post", "a")
        assert job is not None
        self.assertEqual(job.accepted.body, b"")
        self.assertTrue(is_same_job(job.accepted, b"/post", b"body"))
        self.assertFalse(is_same_job(job.accepted, b"/post", b"other"))

    def test_records_of_a_newer_program_and_malformed_records_are_refused(self) -> None:
        """A record that is not understood must stop the reading, or the rest would be misread."""
        for bad in (Record(9, 1, b""), Record(2, 2, b""), Record(2, 1, b"\xc1"), Record(2, 1, b"\x91\xa1x")):
            with self.assertRaises(FormatError):
                records.unpack(bad)


class AgainstAModel(RuleBasedStateMachine):
    """Random operations on a ledger, on one that reads the same records, and on plain dictionaries."""

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
        except JobNameTakenError:
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
        except JobNotRunnableError:
            assert not may
            return
        assert may
        self.say(record)
        self.attempts[job] += 1
        self.may_have_run[job] += 1

    @rule(job=jobs, ran=st.booleans())
    def release(self, job: int, ran: bool) -> None:
        known = self.ledger.jobs.get(job)
        if known is None or not known.active_leases:
            return
        self.say(Released(self.now, job, known.active_leases[0].leased.attempt, ran, "x"))
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
    """One single-run job with up to two attempts and a crash at every place. The rules are the real ledger's.

    `lease_first`: an attempt is sent only once its lease is on disk. The fields of a state are:
    `up`: the dispatcher runs. `crashes`: how many may still happen. `disk`, `tail`: records on disk, and
    records written since. `sent`: what this process has leased ("mine") and sent ("gone"). `wire`: attempts
    on their way to a worker. `ran`: how often the job has run. `reports`: attempts whose result a worker
    still reports. `asking`: a client waits. `told`: the answers that clients have received.
    """

    def current_ledger(state: dict[str, Any]) -> Ledger:
        return ledger_of([*state["disk"], *state["tail"]])

    def transitions(values: tuple[Any, ...]) -> list[tuple[str, tuple[Any, ...]]]:
        state = dict(zip(FIELDS, values, strict=True))
        steps: list[tuple[str, tuple[Any, ...]]] = []

        def add_step(label: str, **changes: Any) -> None:
            steps.append((label, tuple({**state, **changes}[name] for name in FIELDS)))

        for attempt in sorted(state["wire"]):
            others = state["wire"] - {attempt}
            reports = state["reports"] | {attempt}
            add_step(f"worker runs attempt {attempt}", wire=others, ran=state["ran"] + 1, reports=reports)
            add_step(f"attempt {attempt} is lost on its way, and nobody knows", wire=others)
        if not state["up"]:
            add_step("recover", up=True, sent=frozenset())
            return steps
        if state["crashes"]:
            for kept in range(len(state["tail"]) + 1):
                add_step(f"crash; of the tail {kept} records stay", up=False, crashes=state["crashes"] - 1,
                         asking=False, disk=state["disk"] + state["tail"][:kept], tail=(),
                         sent=frozenset())  # fmt: skip
        if state["tail"]:
            add_step("sync", disk=state["disk"] + state["tail"], tail=())
        ledger = current_ledger(state)
        job = ledger.jobs.get(1)
        known = ledger.find("post", "a")

        def tail_with(*added: AnyRecord) -> tuple[AnyRecord, ...]:
            return (*state["tail"], *added)

        if not state["asking"] and len(state["told"]) < 2:
            add_step("client asks" if known is not None else "client asks; accept", asking=True,
                     tail=state["tail"] if known is not None
                     else tail_with(accepted(1, unique="a")))  # fmt: skip
        sendable = ledger_of(state["disk"] if lease_first else [*state["disk"], *state["tail"]])
        if job is not None and job.ended is None:
            if not job.active_leases:
                try:
                    attempt = len(job.leases)
                    if attempt < 2:
                        lease = ledger.lease(1, attempt, "h1", 1.0, "http", "")
                        add_step(f"lease attempt {attempt}", tail=tail_with(lease),
                                 sent=state["sent"] | {("mine", attempt)})  # fmt: skip
                except JobNotRunnableError:
                    pass
            for active in job.active_leases:
                attempt = active.leased.attempt
                is_mine, is_sent = ("mine", attempt) in state["sent"], ("gone", attempt) in state["sent"]
                stored = sendable.jobs.get(1)
                is_stored = stored is not None and any(one.leased.attempt == attempt for one in stored.leases)
                if is_mine and not is_sent and is_stored:
                    sent = state["sent"] | {("gone", attempt)}
                    add_step(f"send attempt {attempt}", wire=state["wire"] | {attempt}, sent=sent)
                if is_mine and not is_sent:
                    add_step(f"attempt {attempt} is refused before its first byte",
                             tail=tail_with(Released(2.0, 1, attempt, False, "refused")))  # fmt: skip
                if not is_mine or is_sent:
                    released = Released(2.0, 1, attempt, True, "silence")
                    ended = Ended(3.0, 1, "aborted", b"", state["asking"])
                    add_step(f"lease {attempt} expires", tail=tail_with(released, ended))
                if attempt in state["reports"]:
                    add_step(f"report of attempt {attempt}", reports=state["reports"] - {attempt},
                             tail=tail_with(Ended(3.0, 1, "succeeded", b"r", state["asking"])))  # fmt: skip
        is_unanswered = job is not None and job.ended is not None and not job.ended.told
        if is_unanswered and state["reports"] and job is not None and job.state() != "succeeded":
            add_step("late report", reports=frozenset(),
                     tail=tail_with(Ended(4.0, 1, "succeeded", b"r", False)))  # fmt: skip
        stored = ledger_of(state["disk"]).jobs.get(1)
        if state["asking"] and job is not None and job.ended is not None and not job.ended.told:
            add_step("note that it is told",
                     tail=tail_with(Ended(5.0, 1, job.ended.verdict, job.ended.result, True)))  # fmt: skip
        is_told_on_disk = stored is not None and stored.ended is not None and stored.ended.told
        if state["asking"] and is_told_on_disk and not state["tail"]:
            assert stored is not None and stored.ended is not None
            add_step("answer", asking=False, told=(*state["told"], stored.ended.verdict))
        return steps

    return Protocol(
        name="durable job", candidate=False, fields=FIELDS,
        initial=(True, crashes, (), (), frozenset(), frozenset(), 0, frozenset(), False, ()),
        transitions=transitions,
        invariants={
            "runs at most once": lambda state: state["ran"] <= 1,
            "one answer": lambda state: len(set(state["told"])) <= 1,
        },
    )  # fmt: skip


class ProtocolExplored(unittest.TestCase):
    def test_a_job_runs_at_most_once_and_has_one_answer_through_any_crash(self) -> None:
        """A crash between a record and its effect could run the job twice, or give its clients different
        answers."""
        found = check_safety(protocol(lease_first=True))
        for name, result in found["properties"].items():
            self.assertTrue(result["holds"], (name, result.get("counterexample")))

    def test_sending_before_the_lease_is_on_disk_breaks_the_protocol(self) -> None:
        """The exploration has to find the fault that the lease prevents, and by a short trace."""
        found = check_safety(protocol(lease_first=False))
        result = found["properties"]["runs at most once"]
        self.assertFalse(result["holds"])
        self.assertLessEqual(len(result["counterexample"]), 11)


if __name__ == "__main__":
    unittest.main()
