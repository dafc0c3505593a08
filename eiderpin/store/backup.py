"""Snapshots in files, and new clusters that begin with one, or with what a lost cluster's member has left.
Old members have no say in a new cluster: it is of a later generation, and the transport refuses them."""

from __future__ import annotations

import os
import struct

import msgspec
import zstandard
from crc32c import crc32c

from eiderpin.configuration import replace_file
from eiderpin.durable.files import Files, Locked
from eiderpin.durable.frames import BadFormat
from eiderpin.durable.log import Log
from eiderpin.durable.reading import Damaged
from eiderpin.parts.store import NAME_PATTERN, parse_address
from eiderpin.store.anchor import Anchor
from eiderpin.store.messages import Config, EntryKind, HardState, Snapshot
from eiderpin.store.records import MemberIdentity, Restored, whole
from eiderpin.store.state import Store, unpack

MAGIC = b"EIDERSNP"
FORMAT = 1
_HEAD = struct.Struct("<8sHHQI")  # magic, format, generation, bytes when unpacked, crc of what follows


def save(path: str, image: bytes, generation: int = 1) -> None:
    """Raises `OSError`; the file is whole or as it was."""
    packed = zstandard.ZstdCompressor(level=3).compress(image)
    replace_file(path, _HEAD.pack(MAGIC, FORMAT, generation, len(image), crc32c(packed)) + packed)


def load(path: str) -> tuple[bytes, int]:
    """The image, and the generation of the cluster that it is of. `path` may be a member's directory. Raises
    `OSError` and `ValueError`."""
    if os.path.isdir(path):
        return left_by(path)
    with open(path, "rb") as file:
        data = file.read()
    if len(data) < _HEAD.size or data[:8] != MAGIC:
        raise ValueError(f"{path}: it is no snapshot of a store")
    _, form, generation, size, crc = _HEAD.unpack_from(data)
    if form > FORMAT:
        raise ValueError(f"{path}: its format is {form}; this version of eiderpin reads up to {FORMAT}")
    packed = data[_HEAD.size :]
    if crc != crc32c(packed):
        raise ValueError(f"{path}: it is damaged or cut off")
    image = zstandard.ZstdDecompressor().decompress(packed, max_output_size=size)
    try:
        Store.of(image)
    except msgspec.MsgspecError as error:
        raise ValueError(f"{path}: it makes no sense: {error}") from None
    return image, max(1, generation)


def left_by(folder: str) -> tuple[bytes, int]:
    """What a member that has ended holds: all of its log, for nobody can say any more what of it was
    committed. Raises `OSError` and `ValueError`."""
    found = Restored()
    try:
        Log(Files(folder), found.apply).close()
        snapshot = found.snapshot
    except (Locked, Damaged, BadFormat) as error:
        raise ValueError(f"{folder}: {error}") from None
    if found.born is None:
        raise ValueError(f"{folder}: it is no member's directory")
    plain = zstandard.ZstdDecompressor().decompress(snapshot.data) if snapshot.data else b""
    store = Store.of(plain)
    for entry in found.entries:
        if entry.kind == EntryKind.COMMAND:
            store.apply(unpack(entry.data))
    return store.image(), found.born.generation


def restore(path: str, folder: str, name: str, cluster: str, members: dict[str, str]) -> None:
    """Make `folder` that of member `name` of a new cluster, of the next generation. Raises `OSError` and
    `ValueError`."""
    image, generation = load(path)
    for what in (name, cluster):
        if not NAME_PATTERN.fullmatch(what):
            raise ValueError(f"{what!r}: up to 64 letters, digits and ._- are expected")
    if name not in members:
        raise ValueError(f"{name} is not among the members {', '.join(members)}")
    for other, where in members.items():
        if len(members) > 1:
            parse_address(where, other)
    if os.path.isdir(folder) and os.listdir(folder):
        raise ValueError(f"{folder}: it is not empty")
    found = Restored()
    log = Log(Files(folder), found.apply)
    snapshot = Snapshot(1, 1, Config(members), zstandard.ZstdCompressor(level=3).compress(image))
    anchor = Anchor(folder)
    born = MemberIdentity(cluster, name, anchor.new_disk(), anchor.read(), generation + 1)
    log.checkpoint(list(whole(born, HardState(1, ""), snapshot, ())))
    log.close()
    if log.failed is not None:
        raise log.failed
