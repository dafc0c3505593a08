"""The thread that writes and syncs records in groups. Only this thread writes to the segments."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from eiderpin.durable import frames, reading
from eiderpin.durable.files import Files, write_all
from eiderpin.durable.frames import Record

SEGMENT_BYTES = 16 << 20  # after which the next segment begins


@dataclass(slots=True, frozen=True)
class Snapshot:
    """Records that replace all records enqueued before them; they are iterated once, as they are written."""

    records: Iterable[Record]


class Flusher(threading.Thread):
    """Commits the records that `enqueue` passes to it, and calls `on_commit` in this thread after each group.

    After a failure nothing more is written until `rewrite`, and what had not been synced counts as lost.
    """

    def __init__(
        self, files: Files, segment: int, previous_end: int, on_commit: Callable[[], None],
        segment_bytes: int = SEGMENT_BYTES,
    ) -> None:  # fmt: skip
        """Begin this segment; `previous_end`: the bytes of the previous one that count. Raises `OSError`."""
        super().__init__(name="eiderpin-flusher", daemon=True)
        self.files, self.on_commit, self.segment_bytes = files, on_commit, segment_bytes
        self.segment, self.offset, self.synced_offset = segment, 0, 0
        self.fd = -1
        self._begin_segment(segment, previous_end)
        # Shared with the loop's thread, under this condition's lock:
        self.condition = threading.Condition()
        self.queue: list[Record | Snapshot] = []
        self.pending_rewrite: Iterable[Record] | None = None
        self.stopping = False
        self.synced_count = 0  # records committed of those enqueued since the start or the last rewrite
        self.failure: OSError | None = None
        self.commits = self.records = self.bytes = 0
        self.largest = 0  # records in the largest commit
        self.checkpoints = 0

    # -- called in the loop's thread

    def enqueue(self, items: Sequence[Record | Snapshot]) -> None:
        """Pass records to be committed in order; a snapshot replaces all records before it."""
        with self.condition:
            self.queue += items
            self.condition.notify()

    def rewrite(self, records: Iterable[Record]) -> None:
        """After a failure: begin a new segment, with a checkpoint of `records` that replaces all before."""
        with self.condition:
            self.pending_rewrite = records
            self.queue.clear()
            self.condition.notify()

    def stop(self) -> None:
        """Commit what was enqueued, and end the thread."""
        with self.condition:
            self.stopping = True
            self.condition.notify()
        self.join()
        if self.fd >= 0:
            self.files.close(self.fd)
            self.fd = -1

    # -- in the flusher's thread

    def run(self) -> None:
        """Commit groups of records until `stop`."""
        while True:
            with self.condition:
                while not self._has_work():
                    self.condition.wait()
                group, self.queue = self.queue, []
                records, self.pending_rewrite = self.pending_rewrite, None
                stopping, has_failed = self.stopping, self.failure is not None
            try:
                if records is not None:
                    self._rewrite(records)
                elif not has_failed:
                    self._write_group(group)
            except OSError as error:
                with self.condition:
                    self.failure = error
            self.on_commit()
            if stopping:
                return

    def _has_work(self) -> bool:
        return bool(
            self.stopping or self.pending_rewrite is not None or (self.queue and self.failure is None)
        )

    def _write_group(self, group: Sequence[Record | Snapshot]) -> None:
        """Commit the records; a snapshot is written once those before it are on disk."""
        records: list[Record] = []
        for item in group:
            if isinstance(item, Record):
                records.append(item)
                continue
            self._commit(records)
            records = []
            self._checkpoint(item.records)
        self._commit(records)

    def _begin_segment(self, segment: int, previous_end: int) -> None:
        fd = self.files.create(reading.segment_name(segment))
        try:
            write_all(self.files, fd, frames.pack_header(segment, previous_end))
            self.files.sync(fd)
            self.files.sync_folder()
        except OSError:
            self.files.close(fd)
            raise
        if self.fd >= 0:
            self.files.close(self.fd)
        self.fd, self.segment = fd, segment
        self.offset = self.synced_offset = frames.HEADER_BYTES

    def _commit(self, group: Sequence[Record]) -> None:
        if not group:
            return
        if self.offset >= self.segment_bytes:
            self._begin_segment(self.segment + 1, self.synced_offset)
        data = b"".join(
            frames.pack_frame(record.kind, record.version, record.body, self.synced_offset)
            for record in group
        )
        write_all(self.files, self.fd, data)
        self.files.sync(self.fd)
        self.offset += len(data)
        self.bytes += len(data)
        self.synced_offset = self.offset
        with self.condition:
            self.synced_count += len(group)
            self.commits += 1
            self.records += len(group)
            self.largest = max(self.largest, len(group))

    def _checkpoint(self, records: Iterable[Record]) -> None:
        """Begin a segment and write the checkpoint before it, which replaces all earlier files."""
        self._begin_segment(self.segment + 1, self.synced_offset)
        self._write_checkpoint(records)

    def _rewrite(self, records: Iterable[Record]) -> None:
        # The failed segment counts only up to what was synced before the failure, whatever else the disk has.
        self._begin_segment(self.segment + 1, self.synced_offset)
        self._write_checkpoint(records)
        with self.condition:
            self.failure, self.synced_count = None, 0

    def _write_checkpoint(self, records: Iterable[Record]) -> None:
        """Write the checkpoint before the current segment, then remove the files that it replaces."""
        name = reading.checkpoint_name(self.segment)
        fd = self.files.create(name + ".tmp")
        try:
            write_all(self.files, fd, reading.pack_checkpoint(self.segment, records))
            self.files.sync(fd)
        finally:
            self.files.close(fd)
        self.files.rename(name + ".tmp", name)
        self.files.sync_folder()
        self.checkpoints += 1
        for file_name in self.files.names():
            match = reading.SEGMENT_NAME.fullmatch(file_name) or reading.CHECKPOINT_NAME.fullmatch(file_name)
            if file_name.endswith(".tmp") or (match is not None and int(match[1]) < self.segment):
                self.files.remove(file_name)
