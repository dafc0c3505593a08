"""The store's calls at the operators' door: `store {"op": ...}`, a line of JSON each way. Values are base64.

A reply has `ok`; where that is false, `kind` says what went wrong for scripts (`KINDS`), `error` for people.
"""

from __future__ import annotations

import base64
import binascii
import itertools
from collections.abc import Callable
from typing import Any

import orjson

from eiderpin.net.management import ManagementConnection
from eiderpin.parts.store import NAME_PATTERN, parse_address
from eiderpin.store import state
from eiderpin.store.host import StoreHost
from eiderpin.store.member import OutcomeUnknown, Watch
from eiderpin.store.raft import NotLeader, Refused
from eiderpin.store.state import (
    Answer,
    Close,
    Compacted,
    Compare,
    Delete,
    Document,
    Event,
    Grant,
    Keep,
    Open,
    Put,
    Revoke,
    Transaction,
)

WITHIN = 5000.0  # ms that an answer may take, where the caller names no other
MOST_WITHIN = 60_000.0
KINDS = ("bad", "no-leader", "refused", "unknown", "differs", "compacted", "absent")
PART = 256 << 10  # bytes of a snapshot in one line


class BadCall(ValueError):
    """The call makes no sense; the message names the field."""


class Elsewhere:
    """While the process before us is still our member."""

    max_line_bytes = 1 << 20

    def call(self, caller: ManagementConnection, said: bytes) -> None:
        """Say where to ask."""
        fail(caller, "no-leader", "the process beside this one is the member still: ask at its door")


class StoreDoor:
    """The store's calls at a member's management address."""

    max_line_bytes = 1 << 20

    def __init__(self, host: StoreHost) -> None:
        """Answer for this member."""
        self.host, self.loop = host, host.loop
        self.calls: dict[str, Callable[[ManagementConnection, dict[str, Any]], None]] = {
            "status": self.status, "get": self.get, "range": self.range, "txn": self.transact,
            "watch": self.watch, "history": self.history, "grant": self.grant, "keep": self.keep,
            "revoke": self.revoke, "open": self.open, "close": self.close, "add": self.order,
            "add-standby": self.order, "promote": self.order, "remove": self.order, "transfer": self.order,
            "snapshot": self.snapshot,
        }  # fmt: skip

    def call(self, caller: ManagementConnection, said: bytes) -> None:
        """Carry out one line of JSON."""
        try:
            asked: Any = orjson.loads(said)
            if not isinstance(asked, dict):
                raise BadCall("an object is needed")
            call = self.calls.get(asked.get("op", ""))
            if call is None:
                raise BadCall(f"op: {asked.get('op')!r}; there are {', '.join(self.calls)}")
            caller.set_timeout(self.within(asked) + 2000.0)
            self.host.counters.add(f"in.calls.store.{asked['op']}")
            call(caller, asked)
        except (orjson.JSONDecodeError, BadCall) as error:
            self.host.counters.add("in.calls_bad")
            fail(caller, "bad", str(error))

    def within(self, asked: dict[str, Any]) -> float:
        """How long a call may take, in ms. Raises `BadCall`."""
        ms = asked.get("within_ms", WITHIN)
        if isinstance(ms, bool) or not isinstance(ms, int | float) or not 0 < ms <= MOST_WITHIN:
            raise BadCall(f"within_ms: {ms!r}; up to {MOST_WITHIN:g} is expected")
        return float(ms)

    # -- reading

    def status(self, caller: ManagementConnection, asked: dict[str, Any]) -> None:
        """How this member stands."""
        succeed(caller, **self.host.status())

    def read(self, caller: ManagementConnection, asked: dict[str, Any], then: Callable[[], None]) -> None:
        """Once what is here covers all that was committed before; `stale`: as it is."""
        if asked.get("stale") is True:
            then()
            return

        def done(error: Exception | None) -> None:
            if error is None:
                then()
            else:
                failed(caller, error)

        self.host.member.read(done, self.loop.clock.now(), self.within(asked))

    def get(self, caller: ManagementConnection, asked: dict[str, Any]) -> None:
        """One document."""
        name = text(asked, "name")

        def then() -> None:
            document = self.host.member.store.get(name)
            if document is None:
                fail(caller, "absent", f"there is no document {name!r}")
            else:
                succeed(caller, revision=self.host.member.store.revision, document=shown(document))

        self.read(caller, asked, then)

    def range(self, caller: ManagementConnection, asked: dict[str, Any]) -> None:
        """Documents by prefix, as many as fit one line."""
        prefix, after, most = text(asked, "prefix", ""), text(asked, "after", ""), number(asked, "most", 100)

        def then() -> None:
            store = self.host.member.store
            found, size = store.range(prefix, after, min(most, 1000)), 0
            rows: list[dict[str, Any]] = []
            for document in found:
                size += len(document.value)
                if rows and size > PART:
                    break
                rows.append(shown(document))
            more = bool(rows) and len(store.range(prefix, rows[-1]["name"], 1)) > 0
            succeed(caller, revision=store.revision, documents=rows, more=more)

        self.read(caller, asked, then)

    def history(self, caller: ManagementConnection, asked: dict[str, Any]) -> None:
        """A document's changes that are still remembered."""
        name = text(asked, "name")

        def then() -> None:
            store = self.host.member.store
            events = [e for e in store.since(store.oldest, name) if e.name == name]
            size = 0
            rows: list[dict[str, Any]] = []
            for event in reversed(events):
                size += len(event.value or b"")
                if rows and size > PART:
                    break
                rows.append(told(event))
            succeed(caller, revision=store.revision, oldest=store.oldest, events=rows[::-1])

        self.read(caller, asked, then)

    def watch(self, caller: ManagementConnection, asked: dict[str, Any]) -> None:
        """A line for each change, until the caller goes."""
        member = self.host.member
        prefix, after = text(asked, "prefix", ""), number(asked, "after", member.store.revision)
        watch: Watch | None = None
        generation = member.identity.generation
        if number(asked, "generation", generation) != generation:
            fail(caller, "compacted", f"the store has begun anew: its generation is {generation}")
            return

        def tell(events: list[Event] | None) -> None:
            if events is None:
                fail(caller, "compacted", str(Compacted(member.store.oldest)))
                return
            for revision, rows in itertools.groupby(events, lambda e: e.revision):
                line = {"ok": True, "revision": revision, "events": [told(e) for e in rows]}
                caller.write_line(orjson.dumps(line).decode())

        def gone() -> None:
            if watch is not None:
                member.unwatch(watch)

        caller.set_timeout(None)
        caller.on_disconnect = gone
        said = {"ok": True, "watching": prefix, "revision": after, "generation": generation}
        caller.write_line(orjson.dumps(said).decode())
        try:
            watch = member.watch(prefix, after, tell)
        except (Compacted, Refused) as error:
            failed(caller, error)

    def snapshot(self, caller: ManagementConnection, asked: dict[str, Any]) -> None:
        """All of it as lines of base64, the last of them empty; see `store restore`."""

        def then() -> None:
            image = self.host.member.store.image()
            head = {"ok": True, "bytes": len(image), "generation": self.host.member.identity.generation}
            caller.write_line(orjson.dumps(head).decode())
            for at in range(0, len(image), PART):
                caller.write_line(base64.b64encode(image[at : at + PART]).decode())
            caller.reply("")

        self.read(caller, asked, then)

    # -- changing

    def submit(self, caller: ManagementConnection, asked: dict[str, Any], op: state.Operation) -> None:
        """Have a command committed, and give the caller its answer."""
        client = text(asked, "client", "")
        first = number(asked, "number", 0) if client else self.host.member.rng.getrandbits(53)

        def done(answer: Answer | Exception) -> None:
            if isinstance(answer, Exception):
                failed(caller, answer)
            elif answer.error:
                fail(caller, "refused", answer.error)
            elif not answer.ok:
                fail(caller, "differs", "a document is not at the revision that was named")
            else:
                more = {"lease": answer.lease} if answer.lease else {}
                succeed(caller, revision=answer.revision, **more)

        self.host.member.submit(client, first, op, done, self.loop.clock.now(), self.within(asked))

    def transact(self, caller: ManagementConnection, asked: dict[str, Any]) -> None:
        """Some changes at once, if what they expect holds."""
        ops: list[Put | Delete] = []
        for row in rows_of(asked, "puts"):
            ops.append(Put(text(row, "name"), value(row), number(row, "lease", 0)))
        ops += [Delete(text({"name": name}, "name")) for name in asked.get("deletes") or []]
        compares = [Compare(text(row, "name"), number(row, "revision")) for row in rows_of(asked, "compares")]
        self.submit(caller, asked, Transaction(ops, compares))

    def grant(self, caller: ManagementConnection, asked: dict[str, Any]) -> None:
        """A lease."""
        self.submit(caller, asked, Grant(float(number(asked, "ttl_ms"))))

    def keep(self, caller: ManagementConnection, asked: dict[str, Any]) -> None:
        """Renew a lease."""
        self.submit(caller, asked, Keep(number(asked, "lease")))

    def revoke(self, caller: ManagementConnection, asked: dict[str, Any]) -> None:
        """End a lease."""
        self.submit(caller, asked, Revoke(number(asked, "lease")))

    def open(self, caller: ManagementConnection, asked: dict[str, Any]) -> None:
        """Begin a numbered client."""
        self.submit(caller, {**asked, "number": 0}, Open(text(asked, "client")))

    def close(self, caller: ManagementConnection, asked: dict[str, Any]) -> None:
        """End a numbered client."""
        self.submit(caller, {**asked, "client": ""}, Close(text(asked, "client")))

    def order(self, caller: ManagementConnection, asked: dict[str, Any]) -> None:
        """Change who the members are."""
        name, where = text(asked, "name"), ""
        if asked["op"] in ("add", "add-standby"):
            where = text(asked, "address")
            if not NAME_PATTERN.fullmatch(name):
                raise BadCall(f"name: {name!r}; up to 64 letters, digits and ._- are expected")
            try:
                parse_address(where, "address")
            except ValueError as error:
                raise BadCall(str(error)) from None

        def done(error: Exception | None) -> None:
            if error is not None:
                failed(caller, error)
            else:
                config = self.host.member.raft.log.config
                succeed(caller, voters=config.voters, learners=config.learners, standbys=config.standbys)

        now = self.loop.clock.now()
        self.host.member.change_membership(asked["op"], name, where, done, now, self.within(asked))


# -- JSON


def succeed(caller: ManagementConnection, **said: Any) -> None:
    """Reply that it was done, with these fields."""
    caller.reply(orjson.dumps({"ok": True, **said}).decode())


def fail(caller: ManagementConnection, kind: str, error: str) -> None:
    """Reply that it was not; `kind` is one of `KINDS`."""
    assert kind in KINDS
    caller.reply(orjson.dumps({"ok": False, "kind": kind, "error": error}).decode())


def failed(caller: ManagementConnection, error: Exception) -> None:
    """Reply with what an exception says."""
    if isinstance(error, NotLeader):
        fail(caller, "no-leader", f"{error}: nothing has been changed")
    elif isinstance(error, Compacted):
        fail(caller, "compacted", str(error))
    elif isinstance(error, OutcomeUnknown):
        fail(caller, "unknown", str(error))
    else:
        fail(caller, "refused", str(error))


def text(asked: dict[str, Any], field: str, default: str | None = None) -> str:
    """A field that is text. Raises `BadCall`."""
    said = asked.get(field, default)
    if not isinstance(said, str):
        raise BadCall(f"{field}: {said!r}; text is expected")
    return said


def number(asked: dict[str, Any], field: str, default: int | None = None) -> int:
    """A field that is a whole number. Raises `BadCall`."""
    said = asked.get(field, default)
    if isinstance(said, bool) or not isinstance(said, int) or said < 0:
        raise BadCall(f"{field}: {said!r}; a whole number is expected")
    return said


def rows_of(asked: dict[str, Any], field: str) -> list[dict[str, Any]]:
    """A field that is a list of objects. Raises `BadCall`."""
    rows = asked.get(field) or []
    if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
        raise BadCall(f"{field}: a list of objects is expected")
    return rows


def value(row: dict[str, Any]) -> bytes:
    """A row's value, from base64. Raises `BadCall`."""
    try:
        return base64.b64decode(text(row, "value"), validate=True)
    except binascii.Error as error:
        raise BadCall(f"value: {error}") from None


def shown(document: Document) -> dict[str, Any]:
    """A document as JSON shows it."""
    return {
        "name": document.name, "value": base64.b64encode(document.value).decode(),
        "revision": document.revision, "created": document.created, "lease": document.lease,
    }  # fmt: skip


def told(event: Event) -> dict[str, Any]:
    """An event as JSON shows it."""
    held = base64.b64encode(event.value).decode() if event.value is not None else None
    return {"revision": event.revision, "name": event.name, "value": held}
