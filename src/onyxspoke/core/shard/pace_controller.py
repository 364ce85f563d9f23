"""Keeps tasks that serve users within their targets, by the pace of what fills beside them."""

from __future__ import annotations

from onyxspoke.core.jobs.model import RunKey
from onyxspoke.core.placement.workers import Worker, WorkerContact
from onyxspoke.core.shard.actions import SendPace
from onyxspoke.core.shard.context import ShardContext, address_of

#: A pace that was not acknowledged is sent again after so long.
REPEAT_SECONDS = 0.5


class PaceController:
    """Sends paces."""

    def __init__(self, context: ShardContext) -> None:
        self._context = context

    def tick(self, now: float) -> None:
        """Adapt the pace of every worker on which something fills."""
        if not self._context.may_send_orders(now):
            return
        for worker in self._context.table.workers.values():
            if worker.contact is WorkerContact.RECONCILED and worker.needs_pacing():
                self._keep_worker(worker, now)

    def _keep_worker(self, worker: Worker, now: float) -> None:
        worker.pace.adapt(worker.worst_latency_ratio(), now)
        percent = worker.pace.percent
        for run in worker.filler_runs():
            is_due = now - run.pace_sent_at >= REPEAT_SECONDS
            if run.pace_percent != percent and (is_due or run.ordered_pace_percent != percent):
                self._send(worker, run.key, percent, now)
                run.ordered_pace_percent = percent
                run.pace_sent_at = now

    def _send(self, worker: Worker, key: RunKey, percent: int, now: float) -> None:
        context = self._context
        context.log("pace", worker=worker.worker_id, job=key.task.job_id, percent=percent)
        context.emit(SendPace(address_of(worker), context.token, key, percent))

    def handle_pace_result(self, worker: Worker, key: RunKey, percent: int, is_done: bool) -> None:
        """A worker answered a change of pace, or did not."""
        run = worker.runs.get(key)
        if run is not None and is_done:
            run.pace_percent = percent
