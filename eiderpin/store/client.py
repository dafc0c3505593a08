"""A blocking client of the store for commands and scripts. It connects to the members' management API."""

from __future__ import annotations

import base64
import secrets
import socket
import time
from collections.abc import Iterator
from typing import Any

import orjson

RETRY_INTERVAL_SECONDS = 0.1
ATTEMPT_TIMEOUT_SECONDS = 3.0  # for the first attempt at each member


class StoreRequestError(Exception):
    """A request failed. `kind` is one of `door.ERROR_KINDS`, or `unreachable`."""

    def __init__(self, kind: str, error: str) -> None:
        """`kind` is for programs, `error` for people."""
        super().__init__(error)
        self.kind = kind


class StoreClient:
    """A client that tries the next member if one does not answer.

    Args:
        addresses: HOST:PORT of the management API of any members.
        timeout: How many seconds one request may take, retries included.
    """

    def __init__(self, addresses: list[str], timeout: float = 10.0) -> None:
        """Start without a session; nothing is sent yet."""
        self.addresses, self.timeout = list(addresses), timeout
        self.client, self.number = "", 0
        self.generation = 0  # of the store at the last watch or snapshot; 0: none yet

    def ask(self, op: str, attempt_timeout: float | None = None, **fields: Any) -> dict[str, Any]:
        """Send a request that is safe to repeat, and return the reply.

        It is retried at the next member while there is no leader, no result or no connection.

        Args:
            op: The call, one of `door.StoreApi.handlers`.
            attempt_timeout: How many seconds the first attempt at each member may take; the limit doubles
                once all members have been tried.
            fields: The other fields of the request.

        Raises:
            StoreRequestError: The store rejected the request, or there was no result in time.
        """
        deadline = time.monotonic() + self.timeout
        first_limit = ATTEMPT_TIMEOUT_SECONDS if attempt_timeout is None else attempt_timeout
        attempts = 0
        while True:
            rounds, attempts = attempts // len(self.addresses), attempts + 1
            seconds = min(deadline - time.monotonic(), first_limit * 2.0**rounds)
            try:
                return self._call_once(self.addresses[0], {"op": op, **fields}, max(0.2, seconds))
            except StoreRequestError as error:
                if error.kind not in ("no-leader", "unknown", "unreachable") or time.monotonic() > deadline:
                    raise
                self.addresses.append(self.addresses.pop(0))
                time.sleep(RETRY_INTERVAL_SECONDS)

    def change(self, op: str, **fields: Any) -> dict[str, Any]:
        """Send a change that is applied once, however often it is retried, and return the reply.

        Raises:
            StoreRequestError: It failed; with `unknown`, it may or may not have been applied.
        """
        if not self.client:
            self.client = secrets.token_hex(12)
            self.ask("open", client=self.client)
        self.number += 1
        return self.ask(op, client=self.client, number=self.number, **fields)

    def put(self, name: str, value: bytes, revision: int | None = None, lease: int = 0) -> dict[str, Any]:
        """Set a document and return the reply.

        Args:
            name: Name of the document.
            value: Its new value.
            revision: Only change it if it is at this revision; 0: only if it does not exist.
            lease: The lease with which it is deleted; 0: none.

        Raises:
            StoreRequestError: As in `change`.
        """
        compares = [] if revision is None else [{"name": name, "revision": revision}]
        row = {"name": name, "value": base64.b64encode(value).decode(), "lease": lease}
        return self.change("txn", puts=[row], compares=compares)

    def get(self, name: str, stale: bool = False) -> tuple[bytes, dict[str, Any]]:
        """Return a document's value and the document as JSON.

        Args:
            name: Name of the document.
            stale: Accept the state of the member that answers, which may be out of date.

        Raises:
            StoreRequestError: As in `ask`; `absent`: there is no such document.
        """
        document = self.ask("get", name=name, stale=stale)["document"]
        return base64.b64decode(document["value"]), document

    def watch(self, prefix: str, after: int | None = None) -> Iterator[dict[str, Any]]:
        """Yield each event after revision `after` once, from whichever member answers. It does not end.

        Args:
            prefix: Prefix of the names of the documents.
            after: The last revision that is known; None: events from now on.

        Raises:
            StoreRequestError: `compacted`: the events are no longer kept, or the store was restored and its
                revisions went back. Read the documents again.
        """
        last = after
        while True:
            request: dict[str, Any] = {"op": "watch", "prefix": prefix}
            if last is not None:
                request["after"] = last
            if self.generation:
                request["generation"] = self.generation
            try:
                for reply in self._stream_replies(self.addresses[0], request):
                    if not reply["ok"]:
                        raise StoreRequestError(reply["kind"], reply["error"])
                    self.generation = reply.get("generation", self.generation)
                    # All events of a revision are in one line, so a lost connection cannot separate them.
                    yield from reply.get("events", ())
                    last = reply["revision"]
            except StoreRequestError as error:
                if error.kind == "compacted":
                    raise
            except OSError:
                pass
            self.addresses.append(self.addresses.pop(0))
            time.sleep(RETRY_INTERVAL_SECONDS)

    def close(self) -> None:
        """Close the session of this client, if it has one. Raises `StoreRequestError`."""
        if self.client:
            self.ask("close", client=self.client)
            self.client = ""

    def snapshot(self) -> bytes:
        """Return the serialized state of the store (`state.Store.image`). Raises `StoreRequestError`."""
        for _ in range(2 * len(self.addresses)):
            try:
                connection = self._open_request(self.addresses[0], {"op": "snapshot"}, self.timeout)
                with connection, connection.makefile("rb") as file:
                    header = orjson.loads(file.readline() or b"{}")
                    if not header.get("ok"):
                        raise StoreRequestError(
                            header.get("kind", "unreachable"),
                            header.get("error", "the connection was closed"),
                        )
                    image = b"".join(base64.b64decode(line) for line in file)
                if len(image) == header["bytes"]:
                    self.generation = header.get("generation", 1)
                    return image
            except OSError:
                pass
            self.addresses.append(self.addresses.pop(0))
        raise StoreRequestError("unreachable", f"no complete snapshot from {', '.join(self.addresses)}")

    def _open_request(self, address: str, fields: dict[str, Any], timeout: float | None) -> socket.socket:
        host, _, port = address.rpartition(":")
        connection = socket.create_connection((host, int(port)), 2.0)
        connection.settimeout(timeout)
        connection.sendall(b"store " + orjson.dumps(fields) + b"\n")
        return connection

    def _call_once(self, address: str, fields: dict[str, Any], timeout: float) -> dict[str, Any]:
        fields = {**fields, "within_ms": min(60_000.0, timeout * 1000)}
        try:
            with (
                self._open_request(address, fields, timeout + 1.0) as connection,
                connection.makefile("rb") as file,
            ):
                line = file.readline()
        except OSError as error:
            raise StoreRequestError("unreachable", f"{address}: {error}") from None
        if line.startswith(b"fail"):
            raise StoreRequestError(
                "bad", f"{address}: {line.decode().strip()} (is the store enabled there?)"
            )
        if not line.endswith(b"\n"):
            raise StoreRequestError("unreachable", f"{address}: the connection was closed without an answer")
        reply: dict[str, Any] = orjson.loads(line)
        if not reply["ok"]:
            raise StoreRequestError(reply["kind"], reply["error"])
        return reply

    def _stream_replies(self, address: str, fields: dict[str, Any]) -> Iterator[dict[str, Any]]:
        with self._open_request(address, fields, None) as connection, connection.makefile("rb") as file:
            for line in file:
                if not line.endswith(b"\n"):
                    return
                yield orjson.loads(line)
