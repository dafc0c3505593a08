"""Codec round trips, and what the adapter does with bad input."""

from __future__ import annotations

import io
import subprocess
import sys
from typing import Any

import orjson
import pytest

from eiderpin import interface as api
from eiderpin import wire
from eiderpin.simhost import Host, serve

CONF: dict[str, Any] = {
    "classes": [
        {"name": "read", "aim": 300.0, "hard_limit": 4000.0, "importance": 2, "repeat": "free"},
        {"name": "keyed", "repeat": "guarded", "key_scope": "zone", "memory_span": 900.0},
    ],
    "family_info": {"class_stretch": [1.5, 2], "class_kind": [-1, 1], "report_x0": "free slots"},
    "shapes": ["small", "big"],
    "limits": {"try_limit": 4, "may_cancel": True},
    "n_instances": 3,
    "slot_no": 2,
    "tick": 5.0,
}
ROW = {
    "worker": "w1", "failure_domain": "a", "hw": "big", "cohort": 3, "condition": "in_service", "rating": 2,
}  # fmt: skip


def line(now: float, *groups: tuple[str, list[dict[str, Any]]]) -> bytes:
    return orjson.dumps({"at_time": now, "dispatchers": [{"i": i, "in": e} for i, e in groups]})


def start(seed: int = 1) -> list[dict[str, Any]]:
    return [
        {"m": "PROVISION", "prng": seed, "conf": CONF},
        {"m": "SNAPSHOT_ROWS", "slot": 0, "lines": [{**ROW, "worker": f"w{i}"} for i in range(6)]},
        {"m": "MEMBERS", "slot": 0, "version": 1, "kind": "disk"},
    ]


def job(rid: int) -> dict[str, Any]:
    return {"m": "JOB_IN", "rid": rid, "class": "read", "expires_in": 4000.0, "width": 1}


def test_settings_are_read_and_missing_ones_take_defaults() -> None:
    s, names = wire.decode_settings(CONF)
    assert [c.aim_stretch for c in s.classes] == [1.5, 2]
    assert [c.shape for c in s.classes] == [None, "big"]
    assert s.classes[1].scope is api.Scope.ZONE
    assert (s.max_attempts, s.instances, s.instance) == (4, 3, 2)
    assert s.warm_up == api.Settings(classes=[]).warm_up
    assert names["x0"] == "free_slots"
    assert "x1" not in names


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"classes": []}, "classes"),
        ({"tick": -1}, "tick"),
        ({"rules": {"warm_up": -5}}, "warm_up"),
        ({"slot_no": 3}, "instance"),
        ({"limits": {"try_limit": 0}}, "max_attempts"),
        ({"limits": {"try_limit": "many"}}, "limits.try_limit"),
        ({"classes": [{"name": "a", "repeat": "sometimes"}]}, "classes[0].repeat"),
    ],
)
def test_impossible_settings_are_refused_by_name(change: dict[str, Any], key: str) -> None:
    with pytest.raises(api.SettingsError) as error:
        wire.decode_settings({**CONF, **change})
    assert key in str(error.value)


@pytest.mark.parametrize(
    ("sent", "expected"),
    [
        (
            {"m": "JOB_IN", "rid": 5, "class": "read", "expires_in": 9.5, "width": 2, "mem_needed": 1.5,
             "owner": "t", "route_key": "k", "predicted": 12.0, "again_by_client": True, "unheard": 1},
            api.Request(5, "read", 9.5, 2, 1.5, "t", "k", 12.0, True),
        ),
        (
            {"m": "ANSWER", "rid": 5, "status": "busy", "worker": "w", "go": 1, "wait_time": 3.5,
             "final": False, "health_info": {"x0": 2.0, "backlog": 1, "throughput": 7}},
            api.AttemptEnded(5, 1, "w", api.Outcome.REJECTED, 3.5, False, api.Report(None, 1, 2.0)),
        ),
        ({"m": "CHANGE", "rid": 5, "go": 0, "worker": "w", "what": 1, "level": None},
         api.Progress(5, 0, "w", True)),
        ({"m": "CHANGE", "rid": 5, "go": 0, "worker": "w", "what": 2, "level": 0.4},
         api.Progress(5, 0, "w", False, 0.4)),
        ({"m": "PROBE_DONE", "status": "done", "worker": "w", "wait_time": 2.0, "health_info": None},
         api.ProbeEnded("w", True, 2.0)),
        ({"m": "FIRST", "rid": 5, "go": 0, "worker": "w", "wait_time": 1}, api.StreamStarted(5, 0, "w")),
        ({"m": "LAPSED", "rid": 5}, api.RequestGone(5)),
        ({"m": "ALARM", "handle": 9}, api.TimerFired(9)),
        ({"m": "NOTE_FROM", "src_peer": 2, "octets": "6869"}, api.PeerMessage(2, b"hi")),
        ({"m": "SOMETHING_NEW", "x": 1}, None),
    ],
)  # fmt: skip
def test_events(sent: dict[str, Any], expected: api.Event | None) -> None:
    assert wire.decode_event(sent, wire.decode_settings(CONF)[1]) == expected


@pytest.mark.parametrize(
    ("action", "expected"),
    [
        (api.Send(5, "w"), {"m": "CALL_OUT", "rid": 5, "worker": "w"}),
        (api.Send(5, "w", 80.0), {"m": "CALL_OUT", "rid": 5, "worker": "w", "allow_for": 80.0}),
        (api.Refuse(5), {"m": "SAY_NO", "rid": 5}),
        (api.Refuse(5, 20.0), {"m": "SAY_NO", "rid": 5, "stay_away": 20.0}),
        (api.Fail(5), {"m": "SURRENDER", "rid": 5}),
        (api.Cancel(5, 1), {"m": "UNDO_SEND", "rid": 5, "go": 1}),
        (api.SetTimer(7.5, 3), {"m": "REMIND", "alarm_time": 7.5, "handle": 3}),
        (api.Probe("w"), {"m": "CHECK", "worker": "w"}),
        (api.Watch(True), {"m": "KEEP_INFORMED", "want": True}),
        (api.FetchList(), {"m": "RESOLVE"}),
        (api.Log("x"), {"m": "DEBUG", "message": "x"}),
    ],
)
def test_actions(action: api.Action, expected: dict[str, Any]) -> None:
    assert wire.encode_action(action) == expected


def test_a_list_number_means_what_it_last_meant_at_that_event() -> None:
    host = Host()
    other = {"m": "SNAPSHOT_ROWS", "slot": 0, "lines": [{**ROW, "worker": "later"}]}
    host.line(line(1.0, ("d1", [*start(), other])))
    assert sorted(host._instances["d1"][0].workers) == [f"w{i}" for i in range(6)]


def test_a_killed_instance_forgets_and_a_new_one_starts_empty() -> None:
    host = Host()
    host.line(line(1.0, ("d1", [*start(), job(1)])))
    out = orjson.loads(host.line(line(6.0, ("d1", [job(2), {"m": "DETACH"}, *start(2), job(3)]))))
    named = {a["rid"] for g in out["dispatchers"] for a in g["outbox"] if "rid" in a}
    assert not named & {1, 2}
    assert list(host._instances["d1"][0].jobs) == [3]


def test_instances_together_act_as_they_do_apart() -> None:
    def play(names: list[str], host: Host) -> dict[str, list[Any]]:
        got: dict[str, list[Any]] = {n: [] for n in names}
        for step in range(40):
            groups = []
            for n in names:
                seed = 11 + int(n[1:])
                events = start(seed) if step == 0 else [job(step * 10 + i) for i in range(3)]
                groups.append((n, events))
            for g in orjson.loads(host.line(line(1.0 + 7 * step, *groups)))["dispatchers"]:
                got[g["i"]].append(g["outbox"])
        return got

    together = play(["d1", "d2", "d3"], Host())
    apart: dict[str, list[Any]] = {}
    for n in ("d1", "d2", "d3"):
        apart.update(play([n], Host()))
    assert together == apart
    assert any(a["m"] == "CALL_OUT" for outs in together.values() for out in outs for a in out)


@pytest.mark.parametrize(
    "bad",
    [
        b"not json\n",
        b"[]\n",
        b'{"dispatchers":[]}\n',
        b'{"at_time":1,"dispatchers":{}}\n',
        b'{"at_time":1,"dispatchers":[{"in":[]}]}\n',
        b'{"at_time":1,"dispatchers":[{"i":"d","in":[{"m":"PROVISION","prng":1,"conf":{"classes":[]}}]}]}\n',
    ],
)
def test_a_line_that_is_no_batch_ends_the_adapter_with_one_plain_line(bad: bytes) -> None:
    done = subprocess.run([sys.executable, "-B", "-m", "eiderpin.simhost"], input=bad, capture_output=True)
    assert done.returncode != 0
    assert done.stdout == b""
    assert done.stderr.count(b"\n") == 1
    assert b"Traceback" not in done.stderr


def test_an_empty_batch_gets_an_empty_reply() -> None:
    sink = io.BytesIO()
    serve(io.BytesIO(b'{"at_time":8412.25,"dispatchers":[]}\n'), sink)
    assert sink.getvalue() == b'{"dispatchers":[]}\n'
