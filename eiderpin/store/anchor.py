"""The identity of a directory, as far as the file system has a say in it."""

from __future__ import annotations

import os
import secrets
from contextlib import suppress

NAME = "anchor"


class Anchor:
    """A file that a copy of the directory can't have alike: its number and the time of its last change are
    the file system's own, and no program sets both. Each method raises `OSError` as the system does."""

    def __init__(self, folder: str) -> None:
        """The anchor of this directory; it is made when it is first read."""
        self.path = os.path.join(folder, NAME)

    def new_disk(self) -> str:
        """An identity for a disk that has none yet."""
        return secrets.token_hex(8)

    def make(self) -> str:
        """A new one, in place of what may be there."""
        with suppress(FileNotFoundError):
            os.unlink(self.path)
        os.close(os.open(self.path, os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o400))
        return self.read()

    def read(self) -> str:
        """What tells the directory's own file from any copy of it."""
        try:
            found = os.stat(self.path)
        except FileNotFoundError:
            return self.make()
        return f"{found.st_ino}:{found.st_ctime_ns}"
