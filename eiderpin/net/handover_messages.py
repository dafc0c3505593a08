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

The following are exchanged only if both hellos have `claims`; see `core.peer_jobs`. A job is named by its
class and the id that its client gave it. Results are text in Latin-1.

    {"jobs": [[class, id, left], ...]}   after the hello: jobs that the sender or its other peer has (`left`
                                    null), or that ended there, with the ms for which it still remembers
                                    them, a minute at most. Later: jobs that its other peer has begun
    {"claim": [class, id], "background": false, "ask": 7}   a client has submitted this job; answered by
    {"granted": 7}, {"taken": 7}    with `taken` the sender has the job, and its answer follows:
    {"ended": 7, "answer": [verdict, result, wait], "ran": true}
    {"progress": 7, "share": 0.5}, {"data": 7, "bytes": "...", "warning": false}   before the answer
    {"withdrawn": 7}                the sender waits no longer for the answer
    {"released": [class, id], "kept": true}   the job has ended at the sender; `kept`: it must not run again.
                                    Once more when it is submitted again after its end
    {"retained": [[class, id, verdict, result, left, single_use_id], ...]}   copies of retained answers
    {"used_ids": [[class, id, left], ...]}   if both hellos have `used_ids`: jobs that must not run again and
                                    whose ids belong to one request only; `left` as in `jobs`, 0: not used
    {"move": {...}, "ask": 7, "clients": true, "background": false}   a job without a client's socket;
                                    answered like `adopt`. With `clients`, some wait at the sender, and it
                                    is answered like a claim that is taken, too

A message is encoded by `encode`. `decode` returns it, or raises one of `DECODE_ERRORS`.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any

import orjson

from eiderpin.core import learned
from eiderpin.core.learned import Learned
from eiderpin.core.requests import Answer, Verdict
from eiderpin.core.run_once_ids import JobKey
from eiderpin.policy.run_once_records import RETENTION_MS

PROTOCOL_VERSION = 1
DECODE_ERRORS = (ValueError, TypeError, KeyError, AttributeError, IndexError)

FileIdentity = tuple[int, int, int]  # device, inode and modification time (ns) of a file
Document = dict[str, Any]  # a decoded JSON object
Holds = dict[str, tuple[float, float]]  # of a process, by worker: see `api.Beside`


@dataclass(slots=True, frozen=True)
class Hello:
    """The first message: the ids of the sender's jobs that are under way."""

    ids: list[str]
    claims: bool = False  # the sender's version knows of claims
    used_ids: bool = False  # and of `UsedIds`


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


@dataclass(slots=True, frozen=True)
class Jobs:
    """Jobs of the sender, each with the ms for which it must not run elsewhere; infinity: it is open."""

    jobs: list[tuple[JobKey, float]]


@dataclass(slots=True, frozen=True)
class UsedIds:
    """Jobs that must not run again and whose ids belong to one request only, each with the ms for which its
    id counts as used; infinity: it is open."""

    jobs: list[tuple[JobKey, float]]


@dataclass(slots=True, frozen=True)
class ClaimJob:
    """A client has submitted a job to the sender, in the background or not."""

    number: int
    job: JobKey
    background: bool


@dataclass(slots=True, frozen=True)
class ClaimGranted:
    """The sender does not have the job of the claim of this number."""

    number: int


@dataclass(slots=True, frozen=True)
class ClaimRefused:
    """The sender has the job of the claim of this number, and will tell its answer."""

    number: int


@dataclass(slots=True, frozen=True)
class ClaimAnswered:
    """The answer to the job of a claim that was refused, and whether the job may have run."""

    number: int
    answer: Answer
    may_have_run: bool


@dataclass(slots=True, frozen=True)
class ClaimProgress:
    """The share (0 to 1) that is done of the job of a claim that was refused."""

    number: int
    share: float


@dataclass(slots=True, frozen=True)
class ClaimData:
    """Partial data, or a warning, of the job of a claim that was refused."""

    number: int
    data: bytes
    warning: bool


@dataclass(slots=True, frozen=True)
class ClaimWithdrawn:
    """The sender waits no longer for the answer to its claim."""

    number: int


@dataclass(slots=True, frozen=True)
class JobReleased:
    """A job has ended at the sender."""

    job: JobKey
    must_not_rerun: bool


@dataclass(slots=True, frozen=True)
class CopiedAnswer:
    """A retained answer of the sender."""

    job: JobKey
    answer: Answer
    left: float  # ms for which it is still retained
    single_use_id: bool


@dataclass(slots=True, frozen=True)
class CopiedAnswers:
    """Retained answers of the sender."""

    answers: list[CopiedAnswer]


@dataclass(slots=True, frozen=True)
class MoveJob:
    """A job without a client's socket. The receiver checks the document, as with `AdoptJob`."""

    number: int
    job: Document  # a `TransferredRequest`
    waits: bool  # clients of the sender wait for its answer
    background: bool


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
    | Jobs
    | UsedIds
    | ClaimJob
    | ClaimGranted
    | ClaimRefused
    | ClaimAnswered
    | ClaimProgress
    | ClaimData
    | ClaimWithdrawn
    | JobReleased
    | CopiedAnswers
    | MoveJob
)


def encode(message: Message) -> bytes:
    """Return the line of a message."""
    return orjson.dumps(_to_document(message)) + b"\n"


def _to_document(message: Message) -> dict[str, Any]:
    match message:
        case Hello(ids, claims, used_ids):
            return {"hello": PROTOCOL_VERSION, "ids": ids, "claims": claims, "used_ids": used_ids}
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
        case Jobs(jobs):
            return {"jobs": _jobs_to_rows(jobs)}
        case UsedIds(jobs):
            return {"used_ids": _jobs_to_rows(jobs)}
        case ClaimJob(number, job_key, background):
            return {"claim": job_key, "background": background, "ask": number}
        case ClaimGranted(number):
            return {"granted": number}
        case ClaimRefused(number):
            return {"taken": number}
        case ClaimAnswered(number, answer, may_have_run):
            return {"ended": number, "answer": _answer_to_row(answer), "ran": may_have_run}
        case ClaimProgress(number, share):
            return {"progress": number, "share": share}
        case ClaimData(number, data, warning):
            return {"data": number, "bytes": data.decode("latin-1"), "warning": warning}
        case ClaimWithdrawn(number):
            return {"withdrawn": number}
        case JobReleased(job_key, must_not_rerun):
            return {"released": job_key, "kept": must_not_rerun}
        case CopiedAnswers(answers):
            return {"retained": [_copy_to_row(copied) for copied in answers]}
        case MoveJob(number, job, waits, background):
            return {"move": job, "ask": number, "clients": waits, "background": background}


def _jobs_to_rows(jobs: list[tuple[JobKey, float]]) -> list[Any]:
    return [[*job, left if left < math.inf else None] for job, left in jobs]


def _answer_to_row(answer: Answer) -> list[Any]:
    return [answer.verdict.value, answer.result.decode("latin-1"), answer.wait]


def _copy_to_row(copied: CopiedAnswer) -> list[Any]:
    verdict, result, _ = _answer_to_row(copied.answer)
    return [*copied.job, verdict, result, copied.left, copied.single_use_id]


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
    ids = [str(i) for i in document["ids"]]
    return Hello(ids, bool(document.get("claims")), bool(document.get("used_ids")))


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


def _parse_job(row: Any) -> JobKey:
    cls, unique = row
    return str(cls), str(unique)


def _parse_jobs(rows: Any) -> list[tuple[JobKey, float]]:
    jobs = [(_parse_job(row[:2]), row[2]) for row in rows]
    return [(job, math.inf if left is None else _parse_time_left(left)) for job, left in jobs]


def _parse_time_left(left: Any) -> float:
    """Return a time in ms. Raises `ValueError` if no answer is retained for so long."""
    if not 0.0 <= float(left) <= RETENTION_MS:
        raise ValueError("a time that is out of range")
    return float(left)


def _parse_answer(verdict: Any, result: Any, wait: Any = None) -> Answer:
    return Answer(Verdict(verdict), result.encode("latin-1"), None if wait is None else float(wait))


def _parse_answered(document: Any) -> ClaimAnswered:
    return ClaimAnswered(int(document["ended"]), _parse_answer(*document["answer"]), bool(document["ran"]))


def _parse_progress(document: Any) -> ClaimProgress:
    share = float(document["share"])
    if not 0.0 <= share <= 1.0:
        raise ValueError("a share that is out of range")
    return ClaimProgress(int(document["progress"]), share)


def _parse_data(document: Any) -> ClaimData:
    data = document["bytes"].encode("latin-1")
    return ClaimData(int(document["data"]), data, bool(document["warning"]))


def _parse_copies(document: Any) -> CopiedAnswers:
    return CopiedAnswers(
        [
            CopiedAnswer(_parse_job((cls, unique)), _parse_answer(verdict, result), _parse_time_left(left),
                         bool(single_use_id))
            for cls, unique, verdict, result, left, single_use_id in document["retained"]
        ]
    )  # fmt: skip


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
    "jobs": lambda document: Jobs(_parse_jobs(document["jobs"])),
    "used_ids": lambda document: UsedIds(_parse_jobs(document["used_ids"])),
    "claim": lambda document: ClaimJob(
        int(document["ask"]), _parse_job(document["claim"]), bool(document["background"])
    ),
    "granted": lambda document: ClaimGranted(int(document["granted"])),
    "taken": lambda document: ClaimRefused(int(document["taken"])),
    "ended": _parse_answered,
    "progress": _parse_progress,
    "data": _parse_data,
    "withdrawn": lambda document: ClaimWithdrawn(int(document["withdrawn"])),
    "released": lambda document: JobReleased(_parse_job(document["released"]), bool(document["kept"])),
    "retained": _parse_copies,
    "move": lambda document: MoveJob(
        int(document["ask"]), document["move"], bool(document["clients"]), bool(document["background"])
    ),
}
