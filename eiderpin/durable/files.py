"""All calls that the log makes on files.

Tests replace them by a simulated disk that fails and loses unsynced writes.
"""

from __future__ import annotations

import contextlib
import fcntl
import os


class DirectoryLockedError(Exception):
    """Another process owns the directory."""


class Files:
    """The files of one directory, by name. Each method raises `OSError` as the system call does."""

    def __init__(self, folder: str) -> None:
        """`folder` is the directory's path; it need not exist yet."""
        self.folder = folder

    def path(self, name: str) -> str:
        """Return the path of a file."""
        return os.path.join(self.folder, name)

    def make_folder(self) -> None:
        """Create the directory if it does not exist."""
        os.makedirs(self.folder, mode=0o700, exist_ok=True)

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        return sorted(os.listdir(self.folder))

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        with open(self.path(name), "rb") as file:
            return file.read()

    def create(self, name: str) -> int:
        """Create a file and return its descriptor; a file of that name, left by a crash, is replaced."""
        return os.open(self.path(name), os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)

    def write(self, fd: int, data: bytes) -> int:
        """Write data, or a part of it; return how many bytes were written."""
        return os.write(fd, data)

    def sync(self, fd: int) -> None:
        """Wait until the file's data and length are on disk."""
        os.fdatasync(fd)

    def close(self, fd: int) -> None:
        """Close a descriptor."""
        os.close(fd)

    def rename(self, old: str, new: str) -> None:
        """Rename a file, and replace one of the new name."""
        os.rename(self.path(old), self.path(new))

    def remove(self, name: str) -> None:
        """Remove a file if it exists."""
        with contextlib.suppress(FileNotFoundError):
            os.unlink(self.path(name))

    def sync_folder(self) -> None:
        """Wait until all created, renamed and removed names are on disk."""
        fd = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def lock(self, name: str) -> int:
        """Lock the directory until the returned descriptor is closed or the process ends.

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
    """Write all of the data; one call may write only a part. Raises `OSError`."""
    view = memoryview(data)
    while view:
        written = files.write(fd, bytes(view) if len(view) < len(data) else data)
        if written <= 0:
            raise OSError(f"a write of {len(view)} bytes took none")
        view = view[written:]
