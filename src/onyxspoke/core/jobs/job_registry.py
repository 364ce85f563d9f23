"""The registry of all jobs of one shard: their submission, progress, recovery and retention.

Every change that must survive a change of holder marks its job as dirty. The commit queue of the
shard writes the records of dirty jobs and clears the marks.
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
    ResourceVector,
    StepKey,
    TaskKey,
    WorkerId,
)
from onyxspoke.core.jobs.progress import JobProgress, StepProgress, TaskProgress
from onyxspoke.core.jobs.records import ProgressRecord, restore_progress
from onyxspoke.core.jobs.resource_vectors import add_vectors
from onyxspoke.core.jobs.states import JobState, TaskState
from onyxspoke.core.tenants.ended_job_usage import EndedJobUsage
from onyxspoke.core.tenants.keys import may_access_job
from onyxspoke.core.tenants.policy import TenantName

#: Maximum number of repetitions of one job that may be active at the same time.
MAXIMUM_ACTIVE_REPETITIONS = 64


class SubmissionOutcome(Enum):
    """The outcome of submitting a job."""

    NEW = "new"
    KNOWN = "known"
    CANCELLED_BEFORE = "cancelled_before"


@dataclass(frozen=True, slots=True)
class CancelBeforeSubmission:
    """A cancel call that arrived before its job: the calling tenant and the time of arrival."""

    tenant: TenantName
    cancelled_at: float


class JobRegistry:
    """The registry of the jobs of one shard.

    Parameters
    ----------
    retention_seconds : float
        How long a finished job, or a cancel that arrived before its job, is retained.
    work_model_of : callable
        Returns the learned work model of a queue and tenant.
    """

    def __init__(
        self,
        retention_seconds: float,
        work_model_of: Callable[[str, TenantName], WorkModel] = default_work_model,
    ) -> None:
        self._retention_seconds = retention_seconds
        self._work_model_of = work_model_of
        self.jobs: dict[JobId, JobProgress] = {}
        self.startable: dict[StepKey, StepProgress] = {}
        self.dirty: dict[JobId, None] = {}
        #: Cancel calls that arrived before their jobs.
        self.cancelled_before: dict[JobId, CancelBeforeSubmission] = {}
        #: True until the holder knows which runs previous holders left running.
        self.is_recovering = False
        #: Whether previous holders recorded each start before ordering it, so that a worker may run
        #: only tasks whose placement on it is recorded.
        self.starts_are_recorded = False
        #: Tasks in doubt, grouped by the worker that may run them.
        self._in_doubt_by_worker: dict[WorkerId, list[TaskProgress]] = {}
        #: Runs of ended jobs that previous holders started and that may still execute.
        self.ended_job_usage = EndedJobUsage()
        self._scheduled: dict[JobId, JobProgress] = {}
        self._finished: dict[JobId, None] = {}

    # Callers

    def submit(
        self, spec: JobSpec, now: float, first_submitted_at: float | None = None
    ) -> SubmissionOutcome:
        """Add a submitted job; a second submission with the same identifier changes nothing.

        ``first_submitted_at`` is the time of the first submission, if an earlier one was refused.
        """
        if spec.job_id in self.jobs:
            return SubmissionOutcome.KNOWN
        if self.was_cancelled_before(spec):
            return SubmissionOutcome.CANCELLED_BEFORE
        accepted_at = now if first_submitted_at is None else first_submitted_at
        job = JobProgress(spec, accepted_at, self._work_model_of(spec.queue.name, spec.tenant))
        self.jobs[spec.job_id] = job
        self.dirty[spec.job_id] = None
        if spec.schedule.count > 0:
            self._scheduled[spec.job_id] = job
        else:
            self._start_repetition(job, 0, now)
        return SubmissionOutcome.NEW

    def was_cancelled_before(self, spec: JobSpec) -> bool:
        """Return whether the job's tenant cancelled the job before submitting it."""
        cancel = self.cancelled_before.get(spec.job_id)
        return cancel is not None and may_access_job(cancel.tenant, spec.tenant)

    def withdraw(self, job_id: JobId) -> None:
        """Remove a job whose record was never sent to the store, but keep its cancellation."""
        job = self.jobs.pop(job_id)
        self.dirty.pop(job_id, None)
        self._drop_steps(job)
        self._scheduled.pop(job_id, None)
        self._finished.pop(job_id, None)
        if job.state is JobState.CANCELLED:
            self.cancelled_before[job_id] = CancelBeforeSubmission(job.spec.tenant, job.final_at)
            self.dirty[job_id] = None

    def find_visible(self, job_id: JobId, tenant: TenantName) -> JobProgress | None:
        """Return a job if it is known and visible to the tenant."""
        job = self.jobs.get(job_id)
        return job if job is not None and may_access_job(job.spec.tenant, tenant) else None

    def cancel(self, job_id: JobId, tenant: TenantName, now: float) -> JobProgress | None:
        """Cancel a job; an unknown identifier is recorded as cancelled before submission.

        A job of another tenant is not visible to the caller and stays unchanged.
        """
        job = self.find_visible(job_id, tenant)
        if job is None:
            if job_id not in self.jobs:
                self.cancelled_before.setdefault(job_id, CancelBeforeSubmission(tenant, now))
                self.dirty[job_id] = None
            return None
        if not job.state.is_final:
            self._finish(job, JobState.CANCELLED, now)
        return job

    def give_up(self, job: JobProgress, now: float) -> None:
        """Fail a job whose progress cannot be recorded."""
        if not job.state.is_final:
            self._finish(job, JobState.FAILED, now)

    def waiting_count(self, queue: str) -> int:
        """Return how many accepted jobs of a queue have not started."""
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
        """Restore a job from its records in the store."""
        job = JobProgress(spec, accepted_at, self._work_model_of(spec.queue.name, spec.tenant))
        job.spec_is_stored = True
        job.committed_state = JobState.QUEUED
        self.jobs[spec.job_id] = job
        if record is not None:
            restore_progress(job, record, now)
        if job.state.is_final:
            self._finished[spec.job_id] = None
            self._count_left_running(job)
            return
        if spec.schedule.count > 0:
            self._scheduled[spec.job_id] = job
        elif 0 not in job.repetitions:
            job.begin_repetition(0, now)
        for step in job.steps():
            self._recount_dependencies(step, now)
            self._mark_restored_in_doubt(step)
            self._update_startable(step)
        self._finish_if_done(job, now)

    def restore_finished(self, job_id: JobId, record: ProgressRecord, now: float) -> None:
        """Restore a finished job, or a cancel before submission, from its progress record."""
        if not record.was_submitted:
            self.cancelled_before[job_id] = CancelBeforeSubmission(record.tenant, now)
            return
        spec = _placeholder_spec(job_id, record.tenant)
        job = JobProgress(spec, now)
        restore_progress(job, record, now)
        self.jobs[job_id] = job
        self._finished[job_id] = None
        self._count_left_running(job)

    def forget_unrestored(self, job_id: JobId) -> None:
        """Forget a job whose restoration has failed halfway."""
        job = self.jobs.pop(job_id, None)
        self.dirty.pop(job_id, None)
        self._scheduled.pop(job_id, None)
        self._finished.pop(job_id, None)
        if job is not None:
            self._drop_steps(job)
        for tasks in self._in_doubt_by_worker.values():
            tasks[:] = [task for task in tasks if task.step.key.job_id != job_id]

    def workers_with_tasks_in_doubt(self) -> list[WorkerId]:
        """Return the workers that may run tasks in doubt, or runs of ended jobs."""
        return list(dict.fromkeys([*self._in_doubt_by_worker, *self.ended_job_usage.workers()]))

    def tasks_in_doubt_on(self, worker_id: WorkerId) -> list[TaskProgress]:
        """Return the tasks in doubt that previous holders placed on a worker."""
        tasks = self._in_doubt_by_worker.get(worker_id, ())
        return [task for task in tasks if task.state is TaskState.IN_DOUBT]

    def tasks_in_doubt(self) -> Iterator[TaskProgress]:
        """Return the tasks that are in doubt because previous holders may have started them."""
        if self.starts_are_recorded:
            tasks = (task for tasks in self._in_doubt_by_worker.values() for task in tasks)
        else:
            steps = (step for job in self.jobs.values() for step in job.steps() if step.in_doubt)
            tasks = (task for step in steps for task in step.tasks)
        return (task for task in tasks if task.state is TaskState.IN_DOUBT)

    def requeue_tasks_in_doubt_on(self, worker_id: WorkerId, now: float) -> list[StepProgress]:
        """Move the tasks in doubt on a worker that does not run them back to waiting.

        Returns
        -------
        list of StepProgress
            The steps of all tasks that were recorded as in doubt on the worker.
        """
        steps: dict[StepKey, StepProgress] = {}
        for task in self._in_doubt_by_worker.pop(worker_id, ()):
            step = task.step
            steps[step.key] = step
            if task.state is TaskState.IN_DOUBT:
                task.placed_on = ""
                task.move_to(TaskState.WAITING)
                step.ready_at = now
                self._update_startable(step)
        return list(steps.values())

    def settle_ended_jobs_on(self, worker_id: WorkerId, running: set[JobId]) -> bool:
        """Forget runs of ended jobs on a worker except those of jobs that it still runs.

        Returns
        -------
        bool
            Whether there were any that count no more.
        """
        over = self.ended_job_usage.keep_only(worker_id, running)
        for job_id in over:
            self.note_nothing_left(job_id, worker_id)
        return bool(over)

    def note_nothing_left(self, job_id: JobId, worker_id: WorkerId) -> None:
        """Note that a worker runs nothing of an ended job any more."""
        job = self.jobs.get(job_id)
        if job is None or job.left_running.pop(worker_id, None) is None:
            return
        if not job.left_running:
            self.dirty[job_id] = None

    def requeue_tasks_in_doubt(self, now: float) -> None:
        """Move every task that is still in doubt back to waiting."""
        for job in self.jobs.values():
            for step in job.steps():
                if step.in_doubt:
                    self._requeue_in_doubt(step, now)

    def mark_committed(self, job: JobProgress, state: JobState) -> None:
        """Record the committed state of a job; tasks may be started after the first commit."""
        is_first = job.committed_state is None
        job.committed_state = state
        if state.is_final:
            job.discard_details()
        elif is_first:
            for step in job.steps():
                self._update_startable(step)

    # Tasks

    def task_activated(self, task: TaskProgress) -> None:
        """Mark a task as active: a run of it was planned, or was found on a worker."""
        task.move_to(TaskState.ACTIVE)
        self._update_startable(task.step)

    def task_run_confirmed(self, task: TaskProgress, now: float) -> None:
        """Handle a worker's report that it has, or had, a run of a task: the job has started.

        A start order alone does not count, as the worker may reject the order or never get it.
        """
        job = task.step.job
        if job.has_started:
            return
        job.has_started = True
        if job.state is JobState.QUEUED:
            job.move_to(JobState.RUNNING, now)
            self.dirty[job.job_id] = None

    def task_requeued(self, task: TaskProgress) -> None:
        """Move a task back to waiting, for example because its run failed or never started."""
        task.move_to(TaskState.WAITING)
        self._update_startable(task.step)

    def task_done(self, task: TaskProgress, now: float) -> None:
        """Mark a task as done after a run completed successfully."""
        if task.state is TaskState.DONE:
            return
        task.move_to(TaskState.DONE)
        step = task.step
        self.dirty[step.job.job_id] = None
        self._update_startable(step)
        if step.is_done and not step.job.state.is_final:
            self._unblock_dependents(step, now)
            self._finish_if_done(step.job, now)

    def task_failed(self, task: TaskProgress, number: int, now: float) -> None:
        """Count a failed run of a task; the job fails with its last allowed attempt."""
        step = task.step
        failed_run_numbers = step.failed_gang_runs if step.spec.gang else task.failed_runs
        if number in failed_run_numbers or step.spec.long_running or task.state is TaskState.DONE:
            return
        failed_run_numbers.append(number)
        self.dirty[step.job.job_id] = None
        self._fail_after_last_attempt(step, len(failed_run_numbers), now)

    def task_crashed(self, task: TaskProgress, blame: CrashBlame, now: float) -> bool:
        """Count a worker crash during a run of a task; return whether the job fails because of it.

        A crash does not count as an attempt, because only ends that workers report do.
        Crashes of long-running tasks are limited too, as each one also ends the other runs on the
        worker.
        """
        job = task.step.job
        if job.state.is_final or task.state is TaskState.DONE:
            return False
        task.crashes = task.crashes.add(blame)
        if blame is CrashBlame.ALONE:
            task.step.last_crash_at = now
            task.step.done_count_at_crash = task.step.done_count
        self.dirty[job.job_id] = None
        if not task.crashes.reaches_crash_limit:
            return False
        self._finish(job, JobState.FAILED, now)
        return True

    def note_checkpoint(self, task: TaskProgress, checkpoint: str) -> None:
        """Store the checkpoint that a task may resume from."""
        if checkpoint and checkpoint != task.checkpoint:
            task.checkpoint = checkpoint
            self.dirty[task.step.job.job_id] = None

    def find_task(self, key: TaskKey) -> TaskProgress | None:
        """Return a task by its key."""
        job = self.jobs.get(key.job_id)
        return None if job is None else job.find_task(key)

    # Time

    def tick(self, now: float, wall_clock_ms: float, start_ahead_ms: float) -> None:
        """Start repetitions that are due, and remove jobs and cancels after their retention time.

        Parameters
        ----------
        wall_clock_ms : float
            Unix time in milliseconds.
        start_ahead_ms : float
            How long before its due time a repetition may start, in milliseconds.
        """
        for job in list(self._scheduled.values()):
            self._start_due_repetitions(job, now, wall_clock_ms + start_ahead_ms)
        retention_cutoff = now - self._retention_seconds
        for job_id in list(self._finished):
            if self.jobs[job_id].final_at > retention_cutoff:
                break
            del self._finished[job_id]
            del self.jobs[job_id]
            self.dirty[job_id] = None
        for job_id, cancel in list(self.cancelled_before.items()):
            if cancel.cancelled_at <= retention_cutoff:
                del self.cancelled_before[job_id]
                self.dirty[job_id] = None

    def startable_steps(self) -> Iterator[StepProgress]:
        """Return the steps that have at least one task that may be started."""
        return iter(self.startable.values())

    # Internals

    def _start_due_repetitions(self, job: JobProgress, now: float, due_until_ms: float) -> None:
        schedule = job.spec.schedule
        for repetition in range(schedule.count):
            if len(job.repetitions) >= MAXIMUM_ACTIVE_REPETITIONS:
                return
            if schedule.start_at_ms + repetition * schedule.interval_ms > due_until_ms:
                return
            if repetition in job.repetitions or repetition in job.done_repetitions:
                continue
            self._start_repetition(job, repetition, now)

    def _start_repetition(self, job: JobProgress, repetition: int, now: float) -> None:
        for step in job.begin_repetition(repetition, now):
            if self.is_recovering and job.spec_is_stored and not self.starts_are_recorded:
                self._mark_in_doubt(step)
            self._update_startable(step)

    def _update_startable(self, step: StepProgress) -> None:
        if step.is_startable:
            self.startable[step.key] = step
        else:
            self.startable.pop(step.key, None)

    def _unblock_dependents(self, done: StepProgress, now: float) -> None:
        for step in done.job.repetitions[done.key.repetition]:
            if done.key.step in step.spec.depends_on:
                step.unfinished_dependencies -= 1
                step.ready_at = now
                self._update_startable(step)

    def _recount_dependencies(self, step: StepProgress, now: float) -> None:
        steps = step.job.repetitions[step.key.repetition]
        step.unfinished_dependencies = sum(
            1 for number in step.spec.depends_on if not steps[number].is_done
        )
        step.ready_at = now

    def _mark_restored_in_doubt(self, step: StepProgress) -> None:
        """Mark as in doubt the tasks of a step that a previous holder may have started."""
        if not self.starts_are_recorded:
            self._mark_in_doubt(step)
            return
        for task in step.tasks:
            if task.placed_on and task.state is TaskState.WAITING:
                task.move_to(TaskState.IN_DOUBT)
                self._in_doubt_by_worker.setdefault(task.placed_on, []).append(task)

    def _mark_in_doubt(self, step: StepProgress) -> None:
        for task in step.tasks:
            if task.state is TaskState.WAITING:
                task.move_to(TaskState.IN_DOUBT)

    def _requeue_in_doubt(self, step: StepProgress, now: float) -> None:
        for task in step.tasks:
            if task.state is TaskState.IN_DOUBT:
                task.placed_on = ""
                task.move_to(TaskState.WAITING)
        step.ready_at = now
        self._update_startable(step)

    def _fail_after_last_attempt(self, step: StepProgress, failures: int, now: float) -> None:
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
        self._note_left_running(job)
        self._scheduled.pop(job.job_id, None)
        self._finished[job.job_id] = None
        self._drop_steps(job)

    def _note_left_running(self, job: JobProgress) -> None:
        """Note what runs of a tenant's job that has ended may still use on each worker."""
        if not job.spec.tenant:
            return
        for step in job.steps():
            for task in step.tasks:
                if not task.placed_on or task.state is TaskState.DONE:
                    continue
                former = job.left_running.get(task.placed_on, ResourceVector())
                job.left_running[task.placed_on] = add_vectors(former, step.needs)
                if task.state is TaskState.IN_DOUBT:
                    self.ended_job_usage.add(
                        task.placed_on, job.job_id, job.spec.tenant, step.needs
                    )

    def _count_left_running(self, job: JobProgress) -> None:
        """Count what runs of a restored job that has ended may still use."""
        for worker_id, needs in job.left_running.items():
            self.ended_job_usage.add(worker_id, job.job_id, job.spec.tenant, needs)

    def _drop_steps(self, job: JobProgress) -> None:
        for step in job.steps():
            self.startable.pop(step.key, None)


def _placeholder_spec(job_id: JobId, tenant: TenantName) -> JobSpec:
    """Return a specification for a finished job, whose own was deleted when the job ended."""
    queue = QueuePolicy(name="", service="")
    return JobSpec(job_id=job_id, queue=queue, payload="", steps=(), tenant=tenant)
