"""Acceptance of durable batch jobs: a job is accepted once its record is in the log."""

from __future__ import annotations

from dataclasses import dataclass

from onyxspoke.core.codes import ResultCode
from onyxspoke.core.context import EntryContext
from onyxspoke.core.log_records import JobAccepted
from onyxspoke.core.schema import Answer, JobId, JobSubmission


@dataclass(slots=True)
class PendingAcceptance:
    """A job whose record is being appended to the log, and the requests that await it."""

    record: JobAccepted
    deadline: float
    request_ids: list[str]


class JobAcceptance:
    """Records submitted jobs in the log and answers the requests that submitted them."""

    def __init__(self, context: EntryContext) -> None:
        self._context = context
        self._pending_acceptances: dict[JobId, PendingAcceptance] = {}

    def submit(self, request_id: str, job: JobSubmission, deadline: float) -> Answer | None:
        """Record a job; return the answer if it is known immediately, else ``None``.

        After ``None``, the caller is answered when the record is read back from the log.
        A job that is submitted again under the same key is recorded only once.
        """
        recorded_job = self._context.cell.jobs.get(job.job_id)
        if recorded_job is not None:
            return _submission_answer(job, recorded_job.job)
        pending = self._pending_acceptances.get(job.job_id)
        if pending is not None and pending.record.job != job:
            return Answer(code=ResultCode.KEY_REUSED)
        if pending is not None:
            pending.request_ids.append(request_id)
            return None
        record = JobAccepted(job)
        self._pending_acceptances[job.job_id] = PendingAcceptance(record, deadline, [request_id])
        self._context.cell_append_queue.add(record)
        return None

    def handle_read(self, job_id: JobId) -> list[tuple[str, Answer]]:
        """Return the answers to the requests that awaited the record just read back."""
        entry = self._context.cell.jobs.get(job_id)
        pending = self._pending_acceptances.pop(job_id, None)
        if pending is None or entry is None:
            return []
        answer = _submission_answer(pending.record.job, entry.job)
        return [(request_id, answer) for request_id in pending.request_ids]

    @property
    def is_pending(self) -> bool:
        """Whether a caller waits for the record of its job."""
        return bool(self._pending_acceptances)

    def give_up(self, now: float, is_last: bool = False) -> list[tuple[str, Answer]]:
        """Return final answers for submissions that were not recorded in time.

        With ``is_last``, because the entry ends, for all that are not recorded yet.
        A record that was never sent is withdrawn, so this entry does not run the job.
        A job with an idempotency key may still have been accepted by another entry.
        """
        answers: list[tuple[str, Answer]] = []
        for job_id, pending in list(self._pending_acceptances.items()):
            is_over = is_last or now >= pending.deadline
            if not is_over and not self._context.log_is_down(now):
                continue
            if self._context.cell_append_queue.withdraw(pending.record):
                is_keyed = bool(pending.record.job.request.idempotency_key)
                answer = self._context.refusal(
                    ResultCode.KEY_STATE_UNKNOWN if is_keyed else ResultCode.LOG_UNAVAILABLE
                )
            elif is_over:
                answer = Answer(code=ResultCode.LOG_ANSWER_LOST)
            else:
                continue
            del self._pending_acceptances[job_id]
            answers.extend((request_id, answer) for request_id in pending.request_ids)
        return answers


def _submission_answer(submitted: JobSubmission, recorded: JobSubmission) -> Answer:
    """Return the answer to a submission, given the job recorded under the same ID."""
    if submitted == recorded:
        return Answer(code=ResultCode.ACCEPTED)
    return Answer(code=ResultCode.KEY_REUSED)
