"""System calls that fail in the ways that Linux documents: every request has one final answer, what must not
run twice does not, and no failure that lasts makes a busy loop or takes a descriptor with it.

Faults are put below the program's own sockets, by call and by whose connection it is; the peers' calls work.
"""

from __future__ import annotations

import contextlib
import errno
import json
import os
import signal
import socket
import subprocess
import sys
import unittest
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any
from unittest import mock

from eiderpin.net import loop as loops
from tests.crossing import Peer, Stage, http, job, staged, to_worker, told
from tests.standins import ROOT, HttpWorker, http_call, running, wait_for

CLASSES = ("time-lookup", "result-post")
SHORTAGES = (errno.ENOBUFS, errno.ENOMEM)
NO_ROOM_TO_ACCEPT = (*SHORTAGES, errno.EMFILE, errno.ENFILE)
# accept(2): errors that are already pending on the new connection are told as the call's own.
PENDING_ON_ACCEPT = (
    errno.ECONNABORTED, errno.ENETDOWN, errno.EPROTO, errno.ENOPROTOOPT, errno.EHOSTDOWN, errno.ENONET,
    errno.EHOSTUNREACH, errno.EOPNOTSUPP, errno.ENETUNREACH, errno.EPERM,
)  # fmt: skip
OUR_OWN = (*NO_ROOM_TO_ACCEPT, errno.EADDRNOTAVAIL, errno.EACCES)
ITS_ADDRESS = (errno.ECONNREFUSED, errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ETIMEDOUT)


class Faults:
    """Makes calls on the program's own sockets fail. `calls` counts all of them by name."""

    def __init__(self, stage: Stage) -> None:
        self.stage = stage
        self.calls: Counter[str] = Counter()
        self.failing: dict[
            str, Callable[[socket.socket], int]
        ] = {}  # call to its errno for a socket; 0: none

    def fail(
        self, call: str, number: int, times: int, which: Callable[[Any], bool] = lambda conn: True
    ) -> None:
        """Let the next `times` of these calls fail, on those connections that `which` names."""
        left = times

        def decide(sock: socket.socket) -> int:
            nonlocal left
            conn = self.connection_of(sock)
            if left <= 0 or (conn is not None and not which(conn)):
                return 0
            left -= 1
            return number

        self.failing[call] = decide

    def connection_of(self, sock: socket.socket) -> Any:
        return next((c for c in self.stage.loop.connections.all() if c.sock is sock), None)

    def is_ours(self, call: str, sock: socket.socket) -> bool:
        if call == "accept":
            return sock is self.stage.service.edge.listener.sock
        return call == "connect_ex" or self.connection_of(sock) is not None

    def wrapped(self, call: str, original: Callable[..., Any]) -> Callable[..., Any]:
        def wrapper(sock: socket.socket, *args: Any) -> Any:
            if not self.is_ours(call, sock):
                return original(sock, *args)
            self.calls[call] += 1
            number = self.failing.get(call, lambda sock: 0)(sock)
            if number and call == "connect_ex":
                if number == errno.EINTR:
                    original(sock, *args)  # interrupted, it goes on by itself
                return number
            if number:
                raise OSError(number, call)
            return original(sock, *args)

        return wrapper

    @contextlib.contextmanager
    def installed(self) -> Iterator[None]:
        with contextlib.ExitStack() as stack:
            for call in ("accept", "recv", "recv_into", "send", "connect_ex"):
                wrapper = self.wrapped(call, getattr(socket.socket, call))
                stack.enter_context(mock.patch.object(socket.socket, call, wrapper, create=True))
            yield


@contextlib.contextmanager
def faulty(workers: int = 2, **more: Any) -> Iterator[tuple[Stage, Faults]]:
    with staged(workers, **more) as stage:
        faults = Faults(stage)
        with faults.installed():
            yield stage, faults


def to_client(conn: Any) -> bool:
    return not to_worker(conn)


def ask(stage: Stage, cls: str, request_id: str = "a") -> Peer:
    client = stage.client()
    client.say(job(cls, request_id))
    return client


def run(stage: Stage, client: Peer, request_id: str = "a") -> bytes:
    """Let the job run wherever it begins, and return what its client got within 2 s."""
    done: set[str] = set()
    for _ in range(200):
        stage.pass_time(10)
        stage.turn(2, wait=0.5)
        for worker in stage.workers:
            if request_id in worker.begun() and request_id not in done:
                done.add(request_id)
                for peer in worker.peers:
                    if not peer.ended and f"Req-Id: {request_id}".encode() in peer.got:
                        peer.say(http(202))
                stage.client().say(told(request_id, worker.name, "done", result="ok"))
        if client.look():
            break
    return client.got


class Shortages(unittest.TestCase):
    """ENOBUFS and ENOMEM say nothing of the connection: the call is made again a little later."""

    def test_on_reads_and_writes_nobody_notices(self) -> None:
        for cls in CLASSES:
            for number in SHORTAGES:
                for call, which in (
                    ("recv", to_client), ("recv", to_worker), ("send", to_client), ("send", to_worker),
                ):  # fmt: skip
                    with (
                        self.subTest(cls=cls, errno=errno.errorcode[number], call=call, which=which.__name__),
                        faulty() as (stage, faults),
                    ):
                        faults.fail(call, number, 4, which)
                        client = ask(stage, cls)
                        self.assertIn(b"200 OK", run(stage, client))
                        self.assertEqual(stage.begun(), ["a"])

    def test_while_they_last_the_loop_does_not_spin(self) -> None:
        for call in ("recv", "send"):
            with self.subTest(call=call), faulty() as (stage, faults):
                client = ask(stage, "time-lookup")
                stage.until(lambda s=stage: s.core.outstanding, "the job")
                faults.fail(call, errno.ENOBUFS, 10**6, to_worker if call == "send" else to_client)
                client.say(b"POST /time")
                before = faults.calls[call]
                for _ in range(20):
                    stage.pass_time(10)
                    stage.turn(20, wait=0.0)
                self.assertLess(faults.calls[call] - before, 200 / loops.MEMORY_RETRY_MS * 2 + 10)


class Accepting(unittest.TestCase):
    def test_who_waits_is_let_in_whatever_the_call_says_first(self) -> None:
        for number in (*NO_ROOM_TO_ACCEPT, *PENDING_ON_ACCEPT):
            with self.subTest(errno=errno.errorcode[number]), faulty() as (stage, faults):
                faults.fail("accept", number, 5)
                client = ask(stage, "result-post")
                self.assertIn(b"200 OK", run(stage, client))
                self.assertEqual(stage.begun(), ["a"])

    def test_where_there_is_no_room_the_listener_rests(self) -> None:
        for number in NO_ROOM_TO_ACCEPT:
            with self.subTest(errno=errno.errorcode[number]), faulty() as (stage, faults):
                faults.fail("accept", number, 10**6)
                ask(stage, "time-lookup")
                for _ in range(40):
                    stage.pass_time(5)
                    stage.turn(5, wait=0.0)
                self.assertLess(faults.calls["accept"], 200 / loops.REST + 3)

    def test_a_socket_that_takes_no_option_serves_all_the_same(self) -> None:
        def refuses(sock: socket.socket, level: int, option: int, value: Any) -> None:
            if option == socket.TCP_NODELAY:
                raise OSError(errno.EINVAL, "setsockopt")

        with faulty() as (stage, _), mock.patch.object(socket.socket, "setsockopt", refuses, create=True):
            self.assertIn(b"200 OK", run(stage, ask(stage, "time-lookup")))

    def test_one_that_the_selector_does_not_take_leaves_nothing_behind(self) -> None:
        with faulty() as (stage, _):
            stage.turn()
            register = stage.selector.register
            with mock.patch.object(
                stage.selector, "register", side_effect=OSError(errno.ENOSPC, "epoll_ctl")
            ):
                client = stage.client()
                stage.turn(3)
            self.assertEqual(len(stage.loop.connections), 0)
            self.assertEqual(stage.selector.register, register)
            client.look()
            self.assertNotEqual(client.ended, "")


class Connecting(unittest.TestCase):
    def test_one_that_was_interrupted_goes_on(self) -> None:
        for cls in CLASSES:
            with self.subTest(cls=cls), faulty(workers=1) as (stage, faults):
                faults.fail("connect_ex", errno.EINTR, 1)
                self.assertIn(b"200 OK", run(stage, ask(stage, cls)))
                self.assertEqual((stage.begun(), faults.calls["connect_ex"]), (["a"], 1))

    def test_what_we_lack_is_not_put_down_to_the_worker(self) -> None:
        for number in OUR_OWN:
            with self.subTest(errno=errno.errorcode[number]), faulty(workers=4) as (stage, faults):
                faults.fail("connect_ex", number, 2)
                self.assertIn(b"200 OK", run(stage, ask(stage, "result-post")))
                self.assertEqual((stage.begun(), stage.counted("out.ended.not_sent")), (["a"], 2))
                self.assertEqual(stage.core.module.avoided(stage.clock.at), set())

    def test_an_address_that_cannot_be_reached_is(self) -> None:
        for number in ITS_ADDRESS:
            with self.subTest(errno=errno.errorcode[number]), faulty(workers=4) as (stage, faults):
                faults.fail("connect_ex", number, 1)
                self.assertIn(b"200 OK", run(stage, ask(stage, "result-post")))
                self.assertEqual((stage.begun(), stage.counted("out.ended.not_connected")), (["a"], 1))

    def test_while_nothing_can_be_reached_each_client_hears_so(self) -> None:
        for number in (*OUR_OWN, *ITS_ADDRESS):
            for cls in CLASSES:
                with (
                    self.subTest(errno=errno.errorcode[number], cls=cls),
                    faulty(workers=4) as (stage, faults),
                ):
                    faults.fail("connect_ex", number, 10**6)
                    client = stage.client()
                    client.say(job(cls, "a", wait=1500))
                    stage.until(lambda s=stage: s.core.outstanding, "the job")
                    stage.pass_time(1500)
                    self.assertIn(b" 503 ", client.look()[:14])  # nothing has run: to try again is harmless
                    self.assertEqual(stage.begun(), [])


class ShortCalls(unittest.TestCase):
    def test_a_byte_at_a_time_all_is_served(self) -> None:
        receive, send = socket.socket.recv, socket.socket.send
        for cls in CLASSES:
            with self.subTest(cls=cls), staged() as stage:
                ours = Faults(stage)

                def recv(sock: socket.socket, size: int, *flags: int, ours: Faults = ours) -> bytes:
                    return receive(sock, 1 if ours.connection_of(sock) else size, *flags)

                def short(sock: socket.socket, data: Any, ours: Faults = ours) -> int:
                    return send(sock, bytes(data[:1]) if ours.connection_of(sock) else data)

                with (
                    mock.patch.object(socket.socket, "recv", recv, create=True),
                    mock.patch.object(socket.socket, "send", short, create=True),
                ):
                    client = ask(stage, cls)
                    for _ in range(60):
                        stage.turn(10, wait=0.0)
                    self.assertTrue(stage.core.outstanding)
                    stage.pass_time(40)
                    stage.until(lambda s=stage: s.begun(), "the job to begin")
                    name = next(w.name for w in stage.workers if w.begun())
                    stage.client().say(told("a", name, "done", result="ok"))
                    stage.until(lambda c=client: c.look().endswith(b"ok"), "the answer")
                    self.assertEqual(stage.begun(), ["a"])


class Listening(unittest.TestCase):
    def test_an_address_that_cannot_be_bound_again_at_once(self) -> None:
        """As one more request comes while the process closes: it is served, and its worker can call back."""
        with faulty() as (stage, _):
            listener = stage.service.edge.listener
            address = listener.address
            listener.pause()
            with mock.patch.object(listener, "_bind_socket", side_effect=OSError(errno.EADDRINUSE, "bind")):
                listener.start()
                stage.pass_time(100)
                self.assertFalse(listener.on)
            stage.pass_time(loops.LISTEN_RETRY_MS)
            self.assertEqual((listener.on, listener.address), (True, address))
            self.assertIn(b"200 OK", run(stage, ask(stage, "time-lookup")))


class Logging(unittest.TestCase):
    def test_a_reader_of_the_log_that_has_gone_is_no_fault(self) -> None:
        """Every write to standard error fails: it serves on, and ends in order."""
        worker = HttpWorker("h1")
        with running([worker]) as (program, discovery):
            config = {**program.said, "listen": "127.0.0.1:0"}
            program.config.write_text(json.dumps(config))
            env = {**os.environ, "GW_CONFIG": str(program.config), "EIDERPIN_LOG_FORMAT": "logfmt"}
            process = subprocess.Popen(
                [sys.executable, "-O", "-m", "eiderpin"], cwd=ROOT, env=env, stderr=subprocess.PIPE, text=True
            )
            assert process.stderr is not None
            first = process.stderr.readline()
            edge = next(part for part in first.split() if part.startswith("edge=")).partition("=")[2]
            process.stderr.close()
            worker.back = edge
            wait_for(lambda: http_call(edge, "GET", "/_health")[0] == 200, "it to be ready")
            for sent, number in enumerate((signal.SIGUSR1, signal.SIGHUP, signal.SIGUSR1)):
                process.send_signal(number)
                self.assertEqual(http_call(edge, "POST", "/time-lookup", Req_Id=f"a{sent}")[0], 200)
            process.send_signal(signal.SIGTERM)
            self.assertEqual(process.wait(20), 0)
            del discovery


if __name__ == "__main__":
    unittest.main()
