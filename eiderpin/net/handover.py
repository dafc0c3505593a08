"""An old and a new process side by side: a Unix socket between them, one JSON line a message.

The new process connects to its predecessor's socket. What they say, either way but for `serving`:

    {"hello": 1, "ids": [...]}      first of all; the ids of jobs under way
    {"serving": true, "published": [...]}   the new one accepts clients from now on; the old one stops.
                                    The second tells its socket's file from any other
    {"learned": {...}}              what the decisions of the older one have learned; once
    {"state": {...}}                what I hold: on workers, of descriptors; and my readiness
    {"adopt": {...}, "ask": 7}      a job, and with this line its client's socket; answered by
    {"adopted": 7}, {"refused": 7}  the last where it has to stay with the one who sent it
    {"ledger": true}                I have given the ledger of durable jobs up: it is yours
    {"waits": {...}, "ask": 7}      a client of one of its jobs, and its socket; answered as above
    {"news": {...}, "ask": 7}       a worker's call-back of an id that I do not know
    {"told": 7}                     it has been taken, or nobody here knows that id either

A link that breaks, falls silent or talks nonsense ends; each side then serves as if it were alone.
"""

from __future__ import annotations

import contextlib
import functools
import os
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import asdict
from typing import Any, Protocol

import orjson

from eiderpin import interface as api
from eiderpin.core import learned as carried
from eiderpin.core.deadlines import Deadline
from eiderpin.core.dispatcher import Dispatcher
from eiderpin.core.moves import TransferredRequest, WaitingClient, adopt, rebuild_request, transfer_request
from eiderpin.core.requests import Request
from eiderpin.net.edge import ClientConnection, HttpFront
from eiderpin.net.loop import Connection, Listener, Loop

HELLO_WITHIN = 1000.0  # ms; who is silent longer at first is no process of ours
TELL_EVERY = 50.0  # ms between looks at what has to be told
SILENCE = 3000.0  # ms without a word after which the other is taken to be stuck
BEAT = 500.0  # ms after which the state is told again though nothing has changed
NEWS_WITHIN = 500.0  # ms in which the other must take a call-back; else its worker is asked to say it again
MOST_CAME = 16  # descriptors that may have come and wait for their lines
MOST_LINE = 4 << 20
MOST_IDS = 20_000
MOST_STRANGERS = 4  # connections that have not said hello
LOOKS, LOOK_AGAIN = 4, 50.0  # how often a starting process looks for its predecessor, and ms in between

Reply = Callable[[int], None]
Identity = tuple[int, int, int]  # device, inode and birth of a file


class Link:
    """One connection to the process beside us."""

    def __init__(self, handover: Handover, conn: Connection, predecessor: bool) -> None:
        self.handover, self.conn, self.loop = handover, conn, handover.loop
        self.predecessor = predecessor  # the other end is the older process
        self.greeted = False
        self.serving = False  # the newer one there accepts clients
        self.published: Identity | None = None  # the file of the newer one's socket
        self.readiness = ""
        self.sockets = 0  # descriptors that it uses
        self.held: dict[str, tuple[float, float]] = {}
        self.line = bytearray()
        self.last_told: dict[str, Any] = {}
        self.told_at = 0.0
        self.asked: dict[int, tuple[Reply, Deadline]] = {}
        self.pending_transfers: dict[
            int, tuple[TransferredRequest | WaitingClient, socket.socket]
        ] = {}  # not known to have been adopted
        self.came: deque[int] = deque()  # descriptors that have come, and wait for their line
        self.limit = self.loop.deadlines.set(self.loop.clock.now() + HELLO_WITHIN, self.end)
        self.look: Deadline | None = None
        conn.on_data, conn.on_end, conn.receive = self.data, self.end, self.receive
        self.put(
            {"hello": 1, "ids": [f.unique for f in handover.core.requests.all() if not f.ended][:MOST_IDS]}
        )

    def put(self, message: dict[str, Any]) -> None:
        self.conn.write(orjson.dumps(message) + b"\n")

    def put_socket(self, message: dict[str, Any], sock: socket.socket) -> bool:
        """Send a socket with a message; whether it has gone out."""
        if self.conn.unsent or self.conn.closed:
            return False
        line = orjson.dumps(message) + b"\n"
        try:
            sent = socket.send_fds(self.conn.sock, [line], [sock.fileno()])
        except OSError:
            return False
        self.conn.write(line[sent:])
        return True

    def receive(self, size: int) -> bytes:
        data, came, _, _ = socket.recv_fds(self.conn.sock, size, MOST_CAME)
        self.came.extend(came)
        return data

    def data(self, data: bytes) -> None:
        deadlines = self.loop.deadlines
        deadlines.drop(self.limit)
        self.limit = deadlines.set(self.loop.clock.now() + SILENCE, self.end)
        self.line += data
        *lines, rest = self.line.split(b"\n")
        self.line = rest
        try:
            if len(rest) > MOST_LINE:
                raise ValueError("a line without end")
            for line in lines:
                if not self.conn.closed:
                    self.heard(orjson.loads(line))
            if len(self.came) > MOST_CAME:
                raise ValueError("descriptors without a line")
        except (ValueError, TypeError, KeyError, AttributeError, IndexError, OSError):
            self.handover.core.counters.add("in.link_bad")
            self.end()

    def heard(self, said: dict[str, Any]) -> None:
        if not self.greeted:
            if said["hello"] != 1:
                raise ValueError("another version of this protocol")
            ids = {str(i) for i in said["ids"]}
            self.greeted = True
            self.handover.greeted(self, ids)
            self.tell()
        elif "state" in said:
            state = said["state"]
            holds = {str(w): (float(a), float(b)) for w, (a, b) in state["holds"].items()}
            if not all(a >= 0 and b >= 0 for a, b in holds.values()):
                raise ValueError("what is held is no less than nothing")
            self.sockets, self.readiness = int(state["sockets"]), str(state["readiness"])
            self.held = holds
            self.handover.core.add_event(api.Beside(holds))
            self.handover.changed()
        elif "learned" in said:
            self.handover.core.apply_learned(carried.parse(said["learned"]))
        elif "serving" in said:
            self.serving = True
            published = said.get("published")
            self.published = _identity_from(published) if published is not None else None
            self.put({"learned": carried.collect(self.handover.core.module)})
            self.handover.changed()
        elif "news" in said:
            ask = int(said["ask"])
            self.handover.news_heard(self, said["news"], lambda status: self.put({"told": ask}))
        elif "adopt" in said:
            sock = socket.socket(fileno=self.came.popleft())
            done = self.handover.take(said["adopt"], sock)
            self.put({"adopted" if done else "refused": int(said["ask"])})
        elif "ledger" in said:
            if self.handover.ledger is not None:
                self.handover.ledger.on_ledger_released()
        elif "waits" in said:
            sock = socket.socket(fileno=self.came.popleft())
            done = self.handover.take_waiting(said["waits"], sock)
            self.put({"adopted" if done else "refused": int(said["ask"])})
        elif "adopted" in said:
            self.pending_transfers.pop(int(said["adopted"]))[1].close()
        elif "refused" in said:
            self.take_back(int(said["refused"]))
        elif "told" in said:
            reply, limit = self.asked.pop(int(said["told"]), (None, None))
            self.loop.deadlines.drop(limit)
            if reply is not None:
                reply(204)
        else:
            raise ValueError("no such message")

    def take_back(self, number: int) -> None:
        moved, sock = self.pending_transfers.pop(number)
        if isinstance(moved, WaitingClient):
            self.handover.take_waiting(asdict(moved), sock)
            return
        self.handover.stay.add(moved.wire_id)
        self.handover.take(asdict(moved), sock)

    def ask(self, number: int, news: dict[str, Any], reply: Reply) -> None:
        """Pass a call-back on; it is answered once it has been taken."""

        def too_late() -> None:
            self.asked.pop(number, None)
            reply(503)  # its worker will say it again

        limit = self.loop.deadlines.set(self.loop.clock.now() + NEWS_WITHIN, too_late)
        self.asked[number] = (reply, limit)
        self.put({"news": news, "ask": number})

    def tell(self) -> None:
        """Tell what we hold, where it has changed or was told long ago."""
        now, state = self.loop.clock.now(), self.handover.state()
        if state != self.last_told or now > self.told_at + BEAT:
            self.last_told, self.told_at = state, now
            self.put({"state": state})
        if self is self.handover.successor:
            self.handover.give()
        self.look = self.loop.deadlines.set(now + TELL_EVERY, self.tell)

    def end(self) -> None:
        self.loop.deadlines.drop(self.limit)
        self.loop.deadlines.drop(self.look)
        self.conn.close()
        for number in list(self.pending_transfers):
            self.take_back(number)
        while self.came:
            os.close(self.came.popleft())
        asked, self.asked = self.asked, {}
        for reply, limit in asked.values():
            self.loop.deadlines.drop(limit)
            reply(503)
        self.handover.ended(self)


class LedgerSide(Protocol):
    """The ledger of durable jobs, as it changes hands."""

    def on_ledger_released(self) -> None:
        """Its owner has given it up to us, or has gone."""
        ...

    def release(self) -> list[tuple[WaitingClient, ClientConnection]] | None:
        """Give it up; None: not now."""
        ...

    def attach_client(self, request: Request, edge: ClientConnection) -> None: ...

    def defer_callback(self, news: dict[str, Any], reply: Reply) -> bool:
        """Whether this call-back waits until its jobs have been taken up."""
        ...

    @property
    def released(self) -> bool:
        """Whether we had it, and the process beside us has it or is about to."""
        ...


class Handover:
    """Knows the process that came before us and the one that comes after."""

    def __init__(
        self, loop: Loop, core: Dispatcher, edge: HttpFront, path: str,
        taken: Callable[[dict[str, Any]], bool],
        state: Callable[[], dict[str, Any]], changed: Callable[[], None], gives: Callable[[], bool],
    ) -> None:  # fmt: skip
        self.loop, self.core, self.edge, self.path = loop, core, edge, path
        self.gives = gives  # whether our successor is to have our jobs
        self.stay: set[str] = set()  # jobs that could not go
        self.taken = taken  # whether a call-back is of an id that we know
        self.state, self.changed = state, changed
        self.predecessor: Link | None = None
        self.successor: Link | None = None
        self.strangers: list[Link] = []
        self.asks = 0
        self.ledger: LedgerSide | None = None  # where durable jobs are kept
        self.unsent: list[
            tuple[WaitingClient, ClientConnection]
        ] = []  # whose sockets had no room on the link yet
        self.listener: Listener | None = None
        self.published: Identity | None = None  # the file of our own socket
        self.looks_left = LOOKS
        self.lookup_retry: Deadline | None = None  # when a predecessor is looked for once more
        self.find()

    def find(self) -> None:
        """Look for our predecessor. A file behind which nobody answers may be of one that was killed, or of a
        dying one whose place another is about to take: that other is worth a few looks."""
        self.lookup_retry = None
        conn = self.loop.connect(_short(self.path))
        if conn is not None:
            self.predecessor = Link(self, conn, predecessor=True)
        elif _identity(self.path) is not None:
            self.find_again()

    def find_again(self) -> None:
        self.looks_left -= 1
        if self.looks_left > 0:
            self.lookup_retry = self.loop.deadlines.set(self.loop.clock.now() + LOOK_AGAIN, self.find)

    @property
    def handed_over(self) -> bool:
        """A newer process takes the clients."""
        return self.successor is not None and self.successor.serving

    def serve(self) -> None:
        """We accept clients: whoever comes after us finds us, and our predecessor may go."""
        self.publish()
        if self.predecessor is not None:
            self.predecessor.put({"state": self.state()})  # our readiness is passed on from now on
            self.predecessor.put({"serving": True, "published": self.published})

    def publish(self) -> None:
        """Put our socket where the next process looks for it; by a rename, so that there always is one."""
        own = f"{self.path}.{os.getpid()}"
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(own)  # of a killed process that had our number
            sock.bind(_short(own))
            os.chmod(own, 0o600)  # the folder may be others' too
            sock.listen(8)
            self.published = _identity(own)
            os.rename(own, self.path)
        except OSError:
            sock.close()
            self.core.counters.add("out.link_unpublished")  # we serve, but the next process will not find us
            return
        if self.listener is not None:
            self.listener.close()
        self.listener = Listener(self.loop, sock, self.met)

    def met(self, conn: Connection) -> None:
        if len(self.strangers) >= MOST_STRANGERS:
            conn.close()
            return
        self.strangers.append(Link(self, conn, predecessor=False))

    def greeted(self, link: Link, ids: set[str]) -> None:
        if link in self.strangers:
            self.strangers.remove(link)
            if self.successor is not None:
                link.end()
                return
            self.successor = link
        self.core.peer_request_ids |= ids
        self.changed()

    def ended(self, link: Link) -> None:
        if link in self.strangers:
            self.strangers.remove(link)
            return
        if link is self.predecessor:
            self.predecessor = None
            if not link.greeted and self.listener is None:
                self.find_again()  # it was ending, and never spoke to us
        elif link is self.successor:
            self.successor = None
            unsent, self.unsent = self.unsent, []
            for waits, edge in unsent:
                if self.ledger is not None and not edge.conn.closed:
                    self.ledger.attach_client(rebuild_request(self.core, waits), edge)
            # Whether it still answers there says nothing: one that ends may close its listener last. What
            # counts is whose file stands there. A third process's stays, for that one has the clients.
            if link.serving and (link.published is None or _identity(self.path) in (None, link.published)):
                self.publish()
        else:
            return
        if self.predecessor is None and self.successor is None:
            self.core.peer_request_ids.clear()
        self.core.add_event(api.Beside(gone=True))
        self.changed()

    def give(self) -> None:
        """Hand our successor the jobs that can go to it."""
        if not self.handed_over or not self.gives() or self.successor is None:
            return
        for request in self.core.requests.all():
            edge = self.edge.transferable_connection(request)
            if edge is None or request.wire_id in self.stay:
                continue
            moved = transfer_request(self.core, request)
            if moved is None:
                continue
            edge.set_request(None)
            sock, self.asks = edge.conn.detach(), self.asks + 1
            if not self.successor.put_socket({"adopt": asdict(moved), "ask": self.asks}, sock):
                self.take(asdict(moved), sock)  # there is no room on the link: next time
                return
            self.successor.pending_transfers[self.asks] = (moved, sock)
        self.give_ledger()

    def give_ledger(self) -> None:
        """Hand it over once its jobs can go on there; then their clients, as the link has room."""
        assert self.successor is not None
        if self.ledger is not None and not self.ledger.released:
            waiting = self.ledger.release()
            if waiting is None:
                return
            self.successor.put({"ledger": True})
            self.unsent += waiting
        while self.unsent:
            waits, edge = self.unsent[0]
            if edge.conn.closed:
                self.unsent.pop(0)
                continue
            self.asks += 1
            if not self.successor.put_socket({"waits": asdict(waits), "ask": self.asks}, edge.conn.sock):
                return  # next time
            edge.set_request(None)
            self.successor.pending_transfers[self.asks] = (waits, edge.conn.detach())
            self.unsent.pop(0)

    def take_waiting(self, said: dict[str, Any], sock: socket.socket) -> bool:
        """Take in a client of a durable job from the other, or our own again."""
        edge = self.edge.adopt(sock)
        try:
            if self.ledger is None:
                raise ValueError("no durable jobs here")
            self.ledger.attach_client(rebuild_request(self.core, WaitingClient(**said)), edge)
        except (ValueError, TypeError, AttributeError):
            edge.conn.close()
            return False
        return True

    def take(self, said: dict[str, Any], sock: socket.socket) -> bool:
        """Take in a job that the other hands us, or our own again."""
        edge = self.edge.adopt(sock)
        try:
            request = adopt(self.core, TransferredRequest(**said), edge)
        except (ValueError, TypeError, AttributeError):
            edge.conn.close()  # our descriptor alone: the other holds its own
            return False
        edge.set_request(request)
        self.edge.account_memory(edge)
        return True

    def forward_callback(self, news: dict[str, Any], reply: Reply) -> None:
        """A call-back of an id that we do not know: it may be the other's. Always answered."""
        links = [link for link in (self.predecessor, self.successor) if link is not None and link.greeted]
        self._pass(links, news, reply)

    def news_heard(self, link: Link, news: dict[str, Any], reply: Reply) -> None:
        """The other passes a call-back on to us: if it is not ours, to whoever is beyond us."""
        beyond = self.successor if link.predecessor else self.predecessor
        if self.ledger is not None and self.ledger.defer_callback(news, reply):
            return
        if not link.predecessor and self.ledger is not None and self.ledger.released and not self.taken(news):
            return  # it may be of the ledger that is on its way there: its worker is to say it again
        if self.taken(news) or beyond is None or not beyond.greeted:
            reply(204)
        else:
            self._pass([beyond], news, reply)

    def _pass(self, links: list[Link], news: dict[str, Any], reply: Reply) -> None:
        if not links:
            reply(204)
            return
        left, worst = len(links), 204

        def one(status: int) -> None:
            nonlocal left, worst
            left, worst = left - 1, max(worst, status)
            if not left:
                reply(worst)

        self.core.counters.add("out.news_passed_on")
        for link in links:
            self.asks += 1
            link.ask(self.asks, news, one)


def _short(path: str) -> str:
    """The same path, short enough for a socket's name."""
    if len(os.fsencode(path)) < 100:
        return path
    folder, name = os.path.split(path)
    return f"/proc/self/fd/{_opened(folder)}/{name}"


@functools.cache
def _opened(folder: str) -> int:
    return os.open(folder, os.O_PATH)


def _identity(path: str) -> Identity | None:
    """What tells this file from any that takes its name later; None where there is none."""
    try:
        found = os.lstat(path)
    except OSError:
        return None
    return found.st_dev, found.st_ino, found.st_mtime_ns


def _identity_from(said: Any) -> Identity:
    device, inode, born = (int(x) for x in said)
    return device, inode, born
