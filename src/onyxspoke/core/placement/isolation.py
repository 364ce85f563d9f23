"""Starts tasks that may have crashed workers in isolation from other jobs.

If only tasks of one job start on a worker, a crash of the worker identifies the job.  So a job
that crashes workers is identified at its second or third crash, and jobs that happened to start on
the same worker are not suspected again.  Suspect tasks of one step start together on one worker:
the crash of several workers at once would cost more and would not identify the job any better.
Started on a worker each, 25 suspect tasks could crash 25 workers at once.

After a crash that only one job can have caused, the crashing step is on trial: its waiting tasks
start on one worker at a time, until one of them has survived its start.  Only the start is
isolated, because isolation of whole runs would keep the worker from other jobs for too long.
"""

from __future__ import annotations

from typing import Protocol, TypeVar

from onyxspoke.core.jobs.progress import StepProgress, TaskProgress
from onyxspoke.core.placement.blame import RECENT_START_SECONDS
from onyxspoke.core.placement.runs import Run
from onyxspoke.core.placement.scratch_capacity import ScratchCapacity
from onyxspoke.core.placement.workers import Worker

#: Usual upper limit, in seconds, of the time to detect a crash.  Connections are reset within
#: 30 ms, and a poll of a worker times out after 0.2 s.
CRASH_REPORT_SECONDS = 0.25
#: A worker that has been up for this many seconds is not in a crash loop.  A worker in a crash loop
#: often has the fewest runs, and every suspect task placed there would seem to crash it.
STABLE_UPTIME_SECONDS = 10.0
#: How long, in seconds, the start of a suspect task is isolated.
ISOLATION_SECONDS = RECENT_START_SECONDS + CRASH_REPORT_SECONDS


class HasWorker(Protocol):
    """An object with a worker on which a task can be placed."""

    @property
    def worker(self) -> Worker:
        """The worker on which a task can be placed."""


AnyHasWorker = TypeVar("AnyHasWorker", bound=HasWorker)


def isolate_worker_of(run: Run, now: float) -> None:
    """Let no other run start on the worker of a suspect run until a crash would be detected."""
    run.task.step.next_trial_start_at = run.worker.isolated_until = now + ISOLATION_SECONDS


def is_on_trial(step: StepProgress) -> bool:
    """Return whether a step crashed a worker, and no task of it has survived its start since."""
    if not step.last_crash_at or step.done_count > step.done_count_at_crash:
        return False
    return not any(_has_survived_start(task, step.last_crash_at) for task in step.tasks)


def _has_survived_start(task: TaskProgress, last_crash_at: float) -> bool:
    run = task.run
    if run is None or not run.confirmed_at or run.ordered_at <= last_crash_at:
        return False
    return run.worker.last_answer_at > run.ordered_at + RECENT_START_SECONDS


def needs_isolation(task: TaskProgress, step_is_on_trial: bool) -> bool:
    """Return whether a task must start in isolation from other jobs."""
    return step_is_on_trial or task.crashes.needs_isolation


def place_isolated(
    step: StepProgress,
    suspects: list[TaskProgress],
    candidates: list[AnyHasWorker],
    task_counts: dict[str, int],
    free_capacity: ScratchCapacity,
    now: float,
) -> list[tuple[AnyHasWorker, TaskProgress]]:
    """Return the placements of a step's suspect tasks, on as few workers as possible.

    Workers where isolation affects other jobs least are used first.
    """
    placed: list[tuple[AnyHasWorker, TaskProgress]] = []
    waiting = list(suspects)
    one_worker_at_a_time = is_on_trial(step)
    if one_worker_at_a_time and now < step.next_trial_start_at:
        return placed
    for candidate in sorted(
        candidates, key=lambda candidate: _isolation_cost(candidate.worker, free_capacity, now)
    ):
        if not waiting:
            break
        count = _isolated_slots(candidate.worker, step, task_counts, free_capacity)
        if count > 0:
            free_capacity.take_all(candidate.worker)
            placed += [(candidate, task) for task in waiting[:count]]
            waiting = [] if one_worker_at_a_time else waiting[count:]
    return placed


def _isolated_slots(
    worker: Worker, step: StepProgress, task_counts: dict[str, int], free_capacity: ScratchCapacity
) -> int:
    slots = free_capacity.slots(worker, step.needs)
    limit = step.spec.spread_limit
    return min(slots, limit - task_counts.get(worker.worker_id, 0)) if limit else slots


def _isolation_cost(
    worker: Worker, free_capacity: ScratchCapacity, now: float
) -> tuple[bool, bool, int]:
    """Return the cost of isolating tasks on a worker; the lowest is best.

    The worst workers are those that started recently and may be in a crash loop, then those with
    recent starts of other runs, then those with many runs.
    """
    latest_order_at = max((run.ordered_at for run in worker.runs.values()), default=0.0)
    has_recent_starts = (
        free_capacity.has_taken_from(worker) or now - latest_order_at < RECENT_START_SECONDS
    )
    is_recently_started = now - worker.first_answer_at < STABLE_UPTIME_SECONDS
    return is_recently_started, has_recent_starts, len(worker.runs)
