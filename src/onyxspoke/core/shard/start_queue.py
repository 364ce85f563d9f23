"""Recorded starts that wait until their workers can take the orders."""

from __future__ import annotations

from collections import deque

from onyxspoke.core.jobs.model import JobId, StepKey, WorkerId
from onyxspoke.core.placement.runs import Run

#: Largest number of start orders to one worker that are not answered yet.  It keeps a worker's few
#: connections busy, and no order waits for a connection for long, because its time is short.
MAXIMUM_UNANSWERED_STARTS = 16
#: Largest number of a step's runs that are planned and not ordered yet; gangs have no limit.  It
#: bounds how far the plan runs ahead of the workers, and so the work of one placement pass.
MAXIMUM_PLANNED_STARTS = 200


class StartQueue:
    """Releases recorded starts: as fast as each worker answers, and to its jobs in turn."""

    def __init__(self) -> None:
        #: Waiting runs by worker and job; both in the order in which they are served next.
        self._waiting: dict[WorkerId, dict[JobId, deque[Run]]] = {}
        #: Workers with waiting runs that can take one more order, the next one first.
        self._ready: dict[WorkerId, None] = {}
        self._unanswered: dict[WorkerId, int] = {}
        self._planned: dict[StepKey, int] = {}

    # Planning

    def note_planned(self, step: StepKey, count: int) -> None:
        """Record that starts of a step were planned, and are to be ordered once recorded."""
        self._planned[step] = self._planned.get(step, 0) + count

    def note_settled(self, step: StepKey) -> bool:
        """Record that a planned start was ordered or withdrawn; return whether to plan more."""
        count = self._planned.get(step, 0) - 1
        if count > 0:
            self._planned[step] = count
        else:
            self._planned.pop(step, None)
        return count == MAXIMUM_PLANNED_STARTS // 2

    def planning_limit(self, step: StepKey) -> int:
        """Return how many starts of a step may be planned now.

        Once the limit is reached, the next ones are planned when half of them were ordered, so that
        a large step is planned in few batches.
        """
        planned = self._planned.get(step, 0)
        return MAXIMUM_PLANNED_STARTS - planned if planned <= MAXIMUM_PLANNED_STARTS // 2 else 0

    # Release

    @property
    def is_ready(self) -> bool:
        """Whether some worker can take an order."""
        return bool(self._ready)

    def add(self, run: Run) -> None:
        """Add a run whose start is recorded."""
        worker_id = run.worker.worker_id
        job_id = run.task.step.job.job_id
        self._waiting.setdefault(worker_id, {}).setdefault(job_id, deque()).append(run)
        self._update_ready(worker_id)

    def take(self) -> Run | None:
        """Return the run that is to be ordered next, from each ready worker and job in turn."""
        if not self._ready:
            return None
        worker_id = next(iter(self._ready))
        del self._ready[worker_id]
        by_job = self._waiting[worker_id]
        job_id = next(iter(by_job))
        runs = by_job.pop(job_id)
        run = runs.popleft()
        if runs:
            by_job[job_id] = runs
        elif not by_job:
            del self._waiting[worker_id]
        self._update_ready(worker_id)
        return run

    def note_ordered(self, worker_id: WorkerId) -> None:
        """Record that a start order was sent to a worker."""
        self._unanswered[worker_id] = self._unanswered.get(worker_id, 0) + 1
        if self._unanswered[worker_id] >= MAXIMUM_UNANSWERED_STARTS:
            self._ready.pop(worker_id, None)

    def note_answered(self, worker_id: WorkerId) -> None:
        """Record that a start order was answered, or given up."""
        count = self._unanswered.get(worker_id, 0) - 1
        if count > 0:
            self._unanswered[worker_id] = count
        else:
            self._unanswered.pop(worker_id, None)
        self._update_ready(worker_id)

    def _update_ready(self, worker_id: WorkerId) -> None:
        can_take = self._unanswered.get(worker_id, 0) < MAXIMUM_UNANSWERED_STARTS
        if worker_id in self._waiting and can_take:
            self._ready.setdefault(worker_id)
