"""The replicated state machine of the store: named documents with revisions, leases, and client sessions.

It does no I/O and is deterministic: the same commands in the same order give the same state, byte for byte,
on every member.

Time is logical, in ms: the leader advances it with `Expire` commands while any lease is held. So no member's
clock matters, and a period without a leader does not shorten any lease.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import TypeAlias

import msgspec

MAX_NAME_BYTES = 512
MAX_DOCUMENT_BYTES = 256 << 10
MAX_TRANSACTION_BYTES = 512 << 10  # sum of the values that one transaction puts
MAX_DOCUMENTS = 100_000
MAX_STORE_BYTES = 64 << 20  # names and values of all documents
MAX_OPS = 128  # changes in one transaction, and likewise comparisons
MAX_LEASES = 10_000
MAX_SESSIONS = 10_000
MAX_HISTORY_EVENTS = 10_000  # events kept so that watches can resume
MAX_HISTORY_BYTES = 16 << 20
TTL_RANGE_MS = (1_000.0, 86_400_000.0)  # shortest and longest lease


class StoreError(Exception):
    """A command that cannot be executed; the message says why. The state is unchanged.

    The message becomes `Answer.error`, which is part of the replicated state."""


class Compacted(Exception):
    """Events before revision `oldest` are no longer kept: read the documents again and watch from there."""

    def __init__(self, oldest: int) -> None:
        """`oldest`: the first revision whose events are still kept."""
        super().__init__(f"events before revision {oldest} are forgotten")
        self.oldest = oldest


class _Record(msgspec.Struct, array_like=True, frozen=True):
    pass


class Put(_Record, tag=1, array_like=True, frozen=True):
    """Set the value of a document. With `lease`, the document is deleted when that lease ends."""

    name: str
    value: bytes
    lease: int = 0


class Delete(_Record, tag=2, array_like=True, frozen=True):
    """Delete a document, if it exists."""

    name: str


class Compare(_Record, array_like=True, frozen=True):
    """Condition: the document is at this revision; 0: it does not exist."""

    name: str
    revision: int


class Transaction(_Record, tag=1, array_like=True, frozen=True):
    """Apply all of `ops` if all of `compares` hold, else none."""

    ops: list[Put | Delete]
    compares: list[Compare] = []


class Grant(_Record, tag=2, array_like=True, frozen=True):
    """Create a lease. It ends `ttl` ms after its last renewal, and its documents are deleted with it."""

    ttl: float


class Keep(_Record, tag=3, array_like=True, frozen=True):
    """Renew a lease."""

    lease: int


class Revoke(_Record, tag=4, array_like=True, frozen=True):
    """End a lease and delete its documents."""

    lease: int


class Expire(_Record, tag=5, array_like=True, frozen=True):
    """Advance the store's time to `at` ms and end the leases that have expired."""

    at: float


class Open(_Record, tag=6, array_like=True, frozen=True):
    """Open the session of a client, whose commands are numbered from 1."""

    client: str


class Close(_Record, tag=7, array_like=True, frozen=True):
    """Close the session of a client and discard its last answer."""

    client: str


Operation: TypeAlias = Transaction | Grant | Keep | Revoke | Expire | Open | Close


class Command(_Record, array_like=True, frozen=True):
    """An operation as it stands in the log.

    A command that is repeated with the same `client` and `number` is applied once, and the repetition gets
    the first answer. With an empty `client` there is no session, and `number` only tells commands apart."""

    client: str
    number: int
    op: Operation


class Answer(_Record, array_like=True, frozen=True):
    """The result of a command.

    Attributes:
        revision: The revision of the store after the command.
        ok: Whether the comparisons held and there was no error.
        lease: The lease that was granted, or 0.
        error: Why the command could not be executed, or empty.
    """

    revision: int
    ok: bool = True
    lease: int = 0
    error: str = ""


class Document(_Record, array_like=True, frozen=True):
    """A named value and its revisions."""

    name: str
    value: bytes
    revision: int  # of the last change
    created: int  # revision of the first change
    lease: int = 0


class Event(_Record, array_like=True, frozen=True):
    """One change of a document; `value` is None if it was deleted."""

    revision: int
    name: str
    value: bytes | None
    lease: int = 0


@dataclass(slots=True)
class Lease:
    """A lease, and the names of its documents. Times in ms of the store's time."""

    id: int
    ttl: float
    expires_at: float
    names: set[str] = field(default_factory=set)


@dataclass(slots=True)
class Session:
    """The number of a client's last command, and its answer."""

    number: int
    answer: Answer


class _Image(msgspec.Struct, array_like=True):
    """The whole state in a fixed order, as it is serialized."""

    now: float
    revision: int
    oldest: int
    documents: list[Document]
    leases: list[tuple[int, float, float]]
    sessions: list[tuple[str, int, Answer]]
    events: list[Event]


_COMMAND_DECODER = msgspec.msgpack.Decoder(Command)
_ENCODER = msgspec.msgpack.Encoder()


def pack(command: Command) -> bytes:
    """Serialize a command for the log."""
    return _ENCODER.encode(command)


def unpack(data: bytes) -> Command:
    """Deserialize a command. Raises `msgspec.MsgspecError`."""
    return _COMMAND_DECODER.decode(data)


class Store:
    """The state of the store on one member.

    Args:
        history: How many events are kept for watches.
    """

    def __init__(self, history: int = MAX_HISTORY_EVENTS) -> None:
        """Start empty, at revision 0."""
        self.history = history
        self.now = 0.0
        self.revision = 0
        self.oldest = 1  # the first revision whose events are still kept
        self.documents: dict[str, Document] = {}
        self.leases: dict[int, Lease] = {}
        self.sessions: OrderedDict[str, Session] = OrderedDict()  # least recently used first
        self.events: deque[Event] = deque()
        self.bytes = self.event_bytes = 0

    # -- commands

    def apply(self, command: Command) -> Answer:
        """Execute a command and return its answer; errors are reported in the answer, not raised."""
        if command.client:
            session = self.sessions.get(command.client)
            if isinstance(command.op, Open):
                return self._open(command.client)
            if session is None:
                return Answer(self.revision, False, error="this client is not known (any more): open it anew")
            if command.number <= session.number:
                if command.number == session.number:
                    return session.answer
                return Answer(self.revision, False, error=f"command {command.number} came before the last")
            answer = self._execute(command.op)
            if command.client in self.sessions:  # unless the command closed it
                session.number, session.answer = command.number, answer
                self.sessions.move_to_end(command.client)
            return answer
        return self._execute(command.op)

    def _execute(self, op: Operation) -> Answer:
        try:
            if isinstance(op, Transaction):
                return self._transact(op)
            if isinstance(op, Grant):
                return self._grant(op)
            if isinstance(op, Keep):
                self._find_lease(op.lease).expires_at = self.now + self._find_lease(op.lease).ttl
            elif isinstance(op, Revoke):
                self._end_lease(self._find_lease(op.lease))
            elif isinstance(op, Expire):
                self.now = max(self.now, op.at)
                for lease in sorted(self.leases.values(), key=lambda x: x.id):
                    if lease.expires_at <= self.now:
                        self._end_lease(lease)
            elif isinstance(op, Open):
                return self._open(op.client)
            else:
                self.sessions.pop(op.client, None)
        except StoreError as error:
            return Answer(self.revision, False, error=str(error))
        return Answer(self.revision)

    def _open(self, client: str) -> Answer:
        if not 0 < len(client) <= 128:
            return Answer(self.revision, False, error="a client's name has 1 to 128 characters")
        self.sessions.setdefault(client, Session(0, Answer(self.revision)))
        self.sessions.move_to_end(client)
        while len(self.sessions) > MAX_SESSIONS:
            self.sessions.popitem(last=False)
        return Answer(self.revision)

    def _transact(self, op: Transaction) -> Answer:
        if not 0 < len(op.ops) <= MAX_OPS or len(op.compares) > MAX_OPS:
            raise StoreError(f"{len(op.ops)} changes in one transaction; 1 to {MAX_OPS} are taken")
        if any(self._revision_of(c.name) != c.revision for c in op.compares):
            return Answer(self.revision, False)
        size = sum(len(c.value) for c in op.ops if isinstance(c, Put))
        if size > MAX_TRANSACTION_BYTES:
            raise StoreError(f"{size} bytes in one transaction; up to {MAX_TRANSACTION_BYTES} are taken")
        names, grown, added = set(), 0, 0
        for change in op.ops:
            if change.name in names:
                raise StoreError(f"{change.name} is changed twice in one transaction")
            names.add(change.name)
            old = self.documents.get(change.name)
            grown -= _document_size(old) if old is not None else 0
            added -= old is not None
            if isinstance(change, Put):
                self._check_put(change)
                grown += len(change.name) + len(change.value)
                added += 1
        if grown > 0 and self.bytes + grown > MAX_STORE_BYTES:
            raise StoreError(f"the store is full: {self.bytes} of {MAX_STORE_BYTES} bytes")
        if added > 0 and len(self.documents) + added > MAX_DOCUMENTS:
            raise StoreError(f"the store is full: {len(self.documents)} documents")
        changes = [c for c in op.ops if isinstance(c, Put) or c.name in self.documents]
        if changes:
            self.revision += 1
        for change in changes:
            if isinstance(change, Put):
                self._put(change)
            else:
                self._delete(change.name)
        self._trim_history()
        return Answer(self.revision)

    def _check_put(self, put: Put) -> None:
        if not 0 < len(put.name.encode()) <= MAX_NAME_BYTES:
            raise StoreError(f"a name has 1 to {MAX_NAME_BYTES} bytes")
        if len(put.value) > MAX_DOCUMENT_BYTES:
            raise StoreError(f"{put.name}: {len(put.value)} bytes; up to {MAX_DOCUMENT_BYTES} are taken")
        if put.lease:
            self._find_lease(put.lease)

    def _put(self, put: Put) -> None:
        old = self.documents.get(put.name)
        created = old.created if old is not None else self.revision
        new = Document(put.name, put.value, self.revision, created, put.lease)
        if old is not None:
            self._detach_from_lease(old)
            self.bytes -= _document_size(old)
        self.documents[put.name] = new
        self.bytes += _document_size(new)
        if put.lease:
            self.leases[put.lease].names.add(put.name)
        self._append_event(Event(self.revision, put.name, put.value, put.lease))

    def _delete(self, name: str) -> None:
        old = self.documents.pop(name)
        self._detach_from_lease(old)
        self.bytes -= _document_size(old)
        self._append_event(Event(self.revision, name, None))

    def _detach_from_lease(self, document: Document) -> None:
        lease = self.leases.get(document.lease)
        if lease is not None:
            lease.names.discard(document.name)

    def _append_event(self, event: Event) -> None:
        self.events.append(event)
        self.event_bytes += _event_size(event)

    def _trim_history(self) -> None:
        """Drop the oldest events, by whole revisions, until the history is within its limits."""
        while self.events and (len(self.events) > self.history or self.event_bytes > MAX_HISTORY_BYTES):
            oldest = self.events[0].revision
            while self.events and self.events[0].revision == oldest:
                self.event_bytes -= _event_size(self.events.popleft())
            self.oldest = oldest + 1

    # -- leases

    def _grant(self, op: Grant) -> Answer:
        if not TTL_RANGE_MS[0] <= op.ttl <= TTL_RANGE_MS[1]:
            raise StoreError(
                f"a lease of {op.ttl:g} ms; {TTL_RANGE_MS[0]:g} to {TTL_RANGE_MS[1]:g} are given"
            )
        if len(self.leases) >= MAX_LEASES:
            raise StoreError(f"{MAX_LEASES} leases are out")
        self.revision += 1  # the revision serves as the lease's number, which must be unique
        self.leases[self.revision] = Lease(self.revision, op.ttl, self.now + op.ttl)
        return Answer(self.revision, lease=self.revision)

    def _find_lease(self, number: int) -> Lease:
        lease = self.leases.get(number)
        if lease is None:
            raise StoreError(f"there is no lease {number}, or it has ended")
        return lease

    def _end_lease(self, lease: Lease) -> None:
        names = sorted(lease.names)
        if names:
            self.revision += 1
        for name in names:
            self._delete(name)
        del self.leases[lease.id]
        self._trim_history()

    def next_lease_end(self) -> float | None:
        """When the next lease expires, in ms of the store's time; None if there is no lease."""
        return min((x.expires_at for x in self.leases.values()), default=None)

    # -- reading

    def _revision_of(self, name: str) -> int:
        document = self.documents.get(name)
        return document.revision if document is not None else 0

    def get(self, name: str) -> Document | None:
        """The document of this name, or None."""
        return self.documents.get(name)

    def range(self, prefix: str, after: str = "", max_documents: int = 1000) -> list[Document]:
        """Up to `max_documents`, ordered by name, whose names start with `prefix` and come after `after`."""
        names = sorted(n for n in self.documents if n.startswith(prefix) and n > after)
        return [self.documents[n] for n in names[:max_documents]]

    def events_since(self, revision: int, prefix: str = "") -> list[Event]:
        """Events from `revision` on, oldest first, of names that start with `prefix`.

        Raises:
            Compacted: Some of these events are no longer kept.
        """
        if revision < self.oldest:
            raise Compacted(self.oldest)
        events = []
        for event in reversed(self.events):
            if event.revision < revision:
                break
            if event.name.startswith(prefix):
                events.append(event)
        events.reverse()
        return events

    # -- serialization

    def image(self) -> bytes:
        """Serialize the whole state; equal on all members that have applied the same commands."""
        return _ENCODER.encode(
            _Image(
                self.now, self.revision, self.oldest, [self.documents[n] for n in sorted(self.documents)],
                [(x.id, x.ttl, x.expires_at) for x in sorted(self.leases.values(), key=lambda x: x.id)],
                [(n, s.number, s.answer) for n, s in self.sessions.items()], list(self.events),
            )
        )  # fmt: skip

    @classmethod
    def from_image(cls, image: bytes, history: int = MAX_HISTORY_EVENTS) -> Store:
        """Restore a state from `image`; empty bytes give an empty store. Raises `msgspec.MsgspecError`."""
        store = cls(history)
        if not image:
            return store
        decoded = msgspec.msgpack.decode(image, type=_Image)
        store.now, store.revision, store.oldest = decoded.now, decoded.revision, decoded.oldest
        store.leases = {number: Lease(number, ttl, expires_at) for number, ttl, expires_at in decoded.leases}
        for document in decoded.documents:
            store.documents[document.name] = document
            store.bytes += _document_size(document)
            if document.lease in store.leases:
                store.leases[document.lease].names.add(document.name)
        for name, number, answer in decoded.sessions:
            store.sessions[name] = Session(number, answer)
        for event in decoded.events:
            store._append_event(event)
        return store


def _document_size(document: Document) -> int:
    return len(document.name) + len(document.value)


def _event_size(event: Event) -> int:
    return len(event.name) + len(event.value or b"") + 16
