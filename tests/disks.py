"""A simulated disk in memory for the tests of the log.

In a crash, data and names that were not synced are lost in whole or in part. Faults can be switched on.
"""

from __future__ import annotations

import errno
import random
import threading
from dataclasses import dataclass, field

from eiderpin.durable.files import DirectoryLockedError, Files


@dataclass
class SimulatedFile:
    """A file's current data, and the part of it that was synced."""

    data: bytearray = field(default_factory=bytearray)
    synced: bytes = b""


class SimulatedDisk(Files):
    """`fail_from_call`: the number of the first call that fails; all later ones fail, too.

    `free_bytes`: how much may still be written; None for no limit. `sync_fails`: each sync fails.
    """

    def __init__(self) -> None:
        super().__init__("/disk")
        self.current_files: dict[str, SimulatedFile] = {}
        self.synced_files: dict[str, SimulatedFile] = {}  # by the names that a crash leaves for certain
        self.open_files: dict[int, SimulatedFile] = {}
        self.calls = 0
        self.fail_from_call: int | None = None
        self.free_bytes: int | None = None
        self.sync_fails = False
        self.locked = False
        self.syncs = 0
        self.sync_allowed = threading.Event()  # syncs wait for it
        self.sync_allowed.set()

    def count_call(self) -> None:
        """Count a call, and raise `OSError` from the `fail_from_call`th on."""
        self.calls += 1
        if self.fail_from_call is not None and self.calls >= self.fail_from_call:
            raise OSError(errno.EIO, "the disk has gone")

    def make_folder(self) -> None:
        pass

    def names(self) -> list[str]:
        return sorted(self.current_files)

    def read(self, name: str) -> bytes:
        if name not in self.current_files:
            raise FileNotFoundError(name)
        return bytes(self.current_files[name].data)

    def create(self, name: str) -> int:
        self.count_call()
        file = SimulatedFile()
        self.current_files[name] = file
        fd = 100 + self.calls
        self.open_files[fd] = file
        return fd

    def write(self, fd: int, data: bytes) -> int:
        self.count_call()
        part = data[: max(1, len(data) * 2 // 3)]  # a write may take only a part of the data
        if self.free_bytes is not None:
            if self.free_bytes <= 0:
                raise OSError(errno.ENOSPC, "no space left")
            part = part[: self.free_bytes]
            self.free_bytes -= len(part)
        self.open_files[fd].data += part
        return len(part)

    def sync(self, fd: int) -> None:
        self.count_call()
        self.sync_allowed.wait(20)
        if self.sync_fails:
            raise OSError(errno.EIO, "sync failed")
        self.syncs += 1
        self.open_files[fd].synced = bytes(self.open_files[fd].data)

    def close(self, fd: int) -> None:
        self.open_files.pop(fd, None)

    def rename(self, old: str, new: str) -> None:
        self.count_call()
        self.current_files[new] = self.current_files.pop(old)

    def remove(self, name: str) -> None:
        self.count_call()
        self.current_files.pop(name, None)

    def sync_folder(self) -> None:
        self.count_call()
        self.synced_files = dict(self.current_files)

    def lock(self, name: str) -> int:
        if self.locked:
            raise DirectoryLockedError("/disk: another process owns it")
        return -1

    def crash(self, rng: random.Random) -> SimulatedDisk:
        """Return the disk after a power cut.

        It has the synced names or the current ones, and of unsynced bytes a part, which may be corrupt.
        """
        after = SimulatedDisk()
        files = rng.choice([self.synced_files, self.current_files])
        for name, file in files.items():
            data = bytearray(file.synced)
            tail = bytes(file.data[len(file.synced) :])
            kept = bytearray(tail[: rng.randint(0, len(tail))])
            if kept and rng.random() < 0.5:
                kept[rng.randrange(len(kept))] ^= 1 << rng.randrange(8)
            after.current_files[name] = SimulatedFile(data + kept, bytes(data + kept))
        after.synced_files = dict(after.current_files)
        return after
