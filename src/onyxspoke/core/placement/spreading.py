"""Which workers the tasks of one step go to: few workers, and few zones.

A job is done when its last task is, so one worker that crashes, hangs or is cut off holds up every
job with a task there.  The fewer workers and zones a step is spread over, the fewer jobs a fault
touches: so all of its tasks go to one worker where they fit, and to one zone elsewhere.
"""

from __future__ import annotations

from dataclasses import dataclass

from onyxspoke.core.jobs.progress import StepProgress, TaskProgress
from onyxspoke.core.placement.isolation import begins_apart, is_on_trial, place_apart
from onyxspoke.core.placement.scratch_capacity import ScratchCapacity
from onyxspoke.core.placement.worker_speed_preference import (
    NEUTRAL_SPEED_SCORE,
    SpeedScore,
    speed_preference,
)
from onyxspoke.core.placement.workers import Worker


@dataclass(slots=True)
class Placement:
    """One task and the worker that is to run it."""

    task: TaskProgress
    worker: Worker
    ticket: str


@dataclass(slots=True)
class StepPlacement:
    """Tasks of one step to start now; of a gang, all or none."""

    step: StepProgress
    placements: list[Placement]


@dataclass(slots=True)
class Candidate:
    """A worker that may run a step, and the leave to do so."""

    worker: Worker
    ticket: str


def place_tasks(
    step: StepProgress,
    candidates: list[Candidate],
    room: ScratchCapacity,
    most: int,
    now: float,
    is_speed_aware: bool = True,
) -> StepPlacement | None:
    """Return where waiting tasks of a step, at most so many, start now, as far as there is room."""
    chosen_tasks = [step.tasks[index] for index in step.waiting][:most]
    on_trial = is_on_trial(step)
    waiting = [task for task in chosen_tasks if not begins_apart(task, on_trial)]
    suspects = [task for task in chosen_tasks if begins_apart(task, on_trial)]
    counts = task_counts_by_worker(step)
    zones = {task.run.worker.record.zone for task in step.tasks if task.run is not None}
    left = list(candidates)
    chooser = speed_preference(step, (item.worker for item in candidates), is_speed_aware, now)
    placements: list[Placement] = []
    while waiting and left:
        best: Candidate | None = None
        best_score: tuple[int, ...] | None = None
        best_tasks: list[TaskProgress] = []
        for candidate in left:
            tasks = _tasks_for(candidate.worker, step, waiting, counts, room, now)
            if not tasks:
                continue
            pace = NEUTRAL_SPEED_SCORE if chooser is None else chooser.score(candidate.worker)
            score = _score(candidate.worker, step, tasks, len(waiting), zones, room, now, pace)
            if best_score is None or score < best_score:
                best, best_score, best_tasks = candidate, score, tasks
        if best is None:
            break
        room.take(best.worker, step.needs, len(best_tasks))
        placements += [Placement(task, best.worker, best.ticket) for task in best_tasks]
        zones.add(best.worker.record.zone)
        chosen = {task.index for task in best_tasks}
        waiting = [task for task in waiting if task.index not in chosen]
        left = [candidate for candidate in left if candidate is not best]
    for candidate, task in place_apart(step, suspects, left, counts, room, now):
        placements.append(Placement(task, candidate.worker, candidate.ticket))
    return StepPlacement(step, placements) if placements else None


def _tasks_for(
    worker: Worker,
    step: StepProgress,
    waiting: list[TaskProgress],
    counts: dict[str, int],
    room: ScratchCapacity,
    now: float,
) -> list[TaskProgress]:
    """Return the tasks that would go to a worker, those that did not just fail there first."""
    bound = min(room.slots(worker, step.needs), len(waiting))
    if step.spec.spread_limit:
        bound = min(bound, step.spec.spread_limit - counts.get(worker.worker_id, 0))
    if worker.health.is_on_trial(now):
        bound = min(bound, 1)
    if bound <= 0:
        return []
    elsewhere = [task for task in waiting if task.last_failed_worker_id != worker.worker_id]
    return (elsewhere or waiting)[:bound]


def _score(
    worker: Worker,
    step: StepProgress,
    tasks: list[TaskProgress],
    waiting_count: int,
    zones: set[str],
    room: ScratchCapacity,
    now: float,
    pace: SpeedScore,
) -> tuple[int, ...]:
    """Return how well a worker suits; the lowest is best.

    Of equal ones the fullest worker is taken, so that room for wide tasks stays whole.  Where a
    step takes accelerators, which are scarce, that goes before keeping its tasks together; and
    before both that the job can be on time there.
    """
    free = room.free(worker)
    needs_accelerators = step.needs.accelerators > 0
    is_apart = bool(zones) and worker.record.zone not in zones
    return (
        int(tasks[0].last_failed_worker_id == worker.worker_id),
        int(worker.health.is_suspected(now)),
        int(is_off_preferred_rack(worker, step)),
        pace.lateness_penalty,
        free.accelerators if needs_accelerators else 0,
        int(is_apart),
        int(len(tasks) < waiting_count),
        pace.fast_worker_penalty,
        free.processors_milli,
    )


def is_off_preferred_rack(worker: Worker, step: StepProgress) -> bool:
    """Return whether a worker is in another rack than the step's data."""
    rack = step.spec.preferred_rack
    return bool(rack) and worker.record.rack != rack


def task_counts_by_worker(step: StepProgress) -> dict[str, int]:
    """Return how many tasks of a step run on each worker, where their spread is bounded."""
    counts: dict[str, int] = {}
    if step.spec.spread_limit:
        for task in step.tasks:
            if task.run is not None:
                worker_id = task.run.worker.worker_id
                counts[worker_id] = counts.get(worker_id, 0) + 1
    return counts
