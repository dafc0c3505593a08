"""Ownership of the ledger of durable jobs. A process opens the ledger when it starts, or once its predecessor
has released it. It releases the ledger to a successor together with the jobs under way, whose leases and
clients continue there."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from eiderpin.core.dispatcher import Dispatcher
from eiderpin.core.durability import JobMismatchError
from eiderpin.core.moves import WaitingClient, transfer_durable_request
from eiderpin.core.requests import FAILED, Request
from eiderpin.durable.files import DirectoryLockedError
from eiderpin.durable.frames import FormatError
from eiderpin.durable.reading import LogDamagedError
from eiderpin.jobs.elsewhere import UnavailableJobManager
from eiderpin.jobs.keeper import JobManager
from eiderpin.jobs.ledger import LedgerRuleError
from eiderpin.jobs.recovery import recover
from eiderpin.net.connection import READ
from eiderpin.net.edge import ClientConnection
from eiderpin.net.loop import Loop
from eiderpin.net.workers import HttpWorkers
from eiderpin.parts.durable import DurableOptions

LEDGER_ERRORS = (DirectoryLockedError, FormatError, LogDamagedError, LedgerRuleError, OSError)
OPEN_RETRY_MS = 100.0  # between tries to open the ledger while the peer process owns it
FAILED_OPEN_RETRY_MS = 5000.0  # after the ledger could not be read
WORKER_LIST_TIMEOUT_MS = 3000.0  # after this time the ledger's jobs are recovered without a worker list


class LedgerOwnership:
    """Opens, recovers and releases the ledger.

    Args:
        loop: The program's event loop.
        core: The dispatcher.
        workers: The links to the workers.
        options: Settings of durable jobs.
        name: The dispatcher's name.
        peer_may_own: A peer process, old or new, may own the ledger.
        log_info, log_warning: Write log lines for operators.

    Raises:
        One of `LEDGER_ERRORS`: The ledger cannot be opened.
    """

    def __init__(
        self, loop: Loop, core: Dispatcher, workers: HttpWorkers, options: DurableOptions, name: str,
        peer_may_own: bool, log_info: Callable[[str], None], log_warning: Callable[[str], None],
    ) -> None:  # fmt: skip
        """Open the ledger, or wait for the peer process to release it."""
        self.loop, self.core, self.workers = loop, core, workers
        self.options, self.name, self.peer_may_own = options, name, peer_may_own
        self.log_info, self.log_warning = log_info, log_warning
        self.job_manager: JobManager | None = None
        self.open_at = math.inf  # when to try to open the ledger again
        self.started_at = loop.clock.now()
        self.released = False  # the successor owns the ledger, or is about to
        # Clients of the ledger's last owner, until its jobs are recovered.
        self.waiting_clients: list[tuple[Request, ClientConnection]] = []
        self.open_ledger()

    # -- opening and recovering it

    def open_ledger(self) -> None:
        """Lock the ledger and read it. While the peer process may own it, schedule another try instead."""
        try:
            job_manager = JobManager(self.core, self.options, self.name)
        except LEDGER_ERRORS as error:
            if not isinstance(error, DirectoryLockedError) or not self.peer_may_own:
                raise
            if self.core.job_manager is None:
                self.core.job_manager = UnavailableJobManager(self.options)
            self.open_at = self.loop.clock.now() + OPEN_RETRY_MS
            return
        self.core.job_manager = self.job_manager = job_manager
        self.open_at = math.inf
        self.loop.selector.register(job_manager.log, READ, lambda mask: job_manager.settle())
        self.defer_callbacks()

    def defer_callbacks(self) -> None:
        """Defer callbacks from now on until the ledger's jobs have been recovered."""
        if self.workers.deferred_callbacks is None:
            self.workers.deferred_callbacks = []

    def defer_callback(self, callback: dict[str, Any], reply: Callable[[int], None]) -> bool:
        """Defer a callback that arrives before the ledger's jobs are recovered. Returns whether it did."""
        return self.workers.defer_callback(callback, reply)

    def on_ledger_released(self) -> None:
        """Open the ledger in the next turn: its owner has released it, or has ended."""
        self.released = False
        if self.job_manager is None:
            self.defer_callbacks()
            self.open_at = self.loop.clock.now()

    def run_turn(self) -> bool:
        """Open and recover the ledger when that is due; called in each turn of the loop. Returns whether
        nothing is left to do."""
        if self.loop.clock.now() >= self.open_at:
            self._retry_open()
        if self.job_manager is not None and not self.job_manager.recovered:
            self._recover_jobs()
            return False
        return math.isinf(self.open_at)

    def _retry_open(self) -> None:
        self.open_at = self.loop.clock.now() + OPEN_RETRY_MS
        try:
            self.open_ledger()
        except LEDGER_ERRORS as error:
            self.log_warning(f"durable jobs are rejected: durable.directory {self.options.folder}: {error}")
            self.open_at = self.loop.clock.now() + FAILED_OPEN_RETRY_MS
            return
        if self.job_manager is not None:
            self.log_info("the ledger of durable jobs is ours")

    def _recover_jobs(self) -> None:
        """Recover the ledger's open jobs once the workers are known or have been waited for long enough."""
        job_manager, now = self.job_manager, self.loop.clock.now()
        if job_manager is None or not (self.core.listed or now > self.started_at + WORKER_LIST_TIMEOUT_MS):
            return
        done = recover(job_manager, self.core, self.workers)
        if any(done.values()):
            self.log_info("recovered jobs: " + ", ".join(f"{n} {step.value}" for step, n in done.items()))
        self.workers.process_deferred_callbacks()
        waiting_clients, self.waiting_clients = self.waiting_clients, []
        for request, client in waiting_clients:
            self._join_job(request, client)

    # -- clients that are transferred with it

    def attach_client(self, request: Request, client: ClientConnection) -> None:
        """Let a client of the ledger's last owner wait for its job here."""
        client.set_request(request)
        client.front.account_memory(client)
        if self.job_manager is not None and self.job_manager.recovered:
            self._join_job(request, client)
        else:
            self.waiting_clients.append((request, client))
            self.core.deadlines.set(request.deadline, lambda: self._fail_overdue(request, client))

    def _fail_overdue(self, request: Request, client: ClientConnection) -> None:
        if (request, client) in self.waiting_clients:
            self.waiting_clients.remove((request, client))
            client.answer(request, FAILED)

    def _join_job(self, request: Request, client: ClientConnection) -> None:
        """Attach a client to its job by the job's name, as if it had submitted the job again."""
        if request.ended:
            return  # the client has left
        client.set_request(None)
        try:
            joined = self.core.submit(request, client)
        except JobMismatchError:  # its job has been forgotten, and another job has the name
            client.answer(request, FAILED)
            return
        if not joined.ended:
            client.set_request(joined)
            client.front.account_memory(client)

    # -- releasing it

    def release(self) -> list[tuple[WaitingClient, ClientConnection]] | None:
        """Release the ledger if all its jobs can continue without this process.

        That is so if their workers have accepted them and report to whoever serves the address, the
        connections of their clients can be transferred, and no write to the disk is pending. Returns the
        clients that wait for the jobs, for the next owner; None: the ledger cannot be released now.
        """
        self.core.decide()  # events already received for these jobs must not be lost
        job_manager = self.job_manager
        if (
            job_manager is None
            or not job_manager.recovered
            or job_manager.failed
            or not job_manager.is_idle()
        ):
            return None
        requests = [request for request in self.core.requests.all() if request.job and not request.ended]
        attempts = [attempt for request in requests for attempt in request.attempts if not attempt.ended]
        waiters = [(request, waiter) for request in requests for waiter in request.waiters]
        if not all(attempt.endpoint.link.may_transfer(attempt) for attempt in attempts):
            return None
        if not all(
            isinstance(waiter, ClientConnection) and waiter.is_transferable(request)
            for request, waiter in waiters
        ):
            return None
        transferred = []
        for request in requests:
            for waiting_client, waiter in transfer_durable_request(self.core, request):
                assert isinstance(waiter, ClientConnection)
                transferred.append((waiting_client, waiter))
        self.loop.selector.unregister(job_manager.log)
        job_manager.close()
        self.job_manager, self.core.job_manager, self.released = (
            None,
            UnavailableJobManager(self.options),
            True,
        )
        return transferred

    # -- status and end

    @property
    def is_ready(self) -> bool:
        """Whether the ledger's jobs have been recovered, or another process owns it."""
        return self.job_manager is None or self.job_manager.recovered

    def is_idle(self) -> bool:
        """Whether no job or client of the ledger is waiting for anything."""
        return not self.waiting_clients and (self.job_manager is None or self.job_manager.is_idle())

    def push(self) -> None:
        """Write what was appended to the ledger since the last turn."""
        if self.job_manager is not None:
            self.job_manager.log.push()

    def close(self) -> None:
        """Close the ledger, if it is ours."""
        if self.job_manager is not None:
            self.job_manager.close()
