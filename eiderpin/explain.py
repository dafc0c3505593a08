"""Why the decisions are as they are, for on-call staff and for who embeds them. It decides nothing."""

from __future__ import annotations

from eiderpin import interface as api
from eiderpin.decide import Dispatcher, may_refuse, may_send


def worker(d: Dispatcher, name: str) -> api.Facts:
    """Why a worker ranks as it does now."""
    seen = d.workers.get(name)
    if seen is None:
        return {"known": False}
    height, _ = d.load(seen, 1.0)
    return {
        "known": True,
        "state": seen.state.value,
        "ready": seen.ready,
        "height": height,
        "ours": seen.our_slots,
        "others": d.slots_of_others(seen),
        "slots": d.slots(seen),
        "slowness": d.slowness(seen),
        "warmth": d.warmth(seen),
        "failures_in_a_row": seen.failures_in_a_row,
        "rests_for": max(0.0, seen.ejected_until - d.now),
        "on_trial": seen.on_probation,
    }


def request(d: Dispatcher, number: int) -> api.Facts:
    """Where an open request stands, and what may still be done with it."""
    job = d.jobs.get(number)
    if job is None:
        return {"open": False}
    return {
        "open": True,
        "attempts": job.sends,
        "out_at": [a.worker.name for a in job.open_attempts],
        "may_have_run_at": [a.worker.name for a in job.possible_runs],
        "may_send": may_send(job, d.settings, d.now),
        "may_refuse": may_refuse(job),
        "past_latest_start": d.latest_start(job) < d.now,
        "time_left": job.deadline - d.now,
    }
