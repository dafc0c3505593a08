"""The log of a directory as its owner uses it.

The owner appends records, learns when they are on disk, writes checkpoints and recovers from disk failures.
"""

from __future__ import annotations

import os
from collections import deque
from collections.abc import Callable, Iterable

from eiderpin.durable import reading
from eiderpin.durable.files import Files
from eiderpin.durable.flusher import SEGMENT_BYTES, Flusher, Snapshot
from eiderpin.durable.frames import Record
from eiderpin.durable.reading import LogSummary

LOCK_NAME = "LOCK"
CHECKPOINT_BYTES = 32 << 20  # of records appended since a checkpoint, after which the next one is due

WrittenCallback = Callable[[bool], None]  # takes whether the record is on disk


class LogNotWritableError(Exception):
    """The disk has failed, and the log accepts no records until it has recovered."""


class Log:
    """One owner's log.

    All methods run in the loop's thread; the flusher writes in its own. `fileno` becomes readable when
    `settle` has callbacks to run.
    """

    def __init__(
        self, files: Files, apply: Callable[[Record], None], segment_bytes: int = SEGMENT_BYTES,
        checkpoint_bytes: int = CHECKPOINT_BYTES,
    ) -> None:  # fmt: skip
        """Lock the directory, pass all stored records to `apply` and begin a new segment.

        Raises `DirectoryLockedError` if another process owns the directory, `FormatError` and
        `LogDamagedError` as `reading.read` does, and `OSError`.
        """
        self.files, self.checkpoint_bytes = files, checkpoint_bytes
        files.make_folder()
        self._lock_fd = files.lock(LOCK_NAME)
        self._event_fd = -1
        try:
            self.summary: LogSummary = reading.read(files, apply)
            self._event_fd = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
            self.flusher = Flusher(
                files, self.summary.last_segment + 1, self.summary.last_segment_end, self._wake_loop,
                segment_bytes,
            )  # fmt: skip
        except BaseException:
            self.files.close(self._lock_fd)
            if self._event_fd >= 0:
                os.close(self._event_fd)
            raise
        self.failed: OSError | None = None
        self.appended_count = 0  # since the start or the last rewrite
        self._bytes_since_checkpoint = self.summary.read_bytes
        self._batch: list[Record | Snapshot] = []
        self._callbacks: deque[tuple[int, WrittenCallback]] = deque()
        self.flusher.start()

    def fileno(self) -> int:
        """Return the descriptor to be watched for `settle`."""
        return self._event_fd

    def _wake_loop(self) -> None:
        os.eventfd_write(self._event_fd, 1)

    def append(self, kind: int, version: int, body: bytes, on_written: WrittenCallback | None = None) -> None:
        """Append a record, which the next `push` passes on; a later `settle` calls `on_written`.

        Raises `LogNotWritableError`.
        """
        if self.failed is not None:
            raise LogNotWritableError(str(self.failed))
        self.appended_count += 1
        self._bytes_since_checkpoint += len(body)
        if on_written is not None:
            self._callbacks.append((self.appended_count, on_written))
        self._batch.append(Record(kind, version, body))

    def push(self) -> None:
        """Pass the appended records to the flusher; called once per turn of the loop.

        Waking the flusher for each record would make the two threads contend for the interpreter.
        """
        if self._batch:
            batch, self._batch = self._batch, []
            self.flusher.enqueue(batch)

    @property
    def needs_checkpoint(self) -> bool:
        """Whether a checkpoint is due."""
        return self.failed is None and self._bytes_since_checkpoint >= self.checkpoint_bytes

    def checkpoint(self, records: Iterable[Record]) -> None:
        """Replace all records appended so far by `records`, which give the same state.

        They may be generated lazily: the flusher's thread iterates them, once.
        """
        self._bytes_since_checkpoint = 0
        self._batch.append(Snapshot(records))

    def settle(self) -> None:
        """Run the callbacks of records that are on disk, and of all that were lost if the disk has failed."""
        try:
            os.eventfd_read(self._event_fd)
        except BlockingIOError:
            return
        with self.flusher.condition:
            synced_count, failure = self.flusher.synced_count, self.flusher.failure
        if self.failed is not None:
            return  # `finish_rewrite` reads the flusher's state then
        while self._callbacks and self._callbacks[0][0] <= synced_count:
            self._callbacks.popleft()[1](True)
        if failure is not None:
            self.failed = failure
            self._batch.clear()
            lost, self._callbacks = self._callbacks, deque()
            for _, on_written in lost:
                on_written(False)

    def start_rewrite(self, records: Iterable[Record]) -> None:
        """After a failure: write `records`, which give the whole current state, as a new checkpoint."""
        self.flusher.rewrite(records)

    def finish_rewrite(self) -> bool:
        """Return whether the last rewrite has succeeded; if so, the log accepts records again."""
        with self.flusher.condition:
            if (
                self.failed is None
                or self.flusher.failure is not None
                or self.flusher.pending_rewrite is not None
            ):
                return False
        self.failed, self.appended_count, self._bytes_since_checkpoint = None, 0, 0
        return True

    def close(self) -> None:
        """Commit what was appended, run the callbacks and unlock the directory."""
        self.push()
        self.flusher.stop()
        self.settle()
        os.close(self._event_fd)
        self.files.close(self._lock_fd)
