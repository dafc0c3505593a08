"""The messages between an old process and its successor: one JSON object per line on a Unix socket.

The new process connects to the socket of its predecessor. Messages; each is sent in both directions unless
noted:

    {"hello": 1, "ids": [...]}      first message: protocol version, and the ids of jobs under way
    {"serving": true, "published": [...]}   new process only: it accepts clients from now on, and the old
                                    process stops accepting. `published` identifies the file of its socket
    {"learned": {...}}              old process only, once: what its decisions have learned
    {"state": {...}}                the sender's slots in use at workers, its descriptors and its readiness
    {"adopt": {...}, "ask": 7}      a job, with its client's socket attached; answered by
    {"adopted": 7}, {"refused": 7}  with `refused` the job stays with the sender
    {"ledger": true}                the sender has released the ledger of durable jobs to the receiver
    {"waits": {...}, "ask": 7}      a client of a job in that ledger, with its socket; answered like `adopt`
    {"news": {...}, "ask": 7}       a worker's callback for an id that the sender does not know
    {"told": 7}                     the callback has been handled, or the id is not known here either

A message is encoded by `encode`. `decode` returns it, or raises one of `DECODE_ERRORS`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any

import orjson

from eiderpin.core import learned
from eiderpin.core.learned import Learned

PROTOCOL_VERSION = 1
DECODE_ERRORS = (ValueError, TypeError, KeyError, AttributeError, IndexError)

FileIdentity = tuple[int, int, int]  # device, inode and modification time (ns) of a file
Document = dict[str, Any]  # a decoded JSON object
Holds = dict[str, tuple[float, float]]  # of a process, by worker: see `api.Beside`


@dataclass(slots=True, frozen=True)
class Hello:
    """The first message: the ids of the sender's jobs that are under way."""

    ids: list[str]


@dataclass(slots=True, frozen=True)
class Serving:
    """The new process accepts clients from now on."""

    published: FileIdentity | None  # the file of its socket


@dataclass(slots=True, frozen=True)
class LearnedEstimates:
    """What the decisions of the old process have learned."""

    estimates: Learned


@dataclass(slots=True, frozen=True)
class State:
    """The sender's slots in use at workers, its descriptors and its readiness."""

    holds: Holds
    sockets: int
    readiness: str


@dataclass(slots=True, frozen=True)
class AdoptJob:
    """A job, with its client's socket attached.

    The receiver checks the document when it adopts the job, and refuses one that it cannot continue; an
    invalid message would close the link.
    """

    number: int
    job: Document  # a `TransferredRequest`


@dataclass(slots=True, frozen=True)
class AdoptClient:
    """A client of a job in the ledger of durable jobs, with its socket attached; checked like a job."""

    number: int
    client: Document  # a `WaitingClient`


@dataclass(slots=True, frozen=True)
class Adopted:
    """The receiver continues what the message of this number transferred."""

    number: int


@dataclass(slots=True, frozen=True)
class Refused:
    """The sender keeps what the message of this number transferred."""

    number: int


@dataclass(slots=True, frozen=True)
class LedgerReleased:
    """The sender has released the ledger of durable jobs to the receiver."""


@dataclass(slots=True, frozen=True)
class ForwardedCallback:
    """A worker's callback for an id that the sender does not know."""

    number: int
    callback: Any  # as the worker sent it


@dataclass(slots=True, frozen=True)
class CallbackHandled:
    """The callback of this number has been handled, or its id is not known here either."""

    number: int


Message = (
    Hello
    | Serving
    | LearnedEstimates
    | State
    | AdoptJob
    | AdoptClient
    | Adopted
    | Refused
    | LedgerReleased
    | ForwardedCallback
    | CallbackHandled
)


def encode(message: Message) -> bytes:
    """Return the line of a message."""
    return orjson.dumps(_to_document(message)) + b"\n"


def _to_document(message: Message) -> dict[str, Any]:
    match message:
        case Hello(ids):
            return {"hello": PROTOCOL_VERSION, "ids": ids}
        case Serving(published):
            return {"serving": True, "published": published}
        case LearnedEstimates(estimates):
            return {"learned": estimates}
        case State():
            return {"state": asdict(message)}
        case AdoptJob(number, job):
            return {"adopt": job, "ask": number}
        case AdoptClient(number, client):
            return {"waits": client, "ask": number}
        case Adopted(number):
            return {"adopted": number}
        case Refused(number):
            return {"refused": number}
        case LedgerReleased():
            return {"ledger": True}
        case ForwardedCallback(number, callback):
            return {"news": callback, "ask": number}
        case CallbackHandled(number):
            return {"told": number}


def decode(line: bytes | bytearray) -> Message:
    """Parse the line of a message. Raises one of `DECODE_ERRORS` if it is not valid."""
    document = orjson.loads(line)
    for key, parse in _PARSERS.items():
        if key in document:
            return parse(document)
    raise ValueError("unknown message")


def _parse_hello(document: Any) -> Hello:
    if document["hello"] != PROTOCOL_VERSION:
        raise ValueError("unknown protocol version")
    return Hello([str(i) for i in document["ids"]])


def _parse_serving(document: Any) -> Serving:
    published = document.get("published")
    if published is None:
        return Serving(None)
    device, inode, modified_ns = (int(x) for x in published)
    return Serving((device, inode, modified_ns))


def _parse_state(document: Any) -> State:
    state = document["state"]
    holds = {str(w): (float(a), float(b)) for w, (a, b) in state["holds"].items()}
    if not all(a >= 0 and b >= 0 for a, b in holds.values()):
        raise ValueError("a negative number of held slots")
    return State(holds, int(state["sockets"]), str(state["readiness"]))


_PARSERS: dict[str, Callable[[Any], Message]] = {
    "hello": _parse_hello,
    "state": _parse_state,
    "learned": lambda document: LearnedEstimates(learned.parse(document["learned"])),
    "serving": _parse_serving,
    "news": lambda document: ForwardedCallback(int(document["ask"]), document["news"]),
    "adopt": lambda document: AdoptJob(int(document["ask"]), document["adopt"]),
    "ledger": lambda document: LedgerReleased(),
    "waits": lambda document: AdoptClient(int(document["ask"]), document["waits"]),
    "adopted": lambda document: Adopted(int(document["adopted"])),
    "refused": lambda document: Refused(int(document["refused"])),
    "told": lambda document: CallbackHandled(int(document["told"])),
}
