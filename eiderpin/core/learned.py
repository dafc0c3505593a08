"""What a dispatcher process has learned of workers, as passed to another process as a warm-start hint.

A hint is checked before the decision module receives it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeAlias

if TYPE_CHECKING:
    from eiderpin.decide import Dispatcher

FIGURES_PER_KIND = {"shapes": 5, "workers": 4, "fleet": 3}

Learned: TypeAlias = dict[str, dict[str, tuple[float, ...]]]  # figures by kind and name


def of(module: Dispatcher) -> Learned:
    """Return what this process has learned, so that a new process need not learn it again.

    The result is empty as long as this process has seen no run.
    """
    if module.pace.work <= 0:
        return {}
    return {
        "shapes": {
            name: (shape.slots, shape.misses, shape.slow, shape.pace.run, shape.pace.work)
            for name, shape in module.shapes.items()
        },
        "workers": {
            name: (worker.slow, worker.pace.run, worker.pace.work, module.fault_of(worker))
            for name, worker in module.workers.items() if worker.pace.work or worker.fault
        },
        "fleet": {"": (module.run_mean, module.pace.run, module.pace.work)},
    }  # fmt: skip


def take(module: Dispatcher, learned: Learned) -> None:
    """Replace this process's initial estimates by what another process has learned.

    Ignored once this process has seen a run of its own. Shapes and workers that it does not know are skipped.
    """
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


def check(data: Any) -> Learned:
    """Check and convert what another process has sent as learned.

    Raises `ValueError`, `KeyError`, `TypeError` or `AttributeError` if it is malformed.
    """
    result: Learned = {}
    for kind, figures_by_name in data.items():
        count = FIGURES_PER_KIND[kind]
        result[kind] = {str(name): _floats(figures, count) for name, figures in figures_by_name.items()}
    return result


def _floats(figures: Any, count: int) -> tuple[float, ...]:
    """Convert `count` figures; raises `ValueError` if their number or one of their values is not valid."""
    values = tuple(float(figure) for figure in figures)
    if len(values) != count or not all(0 <= value < 1e12 for value in values):
        raise ValueError("wrong number of figures, or a figure out of range")
    return values
