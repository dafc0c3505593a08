"""The attacks: what a hostile client sends on each of its connections, and how it behaves there.

An attack is data. `engine` carries it out.
"""

from __future__ import annotations

import itertools
import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from eiderpin.net.gearman import Kind, pack

Payloads = Callable[[int, int], Iterator[bytes]]

PIECE_BYTES = 16 * 1024  # of a payload that has no structure
BODY_BYTES = 64 * 1024  # the longest body that is accepted
SHORT_FIELDS = 99  # one less than a head may hold
REQUEST_BYTES = struct.Struct(">4sII").size


@dataclass(slots=True, frozen=True)
class Attack:
    """How hostile clients behave.

    `payloads` gets the number of a connection and how often it has been opened, and returns the pieces that
    are sent on it, one after the other; they may be endless.
    """

    name: str
    payloads: Payloads
    reads: bool = True  # whether anything is read of the answers
    closes: bool = False  # whether the connection is closed after the last piece, else it is held open
    piece_seconds: float = 0.0  # from one piece to the next
    front: str = "edge"  # the listener that is attacked, by its name in the log's first event


def _head(cls: str, identity: str, length: int, fields: str = "") -> bytes:
    return (
        f"POST /{cls} HTTP/1.1\r\nHost: h\r\nReq-Id: {identity}\r\n{fields}Content-Length: {length}\r\n\r\n"
    ).encode()


def _identity(connection: int, opened: int, number: int = 0) -> str:
    return f"hostile-{connection}-{opened}-{number}"


def _half_body(connection: int, opened: int) -> Iterator[bytes]:
    """A large request that stops shortly before its end."""
    yield _head("time-lookup", _identity(connection, opened), BODY_BYTES)
    yield from itertools.repeat(b"x" * PIECE_BYTES, 3)
    yield b"x" * (PIECE_BYTES - 16)


def _slow_body(connection: int, opened: int) -> Iterator[bytes]:
    """A large request in many small pieces."""
    yield _head("time-lookup", _identity(connection, opened), BODY_BYTES)
    yield from itertools.repeat(b"x" * 1000, BODY_BYTES // 1000)


def _short_fields(connection: int, opened: int) -> Iterator[bytes]:
    """A head of very many short fields that does not end."""
    yield b"POST /time-lookup HTTP/1.1\r\n"
    yield b"".join(b"a%d: %d\r\n" % (number, number) for number in range(SHORT_FIELDS))


def _short_fields_and_body(connection: int, opened: int) -> Iterator[bytes]:
    """A head of very many short fields, and most of a body."""
    fields = "".join(f"a{number}: {number}\r\n" for number in range(SHORT_FIELDS - 3))
    yield _head("time-lookup", _identity(connection, opened), BODY_BYTES, fields)
    yield b"x" * (BODY_BYTES - 16)


def _long_head(connection: int, opened: int) -> Iterator[bytes]:
    """A head just below the limit that does not end: long fields, and one that is not complete."""
    yield b"POST /time-lookup HTTP/1.1\r\n"
    for number in range(3):
        yield b"a%d: " % number + b"v" * 8000 + b"\r\n"
    yield b"b: " + b"v" * 7000


def _slow_head(connection: int, opened: int) -> Iterator[bytes]:
    """A head that comes one byte at a time."""
    yield from (bytes([byte]) for byte in _head("time-lookup", _identity(connection, opened), 0)[:-2])


def _long_trailer(connection: int, opened: int) -> Iterator[bytes]:
    """A complete chunked body, then a trailer field that does not end."""
    yield b"POST /time-lookup HTTP/1.1\r\nReq-Id: " + _identity(connection, opened).encode()
    yield b"\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nx: "
    yield from itertools.repeat(b"t" * PIECE_BYTES, 31)


def _tiny_chunks(connection: int, opened: int) -> Iterator[bytes]:
    """A body in chunks of one byte, with extensions."""
    yield b"POST /time-lookup HTTP/1.1\r\nReq-Id: " + _identity(connection, opened).encode()
    yield b"\r\nTransfer-Encoding: chunked\r\n\r\n"
    yield from itertools.repeat(b"1;e=f\r\nx\r\n" * 1000, 40)


def _health_unread(connection: int, opened: int) -> Iterator[bytes]:
    """Health checks without end whose answers are not read."""
    yield from itertools.repeat(b"GET /_health HTTP/1.1\r\n\r\n" * 8)


def _jobs_unread(connection: int, opened: int) -> Iterator[bytes]:
    """Jobs one after the other whose results are not read."""
    for number in itertools.count():
        yield _head("time-lookup", _identity(connection, opened, number), 1000) + b"x" * 1000


def _bodies_behind_each_other(connection: int, opened: int) -> Iterator[bytes]:
    """Several large requests at once."""
    for number in range(8):
        yield _head("time-lookup", _identity(connection, opened, number), BODY_BYTES)
        yield b"x" * BODY_BYTES


def _leaves_with_bodies(connection: int, opened: int) -> Iterator[bytes]:
    """A request with much behind it that is never read, since the client closes."""
    yield _head("result-post", _identity(connection, opened), 4) + b"body" + b"x" * (8 * BODY_BYTES)


def _new_ids(connection: int, opened: int) -> Iterator[bytes]:
    """Small jobs under ever new ids and tenants, with the longest deadline, one at a time."""
    for number in itertools.count():
        fields = f"Req-Deadline-Ms: 600000\r\nReq-Owner: {number}\r\nReq-Key: {number}\r\n"
        yield _head("time-lookup", _identity(connection, opened, number), 0, fields)


def _leaves_at_once(connection: int, opened: int) -> Iterator[bytes]:
    """A job under a new id whose client leaves immediately."""
    yield _head("result-post", _identity(connection, opened), 0, "Req-Deadline-Ms: 600000\r\n")


def _unsound(connection: int, opened: int) -> Iterator[bytes]:
    """A request that is answered with an error."""
    yield b"POST /time-lookup HTTP/1.1\r\nReq-Id: ?\r\nContent-Length: 0\r\n\r\n"


def _unknown_callbacks(connection: int, opened: int) -> Iterator[bytes]:
    """Callbacks for requests that nobody knows, eight at a time."""
    for number in itertools.count():
        body = b'{"id":"none-%d-%d","from":"w%d","state":"done","result":"x"}' % (connection, number, number)
        yield (b"POST /_jobs/news HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body) + body) * 8


def _sends_after_error(connection: int, opened: int) -> Iterator[bytes]:
    """Input without end after a request that is answered with an error."""
    yield b"POST /none HTTP/1.1\r\nContent-Length: 0\r\n\r\n"
    yield from itertools.repeat(b"x" * PIECE_BYTES)


def _silent(connection: int, opened: int) -> Iterator[bytes]:
    """Nothing."""
    return iter(())


def _packet(kind: Kind, *args: bytes) -> bytes:
    return pack(kind, *args, magic=b"\0REQ")


def _gearman_echo(connection: int, opened: int) -> Iterator[bytes]:
    """Large echoes that are not read."""
    yield from itertools.repeat(_packet(Kind.ECHO_REQ, b"e" * BODY_BYTES))


def _gearman_text(connection: int, opened: int) -> Iterator[bytes]:
    """Text commands without end."""
    yield from itertools.repeat(b"workers\nstatus\n" * 500)


def _gearman_abilities(connection: int, opened: int) -> Iterator[bytes]:
    """Functions under ever new long names."""
    for number in itertools.count():
        yield _packet(Kind.CAN_DO, b"%d-" % number + b"f" * 60_000)


def _gearman_bad(connection: int, opened: int) -> Iterator[bytes]:
    """Small packets that are answered with an error."""
    yield from itertools.repeat(_packet(Kind.OPTION_REQ, b"none") * 500)


def _gearman_background(connection: int, opened: int) -> Iterator[bytes]:
    """Large background jobs under ever new ids."""
    for number in itertools.count():
        identity = _identity(connection, opened, number).encode()
        yield _packet(Kind.SUBMIT_JOB_BG, b"time-lookup", identity, b"x" * 60_000)


def _gearman_jobs(connection: int, opened: int) -> Iterator[bytes]:
    """Large jobs under ever new ids, nine hundred at once."""
    for number in range(900):
        identity = _identity(connection, opened, number).encode()
        yield _packet(Kind.SUBMIT_JOB, b"time-lookup", identity, b"x" * 60_000)


def _gearman_small_jobs(connection: int, opened: int) -> Iterator[bytes]:
    """Small jobs under ever new long ids, without end."""
    for number in itertools.count():
        identity = _identity(connection, opened, number).encode() + b"i" * 2000
        yield _packet(Kind.SUBMIT_JOB_BG, b"time-lookup", identity, b"")


def _gearman_half_packet(connection: int, opened: int) -> Iterator[bytes]:
    """A large packet that stops shortly before its end."""
    yield _packet(Kind.SUBMIT_JOB, b"time-lookup", b"half", b"x" * 60_000)[:-16]


def _gearman_worker(connection: int, opened: int) -> Iterator[bytes]:
    """A worker that leaves at once."""
    yield _packet(Kind.CAN_DO, b"time-lookup")


def _management_line(connection: int, opened: int) -> Iterator[bytes]:
    """A line that does not end."""
    yield from itertools.repeat(b"x" * PIECE_BYTES)


def _management_call(connection: int, opened: int) -> Iterator[bytes]:
    """Calls without end."""
    yield b"show-stat\n"


ATTACKS = {
    attack.name: attack
    for attack in (
        Attack("half-body", _half_body),
        Attack("slow-body", _slow_body, piece_seconds=0.05),
        Attack("short-fields", _short_fields),
        Attack("short-fields-and-body", _short_fields_and_body),
        Attack("long-head", _long_head),
        Attack("slow-head", _slow_head, piece_seconds=0.05),
        Attack("long-trailer", _long_trailer),
        Attack("tiny-chunks", _tiny_chunks),
        Attack("health-unread", _health_unread, reads=False),
        Attack("jobs-unread", _jobs_unread, reads=False),
        Attack("bodies-behind-each-other", _bodies_behind_each_other),
        Attack("leaves-with-bodies", _leaves_with_bodies, closes=True),
        Attack("new-ids", _new_ids),
        Attack("leaves-at-once", _leaves_at_once, closes=True),
        Attack("unsound", _unsound),
        Attack("unknown-callbacks", _unknown_callbacks),
        Attack("sends-after-error", _sends_after_error, reads=False),
        Attack("silent", _silent),
        Attack("gearman-echo", _gearman_echo, reads=False, front="gearman"),
        Attack("gearman-text", _gearman_text, front="gearman"),
        Attack("gearman-text-unread", _gearman_text, reads=False, front="gearman"),
        Attack("gearman-abilities", _gearman_abilities, front="gearman"),
        Attack("gearman-bad", _gearman_bad, front="gearman"),
        Attack("gearman-background", _gearman_background, front="gearman"),
        Attack("gearman-jobs", _gearman_jobs, front="gearman"),
        Attack("gearman-small-jobs", _gearman_small_jobs, front="gearman"),
        Attack("gearman-half-packet", _gearman_half_packet, front="gearman"),
        Attack("gearman-worker", _gearman_worker, closes=True, front="gearman"),
        Attack("management-line", _management_line, front="management"),
        Attack("management-call", _management_call, front="management"),
        Attack("agent-check-silent", _silent, reads=False, front="agent-check"),
    )
}
