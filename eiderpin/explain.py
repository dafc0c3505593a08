"""Explains the present state of the decisions to operators and to embedding programs; it changes nothing."""

from __future__ import annotations

from eiderpin import interface as api
from eiderpin.decide import Dispatcher, may_refuse, may_send


def worker(dispatcher: Dispatcher, name: str) -> api.Facts:
    """Return what determines how soon a worker is chosen now.

    `height` is its load with one more job of one slot, `ours` and `others` are the slots held there,
    `slowness` is run time over work, `warmth` the least share of its capacity, and `rests_for` the rest of
    its ejection in ms. A worker that is not known is given as such.
    """
    known_worker = dispatcher.workers.get(name)
    if known_worker is None:
        return {"known": False}
    load, _ = dispatcher.load(known_worker, 1.0)
    return {
        "known": True,
        "state": known_worker.state.value,
        "ready": known_worker.ready,
        "height": load,
        "ours": known_worker.our_slots,
        "others": dispatcher.slots_of_others(known_worker),
        "slots": dispatcher.slots(known_worker),
        "slowness": dispatcher.slowness(known_worker),
        "warmth": dispatcher.warmth(known_worker),
        "failures_in_a_row": known_worker.failures_in_a_row,
        "rests_for": max(0.0, known_worker.ejected_until - dispatcher.now),
        "on_trial": known_worker.on_probation,
    }


def request(dispatcher: Dispatcher, number: int) -> api.Facts:
    """Return the state of a request and what may still be done with it.

    `out_at` names the workers of its open attempts, `may_have_run_at` those of ended attempts that may have
    run, and `time_left` is the time to its deadline in ms. A request that has ended or is not known is not
    open.
    """
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
