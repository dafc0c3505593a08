"""The rules by which observers follow the store, in tables: without sockets or disks, with given times."""

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
from eiderpin.store.names import CURRENT_CONFIG, IN_FORCE, LIVE_MEMBERS, OBSERVERS, WORKER_OVERRIDES
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
from eiderpin.store.observer_registry import FENCE_AFTER_MS, ObserverRegistry, parse_config_version
from eiderpin.store.observer_sessions import Effect, End, Joined, ObserverSessions, Phase, Send
from eiderpin.store.presence import LiveDispatchers, MergedPresence, ObserverEntry, ServedObservers
from eiderpin.store.state import Command, Delete, Document, Event, Put, Store, Transaction

OVERRIDE = WORKER_OVERRIDES + "w1"


def put(store: Store, name: str, value: bytes) -> Event:
    """Change a document and return the event."""
    answer = store.apply(Command("", 0, Transaction([Put(name, value)])))
    return Event(answer.revision, name, value)


def delete(store: Store, name: str) -> Event:
    """Delete a document and return the event."""
    answer = store.apply(Command("", 0, Transaction([Delete(name)])))
    return Event(answer.revision, name, None)


def subscription_after(*messages: FromMember, at: tuple[int, int] = (1, 10)) -> Subscription:
    """Return a copy with one document at position `at`, on a new connection that received `messages`."""
    copy = Subscription("c1", "o1", "token")
    copy.subscribe()
    copy.handle_message(Accepted(VERSION, "m0", at[0], False))
    copy.handle_message(SnapshotPage(at[1], [Document(OVERRIDE, b"old", 7, 7)], True, True))
    copy.subscribe()
    for message in messages:
        copy.handle_message(message)
    return copy


RESUMED = Accepted(VERSION, "m0", 1, True)
SNAPSHOT = Accepted(VERSION, "m0", 1, False)


class TestSubscription(unittest.TestCase):
    def test_invalid_messages_are_rejected_and_change_nothing(self) -> None:
        """Guards against a copy that applies a gap, an older state or a message out of order, and so differs
        from the store without noticing it."""
        page = SnapshotPage(12, [], True, False)
        event = Event(11, CURRENT_CONFIG, b"1\n{}")
        cases: list[tuple[str, list[FromMember], Violation]] = [
            ("nothing was accepted", [Ping(1, 10, 0.0)], Violation.MALFORMED),
            ("accepted twice", [RESUMED, RESUMED], Violation.MALFORMED),
            ("older generation", [Accepted(VERSION, "m0", 0, False)], Violation.OLDER_GENERATION),
            ("another generation resumed", [Accepted(VERSION, "m0", 2, True)], Violation.MALFORMED),
            ("a gap", [RESUMED, Changes(11, 12, [])], Violation.GAP),
            ("changes without a new revision", [RESUMED, Changes(10, 10, [])], Violation.MALFORMED),
            (
                "an event at an older revision",
                [RESUMED, Changes(10, 11, [Event(9, "a", b"")])],
                Violation.MALFORMED,
            ),
            (
                "an event at a later revision",
                [RESUMED, Changes(10, 11, [Event(12, "a", b"")])],
                Violation.MALFORMED,
            ),
            ("an older snapshot", [SNAPSHOT, SnapshotPage(9, [], True, True)], Violation.OLDER_REVISION),
            (
                "a page without a first page",
                [SNAPSHOT, SnapshotPage(12, [], False, True)],
                Violation.MALFORMED,
            ),
            ("changes amid a snapshot", [SNAPSHOT, page, Changes(10, 11, [event])], Violation.MALFORMED),
            ("changes before a snapshot", [SNAPSHOT, Changes(10, 11, [event])], Violation.MALFORMED),
            ("current before a snapshot", [SNAPSHOT, Ping(1, 12, 0.0)], Violation.MALFORMED),
            ("another digest", [RESUMED, Ping(1, 10, 0.0, 99)], Violation.DIGEST),
        ]
        for what, messages, violation in cases:
            with self.subTest(what):
                copy = subscription_after(*messages[:-1])
                before = (copy.position, dict(copy.documents))
                with self.assertRaises(SubscriptionError) as caught:
                    copy.handle_message(messages[-1])
                self.assertIs(caught.exception.violation, violation)
                self.assertEqual((copy.position, copy.documents), before)

    def test_valid_messages_give_updates_and_positions(self) -> None:
        """Each valid message gives the expected updates and moves the copy to the expected position."""
        event = Event(11, CURRENT_CONFIG, b"1\n{}")
        old = Event(9, OVERRIDE, b"older")
        gone = Event(12, OVERRIDE, None)
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
            ("a ping before the snapshot", [SNAPSHOT, Ping(3, -1, 5.0)], [Reply(Pong(3))], (1, 10)),
            ("a rejection", [Rejected("full", "x")], [Refused("full", "x")], (1, 10)),
            ("its placement", [RESUMED, Fleet(9, 3)], [Placement(9, 3)], (1, 10)),
            ("announced", [RESUMED, Announced(8)], [PresenceConfirmed()], (1, 10)),
            ("fenced", [RESUMED, Fenced()], [FencedOut()], (1, 10)),
        ]
        for what, messages, updates, position in cases:
            with self.subTest(what):
                copy = subscription_after(*messages[:-1])
                self.assertEqual(copy.handle_message(messages[-1]), updates)
                self.assertEqual(copy.position, position)

    def test_a_snapshot_reports_only_differences_and_may_change_the_generation(self) -> None:
        """Guards against snapshots that are applied page by page, that report unchanged documents as changed,
        or that miss deletions."""
        copy = subscription_after(Accepted(VERSION, "m0", 2, False))
        same = Document(OVERRIDE, b"old", 3, 3)
        new = Document(CURRENT_CONFIG, b"1\n{}", 4, 4)
        self.assertEqual(copy.handle_message(SnapshotPage(5, [new], True, False)), [])
        updates = copy.handle_message(SnapshotPage(5, [same], False, True))
        self.assertEqual(updates, [DocumentsChanged([Event(4, CURRENT_CONFIG, b"1\n{}")]), UpToDate(0.0)])
        self.assertEqual(copy.position, (2, 5))
        copy.subscribe()
        copy.handle_message(Accepted(VERSION, "m0", 2, False))
        self.assertEqual(
            copy.handle_message(SnapshotPage(6, [new], True, True))[0],
            DocumentsChanged([Event(6, OVERRIDE, None)]),
        )

    def test_a_wrong_digest_leads_to_a_new_snapshot_that_is_not_older(self) -> None:
        """Guards against a copy that stays different from the store, or accepts an older state while it is
        repaired."""
        copy = subscription_after(RESUMED)
        with self.assertRaises(SubscriptionError):
            copy.handle_message(Ping(1, 10, 0.0, copy.digest.value + 1))
        subscribe_message = copy.subscribe()
        self.assertEqual((subscribe_message.generation, subscribe_message.revision), (0, 0))
        self.assertEqual((subscribe_message.floor_generation, subscribe_message.floor_revision), (1, 10))
        with self.assertRaises(SubscriptionError):
            copy.handle_message(RESUMED)
        copy.subscribe()
        copy.handle_message(SNAPSHOT)
        copy.handle_message(SnapshotPage(10, [Document(OVERRIDE, b"right", 8, 8)], True, True))
        self.assertEqual(copy.documents[OVERRIDE].value, b"right")
        self.assertEqual(copy.subscribe().revision, 10)


class TestSessions(unittest.TestCase):
    def setUp(self) -> None:
        self.store = Store(history=4)
        put(self.store, OVERRIDE, b"a")
        put(self.store, "other", b"b")
        self.sessions = ObserverSessions("c1", lambda: 1, "m0", lambda: self.store, 0.0, max_observers=2)

    def subscribe(
        self, key: int = 1, position: tuple[int, int] = (0, 0), floor: tuple[int, int] | None = None,
        cluster: str = "c1", version: int = VERSION,
    ) -> list[Effect]:  # fmt: skip
        subscribe_message = Subscribe(
            version, cluster, f"o{key}", "t", 1, 0, "", *position, *(floor or position)
        )
        return self.sessions.handle_message(key, subscribe_message, 0.0)

    def change(self, name: str, value: bytes = b"x") -> list[Effect]:
        return self.sessions.apply_events([put(self.store, name, value)], 0.0)

    def test_a_new_observer_gets_a_snapshot_and_then_changes(self) -> None:
        """Observers get a snapshot, then the changes of documents that they follow, and of no others."""
        accepted, joined, page = self.subscribe()
        self.assertEqual(joined, Joined(1))
        self.assertEqual(accepted, Send([1], Accepted(VERSION, "m0", 1, False)))
        assert isinstance(page, Send) and isinstance(page.message, SnapshotPage)
        self.assertEqual([d.name for d in page.message.documents], [OVERRIDE])
        self.assertEqual((page.message.revision, page.message.last), (2, True))
        self.assertEqual(self.change("other"), [])
        event = Event(4, CURRENT_CONFIG, b"1\n")
        self.assertEqual(self.change(CURRENT_CONFIG, b"1\n"), [Send([1], Changes(2, 4, [event]))])

    def test_a_returning_observer_gets_missed_changes_or_a_snapshot(self) -> None:
        """Guards against a resumption over changes that are no longer kept, which would lose them."""
        self.change(CURRENT_CONFIG, b"1\n")
        for position, resumes in (((1, 2), True), ((1, 3), True), ((0, 3), False)):
            with self.subTest(position=position):
                effects = self.subscribe(9, position)
                self.assertEqual(effects[0], Send([9], Accepted(VERSION, "m0", 1, resumes)))
                self.sessions.remove(9)
        for number in range(6):
            self.change("other", b"%d" % number)  # the history keeps four events
        self.assertEqual(self.subscribe(9, (1, 3))[0], Send([9], Accepted(VERSION, "m0", 1, False)))

    def test_subscriptions_that_cannot_be_served_are_rejected(self) -> None:
        """Each reason not to serve an observer gives its kind of rejection, and no session remains."""
        cases = [
            ("another cluster", {"cluster": "c2"}, Rejection.CLUSTER),
            ("a newer protocol", {"version": VERSION + 1}, Rejection.VERSION),
            ("a later generation", {"position": (2, 1)}, Rejection.GENERATION_AHEAD),
        ]
        for what, arguments, kind in cases:
            with self.subTest(what):
                (ended,) = self.subscribe(**arguments)  # type: ignore[arg-type]
                assert isinstance(ended, End)
                self.assertIs(ended.kind, kind)
                self.assertEqual(self.sessions.sessions, {})
        self.subscribe(1)
        self.subscribe(2)
        (full,) = self.subscribe(3)
        assert isinstance(full, End)
        self.assertIs(full.kind, Rejection.FULL)

    def test_unexpected_messages_end_the_session(self) -> None:
        """Guards against observers that send messages in a wrong order, or about pings and revisions that do
        not exist."""
        self.subscribe(1)
        subscribe_message = self.sessions.sessions[1].subscribe
        cases: list[tuple[str, int, FromObserver]] = [
            ("no Subscribe first", 7, Pong(0)),
            ("a second Subscribe", 1, subscribe_message),
            ("a pong to no ping", 1, Pong(5)),
            ("a report from the future", 1, Report(99, 0, "none")),
        ]
        for what, key, message in cases:
            with self.subTest(what):
                (ended,) = self.sessions.handle_message(key, message, 0.0)
                assert isinstance(ended, End)
                self.assertIs(ended.kind, Rejection.MALFORMED)

    def test_an_observer_ahead_of_the_member_waits_and_gets_no_older_state(self) -> None:
        """An observer may come from a member that was further ahead. Guards against taking it back to an
        older state, and against keeping it waiting at a member that does not catch up."""
        self.assertEqual(self.subscribe(1, (1, 4)), [])
        self.assertEqual(self.sessions.tick(1900.0, 0, 0.0), [])
        self.assertEqual(self.change("other"), [])
        effects = self.change("other")
        self.assertEqual(effects[:2], [Send([1], Accepted(VERSION, "m0", 1, True)), Joined(1)])
        self.subscribe(2, (1, 9))
        (ended,) = [e for e in self.sessions.tick(2100.0, 0, 0.0) if isinstance(e, End)]
        self.assertEqual((ended.key, ended.kind), (2, Rejection.REVISION_AHEAD))

    def test_an_observer_that_answers_no_ping_is_rejected_within_3_s(self) -> None:
        """Guards against dead connections that stay open, and against rejecting an observer that does
        answer."""
        self.subscribe(1)
        self.subscribe(2)
        ended: list[tuple[float, End]] = []
        for step in range(60):
            now = 50.0 * step
            for effect in self.sessions.tick(now, 0, 0.0):
                if isinstance(effect, End):
                    ended.append((now, effect))
                    self.sessions.remove(effect.key)
                elif isinstance(effect, Send) and isinstance(effect.message, Ping) and 2 in effect.keys:
                    self.sessions.handle_message(2, Pong(effect.message.number), now)
        ((at, end),) = ended
        self.assertEqual((end.key, end.kind), (1, Rejection.UNRESPONSIVE))
        self.assertLess(at, 3000.0)

    def test_pages_are_sent_one_by_one_and_followed_by_changes_since(self) -> None:
        """Guards against losing changes that are made while the pages of a snapshot are being sent."""
        for number in range(3):
            put(self.store, f"{WORKER_OVERRIDES}big{number}", b"x" * observer_sessions.PAGE_BYTES)
        self.sessions.replace_state(0.0)
        _, _, first = self.subscribe()
        assert isinstance(first, Send) and isinstance(first.message, SnapshotPage)
        self.assertEqual((first.message.first, first.message.last), (True, False))
        self.assertEqual(self.change(CURRENT_CONFIG, b"1\n"), [])
        pages = []
        while self.sessions.sessions[1].phase is Phase.SNAPSHOT:
            pages += self.sessions.handle_flushed(1)
        last, changes = pages[-2:]
        assert isinstance(last, Send) and isinstance(last.message, SnapshotPage)
        self.assertTrue(last.message.last)
        assert isinstance(changes, Send) and isinstance(changes.message, Changes)
        self.assertEqual([e.name for e in changes.message.events], [CURRENT_CONFIG])
        self.assertEqual(changes.message.base, last.message.revision)

    def test_a_slow_snapshot_starts_again_if_changes_since_it_are_gone(self) -> None:
        """The observer takes its pages so slowly that the changes since the snapshot are no longer kept.
        Guards against declaring it current without them."""
        put(self.store, f"{WORKER_OVERRIDES}big", b"x" * observer_sessions.PAGE_BYTES)
        self.sessions.replace_state(0.0)
        self.subscribe()
        for number in range(6):
            self.change("other", b"%d" % number)
        self.sessions.handle_flushed(1)
        self.assertIs(self.sessions.sessions[1].phase, Phase.QUEUED)
        (page,) = [e for e in self.sessions.tick(50.0, 0, 0.0) if isinstance(e, Send)]
        assert isinstance(page.message, SnapshotPage)
        self.assertEqual((page.message.first, page.message.revision), (True, self.store.revision))

    def test_a_ping_does_not_cover_undelivered_changes(self) -> None:
        """A member may have applied a change that it has not delivered. Guards against a ping that names its
        revision: the observer would believe that it has the change."""
        self.subscribe()
        event = put(self.store, CURRENT_CONFIG, b"1\n")  # applied, but not delivered as the disk failed
        (ping,) = [e for e in self.sessions.tick(1000.0, 2, 0.0) if isinstance(e, Send)]
        assert isinstance(ping.message, Ping)
        self.assertEqual(ping.message.revision, 2)
        self.assertEqual(self.sessions.apply_events([event], 0.0), [Send([1], Changes(2, 3, [event]))])

    def test_large_changes_are_split_between_revisions(self) -> None:
        """Guards against a message that ends within a revision, after which the observer would hold a part of
        a transaction."""
        self.subscribe()
        big = b"x" * (observer_sessions.CHANGES_BYTES // 2 - 100)
        events = [put(self.store, f"{WORKER_OVERRIDES}w{n}", big) for n in range(5)]
        sent = [e.message for e in self.sessions.apply_events(events, 0.0) if isinstance(e, Send)]
        copy = subscription_after(RESUMED, at=(1, 2))
        for message in sent:
            assert isinstance(message, Changes)
            self.assertLessEqual(len(message.events), 2)
            copy.handle_message(message)
        self.assertEqual((len(sent), copy.position), (3, (1, 7)))
        one = self.store.apply(
            Command("", 0, Transaction([Put(f"{WORKER_OVERRIDES}w{n}", big) for n in range(3)]))
        ).revision
        whole = self.sessions.apply_events(self.store.events_since(one), 0.0)  # a revision is never split
        assert isinstance(whole[0], Send) and isinstance(whole[0].message, Changes)
        self.assertEqual((len(whole), len(whole[0].message.events)), (1, 3))

    def test_an_observer_that_lacks_too_many_changes_gets_a_snapshot(self) -> None:
        """Guards against sending any number of missed changes at once, past the limits on snapshots."""
        store = self.store = Store()
        self.sessions = ObserverSessions("c1", lambda: 1, "m0", lambda: store, 0.0)
        put(store, OVERRIDE, b"a")
        for number in range(9):
            put(store, OVERRIDE, b"%d" % number + b"x" * observer_sessions.PAGE_BYTES)
        self.sessions.replace_state(0.0)
        self.subscribe(1, (1, 1))
        self.assertIs(self.sessions.sessions[1].phase, Phase.QUEUED)
        (page,) = [e.message for e in self.sessions.tick(0.0, 0, 0.0) if isinstance(e, Send)]
        assert isinstance(page, SnapshotPage)
        copy = subscription_after(RESUMED, at=(1, 1))  # expects to resume, and accepts a snapshot too
        copy.handle_message(page)
        self.assertEqual((copy.position, copy.documents[OVERRIDE].revision), ((1, 10), 10))

    def test_an_observer_that_leaves_gets_no_more_changes(self) -> None:
        """A session ends with `Leave`, before its connection is closed."""
        self.subscribe()
        self.assertEqual(self.sessions.handle_message(1, Leave(), 0.0), [])
        self.assertEqual(self.change(CURRENT_CONFIG), [])

    def test_the_digest_follows_changes_and_is_in_every_30th_ping(self) -> None:
        """Guards against a digest that drifts from the documents, and against one that is never sent."""
        self.subscribe()
        self.change(CURRENT_CONFIG, b"1\n")
        self.sessions.apply_events([delete(self.store, OVERRIDE)], 0.0)
        whole = DocumentDigest(d for d in self.store.documents.values() if d.name == CURRENT_CONFIG)
        self.assertEqual(self.sessions.digest.value, whole.value)
        told = []
        for second in range(1, 61):
            for effect in self.sessions.tick(second * 1000.0, 0, 0.0):
                if isinstance(effect, Send) and isinstance(effect.message, Ping):
                    told.append(effect.message.digest)
                    self.sessions.handle_message(1, Pong(effect.message.number), second * 1000.0)
        self.assertEqual((len(told), [d for d in told if d]), (60, [whole.value, whole.value]))


class TestAdmission(unittest.TestCase):
    def test_rate_burst_and_concurrency_are_limited(self) -> None:
        """Guards against a member that sends all snapshots at once when many observers connect."""
        admission = SnapshotAdmission(0.0, per_second=10.0, burst=3.0, max_concurrent=5)
        for key in range(20):
            admission.enqueue(key)
        self.assertEqual(admission.admit(0.0), [0, 1, 2])
        self.assertEqual(admission.admit(99.0), [])
        self.assertEqual(admission.admit(100.0), [3])
        self.assertEqual(admission.admit(1000.0), [4])  # five are running
        admission.release(0)
        admission.release(5)  # disconnected while queued
        self.assertEqual(admission.admit(1000.0), [6])


class TestMemberChoice(unittest.TestCase):
    MEMBERS = [MemberEndpoint(f"m{i}", ("127.0.0.1", 1 + i), f"r{i % 2}") for i in range(4)]

    def build_choice(
        self, name: str, region: str = "", members: list[MemberEndpoint] | None = None
    ) -> MemberChoice:
        return MemberChoice(name, region, members or self.MEMBERS, random.Random(1))

    def test_observers_spread_evenly_and_few_move_when_a_member_is_removed(self) -> None:
        """Guards against a hash that loads some members more than others, or moves observers of other
        members."""
        names = [f"o{i}" for i in range(2000)]
        before = {name: self.build_choice(name).first.member for name in names}
        for member, count in Counter(before.values()).items():
            self.assertTrue(425 <= count <= 575, (member, count))
        after = {name: self.build_choice(name, members=self.MEMBERS[1:]).first.member for name in names}
        moved = [name for name in names if before[name] != after[name]]
        self.assertEqual({before[name] for name in moved}, {"m0"})

    def test_members_of_the_own_region_come_first(self) -> None:
        """Guards against observers that prefer a member in another region."""
        for number in range(50):
            ranked = self.build_choice(f"o{number}", "r1").ranked
            self.assertEqual([e.region for e in ranked], ["r1", "r1", "r0", "r0"])

    def test_a_failing_member_is_avoided_for_longer_each_time(self) -> None:
        """Guards against retrying a failing member without back-off, and against having no member left to
        try."""
        choice = self.build_choice("o1")
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
        self.assertNotEqual(choice.next_member(100.0), first)  # the others are avoided for a shorter time
        choice.clear_avoidance(first.member)
        self.assertEqual(choice.best(100.0), first)

    def test_jitter_is_uniform_up_to_a_bound_that_doubles(self) -> None:
        """Guards against observers that reconnect at the same time after an outage."""
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
    def test_the_entry_of_the_latest_process_and_session_counts(self) -> None:
        """An observer that moves, or a second process with its name, has entries at two members. Guards
        against a choice that depends on the order of the documents."""
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
                    merged = MergedPresence()
                    for at, one, revision in order:
                        merged.set_entries(at, [one], revision)
                    self.assertEqual(merged.observers["o"].member, member)
                    merged.set_entries(member, None, 30)
                    self.assertNotEqual(merged.observers["o"].member, member)

    def test_a_disconnected_observer_stays_announced_for_the_lease(self) -> None:
        """Guards against observers that vanish when their connection is lost for a moment, or stay after the
        lease."""
        served = ServedObservers(lease=100.0)
        for name in ("a", "b", "c"):
            served.add(entry(name, "t", 1, 3))
        self.assertEqual([e.name for e in served.entries()], ["a", "b", "c"])
        served.mark_disconnected("a", "t", 0.0)
        served.mark_disconnected("b", "other", 0.0)  # of an earlier process
        served.remove("c", "t")
        served.remove_expired(99.0)
        self.assertEqual([(e.name, e.connected) for e in served.entries()], [("a", False), ("b", True)])
        self.assertFalse(served.changed)
        served.remove_expired(100.0)
        self.assertTrue(served.changed)
        self.assertEqual([e.name for e in served.entries()], ["b"])
        served.add(entry("d", "t"))
        served.entries()
        served.set_epoch("d", "t", 5)
        self.assertFalse(served.changed)  # the document's revision tells it already
        self.assertEqual(served.entries()[1].epoch, 5)

    def test_each_live_dispatcher_has_one_position(self) -> None:
        """Guards against counting an observer twice that two members announce."""
        live = LiveDispatchers()
        live.set_member("m0", True)
        live.set_announced("m0", [entry("o2", "t"), entry("o1", "t")])
        live.set_announced("m1", [entry("o1", "t")])
        self.assertEqual(live.names(), ["m0", "o1", "o2"])
        self.assertEqual(live.placement("o2"), (3, 2))
        live.set_announced("m0", None)
        self.assertEqual((live.placement("o1"), live.placement("o2")), ((2, 1), None))


class TestObserverRegistry(unittest.TestCase):
    def setUp(self) -> None:
        self.registry = ObserverRegistry("m0")

    def join(self, key: int, token: str, session: int = 1, epoch: int = 0, name: str = "o") -> list[Effect]:
        subscribe_message = Subscribe(VERSION, "c1", name, token, session, epoch)
        return self.registry.add_connection(key, subscribe_message, 0.0)

    def commit(self, member: str, revision: int, *entries: ObserverEntry) -> list[Effect]:
        value = presence.pack(list(entries))
        return self.registry.apply_events([Event(revision, OBSERVERS + member, value)], 0.0)

    def test_a_later_process_at_the_same_member_takes_the_name(self) -> None:
        """Of two processes with one name at one member, the earlier one is fenced, also when it connects
        again."""
        self.assertEqual(self.join(1, "old"), [])
        self.assertEqual(self.commit("m0", 5, entry("o", "old")), [Send([1], Announced(5))])
        self.assertEqual(self.commit("m0", 6, entry("o", "old", 1, 5)), [])
        self.assertEqual(self.join(2, "new"), [Send([1], Fenced())])
        self.assertEqual(self.commit("m0", 9, entry("o", "new")), [Send([2], Announced(9))])
        self.assertEqual(self.join(3, "old", 2, 5), [Send([3], Fenced())])

    def test_a_later_process_at_another_member_takes_the_name(self) -> None:
        """The earlier process is fenced after `FENCE_AFTER_MS`, and no longer announced."""
        self.join(1, "old")
        self.commit("m0", 5, entry("o", "old"))
        self.assertEqual(self.commit("m1", 8, entry("o", "new")), [])
        self.assertEqual(self.registry.tick(FENCE_AFTER_MS - 1), [Send([1], Fleet(1, 0))])
        self.assertEqual(self.registry.tick(FENCE_AFTER_MS), [Send([1], Fenced())])
        (put,) = [p for p in self.registry.build_announcement(1, 0.0, True) if p.name == OBSERVERS + "m0"]
        self.assertEqual(presence.read(put.value), [])

    def test_a_late_announcement_of_a_dead_process_fences_nobody(self) -> None:
        """A process may die at its start and be announced afterwards, which makes it the later one. Guards
        against fencing the live process because of it."""
        self.join(1, "new")
        self.commit("m0", 5, entry("o", "new"))
        self.commit("m1", 8, entry("o", "died"))
        self.registry.tick(FENCE_AFTER_MS - 1)
        self.commit("m1", 9, msgspec.structs.replace(entry("o", "died", 1, 8), connected=False))
        self.assertEqual(self.registry.tick(FENCE_AFTER_MS + 1), [])
        self.join(2, "at once", name="p")
        self.registry.remove_connection(2, 0.0, planned=False)
        (put, _) = self.registry.build_announcement(1, 0.0, True)
        self.assertEqual([e.name for e in presence.read(put.value)], ["o"])

    def test_changing_the_member_fences_nobody(self) -> None:
        """An observer that changes its member has two entries and two connections for a while. Guards against
        taking these for two processes."""
        self.join(1, "t")
        self.commit("m0", 5, entry("o", "t"))
        self.assertEqual(self.commit("m1", 6, entry("o", "t", 2, 5)), [])
        self.assertEqual(self.join(2, "t", 3, 5), [])
        self.registry.remove_connection(1, 0.0, planned=False)  # the previous connection
        (put, _) = self.registry.build_announcement(1, 0.0, True)
        self.assertEqual([(e.name, e.session) for e in presence.read(put.value)], [("o", 3)])

    def test_each_observer_is_sent_its_placement_once(self) -> None:
        """Placements are sent when they change, and only then."""
        self.join(1, "t", name="o1")
        self.join(2, "t", name="o2")
        self.registry.apply_events([Event(3, LIVE_MEMBERS + "m0", b"{}")], 0.0)
        self.commit("m0", 5, entry("o1", "t"), entry("o2", "t"))
        self.assertEqual(self.registry.tick(0.0), [Send([1], Fleet(3, 1)), Send([2], Fleet(3, 2))])
        self.assertEqual(self.registry.tick(0.0), [])
        self.registry.apply_events([Event(8, LIVE_MEMBERS + "m0", None)], 0.0)
        self.assertEqual(self.registry.tick(0.0), [Send([1], Fleet(2, 0)), Send([2], Fleet(2, 1))])

    def test_documents_missing_from_a_replaced_state_are_removed(self) -> None:
        """After a snapshot from the leader no deletions are known one by one. Guards against dispatchers that
        stay live although the new state does not contain them."""
        self.registry.apply_events(
            [Event(2, LIVE_MEMBERS + "m1", b"{}"), Event(3, LIVE_MEMBERS + "m2", b"{}")], 0.0
        )
        self.commit("m1", 5, entry("o1", "t"))
        self.registry.replace_state([Event(3, LIVE_MEMBERS + "m2", b"{}")], 0.0)
        self.assertEqual((self.registry.live.names(), self.registry.merged.observers), (["m2"], {}))

    def test_an_undecodable_announcement_changes_nothing(self) -> None:
        """Guards against losing all observers of a member because of one document that cannot be decoded."""
        self.commit("m1", 5, entry("o", "t"))
        self.registry.apply_events([Event(6, OBSERVERS + "m1", b"\xc1")], 0.0)
        self.assertEqual(self.registry.live.names(), ["o"])
        self.assertEqual([parse_config_version(v) for v in (b"12\n{}", b"x\n", b"", None)], [12, 0, 0, 0])

    def test_only_changed_documents_are_announced(self) -> None:
        """Guards against writes to the store without need, each of which goes to all members."""
        self.join(1, "t")
        names = [p.name for p in self.registry.build_announcement(1, 0.0, False)]
        self.assertEqual(names, [OBSERVERS + "m0", IN_FORCE + "m0"])
        self.assertEqual(self.registry.build_announcement(1, 0.0, False), [])
        self.registry.record_report(1, Report(3, 0, "none"), 0.0)
        self.assertEqual([p.name for p in self.registry.build_announcement(1, 0.0, False)], [IN_FORCE + "m0"])


class TestInForce(unittest.TestCase):
    def test_observers_in_force_and_lagging_are_counted(self) -> None:
        """The summary follows reports, new versions and disconnections, and tells who was last."""
        counts = InForceCounts()
        for name in ("a", "b", "c"):
            counts.add_observer(name, 0.0)
            counts.record_report(name, Report(1, 0, "none"), 0.0)
        self.assertEqual(counts.summary(0.0).in_force, 3)
        counts.set_current_version(4, 1000.0)
        counts.record_report("a", Report(2, 4, "in_force"), 1100.0)
        counts.record_report("b", Report(2, 4, "restart_needed", "settings"), 1200.0)
        said = counts.summary(3000.0)
        self.assertEqual((said.version, said.observers, said.in_force, said.everywhere_ms), (4, 3, 1, -1))
        lagging = [(x.name, x.version, x.outcome, x.detail, x.behind_ms) for x in said.lagging]
        self.assertEqual(lagging, [("b", 4, "restart_needed", "settings", 2000), ("c", 0, "none", "", 2000)])
        counts.record_report("b", Report(3, 4, "in_force"), 3500.0)
        counts.record_report("c", Report(3, 4, "in_force"), 4000.0)
        said = counts.summary(9000.0)
        self.assertEqual((said.in_force, said.everywhere_ms, said.slowest), (3, 3000, "c"))
        self.assertEqual(in_force.read(in_force.pack(said)), said)
        counts.set_current_version(5, 10_000.0)
        counts.remove_observer("c", 10_500.0)
        self.assertEqual((counts.summary(10_500.0).observers, counts.summary(10_500.0).in_force), (2, 0))

    def test_outcome_values_on_the_wire_are_fixed(self) -> None:
        """Guards against renaming a value that other versions of the program read."""
        self.assertEqual({o.value for o in ConfigOutcome}, {"none", "in_force", "restart_needed", "rejected"})


class TestOptions(unittest.TestCase):
    def test_valid_follow_options_are_parsed(self) -> None:
        """Options of a dispatcher that follows the store, with and without regions."""
        said = {"follow": {"m0": "10.0.0.1:7200", "m1": {"address": "10.0.0.2:7200", "region": "south"}},
                "region": "south", "cluster": "c1"}  # fmt: skip
        options = read_follow_options(said, "d1")
        self.assertEqual((options.name, options.cluster, options.region), ("d1", "c1", "south"))
        wanted = (MemberEndpoint("m0", ("10.0.0.1", 7200)), MemberEndpoint("m1", ("10.0.0.2", 7200), "south"))
        self.assertEqual(options.endpoints, wanted)

    def test_invalid_follow_options_are_rejected(self) -> None:
        """Each error names the setting that is wrong."""
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
