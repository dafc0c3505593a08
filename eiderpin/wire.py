"""Codec between the simulator's wire and the module's types. It decides nothing.

Unknown keys and unknown kinds of event are skipped. What is not a legal batch raises `WireError`, whose
text is one plain line.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import orjson

from eiderpin import interface as api


class WireError(ValueError):
    """The input is not a legal batch."""


WorkerEntries = list[api.WorkerEntry]

_STATES = {
    "in_service": api.WorkerState.IN_SERVICE,
    "terminating": api.WorkerState.DRAINING,
    "terminated": api.WorkerState.GONE,
}
_LISTS = {
    "diff": api.ListKind.CHANGES,
    "snapshot": api.ListKind.COMPLETE,
    "disk": api.ListKind.STORED,
    "error": api.ListKind.FAILED,
}
_OUTCOMES = {
    "done": api.Outcome.DONE,
    "err": api.Outcome.ERROR,
    "busy": api.Outcome.REJECTED,
    "etimedout": api.Outcome.TIMED_OUT,
    "econnrefused": api.Outcome.NOT_CONNECTED,
    "econnreset": api.Outcome.RESET,
    "ecanceled": api.Outcome.CANCELLED,
    "skipped": api.Outcome.NOT_SENT,
}
_REPEATS = {
    "free": api.Repeat.FREE,
    "guarded": api.Repeat.GUARDED,
    "single_shot": api.Repeat.SINGLE_SHOT,
}
_SCOPES = {"all": api.Scope.ALL, "zone": api.Scope.ZONE, "cell": api.Scope.CELL}
# What a report value may be called, and in the words of family_info for x0 and x1.
_REPORT = {
    "outstanding": "in_flight", "inflight": "in_flight", "backlog": "queued", "queue": "queued",
}  # fmt: skip
_REPORT_WORDS = {"free slots": "free_slots", "free memory": "free_memory"}


# ---- settings ------------------------------------------------------------------------------------------


def _get(where: dict[str, Any], key: str, kind: type | tuple[type, ...], default: Any, path: str = "") -> Any:
    value = where.get(key)
    if value is None:
        return default
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise api.SettingsError(f"conf.{path}{key}: {value!r} is not of the expected kind")
    return value


def _word(where: dict[str, Any], key: str, words: dict[str, Any], default: Any, path: str) -> Any:
    value = _get(where, key, str, None, path)
    if value is None:
        return default
    if value not in words:
        raise api.SettingsError(f"conf.{path}{key}: {value!r} is none of {', '.join(words)}")
    return words[value]


def _at(values: list[Any], index: int, default: Any) -> Any:
    return values[index] if index < len(values) else default


_NUMBER = (int, float)


def decode_settings(conf: Any) -> tuple[api.Settings, dict[str, str]]:
    """The settings, and the names that report values go by at this site."""
    if not isinstance(conf, dict):
        raise api.SettingsError("conf: an object is needed")
    family = _get(conf, "family_info", dict, {})
    limits = _get(conf, "limits", dict, {})
    rules = _get(conf, "rules", dict, {})
    prices = _get(conf, "prices", dict, {})
    report = _get(conf, "report", dict, {})
    shapes = _get(conf, "shapes", list, [])
    stretch = _get(family, "class_stretch", list, [], "family_info.")
    kinds = _get(family, "class_kind", list, [], "family_info.")
    priorities = _get(family, "class_priority", list, [], "family_info.")
    classes = []
    for i, c in enumerate(_get(conf, "classes", list, [])):
        path = f"classes[{i}]."
        if not isinstance(c, dict):
            raise api.SettingsError(f"conf.classes[{i}]: an object is needed")
        kind = _at(kinds, i, -1)
        d = api.RequestClass(name=_get(c, "name", str, "", path))
        d.aim = _get(c, "aim", _NUMBER, d.aim, path)
        d.aim_stretch = _get(c, "aim_stretch", _NUMBER, _at(stretch, i, d.aim_stretch), path)
        d.deadline = _get(c, "hard_limit", _NUMBER, d.deadline, path)
        d.worth = _get(c, "importance", _NUMBER, d.worth, path)
        d.late_worth = _get(c, "late_worth", _NUMBER, d.late_worth, path)
        d.repeat = _word(c, "repeat", _REPEATS, d.repeat, path)
        d.scope = _word(c, "key_scope", _SCOPES, d.scope, path)
        d.memory_span = _get(c, "memory_span", _NUMBER, d.memory_span, path)
        d.streaming = _get(c, "streaming", bool, d.streaming, path)
        d.shape = shapes[kind] if isinstance(kind, int) and 0 <= kind < len(shapes) else None
        d.priority = _at(priorities, i, 0)
        classes.append(d)
    s = api.Settings(classes=classes)
    s.instances = _get(conf, "n_instances", int, s.instances)
    s.instance = _get(conf, "slot_no", int, s.instance)
    s.zone = _get(conf, "zone", str, s.zone)
    for i, t in enumerate(_get(conf, "realms", list, [])):
        if not isinstance(t, dict):
            raise api.SettingsError(f"conf.realms[{i}]: an object is needed")
        path = f"realms[{i}]."
        s.tenants.append(
            api.Tenant(
                _get(t, "name", str, "", path),
                _get(t, "allowance_per_s", _NUMBER, 0.0, path),
                _get(t, "share", _NUMBER, 0.0, path),
            )
        )
    s.over_share_worth = _get(conf, "over_share_worth", _NUMBER, s.over_share_worth)
    s.worth_by_work = _get(conf, "worth_by", str, "request") == "work"
    s.tick = _get(conf, "tick", _NUMBER, s.tick)
    s.must_ask = _get(conf, "discovery", str, "pushed") == "on_request"
    s.ask_within = _get(rules, "ask_within", _NUMBER, s.ask_within, "rules.")
    s.max_attempts = _get(limits, "try_limit", int, s.max_attempts, "limits.")
    s.parallel_attempts = _get(limits, "parallel_tries", bool, s.parallel_attempts, "limits.")
    s.may_cancel = _get(limits, "may_cancel", bool, s.may_cancel, "limits.")
    s.may_probe = _get(limits, "probes", bool, s.may_probe, "limits.")
    s.may_tell_peers = _get(limits, "peers", bool, s.may_tell_peers, "limits.")
    s.may_advise_wait = _get(limits, "retry_after", bool, s.may_advise_wait, "limits.")
    s.max_wait_advice = _get(limits, "max_retry_after", _NUMBER, s.max_wait_advice, "limits.")
    s.connect_timeout = _get(limits, "connect_timeout", _NUMBER, s.connect_timeout, "limits.")
    s.conn_idle = _get(limits, "conn_idle", _NUMBER, s.conn_idle, "limits.")
    s.most_held = _get(limits, "most_held", int, s.most_held, "limits.")
    source = _get(report, "source", str, "silent", "report.")
    s.reports_in_answers = source == "piggyback"
    s.reports_in_probes = source in ("piggyback", "pull")
    s.tells_start = _get(family, "tells_start", bool, s.tells_start, "family_info.")
    s.starts_in_order = _get(family, "queue_order", str, "", "family_info.") == "fifo"
    s.progress_every = _get(family, "progress", _NUMBER, s.progress_every, "family_info.")
    weights = _get(conf, "weights", str, "silent")
    s.live_ratings = weights == "live"
    s.ratings = weights != "silent"
    s.answer_grace = _get(rules, "grace_to_answer", _NUMBER, s.answer_grace, "rules.")
    s.drain_grace = _get(rules, "drain_grace", _NUMBER, s.drain_grace, "rules.")
    s.cold_share = _get(rules, "cold_share", _NUMBER, s.cold_share, "rules.")
    s.warm_up = _get(rules, "warm_up", _NUMBER, s.warm_up, "rules.")
    s.cold_multiple = _get(rules, "fall_multiple", _NUMBER, s.cold_multiple, "rules.")
    s.cold_window = _get(rules, "fall", _NUMBER, s.cold_window, "rules.")
    s.price_cross_zone = _get(prices, "cross_zone", _NUMBER, 0.0, "prices.")
    s.price_probe = _get(prices, "probe", _NUMBER, 0.0, "prices.")
    s.price_waste = _get(prices, "waste", _NUMBER, 0.0, "prices.")
    names = dict(_REPORT)
    for x in ("x0", "x1"):
        meaning = family.get(f"report_{x}")
        if meaning in _REPORT_WORDS:
            names[x] = _REPORT_WORDS[meaning]
    s.report_names = names
    s.check()
    return s, names


# ---- events --------------------------------------------------------------------------------------------


def decode_workers(lines: Any) -> WorkerEntries:
    """The entries of one numbered list."""
    return [
        api.WorkerEntry(
            e["worker"],
            e.get("failure_domain") or "",
            e.get("hw") or "",
            e.get("cohort") or 0,
            _STATES[e["condition"]],
            e.get("rating") or 1.0,
            e.get("born") or None,
        )
        for e in lines
    ]


ReportNames = dict[str, str]


def _report(info: Any, names: ReportNames) -> api.Report | None:
    if not info:
        return None
    report = api.Report()
    for key, value in info.items():
        known = names.get(key)
        if known is not None:
            setattr(report, known, value)
    return report


def _request(e: dict[str, Any], names: ReportNames) -> api.Request:
    return api.Request(
        e["rid"],
        e["class"],
        e["expires_in"],
        e.get("width") or 1.0,
        e.get("mem_needed") or 0.0,
        e.get("owner") or None,
        e.get("route_key"),
        e.get("predicted"),
        bool(e.get("again_by_client")),
    )


def _ended(e: dict[str, Any], names: ReportNames) -> api.AttemptEnded:
    return api.AttemptEnded(
        e["rid"],
        e["go"],
        e["worker"],
        _OUTCOMES[e["status"]],
        e.get("wait_time") or 0.0,
        bool(e.get("final")),
        _report(e.get("health_info"), names),
    )


def _progress(e: dict[str, Any], names: ReportNames) -> api.Progress:
    return api.Progress(e["rid"], e["go"], e["worker"], e["what"] == 1, e.get("level") or 0.0)


def _probed(e: dict[str, Any], names: ReportNames) -> api.ProbeEnded:
    return api.ProbeEnded(
        e["worker"], e["status"] == "done", e.get("wait_time") or 0.0, _report(e.get("health_info"), names)
    )


_EVENTS: dict[str, Callable[[dict[str, Any], ReportNames], api.Event]] = {
    "JOB_IN": _request,
    "ANSWER": _ended,
    "CHANGE": _progress,
    "PROBE_DONE": _probed,
    "FIRST": lambda e, _: api.StreamStarted(e["rid"], e["go"], e["worker"]),
    "LAPSED": lambda e, _: api.RequestGone(e["rid"]),
    "ALARM": lambda e, _: api.TimerFired(e["handle"]),
    "NOTE_FROM": lambda e, _: api.PeerMessage(e["src_peer"], bytes.fromhex(e.get("octets") or "")),
}


def decode_event(e: dict[str, Any], names: ReportNames) -> api.Event | None:
    """One event in the module's types; None for a kind that is not known."""
    make = _EVENTS.get(e["m"])
    return None if make is None else make(e, names)


def decode_membership(e: dict[str, Any], lists: dict[int, WorkerEntries]) -> api.Membership:
    kind = _LISTS[e["kind"]]
    return api.Membership(kind, [] if kind is api.ListKind.FAILED else lists[e["slot"]])


def decode_batch(line: bytes) -> tuple[float, list[dict[str, Any]]]:
    """The clock and the groups of one line."""
    try:
        data = orjson.loads(line)
    except orjson.JSONDecodeError as error:
        raise WireError(f"a line is not JSON: {error}") from None
    if not isinstance(data, dict):
        raise WireError("a batch must be an object")
    now, groups = data.get("at_time"), data.get("dispatchers")
    if not isinstance(now, _NUMBER) or isinstance(now, bool):
        raise WireError("a batch needs a number under at_time")
    if not isinstance(groups, list):
        raise WireError("a batch needs a list under dispatchers")
    return float(now), groups


# ---- actions -------------------------------------------------------------------------------------------


def encode_action(a: api.Action) -> dict[str, Any]:
    """One action as the wire has it."""
    return _ACTIONS[type(a)](a)


def _send(a: api.Send) -> dict[str, Any]:
    sent = {"m": "CALL_OUT", "rid": a.request, "worker": a.worker}
    return sent if a.timeout is None else {**sent, "allow_for": a.timeout}


def _refuse(a: api.Refuse) -> dict[str, Any]:
    said = {"m": "SAY_NO", "rid": a.request}
    return said if a.wait is None else {**said, "stay_away": a.wait}


_ACTIONS: dict[type, Callable[[Any], dict[str, Any]]] = {
    api.Send: _send,
    api.Refuse: _refuse,
    api.Fail: lambda a: {"m": "SURRENDER", "rid": a.request},
    api.Cancel: lambda a: {"m": "UNDO_SEND", "rid": a.request, "go": a.attempt},
    api.SetTimer: lambda a: {"m": "REMIND", "alarm_time": a.at, "handle": a.handle},
    api.Probe: lambda a: {"m": "CHECK", "worker": a.worker},
    api.Watch: lambda a: {"m": "KEEP_INFORMED", "want": a.on},
    api.FetchList: lambda a: {"m": "RESOLVE"},
    api.Log: lambda a: {"m": "DEBUG", "message": a.text},
}


def encode_reply(groups: list[tuple[str, list[api.Action]]]) -> bytes:
    """One reply line."""
    body = [{"i": name, "outbox": [encode_action(a) for a in actions]} for name, actions in groups]
    return orjson.dumps({"dispatchers": body}) + b"\n"
