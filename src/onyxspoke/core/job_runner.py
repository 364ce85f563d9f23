"""Durable batch jobs: accepted once logged, run task by task, their end recorded."""

from __future__ import annotations

from dataclasses import dataclass, field

from onyxspoke.core.codes import ResultCode
from onyxspoke.core.context import EntryContext
from onyxspoke.core.log_records import JobAccepted, JobEnded
from onyxspoke.core.request_desk import RequestDesk
from onyxspoke.core.requests import ActiveRequest, JobOrigin
from onyxspoke.core.schema import Answer, JobId, JobSubmission


@dataclass(slots=True)
class JobProgress:
    """A job that this entry runs."""

    job: JobSubmission
    answers: dict[int, Answer] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class PendingAcceptance:
    """A job whose record is on its way to the log, and the caller who waits for that."""

    request_id: str
    record: JobAccepted
    deadline: float


class JobRunner:
    """Records jobs, runs their tasks and records their answers."""

    def __init__(self, context: EntryContext, desk: RequestDesk) -> None:
        self._context = context
        self._desk = desk
        self._acceptances: dict[JobId, PendingAcceptance] = {}
        self._running: dict[JobId, JobProgress] = {}

    @property
    def running_count(self) -> int:
        """Number of jobs that this entry runs now."""
        return len(self._running)

    def submit(self, request_id: str, job: JobSubmission, deadline: float) -> None:
        """Record a job; the caller is answered when the record is read back."""
        record = JobAccepted(job)
        self._acceptances[job.job_id] = PendingAcceptance(request_id, record, deadline)
        self._context.cell_appends.add(record)

    def handle_accepted_read(self, job_id: JobId, now: float) -> str | None:
        """Start a job whose record was read back; return the waiting request, if any."""
        entry = self._context.cell.jobs.get(job_id)
        pending = self._acceptances.pop(job_id, None)
        if entry is not None and entry.runner == self._context.identity.entry_id:
            self._start(entry.job, now)
        return None if pending is None else pending.request_id

    def give_up_acceptances(self, now: float) -> list[tuple[str, Answer]]:
        """Return final answers for submissions that the log did not take in time.

        A record that was never sent is withdrawn: the job is known not to run.
        """
        answers: list[tuple[str, Answer]] = []
        for job_id, pending in list(self._acceptances.items()):
            if now < pending.deadline and not self._is_log_down(now):
                continue
            if self._context.cell_appends.withdraw(pending.record):
                answer = self._desk.refusal(ResultCode.LOG_UNAVAILABLE)
            elif now >= pending.deadline:
                answer = Answer(code=ResultCode.LOG_ANSWER_LOST)
            else:
                continue
            del self._acceptances[job_id]
            answers.append((pending.request_id, answer))
        return answers

    def handle_task_answer(self, origin: JobOrigin, answer: Answer) -> None:
        """Take the answer of one task; record the job's end with the last one."""
        progress = self._running.get(origin.job_id)
        if progress is None:
            return
        progress.answers[origin.task_index] = answer
        if len(progress.answers) < progress.job.task_count:
            return
        del self._running[origin.job_id]
        self._context.cell_appends.add(JobEnded(origin.job_id, _combine(progress)))

    def cancel(self, job_id: JobId, now: float) -> bool:
        """Stop the tasks of a job that this entry runs; return whether it does."""
        if job_id not in self._running:
            return False
        for request in list(self._context.requests.values()):
            if isinstance(request.origin, JobOrigin) and request.origin.job_id == job_id:
                self._desk.cancel(request, now)
        return True

    def _is_log_down(self, now: float) -> bool:
        failing_for = self._context.cell_appends.failing_for(now)
        return failing_for >= self._context.options.log_patience_seconds

    def _start(self, job: JobSubmission, now: float) -> None:
        self._running[job.job_id] = JobProgress(job)
        for index in range(job.task_count):
            request = ActiveRequest(
                request_id=f"{job.job_id}#{index}",
                request=job.request,
                origin=JobOrigin(job.job_id, index),
                deadline=now + job.request.task_class.patience_seconds,
                received_at=now,
            )
            self._desk.register(request)
            self._desk.place_or_queue(request, now)


def _combine(progress: JobProgress) -> Answer:
    """Return the answer of a whole job: the results in order, or the first that failed."""
    answers = [progress.answers[index] for index in range(progress.job.task_count)]
    for answer in answers:
        if answer.code is not ResultCode.OK:
            return answer
    if len(answers) == 1:
        return answers[0]
    results = b"[" + b",".join(answer.result for answer in answers) + b"]"
    return Answer(code=ResultCode.OK, result=results)
