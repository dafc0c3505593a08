"""What one dispatcher process tells another as learned of workers: checked before the decisions see it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeAlias

if TYPE_CHECKING:
    from eiderpin.decide import Dispatcher

FIGURES = {"shapes": 5, "workers": 4, "fleet": 3}  # of each kind that the decisions tell as learned

Learned: TypeAlias = dict[str, dict[str, tuple[float, ...]]]


def of(module: Dispatcher) -> Learned:
    """What a process that begins beside this one need not find out anew."""
    if module.pace.work <= 0:
        return {}
    return {
        "shapes": {
            name: (s.slots, s.misses, s.slow, s.pace.run, s.pace.work) for name, s in module.shapes.items()
        },
        "workers": {
            name: (w.slow, w.pace.run, w.pace.work, module.fault_of(w))
            for name, w in module.workers.items() if w.pace.work or w.fault
        },
        "fleet": {"": (module.run_mean, module.pace.run, module.pace.work)},
    }  # fmt: skip


def take(module: Dispatcher, learned: Learned) -> None:
    """Before its first run, what another process has learned is better than this one's guesses."""
    if module.pace.work > 0:
        return
    for name, (slots, misses, slow, run, work) in learned.get("shapes", {}).items():
        shape = module.shapes.get(name)
        if shape is not None:
            if slots:
                module.set_slots(shape, slots)
            shape.misses, shape.slow, shape.pace.run, shape.pace.work = int(misses), slow, run, work
    for name, (slow, run, work, fault) in learned.get("workers", {}).items():
        worker = module.workers.get(name)
        if worker is not None:
            worker.fault, worker.fault_at = fault, module.now
            worker.slow, worker.slow_at, worker.pace.run, worker.pace.work = slow, module.now, run, work
    for mean, run, work in learned.get("fleet", {}).values():
        module.run_mean, module.pace.run, module.pace.work = mean, run, work
        module.slow_mean = run / max(work, 1.0)


def check(said: Any) -> Learned:
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
