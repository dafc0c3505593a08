"""The rules by which observers follow the store, by tables: no sockets, no disks, time given."""

from __future__ import annotations

import random
import unittest
from collections import Counter

import msgspec

from eiderpin.fleet.backoff import FullJitter
from eiderpin.fleet.member_choice import MAX_AVOID_MS, MemberChoice
from eiderpin.fleet.subscription import (
    DocumentsChanged,
    FencedOut,
    Placement,
    PresenceConfirmed,
    Refused,
    Reply,
    Subscription,
    SubscriptionError,
    Update,
    UpToDate,
    Violation,
)
from eiderpin.parts.observer import MemberEndpoint
from eiderpin.parts.observer import read_options as read_follow_options
from eiderpin.store import in_force, observer_sessions, presence
from eiderpin.store.admission import SnapshotAdmission
from eiderpin.store.document_digest import DocumentDigest
from eiderpin.store.in_force import InForceCounts
from eiderpin.store.names import CURRENT, IN_FORCE, OBSERVERS, PRESENT, WORKER_ORDERS
from eiderpin.store.observer_protocol import (
    VERSION,
    Accepted,
    Announced,
    Changes,
    ConfigOutcome,
    Fenced,
    Fleet,
    FromMember,
    FromObserver,
    Leave,
    Ping,
    Pong,
    Rejected,
    Rejection,
    Report,
    SnapshotPage,
    Subscribe,
)
from eiderpin.store.observer_registry import FENCE_AFTER, ObserverRegistry, version_of
from eiderpin.store.observer_sessions import Effect, End, Joined, ObserverSessions, Phase, Send
from eiderpin.store.presence import FoldedPresence, LiveDispatchers, ObserverEntry, ServedObservers
from eiderpin.store.state import Command, Delete, Document, Event, Put, Store, Transaction

ORDER = WORKER_ORDERS + "w1"


def put(store: Store, name: str, value: bytes) -> Event:
    """Change a document, and return the event of it."""
    answer = store.apply(Command("", 0, Transaction([Put(name, value)])))
    return Event(answer.revision, name, value)


def delete(store: Store, name: str) -> Event:
    answer = store.apply(Command("", 0, Transaction([Delete(name)])))
    return Event(answer.revision, name, None)


def subscribed(*messages: FromMember, at: tuple[int, int] = (1, 10)) -> Subscription:
    """A copy with one document at a position, on a new connection that has brought these messages."""
    copy = Subscription("c1", "o1", "token")
    copy.subscribe()
    copy.handle_message(Accepted(VERSION, "m0", at[0], False))
    copy.handle_message(SnapshotPage(at[1], [Document(ORDER, b"old", 7, 7)], True, True))
    copy.subscribe()
    for message in messages:
        copy.handle_message(message)
    return copy


RESUMED = Accepted(VERSION, "m0", 1, True)
SNAPSHOT = Accepted(VERSION, "m0", 1, False)


class TestSubscription(unittest.TestCase):
    def test_what_must_not_be_taken(self) -> None:
        page = SnapshotPage(12, [], True, False)
        event = Event(11, CURRENT, b"1\n{}")
        cases: list[tuple[str, list[FromMember], Violation]] = [
            ("nothing was accepted", [Ping(1, 10, 0.0)], Violation.MALFORMED),
            ("accepted twice", [RESUMED, RESUMED], Violation.MALFORMED),
            ("older generation", [Accepted(VERSION, "m0", 0, False)], Violation.OLDER_GENERATION),
            ("another generation resumed", [Accepted(VERSION, "m0", 2, True)], Violation.MALFORMED),
            ("a gap", [RESUMED, Changes(11, 12, [])], Violation.GAP),
            ("changes to nowhere", [RESUMED, Changes(10, 10, [])], Violation.MALFORMED),
            ("an event from before", [RESUMED, Changes(10, 11, [Event(9, "a", b"")])], Violation.MALFORMED),
            ("an event from ahead", [RESUMED, Changes(10, 11, [Event(12, "a", b"")])], Violation.MALFORMED),
            ("an older snapshot", [SNAPSHOT, SnapshotPage(9, [], True, True)], Violation.OLDER_REVISION),
            ("a page of no snapshot", [SNAPSHOT, SnapshotPage(12, [], False, True)], Violation.MALFORMED),
            ("changes amid a snapshot", [SNAPSHOT, page, Changes(10, 11, [event])], Violation.MALFORMED),
            ("changes before a snapshot", [SNAPSHOT, Changes(10, 11, [event])], Violation.MALFORMED),
            ("current before a snapshot", [SNAPSHOT, Ping(1, 12, 0.0)], Violation.MALFORMED),
            ("another digest", [RESUMED, Ping(1, 10, 0.0, 99)], Violation.DIGEST),
        ]
        for what, messages, violation in cases:
            with self.subTest(what):
                copy = subscribed(*messages[:-1])
                before = (copy.position, dict(copy.documents))
                with self.assertRaises(SubscriptionError) as caught:
                    copy.handle_message(messages[-1])
                self.assertIs(caught.exception.violation, violation)
                self.assertEqual((copy.position, copy.documents), before)

    def test_what_is_taken(self) -> None:
        event = Event(11, CURRENT, b"1\n{}")
        old = Event(9, ORDER, b"older")
        gone = Event(12, ORDER, None)
        cases: list[tuple[str, list[FromMember], list[Update], tuple[int, int]]] = [
            ("changes", [RESUMED, Changes(10, 11, [event])], [DocumentsChanged([event])], (1, 11)),
            (
                "some known already",
                [RESUMED, Changes(8, 11, [old, event])],
                [DocumentsChanged([event])],
                (1, 11),
            ),
            ("all known already", [RESUMED, Changes(8, 10, [old])], [], (1, 10)),
            ("a deletion", [RESUMED, Changes(10, 12, [gone])], [DocumentsChanged([gone])], (1, 12)),
            ("a ping", [RESUMED, Ping(3, 15, 5.0)], [Reply(Pong(3)), UpToDate(5.0)], (1, 15)),
            ("a ping while it waits", [SNAPSHOT, Ping(3, -1, 5.0)], [Reply(Pong(3))], (1, 10)),
            ("a rejection", [Rejected("full", "x")], [Refused("full", "x")], (1, 10)),
            ("its place", [RESUMED, Fleet(9, 3)], [Placement(9, 3)], (1, 10)),
            ("known to all", [RESUMED, Announced(8)], [PresenceConfirmed()], (1, 10)),
            ("fenced", [RESUMED, Fenced()], [FencedOut()], (1, 10)),
        ]
        for what, messages, updates, position in cases:
            with self.subTest(what):
                copy = subscribed(*messages[:-1])
                self.assertEqual(copy.handle_message(messages[-1]), updates)
                self.assertEqual(copy.position, position)

    def test_a_snapshot_tells_only_what_differs_and_goes_over_generations(self) -> None:
        copy = subscribed(Accepted(VERSION, "m0", 2, False))
        same = Document(ORDER, b"old", 3, 3)
        new = Document(CURRENT, b"1\n{}", 4, 4)
        self.assertEqual(copy.handle_message(SnapshotPage(5, [new], True, False)), [])
        updates = copy.handle_message(SnapshotPage(5, [same], False, True))
        self.assertEqual(updates, [DocumentsChanged([Event(4, CURRENT, b"1\n{}")]), UpToDate(0.0)])
        self.assertEqual(copy.position, (2, 5))
        copy.subscribe()
        copy.handle_message(Accepted(VERSION, "m0", 2, False))
        self.assertEqual(
            copy.handle_message(SnapshotPage(6, [new], True, True))[0],
            DocumentsChanged([Event(6, ORDER, None)]),
        )

    def test_a_copy_that_differs_is_asked_for_anew_and_never_goes_back(self) -> None:
        copy = subscribed(RESUMED)
        with self.assertRaises(SubscriptionError):
            copy.handle_message(Ping(1, 10, 0.0, copy.digest.value + 1))
        asked = copy.subscribe()
        self.assertEqual((asked.generation, asked.revision), (0, 0))
        self.assertEqual((asked.floor_generation, asked.floor_revision), (1, 10))
        with self.assertRaises(SubscriptionError):
            copy.handle_message(RESUMED)
        copy.subscribe()
        copy.handle_message(SNAPSHOT)
        copy.handle_message(SnapshotPage(10, [Document(ORDER, b"right", 8, 8)], True, True))
        self.assertEqual(copy.documents[ORDER].value, b"right")
        self.assertEqual(copy.subscribe().revision, 10)


class TestSessions(unittest.TestCase):
    def setUp(self) -> None:
        self.store = Store(history=4)
        put(self.store, ORDER, b"a")
        put(self.store, "other", b"b")
        self.sessions = ObserverSessions("c1", lambda: 1, "m0", lambda: self.store, 0.0, most=2)

    def subscribe(
        self, key: int = 1, position: tuple[int, int] = (0, 0), floor: tuple[int, int] | None = None,
        cluster: str = "c1", version: int = VERSION,
    ) -> list[Effect]:  # fmt: skip
        asked = Subscribe(version, cluster, f"o{key}", "t", 1, 0, "", *position, *(floor or position))
        return self.sessions.received(key, asked, 0.0)

    def change(self, name: str, value: bytes = b"x") -> list[Effect]:
        return self.sessions.applied([put(self.store, name, value)], 0.0)

    def test_a_new_one_gets_a_snapshot_then_changes(self) -> None:
        accepted, joined, page = self.subscribe()
        self.assertEqual(joined, Joined(1))
        self.assertEqual(accepted, Send([1], Accepted(VERSION, "m0", 1, False)))
        assert isinstance(page, Send) and isinstance(page.message, SnapshotPage)
        self.assertEqual([d.name for d in page.message.documents], [ORDER])
        self.assertEqual((page.message.revision, page.message.last), (2, True))
        self.assertEqual(self.change("other"), [])
        event = Event(4, CURRENT, b"1\n")
        self.assertEqual(self.change(CURRENT, b"1\n"), [Send([1], Changes(2, 4, [event]))])

    def test_one_that_comes_back_gets_what_it_missed_or_a_snapshot(self) -> None:
        self.change(CURRENT, b"1\n")
        for position, resumes in (((1, 2), True), ((1, 3), True), ((0, 3), False)):
            with self.subTest(position=position):
                effects = self.subscribe(9, position)
                self.assertEqual(effects[0], Send([9], Accepted(VERSION, "m0", 1, resumes)))
                self.sessions.closed(9)
        for number in range(6):
            self.change("other", b"%d" % number)  # the history holds four events
        self.assertEqual(self.subscribe(9, (1, 3))[0], Send([9], Accepted(VERSION, "m0", 1, False)))

    def test_who_is_not_served(self) -> None:
        cases = [
            ("another cluster", {"cluster": "c2"}, Rejection.CLUSTER),
            ("a newer protocol", {"version": VERSION + 1}, Rejection.VERSION),
            ("a later generation", {"position": (2, 1)}, Rejection.GENERATION_AHEAD),
        ]
        for what, said, kind in cases:
            with self.subTest(what):
                (ended,) = self.subscribe(**said)  # type: ignore[arg-type]
                assert isinstance(ended, End)
                self.assertIs(ended.kind, kind)
                self.assertEqual(self.sessions.sessions, {})
        self.subscribe(1)
        self.subscribe(2)
        (full,) = self.subscribe(3)
        assert isinstance(full, End)
        self.assertIs(full.kind, Rejection.FULL)

    def test_messages_out_of_place(self) -> None:
        self.subscribe(1)
        asked = self.sessions.sessions[1].subscribe
        cases: list[tuple[str, int, FromObserver]] = [
            ("no Subscribe first", 7, Pong(0)),
            ("a second Subscribe", 1, asked),
            ("a pong to no ping", 1, Pong(5)),
            ("a report from the future", 1, Report(99, 0, "none")),
        ]
        for what, key, message in cases:
            with self.subTest(what):
                (ended,) = self.sessions.received(key, message, 0.0)
                assert isinstance(ended, End)
                self.assertIs(ended.kind, Rejection.MALFORMED)

    def test_one_that_is_ahead_waits_for_us_and_never_gets_older_state(self) -> None:
        self.assertEqual(self.subscribe(1, (1, 4)), [])
        self.assertEqual(self.sessions.tick(1900.0, 0, 0.0), [])
        self.assertEqual(self.change("other"), [])
        effects = self.change("other")
        self.assertEqual(effects[:2], [Send([1], Accepted(VERSION, "m0", 1, True)), Joined(1)])
        self.subscribe(2, (1, 9))
        (ended,) = [e for e in self.sessions.tick(2100.0, 0, 0.0) if isinstance(e, End)]
        self.assertEqual((ended.key, ended.kind), (2, Rejection.REVISION_AHEAD))

    def test_one_that_answers_no_ping_is_ended_within_3_s(self) -> None:
        self.subscribe(1)
        self.subscribe(2)
        ended: list[tuple[float, End]] = []
        for step in range(60):
            now = 50.0 * step
            for effect in self.sessions.tick(now, 0, 0.0):
                if isinstance(effect, End):
                    ended.append((now, effect))
                    self.sessions.closed(effect.key)
                elif isinstance(effect, Send) and isinstance(effect.message, Ping) and 2 in effect.keys:
                    self.sessions.received(2, Pong(effect.message.number), now)
        ((at, end),) = ended
        self.assertEqual((end.key, end.kind), (1, Rejection.UNRESPONSIVE))
        self.assertLess(at, 3000.0)

    def test_pages_go_one_by_one_and_changes_meanwhile_come_after_them(self) -> None:
        for number in range(3):
            put(self.store, f"{WORKER_ORDERS}big{number}", b"x" * observer_sessions.PAGE_BYTES)
        self.sessions.replaced(0.0)
        _, _, first = self.subscribe()
        assert isinstance(first, Send) and isinstance(first.message, SnapshotPage)
        self.assertEqual((first.message.first, first.message.last), (True, False))
        self.assertEqual(self.change(CURRENT, b"1\n"), [])
        pages = []
        while self.sessions.sessions[1].phase is Phase.SNAPSHOT:
            pages += self.sessions.flushed(1)
        last, changes = pages[-2:]
        assert isinstance(last, Send) and isinstance(last.message, SnapshotPage)
        self.assertTrue(last.message.last)
        assert isinstance(changes, Send) and isinstance(changes.message, Changes)
        self.assertEqual([e.name for e in changes.message.events], [CURRENT])
        self.assertEqual(changes.message.base, last.message.revision)

    def test_a_slow_one_whose_changes_are_forgotten_begins_anew(self) -> None:
        put(self.store, f"{WORKER_ORDERS}big", b"x" * observer_sessions.PAGE_BYTES)
        self.sessions.replaced(0.0)
        self.subscribe()
        for number in range(6):
            self.change("other", b"%d" % number)
        self.sessions.flushed(1)
        self.assertIs(self.sessions.sessions[1].phase, Phase.QUEUED)
        (page,) = [e for e in self.sessions.tick(50.0, 0, 0.0) if isinstance(e, Send)]
        assert isinstance(page.message, SnapshotPage)
        self.assertEqual((page.message.first, page.message.revision), (True, self.store.revision))

    def test_no_ping_tells_of_what_was_not_passed_on(self) -> None:
        self.subscribe()
        event = put(self.store, CURRENT, b"1\n")  # applied; its disk failed before it was passed on
        (ping,) = [e for e in self.sessions.tick(1000.0, 2, 0.0) if isinstance(e, Send)]
        assert isinstance(ping.message, Ping)
        self.assertEqual(ping.message.revision, 2)
        self.assertEqual(self.sessions.applied([event], 0.0), [Send([1], Changes(2, 3, [event]))])

    def test_much_that_changed_goes_in_parts_cut_between_revisions(self) -> None:
        self.subscribe()
        big = b"x" * (observer_sessions.CHANGES_BYTES // 2 - 100)
        events = [put(self.store, f"{WORKER_ORDERS}w{n}", big) for n in range(5)]
        sent = [e.message for e in self.sessions.applied(events, 0.0) if isinstance(e, Send)]
        copy = subscribed(RESUMED, at=(1, 2))
        for message in sent:
            assert isinstance(message, Changes)
            self.assertLessEqual(len(message.events), 2)
            copy.handle_message(message)
        self.assertEqual((len(sent), copy.position), (3, (1, 7)))
        one = self.store.apply(
            Command("", 0, Transaction([Put(f"{WORKER_ORDERS}w{n}", big) for n in range(3)]))
        ).revision
        whole = self.sessions.applied(self.store.since(one), 0.0)  # one revision is never cut
        assert isinstance(whole[0], Send) and isinstance(whole[0].message, Changes)
        self.assertEqual((len(whole), len(whole[0].message.events)), (1, 3))

    def test_one_that_lacks_very_much_gets_a_snapshot(self) -> None:
        store = self.store = Store()
        self.sessions = ObserverSessions("c1", lambda: 1, "m0", lambda: store, 0.0)
        put(store, ORDER, b"a")
        for number in range(9):
            put(store, ORDER, b"%d" % number + b"x" * observer_sessions.PAGE_BYTES)
        self.sessions.replaced(0.0)
        self.subscribe(1, (1, 1))
        self.assertIs(self.sessions.sessions[1].phase, Phase.QUEUED)
        (page,) = [e.message for e in self.sessions.tick(0.0, 0, 0.0) if isinstance(e, Send)]
        assert isinstance(page, SnapshotPage)
        copy = subscribed(RESUMED, at=(1, 1))  # it was told that it resumes, and takes the snapshot as well
        copy.handle_message(page)
        self.assertEqual((copy.position, copy.documents[ORDER].revision), ((1, 10), 10))

    def test_one_that_leaves_is_forgotten(self) -> None:
        self.subscribe()
        self.assertEqual(self.sessions.received(1, Leave(), 0.0), [])
        self.assertEqual(self.change(CURRENT), [])

    def test_a_digest_follows_each_change_and_is_told_now_and_then(self) -> None:
        self.subscribe()
        self.change(CURRENT, b"1\n")
        self.sessions.applied([delete(self.store, ORDER)], 0.0)
        whole = DocumentDigest(d for d in self.store.documents.values() if d.name == CURRENT)
        self.assertEqual(self.sessions.digest.value, whole.value)
        told = []
        for second in range(1, 61):
            for effect in self.sessions.tick(second * 1000.0, 0, 0.0):
                if isinstance(effect, Send) and isinstance(effect.message, Ping):
                    told.append(effect.message.digest)
                    self.sessions.received(1, Pong(effect.message.number), second * 1000.0)
        self.assertEqual((len(told), [d for d in told if d]), (60, [whole.value, whole.value]))


class TestAdmission(unittest.TestCase):
    def test_rate_burst_and_concurrency(self) -> None:
        admission = SnapshotAdmission(0.0, per_second=10.0, burst=3.0, concurrent=5)
        for key in range(20):
            admission.ask(key)
        self.assertEqual(admission.admit(0.0), [0, 1, 2])
        self.assertEqual(admission.admit(99.0), [])
        self.assertEqual(admission.admit(100.0), [3])
        self.assertEqual(admission.admit(1000.0), [4])  # five are under way
        admission.forget(0)
        admission.forget(5)  # it has gone while it waited
        self.assertEqual(admission.admit(1000.0), [6])


class TestMemberChoice(unittest.TestCase):
    MEMBERS = [MemberEndpoint(f"m{i}", ("127.0.0.1", 1 + i), f"r{i % 2}") for i in range(4)]

    def choice(
        self, name: str, region: str = "", members: list[MemberEndpoint] | None = None
    ) -> MemberChoice:
        return MemberChoice(name, region, members or self.MEMBERS, random.Random(1))

    def test_observers_spread_evenly_and_move_little(self) -> None:
        names = [f"o{i}" for i in range(2000)]
        before = {name: self.choice(name).first.member for name in names}
        for member, count in Counter(before.values()).items():
            self.assertTrue(425 <= count <= 575, (member, count))
        after = {name: self.choice(name, members=self.MEMBERS[1:]).first.member for name in names}
        moved = [name for name in names if before[name] != after[name]]
        self.assertEqual({before[name] for name in moved}, {"m0"})

    def test_the_own_region_comes_first(self) -> None:
        for number in range(50):
            ranked = self.choice(f"o{number}", "r1").ranked
            self.assertEqual([e.region for e in ranked], ["r1", "r1", "r0", "r0"])

    def test_who_fails_is_avoided_for_longer_each_time(self) -> None:
        choice = self.choice("o1")
        first = choice.first
        choice.avoid(first.member, 0.0)
        self.assertNotEqual(choice.best(900.0), first)
        self.assertEqual(choice.best(2000.0), first)
        for _ in range(9):
            choice.avoid(first.member, 0.0)
        self.assertNotEqual(choice.best(MAX_AVOID_MS / 2 - 1), first)
        self.assertEqual(choice.best(MAX_AVOID_MS), first)
        for endpoint in self.MEMBERS:
            choice.avoid(endpoint.member, 0.0)
        self.assertIsNone(choice.best(100.0))
        self.assertNotEqual(choice.next_member(100.0), first)  # the others' times are over sooner
        choice.clear_avoidance(first.member)
        self.assertEqual(choice.best(100.0), first)

    def test_waits_are_drawn_from_zero_to_a_bound_that_doubles(self) -> None:
        waits = []
        for seed in range(400):
            jitter = FullJitter(random.Random(seed), 100.0, 800.0)
            waits.append([jitter.next_wait_ms() for _ in range(6)])
        for step, bound in enumerate((100.0, 200.0, 400.0, 800.0, 800.0, 800.0)):
            drawn = sorted(w[step] for w in waits)
            self.assertTrue(drawn[0] < 0.05 * bound and 0.95 * bound < drawn[-1] <= bound)
            self.assertTrue(0.4 * bound < drawn[200] < 0.6 * bound)


def entry(name: str, token: str, session: int = 1, epoch: int = 0) -> ObserverEntry:
    return ObserverEntry(name, token, session, epoch)


class TestPresence(unittest.TestCase):
    def test_which_entry_counts(self) -> None:
        cases = [
            ("one that moved", (entry("o", "t", 1, 5), 9), (entry("o", "t", 2, 5), 8), "m1"),
            ("moved, not known yet", (entry("o", "t", 1), 6), (entry("o", "t", 2), 7), "m1"),
            ("a later process", (entry("o", "new", 1), 9), (entry("o", "old", 8, 5), 10), "m0"),
            ("an earlier one wakes", (entry("o", "new", 1, 7), 9), (entry("o", "old", 9, 5), 20), "m0"),
        ]
        for what, first, second, member in cases:
            documents = [("m0", *first), ("m1", *second)]
            for order in (documents, documents[::-1]):
                with self.subTest(what):
                    folded = FoldedPresence()
                    for at, one, revision in order:
                        folded.take(at, [one], revision)
                    self.assertEqual(folded.observers["o"].member, member)
                    folded.take(member, None, 30)
                    self.assertNotEqual(folded.observers["o"].member, member)

    def test_who_loses_its_connection_stays_for_the_lease(self) -> None:
        served = ServedObservers(lease=100.0)
        for name in ("a", "b", "c"):
            served.connect(entry(name, "t", 1, 3))
        self.assertEqual([e.name for e in served.entries()], ["a", "b", "c"])
        served.lose("a", "t", 0.0)
        served.lose("b", "other", 0.0)  # of an earlier process
        served.remove("c", "t")
        served.expire(99.0)
        self.assertEqual([(e.name, e.connected) for e in served.entries()], [("a", False), ("b", True)])
        self.assertFalse(served.changed)
        served.expire(100.0)
        self.assertTrue(served.changed)
        self.assertEqual([e.name for e in served.entries()], ["b"])
        served.connect(entry("d", "t"))
        served.entries()
        served.announce("d", "t", 5)
        self.assertFalse(served.changed)  # its document says so already, by its revision
        self.assertEqual(served.entries()[1].epoch, 5)

    def test_everybody_has_one_place(self) -> None:
        live = LiveDispatchers()
        live.member("m0", True)
        live.announced("m0", [entry("o2", "t"), entry("o1", "t")])
        live.announced("m1", [entry("o1", "t")])
        self.assertEqual(live.names(), ["m0", "o1", "o2"])
        self.assertEqual(live.place("o2"), (3, 2))
        live.announced("m0", None)
        self.assertEqual((live.place("o1"), live.place("o2")), ((2, 1), None))


class TestRegistry(unittest.TestCase):
    def setUp(self) -> None:
        self.registry = ObserverRegistry("m0")

    def join(self, key: int, token: str, session: int = 1, epoch: int = 0, name: str = "o") -> list[Effect]:
        asked = Subscribe(VERSION, "c1", name, token, session, epoch)
        return self.registry.joined(key, asked, 0.0)

    def commit(self, member: str, revision: int, *entries: ObserverEntry) -> list[Effect]:
        value = presence.pack(list(entries))
        return self.registry.applied([Event(revision, OBSERVERS + member, value)], 0.0)

    def test_a_process_that_began_later_takes_the_name(self) -> None:
        self.assertEqual(self.join(1, "old"), [])
        self.assertEqual(self.commit("m0", 5, entry("o", "old")), [Send([1], Announced(5))])
        self.assertEqual(self.commit("m0", 6, entry("o", "old", 1, 5)), [])
        self.assertEqual(self.join(2, "new"), [Send([1], Fenced())])
        self.assertEqual(self.commit("m0", 9, entry("o", "new")), [Send([2], Announced(9))])
        self.assertEqual(self.join(3, "old", 2, 5), [Send([3], Fenced())])

    def test_a_process_that_began_later_at_another_member_takes_the_name(self) -> None:
        self.join(1, "old")
        self.commit("m0", 5, entry("o", "old"))
        self.assertEqual(self.commit("m1", 8, entry("o", "new")), [])
        self.assertEqual(self.registry.tick(FENCE_AFTER - 1), [Send([1], Fleet(1, 0))])
        self.assertEqual(self.registry.tick(FENCE_AFTER), [Send([1], Fenced())])
        (put,) = [p for p in self.registry.announcement(1, 0.0, True) if p.name == OBSERVERS + "m0"]
        self.assertEqual(presence.read(put.value), [])

    def test_a_process_that_died_at_its_start_and_is_announced_late_fences_nobody(self) -> None:
        self.join(1, "new")
        self.commit("m0", 5, entry("o", "new"))
        self.commit("m1", 8, entry("o", "died"))
        self.registry.tick(FENCE_AFTER - 1)
        self.commit("m1", 9, msgspec.structs.replace(entry("o", "died", 1, 8), connected=False))
        self.assertEqual(self.registry.tick(FENCE_AFTER + 1), [])
        self.join(2, "at once", name="p")
        self.registry.left(2, 0.0, planned=False)
        (put, _) = self.registry.announcement(1, 0.0, True)
        self.assertEqual([e.name for e in presence.read(put.value)], ["o"])

    def test_a_change_of_member_fences_nobody(self) -> None:
        self.join(1, "t")
        self.commit("m0", 5, entry("o", "t"))
        self.assertEqual(self.commit("m1", 6, entry("o", "t", 2, 5)), [])
        self.assertEqual(self.join(2, "t", 3, 5), [])
        self.registry.left(1, 0.0, planned=False)  # the connection of before
        (put, _) = self.registry.announcement(1, 0.0, True)
        self.assertEqual([(e.name, e.session) for e in presence.read(put.value)], [("o", 3)])

    def test_each_is_told_its_place_once(self) -> None:
        self.join(1, "t", name="o1")
        self.join(2, "t", name="o2")
        self.registry.applied([Event(3, PRESENT + "m0", b"{}")], 0.0)
        self.commit("m0", 5, entry("o1", "t"), entry("o2", "t"))
        self.assertEqual(self.registry.tick(0.0), [Send([1], Fleet(3, 1)), Send([2], Fleet(3, 2))])
        self.assertEqual(self.registry.tick(0.0), [])
        self.registry.applied([Event(8, PRESENT + "m0", None)], 0.0)
        self.assertEqual(self.registry.tick(0.0), [Send([1], Fleet(2, 0)), Send([2], Fleet(2, 1))])

    def test_what_a_replaced_state_lacks_is_gone(self) -> None:
        self.registry.applied([Event(2, PRESENT + "m1", b"{}"), Event(3, PRESENT + "m2", b"{}")], 0.0)
        self.commit("m1", 5, entry("o1", "t"))
        self.registry.replaced([Event(3, PRESENT + "m2", b"{}")], 0.0)
        self.assertEqual((self.registry.live.names(), self.registry.folded.observers), (["m2"], {}))

    def test_what_cannot_be_read_changes_nothing(self) -> None:
        self.commit("m1", 5, entry("o", "t"))
        self.registry.applied([Event(6, OBSERVERS + "m1", b"\xc1")], 0.0)
        self.assertEqual(self.registry.live.names(), ["o"])
        self.assertEqual([version_of(v) for v in (b"12\n{}", b"x\n", b"", None)], [12, 0, 0, 0])

    def test_only_what_changed_is_put(self) -> None:
        self.join(1, "t")
        names = [p.name for p in self.registry.announcement(1, 0.0, False)]
        self.assertEqual(names, [OBSERVERS + "m0", IN_FORCE + "m0"])
        self.assertEqual(self.registry.announcement(1, 0.0, False), [])
        self.registry.reported(1, Report(3, 0, "none"), 0.0)
        self.assertEqual([p.name for p in self.registry.announcement(1, 0.0, False)], [IN_FORCE + "m0"])


class TestInForce(unittest.TestCase):
    def test_who_has_it_and_who_lags(self) -> None:
        counts = InForceCounts()
        for name in ("a", "b", "c"):
            counts.connect(name, 0.0)
            counts.report(name, Report(1, 0, "none"), 0.0)
        self.assertEqual(counts.summary(0.0).in_force, 3)
        counts.current(4, 1000.0)
        counts.report("a", Report(2, 4, "in_force"), 1100.0)
        counts.report("b", Report(2, 4, "restart_needed", "settings"), 1200.0)
        said = counts.summary(3000.0)
        self.assertEqual((said.version, said.observers, said.in_force, said.everywhere_ms), (4, 3, 1, -1))
        lagging = [(x.name, x.version, x.outcome, x.detail, x.behind_ms) for x in said.lagging]
        self.assertEqual(lagging, [("b", 4, "restart_needed", "settings", 2000), ("c", 0, "none", "", 2000)])
        counts.report("b", Report(3, 4, "in_force"), 3500.0)
        counts.report("c", Report(3, 4, "in_force"), 4000.0)
        said = counts.summary(9000.0)
        self.assertEqual((said.in_force, said.everywhere_ms, said.slowest), (3, 3000, "c"))
        self.assertEqual(in_force.read(in_force.pack(said)), said)
        counts.current(5, 10_000.0)
        counts.disconnect("c", 10_500.0)
        self.assertEqual((counts.summary(10_500.0).observers, counts.summary(10_500.0).in_force), (2, 0))

    def test_outcomes_have_the_words_of_the_protocol(self) -> None:
        self.assertEqual({o.value for o in ConfigOutcome}, {"none", "in_force", "restart_needed", "rejected"})


class TestOptions(unittest.TestCase):
    def test_what_follow_takes(self) -> None:
        said = {"follow": {"m0": "10.0.0.1:7200", "m1": {"address": "10.0.0.2:7200", "region": "south"}},
                "region": "south", "cluster": "c1"}  # fmt: skip
        options = read_follow_options(said, "d1")
        self.assertEqual((options.name, options.cluster, options.region), ("d1", "c1", "south"))
        wanted = (MemberEndpoint("m0", ("10.0.0.1", 7200)), MemberEndpoint("m1", ("10.0.0.2", 7200), "south"))
        self.assertEqual(options.endpoints, wanted)

    def test_what_it_does_not_take(self) -> None:
        cases: list[tuple[dict[str, object], str]] = [
            ({"follow": {}}, "an object of members"),
            ({"follow": {"m0": "nowhere"}}, "store.follow.m0: 'nowhere'"),
            ({"follow": {"m 0": "h:1"}}, "no name"),
            ({"follow": {"m0": {"address": "h:1", "zone": "x"}}}, "store.follow.m0.zone"),
            ({"follow": {"m0": {"address": "h:1", "region": 3}}}, "text is expected"),
            ({"follow": {"m0": "h:1"}, "directory": "/x"}, "store.directory: it has no place"),
            ({"follow": {"m0": "h:1"}, "name": "a b"}, "store.name"),
            ({"follow": {"m0": "h:1"}, "region": 4}, "store.region"),
        ]
        for said, why in cases:
            with self.subTest(why), self.assertRaisesRegex(ValueError, why):
                read_follow_options(said, "d1")


if __name__ == "__main__":
    unittest.main()
