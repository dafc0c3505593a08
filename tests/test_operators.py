"""What staff do with a running program, over its door: calls, figures, drains."""

from __future__ import annotations

import os
import socket
import unittest
from typing import Any
from unittest import mock

from eiderpin import service
from tests.standins import SETTINGS, HttpWorker, running

DOOR = "127.0.0.1:0"


def caller(address: str) -> socket.socket:
    host, port = address.split(":")
    return socket.create_connection((host, int(port)), timeout=20)


def rest(sock: socket.socket) -> bytes:
    """What still comes, until the connection ends."""
    got = b""
    try:
        while more := sock.recv(65536):
            got += more
    except ConnectionResetError:
        pass
    return got


def call(address: str, *pieces: bytes) -> str:
    with caller(address) as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for piece in pieces:
            sock.sendall(piece)
        return rest(sock).decode()


class Door(unittest.TestCase):
    def test_each_line_gets_one_reply(self) -> None:
        cases: list[tuple[list[bytes], str]] = [
            ([b"ready\n"], "ok up 100%"),
            ([b"ready\r\n"], "ok up 100%"),
            ([b"re", b"ad", b"y", b"\r", b"\n"], "ok up 100%"),
            ([b"ready\nready\n"], "ok up 100%"),
            ([b"\n"], "fail which call?"),
            ([b"READY\n"], "fail no such call"),
            ([b"\xff\0\n"], "fail no such call"),
            ([b"x" * 300], "fail a call is one line"),
            ([b"x" * 200, b"y" * 90 + b"\n"], "fail a call is one line"),
        ]
        with running([HttpWorker("h1")], management=DOOR) as (program, _):
            for pieces, reply in cases:
                with self.subTest(pieces=pieces):
                    got = call(program.at["management"], *pieces)
                    self.assertTrue(got.startswith(reply) and got.count("\n") == 1, got)

    def test_it_is_not_ready_without_workers(self) -> None:
        with running([], management=DOOR) as (program, _):
            self.assertEqual(call(program.at["management"], b"ready\n"), "fail down\n")

    def test_silent_callers_are_dropped_and_keep_nobody_out(self) -> None:
        with running([HttpWorker("h1")], management=DOOR) as (program, _):
            silent = [caller(program.at["management"]) for _ in range(40)]
            silent[-1].sendall(b"rea")
            self.assertEqual(call(program.at["management"], b"ready\n"), "ok up 100%\n")
            self.assertEqual([rest(sock) for sock in silent], [b""] * 40)
            self.assertTrue(program.counters()["in.calls_silent"])
            for sock in silent:
                sock.close()

    def test_it_is_served_while_the_edge_has_no_room(self) -> None:
        with running([HttpWorker("h1")], management=DOOR, limits={"sockets": 96}) as (program, _):
            crowd = []
            for _ in range(200):
                crowd.append(caller(program.edge))
                crowd[-1].sendall(b"POST /time-lookup HTTP/1.1\r\nReq-Id: ")
            self.assertTrue(call(program.at["management"], b"ready\n").startswith("ok"))
            for sock in crowd:
                sock.close()

    def test_the_environment_names_it_too(self) -> None:
        said: dict[str, Any] = {
            "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": SETTINGS,
            "limits": {"sockets": 96},
        }  # fmt: skip
        config = service.read_config(service.orjson.dumps({**said, "management": "127.0.0.1:3"}))
        service.read_environment(config)
        self.assertEqual(config.management, ("127.0.0.1", 3))
        with mock.patch.dict(os.environ, GW_MANAGEMENT="127.0.0.1:4"):
            service.read_environment(config)
        self.assertEqual(config.management, ("127.0.0.1", 4))
        with mock.patch.dict(os.environ, GW_MANAGEMENT="nowhere"), self.assertRaises(service.ConfigError):
            service.read_environment(config)
        # The fewest descriptors that may be named still leave each side some.
        self.assertTrue(all(share >= 8 for share in service.shares(config)), service.shares(config))
