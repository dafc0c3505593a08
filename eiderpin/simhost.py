"""Hosts decision modules for the simulator: an input line is a batch of events, an output line its reply."""

from __future__ import annotations

import gc
import sys
from typing import Any, BinaryIO

from eiderpin import interface as api
from eiderpin import wire
from eiderpin.decide import Dispatcher


class Host:
    """The dispatcher instances of one process.

    They share nothing except the numbered worker lists, which the simulator sends once for all of them.
    """

    def __init__(self) -> None:
        self._lists: dict[int, wire.WorkerEntries] = {}
        self._instances: dict[str, tuple[Dispatcher, wire.ReportNames]] = {}

    def line(self, line: bytes) -> bytes:
        """Return the reply to one batch. Raises `WireError` and `SettingsError`."""
        now, groups = wire.decode_batch(line)
        replies: list[tuple[str, list[api.Action]]] = []
        for group in groups:
            try:
                name, events = group["i"], group["in"]
                actions = self._handle_events(now, name, events)
            except api.SettingsError:
                raise
            except (KeyError, TypeError, ValueError, AttributeError) as error:
                if isinstance(error, wire.WireError) or error.__traceback__ is None:
                    raise
                if _passed_through(error, "decide.py"):
                    raise
                text = f"a batch holds what is not legal: {type(error).__name__}: {error}"
                raise wire.WireError(text) from error
            if actions:
                replies.append((name, actions))
        return wire.encode_reply(replies)

    def _handle_events(self, now: float, name: str, events: list[dict[str, Any]]) -> list[api.Action]:
        """Pass one instance's events to it and return its actions."""
        actions: list[api.Action] = []
        pending: list[api.Event] = []
        instance = self._instances.get(name)
        for data in events:
            kind = data["m"]
            if kind == "SNAPSHOT_ROWS":
                self._lists[data["slot"]] = wire.decode_workers(data["lines"])
            elif kind == "PROVISION":
                settings, names = wire.decode_settings(data.get("conf"))
                instance = (Dispatcher(settings, int(data.get("prng") or 0)), names)
                self._instances[name] = instance
                pending = []
            elif kind == "DETACH":
                # Events that were not yet passed to the instance are dropped with it.
                self._instances.pop(name, None)
                instance, pending = None, []
            elif instance is not None:
                if kind == "MEMBERS":
                    pending.append(wire.decode_membership(data, self._lists))
                else:
                    event = wire.decode_event(data, instance[1])
                    if event is not None:
                        pending.append(event)
        if instance is not None and pending:
            actions.extend(instance[0].handle(now, pending))
        return actions


def _passed_through(error: BaseException, file: str) -> bool:
    """Return whether an error passed through this file: then the module is at fault, not its input."""
    trace = error.__traceback__
    while trace is not None:
        if trace.tb_frame.f_code.co_filename.endswith(file):
            return True
        trace = trace.tb_next
    return False


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer each line of `source` with a line to `sink`, until the source ends."""
    host = Host()
    for line in source:
        if line.strip():
            sink.write(host.line(line))
            sink.flush()


def main() -> int:
    """Serve standard input and output; return the exit status, 2 for input that is not valid."""
    # The decision module creates no reference cycles, so scanning for them would only cost time.
    gc.disable()
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (wire.WireError, api.SettingsError) as error:
        print(f"eiderpin: {error}".replace("\n", " "), file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
