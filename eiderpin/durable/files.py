"""The seam: every call that the log makes on files. Tests put one in its place that fails, tears and
forgets."""

from __future__ import annotations

import contextlib
import fcntl
import os


class DirectoryLockedError(Exception):
    """Another process owns the directory."""


class Files:
    """Files of one directory, by name. Each method raises `OSError` as the system does."""

    def __init__(self, folder: str) -> None:
        self.folder = folder

    def path(self, name: str) -> str:
        return os.path.join(self.folder, name)

    def make_folder(self) -> None:
        os.makedirs(self.folder, mode=0o700, exist_ok=True)

    def names(self) -> list[str]:
        return sorted(os.listdir(self.folder))

    def read(self, name: str) -> bytes:
        with open(self.path(name), "rb") as file:
            return file.read()

    def create(self, name: str) -> int:
        """A new file's descriptor. One of that name is replaced: it can only be what a crash left."""
        return os.open(self.path(name), os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)

    def write(self, fd: int, data: bytes) -> int:
        return os.write(fd, data)

    def sync(self, fd: int) -> None:
        """All that was written is on disk, and so is the length."""
        os.fdatasync(fd)

    def close(self, fd: int) -> None:
        os.close(fd)

    def rename(self, old: str, new: str) -> None:
        os.rename(self.path(old), self.path(new))

    def remove(self, name: str) -> None:
        with contextlib.suppress(FileNotFoundError):
            os.unlink(self.path(name))

    def sync_folder(self) -> None:
        """Names that were made, changed or removed are so on disk."""
        fd = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def lock(self, name: str) -> int:
        """Own the directory until the descriptor is closed or the process ends.

        Raises `DirectoryLockedError`.
        """
        fd = os.open(self.path(name), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(fd)
            raise DirectoryLockedError(f"{self.folder}: another process owns it") from None
        return fd


def write_all(files: Files, fd: int, data: bytes) -> None:
    """Write the whole of it; a disk may take it in parts."""
    view = memoryview(data)
    while view:
        done = files.write(fd, bytes(view) if len(view) < len(data) else data)
        if done <= 0:
            raise OSError(f"a write of {len(view)} bytes took none")
        view = view[done:]
