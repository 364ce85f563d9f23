"""Places the tasks of one step on few workers and in few zones.

A job ends when its last task ends, so a worker that crashes, hangs or loses its network delays
every job with a task there.  The fewer workers and zones a step uses, the fewer jobs one fault
affects.  So all tasks of a step go to one worker if they fit there, and otherwise to one zone.
"""

from __future__ import annotations

from dataclasses import dataclass
from itertools import islice

from onyxspoke.core.jobs.progress import StepProgress, TaskProgress
from onyxspoke.core.placement.isolation import is_on_trial, needs_isolation, place_isolated
from onyxspoke.core.placement.scratch_capacity import ScratchCapacity
from onyxspoke.core.placement.worker_speed_preference import (
    NEUTRAL_SPEED_SCORE,
    SpeedScore,
    speed_preference,
)
from onyxspoke.core.placement.workers import Worker


@dataclass(slots=True)
class Placement:
    """A task, the worker that will run it, and the ticket for that worker."""

    task: TaskProgress
    worker: Worker
    ticket: str


@dataclass(slots=True)
class StepPlacement:
    """Placements of one step's tasks that start now; for a gang, all of its tasks."""

    step: StepProgress
    placements: list[Placement]


@dataclass(slots=True)
class Candidate:
    """A worker that may run a step, and the ticket that permits it."""

    worker: Worker
    ticket: str


def place_tasks(
    step: StepProgress,
    candidates: list[Candidate],
    free_capacity: ScratchCapacity,
    max_tasks: int,
    now: float,
    is_speed_aware: bool = True,
) -> StepPlacement | None:
    """Return placements for up to ``max_tasks`` waiting tasks of a step.

    The result is ``None`` if no task fits.
    """
    startable = [step.tasks[index] for index in islice(step.waiting, max_tasks)]
    step_is_on_trial = is_on_trial(step)
    waiting = [task for task in startable if not needs_isolation(task, step_is_on_trial)]
    suspects = [task for task in startable if needs_isolation(task, step_is_on_trial)]
    task_counts = task_counts_by_worker(step)
    zones = {task.run.worker.record.zone for task in step.tasks if task.run is not None}
    remaining = list(candidates)
    chooser = speed_preference(
        step, (candidate_worker.worker for candidate_worker in candidates), is_speed_aware, now
    )
    placements: list[Placement] = []
    while waiting and remaining:
        best: Candidate | None = None
        best_score: tuple[int, ...] | None = None
        best_tasks: list[TaskProgress] = []
        for candidate in remaining:
            tasks = _assignable_tasks(
                candidate.worker, step, waiting, task_counts, free_capacity, now
            )
            if not tasks:
                continue
            pace = NEUTRAL_SPEED_SCORE if chooser is None else chooser.score(candidate.worker)
            score = _score(
                candidate.worker, step, tasks, len(waiting), zones, free_capacity, now, pace
            )
            if best_score is None or score < best_score:
                best, best_score, best_tasks = candidate, score, tasks
        if best is None:
            break
        free_capacity.take(best.worker, step.needs, len(best_tasks))
        placements += [Placement(task, best.worker, best.ticket) for task in best_tasks]
        zones.add(best.worker.record.zone)
        placed_indices = {task.index for task in best_tasks}
        waiting = [task for task in waiting if task.index not in placed_indices]
        remaining = [candidate for candidate in remaining if candidate is not best]
    for candidate, task in place_isolated(
        step, suspects, remaining, task_counts, free_capacity, now
    ):
        placements.append(Placement(task, candidate.worker, candidate.ticket))
    return StepPlacement(step, placements) if placements else None


def _assignable_tasks(
    worker: Worker,
    step: StepProgress,
    waiting: list[TaskProgress],
    task_counts: dict[str, int],
    free_capacity: ScratchCapacity,
    now: float,
) -> list[TaskProgress]:
    """Return the tasks that a worker would get; tasks that last failed there are avoided."""
    limit = min(free_capacity.slots(worker, step.needs), len(waiting))
    if step.spec.spread_limit:
        limit = min(limit, step.spec.spread_limit - task_counts.get(worker.worker_id, 0))
    if worker.health.is_on_trial(now):
        limit = min(limit, 1)
    if limit <= 0:
        return []
    not_failed_here = [task for task in waiting if task.last_failed_worker_id != worker.worker_id]
    return (not_failed_here or waiting)[:limit]


def _score(
    worker: Worker,
    step: StepProgress,
    tasks: list[TaskProgress],
    waiting_count: int,
    zones: set[str],
    free_capacity: ScratchCapacity,
    now: float,
    pace: SpeedScore,
) -> tuple[int, ...]:
    """Return the score of a worker for the given tasks; the lowest is best.

    Among otherwise equal workers, the one with the fewest free processors wins, which keeps whole
    workers free for large tasks.  For a step that needs accelerators, which are scarce, a worker
    with few free accelerators is preferred over one that keeps the tasks together.  A worker that
    lets the job meet its objective is preferred over both.
    """
    free = free_capacity.free(worker)
    needs_accelerators = step.needs.accelerators > 0
    is_in_other_zone = bool(zones) and worker.record.zone not in zones
    return (
        int(tasks[0].last_failed_worker_id == worker.worker_id),
        int(worker.health.is_suspected(now)),
        int(is_off_preferred_rack(worker, step)),
        pace.lateness_penalty,
        free.accelerators if needs_accelerators else 0,
        int(is_in_other_zone),
        int(len(tasks) < waiting_count),
        pace.fast_worker_penalty,
        free.processors_milli,
    )


def is_off_preferred_rack(worker: Worker, step: StepProgress) -> bool:
    """Return whether a worker is outside the rack that the step prefers for its data."""
    rack = step.spec.preferred_rack
    return bool(rack) and worker.record.rack != rack


def task_counts_by_worker(step: StepProgress) -> dict[str, int]:
    """Return how many tasks of a step run on each worker, by worker id.

    The result is empty if the step has no spread limit.
    """
    task_counts: dict[str, int] = {}
    if step.spec.spread_limit:
        for task in step.tasks:
            if task.run is not None:
                worker_id = task.run.worker.worker_id
                task_counts[worker_id] = task_counts.get(worker_id, 0) + 1
    return task_counts
