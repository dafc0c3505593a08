"""What one Gearman peer may use: memory, turns of the loop, connections."""

from __future__ import annotations

import contextlib

from eiderpin.core.slot_table import SlotTable
from eiderpin.net import gearman_connection, gearman_front
from eiderpin.net.gearman import RESPONSE, Kind, Packet, Reader, pack
from eiderpin.net.gearman_jobs import JOBS_SHARE
from eiderpin.policy.memory_budget import SMALL_HOLDING_BYTES
from tests.crossing import Harness, Peer, running_harness

REQ = b"\0REQ"


def packets(peer: Peer) -> list[Packet]:
    """Return the packets that a peer has received so far."""
    return [item for item in Reader(RESPONSE).feed(peer.read_available()) if isinstance(item, Packet)]


def kinds(peer: Peer) -> list[Kind]:
    """Return the kinds of the packets that a peer has received so far."""
    return [packet.kind for packet in packets(peer)]


def send_all(harness: Harness, peer: Peer, data: bytes) -> None:
    """Send more than the kernel takes at once, while the dispatcher runs."""
    while data:
        try:
            data = data[peer.sock.send(data) :]
        except BlockingIOError:
            harness.run_turns()


def submit(kind: Kind, unique: bytes, body: bytes) -> bytes:
    """Return a packet that submits a job."""
    return pack(kind, b"time-lookup", unique, body, magic=REQ)


def test_jobs_beyond_the_memory_are_rejected_and_others_are_still_taken() -> None:
    """All bodies were kept: 900 jobs of 60,000 bytes took 78 MB at a limit of 64 MB."""
    with running_harness(workers=0, gearman=True, limits={"sockets": 1024, "memory_mb": 16}) as harness:
        client, front = harness.client("gearman"), harness.service.gearman
        assert front is not None
        client.send(pack(Kind.OPTION_REQ, b"exceptions", magic=REQ))
        for number in range(60):
            send_all(harness, client, submit(Kind.SUBMIT_JOB, b"j%d" % number, bytes(60_000)))
        send_all(harness, client, submit(Kind.SUBMIT_JOB_BG, b"b", bytes(60_000)))
        harness.run_until(lambda: Kind.ERROR in kinds(client), "the refusal of the background job")
        received = kinds(client)
        taken = harness.core.outstanding
        assert received.count(Kind.JOB_CREATED) == 60  # each submission is confirmed, in order
        assert received.count(Kind.WORK_FAIL) == received.count(Kind.WORK_EXCEPTION) == 60 - taken
        assert 20 < taken < 60
        assert front.jobs.held_bytes <= JOBS_SHARE * harness.service.memory.limit_bytes
        client.close()
        harness.run_until(lambda: not harness.core.outstanding, "the jobs to be abandoned")
        assert harness.service.memory.held_bytes == 0


def test_a_background_job_that_finds_no_room_among_the_requests_is_not_confirmed() -> None:
    """It got JOB_CREATED and was rejected, which nobody was told: the job was lost."""
    with running_harness(workers=0, gearman=True) as harness:
        harness.core.requests = SlotTable(1)
        client = harness.client("gearman")
        received: list[Kind] = []

        def is_answered() -> bool:
            received.extend(kinds(client))
            return len(received) == 4

        for number, kind in enumerate((Kind.SUBMIT_JOB, Kind.SUBMIT_JOB_BG, Kind.SUBMIT_JOB)):
            client.send(submit(kind, b"j%d" % number, b""))
        harness.run_until(is_answered, "the replies")
        assert received == [Kind.JOB_CREATED, Kind.ERROR, Kind.JOB_CREATED, Kind.WORK_FAIL]


def test_a_flood_of_packets_is_handled_in_many_turns() -> None:
    """Thousands of packets were handled in one turn, and all others waited for that."""
    with running_harness(gearman=True) as harness:
        client = harness.client("gearman")
        send_all(harness, client, pack(Kind.ECHO_REQ, b"e", magic=REQ) * 3000)
        harness.run_turns(5)
        counted = harness.counter_value("in.gearman_packets")
        assert 0 < counted <= 5 * gearman_connection.MAX_ITEMS_PER_TURN
        harness.run_until(lambda: kinds(client).count(Kind.ECHO_RES) == 3000, "all replies")


def test_input_waits_while_replies_are_not_read() -> None:
    """Replies to a peer that reads nothing grew to 1 MB on each connection."""
    with running_harness(gearman=True) as harness:
        client = harness.client("gearman")
        for _ in range(400):
            with contextlib.suppress(BlockingIOError):
                client.sock.send(pack(Kind.ECHO_REQ, bytes(60_000), magic=REQ))
            harness.run_turns(wait=0.0)
        front = harness.service.gearman
        assert front is not None
        (connection,) = front.connections.all()
        most = gearman_connection.MAX_UNREAD_BYTES + 2 * 65_536
        assert SMALL_HOLDING_BYTES < connection.held_bytes <= 2 * most
        assert len(connection.conn.unsent) <= most
        harness.advance_clock(gearman_connection.UNREAD_REPLY_TIMEOUT_MS + 100)
        assert not len(front.connections)


def test_peers_that_stop_inside_a_packet_do_not_keep_others_out() -> None:
    """They had every connection that the front may have, for as long as they liked."""
    with running_harness(gearman=True, limits={"sockets": 96, "memory_mb": 64}) as harness:
        front = harness.service.gearman
        assert front is not None
        half = submit(Kind.SUBMIT_JOB, b"half", bytes(1000))[:-1]
        for _ in range(front.max_connections):
            harness.client("gearman").send(half)
        harness.run_until(lambda: len(front.connections) == front.max_connections, "the connections")
        harness.run_turns(5)
        harness.advance_clock(gearman_front.IDLE_AFTER_MS + 50)
        other = harness.client("gearman")
        other.send(pack(Kind.ECHO_REQ, b"hello", magic=REQ))
        harness.run_until(lambda: kinds(other) == [Kind.ECHO_RES], "the answer to another client")
        harness.advance_clock(gearman_connection.PACKET_TIMEOUT_MS)
        assert len(front.connections) == 1


def test_a_connection_offers_a_limited_number_of_functions() -> None:
    """Ever new names of 60 KB took 1 GB in four seconds."""
    with running_harness(gearman=True) as harness:
        worker = harness.client("gearman")
        long_name = pack(Kind.CAN_DO, b"f" * 60_000, magic=REQ)
        names = b"".join(pack(Kind.CAN_DO, b"f%d" % number, magic=REQ) for number in range(200))
        send_all(harness, worker, long_name + names)
        refused = 1 + 200 - gearman_connection.MAX_ABILITIES
        harness.run_until(lambda: kinds(worker).count(Kind.ERROR) == refused, "the errors")
        front = harness.service.gearman
        assert front is not None
        assert [len(c.abilities) for c in front.connections.all()] == [gearman_connection.MAX_ABILITIES]
