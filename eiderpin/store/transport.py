"""Messages between members, over TCP on the event loop.

Each connection carries messages in one direction, from the member that opened it. It begins with `MAGIC` and
a `Hello`; the other end answers with a `Welcome`, which may reject the connection with a reason. Then come
frames: four bytes of length, and a message as MessagePack. Messages that cannot be sent are dropped, since
Raft repeats those that matter.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec

from eiderpin.core.counters import Counters
from eiderpin.core.deadlines import Deadline
from eiderpin.net.connection import Connection
from eiderpin.net.listener import Listener
from eiderpin.net.loop import Loop
from eiderpin.parts.store import parse_address
from eiderpin.store.framing import FrameDecoder, encode_frame
from eiderpin.store.messages import Message

MAGIC = b"EIDRAFT\n"
VERSION = 1
MAX_QUEUED_BYTES = 768 << 10  # waiting to be sent to one member; further messages are dropped
MAX_INCOMING_CONNECTIONS = 16  # also the limit of addresses that are learned from them
HELLO_TIMEOUT_MS = 2000.0
RETRY_MS = (50.0, 1000.0)  # between attempts to connect: first and largest; doubled each time, with jitter


class Hello(msgspec.Struct, array_like=True):
    """The first message on a connection: who connects, and to whom."""

    version: int
    cluster: str
    frm: str
    to: str
    address: str = ""  # where the sender listens, so that a new member can answer it
    disk: str = ""
    has_log: bool = True
    generation: int = 1


class Welcome(msgspec.Struct, array_like=True):
    """The answer to `Hello`; a text in `refused` is the reason why the connection is rejected."""

    version: int
    refused: str = ""
    disk: str = ""
    has_log: bool = True
    replaced: bool = False  # another disk has taken the place of the sender's


_MESSAGES: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)
_HELLO = msgspec.msgpack.Decoder(Hello)
_WELCOME = msgspec.msgpack.Decoder(Welcome)


class OutgoingConnection:
    """The connection on which messages are sent to one member; it is reopened when it ends."""

    def __init__(self, transport: Transport, name: str, peer_address: str) -> None:
        """Start to connect."""
        self.transport, self.name, self.peer_address = transport, name, peer_address
        self.conn: Connection | None = None
        self.is_open = False
        self.retry_delay_ms = RETRY_MS[0]
        self.retry_timer: Deadline | None = None
        self.last_rejection = ""  # the last reason that was logged
        self.connect()

    def connect(self) -> None:
        """Start one attempt to connect."""
        self.retry_timer = None
        conn = self.transport.loop.connect(parse_address(self.peer_address, "a member's address"))
        if conn is None:
            self.schedule_retry()
            return
        self.conn, self.is_open = conn, False
        decoder = FrameDecoder(b"")

        def on_data(received: bytes) -> None:
            try:
                for body in decoder.feed(received):
                    self.handle_welcome(_WELCOME.decode(body))
            except (ValueError, msgspec.MsgspecError):
                conn.close()
                self.handle_disconnect()

        conn.on_open = lambda: conn.write(MAGIC + encode_frame(self.transport.hello(self.name)))
        conn.on_data, conn.on_end = on_data, self.handle_disconnect

    def handle_welcome(self, welcome: Welcome) -> None:
        """Handle the answer to our `Hello`."""
        if welcome.refused:
            if welcome.refused != self.last_rejection:
                self.transport.log_warning(
                    f"member {self.name} at {self.peer_address} refuses us: {welcome.refused}"
                )
            self.last_rejection = welcome.refused
            if welcome.replaced:
                self.transport.on_replaced()
            return  # the peer closes the connection
        self.is_open, self.retry_delay_ms, self.last_rejection = True, RETRY_MS[0], ""
        self.transport.on_peer_hello(self.name, welcome.disk, welcome.has_log)

    def handle_disconnect(self) -> None:
        """Handle the end of the connection."""
        self.conn, self.is_open = None, False
        self.schedule_retry()

    def schedule_retry(self) -> None:
        """Schedule another attempt, after an exponential back-off with jitter."""
        loop = self.transport.loop
        loop.deadlines.drop(self.retry_timer)
        delay_ms = self.retry_delay_ms * self.transport.rng.uniform(0.5, 1.0)
        self.retry_delay_ms = min(RETRY_MS[1], self.retry_delay_ms * 2)
        self.retry_timer = loop.deadlines.set(loop.clock.now() + delay_ms, self.connect)

    def send(self, message: Message) -> None:
        """Send a message, or drop it if there is no connection or too much is queued."""
        if self.conn is None or not self.is_open:
            self.transport.counters.add("store.unsent")
            return
        data = encode_frame(message)
        if len(self.conn.unsent) + len(data) > MAX_QUEUED_BYTES and self.conn.unsent:
            self.transport.counters.add("store.dropped")
            return
        self.conn.write(data)

    def close(self) -> None:
        """Close the connection and stop reconnecting."""
        self.transport.loop.deadlines.drop(self.retry_timer)
        if self.conn is not None:
            self.conn.close()


class Transport:
    """The connections between this member and the others."""

    def __init__(
        self, loop: Loop, counters: Counters, cluster: str, name: str, listen: tuple[str, int],
        on_message: Callable[[Message], None], rng: random.Random, log_warning: Callable[[str], None],
        disk: str = "", generation: int = 1,
    ) -> None:  # fmt: skip
        """Start to listen, without connecting to any member yet.

        Args:
            loop: The event loop.
            counters: Counts dropped and rejected messages and connections.
            cluster: The name of the cluster.
            name: The name of this member.
            listen: The host and port to listen on.
            on_message: Called with each message that is received.
            rng: Draws the jitter of retries.
            log_warning: Writes log lines for operators.
            disk: The id of this member's disk.
            generation: The generation of its cluster.
        """
        self.loop, self.counters, self.cluster, self.name = loop, counters, cluster, name
        self.disk, self.generation = disk, generation
        self.has_log: Callable[[], bool] = lambda: True
        self.on_replaced: Callable[[], None] = lambda: None
        self.is_retired: Callable[[str, str], bool] = lambda name, disk: False
        self.adopt_generation: Callable[[int], None] = lambda generation: None
        self.on_peer_hello: Callable[[str, str, bool], None] = lambda name, disk, has_log: None
        self.on_message, self.rng, self.log_warning = on_message, rng, log_warning
        self.peers: dict[str, OutgoingConnection] = {}
        self.configured_addresses: dict[str, str] = {}  # of the members in the configuration
        self.learned_addresses: dict[str, str] = {}  # of members that have connected to us
        self.incoming: dict[Connection, Hello | None] = {}  # with the Hello, once received
        self.listener = Listener(loop, listen, self.handle_connection)

    def hello(self, to: str) -> Hello:
        """Return our `Hello` to a member."""
        host, port = self.listener.address
        return Hello(
            VERSION, self.cluster, self.name, to, f"{host}:{port}", self.disk, self.has_log(),
            self.generation,
        )  # fmt: skip

    def set_addresses(self, addresses: dict[str, str]) -> None:
        """Set the members that messages may be sent to, in addition to those that have connected to us."""
        self.configured_addresses = addresses
        for conn, hello in list(self.incoming.items()):
            if hello is not None and self.is_retired(hello.frm, hello.disk):
                conn.close()  # it reconnects, and is then notified that it was replaced
        addresses = {**self.learned_addresses, **addresses}
        for name in list(self.peers):
            if addresses.get(name) != self.peers[name].peer_address:
                self.peers.pop(name).close()
        for name, peer_address in addresses.items():
            if name != self.name and name not in self.peers:
                self.peers[name] = OutgoingConnection(self, name, peer_address)

    def send(self, message: Message) -> None:
        """Send a message to the member that it names; it may be lost."""
        peer = self.peers.get(message.to)
        if peer is not None:
            peer.send(message)

    # -- incoming connections

    def handle_connection(self, conn: Connection) -> None:
        """Accept a connection, on which a `Hello` must arrive in time."""
        if len(self.incoming) >= MAX_INCOMING_CONNECTIONS:
            next(iter(self.incoming)).close()
        self.incoming[conn] = None
        decoder, has_hello = FrameDecoder(MAGIC), False
        hello_deadline = self.loop.deadlines.set(self.loop.clock.now() + HELLO_TIMEOUT_MS, conn.close)

        def on_data(received: bytes) -> None:
            nonlocal has_hello
            try:
                for body in decoder.feed(received):
                    if has_hello:
                        self.on_message(_MESSAGES.decode(body))
                        continue
                    hello = _HELLO.decode(body)
                    reason = self.rejection_reason(hello)
                    has_hello = True
                    self.incoming[conn] = hello
                    if not reason:
                        self.register_peer(hello)
                    self.loop.deadlines.drop(hello_deadline)
                    replaced = self.is_retired(hello.frm, hello.disk)
                    conn.write(encode_frame(Welcome(VERSION, reason, self.disk, self.has_log(), replaced)))
                    if reason:
                        self.counters.add("store.refused")
                        conn.on_data = _discard_data
                        conn.close_when_sent()
                        return
            except (ValueError, msgspec.MsgspecError) as error:
                self.counters.add("store.bad")
                self.log_warning(f"a peer's connection is closed: {error}")
                conn.close()

        def on_closed() -> None:
            self.loop.deadlines.drop(hello_deadline)
            self.incoming.pop(conn, None)

        conn.on_data, conn.on_closed = on_data, on_closed

    def register_peer(self, hello: Hello) -> None:
        """Learn the address of a member that has connected, so that it can be answered.

        It may not be in our configuration yet, or not any more.
        """
        self.on_peer_hello(hello.frm, hello.disk, hello.has_log)
        if not hello.address or self.learned_addresses.get(hello.frm) == hello.address:
            return
        try:
            parse_address(hello.address, "its address")
        except ValueError:
            return
        self.learned_addresses.pop(hello.frm, None)
        while len(self.learned_addresses) >= MAX_INCOMING_CONNECTIONS:
            del self.learned_addresses[next(iter(self.learned_addresses))]
        self.learned_addresses[hello.frm] = hello.address
        self.set_addresses(self.configured_addresses)

    def rejection_reason(self, hello: Hello) -> str:
        """Return why a connection is rejected, or an empty string."""
        if hello.version > VERSION:
            return f"its protocol is version {hello.version}; here it is {VERSION}"
        if hello.cluster != self.cluster:
            return f"it is of cluster {hello.cluster}; here is {self.cluster}"
        if hello.to != self.name:
            return f"it looks for {hello.to}; here is {self.name}"
        if self.is_retired(hello.frm, hello.disk):
            return f"another disk has the name {hello.frm} now"
        if hello.generation > self.generation and not self.has_log():
            # Without a log, this member holds nothing of another generation.
            self.adopt_generation(hello.generation)
        elif hello.generation != self.generation and (hello.has_log or hello.generation > self.generation):
            return f"it is of generation {hello.generation} of the cluster; here is {self.generation}"
        return ""

    def close(self) -> None:
        """Close all connections and stop listening."""
        for peer in self.peers.values():
            peer.close()
        for conn in list(self.incoming):
            conn.close()
        self.listener.close()


def _discard_data(data: bytes) -> None:
    """Ignore data on a connection that has been rejected."""
