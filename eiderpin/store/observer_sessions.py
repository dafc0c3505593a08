"""What a member does for its observers, without I/O: events and time in, effects out. Times in ms.

An observer's session begins with its `Subscribe`. It may wait until the member has come as far as the
observer already is, then for the admission of its snapshot; it is sent the pages one after the other as they
are taken; and once it has all up to the member's own revision it is current, and is sent each change as it is
applied. A change is one message for all current sessions.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import TypeAlias

from eiderpin.parts.store import DEFAULT_MAX_OBSERVERS
from eiderpin.store.admission import SnapshotAdmission
from eiderpin.store.document_digest import DocumentDigest
from eiderpin.store.names import OBSERVED
from eiderpin.store.observer_protocol import (
    VERSION,
    Accepted,
    Changes,
    FromMember,
    FromObserver,
    Leave,
    Ping,
    Pong,
    Rejection,
    Report,
    SnapshotPage,
    Subscribe,
)
from eiderpin.store.state import Compacted, Document, Event, Store

PING_EVERY = 1_000.0
UNRESPONSIVE_AFTER = 1_900.0  # from a ping that is not answered
BEHIND_FOR = 2_000.0  # for which an observer that is ahead of the member waits for it
DIGEST_EVERY = 30  # pings
PINGS_KEPT = 8  # whose time of sending is remembered
PAGE_BYTES = 64 << 10  # of names and values in one page; a larger document has a page to itself
CHANGES_BYTES = 256 << 10  # of names and values in one message of changes; a larger revision has its own
MOST_CATCH_UP = 512 << 10  # bytes of changes; one that lacks more gets a snapshot, which is paced


class Phase(Enum):
    """Where a session stands."""

    BEHIND = "behind"  # the member has yet to come as far as the observer is
    QUEUED = "queued"  # for a snapshot
    SNAPSHOT = "snapshot"  # some of its pages have been sent
    CURRENT = "current"


@dataclass(slots=True)
class Session:
    """One observer's subscription."""

    subscribe: Subscribe
    phase: Phase
    until: float = 0.0  # while behind: when it is rejected
    pages: list[list[Document]] = field(default_factory=list)  # still to be sent
    revision: int = 0  # of the snapshot
    answered: int = 0  # the number of the last ping that was answered, or was sent before the session began


@dataclass(slots=True, frozen=True)
class Send:
    """Send a message to these connections."""

    keys: list[int]
    message: FromMember


@dataclass(slots=True, frozen=True)
class End:
    """Tell an observer why it is not served, and close its connection."""

    key: int
    kind: Rejection
    reason: str


@dataclass(slots=True, frozen=True)
class Joined:
    """An observer is served from now on."""

    key: int


Effect: TypeAlias = Send | End | Joined


def observed(name: str) -> bool:
    """Whether observers follow the document with this name."""
    return name.startswith(OBSERVED)


class ObserverSessions:
    """The sessions of one member.

    Args:
        cluster: The store's cluster.
        generation: Gives the cluster's generation.
        member: The member's name.
        store: Gives the member's state as it is now; it may be another object after a leader's snapshot.
        now: The time of the start.
        most: How many observers are served at once.
    """

    def __init__(
        self,
        cluster: str,
        generation: Callable[[], int],
        member: str,
        store: Callable[[], Store],
        now: float,
        most: int = DEFAULT_MAX_OBSERVERS,
    ) -> None:
        """Begin without sessions, at the present revision."""
        self.cluster, self.generation, self.member = cluster, generation, member
        self.store, self.most = store, most
        self.admission = SnapshotAdmission(now)
        self.sessions: dict[int, Session] = {}
        self.revision = store().revision  # all changes up to here have been passed on
        self.told = self.revision  # all current sessions know that they have everything up to here
        self.digest = DocumentDigest(self._observed_documents())
        self.snapshots = 0  # that were begun
        self._cached: tuple[int, list[list[Document]]] = (-1, [])  # pages, and the revision they are of
        self._pinged_at = now
        self._ping = 0  # the number of the last one
        self._pings: dict[int, float] = {}  # when the latest of them were sent

    # -- what observers say

    def received(self, key: int, message: FromObserver, now: float) -> list[Effect]:
        """An observer's message; `key` names its connection."""
        session = self.sessions.get(key)
        if isinstance(message, Subscribe):
            if session is not None:
                return [End(key, Rejection.MALFORMED, "it subscribes twice")]
            return self._subscribe(key, message, now)
        if session is None:
            return [End(key, Rejection.MALFORMED, "its first message is no Subscribe")]
        if isinstance(message, Pong):
            if message.number > self._ping:
                return [
                    End(key, Rejection.MALFORMED, f"it answers ping {message.number}, which was not sent")
                ]
            session.answered = max(session.answered, message.number)
        elif isinstance(message, Report) and message.revision > self.store().revision:
            return [End(key, Rejection.MALFORMED, f"it reports revision {message.revision}, from ahead")]
        elif isinstance(message, Leave):
            self.closed(key)
        return []

    def closed(self, key: int) -> Session | None:
        """A connection has ended, or is about to."""
        self.admission.forget(key)
        return self.sessions.pop(key, None)

    def _subscribe(self, key: int, asked: Subscribe, now: float) -> list[Effect]:
        ended = self._refusal(key, asked)
        if ended is not None:
            return [ended]
        session = Session(asked, Phase.QUEUED, now + BEHIND_FOR, answered=self._ping)
        self.sessions[key] = session
        floor = (asked.floor_generation, asked.floor_revision)
        if floor > (self.generation(), self.store().revision):
            session.phase = Phase.BEHIND
            return []
        return self._begin(key, session, now)

    def _refusal(self, key: int, asked: Subscribe) -> End | None:
        if asked.version > VERSION:
            text = f"its protocol is version {asked.version}; here it is {VERSION}"
            return End(key, Rejection.VERSION, text)
        if asked.cluster != self.cluster:
            text = f"it follows cluster {asked.cluster}; here is {self.cluster}"
            return End(key, Rejection.CLUSTER, text)
        if asked.floor_generation > self.generation():
            text = f"it has seen generation {asked.floor_generation}; here is {self.generation()}"
            return End(key, Rejection.GENERATION_AHEAD, text)
        if len(self.sessions) >= self.most:
            return End(key, Rejection.FULL, f"{self.most} observers are served here already")
        return None

    def _begin(self, key: int, session: Session, now: float) -> list[Effect]:
        """Serve one that is not ahead of us: by changes if we still have them, else by a snapshot."""
        asked = session.subscribe
        resumes = self._can_resume(asked.generation, asked.revision)
        accepted = Accepted(VERSION, self.member, self.generation(), resumes)
        effects: list[Effect] = [Send([key], accepted), Joined(key)]
        if resumes:
            return effects + self._make_current(key, session, asked.revision)
        session.phase = Phase.QUEUED
        self.admission.ask(key)
        return effects + self._admit(now)

    def _can_resume(self, generation: int, revision: int) -> bool:
        return generation == self.generation() and revision > 0 and revision + 1 >= self.store().oldest

    # -- snapshots

    def _admit(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for key in self.admission.admit(now):
            session = self.sessions[key]
            session.phase, session.revision = Phase.SNAPSHOT, self.store().revision
            session.pages = self._pages_now()
            self.snapshots += 1
            effects += self._send_page(key, session, first=True)
        return effects

    def _pages_now(self) -> list[list[Document]]:
        """The pages of a snapshot at the present revision; made once for all that begin at it."""
        revision = self.store().revision
        if self._cached[0] != revision:
            self._cached = (revision, _pages(self._observed_documents()))
        return list(self._cached[1])

    def _observed_documents(self) -> list[Document]:
        store = self.store()
        return [document for prefix in OBSERVED for document in store.range(prefix, "", len(store.documents))]

    def _send_page(self, key: int, session: Session, first: bool) -> list[Effect]:
        page = session.pages.pop(0)
        last = not session.pages
        effects: list[Effect] = [Send([key], SnapshotPage(session.revision, page, first, last))]
        if last:
            self.admission.forget(key)
            effects += self._make_current(key, session, session.revision)
        return effects

    def has_pages(self, key: int) -> bool:
        """Whether some of a snapshot has still to be sent to this connection."""
        session = self.sessions.get(key)
        return session is not None and session.phase is Phase.SNAPSHOT and bool(session.pages)

    def flushed(self, key: int) -> list[Effect]:
        """All that was sent to this connection has been taken: its next page may go."""
        if not self.has_pages(key):
            return []
        return self._send_page(key, self.sessions[key], first=False)

    def _make_current(self, key: int, session: Session, revision: int) -> list[Effect]:
        """Send what has changed since `revision`; from here on it gets each change with all others."""
        try:
            events = self._events_after(revision)
        except Compacted:  # it took its pages so slowly that the changes since are forgotten
            return self._begin_anew(key, session)
        if sum(map(_size, events)) > MOST_CATCH_UP:
            return self._begin_anew(key, session)
        session.phase = Phase.CURRENT
        return [Send([key], message) for message in _changes(revision, self.store().revision, events)]

    def _begin_anew(self, key: int, session: Session) -> list[Effect]:
        """Queue it for a snapshot."""
        session.phase = Phase.QUEUED
        self.admission.ask(key)
        return []

    def _events_after(self, revision: int) -> list[Event]:
        return [event for event in self.store().since(revision + 1) if observed(event.name)]

    # -- the store and time

    def applied(self, events: list[Event], now: float) -> list[Effect]:
        """The member's state has changed by these events, of all names, up to its present revision."""
        seen = [event for event in events if observed(event.name)]
        for event in seen:
            self.digest.apply(event)
        self.revision = self.store().revision
        effects: list[Effect] = []
        if seen:  # of all else the next change or ping tells
            keys = [key for key, session in self.sessions.items() if session.phase is Phase.CURRENT]
            if keys:
                effects += [Send(keys, message) for message in _changes(self.told, self.revision, seen)]
            self.told = self.revision
        return effects + self._catch_up(now)

    def replaced(self, now: float) -> list[Effect]:
        """The member's state was replaced as a whole, with changes that are not known one by one."""
        self.digest = DocumentDigest(self._observed_documents())
        self.revision = self.told = self.store().revision
        for key, session in self.sessions.items():
            if session.phase is Phase.CURRENT:
                session.phase = Phase.QUEUED
                self.admission.ask(key)
        return self._catch_up(now) + self._admit(now)

    def _catch_up(self, now: float) -> list[Effect]:
        """Serve those that waited until we came as far as they are."""
        effects: list[Effect] = []
        for key, session in list(self.sessions.items()):
            asked = session.subscribe
            floor = (asked.floor_generation, asked.floor_revision)
            if session.phase is Phase.BEHIND and floor <= (self.generation(), self.store().revision):
                effects += self._begin(key, session, now)
        return effects

    def tick(self, now: float, told: int, stale_ms: float) -> list[Effect]:
        """To be called every 50 ms or so.

        Args:
            told: All events up to this revision have been given to `applied`. The state may be ahead of it.
            stale_ms: For how long the member has not heard of a leader.
        """
        self.revision = max(self.revision, told)
        effects = self._catch_up(now) + self._admit(now) + self._give_up(now)
        if now >= self._pinged_at + PING_EVERY:
            self._pinged_at = now
            effects += self._ping_all(now, stale_ms)
        return effects

    def _give_up(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for key, session in self.sessions.items():
            if session.phase is Phase.BEHIND and now >= session.until:
                floor = session.subscribe.floor_revision
                text = f"it has seen revision {floor}; here is {self.revision}"
                effects.append(End(key, Rejection.REVISION_AHEAD, text))
            elif now >= self._pings.get(session.answered + 1, now) + UNRESPONSIVE_AFTER:
                text = f"ping {session.answered + 1} was not answered within {UNRESPONSIVE_AFTER:g} ms"
                effects.append(End(key, Rejection.UNRESPONSIVE, text))
        return effects

    def _ping_all(self, now: float, stale_ms: float) -> list[Effect]:
        self._ping += 1
        self._pings[self._ping] = now
        self._pings.pop(self._ping - PINGS_KEPT, None)
        digest = self.digest.value if self._ping % DIGEST_EVERY == 0 else 0
        current: list[int] = []
        others: list[int] = []
        for key, session in self.sessions.items():
            if session.phase is Phase.BEHIND:
                session.answered = self._ping  # it cannot know of it yet
                continue
            (current if session.phase is Phase.CURRENT else others).append(key)
        effects: list[Effect] = []
        self.told = self.revision
        if current:
            effects.append(Send(current, Ping(self._ping, self.revision, stale_ms, digest)))
        if others:
            effects.append(Send(others, Ping(self._ping, -1, stale_ms)))
        return effects


def _pages(documents: list[Document]) -> list[list[Document]]:
    """The documents in pages of about `PAGE_BYTES`; one empty page where there are none."""
    pages: list[list[Document]] = [[]]
    size = 0
    for document in documents:
        if pages[-1] and size + len(document.name) + len(document.value) > PAGE_BYTES:
            pages.append([])
            size = 0
        pages[-1].append(document)
        size += len(document.name) + len(document.value)
    return pages


def _size(event: Event) -> int:
    return len(event.name) + len(event.value or b"")


def _changes(base: int, revision: int, events: list[Event]) -> list[Changes]:
    """Changes from `base` to `revision` in messages of about `CHANGES_BYTES`, cut between revisions; none
    where the two are the same."""
    messages: list[Changes] = []
    part: list[Event] = []
    size = 0
    for event in events:
        if part and size + _size(event) > CHANGES_BYTES and event.revision != part[-1].revision:
            messages.append(Changes(base, part[-1].revision, part))
            base, part, size = part[-1].revision, [], 0
        part.append(event)
        size += _size(event)
    if base != revision:
        messages.append(Changes(base, revision, part))
    return messages
