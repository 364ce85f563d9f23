"""Throttles filler tasks so that the serving tasks beside them meet their latency targets."""

from __future__ import annotations

from onyxspoke.core.jobs.model import RunKey
from onyxspoke.core.placement.workers import Worker, WorkerContact
from onyxspoke.core.shard.actions import SendPace
from onyxspoke.core.shard.context import ShardContext, address_of

#: Interval after which an unacknowledged pace is sent again.
PACE_RETRY_SECONDS = 0.5


class PaceController:
    """Sends paces to workers; a pace is the percentage of full speed at which filler tasks run."""

    def __init__(self, context: ShardContext) -> None:
        self._context = context

    def tick(self, now: float) -> None:
        """Adapt the pace of every worker that has filler tasks."""
        if not self._context.may_send_orders(now):
            return
        for worker in self._context.table.workers.values():
            if worker.contact is WorkerContact.RECONCILED and worker.needs_pacing():
                self._update_worker_pace(worker, now)

    def _update_worker_pace(self, worker: Worker, now: float) -> None:
        worker.pace.adapt(worker.worst_latency_ratio(), now)
        percent = worker.pace.percent
        for run in worker.filler_runs():
            is_retry_due = now - run.pace_sent_at >= PACE_RETRY_SECONDS
            if run.pace_percent != percent and (
                is_retry_due or run.ordered_pace_percent != percent
            ):
                self._send_pace(worker, run.key, percent, now)
                run.ordered_pace_percent = percent
                run.pace_sent_at = now

    def _send_pace(self, worker: Worker, key: RunKey, percent: int, now: float) -> None:
        context = self._context
        context.log("pace", worker=worker.worker_id, job=key.task.job_id, percent=percent)
        context.emit(SendPace(address_of(worker), context.token, key, percent))

    def handle_pace_result(
        self, worker: Worker, key: RunKey, percent: int, is_acknowledged: bool
    ) -> None:
        """Handle a worker's answer to a pace order, or its absence."""
        run = worker.runs.get(key)
        if run is not None and is_acknowledged:
            run.pace_percent = percent
