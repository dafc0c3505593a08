"""Workers that the configuration itself lists: a source beside discovery, or instead of it."""

from __future__ import annotations

from typing import Any

from eiderpin import interface as api
from eiderpin.core.dispatcher import Dispatcher
from eiderpin.core.requests import Attempt, Endpoint
from eiderpin.net.discovery import parse_address
from eiderpin.net.workers import HttpWorkers

ListedWorkers = list[tuple[api.WorkerEntry, object]]

STATES = {"in_service": api.WorkerState.IN_SERVICE, "draining": api.WorkerState.DRAINING}
KEYS = ("name", "address", "state", "zone", "machine_type", "slots", "classes")


def read_workers(said: Any, classes: list[str]) -> ListedWorkers:
    """The `workers` of a configuration. Raises `ValueError` with the row, the key and what is expected."""
    if not isinstance(said, list):
        raise ValueError("workers: a list is needed")
    rows: ListedWorkers = []
    seen: set[str] = set()
    for number, row in enumerate(said):
        where = f"workers[{number}]"
        if not isinstance(row, dict):
            raise ValueError(f"{where}: an object is needed")
        for key in row:
            if key not in KEYS:
                raise ValueError(f"{where}.{key}: there is no such key; there are {', '.join(KEYS)}")
        name, state = row.get("name"), row.get("state", "in_service")
        slots, able = row.get("slots"), row.get("classes")
        if not isinstance(name, str) or not name or name in seen:
            raise ValueError(f"{where}.name: {name!r}; a name of its own is expected")
        if state not in STATES:
            raise ValueError(f"{where}.state: {state!r}; one of {', '.join(STATES)} is expected")
        if slots is not None and (isinstance(slots, bool) or not isinstance(slots, int | float) or slots < 1):
            raise ValueError(f"{where}.slots: {slots!r}; a number from 1 on is expected")
        if able is not None and not (isinstance(able, list) and able and all(c in classes for c in able)):
            raise ValueError(f"{where}.classes: {able!r}; some of {', '.join(classes)} are expected")
        try:
            at = parse_address(row.get("address"))
        except ValueError as error:
            raise ValueError(f"{where}.address: {error}; host:port is expected") from None
        seen.add(name)
        entry = api.WorkerEntry(
            name, str(row.get("zone") or ""), str(row.get("machine_type") or ""), -1, STATES[state],
            classes=frozenset(able) if able is not None else None, slots=float(slots) if slots else None,
        )  # fmt: skip
        rows.append((entry, at))
    return rows


class StaticList:
    """A link of its own, so that discovery's complete lists do not speak for these workers; it reaches
    them as those of discovery are reached."""

    def __init__(self, core: Dispatcher, workers: HttpWorkers) -> None:
        self.core, self.workers = core, workers

    def update_workers(self, rows: ListedWorkers) -> None:
        """These are all. One that is no longer listed is gone: it gets nothing new, as with discovery."""
        self.core.apply_worker_list(self, api.ListKind.COMPLETE, rows)

    def send(self, attempt: Attempt) -> None:
        self.workers.send(attempt)

    def cancel(self, attempt: Attempt) -> None:
        self.workers.cancel(attempt)

    def probe(self, entry: Endpoint) -> None:
        self.workers.probe(entry)

    def endpoint_changed(self, entry: Endpoint) -> None:
        self.workers.endpoint_changed(entry)

    def may_transfer(self, attempt: Attempt) -> bool:
        return self.workers.may_transfer(attempt)
