"""Moves work off workers that are leaving, as late as their time allows.

What keeps checkpoints works on until shortly before the end, and loses nothing by the stop.
What keeps none is left alone if it should finish in time, and else stopped at once: the
sooner it starts elsewhere the less is lost.
"""

from __future__ import annotations

from onyxspoke.core.jobs.states import RunState
from onyxspoke.core.placement.forecast import remaining_seconds
from onyxspoke.core.placement.runs import Run
from onyxspoke.core.placement.worker_record import WorkerListing
from onyxspoke.core.placement.workers import Worker, WorkerContact
from onyxspoke.core.shard.context import ShardContext
from onyxspoke.core.shard.run_manager import RunManager

#: Kept back of a leaving worker's time, for the stop and its answer to get through.
RESERVE_SECONDS = 0.5
#: A run should take so much longer than judged before it is given up.
CAUTION_FACTOR = 1.15
_MILLISECONDS = 1_000.0


class Evacuation:
    """Empties workers that are leaving."""

    def __init__(self, context: ShardContext, runs: RunManager) -> None:
        self._context = context
        self._runs = runs

    def tick(self, now: float) -> None:
        """Stop what must go on elsewhere."""
        for worker in self._context.table.workers.values():
            is_leaving = worker.listing is WorkerListing.DRAINING
            if is_leaving and worker.contact is WorkerContact.RECONCILED:
                for run in list(worker.runs.values()):
                    if run.state is RunState.RUNNING and self._must_move(worker, run, now):
                        self._runs.stop(run, now, "worker_leaving")

    def _must_move(self, worker: Worker, run: Run, now: float) -> bool:
        step = run.task.step.spec
        if step.long_running:
            return True
        left = worker.earliest_exit_at - now
        if remaining_seconds(run, now) * CAUTION_FACTOR < left:
            return False
        if not step.checkpointing:
            return True
        stop_seconds = self._context.options.stop_grace_ms / _MILLISECONDS + RESERVE_SECONDS
        return left < stop_seconds
