"""Workers that the configuration lists, in addition to those of discovery or instead of them."""

from __future__ import annotations

from typing import Any

from eiderpin import interface as api
from eiderpin.core.dispatcher import Dispatcher
from eiderpin.core.requests import Attempt, Endpoint
from eiderpin.net.list_document import parse_address
from eiderpin.net.workers import HttpWorkers

ListedWorkers = list[tuple[api.WorkerEntry, object]]  # workers with their addresses

STATES = {"in_service": api.WorkerState.IN_SERVICE, "draining": api.WorkerState.DRAINING}
KEYS = ("name", "address", "state", "zone", "machine_type", "slots", "classes")


def read_workers(value: Any, classes: list[str]) -> ListedWorkers:
    """Parse the key `workers` of a configuration; `classes` are the names of the configured classes.

    Raises `ValueError` with the row, the key and what is expected there.
    """
    if not isinstance(value, list):
        raise ValueError("workers: a list is needed")
    rows: ListedWorkers = []
    seen: set[str] = set()
    for number, row in enumerate(value):
        where = f"workers[{number}]"
        if not isinstance(row, dict):
            raise ValueError(f"{where}: an object is needed")
        for key in row:
            if key not in KEYS:
                raise ValueError(f"{where}.{key}: there is no such key; there are {', '.join(KEYS)}")
        name, state = row.get("name"), row.get("state", "in_service")
        slots, row_classes = row.get("slots"), row.get("classes")
        if not isinstance(name, str) or not name or name in seen:
            raise ValueError(f"{where}.name: {name!r}; a name of its own is expected")
        if state not in STATES:
            raise ValueError(f"{where}.state: {state!r}; one of {', '.join(STATES)} is expected")
        if slots is not None and (isinstance(slots, bool) or not isinstance(slots, int | float) or slots < 1):
            raise ValueError(f"{where}.slots: {slots!r}; a number from 1 on is expected")
        if row_classes is not None and not (
            isinstance(row_classes, list) and row_classes and all(c in classes for c in row_classes)
        ):
            raise ValueError(f"{where}.classes: {row_classes!r}; some of {', '.join(classes)} are expected")
        try:
            host_port = parse_address(row.get("address"))
        except ValueError as error:
            raise ValueError(f"{where}.address: {error}; host:port is expected") from None
        seen.add(name)
        entry = api.WorkerEntry(
            name, str(row.get("zone") or ""), str(row.get("machine_type") or ""), -1, STATES[state],
            classes=frozenset(row_classes) if row_classes is not None else None,
            slots=float(slots) if slots else None,
        )  # fmt: skip
        rows.append((entry, host_port))
    return rows


class StaticList:
    """The link to the workers of the configuration, which reaches them through the link of discovery.

    It is a separate link because a complete list of discovery replaces all workers of its own link.
    """

    def __init__(self, core: Dispatcher, workers: HttpWorkers) -> None:
        self.core, self.workers = core, workers

    def update_workers(self, rows: ListedWorkers) -> None:
        """Replace the workers. One that is no longer listed gets no new attempts."""
        self.core.apply_worker_list(self, api.ListKind.COMPLETE, rows)

    def send(self, attempt: Attempt) -> None:
        """Send an attempt to its worker."""
        self.workers.send(attempt)

    def cancel(self, attempt: Attempt) -> None:
        """Ask the worker to drop an attempt."""
        self.workers.cancel(attempt)

    def probe(self, endpoint: Endpoint) -> None:
        """Ask a worker for its load or health."""
        self.workers.probe(endpoint)

    def endpoint_changed(self, endpoint: Endpoint) -> None:
        """Note that the state or address of a worker has changed."""
        self.workers.endpoint_changed(endpoint)

    def may_transfer(self, attempt: Attempt) -> bool:
        """Return whether the attempt can go to the peer process."""
        return self.workers.may_transfer(attempt)
