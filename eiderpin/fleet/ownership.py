"""Who owns the ledger of durable jobs: it is taken at a start, or once a predecessor gives it up; and given
up to a successor with all that is under way, whose leases and clients go on there."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from eiderpin.core.dispatcher import Dispatcher
from eiderpin.core.durability import JobMismatchError
from eiderpin.core.moves import WaitingClient, transfer_durable_request
from eiderpin.core.requests import FAILED, Request
from eiderpin.durable.files import Locked
from eiderpin.durable.frames import BadFormat
from eiderpin.durable.reading import Damaged
from eiderpin.jobs.elsewhere import Elsewhere
from eiderpin.jobs.keeper import JobManager
from eiderpin.jobs.ledger import BrokenRule
from eiderpin.jobs.recovery import recover
from eiderpin.net.edge import ClientConnection
from eiderpin.net.loop import READ, Loop
from eiderpin.net.workers import HttpWorkers
from eiderpin.parts.durable import DurableOptions

LEDGER_ERRORS = (Locked, BadFormat, Damaged, BrokenRule, OSError)
ASK_EVERY = 100.0  # ms between looks whether our predecessor has given the ledger up ...
ASK_AFTER_FAILURE = 5000.0  # ... and when it could not be read
LIST_WITHIN = 3000.0  # ms in which the list must come before a ledger's jobs are taken up without it


class LedgerOwnership:
    """`shared`: an old or a new process may be beside us, and own it. Raises one of `LEDGER_ERRORS` where it
    cannot be had."""

    def __init__(
        self, loop: Loop, core: Dispatcher, workers: HttpWorkers, options: DurableOptions, name: str,
        shared: bool, say: Callable[[str], None], warn: Callable[[str], None],
    ) -> None:  # fmt: skip
        """Open the ledger, or wait for the process beside us to give it up."""
        self.loop, self.core, self.workers = loop, core, workers
        self.options, self.name, self.shared = options, name, shared
        self.say, self.warn = say, warn
        self.job_manager: JobManager | None = None
        self.ask_at = math.inf  # when we ask for it again
        self.begun_at = loop.clock.now()
        self.released = False  # it is the successor's, or about to be
        self.waiting: list[
            tuple[Request, ClientConnection]
        ] = []  # its last owner's clients, until it is ready
        self.open()

    # -- taking it

    def open(self) -> None:
        """Own the ledger and read it; one that the process beside us may own is asked for again later."""
        try:
            job_manager = JobManager(self.core, self.options, self.name)
        except LEDGER_ERRORS as error:
            if not isinstance(error, Locked) or not self.shared:
                raise
            if self.core.job_manager is None:
                self.core.job_manager = Elsewhere(self.options)
            self.ask_at = self.loop.clock.now() + ASK_EVERY
            return
        self.core.job_manager = self.job_manager = job_manager
        self.ask_at = math.inf
        self.loop.selector.register(job_manager.log, READ, lambda mask: job_manager.settle())
        self.keep_news()

    def keep_news(self) -> None:
        """From here on call-backs wait until the ledger's jobs have been taken up."""
        if self.workers.deferred_callbacks is None:
            self.workers.deferred_callbacks = []

    def defer_callback(self, news: dict[str, Any], reply: Callable[[int], None]) -> bool:
        """Keep a call-back that comes before the ledger is ours; whether it was kept."""
        return self.workers.defer_callback(news, reply)

    def on_ledger_released(self) -> None:
        """Its owner has given it up to us, or has gone."""
        self.released = False
        if self.job_manager is None:
            self.keep_news()
            self.ask_at = self.loop.clock.now()

    def run_turn(self) -> bool:
        """Once a turn of the loop; whether nothing is left to be done about it."""
        if self.loop.clock.now() >= self.ask_at:
            self._ask()
        if self.job_manager is not None and not self.job_manager.recovered:
            self._recover()
            return False
        return math.isinf(self.ask_at)

    def _ask(self) -> None:
        self.ask_at = self.loop.clock.now() + ASK_EVERY
        try:
            self.open()
        except LEDGER_ERRORS as error:
            self.warn(f"durable jobs are turned down: durable.directory {self.options.folder}: {error}")
            self.ask_at = self.loop.clock.now() + ASK_AFTER_FAILURE
            return
        if self.job_manager is not None:
            self.say("the ledger of durable jobs is ours")

    def _recover(self) -> None:
        """Take the ledger's open jobs up, once the workers are known or have been waited for long enough."""
        job_manager, now = self.job_manager, self.loop.clock.now()
        if job_manager is None or not (self.core.listed or now > self.begun_at + LIST_WITHIN):
            return
        done = recover(job_manager, self.core, self.workers)
        if any(done.values()):
            self.say("recovered jobs: " + ", ".join(f"{n} {step.value}" for step, n in done.items()))
        self.workers.process_deferred_callbacks()
        waiting, self.waiting = self.waiting, []
        for request, edge in waiting:
            self._join(request, edge)

    # -- clients that come with it

    def attach_client(self, request: Request, edge: ClientConnection) -> None:
        """A client of its last owner waits for this job here from now on."""
        edge.set_request(request)
        edge.front.account_memory(edge)
        if self.job_manager is not None and self.job_manager.recovered:
            self._join(request, edge)
        else:
            self.waiting.append((request, edge))
            self.core.deadlines.set(request.deadline, lambda: self._overdue(request, edge))

    def _overdue(self, request: Request, edge: ClientConnection) -> None:
        if (request, edge) in self.waiting:
            self.waiting.remove((request, edge))
            edge.answer(request, FAILED)

    def _join(self, request: Request, edge: ClientConnection) -> None:
        """By its name, as one who asks again."""
        if request.ended:
            return  # it has left
        edge.set_request(None)
        try:
            joined = self.core.submit(request, edge)
        except JobMismatchError:  # its own has been forgotten, and another has the name
            edge.answer(request, FAILED)
            return
        if not joined.ended:
            edge.set_request(joined)
            edge.front.account_memory(edge)

    # -- giving it up

    def release(self) -> list[tuple[WaitingClient, ClientConnection]] | None:
        """Give it up, where all its jobs can go on without this process: their workers have taken them and
        will tell whoever has the address, their clients' connections can go, and nothing is on its way to the
        disk. Returns those who wait for its jobs, for the next owner; None where it has to stay for now."""
        self.core.decide()  # what has come in for them must not be lost
        job_manager = self.job_manager
        if (
            job_manager is None
            or not job_manager.recovered
            or job_manager.failed
            or not job_manager.is_idle()
        ):
            return None
        requests = [f for f in self.core.requests.all() if f.job and not f.ended]
        out = [s for f in requests for s in f.attempts if not s.ended]
        clients = [(f, w) for f in requests for w in f.waiters]
        if not all(s.endpoint.link.may_transfer(s) for s in out):
            return None
        if not all(isinstance(w, ClientConnection) and w.is_transferable(f) for f, w in clients):
            return None
        waiting = []
        for request in requests:
            for waits, waiter in transfer_durable_request(self.core, request):
                assert isinstance(waiter, ClientConnection)
                waiting.append((waits, waiter))
        self.loop.selector.unregister(job_manager.log)
        job_manager.close()
        self.job_manager, self.core.job_manager, self.released = None, Elsewhere(self.options), True
        return waiting

    # -- the end

    @property
    def is_ready(self) -> bool:
        """Whether jobs that it holds have been taken up, where it is ours."""
        return self.job_manager is None or self.job_manager.recovered

    def is_idle(self) -> bool:
        """Whether nothing of the ledger is under way."""
        return not self.waiting and (self.job_manager is None or self.job_manager.is_idle())

    def push(self) -> None:
        """Write what has been appended since the last turn."""
        if self.job_manager is not None:
            self.job_manager.log.push()

    def close(self) -> None:
        """Give the ledger up."""
        if self.job_manager is not None:
            self.job_manager.close()
