"""Codec between the simulator's wire format and the types of `eiderpin.interface`. It makes no decisions.

Unknown keys and unknown kinds of event are ignored. An invalid batch raises `WireError`, invalid settings
raise `api.SettingsError`; the message is one line.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import orjson

from eiderpin import interface as api


class WireError(ValueError):
    """The input isn't a valid batch."""


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
# Fields of `api.Report` by the keys that carry them at every site.
_REPORT_FIELDS = {
    "outstanding": "in_flight", "inflight": "in_flight", "backlog": "queued", "queue": "queued",
}  # fmt: skip
# What the keys x0 and x1 carry differs between sites: family_info describes it in these words.
_REPORT_FIELDS_BY_MEANING = {"free slots": "free_slots", "free memory": "free_memory"}


# ---- settings ------------------------------------------------------------------------------------------


def _get(
    section: dict[str, Any], key: str, kind: type | tuple[type, ...], default: Any, path: str = ""
) -> Any:
    """The value under `key` if it is of the type `kind`, else `default` if there is none; `path` names the
    section in errors. Raises `api.SettingsError`."""
    value = section.get(key)
    if value is None:
        return default
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise api.SettingsError(f"conf.{path}{key}: {value!r} has the wrong type")
    return value


def _word(section: dict[str, Any], key: str, words: dict[str, Any], default: Any, path: str) -> Any:
    """Like `_get`, for a string that must be one of `words`; returns what the word stands for."""
    value = _get(section, key, str, None, path)
    if value is None:
        return default
    if value not in words:
        raise api.SettingsError(f"conf.{path}{key}: {value!r} is none of {', '.join(words)}")
    return words[value]


def _value_at(values: list[Any], index: int, default: Any) -> Any:
    return values[index] if index < len(values) else default


_NUMBER = (int, float)


def decode_settings(conf: Any) -> tuple[api.Settings, dict[str, str]]:
    """Decode the settings; also return the fields of `api.Report` by the keys that carry them at this site.

    Raises `api.SettingsError`.
    """
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
    for i, row in enumerate(_get(conf, "classes", list, [])):
        path = f"classes[{i}]."
        if not isinstance(row, dict):
            raise api.SettingsError(f"conf.classes[{i}]: an object is needed")
        kind = _value_at(kinds, i, -1)
        spec = api.RequestClass(name=_get(row, "name", str, "", path))
        spec.aim = _get(row, "aim", _NUMBER, spec.aim, path)
        spec.aim_stretch = _get(row, "aim_stretch", _NUMBER, _value_at(stretch, i, spec.aim_stretch), path)
        spec.deadline = _get(row, "hard_limit", _NUMBER, spec.deadline, path)
        spec.worth = _get(row, "importance", _NUMBER, spec.worth, path)
        spec.late_worth = _get(row, "late_worth", _NUMBER, spec.late_worth, path)
        spec.repeat = _word(row, "repeat", _REPEATS, spec.repeat, path)
        spec.scope = _word(row, "key_scope", _SCOPES, spec.scope, path)
        spec.memory_span = _get(row, "memory_span", _NUMBER, spec.memory_span, path)
        spec.streaming = _get(row, "streaming", bool, spec.streaming, path)
        spec.shape = shapes[kind] if isinstance(kind, int) and 0 <= kind < len(shapes) else None
        spec.priority = _value_at(priorities, i, 0)
        classes.append(spec)
    settings = api.Settings(classes=classes)
    settings.instances = _get(conf, "n_instances", int, settings.instances)
    settings.instance = _get(conf, "slot_no", int, settings.instance)
    settings.zone = _get(conf, "zone", str, settings.zone)
    for i, row in enumerate(_get(conf, "realms", list, [])):
        if not isinstance(row, dict):
            raise api.SettingsError(f"conf.realms[{i}]: an object is needed")
        path = f"realms[{i}]."
        settings.tenants.append(
            api.Tenant(
                _get(row, "name", str, "", path),
                _get(row, "allowance_per_s", _NUMBER, 0.0, path),
                _get(row, "share", _NUMBER, 0.0, path),
            )
        )
    settings.over_share_worth = _get(conf, "over_share_worth", _NUMBER, settings.over_share_worth)
    settings.worth_by_work = _get(conf, "worth_by", str, "request") == "work"
    settings.tick = _get(conf, "tick", _NUMBER, settings.tick)
    settings.must_ask = _get(conf, "discovery", str, "pushed") == "on_request"
    settings.ask_within = _get(rules, "ask_within", _NUMBER, settings.ask_within, "rules.")
    settings.max_attempts = _get(limits, "try_limit", int, settings.max_attempts, "limits.")
    settings.parallel_attempts = _get(limits, "parallel_tries", bool, settings.parallel_attempts, "limits.")
    settings.may_cancel = _get(limits, "may_cancel", bool, settings.may_cancel, "limits.")
    settings.may_probe = _get(limits, "probes", bool, settings.may_probe, "limits.")
    settings.may_tell_peers = _get(limits, "peers", bool, settings.may_tell_peers, "limits.")
    settings.may_advise_wait = _get(limits, "retry_after", bool, settings.may_advise_wait, "limits.")
    settings.max_wait_advice = _get(limits, "max_retry_after", _NUMBER, settings.max_wait_advice, "limits.")
    settings.connect_timeout = _get(limits, "connect_timeout", _NUMBER, settings.connect_timeout, "limits.")
    settings.conn_idle = _get(limits, "conn_idle", _NUMBER, settings.conn_idle, "limits.")
    settings.most_held = _get(limits, "most_held", int, settings.most_held, "limits.")
    source = _get(report, "source", str, "silent", "report.")
    settings.reports_in_answers = source == "piggyback"
    settings.reports_in_probes = source in ("piggyback", "pull")
    settings.tells_start = _get(family, "tells_start", bool, settings.tells_start, "family_info.")
    settings.starts_in_order = _get(family, "queue_order", str, "", "family_info.") == "fifo"
    settings.progress_every = _get(family, "progress", _NUMBER, settings.progress_every, "family_info.")
    weights = _get(conf, "weights", str, "silent")
    settings.live_ratings = weights == "live"
    settings.ratings = weights != "silent"
    settings.answer_grace = _get(rules, "grace_to_answer", _NUMBER, settings.answer_grace, "rules.")
    settings.drain_grace = _get(rules, "drain_grace", _NUMBER, settings.drain_grace, "rules.")
    settings.cold_share = _get(rules, "cold_share", _NUMBER, settings.cold_share, "rules.")
    settings.warm_up = _get(rules, "warm_up", _NUMBER, settings.warm_up, "rules.")
    settings.cold_multiple = _get(rules, "fall_multiple", _NUMBER, settings.cold_multiple, "rules.")
    settings.cold_window = _get(rules, "fall", _NUMBER, settings.cold_window, "rules.")
    settings.price_cross_zone = _get(prices, "cross_zone", _NUMBER, 0.0, "prices.")
    settings.price_probe = _get(prices, "probe", _NUMBER, 0.0, "prices.")
    settings.price_waste = _get(prices, "waste", _NUMBER, 0.0, "prices.")
    names = dict(_REPORT_FIELDS)
    for name in ("x0", "x1"):
        meaning = family.get(f"report_{name}")
        if meaning in _REPORT_FIELDS_BY_MEANING:
            names[name] = _REPORT_FIELDS_BY_MEANING[meaning]
    settings.report_names = names
    settings.check()
    return settings, names


# ---- events --------------------------------------------------------------------------------------------


def decode_workers(lines: Any) -> WorkerEntries:
    """Decode the workers of a numbered list, to which later events refer by its number."""
    return [
        api.WorkerEntry(
            row["worker"],
            row.get("failure_domain") or "",
            row.get("hw") or "",
            row.get("cohort") or 0,
            _STATES[row["condition"]],
            row.get("rating") or 1.0,
            row.get("born") or None,
        )
        for row in lines
    ]


ReportNames = dict[str, str]  # fields of `api.Report` by the keys that carry them


def _decode_report(health_info: Any, names: ReportNames) -> api.Report | None:
    if not health_info:
        return None
    report = api.Report()
    for key, value in health_info.items():
        field = names.get(key)
        if field is not None:
            setattr(report, field, value)
    return report


def _decode_request(message: dict[str, Any], names: ReportNames) -> api.Request:
    return api.Request(
        message["rid"],
        message["class"],
        message["expires_in"],
        message.get("width") or 1.0,
        message.get("mem_needed") or 0.0,
        message.get("owner") or None,
        message.get("route_key"),
        message.get("predicted"),
        bool(message.get("again_by_client")),
    )


def _decode_attempt_ended(message: dict[str, Any], names: ReportNames) -> api.AttemptEnded:
    return api.AttemptEnded(
        message["rid"],
        message["go"],
        message["worker"],
        _OUTCOMES[message["status"]],
        message.get("wait_time") or 0.0,
        bool(message.get("final")),
        _decode_report(message.get("health_info"), names),
    )


def _decode_progress(message: dict[str, Any], names: ReportNames) -> api.Progress:
    return api.Progress(
        message["rid"], message["go"], message["worker"], message["what"] == 1, message.get("level") or 0.0
    )


def _decode_probe_ended(message: dict[str, Any], names: ReportNames) -> api.ProbeEnded:
    return api.ProbeEnded(
        message["worker"],
        message["status"] == "done",
        message.get("wait_time") or 0.0,
        _decode_report(message.get("health_info"), names),
    )


_EVENTS: dict[str, Callable[[dict[str, Any], ReportNames], api.Event]] = {
    "JOB_IN": _decode_request,
    "ANSWER": _decode_attempt_ended,
    "CHANGE": _decode_progress,
    "PROBE_DONE": _decode_probe_ended,
    "FIRST": lambda message, _: api.StreamStarted(message["rid"], message["go"], message["worker"]),
    "LAPSED": lambda message, _: api.RequestGone(message["rid"]),
    "ALARM": lambda message, _: api.TimerFired(message["handle"]),
    "NOTE_FROM": lambda message, _: api.PeerMessage(
        message["src_peer"], bytes.fromhex(message.get("octets") or "")
    ),
}


def decode_event(message: dict[str, Any], names: ReportNames) -> api.Event | None:
    """Decode one event; None for an unknown kind."""
    decode = _EVENTS.get(message["m"])
    return None if decode is None else decode(message, names)


def decode_membership(message: dict[str, Any], lists: dict[int, WorkerEntries]) -> api.Membership:
    """Decode an event about the list of workers, with its entries from the numbered `lists`."""
    kind = _LISTS[message["kind"]]
    return api.Membership(kind, [] if kind is api.ListKind.FAILED else lists[message["slot"]])


def decode_batch(line: bytes) -> tuple[float, list[dict[str, Any]]]:
    """Decode one line: the time in ms, and a group of events for each dispatcher. Raises `WireError`."""
    try:
        data = orjson.loads(line)
    except orjson.JSONDecodeError as error:
        raise WireError(f"the line is not JSON: {error}") from None
    if not isinstance(data, dict):
        raise WireError("a batch must be an object")
    now, groups = data.get("at_time"), data.get("dispatchers")
    if not isinstance(now, _NUMBER) or isinstance(now, bool):
        raise WireError("a batch needs a number under at_time")
    if not isinstance(groups, list):
        raise WireError("a batch needs a list under dispatchers")
    return float(now), groups


# ---- actions -------------------------------------------------------------------------------------------


def encode_action(action: api.Action) -> dict[str, Any]:
    """Encode one action."""
    return _ACTIONS[type(action)](action)


def _encode_send(action: api.Send) -> dict[str, Any]:
    sent = {"m": "CALL_OUT", "rid": action.request, "worker": action.worker}
    return sent if action.timeout is None else {**sent, "allow_for": action.timeout}


def _encode_refuse(action: api.Refuse) -> dict[str, Any]:
    refused = {"m": "SAY_NO", "rid": action.request}
    return refused if action.wait is None else {**refused, "stay_away": action.wait}


_ACTIONS: dict[type, Callable[[Any], dict[str, Any]]] = {
    api.Send: _encode_send,
    api.Refuse: _encode_refuse,
    api.Fail: lambda action: {"m": "SURRENDER", "rid": action.request},
    api.Cancel: lambda action: {"m": "UNDO_SEND", "rid": action.request, "go": action.attempt},
    api.SetTimer: lambda action: {"m": "REMIND", "alarm_time": action.at, "handle": action.handle},
    api.Probe: lambda action: {"m": "CHECK", "worker": action.worker},
    api.Watch: lambda action: {"m": "KEEP_INFORMED", "want": action.on},
    api.FetchList: lambda action: {"m": "RESOLVE"},
    api.Log: lambda action: {"m": "DEBUG", "message": action.text},
}


def encode_reply(groups: list[tuple[str, list[api.Action]]]) -> bytes:
    """Encode the reply to a batch: one line with the actions of each dispatcher by its name."""
    body = [{"i": name, "outbox": [encode_action(a) for a in actions]} for name, actions in groups]
    return orjson.dumps({"dispatchers": body}) + b"\n"
