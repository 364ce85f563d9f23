"""Stops runs on workers that are leaving, so that their tasks continue elsewhere.

A run of a long-running task is stopped at once.  Any other run continues if it is expected to
finish in time.  Otherwise a run with checkpoints is stopped shortly before its worker leaves,
because a stop loses none of its progress.  A run without checkpoints is stopped at once, because
the sooner its task starts elsewhere, the less work is lost.
"""

from __future__ import annotations

from onyxspoke.core.jobs.states import RunState
from onyxspoke.core.placement.forecast import remaining_seconds
from onyxspoke.core.placement.runs import Run
from onyxspoke.core.placement.worker_record import WorkerListing
from onyxspoke.core.placement.workers import Worker, WorkerContact
from onyxspoke.core.shard.context import ShardContext
from onyxspoke.core.shard.run_manager import RunManager

#: Part of a leaving worker's time that is reserved for sending a stop and receiving its answer.
STOP_MARGIN_SECONDS = 0.5
#: Factor on the estimated remaining time of a run, so that an underestimate does not lose it.
REMAINING_TIME_SAFETY_FACTOR = 1.15
_MILLISECONDS = 1_000.0


class Evacuation:
    """Stops the runs of workers that are leaving."""

    def __init__(self, context: ShardContext, run_manager: RunManager) -> None:
        self._context = context
        self._run_manager = run_manager

    def tick(self, now: float) -> None:
        """Stop the runs that cannot finish before their workers leave."""
        for worker in self._context.table.workers.values():
            is_leaving = worker.listing is WorkerListing.DRAINING
            if is_leaving and worker.contact is WorkerContact.RECONCILED:
                for run in list(worker.runs.values()):
                    if run.state is RunState.RUNNING and self._must_stop(worker, run, now):
                        self._run_manager.stop(run, now, "worker_leaving")

    def _must_stop(self, worker: Worker, run: Run, now: float) -> bool:
        step = run.task.step.spec
        if step.long_running:
            return True
        seconds_left = worker.earliest_exit_at - now
        if remaining_seconds(run, now) * REMAINING_TIME_SAFETY_FACTOR < seconds_left:
            return False
        if not step.checkpointing:
            return True
        stop_seconds = self._context.options.stop_grace_ms / _MILLISECONDS + STOP_MARGIN_SECONDS
        return seconds_left < stop_seconds
