"""Hosts dispatchers on the simulator's wire: one line in, one line out. It decides nothing."""

from __future__ import annotations

import gc
import sys
from typing import Any, BinaryIO

from eiderpin import interface as api
from eiderpin import wire
from eiderpin.decide import Dispatcher


class Host:
    """The instances of one process; they share nothing but the numbered lists that the wire shares."""

    def __init__(self) -> None:
        self._lists: dict[int, wire.WorkerEntries] = {}
        self._instances: dict[str, tuple[Dispatcher, wire.ReportNames]] = {}

    def line(self, line: bytes) -> bytes:
        """The reply to one batch."""
        now, groups = wire.decode_batch(line)
        replies: list[tuple[str, list[api.Action]]] = []
        for group in groups:
            try:
                name, events = group["i"], group["in"]
                actions = self._group(now, name, events)
            except api.SettingsError:
                raise
            except (KeyError, TypeError, ValueError, AttributeError) as error:
                if isinstance(error, wire.WireError) or error.__traceback__ is None:
                    raise
                if _inside(error, "decide.py"):
                    raise
                text = f"a batch holds what is not legal: {type(error).__name__}: {error}"
                raise wire.WireError(text) from error
            if actions:
                replies.append((name, actions))
        return wire.encode_reply(replies)

    def _group(self, now: float, name: str, events: list[dict[str, Any]]) -> list[api.Action]:
        actions: list[api.Action] = []
        pending: list[api.Event] = []
        instance = self._instances.get(name)
        for e in events:
            kind = e["m"]
            if kind == "SNAPSHOT_ROWS":
                self._lists[e["slot"]] = wire.decode_workers(e["lines"])
            elif kind == "PROVISION":
                settings, names = wire.decode_settings(e.get("conf"))
                instance = (Dispatcher(settings, int(e.get("prng") or 0)), names)
                self._instances[name] = instance
                pending = []
            elif kind == "DETACH":
                # What was pending is void with the instance: it has not been handed over yet.
                self._instances.pop(name, None)
                instance, pending = None, []
            elif instance is not None:
                if kind == "MEMBERS":
                    pending.append(wire.decode_membership(e, self._lists))
                else:
                    event = wire.decode_event(e, instance[1])
                    if event is not None:
                        pending.append(event)
        if instance is not None and pending:
            actions.extend(instance[0].handle(now, pending))
        return actions


def _inside(error: BaseException, file: str) -> bool:
    """Whether an error arose in this file: a fault of the module, not of the input."""
    trace = error.__traceback__
    while trace is not None:
        if trace.tb_frame.f_code.co_filename.endswith(file):
            return True
        trace = trace.tb_next
    return False


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    host = Host()
    for line in source:
        if line.strip():
            sink.write(host.line(line))
            sink.flush()


def main() -> int:
    # The module makes no reference cycles; scanning for them would only cost time in large processes.
    gc.disable()
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (wire.WireError, api.SettingsError) as error:
        print(f"eiderpin: {error}".replace("\n", " "), file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
