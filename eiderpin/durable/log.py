"""A directory's log as its owner uses it: append, be told when it is on disk, checkpoint, come back from
faults."""

from __future__ import annotations

import os
from collections import deque
from collections.abc import Callable, Iterable

from eiderpin.durable import reading
from eiderpin.durable.files import Files
from eiderpin.durable.flusher import SEGMENT_BYTES, Flusher, Snapshot
from eiderpin.durable.frames import Record
from eiderpin.durable.reading import LogSummary

LOCK = "LOCK"
CHECKPOINT_BYTES = 32 << 20  # records appended since the last checkpoint after which the next is due

Told = Callable[[bool], None]  # whether it is on disk


class LogNotWritableError(Exception):
    """The disk has failed: nothing is taken until it has come back."""


class Log:
    """One owner's log. All but the flusher's work is done in the loop's thread; `fileno` becomes readable
    when `settle` has something to tell.

    Raises `DirectoryLockedError` where another process owns the directory, `FormatError` and
    `LogDamagedError` as `reading.read` does, and `OSError`.
    """

    def __init__(
        self, files: Files, apply: Callable[[Record], None], segment_bytes: int = SEGMENT_BYTES,
        checkpoint_bytes: int = CHECKPOINT_BYTES,
    ) -> None:  # fmt: skip
        self.files, self.checkpoint_bytes = files, checkpoint_bytes
        files.make_folder()
        self._lock = files.lock(LOCK)
        self._event = -1
        try:
            self.found: LogSummary = reading.read(files, apply)
            self._event = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
            self.flusher = Flusher(files, self.found.segment + 1, self.found.end, self._wake, segment_bytes)
        except BaseException:
            self.files.close(self._lock)
            if self._event >= 0:
                os.close(self._event)
            raise
        self.failed: OSError | None = None
        self.appended = 0  # since the last failure
        self._bytes = self.found.bytes
        self._batch: list[Record | Snapshot] = []
        self._waiting: deque[tuple[int, Told]] = deque()
        self.flusher.start()

    def fileno(self) -> int:
        return self._event

    def _wake(self) -> None:
        os.eventfd_write(self._event, 1)

    def append(self, kind: int, version: int, body: bytes, told: Told | None = None) -> None:
        """Take a record, to be written by the next `push`; `told` is called by a later `settle`. Raises
        `LogNotWritableError`."""
        if self.failed is not None:
            raise LogNotWritableError(str(self.failed))
        self.appended += 1
        self._bytes += len(body)
        if told is not None:
            self._waiting.append((self.appended, told))
        self._batch.append(Record(kind, version, body))

    def push(self) -> None:
        """Hand over what has been appended. Once a turn of the loop: to wake the flusher for each record
        would have the two threads fight for the interpreter."""
        if self._batch:
            batch, self._batch = self._batch, []
            self.flusher.put(batch)

    @property
    def needs_checkpoint(self) -> bool:
        return self.failed is None and self._bytes >= self.checkpoint_bytes

    def checkpoint(self, records: Iterable[Record]) -> None:
        """`records` say all that holds, with what has been appended so far. They may be made as they are
        asked for, which the flusher's thread does, once."""
        self._bytes = 0
        self._batch.append(Snapshot(records))

    def settle(self) -> None:
        """Tell those whose records are on disk, or whose records are lost since the disk has failed."""
        try:
            os.eventfd_read(self._event)
        except BlockingIOError:
            return
        with self.flusher.changed:
            synced, failed = self.flusher.synced, self.flusher.failed
        if self.failed is not None:
            return  # `start_rewrite` asks for the rest
        while self._waiting and self._waiting[0][0] <= synced:
            self._waiting.popleft()[1](True)
        if failed is not None:
            self.failed = failed
            self._batch.clear()
            lost, self._waiting = self._waiting, deque()
            for _, told in lost:
                told(False)

    def start_rewrite(self, records: Iterable[Record]) -> None:
        """After a failure, write all that holds anew. `finish_rewrite` says later whether that went well."""
        self.flusher.renew(records)

    def finish_rewrite(self) -> bool:
        """Whether the disk takes records again, after `start_rewrite`."""
        with self.flusher.changed:
            if self.failed is None or self.flusher.failed is not None or self.flusher.renewal is not None:
                return False
        self.failed, self.appended, self._bytes = None, 0, 0
        return True

    def close(self) -> None:
        """Commit what was appended and give the directory up."""
        self.push()
        self.flusher.end()
        self.settle()
        os.close(self._event)
        self.files.close(self._lock)
