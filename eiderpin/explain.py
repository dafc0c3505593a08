"""Explains the present state of the decisions to operators and to embedding programs; it changes nothing."""

from __future__ import annotations

from eiderpin import interface as api
from eiderpin.decide import Dispatcher, may_refuse, may_send


def worker(dispatcher: Dispatcher, name: str) -> api.Facts:
    """Return what determines a worker's rank now. Times are in ms; `height` is its load with one more job."""
    seen = dispatcher.workers.get(name)
    if seen is None:
        return {"known": False}
    load, _ = dispatcher.load(seen, 1.0)
    return {
        "known": True,
        "state": seen.state.value,
        "ready": seen.ready,
        "height": load,
        "ours": seen.our_slots,
        "others": dispatcher.slots_of_others(seen),
        "slots": dispatcher.slots(seen),
        "slowness": dispatcher.slowness(seen),
        "warmth": dispatcher.warmth(seen),
        "failures_in_a_row": seen.failures_in_a_row,
        "rests_for": max(0.0, seen.ejected_until - dispatcher.now),
        "on_trial": seen.on_probation,
    }


def request(dispatcher: Dispatcher, number: int) -> api.Facts:
    """Return the state of an open request and what may still be done with it. Times are in ms."""
    job = dispatcher.jobs.get(number)
    if job is None:
        return {"open": False}
    return {
        "open": True,
        "attempts": job.sends,
        "out_at": [a.worker.name for a in job.open_attempts],
        "may_have_run_at": [a.worker.name for a in job.possible_runs],
        "may_send": may_send(job, dispatcher.settings, dispatcher.now),
        "may_refuse": may_refuse(job),
        "past_latest_start": dispatcher.latest_start(job) < dispatcher.now,
        "time_left": job.deadline - dispatcher.now,
    }
