"""Faults below a dispatcher's system calls, put in before it starts; seeded.

Only what Linux documents for the call, and only where it tells the truth: a shortage (ENOBUFS, ENOMEM,
ENFILE) concerns any socket, the loss of a connection (ETIMEDOUT, EHOSTUNREACH) only those that were made to
servers, since clients of the soak do not lose theirs."""

from __future__ import annotations

import errno
import json
import os
import random
import socket
import time
from collections.abc import Callable
from typing import Any

VARIABLE = "SOAK_FAULTS"  # JSON: seed, rate, begins, ends, short, steps
ACCEPT = (
    errno.ECONNABORTED, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EPROTO, errno.ENETDOWN,
)  # fmt: skip
CONNECT = (
    errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ETIMEDOUT, errno.EINTR, errno.ENOBUFS,
)  # fmt: skip
SHORTAGES = (errno.ENOBUFS, errno.ENOMEM)
LOSSES = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET)
LOSS_SHARE = 0.02  # of the faults of a connection to a server, those that are its end
STEPS = (-3600.0, -5.0, -1.0, 0.0, 1.0, 5.0, 3600.0)  # s by which the wall clock may be off
STEP_EVERY = 0.4  # s


class Faults:
    """Replaces the calls of `socket.socket` and `time.time` in this process."""

    def __init__(self, said: dict[str, Any]) -> None:
        """Nothing is started yet."""
        self.rng = random.Random(said["seed"])
        self.rate, self.short = float(said["rate"]), bool(said["short"])
        self.begins, self.ends = float(said["begins"]), float(said["ends"])
        self.begun = time.monotonic()

    def due(self, share: float = 1.0) -> bool:
        """Whether this call fails."""
        passed = time.monotonic() - self.begun
        return self.begins <= passed <= self.ends and self.rng.random() < self.rate * share

    def install(self) -> None:
        """Put the faults below the calls."""
        calls: dict[str, Callable[[Callable[..., Any]], Callable[..., Any]]] = {
            "accept": self._accept, "connect_ex": self._connect, "recv": self._receive, "send": self._send,
        }  # fmt: skip
        for name, made in calls.items():
            setattr(socket.socket, name, made(getattr(socket.socket, name)))

    def _accept(self, original: Callable[..., Any]) -> Callable[..., Any]:
        def accept(sock: socket.socket) -> Any:
            if self.due():
                raise OSError(self.rng.choice(ACCEPT), "accept")
            return original(sock)

        return accept

    def _connect(self, original: Callable[..., Any]) -> Callable[..., Any]:
        def connect_ex(sock: socket.socket, address: Any) -> int:
            number = self.rng.choice(CONNECT) if self.due() else 0
            if number and number != errno.EINTR:
                return number
            found = int(original(sock, address))
            return errno.EINTR if number and found == errno.EINPROGRESS else found

        return connect_ex

    def _fail(self, sock: socket.socket, call: str) -> None:
        if self.due():
            raise OSError(self.rng.choice(SHORTAGES), call)
        if self._is_outgoing(sock) and self.due(LOSS_SHARE):
            raise OSError(self.rng.choice(LOSSES), call)

    @staticmethod
    def _is_outgoing(sock: socket.socket) -> bool:
        """Whether it was made to a server: those listen in the other half of the ports."""
        try:
            return bool(sock.getsockname()[1] != int(os.environ["SOAK_PORT"]))
        except OSError:
            return False

    def _receive(self, original: Callable[..., Any]) -> Callable[..., Any]:
        def recv(sock: socket.socket, size: int, flags: int = 0) -> Any:
            if not flags:
                self._fail(sock, "recv")
            return original(sock, min(size, 1 + self.rng.randrange(40)) if self.short else size, flags)

        return recv

    def _send(self, original: Callable[..., Any]) -> Callable[..., Any]:
        def send(sock: socket.socket, data: Any) -> Any:
            self._fail(sock, "send")
            return original(sock, bytes(data[: 1 + self.rng.randrange(40)]) if self.short else data)

        return send


def install_steps() -> None:
    """Let the wall clock step, again and again."""
    real, begun = time.time, time.monotonic()

    def stepping() -> float:
        turn = int((time.monotonic() - begun) / STEP_EVERY)
        return real() + STEPS[turn * 5 % len(STEPS)]

    time.time = stepping


def install() -> None:
    """Put in what the environment names."""
    said = json.loads(os.environ[VARIABLE])
    Faults(said).install()
    if said["steps"]:
        install_steps()
