"""A disk in memory for the log's seam: what is not synced is lost in a crash, in whole or in part; faults
on request."""

from __future__ import annotations

import errno
import random
import threading
from dataclasses import dataclass, field

from eiderpin.durable.files import DirectoryLockedError, Files


@dataclass
class Node:
    data: bytearray = field(default_factory=bytearray)
    synced: bytes = b""


class Disk(Files):
    """`break_at`: the number of the call from which on every call fails. `room`: bytes that may still be
    written."""

    def __init__(self) -> None:
        super().__init__("/disk")
        self.names_now: dict[str, Node] = {}
        self.names_synced: dict[str, Node] = {}
        self.open: dict[int, Node] = {}
        self.calls = 0
        self.break_at: int | None = None
        self.room: int | None = None
        self.sync_fails = False
        self.locked = False
        self.syncs = 0
        self.gate = threading.Event()  # syncs wait for it
        self.gate.set()

    def call(self) -> None:
        self.calls += 1
        if self.break_at is not None and self.calls >= self.break_at:
            raise OSError(errno.EIO, "the disk has gone")

    def make_folder(self) -> None:
        pass

    def names(self) -> list[str]:
        return sorted(self.names_now)

    def read(self, name: str) -> bytes:
        if name not in self.names_now:
            raise FileNotFoundError(name)
        return bytes(self.names_now[name].data)

    def create(self, name: str) -> int:
        self.call()
        node = Node()
        self.names_now[name] = node
        fd = 100 + self.calls
        self.open[fd] = node
        return fd

    def write(self, fd: int, data: bytes) -> int:
        self.call()
        part = data[: max(1, len(data) * 2 // 3)]  # as a disk may
        if self.room is not None:
            if self.room <= 0:
                raise OSError(errno.ENOSPC, "no space left")
            part = part[: self.room]
            self.room -= len(part)
        self.open[fd].data += part
        return len(part)

    def sync(self, fd: int) -> None:
        self.call()
        self.gate.wait(20)
        if self.sync_fails:
            raise OSError(errno.EIO, "sync failed")
        self.syncs += 1
        self.open[fd].synced = bytes(self.open[fd].data)

    def close(self, fd: int) -> None:
        self.open.pop(fd, None)

    def rename(self, old: str, new: str) -> None:
        self.call()
        self.names_now[new] = self.names_now.pop(old)

    def remove(self, name: str) -> None:
        self.call()
        self.names_now.pop(name, None)

    def sync_folder(self) -> None:
        self.call()
        self.names_synced = dict(self.names_now)

    def lock(self, name: str) -> int:
        if self.locked:
            raise DirectoryLockedError("/disk: another process owns it")
        return -1

    def crash(self, rng: random.Random) -> Disk:
        """The disk as it is after a power cut: names as synced or later, of unsynced bytes a part, torn."""
        after = Disk()
        names = rng.choice([self.names_synced, self.names_now])
        for name, node in names.items():
            data = bytearray(node.synced)
            tail = bytes(node.data[len(node.synced) :])
            kept = bytearray(tail[: rng.randint(0, len(tail))])
            if kept and rng.random() < 0.5:
                kept[rng.randrange(len(kept))] ^= 1 << rng.randrange(8)
            after.names_now[name] = Node(data + kept, bytes(data + kept))
        after.names_synced = dict(after.names_now)
        return after
