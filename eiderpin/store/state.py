"""What the store keeps: named documents with revisions, leases, clients' last answers. Pure and
deterministic: the same commands in the same order give the same state, byte for byte, on every member.

Time here is the store's own, in ms: a leader counts it while any lease is out, and says it in `Expire`. So no
member's clock matters, and time without a leader counts against no lease.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import TypeAlias

import msgspec

MOST_NAME = 512  # bytes
MOST_DOCUMENT = 256 << 10
MOST_TRANSACTION = 512 << 10  # bytes of all that one puts
MOST_DOCUMENTS = 100_000
MOST_BYTES = 64 << 20  # of all documents
MOST_OPS = 128  # in one transaction
MOST_LEASES = 10_000
MOST_SESSIONS = 10_000
HISTORY = 10_000  # events that a watch may resume from ...
HISTORY_BYTES = 16 << 20  # ... of so many bytes at most
TTL = (1_000.0, 86_400_000.0)  # ms


class StoreError(Exception):
    """A command that can't be carried out; the message says why. Nothing has changed."""


class Compacted(Exception):
    """Events before `oldest` are forgotten: read the documents anew and watch from there."""

    def __init__(self, oldest: int) -> None:
        """`oldest`: the first revision that is still here."""
        super().__init__(f"events before revision {oldest} are forgotten")
        self.oldest = oldest


class _Record(msgspec.Struct, array_like=True, frozen=True):
    pass


class Put(_Record, tag=1, array_like=True, frozen=True):
    """Make this the value of a document; with `lease`, until that ends."""

    name: str
    value: bytes
    lease: int = 0


class Delete(_Record, tag=2, array_like=True, frozen=True):
    """Let a document go, if there is one."""

    name: str


class Compare(_Record, array_like=True, frozen=True):
    """The document's revision must be this; 0: there is none."""

    name: str
    revision: int


class Transaction(_Record, tag=1, array_like=True, frozen=True):
    """All of `ops`, if all of `compares` hold."""

    ops: list[Put | Delete]
    compares: list[Compare] = []


class Grant(_Record, tag=2, array_like=True, frozen=True):
    """A lease that ends `ttl` ms after it was last kept; what is put under it goes with it."""

    ttl: float


class Keep(_Record, tag=3, array_like=True, frozen=True):
    """Renew a lease."""

    lease: int


class Revoke(_Record, tag=4, array_like=True, frozen=True):
    """End a lease, and what was put under it."""

    lease: int


class Expire(_Record, tag=5, array_like=True, frozen=True):
    """A leader's word that the store's time has come so far: leases that are over end."""

    at: float


class Open(_Record, tag=6, array_like=True, frozen=True):
    """A client begins; its commands are numbered from 1 on."""

    client: str


class Close(_Record, tag=7, array_like=True, frozen=True):
    """A client ends; its last answer is forgotten."""

    client: str


Operation: TypeAlias = Transaction | Grant | Keep | Revoke | Expire | Open | Close


class Command(_Record, array_like=True, frozen=True):
    """`client` and `number`: a repeated one is applied once, and answered as the first time. With an empty
    `client` it is anybody's, and `number` only tells it from others."""

    client: str
    number: int
    op: Operation


class Answer(_Record, array_like=True, frozen=True):
    """What came of a command. `revision`: the store's after it. `ok`: the compares held. `lease`: the one
    that was granted. `error`: why it could not be carried out."""

    revision: int
    ok: bool = True
    lease: int = 0
    error: str = ""


class Document(_Record, array_like=True, frozen=True):
    """A named value."""

    name: str
    value: bytes
    revision: int  # of its last change
    created: int  # of its first
    lease: int = 0


class Event(_Record, array_like=True, frozen=True):
    """`value` None: deleted."""

    revision: int
    name: str
    value: bytes | None
    lease: int = 0


@dataclass(slots=True)
class Lease:
    """A lease, and the documents under it."""

    id: int
    ttl: float
    ends: float
    names: set[str] = field(default_factory=set)


@dataclass(slots=True)
class Session:
    """A client's last command, and what it was answered."""

    number: int
    answer: Answer


class _Image(msgspec.Struct, array_like=True):
    """All of it, in a fixed order."""

    now: float
    revision: int
    oldest: int
    documents: list[Document]
    leases: list[tuple[int, float, float]]
    sessions: list[tuple[str, int, Answer]]
    events: list[Event]


_COMMAND = msgspec.msgpack.Decoder(Command)
_ENCODER = msgspec.msgpack.Encoder()


def pack(command: Command) -> bytes:
    """A command as the log holds it."""
    return _ENCODER.encode(command)


def unpack(data: bytes) -> Command:
    """Raises `msgspec.MsgspecError`."""
    return _COMMAND.decode(data)


class Store:
    """`history`: events that are kept for watches."""

    def __init__(self, history: int = HISTORY) -> None:
        """Begin empty, at revision 0."""
        self.history = history
        self.now = 0.0
        self.revision = 0
        self.oldest = 1  # the first revision whose events are still here
        self.documents: dict[str, Document] = {}
        self.leases: dict[int, Lease] = {}
        self.sessions: OrderedDict[str, Session] = OrderedDict()  # those that spoke longest ago first
        self.events: deque[Event] = deque()
        self.bytes = self.event_bytes = 0

    # -- commands

    def apply(self, command: Command) -> Answer:
        """Carry one out. Whatever is wrong with it is in the answer."""
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
            answer = self._carry_out(command.op)
            if command.client in self.sessions:  # it may have closed itself
                session.number, session.answer = command.number, answer
                self.sessions.move_to_end(command.client)
            return answer
        return self._carry_out(command.op)

    def _carry_out(self, op: Operation) -> Answer:
        try:
            if isinstance(op, Transaction):
                return self._transact(op)
            if isinstance(op, Grant):
                return self._grant(op)
            if isinstance(op, Keep):
                self._lease(op.lease).ends = self.now + self._lease(op.lease).ttl
            elif isinstance(op, Revoke):
                self._end_lease(self._lease(op.lease))
            elif isinstance(op, Expire):
                self.now = max(self.now, op.at)
                for lease in sorted(self.leases.values(), key=lambda x: x.id):
                    if lease.ends <= self.now:
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
        while len(self.sessions) > MOST_SESSIONS:
            self.sessions.popitem(last=False)
        return Answer(self.revision)

    def _transact(self, op: Transaction) -> Answer:
        if not 0 < len(op.ops) <= MOST_OPS or len(op.compares) > MOST_OPS:
            raise StoreError(f"{len(op.ops)} changes in one transaction; 1 to {MOST_OPS} are taken")
        if any(self._revision_of(c.name) != c.revision for c in op.compares):
            return Answer(self.revision, False)
        size = sum(len(c.value) for c in op.ops if isinstance(c, Put))
        if size > MOST_TRANSACTION:
            raise StoreError(f"{size} bytes in one transaction; up to {MOST_TRANSACTION} are taken")
        names, grown, added = set(), 0, 0
        for change in op.ops:
            if change.name in names:
                raise StoreError(f"{change.name} is changed twice in one transaction")
            names.add(change.name)
            old = self.documents.get(change.name)
            grown -= _size(old) if old is not None else 0
            added -= old is not None
            if isinstance(change, Put):
                self._check(change)
                grown += len(change.name) + len(change.value)
                added += 1
        if grown > 0 and self.bytes + grown > MOST_BYTES:
            raise StoreError(f"the store is full: {self.bytes} of {MOST_BYTES} bytes")
        if added > 0 and len(self.documents) + added > MOST_DOCUMENTS:
            raise StoreError(f"the store is full: {len(self.documents)} documents")
        changes = [c for c in op.ops if isinstance(c, Put) or c.name in self.documents]
        if changes:
            self.revision += 1
        for change in changes:
            if isinstance(change, Put):
                self._put(change)
            else:
                self._delete(change.name)
        self._forget()
        return Answer(self.revision)

    def _check(self, put: Put) -> None:
        if not 0 < len(put.name.encode()) <= MOST_NAME:
            raise StoreError(f"a name has 1 to {MOST_NAME} bytes")
        if len(put.value) > MOST_DOCUMENT:
            raise StoreError(f"{put.name}: {len(put.value)} bytes; up to {MOST_DOCUMENT} are taken")
        if put.lease:
            self._lease(put.lease)

    def _put(self, put: Put) -> None:
        old = self.documents.get(put.name)
        created = old.created if old is not None else self.revision
        new = Document(put.name, put.value, self.revision, created, put.lease)
        if old is not None:
            self._unlease(old)
            self.bytes -= _size(old)
        self.documents[put.name] = new
        self.bytes += _size(new)
        if put.lease:
            self.leases[put.lease].names.add(put.name)
        self._note(Event(self.revision, put.name, put.value, put.lease))

    def _delete(self, name: str) -> None:
        old = self.documents.pop(name)
        self._unlease(old)
        self.bytes -= _size(old)
        self._note(Event(self.revision, name, None))

    def _unlease(self, document: Document) -> None:
        lease = self.leases.get(document.lease)
        if lease is not None:
            lease.names.discard(document.name)

    def _note(self, event: Event) -> None:
        self.events.append(event)
        self.event_bytes += _event_size(event)

    def _forget(self) -> None:
        """Keep the history within its bounds, by whole revisions."""
        while self.events and (len(self.events) > self.history or self.event_bytes > HISTORY_BYTES):
            gone = self.events[0].revision
            while self.events and self.events[0].revision == gone:
                self.event_bytes -= _event_size(self.events.popleft())
            self.oldest = gone + 1

    # -- leases

    def _grant(self, op: Grant) -> Answer:
        if not TTL[0] <= op.ttl <= TTL[1]:
            raise StoreError(f"a lease of {op.ttl:g} ms; {TTL[0]:g} to {TTL[1]:g} are given")
        if len(self.leases) >= MOST_LEASES:
            raise StoreError(f"{MOST_LEASES} leases are out")
        self.revision += 1  # so that its number is its own
        self.leases[self.revision] = Lease(self.revision, op.ttl, self.now + op.ttl)
        return Answer(self.revision, lease=self.revision)

    def _lease(self, number: int) -> Lease:
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
        self._forget()

    def next_end(self) -> float | None:
        """When the first lease ends, in the store's time."""
        return min((x.ends for x in self.leases.values()), default=None)

    # -- reading

    def _revision_of(self, name: str) -> int:
        document = self.documents.get(name)
        return document.revision if document is not None else 0

    def get(self, name: str) -> Document | None:
        """A document; None: there is none of that name."""
        return self.documents.get(name)

    def range(self, prefix: str, after: str = "", most: int = 1000) -> list[Document]:
        """Documents whose names begin so, in the order of names, those after `after`."""
        names = sorted(n for n in self.documents if n.startswith(prefix) and n > after)
        return [self.documents[n] for n in names[:most]]

    def events_since(self, revision: int, prefix: str = "") -> list[Event]:
        """Events from `revision` on, oldest first. Raises `Compacted`."""
        if revision < self.oldest:
            raise Compacted(self.oldest)
        found = []
        for event in reversed(self.events):
            if event.revision < revision:
                break
            if event.name.startswith(prefix):
                found.append(event)
        found.reverse()
        return found

    # -- as a whole

    def image(self) -> bytes:
        """All of it, as bytes; the same on every member that has applied the same."""
        return _ENCODER.encode(
            _Image(
                self.now, self.revision, self.oldest, [self.documents[n] for n in sorted(self.documents)],
                [(x.id, x.ttl, x.ends) for x in sorted(self.leases.values(), key=lambda x: x.id)],
                [(n, s.number, s.answer) for n, s in self.sessions.items()], list(self.events),
            )
        )  # fmt: skip

    @classmethod
    def from_image(cls, image: bytes, history: int = HISTORY) -> Store:
        """Raises `msgspec.MsgspecError`."""
        store = cls(history)
        if not image:
            return store
        got = msgspec.msgpack.decode(image, type=_Image)
        store.now, store.revision, store.oldest = got.now, got.revision, got.oldest
        store.leases = {number: Lease(number, ttl, ends) for number, ttl, ends in got.leases}
        for document in got.documents:
            store.documents[document.name] = document
            store.bytes += _size(document)
            if document.lease in store.leases:
                store.leases[document.lease].names.add(document.name)
        for name, number, answer in got.sessions:
            store.sessions[name] = Session(number, answer)
        for event in got.events:
            store._note(event)
        return store


def _size(document: Document) -> int:
    return len(document.name) + len(document.value)


def _event_size(event: Event) -> int:
    return len(event.name) + len(event.value or b"") + 16
