"""The documents of the discovery service: lists of workers, and changes of the list."""

from __future__ import annotations

from typing import Any

from eiderpin import interface as api

MAX_LIST_BYTES = 1 << 20  # of one answer; lists may be indented, and grow with the fleet
# A document is parsed only if it has no more than this; a value takes up to a hundred times its length in it.
MAX_LIST_ENTRIES = 8192
MAX_VALUES_PER_ENTRY = 16

LIFECYCLE_STATES = {
    "Ready": api.WorkerState.IN_SERVICE,
    "Terminating": api.WorkerState.DRAINING,
    "Gone": api.WorkerState.GONE,
}


class ListError(ValueError):
    """A document is not a valid list of workers."""


def parse_address(text: Any) -> tuple[str, int]:
    """Return (host, port) of "host:port". Raises `ListError`."""
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ListError(f"{text!r} is not an address")
    return host, int(port)


def check_shape(document: bytes) -> None:
    """Raise `ListError` if a document that is not parsed yet would take too much memory."""
    containers = document.count(b"{") + document.count(b"[")
    if containers > MAX_LIST_ENTRIES or document.count(b",") > MAX_VALUES_PER_ENTRY * MAX_LIST_ENTRIES:
        raise ListError(f"the list has over {MAX_LIST_ENTRIES} entries")


Entries = list[tuple[api.WorkerEntry, object]]  # workers with their addresses


def read_list(document: Any) -> tuple[int, bool, Entries]:
    """Parse a list as discovery sends it. Raises `ListError`, or a conversion's `ValueError` or `TypeError`.

    Returns its generation, whether it is complete (or else holds changes only), and its entries, with the
    start times of workers by the wall clock.
    """
    if not isinstance(document, dict) or not isinstance(document.get("instances"), list):
        raise ListError("the list has no `instances`")
    entries: Entries = []
    for instance in document["instances"]:
        if not isinstance(instance, dict) or not isinstance(instance.get("instanceId"), str):
            raise ListError("an instance has no `instanceId`")
        if instance.get("lifecycle") not in LIFECYCLE_STATES:
            raise ListError(f"lifecycle {instance.get('lifecycle')!r} is not known")
        entry = api.WorkerEntry(
            instance["instanceId"],
            str(instance.get("zone") or ""),
            str(instance.get("machineType") or ""),
            int(instance.get("cell") or 0),
            LIFECYCLE_STATES[instance["lifecycle"]],
            float(instance.get("weight") or 1.0),
            float(instance.get("startedAtMs") or 0) or None,
        )
        entries.append((entry, parse_address(instance.get("hostPort"))))
    generation = document.get("generation")
    return (generation if isinstance(generation, int) else 0), bool(document.get("reset")), entries
