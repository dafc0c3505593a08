"""What a dispatcher process has learned of workers, as passed to another process as a warm-start hint.

A hint is checked before the decision module receives it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeAlias

if TYPE_CHECKING:
    from eiderpin.decide import Dispatcher

FIGURES_PER_KIND = {"shapes": 5, "workers": 4, "fleet": 3}

Learned: TypeAlias = dict[str, dict[str, tuple[float, ...]]]  # figures by kind and name


def collect(module: Dispatcher) -> Learned:
    """Return what this process has learned, so that a new process need not learn it again.

    The result is empty as long as this process has seen no run.
    """
    if module.run_ratio.work <= 0:
        return {}
    return {
        "shapes": {
            name: (
                shape.slots, shape.failed_slot_trials, shape.slowdown,
                shape.run_ratio.run, shape.run_ratio.work,
            )
            for name, shape in module.shapes.items()
        },
        "workers": {
            name: (worker.slowdown, worker.run_ratio.run, worker.run_ratio.work, module.fault_of(worker))
            for name, worker in module.workers.items() if worker.run_ratio.work or worker.failure_rate
        },
        "fleet": {"": (module.mean_run_ms, module.run_ratio.run, module.run_ratio.work)},
    }  # fmt: skip


def apply_to(module: Dispatcher, learned: Learned) -> None:
    """Replace this process's initial estimates by what another process has learned.

    Ignored once this process has seen a run of its own. Shapes and workers that it does not know are skipped.
    """
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


def parse(data: Any) -> Learned:
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
