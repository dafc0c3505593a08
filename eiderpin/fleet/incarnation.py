"""Incarnations: which of the processes started under one dispatcher name is the current one. Rules without
I/O.

A starting process reads the document `incarnations/NAME` and writes it anew, provided that nobody else has
written it in between. The revision at which that write commits, together with the store's generation, is the
process's incarnation; no other process ever has the same one. Every later write of the process is conditional
on that document being unchanged. A process that was frozen or cut off while a successor started under its
name therefore learns of it with its next write at the latest. That write has no effect, and the process
writes nothing more: it is fenced, for good.
"""

from __future__ import annotations

from enum import Enum

import orjson

from eiderpin.store.state import Compare, Put, Transaction

DOCUMENT_PREFIX = "incarnations/"


class ClaimState(Enum):
    """Whether a process holds its name."""

    UNKNOWN = "unknown"  # the name has not been claimed yet, or the outcome of the claim is unknown
    HELD = "held"
    FENCED = "fenced"  # another process holds the name


class Incarnation:
    """The incarnation of this process and whether it is still the current one of its name.

    Args:
        name: The dispatcher's name.
        token: Random value that each process draws anew.
        generation: The store's generation.
    """

    def __init__(self, name: str, token: str, generation: int) -> None:
        """Start in state UNKNOWN; `record_initial_revision` and `build_claim` come next."""
        self.name, self.token, self.generation = name, token, generation
        self.claim_state = ClaimState.UNKNOWN
        self.revision = 0  # of the document as our claim wrote it; 0: not known to be committed
        self.initial_revision: int | None = None  # of the document before our claim; None: not read yet

    def __str__(self) -> str:
        """GENERATION.REVISION; empty while there is no incarnation yet."""
        return f"{self.generation}.{self.revision}" if self.revision else ""

    @property
    def document_name(self) -> str:
        """Name of the document that identifies the latest incarnation of this name."""
        return DOCUMENT_PREFIX + self.name

    def record_initial_revision(self, revision: int) -> None:
        """Record the document's revision before our claim; 0: it does not exist.

        The revision must come from a read that covers everything committed so far.
        """
        if self.initial_revision is None:
            self.initial_revision = revision

    def build_claim(self) -> Transaction:
        """The transaction that claims the name. It can be submitted again when its outcome is unknown."""
        assert self.initial_revision is not None, "the document's revision must be read before it is claimed"
        value = orjson.dumps({"token": self.token})
        return Transaction(
            [Put(self.document_name, value)], [Compare(self.document_name, self.initial_revision)]
        )

    def apply_document(self, value: bytes | None, revision: int, claim_refused: bool = False) -> bool:
        """Update the claim state from the document as the local member has it.

        Args:
            value: The document's value; None: it does not exist.
            revision: The document's revision; 0: it does not exist.
            claim_refused: Our claim was not carried out, because the document had changed.

        Returns:
            Whether this call fenced the process.
        """
        if self.claim_state is ClaimState.FENCED:
            return False
        if parse_token(value) == self.token:
            self.claim_state, self.revision = ClaimState.HELD, revision
            return False
        name_taken = self.claim_state is ClaimState.HELD and (value is None or revision > self.revision)
        if not (claim_refused or name_taken):
            return False  # the document still is that of an earlier incarnation
        self.claim_state = ClaimState.FENCED
        return True

    def mark_replaced(self) -> bool:
        """Fence this process because the other members report that another disk has its name. Returns whether
        this call fenced it."""
        newly_fenced = self.claim_state is not ClaimState.FENCED
        self.claim_state = ClaimState.FENCED
        return newly_fenced

    def guard(self, change: Transaction) -> Transaction:
        """Make a change conditional on this process being the latest incarnation of its name.

        Raises:
            ValueError: The process is not known to hold its name.
        """
        if self.claim_state is not ClaimState.HELD:
            raise ValueError(f"the incarnation of {self.name} is {self.claim_state.value}")
        return Transaction(change.ops, [*change.compares, Compare(self.document_name, self.revision)])


def parse_token(value: bytes | None) -> str:
    """The token in an incarnation document; empty where there is none."""
    try:
        return str(orjson.loads(value or b"{}").get("token") or "")
    except (orjson.JSONDecodeError, AttributeError):
        return ""


def is_latest_incarnation(writer: str, generation: int, revision: int) -> bool:
    """Whether the writer of a document is the latest incarnation of its name.

    Args:
        writer: NAME/INCARNATION, as the document names its writer.
        generation: The store's generation.
        revision: The current revision of the name's incarnation document; 0: it does not exist.
    """
    return revision > 0 and writer.rpartition("/")[2] == f"{generation}.{revision}"
