"""A client of the store, through the operators' doors of its members: for commands and scripts. It blocks."""

from __future__ import annotations

import base64
import secrets
import socket
import time
from collections.abc import Iterator
from typing import Any

import orjson

AGAIN = 0.1  # s between tries ...
ATTEMPT = 3.0  # ... of which one takes so long at most


class StoreRequestError(Exception):
    """The store says no; `kind` is one of `door.KINDS`, or `unreachable`."""

    def __init__(self, kind: str, error: str) -> None:
        """`kind` for programs, `error` for people."""
        super().__init__(error)
        self.kind = kind


class StoreClient:
    """`doors`: HOST:PORT of any members; the next one is asked where one does not answer. `within`: s that
    one question may take in all."""

    def __init__(self, doors: list[str], within: float = 10.0) -> None:
        """Nothing is sent yet."""
        self.addresses, self.within = list(doors), within
        self.client, self.number = "", 0
        self.generation = 0  # of the store that the last watch or snapshot was of; 0: none yet

    def ask(self, op: str, attempt: float = ATTEMPT, **said: Any) -> dict[str, Any]:
        """One question that may be asked twice without harm. Raises `StoreRequestError`."""
        end = time.monotonic() + self.within
        while True:
            left = end - time.monotonic()
            try:
                return self._call_once(self.addresses[0], {"op": op, **said}, max(0.2, min(left, attempt)))
            except StoreRequestError as error:
                if error.kind not in ("no-leader", "unknown", "unreachable") or time.monotonic() > end:
                    raise
                self.addresses.append(self.addresses.pop(0))
                time.sleep(AGAIN)

    def change(self, op: str, **said: Any) -> dict[str, Any]:
        """One change, carried out once however often it had to be asked for. Raises `StoreRequestError`;
        `unknown`: nobody has said whether it was carried out."""
        if not self.client:
            self.client = secrets.token_hex(12)
            self.ask("open", client=self.client)
        self.number += 1
        return self.ask(op, client=self.client, number=self.number, **said)

    def put(self, name: str, value: bytes, revision: int | None = None, lease: int = 0) -> dict[str, Any]:
        """`revision`: only if the document is at this one; 0: only if there is none."""
        compares = [] if revision is None else [{"name": name, "revision": revision}]
        row = {"name": name, "value": base64.b64encode(value).decode(), "lease": lease}
        return self.change("txn", puts=[row], compares=compares)

    def get(self, name: str, stale: bool = False) -> tuple[bytes, dict[str, Any]]:
        """A document's value, and its other fields. Raises `StoreRequestError` (`absent`)."""
        said = self.ask("get", name=name, stale=stale)["document"]
        return base64.b64decode(said["value"]), said

    def watch(self, prefix: str, after: int | None = None) -> Iterator[dict[str, Any]]:
        """Events from after revision `after` on (None: from now on), each once, at whichever member answers.
        Raises `StoreRequestError` (`compacted`: begin anew; also where the store was restored and its
        revisions went back)."""
        last = after
        while True:
            asked: dict[str, Any] = {"op": "watch", "prefix": prefix}
            if last is not None:
                asked["after"] = last
            if self.generation:
                asked["generation"] = self.generation
            try:
                for said in self._lines(self.addresses[0], asked):
                    if not said["ok"]:
                        raise StoreRequestError(said["kind"], said["error"])
                    self.generation = said.get("generation", self.generation)
                    # A revision's events come in one line, so none of them can be cut off from the others.
                    yield from said.get("events", ())
                    last = said["revision"]
            except StoreRequestError as error:
                if error.kind == "compacted":
                    raise
            except OSError:
                pass
            self.addresses.append(self.addresses.pop(0))
            time.sleep(AGAIN)

    def close(self) -> None:
        """Let the store forget this client."""
        if self.client:
            self.ask("close", client=self.client)
            self.client = ""

    def snapshot(self) -> bytes:
        """The whole image. Raises `StoreRequestError`."""
        for _ in range(2 * len(self.addresses)):
            try:
                sock = self._send(self.addresses[0], {"op": "snapshot"}, self.within)
                with sock, sock.makefile("rb") as file:
                    head = orjson.loads(file.readline() or b"{}")
                    if not head.get("ok"):
                        raise StoreRequestError(
                            head.get("kind", "unreachable"), head.get("error", "it closed")
                        )
                    image = b"".join(base64.b64decode(line) for line in file)
                if len(image) == head["bytes"]:
                    self.generation = head.get("generation", 1)
                    return image
            except OSError:
                pass
            self.addresses.append(self.addresses.pop(0))
        raise StoreRequestError("unreachable", f"no whole snapshot from {', '.join(self.addresses)}")

    def _send(self, door: str, said: dict[str, Any], timeout: float | None) -> socket.socket:
        host, _, port = door.rpartition(":")
        sock = socket.create_connection((host, int(port)), 2.0)
        sock.settimeout(timeout)
        sock.sendall(b"store " + orjson.dumps(said) + b"\n")
        return sock

    def _call_once(self, door: str, said: dict[str, Any], timeout: float) -> dict[str, Any]:
        said = {**said, "within_ms": min(60_000.0, timeout * 1000)}
        try:
            with self._send(door, said, timeout + 1.0) as sock, sock.makefile("rb") as file:
                line = file.readline()
        except OSError as error:
            raise StoreRequestError("unreachable", f"{door}: {error}") from None
        if line.startswith(b"fail"):
            raise StoreRequestError("bad", f"{door}: {line.decode().strip()} (is the store on there?)")
        if not line.endswith(b"\n"):
            raise StoreRequestError("unreachable", f"{door}: it closed without an answer")
        got: dict[str, Any] = orjson.loads(line)
        if not got["ok"]:
            raise StoreRequestError(got["kind"], got["error"])
        return got

    def _lines(self, door: str, said: dict[str, Any]) -> Iterator[dict[str, Any]]:
        with self._send(door, said, None) as sock, sock.makefile("rb") as file:
            for line in file:
                if not line.endswith(b"\n"):
                    return
                yield orjson.loads(line)
