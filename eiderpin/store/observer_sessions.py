"""The sessions of a member's observers, without I/O: events and time in, effects out. Times in ms.

A session starts with the observer's `Subscribe`. If the observer is ahead of the member, the session waits
until the member has caught up. If a snapshot is needed, it then waits for admission, and the pages are sent
one by one as the connection takes them. Once the observer has everything up to the member's revision, the
session is current and gets each change as it is applied. A change is one message for all current sessions.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import TypeAlias

from eiderpin.parts.store import DEFAULT_MAX_OBSERVERS
from eiderpin.store.admission import SnapshotAdmission
from eiderpin.store.document_digest import DocumentDigest
from eiderpin.store.names import OBSERVED_PREFIXES
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

PING_INTERVAL_MS = 1_000.0
PING_TIMEOUT_MS = 1_900.0  # from sending a ping until an observer without an answer is rejected
MAX_BEHIND_MS = 2_000.0  # how long an observer that is ahead of the member waits for it
PINGS_PER_DIGEST = 30  # every 30th ping carries a digest
MAX_REMEMBERED_PINGS = 8  # pings whose sending time is kept
PAGE_BYTES = 64 << 10  # names and values in one page; a larger document gets a page of its own
CHANGES_BYTES = 256 << 10  # names and values in one message of changes; a larger revision gets its own
MAX_CATCH_UP_BYTES = 512 << 10  # an observer that lacks more changes gets a snapshot, which is paced


class Phase(Enum):
    """The state of a session."""

    BEHIND = "behind"  # the member has not yet reached the observer's position
    QUEUED = "queued"  # waits for the admission of a snapshot
    SNAPSHOT = "snapshot"  # some pages of its snapshot have been sent
    CURRENT = "current"  # gets each change as it is applied


@dataclass(slots=True)
class Session:
    """One observer's subscription."""

    subscribe: Subscribe
    phase: Phase
    behind_deadline: float = 0.0  # when it is rejected if it is still behind
    pages: list[list[Document]] = field(default_factory=list)  # still to be sent
    revision: int = 0  # of the snapshot
    last_answered_ping: int = 0  # or the last that was sent before the session began


@dataclass(slots=True, frozen=True)
class Send:
    """Send a message to these connections."""

    keys: list[int]
    message: FromMember


@dataclass(slots=True, frozen=True)
class End:
    """Tell an observer why it is not served, then close its connection."""

    key: int
    kind: Rejection
    reason: str


@dataclass(slots=True, frozen=True)
class Joined:
    """The observer of this connection is served from now on."""

    key: int


Effect: TypeAlias = Send | End | Joined


def is_observed(name: str) -> bool:
    """Whether observers follow the document of this name."""
    return name.startswith(OBSERVED_PREFIXES)


class ObserverSessions:
    """The sessions of the observers of one member.

    Args:
        cluster: The name of the store's cluster.
        generation: Returns the cluster's generation.
        member: The member's name.
        store: Returns the member's current state, which is another object after a leader's snapshot.
        now: The current time.
        max_observers: How many observers are served at the same time.
    """

    def __init__(
        self,
        cluster: str,
        generation: Callable[[], int],
        member: str,
        store: Callable[[], Store],
        now: float,
        max_observers: int = DEFAULT_MAX_OBSERVERS,
    ) -> None:
        """Start without sessions, at the current revision."""
        self.cluster, self.generation, self.member = cluster, generation, member
        self.store, self.max_observers = store, max_observers
        self.admission = SnapshotAdmission(now)
        self.sessions: dict[int, Session] = {}
        self.revision = store().revision  # all changes up to here have been given to `apply_events`
        self.published_revision = self.revision  # current sessions know that they have all changes up to here
        self.digest = DocumentDigest(self._observed_documents())
        self.snapshots_started = 0
        self._cached_pages: tuple[int, list[list[Document]]] = (-1, [])  # pages, and their revision
        self._last_ping_at = now
        self._ping_number = 0  # of the last ping
        self._ping_sent_at: dict[int, float] = {}  # by number, of the latest pings

    # -- messages from observers

    def handle_message(self, key: int, message: FromObserver, now: float) -> list[Effect]:
        """Handle an observer's message; `key` identifies its connection."""
        session = self.sessions.get(key)
        if isinstance(message, Subscribe):
            if session is not None:
                return [End(key, Rejection.MALFORMED, "it subscribes twice")]
            return self._subscribe(key, message, now)
        if session is None:
            return [End(key, Rejection.MALFORMED, "its first message is no Subscribe")]
        if isinstance(message, Pong):
            if message.number > self._ping_number:
                return [
                    End(key, Rejection.MALFORMED, f"it answers ping {message.number}, which was not sent")
                ]
            session.last_answered_ping = max(session.last_answered_ping, message.number)
        elif isinstance(message, Report) and message.revision > self.store().revision:
            return [End(key, Rejection.MALFORMED, f"it reports revision {message.revision}, from ahead")]
        elif isinstance(message, Leave):
            self.remove(key)
        return []

    def remove(self, key: int) -> Session | None:
        """Remove the session of a connection that has ended or is about to, and return it."""
        self.admission.release(key)
        return self.sessions.pop(key, None)

    def _subscribe(self, key: int, subscribe: Subscribe, now: float) -> list[Effect]:
        ended = self._find_rejection(key, subscribe)
        if ended is not None:
            return [ended]
        session = Session(subscribe, Phase.QUEUED, now + MAX_BEHIND_MS, last_answered_ping=self._ping_number)
        self.sessions[key] = session
        floor = (subscribe.floor_generation, subscribe.floor_revision)
        if floor > (self.generation(), self.store().revision):
            session.phase = Phase.BEHIND
            return []
        return self._start_serving(key, session, now)

    def _find_rejection(self, key: int, subscribe: Subscribe) -> End | None:
        if subscribe.version > VERSION:
            text = f"its protocol is version {subscribe.version}; here it is {VERSION}"
            return End(key, Rejection.VERSION, text)
        if subscribe.cluster != self.cluster:
            text = f"it follows cluster {subscribe.cluster}; here is {self.cluster}"
            return End(key, Rejection.CLUSTER, text)
        if subscribe.floor_generation > self.generation():
            text = f"it has seen generation {subscribe.floor_generation}; here is {self.generation()}"
            return End(key, Rejection.GENERATION_AHEAD, text)
        if len(self.sessions) >= self.max_observers:
            return End(key, Rejection.FULL, f"{self.max_observers} observers are served here already")
        return None

    def _start_serving(self, key: int, session: Session, now: float) -> list[Effect]:
        """Serve an observer that is not ahead: by changes if they are still kept, else by a snapshot."""
        subscribe = session.subscribe
        resumes = self._can_resume(subscribe.generation, subscribe.revision)
        accepted = Accepted(VERSION, self.member, self.generation(), resumes)
        effects: list[Effect] = [Send([key], accepted), Joined(key)]
        if resumes:
            return effects + self._make_current(key, session, subscribe.revision)
        session.phase = Phase.QUEUED
        self.admission.enqueue(key)
        return effects + self._start_admitted_snapshots(now)

    def _can_resume(self, generation: int, revision: int) -> bool:
        return generation == self.generation() and revision > 0 and revision + 1 >= self.store().oldest

    # -- snapshots

    def _start_admitted_snapshots(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for key in self.admission.admit(now):
            session = self.sessions[key]
            session.phase, session.revision = Phase.SNAPSHOT, self.store().revision
            session.pages = self._current_pages()
            self.snapshots_started += 1
            effects += self._send_page(key, session, first=True)
        return effects

    def _current_pages(self) -> list[list[Document]]:
        """Return the pages of a snapshot at the current revision; they are shared by all that start at it."""
        revision = self.store().revision
        if self._cached_pages[0] != revision:
            self._cached_pages = (revision, _split_pages(self._observed_documents()))
        return list(self._cached_pages[1])

    def _observed_documents(self) -> list[Document]:
        store = self.store()
        return [
            document
            for prefix in OBSERVED_PREFIXES
            for document in store.range(prefix, "", len(store.documents))
        ]

    def _send_page(self, key: int, session: Session, first: bool) -> list[Effect]:
        page = session.pages.pop(0)
        last = not session.pages
        effects: list[Effect] = [Send([key], SnapshotPage(session.revision, page, first, last))]
        if last:
            self.admission.release(key)
            effects += self._make_current(key, session, session.revision)
        return effects

    def has_pages(self, key: int) -> bool:
        """Whether pages of a snapshot are still to be sent to this connection."""
        session = self.sessions.get(key)
        return session is not None and session.phase is Phase.SNAPSHOT and bool(session.pages)

    def handle_flushed(self, key: int) -> list[Effect]:
        """Send the next page, if any, now that the connection has taken all that was sent to it."""
        if not self.has_pages(key):
            return []
        return self._send_page(key, self.sessions[key], first=False)

    def _make_current(self, key: int, session: Session, revision: int) -> list[Effect]:
        """Send the changes since `revision`; from then on the session gets each change like all others."""
        try:
            events = self._events_after(revision)
        except Compacted:  # its pages took so long that the changes since then are no longer kept
            return self._queue_snapshot(key, session)
        if sum(map(_event_size, events)) > MAX_CATCH_UP_BYTES:
            return self._queue_snapshot(key, session)
        session.phase = Phase.CURRENT
        return [Send([key], message) for message in _split_changes(revision, self.store().revision, events)]

    def _queue_snapshot(self, key: int, session: Session) -> list[Effect]:
        """Queue the session for a snapshot."""
        session.phase = Phase.QUEUED
        self.admission.enqueue(key)
        return []

    def _events_after(self, revision: int) -> list[Event]:
        return [event for event in self.store().events_since(revision + 1) if is_observed(event.name)]

    # -- the store and time

    def apply_events(self, events: list[Event], now: float) -> list[Effect]:
        """Handle the events, of all names, that have brought the member to its current revision."""
        observed = [event for event in events if is_observed(event.name)]
        for event in observed:
            self.digest.apply(event)
        self.revision = self.store().revision
        effects: list[Effect] = []
        if observed:  # revisions of other documents are covered by the next change or ping
            keys = [key for key, session in self.sessions.items() if session.phase is Phase.CURRENT]
            if keys:
                effects += [
                    Send(keys, message)
                    for message in _split_changes(self.published_revision, self.revision, observed)
                ]
            self.published_revision = self.revision
        return effects + self._catch_up(now)

    def replace_state(self, now: float) -> list[Effect]:
        """Handle the replacement of the member's whole state, with changes that are not known one by one."""
        self.digest = DocumentDigest(self._observed_documents())
        self.revision = self.published_revision = self.store().revision
        for key, session in self.sessions.items():
            if session.phase is Phase.CURRENT:
                session.phase = Phase.QUEUED
                self.admission.enqueue(key)
        return self._catch_up(now) + self._start_admitted_snapshots(now)

    def _catch_up(self, now: float) -> list[Effect]:
        """Serve the observers that were ahead and whose position the member has now reached."""
        effects: list[Effect] = []
        for key, session in list(self.sessions.items()):
            subscribe = session.subscribe
            floor = (subscribe.floor_generation, subscribe.floor_revision)
            if session.phase is Phase.BEHIND and floor <= (self.generation(), self.store().revision):
                effects += self._start_serving(key, session, now)
        return effects

    def tick(self, now: float, delivered_revision: int, stale_ms: float) -> list[Effect]:
        """Do what is due: serve, admit, ping and reject. To be called about every 50 ms.

        Args:
            now: The current time.
            delivered_revision: All events up to this revision have been given to `apply_events`. The state
                may be ahead of it.
            stale_ms: How long the member has had no message from a leader.
        """
        self.revision = max(self.revision, delivered_revision)
        effects = self._catch_up(now) + self._start_admitted_snapshots(now) + self._end_overdue(now)
        if now >= self._last_ping_at + PING_INTERVAL_MS:
            self._last_ping_at = now
            effects += self._ping_all(now, stale_ms)
        return effects

    def _end_overdue(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for key, session in self.sessions.items():
            if session.phase is Phase.BEHIND and now >= session.behind_deadline:
                floor = session.subscribe.floor_revision
                text = f"it has seen revision {floor}; here is {self.revision}"
                effects.append(End(key, Rejection.REVISION_AHEAD, text))
            elif now >= self._ping_sent_at.get(session.last_answered_ping + 1, now) + PING_TIMEOUT_MS:
                text = f"ping {session.last_answered_ping + 1} was not answered within {PING_TIMEOUT_MS:g} ms"
                effects.append(End(key, Rejection.UNRESPONSIVE, text))
        return effects

    def _ping_all(self, now: float, stale_ms: float) -> list[Effect]:
        self._ping_number += 1
        self._ping_sent_at[self._ping_number] = now
        self._ping_sent_at.pop(self._ping_number - MAX_REMEMBERED_PINGS, None)
        digest = self.digest.value if self._ping_number % PINGS_PER_DIGEST == 0 else 0
        current: list[int] = []
        others: list[int] = []
        for key, session in self.sessions.items():
            if session.phase is Phase.BEHIND:
                session.last_answered_ping = self._ping_number  # it is not sent this ping
                continue
            (current if session.phase is Phase.CURRENT else others).append(key)
        effects: list[Effect] = []
        self.published_revision = self.revision
        if current:
            effects.append(Send(current, Ping(self._ping_number, self.revision, stale_ms, digest)))
        if others:
            effects.append(Send(others, Ping(self._ping_number, -1, stale_ms)))
        return effects


def _split_pages(documents: list[Document]) -> list[list[Document]]:
    """Split the documents into pages of about `PAGE_BYTES`; without documents there is one empty page."""
    pages: list[list[Document]] = [[]]
    size = 0
    for document in documents:
        if pages[-1] and size + len(document.name) + len(document.value) > PAGE_BYTES:
            pages.append([])
            size = 0
        pages[-1].append(document)
        size += len(document.name) + len(document.value)
    return pages


def _event_size(event: Event) -> int:
    return len(event.name) + len(event.value or b"")


def _split_changes(base: int, revision: int, events: list[Event]) -> list[Changes]:
    """Split the changes from `base` to `revision` into messages of about `CHANGES_BYTES`, between revisions.

    There is no message if `base` and `revision` are equal.
    """
    messages: list[Changes] = []
    part: list[Event] = []
    size = 0
    for event in events:
        if part and size + _event_size(event) > CHANGES_BYTES and event.revision != part[-1].revision:
            messages.append(Changes(base, part[-1].revision, part))
            base, part, size = part[-1].revision, [], 0
        part.append(event)
        size += _event_size(event)
    if base != revision:
        messages.append(Changes(base, revision, part))
    return messages
