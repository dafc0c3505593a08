"""A discovery agent whose answers take time, and whose connections may fall silent for good."""

from __future__ import annotations

import itertools
import json
import socket
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from tests.crossing import Peer, http_response
from tests.test_discovery_ends import Agent


@dataclass
class PendingCall:
    """A call that is not answered yet. Times are in ms on the test's clock."""

    target: str
    began_at: float
    answer: bytes = b""  # what is still to be written of it
    due_at: float | None = None  # when the last of it is written

    @property
    def wait_ms(self) -> float:
        """For how long the call waits for a change."""
        return float(self.target.partition("wait_ms=")[2] or 0)


class SlowAgent(Agent):
    """Discovery that writes each answer some time after it had it; the list may change in that time.

    `now`: the test's clock. `trickles`: it writes the beginning of an answer at once, byte by byte.
    `swallows_calls`: calls that come meanwhile are never answered.
    """

    def __init__(self, delays: Iterable[float] = (0.0,)) -> None:
        super().__init__()
        self.now: Callable[[], float] = lambda: 0.0
        self.set_delays(delays)
        self.trickles = self.swallows_calls = False
        self.silent_peers: set[int] = set()
        self.pending: dict[int, PendingCall] = {}  # by number of the peer
        self.most_open = 0  # connections at a time

    def set_delays(self, delays: Iterable[float]) -> None:
        """Answer with these delays in turn from now on, in ms."""
        self.delays = itertools.cycle(delays)

    def silence_open_connections(self) -> None:
        """Write nothing any more on the connections that are open now."""
        self.silent_peers.update(number for number, peer in enumerate(self.peers) if not peer.ended)

    def serve(self) -> None:
        """Take calls, and write what is due of their answers."""
        for number, peer in enumerate(self.accept_pending()):
            self._take_call(number, peer)
            self._serve_call(number, peer)
        self.most_open = max(self.most_open, sum(not peer.ended for peer in self.peers))

    def _take_call(self, number: int, peer: Peer) -> None:
        """Take the next call of a connection."""
        calls, taken = peer.requests(), self.answered_requests.get(number, 0)
        if number in self.pending or len(calls) <= taken:
            return
        self.answered_requests[number] = taken + 1
        self.calls += 1
        peer.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # each write arrives at once
        if self.swallows_calls:
            self.silent_peers.add(number)
        self.pending[number] = PendingCall(calls[taken].split(b" ", 2)[1].decode(), self.now())

    def _serve_call(self, number: int, peer: Peer) -> None:
        """Decide on the answer to a call once there is one, and write what is due of it."""
        call = self.pending.get(number)
        if call is None or peer.ended or number in self.silent_peers:
            return
        if call.due_at is None:
            body = self.answer(call.target)
            if body is None and self.now() < call.began_at + call.wait_ms:
                return
            no_change = {"generation": self.generation, "reset": False, "instances": []}
            call.answer = http_response(200, body=body or json.dumps(no_change).encode())
            call.due_at = self.now() + next(self.delays)
        is_due = self.now() >= call.due_at
        size = len(call.answer) if is_due else int(self.trickles and len(call.answer) > 1)
        peer.send(call.answer[:size])
        call.answer = call.answer[size:]
        if is_due:
            del self.pending[number]
