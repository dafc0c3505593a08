"""What one dispatcher process tells another as learned of workers: checked before the decisions see it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeAlias

if TYPE_CHECKING:
    from eiderpin.decide import Dispatcher

FIGURES = {"shapes": 5, "workers": 4, "fleet": 3}  # of each kind that the decisions tell as learned

Learned: TypeAlias = dict[str, dict[str, tuple[float, ...]]]


def collect(module: Dispatcher) -> Learned:
    """What a process that begins beside this one need not find out anew."""
    if module.run_ratio.work <= 0:
        return {}
    return {
        "shapes": {
            name: (s.slots, s.failed_slot_trials, s.slowdown, s.run_ratio.run, s.run_ratio.work)
            for name, s in module.shapes.items()
        },
        "workers": {
            name: (w.slowdown, w.run_ratio.run, w.run_ratio.work, module.fault_of(w))
            for name, w in module.workers.items() if w.run_ratio.work or w.failure_rate
        },
        "fleet": {"": (module.mean_run_ms, module.run_ratio.run, module.run_ratio.work)},
    }  # fmt: skip


def apply_to(module: Dispatcher, learned: Learned) -> None:
    """Before its first run, what another process has learned is better than this one's guesses."""
    if module.run_ratio.work > 0:
        return
    for name, (slots, failed_slot_trials, slowdown, run, work) in learned.get("shapes", {}).items():
        shape = module.shapes.get(name)
        if shape is not None:
            if slots:
                module.set_slots(shape, slots)
            shape.failed_slot_trials, shape.slowdown, shape.run_ratio.run, shape.run_ratio.work = (
                int(failed_slot_trials),
                slowdown,
                run,
                work,
            )
    for name, (slowdown, run, work, failure_rate) in learned.get("workers", {}).items():
        worker = module.workers.get(name)
        if worker is not None:
            worker.failure_rate, worker.failure_rate_at = failure_rate, module.now
            worker.slowdown, worker.slowdown_at, worker.run_ratio.run, worker.run_ratio.work = (
                slowdown,
                module.now,
                run,
                work,
            )
    for mean, run, work in learned.get("fleet", {}).values():
        module.mean_run_ms, module.run_ratio.run, module.run_ratio.work = mean, run, work
        module.mean_slowdown = run / max(work, 1.0)


def parse(said: Any) -> Learned:
    """Raises `ValueError`, `KeyError`, `TypeError` or `AttributeError` where it makes no sense."""
    found: Learned = {}
    for kind, of in said.items():
        count = FIGURES[kind]
        found[kind] = {str(name): _floats(figures, count) for name, figures in of.items()}
    return found


def _floats(figures: Any, count: int) -> tuple[float, ...]:
    got = tuple(float(x) for x in figures)
    if len(got) != count or not all(0 <= x < 1e12 for x in got):
        raise ValueError("no such figures")
    return got
