"""An observer's copy of the documents it follows, kept up to date by one subscription after the other. Pure.

The copy has a position (generation, revision) that never goes back. Changes are accepted only where they
continue the copy without a gap, a snapshot only where it is not older than the copy. A violation raises
`SubscriptionError`: the copy stays as it was, and the connection is of no further use.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

from eiderpin.store.document_digest import DocumentDigest
from eiderpin.store.observer_protocol import (
    VERSION,
    Accepted,
    Announced,
    Changes,
    Fenced,
    Fleet,
    FromMember,
    Ping,
    Pong,
    Rejected,
    SnapshotPage,
    Subscribe,
)
from eiderpin.store.state import Document, Event


class Violation(Enum):
    """What is wrong with a member's message."""

    MALFORMED = "malformed"  # it cannot be decoded, or is not allowed at this point
    OLDER_GENERATION = "older_generation"
    OLDER_REVISION = "older_revision"  # a snapshot older than the copy
    GAP = "gap"  # changes whose base is ahead of the copy
    DIGEST = "digest"  # the copy differs from what the member has at the same revision


class SubscriptionError(Exception):
    """A member's message cannot be accepted."""

    def __init__(self, violation: Violation, text: str) -> None:
        """Create the error with the kind of the violation and a text that says what is wrong."""
        super().__init__(text)
        self.violation = violation


@dataclass(slots=True, frozen=True)
class DocumentsChanged:
    """Documents have changed. `events` are in order, and the copy contains all of them already."""

    events: list[Event]


@dataclass(slots=True, frozen=True)
class UpToDate:
    """The copy contains everything the member had. `stale_ms`: how old the member's state may be, in ms."""

    stale_ms: float


@dataclass(slots=True, frozen=True)
class Placement:
    """How many dispatchers are live, and which of them this one is, from 0."""

    instances: int
    instance: int


@dataclass(slots=True, frozen=True)
class PresenceConfirmed:
    """All other dispatchers know that this observer is live."""


@dataclass(slots=True, frozen=True)
class FencedOut:
    """A later process holds the observer's name."""


@dataclass(slots=True, frozen=True)
class Refused:
    """The member does not serve this observer, or no longer does. `kind` is a `Rejection` value."""

    kind: str
    reason: str


@dataclass(slots=True, frozen=True)
class Reply:
    """A message to send to the member."""

    message: Pong


Update: TypeAlias = DocumentsChanged | UpToDate | Placement | PresenceConfirmed | FencedOut | Refused | Reply


class Subscription:
    """The state of an observer that lasts across its connections.

    Args:
        cluster: The store's cluster.
        name: The observer's name.
        token: Distinguishes this process from others with the same name.
        region: The observer's region, or empty.
    """

    def __init__(self, cluster: str, name: str, token: str, region: str = "") -> None:
        """Start with an empty copy at position (0, 0)."""
        self.cluster, self.name, self.token, self.region = cluster, name, token, region
        self.generation = 0
        self.revision = 0
        self.documents: dict[str, Document] = {}
        self.digest = DocumentDigest()
        self.epoch = 0
        self.session = 0
        self._accepted: Accepted | None = None
        self._pages: list[Document] | None = None  # of a snapshot that is not complete yet
        self._snapshot_due = False  # a complete snapshot must come before anything else
        self._distrusted = False  # the copy differs from a member's, so a snapshot must replace it

    @property
    def position(self) -> tuple[int, int]:
        """Generation and revision of the copy."""
        return (self.generation, self.revision)

    def subscribe(self) -> Subscribe:
        """Start a new session, and return the first message of its connection."""
        self.session += 1
        self._accepted, self._pages = None, None
        generation, revision = (0, 0) if self._distrusted else self.position
        return Subscribe(
            VERSION,
            self.cluster,
            self.name,
            self.token,
            self.session,
            self.epoch,
            self.region,
            generation,
            revision,
            self.generation,
            self.revision,
        )

    def handle_message(self, message: FromMember) -> list[Update]:
        """Apply a member's message, and return what follows from it, in order.

        Raises:
            SubscriptionError: The message is not acceptable; the copy is unchanged.
        """
        if isinstance(message, Rejected):
            return [Refused(message.kind, message.reason)]
        if isinstance(message, Accepted):
            self._handle_accepted(message)
            return []
        if self._accepted is None:
            raise SubscriptionError(Violation.MALFORMED, f"{type(message).__name__} before Accepted")
        if isinstance(message, SnapshotPage):
            return self._handle_page(message, self._accepted)
        if isinstance(message, Changes):
            return self._handle_changes(message)
        if isinstance(message, Ping):
            return self._handle_ping(message)
        if isinstance(message, Fleet):
            return [Placement(message.instances, message.instance)]
        if isinstance(message, Announced):
            self.epoch = message.epoch
            return [PresenceConfirmed()]
        assert isinstance(message, Fenced)
        return [FencedOut()]

    def _handle_accepted(self, accepted: Accepted) -> None:
        if self._accepted is not None:
            raise SubscriptionError(Violation.MALFORMED, "Accepted twice")
        if accepted.generation < self.generation:
            text = f"generation {accepted.generation} of the cluster; {self.generation} was seen"
            raise SubscriptionError(Violation.OLDER_GENERATION, text)
        if accepted.resumes and (accepted.generation != self.generation or self._distrusted):
            raise SubscriptionError(Violation.MALFORMED, "it resumes a position that was not requested")
        self._accepted = accepted
        self._snapshot_due = not accepted.resumes

    def _handle_page(self, page: SnapshotPage, accepted: Accepted) -> list[Update]:
        if page.first:
            self._pages, self._snapshot_due = [], True
        if self._pages is None:
            raise SubscriptionError(Violation.MALFORMED, "a page of no snapshot")
        if (accepted.generation, page.revision) < self.position:
            text = f"a snapshot of revision {page.revision}; {self.revision} was taken"
            raise SubscriptionError(Violation.OLDER_REVISION, text)
        self._pages += page.documents
        if not page.last:
            return []
        documents, self._pages = self._pages, None
        return self._replace_copy(accepted.generation, page.revision, documents)

    def _replace_copy(self, generation: int, revision: int, documents: list[Document]) -> list[Update]:
        """Replace the copy by a complete snapshot, and report only the documents that differ."""
        new = {document.name: document for document in documents}
        events = [Event(revision, name, None) for name in sorted(set(self.documents) - set(new))]
        for document in documents:
            old = self.documents.get(document.name)
            if old is None or old.value != document.value:
                events.append(Event(document.revision, document.name, document.value))
        self.documents, self.digest = new, DocumentDigest(documents)
        self.generation, self.revision = generation, revision
        self._distrusted = self._snapshot_due = False
        return [DocumentsChanged(events), UpToDate(0.0)]

    def _handle_changes(self, changes: Changes) -> list[Update]:
        if changes.base > self.revision:
            text = f"changes after revision {changes.base}; the copy is at {self.revision}"
            raise SubscriptionError(Violation.GAP, text)
        if changes.base >= changes.revision or any(
            not changes.base < event.revision <= changes.revision for event in changes.events
        ):
            raise SubscriptionError(Violation.MALFORMED, "changes with events outside their own revisions")
        if self._snapshot_due:
            raise SubscriptionError(Violation.MALFORMED, "changes before the snapshot is complete")
        events = [event for event in changes.events if event.revision > self.revision]
        for event in events:
            self._apply_event(event)
        self.revision = max(self.revision, changes.revision)
        return [DocumentsChanged(events)] if events else []

    def _apply_event(self, event: Event) -> None:
        self.digest.apply(event)
        if event.value is None:
            self.documents.pop(event.name, None)
        else:
            document = Document(event.name, event.value, event.revision, event.revision)
            self.documents[event.name] = document

    def _handle_ping(self, ping: Ping) -> list[Update]:
        reply = Reply(Pong(ping.number))
        if ping.revision < 0:
            return [reply]
        if self._snapshot_due:
            raise SubscriptionError(
                Violation.MALFORMED, "reported up to date before the snapshot is complete"
            )
        if ping.revision == self.revision and ping.digest not in (0, self.digest.value):
            self._distrusted = True
            raise SubscriptionError(Violation.DIGEST, f"the copy differs at revision {self.revision}")
        self.revision = max(self.revision, ping.revision)
        return [reply, UpToDate(ping.stale_ms)]
