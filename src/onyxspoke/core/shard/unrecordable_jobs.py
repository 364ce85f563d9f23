"""Gives up jobs whose records cannot be encoded, each alone, so that other records are kept."""

from __future__ import annotations

from onyxspoke.core.jobs.model import JobId
from onyxspoke.core.shard.context import ShardContext
from onyxspoke.core.shard.run_manager import RunManager

_REASON = "record_not_encodable"


class UnrecordableJobs:
    """Gives up jobs whose records cannot be encoded.

    Parameters
    ----------
    context : ShardContext
        State of the holder.
    runs : RunManager
        Stops the runs of a job that is given up.
    """

    def __init__(self, context: ShardContext, runs: RunManager) -> None:
        self._context = context
        self._runs = runs
        self._withdrawn: list[JobId] = []

    def give_up(self, job_id: JobId, error: Exception, now: float) -> None:
        """Fail a job that the store has; withdraw one that it does not have.

        A failed job is marked as changed again, so that the same append records its end.  Raise the
        error for a job that has ended: its end must not be confirmed without a record.
        """
        registry = self._context.job_registry
        job = registry.jobs[job_id]
        self._context.log(
            _REASON, job=job_id, is_stored=int(job.spec_is_stored), error=repr(str(error))
        )
        if job.committed_state is None and not job.spec_is_stored:
            self._runs.stop_runs_of(job.steps(), now, _REASON)
            registry.withdraw(job_id)
            self._withdrawn.append(job_id)
        elif job.state.is_final:
            raise error
        else:
            registry.give_up(job, now)
            self._runs.stop_runs_of(job.steps(), now, _REASON)

    def take_withdrawn(self) -> list[JobId]:
        """Return the jobs that were withdrawn since the last call."""
        withdrawn, self._withdrawn = self._withdrawn, []
        return withdrawn
