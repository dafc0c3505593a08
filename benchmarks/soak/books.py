"""What clients and servers saw, and the rules that it is judged by. Pure; times are steady, in seconds."""

from __future__ import annotations

from dataclasses import dataclass, field

LATE_ATTEMPT = 0.1  # s after its client closed, from which on an attempt must not begin
LATE_ANSWER = 0.5  # s past its deadline, from which on a request is lost
DEADLINE_SLACK = 0.15  # s by which a server may be told more than its client has left
DRAIN_GRACE = 0.55  # s after a server was withdrawn, from which on it gets nothing new
CROSSING = 0.05  # s; an orderly end that comes so soon after a request may have crossed it, unread
REFUSED = (429, 503)


@dataclass(slots=True)
class RequestRecord:
    """One request, as its client saw it."""

    request_id: str
    cls: str
    dispatcher: str
    sent_at: float
    patience: float  # s
    left_at: float | None = None  # when its client closed, without waiting
    status: int = 0  # of the whole answer; 0: none
    answered_at: float = 0.0
    ended_at: float | None = None  # when the connection ended without a whole answer
    reset: bool = False


@dataclass(slots=True)
class AttemptRecord:
    """One attempt, as its server saw it: it begins with its last byte."""

    request_id: str
    server: str
    dispatcher: str
    began_at: float
    told: float  # s that the dispatcher says it will wait
    ran: bool  # False: turned away unstarted


@dataclass(slots=True)
class Process:
    """One process of a dispatcher. `killed`: SIGKILL found it still there."""

    dispatcher: str
    told_at: float  # SIGTERM
    exit_code: int | None = None
    killed_at: float | None = None
    log: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Books:
    """All that was seen in a run."""

    requests: dict[str, RequestRecord] = field(default_factory=dict)
    attempts: list[AttemptRecord] = field(default_factory=list)
    processes: list[Process] = field(default_factory=list)
    withdrawn: dict[tuple[str, str], float] = field(default_factory=dict)  # dispatcher and server, told at
    lag: float = 0.0  # s; the longest for which the soak itself was held up
    answers: dict[int, int] = field(default_factory=dict)


def judge(books: Books) -> list[str]:
    """Each broken rule, in one line."""
    broken = [*_lost(books), *_run_twice(books), *_begun_late(books), *_told_too_much(books)]
    return broken + _sent_to_withdrawn(books) + _ended_badly(books)


def crossed(books: Books) -> int:
    """How many requests crossed the end of their connection and were not read: their clients send them
    again."""
    return sum(not r.status and r.left_at is None for r in books.requests.values())


def _lost(books: Books) -> list[str]:
    forwarded = {a.request_id for a in books.attempts}
    lost = []
    for request in books.requests.values():
        if request.left_at is not None:
            continue
        if request.status:
            late = request.answered_at - request.sent_at - request.patience
            if late > LATE_ANSWER + books.lag:
                lost.append(f"lost: {request.request_id} was answered {late:.3f} s late")
            continue
        waited = (request.ended_at or request.sent_at) - request.sent_at
        unread = request.reset or waited <= CROSSING + books.lag
        if request.request_id in forwarded or request.ended_at is None or not unread:
            how = "a reset" if request.reset else "an end"
            lost.append(f"lost: {request.request_id} got {how} after {waited:.3f} s, and no answer")
    return lost


def _run_twice(books: Books) -> list[str]:
    ran: dict[str, int] = {}
    for attempt in books.attempts:
        ran[attempt.request_id] = ran.get(attempt.request_id, 0) + attempt.ran
    broken = []
    for request in books.requests.values():
        if request.cls != "result-post":
            continue
        times = ran.get(request.request_id, 0)
        if times > 1:
            broken.append(f"duplicate: {request.request_id} ran {times} times")
        if times and request.status in REFUSED:
            broken.append(f"duplicate: {request.request_id} ran, and trying again was said to be harmless")
    return broken


def _begun_late(books: Books) -> list[str]:
    broken = []
    for attempt in books.attempts:
        request = books.requests[attempt.request_id]
        if request.left_at is None:
            continue
        late = attempt.began_at - request.left_at
        if late > LATE_ATTEMPT + books.lag:
            broken.append(f"lost: {request.request_id} began {late:.3f} s after its client had gone")
    return broken


def _told_too_much(books: Books) -> list[str]:
    broken = []
    for attempt in books.attempts:
        request = books.requests[attempt.request_id]
        over = attempt.began_at + attempt.told - (request.sent_at + request.patience)
        if over > DEADLINE_SLACK + books.lag:
            broken.append(f"deadline: {request.request_id} told {attempt.server} {over:.3f} s too much")
    return broken


def _sent_to_withdrawn(books: Books) -> list[str]:
    broken = []
    for attempt in books.attempts:
        told = books.withdrawn.get((attempt.dispatcher, attempt.server))
        if told is not None and attempt.began_at - told > DRAIN_GRACE + books.lag:
            late = attempt.began_at - told
            broken.append(f"drain: {attempt.request_id} began at {attempt.server}, gone for {late:.3f} s")
    return broken


def _ended_badly(books: Books) -> list[str]:
    broken = []
    for process in books.processes:
        if process.killed_at is None and process.exit_code != 0:
            broken.append(f"crash: {process.dispatcher} ended with {process.exit_code}: {process.log[-3:]}")
        faults = [x for x in process.log if "Traceback" in x or "a fault in" in x or "invariant.broken" in x]
        broken += [f"crash: {process.dispatcher}: {line}" for line in faults[:3]]
    return broken
