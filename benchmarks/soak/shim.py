"""Seeded faults of a dispatcher's system calls and wall clock, installed in its process before it starts.

A call fails only with errors that Linux documents for it, and only where they can be true: a shortage
(ENOBUFS, ENOMEM, ENFILE) can occur on any socket, the loss of a connection (ETIMEDOUT, EHOSTUNREACH) only on
connections to workers, as the clients of the soak test do not lose theirs.
"""

from __future__ import annotations

import errno
import json
import os
import random
import socket
import time
from collections.abc import Callable
from typing import Any

FAULTS_VARIABLE = "SOAK_FAULTS"  # JSON: seed, rate, begins, ends, short, steps
ACCEPT_ERRORS = (
    errno.ECONNABORTED, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EPROTO, errno.ENETDOWN,
)  # fmt: skip
CONNECT_ERRORS = (
    errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ETIMEDOUT, errno.EINTR, errno.ENOBUFS,
)  # fmt: skip
SHORTAGE_ERRORS = (errno.ENOBUFS, errno.ENOMEM)
LOSS_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET)
LOSS_SHARE = 0.02  # factor on the fault rate, for the loss of a connection to a worker
CLOCK_STEPS_SECONDS = (-3600.0, -5.0, -1.0, 0.0, 1.0, 5.0, 3600.0)  # offsets of the stepped wall clock
CLOCK_STEP_INTERVAL_SECONDS = 0.4


class SystemCallFaults:
    """Wraps the calls of `socket.socket` in this process so that some of them fail.

    Args:
        faults: The fields of `CallFaults`, and the seed.
    """

    def __init__(self, faults: dict[str, Any]) -> None:
        """Install nothing yet; the times of the faults count from now."""
        self.rng = random.Random(faults["seed"])
        self.rate, self.short = float(faults["rate"]), bool(faults["short"])
        self.begins, self.ends = float(faults["begins"]), float(faults["ends"])
        self.started_at = time.monotonic()

    def is_fault_due(self, share: float = 1.0) -> bool:
        """Draw whether the current call fails; `share` is a factor on the fault rate."""
        elapsed_seconds = time.monotonic() - self.started_at
        return self.begins <= elapsed_seconds <= self.ends and self.rng.random() < self.rate * share

    def install(self) -> None:
        """Replace the calls of `socket.socket`."""
        calls: dict[str, Callable[[Callable[..., Any]], Callable[..., Any]]] = {
            "accept": self._wrap_accept, "connect_ex": self._wrap_connect,
            "recv": self._wrap_recv, "send": self._wrap_send,
        }  # fmt: skip
        for name, wrap in calls.items():
            setattr(socket.socket, name, wrap(getattr(socket.socket, name)))

    def _wrap_accept(self, original: Callable[..., Any]) -> Callable[..., Any]:
        def accept(sock: socket.socket) -> Any:
            if self.is_fault_due():
                raise OSError(self.rng.choice(ACCEPT_ERRORS), "accept")
            return original(sock)

        return accept

    def _wrap_connect(self, original: Callable[..., Any]) -> Callable[..., Any]:
        def connect_ex(sock: socket.socket, address: Any) -> int:
            error_number = self.rng.choice(CONNECT_ERRORS) if self.is_fault_due() else 0
            if error_number and error_number != errno.EINTR:
                return error_number
            result = int(original(sock, address))
            return errno.EINTR if error_number and result == errno.EINPROGRESS else result

        return connect_ex

    def _raise_if_due(self, sock: socket.socket, call_name: str) -> None:
        if self.is_fault_due():
            raise OSError(self.rng.choice(SHORTAGE_ERRORS), call_name)
        if self._is_outgoing(sock) and self.is_fault_due(LOSS_SHARE):
            raise OSError(self.rng.choice(LOSS_ERRORS), call_name)

    @staticmethod
    def _is_outgoing(sock: socket.socket) -> bool:
        """Whether this is a connection to a worker; connections from clients have the dispatcher's port."""
        try:
            return bool(sock.getsockname()[1] != int(os.environ["SOAK_PORT"]))
        except OSError:
            return False

    def _wrap_recv(self, original: Callable[..., Any]) -> Callable[..., Any]:
        def recv(sock: socket.socket, size: int, flags: int = 0) -> Any:
            if not flags:
                self._raise_if_due(sock, "recv")
            return original(sock, min(size, 1 + self.rng.randrange(40)) if self.short else size, flags)

        return recv

    def _wrap_send(self, original: Callable[..., Any]) -> Callable[..., Any]:
        def send(sock: socket.socket, data: Any) -> Any:
            self._raise_if_due(sock, "send")
            return original(sock, bytes(data[: 1 + self.rng.randrange(40)]) if self.short else data)

        return send


def install_clock_steps() -> None:
    """Replace `time.time` by a clock that steps forwards and backwards."""
    real_time, started_at = time.time, time.monotonic()

    def stepped_time() -> float:
        step_number = int((time.monotonic() - started_at) / CLOCK_STEP_INTERVAL_SECONDS)
        return real_time() + CLOCK_STEPS_SECONDS[step_number * 5 % len(CLOCK_STEPS_SECONDS)]

    time.time = stepped_time


def install() -> None:
    """Install the faults that the environment variable `FAULTS_VARIABLE` describes."""
    faults = json.loads(os.environ[FAULTS_VARIABLE])
    SystemCallFaults(faults).install()
    if faults["steps"]:
        install_clock_steps()
