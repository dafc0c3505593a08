"""The store's client API, an extension of the management API.

A call is the line `store {"op": ...}`, and its reply is a line of JSON. Values of documents are base64.

A reply has `ok`. If that is false, `kind` (one of `ERROR_KINDS`) says what went wrong for scripts, and
`error` for people.
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

DEFAULT_TIMEOUT_MS = 5000.0  # for a call without `within_ms`
MAX_TIMEOUT_MS = 60_000.0
ERROR_KINDS = ("bad", "no-leader", "refused", "unknown", "differs", "compacted", "absent")
MAX_LINE_PAYLOAD_BYTES = 256 << 10  # of values in one line of a reply, before base64


class InvalidCallError(ValueError):
    """The call is not valid; the message names the field."""


class PeerStoreApi:
    """The client API of a new process during an upgrade, while its peer process is still the member."""

    max_line_bytes = 1 << 20

    def call(self, caller: ManagementConnection, arguments: bytes) -> None:
        """Reject the call and refer the caller to the peer process."""
        reply_error(caller, "no-leader", "the process beside this one is the member still: ask at its door")


class StoreApi:
    """The client API at a member of the store."""

    max_line_bytes = 1 << 20

    def __init__(self, host: StoreHost) -> None:
        """Serve the calls of clients at the member `host`."""
        self.host, self.loop = host, host.loop
        self.handlers: dict[str, Callable[[ManagementConnection, dict[str, Any]], None]] = {
            "status": self.status, "get": self.get, "range": self.range, "txn": self.transact,
            "watch": self.watch, "history": self.history, "grant": self.grant, "keep": self.keep,
            "revoke": self.revoke, "open": self.open, "close": self.close, "add": self.change_membership,
            "add-standby": self.change_membership, "promote": self.change_membership,
            "remove": self.change_membership, "transfer": self.change_membership, "snapshot": self.snapshot,
        }  # fmt: skip

    def call(self, caller: ManagementConnection, arguments: bytes) -> None:
        """Handle one call: a line of JSON without the first word. Each call gets a reply."""
        try:
            fields: Any = orjson.loads(arguments)
            if not isinstance(fields, dict):
                raise InvalidCallError("an object is needed")
            handler = self.handlers.get(fields.get("op", ""))
            if handler is None:
                raise InvalidCallError(f"op: {fields.get('op')!r}; there are {', '.join(self.handlers)}")
            caller.set_timeout(self.timeout_ms(fields) + 2000.0)
            self.host.counters.add(f"in.calls.store.{fields['op']}")
            handler(caller, fields)
        except (orjson.JSONDecodeError, InvalidCallError) as error:
            self.host.counters.add("in.calls_bad")
            reply_error(caller, "bad", str(error))

    def timeout_ms(self, fields: dict[str, Any]) -> float:
        """How long a call may take (its field `within_ms`). Raises `InvalidCallError`."""
        ms = fields.get("within_ms", DEFAULT_TIMEOUT_MS)
        if isinstance(ms, bool) or not isinstance(ms, int | float) or not 0 < ms <= MAX_TIMEOUT_MS:
            raise InvalidCallError(f"within_ms: {ms!r}; up to {MAX_TIMEOUT_MS:g} is expected")
        return float(ms)

    # -- reading

    def status(self, caller: ManagementConnection, fields: dict[str, Any]) -> None:
        """Reply with the status of this member."""
        reply_success(caller, **self.host.status())

    def read_consistently(
        self, caller: ManagementConnection, fields: dict[str, Any], reply: Callable[[], None]
    ) -> None:
        """Call `reply` once the state here includes all that was committed before; with `stale`, at once."""
        if fields.get("stale") is True:
            reply()
            return

        def done(error: Exception | None) -> None:
            if error is None:
                reply()
            else:
                reply_exception(caller, error)

        self.host.member.read(done, self.loop.clock.now(), self.timeout_ms(fields))

    def get(self, caller: ManagementConnection, fields: dict[str, Any]) -> None:
        """Reply with one document."""
        name = text_field(fields, "name")

        def reply() -> None:
            document = self.host.member.store.get(name)
            if document is None:
                reply_error(caller, "absent", f"there is no document {name!r}")
            else:
                reply_success(
                    caller, revision=self.host.member.store.revision, document=document_row(document)
                )

        self.read_consistently(caller, fields, reply)

    def range(self, caller: ManagementConnection, fields: dict[str, Any]) -> None:
        """Reply with documents by prefix, as many as fit one line; `more` tells whether others follow."""
        prefix, after, max_documents = (
            text_field(fields, "prefix", ""),
            text_field(fields, "after", ""),
            number_field(fields, "most", 100),
        )

        def reply() -> None:
            store = self.host.member.store
            documents, size = store.range(prefix, after, min(max_documents, 1000)), 0
            rows: list[dict[str, Any]] = []
            for document in documents:
                size += len(document.value)
                if rows and size > MAX_LINE_PAYLOAD_BYTES:
                    break
                rows.append(document_row(document))
            more = bool(rows) and len(store.range(prefix, rows[-1]["name"], 1)) > 0
            reply_success(caller, revision=store.revision, documents=rows, more=more)

        self.read_consistently(caller, fields, reply)

    def history(self, caller: ManagementConnection, fields: dict[str, Any]) -> None:
        """Reply with the latest changes of a document, as far as they are kept and fit one line."""
        name = text_field(fields, "name")

        def reply() -> None:
            store = self.host.member.store
            events = [e for e in store.events_since(store.oldest, name) if e.name == name]
            size = 0
            rows: list[dict[str, Any]] = []
            for event in reversed(events):
                size += len(event.value or b"")
                if rows and size > MAX_LINE_PAYLOAD_BYTES:
                    break
                rows.append(event_row(event))
            reply_success(caller, revision=store.revision, oldest=store.oldest, events=rows[::-1])

        self.read_consistently(caller, fields, reply)

    def watch(self, caller: ManagementConnection, fields: dict[str, Any]) -> None:
        """Write a line for each revision that changes matching documents, until the caller disconnects."""
        member = self.host.member
        prefix, after = text_field(fields, "prefix", ""), number_field(fields, "after", member.store.revision)
        watch: Watch | None = None
        generation = member.identity.generation
        if number_field(fields, "generation", generation) != generation:
            reply_error(caller, "compacted", f"the store has begun anew: its generation is {generation}")
            return

        def write_events(events: list[Event] | None) -> None:
            if events is None:
                reply_error(caller, "compacted", str(Compacted(member.store.oldest)))
                return
            for revision, rows in itertools.groupby(events, lambda e: e.revision):
                line = {"ok": True, "revision": revision, "events": [event_row(e) for e in rows]}
                caller.write_line(orjson.dumps(line).decode())

        def stop_watch() -> None:
            if watch is not None:
                member.unwatch(watch)

        caller.set_timeout(None)
        caller.on_disconnect = stop_watch
        header = {"ok": True, "watching": prefix, "revision": after, "generation": generation}
        caller.write_line(orjson.dumps(header).decode())
        try:
            watch = member.watch(prefix, after, write_events)
        except (Compacted, Refused) as error:
            reply_exception(caller, error)

    def snapshot(self, caller: ManagementConnection, fields: dict[str, Any]) -> None:
        """Write a header, the serialized state in lines of base64, and an empty line; see `store restore`."""

        def reply() -> None:
            image = self.host.member.store.image()
            header = {"ok": True, "bytes": len(image), "generation": self.host.member.identity.generation}
            caller.write_line(orjson.dumps(header).decode())
            for start in range(0, len(image), MAX_LINE_PAYLOAD_BYTES):
                caller.write_line(base64.b64encode(image[start : start + MAX_LINE_PAYLOAD_BYTES]).decode())
            caller.reply("")

        self.read_consistently(caller, fields, reply)

    # -- changing

    def submit(self, caller: ManagementConnection, fields: dict[str, Any], op: state.Operation) -> None:
        """Submit a command and reply with its answer once it is committed."""
        client = text_field(fields, "client", "")
        command_number = number_field(fields, "number", 0) if client else self.host.member.rng.getrandbits(53)

        def done(answer: Answer | Exception) -> None:
            if isinstance(answer, Exception):
                reply_exception(caller, answer)
            elif answer.error:
                reply_error(caller, "refused", answer.error)
            elif not answer.ok:
                reply_error(caller, "differs", "a document is not at the revision that was named")
            else:
                extra = {"lease": answer.lease} if answer.lease else {}
                reply_success(caller, revision=answer.revision, **extra)

        self.host.member.submit(
            client, command_number, op, done, self.loop.clock.now(), self.timeout_ms(fields)
        )

    def transact(self, caller: ManagementConnection, fields: dict[str, Any]) -> None:
        """Submit a transaction of puts and deletes, with the comparisons on which it depends."""
        ops: list[Put | Delete] = []
        for row in object_list_field(fields, "puts"):
            ops.append(Put(text_field(row, "name"), decode_value(row), number_field(row, "lease", 0)))
        ops += [Delete(text_field({"name": name}, "name")) for name in fields.get("deletes") or []]
        compares = [
            Compare(text_field(row, "name"), number_field(row, "revision"))
            for row in object_list_field(fields, "compares")
        ]
        self.submit(caller, fields, Transaction(ops, compares))

    def grant(self, caller: ManagementConnection, fields: dict[str, Any]) -> None:
        """Grant a lease of `ttl_ms`."""
        self.submit(caller, fields, Grant(float(number_field(fields, "ttl_ms"))))

    def keep(self, caller: ManagementConnection, fields: dict[str, Any]) -> None:
        """Renew a lease."""
        self.submit(caller, fields, Keep(number_field(fields, "lease")))

    def revoke(self, caller: ManagementConnection, fields: dict[str, Any]) -> None:
        """End a lease."""
        self.submit(caller, fields, Revoke(number_field(fields, "lease")))

    def open(self, caller: ManagementConnection, fields: dict[str, Any]) -> None:
        """Open the session of a client."""
        self.submit(caller, {**fields, "number": 0}, Open(text_field(fields, "client")))

    def close(self, caller: ManagementConnection, fields: dict[str, Any]) -> None:
        """Close the session of a client."""
        self.submit(caller, {**fields, "client": ""}, Close(text_field(fields, "client")))

    def change_membership(self, caller: ManagementConnection, fields: dict[str, Any]) -> None:
        """Add, promote or remove a member, or transfer the leadership; `op` says which."""
        name, address = text_field(fields, "name"), ""
        if fields["op"] in ("add", "add-standby"):
            address = text_field(fields, "address")
            if not NAME_PATTERN.fullmatch(name):
                raise InvalidCallError(f"name: {name!r}; up to 64 letters, digits and ._- are expected")
            try:
                parse_address(address, "address")
            except ValueError as error:
                raise InvalidCallError(str(error)) from None

        def done(error: Exception | None) -> None:
            if error is not None:
                reply_exception(caller, error)
            else:
                config = self.host.member.raft.log.config
                reply_success(
                    caller, voters=config.voters, learners=config.learners, standbys=config.standbys
                )

        now = self.loop.clock.now()
        self.host.member.change_membership(fields["op"], name, address, done, now, self.timeout_ms(fields))


# -- replies and fields in JSON


def reply_success(caller: ManagementConnection, **fields: Any) -> None:
    """Reply that the call succeeded, with these fields."""
    caller.reply(orjson.dumps({"ok": True, **fields}).decode())


def reply_error(caller: ManagementConnection, kind: str, error: str) -> None:
    """Reply that the call failed; `kind` is one of `ERROR_KINDS`."""
    assert kind in ERROR_KINDS
    caller.reply(orjson.dumps({"ok": False, "kind": kind, "error": error}).decode())


def reply_exception(caller: ManagementConnection, error: Exception) -> None:
    """Reply that the call failed with this exception."""
    if isinstance(error, NotLeader):
        reply_error(caller, "no-leader", f"{error}: nothing has been changed")
    elif isinstance(error, Compacted):
        reply_error(caller, "compacted", str(error))
    elif isinstance(error, OutcomeUnknown):
        reply_error(caller, "unknown", str(error))
    else:
        reply_error(caller, "refused", str(error))


def text_field(fields: dict[str, Any], field: str, default: str | None = None) -> str:
    """Return a field that must be text. Raises `InvalidCallError`."""
    value = fields.get(field, default)
    if not isinstance(value, str):
        raise InvalidCallError(f"{field}: {value!r}; text is expected")
    return value


def number_field(fields: dict[str, Any], field: str, default: int | None = None) -> int:
    """Return a field that must be a whole number, 0 or more. Raises `InvalidCallError`."""
    value = fields.get(field, default)
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise InvalidCallError(f"{field}: {value!r}; a whole number is expected")
    return value


def object_list_field(fields: dict[str, Any], field: str) -> list[dict[str, Any]]:
    """Return a field that must be a list of objects, empty if absent. Raises `InvalidCallError`."""
    rows = fields.get(field) or []
    if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
        raise InvalidCallError(f"{field}: a list of objects is expected")
    return rows


def decode_value(row: dict[str, Any]) -> bytes:
    """Decode the value of a row from base64. Raises `InvalidCallError`."""
    try:
        return base64.b64decode(text_field(row, "value"), validate=True)
    except binascii.Error as error:
        raise InvalidCallError(f"value: {error}") from None


def document_row(document: Document) -> dict[str, Any]:
    """A document as a JSON object."""
    return {
        "name": document.name, "value": base64.b64encode(document.value).decode(),
        "revision": document.revision, "created": document.created, "lease": document.lease,
    }  # fmt: skip


def event_row(event: Event) -> dict[str, Any]:
    """An event as a JSON object; `value` is null if the document was deleted."""
    encoded = base64.b64encode(event.value).decode() if event.value is not None else None
    return {"revision": event.revision, "name": event.name, "value": encoded}
