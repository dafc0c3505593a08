"""The thread that writes and syncs, a group of records at a time. It alone touches the segments."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from eiderpin.durable import frames, reading
from eiderpin.durable.files import Files, write_all
from eiderpin.durable.frames import Record

SEGMENT_BYTES = 16 << 20


@dataclass(slots=True, frozen=True)
class Snapshot:
    """Records that say all that the records put before them said; made as they are written, once."""

    records: Iterable[Record]


class Flusher(threading.Thread):
    """Commits what `put` hands over and then calls `done` (in this thread), which is to wake whoever waits.

    After a failure nothing more is written, and what was not yet synced is not trusted, until `renew`.
    """

    def __init__(
        self, files: Files, number: int, before: int, done: Callable[[], None],
        segment_bytes: int = SEGMENT_BYTES,
    ) -> None:  # fmt: skip
        """Begins segment `number`; `before` is what counts of the one before. Raises `OSError`."""
        super().__init__(name="eiderpin-flusher", daemon=True)
        self.files, self.done, self.segment_bytes = files, done, segment_bytes
        self.number, self.offset, self.synced_offset = number, 0, 0
        self.fd = -1
        self._begin(number, before)
        # Shared with the loop's thread, under the lock:
        self.changed = threading.Condition()
        self.queue: list[Record | Snapshot] = []
        self.renewal: Iterable[Record] | None = None
        self.ending = False
        self.synced = 0  # records committed, of all that were put since the last failure
        self.failed: OSError | None = None
        self.commits = self.records = self.bytes = 0
        self.largest = 0  # records in one commit
        self.checkpoints = 0

    # -- from the loop's thread

    def put(self, items: Sequence[Record | Snapshot]) -> None:
        """Records to commit, in order. A snapshot replaces all before it, and says the same."""
        with self.changed:
            self.queue += items
            self.changed.notify()

    def renew(self, records: Iterable[Record]) -> None:
        """After a failure: begin a new segment with `records`, which say all that holds."""
        with self.changed:
            self.renewal = records
            self.queue.clear()
            self.changed.notify()

    def end(self) -> None:
        """Commit what was put, and end the thread."""
        with self.changed:
            self.ending = True
            self.changed.notify()
        self.join()
        if self.fd >= 0:
            self.files.close(self.fd)
            self.fd = -1

    # -- in its own thread

    def run(self) -> None:
        while True:
            with self.changed:
                while not self._has_work():
                    self.changed.wait()
                group, self.queue = self.queue, []
                renewal, self.renewal = self.renewal, None
                ending, broken = self.ending, self.failed is not None
            try:
                if renewal is not None:
                    self._renew(renewal)
                elif not broken:
                    self._take(group)
            except OSError as error:
                with self.changed:
                    self.failed = error
            self.done()
            if ending:
                return

    def _has_work(self) -> bool:
        return bool(self.ending or self.renewal is not None or (self.queue and self.failed is None))

    def _take(self, group: Sequence[Record | Snapshot]) -> None:
        """Commit the records, and what a snapshot replaces once those before it are on disk."""
        records: list[Record] = []
        for item in group:
            if isinstance(item, Record):
                records.append(item)
                continue
            self._commit(records)
            records = []
            self._checkpoint(item.records)
        self._commit(records)

    def _begin(self, number: int, before: int) -> None:
        fd = self.files.create(reading.segment_name(number))
        try:
            write_all(self.files, fd, frames.header(number, before))
            self.files.sync(fd)
            self.files.sync_folder()
        except OSError:
            self.files.close(fd)
            raise
        if self.fd >= 0:
            self.files.close(self.fd)
        self.fd, self.number = fd, number
        self.offset = self.synced_offset = frames.HEADER_SIZE

    def _commit(self, group: Sequence[Record]) -> None:
        if not group:
            return
        if self.offset >= self.segment_bytes:
            self._begin(self.number + 1, self.synced_offset)
        data = b"".join(frames.frame(r.kind, r.version, r.body, self.synced_offset) for r in group)
        write_all(self.files, self.fd, data)
        self.files.sync(self.fd)
        self.offset += len(data)
        self.bytes += len(data)
        self.synced_offset = self.offset
        with self.changed:
            self.synced += len(group)
            self.commits += 1
            self.records += len(group)
            self.largest = max(self.largest, len(group))

    def _checkpoint(self, records: Iterable[Record]) -> None:
        """The state as it stood before the segment that is begun here; then what it replaces goes."""
        self._begin(self.number + 1, self.synced_offset)
        self._write_checkpoint(records)

    def _renew(self, records: Iterable[Record]) -> None:
        # The failed segment counts up to what was synced before the failure, whatever the disk has of the
        # rest.
        self._begin(self.number + 1, self.synced_offset)
        self._write_checkpoint(records)
        with self.changed:
            self.failed, self.synced = None, 0

    def _write_checkpoint(self, records: Iterable[Record]) -> None:
        name = reading.checkpoint_name(self.number)
        fd = self.files.create(name + ".tmp")
        try:
            write_all(self.files, fd, reading.pack_checkpoint(self.number, records))
            self.files.sync(fd)
        finally:
            self.files.close(fd)
        self.files.rename(name + ".tmp", name)
        self.files.sync_folder()
        self.checkpoints += 1
        for old in self.files.names():
            found = reading.SEGMENT.fullmatch(old) or reading.CHECKPOINT.fullmatch(old)
            if old.endswith(".tmp") or (found is not None and int(found[1]) < self.number):
                self.files.remove(old)
