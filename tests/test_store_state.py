"""The state machine of the store: tables of commands, and a comparison with a plain dictionary."""

from __future__ import annotations

import unittest
from unittest import mock

import hypothesis.strategies as st
import pytest
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from eiderpin.store import state
from eiderpin.store.state import (
    Answer,
    Close,
    Command,
    Compacted,
    Compare,
    Delete,
    Event,
    Expire,
    Grant,
    Keep,
    Open,
    Operation,
    Put,
    Revoke,
    Store,
    Transaction,
    pack,
    unpack,
)


def do(store: Store, op: Operation, client: str = "", number: int = 0) -> Answer:
    """Apply a command as it comes out of the log."""
    return store.apply(unpack(pack(Command(client, number, op))))


def put(store: Store, name: str, value: bytes, revision: int | None = None, lease: int = 0) -> Answer:
    """Put one document, with an optional comparison of its revision."""
    compares = [] if revision is None else [Compare(name, revision)]
    return do(store, Transaction([Put(name, value, lease)], compares))


class TestStateMachine(unittest.TestCase):
    def test_a_transaction_applies_only_if_all_comparisons_hold(self) -> None:
        """Guards against transactions that are applied in part, or although one of their comparisons
        fails."""
        store = Store()
        created = put(store, "a", b"1", 0)
        self.assertEqual((created.ok, created.revision), (True, 1))
        changes = [Put("a", b"2"), Put("b", b"2")]
        for compares, ok in (
            ([Compare("a", 0)], False), ([Compare("a", 1), Compare("b", 1)], False),
            ([Compare("a", 1), Compare("b", 0)], True), ([Compare("a", 1)], False),
        ):  # fmt: skip
            self.assertEqual(do(store, Transaction(changes, compares)).ok, ok)
        rows = [(d.name, d.revision, d.created) for d in store.range("")]
        self.assertEqual(rows, [("a", 2, 1), ("b", 2, 2)])
        self.assertEqual(do(store, Transaction([Delete("none")])).revision, 2)  # nothing was deleted

    def test_a_rejected_command_changes_nothing(self) -> None:
        """Guards against commands that fail halfway and leave a part of their changes, which would go on in
        all copies of the state."""
        store = Store()
        put(store, "a", b"1")
        before = store.image()
        many = [Put(f"n{i}", b"") for i in range(state.MAX_OPS + 1)]
        for op, why in (
            (Transaction([]), "0 changes"), (Transaction(many), "changes in one"),
            (Transaction([Put("", b"")]), "a name has"), (Transaction([Put("x" * 600, b"")]), "a name has"),
            (Transaction([Put("a", b"x" * (state.MAX_DOCUMENT_BYTES + 1))]), "are taken"),
            (Transaction([Put(f"n{i}", b"x" * 200_000) for i in range(3)]), "bytes in one transaction"),
            (Transaction([Put("a", b""), Delete("a")]), "twice"),
            (Transaction([Put("a", b"", 7)]), "no lease 7"), (Grant(1.0), "1000 to"),
            (Keep(9), "no lease 9"), (Revoke(9), "no lease 9"), (Open(""), "1 to 128"),
        ):  # fmt: skip
            answer = do(store, op)
            self.assertIn(why, answer.error)
            self.assertFalse(answer.ok)
        self.assertEqual(store.image(), before)

    def test_a_full_store_accepts_changes_that_shrink_it(self) -> None:
        """Guards against a full store that cannot be cleaned up because every change is rejected."""
        with mock.patch.object(state, "MAX_STORE_BYTES", 1000), mock.patch.object(state, "MAX_DOCUMENTS", 3):
            store = Store()
            put(store, "a", b"x" * 900)
            self.assertIn("is full", put(store, "b", b"x" * 200).error)
            self.assertEqual(put(store, "a", b"x").error, "")
            put(store, "b", b""), put(store, "c", b"")
            self.assertIn("3 documents", put(store, "d", b"").error)
            self.assertEqual(do(store, Transaction([Delete("a"), Put("d", b"")])).error, "")

    def test_leases_expire_by_the_logical_time_of_the_store(self) -> None:
        """Leases expire by `Expire` commands only. Guards against documents that outlive their lease, that
        are deleted with a lease they have left, and against time that goes back with a late command."""
        store = Store()
        one, other = do(store, Grant(2000.0)).lease, do(store, Grant(5000.0)).lease
        put(store, "a", b"", lease=one), put(store, "b", b"", lease=other), put(store, "c", b"", lease=one)
        put(store, "c", b"kept")  # put again without the lease
        do(store, Expire(1500.0)), do(store, Keep(one)), do(store, Expire(3000.0))
        self.assertEqual(len(store.documents), 3)
        do(store, Expire(3500.0))
        self.assertEqual(sorted(store.documents), ["b", "c"])
        do(store, Expire(100.0))  # a late command of an earlier leader
        self.assertEqual(store.now, 3500.0)
        do(store, Revoke(other))
        self.assertEqual(sorted(store.documents), ["c"])
        self.assertEqual([e.value for e in store.events_since(1, "b")], [b"", None])

    def test_a_repeated_numbered_command_is_applied_once(self) -> None:
        """A client repeats a command if it gets no answer. Guards against applying it twice, against
        accepting an older number, and against sessions without a limit."""
        store = Store()
        create_once = Transaction([Put("n", b"x")], [Compare("n", 0)])
        self.assertIn("not known", do(store, create_once, "c", 1).error)
        do(store, Open("c"), "c", 0)
        first = do(store, create_once, "c", 1)
        self.assertEqual(do(store, create_once, "c", 1), first)
        self.assertTrue(first.ok)
        self.assertFalse(do(store, create_once, "c", 2).ok)
        self.assertIn("came before", do(store, create_once, "c", 1).error)
        do(store, Open("c"), "c", 0)  # opened again: its numbers continue
        self.assertIn("came before", do(store, create_once, "c", 1).error)
        do(store, Close("c"))
        self.assertIn("not known", do(store, create_once, "c", 3).error)
        with mock.patch.object(state, "MAX_SESSIONS", 2):
            for name in ("d", "e", "f"):
                do(store, Open(name), name, 0)
        self.assertEqual(list(store.sessions), ["e", "f"])

    def test_history_is_trimmed_by_whole_revisions(self) -> None:
        """Guards against a revision of which only a part is kept: a watch that resumes there would miss the
        rest."""
        store = Store(history=4)
        for i in range(3):
            do(store, Transaction([Put("a", b"%d" % i), Put("b", b"%d" % i)]))
        self.assertEqual(store.oldest, 2)
        self.assertEqual([e.revision for e in store.events_since(2)], [2, 2, 3, 3])
        self.assertEqual(store.events_since(4), [])
        with self.assertRaises(Compacted):
            store.events_since(1)


class AgainstAModel(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.store, self.twin = Store(history=30), Store(history=30)
        self.plain: dict[str, bytes] = {}
        self.seen: dict[str, bytes] = {}  # by watching
        self.next = 1

    def do(self, op: Operation) -> Answer:
        answer = do(self.store, op)
        assert do(self.twin, op) == answer
        return answer

    names = st.sampled_from("abcd")

    @rule(name=names, value=st.binary(max_size=4), right=st.booleans())
    def cas(self, name: str, value: bytes, right: bool) -> None:
        known = self.store.get(name)
        revision = known.revision if known is not None else 0
        op = Transaction([Put(name, value)], [Compare(name, revision if right else revision + 1)])
        assert self.do(op).ok is right
        if right:
            self.plain[name] = value

    @rule(chosen=st.sets(names, min_size=1))
    def delete(self, chosen: set[str]) -> None:
        self.do(Transaction([Delete(n) for n in sorted(chosen)]))
        for name in chosen:
            self.plain.pop(name, None)

    @rule()
    def restart(self) -> None:
        self.twin = Store.from_image(self.twin.image(), history=30)

    @rule()
    def watch(self) -> None:
        events: list[Event] = []
        try:
            events = self.store.events_since(self.next)
        except Compacted:
            self.seen = {d.name: d.value for d in self.store.range("")}
        for event in events:
            if event.value is None:
                del self.seen[event.name]
            else:
                self.seen[event.name] = event.value
        self.next = self.store.revision + 1
        assert self.seen == self.plain

    @invariant()
    def both_hold_what_the_plain_one_holds(self) -> None:
        assert {d.name: d.value for d in self.store.range("")} == self.plain
        assert self.store.image() == self.twin.image()
        assert self.store.bytes == sum(len(n) + len(v) for n, v in self.plain.items())


AgainstAModel.TestCase.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)
TestAgainstAModel = AgainstAModel.TestCase


@pytest.mark.parametrize("data", [b"", b"\xc1", b"\x93", b"\x93\xa0\x00\x92\x63\x00"])
def test_malformed_commands_are_rejected(data: bytes) -> None:
    """Bytes of the log that are not a command raise `ValueError` and nothing else."""
    with pytest.raises(ValueError):
        unpack(data)


if __name__ == "__main__":
    unittest.main()
