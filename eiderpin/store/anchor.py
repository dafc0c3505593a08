"""A file whose inode distinguishes a directory from any copy of it."""

from __future__ import annotations

import os
import secrets
from contextlib import suppress

FILE_NAME = "anchor"


class Anchor:
    """The anchor file of a directory.

    Its inode number and change time are assigned by the file system and cannot both be set by a program, so a
    copy of the directory has different ones. Methods raise `OSError` when a system call fails.
    """

    def __init__(self, folder: str) -> None:
        """Use the anchor in `folder`; the file is created when it is first read."""
        self.path = os.path.join(folder, FILE_NAME)

    def new_disk_id(self) -> str:
        """Return a random id for a disk that has none yet."""
        return secrets.token_hex(8)

    def recreate(self) -> str:
        """Replace the file, and return the new fingerprint."""
        with suppress(FileNotFoundError):
            os.unlink(self.path)
        os.close(os.open(self.path, os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o400))
        return self.fingerprint()

    def fingerprint(self) -> str:
        """Return the inode number and change time of the file; create it if it is missing."""
        try:
            status = os.stat(self.path)
        except FileNotFoundError:
            return self.recreate()
        return f"{status.st_ino}:{status.st_ctime_ns}"
