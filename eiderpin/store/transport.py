"""Messages between members, over TCP on the program's loop.

A connection carries one way: who has something to say connects. It begins with `MAGIC` and a `Hello`; the
other end answers with a `Welcome`, which may be a refusal and its reason. Then come frames: four bytes of
length, and a message as MessagePack. What can't be sent is dropped, as a network may: Raft sends again what
matters.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec

from eiderpin.core.counters import Counters
from eiderpin.core.deadlines import Deadline
from eiderpin.net.loop import Connection, Listener, Loop
from eiderpin.parts.store import parse_address
from eiderpin.store.framing import FrameDecoder, encode_frame
from eiderpin.store.messages import Message

MAGIC = b"EIDRAFT\n"
VERSION = 1
MOST_QUEUED = 768 << 10  # bytes that wait for one peer; more is dropped
MOST_PEERS = 16  # connections that come in
HELLO_WITHIN = 2000.0  # ms
RETRY = (50.0, 1000.0)  # ms between tries to connect: from, to; doubled, with jitter


class Hello(msgspec.Struct, array_like=True):
    """Who connects, and to whom."""

    version: int
    cluster: str
    frm: str
    to: str
    address: str = ""  # where it listens itself: a new member knows nobody, and has to answer
    disk: str = ""
    has_log: bool = True
    generation: int = 1


class Welcome(msgspec.Struct, array_like=True):
    """`refused`: why not; empty: go on."""

    version: int
    refused: str = ""
    disk: str = ""
    has_log: bool = True
    replaced: bool = False  # another disk has its name


_MESSAGES: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)
_HELLO = msgspec.msgpack.Decoder(Hello)
_WELCOME = msgspec.msgpack.Decoder(Welcome)


class Outgoing:
    """Our way to one peer."""

    def __init__(self, transport: Transport, name: str, where: str) -> None:
        """Begin to connect."""
        self.transport, self.name, self.where = transport, name, where
        self.conn: Connection | None = None
        self.open = False
        self.wait = RETRY[0]
        self.again: Deadline | None = None
        self.refused = ""  # why, as last told
        self.connect()

    def connect(self) -> None:
        """Try once."""
        self.again = None
        conn = self.transport.loop.connect(parse_address(self.where, "a member's address"))
        if conn is None:
            self.later()
            return
        self.conn, self.open = conn, False
        frames = FrameDecoder(b"")

        def data(got: bytes) -> None:
            try:
                for body in frames.feed(got):
                    self.welcomed(_WELCOME.decode(body))
            except (ValueError, msgspec.MsgspecError):
                conn.close()
                self.ended()

        conn.on_open = lambda: conn.write(MAGIC + encode_frame(self.transport.hello(self.name)))
        conn.on_data, conn.on_end = data, self.ended

    def welcomed(self, said: Welcome) -> None:
        """It has answered our greeting."""
        if said.refused:
            if said.refused != self.refused:
                self.transport.warn(f"member {self.name} at {self.where} refuses us: {said.refused}")
            self.refused = said.refused
            if said.replaced:
                self.transport.on_replaced()
            return  # it closes
        self.open, self.wait, self.refused = True, RETRY[0], ""
        self.transport.met_disk(self.name, said.disk, said.has_log)

    def ended(self) -> None:
        """The connection has ended."""
        self.conn, self.open = None, False
        self.later()

    def later(self) -> None:
        """Try again after a wait that grows."""
        loop = self.transport.loop
        loop.deadlines.drop(self.again)
        wait = self.wait * self.transport.rng.uniform(0.5, 1.0)
        self.wait = min(RETRY[1], self.wait * 2)
        self.again = loop.deadlines.set(loop.clock.now() + wait, self.connect)

    def send(self, message: Message) -> None:
        """Send a message, or drop it where it cannot go."""
        if self.conn is None or not self.open:
            self.transport.counters.add("store.unsent")
            return
        data = encode_frame(message)
        if len(self.conn.unsent) + len(data) > MOST_QUEUED and self.conn.unsent:
            self.transport.counters.add("store.dropped")
            return
        self.conn.write(data)

    def close(self) -> None:
        """End it for good."""
        self.transport.loop.deadlines.drop(self.again)
        if self.conn is not None:
            self.conn.close()


class Transport:
    """The connections between this member and the others."""

    def __init__(
        self, loop: Loop, counters: Counters, cluster: str, name: str, listen: tuple[str, int],
        heard: Callable[[Message], None], rng: random.Random, warn: Callable[[str], None],
        disk: str = "", generation: int = 1,
    ) -> None:  # fmt: skip
        """Listen; nobody is connected to yet."""
        self.loop, self.counters, self.cluster, self.name = loop, counters, cluster, name
        self.disk, self.generation = disk, generation
        self.has_log: Callable[[], bool] = lambda: True
        self.on_replaced: Callable[[], None] = lambda: None
        self.is_retired: Callable[[str, str], bool] = lambda name, disk: False
        self.adopt: Callable[[int], None] = lambda generation: None
        self.met_disk: Callable[[str, str, bool], None] = lambda name, disk, has_log: None
        self.heard, self.rng, self.warn = heard, rng, warn
        self.peers: dict[str, Outgoing] = {}
        self.named: dict[str, str] = {}  # by the configuration
        self.met: dict[str, str] = {}  # those who have come to us
        self.coming: dict[Connection, Hello | None] = {}  # and what it greeted with
        self.listener = Listener(loop, listen, self.taken)

    def hello(self, to: str) -> Hello:
        """How we greet a member."""
        host, port = self.listener.address
        return Hello(
            VERSION, self.cluster, self.name, to, f"{host}:{port}", self.disk, self.has_log(),
            self.generation,
        )  # fmt: skip

    def members(self, addresses: dict[str, str]) -> None:
        """Whom we may have to send to, beside those who have come to us."""
        self.named = addresses
        for conn, hello in list(self.coming.items()):
            if hello is not None and self.is_retired(hello.frm, hello.disk):
                conn.close()  # it comes again, and is told why it is refused
        addresses = {**self.met, **addresses}
        for name in list(self.peers):
            if addresses.get(name) != self.peers[name].where:
                self.peers.pop(name).close()
        for name, where in addresses.items():
            if name != self.name and name not in self.peers:
                self.peers[name] = Outgoing(self, name, where)

    def send(self, message: Message) -> None:
        """Send a message to whom it names; it may be lost."""
        peer = self.peers.get(message.to)
        if peer is not None:
            peer.send(message)

    # -- those who come to us

    def taken(self, conn: Connection) -> None:
        """A connection has come in: it must greet us in time."""
        if len(self.coming) >= MOST_PEERS:
            next(iter(self.coming)).close()
        self.coming[conn] = None
        frames, greeted = FrameDecoder(MAGIC), False
        limit = self.loop.deadlines.set(self.loop.clock.now() + HELLO_WITHIN, conn.close)

        def data(got: bytes) -> None:
            nonlocal greeted
            try:
                for body in frames.feed(got):
                    if greeted:
                        self.heard(_MESSAGES.decode(body))
                        continue
                    hello = _HELLO.decode(body)
                    why = self.refusal(hello)
                    greeted = True
                    self.coming[conn] = hello
                    if not why:
                        self.greet(hello)
                    self.loop.deadlines.drop(limit)
                    replaced = self.is_retired(hello.frm, hello.disk)
                    conn.write(encode_frame(Welcome(VERSION, why, self.disk, self.has_log(), replaced)))
                    if why:
                        self.counters.add("store.refused")
                        conn.on_data = _ignore
                        conn.close_when_sent()
                        return
            except (ValueError, msgspec.MsgspecError) as error:
                self.counters.add("store.bad")
                self.warn(f"a peer's connection is closed: {error}")
                conn.close()

        def closed() -> None:
            self.loop.deadlines.drop(limit)
            self.coming.pop(conn, None)

        conn.on_data, conn.on_closed = data, closed

    def greet(self, hello: Hello) -> None:
        """Whoever comes is to have an answer, also one that we don't know, not yet or not any more."""
        self.met_disk(hello.frm, hello.disk, hello.has_log)
        if not hello.address or self.met.get(hello.frm) == hello.address:
            return
        try:
            parse_address(hello.address, "its address")
        except ValueError:
            return
        self.met.pop(hello.frm, None)
        while len(self.met) >= MOST_PEERS:
            del self.met[next(iter(self.met))]
        self.met[hello.frm] = hello.address
        self.members(self.named)

    def refusal(self, hello: Hello) -> str:
        """Why we don't talk with it; empty: we do."""
        if hello.version > VERSION:
            return f"its protocol is version {hello.version}; here it is {VERSION}"
        if hello.cluster != self.cluster:
            return f"it is of cluster {hello.cluster}; here is {self.cluster}"
        if hello.to != self.name:
            return f"it looks for {hello.to}; here is {self.name}"
        if self.is_retired(hello.frm, hello.disk):
            return f"another disk has the name {hello.frm} now"
        if hello.generation > self.generation and not self.has_log():
            self.adopt(hello.generation)  # we bring nothing of another one
        elif hello.generation != self.generation and (hello.has_log or hello.generation > self.generation):
            return f"it is of generation {hello.generation} of the cluster; here is {self.generation}"
        return ""

    def close(self) -> None:
        """End all of it."""
        for peer in self.peers.values():
            peer.close()
        for conn in list(self.coming):
            conn.close()
        self.listener.close()


def _ignore(data: bytes) -> None:
    """It has been refused."""
