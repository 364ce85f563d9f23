"""Durable batch jobs are accepted once their record is in the log."""

from __future__ import annotations

from dataclasses import dataclass

from onyxspoke.core.codes import ResultCode
from onyxspoke.core.context import EntryContext
from onyxspoke.core.log_records import JobAccepted
from onyxspoke.core.schema import Answer, JobId, JobSubmission


@dataclass(slots=True)
class PendingAcceptance:
    """A job whose record is on its way to the log, and the callers who wait for that."""

    record: JobAccepted
    deadline: float
    request_ids: list[str]


class JobAcceptance:
    """Records submitted jobs and answers their submitters."""

    def __init__(self, context: EntryContext) -> None:
        self._context = context
        self._acceptances: dict[JobId, PendingAcceptance] = {}

    def submit(self, request_id: str, job: JobSubmission, deadline: float) -> Answer | None:
        """Record a job; return the answer if it is known at once.

        Otherwise the caller is answered when the record is read back.  A job that is
        submitted again under its key is recorded once.
        """
        known = self._context.cell.jobs.get(job.job_id)
        if known is not None:
            return _acceptance_of(job, known.job)
        pending = self._acceptances.get(job.job_id)
        if pending is not None and pending.record.job != job:
            return Answer(code=ResultCode.KEY_REUSED)
        if pending is not None:
            pending.request_ids.append(request_id)
            return None
        record = JobAccepted(job)
        self._acceptances[job.job_id] = PendingAcceptance(record, deadline, [request_id])
        self._context.cell_append_queue.add(record)
        return None

    def handle_read(self, job_id: JobId) -> list[tuple[str, Answer]]:
        """Return the answers of who waited for a record that was read back."""
        entry = self._context.cell.jobs.get(job_id)
        pending = self._acceptances.pop(job_id, None)
        if pending is None or entry is None:
            return []
        answer = _acceptance_of(pending.record.job, entry.job)
        return [(request_id, answer) for request_id in pending.request_ids]

    def give_up(self, now: float) -> list[tuple[str, Answer]]:
        """Return final answers for submissions that the log did not take in time.

        A record that was never sent is withdrawn, and the job is known not to run; but
        one with a key may have been accepted through another entry.
        """
        answers: list[tuple[str, Answer]] = []
        for job_id, pending in list(self._acceptances.items()):
            if now < pending.deadline and not self._context.log_is_down(now):
                continue
            if self._context.cell_append_queue.withdraw(pending.record):
                is_keyed = bool(pending.record.job.request.idempotency_key)
                answer = self._context.refusal(
                    ResultCode.KEY_STATE_UNKNOWN if is_keyed else ResultCode.LOG_UNAVAILABLE
                )
            elif now >= pending.deadline:
                answer = Answer(code=ResultCode.LOG_ANSWER_LOST)
            else:
                continue
            del self._acceptances[job_id]
            answers.extend((request_id, answer) for request_id in pending.request_ids)
        return answers


def _acceptance_of(submitted: JobSubmission, recorded: JobSubmission) -> Answer:
    """Return what the submitter of a job is told, given the one on record under its name."""
    if submitted == recorded:
        return Answer(code=ResultCode.ACCEPTED)
    return Answer(code=ResultCode.KEY_REUSED)
