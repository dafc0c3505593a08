"""Snapshots in files, and new clusters that begin with one. Old members have no say in a new cluster: it has
a name of its own, and the transport refuses them."""

from __future__ import annotations

import os
import struct

import msgspec
import zstandard
from crc32c import crc32c

from eiderpin.configuration import replace_file
from eiderpin.durable.files import Files
from eiderpin.durable.log import Log
from eiderpin.parts.store import NAME, address
from eiderpin.store.messages import Config, Hard, Snapshot
from eiderpin.store.records import Born, Restored, whole
from eiderpin.store.state import Store

MAGIC = b"EIDERSNP"
FORMAT = 1
_HEAD = struct.Struct("<8sHHQI")  # magic, format, 0, bytes when unpacked, crc of what follows


def save(path: str, image: bytes) -> None:
    """Raises `OSError`; the file is whole or as it was."""
    packed = zstandard.ZstdCompressor(level=3).compress(image)
    replace_file(path, _HEAD.pack(MAGIC, FORMAT, 0, len(image), crc32c(packed)) + packed)


def load(path: str) -> bytes:
    """The image. Raises `OSError` and `ValueError`."""
    with open(path, "rb") as file:
        data = file.read()
    if len(data) < _HEAD.size or data[:8] != MAGIC:
        raise ValueError(f"{path}: it is no snapshot of a store")
    _, form, _, size, crc = _HEAD.unpack_from(data)
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
    return image


def restore(path: str, folder: str, name: str, cluster: str, members: dict[str, str]) -> None:
    """Make `folder` that of member `name` of a new cluster. Raises `OSError` and `ValueError`."""
    image = load(path)
    for what in (name, cluster):
        if not NAME.fullmatch(what):
            raise ValueError(f"{what!r}: up to 64 letters, digits and ._- are expected")
    if name not in members:
        raise ValueError(f"{name} is not among the members {', '.join(members)}")
    for other, where in members.items():
        if len(members) > 1:
            address(where, other)
    if os.path.isdir(folder) and os.listdir(folder):
        raise ValueError(f"{folder}: it is not empty")
    found = Restored()
    log = Log(Files(folder), found.apply)
    snapshot = Snapshot(1, 1, Config(members), zstandard.ZstdCompressor(level=3).compress(image))
    log.checkpoint(list(whole(Born(cluster, name), Hard(1, ""), snapshot, ())))
    log.close()
    if log.failed is not None:
        raise log.failed
