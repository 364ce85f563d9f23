"""The naive choice of a worker: scan all of them."""

from __future__ import annotations

from collections.abc import Iterable

from onyxspoke.core.owned_worker import OwnedWorker
from onyxspoke.core.schema import PlacementPolicy, TaskClass


def choose_worker(task_class: TaskClass, workers: Iterable[OwnedWorker]) -> OwnedWorker | None:
    """Return the worker that suits a task best, or ``None`` if none has room.

    All given workers must accept work.

    ``SPREAD`` takes the least occupied worker, ``PACK`` the most occupied one that
    still fits.  Either keeps machines with accelerators for work that needs them.
    """
    best: OwnedWorker | None = None
    best_score = (0, 0.0)
    for worker in workers:
        if not _is_feasible(task_class, worker):
            continue
        score = _score(task_class, worker)
        if best is None or score > best_score:
            best = worker
            best_score = score
    return best


def _is_feasible(task_class: TaskClass, worker: OwnedWorker) -> bool:
    if task_class.generations and worker.machine.generation not in task_class.generations:
        return False
    return task_class.resources.fits_in(worker.free)


def _score(task_class: TaskClass, worker: OwnedWorker) -> tuple[int, float]:
    wastes_accelerators = worker.capacity.accelerators and not task_class.resources.accelerators
    occupied = worker.occupied_share
    preference = occupied if task_class.policy is PlacementPolicy.PACK else -occupied
    return (0 if wastes_accelerators else 1, preference)
