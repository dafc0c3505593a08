"""Who is speaking: which life of a dispatcher. Rules without I/O.

A process that begins reads `incarnations/NAME` and puts it anew, if nobody else has meanwhile. The revision
at which that is committed, with the generation of the store, is its incarnation, and no life before or after
it has the same. Whatever it writes from then on is carried out only while that document is as it left it. So
one that was frozen, or cut off, while a successor by its name began finds out by its first write, if not
before, and writes nothing more: it is fenced, for good.
"""

from __future__ import annotations

from enum import Enum

import orjson

from eiderpin.store.state import Compare, Put, Transaction

PREFIX = "incarnations/"


class ClaimState(Enum):
    """Whether a process holds its name."""

    UNKNOWN = "unknown"  # it has not been claimed yet, or nobody has said so
    HELD = "held"
    FENCED = "fenced"  # another process has our name


class Incarnation:
    """`token` is drawn anew by each process; `generation` is the store's."""

    def __init__(self, name: str, token: str, generation: int) -> None:
        """Begin unknown, until `read` and `claim`."""
        self.name, self.token, self.generation = name, token, generation
        self.claim_state = ClaimState.UNKNOWN
        self.revision = 0
        self.seen: int | None = None  # the document's revision when we began; None: not read yet

    def __str__(self) -> str:
        """Empty: there is none yet."""
        return f"{self.generation}.{self.revision}" if self.revision else ""

    @property
    def document(self) -> str:
        """The name of the document that says which life is the latest."""
        return PREFIX + self.name

    def read(self, revision: int) -> None:
        """The document as it is now, by a read that covers all that was committed; 0: there is none."""
        if self.seen is None:
            self.seen = revision

    def claim(self) -> Transaction:
        """May be asked for again where nobody says what became of it."""
        assert self.seen is not None, "it is read first"
        value = orjson.dumps({"token": self.token})
        return Transaction([Put(self.document, value)], [Compare(self.document, self.seen)])

    def heard(self, value: bytes | None, revision: int, refused: bool = False) -> bool:
        """What the document says, as our member has it; whether that has just fenced us. `refused`: our claim
        was not carried out, and this is why."""
        if self.claim_state is ClaimState.FENCED:
            return False
        if token_of(value) == self.token:
            self.claim_state, self.revision = ClaimState.HELD, revision
            return False
        taken = self.claim_state is ClaimState.HELD and (value is None or revision > self.revision)
        if not (refused or taken):
            return False  # of an earlier life
        self.claim_state = ClaimState.FENCED
        return True

    def replaced(self) -> bool:
        """The other members say that another disk has our name; whether that has just fenced us."""
        news = self.claim_state is not ClaimState.FENCED
        self.claim_state = ClaimState.FENCED
        return news

    def guarded(self, change: Transaction) -> Transaction:
        """The change, carried out only while we are the latest by our name. Raises `ValueError` where we are
        not known to be."""
        if self.claim_state is not ClaimState.HELD:
            raise ValueError(f"the incarnation of {self.name} is {self.claim_state.value}")
        return Transaction(change.ops, [*change.compares, Compare(self.document, self.revision)])


def token_of(value: bytes | None) -> str:
    """The token that an incarnation's document names; empty where it names none."""
    try:
        return str(orjson.loads(value or b"{}").get("token") or "")
    except (orjson.JSONDecodeError, AttributeError):
        return ""


def holds(by: str, generation: int, revision: int) -> bool:
    """Whether `by`, as a document names its writer (NAME/INCARNATION), is the latest life of its name, whose
    document is at `revision` now."""
    return revision > 0 and by.rpartition("/")[2] == f"{generation}.{revision}"
