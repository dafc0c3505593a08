"""A digest of a set of documents that is updated in constant time for each change.

The digest is the sum, modulo 2**63, of one BLAKE2b hash for each document (name, revision of its last change
and value), so it depends only on the set and not on the order of the changes.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from eiderpin.store.state import Document, Event

_MODULUS = 1 << 63


def document_hash(name: str, revision: int, value: bytes) -> int:
    """Return the hash of one document, below 2**63."""
    header = f"{name}\0{revision}\0".encode()
    digest = hashlib.blake2b(header + value, digest_size=8).digest()
    return int.from_bytes(digest, "big") % _MODULUS


class DocumentDigest:
    """The digest of a set of documents. Each document's hash is kept so that it can be subtracted again."""

    def __init__(self, documents: Iterable[Document] = ()) -> None:
        """Start with the digest of `documents`."""
        self.value = 0
        self._hashes: dict[str, int] = {}
        for document in documents:
            self._add(document.name, document.revision, document.value)

    def apply(self, event: Event) -> None:
        """Update the digest for one change."""
        self.value = (self.value - self._hashes.pop(event.name, 0)) % _MODULUS
        if event.value is not None:
            self._add(event.name, event.revision, event.value)

    def _add(self, name: str, revision: int, value: bytes) -> None:
        self._hashes[name] = document_hash(name, revision, value)
        self.value = (self.value + self._hashes[name]) % _MODULUS
