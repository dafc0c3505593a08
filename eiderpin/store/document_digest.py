"""A digest of a set of documents that follows each change in constant time.

The digest is the sum, modulo 2**63, of one BLAKE2b hash for each document (name, revision of its last change
and value), so it depends on the set alone and not on the order in which it came about.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from eiderpin.store.state import Document, Event

_MODULUS = 1 << 63


def document_hash(name: str, revision: int, value: bytes) -> int:
    """The hash of one document, below 2**63."""
    head = f"{name}\0{revision}\0".encode()
    whole = hashlib.blake2b(head + value, digest_size=8).digest()
    return int.from_bytes(whole, "big") % _MODULUS


class DocumentDigest:
    """The digest of a set of documents, with the hash of each so that it can be taken out again."""

    def __init__(self, documents: Iterable[Document] = ()) -> None:
        """The digest of these documents."""
        self.value = 0
        self._hashes: dict[str, int] = {}
        for document in documents:
            self._add(document.name, document.revision, document.value)

    def apply(self, event: Event) -> None:
        """Follow one change."""
        self.value = (self.value - self._hashes.pop(event.name, 0)) % _MODULUS
        if event.value is not None:
            self._add(event.name, event.revision, event.value)

    def _add(self, name: str, revision: int, value: bytes) -> None:
        self._hashes[name] = document_hash(name, revision, value)
        self.value = (self.value + self._hashes[name]) % _MODULUS
