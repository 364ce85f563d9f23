"""All jobs of one shard: accepted, advanced by what becomes of their runs, remembered.

Every change that must outlive the holder marks its job as dirty; the commit queue of the
shard takes the marks and writes the records.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum

from onyxspoke.core.estimates.work_model import WorkModel, default_work_model
from onyxspoke.core.jobs.crashes import CrashBlame
from onyxspoke.core.jobs.model import (
    JobId,
    JobSpec,
    QueuePolicy,
    StepKey,
    TaskKey,
    WorkerId,
)
from onyxspoke.core.jobs.progress import JobProgress, StepProgress, TaskProgress
from onyxspoke.core.jobs.records import ProgressRecord, restore_progress
from onyxspoke.core.jobs.states import JobState, TaskState
from onyxspoke.core.tenants.keys import may_access_job
from onyxspoke.core.tenants.policy import TenantName

#: Repetitions of one job that may be under way at once.
MAXIMUM_OPEN_REPETITIONS = 64


class SubmissionOutcome(Enum):
    """What came of handing a job in."""

    NEW = "new"
    KNOWN = "known"
    CANCELLED_BEFORE = "cancelled_before"


@dataclass(frozen=True, slots=True)
class EarlyCancel:
    """A cancel that came before its job: whose it was, and when it came."""

    tenant: TenantName
    at: float


class JobRegistry:
    """The jobs of one shard.

    Parameters
    ----------
    status_seconds : float
        For how long a finished job is remembered.
    work_model_for : callable
        Gives what is known of the work of a queue and tenant.
    """

    def __init__(
        self,
        status_seconds: float,
        work_model_for: Callable[[str, TenantName], WorkModel] = default_work_model,
    ) -> None:
        self._status_seconds = status_seconds
        self._work_model_for = work_model_for
        self.jobs: dict[JobId, JobProgress] = {}
        self.startable: dict[StepKey, StepProgress] = {}
        self.dirty: dict[JobId, None] = {}
        #: Cancels that came before the job did.
        self.cancelled_before: dict[JobId, EarlyCancel] = {}
        #: Set until it is known what a former holder left running.
        self.is_recovering = False
        #: Whether former holders recorded each start before they ordered it, so that only tasks
        #: that are on record with a worker may run there.
        self.starts_are_recorded = False
        #: Tasks in doubt, by the worker that may run them.
        self._doubted_on: dict[WorkerId, list[TaskProgress]] = {}
        self._scheduled: dict[JobId, JobProgress] = {}
        self._finished: dict[JobId, None] = {}

    # Callers

    def submit(
        self, spec: JobSpec, now: float, first_submitted_at: float | None = None
    ) -> SubmissionOutcome:
        """Take a job in; the same identifier again changes nothing.

        ``first_submitted_at`` is when it was first handed in, where that was before.
        """
        if spec.job_id in self.jobs:
            return SubmissionOutcome.KNOWN
        if self.was_cancelled_before(spec):
            return SubmissionOutcome.CANCELLED_BEFORE
        accepted_at = now if first_submitted_at is None else first_submitted_at
        job = JobProgress(spec, accepted_at, self._work_model_for(spec.queue.name, spec.tenant))
        self.jobs[spec.job_id] = job
        self.dirty[spec.job_id] = None
        if spec.schedule.count > 0:
            self._scheduled[spec.job_id] = job
        else:
            self._begin_repetition(job, 0, now)
        return SubmissionOutcome.NEW

    def was_cancelled_before(self, spec: JobSpec) -> bool:
        """Return whether a cancel by the job's tenant came before the job did."""
        cancel = self.cancelled_before.get(spec.job_id)
        return cancel is not None and may_access_job(cancel.tenant, spec.tenant)

    def withdraw(self, job_id: JobId) -> None:
        """Forget a job whose record was never sent to the store, but not that it was cancelled."""
        job = self.jobs.pop(job_id)
        self.dirty.pop(job_id, None)
        self._drop_steps(job)
        self._scheduled.pop(job_id, None)
        self._finished.pop(job_id, None)
        if job.state is JobState.CANCELLED:
            self.cancelled_before[job_id] = EarlyCancel(job.spec.tenant, job.final_at)
            self.dirty[job_id] = None

    def find_visible(self, job_id: JobId, tenant: TenantName) -> JobProgress | None:
        """Return a job, unless it is another tenant's."""
        job = self.jobs.get(job_id)
        return job if job is not None and may_access_job(job.spec.tenant, tenant) else None

    def cancel(self, job_id: JobId, tenant: TenantName, now: float) -> JobProgress | None:
        """Cancel a job; one not known is remembered as cancelled, should it come yet.

        Another tenant's job is not known to the caller, and stays as it is.
        """
        job = self.find_visible(job_id, tenant)
        if job is None:
            if job_id not in self.jobs:
                self.cancelled_before.setdefault(job_id, EarlyCancel(tenant, now))
                self.dirty[job_id] = None
            return None
        if not job.state.is_final:
            self._finish(job, JobState.CANCELLED, now)
        return job

    def waiting_count(self, queue: str) -> int:
        """Return how many accepted jobs of a queue have not begun."""
        return sum(
            1
            for job in self.jobs.values()
            if job.spec.queue.name == queue
            and job.committed_state is not None
            and not job.has_started
            and not job.state.is_final
        )

    # Recovery

    def restore(
        self, spec: JobSpec, record: ProgressRecord | None, accepted_at: float, now: float
    ) -> None:
        """Take in what the store holds of a job."""
        job = JobProgress(spec, accepted_at, self._work_model_for(spec.queue.name, spec.tenant))
        job.spec_is_stored = True
        job.committed_state = JobState.QUEUED
        self.jobs[spec.job_id] = job
        if record is not None:
            restore_progress(job, record, now)
        if job.state.is_final:
            self._finished[spec.job_id] = None
            return
        if spec.schedule.count > 0:
            self._scheduled[spec.job_id] = job
        elif 0 not in job.repetitions:
            job.begin_repetition(0, now)
        for step in job.steps():
            self._recount_dependencies(step, now)
            self._doubt_restored(step)
            self._refresh(step)
        self._finish_if_done(job, now)

    def restore_finished(self, job_id: JobId, record: ProgressRecord, now: float) -> None:
        """Take in a finished job, or an early cancel, of which only the progress is kept."""
        if not record.was_submitted:
            self.cancelled_before[job_id] = EarlyCancel(record.tenant, now)
            return
        spec = _placeholder_spec(job_id, record.tenant)
        job = JobProgress(spec, now)
        restore_progress(job, record, now)
        self.jobs[job_id] = job
        self._finished[job_id] = None

    def workers_with_tasks_in_doubt(self) -> list[WorkerId]:
        """Return the workers that may run tasks which are in doubt."""
        return list(self._doubted_on)

    def tasks_in_doubt_on(self, worker_id: WorkerId) -> list[TaskProgress]:
        """Return the tasks that a former holder placed on a worker, and no worker has shown yet."""
        tasks = self._doubted_on.get(worker_id, ())
        return [task for task in tasks if task.state is TaskState.IN_DOUBT]

    def tasks_in_doubt(self) -> Iterator[TaskProgress]:
        """Return the tasks that a former holder may have started and no worker has shown yet."""
        if self.starts_are_recorded:
            tasks = (task for tasks in self._doubted_on.values() for task in tasks)
        else:
            steps = (step for job in self.jobs.values() for step in job.steps() if step.in_doubt)
            tasks = (task for step in steps for task in step.tasks)
        return (task for task in tasks if task.state is TaskState.IN_DOUBT)

    def requeue_tasks_in_doubt_on(self, worker_id: WorkerId, now: float) -> list[StepProgress]:
        """Let the tasks wait again that a worker might have run and does not.

        Returns
        -------
        list of StepProgress
            Their steps.
        """
        steps: dict[StepKey, StepProgress] = {}
        for task in self._doubted_on.pop(worker_id, ()):
            step = task.step
            steps[step.key] = step
            if task.state is TaskState.IN_DOUBT:
                task.placed_on = ""
                task.move_to(TaskState.WAITING)
                step.ready_at = now
                self._refresh(step)
        return list(steps.values())

    def requeue_tasks_in_doubt(self, now: float) -> None:
        """Let every task wait again that no worker turned out to run."""
        for job in self.jobs.values():
            for step in job.steps():
                if step.in_doubt:
                    self._settle_step(step, now)

    def mark_committed(self, job: JobProgress, state: JobState) -> None:
        """The store has the job in this state; with its first commit it may be started."""
        is_first = job.committed_state is None
        job.committed_state = state
        if state.is_final:
            job.shrink()
        elif is_first:
            for step in job.steps():
                self._refresh(step)

    # Tasks

    def task_activated(self, task: TaskProgress) -> None:
        """A run of a task was decided on, or found on a worker."""
        task.move_to(TaskState.ACTIVE)
        self._refresh(task.step)

    def task_run_confirmed(self, task: TaskProgress, now: float) -> None:
        """A worker said that it has, or had, a run of a task: its job waits no longer.

        An order alone says nothing: it may be turned away, or never arrive.
        """
        job = task.step.job
        if job.has_started:
            return
        job.has_started = True
        if job.state is JobState.QUEUED:
            job.move_to(JobState.RUNNING, now)
            self.dirty[job.job_id] = None

    def task_requeued(self, task: TaskProgress) -> None:
        """A run ended otherwise than well, or never began, or is to be started again."""
        task.move_to(TaskState.WAITING)
        self._refresh(task.step)

    def task_done(self, task: TaskProgress, now: float) -> None:
        """A run of a task ended well."""
        if task.state is TaskState.DONE:
            return
        task.move_to(TaskState.DONE)
        step = task.step
        self.dirty[step.job.job_id] = None
        self._refresh(step)
        if step.is_done and not step.job.state.is_final:
            self._unblock_dependents(step, now)
            self._finish_if_done(step.job, now)

    def task_failed(self, task: TaskProgress, number: int, now: float) -> None:
        """A run of a task ended ``failed``; the job fails with the last attempt."""
        step = task.step
        numbers = step.failed_gang_runs if step.spec.gang else task.failed_runs
        if number in numbers or step.spec.long_running:
            return
        numbers.append(number)
        self.dirty[step.job.job_id] = None
        self._fail_if_hopeless(step, len(numbers), now)

    def task_crashed(self, task: TaskProgress, blame: CrashBlame, now: float) -> bool:
        """A worker went down under a task; return whether its job is given up for it.

        No attempt is counted: those are for ends that workers report.  Of lasting tasks, too,
        crashes are bounded, as each costs a worker and what else runs there.
        """
        job = task.step.job
        if job.state.is_final or task.state is TaskState.DONE:
            return False
        task.crashes = task.crashes.add(blame)
        if blame is CrashBlame.ALONE:
            task.step.last_crash_at = now
            task.step.done_count_at_crash = task.step.done_count
        self.dirty[job.job_id] = None
        if not task.crashes.is_hopeless:
            return False
        self._finish(job, JobState.FAILED, now)
        return True

    def note_checkpoint(self, task: TaskProgress, checkpoint: str) -> None:
        """Remember from where a task may resume."""
        if checkpoint and checkpoint != task.checkpoint:
            task.checkpoint = checkpoint
            self.dirty[task.step.job.job_id] = None

    def find_task(self, key: TaskKey) -> TaskProgress | None:
        """Return a task by its name."""
        job = self.jobs.get(key.job_id)
        return None if job is None else job.find_task(key)

    # Time

    def tick(self, now: float, wall_ms: float, early_ms: float) -> None:
        """Begin repetitions that are due; forget what was finished long ago.

        Parameters
        ----------
        wall_ms : float
            Time of day, counted from 1970.
        early_ms : float
            How far ahead of its time a repetition may begin.
        """
        for job in list(self._scheduled.values()):
            self._begin_due(job, now, wall_ms + early_ms)
        horizon = now - self._status_seconds
        for job_id in list(self._finished):
            if self.jobs[job_id].final_at > horizon:
                break
            del self._finished[job_id]
            del self.jobs[job_id]
            self.dirty[job_id] = None
        for job_id, cancel in list(self.cancelled_before.items()):
            if cancel.at <= horizon:
                del self.cancelled_before[job_id]
                self.dirty[job_id] = None

    def startable_steps(self) -> Iterator[StepProgress]:
        """Return steps some task of which may be started."""
        return iter(self.startable.values())

    # Internals

    def _begin_due(self, job: JobProgress, now: float, until_ms: float) -> None:
        schedule = job.spec.schedule
        for repetition in range(schedule.count):
            if len(job.repetitions) >= MAXIMUM_OPEN_REPETITIONS:
                return
            if schedule.start_at_ms + repetition * schedule.interval_ms > until_ms:
                return
            if repetition in job.repetitions or repetition in job.done_repetitions:
                continue
            self._begin_repetition(job, repetition, now)

    def _begin_repetition(self, job: JobProgress, repetition: int, now: float) -> None:
        for step in job.begin_repetition(repetition, now):
            if self.is_recovering and job.spec_is_stored and not self.starts_are_recorded:
                self._put_in_doubt(step)
            self._refresh(step)

    def _refresh(self, step: StepProgress) -> None:
        if step.is_startable:
            self.startable[step.key] = step
        else:
            self.startable.pop(step.key, None)

    def _unblock_dependents(self, done: StepProgress, now: float) -> None:
        for step in done.job.repetitions[done.key.repetition]:
            if done.key.step in step.spec.depends_on:
                step.blocked_by -= 1
                step.ready_at = now
                self._refresh(step)

    def _recount_dependencies(self, step: StepProgress, now: float) -> None:
        steps = step.job.repetitions[step.key.repetition]
        step.blocked_by = sum(1 for number in step.spec.depends_on if not steps[number].is_done)
        step.ready_at = now

    def _doubt_restored(self, step: StepProgress) -> None:
        """Put in doubt what a former holder may have started of a step."""
        if not self.starts_are_recorded:
            self._put_in_doubt(step)
            return
        for task in step.tasks:
            if task.placed_on and task.state is TaskState.WAITING:
                task.move_to(TaskState.IN_DOUBT)
                self._doubted_on.setdefault(task.placed_on, []).append(task)

    def _put_in_doubt(self, step: StepProgress) -> None:
        for task in step.tasks:
            if task.state is TaskState.WAITING:
                task.move_to(TaskState.IN_DOUBT)

    def _settle_step(self, step: StepProgress, now: float) -> None:
        for task in step.tasks:
            if task.state is TaskState.IN_DOUBT:
                task.placed_on = ""
                task.move_to(TaskState.WAITING)
        step.ready_at = now
        self._refresh(step)

    def _fail_if_hopeless(self, step: StepProgress, failures: int, now: float) -> None:
        job = step.job
        if failures >= job.spec.queue.max_attempts and not job.state.is_final:
            self._finish(job, JobState.FAILED, now)

    def _finish_if_done(self, job: JobProgress, now: float) -> None:
        for repetition, steps in list(job.repetitions.items()):
            if job.spec.schedule.count > 0 and all(step.is_done for step in steps):
                del job.repetitions[repetition]
                job.done_repetitions.add(repetition)
                self.dirty[job.job_id] = None
        if job.state.is_final:
            return
        if job.spec.schedule.count > 0:
            is_done = len(job.done_repetitions) >= job.spec.schedule.count
        else:
            is_done = all(step.is_done for step in job.steps())
        if is_done:
            self._finish(job, JobState.COMPLETED, now)

    def _finish(self, job: JobProgress, state: JobState, now: float) -> None:
        job.move_to(state, now)
        self.dirty[job.job_id] = None
        self._scheduled.pop(job.job_id, None)
        self._finished[job.job_id] = None
        self._drop_steps(job)

    def _drop_steps(self, job: JobProgress) -> None:
        for step in job.steps():
            self.startable.pop(step.key, None)


def _placeholder_spec(job_id: JobId, tenant: TenantName) -> JobSpec:
    """Return a specification for a finished job; its own was dropped with its end."""
    queue = QueuePolicy(name="", service="")
    return JobSpec(job_id=job_id, queue=queue, payload="", steps=(), tenant=tenant)
