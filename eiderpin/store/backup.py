"""Snapshot files, and new clusters that are restored from one or from a surviving member's directory.

A restored cluster has a later generation, by which the transport rejects members of the old cluster.
"""

from __future__ import annotations

import os
import struct

import msgspec
import zstandard
from crc32c import crc32c

from eiderpin.configuration import replace_file
from eiderpin.durable.files import DirectoryLockedError, Files
from eiderpin.durable.frames import FormatError
from eiderpin.durable.log import Log
from eiderpin.durable.reading import LogDamagedError
from eiderpin.parts.store import NAME_PATTERN, parse_address
from eiderpin.store.anchor import Anchor
from eiderpin.store.messages import Config, EntryKind, HardState, Snapshot
from eiderpin.store.records import MemberIdentity, RestoredState, checkpoint_records
from eiderpin.store.state import Store, unpack

MAGIC = b"EIDERSNP"
FORMAT = 1
_HEADER = struct.Struct("<8sHHQI")  # magic, format, generation, uncompressed bytes, CRC32C of what follows


def save(path: str, image: bytes, generation: int = 1) -> None:
    """Write a snapshot file; on failure the file is left as it was. Raises `OSError`."""
    packed = zstandard.ZstdCompressor(level=3).compress(image)
    replace_file(path, _HEADER.pack(MAGIC, FORMAT, generation, len(image), crc32c(packed)) + packed)


def load(path: str) -> tuple[bytes, int]:
    """Read a snapshot file or a member's directory.

    Returns:
        The state, and the generation of its cluster.

    Raises:
        OSError: A file cannot be read.
        ValueError: It is not a snapshot, or it is damaged or of a later format.
    """
    if os.path.isdir(path):
        return read_member_directory(path)
    with open(path, "rb") as file:
        data = file.read()
    if len(data) < _HEADER.size or data[:8] != MAGIC:
        raise ValueError(f"{path}: it is not a snapshot of a store")
    _, format_version, generation, size, crc = _HEADER.unpack_from(data)
    if format_version > FORMAT:
        raise ValueError(
            f"{path}: its format is {format_version}; this version of eiderpin reads up to {FORMAT}"
        )
    packed = data[_HEADER.size :]
    if crc != crc32c(packed):
        raise ValueError(f"{path}: it is damaged or cut off")
    image = zstandard.ZstdDecompressor().decompress(packed, max_output_size=size)
    try:
        Store.from_image(image)
    except msgspec.MsgspecError as error:
        raise ValueError(f"{path}: its content is not valid: {error}") from None
    return image, max(1, generation)


def read_member_directory(folder: str) -> tuple[bytes, int]:
    """Return the state and generation that a stopped member's directory holds.

    All entries of the log are applied, since without the other members it is unknown which were committed.
    Raises `OSError` and `ValueError`.
    """
    restored = RestoredState()
    try:
        Log(Files(folder), restored.apply).close()
        snapshot = restored.snapshot
    except (DirectoryLockedError, LogDamagedError, FormatError) as error:
        raise ValueError(f"{folder}: {error}") from None
    if restored.identity is None:
        raise ValueError(f"{folder}: it is not a member's directory")
    image = zstandard.ZstdDecompressor().decompress(snapshot.data) if snapshot.data else b""
    store = Store.from_image(image)
    for entry in restored.entries:
        if entry.kind == EntryKind.COMMAND:
            store.apply(unpack(entry.data))
    return store.image(), restored.identity.generation


def restore(path: str, folder: str, name: str, cluster: str, members: dict[str, str]) -> None:
    """Create the directory of member `name` of a new cluster of the next generation.

    Args:
        path: A snapshot file, or a member's directory.
        folder: The directory to create; it must be empty or absent.
        name: The member.
        cluster: The name of the new cluster.
        members: The names and addresses of all its members.

    Raises:
        OSError: A file cannot be read or written.
        ValueError: An argument is not valid, or the snapshot is not.
    """
    image, generation = load(path)
    for value in (name, cluster):
        if not NAME_PATTERN.fullmatch(value):
            raise ValueError(f"{value!r}: up to 64 letters, digits and ._- are expected")
    if name not in members:
        raise ValueError(f"{name} is not among the members {', '.join(members)}")
    for other, other_address in members.items():
        if len(members) > 1:
            parse_address(other_address, other)
    if os.path.isdir(folder) and os.listdir(folder):
        raise ValueError(f"{folder}: it is not empty")
    restored = RestoredState()
    log = Log(Files(folder), restored.apply)
    snapshot = Snapshot(1, 1, Config(members), zstandard.ZstdCompressor(level=3).compress(image))
    anchor = Anchor(folder)
    identity = MemberIdentity(cluster, name, anchor.new_disk_id(), anchor.fingerprint(), generation + 1)
    log.checkpoint(list(checkpoint_records(identity, HardState(1, ""), snapshot, ())))
    log.close()
    if log.failed is not None:
        raise log.failed
