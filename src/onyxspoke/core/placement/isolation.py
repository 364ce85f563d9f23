"""Tasks that may have crashed workers begin apart from other jobs.

Where only tasks of one job begin on a worker, a crash proves it: so a job that crashes workers is
found out with its second or third one, and those that began beside it once are not counted with it
again.  Suspects of one step begin together: which of them is to blame makes no difference to their
job, and 25 of them that each began on a worker of its own would take 25 workers down at once.
After a crash that can only be the job's, the step is on trial: all that waits of it begins on one
worker at a time, until some of it has lived through its beginning.  Only the beginning is kept
apart: for a whole run it would take a worker from all others.
"""

from __future__ import annotations

from typing import Protocol, TypeVar

from onyxspoke.core.jobs.progress import StepProgress, TaskProgress
from onyxspoke.core.placement.blame import RECENT_START_SECONDS
from onyxspoke.core.placement.runs import Run
from onyxspoke.core.placement.scratch_capacity import ScratchCapacity
from onyxspoke.core.placement.workers import Worker

#: How long the news of a crash takes at most, as a rule, in seconds: connections are reset within
#: 30 ms, and a look that goes unanswered is given up after 0.2 s.
NEWS_SECONDS = 0.25
#: A worker that has been up for so long, in seconds, does not go down and up by turns.  One that
#: does is the emptiest again and again, and would bring every suspect its second crash.
SETTLED_SECONDS = 10.0
#: For how long a beginning is kept apart.
TRIAL_SECONDS = RECENT_START_SECONDS + NEWS_SECONDS


class Place(Protocol):
    """A worker that may run a task."""

    @property
    def worker(self) -> Worker:
        """The worker."""


AnyPlace = TypeVar("AnyPlace", bound=Place)


def isolate_worker_of(run: Run, now: float) -> None:
    """Have nothing else begin on a run's worker until it would be known that the run crashed it."""
    step = run.task.step
    if run.task.crashes.needs_isolation or is_on_trial(step):
        step.next_trial_start_at = run.worker.isolated_until = now + TRIAL_SECONDS


def is_on_trial(step: StepProgress) -> bool:
    """Return whether a step crashed a worker, and nothing of it has begun well since."""
    if not step.last_crash_at or step.done_count > step.done_count_at_crash:
        return False
    return not any(_has_begun_well(task, step.last_crash_at) for task in step.tasks)


def _has_begun_well(task: TaskProgress, last_crash_at: float) -> bool:
    run = task.run
    if run is None or not run.confirmed_at or run.ordered_at <= last_crash_at:
        return False
    return run.worker.last_answer_at > run.ordered_at + RECENT_START_SECONDS


def begins_apart(task: TaskProgress, step_is_on_trial: bool) -> bool:
    """Return whether a task is to begin apart from other jobs."""
    return step_is_on_trial or task.crashes.needs_isolation


def place_apart(
    step: StepProgress,
    suspects: list[TaskProgress],
    places: list[AnyPlace],
    counts: dict[str, int],
    room: ScratchCapacity,
    now: float,
) -> list[tuple[AnyPlace, TaskProgress]]:
    """Return where suspects of a step begin: together, where they disturb others least."""
    chosen: list[tuple[AnyPlace, TaskProgress]] = []
    waiting = list(suspects)
    one_at_a_time = is_on_trial(step)
    if one_at_a_time and now < step.next_trial_start_at:
        return chosen
    for place in sorted(places, key=lambda place: _disturbance(place.worker, room, now)):
        if not waiting:
            break
        count = _slots_apart(place.worker, step, counts, room)
        if count > 0:
            room.take_all(place.worker)
            chosen += [(place, task) for task in waiting[:count]]
            waiting = [] if one_at_a_time else waiting[count:]
    return chosen


def _slots_apart(
    worker: Worker, step: StepProgress, counts: dict[str, int], room: ScratchCapacity
) -> int:
    slots = room.slots(worker, step.needs)
    limit = step.spec.spread_limit
    return min(slots, limit - counts.get(worker.worker_id, 0)) if limit else slots


def _disturbance(worker: Worker, room: ScratchCapacity, now: float) -> tuple[bool, bool, int]:
    """Return how ill a worker suits: it may crash by itself, others have just begun, others run."""
    latest = max((run.ordered_at for run in worker.runs.values()), default=0.0)
    has_new = room.has_taken_from(worker) or now - latest < RECENT_START_SECONDS
    is_young = now - worker.first_answer_at < SETTLED_SECONDS
    return is_young, has_new, len(worker.runs)
