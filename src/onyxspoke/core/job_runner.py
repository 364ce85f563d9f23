"""Runs durable batch jobs, adopts jobs of runners that timed out, and records job ends."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from onyxspoke.core.actions import PassTaskAnswer
from onyxspoke.core.cell_state import DurableJob
from onyxspoke.core.codes import ResultCode
from onyxspoke.core.context import EntryContext
from onyxspoke.core.job_recovery import JobRecovery
from onyxspoke.core.log_records import (
    JobAdopted,
    JobEnded,
    JobReleased,
    TaskStarting,
)
from onyxspoke.core.rendezvous import choose_by_rendezvous_hash
from onyxspoke.core.request_dispatcher import RequestDispatcher
from onyxspoke.core.requests import ActiveRequest, JobOrigin, RequestState
from onyxspoke.core.schema import (
    Answer,
    EntryId,
    JobId,
    Offset,
    WorkerId,
    make_task_name,
)


@dataclass(slots=True)
class JobProgress:
    """A job that this entry runs; ``launched`` holds its tasks started here or found running."""

    entry: DurableJob
    launched: set[int] = field(default_factory=set)
    answers: dict[int, Answer] = field(default_factory=dict)


class JobRunner:
    """Runs the tasks of durable jobs and records the answer of each job."""

    def __init__(self, context: EntryContext, dispatcher: RequestDispatcher) -> None:
        self._context = context
        self._dispatcher = dispatcher
        self._running: dict[JobId, JobProgress] = {}
        self._pending_adoptions: set[JobId] = set()
        self.recovery = JobRecovery(context)

    @property
    def running_count(self) -> int:
        """Number of jobs that this entry runs now."""
        return len(self._running)

    def handle_accepted_read(self, job_id: JobId, now: float) -> None:
        """Start a job whose record was read back, if this entry is its runner."""
        entry = self._context.cell.jobs.get(job_id)
        if entry is not None and self._is_runner(entry) and job_id not in self._running:
            self._start(entry, now)

    def handle_task_answer(self, origin: JobOrigin, answer: Answer) -> None:
        """Store the answer of one task; record the job's end after its last task."""
        progress = self._running.get(origin.job_id)
        if progress is None:
            self._pass_on(origin, answer)
            return
        progress.answers.setdefault(origin.task_index, answer)
        if len(progress.answers) < progress.entry.job.task_count:
            return
        del self._running[origin.job_id]
        self.recovery.forget(origin.job_id)
        self._context.cell_append_queue.add(JobEnded(origin.job_id, _combine_answers(progress)))

    def handle_start_read(self, record: TaskStarting, now: float) -> None:
        """Queue a task whose start is recorded, if this entry still runs the job."""
        request = self._context.requests.get(make_task_name(record.job_id, record.task_index))
        if request is None or request.state is not RequestState.WAITING_FOR_LOG:
            return
        if self._is_runner(self._context.cell.jobs.get(record.job_id)):
            self._dispatcher.place_or_queue(request, now)

    def handle_adoption_read(self, job_id: JobId, now: float) -> None:
        """Recover a job if the log shows that this entry's adoption of it took effect."""
        self._pending_adoptions.discard(job_id)
        entry = self._context.cell.jobs.get(job_id)
        if entry is None or not self._is_runner(entry) or job_id in self._running:
            return
        self._running[job_id] = JobProgress(entry)
        self.recovery.begin(job_id, now)

    def drop_jobs_not_run_here(self) -> None:
        """Drop the jobs that ended or that another entry has adopted."""
        for job_id, progress in list(self._running.items()):
            if progress.entry.answer is None and self._is_runner(progress.entry):
                continue
            del self._running[job_id]
            self.recovery.forget(job_id)
            for index in progress.launched:
                request = self._context.requests.get(make_task_name(job_id, index))
                if request is not None:
                    self._dispatcher.abandon(request)

    def recover_tasks_on(self, worker_id: WorkerId, now: float) -> None:
        """Recover the job tasks on a worker that another entry now owns."""
        for request in list(self._context.attempts.values()):
            origin = request.origin
            if request.worker_id != worker_id or not isinstance(origin, JobOrigin):
                continue
            self._dispatcher.abandon(request)
            progress = self._running.get(origin.job_id)
            if progress is not None:
                progress.launched.discard(origin.task_index)
                self.recovery.begin(origin.job_id, now)

    def keep(self, now: float) -> None:
        """Adopt jobs of runners that timed out, and continue the recoveries."""
        if not self._context.stopping:
            self._adopt(now)
        self.recovery.keep(now)
        self.continue_recovered(now)

    def continue_recovered(self, now: float) -> None:
        """Start, or fail as lost, the tasks that ran on no worker in a complete round of probes."""
        for job_id, still_running in self.recovery.take_recovered().items():
            progress = self._running[job_id]
            progress.launched |= still_running
            for index in range(progress.entry.job.task_count):
                if index in progress.answers or index in progress.launched:
                    continue
                if index in progress.entry.started_indexes:
                    # The task may have finished on a worker whose report was lost.
                    self.handle_task_answer(
                        JobOrigin(job_id, index), Answer(code=ResultCode.WORKER_LOST)
                    )
                else:
                    self._launch(progress, index, now)
            if still_running - progress.answers.keys():
                # The owners of the workers that run these tasks send the answers; probe again in
                # case an answer is lost.
                progress.launched -= still_running
                self.recovery.begin(job_id, now)

    def release_unsent(self) -> None:
        """Release, during a planned stop, the jobs of which no task was sent."""
        for job_id, progress in list(self._running.items()):
            if progress.answers or self.recovery.is_recovering(job_id):
                continue
            names = [make_task_name(job_id, index) for index in progress.launched]
            requests = [self._context.requests.get(name) for name in names]
            if any(request is None or request.is_sent for request in requests):
                continue
            del self._running[job_id]
            for request in requests:
                assert request is not None
                self._dispatcher.abandon(request)
            self._context.cell_append_queue.add(JobReleased(job_id))

    def cancel(self, job_id: JobId, now: float) -> bool:
        """Cancel the tasks of a job; return whether this entry runs the job."""
        progress = self._running.get(job_id)
        if progress is None:
            return False
        for index in sorted(progress.launched):
            request = self._context.requests.get(make_task_name(job_id, index))
            if request is not None:
                self._dispatcher.cancel(request, now)
        return True

    def _is_runner(self, entry: DurableJob | None) -> bool:
        return entry is not None and entry.runner == self._context.identity.entry_id

    def _pass_on(self, origin: JobOrigin, answer: Answer) -> None:
        """Pass a task's answer to the entry that runs the job now."""
        entry = self._context.cell.jobs.get(origin.job_id)
        if entry is None or entry.answer is not None or not entry.runner or self._is_runner(entry):
            return
        name = make_task_name(origin.job_id, origin.task_index)
        self._context.emit(PassTaskAnswer(entry.runner, name, answer))

    def _adopt(self, now: float) -> None:
        context = self._context
        member_timeout_seconds = context.options.lease.member_timeout_seconds
        live = context.cell.live_members(context.identity.zone, now, member_timeout_seconds)
        if context.identity.entry_id not in live:
            return
        for runner, entries in context.cell.open_jobs.items():
            member = context.cell.members.get(runner)
            timed_out = member is None or now - member.last_seen_at > member_timeout_seconds
            if not timed_out or now < context.holdover_promised_until.get(runner, now):
                continue
            offset = 0 if member is None else member.last_offset
            for job_id, entry in entries.items():
                if entry.zone == context.identity.zone and job_id not in self._pending_adoptions:
                    self._adopt_if_preferred(job_id, runner, offset, live)

    def _adopt_if_preferred(
        self, job_id: JobId, runner: EntryId, offset: Offset, live: list[EntryId]
    ) -> None:
        if choose_by_rendezvous_hash(job_id, live) != self._context.identity.entry_id:
            return
        self._pending_adoptions.add(job_id)
        self._context.takeover_pending_from.add(runner)
        self._context.cell_append_queue.add(JobAdopted(job_id, runner, offset))

    def _start(self, entry: DurableJob, now: float) -> None:
        job_id = entry.job.job_id
        progress = self._running.setdefault(job_id, JobProgress(entry))
        for index in range(entry.job.task_count):
            self._launch(progress, index, now)

    def _launch(self, progress: JobProgress, index: int, now: float) -> None:
        """Queue one task; the start of an unrepeatable task is recorded in the log first."""
        job = progress.entry.job
        name = make_task_name(job.job_id, index)
        progress.launched.add(index)
        request = ActiveRequest(
            request_id=name,
            request=msgspec.structs.replace(job.request, task_name=name),
            origin=JobOrigin(job.job_id, index),
            deadline=now + job.request.task_class.patience_seconds,
            received_at=now,
        )
        self._dispatcher.register(request)
        if job.request.task_class.repeatable:
            self._dispatcher.place_or_queue(request, now)
        else:
            request.transition(RequestState.WAITING_FOR_LOG)
            self._context.cell_append_queue.add(TaskStarting(job.job_id, index))


def _combine_answers(progress: JobProgress) -> Answer:
    """Return a job's answer: its task results in order, or the first failed task's answer."""
    answers = [progress.answers[index] for index in range(progress.entry.job.task_count)]
    for answer in answers:
        if answer.code is not ResultCode.OK:
            return answer
    if len(answers) == 1:
        return answers[0]
    results = b"[" + b",".join(answer.result for answer in answers) + b"]"
    return Answer(code=ResultCode.OK, result=results)
