"""The watch on discovery's list.

An event tells when calls begin to fail, and when the list is known again; `list_age_ms` how old it is.
"""

from __future__ import annotations

import logging
from typing import Any

import orjson

from eiderpin import interface as api
from eiderpin.core.deadlines import Deadline
from eiderpin.core.dispatcher import Dispatcher
from eiderpin.core.requests import WorkerLink
from eiderpin.core.wall_clock import WallClock
from eiderpin.net import http
from eiderpin.net.loop import Connection, Loop

logger = logging.getLogger("eiderpin")

# Whatever discovery has to tell counts as told 6 s after it had it and could be reached, heard or not. What
# these add up to must stay below that: a call that falls silent as it begins (WAIT + SILENCE), then one that
# answers at once. Where the decisions say when to ask again, they count from when a call began (`ListWatch`).
WAIT = 2000  # ms that a watch waits for news
SILENCE = 700.0  # ms past that after which we ask again, on a new connection
PAUSE = 50.0  # ms before asking again after a failure; a watch must be renewed within 200 ms
OLDER_PAUSE = 250.0  # ms before asking again where it tells what lies before what it told already ...
OLDER_FOR = 4000.0  # ... until it has told nothing else for so long: it has begun anew, and counts from there
MOST_LIST = 1 << 20  # bytes; lists come indented, and grow with the fleet

STATES = {
    "Ready": api.WorkerState.IN_SERVICE,
    "Terminating": api.WorkerState.DRAINING,
    "Gone": api.WorkerState.GONE,
}


class BadList(ValueError):
    """What came is no list of workers."""


def parse_address(text: Any) -> tuple[str, int]:
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise BadList(f"{text!r} is no address")
    return host, int(port)


Entries = list[tuple[api.WorkerEntry, object]]  # workers and their addresses


def read_list(said: Any) -> tuple[int, bool, Entries]:
    """Generation, whether it is the whole list, and its entries, with starts by the wall clock."""
    if not isinstance(said, dict) or not isinstance(said.get("instances"), list):
        raise BadList("a list needs instances")
    entries: Entries = []
    for e in said["instances"]:
        if not isinstance(e, dict) or not isinstance(e.get("instanceId"), str):
            raise BadList("an instance needs an instanceId")
        if e.get("lifecycle") not in STATES:
            raise BadList(f"lifecycle {e.get('lifecycle')!r} is not known")
        entry = api.WorkerEntry(
            e["instanceId"],
            str(e.get("zone") or ""),
            str(e.get("machineType") or ""),
            int(e.get("cell") or 0),
            STATES[e["lifecycle"]],
            float(e.get("weight") or 1.0),
            float(e.get("startedAtMs") or 0) or None,
        )
        entries.append((entry, parse_address(e.get("hostPort"))))
    generation = said.get("generation")
    return (generation if isinstance(generation, int) else 0), bool(said.get("reset")), entries


class Discovery:
    """Asks for the list, then watches it, for as long as the program runs.

    Where the list must be asked for (`discovery` is "on_request", WIRE "KEEP_INFORMED"), one service of fixed
    capacity answers all dispatchers. There a watch begins when the decisions say so, at the start and after
    each failure, which they are told of; and it begins from the generation that is known, so that only what
    has changed is asked for. Many dispatchers that asked again at once, for the whole list, would keep that
    service so busy that it answers none of them.
    """

    def __init__(
        self, loop: Loop, core: Dispatcher, link: WorkerLink, where: tuple[str, int], known: Any
    ) -> None:
        self.loop, self.core, self.link, self.where = loop, core, link, where
        self.wall = WallClock(core.clock)
        # By worker: its start as it was told, and on our clock. Told again, it is not translated anew.
        self.starts: dict[str, tuple[float, float]] = {}
        self.generation: int | None = None
        self.conn: Connection | None = None
        self.reader = http.ResponseReader()
        self.limit: Deadline | None = None
        self.asked = False  # a call has begun
        self.has_answered = False  # discovery has answered us
        self.sure = False  # it has answered since the last failure
        self.began_at = loop.clock.now()
        self.answered_at: float | None = None  # when it last told what there is
        self.failures = 0  # calls in a row that failed
        self.newest: int | None = None  # the latest generation that it told, and since when only older ones
        self.older_since: float | None = None
        self.on_request = core.settings.must_ask
        if self.on_request:
            core.source = self
        if known:
            generation, _, entries = read_list(known)
            core.apply_worker_list(
                link, api.ListKind.STORED, self.with_local_start_times(entries), by_discovery=True
            )
            if self.on_request:
                self.generation = self.newest = generation
        if not known or not self.on_request:
            self.ask()

    def change_address(self, where: tuple[str, int]) -> None:
        """Watch at another address from now on. Its generations are its own, so the whole list is asked for;
        what the old one told holds until then."""
        if where == self.where:
            return
        self.where, self.generation = where, None
        self.newest = self.older_since = None
        self.sure = False
        self.loop.deadlines.drop(self.limit)
        if self.conn is not None:
            self.conn.close()
        self.conn = None
        self.ask()

    @property
    def list_age_ms(self) -> float:
        """ms since discovery last told what there is; since the process began, where it never did."""
        last = self.began_at if self.answered_at is None else self.answered_at
        return self.loop.clock.now() - last

    def note_failure(self, reason: str) -> None:
        """Count a call that failed; the first one in a row is an event."""
        self.core.counters.add(f"in.discovery_{reason}")
        self.failures += 1
        if self.failures == 1:
            fields = {"reason": reason, "generation": self.generation, "list_age_ms": round(self.list_age_ms)}
            logger.warning("discovery does not tell the list", extra=fields)

    def note_answer(self, generation: int) -> None:
        """The list is known to be up to date: an event after calls that failed."""
        if self.failures:
            fields = {"generation": generation, "failed_calls": self.failures,
                      "list_age_ms": round(self.list_age_ms)}  # fmt: skip
            logger.info("discovery tells the list", extra=fields)
        self.answered_at, self.failures = self.loop.clock.now(), 0

    def watch(self) -> None:
        """The decisions want a watch to begin now; one that stands, or is being asked for, goes on."""
        if self.conn is None:
            self.ask()

    def ask(self) -> None:
        self.wall.sample()
        target = b"/catalog/members"
        wait = 0.0
        if self.generation is not None:
            # A call that need not wait shows soonest whether there is anybody, and whether a stored list
            # still holds. Asked for, each call costs the service: there the second one is a watch.
            watches = self.sure or (self.on_request and self.asked)
            wait = float(WAIT) if watches else 0.0
            target += b"?after=%d&wait_ms=%d" % (self.generation, wait)
        if self.conn is None:
            self.conn = self.loop.connect(self.where)
            if self.conn is None:
                self.note_failure("not_connected")
                self.failed()
                return
            self.reader = http.ResponseReader(MOST_LIST)
            self.conn.on_data, self.conn.on_end = self.data, self.ended
        self.asked = True
        patience = (WAIT if self.on_request else wait) + SILENCE  # a busy service takes its time for any call
        self.limit = self.loop.deadlines.set(self.loop.clock.now() + patience, self.silent)
        host = f"Host: {self.where[0]}:{self.where[1]}"
        self.conn.write(http.request("GET", target, (host,)))

    def silent(self) -> None:
        self.note_failure("silent")
        self.failed()

    def ended(self) -> None:
        """It has closed, or the connection broke: after the last byte of an answer without a length, or
        before."""
        last = self.reader.message_at_eof()
        if last is not None:
            self.take([last])
            return
        self.note_failure("closed")
        self.failed()

    def failed(self, pause: float = PAUSE) -> None:
        """The agent is silent, has closed, has said no or talks nonsense: ask again, on a new connection."""
        self.sure = False
        self.loop.deadlines.drop(self.limit)
        if self.conn is not None:
            self.conn.close()
        self.conn = None
        if self.on_request:
            self.core.apply_worker_list(self.link, api.ListKind.FAILED, (), by_discovery=True)
            return
        self.limit = self.loop.deadlines.set(self.loop.clock.now() + pause, self.ask)

    def data(self, data: bytes) -> None:
        try:
            messages = self.reader.feed(data)
        except http.BadMessage:
            self.bad()
            return
        self.take(messages)

    def bad(self) -> None:
        """What came is no answer, or no list: the whole list is asked for next."""
        self.note_failure("bad")
        self.generation = None
        self.failed()

    def take(self, messages: list[http.Message]) -> None:
        conn = self.conn
        try:
            for message in messages:
                if self.conn is conn:  # else what came before it has ended this connection
                    self.answered(message)
        except (ValueError, TypeError):  # no JSON, or no list
            self.bad()

    def answered(self, message: http.Message) -> None:
        if message.status != 200:
            if message.status < 500:
                self.generation = None  # it cannot make sense of ours; one that is too busy could
            self.note_failure("refused")
            self.failed()
            return
        generation, whole, entries = read_list(orjson.loads(message.body))
        if self.is_older(generation):
            self.note_failure("older")
            self.failed(OLDER_PAUSE)
            return
        if generation < (self.newest or 0) and not whole:
            self.generation = None  # it has begun anew, and what has changed since is not all that there is
            self.failed()
            return
        self.core.counters.add("in.lists")
        self.note_answer(generation)
        self.generation = self.newest = generation
        self.older_since = None
        self.has_answered = self.sure = True
        if whole or entries or self.on_request:  # there an empty answer tells that the watch stands
            kind = api.ListKind.COMPLETE if whole else api.ListKind.CHANGES
            self.core.apply_worker_list(
                self.link, kind, self.with_local_start_times(entries), by_discovery=True
            )
        self.loop.deadlines.drop(self.limit)
        if not message.keep_alive and self.conn is not None:
            self.conn.close()
            self.conn = None
        self.ask()

    def with_local_start_times(self, entries: Entries) -> Entries:
        """The same entries, with the times of their workers' starts on the dispatcher's clock."""
        for entry, _ in entries:
            if entry.born is None or entry.state is api.WorkerState.GONE:
                self.starts.pop(entry.name, None)
                continue
            told, start = self.starts.get(entry.name, (0.0, 0.0))
            if told != entry.born:
                told, start = entry.born, self.wall.to_steady(entry.born)
                self.starts[entry.name] = (told, start)
            entry.born = start
        return entries

    def is_older(self, generation: int) -> bool:
        """Whether this lies before what it told already, and is not to be believed yet: by it a worker that
        has been told to drain would be in service again."""
        if self.newest is None or generation >= self.newest:
            return False
        now = self.loop.clock.now()
        if self.older_since is None:
            self.older_since = now
        return now - self.older_since < OLDER_FOR
