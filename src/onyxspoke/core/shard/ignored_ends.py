"""Log lines for ends that a worker reported and that change nothing."""

from __future__ import annotations

from enum import Enum

from onyxspoke.core.placement.runs import task_log_name
from onyxspoke.core.placement.workers import LeaseVerdict, Worker
from onyxspoke.core.shard.actions import FieldValue
from onyxspoke.core.shard.context import ShardContext
from onyxspoke.core.shard.orders import EndReport

#: The largest number of lines for one answer of a worker; further ends are only counted.
MAX_LINES_PER_ANSWER = 20


class IgnoredEndReason(Enum):
    """Why an end changes nothing.

    ``COUNTED``: the run counts as ended already.  ``OTHER_RUN``: another run of the task is under
    way.  ``TASK_DONE``, ``JOB_FINAL``: nothing is left to do.  ``UNKNOWN_TASK``: the shard has no
    such task, or no longer.
    """

    COUNTED = "counted"
    OTHER_RUN = "other_run"
    TASK_DONE = "task_done"
    JOB_FINAL = "job_final"
    UNKNOWN_TASK = "unknown_task"


class IgnoredEndLog:
    """Logs the ends in one answer of a worker that are read and not used.

    Parameters
    ----------
    context : ShardContext
        State of the holder.
    worker : Worker
        The worker that answered.
    clock_ms : int
        Reading of its clock in the answer.
    verdict : LeaseVerdict
        Whether its lease lapsed before the answer.
    """

    def __init__(
        self, context: ShardContext, worker: Worker, clock_ms: int, verdict: LeaseVerdict
    ) -> None:
        self._context = context
        self._worker = worker
        self._clock_ms = clock_ms
        self.verdict = verdict
        self._count = 0

    def note(self, report: EndReport, reason: IgnoredEndReason, **fields: FieldValue) -> None:
        """Log one end, or count it if there are too many."""
        self._count += 1
        if self._count > MAX_LINES_PER_ANSWER:
            return
        worker = self._worker
        self._context.log(
            "end_ignored",
            worker=worker.worker_id,
            task=task_log_name(report.run),
            run=report.run.number,
            how=report.end.value,
            number=report.number,
            reason=reason.value,
            **fields,
            contact=worker.contact.value,
            clock_ms=self._clock_ms,
            lease_until_ms=worker.lease_until_ms,
            lease=self.verdict.value,
        )

    def close(self) -> None:
        """Log how many ends got no line."""
        surplus = self._count - MAX_LINES_PER_ANSWER
        if surplus > 0:
            self._context.log("ends_ignored", worker=self._worker.worker_id, more=surplus)
